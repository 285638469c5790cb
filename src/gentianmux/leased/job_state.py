"""The state of one leased job at the entry that coordinates it."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from .model import JobSpec, QueueConfig, RunOutcome, StepSpec
from .payloads import encode_payload
from .resources import NO_RESOURCES, Resources

FIRST_RUN = 1
"""Runs of a task are numbered from here."""

USEFUL_OBJECTIVE_FACTOR = 3.0
"""Multiples of its latency objective up to which an answer still is of use to its caller; from the
users' pages."""

USEFUL_MARGIN = 0.7
"""Part of that time which is counted on: estimates may be 40 % too high. At 1.7 times the usual
load (``bench.leased_load``, 3 seeds) 8.8 % of jobs were not served with it, 9.5 % without."""

TASK_BYTES = 120
"""Bytes that a task takes in an assignment beside its payload, as encoded."""

OLD_RUN_STEP = 8
"""How far a run's number leaps when an endpoint knows a newer one, from an earlier submission."""


class Phase(Enum):
    """Where a task is."""

    WAITING = "waiting"
    OUT = "out"
    DONE = "done"


class Timeliness(Enum):
    """What is expected of a waiting job."""

    OPEN = "open"
    TIMELY = "timely"
    LATE = "late"


class JobOutcome(Enum):
    """What became of a job."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass
class TaskState:
    """One task of a job; ``life`` is the life of the endpoint that it was given to last."""

    name: str
    step: int
    phase: Phase = Phase.WAITING
    run: int = FIRST_RUN - 1
    agent: str = ""
    life: str = ""
    failures: int = 0
    sent_at: float = 0.0
    avoid: set[str] = field(default_factory=set)


class Waiting(NamedTuple):
    """What the tasks of a job that can begin take: together, and the smallest of them."""

    total: Resources
    least: Resources


class JobState:
    """A job's tasks, and what may be said of the job; pure.

    Parameters
    ----------
    spec : JobSpec
        What the caller asked for.
    queue : QueueConfig
        The rules of its queue.
    now : float
        Monotonic time of its arrival, in seconds.
    deadline : float
        Monotonic time after which nobody waits for its answer.

    Attributes
    ----------
    objective_s : float
        Latency objective: the stretched estimate of the longest chain, and the allowance.
    began : bool
        Whether a task of it was handed to an agent.
    timeliness : Timeliness
        Whether it is expected to be in time, once that has been decided.
    latest_start : float
        When the job has to begin to meet its objective, by its estimate.
    last_useful_start : float
        When the job has to begin for its answer to be of any use, by its estimate.
    work_cpu_s : float
        Estimated work in core-seconds.
    cpu : float
        Cores that all its tasks take at once.
    payload : bytes
        The payload as it goes to agents.
    bytes_a_task : int
        What a task takes of a link: its payload goes once to each endpoint, to two tasks or more.
    """

    def __init__(self, spec: JobSpec, queue: QueueConfig, now: float, deadline: float) -> None:
        self.spec = spec
        self.queue = queue
        self.arrived = now
        self.deadline = deadline
        self.chain_s = longest_chain_s(spec)
        self.objective_s = queue.stretch * self.chain_s + queue.target_ms / 1000
        self.latest_start = now + self.objective_s - self.chain_s
        useful_s = USEFUL_MARGIN * USEFUL_OBJECTIVE_FACTOR * self.objective_s
        self.last_useful_start = now + useful_s - self.chain_s
        self.work_cpu_s = sum(s.tasks * s.need.cpu * s.estimate_ms for s in spec.steps) / 1e6
        self.cpu = sum(s.tasks * s.need.cpu for s in spec.steps) / 1000
        self.payload = encode_payload(spec.payload)
        self.bytes_a_task = len(self.payload) // 2 + TASK_BYTES
        self.began = False
        self.timeliness = Timeliness.OPEN
        self.may_have_run = False
        self.failed = False
        self.tasks: dict[str, TaskState] = {}
        for number, step in enumerate(spec.steps):
            for index in range(step.tasks):
                name = f"{spec.job_id}.0.{number}.{index}"
                self.tasks[name] = TaskState(name, number)
        self._left = len(self.tasks)
        self._ready: list[TaskState] | None = None
        self._waiting: Waiting | None = None

    def step_of(self, task: TaskState) -> StepSpec:
        """The step that a task belongs to."""
        return self.spec.steps[task.step]

    def ready(self) -> list[TaskState]:
        """Waiting tasks whose earlier steps are done."""
        if self._ready is None:
            open_steps = {t.step for t in self.tasks.values() if t.phase is not Phase.DONE}
            free_steps = {
                number
                for number, step in enumerate(self.spec.steps)
                if not open_steps.intersection(step.after)
            }
            self._ready = [
                task
                for task in self.tasks.values()
                if task.phase is Phase.WAITING and task.step in free_steps
            ]
        return self._ready

    @property
    def waiting(self) -> Waiting:
        """What the tasks that can begin take; nothing when none can."""
        if self._waiting is None:
            needs = [self.step_of(task).need for task in self.ready()]
            total = Resources(*map(sum, zip(*needs, strict=True))) if needs else NO_RESOURCES
            self._waiting = Waiting(total, min(needs, default=NO_RESOURCES))
        return self._waiting

    def _changed(self) -> None:
        self._ready = None
        self._waiting = None

    def out(self) -> list[TaskState]:
        """Tasks that an agent has."""
        return [task for task in self.tasks.values() if task.phase is Phase.OUT]

    def full_endpoints(self, task: TaskState) -> frozenset[str]:
        """Endpoints that may hold no more tasks of a task's step."""
        most = self.step_of(task).max_per_endpoint
        if not most:
            return frozenset()
        held = Counter(
            t.life for t in self.tasks.values() if t.step == task.step and t.phase is Phase.OUT
        )
        return frozenset(life for life, count in held.items() if count >= most)

    def assign(self, task: TaskState, agent: str, life: str, now: float) -> int:
        """Hand a task to an agent and return the number of its run."""
        task.phase = Phase.OUT
        task.run += 1
        task.agent = agent
        task.life = life
        task.sent_at = now
        self.began = True
        self._changed()
        return task.run

    def ended(self, name: str, run: int, how: RunOutcome) -> bool:
        """Take in how a run ended; false for one that is not, or no longer, out."""
        task = self.tasks.get(name)
        if task is None or task.phase is not Phase.OUT or task.run != run:
            return False
        if not how.never_ran:
            self.may_have_run = True
        self._changed()
        if how is RunOutcome.DONE:
            task.phase = Phase.DONE
            self._left -= 1
            return True
        task.phase = Phase.WAITING
        if how is RunOutcome.OLD_RUN:
            task.run += OLD_RUN_STEP
        elif how not in (RunOutcome.NO_ROOM, RunOutcome.DRAINING):
            task.avoid.add(task.life)
        if how is RunOutcome.FAILED:
            task.failures += 1
            self.failed = self.failed or task.failures >= self.queue.max_attempts
        return True

    @property
    def is_done(self) -> bool:
        """Whether every task has ended well."""
        return not self._left

    @property
    def proved_not_run(self) -> bool:
        """Whether nothing of the job has started, and nothing of it is out."""
        return not self.may_have_run and not self.out()


def longest_chain_s(spec: JobSpec) -> float:
    """Estimated run time of a job's longest chain of steps, in seconds."""
    ends: list[int] = []
    for step in spec.steps:
        earlier = max((ends[number] for number in step.after if number < len(ends)), default=0)
        ends.append(earlier + step.estimate_ms)
    return max(ends, default=0) / 1000
