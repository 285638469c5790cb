"""Limits the bytes in flight from an entry to agents to what its link can carry."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from .chain import REPORT_S

MANY = 4
"""Number of agents from which one is about to report at any moment."""

SLOW_S = 0.06
"""Seconds from an assignment to its acknowledgement, by the fastest agent, beyond which the link is
congested: half of the time for which the shortest jobs may wait."""

ROUND_S = 0.2
"""Seconds between two adjustments; every agent reports within them."""

LEAST_BYTES = 8 * 1024
"""Bytes that may always be in flight."""

LEAST_S = 0.015
"""Seconds of the configured bandwidth that may always be in flight: too little to fill the link, so
acknowledgements that are late all the same come from a paused process. Small enough not to block a
link that has lost most of its bandwidth."""

MOST_BYTES = 4 * 1024 * 1024
"""Bound on the bytes in flight."""

START_S = 0.1
"""Seconds of the configured bandwidth that may be in flight at first: enough for a burst after a
start, and sent before an assignment becomes too old."""

SHRINK, GROW = 0.7, 1.25
"""Factors of an adjustment; larger ones make the window oscillate."""


class _Sent(NamedTuple):
    number: int
    size: int
    at: float


class SendWindow:
    """Congestion window: bounds the bytes of unacknowledged assignments; pure.

    Assignments that fill a link delay the echoes that renew entry leases, arrive too late and are
    refused; sent again, they would keep the link full for good. The fastest agent counts, since a
    slow agent says nothing about the link.

    Parameters
    ----------
    link_bytes_s : float
        Configured bandwidth in bytes per second; 0 when not configured.

    Attributes
    ----------
    limit : int
        Bytes that may be in flight.
    on_way : int
        Bytes in flight.

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
        """Bytes that may still be sent."""
        return self.limit - self.on_way

    def hold_back(self, now: float) -> None:
        """Record that tasks wait for the link."""
        self.limited_at = now

    def is_limiting(self, now: float) -> bool:
        """Whether tasks have waited for the link lately."""
        return now - self.limited_at < 2 * ROUND_S

    def sent(self, agent: str, number: int, size: int, now: float) -> None:
        """Record an assignment that is sent."""
        self._sent.setdefault(agent, deque()).append(_Sent(number, size, now))
        self.on_way += size
        self._most = max(self._most, self.on_way)

    def told(self, agent: str, applied: int, now: float) -> None:
        """Record that an agent has acknowledged its assignments up to a number."""
        waiting = self._sent.get(agent, deque())
        while waiting and waiting[0].number <= applied:
            sent = waiting.popleft()
            self.on_way -= sent.size
            self._note(now - sent.at)
            self._told_by.add(agent)

    def forget(self, agent: str) -> None:
        """Drop the bytes in flight to an agent that is lost or connects again."""
        self.on_way -= sum(sent.size for sent in self._sent.pop(agent, ()))

    def _note(self, took_s: float) -> None:
        if self._quickest_s is None or took_s < self._quickest_s:
            self._quickest_s = took_s

    def correct(self, now: float) -> None:
        """Adjust the limit to the delays since the last adjustment, once per interval."""
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
        """Delay from which the link is congested; a few agents may all be between two reports."""
        return SLOW_S if len(self._told_by) >= MANY else SLOW_S + REPORT_S

    def _ages(self, now: float) -> Iterator[float]:
        """Ages of each agent's oldest unacknowledged assignment."""
        return (now - waiting[0].at for waiting in self._sent.values() if waiting)
