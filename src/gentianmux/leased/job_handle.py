"""An unfinished job and its result, for callers that wait for it."""

from typing import NamedTuple

from gevent.event import Event

from .job_state import JobOutcome, JobState


class JobResult(NamedTuple):
    """Result of a job as its callers get it.

    Attributes
    ----------
    outcome : JobOutcome
        What became of the job.
    reason : str
        Reason of the outcome.
    retry_after_s : int
        Retry delay in seconds; 0 for none.
    """

    outcome: JobOutcome
    reason: str
    retry_after_s: int = 0


class JobHandle:
    """Handle of an unfinished job.

    Attributes
    ----------
    job : JobState
        The job.
    done : Event
        Set when the job has ended.
    result : JobResult or None
        Its result, once it has ended.
    waiters : int
        Callers that wait for it.

    Examples
    --------
    ``handle.done.wait(timeout_s)`` and then ``handle.result``.
    """

    def __init__(self, job: JobState) -> None:
        self.job = job
        self.done = Event()
        self.result: JobResult | None = None
        self.waiters = 0
