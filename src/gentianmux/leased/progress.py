"""Detects stalled and slow runs by the progress that they report."""

from typing import NamedTuple

STALL_TIMEOUT_S = 0.35
"""Seconds without progress before a run counts as stalled: several reports, so that the rounding of
progress to percents does not look like a stall."""

SLOW_FACTOR = 3.0
"""Ratio of its projected run time to its estimate from which a run counts as slow. Estimates are
off by up to 40 % either way, so twice the estimate is ordinary."""

MIN_ELAPSED_S = 0.12
"""Seconds of a run before its rate is used: one report of progress, which is rounded."""

PROGRESS_AGE_S = 0.1
"""Largest age of progress when it is observed, in seconds."""

MIN_PERCENT = 10.0
"""Progress from which a run time is bounded: rounding to percents then matters little."""


class RunProgress(NamedTuple):
    """Progress of one run.

    Attributes
    ----------
    began : float
        Monotonic time at which the run began.
    percent : float
        Part of its work that is done.
    moved_at : float
        Monotonic time of the last progress; 0 before the first report.

    Examples
    --------
    >>> RunProgress(0.0).updated(10.0, now=0.5).projected_ms(now=1.0)
    10000.0
    """

    began: float
    percent: float = 0.0
    moved_at: float = 0.0

    def updated(self, percent: float, now: float) -> "RunProgress":
        """Return the progress after a report."""
        if percent > self.percent or not self.moved_at:
            return RunProgress(self.began, percent, now)
        return self

    def is_stalled(self, now: float) -> bool:
        """Whether the run has made no progress for too long."""
        since = self.moved_at or self.began
        return now - since > STALL_TIMEOUT_S and self.percent < 100

    def projected_ms(self, now: float) -> float | None:
        """Projected run time in ms; None in the first ``MIN_ELAPSED_S``."""
        elapsed = now - self.began
        if elapsed < MIN_ELAPSED_S:
            return None
        done = max(self.percent, 0.5) / 100
        return elapsed * 1000 / done

    def least_ms(self) -> float | None:
        """Lower bound on the run time in ms, if it goes on as it did; None while unknown."""
        if self.percent < MIN_PERCENT:
            return None
        return (self.moved_at - self.began - PROGRESS_AGE_S) * 1e5 / self.percent
