"""Assigns waiting tasks to agents with free resources, the most urgent job first."""

from collections import Counter, defaultdict

from loguru import logger

from .admission_policy import AdmissionPolicy
from .agent_view import AgentView
from .candidates import Candidates
from .claims import signature
from .entry_context import EntryContext
from .fleet_speeds import speed_limit
from .job_state import TASK_OVERHEAD_BYTES, JobState, TaskState
from .messages import Assign, LeasedTask
from .model import RunOutcome
from .placement_request import PlacementRequest
from .resources import NO_RESOURCES, Resources
from .run_completions import RunCompletions

CLAIM_INTERVAL_S = 0.02
"""Least seconds between two rounds of sending changed claims to all agents."""


COLOCATED_TASKS = 4
"""Tasks of one job that go to one agent before the next is chosen. A job then depends on fewer
endpoints, and its payload is sent less often; more would lengthen the queue at one agent."""


class Placer:
    """Places the backlog of an entry.

    Parameters
    ----------
    ctx : EntryContext
        Jobs and agents of the entry.
    completions : RunCompletions
        Takes back runs that could not be sent.
    policies : dict
        Admission policy of each service, notified when a job begins.

    Examples
    --------
    ``placer.place_soon()`` when resources or jobs have arrived; ``placer.place()`` at once.
    """

    def __init__(
        self,
        ctx: EntryContext,
        completions: RunCompletions,
        policies: defaultdict[str, AdmissionPolicy],
    ) -> None:
        self._ctx = ctx
        self._completions = completions
        self._policies = policies
        self._is_scheduled = False
        self._claims_sent_at = 0.0
        self._fastest_class = 0
        self._last_limit: int | None = None

    def place_soon(self) -> None:
        """Place after the current event has been handled."""
        if self._ctx.backlog and not self._is_scheduled:
            self._is_scheduled = True
            self._ctx.clock.call_soon(self._place_scheduled)

    def _place_scheduled(self) -> None:
        self._is_scheduled = False
        self.place()

    def place(self) -> None:
        """Assign waiting tasks to agents with free resources, the most urgent job first.

        Smaller tasks of less urgent jobs use resources that are too small for the urgent ones and
        would otherwise stay idle.
        """
        now = self._ctx.clock.now()
        self._ctx.refresh_locks(now)
        self._compare_speeds(now)
        assignments: dict[str, list[LeasedTask]] = defaultdict(list)
        for service in self._ctx.backlog.services():
            self._place_service(service, assignments, now)
        for process, tasks in assignments.items():
            self._assign(process, tasks)
        self._return_unused()
        self._send_claims(now)

    def _compare_speeds(self, now: float) -> None:
        speeds = self._ctx.view.speeds
        if not self._ctx.view.are_speeds_due(now):
            return
        was_uneven = speeds.is_uneven
        for change in self._ctx.view.compare_speeds(now):
            state = change.agent.state
            logger.bind(
                peer=change.agent.process,
                endpoint="" if state is None else state.incarnation,
                factor_percent=round(100 * change.agent.factor),
                speed_class=change.agent.speed_class,
                before=change.before,
                is_prior=change.is_prior,
            ).info("endpoint speed")
        self._ctx.metrics.gauge("endpoint_speed_spread_percent", round(100 * speeds.spread))
        if speeds.is_uneven != was_uneven:
            logger.bind(uneven=speeds.is_uneven, spread_percent=round(100 * speeds.spread)).info(
                "placement by speed"
            )

    def _place_service(
        self, service: str, assignments: dict[str, list[LeasedTask]], now: float
    ) -> None:
        view = self._ctx.view
        eligible = view.eligible(service, now)
        candidates = Candidates(view, eligible)
        self._fastest_class = min((agent.speed_class for agent in eligible), default=0)
        too_large: Resources | None = None
        planned_bytes = 0
        for job in self._ctx.backlog.jobs_of(service) if len(candidates) else ():
            if planned_bytes >= self._ctx.window.available_bytes():
                self._ctx.window.record_blocked(now)
                break
            need = job.demand.smallest
            if now >= job.deadline or not job.confirmed or not job.ready_tasks():
                continue
            if too_large is not None and need.fits(too_large):
                continue
            before = len(job.ready_tasks())
            placed = self._place_job(job, candidates, assignments, now)
            planned_bytes += (before - len(job.ready_tasks())) * job.bytes_per_task
            if not placed and not candidates.has_resources(need):
                too_large = need
                if candidates.max_free_cpu < self._ctx.backlog.least_cpu(service):
                    break

    def _place_job(
        self,
        job: JobState,
        candidates: Candidates,
        assignments: dict[str, list[LeasedTask]],
        now: float,
    ) -> bool:
        """Place the ready tasks of a job; False when the resources did not suffice for all."""
        chosen: Counter[str] = Counter()
        began = job.began
        placed = self._place_tasks(job, candidates, assignments, chosen, now)
        if chosen and not began:
            self._policies[job.queue.service].record_begin(job, now)
        if chosen:
            oldest = min(self._ctx.view.get_or_add(process).last_heard_at for process in chosen)
            logger.bind(
                job=job.spec.job_id,
                agents=dict(chosen),
                with_room=len(candidates),
                load_age_ms=round((now - oldest) * 1000, 1),
                waited_ms=round((now - job.arrived_at) * 1000, 1),
                config_version=self._ctx.feed.version,
                speed_limit=self._last_limit,
                confirmed_by=job.confirmed_by,
            ).info("runs placed")
        if placed:
            self._ctx.backlog.discard(job)
        elif chosen:
            # Jobs that have begun precede those that have not.
            self._ctx.backlog.put(job)
        return placed

    def _place_tasks(
        self,
        job: JobState,
        candidates: Candidates,
        assignments: dict[str, list[LeasedTask]],
        chosen: Counter[str],
        now: float,
    ) -> bool:
        colocated = 0
        limits: dict[int, int | None] = {}
        level = self._ctx.view.speeds.levels.permille(job.queue.name)
        for task in job.ready_tasks():
            if task.step not in limits:
                limits[task.step] = self._speed_limit(job, task, level, now)
            self._last_limit = limits[task.step]
            request = self._request_for(job, task, self._last_limit, now)
            agent = candidates.take_last(request) if 0 < colocated < COLOCATED_TASKS else None
            colocated = colocated + 1 if agent is not None else 1
            agent = agent or candidates.take(request)
            if agent is None or agent.state is None:
                return False
            run = job.assign(task, agent.process, agent.state.incarnation, now)
            step = job.step_of(task)
            number = agent.last_assigned_number + 1
            agent.reserve(number, step.need)
            self._ctx.assigned_runs[agent.process][(task.name, run)] = job
            assignments[agent.process].append(
                LeasedTask(task.name, run, 0, *step.need, step.estimate_ms, level)
            )
            chosen[agent.process] += 1
        return True

    def _speed_limit(self, job: JobState, task: TaskState, level: int, now: float) -> int | None:
        """Slowest speed class that is fast enough for a task; None where speeds are even."""
        if not self._ctx.view.speeds.is_uneven:
            return None
        expected_s = job.step_of(task).estimate_ms * (level or 1000) / 1e6
        return speed_limit(job.time_left_s(task, now), expected_s)

    def _request_for(
        self, job: JobState, task: TaskState, limit: int | None, now: float
    ) -> PlacementRequest:
        step = job.step_of(task)
        return PlacementRequest(
            job.queue.service,
            step.need,
            step.requires,
            step.prefers,
            self._avoided_incarnations(job, task, now) if task.avoid else frozenset(),
            job.full_endpoints(task),
            step.estimate_ms,
            limit,
            limit is not None and limit >= self._fastest_class and not job.takes_any,
        )

    def _avoided_incarnations(self, job: JobState, task: TaskState, now: float) -> frozenset[str]:
        """Endpoint incarnations that a task avoids; none when no others serve its service."""
        eligible = self._ctx.view.eligible(job.queue.service, now)
        others = any(
            a.state is not None and a.state.incarnation not in task.avoid for a in eligible
        )
        return frozenset(task.avoid) if others else frozenset()

    def _assign(self, process: str, tasks: list[LeasedTask]) -> None:
        agent = self._ctx.view.get_or_add(process)
        agent.last_assigned_number += 1
        self._ctx.metrics.count("runs_assigned", len(tasks))
        claims = [] if agent.state is None else self._ctx.claims(agent.state.service)
        agent.sent_signature = signature(claims)
        agent.mark_echoed()
        tasks, payloads = self._with_payloads(process, tasks)
        msg = Assign(agent.newest_load, agent.last_assigned_number, tasks, claims, payloads)
        sent = self._ctx.links.send(process, msg)
        if sent:
            size = sum(map(len, payloads)) + len(tasks) * TASK_OVERHEAD_BYTES
            self._ctx.window.sent(process, msg.number, size, self._ctx.clock.now())
        else:
            for task in tasks:
                self._completions.record_end(process, task.name, task.run, RunOutcome.NOT_STARTED)

    def _with_payloads(
        self, process: str, tasks: list[LeasedTask]
    ) -> tuple[list[LeasedTask], list[bytes]]:
        """Return the tasks with the numbers of their payloads, and each job's payload once."""
        assigned_runs = self._ctx.assigned_runs[process]
        numbers: dict[str, int] = {}
        numbered = []
        payloads: list[bytes] = []
        for task in tasks:
            job = assigned_runs[task.name, task.run]
            job_id = job.spec.job_id
            if job_id not in numbers:
                numbers[job_id] = len(payloads)
                payloads.append(job.payload)
            numbered.append(task._replace(payload=numbers[job_id]))
        return numbered, payloads

    def _send_claims(self, now: float) -> None:
        """Send claims to all agents when tasks of another urgency class start to wait."""
        if not self._ctx.backlog or now - self._claims_sent_at < CLAIM_INTERVAL_S:
            return
        self._claims_sent_at = now
        for service in self._ctx.backlog.services():
            current = signature(self._ctx.claims(service))
            for agent in self._ctx.view.serving(service, now):
                if agent.sent_signature != current:
                    self._ctx.echo(agent)

    def _return_unused(self) -> None:
        """Return granted resources that no waiting task fits into.

        Kept until the grants expire, they would be idle while other entries wait for them.
        """
        for agent in self._ctx.view.agents.values():
            if agent.sent_signature and agent.free.cpu > 0 and not self._is_useful(agent):
                agent.set_offered(NO_RESOURCES)
                self._ctx.echo(agent, gives_back=True)

    def _is_useful(self, agent: AgentView) -> bool:
        claims = [] if agent.state is None else self._ctx.claims(agent.state.service)
        return any(claim.least_cpu <= agent.free.cpu for claim in claims)
