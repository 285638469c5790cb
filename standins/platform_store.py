"""Stand-in for the platform's store: keyed topics with limits, lost responses and outages."""

import base64
import json
import struct
from collections.abc import Callable, Iterable
from time import monotonic
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import gevent

_LENGTH = struct.Struct("!I")
_OFFSETS = struct.Struct("!QQ")
PAGE_RECORDS = 500
MAX_RECORD_BYTES = 262144


class StoredRecord(NamedTuple):
    """A record of a keyed topic, with the monotonic time of its write."""

    written_at: float
    key: str
    value: bytes


class Response(NamedTuple):
    """Status and body of a response."""

    status: int
    body: bytes


class PlatformStoreApp:
    """WSGI application whose attributes inject faults.

    Attributes
    ----------
    error_status : int
        Status of the response to every call; 0 for normal operation.
    unanswered_calls : int
        Number of writes that are applied and then answered by closing the connection.
    malformed_body : bytes
        Body that replaces that of every successful response; empty for normal operation.
    max_writes_per_s : int
        Further writes within a second are refused with status 429.

    Examples
    --------
    >>> store = PlatformStoreApp(retention_s=20.0)
    >>> store.put("keyed.op", "config", b"{}")
    """

    def __init__(self, retention_s: float = 20.0, max_writes_per_s: int = 800) -> None:
        self.error_status = 0
        self.unanswered_calls = 0
        self.malformed_body = b""
        self.max_writes_per_s = max_writes_per_s
        self.writes = 0
        self._retention_s = retention_s
        self._second: tuple[int, int] = (0, 0)
        self._first: dict[str, int] = {}
        self._records: dict[str, list[StoredRecord]] = {}
        self._newest: dict[str, dict[str, tuple[int, bytes]]] = {}

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record without the checks that callers are subject to."""
        records = self._records.setdefault(topic, [])
        offset = self._first.setdefault(topic, 0) + len(records)
        records.append(StoredRecord(monotonic(), key, value))
        self._newest.setdefault(topic, {})[key] = (offset, value)
        if not value:
            del self._newest[topic][key]

    def drop_history(self) -> None:
        """Drop all records from the history; the newest value of each key stays."""
        for topic, records in self._records.items():
            self._first[topic] += len(records)
            records.clear()

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable:
        """Handle one call."""
        query = {name: each[0] for name, each in parse_qs(environ["QUERY_STRING"]).items()}
        call = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        body = environ["wsgi.input"].read()
        if self.error_status:
            response = Response(self.error_status, b"")
        elif call == ("POST", "/v1/log-append"):
            response = self._append(query, body)
            if self.unanswered_calls:
                self.unanswered_calls -= 1
                environ["gentianmux.socket"].close()
                return []
        elif call == ("GET", "/v1/log-newest"):
            response = self._page(query)
        elif call == ("GET", "/v1/log-read"):
            response = self._read(query)
        else:
            response = Response(404, b"")
        if self.malformed_body and response.status == 200:
            response = Response(200, self.malformed_body)
        start_response(f"{response.status} X", [("Content-Length", str(len(response.body)))])
        return [response.body]

    def _append(self, query: dict[str, str], body: bytes) -> Response:
        second, count = self._second
        now = int(monotonic())
        self._second = (now, count + 1 if now == second else 1)
        if self._second[1] > self.max_writes_per_s:
            return Response(429, b"")
        topic = query["topic"]
        at, rows = 0, []
        while at < len(body):
            (length,) = _LENGTH.unpack_from(body, at)
            content = body[at + 4 : at + 4 + length]
            if len(content) < length or length > MAX_RECORD_BYTES:
                return Response(400, b"")
            rows.append((content[1 : 1 + content[0]].decode(), content[1 + content[0] :]))
            at += 4 + length
        if topic in ("keyed.op", "keyed.servers"):
            return Response(403, b"")
        if "at" in query and int(query["at"]) != self._end(topic):
            return Response(412, json.dumps({"end": self._end(topic)}).encode())
        for key, value in rows:
            self.put(topic, key, value)
        self.writes += 1
        end = self._end(topic)
        return Response(200, json.dumps({"offset": end - len(rows), "end": end}).encode())

    def _end(self, topic: str) -> int:
        return self._first.get(topic, 0) + len(self._records.get(topic, []))

    def _expire(self, topic: str) -> None:
        records = self._records.get(topic, [])
        while records and monotonic() - records[0].written_at > self._retention_s:
            records.pop(0)
            self._first[topic] += 1

    def _page(self, query: dict[str, str]) -> Response:
        topic = query["topic"]
        newest = sorted(self._newest.get(topic, {}).items())
        remaining = [each for each in newest if each[0] > query.get("after", "")]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in remaining[:PAGE_RECORDS]
        ]
        content = {
            "items": items,
            "has_more": len(remaining) > PAGE_RECORDS,
            "end": self._end(topic),
        }
        return Response(200, json.dumps(content).encode())

    def _read(self, query: dict[str, str]) -> Response:
        topic, start = query["topic"], int(query["from"])
        deadline = monotonic() + int(query.get("wait_ms", 0)) / 1000
        while self._end(topic) <= start and monotonic() < deadline and not self.error_status:
            gevent.sleep(0.005)
        self._expire(topic)
        first = self._first.get(topic, 0)
        if self.error_status:
            return Response(self.error_status, b"")
        if start < first:
            return Response(410, json.dumps({"first": first}).encode())
        rows = self._records.get(topic, [])[start - first :]
        body = _OFFSETS.pack(self._end(topic), first)
        for row in rows:
            name = row.key.encode()
            content = bytes([len(name)]) + name + row.value
            body += _LENGTH.pack(len(content)) + content
        return Response(200, body)
