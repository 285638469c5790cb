"""The entry: coordinates the jobs of its own callers over all agents it is connected to."""

from functools import singledispatchmethod

import gevent
from loguru import logger

from ..clock import Clock, run_periodically
from ..messages import (
    AgentLoad,
    ConfigPiece,
    ConfigWanted,
    EndedRuns,
    EndpointState,
    Evacuated,
    Hello,
    Holding,
    Message,
)
from ..metrics import Metrics
from .admission_controller import AdmissionController
from .config_feed import ConfigFeed
from .config_transfer import ConfigTransfer
from .entry_context import EntryContext
from .entry_leases import MIN_ECHO_INTERVAL_S
from .evacuation_broadcast import EvacuationBroadcast
from .evacuations import Evacuations
from .fleet_view import FleetView
from .job_handle import JobHandle, JobResult
from .job_state import JobOutcome, JobState, longest_chain_s
from .links import Links
from .model import JobSpec, QueueConfig, RunOutcome
from .placer import Placer
from .resources import NO_RESOURCES
from .run_completions import RunCompletions
from .shutdown import finishes_before_shutdown

TICK_S = 0.01
"""Seconds between checks of deadlines and refusals, a quarter of the time in which the shortest
job, of 50 ms, is decided."""

IDLE_STEP_S = 0.025
"""The same while nothing waits for room: a job is placed as it comes, and decided 38 ms later at
the earliest. A turn that finds nothing takes some 80 us (2,004 turns, by processor time)."""

LOSS_CHECK_INTERVAL_S = 0.05
"""Seconds between checks for lost agents, which are given up 1.1 s after their last report."""

LAST_REQUESTS_S = 0.1
"""Seconds without a job before a leaving entry takes none any more: requests on connections that
were open when the balancer was told come a few ms apart, and rarely so late."""

LEAVE_CHECK_S = 0.02
"""Seconds between looks whether a leaving entry has no jobs left, a fifth of that time."""


class Entry:
    """Admits jobs, places their tasks, and gives each caller the whole answer.

    Parameters
    ----------
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
    link_bytes_s : float
        What the instance's link carries, in bytes a second; 0 where it is not told.
    """

    def __init__(
        self,
        view: FleetView,
        links: Links,
        feed: ConfigFeed,
        metrics: Metrics,
        clock: Clock,
        link_bytes_s: float = 0.0,
    ) -> None:
        self._ctx = EntryContext(view, links, feed, metrics, clock, link_bytes_s)
        self._config_transfer = ConfigTransfer(feed, links, clock)
        self._evacuation_broadcast = EvacuationBroadcast(
            feed.evacuations, links, self._on_evacuations
        )
        self._ends = RunCompletions(self._ctx)
        self._admitting = AdmissionController(self._ctx)
        self._placer = Placer(self._ctx, self._ends, self._admitting.admissions)
        self.shutting_down = False
        self._shutdown_at = float("inf")
        self._idle_since: float | None = None
        links.on_open = self._on_open
        links.on_close = self._on_close
        links.on_message = self.on_message

    @property
    def jobs(self) -> dict[str, JobHandle]:
        """Jobs at work here, by their ids."""
        return self._ctx.jobs

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        reachable = self._ctx.view.is_reachable(self._ctx.clock.now())
        return not self.shutting_down and self._ctx.feed.current is not None and reachable

    # Jobs

    def submit(self, spec: JobSpec, queue: QueueConfig, time_limit_s: float) -> JobHandle:
        """Admit a job, or join the one of the same id that is at work here."""
        running = self._ctx.jobs.get(spec.job_id)
        if running is not None:
            self._ctx.metrics.count("jobs_joined")
            return running
        now = self._ctx.clock.now()
        job = JobState(spec, queue, now, now + time_limit_s)
        handle = JobHandle(job)
        self._ctx.jobs[spec.job_id] = handle
        self._ctx.backlog.put(job)
        self._ctx.metrics.count("jobs_admitted")
        self._admitting.admissions[queue.service].arrived(job, now)
        self._placer.place()
        return handle

    def now(self) -> float:
        """Monotonic time in seconds, as deadlines of jobs are counted."""
        return self._ctx.clock.now()

    def unstarted_jobs(self, queue: str) -> int:
        """Jobs of a queue of which nothing has begun."""
        waiting = (job for job in self._ctx.backlog if not job.began)
        return sum(1 for job in waiting if job.queue.name == queue)

    def cancel(self, job_id: str) -> bool:
        """Cancel a job; false when none of this id is at work here."""
        handle = self._ctx.jobs.get(job_id)
        if handle is not None:
            self._ctx.finish(handle.job, JobResult(JobOutcome.CANCELLED, "cancelled by its caller"))
        return handle is not None

    def abandon(self, handle: JobHandle, reason: str) -> None:
        """Stop a job that nobody waits for any more."""
        self._ctx.finish(handle.job, JobResult(JobOutcome.UNKNOWN, reason))

    # Messages of agents

    @singledispatchmethod
    def on_message(self, msg: Message, agent: str) -> None:
        """Take in what an agent sent."""
        logger.bind(peer=agent).warning("{} is not handled", type(msg).__name__)

    @on_message.register
    def _(self, msg: AgentLoad, agent: str) -> None:
        view = self._ctx.view.get_or_add(agent)
        now = self._ctx.clock.now()
        view.apply_report(msg, now)
        self._ctx.window.told(agent, msg.applied, now)
        self._config_transfer.on_version(agent, msg.config_version)
        if view.free.cpu > 0:
            self._placer.call_soon()
        # Room that is granted to what no longer waits is for another entry.
        gives_back = not self._ctx.backlog and bool(view.told)
        if gives_back or self._ctx.clock.now() - view.echoed_at >= MIN_ECHO_INTERVAL_S:
            self._ctx.echo(view)

    @on_message.register
    def _(self, msg: EndpointState, agent: str) -> None:
        view = self._ctx.view.get_or_add(agent)
        before = view.state
        view.state = msg
        view.last_heard_at = self._ctx.clock.now()
        if before != msg:
            logger.bind(
                peer=agent, endpoint=msg.incarnation, accepting=msg.accepting, service=msg.service
            ).info("endpoint state")
        if msg.accepting:
            self._ends.lose_earlier_lives(agent)
        self._placer.call_soon()

    @on_message.register
    def _(self, msg: EndedRuns, agent: str) -> None:
        for row in msg.runs:
            self._ends.take(agent, row.task, row.run, RunOutcome(row.how))
        view = self._ctx.view.get_or_add(agent)
        if msg.runs:
            view.seen = max(view.seen, msg.runs[-1].number)
        if view.is_leaving:
            # It ends once its last runs are acknowledged.
            self._ctx.echo(view)
        self._placer.call_soon()

    @on_message.register
    def _(self, msg: Holding, agent: str) -> None:
        self._ends.compare(msg, agent)

    @on_message.register
    def _(self, msg: ConfigWanted, agent: str) -> None:
        self._config_transfer.on_wanted(msg, agent)

    @on_message.register
    def _(self, msg: ConfigPiece, agent: str) -> None:
        self._config_transfer.take(msg, agent)

    @on_message.register
    def _(self, msg: Evacuated, agent: str) -> None:
        self._evacuation_broadcast.take(msg, agent)

    def _on_evacuations(self, evacuations: Evacuations) -> None:
        self._ctx.view.evacuated = evacuations.failure_domains
        self._placer.call_soon()

    # Losses

    def _on_open(self, hello: Hello) -> None:
        # Before anything is assigned there: the agent may have just started.
        self._evacuation_broadcast.send_to(hello.process)
        self._ends.opened_at[hello.process] = self._ctx.clock.now()
        self._ctx.window.forget(hello.process)
        # The connection may have taken the place of a silent one, and the chain be nearly over.
        self._ctx.view.get_or_add(hello.process).echoed_at = 0.0

    def _on_close(self, agent: str) -> None:
        """Keep what the agent holds until it is surely over: it may connect again."""
        view = self._ctx.view.agents.get(agent)
        if view is not None:
            view.set_offered(NO_RESOURCES)
        self._ctx.window.forget(agent)

    # Upkeep

    def run_loops(self) -> list[gevent.Greenlet]:
        """Spawn the loops of this controller."""
        return [
            gevent.spawn(run_periodically, 0.0, self._step_and_rest),
            gevent.spawn(run_periodically, LOSS_CHECK_INTERVAL_S, self.check_losses),
        ]

    def _step_and_rest(self) -> None:
        self.tick()
        gevent.sleep(TICK_S if self._ctx.backlog else IDLE_STEP_S)

    def check_losses(self) -> None:
        """End what lost agents had, and close connections that have been silent for long."""
        now = self._ctx.clock.now()
        for process in list(self._ctx.view.agents):
            if self._ctx.view.is_over(process, now):
                self._ends.lose(process, "silent for longer than every lease")
        self._ctx.links.close_idle()

    def tick(self) -> None:
        """One round: passed deadlines, jobs that cannot be in time, placing."""
        now = self._ctx.clock.now()
        for handle in list(self._ctx.jobs.values()):
            if now >= handle.job.deadline:
                self._ctx.give_up(handle.job, "deadline passed")
        self._correct_window(now)
        if self._ctx.backlog:
            self._admitting.decide(now)
            self._placer.place()

    def _correct_window(self, now: float) -> None:
        window = self._ctx.window
        before = window.limit
        window.correct(now)
        if window.limit < before:
            logger.bind(limit_bytes=window.limit, before=before, on_way_bytes=window.on_way).info(
                "link is full"
            )
        self._ctx.metrics.gauge("link_window_bytes", window.limit)

    def accepts(self, spec: JobSpec) -> bool:
        """Whether a job can be expected to end before this process does."""
        return finishes_before_shutdown(
            longest_chain_s(spec), self._shutdown_at - self._ctx.clock.now()
        )

    def shut_down(self, linger_s: float, until: float) -> None:
        """Take what can still end before ``until``, for ``linger_s`` at least, and answer all.

        Callers keep their connections for some time after the balancer has been told.
        """
        self.begin_shutdown(until)
        gevent.sleep(linger_s)
        while not self.is_drained() and self._ctx.clock.now() < until:
            gevent.sleep(LEAVE_CHECK_S)
        self._shutdown_at = self._ctx.clock.now()
        for handle in list(self._ctx.jobs.values()):
            self._ctx.give_up(handle.job, "the entry ends")

    def begin_shutdown(self, until: float) -> None:
        """Take only what can be expected to end before ``until``."""
        self.shutting_down = True
        self._shutdown_at = until

    def is_drained(self) -> bool:
        """Whether no job has been here for a while; from then on none is taken.

        A job taken between the last answer and the end of the process would be cut off.
        """
        now = self._ctx.clock.now()
        if self._ctx.jobs:
            self._idle_since = None
            return False
        if self._idle_since is None:
            self._idle_since = now
        if now - self._idle_since < LAST_REQUESTS_S:
            return False
        self._shutdown_at = now
        return True
