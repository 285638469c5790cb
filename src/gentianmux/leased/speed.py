"""Estimates the speed of an agent's endpoint from the run times of its runs.

The expected run time is the estimate of a run times the level of its queue. The factor of an
endpoint is run time over expected run time, above 1 if it is slow.
"""

from collections import deque
from math import exp, log
from statistics import median

MIN_RUNS = 16
"""Ended runs before a factor is known: fewer may be of one or two jobs, whose tasks share the error
of an estimate, and would make even endpoints look uneven."""

SPEED_RUNS = 64
"""Ended runs over which the factor is averaged: some 16 jobs of four tasks each, whose errors of
40 % then leave less than half of a speed class."""

RECENT_RUNS = 5
"""Runs that are compared with those before them. A change shows after three of them; one or two may
be outliers."""

CHANGE_RATIO = 2.0
"""Ratio of recent run times to earlier ones from which the speed has changed: an estimate that is
40 % too low, and tasks of a job that take a sixth longer than their mean, explain no more."""

FORGET_S = 10.0
"""Seconds without an ended run after which a factor is no longer known: an endpoint that was slow,
and gets no runs because of that, is tried again."""


class SpeedEstimate:
    """Speed factor of one incarnation of an endpoint, learned at its agent; pure.

    The factor is the geometric mean of run time over expected run time. After a change of speed,
    earlier runs are dropped.

    Attributes
    ----------
    changes : int
        Number of changes of speed that were detected.
    running_ratio : float
        Ratio of the active runs while they are much slower than the ended ones; else 0.

    Examples
    --------
    >>> speed = SpeedEstimate()
    >>> for _ in range(MIN_RUNS):
    ...     speed.ended(1.6, now=1.0)
    >>> speed.percent(now=1.0)
    160
    >>> for _ in range(3):
    ...     speed.ended(4.8, now=2.0)
    >>> speed.percent(now=2.0) > 300
    True
    """

    def __init__(self) -> None:
        self.changes = 0
        self._logs: deque[float] = deque(maxlen=SPEED_RUNS)
        self._ended_at = float("-inf")
        self.running_ratio = 0.0

    def ended(self, ratio: float, now: float) -> None:
        """Record the run time over expected run time of a run that has ended."""
        if now - self._ended_at > FORGET_S:
            self._logs.clear()
        self._ended_at = now
        self._logs.append(log(max(ratio, 0.01)))
        if len(self._logs) > RECENT_RUNS:
            self._drop_before_change()

    def _drop_before_change(self) -> None:
        logs = list(self._logs)
        recent, earlier = logs[-RECENT_RUNS:], logs[:-RECENT_RUNS]
        typical = median(recent)
        change = typical - sum(earlier) / len(earlier)
        if abs(change) <= log(CHANGE_RATIO):
            return
        self.changes += 1
        # Of the recent runs, those before the change are nearer to the earlier ones.
        kept = [each for each in recent if abs(each - typical) < abs(change) / 2]
        self._logs.clear()
        self._logs.extend(kept)

    def observe_running(self, ratios: list[float], running: int) -> None:
        """Record the ratios that active runs will at least reach by their progress.

        They count while more than half of the active runs are slower than the ended ones by more
        than the error of an estimate.

        Parameters
        ----------
        ratios : list of float
            Lower bounds on run time over expected run time, of runs with enough progress.
        running : int
            Number of active runs.
        """
        self.running_ratio = 0.0
        if len(ratios) < 2 or len(ratios) * 2 <= running:
            return
        typical = median(ratios)
        if typical > CHANGE_RATIO * self.factor():
            self.running_ratio = typical

    def factor(self) -> float:
        """Run time over expected run time of the ended runs; 1.0 while there are none."""
        return exp(sum(self._logs) / len(self._logs)) if self._logs else 1.0

    def percent(self, now: float) -> int:
        """Factor in percent as reported to entries; 0 while it is not known."""
        if self.running_ratio:
            return round(100 * self.running_ratio)
        # After a change three runs are enough, since they agree.
        needed = MIN_RUNS if not self.changes else RECENT_RUNS // 2 + 1
        if len(self._logs) < needed or now - self._ended_at > FORGET_S:
            return 0
        return max(1, round(100 * self.factor()))
