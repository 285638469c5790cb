"""A job at work and its verdict, for those who wait for the answer."""

from typing import NamedTuple

from gevent.event import Event

from .job_state import JobOutcome, JobState


class JobResult(NamedTuple):
    """What is answered for a job."""

    outcome: JobOutcome
    reason: str
    retry_after_s: int = 0


class JobHandle:
    """A job at work, for those who wait for its answer.

    Examples
    --------
    ``handle.done.wait(timeout_s)`` and then ``handle.result``.
    """

    def __init__(self, job: JobState) -> None:
        self.job = job
        self.done = Event()
        self.result: JobResult | None = None
        self.waiters = 0
