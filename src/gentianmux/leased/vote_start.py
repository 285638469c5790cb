"""Decides from when on the grants of an entry that has just started count; pure."""

from collections.abc import Collection
from enum import IntEnum
from typing import NamedTuple

from .lock_times import LockTimes


class Predecessor(IntEnum):
    """What an entry knows of the process that ran before another one on the same instance."""

    UNKNOWN = 0
    """It has met none."""

    LEFT = 1
    """The last one said that it held no locks and had no runs before it ended."""

    LOST = 2
    """The last one ended otherwise."""


class PeerStart(NamedTuple):
    """What another entry has told when its connection opened.

    Attributes
    ----------
    started_at : float
        Monotonic time of its start, in seconds, on the clock of the receiver.
    told_at : float
        Monotonic time at which it has told so.
    predecessor : Predecessor
        What it knows of the predecessor of the receiver.
    """

    started_at: float
    told_at: float
    predecessor: Predecessor


class VoteStart:
    """Tells when a process that has lost the locks of its predecessor may grant locks.

    It may once it knows every lock that a live entry still relies on, and no run of a process that
    has ended can be active. Every entry tells it about its locks when they connect; an entry that
    does not is waited for until its locks would have been dropped.

    Parameters
    ----------
    started_at : float
        Monotonic time of the start of this process, in seconds.
    times : LockTimes
        How long locks and runs may last.

    Attributes
    ----------
    started_at : float
        Monotonic time of that start.

    Examples
    --------
    >>> start = VoteStart(10.0, LockTimes(1.1))
    >>> start.on_told("e2", PeerStart(2.0, 10.2, Predecessor.LEFT))
    >>> start.may_vote({"e2"}, 10.2), start.may_vote({"e2", "e3"}, 10.2)
    (True, False)
    """

    def __init__(self, started_at: float, times: LockTimes) -> None:
        self.started_at = started_at
        self._times = times
        self._told: dict[str, PeerStart] = {}

    def age_s(self, now: float) -> float:
        """Seconds since this process started."""
        return now - self.started_at

    def on_told(self, entry: str, start: PeerStart) -> None:
        """Note what an entry has told."""
        self._told[entry] = start

    def may_vote(self, others: Collection[str] | None, now: float) -> bool:
        """Whether grants count.

        Parameters
        ----------
        others : collection of str, optional
            Names of all other entries; None if they are not known.
        now : float
            Monotonic time in seconds.
        """
        if self.age_s(now) >= self._times.drop_after_s:
            return True
        if others is None or not self._told.keys() >= set(others):
            return False
        told = self._told.values()
        last_start = max((start.started_at for start in told), default=self.started_at)
        if now >= max(last_start, self.started_at) + self._times.lease_end_s:
            return True
        return self._has_left()

    def _has_left(self) -> bool:
        """Whether the predecessor of this process is known to have left nothing behind."""
        told = self._told.values()
        known = {start.predecessor for start in told}
        remember = all(s.told_at - s.started_at >= self._times.drop_after_s for s in told)
        return remember and Predecessor.LEFT in known and Predecessor.LOST not in known
