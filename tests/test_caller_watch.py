"""The entry survives many callers that are refused and disconnect at once.

Guards against a watch on a caller's connection that outlives the connection, which makes the event
loop end the process.
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
    """Gives every job its result at once, or one iteration of the event loop later."""

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
    """Refuse many jobs at once, and close each connection after its answer."""
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


def test_process_survives_many_callers_refused_at_once() -> None:
    for later in ("", "later"):
        command = [sys.executable, __file__, later]
        found = subprocess.run(command, capture_output=True, text=True, timeout=60)
        assert (found.returncode, found.stdout) == (0, "served 4000\n"), found.stderr[-500:]


def waiting_on(sock: gsocket.socket, entry: RefusingEntry) -> JobHandle:
    handle = entry.handle()
    gevent.spawn(wait_for_result, entry, handle, sock)
    gevent.sleep(0.01)
    return handle


def test_only_a_closed_connection_abandons_the_job() -> None:
    entry = RefusingEntry()
    ours, callers = gsocket.socketpair()
    handle = waiting_on(ours, entry)
    callers.sendall(b"next request")
    gevent.sleep(0.01)
    assert entry.abandoned == []
    entry.refuse(handle)
    gevent.sleep(0.01)
    other, closing = gsocket.socketpair()
    waiting_on(other, entry)
    closing.close()
    gevent.sleep(0.01)
    assert entry.abandoned == ["the caller left"]


def test_job_ends_when_the_last_of_its_callers_leaves() -> None:
    """Guards against a caller that has left and counts on, so that runs outlive a resubmission."""
    entry = RefusingEntry()
    handle = entry.handle()
    pairs = [gsocket.socketpair() for _ in range(3)]
    for ours, _ in pairs:
        gevent.spawn(wait_for_result, entry, handle, ours)
    gevent.sleep(0.01)
    for left, (_, callers) in enumerate(pairs, start=1):
        assert entry.abandoned == []
        callers.close()
        gevent.sleep(0.01)
        assert bool(entry.abandoned) == (left == len(pairs))
    assert entry.abandoned == ["the caller left"]
    assert handle.waiters == 0


if __name__ == "__main__":
    serve_and_call(later=bool(sys.argv[1]))
