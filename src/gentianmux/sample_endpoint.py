"""Sample endpoint that sleeps for a task's run time and echoes its payload."""

import json
from collections.abc import Callable, Iterable
from typing import Any

import gevent
from gevent.event import Event

from .clock import boot_time
from .json_reply import StartResponse, json_reply

Journal = Callable[[dict[str, Any]], None]
# Timers of the event loop can fire this late, so the end of a run is polled.
TIMER_SLACK_S = 0.0025


class _Running:
    __slots__ = ("lease_expires_at", "stop")

    def __init__(self, lease_expires_at: float) -> None:
        self.lease_expires_at = lease_expires_at
        self.stop = Event()


class SampleEndpoint:
    """WSGI application with the endpoint interface.

    A payload that is a JSON object can hold ``ms`` (run time in ms) and ``fail`` (boolean).

    Parameters
    ----------
    slots : int
        Number of concurrent tasks; further ones are refused before they start.
    journal : callable, optional
        Called with an event for each start and each end.

    Examples
    --------
    >>> endpoint = SampleEndpoint(slots=8)
    >>> endpoint.slowness = 10.0
    """

    def __init__(self, slots: int, journal: Journal = lambda event: None) -> None:
        self._slots = slots
        self._journal = journal
        self._running: dict[str, _Running] = {}
        self._done = 0
        self.slowness = 1.0
        self.fail_all = False

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/v1/usage":
            content = {"running": len(self._running), "done": self._done, "slots": self._slots}
            return json_reply(start_response, 200, content)
        body = json.loads(environ["wsgi.input"].read() or b"{}")
        if path == "/v1/tasks":
            return self._run(body, start_response)
        if path == "/v1/faults":
            self.slowness = float(body.get("slowness", 1.0))
            self.fail_all = bool(body.get("fail_all", False))
            return json_reply(start_response, 200, {})
        return self._control(path, body, start_response)

    def _control(
        self, path: str, body: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        selected = [self._running[each] for each in body.get("tasks", ()) if each in self._running]
        if path == "/v1/lease":
            for each in selected:
                each.lease_expires_at = boot_time() + body["lease_ms"] / 1000
        elif path == "/v1/stop":
            for each in selected:
                each.stop.set()
        elif path not in ("/v1/throttle", "/v1/checkpoint"):
            return json_reply(start_response, 404, {"error": "no such path"})
        return json_reply(start_response, 200, {"tasks": len(selected)})

    def _run(self, body: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        name = body["task"]
        if len(self._running) >= self._slots:
            return json_reply(start_response, 429, {"error": "no free slot"})
        running = _Running(boot_time() + body["lease_ms"] / 1000)
        self._running[name] = running
        self._journal({"event": "start", "task": name})
        status, content = self._work(running, body)
        del self._running[name]
        self._done += 1
        self._journal({"event": "end", "task": name, "status": status})
        return json_reply(start_response, status, content)

    def _work(self, running: _Running, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        instructions = _parse_instructions(body["payload"])
        if self.fail_all or instructions.get("fail"):
            return 500, {"error": "told to fail"}
        until = boot_time() + float(instructions.get("ms", 0)) * self.slowness / 1000
        while (now := boot_time()) < until:
            if now >= running.lease_expires_at:
                return 410, {"error": "lease lapsed"}
            if running.stop.wait(
                max(0.0, min(until, running.lease_expires_at) - now - TIMER_SLACK_S)
            ):
                return 409, {"error": "stopped"}
        gevent.sleep(0)
        return 200, {"output": body["payload"]}


def _parse_instructions(payload: str) -> dict[str, Any]:
    try:
        instructions = json.loads(payload)
    except ValueError:
        return {}
    return instructions if isinstance(instructions, dict) else {}
