"""Confirms that unresponsive processes have ended and evicts them in the log."""

from .errors import LogError
from .fleet_records import Evict, to_json
from .fleet_state import STREAM
from .membership import ProcessState
from .messages import MemberUpdate
from .node_context import NodeContext
from .shard_manager import rendezvous

WITNESS_COUNT = 2
EVICT_RETRY_S = 2.0
EVICT_DELAY_S = 0.3
PROOF = "connection refused by its host"


class Witness:
    """Evicts processes whose host refuses connections.

    The host of a paused process still accepts connections, so a paused process is not evicted.

    Parameters
    ----------
    ctx : NodeContext
        The shared context; this registers itself there as ``witness``.
    """

    def __init__(self, ctx: NodeContext) -> None:
        ctx.witness = self
        self._ctx = ctx
        self._evict_appended_at: dict[str, float] = {}

    def on_change(self, update: MemberUpdate) -> None:
        """Connect to a process that has become suspect or dead."""
        if update.state in (ProcessState.SUSPECT, ProcessState.DEAD) and self._is_witness_for(
            update.process
        ):
            self._ctx.peers.ensure_connected(update.process)

    def on_refused(self, process: str) -> None:
        """Evict a process that refused a connection: as heir at once, as witness after a delay."""
        ctx = self._ctx
        if process not in ctx.fleet.processes:
            return
        if ctx.is_agent and any(
            row.owner == process for row, _ in ctx.shard_manager.heir_leases.values()
        ):
            ctx.shard_manager.take_over_from(process)
            self._evict(process)
        elif self._is_witness_for(process):
            ctx.clock.call_later(EVICT_DELAY_S, self._evict, process)

    def _evict(self, process: str) -> None:
        now = self._ctx.now()
        if process not in self._ctx.fleet.processes:
            return
        if now - self._evict_appended_at.get(process, -EVICT_RETRY_S) < EVICT_RETRY_S:
            return
        self._evict_appended_at[process] = now
        self._ctx.clock.call_soon(self._append, process)

    def check_dead(self) -> None:
        """Connect again to dead processes that have not been evicted."""
        for process in list(self._ctx.fleet.processes):
            if self._ctx.membership.state_of(process) is ProcessState.DEAD and self._is_witness_for(
                process
            ):
                self._ctx.peers.ensure_connected(process)

    def _is_witness_for(self, process: str) -> bool:
        live = [each.process for each in self._ctx.membership.alive()]
        number = sum(process.encode())
        chosen = sorted(live, key=lambda each: rendezvous(number, each))[-WITNESS_COUNT:]
        return self._ctx.process in chosen

    def _append(self, process: str) -> None:
        record = Evict(process, self._ctx.process, PROOF, self._ctx.now_ms())
        self._ctx.metrics.count("log_appends")
        try:
            self._ctx.log.append(STREAM, to_json(record))
        except LogError:
            self._ctx.metrics.count("log_errors")
        self._ctx.read_requested.set()
