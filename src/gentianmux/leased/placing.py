"""Hands waiting tasks to agents with room, the most urgent job first."""

from collections import Counter, defaultdict

from loguru import logger

from ..messages import Assign, LeasedTask
from .admission import Admission, urgency
from .entry_board import EntryBoard
from .fleet_view import AgentView, Wish
from .job_state import JobState, Prospect, TaskState
from .model import How
from .room import NO_ROOM
from .run_ends import RunEnds

HUNGER_AGAIN_S = 0.02
"""Seconds between tellings of all agents that runs wait: four of the shortest waits for room."""


class Placing:
    """Places the backlog of an entry.

    Parameters
    ----------
    board : EntryBoard
        The jobs and the agents.
    ends : RunEnds
        Takes back what could not be sent.
    admissions : dict
        The decisions of each service, told when a job begins.

    Examples
    --------
    ``placing.soon()`` when room or jobs have come; ``placing.place()`` at once.
    """

    def __init__(
        self, board: EntryBoard, ends: RunEnds, admissions: defaultdict[str, Admission]
    ) -> None:
        self._board = board
        self._ends = ends
        self._admissions = admissions
        self._planned = False
        self._hunger_told_at = 0.0

    def soon(self) -> None:
        """Place after what is being handled now."""
        if self._board.backlog and not self._planned:
            self._planned = True
            self._board.clock.soon(self._place_planned)

    def _place_planned(self) -> None:
        self._planned = False
        self.place()

    def place(self) -> None:
        """Hand waiting tasks to agents with room, the most urgent job first."""
        now = self._board.clock.now()
        shares: dict[str, list[LeasedTask]] = defaultdict(list)
        serving: dict[str, list[AgentView]] = {}
        full: set[str] = set()
        for job in sorted(self._board.backlog.values(), key=urgency):
            service = job.queue.service
            if service in full or now >= job.deadline:
                continue
            if service not in serving:
                serving[service] = self._board.view.willing(service, now)
            if not self._place_job(job, serving[service], shares, now):
                full.add(service)
        for process, tasks in shares.items():
            self._assign(process, tasks)
        self._tell_hunger(now)

    def _place_job(
        self,
        job: JobState,
        serving: list[AgentView],
        shares: dict[str, list[LeasedTask]],
        now: float,
    ) -> bool:
        """Place what is ready of a job; false when there was no room for some of it."""
        chosen: Counter[str] = Counter()
        began = job.began
        placed = self._place_tasks(job, serving, shares, chosen, now)
        if chosen and not began:
            self._admissions[job.queue.service].begins(job, now)
        if chosen:
            oldest = min(self._board.view.of(process).heard_at for process in chosen)
            logger.bind(
                job=job.spec.job_id,
                agents=dict(chosen),
                serving=len(serving),
                load_age_ms=round((now - oldest) * 1000, 1),
                waited_ms=round((now - job.arrived) * 1000, 1),
                config_version=self._board.feed.version,
            ).info("runs placed")
        if placed:
            self._board.backlog.pop(job.spec.job_id, None)
        return placed

    def _place_tasks(
        self,
        job: JobState,
        serving: list[AgentView],
        shares: dict[str, list[LeasedTask]],
        chosen: Counter[str],
        now: float,
    ) -> bool:
        for task in list(job.ready()):
            agent = self._board.view.choose(self._wish(job, task, serving), serving)
            if agent is None or agent.state is None:
                return False
            run = job.assign(task, agent.process, agent.state.endpoint, now)
            step = job.step_of(task)
            number = agent.assigned + 1
            agent.pending[number] = agent.pending.get(number, NO_ROOM).plus(step.need)
            self._board.out[agent.process][(task.name, run)] = job
            payload = job.spec.payload.encode()
            shares[agent.process].append(
                LeasedTask(task.name, run, payload, *step.need, step.estimate_ms)
            )
            chosen[agent.process] += 1
        return True

    def _wish(self, job: JobState, task: TaskState, serving: list[AgentView]) -> Wish:
        step = job.step_of(task)
        others = [a for a in serving if a.state is not None and a.state.endpoint not in task.avoid]
        avoid = frozenset(task.avoid) if others else frozenset()
        return Wish(
            job.queue.service,
            step.need,
            step.requires,
            step.prefers,
            avoid,
            job.full_endpoints(task),
            step.estimate_ms,
            job.prospect is Prospect.LATE,
        )

    def _assign(self, process: str, tasks: list[LeasedTask]) -> None:
        agent = self._board.view.of(process)
        agent.assigned += 1
        self._board.metrics.count("runs_assigned", len(tasks))
        sent = self._board.links.send(process, Assign(agent.newest_load, agent.assigned, tasks))
        if not sent:
            for task in tasks:
                self._ends.take(process, task.name, task.run, How.NOT_STARTED)

    def _tell_hunger(self, now: float) -> None:
        """Let agents know that runs wait, so that they offer room as soon as they have some."""
        if not self._board.backlog or now - self._hunger_told_at < HUNGER_AGAIN_S:
            return
        self._hunger_told_at = now
        demand = self._board.demand()
        services = {job.queue.service for job in self._board.backlog.values()}
        for service in services:
            for agent in self._board.view.serving(service, now):
                if agent.told is not demand:
                    self._board.echo(agent, demand)
