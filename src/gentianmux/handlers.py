"""What a process does with each kind of message."""

from functools import singledispatch

from loguru import logger

from .board import Board
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


@singledispatch
def handle(msg: Message, board: Board, sender: str) -> None:
    """Hand a message to the controller it is for; must not block.

    Parameters
    ----------
    msg : Message
        What a peer sent.
    board : Board
        The blackboard.
    sender : str
        The process that sent it.
    """
    name = type(msg).__name__
    logger.bind(code=int(ResultCode.BAD_FRAME)).warning("{} from {} is not handled", name, sender)


@handle.register
def _(msg: Answer, board: Board, sender: str) -> None:
    board.dispatcher.on_answer(msg)


@handle.register
def _(msg: Submit, board: Board, sender: str) -> None:
    board.coordinator.on_submit(msg, Waiter(sender, msg.request))


@handle.register
def _(msg: Query, board: Board, sender: str) -> None:
    board.coordinator.on_query(msg, Waiter(sender, msg.request))


@handle.register
def _(msg: Cancel, board: Board, sender: str) -> None:
    board.coordinator.on_cancel(msg, Waiter(sender, msg.request))


@handle.register
def _(msg: Explain, board: Board, sender: str) -> None:
    board.coordinator.on_explain(msg, Waiter(sender, msg.request))


@handle.register
def _(msg: StartBatch, board: Board, sender: str) -> None:
    board.executor.on_batch(msg, sender)


@handle.register
def _(msg: Reserve, board: Board, sender: str) -> None:
    board.executor.on_reserve(msg, sender)


@handle.register
def _(msg: Offer, board: Board, sender: str) -> None:
    board.placement.on_offer(msg, sender)


@handle.register
def _(msg: Decline, board: Board, sender: str) -> None:
    board.executor.on_decline(msg)


@handle.register
def _(msg: ResultBatch, board: Board, sender: str) -> None:
    board.coordinator.on_results(msg, sender)


@handle.register
def _(msg: Revoke, board: Board, sender: str) -> None:
    board.executor.on_revoke(msg.keys)


@handle.register
def _(msg: TraceQuery, board: Board, sender: str) -> None:
    board.executor.on_trace_query(msg, sender)


@handle.register
def _(msg: TraceReply, board: Board, sender: str) -> None:
    board.keeper.on_trace_reply(msg)


@handle.register
def _(msg: LeaseRequest, board: Board, sender: str) -> None:
    board.keeper.on_lease_request(msg, sender)


@handle.register
def _(msg: LeaseGrant, board: Board, sender: str) -> None:
    board.keeper.on_lease_grant(msg)


@handle.register
def _(msg: LedgerHandover, board: Board, sender: str) -> None:
    board.keeper.moves.on_handover(msg, sender)


@handle.register
def _(msg: HandoverReply, board: Board, sender: str) -> None:
    board.keeper.moves.on_handover_reply(msg, sender)


@handle.register
def _(msg: Farewell, board: Board, sender: str) -> None:
    board.coordinator.on_farewell(msg, sender)


@handle.register
def _(msg: FarewellReply, board: Board, sender: str) -> None:
    board.executor.on_farewell_reply(msg)


@handle.register
def _(msg: StatePull, board: Board, sender: str) -> None:
    board.watch.on_pull(msg, sender)


@handle.register
def _(msg: StateBody, board: Board, sender: str) -> None:
    board.watch.on_body(msg)


@handle.register
def _(msg: RecordsHandover, board: Board, sender: str) -> None:
    board.executor.on_records(msg, sender)


@handle.register
def _(msg: RecordsReply, board: Board, sender: str) -> None:
    board.executor.on_records_reply(msg)


def on_lost(process: str, conn: Conn, board: Board) -> None:
    """Tell the controllers that a connection closed."""
    if board.is_agent:
        board.coordinator.on_lost(process, conn.opened, conn.refused)
    if board.me.role != "agent":
        board.dispatcher.on_lost(process, conn.opened)
    if conn.refused:
        board.witness.on_refused(process)
    elif conn.opened:
        board.peers.knock(process)
