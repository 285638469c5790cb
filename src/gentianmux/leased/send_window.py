"""How much an entry may have on its way to agents, as its link is seen to carry."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from .entry_leases import REPORT_INTERVAL_S

MANY = 4
"""Agents of which one is about to report at any moment: a report comes every 0.125 s."""

SLOW_S = 0.06
"""Seconds from an assignment to the report that tells of it, on the quickest way to any agent,
beyond which the link is full: half of what the shortest jobs may wait. In the smallest deployment
with links of 1 Mbit/s two heavy days were worth 0.62 and 0.44 (first 14 s), with 0.1 s 0.60 and
0.40, with 0.2 s 0.45 and 0.09, and without a bound -0.76 and -1.18 (whole days)."""

ROUND_S = 0.2
"""Seconds between two corrections: a report of every agent falls into it."""

LEAST_BYTES = 8 * 1024
"""Bytes that may always be on their way: 65 ms of a link of 1 Mbit/s."""

LEAST_S = 0.015
"""Seconds of the link, as the settings tell it, that may always be on their way: so little does not
fill it, and reports that are late all the same tell of a process that stood still. Small enough to
fill 0.15 s of a link that has lost nine tenths of its width."""

MOST_BYTES = 4 * 1024 * 1024
"""Bytes on their way in any case: a third of a second of a link of 100 Mbit/s."""

START_S = 0.1
"""Seconds of the link, as the settings tell it, that may be on their way before anything was seen
of it: a burst after a start fits, and is over when an order would be too old."""

SHRINK, GROW = 0.7, 1.25
"""Factors of a correction. With 0.5 and 2.0 the bytes on their way swung between what a link
carries in 0.1 and in 0.6 s, and every second order came too late."""


class _Sent(NamedTuple):
    number: int
    size: int
    at: float


class SendWindow:
    """Bounds the bytes of assignments that agents have not told of yet; pure.

    Orders that fill a link hold up the echoes by which runs may go on, and are refused when they
    come; sent again, they fill it for good. On links of 2 Mbit/s an entry at 1.6 times what they
    carry served 45 jobs of 5,293.

    The quickest agent judges: one that is slow itself says nothing of the link.

    Parameters
    ----------
    link_bytes_s : float
        What the link carries by the settings, in bytes a second; 0 where they do not tell.

    Examples
    --------
    >>> window = SendWindow()
    >>> window.sent("w1", 1, 40_000, now=0.0)
    >>> window.told("w1", 1, now=0.3)
    >>> window.correct(now=0.3)
    >>> window.limit
    28000
    """

    def __init__(self, link_bytes_s: float = 0.0) -> None:
        start = int(START_S * link_bytes_s) if link_bytes_s else MOST_BYTES
        self._least = max(LEAST_BYTES, int(LEAST_S * link_bytes_s))
        self.limit = max(self._least, min(MOST_BYTES, start))
        self.on_way = 0
        self.limited_at = float("-inf")
        self._sent: dict[str, deque[_Sent]] = {}
        self._most = 0
        self._quickest_s: float | None = None
        self._told_by: set[str] = set()
        self._corrected_at = 0.0

    def left(self) -> int:
        """Bytes that may still be sent now."""
        return self.limit - self.on_way

    def hold_back(self, now: float) -> None:
        """Note that something waits for the link."""
        self.limited_at = now

    def is_limiting(self, now: float) -> bool:
        """Whether something had to wait for the link lately."""
        return now - self.limited_at < 2 * ROUND_S

    def sent(self, agent: str, number: int, size: int, now: float) -> None:
        """Note an assignment that leaves."""
        self._sent.setdefault(agent, deque()).append(_Sent(number, size, now))
        self.on_way += size
        self._most = max(self._most, self.on_way)

    def told(self, agent: str, applied: int, now: float) -> None:
        """Note that an agent tells of its assignments up to a number."""
        waiting = self._sent.get(agent, deque())
        while waiting and waiting[0].number <= applied:
            sent = waiting.popleft()
            self.on_way -= sent.size
            self._note(now - sent.at)
            self._told_by.add(agent)

    def forget(self, agent: str) -> None:
        """Drop what is on its way to an agent that is lost, or connects anew."""
        self.on_way -= sum(sent.size for sent in self._sent.pop(agent, ()))

    def _note(self, took_s: float) -> None:
        if self._quickest_s is None or took_s < self._quickest_s:
            self._quickest_s = took_s

    def correct(self, now: float) -> None:
        """Correct the limit by what was seen since the last correction, once a round."""
        if now - self._corrected_at < ROUND_S:
            return
        for age_s in self._ages(now):
            if age_s > self._slow_s:
                self._note(age_s)
        if self._quickest_s is not None and self._quickest_s > self._slow_s:
            self.limit = max(self._least, int(SHRINK * min(self.limit, self._most)))
        elif self.is_limiting(now):
            self.limit = min(MOST_BYTES, int(GROW * self.limit))
        self._corrected_at = now
        self._quickest_s = None
        self._told_by.clear()
        self._most = self.on_way

    @property
    def _slow_s(self) -> float:
        """What is slow: of many agents one reports at once, of a few each may be about to."""
        return SLOW_S if len(self._told_by) >= MANY else SLOW_S + REPORT_INTERVAL_S

    def _ages(self, now: float) -> Iterator[float]:
        """Ages of the oldest assignments that agents have not told of."""
        return (now - waiting[0].at for waiting in self._sent.values() if waiting)
