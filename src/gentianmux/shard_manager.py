"""Manages the shards of an agent: leases, ledgers, take-overs and planned moves."""

from collections import defaultdict
from collections.abc import Iterable
from hashlib import blake2b

import gevent
from loguru import logger

from .codes import ResultCode
from .errors import LogError
from .fleet_records import Claim, FleetRecord, Handover, HeirChange, ShardChange, TakeOver, to_json
from .fleet_state import NO_PROCESS, STREAM, Shard
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

STARTUP_DELAY_S = 1.0
APPEND_RETRY_S = 1.0
REVOKE_BATCH_DELAY_S = 0.01


class OwnedShard:
    """A shard owned by this agent: its ledger, its lease and any pending change."""

    def __init__(self, row: Shard, ledger: Ledger, lease: OwnerLease, now: float) -> None:
        self.epoch = row.epoch
        self.ledger = ledger
        self.lease = lease
        self.last_valid_at = now
        self.requested_base = -1
        self.pending: FleetRecord | None = None
        self.pending_since = 0.0
        self.move_target = NO_PROCESS
        self.move = 0


class ShardManager:
    """Manages the agent's shards; every change of ownership goes through the platform's log.

    Parameters
    ----------
    ctx : NodeContext
        The shared context; this registers itself there as ``shard_manager``.
    """

    def __init__(self, ctx: NodeContext) -> None:
        ctx.shard_manager = self
        self.owned: dict[int, OwnedShard] = {}
        self.heir_leases: dict[int, tuple[Shard, HeirLease]] = {}
        self.traces = TraceCollector(ctx)
        self._ctx = ctx
        self._times = LeaseTimes(ctx.cfg.lease_ms / 1000)
        cfg = ctx.cfg
        self._bounds = LedgerBounds(cfg.keep_s * 1000, cfg.skew_ms, cfg.ledger_kb * 1024)
        self.moves = ShardMoves(ctx, self)
        self._take_over_appended_at: dict[int, float] = {}
        self._claim_appended_at: dict[int, tuple[int, float]] = {}
        self._revokes: dict[str, list[str]] = defaultdict(list)
        self._early_requests: dict[str, LeaseRequest] = {}
        self._unowned: list[int] = []
        self._started = ctx.now()

    # Queries

    def refusal(self, shard: int) -> ResultCode | None:
        """Return why this agent may not answer for a shard, or None when it may."""
        owned = self.owned.get(shard)
        row = self._ctx.fleet.shards[shard]
        if owned is None or row.owner != self._ctx.process:
            return ResultCode.NOT_OWNER
        if not owned.lease.is_valid(row, self._ctx.now()):
            return ResultCode.LEASE_LAPSED
        return None

    def ledger_of(self, shard: int, epoch: int) -> Ledger | None:
        """Return the ledger of a shard if this agent owns it under ``epoch``."""
        owned = self.owned.get(shard)
        return owned.ledger if owned is not None and owned.epoch == epoch else None

    def query_traces(self, msg: Submit, waiter: Waiter) -> None:
        """Query all agents for traces of an id before deciding on its submission."""
        self.traces.query(msg, waiter)

    def on_trace_reply(self, reply: TraceReply) -> None:
        """Handle the traces sent by an agent."""
        self.traces.on_reply(reply)

    # Changes read from the log

    def on_fleet_change(self) -> None:
        """Update owned shards and granted leases after records of the fleet were applied."""
        this_process, now = self._ctx.process, self._ctx.now()
        for number, row in enumerate(self._ctx.fleet.shards):
            owned = self.owned.get(number)
            if row.owner == this_process:
                if owned is None or owned.epoch != row.epoch:
                    self._acquire(number, row, now)
            elif owned is not None:
                self._release(number, owned)
            self._update_heir_lease(number, row, now)
        gone = self._ctx.fleet.is_gone
        self._unowned = [n for n, row in enumerate(self._ctx.fleet.shards) if gone(row.owner)]
        self._answer_early_requests()
        self._renew(fresh_only=True)

    def _acquire(self, number: int, row: Shard, now: float) -> None:
        ledger = self.moves.received_ledger(number, row, self._bounds) or self._new_ledger(row)
        lease = OwnerLease(self._times, self._ctx.process)
        self.owned[number] = OwnedShard(row, ledger, lease, now)
        self._take_over_appended_at.pop(number, None)
        logger.bind(shard=number, epoch=row.epoch).debug("shard acquired")

    def _new_ledger(self, row: Shard) -> Ledger:
        complete = row.prior == NO_PROCESS and not row.handed
        return Ledger(self._bounds, NO_TIME if complete else self._ctx.now_ms())

    def _release(self, number: int, owned: OwnedShard) -> None:
        del self.owned[number]
        self._ctx.coordinator.abandon_shard(number, owned.epoch)
        logger.bind(shard=number, epoch=owned.epoch).debug("shard released")

    def _update_heir_lease(self, number: int, row: Shard, now: float) -> None:
        known = self.heir_leases.get(number)
        if row.heir != self._ctx.process:
            self.heir_leases.pop(number, None)
        elif known is None or known[0].base != row.base:
            self.heir_leases[number] = (row, HeirLease(self._times, self._ctx.process, now))

    # Leases

    def on_lease_request(self, msg: LeaseRequest, sender: str) -> None:
        """Grant renewals as heir; hold back those based on records not read yet."""
        now = self._ctx.now()
        granted = [each for each in msg.shards if self._grant(each, msg.process, now)]
        if granted:
            self._ctx.peers.send(sender, LeaseGrant(self._ctx.process, msg.sent, granted))
        ahead = [each for each in msg.shards if each.base > self._ctx.fleet.version]
        if ahead:
            self._early_requests[sender] = msg._replace(shards=ahead)
            self._ctx.read_requested.set()

    def _answer_early_requests(self) -> None:
        """Answer renewals that arrived before the records they are based on."""
        requests, self._early_requests = self._early_requests, {}
        for sender, msg in requests.items():
            self.on_lease_request(msg, sender)

    def _grant(self, each: ShardLease, owner: str, now: float) -> bool:
        known = self.heir_leases.get(each.shard)
        return known is not None and known[1].grant(known[0], owner, each.base, now)

    def on_lease_grant(self, msg: LeaseGrant) -> None:
        """Record the heir's grants as owner."""
        for each in msg.shards:
            owned = self.owned.get(each.shard)
            if owned is not None and self._ctx.fleet.shards[each.shard].heir == msg.process:
                owned.lease.on_grant(each.base, msg.sent)

    def run_lease_loop(self) -> None:
        """Run ``step`` periodically until the process ends."""
        while True:
            gevent.sleep(self._ctx.cfg.renew_ms / 1000)
            self.step()

    def step(self) -> None:
        """Renew leases, then replace heirs, take over, claim and rebalance shards."""
        self._renew()
        if self._ctx.membership.isolated:
            return
        self._replace_heirs()
        self._take_over()
        if self._ctx.now() - self._started > STARTUP_DELAY_S:
            self._claim_unowned()
            self.moves.rebalance()

    def _renew(self, fresh_only: bool = False) -> None:
        """Request renewals; ``fresh_only`` skips those requested under the newest record."""
        by_heir: dict[str, list[ShardLease]] = defaultdict(list)
        for number, owned in self.owned.items():
            row = self._ctx.fleet.shards[number]
            requested = owned.requested_base == row.base
            changing = owned.lease.is_frozen(row) and owned.pending is not None
            if row.heir != NO_PROCESS and not changing and not (fresh_only and requested):
                owned.requested_base = row.base
                by_heir[row.heir].append(ShardLease(number, row.base))
        for heir, shards in by_heir.items():
            request = LeaseRequest(self._ctx.process, self._ctx.now(), shards)
            self._ctx.peers.send(heir, request)

    def _replace_heirs(self) -> None:
        """Choose another heir where there is none or it stopped granting."""
        now = self._ctx.now()
        changes = []
        for number, owned in self.owned.items():
            row = self._ctx.fleet.shards[number]
            if owned.lease.is_valid(row, now) and row.heir != NO_PROCESS:
                owned.last_valid_at = now
                owned.pending = None
            elif self.is_pending(number, owned, row, now) or owned.move_target:
                continue
            elif self._needs_heir(owned, row, now):
                heir = self.choose_heir(number, self._ctx.process)
                if heir not in (NO_PROCESS, row.heir):
                    owned.lease.freeze(row.base)
                    changes.append(ShardChange(number, row.base, heir))
        self.append_change(HeirChange(self._ctx.process, changes))

    def _needs_heir(self, owned: OwnedShard, row: Shard, now: float) -> bool:
        if row.heir == NO_PROCESS:
            return True
        since_valid_s = now - owned.last_valid_at
        gone = not self._ctx.membership.is_alive(row.heir)
        return since_valid_s > (0 if gone else 2 * self._times.lease_s)

    def is_pending(self, number: int, owned: OwnedShard, row: Shard, now: float) -> bool:
        """Return whether a change is unresolved, appending it again after a while.

        Repeats are harmless: only the first record that names the base takes effect.
        """
        if not owned.lease.is_frozen(row) or owned.pending is None:
            return False
        if now - owned.pending_since > APPEND_RETRY_S:
            owned.pending_since = now
            self.append(owned.pending)
        return True

    def append_change(self, record: HeirChange | Handover) -> None:
        """Append a change of owned shards; it is retried until the log shows its outcome."""
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
            for number, (row, lease) in self.heir_leases.items()
            if self._should_take_over(number, row, lease, now)
        ]
        self._append_take_over(ready, now)

    def _append_take_over(self, ready: list[tuple[int, Shard]], now: float) -> None:
        if not ready or self._ctx.draining:
            return
        changes = []
        for number, row in ready:
            self.heir_leases[number][1].begin_take_over(row)
            self._take_over_appended_at[number] = now
            heir = self.choose_heir(number, self._ctx.process, avoid=row.owner)
            changes.append(ShardChange(number, row.base, heir))
        self._ctx.metrics.count("take_overs", len(changes))
        self.append(TakeOver(self._ctx.process, self._ctx.now_ms(), changes))

    def _should_take_over(self, number: int, row: Shard, lease: HeirLease, now: float) -> bool:
        if number in self._take_over_appended_at and lease.is_taking_over(row):
            return now - self._take_over_appended_at[number] > APPEND_RETRY_S
        # A leaving owner moves its shards with their ledgers, so wait for it while it is alive.
        present = self._ctx.membership.state_of(row.owner) in (
            ProcessState.ALIVE,
            ProcessState.LEAVING,
        )
        if present or self._ctx.draining:
            return False
        return self._ctx.fleet.is_gone(row.owner) or lease.may_take_over(row, now)

    def take_over_from(self, process: str) -> None:
        """Take over as heir from an owner confirmed to have ended, without awaiting its lease."""
        now = self._ctx.now()
        ready = [
            (number, row)
            for number, (row, lease) in self.heir_leases.items()
            if row.owner == process and not lease.is_taking_over(row)
        ]
        self._append_take_over(ready, now)

    # Claims

    def _claim_unowned(self) -> None:
        ctx = self._ctx
        if ctx.draining or ctx.fleet.is_gone(ctx.process):
            return
        now = ctx.now()
        changes = [
            ShardChange(number, row.base, self.choose_heir(number, ctx.process))
            for number, row in ((n, ctx.fleet.shards[n]) for n in self._unowned)
            if ctx.fleet.is_gone(row.owner)
            and not self._claimed_recently(number, row, now)
            and self.preferred_agent(number, self.live_agents()) == ctx.process
        ]
        for each in changes:
            self._claim_appended_at[each.shard] = (each.base, now)
        if changes:
            self.append(Claim(ctx.process, ctx.now_ms(), changes))

    def _claimed_recently(self, number: int, row: Shard, now: float) -> bool:
        base, at = self._claim_appended_at.get(number, (row.base - 1, 0.0))
        return base == row.base and now - at < APPEND_RETRY_S

    # Revocation

    def schedule_revoke(self, agent: str, key: str) -> None:
        """Revoke a job's tasks at an agent, batched with others within a short delay."""
        if not self._revokes[agent]:
            self._ctx.clock.call_later(REVOKE_BATCH_DELAY_S, self._send_revokes, agent)
        self._revokes[agent].append(key)

    def _send_revokes(self, agent: str) -> None:
        self._ctx.peers.send(agent, Revoke(self._revokes.pop(agent)))

    # Appending records and choosing agents

    def append(self, record: FleetRecord) -> None:
        """Append a record in the background; its outcome is read from the log."""
        self._ctx.clock.call_soon(self._append, record)

    def _append(self, record: FleetRecord) -> None:
        self._ctx.metrics.count("log_appends")
        try:
            self._ctx.log.append(STREAM, to_json(record))
        except LogError:
            self._ctx.metrics.count("log_errors")
        self._ctx.read_requested.set()

    def trim(self) -> None:
        """Trim all ledgers to their limits."""
        now_ms = self._ctx.now_ms()
        for owned in self.owned.values():
            owned.ledger.trim(now_ms)

    def live_agents(self) -> list[str]:
        """Return the agents that have joined and are considered alive."""
        ctx = self._ctx
        return [
            join.process
            for join in ctx.fleet.processes.values()
            if join.role != "entry" and ctx.membership.is_alive(join.process)
        ]

    def preferred_agent(self, number: int, agents: Iterable[str]) -> str:
        """Return the agent that ranks highest for a shard by rendezvous hashing."""
        return max(agents, key=lambda agent: rendezvous(number, agent), default=NO_PROCESS)

    def choose_heir(self, number: int, owner: str, avoid: str = NO_PROCESS) -> str:
        """Return the preferred agent outside the owner's failure domain, or else of any."""
        processes = self._ctx.fleet.processes
        domain = processes[owner].failure_domain if owner in processes else ""
        others = [each for each in self.live_agents() if each not in (owner, avoid)]
        elsewhere = [each for each in others if processes[each].failure_domain != domain]
        return self.preferred_agent(number, elsewhere or others)


def rendezvous(number: int, process: str) -> bytes:
    """Return the rank of a process for a shard.

    The incarnation is left out of the hash, so a restart does not move shards.
    """
    name = process.rpartition(".")[0]
    return blake2b(f"{number}/{name}".encode(), digest_size=8).digest()
