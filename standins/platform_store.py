"""A stand-in for the users' store: keyed topics of its log, with limits, loss and outages."""

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
PAGE = 500
RECORD_BYTES = 262144


class Stored(NamedTuple):
    """One record of a keyed topic."""

    at: float
    key: str
    value: bytes


class Answer(NamedTuple):
    """Status and body of an answer."""

    status: int
    body: bytes


class PlatformStoreApp:
    """A WSGI application; its attributes are the faults that tests set.

    Attributes
    ----------
    down : int
        Status that every call gets; 0 for none.
    unanswered_calls : int
        Writes that are done and then answered by a closed connection.
    garbage : bytes
        What every successful call answers instead; empty for the truth.
    writes_per_s : int
        Writes beyond this are refused with 429.

    Examples
    --------
    >>> store = PlatformStoreApp(keep_s=20.0)
    >>> store.put("keyed.op", "config", b"{}")
    """

    def __init__(self, keep_s: float = 20.0, writes_per_s: int = 800) -> None:
        self.down = 0
        self.unanswered_calls = 0
        self.garbage = b""
        self.writes_per_s = writes_per_s
        self.writes = 0
        self._keep_s = keep_s
        self._second: tuple[int, int] = (0, 0)
        self._first: dict[str, int] = {}
        self._records: dict[str, list[Stored]] = {}
        self._newest: dict[str, dict[str, tuple[int, bytes]]] = {}

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record, as the operators do."""
        records = self._records.setdefault(topic, [])
        offset = self._first.setdefault(topic, 0) + len(records)
        records.append(Stored(monotonic(), key, value))
        self._newest.setdefault(topic, {})[key] = (offset, value)
        if not value:
            del self._newest[topic][key]

    def forget_history(self) -> None:
        """Drop every record that is not the newest of its key from what can be read in order."""
        for topic, records in self._records.items():
            self._first[topic] += len(records)
            records.clear()

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable:
        """Answer one call."""
        query = {name: each[0] for name, each in parse_qs(environ["QUERY_STRING"]).items()}
        call = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        body = environ["wsgi.input"].read()
        if self.down:
            answer = Answer(self.down, b"")
        elif call == ("POST", "/v1/log-append"):
            answer = self._append(query, body)
            if self.unanswered_calls:
                self.unanswered_calls -= 1
                environ["gentianmux.socket"].close()
                return []
        elif call == ("GET", "/v1/log-newest"):
            answer = self._page(query)
        elif call == ("GET", "/v1/log-read"):
            answer = self._read(query)
        else:
            answer = Answer(404, b"")
        if self.garbage and answer.status == 200:
            answer = Answer(200, self.garbage)
        start_response(f"{answer.status} X", [("Content-Length", str(len(answer.body)))])
        return [answer.body]

    def _append(self, query: dict[str, str], body: bytes) -> Answer:
        second, count = self._second
        now = int(monotonic())
        self._second = (now, count + 1 if now == second else 1)
        if self._second[1] > self.writes_per_s:
            return Answer(429, b"")
        topic = query["topic"]
        at, rows = 0, []
        while at < len(body):
            (length,) = _LENGTH.unpack_from(body, at)
            content = body[at + 4 : at + 4 + length]
            if len(content) < length or length > RECORD_BYTES:
                return Answer(400, b"")
            rows.append((content[1 : 1 + content[0]].decode(), content[1 + content[0] :]))
            at += 4 + length
        if topic in ("keyed.op", "keyed.servers"):
            return Answer(403, b"")
        for key, value in rows:
            self.put(topic, key, value)
        self.writes += 1
        end = self._end(topic)
        return Answer(200, json.dumps({"offset": end - len(rows), "end": end}).encode())

    def _end(self, topic: str) -> int:
        return self._first.get(topic, 0) + len(self._records.get(topic, []))

    def _expire(self, topic: str) -> None:
        records = self._records.get(topic, [])
        while records and monotonic() - records[0].at > self._keep_s:
            records.pop(0)
            self._first[topic] += 1

    def _page(self, query: dict[str, str]) -> Answer:
        topic = query["topic"]
        newest = sorted(self._newest.get(topic, {}).items())
        left = [each for each in newest if each[0] > query.get("after", "")]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in left[:PAGE]
        ]
        content = {"items": items, "has_more": len(left) > PAGE, "end": self._end(topic)}
        return Answer(200, json.dumps(content).encode())

    def _read(self, query: dict[str, str]) -> Answer:
        topic, start = query["topic"], int(query["from"])
        until = monotonic() + int(query.get("wait_ms", 0)) / 1000
        while self._end(topic) <= start and monotonic() < until and not self.down:
            gevent.sleep(0.005)
        self._expire(topic)
        first = self._first.get(topic, 0)
        if self.down:
            return Answer(self.down, b"")
        if start < first:
            return Answer(410, json.dumps({"first": first}).encode())
        rows = self._records.get(topic, [])[start - first :]
        body = _OFFSETS.pack(self._end(topic), first)
        for row in rows:
            name = row.key.encode()
            content = bytes([len(name)]) + name + row.value
            body += _LENGTH.pack(len(content)) + content
        return Answer(200, body)
