"""Reaches the platform's log over HTTP."""

import json
from typing import Any
from urllib.parse import quote

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.url import URL

from .codes import ResultCode
from .errors import LogError
from .http_errors import HTTP_CALL_ERRORS
from .platform_log import DEFAULT_READ_LIMIT, Record


class HttpLog:
    """The platform's log as published: append to a stream, read from an offset.

    Parameters
    ----------
    url : str
        Address by IP number, such as ``http://127.0.0.1:7300``.
    timeout_s : float
        Bound on one call, in seconds.

    Raises
    ------
    LogError
        ``LOG_UNAVAILABLE`` when no answer came: an append may have taken effect all the same.
        ``LOG_TRIMMED`` when a read asks for records no longer kept.
    """

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        self._timeout_s = timeout_s
        self._client = HTTPClient.from_url(
            URL(url), concurrency=4, connection_timeout=timeout_s, network_timeout=timeout_s
        )

    def append(self, stream: str, data: str) -> int:
        """Append a record and return its offset."""
        content = self._call("POST", f"/v1/streams/{quote(stream)}", data.encode(), 201)
        return int(content["offset"])

    def read(self, stream: str, offset: int, limit: int = DEFAULT_READ_LIMIT) -> list[Record]:
        """Read at most ``limit`` records from ``offset`` on."""
        path = f"/v1/streams/{quote(stream)}?from={offset}&limit={limit}"
        content = self._call("GET", path, b"", 200)
        return [Record(each["offset"], each["data"]) for each in content["records"]]

    def oldest(self, stream: str) -> int:
        """Offset of the oldest record still kept."""
        content = self._call("GET", f"/v1/streams/{quote(stream)}?from=0&limit=1", b"", 200, 410)
        return int(content["oldest"])

    def _call(self, method: str, path: str, body: bytes, *expected: int) -> dict[str, Any]:
        try:
            with gevent.Timeout(self._timeout_s):
                response = self._client.request(method, path, body=body)
                content = json.loads(response.read() or b"{}")
        except HTTP_CALL_ERRORS as exc:
            raise LogError(ResultCode.LOG_UNAVAILABLE, type(exc).__name__) from exc
        if response.status_code in expected:
            return dict(content)
        if response.status_code == 410:
            raise LogError(ResultCode.LOG_TRIMMED, f"the stream starts at {content['oldest']}")
        raise LogError(ResultCode.LOG_UNAVAILABLE, f"status {response.status_code}")
