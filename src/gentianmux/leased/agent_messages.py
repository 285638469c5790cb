"""Handles the messages that entries send to an agent."""

from functools import singledispatchmethod

from loguru import logger

from ..messages import Message
from .agent_context import AgentContext
from .config_transfer import ConfigTransfer
from .evacuation_broadcast import EvacuationBroadcast
from .messages import (
    Assign,
    Cancelled,
    ConfigPiece,
    ConfigWanted,
    EntriesKnown,
    Evacuated,
    LoadEcho,
    Withdraw,
)
from .model import RunOutcome
from .payloads import decode_payload
from .run_starter import RunStarter
from .run_stopper import RunStopper
from .view_broadcast import ViewBroadcast


class AgentMessages:
    """Passes each message of an entry to the part of the agent that it concerns.

    Parameters
    ----------
    ctx : AgentContext
        Shared state of the agent.
    starter : RunStarter
        Starts assigned runs.
    stopper : RunStopper
        Stops withdrawn runs.
    config_transfer : ConfigTransfer
        Passes the configuration on.
    evacuation_broadcast : EvacuationBroadcast
        Passes evacuations on.
    view_broadcast : ViewBroadcast
        Passes the view of the entries on.

    Examples
    --------
    ``messages.handle(Withdraw([RunRef("task", 1)]), "e1.5")``
    """

    def __init__(
        self,
        ctx: AgentContext,
        starter: RunStarter,
        stopper: RunStopper,
        config_transfer: ConfigTransfer,
        evacuation_broadcast: EvacuationBroadcast,
        view_broadcast: ViewBroadcast,
    ) -> None:
        self._ctx = ctx
        self._starter = starter
        self._stopper = stopper
        self._config_transfer = config_transfer
        self._evacuation_broadcast = evacuation_broadcast
        self._view_broadcast = view_broadcast

    @singledispatchmethod
    def handle(self, msg: Message, entry: str) -> None:
        """Handle a message of an entry."""
        logger.bind(peer=entry).warning("{} is not handled", type(msg).__name__)

    @handle.register
    def _(self, msg: Assign, entry: str) -> None:
        now = self._ctx.clock.now()
        self._ctx.reporter.record_echo(entry, msg.echo)
        self._ctx.reporter.applied[entry] = max(
            msg.number, self._ctx.reporter.applied.get(entry, 0)
        )
        has_lease = self._ctx.reporter.leases.holds(entry, now)
        refused = False
        payloads = [decode_payload(payload) for payload in msg.payloads]
        for task in msg.tasks:
            payload = payloads[task.payload]
            how = (
                self._starter.accept(task, payload, entry) if has_lease else RunOutcome.NOT_STARTED
            )
            if how is not None:
                refused = True
                self._ctx.metrics.count("runs_refused", label=how.name.lower())
                logger.bind(
                    task=task.name,
                    run=task.run,
                    peer=entry,
                    how=how.name.lower(),
                    chain_holds=has_lease,
                    free_cpu=self._ctx.table.resources.free.cpu,
                    accepting=self._ctx.is_accepting,
                ).info("run not begun")
                self._ctx.reporter.record_ended(entry, task.name, task.run, how, 0)
        self._ctx.reporter.send_ended(entry)
        self._ctx.reporter.on_assignment(entry, refused, msg.claims)

    @handle.register
    def _(self, msg: Withdraw, entry: str) -> None:
        for ref in msg.runs:
            key = (ref.task, ref.run)
            run = self._ctx.table.runs.get(key)
            if run is not None and run.entry == entry:
                self._stopper.stop_in_time(key, "withdrawn", self._ctx.clock.now())
            else:
                self._starter.withdraw(key, entry)
        self._stopper.send_due_stops()
        self._ctx.reporter.send_ended(entry)

    @handle.register
    def _(self, msg: LoadEcho, entry: str) -> None:
        if msg.reads_store:
            self._ctx.informed_at = self._ctx.clock.now()
        self._ctx.reporter.record_echo(entry, msg.number)
        self._ctx.reporter.acknowledge(entry, msg.seen)
        self._ctx.reporter.on_claims(entry, msg.claims, msg.gives_back)
        self._config_transfer.on_version(entry, msg.config_version)

    @handle.register
    def _(self, msg: Evacuated, entry: str) -> None:
        self._evacuation_broadcast.take(msg, entry)

    @handle.register
    def _(self, msg: Cancelled, entry: str) -> None:
        self._ctx.cancel_broadcast.take(msg, entry)

    @handle.register
    def _(self, msg: ConfigWanted, entry: str) -> None:
        self._config_transfer.on_wanted(msg, entry)

    @handle.register
    def _(self, msg: ConfigPiece, entry: str) -> None:
        self._config_transfer.take(msg, entry)

    @handle.register
    def _(self, msg: EntriesKnown, entry: str) -> None:
        self._view_broadcast.take(msg, entry)
