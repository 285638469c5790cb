"""Tells a stalled or slow run from a healthy one by the progress it reports."""

from typing import NamedTuple

STALL_S = 0.35
"""Seconds without progress before a run counts as stalled.

A run of 10 s moves by a whole percent in 100 ms; three reports without any are no rounding."""

SLOW_FACTOR = 3.0
"""How many times its estimate a run must be heading for to count as slow.

Estimates are off by up to some 40 % either way, so twice the estimate is still ordinary."""

MIN_OBSERVATION_S = 0.12
"""Seconds of a run before its rate says anything: one report of progress and some rounding."""


class RunProgress(NamedTuple):
    """What has been seen of one run: how far it is and since when it has been there."""

    began: float
    percent: float = 0.0
    moved_at: float = 0.0

    def updated(self, percent: float, now: float) -> "Progress":
        """Take in a report."""
        if percent > self.percent or not self.moved_at:
            return RunProgress(self.began, percent, now)
        return self

    def is_stalled(self, now: float) -> bool:
        """Whether the run has stood still for too long."""
        since = self.moved_at or self.began
        return now - since > STALL_S and self.percent < 100

    def projected_ms(self, now: float) -> float | None:
        """Run time it is heading for, in ms; None while too little was seen."""
        elapsed = now - self.began
        if elapsed < MIN_OBSERVATION_S:
            return None
        done = max(self.percent, 0.5) / 100
        return elapsed * 1000 / done
