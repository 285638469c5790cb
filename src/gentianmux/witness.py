"""Looks for proof that silent processes have ended, and puts it into the log."""

from .errors import LogError
from .fleet_records import Evict, to_json
from .fleet_state import STREAM
from .membership import ProcessState
from .messages import MemberUpdate
from .node_context import NodeContext
from .shard_manager import rendezvous

WITNESSES = 2
REPEAT_S = 2.0
LATER_S = 0.3
PROOF = "connection refused by its host"


class Witness:
    """Dials processes that fell silent; a refused connection proves that the process ended.

    A paused process still has its connections accepted by its host, so it is never mistaken for
    an ended one.

    Parameters
    ----------
    ctx : NodeContext
        The blackboard; this puts itself there as ``witness``.
    """

    def __init__(self, ctx: NodeContext) -> None:
        ctx.witness = self
        self._ctx = ctx
        self._evicted: dict[str, float] = {}

    def on_change(self, update: MemberUpdate) -> None:
        """React to a change of what membership thinks of a process."""
        if update.state in (ProcessState.SUSPECT, ProcessState.DEAD) and self._is_chosen(
            update.process
        ):
            self._ctx.peers.ensure_connected(update.process)

    def on_refused(self, process: str) -> None:
        """Append that a process has ended: its heirs at once, chosen witnesses a moment later."""
        ctx = self._ctx
        if process not in ctx.fleet.processes:
            return
        if ctx.is_agent and any(
            row.owner == process for row, _ in ctx.shard_manager.heir_of.values()
        ):
            ctx.shard_manager.on_ended(process)
            self._evict(process)
        elif self._is_chosen(process):
            ctx.clock.call_later(LATER_S, self._evict, process)

    def _evict(self, process: str) -> None:
        now = self._ctx.now()
        if process not in self._ctx.fleet.processes:
            return
        if now - self._evicted.get(process, -REPEAT_S) < REPEAT_S:
            return
        self._evicted[process] = now
        self._ctx.clock.call_soon(self._append, process)

    def check_dead(self) -> None:
        """Look again at dead processes that the log still names."""
        for process in list(self._ctx.fleet.processes):
            if self._ctx.membership.state_of(process) is ProcessState.DEAD and self._is_chosen(
                process
            ):
                self._ctx.peers.ensure_connected(process)

    def _is_chosen(self, process: str) -> bool:
        live = [each.process for each in self._ctx.membership.alive()]
        number = sum(process.encode())
        chosen = sorted(live, key=lambda each: rendezvous(number, each))[-WITNESSES:]
        return self._ctx.process in chosen

    def _append(self, process: str) -> None:
        record = Evict(process, self._ctx.process, PROOF, self._ctx.now_ms())
        self._ctx.metrics.count("log_appends")
        try:
            self._ctx.log.append(STREAM, to_json(record))
        except LogError:
            self._ctx.metrics.count("log_errors")
        self._ctx.read_requested.set()
