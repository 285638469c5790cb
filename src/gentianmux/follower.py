"""Follows one stream of the platform's log and applies its records to a state."""

from collections import deque
from collections.abc import Iterable
from typing import Protocol

from .codes import ResultCode
from .errors import LogError
from .platform_log import DEFAULT_READ_LIMIT, PlatformLog, Record

MAX_RECENT_RECORDS = 2000


class ReplicatedState(Protocol):
    """A state that every process derives from the same records in the same way."""

    def apply(self, record: Record) -> None:
        """Apply one record; an invalid record has no effect."""
        ...

    def snapshot_version(self, record: Record) -> int | None:
        """Return the version of a snapshot record, or None for any other record."""
        ...

    def restore(self, record: Record) -> None:
        """Replace this state by that of a snapshot record."""
        ...

    def snapshot(self) -> str:
        """Return the state as the data of a snapshot record."""
        ...


class Follower:
    """Reads a stream from its start, or from a snapshot when the start has been trimmed.

    Parameters
    ----------
    log : PlatformLog
        The log that holds the stream.
    stream : str
        The name of the stream.
    state : ReplicatedState
        The state to apply records to.

    Examples
    --------
    >>> from gentianmux.platform_log import MemoryLog
    >>> from gentianmux.config_state import ConfigState
    >>> follower = Follower(MemoryLog(), "config", ConfigState())
    >>> follower.poll()
    0
    """

    def __init__(self, log: PlatformLog, stream: str, state: ReplicatedState) -> None:
        self.log = log
        self.stream = stream
        self.state = state
        self.next_offset = 0
        self.snapshot_at = 0
        self.recent: deque[Record] = deque(maxlen=MAX_RECENT_RECORDS)

    def poll(self) -> int:
        """Read to the end of the stream and return the number of new records.

        Raises
        ------
        LogError
            If the log does not answer; records read before that stay applied.
        """
        count = 0
        while True:
            records = self._read()
            for record in records:
                self._apply(record)
            count += len(records)
            if len(records) < DEFAULT_READ_LIMIT:
                return count

    def _apply(self, record: Record) -> None:
        self.state.apply(record)
        self.next_offset = record.offset + 1
        self.recent.append(record)
        if self.state.snapshot_version(record) is not None:
            self.snapshot_at = record.offset

    def records_after(self, version: int) -> list[Record] | None:
        """Return the records after a version, or None if they are too many or not in memory."""
        if not self.recent or self.recent[0].offset > version + 1:
            return None
        found = [record for record in self.recent if record.offset > version]
        return found if len(found) <= DEFAULT_READ_LIMIT else None

    def apply_records(self, records: list[Record]) -> int:
        """Apply a peer's records if they continue this stream; return how many were applied."""
        fresh = [record for record in records if record.offset >= self.next_offset]
        if not fresh or fresh[0].offset != self.next_offset:
            return 0
        for record in fresh:
            self._apply(record)
        return len(fresh)

    def install_snapshot(self, version: int, data: str) -> bool:
        """Replace this state by a peer's if that is newer; return whether it was."""
        if version < self.next_offset:
            return False
        self.state.restore(Record(version, data))
        self.next_offset = version + 1
        self.recent.clear()
        return True

    def _read(self) -> list[Record]:
        try:
            return self.log.read(self.stream, self.next_offset)
        except LogError as exc:
            if exc.code is not ResultCode.LOG_TRIMMED:
                raise
        return self._restore_from_snapshot()

    def _restore_from_snapshot(self) -> list[Record]:
        """Restore the first snapshot whose following records are all still retained."""
        oldest = self.log.oldest(self.stream)
        kept = list(_read_all(self.log, self.stream, oldest))
        for record in kept:
            version = self.state.snapshot_version(record)
            if version is not None and version + 1 >= max(oldest, self.next_offset):
                self.state.restore(record)
                self.next_offset = version + 1
                return [each for each in kept if each.offset > version][:DEFAULT_READ_LIMIT]
        raise LogError(ResultCode.LOG_TRIMMED, f"no snapshot of {self.stream} is kept")


def _read_all(log: PlatformLog, stream: str, offset: int) -> Iterable[Record]:
    while True:
        records = log.read(stream, offset)
        yield from records
        if len(records) < DEFAULT_READ_LIMIT:
            return
        offset = records[-1].offset + 1
