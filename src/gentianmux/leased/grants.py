"""Who gets the room that comes free at an endpoint: the most urgent claim, and nobody else."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from ..messages import Claim
from .resources import NO_RESOURCES, Resources

GRANT_S = 0.04
"""Seconds for which granted room is kept for its entry: some ten round trips between failure
domains and two turns of a process that is short of processor. It is used or given back within one
unless the entry stands still."""

PASS_OVER_S = 0.2
"""Seconds for which an entry that let a grant lapse gets no other: what waits there does not suit
this endpoint, or the entry is gone, and others wait for the same room."""


LATE_RESERVE = 0.1
"""Part of an endpoint's processors that tasks of late jobs leave free, so that a job that can be in
time finds room at once. At 1.4 times the usual load (``bench.leased_load``, 4 seeds) 93.9 % of jobs
were in time without it, 95.2 % with it and 95.6 % where no job is served late; 2.1, 2.4 and 3.1 %
were not served. With 0.2 and 0.35 as many were in time and fewer were served at 1.2 times."""


class Waiting(NamedTuple):
    """A claim as an agent keeps it; ``begin_by`` is on the agent's monotonic clock, in seconds."""

    entry: str
    need: Resources
    least_cpu: int
    late: bool
    begun: bool
    priority: int
    begin_by: float


@dataclass
class _Grant:
    room: Resources
    until: float


def urgency(waiting: Waiting) -> tuple[bool, bool, int, float]:
    """Sort key over all entries, the same order as within one: see ``admission.urgency``."""
    return waiting.late, not waiting.begun, waiting.priority, waiting.begin_by


class Grants:
    """Deals the free room of one endpoint out to claims; pure.

    Room is granted to one entry at a time. Offered to all, it was a race: on a day at 1.3 times the
    capacity 6,196 orders were refused for room beside 6,426 tasks that began, half of all tasks at
    least once, and began 59 ms (p50) to 396 ms (p95) after their first refusal.

    Nothing here has to survive: claims are told again with each echo, and grants lapse.

    Attributes
    ----------
    late_reserve : Resources
        What late work leaves free for work that can be in time.
    task_cpu : int
        What a task has taken here lately, in thousandths of a core: room is shared by whole tasks.

    Examples
    --------
    >>> grants = Grants()
    >>> grants.claim("e1", [Claim(5000, 128, 0, 2500, False, False, 0, 100)], now=0.0)
    >>> grants.deal(Resources(4000, 1000), now=0.0)
    {'e1'}
    >>> offers = grants.offers(["e1", "e2"], Resources(4000, 1000), now=0.0)
    >>> offers["e1"].cpu, offers["e2"].cpu
    (4000, 0)
    """

    def __init__(self) -> None:
        self.late_reserve = NO_RESOURCES
        self.task_cpu = 0
        self._claims: dict[str, list[Waiting]] = {}
        self._granted: dict[str, _Grant] = {}
        self._passed_over: dict[str, float] = {}

    def claim(self, entry: str, claims: Iterable[Claim], now: float) -> None:
        """Replace what an entry claims; with nothing claimed, what it was granted comes back."""
        found = [
            Waiting(
                entry,
                Resources(c.cpu, c.mem_mb, c.gpu),
                c.least_cpu,
                c.late,
                c.begun,
                c.priority,
                now + c.begin_in_ms / 1000,
            )
            for c in claims
        ]
        if found:
            self._claims[entry] = found
        else:
            self.forget(entry)

    def forget(self, entry: str) -> None:
        """Drop what an entry claims and was granted."""
        self._claims.pop(entry, None)
        self._granted.pop(entry, None)

    def answered(self, entry: str) -> None:
        """Take back what an entry has left of a grant, once it has used it for an assignment."""
        self._granted.pop(entry, None)

    @property
    def is_contended(self) -> bool:
        """Whether anybody waits for room."""
        return bool(self._claims)

    def deal(self, free: Resources, now: float) -> set[str]:
        """Grant free room to claims, the most urgent first; the entries whose offer has changed."""
        self._drop_lapsed(now)
        left = self._left(free)
        changed = set()
        for waiting in sorted(self._open_claims(now), key=urgency):
            room = _part(waiting, self._open_to(waiting.late, left))
            if room is None:
                continue
            left = left.minus(room)
            known = self._granted.get(waiting.entry)
            granted = room if known is None else known.room.plus(room)
            self._granted[waiting.entry] = _Grant(granted, now + GRANT_S)
            changed.add(waiting.entry)
        return changed

    def _open_to(self, late: bool, room: Resources) -> Resources:
        """What of some room work may use: late work leaves a part for what can be in time."""
        return _at_least_none(room.minus(self.late_reserve)) if late else room

    def _open_claims(self, now: float) -> Iterator[Waiting]:
        """Claims of entries that have no grant to answer yet and are not passed over."""
        for entry, claims in self._claims.items():
            if entry not in self._granted and self._passed_over.get(entry, now) <= now:
                yield from claims

    def _drop_lapsed(self, now: float) -> None:
        self._passed_over = {e: until for e, until in self._passed_over.items() if until > now}
        for entry, grant in list(self._granted.items()):
            if grant.until <= now:
                del self._granted[entry]
                self._passed_over[entry] = now + PASS_OVER_S

    def _left(self, free: Resources) -> Resources:
        for grant in self._granted.values():
            free = free.minus(grant.room)
        return _at_least_none(free)

    def offers(self, entries: Sequence[str], free: Resources, now: float) -> dict[str, Resources]:
        """What each entry may use now: its grant, and its share of what nobody claims.

        Parameters
        ----------
        entries : sequence get_or_add str
            All that the endpoint is shared with, in the order in which they get what cannot be
            split evenly.
        free : Resources
            Free room of the endpoint.
        now : float
            Monotonic time in seconds.
        """
        shares = split(self._unclaimed(free, now), len(entries), self.task_cpu)
        return {
            entry: self._granted_room(entry, now).plus(self._open_to(self._is_late(entry), share))
            for entry, share in zip(entries, shares, strict=True)
        }

    def _granted_room(self, entry: str, now: float) -> Resources:
        grant = self._granted.get(entry)
        return grant.room if grant is not None and grant.until > now else NO_RESOURCES

    def _is_late(self, entry: str) -> bool:
        """Whether an entry waits for room, and only with work that will be late."""
        claims = self._claims.get(entry, [])
        return bool(claims) and all(waiting.late for waiting in claims)

    def _unclaimed(self, free: Resources, now: float) -> Resources:
        """Room that is left when every claim that can be granted has been."""
        left = self._left(free)
        if any(_part(w, self._open_to(w.late, left)) for w in self._open_claims(now)):
            return NO_RESOURCES
        return left


def _at_least_none(room: Resources) -> Resources:
    return Resources(*(max(0, amount) for amount in room))


def _part(waiting: Waiting, left: Resources) -> Resources | None:
    """How much of what is left a claim can use; None when not even its smallest task fits."""
    need = waiting.need
    lacking = any(wanted > 0 and has <= 0 for has, wanted in zip(left, need, strict=True))
    if lacking or left.cpu < waiting.least_cpu:
        return None
    return Resources(*(min(has, wanted) for has, wanted in zip(left, need, strict=True)))


def split(room: Resources, parts: int, task_cpu: int) -> list[Resources]:
    """Split room into parts of whole tasks; the first ones get what cannot be split evenly; pure.

    Offered whole to each entry, the last room of an endpoint was a race as well.

    Examples
    --------
    >>> [part.cpu for part in split(Resources(8000), 3, 2500)]
    [3000, 2500, 2500]
    >>> [part.cpu for part in split(Resources(4000), 3, 2500)]
    [4000, 0, 0]
    """
    if parts <= 1 or task_cpu <= 0 or room.cpu <= 0:
        return [room] * parts
    tasks = room.cpu // task_cpu
    each, extra = divmod(tasks, parts)
    cpus = [(each + (number < extra)) * task_cpu for number in range(parts)]
    cpus[0] += room.cpu - tasks * task_cpu
    return [_portion(room, cpu) for cpu in cpus]


def _portion(room: Resources, cpu: int) -> Resources:
    return Resources(cpu, room.mem_mb * cpu // room.cpu, -(-room.gpu * cpu // room.cpu))
