"""WSGI application that receives the heartbeats of an agent's endpoint."""

import re
from collections.abc import Callable, Iterable
from typing import Any

from ..errors import GentianmuxError
from ..http_server import read_body
from ..leased.agent import Agent
from ..settings import Settings
from ..typed_json import read_object
from .endpoint import decode_heartbeat, decode_shutdown_notice

_PATH = re.compile(r"/v1/instances/([^/]{1,100})/(heartbeat|deregister)\Z")


class HeartbeatApp:
    """WSGI application that passes heartbeats and shutdown notices to an agent.

    Parameters
    ----------
    agent : Agent
        Receives the reports.
    cfg : Settings
        Bounds on request bodies.
    endpoint_address : str
        ``ip:port`` of the endpoint, used where a heartbeat names no address.
    """

    def __init__(self, agent: Agent, cfg: Settings, endpoint_address: str) -> None:
        self._agent = agent
        self._cfg = cfg
        self._endpoint_address = endpoint_address

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one heartbeat or shutdown notice."""
        found = _PATH.match(environ.get("PATH_INFO", ""))
        status = "404 Not Found"
        if found and environ["REQUEST_METHOD"] == "POST":
            status = self._handle(environ, *found.groups())
        body = b"{}"
        start_response(
            status,
            [("Content-Type", "application/json"), ("Content-Length", str(len(body)))],
        )
        return [body]

    def _handle(self, environ: dict[str, Any], endpoint: str, call: str) -> str:
        try:
            body = read_body(environ, self._cfg)
            if call == "deregister":
                self._agent.on_shutdown_notice(endpoint, decode_shutdown_notice(body))
                return "200 OK"
            report = decode_heartbeat(endpoint, read_object(body), self._endpoint_address)
        except (GentianmuxError, ValueError) as exc:
            self._agent.on_unreadable_heartbeat(endpoint, str(exc))
            return "400 Bad Request"
        self._agent.on_report(report)
        return "200 OK"
