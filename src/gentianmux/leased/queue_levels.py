"""Estimates the level of each queue: run time over estimate at an endpoint of mean speed."""

from math import exp, log

MIN_LEVEL_RUNS = 16
"""Ended runs of a queue before its level is used; of several jobs."""

LEVEL_RUNS = 64
"""Ended runs over which the level of a queue is averaged: some 16 jobs, and few enough that levels
learned before the factors of endpoints are known are soon replaced."""

MAX_QUEUES = 4096
"""Queues whose level is kept; the one that was added first is dropped beyond it."""


class QueueLevels:
    """Mean run time over estimate of each queue at an endpoint of mean speed; pure.

    An entry sends the level with each run, so that agents learn the speed of the endpoint and not
    the error of the queue's estimates.

    Examples
    --------
    >>> levels = QueueLevels()
    >>> for _ in range(40):
    ...     levels.record("intake", ratio=3.0, factor=1.5)
    >>> levels.permille("intake"), levels.permille("other")
    (2000, 0)
    """

    def __init__(self) -> None:
        self._levels: dict[str, tuple[int, float]] = {}

    def record(self, queue: str, ratio: float, factor: float) -> None:
        """Record a run's time over its estimate, at an endpoint with a relative factor."""
        runs, level = self._levels.get(queue, (0, 0.0))
        if not runs and len(self._levels) >= MAX_QUEUES:
            del self._levels[next(iter(self._levels))]
        runs = min(runs + 1, LEVEL_RUNS)
        sample = log(max(ratio, 0.01) / factor)
        self._levels[queue] = runs, level + (sample - level) / runs

    def permille(self, queue: str) -> int:
        """Level of a queue in thousandths; 0 while it is not known."""
        runs, level = self._levels.get(queue, (0, 0.0))
        return max(1, round(1000 * exp(level))) if runs >= MIN_LEVEL_RUNS else 0
