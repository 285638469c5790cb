"""An append-only log in memory, for standalone mode, tests and the log stand-in."""

import json
from typing import Any, NamedTuple, Protocol

from .codes import ResultCode
from .errors import LogError

DEFAULT_READ_LIMIT = 500


class Record(NamedTuple):
    """One record of a stream."""

    offset: int
    data: str


def load_object(record: Record) -> dict[str, Any]:
    """The JSON object that a record holds; empty when it holds none."""
    try:
        content = json.loads(record.data)
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}


class PlatformLog(Protocol):
    """What gentianmux relies on in the platform's log, and nothing more."""

    def append(self, stream: str, data: str) -> int:
        """Append and return the offset; a ``LogError`` leaves open whether it took effect."""
        ...

    def read(self, stream: str, offset: int, limit: int = DEFAULT_READ_LIMIT) -> list[Record]:
        """Read from an offset on; raises ``LOG_TRIMMED`` below the retained records."""
        ...

    def oldest(self, stream: str) -> int:
        """Offset of the oldest record still kept, or of the next one."""
        ...


class MemoryLog:
    """Streams of records with a bound on how many are kept.

    Parameters
    ----------
    retain : int
        Records kept for each stream.

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
        """Read at most ``limit`` records from ``offset`` on."""
        oldest = self.oldest(stream)
        if offset < oldest:
            raise LogError(ResultCode.LOG_TRIMMED, f"{stream} starts at {oldest}")
        start = offset - oldest
        chosen = self._records.get(stream, [])[start : start + limit]
        return [Record(offset + i, data) for i, data in enumerate(chosen)]

    def oldest(self, stream: str) -> int:
        """Offset of the oldest record kept, or of the next one when none is."""
        return self._oldest.get(stream, 0)


class Newest(NamedTuple):
    """The newest value of each key of a keyed topic, and the offset that follows them."""

    values: dict[str, bytes]
    end: int


class Changes(NamedTuple):
    """Records of a keyed topic in their order, and the offset that follows them."""

    values: list[tuple[str, bytes]]
    end: int


class KeyedLog(Protocol):
    """What gentianmux relies on in topics of which the newest record of each key is kept.

    Every call raises a ``LogError``: ``LOG_UNAVAILABLE`` when no usable answer came, and a write
    may then have taken effect; ``LOG_TRIMMED`` when records asked for are no longer kept.
    """

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Make a value the newest of its key; an empty one drops the key."""
        ...

    def newest(self, topic: str) -> Newest:
        """Read the newest value of each key."""
        ...

    def changes(self, topic: str, offset: int, wait_s: float) -> Changes:
        """Read what came from an offset on, waiting up to ``wait_s`` for something to come."""
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
        """Make a value the newest of its key."""
        self._records.setdefault(topic, []).append((key, value))

    def newest(self, topic: str) -> Newest:
        """Read the newest value of each key."""
        records = self._records.get(topic, [])
        return Newest({key: value for key, value in dict(records).items() if value}, len(records))

    def changes(self, topic: str, offset: int, wait_s: float) -> Changes:
        """Read what came from an offset on; this one never waits."""
        records = self._records.get(topic, [])
        return Changes(records[offset:], len(records))
