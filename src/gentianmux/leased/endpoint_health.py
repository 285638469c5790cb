"""How much work an endpoint may be given, judged by how its runs have ended."""

from collections import deque

from .resources import Resources

FAILED_IN_A_ROW = 4
"""Runs of different jobs; one task in 500 fails by its own fault, so four in a row are the
endpoint's, and a job that can never be done fails on one endpoint once."""

STALLS = 2
"""Stalled runs in one look: one may be the task's, two are the endpoint's."""

FIRST_EJECTION_S = 1.0
"""Seconds; about the time that half of a short disruption lasts."""

LONGEST_EJECTION_S = 4.0
"""Seconds; a healthy endpoint is back after at most this long."""

RECENT = 8
"""Ended runs that the slowness is averaged over: some 0.4 s of work at 24 runs a second."""

TRICKLE = 1
"""Runs at once that a returning endpoint is tried with."""


class EndpointHealth:
    """Ejects an endpoint that fails, stalls or refuses everything, and lets it back by a trickle.

    Examples
    --------
    >>> health = EndpointHealth()
    >>> for job in "abcd":
    ...     health.ended(job, failed=True, ratio=None, now=1.0)
    >>> health.is_ejected(1.5), health.is_ejected(2.5), health.on_trial
    (True, False, True)
    """

    def __init__(self) -> None:
        self._failed_jobs: set[str] = set()
        self._ratios: deque[float] = deque(maxlen=RECENT)
        self._until = 0.0
        self._span_s = FIRST_EJECTION_S
        self.on_trial = False
        self.ejections = 0

    def ended(self, job: str, failed: bool, ratio: float | None, now: float) -> None:
        """Note how a run ended; ``ratio`` is its run time over its estimate."""
        if not failed:
            self._failed_jobs.clear()
            self._recovered()
            if ratio is not None:
                self._ratios.append(ratio)
            return
        self._failed_jobs.add(job)
        if len(self._failed_jobs) >= FAILED_IN_A_ROW or self.on_trial:
            self.eject(now)

    def stalled(self, runs: int, now: float) -> None:
        """Note that runs stand still at the same time."""
        if runs >= STALLS or self.on_trial:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Give the endpoint nothing for a while, longer each time."""
        if self.is_ejected(now):
            return
        self._until = now + self._span_s
        self._span_s = min(LONGEST_EJECTION_S, self._span_s * 1.5)
        self._failed_jobs.clear()
        self.on_trial = True
        self.ejections += 1

    def _recovered(self) -> None:
        self.on_trial = False
        self._span_s = FIRST_EJECTION_S

    def is_ejected(self, now: float) -> bool:
        """Whether the endpoint gets nothing at present."""
        return now < self._until

    def offered(self, free: Resources, running: int, now: float) -> Resources:
        """How much of the free room may be used."""
        if self.is_ejected(now) or (self.on_trial and running >= TRICKLE):
            return Resources()
        return free

    def slowness(self) -> float:
        """Mean run time over estimate of the last runs; 1.0 while nothing is known."""
        return sum(self._ratios) / len(self._ratios) if self._ratios else 1.0
