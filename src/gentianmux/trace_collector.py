"""Collects traces of job ids from all agents after a take-over without a ledger."""

from collections import defaultdict
from typing import NamedTuple

from .codes import ResultCode
from .fleet_state import Shard
from .ids import NO_TIME
from .job import Waiter
from .ledger import AdmissionDecision, AdmissionResult
from .messages import Submit, Trace, TraceQuery, TraceReply
from .node_context import NodeContext
from .start_records import may_have_forgotten

QUERY_BATCH_DELAY_S = 0.005
REPLY_TIMEOUT_S = 1.5
MAX_PENDING = 1000


class _PendingSubmission(NamedTuple):
    msg: Submit
    waiter: Waiter


class _Question:
    def __init__(self, shard: int, epoch: int, asked: list[str]) -> None:
        self.shard = shard
        self.epoch = epoch
        self.unanswered = set(asked)
        self.pending: dict[str, list[_PendingSubmission]] = {}
        self.found: dict[str, dict[str, Trace]] = defaultdict(dict)
        self.forgotten_ms = 0


class TraceCollector:
    """Batches trace queries per shard, and decides on submissions when the replies are in.

    Parameters
    ----------
    ctx : NodeContext
        The shared context of the process.
    """

    def __init__(self, ctx: NodeContext) -> None:
        self._ctx = ctx
        self._batches: dict[int, dict[str, list[_PendingSubmission]]] = {}
        self._questions: dict[int, _Question] = {}
        self._pending: dict[str, list[_PendingSubmission]] = {}
        self._last_number = 0

    def query(self, msg: Submit, waiter: Waiter) -> None:
        """Hold a submission until the traces of its id are known."""
        pending = self._pending.get(msg.key)
        if pending is not None:
            pending.append(_PendingSubmission(msg, waiter))
            return
        if len(self._pending) >= MAX_PENDING:
            self._ctx.coordinator.apply_admission(
                AdmissionResult(AdmissionDecision.REFUSE, ResultCode.TRACES_PENDING), msg, waiter
            )
            return
        submissions = [_PendingSubmission(msg, waiter)]
        self._pending[msg.key] = submissions
        shard = self._ctx.shard_of(msg.key)
        if shard not in self._batches:
            self._batches[shard] = {}
            self._ctx.clock.call_later(QUERY_BATCH_DELAY_S, self._send, shard)
        self._batches[shard][msg.key] = submissions

    def _send(self, shard: int) -> None:
        ctx = self._ctx
        batch = self._batches.pop(shard)
        agents = sorted(
            join.process for join in ctx.fleet.processes.values() if join.role != "entry"
        )
        question = _Question(shard, ctx.fleet.shards[shard].epoch, agents)
        question.pending = batch
        self._last_number += 1
        number = self._last_number
        self._questions[number] = question
        query = TraceQuery(number, shard, question.epoch, list(batch))
        for agent in agents:
            ctx.peers.send(agent, query)
        ctx.clock.call_later(REPLY_TIMEOUT_S, self._decide, number)

    def on_reply(self, reply: TraceReply) -> None:
        """Handle one agent's reply; decide when no other agent has to be waited for."""
        question = self._questions.get(reply.query)
        if question is None or reply.process not in question.unanswered:
            return
        question.unanswered.discard(reply.process)
        question.forgotten_ms = max(question.forgotten_ms, reply.forgotten_ms)
        for trace in reply.traces:
            question.found[trace.key][reply.process] = trace
        if question.unanswered <= {self._ctx.fleet.shards[question.shard].prior}:
            self._decide(reply.query)

    def _decide(self, number: int) -> None:
        question = self._questions.pop(number, None)
        if question is None:
            return
        for key, submissions in question.pending.items():
            self._pending.pop(key, None)
            first, *others = submissions
            self._decide_one(question, key, first)
            for each in others:
                self._ctx.coordinator.on_submit(each.msg, each.waiter)

    def _decide_one(self, question: _Question, key: str, pending: _PendingSubmission) -> None:
        ctx = self._ctx
        row = ctx.fleet.shards[question.shard]
        refusal = ctx.shard_manager.refusal(question.shard)
        if refusal is None and row.epoch != question.epoch:
            refusal = ResultCode.NOT_OWNER
        conclusive = self._is_conclusive(question, row, pending.msg)
        traces = question.found.get(key, {})
        if refusal is None and not traces and not conclusive:
            refusal = ResultCode.OUTCOME_UNKNOWN
        if refusal is not None:
            result = AdmissionResult(AdmissionDecision.REFUSE, refusal)
            ctx.coordinator.apply_admission(result, pending.msg, pending.waiter)
        elif traces:
            ctx.coordinator.resume_job(pending.msg, pending.waiter, traces, conclusive)
        else:
            ctx.coordinator.apply_admission(
                AdmissionResult(AdmissionDecision.ADMIT), pending.msg, pending.waiter
            )

    def _is_conclusive(self, question: _Question, row: Shard, msg: Submit) -> bool:
        """Return whether an id without traces cannot have started: nothing is lost or forgotten."""
        fleet, skew_ms = self._ctx.fleet, self._ctx.cfg.skew_ms
        silent = set(question.unanswered)
        if fleet.had_other_agent(row, msg.service):
            silent.discard(row.prior)
        if silent or may_have_forgotten(question.forgotten_ms, msg.submitted_ms, skew_ms):
            return False
        lost_until = fleet.starts_lost_until(row, msg.service)
        if lost_until == 0:
            return True
        return msg.submitted_ms != NO_TIME and msg.submitted_ms > lost_until + 2 * skew_ms
