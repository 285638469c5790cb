"""Planned moves of shards: the ledger is sent first, then the handover is appended."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from .fleet_records import Handover, ShardChange
from .fleet_state import NO_PROCESS, Shard
from .ledger import Ledger, LedgerBounds
from .messages import HandoverReply, LedgerEntry, LedgerHandover
from .node_context import NodeContext

if TYPE_CHECKING:
    from .shard_manager import OwnedShard, ShardManager

ENTRIES_PER_FRAME = 500
MAX_CONCURRENT_MOVES = 4
MOVE_REPLY_TIMEOUT_S = 2.0
MOVE_POLL_INTERVAL_S = 0.01


class IncomingLedger(NamedTuple):
    """A ledger received from its owner, pending the handover record that names this agent."""

    base: int
    process: str
    move: int
    parts: list[LedgerHandover]


class ShardMoves:
    """Moves shards to the agents preferred by rendezvous hashing, and off a leaving agent.

    Parameters
    ----------
    ctx : NodeContext
        The shared context of the process.
    shard_manager : ShardManager
        The manager of this agent's shards.
    """

    def __init__(self, ctx: NodeContext, shard_manager: "ShardManager") -> None:
        self._ctx = ctx
        self._shard_manager = shard_manager
        self._incoming: dict[int, IncomingLedger] = {}

    def received_ledger(self, number: int, row: Shard, bounds: LedgerBounds) -> Ledger | None:
        """Return the ledger received for a shard, or None unless a planned move brought it."""
        incoming = self._incoming.pop(number, None)
        if incoming is None or not incoming.parts or not incoming.parts[-1].last:
            return None
        if row.epoch != row.base or incoming.base >= row.base:
            return None
        first = incoming.parts[0]
        ledger = Ledger(bounds, first.taken_over_ms)
        ledger.horizon_ms = first.horizon_ms
        ledger.timeless_lost = first.timeless_lost
        for part in incoming.parts:
            ledger.load(part.entries, part.fingerprints)
        self._ctx.metrics.count("handovers")
        return ledger

    def rebalance(self) -> None:
        """Move shards to the agents preferred by rendezvous hashing, a few at a time."""
        if self._ctx.draining:
            return
        agents = self._shard_manager.live_agents()
        moving = sum(1 for owned in self._shard_manager.owned.values() if owned.move_target)
        for number in list(self._shard_manager.owned):
            if moving >= MAX_CONCURRENT_MOVES:
                return
            preferred_agent = self._shard_manager.preferred_agent(number, agents)
            if preferred_agent not in (self._ctx.process, NO_PROCESS) and self._begin_move(
                number, preferred_agent
            ):
                moving += 1

    def _begin_move(self, number: int, target: str) -> bool:
        owned = self._shard_manager.owned[number]
        row = self._ctx.fleet.shards[number]
        if owned.move_target or not owned.lease.is_valid(row, self._ctx.now()):
            return False
        # A valid lease implies that any pending change has been read back from the log.
        owned.pending = None
        owned.lease.freeze(row.base)
        owned.move_target = target
        owned.move += 1
        self._send_ledger(number, owned, row, owned.move)
        return True

    def _send_ledger(self, number: int, owned: "OwnedShard", row: Shard, move: int) -> None:
        """Send the ledger once its jobs have ended; the reply triggers the handover record."""
        if self._shard_manager.owned.get(number) is not owned or owned.move != move:
            return
        if owned.ledger.has_running():
            self._ctx.clock.call_later(
                MOVE_POLL_INTERVAL_S, self._send_ledger, number, owned, row, move
            )
            return
        for part in _handover_frames(number, row.base, self._ctx.process, owned):
            self._ctx.peers.send(owned.move_target, part)
        self._ctx.clock.call_later(MOVE_REPLY_TIMEOUT_S, self._check_reply, owned, move)

    def _check_reply(self, owned: "OwnedShard", move: int) -> None:
        # Nothing is appended before the reply, so a move without a reply can be cancelled.
        if owned.move == move and owned.move_target and owned.pending is None:
            self._cancel_move(owned)

    def _cancel_move(self, owned: "OwnedShard") -> None:
        owned.move_target = NO_PROCESS
        owned.move += 1
        owned.lease.unfreeze()

    def on_handover(self, msg: LedgerHandover, sender: str) -> None:
        """Store a part of a ledger that is being moved to this agent."""
        taken = not self._ctx.draining
        known = self._incoming.get(msg.shard)
        move = (msg.base, msg.process, msg.move)
        if known is None or (known.base, known.process, known.move) != move:
            known = IncomingLedger(*move, [])
            self._incoming[msg.shard] = known
        known.parts.append(msg)
        if msg.last:
            reply = HandoverReply(msg.shard, msg.base, msg.move, taken)
            self._ctx.peers.send(sender, reply)

    def on_handover_reply(self, msg: HandoverReply, sender: str) -> None:
        """Append the handover record once the target holds the ledger."""
        owned = self._shard_manager.owned.get(msg.shard)
        row = self._ctx.fleet.shards[msg.shard]
        if owned is None or (row.base, owned.move) != (msg.base, msg.move):
            return
        if owned.move_target != sender or owned.pending is not None:
            return
        if not msg.taken:
            self._cancel_move(owned)
            return
        heir = self._shard_manager.choose_heir(msg.shard, sender)
        change = ShardChange(msg.shard, row.base, heir)
        record = Handover(self._ctx.process, sender, self._ctx.now_ms(), [change])
        self._shard_manager.append_change(record)

    def move_all_away(self) -> None:
        """Move every shard to another agent, because this one is leaving."""
        agents = [each for each in self._shard_manager.live_agents() if each != self._ctx.process]
        for number in list(self._shard_manager.owned):
            target = self._shard_manager.preferred_agent(number, agents)
            if target != NO_PROCESS:
                self._begin_move(number, target)
            row, owned = self._ctx.fleet.shards[number], self._shard_manager.owned[number]
            self._shard_manager.is_pending(number, owned, row, self._ctx.now())

    def has_move_target(self) -> bool:
        """Return whether another live agent could take this agent's shards."""
        return any(agent != self._ctx.process for agent in self._shard_manager.live_agents())

    def choose_records_target(self) -> str:
        """Return the agent to hold this agent's start records after it has left."""
        return self._shard_manager.choose_heir(0, self._ctx.process)


def _handover_frames(
    number: int, base: int, process: str, owned: "OwnedShard"
) -> Iterable[LedgerHandover]:
    ledger = owned.ledger
    entries, fingerprints = ledger.export()
    starts = range(0, max(1, len(entries)), ENTRIES_PER_FRAME)
    for start in starts:
        part: list[LedgerEntry] = entries[start : start + ENTRIES_PER_FRAME]
        last = start + ENTRIES_PER_FRAME >= len(entries)
        yield LedgerHandover(
            number,
            base,
            owned.move,
            process,
            ledger.horizon_ms,
            ledger.taken_over_ms,
            ledger.timeless_lost,
            last,
            part,
            fingerprints if last else [],
        )
