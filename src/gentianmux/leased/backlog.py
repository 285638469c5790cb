"""Jobs with tasks that wait for resources, in order of urgency."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from math import inf
from typing import NamedTuple

from .admission_policy import urgency
from .job_state import JobDemand, JobState
from .resources import NO_RESOURCES, Resources

UrgencyClass = tuple[bool, bool, int]
"""Urgency class: late, not begun, priority."""


class _QueuedJob(NamedTuple):
    """Position of a job in the queue of its service; ``number`` makes each position unique."""

    urgency: tuple[bool, bool, int, float]
    number: int
    job: JobState
    demand: JobDemand

    @property
    def urgency_class(self) -> UrgencyClass:
        """Urgency class of the job at this position."""
        return self.urgency[:3]


class Demand(NamedTuple):
    """Waiting tasks of one urgency class.

    Attributes
    ----------
    urgency_class : tuple
        The urgency class.
    total : Resources
        Resources that all of them need.
    least_cpu : int
        CPU need of the smallest task, in thousandths of a core.
    begin_by : float
        Monotonic time by which the most urgent job has to begin.
    """

    urgency_class: UrgencyClass
    total: Resources
    least_cpu: int
    begin_by: float


class _DemandTotals:
    """Running totals of one urgency class."""

    def __init__(self) -> None:
        self.total = NO_RESOURCES
        self.least_cpus: list[int] = []

    def add(self, demand: JobDemand) -> None:
        self.total = self.total.plus(demand.total)
        insort(self.least_cpus, demand.smallest.cpu)

    def remove(self, demand: JobDemand) -> None:
        self.total = self.total.minus(demand.total)
        del self.least_cpus[bisect_left(self.least_cpus, demand.smallest.cpu)]


class _Queue:
    """Waiting jobs of one service in order of urgency, with the demand of each urgency class."""

    def __init__(self) -> None:
        self.queued_jobs: list[_QueuedJob] = []
        self.class_totals: dict[UrgencyClass, _DemandTotals] = {}

    def add(self, queued_job: _QueuedJob) -> None:
        insort(self.queued_jobs, queued_job)
        self.class_totals.setdefault(queued_job.urgency_class, _DemandTotals()).add(
            queued_job.demand
        )

    def remove(self, queued_job: _QueuedJob) -> None:
        del self.queued_jobs[bisect_left(self.queued_jobs, queued_job)]
        totals = self.class_totals[queued_job.urgency_class]
        totals.remove(queued_job.demand)
        if not totals.least_cpus:
            del self.class_totals[queued_job.urgency_class]

    def demand_of(self, urgency_class: UrgencyClass) -> Demand:
        totals = self.class_totals[urgency_class]
        first = self.queued_jobs[bisect_left(self.queued_jobs, ((*urgency_class, -inf),))]
        return Demand(urgency_class, totals.total, totals.least_cpus[0], first.urgency[3])


class Backlog:
    """Waiting jobs by service, each service's in order of urgency.

    Order and demand are updated incrementally: sorting and adding up at each event would cost too
    much with many waiting jobs.

    Attributes
    ----------
    version : int
        Increases whenever a job is added, removed or moved.

    Examples
    --------
    ``backlog.put(job)`` when tasks of a job wait, and again after its urgency has changed;
    ``backlog.jobs_of("intake")`` lists the waiting jobs of a service, most urgent first.
    """

    def __init__(self) -> None:
        self.version = 0
        self._queued: dict[str, _QueuedJob] = {}
        self._queues: dict[str, _Queue] = {}
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._queued)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._queued

    def __iter__(self) -> Iterator[JobState]:
        return (queued_job.job for queued_job in self._queued.values())

    def services(self) -> list[str]:
        """Services with waiting jobs."""
        return list(self._queues)

    def jobs_of(self, service: str) -> list[JobState]:
        """Waiting jobs of a service, most urgent first."""
        queue = self._queues.get(service)
        return [] if queue is None else [queued_job.job for queued_job in queue.queued_jobs]

    def demands(self, service: str) -> list[Demand]:
        """Demand for a service by urgency class, most urgent first."""
        queue = self._queues.get(service)
        return (
            []
            if queue is None
            else [queue.demand_of(urgency_class) for urgency_class in sorted(queue.class_totals)]
        )

    def least_cpu(self, service: str) -> int:
        """CPU need of the smallest waiting task, in thousandths of a core; 0 when nothing waits."""
        return min((demand.least_cpu for demand in self.demands(service)), default=0)

    def put(self, job: JobState) -> None:
        """Add a job, or move it to the position of its present urgency."""
        self.discard(job)
        self._last_number += 1
        queued_job = _QueuedJob(urgency(job), self._last_number, job, job.demand)
        self._queued[job.spec.job_id] = queued_job
        self._queues.setdefault(job.queue.service, _Queue()).add(queued_job)
        self.version += 1

    def discard(self, job: JobState) -> None:
        """Remove a job; one that does not wait is ignored."""
        queued_job = self._queued.pop(job.spec.job_id, None)
        if queued_job is None:
            return
        service = job.queue.service
        queue = self._queues[service]
        queue.remove(queued_job)
        if not queue.queued_jobs:
            del self._queues[service]
        self.version += 1
