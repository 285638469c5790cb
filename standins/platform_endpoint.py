"""Stand-in for the platform's endpoint: leased runs, fencing, delayed and lost responses."""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from time import monotonic, time
from typing import Any
from weakref import WeakKeyDictionary

import gevent
from gevent.event import Event
from geventhttpclient import HTTPClient

MAX_LEASE_MS = 1000
STOP_MS = 50
CLOCK_RATE = 0.98
"""Rate of the endpoint's clock, at the limit of the drift that the platform allows."""

CLOCK_START_MS = 5000
"""Initial value of the endpoint's clock; after a restart it may be lower."""


@dataclass
class ActiveRun:
    """A run in progress."""

    started_at: float
    run_s: float
    fails: bool
    stop_at: float | None = None


class PlatformEndpointApp:
    """WSGI application with the calls of the platform's endpoint.

    A payload of the form ``{"ms": 100, "fail": false}`` sets the run time and outcome of a task.

    Attributes
    ----------
    unanswered_calls : int
        Number of starts that are executed but not answered.
    delayed_starts : int
        Number of starts that are executed ``start_delay_s`` seconds later and not answered.
    malformed_body : bytes
        Body of the response to every call; empty for normal operation.
    starts : list
        All runs that were started, over all incarnations.
    peak_cpu : int
        Highest CPU use of concurrent runs so far.
    born : int
        Start of the current incarnation, in Unix milliseconds.

    Examples
    --------
    >>> endpoint = PlatformEndpointApp("i-1", cpu=16000)
    >>> endpoint.peak_cpu
    0
    """

    def __init__(self, instance: str, cpu: int = 16000, cpu_of_task: int = 1600) -> None:
        self.instance = instance
        self.cpu = cpu
        self.unanswered_calls = 0
        self.delayed_starts = 0
        self.start_delay_s = 0.5
        self.malformed_body = b""
        self.draining = False
        self.starts: list[tuple[str, int]] = []
        self.peak_cpu = 0
        self._cpu_of_task = cpu_of_task
        self._ended = Event()
        self._incarnation = 0
        self._incarnation_of: WeakKeyDictionary[Any, int] = WeakKeyDictionary()
        self.restart(CLOCK_START_MS)

    def restart(self, clock_start_ms: int = 0) -> None:
        """Start a new incarnation with the same id and no state of the previous one.

        Connections of the previous incarnation are closed, as after a crash.
        """
        self._incarnation += 1
        self.born = int(time() * 1000)
        self.draining = False
        self.fence = 0
        self.acknowledged = 0
        self._clock_start_ms = clock_start_ms
        self._started_at = monotonic()
        self._active: dict[tuple[str, int], ActiveRun] = {}
        self._unacknowledged: list[list[Any]] = []
        self._number = 0
        self._last_ended: dict[str, int] = {}
        self._lease_until_ms = 0.0
        self._sequence = 0

    def clock_ms(self) -> int:
        """Current value of the endpoint's monotonic clock, in milliseconds."""
        return self._clock_start_ms + int((monotonic() - self._started_at) * 1000 * CLOCK_RATE)

    def active(self) -> list[tuple[str, int]]:
        """Tasks and run numbers of the runs in progress, sorted."""
        self._advance()
        return sorted(self._active)

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable:
        """Handle one call."""
        body = json.loads(environ["wsgi.input"].read() or b"{}")
        sock, incarnation = environ["gentianmux.socket"], self._incarnation
        if self._incarnation_of.setdefault(sock, incarnation) != incarnation:
            sock.close()
            return []
        expected = environ.get("HTTP_GENTIANMUX_EXPECT_INSTANCE", self.instance)
        if expected != self.instance:
            return _respond(start_response, 421, {})
        calls = {"/v1/run-start": self._start, "/v1/run-stop": self._stop, "/v1/hold": self._hold}
        call = calls.get(environ["PATH_INFO"])
        if call is None:
            return _respond(start_response, 404, {})
        if self.malformed_body:
            start_response("200 OK", [("Content-Length", str(len(self.malformed_body)))])
            return [self.malformed_body]
        if call == self._start and (self.delayed_starts or self.unanswered_calls):
            return self._unanswered(environ, body)
        status, content = self._fenced(call, body)
        if incarnation != self._incarnation:
            sock.close()
            return []
        return _respond(start_response, status, {**content, "clock_ms": self.clock_ms()})

    def _unanswered(self, environ: dict[str, Any], body: dict[str, Any]) -> Iterable:
        if self.delayed_starts:
            self.delayed_starts -= 1
            gevent.spawn_later(self.start_delay_s, self._fenced, self._start, body)
        else:
            self.unanswered_calls -= 1
            self._fenced(self._start, body)
        environ["gentianmux.socket"].close()
        return []

    def _fenced(self, call: Callable[..., Any], body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        fence = body.get("fence", 0)
        if fence < self.fence:
            return 409, {"reason": "fence"}
        self.fence = fence
        self._advance()
        status, content = call(body)
        return status, content

    def _advance(self) -> None:
        now = monotonic()
        for key, run in list(self._active.items()):
            if run.stop_at is not None and now >= run.stop_at:
                self._end(key, "stopped")
            elif self.clock_ms() > self._lease_until_ms:
                self._end(key, "lapsed")
            elif now >= run.started_at + run.run_s:
                self._end(key, "failed" if run.fails else "done")

    def _end(self, key: tuple[str, int], how: str) -> None:
        del self._active[key]
        self._number += 1
        self._last_ended[key[0]] = max(self._last_ended.get(key[0], 0), key[1])
        self._unacknowledged.append([self._number, *key, how, ""])
        self._ended.set()
        self._ended.clear()

    def _lease(self, body: dict[str, Any]) -> None:
        until_ms = body.get("until_ms", 0)
        max_until_ms = self.clock_ms() + MAX_LEASE_MS
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, max_until_ms))

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        key = (body["task"], body["run"])
        if body["until_ms"] < self.clock_ms():
            return 409, {"reason": "late"}
        self._lease(body)
        if key in self._active:
            return 200, {}
        if key[1] <= self._last_ended.get(key[0], 0):
            return 409, {"reason": "old"}
        try:
            work = json.loads(body["spec"])
        except ValueError:
            work = {}
        run_s = work.get("ms", 50) / 1000
        self._active[key] = ActiveRun(monotonic(), run_s, bool(work.get("fail")))
        self.starts.append(key)
        self.peak_cpu = max(self.peak_cpu, len(self._active) * self._cpu_of_task)
        gevent.spawn_later(run_s + 0.001, self._advance)
        return 200, {}

    def _stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        key = (body["task"], body["run"])
        run = self._active.get(key)
        if run is None:
            self._last_ended[key[0]] = max(self._last_ended.get(key[0], 0), key[1])
        elif run.stop_at is None:
            run.stop_at = monotonic() + STOP_MS / 1000
            gevent.spawn_later(STOP_MS / 1000 + 0.001, self._advance)
        return 200, {}

    def _hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self._lease(body)
        self.acknowledged = max(self.acknowledged, body["acknowledged"])
        self._unacknowledged = [row for row in self._unacknowledged if row[0] > self.acknowledged]
        if not self._unacknowledged:
            self._ended.wait(body.get("wait_ms", 0) / 1000)
            self._advance()
        rows = [
            [*key, "", min(99, int(100 * (monotonic() - run.started_at) / run.run_s))]
            for key, run in self._active.items()
        ]
        return 200, {
            "active": rows,
            "ended_runs": self._unacknowledged[:MAX_LISTED_ENDS],
            "born": self.born,
        }

    def send_heartbeat(self, control: str) -> int:
        """Send a heartbeat to an agent; return the status of its response, or 0 without one."""
        self._sequence += 1
        body = {
            "service": "svc",
            "address": "127.0.0.1:1",
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
            "labels": ["a", "r1"],
            "clock_ms": self.clock_ms(),
            "seq": self._sequence,
            "born": self.born,
        }
        ip, _, port = control.partition(":")
        client = HTTPClient(ip, int(port))
        path = f"/v1/instances/{self.instance}/heartbeat"
        try:
            return int(client.post(path, body=json.dumps(body).encode()).status_code)
        except OSError:
            return 0
        finally:
            client.close()


MAX_LISTED_ENDS = 500


def _respond(start_response: Callable[..., Any], status: int, content: dict[str, Any]) -> Iterable:
    body = json.dumps(content).encode()
    start_response(f"{status} X", [("Content-Length", str(len(body)))])
    return [body]
