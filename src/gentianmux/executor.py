"""Executor that starts tasks at this agent's endpoint, sharing its slots fairly."""

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
RENEWALS_PER_LEASE = 3
NOTICE_RETRY_S = 0.3
RESULT_BATCH_DELAY_S = 0.002
JOBS_PER_HANDOVER_FRAME = 500
OFFER_TIMEOUT_S = 0.25


class Reservation(NamedTuple):
    """Queue position for a task that waits at its coordinator."""

    key: str
    epoch: int
    coordinator: str


class Executor:
    """Queues tasks and runs them in the slots of one endpoint.

    Parameters
    ----------
    ctx : NodeContext
        Shared context; the new object registers itself there as ``executor``.
    """

    def __init__(self, ctx: NodeContext) -> None:
        ctx.executor = self
        self.records = StartRecords(ctx.cfg.keep_s * 1000)
        self.running: dict[str, tuple[JobRecord, TaskRecord]] = {}
        self._records_holder = ""
        self._records_sent_at = float("-inf")
        self._flush_scheduled: set[str] = set()
        self._notice_replies: set[str] = set()
        self._notices_sent_at = float("-inf")
        self._ctx = ctx
        self._endpoint = EndpointClient(ctx.cfg)
        self._queue = FairQueue[tuple[JobRecord, TaskRecord] | Reservation](self._weight)
        self._offers: dict[int, str] = {}
        self._slots_by_member: Counter[str] = Counter()
        self._next_offer = 0

    @property
    def load(self) -> int:
        """Number of tasks running or queued here, including offered slots."""
        return len(self.running) + len(self._offers) + len(self._queue)

    def on_batch(self, batch: StartBatch, sender: str) -> None:
        """Accept a job's share of tasks."""
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
        self._fill_slots()
        # Refused tasks can run elsewhere now, even while other tasks of the job run here.
        self._flush(offer.job, immediately=True)

    def on_revoke(self, keys: list[str]) -> None:
        """Revoke tasks of jobs that have not started, and stop those that have."""
        running = [(key, record.task) for key in keys for record in self.records.revoke(key)]
        for key in keys:
            if key in self.records.jobs:
                self._flush(self.records.jobs[key])
        if running:
            names = [task_name(key, task) for key, task in running]
            self._ctx.clock.call_soon(self._endpoint.stop, names)

    def on_trace_query(self, query: TraceQuery, sender: str) -> None:
        """Send the traces of keys and fence older epochs of the shard."""
        for job in self.records.fence(query.shard, query.epoch):
            self._flush(job, immediately=True)
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
        """Notify every coordinator of the shutdown; true once all have acknowledged it.

        Frames still in flight to this agent are then answered before the process ends, so that
        their tasks are known not to have run.
        """
        ctx = self._ctx
        coordinators = {each.process for each in ctx.membership.alive("agent")}
        job_coordinators = {job.coordinator for job in self.records.jobs.values()}
        coordinators |= {
            process for process in job_coordinators if ctx.membership.is_alive(process)
        }
        unacknowledged = coordinators - self._notice_replies - {ctx.process}
        if ctx.now() - self._notices_sent_at > NOTICE_RETRY_S:
            self._notices_sent_at = ctx.now()
            for process in sorted(unacknowledged):
                ctx.peers.send(process, Farewell(ctx.process))
        return not unacknowledged

    def on_shutdown_notice_reply(self, msg: FarewellReply) -> None:
        """Record that a coordinator has no more tasks here."""
        self._notice_replies.add(msg.process)

    def hand_over_records(self, target: str) -> bool:
        """Send the start records to another agent; true once it has acknowledged them all."""
        if self._records_holder == target:
            return True
        now = self._ctx.now()
        if now - self._records_sent_at > NOTICE_RETRY_S:
            self._records_sent_at = now
            for part in _record_parts(self._ctx.process, self.records):
                self._ctx.peers.send(target, part)
        return False

    def on_records(self, msg: RecordsHandover, sender: str) -> None:
        """Load the start records of an agent that shuts down."""
        self.records.load(msg.jobs, msg.forgotten_ms, self._ctx.now())
        if msg.last and not self._ctx.draining:
            self._ctx.peers.send(sender, RecordsReply(self._ctx.process))

    def on_records_reply(self, msg: RecordsReply) -> None:
        """Record which agent now holds this agent's start records."""
        self._records_holder = msg.process

    def run_lease_renewals(self) -> None:
        """Renew the leases of long tasks until the process ends."""
        period_s = self._ctx.cfg.task_lease_ms / 1000 / RENEWALS_PER_LEASE
        while True:
            gevent.sleep(period_s)
            now = self._ctx.now()
            names = [
                name for name, (_, record) in self.running.items() if now - record.since > period_s
            ]
            if names:
                self._ctx.clock.call_soon(self._endpoint.renew, names)

    def _may_run(self, member: str) -> bool:
        """Whether a member holds fewer slots here than its claim allows."""
        slot_limit = self._ctx.claims.slot_limit(member, self._ctx.identity.name, self._ctx.now())
        return slot_limit is None or self._slots_by_member[member] < slot_limit

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
        """Queue reservations for tasks that wait at their coordinator."""
        if self._ctx.draining:
            return
        free_places = self._ctx.cfg.queue_limit - self._queue.waiting(msg.member)
        for _ in range(min(msg.slots, free_places)):
            reservation = Reservation(msg.key, msg.epoch, sender)
            self._queue.push(msg.member, reservation, msg.size_ms or DEFAULT_COST_MS)
        self._fill_slots()

    def on_decline(self, msg: Decline) -> None:
        """Reclaim an offered slot for which the coordinator had no task."""
        self._end_offer(msg.number)

    def _offer(self, member: str, reservation: Reservation) -> None:
        if not self._ctx.membership.is_alive(reservation.coordinator):
            return
        self._next_offer += 1
        number = self._next_offer
        self._offers[number] = member
        self._slots_by_member[member] += 1
        self._ctx.peers.send(reservation.coordinator, Offer(reservation.key, number))
        self._ctx.clock.call_later(OFFER_TIMEOUT_S, self._end_offer, number, "offer_lapsed")

    def _end_offer(self, number: int, waste_cause: str = "") -> None:
        if number not in self._offers:
            return
        self._slots_by_member[self._offers.pop(number)] -= 1
        if waste_cause:
            self._ctx.metrics.count("wasted", label=waste_cause)
        self._fill_slots()

    # Starting

    def _refusal(self, job: JobRecord) -> ResultCode | None:
        if self._ctx.draining:
            return ResultCode.DRAINING
        if self._queue.waiting(job.member) >= self._ctx.cfg.queue_limit:
            return ResultCode.QUEUE_FULL
        return None

    def _fill_slots(self) -> None:
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
            self._slots_by_member[job.member] += 1
            self._ctx.metrics.count("starts")
            self.launch(job, record)

    def launch(self, job: JobRecord, record: TaskRecord) -> None:
        """Run a task at the endpoint in a greenlet of its own."""
        self._ctx.clock.call_soon(self._run, job, record)

    def _run(self, job: JobRecord, record: TaskRecord) -> None:
        try:
            outcome = self._endpoint.run(job, record.task, self._time_left_s(job))
        except Exception as exc:
            logger.bind(job=job.key, code=int(ResultCode.INTERNAL)).exception("task failed")
            outcome = TaskOutcome(ResultCode.TASK_UNKNOWN, type(exc).__name__)
        self.on_task_ended(job, record, outcome)

    def on_task_ended(self, job: JobRecord, record: TaskRecord, outcome: TaskOutcome) -> None:
        """Record the outcome of a task and start the next one."""
        ran_ms = (self._ctx.now() - record.since) * 1000
        result = TaskResult(
            record.task.number, record.attempt, int(outcome.code), outcome.output, 0.0, ran_ms
        )
        self._ctx.metrics.count("results", label=outcome.code.label)
        self.records.finish(job, record, result)
        del self.running[task_name(job.key, record.task)]
        self._slots_by_member[job.member] -= 1
        self._fill_slots()
        self._flush(job)

    def _time_left_s(self, job: JobRecord) -> float:
        max_run_s = self._ctx.cfg.task_timeout_ms / 1000
        if job.deadline_ms < 0:
            return max_run_s
        return min(max_run_s, max(0.001, (job.deadline_ms - self._ctx.now_ms()) / 1000))

    def _flush(self, job: JobRecord, immediately: bool = False) -> None:
        if not job.unsent or (job.open and not job.eager and not immediately):
            return
        if job.open and not immediately:
            self._flush_later(job)
            return
        results, job.unsent = job.unsent, []
        self._send(job.coordinator, job.key, job.epoch, results)

    def _flush_later(self, job: JobRecord) -> None:
        """Batch results of an unfinished job that arrive within ``RESULT_BATCH_DELAY_S``."""
        if job.key not in self._flush_scheduled:
            self._flush_scheduled.add(job.key)
            self._ctx.clock.call_later(RESULT_BATCH_DELAY_S, self._flush_batch, job)

    def _flush_batch(self, job: JobRecord) -> None:
        self._flush_scheduled.discard(job.key)
        self._flush(job, immediately=True)

    def _send(self, process: str, key: str, epoch: int, results: list[TaskResult]) -> None:
        self._ctx.peers.send(process, ResultBatch(key, epoch, self.load, results))


def _record_parts(process: str, records: StartRecords) -> Iterator[RecordsHandover]:
    jobs = records.export()
    starts = range(0, max(1, len(jobs)), JOBS_PER_HANDOVER_FRAME)
    for start in starts:
        part = jobs[start : start + JOBS_PER_HANDOVER_FRAME]
        last = start + JOBS_PER_HANDOVER_FRAME >= len(jobs)
        yield RecordsHandover(process, records.forgotten_ms, last, part)
