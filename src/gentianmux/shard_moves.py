"""Planned moves of shards: a ledger goes to another agent, then the log says so."""

from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from .fleet_records import Handover, ShardChange
from .fleet_state import NOBODY, Shard
from .ledger import Ledger, LedgerBounds
from .messages import HandoverReply, LedgerEntry, LedgerHandover
from .node_context import NodeContext

if TYPE_CHECKING:
    from .shard_manager import OwnedShard, ShardManager

HANDOVER_PART = 500
MOVES_AT_ONCE = 4
MOVE_REPLY_S = 2.0
MOVE_POLL_S = 0.01


class Incoming(NamedTuple):
    """A ledger that another owner handed over, waiting for the record that names us."""

    base: int
    process: str
    move: int
    parts: list[LedgerHandover]


class ShardMoves:
    """Moves shards to where rendezvous hashing prefers them, and away from a leaving agent.

    Parameters
    ----------
    ctx : NodeContext
        The blackboard.
    shard_manager : ShardManager
        The shards that this agent owns.
    """

    def __init__(self, ctx: NodeContext, shard_manager: "ShardKeeper") -> None:
        self._ctx = ctx
        self._shard_manager = shard_manager
        self._incoming: dict[int, Incoming] = {}

    def received_ledger(self, number: int, row: Shard, bounds: LedgerBounds) -> Ledger | None:
        """The ledger that was handed over for a shard, when a planned move brought it here."""
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

    def balance(self) -> None:
        """Move shards to the agents that rendezvous hashing prefers, a few at a time."""
        if self._ctx.draining:
            return
        agents = self._shard_manager.live_agents()
        moving = sum(1 for owned in self._shard_manager.owned.values() if owned.moving_to)
        for number in list(self._shard_manager.owned):
            if moving >= MOVES_AT_ONCE:
                return
            best = self._shard_manager.best(number, agents)
            if best not in (self._ctx.process, NOBODY) and self._begin_move(number, best):
                moving += 1

    def _begin_move(self, number: int, target: str) -> bool:
        owned = self._shard_manager.owned[number]
        row = self._ctx.fleet.shards[number]
        if owned.moving_to or not owned.lease.is_valid(row, self._ctx.now()):
            return False
        # The lease is valid, so whatever change was pending has been read back.
        owned.pending = None
        owned.lease.freeze(row.base)
        owned.moving_to = target
        owned.move += 1
        self._send_ledger(number, owned, row, owned.move)
        return True

    def _send_ledger(self, number: int, owned: "OwnedShard", row: Shard, move: int) -> None:
        """Send the ledger once its jobs have ended; the reply leads to the record."""
        if self._shard_manager.owned.get(number) is not owned or owned.move != move:
            return
        if owned.ledger.has_running():
            self._ctx.clock.call_later(MOVE_POLL_S, self._send_ledger, number, owned, row, move)
            return
        for part in _handover_parts(number, row.base, self._ctx.process, owned):
            self._ctx.peers.send(owned.moving_to, part)
        self._ctx.clock.call_later(MOVE_REPLY_S, self._check_reply, owned, move)

    def _check_reply(self, owned: "OwnedShard", move: int) -> None:
        # Nothing is appended before the reply, so a move without one can be called off.
        if owned.move == move and owned.moving_to and owned.pending is None:
            self._call_off(owned)

    def _call_off(self, owned: "OwnedShard") -> None:
        owned.moving_to = NOBODY
        owned.move += 1
        owned.lease.thaw()

    def on_handover(self, msg: LedgerHandover, sender: str) -> None:
        """Take in a ledger that is being moved here."""
        taken = not self._ctx.draining
        known = self._incoming.get(msg.shard)
        move = (msg.base, msg.process, msg.move)
        if known is None or (known.base, known.process, known.move) != move:
            known = Incoming(*move, [])
            self._incoming[msg.shard] = known
        known.parts.append(msg)
        if msg.last:
            reply = HandoverReply(msg.shard, msg.base, msg.move, taken)
            self._ctx.peers.send(sender, reply)

    def on_handover_reply(self, msg: HandoverReply, sender: str) -> None:
        """Append the record of a planned move, once its target holds the ledger."""
        owned = self._shard_manager.owned.get(msg.shard)
        row = self._ctx.fleet.shards[msg.shard]
        if owned is None or (row.base, owned.move) != (msg.base, msg.move):
            return
        if owned.moving_to != sender or owned.pending is not None:
            return
        if not msg.taken:
            self._call_off(owned)
            return
        heir = self._shard_manager.heir_for(msg.shard, sender)
        change = ShardChange(msg.shard, row.base, heir)
        record = Handover(self._ctx.process, sender, self._ctx.now_ms(), [change])
        self._shard_manager.append_change(record)

    def move_all_away(self) -> None:
        """Move every shard away, since this agent is leaving."""
        agents = [each for each in self._shard_manager.live_agents() if each != self._ctx.process]
        for number in list(self._shard_manager.owned):
            target = self._shard_manager.best(number, agents)
            if target != NOBODY:
                self._begin_move(number, target)
            row, owned = self._ctx.fleet.shards[number], self._shard_manager.owned[number]
            self._shard_manager.is_pending(number, owned, row, self._ctx.now())

    def has_target(self) -> bool:
        """Whether any live agent could take this one's shards."""
        return any(agent != self._ctx.process for agent in self._shard_manager.live_agents())

    def records_target(self) -> str:
        """Who shall hold this agent's start records once it has left."""
        return self._shard_manager.heir_for(0, self._ctx.process)


def _handover_parts(
    number: int, base: int, process: str, owned: "OwnedShard"
) -> Iterable[LedgerHandover]:
    ledger = owned.ledger
    entries, fingerprints = ledger.export()
    starts = range(0, max(1, len(entries)), HANDOVER_PART)
    for start in starts:
        part: list[LedgerEntry] = entries[start : start + HANDOVER_PART]
        last = start + HANDOVER_PART >= len(entries)
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
