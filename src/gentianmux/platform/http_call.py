"""Bounded HTTP calls by IP number, for the store and the endpoint."""

import json
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Any, NamedTuple

import gevent
from geventhttpclient import HTTPClient

from ..http_errors import CALL_FAILED
from ..leased.model import NoAnswer

CONNECT_S = 0.5
"""Seconds to connect: a round trip is a few ms, a lost opening packet is sent again after 1 s."""

LONGEST_CALL_S = 60.0
"""Seconds that a socket may be silent; each call has a bound of its own, which is shorter."""


class HttpReply(NamedTuple):
    """Status and body of an answer."""

    status: int
    body: bytes

    def json(self) -> dict[str, Any]:
        """The JSON object in the body.

        Raises
        ------
        NoAnswer
            When the body holds anything else; it is as good as no answer.
        """
        try:
            content = json.loads(self.body)
        except ValueError as exc:
            raise NoAnswer(f"status {self.status} without readable JSON") from exc
        if not isinstance(content, dict):
            raise NoAnswer(f"status {self.status} with JSON that is no object")
        return content


class HttpCaller:
    """Keeps connections to one address and calls it within time bounds.

    Parameters
    ----------
    address : str
        ``ip:port``.
    connections : int
        Most connections at once; further calls wait for one.
    """

    def __init__(self, address: str, connections: int) -> None:
        ip, _, port = address.partition(":")
        self._client = HTTPClient(
            ip,
            int(port),
            concurrency=connections,
            connection_timeout=CONNECT_S,
            network_timeout=LONGEST_CALL_S,
        )
        # Without this a call with a body waits for a delayed acknowledgement, some 40 ms.
        self._client._connection_pool.after_connect = _send_at_once  # type: ignore[method-assign]

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> HttpReply:
        """Call once.

        Raises
        ------
        NoAnswer
            When no whole answer came in time; the call may have taken effect, or may yet do so.
        """
        timeout = gevent.Timeout(timeout_s)
        try:
            with timeout:
                response = self._client.request(method, path, body=body, headers=headers or {})
                return HttpReply(response.status_code, bytes(response.read()))
        except CALL_FAILED as exc:
            if isinstance(exc, gevent.Timeout) and exc is not timeout:
                raise
            raise NoAnswer(f"{method} {path.partition('?')[0]}: {type(exc).__name__}") from exc

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


def _send_at_once(sock: Any) -> None:
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
