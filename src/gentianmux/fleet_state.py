"""The fleet as every process folds it from the log: processes and the shard table."""

import json
from collections.abc import Callable
from functools import partial, singledispatch
from typing import NamedTuple

from .fleet_records import (
    Claim,
    Evict,
    FleetRecord,
    Handover,
    HeirChange,
    Join,
    Leave,
    Release,
    ShardChange,
    TakeOver,
    from_json,
)
from .platform_log import Record, load_object

STREAM = "fleet"
NOBODY = ""
REMEMBERED_DEPARTURES = 256


class Shard(NamedTuple):
    """Who owns a shard and who may take it over.

    ``epoch`` is the offset of the record that made the owner; ``base`` that of the newest
    accepted record about the shard, which the next one must name. ``prior`` owned the shard
    before, under ``prior_epoch``, and took its ledger with it; ``handed`` says that a planned
    move brought the ledger here. Times are Unix ms.
    """

    owner: str = NOBODY
    heir: str = NOBODY
    epoch: int = -1
    base: int = -1
    since_ms: int = 0
    prior: str = NOBODY
    prior_epoch: int = -1
    prior_since_ms: int = 0
    handed: bool = False

    def taken_by(self, owner: str, heir: str, offset: int, at_ms: int) -> "Shard":
        """The row after an owner was replaced without handing its ledger over."""
        prior = (self.owner, self.epoch, self.since_ms)
        if self.owner == NOBODY:
            prior = (self.prior, self.prior_epoch, self.prior_since_ms)
        return Shard(owner, heir, offset, offset, at_ms, *prior)


class FleetState:
    """Processes that announced themselves, and the shard table.

    A record about a shard counts only when it names the shard's newest record as its base and
    comes from the one who may change it, so of a racing pair the earlier offset wins.

    Examples
    --------
    >>> state = FleetState(shard_count=4)
    >>> state.shards[0].owner
    ''
    """

    def __init__(self, shard_count: int) -> None:
        self.version = -1
        self.processes: dict[str, Join] = {}
        self.joined_at: dict[str, int] = {}
        self.departures: dict[str, int] = {}
        self.left: dict[str, int] = {}
        self.shards = [Shard() for _ in range(shard_count)]

    def apply(self, record: Record) -> None:
        """Fold one record in."""
        self.version = record.offset
        content = load_object(record)
        parsed = from_json(content)
        if parsed is not None:
            _apply(parsed, self, record.offset)

    def is_gone(self, process: str) -> bool:
        """Whether a process is proved to have stopped, or never joined."""
        return process not in self.processes

    def owned_by(self, process: str) -> list[int]:
        """Shards that a process owns."""
        return [number for number, row in enumerate(self.shards) if row.owner == process]

    def snapshot(self) -> str:
        """The state as a snapshot record."""
        content = {
            "type": "snapshot",
            "version": self.version,
            "departures": self.departures,
            "left": self.left,
            "joined_at": self.joined_at,
            "processes": [list(each) for each in self.processes.values()],
            "shards": [list(row) for row in self.shards],
        }
        return json.dumps(content, sort_keys=True)

    def snapshot_version(self, record: Record) -> int | None:
        """Version of a snapshot record; None for any other."""
        content = load_object(record)
        return int(content["version"]) if content.get("type") == "snapshot" else None

    def restore(self, record: Record) -> None:
        """Take a snapshot's state in place of this one."""
        content = load_object(record)
        self.version = content["version"]
        self.departures = content["departures"]
        self.left = content["left"]
        self.joined_at = content["joined_at"]
        self.processes = {row[0]: Join(*row) for row in content["processes"]}
        self.shards = [Shard(*row) for row in content["shards"]]

    def depart(self, process: str, at_ms: int) -> None:
        """Note that a process has stopped; its start records are gone with it."""
        joined = self.processes.pop(process, None)
        self.joined_at.pop(process, None)
        if joined is None or joined.role == "entry":
            return
        self.departures[process] = at_ms
        if len(self.departures) > REMEMBERED_DEPARTURES:
            oldest = min(self.departures, key=self.departures.__getitem__)
            del self.departures[oldest]

    def was_never_alone(self, row: Shard, service: str) -> bool:
        """Whether the prior owner knew another agent for a service all the time it owned a shard.

        Such an owner starts no task of its own shard, so it takes no start with it.
        """
        return any(
            service in join.services and self.joined_at[join.process] < row.prior_epoch
            for join in self.processes.values()
            if join.process != row.prior
        )

    def traces_lost_until(self, row: Shard, service: str) -> int:
        """Unix time in ms up to which a departed agent may have taken starts of a shard along."""
        others = [at for process, at in self.departures.items() if process != row.prior]
        own = self.departures.get(row.prior, 0)
        if self.was_never_alone(row, service):
            own = row.prior_since_ms
        return max([own, *others])

    def change(
        self,
        each: ShardChange,
        allowed: Callable[[Shard], bool],
        after: Callable[[Shard], Shard],
    ) -> None:
        """Put a new row in place when the change names the newest base and is allowed."""
        if not 0 <= each.shard < len(self.shards):
            return
        row = self.shards[each.shard]
        if row.base == each.base and allowed(row):
            self.shards[each.shard] = after(row)


@singledispatch
def _apply(record: FleetRecord, state: FleetState, offset: int) -> None:
    raise TypeError(type(record).__name__)


@_apply.register
def _(record: Join, state: FleetState, offset: int) -> None:
    # An address is bound by one process at a time, so a later incarnation at the same address
    # proves that the earlier one has ended; a late record of an earlier one proves nothing new.
    same_address = [each for each in state.processes.values() if each.address == record.address]
    if any(each.incarnation > record.incarnation for each in same_address):
        return
    for each in same_address:
        if each.process != record.process:
            state.depart(each.process, record.incarnation)
    state.processes[record.process] = record
    state.joined_at.setdefault(record.process, offset)


@_apply.register
def _(record: Leave, state: FleetState, offset: int) -> None:
    state.left[record.process] = record.at_ms
    if len(state.left) > REMEMBERED_DEPARTURES:
        del state.left[min(state.left, key=state.left.__getitem__)]
    if record.records_to in state.processes:
        # Its starts can still be asked for, so nothing went with it.
        state.processes.pop(record.process, None)
        state.joined_at.pop(record.process, None)
    else:
        state.depart(record.process, record.at_ms)


@_apply.register
def _(record: Evict, state: FleetState, offset: int) -> None:
    state.depart(record.process, record.at_ms)


@_apply.register
def _(record: Claim, state: FleetState, offset: int) -> None:
    # Once the owner is proved to have ended nobody admits, so no lease has to run out.
    def ownerless(row: Shard) -> bool:
        return state.is_gone(row.owner) and not state.is_gone(record.by)

    _take(record, state, offset, ownerless)


@_apply.register
def _(record: TakeOver, state: FleetState, offset: int) -> None:
    def from_heir(row: Shard) -> bool:
        return row.heir == record.by and not state.is_gone(record.by)

    _take(record, state, offset, from_heir)


def _take(
    record: Claim | TakeOver, state: FleetState, offset: int, allowed: Callable[[Shard], bool]
) -> None:
    for each in record.shards:
        after = partial(_taken, record=record, heir=each.heir, offset=offset)
        state.change(each, allowed, after)


def _taken(row: Shard, record: Claim | TakeOver, heir: str, offset: int) -> Shard:
    return row.taken_by(record.by, heir, offset, record.at_ms)


@_apply.register
def _(record: HeirChange, state: FleetState, offset: int) -> None:
    for each in record.shards:
        after = partial(_with_heir, heir=each.heir, offset=offset)
        state.change(each, lambda row: row.owner == record.by, after)


def _with_heir(row: Shard, heir: str, offset: int) -> Shard:
    return row._replace(heir=heir, base=offset)


@_apply.register
def _(record: Handover, state: FleetState, offset: int) -> None:
    def to_live_process(row: Shard) -> bool:
        return row.owner == record.by and not state.is_gone(record.to)

    for each in record.shards:
        after = partial(_handed, record=record, heir=each.heir, offset=offset)
        state.change(each, to_live_process, after)


def _handed(row: Shard, record: Handover, heir: str, offset: int) -> Shard:
    # What is known of a crash before the move still holds; a receiver without the ledger sees
    # by ``handed`` that it lacks one.
    moved = row._replace(owner=record.to, heir=heir, epoch=offset, base=offset)
    return moved._replace(since_ms=record.at_ms, handed=True)


@_apply.register
def _(record: Release, state: FleetState, offset: int) -> None:
    for each in record.shards:
        state.change(each, lambda row: True, partial(_released, offset=offset))


def _released(row: Shard, offset: int) -> Shard:
    return row.taken_by(NOBODY, NOBODY, offset, 0)._replace(prior_epoch=-1)
