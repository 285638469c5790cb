"""Hands waiting tasks to agents with room, the most urgent job first."""

from collections import Counter, defaultdict

from loguru import logger

from ..messages import Assign, LeasedTask
from .admission_policy import AdmissionPolicy
from .candidates import Candidates
from .claims import signature
from .entry_context import EntryContext
from .fleet_view import AgentView, PlacementRequest
from .job_state import TASK_BYTES, JobState, TaskState
from .model import RunOutcome
from .resources import NO_RESOURCES, Resources
from .run_completions import RunCompletions

CLAIM_AGAIN_S = 0.02
"""Seconds between tellings of all agents that runs wait: four of the shortest waits for room."""


COLOCATED_TASKS = 4
"""Tasks of one job that go to one endpoint before the next is chosen. Each on the emptiest, as with
1, a job hung on many of them: with a sixth of 12 endpoints standing still 95.5 % of jobs were in
time, with 4 97.3 %; with as many agents killed 97.6 and 98.9 %. Frames fell by 27 %, and under 0.8,
1.4 and 1.9 times the usual load credit was the same within its spread (5 and 6 seeds of the load
model). All together gained no more, and is a longer queue at one agent."""


class Placer:
    """Places the backlog of an entry.

    Parameters
    ----------
    ctx : EntryContext
        The jobs and the agents.
    ends : RunCompletions
        Takes back what could not be sent.
    admissions : dict
        The decisions of each service, told when a job begins.

    Examples
    --------
    ``placing.call_soon()`` when room or jobs have come; ``placing.place()`` at once.
    """

    def __init__(
        self, ctx: EntryContext, ends: RunCompletions, admissions: defaultdict[str, AdmissionPolicy]
    ) -> None:
        self._ctx = ctx
        self._ends = ends
        self._admissions = admissions
        self._planned = False
        self._claims_told_at = 0.0

    def call_soon(self) -> None:
        """Place after what is being handled now."""
        if self._ctx.backlog and not self._planned:
            self._planned = True
            self._ctx.clock.call_soon(self._place_planned)

    def _place_planned(self) -> None:
        self._planned = False
        self.place()

    def place(self) -> None:
        """Hand waiting tasks to agents with room, the most urgent job first.

        Smaller tasks of less urgent jobs take the room that the urgent ones do not fit into. Left
        empty until a larger one came free, some 2.1 of 16 to 24 cores (median) stood unused where a
        task needs 2.5.
        """
        now = self._ctx.clock.now()
        shares: dict[str, list[LeasedTask]] = defaultdict(list)
        for service in self._ctx.backlog.services():
            self._place_service(service, shares, now)
        for process, tasks in shares.items():
            self._assign(process, tasks)
        self._give_back()
        self._tell_claims(now)

    def _place_service(self, service: str, shares: dict[str, list[LeasedTask]], now: float) -> None:
        view = self._ctx.view
        candidates = Candidates(view, view.eligible(service, now))
        too_large: Resources | None = None
        planned = 0
        for job in self._ctx.backlog.get_or_add(service) if len(candidates) else ():
            if planned >= self._ctx.window.left():
                self._ctx.window.hold_back(now)
                break
            need = job.waiting.least
            if now >= job.deadline or not job.ready():
                continue
            if too_large is not None and need.fits(too_large):
                continue
            before = len(job.ready())
            placed = self._place_job(job, candidates, shares, now)
            planned += (before - len(job.ready())) * job.bytes_a_task
            if not placed and not candidates.has_room(need):
                too_large = need
                if candidates.most_cpu < self._ctx.backlog.least_cpu(service):
                    break

    def _place_job(
        self,
        job: JobState,
        candidates: Candidates,
        shares: dict[str, list[LeasedTask]],
        now: float,
    ) -> bool:
        """Place what is ready of a job; false when there was no room for some of it."""
        chosen: Counter[str] = Counter()
        began = job.began
        placed = self._place_tasks(job, candidates, shares, chosen, now)
        if chosen and not began:
            self._admissions[job.queue.service].begins(job, now)
        if chosen:
            oldest = min(self._ctx.view.get_or_add(process).last_heard_at for process in chosen)
            logger.bind(
                job=job.spec.job_id,
                agents=dict(chosen),
                with_room=len(candidates),
                load_age_ms=round((now - oldest) * 1000, 1),
                waited_ms=round((now - job.arrived) * 1000, 1),
                config_version=self._ctx.feed.version,
            ).info("runs placed")
        if placed:
            self._ctx.backlog.drop(job)
        elif chosen:
            # What has begun goes before what has not.
            self._ctx.backlog.put(job)
        return placed

    def _place_tasks(
        self,
        job: JobState,
        candidates: Candidates,
        shares: dict[str, list[LeasedTask]],
        chosen: Counter[str],
        now: float,
    ) -> bool:
        together = 0
        for task in job.ready():
            request = self._wish(job, task, now)
            agent = candidates.take_again(request) if 0 < together < COLOCATED_TASKS else None
            together = together + 1 if agent is not None else 1
            agent = agent or candidates.take(request)
            if agent is None or agent.state is None:
                return False
            run = job.assign(task, agent.process, agent.state.incarnation, now)
            step = job.step_of(task)
            number = agent.assigned + 1
            agent.reserve(number, step.need)
            self._ctx.out[agent.process][(task.name, run)] = job
            shares[agent.process].append(
                LeasedTask(task.name, run, 0, *step.need, step.estimate_ms)
            )
            chosen[agent.process] += 1
        return True

    def _wish(self, job: JobState, task: TaskState, now: float) -> PlacementRequest:
        step = job.step_of(task)
        return PlacementRequest(
            job.queue.service,
            step.need,
            step.requires,
            step.prefers,
            self._avoided(job, task, now) if task.avoid else frozenset(),
            job.full_endpoints(task),
            step.estimate_ms,
        )

    def _avoided(self, job: JobState, task: TaskState, now: float) -> frozenset[str]:
        """Lives on which a task ended badly, unless no others serve its service."""
        willing = self._ctx.view.eligible(job.queue.service, now)
        others = any(a.state is not None and a.state.incarnation not in task.avoid for a in willing)
        return frozenset(task.avoid) if others else frozenset()

    def _assign(self, process: str, tasks: list[LeasedTask]) -> None:
        agent = self._ctx.view.get_or_add(process)
        agent.assigned += 1
        self._ctx.metrics.count("runs_assigned", len(tasks))
        claims = [] if agent.state is None else self._ctx.claims(agent.state.service)
        agent.told = signature(claims)
        agent.echoed()
        tasks, payloads = self._with_payloads(process, tasks)
        msg = Assign(agent.newest_load, agent.assigned, tasks, claims, payloads)
        sent = self._ctx.links.send(process, msg)
        if sent:
            size = sum(map(len, payloads)) + len(tasks) * TASK_BYTES
            self._ctx.window.sent(process, msg.number, size, self._ctx.clock.now())
        else:
            for task in tasks:
                self._ends.take(process, task.name, task.run, RunOutcome.NOT_STARTED)

    def _with_payloads(
        self, process: str, tasks: list[LeasedTask]
    ) -> tuple[list[LeasedTask], list[bytes]]:
        """The tasks with the numbers of their payloads, and each job's payload once."""
        out = self._ctx.out[process]
        numbers: dict[str, int] = {}
        numbered = []
        payloads: list[bytes] = []
        for task in tasks:
            job = out[task.name, task.run]
            job_id = job.spec.job_id
            if job_id not in numbers:
                numbers[job_id] = len(payloads)
                payloads.append(job.payload)
            numbered.append(task._replace(payload=numbers[job_id]))
        return numbered, payloads

    def _tell_claims(self, now: float) -> None:
        """Claim room of all agents when runs of another urgency begin to wait."""
        if not self._ctx.backlog or now - self._claims_told_at < CLAIM_AGAIN_S:
            return
        self._claims_told_at = now
        for service in self._ctx.backlog.services():
            wanted = signature(self._ctx.claims(service))
            for agent in self._ctx.view.serving(service, now):
                if agent.told != wanted:
                    self._ctx.echo(agent)

    def _give_back(self) -> None:
        """Give back room that was granted to what waited, and is of no use to what still waits.

        Kept until the grants lapsed, it stood empty for 40 ms each time, 357 times in 2,762 starts
        at 1.9 times the usual load (``bench.leased_load``, seed 0).
        """
        for agent in self._ctx.view.agents.values():
            if agent.told and agent.free.cpu > 0 and not self._is_of_use(agent):
                agent.set_offered(NO_RESOURCES)
                self._ctx.echo(agent, gives_back=True)

    def _is_of_use(self, agent: AgentView) -> bool:
        claims = [] if agent.state is None else self._ctx.claims(agent.state.service)
        return any(claim.least_cpu <= agent.free.cpu for claim in claims)
