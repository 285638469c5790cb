"""Dispatcher that forwards callers' requests from an entry to the shard owners."""

from typing import NamedTuple

import gevent
from gevent.event import AsyncResult

from .codes import ResultCode
from .messages import Answer, Cancel, Explain, Query, Submit
from .node_context import NodeContext

RETRY_INTERVAL_S = 0.05
OWNER_TIMEOUT_S = 5.0
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


OwnerRequest = Submit | Query | Cancel | Explain


class Reply(NamedTuple):
    """Reply to a caller: result code, detail, and the complete answer if there is one."""

    code: ResultCode
    detail: str = ""
    body: bytes = b""
    retry_after_ms: int = 0


class _Pending(NamedTuple):
    owner: str
    shard: int
    fut: AsyncResult


class Dispatcher:
    """Sends each request to the owner of its key and returns the owner's answer.

    Parameters
    ----------
    ctx : NodeContext
        Shared context; the new object registers itself there as ``dispatcher``.
    """

    def __init__(self, ctx: NodeContext) -> None:
        ctx.dispatcher = self
        self.inflight = 0
        self._ctx = ctx
        self._pending: dict[int, _Pending] = {}
        self._next = 0

    def submit(self, msg: Submit, wait_s: float) -> Reply:
        """Submit and wait for the answer.

        Retrying a submission is idempotent, since its id is admitted only once.

        Parameters
        ----------
        msg : Submit
            The submission.
        wait_s : float
            Seconds to wait for the final answer.

        Returns
        -------
        Reply
            The owner's answer, ``ACCEPTED`` when time is up, or ``OUTCOME_UNKNOWN`` or
            ``SHARD_UNAVAILABLE`` when no owner answered.
        """
        return self._ask(msg, max(wait_s, OWNER_TIMEOUT_S), may_run=True)

    def query(self, key: str, wait_s: float) -> Reply:
        """Query a job's answer, waiting up to ``wait_s`` seconds for it."""
        return self._ask(Query(0, key, wait_s > 0), max(wait_s, OWNER_TIMEOUT_S), may_run=False)

    def cancel(self, key: str) -> Reply:
        """Cancel a job and return its final answer."""
        return self._ask(Cancel(0, key), OWNER_TIMEOUT_S, may_run=False)

    def explain(self, key: str) -> Reply:
        """Return a job's decision trail."""
        return self._ask(Explain(0, key), OWNER_TIMEOUT_S, may_run=False)

    def _ask(self, msg: OwnerRequest, wait_s: float, may_run: bool) -> Reply:
        """Retry with the current owner until one answers or time is up."""
        ctx = self._ctx
        started_at = ctx.now()
        outcome_unknown = False
        while True:
            left_s = started_at + wait_s - ctx.now()
            attempt = self._ask_once(msg, left_s)
            if attempt.answer is not None and attempt.answer.code not in RETRYABLE_CODES:
                return _to_reply(attempt.answer)
            if attempt.sent and ctx.now() >= started_at + wait_s:
                return Reply(ResultCode.ACCEPTED)
            # An owner that was lost after the request, or that dropped the job, may have run it.
            lost = attempt.sent and attempt.answer is None
            was_dropped = (
                attempt.answer is not None and attempt.answer.code == ResultCode.STALE_EPOCH
            )
            outcome_unknown = outcome_unknown or lost or was_dropped
            if ctx.now() >= started_at + min(wait_s, OWNER_TIMEOUT_S):
                return _unanswered_reply(may_run and outcome_unknown)
            gevent.sleep(RETRY_INTERVAL_S)

    def _ask_once(self, msg: OwnerRequest, wait_s: float) -> "_Attempt":
        """Ask the current owner; the answer is None if there is none, it is lost or time is up."""
        ctx = self._ctx
        shard = ctx.shard_of(msg.key)
        owner = ctx.fleet.shards[shard].owner
        if not owner or ctx.address_of(owner) is None:
            return _Attempt(False, None)
        self._next += 1
        number = self._next
        fut: AsyncResult = AsyncResult()
        self._pending[number] = _Pending(owner, shard, fut)
        try:
            if not ctx.peers.send(owner, msg._replace(request=number)):
                return _Attempt(False, None)
            return _Attempt(True, fut.get(timeout=max(0.0, wait_s)))
        except gevent.Timeout:
            return _Attempt(True, None)
        finally:
            del self._pending[number]

    def on_answer(self, msg: Answer) -> None:
        """Pass an answer to the pending request; late answers are dropped."""
        pending = self._pending.get(msg.request)
        if pending is None:
            self._ctx.metrics.count("wasted", label="late_answer")
            return
        pending.fut.set(msg)

    def on_fleet_change(self) -> None:
        """Wake requests that wait for a process that no longer owns their shard."""
        for pending in list(self._pending.values()):
            if self._ctx.fleet.shards[pending.shard].owner != pending.owner:
                pending.fut.set(None)

    def on_lost(self, process: str, opened: bool) -> None:
        """Wake requests that wait for a process whose connection closed, so that they retry."""
        for pending in list(self._pending.values()):
            if pending.owner == process:
                pending.fut.set(None)


class _Attempt(NamedTuple):
    sent: bool
    answer: Answer | None


def _unanswered_reply(may_have_run: bool) -> Reply:
    if may_have_run:
        detail = "the owner was lost after it was asked; resubmit the same id"
        return Reply(ResultCode.OUTCOME_UNKNOWN, detail, retry_after_ms=RETRY_AFTER_MS)
    return Reply(ResultCode.SHARD_UNAVAILABLE, retry_after_ms=RETRY_AFTER_MS)


def _to_reply(answer: Answer) -> Reply:
    code = ResultCode(answer.code)
    return Reply(code, answer.detail, answer.body, answer.retry_after_ms)
