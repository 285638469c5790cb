"""What a process does with each kind of message."""

from functools import singledispatch

from loguru import logger

from .codes import ResultCode
from .conn import Conn
from .job import Waiter
from .messages import (
    Answer,
    Cancel,
    Decline,
    Explain,
    Farewell,
    FarewellReply,
    HandoverReply,
    LeaseGrant,
    LeaseRequest,
    LedgerHandover,
    Message,
    Offer,
    Query,
    RecordsHandover,
    RecordsReply,
    Reserve,
    ResultBatch,
    Revoke,
    StartBatch,
    StateBody,
    StatePull,
    Submit,
    TraceQuery,
    TraceReply,
)
from .node_context import NodeContext


@singledispatch
def handle(msg: Message, ctx: NodeContext, sender: str) -> None:
    """Hand a message to the controller it is for; must not block.

    Parameters
    ----------
    msg : Message
        What a peer sent.
    ctx : NodeContext
        The blackboard.
    sender : str
        The process that sent it.
    """
    name = type(msg).__name__
    logger.bind(code=int(ResultCode.BAD_FRAME)).warning("{} from {} is not handled", name, sender)


@handle.register
def _(msg: Answer, ctx: NodeContext, sender: str) -> None:
    ctx.dispatcher.on_answer(msg)


@handle.register
def _(msg: Submit, ctx: NodeContext, sender: str) -> None:
    ctx.coordinator.on_submit(msg, Waiter(sender, msg.request))


@handle.register
def _(msg: Query, ctx: NodeContext, sender: str) -> None:
    ctx.coordinator.on_query(msg, Waiter(sender, msg.request))


@handle.register
def _(msg: Cancel, ctx: NodeContext, sender: str) -> None:
    ctx.coordinator.on_cancel(msg, Waiter(sender, msg.request))


@handle.register
def _(msg: Explain, ctx: NodeContext, sender: str) -> None:
    ctx.coordinator.on_explain(msg, Waiter(sender, msg.request))


@handle.register
def _(msg: StartBatch, ctx: NodeContext, sender: str) -> None:
    ctx.executor.on_batch(msg, sender)


@handle.register
def _(msg: Reserve, ctx: NodeContext, sender: str) -> None:
    ctx.executor.on_reserve(msg, sender)


@handle.register
def _(msg: Offer, ctx: NodeContext, sender: str) -> None:
    ctx.placement.on_offer(msg, sender)


@handle.register
def _(msg: Decline, ctx: NodeContext, sender: str) -> None:
    ctx.executor.on_decline(msg)


@handle.register
def _(msg: ResultBatch, ctx: NodeContext, sender: str) -> None:
    ctx.coordinator.on_results(msg, sender)


@handle.register
def _(msg: Revoke, ctx: NodeContext, sender: str) -> None:
    ctx.executor.on_revoke(msg.keys)


@handle.register
def _(msg: TraceQuery, ctx: NodeContext, sender: str) -> None:
    ctx.executor.on_trace_query(msg, sender)


@handle.register
def _(msg: TraceReply, ctx: NodeContext, sender: str) -> None:
    ctx.shard_manager.on_trace_reply(msg)


@handle.register
def _(msg: LeaseRequest, ctx: NodeContext, sender: str) -> None:
    ctx.shard_manager.on_lease_request(msg, sender)


@handle.register
def _(msg: LeaseGrant, ctx: NodeContext, sender: str) -> None:
    ctx.shard_manager.on_lease_grant(msg)


@handle.register
def _(msg: LedgerHandover, ctx: NodeContext, sender: str) -> None:
    ctx.shard_manager.moves.on_handover(msg, sender)


@handle.register
def _(msg: HandoverReply, ctx: NodeContext, sender: str) -> None:
    ctx.shard_manager.moves.on_handover_reply(msg, sender)


@handle.register
def _(msg: Farewell, ctx: NodeContext, sender: str) -> None:
    ctx.coordinator.on_shutdown_notice(msg, sender)


@handle.register
def _(msg: FarewellReply, ctx: NodeContext, sender: str) -> None:
    ctx.executor.on_shutdown_notice_reply(msg)


@handle.register
def _(msg: StatePull, ctx: NodeContext, sender: str) -> None:
    ctx.stream_reader.on_pull(msg, sender)


@handle.register
def _(msg: StateBody, ctx: NodeContext, sender: str) -> None:
    ctx.stream_reader.on_body(msg)


@handle.register
def _(msg: RecordsHandover, ctx: NodeContext, sender: str) -> None:
    ctx.executor.on_records(msg, sender)


@handle.register
def _(msg: RecordsReply, ctx: NodeContext, sender: str) -> None:
    ctx.executor.on_records_reply(msg)


def on_lost(process: str, conn: Conn, ctx: NodeContext) -> None:
    """Tell the controllers that a connection closed."""
    if ctx.is_agent:
        ctx.coordinator.on_lost(process, conn.opened, conn.refused)
    if ctx.identity.role != "agent":
        ctx.dispatcher.on_lost(process, conn.opened)
    if conn.refused:
        ctx.witness.on_refused(process)
    elif conn.opened:
        ctx.peers.ensure_connected(process)
