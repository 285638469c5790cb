"""The platform log's HTTP interface over a log in memory, with faults that can be set."""

import json
from collections.abc import Iterable
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import gevent

from .codes import ResultCode
from .errors import LogError
from .json_reply import StartResponse, json_reply
from .platform_log import DEFAULT_READ_LIMIT, MemoryLog

_PREFIX = "/v1/streams/"


class LogFaults(NamedTuple):
    """Faults of the stand-in: seconds of delay, outage, and replies to lose after the write."""

    delay_s: float = 0.0
    down: bool = False
    lose_replies: int = 0


class LogApp:
    """A WSGI application that serves a ``MemoryLog``.

    ``POST /v1/streams/NAME`` appends, ``GET /v1/streams/NAME?from=N&limit=K`` reads, and
    ``PUT /faults`` sets the faults.

    Examples
    --------
    >>> app = LogApp(MemoryLog())
    >>> app.faults = LogFaults(down=True)
    """

    def __init__(self, log: MemoryLog) -> None:
        self.log = log
        self.faults = LogFaults()
        self.appends = 0

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        if path == "/faults" and method == "PUT":
            return self._set_faults(environ, start_response)
        if self.faults.delay_s:
            gevent.sleep(self.faults.delay_s)
        if self.faults.down:
            return json_reply(start_response, 503, {"error": "down"})
        if not path.startswith(_PREFIX):
            return json_reply(start_response, 404, {"error": "no such path"})
        stream = path[len(_PREFIX) :]
        if method == "POST":
            return self._append(stream, environ, start_response)
        return self._read(stream, environ, start_response)

    def _set_faults(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        self.faults = LogFaults(**json.loads(environ["wsgi.input"].read()))
        return json_reply(start_response, 200, self.faults._asdict())

    def _append(
        self, stream: str, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        self.appends += 1
        offset = self.log.append(stream, environ["wsgi.input"].read().decode())
        if self.faults.lose_replies > 0:
            self.faults = self.faults._replace(lose_replies=self.faults.lose_replies - 1)
            return json_reply(start_response, 504, {"error": "reply lost"})
        return json_reply(start_response, 201, {"offset": offset})

    def _read(
        self, stream: str, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        query = parse_qs(environ.get("QUERY_STRING", ""))
        offset = int(query.get("from", ["0"])[0])
        limit = int(query.get("limit", [str(DEFAULT_READ_LIMIT)])[0])
        oldest = self.log.oldest(stream)
        try:
            records = self.log.read(stream, offset, limit)
        except LogError as exc:
            status = 410 if exc.code is ResultCode.LOG_TRIMMED else 400
            return json_reply(start_response, status, {"oldest": oldest})
        rows = [{"offset": each.offset, "data": each.data} for each in records]
        return json_reply(start_response, 200, {"records": rows, "oldest": oldest})
