"""Drains an entry whose process has to stop."""

import gevent

from .entry_context import EntryContext
from .job_state import estimate_critical_path_s
from .model import JobSpec
from .shutdown import finishes_before_shutdown

LAST_REQUESTS_TIMEOUT_S = 0.1
"""Seconds without a job before an entry that shuts down accepts none any more: requests on open
connections still arrive after the balancer was notified."""

DRAIN_CHECK_INTERVAL_S = 0.02
"""Seconds between checks whether an entry that shuts down has no jobs left, a fifth of
``LAST_REQUESTS_TIMEOUT_S``."""


class EntryShutdown:
    """Lets the jobs of an entry end, and gives up what cannot end in time.

    Parameters
    ----------
    ctx : EntryContext
        Jobs of the entry.

    Attributes
    ----------
    has_begun : bool
        Whether the process was told to stop.

    Examples
    --------
    ``shutdown.run(linger_s, until)`` returns when every accepted job is answered.
    """

    def __init__(self, ctx: EntryContext) -> None:
        self.has_begun = False
        self._ctx = ctx
        self._ends_at = float("inf")
        self._idle_since: float | None = None

    def accepts(self, spec: JobSpec) -> bool:
        """Whether a job is expected to end before this process does."""
        left_s = self._ends_at - self._ctx.clock.now()
        return finishes_before_shutdown(estimate_critical_path_s(spec), left_s)

    def begin(self, until: float) -> None:
        """Accept only jobs that are expected to end before ``until``."""
        self.has_begun = True
        self._ends_at = until

    def is_drained(self) -> bool:
        """Whether no job has been here for a while; from then on none is accepted.

        A job accepted between the last answer and the end of the process would be cut off.
        """
        now = self._ctx.clock.now()
        if self._ctx.jobs:
            self._idle_since = None
            return False
        if self._idle_since is None:
            self._idle_since = now
        if now - self._idle_since < LAST_REQUESTS_TIMEOUT_S:
            return False
        self._ends_at = now
        return True

    def run(self, linger_s: float, until: float) -> None:
        """Accept jobs that can end before ``until`` for at least ``linger_s``, and answer all.

        Callers keep their connections for some time after the balancer was notified.

        Parameters
        ----------
        linger_s : float
            Least time in seconds.
        until : float
            Monotonic time at which unfinished jobs are given up.
        """
        self.begin(until)
        gevent.sleep(linger_s)
        while not self.is_drained() and self._ctx.clock.now() < until:
            gevent.sleep(DRAIN_CHECK_INTERVAL_S)
        self._ends_at = self._ctx.clock.now()
        for handle in list(self._ctx.jobs.values()):
            self._ctx.give_up(handle.job, "the entry ends")
