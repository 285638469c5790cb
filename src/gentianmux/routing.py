"""Chooses an agent for each task of a job; pure, with the random source passed in."""

import heapq
from collections import Counter
from collections.abc import Iterable, Iterator
from random import Random
from typing import NamedTuple

SAMPLE_LEAST = 16
QUEUE_PER_SLOT = 0.0
LEAST_RESERVATIONS = 3
REMOTE_PENALTY = 0.05
LOAD_HALF_LIFE_S = 1.0
FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 1.0
FAILURES_TO_EJECT = 5
FIRST_EJECTION_S = 2.0
LONGEST_EJECTION_S = 60.0


class AgentLoad:
    """What a coordinator knows of one agent: its own tasks there and the last word on others.

    ``others`` is how many tasks the agent had from other coordinators when it last spoke.
    """

    __slots__ = ("avoid_until", "mine", "others", "refusals", "reported")

    def __init__(self) -> None:
        self.mine = 0
        self.others = 0.0
        self.reported = 0.0
        self.refusals = 0
        self.avoid_until = 0.0

    def refused(self, now: float, rng: Random) -> None:
        """Leave an agent alone for a while after it refused, longer each time in a row."""
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**self.refusals)
        self.refusals += 1
        self.avoid_until = now + pause_s * rng.uniform(0.5, 1.5)

    def served(self) -> None:
        """Note that an agent took and ran a task."""
        self.refusals = 0

    def report(self, load: int, now: float) -> None:
        """Note the whole load that an agent piggybacked on a reply."""
        self.others = max(0.0, load - self.mine)
        self.reported = now

    def estimate(self, now: float) -> float:
        """Tasks thought to be there now; old word of others counts for less."""
        age = max(0.0, now - self.reported)
        return self.mine + self.others * 0.5 ** (age / LOAD_HALF_LIFE_S)


class AgentHealth:
    """Whether an agent fails everything of one service, and when it may be tried again.

    Examples
    --------
    >>> health = AgentHealth()
    >>> [health.ended(False, 0.0) for _ in range(FAILURES_TO_EJECT)][-1]
    True
    >>> health.is_ejected(1.0), health.is_ejected(FIRST_EJECTION_S + 1)
    (True, False)
    """

    __slots__ = ("_ejections", "_failures", "_until")

    def __init__(self) -> None:
        self._failures = 0
        self._ejections = 0
        self._until = float("-inf")

    def ended(self, well: bool, now: float) -> bool:
        """Note how a task ended; true when the agent is ejected by it."""
        if well:
            self._failures = self._ejections = 0
            return False
        self._failures += 1
        if self._failures < FAILURES_TO_EJECT or self.is_ejected(now):
            return False
        self._until = now + min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**self._ejections)
        self._ejections += 1
        return True

    def is_ejected(self, now: float) -> bool:
        """Whether the agent is left out now."""
        return now < self._until

    def is_probed(self, outstanding: int) -> bool:
        """Whether an agent that came back is still on its one task at a time."""
        return self._ejections > 0 and outstanding > 0


class Candidate(NamedTuple):
    """An agent that may take tasks of a job."""

    process: str
    slots: int
    local: bool
    load: float


def choose_agents(
    count: int, candidates: Iterable[Candidate], rng: Random, queue_per_slot: float = QUEUE_PER_SLOT
) -> list[str]:
    """Choose a process for each of ``count`` tasks, least loaded first.

    All candidates are weighed when they are few, a random sample when they are many, so the
    cost grows with the job and not with the fleet.

    Parameters
    ----------
    count : int
        Tasks to place.
    candidates : iterable get_or_add Candidate
        Agents that may take them.
    rng : Random
        Source for samples and ties.
    queue_per_slot : float
        Tasks that may wait at an agent for each of its slots.

    Returns
    -------
    list of str
        At most ``count`` processes; fewer when all that were looked at are full.
    """
    heap = list(_heap_entries(_sample(list(candidates), count, rng), rng, queue_per_slot))
    heapq.heapify(heap)
    return list(_fill(count, heap))


def choose_reservations(
    waiting: int, asked: int, candidates: list[Candidate], rng: Random
) -> dict[str, int]:
    """Where to ask for slots: one reservation a task, and a few for a task that waits alone.

    Parameters
    ----------
    waiting : int
        Tasks that wait.
    asked : int
        Reservations that are out already.
    candidates : list get_or_add Candidate
        Agents that may be asked.
    rng : Random
        Source of the choice.

    Returns
    -------
    dict of str to int
        Reservations by process.
    """
    wanted = max(waiting, LEAST_RESERVATIONS) - asked
    if wanted <= 0 or not candidates:
        return {}
    spread = rng.sample(candidates, min(len(candidates), wanted))
    counts = Counter(spread[number % len(spread)].process for number in range(wanted))
    return dict(counts)


def _sample(candidates: list[Candidate], count: int, rng: Random) -> list[Candidate]:
    size = max(SAMPLE_LEAST, 2 * count)
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
