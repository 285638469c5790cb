"""The platform's store: keyed topics of its log, in the form the product relies on."""

import base64
import struct
from collections.abc import Iterator
from urllib.parse import urlencode

from loguru import logger

from ..codes import ResultCode
from ..errors import LogError
from ..leased.model import NoAnswer
from ..platform_log import Changes, Newest
from .http_client import HttpCaller, HttpReply

CALL_S = 1.0
"""Seconds for one call; the store answers within some 20 ms when it is well, and 50 times slower
at its slowest, which this still allows."""

CONNECTIONS = 3
"""Two reads that wait for changes, and one write."""

WATCH_SPARE_S = 0.6
"""Seconds beyond its wait that a read for changes may take: three times the slowest answer of the
store, and soon enough to notice a connection that went silent."""

PARTITION = 0
"""Keyed topics of this product have one partition: a record an instance and some changes a day."""

KEYED = "keyed."
"""How the names of topics begin of which the store keeps the newest record of each key."""

_LENGTH = struct.Struct("!I")
_OFFSETS = struct.Struct("!QQ")


class PlatformStore:
    """Reads and writes keyed topics.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.

    Raises
    ------
    LogError
        By every call: ``LOG_TRIMMED`` for records no longer kept, ``LOG_UNAVAILABLE`` otherwise.
    """

    def __init__(self, address: str) -> None:
        self._http = HttpCaller(address, CONNECTIONS)
        self._answering = True

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Make a value the newest of its key; an empty one drops the key."""
        name = key.encode()
        content = bytes([len(name)]) + name + value
        body = _LENGTH.pack(len(content)) + content
        self._call("POST", "/v1/log-append", _partition(topic), body)

    def newest(self, topic: str) -> Newest:
        """Read the newest value of each key, page by page."""
        values: dict[str, bytes] = {}
        query = _partition(topic)
        while True:
            reply = self._call("GET", "/v1/log-newest", query)
            try:
                page = reply.json()
                items = page["items"]
                # ``value`` is base64 here, though records hold it as it is.
                values |= {item["key"]: base64.b64decode(item["value"]) for item in items}
                end = int(page["end"])
                more = bool(page.get("has_more")) and bool(items)
            except (NoAnswer, KeyError, TypeError, ValueError) as exc:
                raise self._unusable(f"a page of {topic} cannot be read: {exc!r}") from exc
            if not more:
                return Newest({key: value for key, value in values.items() if value}, end)
            query["after"] = items[-1]["key"]

    def changes(self, topic: str, offset: int, wait_s: float) -> Changes:
        """Read what came from an offset on, waiting up to ``wait_s`` for something to come."""
        query = {**_partition(topic), "from": offset, "wait_ms": int(wait_s * 1000)}
        reply = self._call("GET", "/v1/log-read", query, timeout_s=wait_s + WATCH_SPARE_S)
        try:
            # The end of the partition, not of what this answer holds.
            _end, _first = _OFFSETS.unpack_from(reply.body)
            records = list(_split(reply.body[_OFFSETS.size :]))
        except (struct.error, ValueError, IndexError) as exc:
            raise self._unusable(f"records of {topic} cannot be read: {exc!r}") from exc
        return Changes(records, offset + len(records))

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        body: bytes = b"",
        timeout_s: float = CALL_S,
    ) -> HttpReply:
        try:
            reply = self._http.call(method, f"{path}?{urlencode(query)}", body, timeout_s)
        except NoAnswer as exc:
            raise self._unusable(str(exc)) from exc
        if reply.status == 410:
            raise LogError(ResultCode.LOG_TRIMMED, f"{path}: older records are gone")
        if reply.status != 200:
            raise self._unusable(f"{path}: status {reply.status}")
        if not self._answering:
            self._answering = True
            logger.info("store answers again")
        return reply

    def _unusable(self, reason: str) -> LogError:
        if self._answering:
            self._answering = False
            logger.bind(reason=reason).warning("store lost")
        return LogError(ResultCode.LOG_UNAVAILABLE, reason)


def _partition(topic: str) -> dict[str, str | int]:
    return {"topic": KEYED + topic, "part": PARTITION}


def _split(data: bytes) -> Iterator[tuple[str, bytes]]:
    """Keys and values of length-prefixed records; raises ``ValueError`` on a cut one."""
    at = 0
    while at < len(data):
        (length,) = _LENGTH.unpack_from(data, at)
        content = data[at + _LENGTH.size : at + _LENGTH.size + length]
        if len(content) < length or not content:
            raise ValueError("a record is cut off")
        name_end = 1 + content[0]
        yield content[1:name_end].decode(), content[name_end:]
        at += _LENGTH.size + length
