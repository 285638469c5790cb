"""A job as its coordinator sees it: each task's state, who waits, and what was decided."""

import json
from collections import deque
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from .codes import Ran, ResultCode
from .messages import Submit, Task, TaskResult
from .submission import TaskSpec, needs_of

MAX_TRAIL = 40
MAX_REFUSALS = 20
SHORT_MS = 20
NOT_RUN_RETRY = frozenset(
    {
        ResultCode.QUEUE_FULL,
        ResultCode.DRAINING,
        ResultCode.ENDPOINT_REFUSED,
        ResultCode.NO_ENDPOINT,
        ResultCode.NO_SLOT,
    }
)


class Phase(Enum):
    """Where a task stands."""

    WAITING = "waiting"
    SENT = "sent"
    ENDED = "ended"


class TrailStep(NamedTuple):
    """One decision, ``at_ms`` after the job was admitted."""

    at_ms: float
    text: str


class Waiter(NamedTuple):
    """Who waits for an answer: the process, and its number for the request."""

    process: str
    request: int


class TaskView:
    """One task: its phase, the agent it was sent to, and how it ended."""

    __slots__ = (
        "agent",
        "attempt",
        "code",
        "left",
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
        self.left = False
        self.code = ResultCode.TASK_NOT_RUN
        self.output = ""
        self.ran_ms = 0.0


class Job:
    """One admitted job.

    Parameters
    ----------
    msg : Submit
        The submission that was admitted.
    shard, epoch : int
        Under which the job is coordinated.
    specs : list get_or_add TaskSpec
        Its tasks.
    now : float
        Monotonic time in seconds.
    attempt : int
        First attempt number; above 0 when an earlier run was proved not to have begun.
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
        self.needs = needs_of(specs)
        self._longest_ms = _longest_ms(specs)
        self.reserved: dict[str, int] = {}
        self.reserved_at = now
        self.open = len(specs)
        self.waiters: set[Waiter] = set()
        self.began = now
        self.no_agent_since: float | None = None
        self.cancelled = False
        self.trail: list[TrailStep] = []

    def note(self, now: float, text: str) -> None:
        """Add a step to the decision trail, which is bounded."""
        if len(self.trail) < MAX_TRAIL:
            self.trail.append(TrailStep(round((now - self.began) * 1000, 1), text))

    def sent_to(self, agent: str) -> list[int]:
        """Tasks that are at an agent."""
        return [
            index
            for index, task in enumerate(self.tasks)
            if task.phase is Phase.SENT and task.agent == agent
        ]

    def take_waiting(self, agents: list[str]) -> dict[str, list[int]]:
        """Send waiting tasks to agents, in order, and return each agent's share."""
        shares: dict[str, list[int]] = {}
        for agent in agents:
            index = self.waiting.popleft()
            task = self.tasks[index]
            task.phase, task.agent, task.left = Phase.SENT, agent, False
            shares.setdefault(agent, []).append(index)
        return shares

    def wire_tasks(self, indexes: list[int]) -> list[Task]:
        """Tasks in the form of a start frame."""
        views = ((index, self.tasks[index]) for index in indexes)
        return [
            Task(index, view.attempt, view.spec.payload, view.spec.size.run_ms)
            for index, view in views
        ]

    def accept(self, result: TaskResult, agent: str) -> bool:
        """Take in a result; false when it is late, repeated or for another attempt."""
        if result.number >= len(self.tasks):
            return False
        task = self.tasks[result.number]
        if task.phase is not Phase.SENT or task.agent != agent or result.attempt < task.attempt:
            return False
        code = ResultCode(result.code)
        if code in NOT_RUN_RETRY and task.refusals < MAX_REFUSALS and not self.cancelled:
            task.refusals += code is not ResultCode.NO_SLOT
            self.put_back(result.number)
            return True
        task.output, task.ran_ms = result.output, result.ran_ms
        self.end(result.number, ResultCode.TASK_NOT_RUN if code in NOT_RUN_RETRY else code)
        return True

    def put_back(self, index: int) -> None:
        """Let a task wait again, on proof that it did not start."""
        task = self.tasks[index]
        task.phase, task.agent = Phase.WAITING, ""
        task.attempt += 1
        self.waiting.appendleft(index)

    @property
    def is_short(self) -> bool:
        """Whether all tasks are declared to last about as long as a round trip."""
        return self._longest_ms is not None and self._longest_ms <= SHORT_MS

    def work_left_ms(self) -> int:
        """Declared work that has not been sent."""
        return sum(self.tasks[index].spec.size.run_ms for index in self.waiting)

    def end(self, index: int, code: ResultCode) -> None:
        """End a task."""
        task = self.tasks[index]
        task.phase, task.code = Phase.ENDED, code
        self.open -= 1

    def end_waiting(self, code: ResultCode) -> None:
        """End every task that waits here and was never sent, or came back unstarted."""
        while self.waiting:
            self.end(self.waiting.popleft(), code)

    def agents(self) -> set[str]:
        """Agents that hold tasks of this job."""
        return {task.agent for task in self.tasks if task.phase is Phase.SENT}

    def outcome(self) -> ResultCode:
        """The job's code once every task has ended."""
        codes = {task.code for task in self.tasks}
        if codes == {ResultCode.OK}:
            return ResultCode.OK
        if self.cancelled:
            return ResultCode.CANCELLED
        if self.never_ran():
            return codes.pop() if len(codes) == 1 else ResultCode.TASK_NOT_RUN
        return ResultCode.JOB_FAILED

    def never_ran(self) -> bool:
        """Whether every task is proved not to have started."""
        return all(not may_have_run(task.code) for task in self.tasks)

    def answer(self, now: float) -> bytes:
        """The answer for callers: all outputs when complete, else each task's status alone."""
        code = self.outcome()
        complete = code is ResultCode.OK
        content = {
            "id": self.key.partition("/")[2],
            "code": int(code),
            "name": code.label,
            "complete": complete,
            "ran": self._ran().value,
            "response_ms": round((now - self.began) * 1000, 2),
            "tasks": list(_statuses(self.tasks, complete)),
        }
        return json.dumps(content).encode()

    def explanation(self, coordinator: str) -> bytes:
        """The decision trail as JSON."""
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


def _longest_ms(specs: list[TaskSpec]) -> int | None:
    """The longest declared run time; None when any task declares none."""
    declared = [spec.size.run_ms for spec in specs]
    return max(declared) if all(declared) else None


def longest_first(specs: list[TaskSpec]) -> list[int]:
    """Order in which tasks are placed: a job ends no sooner than its longest task."""
    return sorted(range(len(specs)), key=lambda number: -specs[number].size.run_ms)


_NOT_STARTED = frozenset(
    {
        *NOT_RUN_RETRY,
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
