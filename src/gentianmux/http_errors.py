"""What a call through the HTTP client library can fail with."""

import gevent
from geventhttpclient.response import HTTPParseError

HTTP_CALL_ERRORS: tuple[type[BaseException], ...] = (
    gevent.Timeout,
    OSError,
    ValueError,
    HTTPParseError,
)
