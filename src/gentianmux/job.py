"""State of a job at its coordinator: tasks, waiters and the decision trail."""

import json
from collections import deque
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from .codes import Ran, ResultCode
from .messages import Submit, Task, TaskResult
from .submission import TaskSpec, combined_needs

MAX_TRAIL_STEPS = 40
MAX_REFUSALS = 20
SHORT_TASK_MS = 20
RETRYABLE_REFUSALS = frozenset(
    {
        ResultCode.QUEUE_FULL,
        ResultCode.DRAINING,
        ResultCode.ENDPOINT_REFUSED,
        ResultCode.NO_ENDPOINT,
        ResultCode.NO_SLOT,
    }
)


class Phase(Enum):
    """Phase of a task at its coordinator."""

    WAITING = "waiting"
    SENT = "sent"
    ENDED = "ended"


class TrailStep(NamedTuple):
    """One decision, ``at_ms`` milliseconds after the job was admitted."""

    at_ms: float
    text: str


class Waiter(NamedTuple):
    """Process that waits for an answer, and its request number."""

    process: str
    request: int


class TaskView:
    """State of one task: its phase, the agent it was sent to, and its outcome.

    ``may_have_arrived`` is set once the task's frame may have left for the agent.
    """

    __slots__ = (
        "agent",
        "attempt",
        "code",
        "may_have_arrived",
        "output",
        "phase",
        "ran_ms",
        "refusals",
        "spec",
    )

    def __init__(self, spec: TaskSpec, attempt: int) -> None:
        self.spec = spec
        self.attempt = attempt
        self.refusals = 0
        self.phase = Phase.WAITING
        self.agent = ""
        self.may_have_arrived = False
        self.code = ResultCode.TASK_NOT_RUN
        self.output = ""
        self.ran_ms = 0.0


class Job:
    """An admitted job.

    Parameters
    ----------
    msg : Submit
        The submission that was admitted.
    shard, epoch : int
        Shard of the job and epoch of its owner.
    specs : list of TaskSpec
        Its tasks.
    now : float
        Monotonic time in seconds.
    attempt : int
        First attempt number; above 0 if an earlier admission provably started nothing.
    """

    def __init__(
        self,
        msg: Submit,
        shard: int,
        epoch: int,
        specs: list[TaskSpec],
        now: float,
        attempt: int = 0,
    ) -> None:
        self.key = msg.key
        self.member = msg.member
        self.service = msg.service
        self.idempotent = msg.idempotent
        self.submitted_ms = msg.submitted_ms
        self.deadline_ms = msg.deadline_ms
        self.shard = shard
        self.epoch = epoch
        self.tasks = [TaskView(spec, attempt) for spec in specs]
        self.waiting = deque(longest_first(specs))
        self.needs = combined_needs(specs)
        self._max_run_ms = _max_run_ms(specs)
        self.reserved: dict[str, int] = {}
        self.reservations_sent_at = now
        self.open_count = len(specs)
        self.waiters: set[Waiter] = set()
        self.admitted_at = now
        self.no_agent_since: float | None = None
        self.cancelled = False
        self.trail: list[TrailStep] = []

    def add_trail_step(self, now: float, text: str) -> None:
        """Add a step to the decision trail, up to ``MAX_TRAIL_STEPS``."""
        if len(self.trail) < MAX_TRAIL_STEPS:
            self.trail.append(TrailStep(round((now - self.admitted_at) * 1000, 1), text))

    def tasks_at(self, agent: str) -> list[int]:
        """Indexes of the tasks sent to an agent."""
        return [
            index
            for index, task in enumerate(self.tasks)
            if task.phase is Phase.SENT and task.agent == agent
        ]

    def assign_waiting(self, agents: list[str]) -> dict[str, list[int]]:
        """Assign waiting tasks to agents, in order, and return the indexes by agent."""
        shares: dict[str, list[int]] = {}
        for agent in agents:
            index = self.waiting.popleft()
            task = self.tasks[index]
            task.phase, task.agent, task.may_have_arrived = Phase.SENT, agent, False
            shares.setdefault(agent, []).append(index)
        return shares

    def wire_tasks(self, indexes: list[int]) -> list[Task]:
        """Convert tasks to messages for a ``StartBatch``."""
        views = ((index, self.tasks[index]) for index in indexes)
        return [
            Task(index, view.attempt, view.spec.payload, view.spec.size.run_ms)
            for index, view in views
        ]

    def accept(self, result: TaskResult, agent: str) -> bool:
        """Apply a result; false if it is late, duplicate or of an older attempt."""
        if result.number >= len(self.tasks):
            return False
        task = self.tasks[result.number]
        if task.phase is not Phase.SENT or task.agent != agent or result.attempt < task.attempt:
            return False
        code = ResultCode(result.code)
        if code in RETRYABLE_REFUSALS and task.refusals < MAX_REFUSALS and not self.cancelled:
            task.refusals += code is not ResultCode.NO_SLOT
            self.requeue(result.number)
            return True
        task.output, task.ran_ms = result.output, result.ran_ms
        self.end(result.number, ResultCode.TASK_NOT_RUN if code in RETRYABLE_REFUSALS else code)
        return True

    def requeue(self, index: int) -> None:
        """Requeue a task that provably did not start, as a new attempt."""
        task = self.tasks[index]
        task.phase, task.agent = Phase.WAITING, ""
        task.attempt += 1
        self.waiting.appendleft(index)

    @property
    def is_short(self) -> bool:
        """Whether all tasks declare a run time of at most ``SHORT_TASK_MS``."""
        return self._max_run_ms is not None and self._max_run_ms <= SHORT_TASK_MS

    def unassigned_work_ms(self) -> int:
        """Declared run time of the waiting tasks, in ms."""
        return sum(self.tasks[index].spec.size.run_ms for index in self.waiting)

    def end(self, index: int, code: ResultCode) -> None:
        """End a task with a result code."""
        task = self.tasks[index]
        task.phase, task.code = Phase.ENDED, code
        self.open_count -= 1

    def end_waiting(self, code: ResultCode) -> None:
        """End every waiting task; none of them has started."""
        while self.waiting:
            self.end(self.waiting.popleft(), code)

    def agents(self) -> set[str]:
        """Agents that hold tasks of this job."""
        return {task.agent for task in self.tasks if task.phase is Phase.SENT}

    def outcome(self) -> ResultCode:
        """Result code of the job once every task has ended."""
        codes = {task.code for task in self.tasks}
        if codes == {ResultCode.OK}:
            return ResultCode.OK
        if self.cancelled:
            return ResultCode.CANCELLED
        if self.never_ran():
            return codes.pop() if len(codes) == 1 else ResultCode.TASK_NOT_RUN
        return ResultCode.JOB_FAILED

    def never_ran(self) -> bool:
        """Whether every task provably did not start."""
        return all(not may_have_run(task.code) for task in self.tasks)

    def answer(self, now: float) -> bytes:
        """Answer as JSON: all outputs if complete, otherwise only the status of each task."""
        code = self.outcome()
        complete = code is ResultCode.OK
        content = {
            "id": self.key.partition("/")[2],
            "code": int(code),
            "name": code.label,
            "complete": complete,
            "ran": self._ran().value,
            "response_ms": round((now - self.admitted_at) * 1000, 2),
            "tasks": list(_statuses(self.tasks, complete)),
        }
        return json.dumps(content).encode()

    def explanation(self, coordinator: str) -> bytes:
        """Decision trail as JSON."""
        content = {
            "key": self.key,
            "coordinator": coordinator,
            "shard": self.shard,
            "epoch": self.epoch,
            "trail": [step._asdict() for step in self.trail],
        }
        return json.dumps(content).encode()

    def _ran(self) -> Ran:
        if self.never_ran():
            return Ran.NO
        unknown = any(_task_ran(task.code) is Ran.UNKNOWN for task in self.tasks)
        return Ran.UNKNOWN if unknown else Ran.YES


def _max_run_ms(specs: list[TaskSpec]) -> int | None:
    """Longest declared run time in ms; None if any task declares none."""
    declared = [spec.size.run_ms for spec in specs]
    return max(declared) if all(declared) else None


def longest_first(specs: list[TaskSpec]) -> list[int]:
    """Task indexes by descending run time, since the longest task bounds the job's end."""
    return sorted(range(len(specs)), key=lambda number: -specs[number].size.run_ms)


_NOT_STARTED = frozenset(
    {
        *RETRYABLE_REFUSALS,
        ResultCode.TASK_NOT_RUN,
        ResultCode.CANCELLED,
        ResultCode.DEADLINE_PASSED,
        ResultCode.STALE_EPOCH,
        ResultCode.NEVER_FITS,
    }
)


def may_have_run(code: ResultCode) -> bool:
    """Whether a task that ended with this code may have started."""
    return code not in _NOT_STARTED


def _task_ran(code: ResultCode) -> Ran:
    return Ran.NO if code in _NOT_STARTED else code.info.ran


def _statuses(tasks: list[TaskView], complete: bool) -> Iterator[dict[str, object]]:
    for index, task in enumerate(tasks):
        status: dict[str, object] = {"index": index, "code": int(task.code)}
        if complete:
            status["output"] = task.output
        else:
            status["name"] = task.code.label
            status["ran"] = _task_ran(task.code).value
        status["ran_ms"] = round(task.ran_ms, 2)
        yield status
