"""Coordinates the jobs of the shards that this agent owns."""

import gevent
from loguru import logger

from .budget import RetryBudget
from .codes import ResultCode
from .errors import GentianmuxError
from .job import Job, Phase, Waiter
from .ledger import AdmissionDecision, AdmissionResult
from .membership import ProcessState
from .messages import (
    Answer,
    Cancel,
    Explain,
    Farewell,
    FarewellReply,
    Query,
    ResultBatch,
    Submit,
    TaskResult,
    Trace,
)
from .node_context import NodeContext
from .submission import TaskSpec, read_job, read_request

RETRY_S = 0.05
RESEND_S = 0.2
READ_S = 0.7
LOST_AFTER_S = 10.0
NO_AGENT_S = 2.0
MAX_TRAILS = 1000
REQUEST_MARK = b"request:"


class Coordinator:
    """Admits jobs, places their tasks, and gives each waiter the whole answer.

    Parameters
    ----------
    ctx : NodeContext
        The blackboard; this puts itself there as ``coordinator``.
    """

    def __init__(self, ctx: NodeContext) -> None:
        ctx.coordinator = self
        self.jobs: dict[str, Job] = {}
        self._repeats = RetryBudget(ctx.cfg.hedge_percent)
        self.trails: dict[str, Job] = {}
        self._ctx = ctx
        self._lost_since: dict[str, float] = {}

    # Admission

    def on_submit(self, msg: Submit, waiter: Waiter) -> None:
        """Rule on a submission: admit, join, answer from the ledger, ask for traces, refuse."""
        ctx = self._ctx
        shard = ctx.shard_of(msg.key)
        refusal = ctx.shard_manager.refusal(shard)
        if refusal is not None:
            self._refuse(msg.key, refusal, waiter)
            return
        ledger = ctx.shard_manager.owned[shard].ledger
        ruling = ledger.check(msg.key, msg.digest, msg.submitted_ms, ctx.now_ms())
        self.apply_admission(ruling, msg, waiter)

    def apply_admission(self, ruling: AdmissionResult, msg: Submit, waiter: Waiter) -> None:
        """Carry out what the ledger said."""
        if ruling.decision is AdmissionDecision.ADMIT:
            self._admit(msg, waiter, ruling.attempt)
        elif ruling.decision is AdmissionDecision.JOIN:
            self._join(msg.key, msg.wait, waiter)
        elif ruling.decision is AdmissionDecision.KEPT:
            self._answer(msg.key, ruling.code, ruling.answer, [waiter])
        elif ruling.decision is AdmissionDecision.ASK:
            self._ctx.shard_manager.query_traces(msg, waiter)
        else:
            self._refuse(msg.key, ruling.code, waiter)

    def _admit(self, msg: Submit, waiter: Waiter, attempt: int) -> None:
        try:
            specs = read_specs(msg, self._ctx.now_ms())
        except GentianmuxError as exc:
            self._refuse(msg.key, exc.code, waiter, exc.detail)
            return
        refusal = self._ctx.placement.refusal(msg.service, msg.member, specs)
        if refusal is not None:
            self._refuse(msg.key, refusal, waiter)
            return
        job = self._begin(msg, waiter, specs, attempt)
        self._ctx.placement.place(job)
        self._finish_if_done(job)

    def _begin(self, msg: Submit, waiter: Waiter, specs: list[TaskSpec], attempt: int) -> Job:
        ctx = self._ctx
        shard = ctx.shard_of(msg.key)
        row = ctx.fleet.shards[shard]
        ctx.shard_manager.owned[shard].ledger.admit(msg.key, msg.digest, msg.submitted_ms)
        job = Job(msg, shard, row.epoch, specs, ctx.now(), attempt)
        self._repeats.first_try()
        job.note(ctx.now(), f"admitted by {ctx.process} under epoch {row.epoch}")
        self.jobs[msg.key] = job
        self._keep_trail(job)
        if msg.wait:
            job.waiters.add(waiter)
        else:
            self._accepted(msg.key, waiter)
        return job

    def _keep_trail(self, job: Job) -> None:
        self.trails[job.key] = job
        if len(self.trails) > MAX_TRAILS:
            del self.trails[next(iter(self.trails))]

    def resume_job(
        self, msg: Submit, waiter: Waiter, traces: dict[str, Trace], whole: bool
    ) -> None:
        """Go on with a job that an earlier owner began, from the traces of its tasks.

        Tasks without a trace start now when every agent that could hold one has answered
        (``whole``); otherwise their outcome is unknown.
        """
        try:
            specs = read_specs(msg, self._ctx.now_ms())
        except GentianmuxError as exc:
            self._refuse(msg.key, exc.code, waiter, exc.detail)
            return
        job = self._begin(msg, waiter, specs, 0)
        job.note(self._ctx.now(), f"resumed from the traces of {len(traces)} agents")
        _apply_traces(job, traces)
        for agent, trace in traces.items():
            if trace.running:
                self._ctx.placement.loads[agent].mine += len(trace.running)
                self._ctx.placement.send_share(job, agent, trace.running)
        if not whole:
            job.end_waiting(ResultCode.TASK_UNKNOWN)
        self._ctx.placement.place(job)
        self._finish_if_done(job)

    def on_query(self, msg: Query, waiter: Waiter) -> None:
        """Answer a question for a job's state."""
        shard = self._ctx.shard_of(msg.key)
        refusal = self._ctx.shard_manager.refusal(shard)
        if refusal is not None:
            self._refuse(msg.key, refusal, waiter)
            return
        ruling = self._ctx.shard_manager.owned[shard].ledger.lookup(msg.key)
        if ruling is None:
            self._refuse(msg.key, ResultCode.JOB_UNKNOWN, waiter)
        elif ruling.decision is AdmissionDecision.JOIN:
            self._join(msg.key, msg.wait, waiter)
        elif ruling.decision is AdmissionDecision.KEPT:
            self._answer(msg.key, ruling.code, ruling.answer, [waiter])
        else:
            code = ruling.code if ruling.code is not ResultCode.OK else ResultCode.TASK_NOT_RUN
            self._refuse(msg.key, code, waiter)

    def on_cancel(self, msg: Cancel, waiter: Waiter) -> None:
        """Cancel a job: what has not started is taken back, what has is stopped."""
        job = self.jobs.get(msg.key)
        if job is None:
            self.on_query(Query(msg.request, msg.key, False), waiter)
            return
        job.cancelled = True
        job.note(self._ctx.now(), "cancelled")
        job.waiters.add(waiter)
        job.end_waiting(ResultCode.CANCELLED)
        self._ctx.placement.backlog.pop(job.key, None)
        for agent in sorted(job.agents()):
            self._ctx.shard_manager.schedule_revoke(agent, job.key)
        self._finish_if_done(job)

    def on_explain(self, msg: Explain, waiter: Waiter) -> None:
        """Tell the decision trail of a job."""
        job = self.trails.get(msg.key)
        if job is None:
            self._refuse(msg.key, ResultCode.JOB_UNKNOWN, waiter)
        else:
            self._answer(msg.key, ResultCode.OK, job.explanation(self._ctx.process), [waiter])

    def _join(self, key: str, wait: bool, waiter: Waiter) -> None:
        job = self.jobs.get(key)
        if wait and job is not None:
            job.waiters.add(waiter)
        else:
            self._accepted(key, waiter)

    # Results

    def on_results(self, batch: ResultBatch, sender: str) -> None:
        """Take in results, then place what waits."""
        job = self.jobs.get(batch.key)
        if job is None or batch.epoch != job.epoch:
            self._ctx.metrics.count("late_results", len(batch.results))
            self._ctx.placement.loads[sender].report(batch.load, self._ctx.now())
            return
        for result in batch.results:
            self._take(job, result, sender)
            if job.key not in self.jobs:
                return
        self._ctx.placement.loads[sender].report(batch.load, self._ctx.now())
        if job.waiting:
            self._ctx.placement.place(job)
        self._finish_if_done(job)
        self._ctx.placement.place_soon()

    def _take(self, job: Job, result: TaskResult, sender: str) -> None:
        if result.code == ResultCode.STALE_EPOCH:
            self.abandon(job)
            return
        if not job.accept(result, sender):
            self._ctx.metrics.count("late_results")
            return
        self._ctx.placement.release(sender, 1)
        if job.tasks[result.number].phase is Phase.WAITING:
            code = ResultCode(result.code)
            self._ctx.placement.on_refused(job, sender, code)
            job.note(self._ctx.now(), f"task {result.number} refused by {sender}: {code.label}")
            self._ctx.metrics.count("retries")
            self._ctx.metrics.count("wasted", label=f"refused_{code.label}")
        else:
            self._ctx.placement.loads[sender].served()
            self._ctx.placement.on_task_ended(sender, job.service, ResultCode(result.code))

    def _finish_if_done(self, job: Job) -> None:
        if job.open or job.key not in self.jobs:
            return
        now = self._ctx.now()
        code = job.outcome()
        answer = job.answer(now)
        job.note(now, f"ended: {code.label}")
        del self.jobs[job.key]
        self._ctx.placement.backlog.pop(job.key, None)
        ledger = self._ctx.shard_manager.ledger_of(job.shard, job.epoch)
        if ledger is not None and job.never_ran() and not job.cancelled:
            ledger.reopen(job.key, 1 + max(task.attempt for task in job.tasks))
        elif ledger is not None:
            ledger.finish(job.key, code, answer)
        logger.bind(job=job.key, code=int(code)).debug("job ended")
        self._answer(job.key, code, answer, sorted(job.waiters))

    def abandon(self, job: Job) -> None:
        """Give up a job whose shard has a newer owner, and send its waiters there."""
        if self.jobs.pop(job.key, None) is None:
            return
        self._ctx.placement.backlog.pop(job.key, None)
        for agent in sorted(job.agents()):
            self._ctx.placement.release(agent, len(job.sent_to(agent)))
        for waiter in sorted(job.waiters):
            self._refuse(job.key, ResultCode.STALE_EPOCH, waiter)

    def abandon_shard(self, shard: int, epoch: int) -> None:
        """Give up all jobs of a shard that were begun under an epoch."""
        mine = [job for job in self.jobs.values() if (job.shard, job.epoch) == (shard, epoch)]
        for job in mine:
            self.abandon(job)

    # Losses

    def on_shutdown_notice(self, msg: Farewell, sender: str) -> None:
        """Send a leaving agent nothing more, and tell it once it holds none of our tasks."""
        self._ctx.placement.leaving.add(sender)
        self._ctx.placement.forget(sender)
        if any(sender in job.agents() for job in self.jobs.values()):
            self._resend(sender)
        else:
            self._ctx.peers.send(sender, FarewellReply(self._ctx.process))

    def on_lost(self, process: str, opened: bool, refused: bool) -> None:
        """React to a closed connection: resend, or end what is lost with its agent."""
        self._ctx.placement.forget(process)
        held = [job for job in self.jobs.values() if process in job.agents()]
        if not held:
            return
        for job in held:
            for index in job.sent_to(process):
                job.tasks[index].left |= opened
        fresh = process not in self._lost_since
        since = self._lost_since.setdefault(process, self._ctx.now())
        if refused:
            # The log may say that the agent left as planned; time to read it is given first.
            self._ctx.read_requested.set()
            self._ctx.clock.call_later(READ_S, self._end_all_lost, process)
        elif self._ctx.now() - since > LOST_AFTER_S:
            self._end_all_lost(process)
        elif fresh or not self._ctx.peers.is_connected(process):
            self._ctx.clock.call_later(RESEND_S, self._resend, process)

    def _end_all_lost(self, process: str) -> None:
        self._lost_since.pop(process, None)
        for job in [job for job in self.jobs.values() if process in job.agents()]:
            self._end_lost(job, process)

    def _resend(self, process: str) -> None:
        """Send again what an agent holds; its start records make a repeat harmless."""
        for job in [job for job in self.jobs.values() if process in job.agents()]:
            self._ctx.metrics.count("wasted", label="resend")
            self._ctx.placement.send_share(job, process, job.sent_to(process))

    def _end_lost(self, job: Job, process: str) -> None:
        indexes = job.sent_to(process)
        job.note(self._ctx.now(), f"{process} lost with {len(indexes)} tasks")
        # An agent writes that it leaves only when nothing it started is still unreported, so
        # what is thought to be there then was refused.
        parted = process in self._ctx.fleet.left
        for index in indexes:
            if job.tasks[index].left and not parted and not self._may_repeat(job):
                job.end(index, ResultCode.TASK_UNKNOWN)
            else:
                job.put_back(index)
        self._ctx.placement.release(process, len(indexes))
        self._ctx.placement.place(job)
        self._finish_if_done(job)

    def run_backlog_loop(self) -> None:
        """Place what waits and end what is past its time, for as long as the process lives."""
        while True:
            gevent.sleep(RETRY_S)
            self.step()

    def _may_repeat(self, job: Job) -> bool:
        """Whether a task that may have run may run again: idempotent requests, in a budget."""
        if not job.idempotent or not self._repeats.may_repeat():
            return False
        self._ctx.metrics.count("wasted", label="repeated")
        return True

    def step(self) -> None:
        """One round of placing and giving up."""
        self._ctx.placement.place_backlog()
        self._end_overdue()
        self._end_silent()

    def _end_overdue(self) -> None:
        now, now_ms = self._ctx.now(), self._ctx.now_ms()
        for job in list(self._ctx.placement.backlog.values()):
            if 0 <= job.deadline_ms <= now_ms:
                job.end_waiting(ResultCode.DEADLINE_PASSED)
            elif job.no_agent_since is not None and now - job.no_agent_since > NO_AGENT_S:
                job.end_waiting(ResultCode.NO_ENDPOINT)
            else:
                continue
            self._ctx.placement.backlog.pop(job.key, None)
            self._finish_if_done(job)

    def _end_silent(self) -> None:
        """Give up tasks at agents that have been thought dead for long."""
        holding = {agent for job in self.jobs.values() for agent in job.agents()}
        for agent in list(self._lost_since):
            if agent not in holding or self._ctx.membership.is_alive(agent):
                del self._lost_since[agent]
        for agent in sorted(holding):
            if self._ctx.membership.state_of(agent) in (ProcessState.DEAD, None):
                self.on_lost(agent, opened=True, refused=False)

    # Answers

    def _accepted(self, key: str, waiter: Waiter) -> None:
        code = ResultCode.ACCEPTED
        self._send_answer(waiter, key, code, "", False, b"")

    def _answer(self, key: str, code: ResultCode, body: bytes, waiters: list[Waiter]) -> None:
        for waiter in waiters:
            self._send_answer(waiter, key, code, "", True, body)

    def _refuse(self, key: str, code: ResultCode, waiter: Waiter, detail: str = "") -> None:
        self._send_answer(waiter, key, code, detail, True, b"")

    def _send_answer(
        self, waiter: Waiter, key: str, code: ResultCode, detail: str, final: bool, body: bytes
    ) -> None:
        msg = Answer(waiter.request, key, int(code), detail, 0, final, body)
        self._ctx.peers.send(waiter.process, msg)


def read_specs(msg: Submit, now_ms: int) -> list[TaskSpec]:
    """The tasks of a submission, from the body as the caller sent it."""
    if msg.body.startswith(REQUEST_MARK):
        job_id = msg.key.partition("/")[2]
        return read_request(msg.body[len(REQUEST_MARK) :], job_id, now_ms).tasks
    return read_job(msg.body, now_ms).tasks


def _apply_traces(job: Job, traces: dict[str, Trace]) -> None:
    for agent, trace in traces.items():
        for result in trace.results:
            if result.number not in job.waiting:
                continue
            task = job.tasks[result.number]
            task.output, task.ran_ms = result.output, result.ran_ms
            job.end(result.number, ResultCode(result.code))
            job.waiting.remove(result.number)
        for index in trace.running:
            if index not in job.waiting:
                continue
            task = job.tasks[index]
            task.phase, task.agent, task.left = Phase.SENT, agent, True
            job.waiting.remove(index)
