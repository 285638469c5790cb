"""HTTP client for the API of an entry or agent."""

import json
import ssl
from typing import Any, NamedTuple

from geventhttpclient import HTTPClient
from geventhttpclient.url import URL

from .codes import ResultCode
from .errors import GentianmuxError
from .http_errors import HTTP_CALL_ERRORS


class ApiReply(NamedTuple):
    """HTTP status and decoded JSON body of a reply."""

    status: int
    content: dict[str, Any]


class ApiClient:
    """Client for one entry or agent, acting as one member.

    Parameters
    ----------
    url : str
        Base URL with an IP address, such as ``http://127.0.0.1:7480``.
    key : str
        The member's API key; empty for calls that need no authentication.
    timeout_s : float
        Network timeout of a call, in seconds.
    insecure : bool
        Whether to skip verification of the TLS certificate.
    """

    def __init__(
        self, url: str, key: str = "", timeout_s: float = 310.0, insecure: bool = False
    ) -> None:
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        options: dict[str, Any] = {}
        if insecure:
            options["ssl_context_factory"] = _unverified_ssl_context
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
        """Send a request and decode the JSON reply.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path below the base URL.
        body : bytes
            Request body.
        headers : dict[str, str] or None
            Further request headers.

        Returns
        -------
        ApiReply
            The reply, whatever its HTTP status.

        Raises
        ------
        GentianmuxError
            ``PEER_LOST`` if the request failed without a usable reply.
        """
        try:
            response = self._client.request(method, path, body=body, headers=headers or {})
            content = json.loads(response.read() or b"{}")
        except HTTP_CALL_ERRORS as exc:
            raise GentianmuxError(ResultCode.PEER_LOST, f"{type(exc).__name__}: {exc}") from exc
        return ApiReply(response.status_code, content)


def _unverified_ssl_context() -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context
