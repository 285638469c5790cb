"""Keeps this agent's shards: their leases, ledgers, take-overs and planned moves."""

from collections import defaultdict
from collections.abc import Iterable
from hashlib import blake2b

import gevent
from loguru import logger

from .codes import ResultCode
from .errors import LogError
from .fleet_records import Claim, FleetRecord, Handover, HeirChange, ShardChange, TakeOver, to_json
from .fleet_state import NOBODY, STREAM, Shard
from .ids import NO_TIME
from .job import Waiter
from .lease import HeirLease, LeaseTimes, OwnerLease
from .ledger import Ledger, LedgerBounds
from .membership import ProcessState
from .messages import (
    LeaseGrant,
    LeaseRequest,
    Revoke,
    ShardLease,
    Submit,
    TraceReply,
)
from .node_context import NodeContext
from .shard_moves import ShardMoves
from .trace_collector import TraceCollector

SETTLE_S = 1.0
REAPPEND_S = 1.0
REVOKE_WINDOW_S = 0.01


class OwnedShard:
    """A shard that this agent owns: its ledger and its lease."""

    def __init__(self, row: Shard, ledger: Ledger, lease: OwnerLease, now: float) -> None:
        self.epoch = row.epoch
        self.ledger = ledger
        self.lease = lease
        self.valid_until_seen = now
        self.asked_base = -1
        self.pending: FleetRecord | None = None
        self.pending_since = 0.0
        self.moving_to = NOBODY
        self.move = 0


class ShardManager:
    """The controller of shards; every change of ownership goes through the platform's log.

    Parameters
    ----------
    ctx : NodeContext
        The blackboard; this puts itself there as ``shard_manager``.
    """

    def __init__(self, ctx: NodeContext) -> None:
        ctx.shard_manager = self
        self.owned: dict[int, OwnedShard] = {}
        self.heir_of: dict[int, tuple[Shard, HeirLease]] = {}
        self.traces = TraceCollector(ctx)
        self._ctx = ctx
        self._times = LeaseTimes(ctx.cfg.lease_ms / 1000)
        cfg = ctx.cfg
        self._bounds = LedgerBounds(cfg.keep_s * 1000, cfg.skew_ms, cfg.ledger_kb * 1024)
        self.moves = ShardMoves(ctx, self)
        self._taking: dict[int, float] = {}
        self._claimed: dict[int, tuple[int, float]] = {}
        self._revokes: dict[str, list[str]] = defaultdict(list)
        self._early: dict[str, LeaseRequest] = {}
        self._ownerless: list[int] = []
        self._started = ctx.now()

    # What others ask

    def refusal(self, shard: int) -> ResultCode | None:
        """Why this agent may not speak for a shard now; None when it may."""
        owned = self.owned.get(shard)
        row = self._ctx.fleet.shards[shard]
        if owned is None or row.owner != self._ctx.process:
            return ResultCode.NOT_OWNER
        if not owned.lease.is_valid(row, self._ctx.now()):
            return ResultCode.LEASE_LAPSED
        return None

    def ledger_of(self, shard: int, epoch: int) -> Ledger | None:
        """The ledger of a shard, if this agent still owns it under that epoch."""
        owned = self.owned.get(shard)
        return owned.ledger if owned is not None and owned.epoch == epoch else None

    def query_traces(self, msg: Submit, waiter: Waiter) -> None:
        """Ask all agents what they know of an id before it is admitted."""
        self.traces.ask(msg, waiter)

    def on_trace_reply(self, reply: TraceReply) -> None:
        """Take in an agent's traces."""
        self.traces.on_reply(reply)

    # What the log says

    def on_fleet_change(self) -> None:
        """Follow the shard table after new records were folded."""
        me, now = self._ctx.process, self._ctx.now()
        for number, row in enumerate(self._ctx.fleet.shards):
            owned = self.owned.get(number)
            if row.owner == me:
                if owned is None or owned.epoch != row.epoch:
                    self._gain(number, row, now)
            elif owned is not None:
                self._drop(number, owned)
            self._follow_heir(number, row, now)
        gone = self._ctx.fleet.is_gone
        self._ownerless = [n for n, row in enumerate(self._ctx.fleet.shards) if gone(row.owner)]
        self._answer_early()
        self._renew(fresh_only=True)

    def _gain(self, number: int, row: Shard, now: float) -> None:
        ledger = self.moves.received_ledger(number, row, self._bounds) or self._fresh_ledger(row)
        lease = OwnerLease(self._times, self._ctx.process)
        self.owned[number] = OwnedShard(row, ledger, lease, now)
        self._taking.pop(number, None)
        logger.bind(shard=number, epoch=row.epoch).debug("owns shard")

    def _fresh_ledger(self, row: Shard) -> Ledger:
        whole = row.prior == NOBODY and not row.handed
        return Ledger(self._bounds, NO_TIME if whole else self._ctx.now_ms())

    def _drop(self, number: int, owned: OwnedShard) -> None:
        del self.owned[number]
        self._ctx.coordinator.abandon_shard(number, owned.epoch)
        logger.bind(shard=number, epoch=owned.epoch).debug("no longer owns shard")

    def _follow_heir(self, number: int, row: Shard, now: float) -> None:
        known = self.heir_of.get(number)
        if row.heir != self._ctx.process:
            self.heir_of.pop(number, None)
        elif known is None or known[0].base != row.base:
            self.heir_of[number] = (row, HeirLease(self._times, self._ctx.process, now))

    # Leases

    def on_lease_request(self, msg: LeaseRequest, sender: str) -> None:
        """Grant, as heir, what the newest records allow; keep what is ahead of them."""
        now = self._ctx.now()
        granted = [each for each in msg.shards if self._grant(each, msg.process, now)]
        if granted:
            self._ctx.peers.send(sender, LeaseGrant(self._ctx.process, msg.sent, granted))
        ahead = [each for each in msg.shards if each.base > self._ctx.fleet.version]
        if ahead:
            self._early[sender] = msg._replace(shards=ahead)
            self._ctx.read_requested.set()

    def _answer_early(self) -> None:
        """Answer renewals that arrived before the records they stand on had been read."""
        early, self._early = self._early, {}
        for sender, msg in early.items():
            self.on_lease_request(msg, sender)

    def _grant(self, each: ShardLease, owner: str, now: float) -> bool:
        known = self.heir_of.get(each.shard)
        return known is not None and known[1].grant(known[0], owner, each.base, now)

    def on_lease_grant(self, msg: LeaseGrant) -> None:
        """Note, as owner, the heir's grants."""
        for each in msg.shards:
            owned = self.owned.get(each.shard)
            if owned is not None and self._ctx.fleet.shards[each.shard].heir == msg.process:
                owned.lease.on_grant(each.base, msg.sent)

    def run_leases(self) -> None:
        """Renew, change heirs, take over and claim, for as long as the process lives."""
        while True:
            gevent.sleep(self._ctx.cfg.renew_ms / 1000)
            self.step()

    def step(self) -> None:
        """One round of renewals and decisions."""
        self._renew()
        if self._ctx.membership.isolated:
            return
        self._mend_heirs()
        self._take_over()
        if self._ctx.now() - self._started > SETTLE_S:
            self._claim_ownerless()
            self.moves.balance()

    def _renew(self, fresh_only: bool = False) -> None:
        """Ask heirs to renew; ``fresh_only`` asks for shards whose newest record is new here."""
        by_heir: dict[str, list[ShardLease]] = defaultdict(list)
        for number, owned in self.owned.items():
            row = self._ctx.fleet.shards[number]
            asked = owned.asked_base == row.base
            changing = owned.lease.is_frozen(row) and owned.pending is not None
            if row.heir != NOBODY and not changing and not (fresh_only and asked):
                owned.asked_base = row.base
                by_heir[row.heir].append(ShardLease(number, row.base))
        for heir, shards in by_heir.items():
            request = LeaseRequest(self._ctx.process, self._ctx.now(), shards)
            self._ctx.peers.send(heir, request)

    def _mend_heirs(self) -> None:
        """Name another heir where the present one is missing or has stopped granting."""
        now = self._ctx.now()
        changes = []
        for number, owned in self.owned.items():
            row = self._ctx.fleet.shards[number]
            if owned.lease.is_valid(row, now) and row.heir != NOBODY:
                owned.valid_until_seen = now
                owned.pending = None
            elif self.is_pending(number, owned, row, now) or owned.moving_to:
                continue
            elif self._needs_heir(owned, row, now):
                heir = self.heir_for(number, self._ctx.process)
                if heir not in (NOBODY, row.heir):
                    owned.lease.freeze(row.base)
                    changes.append(ShardChange(number, row.base, heir))
        self.append_change(HeirChange(self._ctx.process, changes))

    def _needs_heir(self, owned: OwnedShard, row: Shard, now: float) -> bool:
        if row.heir == NOBODY:
            return True
        silent_s = now - owned.valid_until_seen
        gone = not self._ctx.membership.is_alive(row.heir)
        return silent_s > (0 if gone else 2 * self._times.lease_s)

    def is_pending(self, number: int, owned: OwnedShard, row: Shard, now: float) -> bool:
        """Append a change again whose fate is open; the log's order makes a repeat harmless."""
        if not owned.lease.is_frozen(row) or owned.pending is None:
            return False
        if now - owned.pending_since > REAPPEND_S:
            owned.pending_since = now
            self.append(owned.pending)
        return True

    def append_change(self, record: HeirChange | Handover) -> None:
        """Append a change of owned shards, and again until the log shows what became of it."""
        if not record.shards:
            return
        for each in record.shards:
            owned = self.owned[each.shard]
            owned.pending = record._replace(shards=[each])
            owned.pending_since = self._ctx.now()
        self.append(record)

    def _take_over(self) -> None:
        now = self._ctx.now()
        ready = [
            (number, row)
            for number, (row, lease) in self.heir_of.items()
            if self._should_take_over(number, row, lease, now)
        ]
        self._append_take_over(ready, now)

    def _append_take_over(self, ready: list[tuple[int, Shard]], now: float) -> None:
        if not ready or self._ctx.draining:
            return
        changes = []
        for number, row in ready:
            self.heir_of[number][1].begin_take_over(row)
            self._taking[number] = now
            heir = self.heir_for(number, self._ctx.process, avoid=row.owner)
            changes.append(ShardChange(number, row.base, heir))
        self._ctx.metrics.count("take_overs", len(changes))
        self.append(TakeOver(self._ctx.process, self._ctx.now_ms(), changes))

    def _should_take_over(self, number: int, row: Shard, lease: HeirLease, now: float) -> bool:
        if number in self._taking and lease.is_leaving(row):
            return now - self._taking[number] > REAPPEND_S
        # A leaving owner moves its shards itself, ledgers and all; it is waited for while it lives.
        present = self._ctx.membership.state_of(row.owner) in (
            ProcessState.ALIVE,
            ProcessState.LEAVING,
        )
        if present or self._ctx.draining:
            return False
        return self._ctx.fleet.is_gone(row.owner) or lease.may_take_over(row, now)

    def on_ended(self, process: str) -> None:
        """Take over, as heir, from an owner that is proved to have ended; no lease to wait for."""
        now = self._ctx.now()
        ready = [
            (number, row)
            for number, (row, lease) in self.heir_of.items()
            if row.owner == process and not lease.is_leaving(row)
        ]
        self._append_take_over(ready, now)

    # Claims and balance

    def _claim_ownerless(self) -> None:
        ctx = self._ctx
        if ctx.draining or ctx.fleet.is_gone(ctx.process):
            return
        now = ctx.now()
        changes = [
            ShardChange(number, row.base, self.heir_for(number, ctx.process))
            for number, row in ((n, ctx.fleet.shards[n]) for n in self._ownerless)
            if ctx.fleet.is_gone(row.owner)
            and not self._claimed_lately(number, row, now)
            and self.best(number, self.live_agents()) == ctx.process
        ]
        for each in changes:
            self._claimed[each.shard] = (each.base, now)
        if changes:
            self.append(Claim(ctx.process, ctx.now_ms(), changes))

    def _claimed_lately(self, number: int, row: Shard, now: float) -> bool:
        base, at = self._claimed.get(number, (row.base - 1, 0.0))
        return base == row.base and now - at < REAPPEND_S

    # Cancelling

    def schedule_revoke(self, agent: str, key: str) -> None:
        """Revoke a job's tasks at an agent, together with others of the next moments."""
        if not self._revokes[agent]:
            self._ctx.clock.call_later(REVOKE_WINDOW_S, self._send_revokes, agent)
        self._revokes[agent].append(key)

    def _send_revokes(self, agent: str) -> None:
        self._ctx.peers.send(agent, Revoke(self._revokes.pop(agent)))

    # Appending and choosing

    def append(self, record: FleetRecord) -> None:
        """Append a record without waiting; what became of it is read from the log."""
        self._ctx.clock.call_soon(self._append, record)

    def _append(self, record: FleetRecord) -> None:
        self._ctx.metrics.count("log_appends")
        try:
            self._ctx.log.append(STREAM, to_json(record))
        except LogError:
            self._ctx.metrics.count("log_errors")
        self._ctx.read_requested.set()

    def trim(self) -> None:
        """Let ledgers forget what their bounds say."""
        now_ms = self._ctx.now_ms()
        for owned in self.owned.values():
            owned.ledger.trim(now_ms)

    def live_agents(self) -> list[str]:
        """Agents that the log names and that are thought alive."""
        ctx = self._ctx
        return [
            join.process
            for join in ctx.fleet.processes.values()
            if join.role != "entry" and ctx.membership.is_alive(join.process)
        ]

    def best(self, number: int, agents: Iterable[str]) -> str:
        """The agent that rendezvous hashing prefers for a shard."""
        return max(agents, key=lambda agent: rendezvous(number, agent), default=NOBODY)

    def heir_for(self, number: int, owner: str, avoid: str = NOBODY) -> str:
        """The best agent in another failure domain than the owner's, or else the best."""
        processes = self._ctx.fleet.processes
        domain = processes[owner].failure_domain if owner in processes else ""
        others = [each for each in self.live_agents() if each not in (owner, avoid)]
        elsewhere = [each for each in others if processes[each].failure_domain != domain]
        return self.best(number, elsewhere or others)


def rendezvous(number: int, process: str) -> bytes:
    """Rank of a process for a shard; the name without its incarnation, so restarts move nothing."""
    name = process.rpartition(".")[0]
    return blake2b(f"{number}/{name}".encode(), digest_size=8).digest()
