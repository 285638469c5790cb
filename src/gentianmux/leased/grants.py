"""Grants the free resources of an endpoint to the most urgent claims of entries."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from .messages import Claim
from .resources import NO_RESOURCES, Resources

GRANT_TTL_S = 0.04
"""How long granted resources are kept for an entry that neither uses nor releases them: some ten
round trips between failure domains, and two turns of a process that is short of processor time."""

GRANT_BACKOFF_S = 0.2
"""How long an entry that let a grant expire gets no other: its tasks do not suit this endpoint or
it is gone, and others wait for the same resources."""

LATE_HEADROOM_RATIO = 0.1
"""Part of an endpoint's processors that tasks of late jobs leave free, so that a job that can be in
time finds resources at once."""


class PendingClaim(NamedTuple):
    """A claim of an entry; ``begin_by`` is on the agent's monotonic clock, in seconds."""

    entry: str
    need: Resources
    least_cpu: int
    late: bool
    begun: bool
    priority: int
    begin_by: float


@dataclass
class _Grant:
    resources: Resources
    until: float


def urgency(pending: PendingClaim) -> tuple[bool, bool, int, float]:
    """Sort key of claims, in the order that entries sort their jobs in."""
    return pending.late, not pending.begun, pending.priority, pending.begin_by


class Grants:
    """Grants the free resources of one endpoint to claims; it does no I/O.

    Resources are granted to one entry at a time: offered to all, they would be raced for, and most
    assignments would be refused. Nothing here has to survive a restart, since claims are repeated
    with each echo and grants expire.

    Attributes
    ----------
    late_headroom : Resources
        Resources that late work leaves free for work that can be in time.
    task_cpu : int
        Processor share of a recent task, in thousandths of a core; resources are shared in
        multiples of it.

    Examples
    --------
    >>> grants = Grants()
    >>> grants.claim("e1", [Claim(5000, 128, 0, 2500, False, False, 0, 100)], now=0.0)
    >>> grants.allocate(Resources(4000, 1000), now=0.0)
    {'e1'}
    >>> offers = grants.offers(["e1", "e2"], Resources(4000, 1000), now=0.0)
    >>> offers["e1"].cpu, offers["e2"].cpu
    (4000, 0)
    """

    def __init__(self) -> None:
        self.late_headroom = NO_RESOURCES
        self.task_cpu = 0
        self._claims: dict[str, list[PendingClaim]] = {}
        self._grants: dict[str, _Grant] = {}
        self._backoff_until: dict[str, float] = {}

    def claim(self, entry: str, claims: Iterable[Claim], now: float) -> None:
        """Replace an entry's claims; without any, its grant is released."""
        found = [
            PendingClaim(
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
            self.remove(entry)

    def remove(self, entry: str) -> None:
        """Remove the claims and the grant of an entry."""
        self._claims.pop(entry, None)
        self._grants.pop(entry, None)

    def release(self, entry: str) -> None:
        """Release what is left of an entry's grant after an assignment."""
        self._grants.pop(entry, None)

    def shrink_to(self, free: Resources) -> set[str]:
        """Revoke the grants that no longer fit after the endpoint shrank; return their entries.

        Grants that were made first are the more urgent ones and are kept.
        """
        left, revoked = _clamp_to_zero(free), set()
        for entry, grant in list(self._grants.items()):
            if left.fits(grant.resources):
                left = left.minus(grant.resources)
            else:
                del self._grants[entry]
                revoked.add(entry)
        return revoked

    @property
    def is_contended(self) -> bool:
        """Whether any entry waits for resources."""
        return bool(self._claims)

    def waiting_cpu(self) -> dict[str, int]:
        """Processors that claims of work in time wait for, by entry, in thousandths of a core."""
        return {
            entry: sum(pending.need.cpu for pending in claims if not pending.late)
            for entry, claims in self._claims.items()
        }

    def allocate(self, free: Resources, now: float) -> set[str]:
        """Grant free resources, most urgent claims first; return the entries that got any."""
        self._expire_grants(now)
        left = self._unallocated(free)
        changed = set()
        for pending in sorted(self._eligible_claims(now), key=urgency):
            resources = _usable_part(pending, self._available_to(pending.late, left))
            if resources is None:
                continue
            left = left.minus(resources)
            previous = self._grants.get(pending.entry)
            granted = resources if previous is None else previous.resources.plus(resources)
            self._grants[pending.entry] = _Grant(granted, now + GRANT_TTL_S)
            changed.add(pending.entry)
        return changed

    def _available_to(self, late: bool, resources: Resources) -> Resources:
        """Part of resources that work may use; late work leaves headroom for work in time."""
        return _clamp_to_zero(resources.minus(self.late_headroom)) if late else resources

    def _eligible_claims(self, now: float) -> Iterator[PendingClaim]:
        """Claims of entries that have no open grant and are not backed off."""
        for entry, claims in self._claims.items():
            if entry not in self._grants and self._backoff_until.get(entry, now) <= now:
                yield from claims

    def _expire_grants(self, now: float) -> None:
        self._backoff_until = {e: until for e, until in self._backoff_until.items() if until > now}
        for entry, grant in list(self._grants.items()):
            if grant.until <= now:
                del self._grants[entry]
                self._backoff_until[entry] = now + GRANT_BACKOFF_S

    def _unallocated(self, free: Resources) -> Resources:
        for grant in self._grants.values():
            free = free.minus(grant.resources)
        return _clamp_to_zero(free)

    def offers(self, entries: Sequence[str], free: Resources, now: float) -> dict[str, Resources]:
        """Resources that each entry may use now: its grant, and its share of what nobody claims.

        Parameters
        ----------
        entries : sequence of str
            All entries that share the endpoint; the first ones get what cannot be split evenly.
        free : Resources
            Free resources of the endpoint.
        now : float
            Monotonic time in seconds.
        """
        shares = split_by_task(self._unclaimed(free, now), len(entries), self.task_cpu)
        return {
            entry: self._granted_resources(entry, now).plus(
                self._available_to(self._has_only_late_claims(entry), share)
            )
            for entry, share in zip(entries, shares, strict=True)
        }

    def _granted_resources(self, entry: str, now: float) -> Resources:
        grant = self._grants.get(entry)
        return grant.resources if grant is not None and grant.until > now else NO_RESOURCES

    def _has_only_late_claims(self, entry: str) -> bool:
        """Whether an entry has claims, and only for work that will be late."""
        claims = self._claims.get(entry, [])
        return bool(claims) and all(pending.late for pending in claims)

    def _unclaimed(self, free: Resources, now: float) -> Resources:
        """Resources that are not granted; none while some claim could be granted."""
        left = self._unallocated(free)
        if any(
            _usable_part(w, self._available_to(w.late, left)) for w in self._eligible_claims(now)
        ):
            return NO_RESOURCES
        return left


def _clamp_to_zero(resources: Resources) -> Resources:
    return Resources(*(max(0, amount) for amount in resources))


def _usable_part(pending: PendingClaim, left: Resources) -> Resources | None:
    """Part of ``left`` that a claim can use; None if not even its smallest task fits."""
    need = pending.need
    lacking = any(wanted > 0 and has <= 0 for has, wanted in zip(left, need, strict=True))
    if lacking or left.cpu < pending.least_cpu:
        return None
    return Resources(*(min(has, wanted) for has, wanted in zip(left, need, strict=True)))


def split_by_task(resources: Resources, parts: int, task_cpu: int) -> list[Resources]:
    """Split resources into shares of whole tasks; the first get what cannot be split evenly.

    Offered whole to each entry, the last free resources of an endpoint would be raced for.

    Examples
    --------
    >>> [part.cpu for part in split_by_task(Resources(8000), 3, 2500)]
    [3000, 2500, 2500]
    >>> [part.cpu for part in split_by_task(Resources(4000), 3, 2500)]
    [4000, 0, 0]
    """
    if parts <= 1 or task_cpu <= 0 or resources.cpu <= 0:
        return [resources] * parts
    tasks = resources.cpu // task_cpu
    each, extra = divmod(tasks, parts)
    cpus = [(each + (number < extra)) * task_cpu for number in range(parts)]
    cpus[0] += resources.cpu - tasks * task_cpu
    return [_scaled_to_cpu(resources, cpu) for cpu in cpus]


def _scaled_to_cpu(resources: Resources, cpu: int) -> Resources:
    return Resources(
        cpu, resources.mem_mb * cpu // resources.cpu, -(-resources.gpu * cpu // resources.cpu)
    )
