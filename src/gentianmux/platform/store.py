"""Client of the platform's store, which provides keyed topics."""

import base64
import struct
from collections.abc import Collection, Iterable, Iterator
from typing import Any
from urllib.parse import urlencode

from loguru import logger

from ..codes import ResultCode
from ..errors import LogError
from ..leased.model import NoAnswer
from ..platform_log import Changes, Newest
from .http_client import HttpClient, HttpReply

CALL_TIMEOUT_S = 1.0
"""Timeout of one call. The store answers within some 20 ms, and 50 times slower when it is
overloaded."""

MAX_CONNECTIONS = 3
"""Two long polls for changes, and one write."""

LONG_POLL_MARGIN_S = 0.6
"""Time that a read for changes may take beyond its wait; bounds how long a stalled connection goes
unnoticed."""

STALE_AFTER_FAILURES = 1
"""Calls without a response after which idle connections are not used again. All of them may have
stalled at once, and a second call that waits for its timeout would delay a configuration beyond
the 2 s within which it has to be in force."""

PARTITION = 0
"""The keyed topics are small, with one record per instance, and have a single partition."""

KEYED_PREFIX = "keyed."
"""Prefix of the topics of which the store keeps the newest record of each key."""

UNREADABLE_KEY = ""
"""Stands for a key that is no text; no record that is used has an empty one."""

MAX_LOGGED_CHARS = 200
"""Characters of an unreadable record that are logged."""

_MOVED_ON = 412
"""Status of an append whose partition no longer ends at the given offset."""

_LENGTH = struct.Struct("!I")
_OFFSETS = struct.Struct("!QQ")


class PlatformStore:
    """Reads and writes keyed topics of the platform's store.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.

    Raises
    ------
    LogError
        By every call: ``LOG_TRIMMED`` for records no longer kept, ``LOG_UNAVAILABLE`` otherwise.

    Examples
    --------
    ``store.put("op", "key", b"value")``, then ``store.newest("op").values["key"]``.
    """

    def __init__(self, address: str) -> None:
        self._http = HttpClient(address, MAX_CONNECTIONS, STALE_AFTER_FAILURES)
        self._is_available = True

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Make a value the newest of its key; an empty value deletes the key."""
        self._call("POST", "/v1/log-append", _partition(topic), _record(key, value))

    def put_at(self, topic: str, key: str, value: bytes, end: int) -> bool:
        """Make a value the newest of its key if the topic ends at an offset."""
        query = {**_partition(topic), "at": end}
        accepted = (200, _MOVED_ON)
        reply = self._call("POST", "/v1/log-append", query, _record(key, value), accepted=accepted)
        return reply.status != _MOVED_ON

    def newest(self, topic: str) -> Newest:
        """Read the newest value of each key, page by page."""
        values: dict[str, bytes] = {}
        query = _partition(topic)
        while True:
            reply = self._call("GET", "/v1/log-newest", query)
            try:
                page = reply.json()
                items = page["items"]
                values.update(_read_items(items))
                end = int(page["end"])
                more = bool(page.get("has_more")) and bool(items)
            except (NoAnswer, KeyError, TypeError, ValueError) as exc:
                raise self._unavailable(f"malformed page of {topic}: {exc!r}") from exc
            if not more:
                return Newest({key: value for key, value in values.items() if value}, end)
            query["after"] = items[-1]["key"]

    def changes(self, topic: str, offset: int, wait_s: float) -> Changes:
        """Read the records from an offset on, waiting up to ``wait_s`` seconds for the first."""
        query = {**_partition(topic), "from": offset, "wait_ms": int(wait_s * 1000)}
        reply = self._call("GET", "/v1/log-read", query, timeout_s=wait_s + LONG_POLL_MARGIN_S)
        try:
            # ``_end`` is the end of the partition, not of the records in this response.
            _end, _first = _OFFSETS.unpack_from(reply.body)
            records = list(_split(reply.body[_OFFSETS.size :]))
        except (struct.error, ValueError, IndexError) as exc:
            raise self._unavailable(f"malformed records of {topic}: {exc!r}") from exc
        return Changes(records, offset + len(records))

    def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
        accepted: Collection[int] = (200,),
    ) -> HttpReply:
        try:
            reply = self._http.call(method, f"{path}?{urlencode(query)}", body, timeout_s)
        except NoAnswer as exc:
            raise self._unavailable(str(exc)) from exc
        if reply.status == 410:
            raise LogError(
                ResultCode.LOG_TRIMMED, f"{path}: the requested records are no longer kept"
            )
        if reply.status not in accepted:
            raise self._unavailable(f"{path}: status {reply.status}")
        if not self._is_available:
            self._is_available = True
            logger.info("store available again")
        return reply

    def _unavailable(self, reason: str) -> LogError:
        if self._is_available:
            self._is_available = False
            logger.bind(reason=reason).warning("store lost")
        return LogError(ResultCode.LOG_UNAVAILABLE, reason)


def _record(key: str, value: bytes) -> bytes:
    """Encode a record of a keyed topic, with its length."""
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return _LENGTH.pack(len(content)) + content


def _partition(topic: str) -> dict[str, str | int]:
    return {"topic": KEYED_PREFIX + topic, "part": PARTITION}


def _split(data: bytes) -> Iterator[tuple[str, bytes]]:
    """Split length-prefixed records into keys and values; ``ValueError`` if one is truncated."""
    at = 0
    while at < len(data):
        (length,) = _LENGTH.unpack_from(data, at)
        content = data[at + _LENGTH.size : at + _LENGTH.size + length]
        if len(content) < length or not content:
            raise ValueError("truncated record")
        name_end = 1 + content[0]
        at += _LENGTH.size + length
        try:
            key = content[1:name_end].decode()
        except UnicodeDecodeError:
            _log_unreadable(content[1:name_end])
            key = UNREADABLE_KEY
        yield key, content[name_end:]


def _read_items(items: Iterable[Any]) -> Iterator[tuple[str, bytes]]:
    """Keys and values of a page; an unreadable one of another writer does not hide the others."""
    for item in items:
        try:
            # ``value`` is base64 here, unlike in the records of ``log-read``.
            key, value = item["key"], base64.b64decode(item["value"])
        except (KeyError, TypeError, ValueError):
            _log_unreadable(item)
            continue
        if isinstance(key, str):
            yield key, value
        else:
            _log_unreadable(item)


def _log_unreadable(record: object) -> None:
    logger.bind(record=repr(record)[:MAX_LOGGED_CHARS]).warning("record of the store unreadable")
