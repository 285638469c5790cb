"""Jobs of which tasks wait for room, kept in the order in which they go first."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from math import inf
from typing import NamedTuple

from .admission_policy import urgency
from .job_state import JobState, Waiting
from .resources import NO_RESOURCES, Resources

Kind = tuple[bool, bool, int]
"""A kind of urgency: served late, not begun, priority."""


class _Place(NamedTuple):
    """Where a job stands among those of its service; ``number`` makes each place unique."""

    urgency: tuple[bool, bool, int, float]
    number: int
    job: JobState
    waiting: Waiting

    @property
    def kind(self) -> Kind:
        """The kind of urgency that the job has here."""
        return self.urgency[:3]


class Demand(NamedTuple):
    """What waits of one kind of urgency.

    Attributes
    ----------
    kind : tuple
        The kind of urgency.
    total : Resources
        What all of it takes.
    least_cpu : int
        Processors that its smallest task takes, in thousandths of a core.
    begin_by : float
        When the most urgent has to begin, on the clock of its job.
    """

    kind: Kind
    total: Resources
    least_cpu: int
    begin_by: float


class _Sum:
    """Keeps the demand of one kind as jobs come and go."""

    def __init__(self) -> None:
        self.total = NO_RESOURCES
        self.least_cpus: list[int] = []

    def add(self, waiting: Waiting) -> None:
        self.total = self.total.plus(waiting.total)
        insort(self.least_cpus, waiting.least.cpu)

    def remove(self, waiting: Waiting) -> None:
        self.total = self.total.minus(waiting.total)
        del self.least_cpus[bisect_left(self.least_cpus, waiting.least.cpu)]


class _Queue:
    """What waits for one service: places in order of urgency, and the demand of each kind."""

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

    Order and demand are kept, not made: sorted and summed up anew for each event, 200 jobs that
    waited took two thirds of an entry's processor (``bench.leased_speed``).

    Attributes
    ----------
    changes : int
        Rises whenever a job comes, goes, or is put in another place.

    Examples
    --------
    ``backlog.put(job)`` when tasks of a job wait, also after its urgency has changed;
    ``backlog.get_or_add("intake")`` gives what waits for a service, the most urgent first.
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
        """Services for which something waits."""
        return list(self._queues)

    def get_or_add(self, service: str) -> list[JobState]:
        """Jobs that wait for a service, the most urgent first."""
        queue = self._queues.get(service)
        return [] if queue is None else [place.job for place in queue.places]

    def demands(self, service: str) -> list[Demand]:
        """What waits for a service, a row for each kind of urgency, the most urgent first."""
        queue = self._queues.get(service)
        return [] if queue is None else [queue.demand(kind) for kind in sorted(queue.sums)]

    def least_cpu(self, service: str) -> int:
        """Processors that the smallest waiting task takes, in thousandths of a core."""
        return min((demand.least_cpu for demand in self.demands(service)), default=0)

    def put(self, job: JobState) -> None:
        """Let a job wait where its present urgency puts it."""
        self.drop(job)
        self._number += 1
        place = _Place(urgency(job), self._number, job, job.waiting)
        self._places[job.spec.job_id] = place
        self._queues.setdefault(job.queue.service, _Queue()).add(place)
        self.changes += 1

    def drop(self, job: JobState) -> None:
        """Let a job wait no more; one that does not changes nothing."""
        place = self._places.pop(job.spec.job_id, None)
        if place is None:
            return
        service = job.queue.service
        queue = self._queues[service]
        queue.remove(place)
        if not queue.places:
            del self._queues[service]
        self.changes += 1
