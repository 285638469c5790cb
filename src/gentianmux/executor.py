"""Starts tasks at the endpoint beside this agent, in each member's fair share."""

from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

import gevent
from loguru import logger

from .codes import ResultCode
from .endpoint_client import EndpointClient, TaskOutcome, task_name
from .fair_queue import FairQueue
from .messages import (
    Decline,
    Farewell,
    FarewellReply,
    Offer,
    RecordsHandover,
    RecordsReply,
    Reserve,
    ResultBatch,
    StartBatch,
    StartHow,
    TaskResult,
    TraceQuery,
    TraceReply,
)
from .node_context import NodeContext
from .start_records import JobRecord, StartRecords, TaskRecord

DEFAULT_COST_MS = 300.0
RENEWALS_A_LEASE = 3
FAREWELL_AGAIN_S = 0.3
GATHER_S = 0.002
RECORDS_PART = 500
OFFER_S = 0.25


class Reservation(NamedTuple):
    """A place in the queue for a task that waits at its coordinator."""

    key: str
    epoch: int
    coordinator: str


class Executor:
    """The controller of one endpoint's slots.

    Parameters
    ----------
    ctx : NodeContext
        The blackboard; this puts itself there as ``executor``.
    """

    def __init__(self, ctx: NodeContext) -> None:
        ctx.executor = self
        self.records = StartRecords(ctx.cfg.keep_s * 1000)
        self.running: dict[str, tuple[JobRecord, TaskRecord]] = {}
        self._records_held_by = ""
        self._asked_records = float("-inf")
        self._flushing: set[str] = set()
        self._farewells: set[str] = set()
        self._asked_farewell = float("-inf")
        self._ctx = ctx
        self._endpoint = EndpointClient(ctx.cfg)
        self._queue = FairQueue[tuple[JobRecord, TaskRecord] | Reservation](self._weight)
        self._offers: dict[int, str] = {}
        self._held: Counter[str] = Counter()
        self._next_offer = 0

    @property
    def load(self) -> int:
        """Tasks that run or wait here."""
        return len(self.running) + len(self._offers) + len(self._queue)

    def on_batch(self, batch: StartBatch, sender: str) -> None:
        """Take in a job's share of tasks."""
        ctx = self._ctx
        offer = self.records.offer(batch, sender, ctx.now(), ctx.now_ms())
        if offer.refused:
            self._send(sender, batch.key, batch.epoch, offer.refused)
        if offer.job is None:
            return
        held = batch.how == StartHow.OFFERED and batch.offer in self._offers
        for record in offer.queued:
            self._admit(offer.job, record, batch.how, held)
        self._end_offer(batch.offer)
        self._pump()
        # What was handed back is wanted elsewhere, whatever else of the job runs on here.
        self._flush(offer.job, at_once=True)

    def on_revoke(self, keys: list[str]) -> None:
        """Take back what has not started of jobs, and stop what has."""
        running = [(key, record.task) for key in keys for record in self.records.revoke(key)]
        for key in keys:
            if key in self.records.jobs:
                self._flush(self.records.jobs[key])
        if running:
            names = [task_name(key, task) for key, task in running]
            self._ctx.clock.call_soon(self._endpoint.stop, names)

    def on_trace_query(self, query: TraceQuery, sender: str) -> None:
        """Say what is known of keys; the older epochs of the shard are fenced from here on."""
        for job in self.records.fence(query.shard, query.epoch):
            self._flush(job, at_once=True)
        reply = TraceReply(
            query.query,
            self._ctx.process,
            self.records.forgotten_ms,
            self.records.traces(query.keys),
        )
        self._ctx.peers.send(sender, reply)

    def is_idle(self) -> bool:
        """Whether no task runs or waits."""
        return self.load == 0

    def send_shutdown_notices(self) -> bool:
        """Ask every coordinator to be done with this agent; true once all of them are.

        A frame that is still on its way here is thereby answered before this process ends, so
        its tasks are known not to have run.
        """
        ctx = self._ctx
        others = {each.process for each in ctx.membership.alive("agent")}
        known = {job.coordinator for job in self.records.jobs.values()}
        others |= {process for process in known if ctx.membership.is_alive(process)}
        left = others - self._farewells - {ctx.process}
        if ctx.now() - self._asked_farewell > FAREWELL_AGAIN_S:
            self._asked_farewell = ctx.now()
            for process in sorted(left):
                ctx.peers.send(process, Farewell(ctx.process))
        return not left

    def on_shutdown_notice_reply(self, msg: FarewellReply) -> None:
        """Note that a coordinator is done with this agent."""
        self._farewells.add(msg.process)

    def hand_over_records(self, target: str) -> bool:
        """Give the start records to another agent; true once it holds them all."""
        if self._records_held_by == target:
            return True
        now = self._ctx.now()
        if now - self._asked_records > FAREWELL_AGAIN_S:
            self._asked_records = now
            for part in _record_parts(self._ctx.process, self.records):
                self._ctx.peers.send(target, part)
        return False

    def on_records(self, msg: RecordsHandover, sender: str) -> None:
        """Take in the start records of an agent that is leaving."""
        self.records.load(msg.jobs, msg.forgotten_ms, self._ctx.now())
        if msg.last and not self._ctx.draining:
            self._ctx.peers.send(sender, RecordsReply(self._ctx.process))

    def on_records_reply(self, msg: RecordsReply) -> None:
        """Note who holds this agent's start records now."""
        self._records_held_by = msg.process

    def run_lease_renewals(self) -> None:
        """Renew the leases of long tasks for as long as the process lives."""
        period_s = self._ctx.cfg.task_lease_ms / 1000 / RENEWALS_A_LEASE
        while True:
            gevent.sleep(period_s)
            now = self._ctx.now()
            names = [
                name for name, (_, record) in self.running.items() if now - record.since > period_s
            ]
            if names:
                self._ctx.clock.call_soon(self._endpoint.renew, names)

    def _may_run(self, member: str) -> bool:
        """Whether a member holds fewer slots here than its part of its claim."""
        part = self._ctx.claims.slot_limit(member, self._ctx.identity.name, self._ctx.now())
        return part is None or self._held[member] < part

    def _weight(self, member: str) -> int:
        rules = self._ctx.config.member(member)
        return 1 if rules is None else rules.get("weight", 1)

    def _admit(self, job: JobRecord, record: TaskRecord, how: int, held: bool) -> None:
        refusal = self._refusal(job)
        if refusal is not None:
            self.records.refuse(job, record, refusal)
            return
        cost = record.task.size_ms or DEFAULT_COST_MS
        if held:
            self._start(job, record)
        elif how == StartHow.BOUNCE and self._is_full(job.member):
            self.records.refuse(job, record, ResultCode.NO_SLOT)
            self._queue.push(job.member, Reservation(job.key, job.epoch, job.coordinator), cost)
        else:
            self._queue.push(job.member, (job, record), cost)

    def _is_full(self, member: str) -> bool:
        used = len(self.running) + len(self._offers)
        return used + len(self._queue) >= self._ctx.cfg.slots or not self._may_run(member)

    # Reservations

    def on_reserve(self, msg: Reserve, sender: str) -> None:
        """Keep places in the queue for tasks that wait at their coordinator."""
        if self._ctx.draining:
            return
        room = self._ctx.cfg.queue_limit - self._queue.waiting(msg.member)
        for _ in range(min(msg.slots, room)):
            reservation = Reservation(msg.key, msg.epoch, sender)
            self._queue.push(msg.member, reservation, msg.size_ms or DEFAULT_COST_MS)
        self._pump()

    def on_decline(self, msg: Decline) -> None:
        """Take back a slot for which its coordinator had no task."""
        self._end_offer(msg.number)

    def _offer(self, member: str, reservation: Reservation) -> None:
        if not self._ctx.membership.is_alive(reservation.coordinator):
            return
        self._next_offer += 1
        number = self._next_offer
        self._offers[number] = member
        self._held[member] += 1
        self._ctx.peers.send(reservation.coordinator, Offer(reservation.key, number))
        self._ctx.clock.call_later(OFFER_S, self._end_offer, number, "offer_lapsed")

    def _end_offer(self, number: int, wasted: str = "") -> None:
        if number not in self._offers:
            return
        self._held[self._offers.pop(number)] -= 1
        if wasted:
            self._ctx.metrics.count("wasted", label=wasted)
        self._pump()

    # Starting

    def _refusal(self, job: JobRecord) -> ResultCode | None:
        if self._ctx.draining:
            return ResultCode.DRAINING
        if self._queue.waiting(job.member) >= self._ctx.cfg.queue_limit:
            return ResultCode.QUEUE_FULL
        return None

    def _pump(self) -> None:
        while len(self.running) + len(self._offers) < self._ctx.cfg.slots:
            popped = self._queue.pop(self._may_run)
            if popped is None:
                return
            if isinstance(popped[1], Reservation):
                self._offer(popped[0], popped[1])
                continue
            job, record = popped[1]
            if job.deadline_ms >= 0 and self._ctx.now_ms() >= job.deadline_ms:
                self.records.refuse(job, record, ResultCode.DEADLINE_PASSED)
                self._flush(job)
            else:
                self._start(job, record)

    def _start(self, job: JobRecord, record: TaskRecord) -> None:
        if self.records.begin(job, record, self._ctx.now()):
            self.running[task_name(job.key, record.task)] = (job, record)
            self._held[job.member] += 1
            self._ctx.metrics.count("starts")
            self.launch(job, record)

    def launch(self, job: JobRecord, record: TaskRecord) -> None:
        """Run a task at the endpoint without waiting for it."""
        self._ctx.clock.call_soon(self._run, job, record)

    def _run(self, job: JobRecord, record: TaskRecord) -> None:
        try:
            run = self._endpoint.run(job, record.task, self._time_left_s(job))
        except Exception as exc:
            logger.bind(job=job.key, code=int(ResultCode.INTERNAL)).exception("task failed")
            run = TaskOutcome(ResultCode.TASK_UNKNOWN, type(exc).__name__)
        self.on_task_ended(job, record, run)

    def on_task_ended(self, job: JobRecord, record: TaskRecord, run: TaskOutcome) -> None:
        """Take in how a task ended."""
        ran_ms = (self._ctx.now() - record.since) * 1000
        result = TaskResult(
            record.task.number, record.attempt, int(run.code), run.output, 0.0, ran_ms
        )
        self._ctx.metrics.count("results", label=run.code.label)
        self.records.finish(job, record, result)
        del self.running[task_name(job.key, record.task)]
        self._held[job.member] -= 1
        self._pump()
        self._flush(job)

    def _time_left_s(self, job: JobRecord) -> float:
        longest_s = self._ctx.cfg.task_timeout_ms / 1000
        if job.deadline_ms < 0:
            return longest_s
        return min(longest_s, max(0.001, (job.deadline_ms - self._ctx.now_ms()) / 1000))

    def _flush(self, job: JobRecord, at_once: bool = False) -> None:
        if not job.unsent or (job.open and not job.eager and not at_once):
            return
        if job.open and not at_once:
            self._flush_later(job)
            return
        results, job.unsent = job.unsent, []
        self._send(job.coordinator, job.key, job.epoch, results)

    def _flush_later(self, job: JobRecord) -> None:
        """Send results of a job that goes on together with those of the next moment."""
        if job.key not in self._flushing:
            self._flushing.add(job.key)
            self._ctx.clock.call_later(GATHER_S, self._flush_gathered, job)

    def _flush_gathered(self, job: JobRecord) -> None:
        self._flushing.discard(job.key)
        self._flush(job, at_once=True)

    def _send(self, process: str, key: str, epoch: int, results: list[TaskResult]) -> None:
        self._ctx.peers.send(process, ResultBatch(key, epoch, self.load, results))


def _record_parts(process: str, records: StartRecords) -> Iterator[RecordsHandover]:
    jobs = records.export()
    starts = range(0, max(1, len(jobs)), RECORDS_PART)
    for start in starts:
        part = jobs[start : start + RECORDS_PART]
        last = start + RECORDS_PART >= len(jobs)
        yield RecordsHandover(process, records.forgotten_ms, last, part)
