"""Runs the tasks that entries assign at the endpoint beside the agent."""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

import gevent

from ..clock import Clock, run_periodically
from ..messages import Hello
from ..metrics import Metrics
from .agent_context import AgentContext, job_id_of
from .agent_messages import AgentMessages
from .agent_shutdown import AgentShutdown
from .cancel_broadcast import CancelBroadcast
from .config_feed import ConfigFeed
from .config_transfer import ConfigTransfer
from .endpoint_health import EndpointHealth
from .endpoint_poller import EndpointPoller, PollerHooks
from .endpoint_states import EndpointStates
from .endpoint_tracker import EndpointTracker, TrackerHooks
from .entry_leases import REPORT_INTERVAL_S
from .entry_reporter import EntryReporter, Load
from .evacuation_broadcast import EvacuationBroadcast
from .evacuations import Evacuations
from .fallback_reader import FallbackReader
from .grants import LATE_HEADROOM_RATIO
from .links import Links
from .messages import Holding, RunRef
from .model import (
    EndpointDriver,
    EndpointReport,
)
from .resources import Resources
from .run_monitor import RunMonitor
from .run_starter import RunStarter
from .run_state import FinishedRun
from .run_stopper import RunStopper
from .run_table import RunTable
from .settings import LeasedSettings
from .view_broadcast import ViewBroadcast
from .view_keeper import ViewKeeper

MAINTENANCE_INTERVAL_S = REPORT_INTERVAL_S / 2
"""Interval between checks of entry leases and of due load reports while runs are active."""


class Agent:
    """Runs tasks at one endpoint and reports to entries how their runs ended.

    It accounts for the endpoint's resources exactly, and never has two runs of one task active.

    Parameters
    ----------
    cfg : LeasedSettings
        Settings of the process.
    driver : EndpointDriver
        Client of the endpoint.
    links : Links
        Connections to entries; the agent sets their callbacks.
    feed : ConfigFeed
        Newest configuration, which the agent passes on to entries.
    metrics : Metrics
        Counters and histograms.
    clock : Clock
        Monotonic time and deferred calls.

    Attributes
    ----------
    on_message : callable
        Handles a message of an entry.
    fallback_reader : FallbackReader
        Reads evacuations from the store while no entry does.
    shutdown : AgentShutdown
        Drains the agent when its process has to stop.

    Examples
    --------
    ``agent.on_report(report)`` handles a heartbeat of the endpoint, ``agent.run_loops()`` spawns
    the background loops, ``agent.shutdown.run(deadline)`` drains the agent.
    """

    def __init__(
        self,
        cfg: LeasedSettings,
        driver: EndpointDriver,
        links: Links,
        feed: ConfigFeed,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        ctx = AgentContext(cfg, driver, links, feed, metrics, clock)
        self._ctx = ctx
        self._config_transfer = ConfigTransfer(feed, links, clock)
        self._evacuation_broadcast = EvacuationBroadcast(
            feed.evacuations, links, self._on_evacuations
        )
        self._view_broadcast = ViewBroadcast(ViewKeeper(clock), links)
        self.on_report_change: Callable[[EndpointReport | None], None] = lambda report: None
        self._stopper = RunStopper(ctx)
        ctx.cancel_broadcast = CancelBroadcast(links, metrics, clock, self._on_cancelled)
        self._starter = RunStarter(ctx, self._stopper)
        self._monitor = RunMonitor(ctx, self._stopper)
        ctx.tracker = EndpointTracker(
            cfg,
            driver,
            ctx.table,
            feed,
            metrics,
            clock,
            TrackerHooks(self._on_switched, self._on_report_changed, self._on_capacity_changed),
        )
        hooks = PollerHooks(
            self._stopper.stop_expired,
            partial(self._update_endpoint, ctx.tracker.detach),
            partial(self._update_endpoint, ctx.tracker.on_restarted),
            self._on_polled,
            self._on_unanswered_poll,
        )
        ctx.poller = EndpointPoller(driver, ctx.table, metrics, clock, ctx.lease_s, hooks)
        self._states = EndpointStates(ctx)
        ctx.reporter = EntryReporter(links, clock, self._current_load, ctx.has_runs_of)
        self.shutdown = AgentShutdown(ctx, self._starter, self._stopper, self._states)
        self.on_message = AgentMessages(
            ctx,
            self._starter,
            self._stopper,
            self._config_transfer,
            self._evacuation_broadcast,
            self._view_broadcast,
        ).handle
        self.fallback_reader = FallbackReader(ctx, Random(cfg.name))
        self._leases = ctx.reporter.leases
        links.on_open = self._on_open
        links.on_close = self._on_close
        links.on_message = self.on_message

    # Endpoint

    @property
    def report(self) -> EndpointReport | None:
        """Newest heartbeat of the current incarnation of the endpoint."""
        return self._ctx.report

    @property
    def tracker(self) -> EndpointTracker:
        """Tracker of the endpoint's current incarnation."""
        return self._ctx.tracker

    @property
    def poller(self) -> EndpointPoller:
        """Poller of the endpoint."""
        return self._ctx.poller

    @property
    def table(self) -> RunTable:
        """Runs at the endpoint and the resources that they hold."""
        return self._ctx.table

    @property
    def health(self) -> EndpointHealth:
        """Health of the endpoint, judged by its runs."""
        return self._ctx.health

    def on_report(self, report: EndpointReport) -> None:
        """Handle a heartbeat of the endpoint."""
        self._update_endpoint(self._ctx.tracker.handle_heartbeat, report)
        if self.report is report and report.draining:
            self._monitor.stop_unfinishable(report.drain_remaining_s)

    def on_unreadable_heartbeat(self, endpoint: str, reason: str) -> None:
        """Count and log a heartbeat that cannot be decoded."""
        self._ctx.tracker.unreadable.record(endpoint, reason)

    def on_shutdown_notice(self, endpoint: str, born: int = 0) -> None:
        """Handle a shutdown notice; ``born`` is 0 if it does not carry the endpoint's start."""
        self._update_endpoint(self._ctx.tracker.handle_shutdown_notice, endpoint, born)

    def _update_endpoint(self, change: Callable[..., None], *args: Any) -> None:
        """Apply a change to the tracked endpoint, and notify entries if its state differs."""
        before = self._states.current()
        change(*args)
        if self._states.current() != before:
            self._states.send()
            self._ctx.reporter.schedule_report()
            # Added capacity goes to those who wait, without another message of theirs.
            self._ctx.reporter.offer_resources()

    def _on_switched(self, endpoint: str, finished: list[FinishedRun]) -> None:
        """Switch to another incarnation, or to none; nothing known of the last one is kept."""
        self._ctx.health = EndpointHealth()
        if endpoint:
            self._ctx.poller.attach(endpoint)
        else:
            self._ctx.poller.detach()
        self._ctx.handle_finished(finished)

    def _on_report_changed(self, report: EndpointReport | None) -> None:
        self.on_report_change(report)

    def _on_capacity_changed(self, capacity: Resources) -> None:
        """Fit headroom and open grants to the capacity; offers follow with the next report."""
        grants = self._ctx.reporter.grants
        grants.late_headroom = Resources(int(capacity.cpu * LATE_HEADROOM_RATIO))
        grants.shrink_to(self._ctx.table.resources.free)

    @property
    def known_entries(self) -> int:
        """Number of entries known from announcements, connected or not."""
        return self._ctx.reporter.shares.known_entries

    @known_entries.setter
    def known_entries(self, count: int) -> None:
        self._ctx.reporter.shares.known_entries = count

    @property
    def is_accepting(self) -> bool:
        """Whether new runs may begin here."""
        return self._ctx.is_accepting

    def run_loops(self) -> list[gevent.Greenlet]:
        """Spawn the background loops."""
        return [
            gevent.spawn(self._ctx.poller.run),
            gevent.spawn(run_periodically, 0.0, self._maintain),
            gevent.spawn(self.fallback_reader.run),
        ]

    def _maintain(self) -> None:
        """Check leases, send due reports and wait, longer while no run depends on it."""
        self.check_entry_leases()
        self.send_due_reports()
        gevent.sleep(
            MAINTENANCE_INTERVAL_S
            if self._ctx.table.runs or self._ctx.table.unknown_runs
            else REPORT_INTERVAL_S
        )

    def poll(self) -> bool:
        """Poll the endpoint once and renew its run leases; false if it did not answer."""
        return self._ctx.poller.poll()

    def _on_polled(self, finished: list[FinishedRun], reconciled_changed: bool) -> None:
        """Report ended runs, stop stalled ones and offer the resources that were released."""
        self._ctx.handle_finished(finished)
        self._monitor.check_progress()
        self._stopper.send_due_stops()
        if reconciled_changed:
            self._states.send()
        if finished:
            self._ctx.reporter.offer_resources()
        self._ctx.tracker.detach_if_departed()

    def _on_unanswered_poll(self, became_silent: bool) -> None:
        if became_silent:
            self._ctx.reporter.schedule_report()
        if self._ctx.table.runs and self._ctx.clock.now() > self._ctx.driver.lease_end():
            self._ctx.handle_finished(self._ctx.table.expire_all())
        self._ctx.tracker.detach_if_departed()

    # Runs

    def _on_cancelled(self, job_ids: list[str]) -> None:
        """Stop the runs of jobs that were cancelled at any entry."""
        now = self._ctx.clock.now()
        cancelled = set(job_ids)
        for key in list(self._ctx.table.runs):
            if job_id_of(key[0]) in cancelled:
                self._stopper.stop_in_time(key, "its job was cancelled", now)
        self._stopper.send_due_stops()

    def _on_evacuations(self, _evacuations: Evacuations) -> None:
        self._states.send()
        self._ctx.reporter.schedule_report()

    def check_entry_leases(self) -> None:
        """Stop the runs of entries whose lease has expired, and reopen silent connections."""
        now = self._ctx.clock.now()
        self._stopper.stop_expired()
        for entry in self._ctx.links.processes():
            if self._leases.is_overdue(entry, now, self._ctx.has_runs_of(entry)):
                self._ctx.links.reconnect(entry)
        self._ctx.reporter.drop_expired_entries(now)
        self._ctx.links.close_idle()

    # Entries

    def _on_open(self, hello: Hello) -> None:
        if hello.role != "entry":
            return
        entry = hello.process
        held = [RunRef(*run.key) for run in self._ctx.table.of_entry(entry)]
        held += [RunRef(*key) for key in sorted(self._starter.replacing)]
        self._evacuation_broadcast.send_to(entry)
        self._view_broadcast.send_to(entry)
        self._ctx.cancel_broadcast.send_all(entry)
        self._states.send_to(entry)
        self._ctx.links.send(entry, Holding(self._ctx.reporter.applied.get(entry, 0), held))
        self._ctx.reporter.resend_ended(entry)
        self._ctx.reporter.schedule_report()

    def _on_close(self, entry: str) -> None:
        """Drop the entry's grant; its runs go on until its lease expires, as it may reconnect."""
        self._ctx.reporter.grants.remove(entry)

    def stop_offering(self, entries: set[str]) -> set[str]:
        """Offer no more resources to entries; return those that had none on offer and are idle."""
        idle = {
            entry
            for entry in entries & self._ctx.reporter.not_offered
            if not self._is_in_use(entry)
        }
        self._ctx.reporter.not_offered = entries - idle
        return idle

    def _is_in_use(self, entry: str) -> bool:
        return bool(self._ctx.table.of_entry(entry)) or self._ctx.reporter.awaits_acknowledgement(
            entry
        )

    def _current_load(self) -> Load:
        slowness_percent = self._ctx.health.speed.percent(self._ctx.clock.now())
        return Load(
            self._ctx.offered(),
            slowness_percent,
            self._ctx.feed.version,
            self._ctx.max_estimate_ms(),
            self._ctx.table.resources.capacity.cpu,
        )

    def send_reports(self) -> None:
        """Send a load report to every entry."""
        self._ctx.reporter.send_reports()

    def send_due_reports(self) -> None:
        """Send a load report to each entry for which one is due."""
        self._ctx.reporter.send_due_reports()
