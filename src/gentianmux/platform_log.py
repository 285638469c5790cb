"""Interfaces of the platform's logs, with in-memory implementations."""

import json
from typing import Any, NamedTuple, Protocol

from .codes import ResultCode
from .errors import LogError

DEFAULT_READ_LIMIT = 500


class Record(NamedTuple):
    """One record of a stream."""

    offset: int
    data: str


def parse_object(record: Record) -> dict[str, Any]:
    """Return the JSON object in a record, or an empty dict if it holds none."""
    try:
        content = json.loads(record.data)
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}


class PlatformLog(Protocol):
    """The operations that gentianmux needs of the platform's log."""

    def append(self, stream: str, data: str) -> int:
        """Append a record and return its offset; after a ``LogError`` it may have taken effect."""
        ...

    def read(self, stream: str, offset: int, limit: int = DEFAULT_READ_LIMIT) -> list[Record]:
        """Read records from ``offset`` on; raises ``LOG_TRIMMED`` below the oldest retained one."""
        ...

    def oldest(self, stream: str) -> int:
        """Return the offset of the oldest retained record, or of the next one if there is none."""
        ...


class MemoryLog:
    """In-memory streams that retain a limited number of records.

    Parameters
    ----------
    retain : int
        Number of records retained per stream.

    Examples
    --------
    >>> log = MemoryLog()
    >>> log.append("config", "{}")
    0
    >>> log.read("config", 0)
    [Record(offset=0, data='{}')]
    """

    def __init__(self, retain: int = 1_000_000) -> None:
        self._retain = retain
        self._oldest: dict[str, int] = {}
        self._records: dict[str, list[str]] = {}

    def append(self, stream: str, data: str) -> int:
        """Append a record and return its offset."""
        records = self._records.setdefault(stream, [])
        records.append(data)
        if len(records) > self._retain:
            excess = len(records) - self._retain
            del records[:excess]
            self._oldest[stream] = self.oldest(stream) + excess
        return self.oldest(stream) + len(records) - 1

    def read(self, stream: str, offset: int, limit: int = DEFAULT_READ_LIMIT) -> list[Record]:
        """Read at most ``limit`` records, starting at ``offset``."""
        oldest = self.oldest(stream)
        if offset < oldest:
            raise LogError(ResultCode.LOG_TRIMMED, f"{stream} starts at {oldest}")
        start = offset - oldest
        chosen = self._records.get(stream, [])[start : start + limit]
        return [Record(offset + i, data) for i, data in enumerate(chosen)]

    def oldest(self, stream: str) -> int:
        """Return the offset of the oldest retained record, or of the next one if there is none."""
        return self._oldest.get(stream, 0)


class Newest(NamedTuple):
    """The newest value of each key of a topic, and the offset after them."""

    values: dict[str, bytes]
    end: int


class Changes(NamedTuple):
    """Records of a topic in order, and the offset after them."""

    values: list[tuple[str, bytes]]
    end: int


class KeyedLog(Protocol):
    """The operations that gentianmux needs of topics that retain the newest record per key.

    Every call may raise a ``LogError``: ``LOG_UNAVAILABLE`` if no usable answer came, in which
    case a write may have taken effect; ``LOG_TRIMMED`` if the records are no longer retained.
    """

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Set the newest value of a key; an empty value removes the key."""
        ...

    def put_at(self, topic: str, key: str, value: bytes, end: int) -> bool:
        """Set the newest value of a key if the topic ends at an offset; false if it does not."""
        ...

    def newest(self, topic: str) -> Newest:
        """Read the newest value of each key."""
        ...

    def changes(self, topic: str, offset: int, wait_s: float) -> Changes:
        """Read records from an offset on, waiting up to ``wait_s`` seconds for the first."""
        ...


class MemoryKeyedLog:
    """Keyed topics in memory, for tests.

    Examples
    --------
    >>> log = MemoryKeyedLog()
    >>> log.put("agents", "w1", b"{}")
    >>> log.newest("agents")
    Newest(values={'w1': b'{}'}, end=1)
    """

    def __init__(self) -> None:
        self._records: dict[str, list[tuple[str, bytes]]] = {}

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Set the newest value of a key."""
        self._records.setdefault(topic, []).append((key, value))

    def put_at(self, topic: str, key: str, value: bytes, end: int) -> bool:
        """Set the newest value of a key if the topic ends at an offset."""
        if end != len(self._records.get(topic, [])):
            return False
        self.put(topic, key, value)
        return True

    def newest(self, topic: str) -> Newest:
        """Read the newest value of each key."""
        records = self._records.get(topic, [])
        return Newest({key: value for key, value in dict(records).items() if value}, len(records))

    def changes(self, topic: str, offset: int, wait_s: float) -> Changes:
        """Read records from an offset on without waiting."""
        records = self._records.get(topic, [])
        return Changes(records[offset:], len(records))
