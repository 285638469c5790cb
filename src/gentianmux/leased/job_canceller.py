"""Cancels jobs wherever they run, and answers requests for jobs that were cancelled."""

from gevent.event import Event
from loguru import logger

from ..codes import ResultCode
from ..errors import GentianmuxError
from .cancel_broadcast import CancelBroadcast
from .entry_context import EntryContext
from .job_handle import JobHandle, JobResult
from .job_state import JobOutcome, JobState
from .model import JobSpec, QueueConfig

CONFIRMING_DOMAINS = 2
"""Failure domains in which an agent has to remember a cancel before its caller gets the answer: the
cancel then outlives the loss of this entry together with a failure domain."""

FULL_RETRY_AFTER_MS = 1000
"""Retry delay of a cancel that cannot be remembered at present."""

_CANCELLED = JobResult(JobOutcome.CANCELLED, "cancelled by its caller")
_MAYBE_CANCELLED = JobResult(JobOutcome.NOT_RUN, "it may have been cancelled", 1)


class PendingCancel:
    """A cancel that agents have yet to confirm.

    Attributes
    ----------
    confirmed : Event
        Set when agents in enough failure domains remember the cancel.

    Examples
    --------
    >>> pending = PendingCancel({"fd1", "fd2", "fd3"})
    >>> pending.add("fd1"), pending.add("fd1"), pending.add("fd3")
    (False, False, True)
    """

    def __init__(self, failure_domains: set[str]) -> None:
        self.confirmed = Event()
        self._needed = min(CONFIRMING_DOMAINS, max(1, len(failure_domains)))
        self._seen: set[str] = set()

    def add(self, failure_domain: str) -> bool:
        """Record that an agent in a failure domain remembers it; whether that is enough."""
        self._seen.add(failure_domain)
        if len(self._seen) >= self._needed:
            self.confirmed.set()
        return self.confirmed.is_set()


class JobCanceller:
    """Cancels jobs on behalf of an entry's callers.

    Parameters
    ----------
    ctx : EntryContext
        Jobs and agents of the entry.

    Attributes
    ----------
    broadcast : CancelBroadcast
        The cancelled jobs, and their propagation.

    Examples
    --------
    ``canceller.cancel(job_id).confirmed.wait(1.0)``
    """

    def __init__(self, ctx: EntryContext) -> None:
        self.broadcast = CancelBroadcast(ctx.links, ctx.metrics, ctx.clock, self._finish_jobs)
        self.broadcast.on_seen = self._on_seen
        self._ctx = ctx
        self._pending: dict[int, PendingCancel] = {}

    def cancel(self, job_id: str) -> PendingCancel:
        """Cancel a job, whichever entry runs it and whether or not it is known here.

        Raises
        ------
        GentianmuxError
            ``OVERLOADED`` when too many cancelled jobs are remembered already; the job goes on.
        """
        if not self.broadcast.cancellations.accepts_more(self._ctx.clock.now()):
            self._ctx.metrics.count("cancels", label="refused")
            raise GentianmuxError(ResultCode.OVERLOADED, retry_after_ms=FULL_RETRY_AFTER_MS)
        self._ctx.metrics.count("cancels", label="accepted")
        is_known = job_id in self._ctx.jobs
        self._finish_jobs([job_id])
        pending = PendingCancel(self._failure_domains())
        number = self.broadcast.publish(job_id)
        self._pending[number] = pending
        logger.bind(job=job_id, known=is_known, number=number).info("job cancelled")
        return pending

    def forget(self, pending: PendingCancel) -> None:
        """Stop waiting for the confirmation of a cancel."""
        self._pending = {n: each for n, each in self._pending.items() if each is not pending}

    def finished_handle(self, spec: JobSpec, queue: QueueConfig, now: float) -> JobHandle | None:
        """Handle of a job that was, or may have been, cancelled before; None for any other."""
        cancellations = self.broadcast.cancellations
        if not cancellations.holds(spec.job_id, now):
            return None
        result = _CANCELLED if spec.job_id in cancellations else _MAYBE_CANCELLED
        self._ctx.metrics.count("jobs_cancelled_before")
        logger.bind(job=spec.job_id, queue=queue.name, outcome=result.outcome.value).info(
            "job was cancelled before"
        )
        handle = JobHandle(JobState(spec, queue, now, now))
        handle.result = result
        handle.done.set()
        return handle

    def _finish_jobs(self, job_ids: list[str]) -> None:
        for job_id in job_ids:
            handle = self._ctx.jobs.get(job_id)
            if handle is not None:
                self._ctx.finish(handle.job, _CANCELLED)

    def _failure_domains(self) -> set[str]:
        """Failure domains of the connected agents."""
        states = {process: view.state for process, view in self._ctx.view.agents.items()}
        connected = (states.get(process) for process in self._ctx.links.processes())
        return {state.failure_domain for state in connected if state is not None}

    def _on_seen(self, number: int, process: str) -> None:
        view = self._ctx.view.agents.get(process)
        pending = self._pending.get(number)
        if pending is None or view is None or view.state is None:
            return
        if pending.add(view.state.failure_domain):
            del self._pending[number]
