"""Ejects an endpoint that fails or stalls, and measures its slowness."""

from .resources import Resources
from .speed import SpeedEstimate

EJECT_AFTER_FAILURES = 4
"""Consecutive failed runs of different jobs after which an endpoint is ejected. One task in 500
fails by its own fault, so four in a row are the endpoint's; a job that can never be done fails on
one endpoint once."""

EJECT_AFTER_STALLS = 2
"""Runs stalled at the same time after which an endpoint is ejected; one may be the task's fault."""

MIN_EJECTION_S = 1.0
"""Length of the first ejection in seconds."""

MAX_EJECTION_S = 4.0
"""Bound on the length of an ejection in seconds."""

TRIAL_RUNS = 1
"""Concurrent runs of an endpoint on trial."""


class EndpointHealth:
    """Ejects an endpoint that fails or stalls, and readmits it after a successful trial.

    Attributes
    ----------
    on_trial : bool
        Whether no run has succeeded since the last ejection.
    ejections : int
        Number of ejections.
    speed : SpeedEstimate
        Speed of the endpoint.

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
        self.speed = SpeedEstimate()
        self._ejected_until = 0.0
        self._ejection_s = MIN_EJECTION_S
        self.on_trial = False
        self.ejections = 0

    def ended(self, job: str, failed: bool, ratio: float | None, now: float) -> None:
        """Record how a run ended.

        Parameters
        ----------
        job : str
            Id of its job.
        failed : bool
            Whether the run failed.
        ratio : float or None
            Run time over expected run time; None when it says nothing.
        now : float
            Monotonic time in seconds.
        """
        if not failed:
            self._failed_jobs.clear()
            self._recovered()
            if ratio is not None:
                self.speed.ended(ratio, now)
            return
        self._failed_jobs.add(job)
        if len(self._failed_jobs) >= EJECT_AFTER_FAILURES or self.on_trial:
            self.eject(now)

    def stalled(self, runs: int, now: float) -> None:
        """Record the number of runs that are stalled now."""
        if runs >= EJECT_AFTER_STALLS or self.on_trial:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Offer nothing of the endpoint for a while, longer each time."""
        if self.is_ejected(now):
            return
        self._ejected_until = now + self._ejection_s
        self._ejection_s = min(MAX_EJECTION_S, self._ejection_s * 1.5)
        self._failed_jobs.clear()
        self.on_trial = True
        self.ejections += 1

    def _recovered(self) -> None:
        self.on_trial = False
        self._ejection_s = MIN_EJECTION_S

    def is_ejected(self, now: float) -> bool:
        """Whether nothing of the endpoint is offered at present."""
        return now < self._ejected_until

    def offered(self, free: Resources, running: int, now: float) -> Resources:
        """Return the part of the free resources that may be used."""
        if self.is_ejected(now) or (self.on_trial and running >= TRIAL_RUNS):
            return Resources()
        return free

    def slowness(self) -> float:
        """Mean run time over expected run time of the last runs; 1.0 while unknown."""
        return self.speed.factor()
