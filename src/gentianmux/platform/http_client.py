"""HTTP client with time limits and stale connection detection, for the store and the endpoint."""

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

CONNECT_TIMEOUT_S = 0.5
"""Shorter than the kernel's first SYN retransmission, which follows after 1 s."""

SOCKET_TIMEOUT_S = 60.0
"""Upper bound for any call; each call has a shorter timeout of its own."""

STALE_AFTER_FAILURES = 2
"""Default of ``stale_after``. A single failure is too common to justify new connections to an
endpoint."""


class HttpReply(NamedTuple):
    """Status and body of a response."""

    status: int
    body: bytes

    def json(self) -> dict[str, Any]:
        """Decode the JSON object in the body.

        Raises
        ------
        NoAnswer
            When the body is not a JSON object; it is treated like a missing response.
        """
        try:
            return read_object(self.body)
        except ValueError as exc:
            raise NoAnswer(f"status {self.status}: {exc}") from exc


class HttpClient:
    """Calls one address over a pool of connections, with a timeout for each call.

    Parameters
    ----------
    address : str
        ``ip:port``.
    connections : int
        Maximum number of connections; further calls wait for a free one.
    stale_after : int
        Consecutive calls without a response after which idle connections are considered stale.

    Examples
    --------
    ``HttpClient("127.0.0.1:80", connections=2).call("GET", "/healthz", b"", timeout_s=1.0).status``
    """

    def __init__(
        self, address: str, connections: int, stale_after: int = STALE_AFTER_FAILURES
    ) -> None:
        ip, _, port = address.partition(":")
        self._client = HTTPClient(ip, int(port))
        self._pool = _Pool(ip, int(port), connections)
        self._client._connection_pool = self._pool
        self._stale_after = stale_after
        self._failed_call_starts: list[float] = []

    def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        headers: dict[str, str] | None = None,
    ) -> HttpReply:
        """Make one call, without retries.

        Raises
        ------
        NoAnswer
            When no complete response arrived in time; the call may still take effect.
        """
        timeout = gevent.Timeout(timeout_s)
        started_at = monotonic()
        try:
            with timeout:
                response = self._client.request(method, path, body=body, headers=headers or {})
                reply = HttpReply(response.status_code, bytes(response.read()))
        except HTTP_CALL_ERRORS as exc:
            if isinstance(exc, gevent.Timeout) and exc is not timeout:
                raise
            self._record_failure(started_at)
            raise NoAnswer(f"{method} {path.partition('?')[0]}: {type(exc).__name__}") from exc
        self._failed_call_starts.clear()
        return reply

    def _record_failure(self, started_at: float) -> None:
        """Mark idle connections as stale after repeated failures: all may have stalled at once."""
        self._failed_call_starts.append(started_at)
        if len(self._failed_call_starts) >= self._stale_after:
            self._pool.stale_before = min(self._failed_call_starts)
            self._failed_call_starts.clear()

    def renew_connections(self) -> None:
        """Use no connection that was opened so far, but for calls that are in progress on it."""
        self._pool.stale_before = monotonic()
        self._failed_call_starts.clear()

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


class _Pool(ConnectionPool):
    """Connection pool that closes connections whose last response is before ``stale_before``."""

    def __init__(self, ip: str, port: int, size: int) -> None:
        super().__init__(
            ip,
            port,
            ip,
            port,
            size=size,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=SOCKET_TIMEOUT_S,
        )
        self.stale_before = 0.0
        self._last_response_at: WeakKeyDictionary[Any, float] = WeakKeyDictionary()

    def after_connect(self, sock: Any) -> None:
        # Otherwise a call with a body waits for a delayed acknowledgement.
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    def return_socket(self, sock: Any) -> None:
        self._last_response_at[sock] = monotonic()
        super().return_socket(sock)

    def _is_socket_alive(self, sock: Any) -> bool:
        is_stale = self._last_response_at.get(sock, 0.0) < self.stale_before
        return not is_stale and super()._is_socket_alive(sock)
