"""State of one leased job at the entry that coordinates it."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from .model import JobSpec, QueueConfig, RunOutcome, StepSpec
from .payloads import encode_payload
from .resources import NO_RESOURCES, Resources

FIRST_RUN_NUMBER = 1
"""Number of a task's first run."""

USEFUL_OBJECTIVE_FACTOR = 3.0
"""Multiple of its latency objective up to which an answer is of use to its caller; from the users'
pages."""

USEFUL_MARGIN_RATIO = 0.7
"""Part of that time which may be planned, since estimates are up to 40 % too high."""

TASK_OVERHEAD_BYTES = 120
"""Encoded bytes of a task in an assignment, beside its payload."""

OLD_RUN_INCREMENT = 8
"""Increment of a run's number when an endpoint knows a newer one, from an earlier submission."""


class Phase(Enum):
    """Phase of a task."""

    WAITING = "waiting"
    ASSIGNED = "assigned"
    DONE = "done"


class Timeliness(Enum):
    """Expected timeliness of a waiting job."""

    OPEN = "open"
    TIMELY = "timely"
    LATE = "late"


class JobOutcome(Enum):
    """Final outcome of a job."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass
class TaskState:
    """One task of a job.

    Attributes
    ----------
    agent, incarnation : str
        Agent and endpoint incarnation that the task was last assigned to.
    failures : int
        Failed runs.
    sent_at : float
        Monotonic time of the last assignment.
    avoid : set of str
        Endpoint incarnations on which a run of the task did not succeed.
    """

    name: str
    step: int
    phase: Phase = Phase.WAITING
    run: int = FIRST_RUN_NUMBER - 1
    agent: str = ""
    incarnation: str = ""
    failures: int = 0
    sent_at: float = 0.0
    avoid: set[str] = field(default_factory=set)


class JobDemand(NamedTuple):
    """Resources that the ready tasks of a job need: all of them, and the smallest."""

    total: Resources
    smallest: Resources


class JobState:
    """A job's tasks and what is known of the job; pure.

    Parameters
    ----------
    spec : JobSpec
        The job as its caller described it.
    queue : QueueConfig
        Configuration of its queue.
    now : float
        Monotonic time of its arrival, in seconds.
    deadline : float
        Monotonic time after which nobody waits for its answer.

    Attributes
    ----------
    objective_s : float
        Latency objective in seconds: the stretched estimate of the critical path, plus the
        allowance.
    began : bool
        Whether a task of it was assigned to an agent.
    timeliness : Timeliness
        Whether it is expected to be in time, once that has been decided.
    latest_start : float
        Monotonic time at which the job has to begin to meet its objective, by its estimate.
    last_useful_start : float
        Monotonic time at which the job has to begin for its answer to be of use, by its estimate.
    work_cpu_s : float
        Estimated work in core-seconds.
    cpu : float
        Cores that all its tasks need together.
    payload : bytes
        The encoded payload.
    bytes_per_task : int
        Bytes on the link that a task accounts for: the payload is sent once to each endpoint, which
        gets two tasks or more.
    may_have_run : bool
        Whether any run of it may have started.
    failed : bool
        Whether a task has failed too often.
    takes_any : bool
        Whether it no longer waits for an endpoint that is fast enough, as it would be refused.
    confirmed : bool
        Whether enough entries confirm that no other one runs it, so that its tasks may be assigned.
    confirmed_by : list of str
        Processes of these entries; for the log.

    Examples
    --------
    ``run = job.assign(task, agent, incarnation, now)`` for each of ``job.ready_tasks()``, and
    ``job.end_run(task.name, run, how)`` when the run has ended, until ``job.is_done``.
    """

    def __init__(self, spec: JobSpec, queue: QueueConfig, now: float, deadline: float) -> None:
        self.spec = spec
        self.queue = queue
        self.arrived_at = now
        self.deadline = deadline
        self.critical_path_s = estimate_critical_path_s(spec)
        self.objective_s = queue.stretch * self.critical_path_s + queue.target_ms / 1000
        self.latest_start = now + self.objective_s - self.critical_path_s
        useful_s = USEFUL_MARGIN_RATIO * USEFUL_OBJECTIVE_FACTOR * self.objective_s
        self.last_useful_start = now + useful_s - self.critical_path_s
        self.work_cpu_s = sum(s.tasks * s.need.cpu * s.estimate_ms for s in spec.steps) / 1e6
        self.cpu = sum(s.tasks * s.need.cpu for s in spec.steps) / 1000
        self.payload = encode_payload(spec.payload)
        self.bytes_per_task = len(self.payload) // 2 + TASK_OVERHEAD_BYTES
        self.began = False
        self.timeliness = Timeliness.OPEN
        self.may_have_run = False
        self.failed = False
        self.takes_any = False
        self.confirmed = False
        self.confirmed_by: list[str] = []
        self.tasks: dict[str, TaskState] = {}
        for number, step in enumerate(spec.steps):
            for index in range(step.tasks):
                name = f"{spec.job_id}.0.{number}.{index}"
                self.tasks[name] = TaskState(name, number)
        self._unfinished = len(self.tasks)
        self._ready: list[TaskState] | None = None
        self._demand: JobDemand | None = None

    def step_of(self, task: TaskState) -> StepSpec:
        """The step that a task belongs to."""
        return self.spec.steps[task.step]

    def ready_tasks(self) -> list[TaskState]:
        """Waiting tasks whose earlier steps are done."""
        if self._ready is None:
            unfinished_steps = {t.step for t in self.tasks.values() if t.phase is not Phase.DONE}
            ready_steps = {
                number
                for number, step in enumerate(self.spec.steps)
                if not unfinished_steps.intersection(step.after)
            }
            self._ready = [
                task
                for task in self.tasks.values()
                if task.phase is Phase.WAITING and task.step in ready_steps
            ]
        return self._ready

    @property
    def demand(self) -> JobDemand:
        """Resources that the ready tasks need."""
        if self._demand is None:
            needs = [self.step_of(task).need for task in self.ready_tasks()]
            total = Resources(*map(sum, zip(*needs, strict=True))) if needs else NO_RESOURCES
            self._demand = JobDemand(total, min(needs, default=NO_RESOURCES))
        return self._demand

    def time_left_s(self, task: TaskState, now: float) -> float:
        """Seconds until a task has to end for its job to be in time, or of use if it is late."""
        useful = USEFUL_MARGIN_RATIO * USEFUL_OBJECTIVE_FACTOR
        factor = useful if self.timeliness is Timeliness.LATE else 1.0
        end_by = self.arrived_at + factor * self.objective_s
        return end_by - now - estimate_remaining_s(self.spec, task.step)

    def _invalidate(self) -> None:
        self._ready = None
        self._demand = None

    def assigned_tasks(self) -> list[TaskState]:
        """Tasks that are assigned to an agent."""
        return [task for task in self.tasks.values() if task.phase is Phase.ASSIGNED]

    def full_endpoints(self, task: TaskState) -> frozenset[str]:
        """Endpoint incarnations that may get no more tasks of a task's step."""
        limit = self.step_of(task).max_per_endpoint
        if not limit:
            return frozenset()
        held = Counter(
            t.incarnation
            for t in self.tasks.values()
            if t.step == task.step and t.phase is Phase.ASSIGNED
        )
        return frozenset(incarnation for incarnation, count in held.items() if count >= limit)

    def assign(self, task: TaskState, agent: str, incarnation: str, now: float) -> int:
        """Assign a task to an agent and return the number of its run."""
        task.phase = Phase.ASSIGNED
        task.run += 1
        task.agent = agent
        task.incarnation = incarnation
        task.sent_at = now
        self.began = True
        self._invalidate()
        return task.run

    def end_run(self, name: str, run: int, how: RunOutcome) -> bool:
        """Record how a run ended; False when the run is not, or no longer, assigned."""
        task = self.tasks.get(name)
        if task is None or task.phase is not Phase.ASSIGNED or task.run != run:
            return False
        if not how.never_ran:
            self.may_have_run = True
        self._invalidate()
        if how is RunOutcome.DONE:
            task.phase = Phase.DONE
            self._unfinished -= 1
            return True
        task.phase = Phase.WAITING
        if how is RunOutcome.OLD_RUN:
            task.run += OLD_RUN_INCREMENT
        elif how not in (RunOutcome.NO_ROOM, RunOutcome.DRAINING):
            task.avoid.add(task.incarnation)
        if how is RunOutcome.FAILED:
            task.failures += 1
            self.failed = self.failed or task.failures >= self.queue.max_attempts
        return True

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return not self._unfinished

    @property
    def proved_not_run(self) -> bool:
        """Whether no run of the job has started, and none is assigned."""
        return not self.may_have_run and not self.assigned_tasks()


def estimate_remaining_s(spec: JobSpec, step: int) -> float:
    """Estimated run time of the longest path of steps that follow a step, in seconds."""
    lengths_ms = [0] * len(spec.steps)
    for number in range(len(spec.steps) - 1, step, -1):
        for earlier in spec.steps[number].after:
            if earlier < number:
                length_ms = spec.steps[number].estimate_ms + lengths_ms[number]
                lengths_ms[earlier] = max(lengths_ms[earlier], length_ms)
    return lengths_ms[step] / 1000


def estimate_critical_path_s(spec: JobSpec) -> float:
    """Estimated run time of a job's critical path, in seconds."""
    end_times_ms: list[int] = []
    for step in spec.steps:
        start_ms = max(
            (end_times_ms[number] for number in step.after if number < len(end_times_ms)), default=0
        )
        end_times_ms.append(start_ms + step.estimate_ms)
    return max(end_times_ms, default=0) / 1000
