"""The state of the fleet, derived from its stream: processes and the shard table."""

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
from .platform_log import Record, parse_object

STREAM = "fleet"
NO_PROCESS = ""
MAX_DEPARTURES = 256


class Shard(NamedTuple):
    """Who owns a shard and who may take it over.

    ``epoch`` is the offset of the record that made the owner; ``base`` that of the newest
    accepted record about the shard, which the next one must name. ``prior`` owned the shard
    before, under ``prior_epoch``, and its ledger was lost; ``handed`` is set when a
    planned move brought the ledger along. Times are Unix ms.
    """

    owner: str = NO_PROCESS
    heir: str = NO_PROCESS
    epoch: int = -1
    base: int = -1
    since_ms: int = 0
    prior: str = NO_PROCESS
    prior_epoch: int = -1
    prior_since_ms: int = 0
    handed: bool = False

    def with_new_owner(self, owner: str, heir: str, offset: int, at_ms: int) -> "Shard":
        """Return the row after the owner was replaced without a handover of its ledger."""
        prior = (self.owner, self.epoch, self.since_ms)
        if self.owner == NO_PROCESS:
            prior = (self.prior, self.prior_epoch, self.prior_since_ms)
        return Shard(owner, heir, offset, offset, at_ms, *prior)


class FleetState:
    """The processes that have joined, and the shard table.

    A record about a shard takes effect only if it names the shard's newest record as its base
    and its author may change the shard, so of two concurrent records the earlier offset wins.

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
        """Apply one record; a record that is not understood changes only the version."""
        self.version = record.offset
        content = parse_object(record)
        parsed = from_json(content)
        if parsed is not None:
            _apply(parsed, self, record.offset)

    def is_gone(self, process: str) -> bool:
        """Return whether a process is confirmed to have stopped, or never joined."""
        return process not in self.processes

    def owned_by(self, process: str) -> list[int]:
        """Return the shards owned by a process."""
        return [number for number, row in enumerate(self.shards) if row.owner == process]

    def snapshot(self) -> str:
        """Return the state as the data of a snapshot record."""
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
        """Return the version of a snapshot record, or None for any other record."""
        content = parse_object(record)
        return int(content["version"]) if content.get("type") == "snapshot" else None

    def restore(self, record: Record) -> None:
        """Replace this state by that of a snapshot record."""
        content = parse_object(record)
        self.version = content["version"]
        self.departures = content["departures"]
        self.left = content["left"]
        self.joined_at = content["joined_at"]
        self.processes = {row[0]: Join(*row) for row in content["processes"]}
        self.shards = [Shard(*row) for row in content["shards"]]

    def record_departure(self, process: str, at_ms: int) -> None:
        """Remove a process that stopped; its start records are lost."""
        joined = self.processes.pop(process, None)
        self.joined_at.pop(process, None)
        if joined is None or joined.role == "entry":
            return
        self.departures[process] = at_ms
        if len(self.departures) > MAX_DEPARTURES:
            oldest = min(self.departures, key=self.departures.__getitem__)
            del self.departures[oldest]

    def had_other_agent(self, row: Shard, service: str) -> bool:
        """Return whether the prior owner always knew another agent for a service.

        Such an owner starts no tasks of its own shards, so none of their starts are lost with it.
        """
        return any(
            service in join.services and self.joined_at[join.process] < row.prior_epoch
            for join in self.processes.values()
            if join.process != row.prior
        )

    def starts_lost_until(self, row: Shard, service: str) -> int:
        """Return until when records of starts of a shard may be lost, as Unix time in ms.

        A process that ended may have started tasks of the shard until then, and no other
        process can tell.
        """
        others = [at for process, at in self.departures.items() if process != row.prior]
        own = self.departures.get(row.prior, 0)
        if self.had_other_agent(row, service):
            own = row.prior_since_ms
        return max([own, *others])

    def replace_row(
        self,
        each: ShardChange,
        allowed: Callable[[Shard], bool],
        after: Callable[[Shard], Shard],
    ) -> None:
        """Replace a row if the change names the newest base and ``allowed`` accepts the row."""
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
            state.record_departure(each.process, record.incarnation)
    state.processes[record.process] = record
    state.joined_at.setdefault(record.process, offset)


@_apply.register
def _(record: Leave, state: FleetState, offset: int) -> None:
    state.left[record.process] = record.at_ms
    if len(state.left) > MAX_DEPARTURES:
        del state.left[min(state.left, key=state.left.__getitem__)]
    if record.records_to in state.processes:
        # Another process holds its start records, so none are lost.
        state.processes.pop(record.process, None)
        state.joined_at.pop(record.process, None)
    else:
        state.record_departure(record.process, record.at_ms)


@_apply.register
def _(record: Evict, state: FleetState, offset: int) -> None:
    state.record_departure(record.process, record.at_ms)


@_apply.register
def _(record: Claim, state: FleetState, offset: int) -> None:
    # An owner confirmed to have ended admits nothing, so there is no lease to wait for.
    def unowned(row: Shard) -> bool:
        return state.is_gone(row.owner) and not state.is_gone(record.by)

    _change_owner(record, state, offset, unowned)


@_apply.register
def _(record: TakeOver, state: FleetState, offset: int) -> None:
    def from_heir(row: Shard) -> bool:
        return row.heir == record.by and not state.is_gone(record.by)

    _change_owner(record, state, offset, from_heir)


def _change_owner(
    record: Claim | TakeOver, state: FleetState, offset: int, allowed: Callable[[Shard], bool]
) -> None:
    for each in record.shards:
        after = partial(_with_new_owner, record=record, heir=each.heir, offset=offset)
        state.replace_row(each, allowed, after)


def _with_new_owner(row: Shard, record: Claim | TakeOver, heir: str, offset: int) -> Shard:
    return row.with_new_owner(record.by, heir, offset, record.at_ms)


@_apply.register
def _(record: HeirChange, state: FleetState, offset: int) -> None:
    for each in record.shards:
        after = partial(_with_heir, heir=each.heir, offset=offset)
        state.replace_row(each, lambda row: row.owner == record.by, after)


def _with_heir(row: Shard, heir: str, offset: int) -> Shard:
    return row._replace(heir=heir, base=offset)


@_apply.register
def _(record: Handover, state: FleetState, offset: int) -> None:
    def to_live_process(row: Shard) -> bool:
        return row.owner == record.by and not state.is_gone(record.to)

    for each in record.shards:
        after = partial(_after_handover, record=record, heir=each.heir, offset=offset)
        state.replace_row(each, to_live_process, after)


def _after_handover(row: Shard, record: Handover, heir: str, offset: int) -> Shard:
    # The prior owner stays as it is: what it lost is still lost. A receiver that has no ledger
    # sees by ``handed`` that one existed.
    moved = row._replace(owner=record.to, heir=heir, epoch=offset, base=offset)
    return moved._replace(since_ms=record.at_ms, handed=True)


@_apply.register
def _(record: Release, state: FleetState, offset: int) -> None:
    for each in record.shards:
        state.replace_row(each, lambda row: True, partial(_released, offset=offset))


def _released(row: Shard, offset: int) -> Shard:
    return row.with_new_owner(NO_PROCESS, NO_PROCESS, offset, 0)._replace(prior_epoch=-1)
