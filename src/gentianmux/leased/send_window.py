"""Limits the bytes in flight from an entry to agents to what its link can carry."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from .entry_leases import REPORT_INTERVAL_S

MANY_AGENTS = 4
"""Number of agents from which one is about to report at any moment."""

CONGESTED_S = 0.06
"""Seconds from an assignment to its acknowledgement, by the fastest agent, beyond which the link is
congested: half of the time for which the shortest jobs may wait."""

ADJUST_INTERVAL_S = 0.2
"""Seconds between two adjustments; every agent reports within them."""

MIN_WINDOW_BYTES = 8 * 1024
"""Bytes that may always be in flight: 65 ms of a link of 1 Mbit/s."""

MIN_WINDOW_S = 0.015
"""Seconds of the configured bandwidth that may always be in flight: too little to fill the link, so
acknowledgements that are late all the same come from a paused process. Small enough not to block a
link that has lost most of its bandwidth."""

MAX_WINDOW_BYTES = 4 * 1024 * 1024
"""Bound on the bytes in flight: a third of a second of a link of 100 Mbit/s."""

INITIAL_WINDOW_S = 0.1
"""Seconds of the configured bandwidth that may be in flight at first: enough for a burst after a
start, and sent before an assignment becomes too old."""

DECREASE_FACTOR, INCREASE_FACTOR = 0.7, 1.25
"""Factors of an adjustment; larger ones make the window oscillate."""


class _Sent(NamedTuple):
    number: int
    size: int
    sent_at: float


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
    in_flight_bytes : int
        Bytes in flight.

    Examples
    --------
    >>> window = SendWindow()
    >>> window.sent("w1", 1, 40_000, now=0.0)
    >>> window.acknowledged("w1", 1, now=0.3)
    >>> window.adjust(now=0.3)
    >>> window.limit
    28000
    """

    def __init__(self, link_bytes_s: float = 0.0) -> None:
        initial_bytes = int(INITIAL_WINDOW_S * link_bytes_s) if link_bytes_s else MAX_WINDOW_BYTES
        self._min_bytes = max(MIN_WINDOW_BYTES, int(MIN_WINDOW_S * link_bytes_s))
        self.limit = max(self._min_bytes, min(MAX_WINDOW_BYTES, initial_bytes))
        self.in_flight_bytes = 0
        self.blocked_at = float("-inf")
        self._sent: dict[str, deque[_Sent]] = {}
        self._peak_in_flight_bytes = 0
        self._fastest_s: float | None = None
        self._acknowledged_by: set[str] = set()
        self._adjusted_at = 0.0

    def available_bytes(self) -> int:
        """Bytes that may still be sent."""
        return self.limit - self.in_flight_bytes

    def record_blocked(self, now: float) -> None:
        """Record that tasks wait for the link."""
        self.blocked_at = now

    def is_limiting(self, now: float) -> bool:
        """Whether tasks have waited for the link lately."""
        return now - self.blocked_at < 2 * ADJUST_INTERVAL_S

    def sent(self, agent: str, number: int, size: int, now: float) -> None:
        """Record an assignment that is sent."""
        self._sent.setdefault(agent, deque()).append(_Sent(number, size, now))
        self.in_flight_bytes += size
        self._peak_in_flight_bytes = max(self._peak_in_flight_bytes, self.in_flight_bytes)

    def acknowledged(self, agent: str, applied: int, now: float) -> None:
        """Record that an agent has acknowledged its assignments up to a number."""
        unacknowledged = self._sent.get(agent, deque())
        while unacknowledged and unacknowledged[0].number <= applied:
            sent = unacknowledged.popleft()
            self.in_flight_bytes -= sent.size
            self._record_delay(now - sent.sent_at)
            self._acknowledged_by.add(agent)

    def forget(self, agent: str) -> None:
        """Drop the bytes in flight to an agent that is lost or connects again."""
        self.in_flight_bytes -= sum(sent.size for sent in self._sent.pop(agent, ()))

    def _record_delay(self, delay_s: float) -> None:
        if self._fastest_s is None or delay_s < self._fastest_s:
            self._fastest_s = delay_s

    def adjust(self, now: float) -> None:
        """Adjust the limit to the delays since the last adjustment, once per interval."""
        if now - self._adjusted_at < ADJUST_INTERVAL_S:
            return
        for age_s in self._ages(now):
            if age_s > self._congested_s:
                self._record_delay(age_s)
        if self._fastest_s is not None and self._fastest_s > self._congested_s:
            self.limit = max(
                self._min_bytes, int(DECREASE_FACTOR * min(self.limit, self._peak_in_flight_bytes))
            )
        elif self.is_limiting(now):
            self.limit = min(MAX_WINDOW_BYTES, int(INCREASE_FACTOR * self.limit))
        self._adjusted_at = now
        self._fastest_s = None
        self._acknowledged_by.clear()
        self._peak_in_flight_bytes = self.in_flight_bytes

    @property
    def _congested_s(self) -> float:
        """Delay from which the link is congested; a few agents may all be between two reports."""
        return (
            CONGESTED_S
            if len(self._acknowledged_by) >= MANY_AGENTS
            else CONGESTED_S + REPORT_INTERVAL_S
        )

    def _ages(self, now: float) -> Iterator[float]:
        """Ages of each agent's oldest unacknowledged assignment."""
        return (
            now - unacknowledged[0].sent_at
            for unacknowledged in self._sent.values()
            if unacknowledged
        )
