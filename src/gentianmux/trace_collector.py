"""Asks all agents what they know of ids, after a shard was taken over without its ledger."""

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

GATHER_S = 0.005
WAIT_S = 1.5
MAX_PARKED = 1000


class _Parked(NamedTuple):
    msg: Submit
    waiter: Waiter


class _Question:
    def __init__(self, shard: int, epoch: int, asked: list[str]) -> None:
        self.shard = shard
        self.epoch = epoch
        self.missing = set(asked)
        self.parked: dict[str, list[_Parked]] = {}
        self.found: dict[str, dict[str, Trace]] = defaultdict(dict)
        self.forgotten_ms = 0


class TraceCollector:
    """Gathers ids for a moment, asks once for all of them, and rules when answers are in.

    Parameters
    ----------
    ctx : NodeContext
        The blackboard.
    """

    def __init__(self, ctx: NodeContext) -> None:
        self._ctx = ctx
        self._gathering: dict[int, dict[str, list[_Parked]]] = {}
        self._questions: dict[int, _Question] = {}
        self._waiting: dict[str, list[_Parked]] = {}
        self._next = 0

    def ask(self, msg: Submit, waiter: Waiter) -> None:
        """Park a submission until the traces of its id are known."""
        parked = self._waiting.get(msg.key)
        if parked is not None:
            parked.append(_Parked(msg, waiter))
            return
        if len(self._waiting) >= MAX_PARKED:
            self._ctx.coordinator.apply_admission(
                AdmissionResult(AdmissionDecision.REFUSE, ResultCode.TRACES_PENDING), msg, waiter
            )
            return
        line = [_Parked(msg, waiter)]
        self._waiting[msg.key] = line
        shard = self._ctx.shard_of(msg.key)
        if shard not in self._gathering:
            self._gathering[shard] = {}
            self._ctx.clock.call_later(GATHER_S, self._send, shard)
        self._gathering[shard][msg.key] = line

    def _send(self, shard: int) -> None:
        ctx = self._ctx
        lines = self._gathering.pop(shard)
        agents = sorted(
            join.process for join in ctx.fleet.processes.values() if join.role != "entry"
        )
        question = _Question(shard, ctx.fleet.shards[shard].epoch, agents)
        question.parked = lines
        self._next += 1
        number = self._next
        self._questions[number] = question
        query = TraceQuery(number, shard, question.epoch, list(lines))
        for agent in agents:
            ctx.peers.send(agent, query)
        ctx.clock.call_later(WAIT_S, self._rule, number)

    def on_reply(self, reply: TraceReply) -> None:
        """Take in one agent's answer."""
        question = self._questions.get(reply.query)
        if question is None or reply.process not in question.missing:
            return
        question.missing.discard(reply.process)
        question.forgotten_ms = max(question.forgotten_ms, reply.forgotten_ms)
        for trace in reply.traces:
            question.found[trace.key][reply.process] = trace
        if question.missing <= {self._ctx.fleet.shards[question.shard].prior}:
            self._rule(reply.query)

    def _rule(self, number: int) -> None:
        question = self._questions.pop(number, None)
        if question is None:
            return
        for key, line in question.parked.items():
            self._waiting.pop(key, None)
            first, *others = line
            self._rule_one(question, key, first)
            for each in others:
                self._ctx.coordinator.on_submit(each.msg, each.waiter)

    def _rule_one(self, question: _Question, key: str, parked: _Parked) -> None:
        ctx = self._ctx
        row = ctx.fleet.shards[question.shard]
        refusal = ctx.shard_manager.refusal(question.shard)
        if refusal is None and row.epoch != question.epoch:
            refusal = ResultCode.NOT_OWNER
        whole = self._is_whole(question, row, parked.msg)
        traces = question.found.get(key, {})
        if refusal is None and not traces and not whole:
            refusal = ResultCode.OUTCOME_UNKNOWN
        if refusal is not None:
            ruling = AdmissionResult(AdmissionDecision.REFUSE, refusal)
            ctx.coordinator.apply_admission(ruling, parked.msg, parked.waiter)
        elif traces:
            ctx.coordinator.resume_job(parked.msg, parked.waiter, traces, whole)
        else:
            ctx.coordinator.apply_admission(
                AdmissionResult(AdmissionDecision.ADMIT), parked.msg, parked.waiter
            )

    def _is_whole(self, question: _Question, row: Shard, msg: Submit) -> bool:
        """Whether no trace means that nothing started: all could answer, and none forgot."""
        fleet, skew_ms = self._ctx.fleet, self._ctx.cfg.skew_ms
        silent = set(question.missing)
        if fleet.was_never_alone(row, msg.service):
            silent.discard(row.prior)
        if silent or may_have_forgotten(question.forgotten_ms, msg.submitted_ms, skew_ms):
            return False
        lost_until = fleet.traces_lost_until(row, msg.service)
        if lost_until == 0:
            return True
        return msg.submitted_ms != NO_TIME and msg.submitted_ms > lost_until + 2 * skew_ms
