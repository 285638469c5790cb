"""Carries callers' submissions from an entry to the owners of their shards."""

from typing import NamedTuple

import gevent
from gevent.event import AsyncResult

from .codes import ResultCode
from .messages import Answer, Cancel, Explain, Query, Submit
from .node_context import NodeContext

RETRY_S = 0.05
PATIENCE_S = 5.0
RETRY_AFTER_MS = 500
RETRYABLE_CODES = frozenset(
    {
        ResultCode.NOT_OWNER,
        ResultCode.LEASE_LAPSED,
        ResultCode.SHARD_UNAVAILABLE,
        ResultCode.DRAINING,
        ResultCode.STALE_EPOCH,
    }
)


Question = Submit | Query | Cancel | Explain


class Reply(NamedTuple):
    """What a caller is told: the code, a detail, and the whole answer when there is one."""

    code: ResultCode
    detail: str = ""
    body: bytes = b""
    retry_after_ms: int = 0


class _Pending(NamedTuple):
    owner: str
    shard: int
    fut: AsyncResult


class Dispatcher:
    """Finds the owner of each key, asks it, and hands its answer to whoever waits.

    Parameters
    ----------
    ctx : NodeContext
        The blackboard; this puts itself there as ``dispatcher``.
    """

    def __init__(self, ctx: NodeContext) -> None:
        ctx.dispatcher = self
        self.inflight = 0
        self._ctx = ctx
        self._pending: dict[int, _Pending] = {}
        self._next = 0

    def submit(self, msg: Submit, wait_s: float) -> Reply:
        """Submit and wait; a submission is sent again freely, since its id is admitted once.

        Parameters
        ----------
        msg : Submit
            The submission.
        wait_s : float
            Seconds to wait for the final answer.
        """
        return self._ask(msg, max(wait_s, PATIENCE_S), may_run=True)

    def query(self, key: str, wait_s: float) -> Reply:
        """Ask for a job's answer."""
        return self._ask(Query(0, key, wait_s > 0), max(wait_s, PATIENCE_S), may_run=False)

    def cancel(self, key: str) -> Reply:
        """Cancel a job and return its final answer."""
        return self._ask(Cancel(0, key), PATIENCE_S, may_run=False)

    def explain(self, key: str) -> Reply:
        """Ask how a job was decided."""
        return self._ask(Explain(0, key), PATIENCE_S, may_run=False)

    def _ask(self, msg: Question, wait_s: float, may_run: bool) -> Reply:
        """Ask owner after owner until one answers, time is up, or none can be found."""
        ctx = self._ctx
        began = ctx.now()
        unsure = False
        while True:
            left_s = began + wait_s - ctx.now()
            asked = self._ask_once(msg, left_s)
            if asked.answer is not None and asked.answer.code not in RETRYABLE_CODES:
                return _to_reply(asked.answer)
            if asked.sent and ctx.now() >= began + wait_s:
                return Reply(ResultCode.ACCEPTED)
            # An owner that was lost after it was asked, or gave the job up, may have begun it.
            lost = asked.sent and asked.answer is None
            gave_up = asked.answer is not None and asked.answer.code == ResultCode.STALE_EPOCH
            unsure = unsure or lost or gave_up
            if ctx.now() >= began + min(wait_s, PATIENCE_S):
                return _give_up(may_run and unsure)
            gevent.sleep(RETRY_S)

    def _ask_once(self, msg: Question, wait_s: float) -> "_Asked":
        """Ask the present owner; no answer when there is none, it is lost, or time is up."""
        ctx = self._ctx
        shard = ctx.shard_of(msg.key)
        owner = ctx.fleet.shards[shard].owner
        if not owner or ctx.address_of(owner) is None:
            return _Asked(False, None)
        self._next += 1
        number = self._next
        fut: AsyncResult = AsyncResult()
        self._pending[number] = _Pending(owner, shard, fut)
        try:
            if not ctx.peers.send(owner, msg._replace(request=number)):
                return _Asked(False, None)
            return _Asked(True, fut.get(timeout=max(0.0, wait_s)))
        except gevent.Timeout:
            return _Asked(True, None)
        finally:
            del self._pending[number]

    def on_answer(self, msg: Answer) -> None:
        """Hand an answer to the one that asked; a late one is dropped."""
        pending = self._pending.get(msg.request)
        if pending is None:
            self._ctx.metrics.count("wasted", label="late_answer")
            return
        pending.fut.set(msg)

    def on_fleet_change(self) -> None:
        """Wake those who wait for a process that no longer owns their shard."""
        for pending in list(self._pending.values()):
            if self._ctx.fleet.shards[pending.shard].owner != pending.owner:
                pending.fut.set(None)

    def on_lost(self, process: str, opened: bool) -> None:
        """Wake those who wait for a process whose connection closed; they ask again."""
        for pending in list(self._pending.values()):
            if pending.owner == process:
                pending.fut.set(None)


class _Asked(NamedTuple):
    sent: bool
    answer: Answer | None


def _give_up(may_have_run: bool) -> Reply:
    if may_have_run:
        detail = "the owner was lost after it was asked; resubmit the same id"
        return Reply(ResultCode.OUTCOME_UNKNOWN, detail, retry_after_ms=RETRY_AFTER_MS)
    return Reply(ResultCode.SHARD_UNAVAILABLE, retry_after_ms=RETRY_AFTER_MS)


def _to_reply(answer: Answer) -> Reply:
    code = ResultCode(answer.code)
    return Reply(code, answer.detail, answer.body, answer.retry_after_ms)
