"""A stand-in for the users' endpoint: runs under leases, fences, late and lost answers."""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from time import monotonic, time
from typing import Any
from weakref import WeakKeyDictionary

import gevent
from gevent.event import Event
from geventhttpclient import HTTPClient

LONGEST_LEASE_MS = 1000
STOP_MS = 50
CLOCK_RATE = 0.98
"""Its clock runs 2 % slow, as the users allow."""

CLOCK_START_MS = 5000
"""Where its clock begins; one that has started again may begin lower."""


@dataclass
class Running:
    """A run at work."""

    began: float
    run_s: float
    fails: bool
    stop_at: float | None = None


class PlatformEndpointApp:
    """A WSGI application with the calls of the users' endpoint.

    A payload of the form ``{"ms": 100, "fail": false}`` says how long a task runs and how it ends.

    Attributes
    ----------
    unanswered_calls, delayed_starts : int
        Starts that are done without an answer; that are done ``late_s`` later without one.
    garbage : bytes
        What every call answers instead; empty for the truth.

    starts : list
        Every run that was started, over all its lives.
    born : int
        When its present life began, in Unix milliseconds.

    Examples
    --------
    >>> endpoint = PlatformEndpointApp("i-1", cpu=16000)
    >>> endpoint.most_cpu
    0
    """

    def __init__(self, instance: str, cpu: int = 16000, cpu_of_task: int = 1600) -> None:
        self.instance = instance
        self.cpu = cpu
        self.unanswered_calls = 0
        self.delayed_starts = 0
        self.late_s = 0.5
        self.garbage = b""
        self.draining = False
        self.starts: list[tuple[str, int]] = []
        self.most_cpu = 0
        self._cpu_of_task = cpu_of_task
        self._ended = Event()
        self._lives = 0
        self._life_of: WeakKeyDictionary[Any, int] = WeakKeyDictionary()
        self.restart(CLOCK_START_MS)

    def restart(self, clock_start_ms: int = 0) -> None:
        """Begin a life under the same id, which holds and knows nothing of an earlier one.

        Connections of the earlier one are broken, as by a crash.
        """
        self._lives += 1
        self.born = int(time() * 1000)
        self.draining = False
        self.fence = 0
        self.acknowledged = 0
        self._clock_start_ms = clock_start_ms
        self._started_at = monotonic()
        self._active: dict[tuple[str, int], Running] = {}
        self._ends: list[list[Any]] = []
        self._number = 0
        self._over: dict[str, int] = {}
        self._lease_until_ms = 0.0
        self._sequence = 0

    def clock_ms(self) -> int:
        """Its own steady clock."""
        return self._clock_start_ms + int((monotonic() - self._started_at) * 1000 * CLOCK_RATE)

    def active(self) -> list[tuple[str, int]]:
        """What runs now."""
        self._advance()
        return sorted(self._active)

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable:
        """Answer one call."""
        body = json.loads(environ["wsgi.input"].read() or b"{}")
        sock, life = environ["gentianmux.socket"], self._lives
        if self._life_of.setdefault(sock, life) != life:
            sock.close()
            return []
        expected = environ.get("HTTP_GENTIANMUX_EXPECT_INSTANCE", self.instance)
        if expected != self.instance:
            return _answer(start_response, 421, {})
        calls = {"/v1/run-start": self._start, "/v1/run-stop": self._stop, "/v1/hold": self._hold}
        call = calls.get(environ["PATH_INFO"])
        if call is None:
            return _answer(start_response, 404, {})
        if self.garbage:
            start_response("200 OK", [("Content-Length", str(len(self.garbage)))])
            return [self.garbage]
        if call == self._start and (self.delayed_starts or self.unanswered_calls):
            return self._unanswered(environ, body)
        status, content = self._fenced(call, body)
        if life != self._lives:
            sock.close()
            return []
        return _answer(start_response, status, {**content, "clock_ms": self.clock_ms()})

    def _unanswered(self, environ: dict[str, Any], body: dict[str, Any]) -> Iterable:
        if self.delayed_starts:
            self.delayed_starts -= 1
            gevent.spawn_later(self.late_s, self._fenced, self._start, body)
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
            elif now >= run.began + run.run_s:
                self._end(key, "failed" if run.fails else "done")

    def _end(self, key: tuple[str, int], how: str) -> None:
        del self._active[key]
        self._number += 1
        self._over[key[0]] = max(self._over.get(key[0], 0), key[1])
        self._ends.append([self._number, *key, how, ""])
        self._ended.set()
        self._ended.clear()

    def _lease(self, body: dict[str, Any]) -> None:
        until_ms = body.get("until_ms", 0)
        longest_ms = self.clock_ms() + LONGEST_LEASE_MS
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, longest_ms))

    def _start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        key = (body["task"], body["run"])
        if body["until_ms"] < self.clock_ms():
            return 409, {"reason": "late"}
        self._lease(body)
        if key in self._active:
            return 200, {}
        if key[1] <= self._over.get(key[0], 0):
            return 409, {"reason": "old"}
        try:
            work = json.loads(body["spec"])
        except ValueError:
            work = {}
        run_s = work.get("ms", 50) / 1000
        self._active[key] = Running(monotonic(), run_s, bool(work.get("fail")))
        self.starts.append(key)
        self.most_cpu = max(self.most_cpu, len(self._active) * self._cpu_of_task)
        gevent.spawn_later(run_s + 0.001, self._advance)
        return 200, {}

    def _stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        key = (body["task"], body["run"])
        run = self._active.get(key)
        if run is None:
            self._over[key[0]] = max(self._over.get(key[0], 0), key[1])
        elif run.stop_at is None:
            run.stop_at = monotonic() + STOP_MS / 1000
            gevent.spawn_later(STOP_MS / 1000 + 0.001, self._advance)
        return 200, {}

    def _hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self._lease(body)
        self.acknowledged = max(self.acknowledged, body["acknowledged"])
        self._ends = [row for row in self._ends if row[0] > self.acknowledged]
        if not self._ends:
            self._ended.wait(body.get("wait_ms", 0) / 1000)
            self._advance()
        rows = [
            [*key, "", min(99, int(100 * (monotonic() - run.began) / run.run_s))]
            for key, run in self._active.items()
        ]
        return 200, {"active": rows, "ended_runs": self._ends[:PAGE], "born": self.born}

    def beat(self, control: str) -> int:
        """Report to an agent and return the status of its answer."""
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


PAGE = 500


def _answer(start_response: Callable[..., Any], status: int, content: dict[str, Any]) -> Iterable:
    body = json.dumps(content).encode()
    start_response(f"{status} X", [("Content-Length", str(len(body)))])
    return [body]
