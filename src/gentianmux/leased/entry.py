"""The entry: coordinates the jobs of its callers over all connected agents."""

from functools import singledispatchmethod

import gevent
from loguru import logger

from ..clock import Clock, run_periodically
from ..messages import Hello, Message
from ..metrics import Metrics
from .admission_controller import AdmissionController
from .config_feed import ConfigFeed
from .config_transfer import ConfigTransfer
from .entry_context import EntryContext
from .entry_leases import MIN_ECHO_INTERVAL_S
from .entry_shutdown import EntryShutdown
from .evacuation_broadcast import EvacuationBroadcast
from .evacuations import Evacuations
from .fleet_view import FleetView
from .job_canceller import JobCanceller
from .job_handle import JobHandle, JobResult
from .job_locks import JobLocks
from .job_state import JobOutcome, JobState
from .links import Links
from .messages import (
    AgentLoad,
    Cancelled,
    CancelledSeen,
    ConfigPiece,
    ConfigWanted,
    EndedRuns,
    EndpointState,
    EntriesKnown,
    Evacuated,
    Holding,
    JobsLocked,
    LockJobs,
    LocksHeld,
)
from .model import JobSpec, QueueConfig, RunOutcome
from .pauses import PauseDetector
from .placer import Placer
from .resources import NO_RESOURCES
from .run_completions import RunCompletions
from .view_broadcast import ViewBroadcast
from .view_keeper import ViewKeeper

TICK_S = 0.01
"""Seconds between checks of deadlines and decisions; short jobs are decided within a few of
them."""

IDLE_TICK_S = 0.025
"""The same while no task waits for resources: a new job is placed as it arrives, and decided
later."""

LOSS_CHECK_INTERVAL_S = 0.05
"""Seconds between checks for lost agents, which are given up 1.1 s after their last report."""


class Entry:
    """Admits jobs, assigns their tasks to agents, and gives each caller the complete answer.

    Parameters
    ----------
    view : FleetView
        State of the agents.
    links : Links
        Connections to agents; the entry sets their callbacks.
    feed : ConfigFeed
        The newest configuration.
    metrics : Metrics
        Counters.
    clock : Clock
        Time and deferred calls.
    link_bytes_s : float
        Configured bandwidth of the instance's link in bytes per second; 0 when not configured.
    started_at : float, optional
        Monotonic time of the start of the process, in seconds; now by default.

    Attributes
    ----------
    shutdown : EntryShutdown
        Drains the entry when its process has to stop.
    views : ViewKeeper
        The view of the entries that confirm jobs.
    view_broadcast : ViewBroadcast
        Exchanges it with peers.
    locks : JobLocks
        Confirms jobs.

    Examples
    --------
    ``handle = entry.submit(spec, queue, time_limit_s=5.0)``, then ``handle.done.wait()``.
    """

    def __init__(
        self,
        view: FleetView,
        links: Links,
        feed: ConfigFeed,
        metrics: Metrics,
        clock: Clock,
        link_bytes_s: float = 0.0,
        started_at: float | None = None,
    ) -> None:
        self._ctx = EntryContext(view, links, feed, metrics, clock, link_bytes_s)
        self._config_transfer = ConfigTransfer(feed, links, clock)
        self._evacuation_broadcast = EvacuationBroadcast(
            feed.evacuations, links, self._on_evacuations
        )
        self._completions = RunCompletions(self._ctx)
        self.canceller = JobCanceller(self._ctx)
        self.views = ViewKeeper(clock)
        self.view_broadcast = ViewBroadcast(self.views, links)
        self.locks = JobLocks(
            self._ctx, self.views, self._place, clock.now() if started_at is None else started_at
        )
        self.views.listeners.append(self.locks.on_view)
        self._ctx.on_finished = self.locks.on_finished
        self._ctx.refresh_locks = self.locks.refresh
        self._admission_controller = AdmissionController(self._ctx)
        self._placer = Placer(self._ctx, self._completions, self._admission_controller.policies)
        self.shutdown = EntryShutdown(self._ctx)
        self._suspensions = clock.suspensions()
        self._pauses = PauseDetector(clock.now())
        links.on_open = self._on_open
        links.on_close = self._on_close
        links.on_message = self.on_message

    @property
    def jobs(self) -> dict[str, JobHandle]:
        """Unfinished jobs by their ids."""
        return self._ctx.jobs

    @property
    def is_ready(self) -> bool:
        """Whether callers should be routed here."""
        reachable = self._ctx.view.is_reachable(self._ctx.clock.now())
        has_config = self._ctx.feed.current is not None
        return not self.shutdown.has_begun and has_config and reachable and self.locks.can_confirm()

    # Jobs

    def submit(self, spec: JobSpec, queue: QueueConfig, time_limit_s: float) -> JobHandle:
        """Admit a job, or join the unfinished job of the same id.

        Parameters
        ----------
        spec : JobSpec
            The job.
        queue : QueueConfig
            Configuration of its queue.
        time_limit_s : float
            Seconds after which the job is given up.
        """
        self._check_suspension()
        running = self._ctx.jobs.get(spec.job_id)
        if running is not None:
            self._ctx.metrics.count("jobs_joined")
            return running
        now = self._ctx.clock.now()
        cancelled = self.canceller.finished_handle(spec, queue, now)
        if cancelled is not None:
            return cancelled
        job = JobState(spec, queue, now, now + time_limit_s)
        handle = JobHandle(job)
        self._ctx.jobs[spec.job_id] = handle
        self._ctx.metrics.count("jobs_admitted")
        self._admission_controller.policies[queue.service].record_arrival(job, now)
        self.locks.acquire(handle)
        return handle

    def _place(self) -> None:
        self._placer.place()

    def now(self) -> float:
        """Monotonic time in seconds, the clock of job deadlines."""
        return self._ctx.clock.now()

    def unstarted_jobs(self, queue: str) -> int:
        """Number of jobs of a queue that have not begun."""
        waiting = (job for job in self._ctx.backlog if not job.began)
        return sum(1 for job in waiting if job.queue.name == queue)

    def abandon(self, handle: JobHandle, reason: str) -> None:
        """Stop a job that nobody waits for any more."""
        self._ctx.finish(handle.job, JobResult(JobOutcome.UNKNOWN, reason))

    # Messages from agents

    @singledispatchmethod
    def on_message(self, msg: Message, agent: str) -> None:
        """Handle a message from an agent."""
        logger.bind(peer=agent).warning("unexpected message {}", type(msg).__name__)

    @on_message.register
    def _(self, msg: AgentLoad, agent: str) -> None:
        view = self._ctx.view.get_or_add(agent)
        now = self._ctx.clock.now()
        view.apply_report(msg, now)
        self._ctx.window.acknowledged(agent, msg.applied, now)
        self._config_transfer.on_version(agent, msg.config_version)
        if view.free.cpu > 0:
            self._placer.place_soon()
        # Return resources that are granted to tasks that no longer wait.
        gives_back = not self._ctx.backlog and bool(view.sent_signature)
        if gives_back or self._ctx.clock.now() - view.echoed_at >= MIN_ECHO_INTERVAL_S:
            self._ctx.echo(view)

    @on_message.register
    def _(self, msg: EndpointState, agent: str) -> None:
        view = self._ctx.view.get_or_add(agent)
        before = view.state
        view.state = msg
        if before is not None and before.incarnation != msg.incarnation:
            view.slowness = 0.0
        view.last_heard_at = self._ctx.clock.now()
        if before != msg:
            logger.bind(
                peer=agent, endpoint=msg.incarnation, accepting=msg.accepting, service=msg.service
            ).info("endpoint state")
        if msg.accepting:
            self._completions.lose_earlier_processes(agent)
        self._placer.place_soon()

    @on_message.register
    def _(self, msg: EndedRuns, agent: str) -> None:
        for row in msg.runs:
            self._completions.record_end(agent, row.task, row.run, RunOutcome(row.how), row.ran_ms)
        view = self._ctx.view.get_or_add(agent)
        if msg.runs:
            view.last_ended_number = max(view.last_ended_number, msg.runs[-1].number)
        if view.is_shutting_down:
            # A stopping agent ends once its last runs are acknowledged.
            self._ctx.echo(view)
        self._placer.place_soon()

    @on_message.register
    def _(self, msg: Holding, agent: str) -> None:
        self._completions.reconcile(msg, agent)

    @on_message.register
    def _(self, msg: ConfigWanted, agent: str) -> None:
        self._config_transfer.on_wanted(msg, agent)

    @on_message.register
    def _(self, msg: ConfigPiece, agent: str) -> None:
        self._config_transfer.take(msg, agent)

    @on_message.register
    def _(self, msg: Evacuated, agent: str) -> None:
        self._evacuation_broadcast.take(msg, agent)

    @on_message.register
    def _(self, msg: Cancelled, agent: str) -> None:
        self.canceller.broadcast.take(msg, agent)

    @on_message.register
    def _(self, msg: LockJobs, entry: str) -> None:
        self.locks.on_request(msg, entry)

    @on_message.register
    def _(self, msg: JobsLocked, entry: str) -> None:
        self.locks.on_answer(msg, entry)

    @on_message.register
    def _(self, msg: LocksHeld, entry: str) -> None:
        self.locks.on_held(msg, entry)

    @on_message.register
    def _(self, msg: EntriesKnown, peer: str) -> None:
        self.view_broadcast.take(msg, peer)

    @on_message.register
    def _(self, msg: CancelledSeen, agent: str) -> None:
        self.canceller.broadcast.take_seen(msg, agent)

    def _on_evacuations(self, evacuations: Evacuations) -> None:
        self._ctx.view.evacuated = evacuations.failure_domains
        self._placer.place_soon()

    # Connections

    def _on_open(self, hello: Hello) -> None:
        # Before any assignment: the agent may have just started.
        self._evacuation_broadcast.send_to(hello.process)
        self.canceller.broadcast.send_all(hello.process)
        self.view_broadcast.send_to(hello.process)
        if hello.role == self._ctx.links.me.role:
            self.locks.on_open(hello.process)
            return
        self._completions.opened_at[hello.process] = self._ctx.clock.now()
        self._ctx.window.forget(hello.process)
        # Echo the next report at once: the connection may replace a silent one, whose entry lease
        # is about to expire.
        self._ctx.view.get_or_add(hello.process).echoed_at = 0.0

    def _on_close(self, agent: str) -> None:
        """Keep the agent's runs until their leases have expired, since it may connect again."""
        if self.locks.peers.knows(agent):
            self.locks.on_close(agent)
            return
        view = self._ctx.view.agents.get(agent)
        if view is not None:
            view.set_offered(NO_RESOURCES)
        self._ctx.window.forget(agent)

    # Periodic work

    def run_loops(self) -> list[gevent.Greenlet]:
        """Spawn the periodic loops."""
        return [
            gevent.spawn(run_periodically, 0.0, self._tick_and_sleep),
            gevent.spawn(run_periodically, LOSS_CHECK_INTERVAL_S, self.check_losses),
        ]

    def _tick_and_sleep(self) -> None:
        self.tick()
        gevent.sleep(TICK_S if self._ctx.backlog else IDLE_TICK_S)

    def check_losses(self) -> None:
        """End the runs of lost agents, and close idle connections."""
        now = self._ctx.clock.now()
        for process in list(self._ctx.view.agents):
            if self._ctx.view.is_expired(process, now):
                self._completions.lose_process(process, "silent for longer than every lease")
        self._ctx.links.close_idle()

    def tick(self) -> None:
        """End jobs at their deadlines, decide waiting jobs, and place tasks."""
        self._check_suspension()
        now = self._ctx.clock.now()
        self.locks.tick(now)
        for handle in list(self._ctx.jobs.values()):
            if now >= handle.job.deadline:
                self._ctx.give_up(handle.job, "deadline passed")
        self._adjust_window(now)
        if self._ctx.backlog:
            self._admission_controller.decide(now)
            self._placer.place()

    def _check_suspension(self) -> None:
        """After a resume, start over with connections and with the wait for an agent."""
        if self._pauses.check(self._ctx.clock.now()):
            self._ctx.metrics.count("pauses")
        suspensions = self._ctx.clock.suspensions()
        if suspensions != self._suspensions:
            self._suspensions = suspensions
            self._ctx.links.close_idle()
            self._admission_controller.restart_waits()

    def _adjust_window(self, now: float) -> None:
        window = self._ctx.window
        before = window.limit
        window.adjust(now)
        if window.limit < before:
            logger.bind(
                limit_bytes=window.limit, before=before, on_way_bytes=window.in_flight_bytes
            ).info("link is full")
        self._ctx.metrics.gauge("link_window_bytes", window.limit)
