"""The entry: coordinates the jobs of its own callers over all agents it is connected to."""

from collections import Counter, defaultdict
from functools import singledispatchmethod
from typing import NamedTuple

import gevent
from gevent.event import Event
from loguru import logger

from ..clock import Clock, repeat
from ..messages import (
    AgentLoad,
    Assign,
    EndedRuns,
    EndpointState,
    Hello,
    Holding,
    LeasedTask,
    LoadEcho,
    Message,
    RunRef,
    SeenRuns,
    SharedConfig,
    Withdraw,
)
from ..metrics import Metrics
from .admission import Admission, Decision, retry_after_s, urgency, wait_s
from .chain import ECHO_S
from .config_feed import ConfigFeed
from .fleet_view import AgentView, Demand, FleetView, Wish
from .job_state import JobState, Outcome, Prospect, TaskState, longest_chain_s
from .leaving import ends_in_time
from .links import Links
from .model import How, JobSpec, QueueRules, node_of
from .room import NO_ROOM
from .settings import LeasedSettings

STEP_S = 0.01
"""Seconds between checks of deadlines, refusals and lost agents, a quarter of the time in which
the shortest job, of 50 ms, is decided."""

SETTLE_S = 0.05
"""Seconds after a connection opens for its agent's ended runs to arrive."""

REFUSED_PAUSE_S = 0.05
"""Seconds for which an agent that refused for other reasons than room gets nothing new."""

RETRY_AFTER_S = 1
"""Seconds until a refused caller may try again: the work ahead of it is over by then."""

HUNGER_AGAIN_S = 0.02
"""Seconds between tellings of all agents that runs wait: four of the shortest waits for room."""

LAST_REQUESTS_S = 0.1
"""Seconds without a job before a leaving entry takes none any more: requests on connections that
were open when the balancer was told come a few ms apart, and rarely so late."""

LEAVE_CHECK_S = 0.02
"""Seconds between looks whether a leaving entry has no jobs left, a fifth of that time."""

NO_AGENT_S = 0.5
"""Seconds a job waits while no agent serves its service at all: a restarted agent needs less."""


class Verdict(NamedTuple):
    """What is answered for a job."""

    outcome: Outcome
    reason: str
    retry_after_s: int = 0


class Ticket:
    """A job at work, for those who wait for its answer.

    Examples
    --------
    ``ticket.done.wait(timeout_s)`` and then ``ticket.verdict``.
    """

    def __init__(self, job: JobState) -> None:
        self.job = job
        self.done = Event()
        self.verdict: Verdict | None = None
        self.waiters = 0


class Entry:
    """Admits jobs, places their tasks, and gives each caller the whole answer.

    Parameters
    ----------
    cfg : LeasedSettings
        The settings.
    view : FleetView
        What is known of the agents.
    links : Links
        Connections to agents; the entry sets their callbacks.
    feed : ConfigFeed
        The newest configuration.
    metrics : Metrics
        Counters.
    clock : Clock
        Time and deferred calls.
    """

    def __init__(
        self,
        cfg: LeasedSettings,
        view: FleetView,
        links: Links,
        feed: ConfigFeed,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._cfg = cfg
        self._view = view
        self._links = links
        self._feed = feed
        self._metrics = metrics
        self._clock = clock
        self.jobs: dict[str, Ticket] = {}
        self.leaving = False
        self._leaves_at = float("inf")
        self._idle_since: float | None = None
        self._backlog: dict[str, JobState] = {}
        self._out: dict[str, dict[tuple[str, int], JobState]] = defaultdict(dict)
        self._opened_at: dict[str, float] = {}
        self._echo_at_once: set[str] = set()
        self._placing = False
        self._hunger_told_at = 0.0
        self._no_agent_since: dict[str, float] = {}
        self._admissions: dict[str, Admission] = defaultdict(Admission)
        links.on_open = self._on_open
        links.on_close = self._on_close
        links.on_message = self.on_message

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        reachable = self._view.is_reachable(self._clock.now())
        return not self.leaving and self._feed.current is not None and reachable

    # Jobs

    def submit(self, spec: JobSpec, queue: QueueRules, time_limit_s: float) -> Ticket:
        """Admit a job, or join the one of the same id that is at work here."""
        running = self.jobs.get(spec.job_id)
        if running is not None:
            self._metrics.count("jobs_joined")
            return running
        now = self._clock.now()
        job = JobState(spec, queue, now, now + time_limit_s)
        ticket = Ticket(job)
        self.jobs[spec.job_id] = ticket
        self._backlog[spec.job_id] = job
        self._metrics.count("jobs_admitted")
        self._place()
        return ticket

    def now(self) -> float:
        """Monotonic time in seconds, as deadlines of jobs are counted."""
        return self._clock.now()

    def pending(self, queue: str) -> int:
        """Jobs of a queue of which nothing has begun."""
        waiting = self._backlog.values()
        return sum(1 for job in waiting if job.queue.name == queue and not job.began)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job; false when none of this id is at work here."""
        ticket = self.jobs.get(job_id)
        if ticket is not None:
            self._finish(ticket.job, Verdict(Outcome.CANCELLED, "cancelled by its caller"))
        return ticket is not None

    def abandon(self, ticket: Ticket, reason: str) -> None:
        """Stop a job that nobody waits for any more."""
        self._finish(ticket.job, Verdict(Outcome.UNKNOWN, reason))

    def _finish(self, job: JobState, verdict: Verdict) -> None:
        ticket = self.jobs.pop(job.spec.job_id, None)
        if ticket is None:
            return
        self._backlog.pop(job.spec.job_id, None)
        self._withdraw(job)
        ticket.verdict = verdict
        took_s = self._clock.now() - job.arrived
        self._metrics.count("jobs_ended", label=verdict.outcome.value)
        self._metrics.observe("job_seconds", took_s, label=job.queue.name)
        logger.bind(
            job=job.spec.job_id,
            queue=job.queue.name,
            outcome=verdict.outcome.value,
            reason=verdict.reason,
            took_ms=round(took_s * 1000),
            objective_ms=round(job.objective_s * 1000),
            time_limit_ms=round((job.deadline - job.arrived) * 1000),
            began=job.began,
            tasks=len(job.tasks),
        ).info("job ended")
        ticket.done.set()

    def _withdraw(self, job: JobState) -> None:
        by_agent: dict[str, list[RunRef]] = defaultdict(list)
        for task in job.out():
            by_agent[task.agent].append(RunRef(task.name, task.run))
            self._out[task.agent].pop((task.name, task.run), None)
        for agent, refs in by_agent.items():
            self._metrics.count("runs_withdrawn", len(refs))
            self._links.send(agent, Withdraw(refs))

    # Placing

    def _place_soon(self) -> None:
        if self._backlog and not self._placing:
            self._placing = True
            self._clock.soon(self._place_now)

    def _place_now(self) -> None:
        self._placing = False
        self._place()

    def _place(self) -> None:
        """Hand waiting tasks to agents with room, the most urgent job first."""
        now = self._clock.now()
        shares: dict[str, list[LeasedTask]] = defaultdict(list)
        serving: dict[str, list[AgentView]] = {}
        full: set[str] = set()
        for job in sorted(self._backlog.values(), key=urgency):
            service = job.queue.service
            if service in full or now >= job.deadline:
                continue
            if service not in serving:
                serving[service] = self._view.willing(service, now)
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
            oldest = min(self._view.of(process).heard_at for process in chosen)
            logger.bind(
                job=job.spec.job_id,
                agents=dict(chosen),
                serving=len(serving),
                load_age_ms=round((now - oldest) * 1000, 1),
                waited_ms=round((now - job.arrived) * 1000, 1),
                config_version=self._feed.version,
            ).info("runs placed")
        if placed:
            self._backlog.pop(job.spec.job_id, None)
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
            agent = self._view.choose(self._wish(job, task, serving), serving)
            if agent is None or agent.state is None:
                return False
            run = job.assign(task, agent.process, agent.state.endpoint, now)
            step = job.step_of(task)
            number = agent.assigned + 1
            agent.pending[number] = agent.pending.get(number, NO_ROOM).plus(step.need)
            self._out[agent.process][(task.name, run)] = job
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
        agent = self._view.of(process)
        agent.assigned += 1
        self._metrics.count("runs_assigned", len(tasks))
        sent = self._links.send(process, Assign(agent.newest_load, agent.assigned, tasks))
        if not sent:
            for task in tasks:
                self._take_end(process, task.name, task.run, How.NOT_STARTED)

    # Messages of agents

    @singledispatchmethod
    def on_message(self, msg: Message, agent: str) -> None:
        """Take in what an agent sent."""
        logger.bind(peer=agent).warning("{} is not handled", type(msg).__name__)

    @on_message.register
    def _(self, msg: AgentLoad, agent: str) -> None:
        view = self._view.of(agent)
        view.take_load(msg, self._clock.now())
        if msg.config_version < self._feed.version:
            self._feed.share(self._links, agent)
        if agent in self._echo_at_once:
            # The connection may have taken the place of a silent one, and the chain be nearly over.
            self._echo_at_once.discard(agent)
            self._echo(view, self._demand())
        if self._backlog:
            self._place_soon()
        elif view.told is not Demand.NONE:
            # The room on offer is for another entry.
            self._echo(view, Demand.NONE)

    @on_message.register
    def _(self, msg: EndpointState, agent: str) -> None:
        view = self._view.of(agent)
        before = view.state
        view.state = msg
        view.heard_at = self._clock.now()
        if before != msg:
            logger.bind(
                peer=agent, endpoint=msg.endpoint, accepting=msg.accepting, service=msg.service
            ).info("endpoint state")
        if msg.accepting:
            self._lose_earlier_lives(agent)
        self._place_soon()

    @on_message.register
    def _(self, msg: EndedRuns, agent: str) -> None:
        for row in msg.runs:
            self._take_end(agent, row.task, row.run, How(row.how))
        if msg.runs:
            self._links.send(agent, SeenRuns(msg.runs[-1].number))
        self._place_soon()

    @on_message.register
    def _(self, msg: Holding, agent: str) -> None:
        held = {(ref.task, ref.run) for ref in msg.runs}
        opened_at = self._opened_at.get(agent, 0.0)
        missing = [
            (name, run)
            for (name, run), job in self._out[agent].items()
            if (name, run) not in held and job.tasks[name].sent_at < opened_at
        ]
        if missing:
            self._clock.later(SETTLE_S, self._end_missing, agent, missing)
        # A withdrawal may have been lost with the connection, and its job be at work elsewhere.
        unwanted = [ref for ref in msg.runs if (ref.task, ref.run) not in self._out[agent]]
        if unwanted:
            self._links.send(agent, Withdraw(unwanted))

    @on_message.register
    def _(self, msg: SharedConfig, agent: str) -> None:
        self._feed.offered(msg.body, f"agent {agent}")

    def _end_missing(self, agent: str, missing: list[tuple[str, int]]) -> None:
        """End runs that an agent neither holds nor has ended: they never reached it."""
        for name, run in missing:
            self._take_end(agent, name, run, How.NOT_STARTED)
        self._place_soon()

    def _take_end(self, agent: str, name: str, run: int, how: How) -> None:
        job = self._out[agent].pop((name, run), None)
        if job is None or not job.ended(name, run, how):
            self._metrics.count("late_ends", label=how.name.lower())
            return
        self._metrics.count("runs_back", label=how.name.lower())
        if how in (How.NOT_STARTED, How.DRAINING):
            self._view.of(agent).failed_until = self._clock.now() + REFUSED_PAUSE_S
        if how not in (How.DONE, How.NO_ROOM):
            logger.bind(task=name, run=run, peer=agent, how=how.name.lower()).info("run came back")
        if job.failed:
            self._finish(job, Verdict(Outcome.FAILED, f"{name} failed too often"))
        elif job.is_done:
            self._finish(job, Verdict(Outcome.COMPLETED, "every task is done"))
        elif any(True for _ in job.ready()) and job.spec.job_id in self.jobs:
            self._backlog[job.spec.job_id] = job

    # Losses

    def _on_open(self, hello: Hello) -> None:
        self._opened_at[hello.process] = self._clock.now()
        self._echo_at_once.add(hello.process)
        self._feed.share(self._links, hello.process)

    def _on_close(self, agent: str) -> None:
        """Keep what the agent holds until it is surely over: it may connect again."""
        view = self._view.agents.get(agent)
        if view is not None:
            view.offered = NO_ROOM

    def _lose_earlier_lives(self, agent: str) -> None:
        """End what earlier processes of an agent's instance held: it has made sure of that."""
        for process in list(self._view.agents):
            if process != agent and node_of(process) == node_of(agent):
                self._lose(process, "a later process of the agent is at work")

    def _lose(self, process: str, reason: str) -> None:
        self._view.forget(process)
        held = list(self._out[process])
        if held:
            logger.bind(peer=process, runs=len(held), reason=reason).warning("runs lost")
        for name, run in held:
            self._take_end(process, name, run, How.LOST)
        self._out.pop(process, None)
        self._opened_at.pop(process, None)

    # Upkeep

    def run_loops(self) -> list[gevent.Greenlet]:
        """Spawn the loops of this controller."""
        loops = ((STEP_S, self.step), (ECHO_S, self.echo))
        return [gevent.spawn(repeat, period_s, call) for period_s, call in loops]

    def echo(self) -> None:
        """Tell every agent heard of lately which of its reports came last."""
        now = self._clock.now()
        for agent in list(self._view.agents.values()):
            if agent.is_fresh(now):
                self._echo(agent, self._demand())
        self._links.close_silent()

    def _demand(self) -> Demand:
        if not self._backlog:
            return Demand.NONE
        late = all(job.prospect is Prospect.LATE for job in self._backlog.values())
        return Demand.LATE if late else Demand.TIMELY

    def _echo(self, agent: AgentView, demand: Demand) -> None:
        agent.told = demand
        hungry, late = demand is not Demand.NONE, demand is Demand.LATE
        msg = LoadEcho(agent.newest_load, self._feed.version, hungry, late)
        self._links.send(agent.process, msg)

    def _tell_hunger(self, now: float) -> None:
        """Let agents know that runs wait, so that they offer room as soon as they have some."""
        if not self._backlog or now - self._hunger_told_at < HUNGER_AGAIN_S:
            return
        self._hunger_told_at = now
        demand = self._demand()
        services = {job.queue.service for job in self._backlog.values()}
        for service in services:
            for agent in self._view.serving(service, now):
                if agent.told is not demand:
                    self._echo(agent, demand)

    def step(self) -> None:
        """One round: lost agents, passed deadlines, jobs that cannot be in time, placing."""
        now = self._clock.now()
        for process in list(self._view.agents):
            if self._view.is_over(process, now):
                self._lose(process, "silent for longer than every lease")
        for ticket in list(self.jobs.values()):
            if now >= ticket.job.deadline:
                self._give_up(ticket.job, "deadline passed")
        if self._backlog:
            self._decide(now)
            self._place()

    def _give_up(self, job: JobState, reason: str, again_s: int = RETRY_AFTER_S) -> None:
        if job.proved_not_run:
            self._finish(job, Verdict(Outcome.NOT_RUN, reason, again_s))
        else:
            self._finish(job, Verdict(Outcome.UNKNOWN, reason))

    def _decide(self, now: float) -> None:
        """Refuse early what cannot be in time, and what no agent can serve."""
        entries = max(1, self._view.entries(now))
        by_service: dict[str, list[JobState]] = defaultdict(list)
        for job in sorted(self._backlog.values(), key=urgency):
            by_service[job.queue.service].append(job)
        for service, jobs in by_service.items():
            capacity = self._view.capacity_cpu(service, now) / entries
            coming = self._view.coming_cpu(service, now) / entries
            if not capacity:
                self._refuse_without_agents(service, jobs, now)
                continue
            self._no_agent_since.pop(service, None)
            decision = self._admissions[service].decide(jobs, capacity, now, coming)
            self._carry_out(decision, now, entries)

    def _carry_out(self, decision: Decision, now: float, entries: int) -> None:
        for job in decision.kept:
            job.prospect = Prospect.TIMELY
        for job in decision.late:
            job.prospect = Prospect.LATE
            self._metrics.count("jobs_late_decided")
            logger.bind(
                job=job.spec.job_id,
                slack_ms=round((job.latest_start - now) * 1000),
                useful_ms=round((job.last_useful_start - now) * 1000),
            ).info("late service decided")
        for job in decision.given_up:
            self._metrics.count("jobs_kept_in_vain", label=job.prospect.value)
            self._give_up(job, "waited until its answer would be of no use")
        for job, load in decision.refused:
            logger.bind(
                job=job.spec.job_id,
                ahead_cpu_s=round(load.ahead_cpu_s, 2),
                capacity_cpu=round(load.capacity_cpu, 1),
                begins_in_ms=round(wait_s(load) * 1000),
                slack_ms=round((job.latest_start - now) * 1000),
                useful_ms=round((job.last_useful_start - now) * 1000),
                entries=entries,
            ).info("refusal decided")
            self._give_up(job, "its answer would be of no use", retry_after_s(load))

    def _refuse_without_agents(self, service: str, jobs: list[JobState], now: float) -> None:
        since = self._no_agent_since.setdefault(service, now)
        for job in jobs:
            if now - max(since, job.arrived) > NO_AGENT_S:
                self._give_up(job, "no agent serves its service")

    def takes(self, spec: JobSpec) -> bool:
        """Whether a job can be expected to end before this process does."""
        return ends_in_time(longest_chain_s(spec), self._leaves_at - self._clock.now())

    def leave(self, linger_s: float, until: float) -> None:
        """Take what can still end before ``until``, for ``linger_s`` at least, and answer all.

        Callers keep their connections for some time after the balancer has been told.
        """
        self.begin_leaving(until)
        gevent.sleep(linger_s)
        while not self.has_left() and self._clock.now() < until:
            gevent.sleep(LEAVE_CHECK_S)
        self._leaves_at = self._clock.now()
        for ticket in list(self.jobs.values()):
            self._give_up(ticket.job, "the entry ends")

    def begin_leaving(self, until: float) -> None:
        """Take only what can be expected to end before ``until``."""
        self.leaving = True
        self._leaves_at = until

    def has_left(self) -> bool:
        """Whether no job has been here for a while; from then on none is taken.

        A job taken between the last answer and the end of the process would be cut off.
        """
        now = self._clock.now()
        if self.jobs:
            self._idle_since = None
            return False
        if self._idle_since is None:
            self._idle_since = now
        if now - self._idle_since < LAST_REQUESTS_S:
            return False
        self._leaves_at = now
        return True
