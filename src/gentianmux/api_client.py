"""Calls the HTTP interface of an entry or agent, for the command-line tool."""

import json
import ssl
from typing import Any, NamedTuple

from geventhttpclient import HTTPClient
from geventhttpclient.url import URL

from .codes import ResultCode
from .errors import GentianmuxError
from .http_errors import HTTP_CALL_ERRORS


class ApiReply(NamedTuple):
    """An answer of the interface."""

    status: int
    content: dict[str, Any]


class ApiClient:
    """One caller of an entry.

    Parameters
    ----------
    url : str
        Address by IP number, such as ``http://127.0.0.1:7480``.
    key : str
        The member's key; empty for calls that need none.
    timeout_s : float
        Bound on one call, in seconds.
    insecure : bool
        Whether to accept any certificate.
    """

    def __init__(
        self, url: str, key: str = "", timeout_s: float = 310.0, insecure: bool = False
    ) -> None:
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        options: dict[str, Any] = {}
        if insecure:
            options["ssl_context_factory"] = _unchecked_context
        self._client = HTTPClient.from_url(
            URL(url),
            headers=headers,
            connection_timeout=2.0,
            network_timeout=timeout_s,
            insecure=insecure,
            **options,
        )

    def call(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> ApiReply:
        """Call and parse the answer.

        Raises
        ------
        GentianmuxError
            ``PEER_LOST`` when no answer came.
        """
        try:
            response = self._client.request(method, path, body=body, headers=headers or {})
            content = json.loads(response.read() or b"{}")
        except HTTP_CALL_ERRORS as exc:
            raise GentianmuxError(ResultCode.PEER_LOST, f"{type(exc).__name__}: {exc}") from exc
        return ApiReply(response.status_code, content)


def _unchecked_context() -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context
