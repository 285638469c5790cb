"""Follows one stream of the platform's log into a folded state."""

from collections import deque
from collections.abc import Iterable
from typing import Protocol

from .codes import ResultCode
from .errors import LogError
from .platform_log import DEFAULT_READ_LIMIT, PlatformLog, Record

REMEMBERED_RECORDS = 2000


class Fold(Protocol):
    """A state that records are folded into, the same way by every process."""

    def apply(self, record: Record) -> None:
        """Fold one record in; a record that is void changes nothing."""
        ...

    def snapshot_version(self, record: Record) -> int | None:
        """Version that a snapshot record stands for; None for any other record."""
        ...

    def restore(self, record: Record) -> None:
        """Replace the whole state by a snapshot's."""
        ...

    def snapshot(self) -> str:
        """The state as the data of a snapshot record."""
        ...


class Follower:
    """Reads a stream from its start, or from a snapshot where the start is gone.

    Parameters
    ----------
    log : PlatformLog
        Where the stream is.
    stream : str
        Its name.
    fold : Fold
        The state to fold records into.

    Examples
    --------
    >>> from gentianmux.platform_log import MemoryLog
    >>> from gentianmux.config_state import ConfigState
    >>> follower = Follower(MemoryLog(), "config", ConfigState())
    >>> follower.poll()
    0
    """

    def __init__(self, log: PlatformLog, stream: str, fold: Fold) -> None:
        self.log = log
        self.stream = stream
        self.fold = fold
        self.next_offset = 0
        self.snapshot_at = 0
        self.recent: deque[Record] = deque(maxlen=REMEMBERED_RECORDS)

    def poll(self) -> int:
        """Read to the end of the stream and return how many records were new.

        Raises
        ------
        LogError
            When the log does not answer; what was read before stands.
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
        self.fold.apply(record)
        self.next_offset = record.offset + 1
        self.recent.append(record)
        if self.fold.snapshot_version(record) is not None:
            self.snapshot_at = record.offset

    def records_after(self, version: int) -> list[Record] | None:
        """Records beyond a version, for a peer; None when too many, or not at hand."""
        if not self.recent or self.recent[0].offset > version + 1:
            return None
        found = [record for record in self.recent if record.offset > version]
        return found if len(found) <= DEFAULT_READ_LIMIT else None

    def take(self, records: list[Record]) -> int:
        """Fold in records from a peer that follow on what was read; return how many."""
        fresh = [record for record in records if record.offset >= self.next_offset]
        if not fresh or fresh[0].offset != self.next_offset:
            return 0
        for record in fresh:
            self._apply(record)
        return len(fresh)

    def take_snapshot(self, version: int, data: str) -> bool:
        """Take a peer's state when it is ahead of this one."""
        if version < self.next_offset:
            return False
        self.fold.restore(Record(version, data))
        self.next_offset = version + 1
        self.recent.clear()
        return True

    def _read(self) -> list[Record]:
        try:
            return self.log.read(self.stream, self.next_offset)
        except LogError as exc:
            if exc.code is not ResultCode.LOG_TRIMMED:
                raise
        return self._skip_to_snapshot()

    def _skip_to_snapshot(self) -> list[Record]:
        """Start over from the first snapshot whose following records are all still kept."""
        oldest = self.log.oldest(self.stream)
        kept = list(_read_all(self.log, self.stream, oldest))
        for record in kept:
            version = self.fold.snapshot_version(record)
            if version is not None and version + 1 >= max(oldest, self.next_offset):
                self.fold.restore(record)
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
