"""What an agent knows of every task it was asked to start."""

from collections.abc import Iterable, Iterator
from enum import Enum
from typing import NamedTuple

from .codes import ResultCode
from .ids import NO_TIME
from .messages import EndedJob, StartBatch, Task, TaskResult, Trace


class TaskState(Enum):
    """Where a task stands at this agent."""

    QUEUED = "queued"
    STARTED = "started"
    DONE = "done"
    REFUSED = "refused"


class TaskRecord:
    """One task: its newest attempt, its state, and its result once it has one."""

    __slots__ = ("attempt", "epoch", "result", "since", "state", "task")

    def __init__(self, task: Task, epoch: int, now: float) -> None:
        self.task = task
        self.epoch = epoch
        self.attempt = task.attempt
        self.state = TaskState.QUEUED
        self.since = now
        self.result: TaskResult | None = None


class JobRecord:
    """The tasks of one job at this agent, and who coordinates it."""

    __slots__ = (
        "coordinator",
        "deadline_ms",
        "eager",
        "epoch",
        "key",
        "member",
        "open",
        "seen_ms",
        "service",
        "shard",
        "tasks",
        "unsent",
    )

    def __init__(self, batch: StartBatch, coordinator: str, now_ms: int) -> None:
        self.key = batch.key
        self.shard = batch.shard
        self.epoch = batch.epoch
        self.member = batch.member
        self.service = batch.service
        self.deadline_ms = batch.deadline_ms
        self.eager = batch.eager
        self.coordinator = coordinator
        self.seen_ms = now_ms
        self.tasks: dict[int, TaskRecord] = {}
        self.unsent: list[TaskResult] = []
        self.open = 0


class Offer(NamedTuple):
    """What became of a batch: the job's record, tasks queued now, refusals for the sender."""

    job: JobRecord | None
    queued: list[TaskRecord]
    refused: list[TaskResult]


class StartRecords:
    """Decides, once and for each task, whether it starts here.

    A task that was refused here stays refused for that epoch and attempt, so ``not run`` is a
    proof; a task that has started is never started again.

    Parameters
    ----------
    keep_ms : int
        How long the record of an ended job is kept.

    Examples
    --------
    >>> records = StartRecords(keep_ms=60_000)
    >>> batch = StartBatch("m/a", 0, 5, "m", "s", -1, -1, False, 0, 0, [Task(0, 0, "", 0)])
    >>> offer = records.offer(batch, "w1.1", now=0.0, now_ms=0)
    >>> records.begin(offer.job, offer.queued[0], 0.0)
    True
    >>> records.offer(batch, "w1.1", now=0.0, now_ms=0).queued
    []
    """

    def __init__(self, keep_ms: int) -> None:
        self._keep_ms = keep_ms
        self.forgotten_ms = 0
        self.jobs: dict[str, JobRecord] = {}
        self.fences: dict[int, int] = {}

    def offer(self, batch: StartBatch, coordinator: str, now: float, now_ms: int) -> Offer:
        """Take in a batch; results of tasks that have ended are put among the unsent ones."""
        if batch.epoch < self.fences.get(batch.shard, -1):
            refused = [_not_run(task, ResultCode.STALE_EPOCH) for task in batch.tasks]
            return Offer(None, [], refused)
        job = self.jobs.get(batch.key)
        if job is None:
            job = JobRecord(batch, coordinator, now_ms)
            self.jobs[batch.key] = job
        if batch.epoch > job.epoch:
            # What was meant for the older owner is of no use to this one, which asks again.
            job.unsent.clear()
        job.epoch, job.coordinator, job.eager = batch.epoch, coordinator, batch.eager
        job.deadline_ms = batch.deadline_ms
        self.fences[batch.shard] = batch.epoch
        queued = [record for task in batch.tasks for record in self._take(job, task, now)]
        return Offer(job, queued, [])

    def _take(self, job: JobRecord, task: Task, now: float) -> Iterator[TaskRecord]:
        record = job.tasks.get(task.number)
        if record is None or _may_try_again(record, job.epoch, task.attempt):
            record = TaskRecord(task, job.epoch, now)
            job.tasks[task.number] = record
            job.open += 1
            yield record
        elif record.result is not None:
            job.unsent.append(record.result)

    def begin(self, job: JobRecord, record: TaskRecord, now: float) -> bool:
        """Decide that a queued task starts now; false when it was taken back before."""
        if record.state is not TaskState.QUEUED:
            return False
        record.state = TaskState.STARTED
        record.since = now
        return True

    def finish(self, job: JobRecord, record: TaskRecord, result: TaskResult) -> None:
        """Keep the result of a task that had started."""
        record.state = TaskState.DONE
        record.result = result
        job.unsent.append(result)
        job.open -= 1

    def refuse(self, job: JobRecord, record: TaskRecord, code: ResultCode) -> bool:
        """Decide that a queued task does not start; false when it has started already."""
        if record.state is not TaskState.QUEUED:
            return False
        record.state = TaskState.REFUSED
        record.result = _not_run(record.task, code)
        job.unsent.append(record.result)
        job.open -= 1
        return True

    def revoke(self, key: str) -> list[TaskRecord]:
        """Take back what has not started of a job and return the tasks that run."""
        job = self.jobs.get(key)
        if job is None:
            return []
        for record in job.tasks.values():
            self.refuse(job, record, ResultCode.CANCELLED)
        return [each for each in job.tasks.values() if each.state is TaskState.STARTED]

    def fence(self, shard: int, epoch: int) -> list[JobRecord]:
        """Refuse older epochs of a shard from now on, and give back what they have queued."""
        if epoch <= self.fences.get(shard, -1):
            return []
        self.fences[shard] = epoch
        touched = [
            job
            for job in self.jobs.values()
            if job.shard == shard and job.epoch < epoch and job.open
        ]
        for job in touched:
            for record in job.tasks.values():
                self.refuse(job, record, ResultCode.STALE_EPOCH)
        return touched

    def traces(self, keys: Iterable[str]) -> list[Trace]:
        """What runs and what has ended of these keys; refused tasks leave no trace."""
        found = (self.jobs[key] for key in keys if key in self.jobs)
        traces = (_trace(job) for job in found)
        return [each for each in traces if each.running or each.results]

    def export(self) -> list[EndedJob]:
        """All that ended here, for another agent to answer from."""
        traces = ((job, _trace(job)) for job in self.jobs.values())
        return [
            EndedJob(job.key, job.shard, job.epoch, job.seen_ms, trace.results)
            for job, trace in traces
            if trace.results
        ]

    def load(self, jobs: list[EndedJob], forgotten_ms: int, now: float) -> None:
        """Take in another agent's records, as if their tasks had ended here."""
        self.forgotten_ms = max(self.forgotten_ms, forgotten_ms)
        for ended in jobs:
            batch = StartBatch(ended.key, ended.shard, ended.epoch, "", "", -1, -1, False, 0, 0, [])
            job = self.jobs.setdefault(ended.key, JobRecord(batch, "", ended.seen_ms))
            for result in ended.results:
                task = Task(result.number, result.attempt, "", 0)
                record = job.tasks.setdefault(task.number, TaskRecord(task, job.epoch, now))
                if record.state is TaskState.REFUSED or record.result is None:
                    record.state, record.result = TaskState.DONE, result

    def trim(self, now_ms: int) -> None:
        """Forget jobs that ended before the window, and remember that something is forgotten."""
        limit = now_ms - self._keep_ms
        old = [key for key, job in self.jobs.items() if not job.open and job.seen_ms < limit]
        for key in old:
            self.forgotten_ms = max(self.forgotten_ms, self.jobs[key].seen_ms + 1)
            del self.jobs[key]


def _may_try_again(record: TaskRecord, epoch: int, attempt: int) -> bool:
    """Whether a refusal was given under an older epoch or to an earlier attempt."""
    refused = record.state is TaskState.REFUSED
    return refused and (epoch, attempt) > (record.epoch, record.attempt)


def _trace(job: JobRecord) -> Trace:
    running = [index for index, each in job.tasks.items() if each.state is TaskState.STARTED]
    results = [
        each.result
        for each in job.tasks.values()
        if each.state is TaskState.DONE and each.result is not None
    ]
    return Trace(job.key, running, results)


def _not_run(task: Task, code: ResultCode) -> TaskResult:
    return TaskResult(task.number, task.attempt, int(code), "", 0.0, 0.0)


def may_have_forgotten(forgotten_ms: int, submitted_ms: int, skew_ms: int) -> bool:
    """Whether an agent could have forgotten a start of an id submitted at that time."""
    if forgotten_ms == 0:
        return False
    return submitted_ms == NO_TIME or submitted_ms - 2 * skew_ms <= forgotten_ms
