"""Exceptions raised by calls of the HTTP client library."""

import gevent
from geventhttpclient.response import HTTPParseError

HTTP_CALL_ERRORS: tuple[type[BaseException], ...] = (
    gevent.Timeout,
    OSError,
    ValueError,
    HTTPParseError,
)
