"""Bounded HTTP calls by IP number, for the store and the endpoint."""

from socket import IPPROTO_TCP, TCP_NODELAY
from time import monotonic
from typing import Any, NamedTuple
from weakref import WeakKeyDictionary

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool

from ..http_errors import HTTP_CALL_ERRORS
from ..leased.model import NoAnswer
from ..typed_json import read_object

CONNECT_S = 0.5
"""Seconds to connect: a round trip is a few ms, a lost opening packet is sent again after 1 s."""

LONGEST_CALL_S = 60.0
"""Seconds that a socket may be silent; each call has a bound of its own, which is shorter."""

DOUBTED_AFTER = 2
"""Calls in a row without an answer after which idle connections are doubted: single answers get
lost, and a new connection to an endpoint has its price."""


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
            return read_object(self.body)
        except ValueError as exc:
            raise NoAnswer(f"status {self.status}: {exc}") from exc


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
        self._client = HTTPClient(ip, int(port))
        self._pool = _Pool(ip, int(port), connections)
        self._client._connection_pool = self._pool
        self._unanswered_since: list[float] = []

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
        began = monotonic()
        try:
            with timeout:
                response = self._client.request(method, path, body=body, headers=headers or {})
                reply = HttpReply(response.status_code, bytes(response.read()))
        except HTTP_CALL_ERRORS as exc:
            if isinstance(exc, gevent.Timeout) and exc is not timeout:
                raise
            self._doubt(began)
            raise NoAnswer(f"{method} {path.partition('?')[0]}: {type(exc).__name__}") from exc
        self._unanswered_since.clear()
        return reply

    def _doubt(self, began: float) -> None:
        """Give up idle connections once calls get no answers: all may have gone silent at once."""
        self._unanswered_since.append(began)
        if len(self._unanswered_since) >= DOUBTED_AFTER:
            self._pool.doubted_before = min(self._unanswered_since)
            self._unanswered_since.clear()

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


class _Pool(ConnectionPool):
    """Connections to one address; those that last answered before ``doubted_before`` are closed."""

    def __init__(self, ip: str, port: int, size: int) -> None:
        super().__init__(
            ip,
            port,
            ip,
            port,
            size=size,
            connection_timeout=CONNECT_S,
            network_timeout=LONGEST_CALL_S,
        )
        self.doubted_before = 0.0
        self._answered_at: WeakKeyDictionary[Any, float] = WeakKeyDictionary()

    def after_connect(self, sock: Any) -> None:
        # Without this a call with a body waits for a delayed acknowledgement, some 40 ms.
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    def return_socket(self, sock: Any) -> None:
        self._answered_at[sock] = monotonic()
        super().return_socket(sock)

    def _is_socket_alive(self, sock: Any) -> bool:
        doubted = self._answered_at.get(sock, 0.0) < self.doubted_before
        return not doubted and super()._is_socket_alive(sock)
