"""Notices that a process stood still."""

from loguru import logger

MIN_PAUSE_S = 0.25
"""Shortest gap between two checks that counts as a pause: ten periods of the longest tick, more
than a busy event loop takes for a turn."""


class PauseDetector:
    """Notices pauses of this process, by the time between two checks; pure but for its log line.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.

    Attributes
    ----------
    resumed_at : float
        Monotonic time at which the end of the last pause was noticed; 0 if there was none.

    Examples
    --------
    >>> pauses = PauseDetector(now=10.0)
    >>> pauses.check(10.01), pauses.check(13.01)
    (0.0, 3.0)
    """

    def __init__(self, now: float) -> None:
        self.resumed_at = 0.0
        self._checked_at = now

    def check(self, now: float) -> float:
        """Return for how long the process stood still since the last check; 0.0 if it did not."""
        gap_s = now - self._checked_at
        self._checked_at = now
        if gap_s < MIN_PAUSE_S:
            return 0.0
        self.resumed_at = now
        logger.bind(paused_ms=round(gap_s * 1000)).warning("process was paused")
        return gap_s
