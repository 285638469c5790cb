"""Choice of agents for tasks; pure functions over estimated loads."""

import heapq
from collections import Counter
from collections.abc import Iterable, Iterator
from random import Random
from typing import NamedTuple

MIN_SAMPLE_SIZE = 16
QUEUE_PER_SLOT = 0.0
MIN_RESERVATIONS = 3
REMOTE_PENALTY = 0.05
LOAD_HALF_LIFE_S = 1.0
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0
FAILURES_TO_EJECT = 5
MIN_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0


class AgentLoadEstimate:
    """Load of one agent as estimated by a coordinator.

    ``own_tasks`` counts this coordinator's tasks at the agent, ``other_tasks`` those of other
    coordinators in the agent's last report.
    """

    __slots__ = ("avoid_until", "other_tasks", "own_tasks", "refusals", "reported_at")

    def __init__(self) -> None:
        self.own_tasks = 0
        self.other_tasks = 0.0
        self.reported_at = 0.0
        self.refusals = 0
        self.avoid_until = 0.0

    def record_refusal(self, now: float, rng: Random) -> None:
        """Back off from an agent after a refusal, exponentially and with jitter."""
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**self.refusals)
        self.refusals += 1
        self.avoid_until = now + backoff_s * rng.uniform(0.5, 1.5)

    def record_success(self) -> None:
        """Reset the backoff after the agent ran a task."""
        self.refusals = 0

    def record_report(self, load: int, now: float) -> None:
        """Apply the total load that an agent reported with its results."""
        self.other_tasks = max(0.0, load - self.own_tasks)
        self.reported_at = now

    def estimate(self, now: float) -> float:
        """Estimated number of tasks at the agent; older reports count less."""
        age = max(0.0, now - self.reported_at)
        return self.own_tasks + self.other_tasks * 0.5 ** (age / LOAD_HALF_LIFE_S)


class AgentHealth:
    """Ejects an agent after consecutive failures of one service's tasks.

    Examples
    --------
    >>> health = AgentHealth()
    >>> [health.record_result(False, 0.0) for _ in range(FAILURES_TO_EJECT)][-1]
    True
    >>> health.is_ejected(1.0), health.is_ejected(MIN_EJECTION_S + 1)
    (True, False)
    """

    __slots__ = ("_ejected_until", "_ejections", "_failures")

    def __init__(self) -> None:
        self._failures = 0
        self._ejections = 0
        self._ejected_until = float("-inf")

    def record_result(self, succeeded: bool, now: float) -> bool:
        """Record a task's outcome; true if it causes an ejection."""
        if succeeded:
            self._failures = self._ejections = 0
            return False
        self._failures += 1
        if self._failures < FAILURES_TO_EJECT or self.is_ejected(now):
            return False
        self._ejected_until = now + min(MAX_EJECTION_S, MIN_EJECTION_S * 2**self._ejections)
        self._ejections += 1
        return True

    def is_ejected(self, now: float) -> bool:
        """Whether the agent is ejected at time ``now``."""
        return now < self._ejected_until

    def is_on_probation(self, outstanding: int) -> bool:
        """Whether the agent is back from ejection and already has its one allowed task."""
        return self._ejections > 0 and outstanding > 0


class Candidate(NamedTuple):
    """Agent that can take tasks of a job.

    ``local`` is true for agents in the coordinator's failure domain.
    """

    process: str
    slots: int
    local: bool
    load: float


def choose_agents(
    count: int, candidates: Iterable[Candidate], rng: Random, queue_per_slot: float = QUEUE_PER_SLOT
) -> list[str]:
    """Choose an agent for each of ``count`` tasks, least loaded first.

    Large candidate lists are sampled, so that the cost depends on the job's size rather than on
    the size of the fleet.

    Parameters
    ----------
    count : int
        Number of tasks to place.
    candidates : iterable of Candidate
        Agents that can take them.
    rng : Random
        Random source for sampling and for breaking ties.
    queue_per_slot : float
        Number of tasks that may queue at an agent per slot.

    Returns
    -------
    list of str
        Process names, at most ``count``; fewer if all sampled agents are full.
    """
    heap = list(_heap_entries(_sample(list(candidates), count, rng), rng, queue_per_slot))
    heapq.heapify(heap)
    return list(_fill(count, heap))


def choose_reservations(
    waiting: int, asked: int, candidates: list[Candidate], rng: Random
) -> dict[str, int]:
    """Choose agents for reservations: one per waiting task, and at least ``MIN_RESERVATIONS``.

    Parameters
    ----------
    waiting : int
        Number of waiting tasks.
    asked : int
        Reservations that are already outstanding.
    candidates : list of Candidate
        Agents that can be asked.
    rng : Random
        Random source for the choice.

    Returns
    -------
    dict of str to int
        Number of reservations by process.
    """
    wanted = max(waiting, MIN_RESERVATIONS) - asked
    if wanted <= 0 or not candidates:
        return {}
    spread = rng.sample(candidates, min(len(candidates), wanted))
    counts = Counter(spread[number % len(spread)].process for number in range(wanted))
    return dict(counts)


def _sample(candidates: list[Candidate], count: int, rng: Random) -> list[Candidate]:
    size = max(MIN_SAMPLE_SIZE, 2 * count)
    return candidates if len(candidates) <= size else rng.sample(candidates, size)


class _Entry(NamedTuple):
    relative: float
    tie: float
    load: float
    limit: float
    slots: int
    process: str


def _heap_entries(
    candidates: Iterable[Candidate], rng: Random, queue_per_slot: float
) -> Iterator[_Entry]:
    for each in candidates:
        relative = each.load / each.slots + (0.0 if each.local else REMOTE_PENALTY)
        limit = each.slots * (1.0 + queue_per_slot)
        yield _Entry(relative, rng.random(), each.load, limit, each.slots, each.process)


def _fill(count: int, heap: list[_Entry]) -> Iterator[str]:
    while heap and count:
        entry = heapq.heappop(heap)
        if entry.load + 1 > entry.limit:
            continue
        yield entry.process
        count -= 1
        step = 1 / entry.slots
        heapq.heappush(heap, entry._replace(relative=entry.relative + step, load=entry.load + 1))
