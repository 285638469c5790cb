"""Jobs with tasks that wait for resources, in order of urgency."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from math import inf
from typing import NamedTuple

from .admission import urgency
from .job_state import JobState, Waiting
from .room import NO_ROOM, Room

Kind = tuple[bool, bool, int]
"""Urgency class: late, not begun, priority."""


class _Place(NamedTuple):
    """Position of a job in the queue of its service; ``number`` makes each position unique."""

    urgency: tuple[bool, bool, int, float]
    number: int
    job: JobState
    waiting: Waiting

    @property
    def kind(self) -> Kind:
        """Urgency class of the job at this position."""
        return self.urgency[:3]


class Demand(NamedTuple):
    """Waiting tasks of one urgency class.

    Attributes
    ----------
    kind : tuple
        The urgency class.
    total : Room
        Resources that all of them need.
    least_cpu : int
        CPU need of the smallest task, in thousandths of a core.
    begin_by : float
        Monotonic time by which the most urgent job has to begin.
    """

    kind: Kind
    total: Room
    least_cpu: int
    begin_by: float


class _Sum:
    """Running totals of one urgency class."""

    def __init__(self) -> None:
        self.total = NO_ROOM
        self.least_cpus: list[int] = []

    def add(self, waiting: Waiting) -> None:
        self.total = self.total.plus(waiting.total)
        insort(self.least_cpus, waiting.least.cpu)

    def remove(self, waiting: Waiting) -> None:
        self.total = self.total.minus(waiting.total)
        del self.least_cpus[bisect_left(self.least_cpus, waiting.least.cpu)]


class _Queue:
    """Waiting jobs of one service in order of urgency, with the demand of each urgency class."""

    def __init__(self) -> None:
        self.places: list[_Place] = []
        self.sums: dict[Kind, _Sum] = {}

    def add(self, place: _Place) -> None:
        insort(self.places, place)
        self.sums.setdefault(place.kind, _Sum()).add(place.waiting)

    def remove(self, place: _Place) -> None:
        del self.places[bisect_left(self.places, place)]
        kept = self.sums[place.kind]
        kept.remove(place.waiting)
        if not kept.least_cpus:
            del self.sums[place.kind]

    def demand(self, kind: Kind) -> Demand:
        kept = self.sums[kind]
        first = self.places[bisect_left(self.places, ((*kind, -inf),))]
        return Demand(kind, kept.total, kept.least_cpus[0], first.urgency[3])


class Backlog:
    """Waiting jobs by service, each service's in order of urgency.

    Order and demand are updated incrementally: sorting and adding up at each event would cost too
    much with many waiting jobs.

    Attributes
    ----------
    changes : int
        Increases whenever a job is added, removed or moved.

    Examples
    --------
    ``backlog.put(job)`` when tasks of a job wait, and again after its urgency has changed;
    ``backlog.of("intake")`` lists the waiting jobs of a service, most urgent first.
    """

    def __init__(self) -> None:
        self.changes = 0
        self._places: dict[str, _Place] = {}
        self._queues: dict[str, _Queue] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._places

    def __iter__(self) -> Iterator[JobState]:
        return (place.job for place in self._places.values())

    def services(self) -> list[str]:
        """Services with waiting jobs."""
        return list(self._queues)

    def of(self, service: str) -> list[JobState]:
        """Waiting jobs of a service, most urgent first."""
        queue = self._queues.get(service)
        return [] if queue is None else [place.job for place in queue.places]

    def demands(self, service: str) -> list[Demand]:
        """Demand for a service by urgency class, most urgent first."""
        queue = self._queues.get(service)
        return [] if queue is None else [queue.demand(kind) for kind in sorted(queue.sums)]

    def least_cpu(self, service: str) -> int:
        """CPU need of the smallest waiting task, in thousandths of a core; 0 when nothing waits."""
        return min((demand.least_cpu for demand in self.demands(service)), default=0)

    def put(self, job: JobState) -> None:
        """Add a job, or move it to the position of its present urgency."""
        self.drop(job)
        self._number += 1
        place = _Place(urgency(job), self._number, job, job.waiting)
        self._places[job.spec.job_id] = place
        self._queues.setdefault(job.queue.service, _Queue()).add(place)
        self.changes += 1

    def drop(self, job: JobState) -> None:
        """Remove a job; one that does not wait is ignored."""
        place = self._places.pop(job.spec.job_id, None)
        if place is None:
            return
        service = job.queue.service
        queue = self._queues[service]
        queue.remove(place)
        if not queue.places:
            del self._queues[service]
        self.changes += 1
