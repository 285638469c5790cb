"""Callers come, are refused at once and go by the hundred, and the entry's process stays.

An entry ended itself with status 134: the event loop found a descriptor among those to be watched
that had been closed. A job's caller was watched by a greenlet, which was told to end when the job
had its verdict, but only ended a turn of the loop later; by then the answer was sent and the
connection closed. Four thousand jobs refused a turn after they came bring it about, on connections
that close.
"""

import subprocess
import sys

import gevent
from gevent import socket as gsocket
from nodes import free_port

from gentianmux.http_server import HttpServer
from gentianmux.leased.caller_watch import wait_for_result
from gentianmux.leased.job_handle import JobHandle, JobResult
from gentianmux.leased.job_state import JobOutcome, JobState
from gentianmux.leased.model import JobSpec, QueueConfig, StepSpec
from gentianmux.leased.resources import Resources
from gentianmux.settings import Settings

QUEUE = QueueConfig("q", "h", "/q/", "s", 5000, 60, 0, 3, 1.6)
REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
ROUNDS, CALLERS = 40, 100


class RefusingEntry:
    """Gives every job its verdict at once, or a turn of the loop later."""

    def __init__(self, later: bool = False) -> None:
        self.abandoned: list[str] = []
        self._later = later

    def now(self) -> float:
        return 0.0

    def abandon(self, handle: JobHandle, reason: str) -> None:
        self.abandoned.append(reason)
        handle.result = JobResult(JobOutcome.UNKNOWN, reason)
        handle.done.set()

    def handle(self) -> JobHandle:
        spec = JobSpec("0" * 16, "", (StepSpec(1, Resources(1, 1), 1),))
        return JobHandle(JobState(spec, QUEUE, 0.0, 9.0))

    def refuse(self, handle: JobHandle) -> None:
        handle.result = JobResult(JobOutcome.NOT_RUN, "no room")
        if self._later:
            gevent.spawn(handle.done.set)
        else:
            handle.done.set()


def serve_and_call(later: bool) -> None:
    """Refuse jobs by the hundred, and close each connection with its answer."""
    entry = RefusingEntry(later)

    def app(environ, start_response):  # type: ignore[no-untyped-def]
        handle = entry.handle()
        entry.refuse(handle)
        wait_for_result(entry, handle, environ["gentianmux.socket"])
        headers = [("Content-Length", "0"), ("Connection", "close")]
        start_response("503 Service Unavailable", headers)
        return [b""]

    address = f"127.0.0.1:{free_port()}"
    server = HttpServer(address, app, Settings(max_connections=1000))
    server.start()

    def call() -> None:
        ip, _, port = address.partition(":")
        with gsocket.create_connection((ip, int(port))) as sock:
            sock.sendall(REQUEST)
            assert sock.recv(100).startswith(b"HTTP/1.1 503")

    for _ in range(ROUNDS):
        gevent.joinall([gevent.spawn(call) for _ in range(CALLERS)], raise_error=True)
    print(f"served {ROUNDS * CALLERS}")


def test_a_process_outlives_callers_that_are_refused_and_go_by_the_hundred() -> None:
    for later in ("", "later"):
        command = [sys.executable, __file__, later]
        found = subprocess.run(command, capture_output=True, text=True, timeout=60)
        assert (found.returncode, found.stdout) == (0, "served 4000\n"), found.stderr[-500:]


def waiting_on(sock: gsocket.socket, entry: RefusingEntry) -> JobHandle:
    handle = entry.handle()
    gevent.spawn(wait_for_result, entry, handle, sock)
    gevent.sleep(0.01)
    return handle


def test_a_caller_that_closes_is_noticed_and_one_that_sends_more_is_not_taken_for_gone() -> None:
    entry = RefusingEntry()
    ours, callers = gsocket.socketpair()
    handle = waiting_on(ours, entry)
    callers.sendall(b"next request")
    gevent.sleep(0.01)
    assert entry.abandoned == []
    entry.refuse(handle)
    gevent.sleep(0.01)
    other, leaving = gsocket.socketpair()
    waiting_on(other, entry)
    leaving.close()
    gevent.sleep(0.01)
    assert entry.abandoned == ["the caller left"]


if __name__ == "__main__":
    serve_and_call(later=bool(sys.argv[1]))
