"""The agent: the only one that starts anything at the endpoint beside it."""

from collections.abc import Callable
from functools import partial, singledispatchmethod
from typing import Any

import gevent
from loguru import logger

from ..clock import Clock, run_periodically
from ..messages import (
    Assign,
    ConfigPiece,
    ConfigWanted,
    EndpointState,
    Evacuated,
    Hello,
    Holding,
    LoadEcho,
    Message,
    RunRef,
    Withdraw,
)
from ..metrics import Metrics
from .agent_context import AgentContext
from .config_feed import ConfigFeed
from .config_transfer import ConfigTransfer
from .endpoint_health import EndpointHealth
from .endpoint_poller import EndpointPoller, LookHooks
from .endpoint_tracker import EndpointTracker, TrackerHooks
from .entry_leases import REPORT_INTERVAL_S
from .entry_reporter import EntryReports, Load
from .evacuation_broadcast import EvacuationBroadcast
from .evacuations import Evacuations
from .grants import LATE_RESERVE
from .links import Links
from .model import (
    EndpointDriver,
    EndpointReport,
    RunOutcome,
)
from .payloads import decode_payload
from .resources import Resources
from .run_monitor import RunWatch
from .run_starter import RunStarts
from .run_stopper import RunStops
from .run_table import Finished, RunTable
from .settings import LeasedSettings

MAINTENANCE_INTERVAL_S = REPORT_INTERVAL_S / 2
"""Seconds between checks of the entries' leases and of reports that are due, while something runs.
One loop of 16 turns a second took the place of three of 38: a turn that does nothing costs some
80 us of processor."""


LAST_ORDERS_S = 0.05
"""Seconds that an idle leaving agent waits for orders on their way, which it refuses: ten one-way
delays between failure domains, and some for a busy processor."""


class Agent:
    """Guards one endpoint: exact room, one run of a task at a time, true ends.

    Parameters
    ----------
    cfg : LeasedSettings
        The settings.
    driver : EndpointDriver
        How the endpoint is spoken to.
    links : Links
        Connections to entries; the agent sets their callbacks.
    feed : ConfigFeed
        The newest configuration, which the agent hands on.
    metrics : Metrics
        Counters.
    clock : Clock
        Time and deferred calls.

    Examples
    --------
    ``agent.on_report(report)`` takes an endpoint's heartbeat, ``agent.run_loops()`` spawns what
    runs for as long as the process lives, ``agent.shut_down(deadline)`` ends it without loss.
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
        self._idle_since: float | None = None
        self.on_report_change: Callable[[EndpointReport | None], None] = lambda report: None
        self._stops = RunStops(ctx)
        self._starts = RunStarts(ctx, self._stops)
        self._watch = RunWatch(ctx, self._stops)
        ctx.tracker = EndpointTracker(
            cfg, driver, ctx.table, feed, metrics, TrackerHooks(self._on_turn, self._on_news)
        )
        hooks = LookHooks(
            self._stops.stop_unechoed,
            partial(self._follow, ctx.tracker.detach),
            partial(self._follow, ctx.tracker.started_again),
            self._on_looked,
            self._on_silence,
        )
        ctx.poller = EndpointPoller(driver, ctx.table, metrics, clock, ctx.lease_s, hooks)
        ctx.reports = EntryReports(links, clock, self._load, ctx.has_runs_of)
        self._chain = ctx.reports.chain
        links.on_open = self._on_open
        links.on_close = self._on_close
        links.on_message = self.on_message

    # The endpoint

    @property
    def report(self) -> EndpointReport | None:
        """The newest heartbeat of the endpoint at work."""
        return self._ctx.report

    @property
    def tracker(self) -> EndpointTracker:
        """What follows the endpoint."""
        return self._ctx.tracker

    @property
    def poller(self) -> EndpointPoller:
        """What looks at the endpoint."""
        return self._ctx.poller

    @property
    def table(self) -> RunTable:
        """The account of the endpoint's runs."""
        return self._ctx.table

    @property
    def health(self) -> EndpointHealth:
        """How the endpoint's runs fare."""
        return self._ctx.health

    def on_report(self, report: EndpointReport) -> None:
        """Take in a heartbeat of the endpoint beside this agent."""
        self._follow(self._ctx.tracker.hear, report)
        if self.report is report and report.draining:
            self._watch.move_what_cannot_end(report.drain_remaining_s)

    def on_unreadable_heartbeat(self, endpoint: str, reason: str) -> None:
        """Pass over a heartbeat that says nothing usable."""
        self._ctx.tracker.unreadable(endpoint, reason)

    def on_shutdown_notice(self, endpoint: str, born: int = 0) -> None:
        """Take in an endpoint's word that it ends; ``born`` is 0 where its start is not told."""
        self._follow(self._ctx.tracker.farewell, endpoint, born)

    def _follow(self, change: Callable[..., None], *args: Any) -> None:
        """Change what is known of the endpoint, and tell entries if that changes its state."""
        before = self._state()
        change(*args)
        if self._state() != before:
            self._tell_state()
            self._ctx.reports.load_soon()

    def _on_turn(self, endpoint: str, finished: list[Finished]) -> None:
        """Follow another life of the endpoint, or none: what was known of the last one ends."""
        self._ctx.health = EndpointHealth()
        if endpoint:
            self._ctx.poller.turn_to(endpoint)
        else:
            self._ctx.poller.stop_offering()
        self._ctx.end_all(finished)

    def _on_news(self, report: EndpointReport | None) -> None:
        if report is not None:
            self._ctx.reports.grants.late_reserve = Resources(
                int(report.capacity.cpu * LATE_RESERVE)
            )
        self.on_report_change(report)

    @property
    def is_accepting(self) -> bool:
        """Whether new runs may begin here."""
        return self._ctx.is_accepting

    def run_loops(self) -> list[gevent.Greenlet]:
        """Spawn the loops of this controller."""
        return [
            gevent.spawn(self._ctx.poller.run),
            gevent.spawn(run_periodically, 0.0, self._keep_up),
        ]

    def _keep_up(self) -> None:
        """Check the chains and report, and wait for the next turn: at rest no run depends on it."""
        self.check_entry_leases()
        self.send_due_reports()
        gevent.sleep(
            MAINTENANCE_INTERVAL_S
            if self._ctx.table.runs or self._ctx.table.foreign
            else REPORT_INTERVAL_S
        )

    def poll(self) -> bool:
        """Look at the endpoint once, renewing its lease; false when it did not answer."""
        return self._ctx.poller.poll()

    def _on_looked(self, finished: list[Finished], clean_changed: bool) -> None:
        """Act on a look: report ends, stop what stands still, offer the room that is free."""
        self._ctx.end_all(finished)
        self._watch.watch_progress()
        self._stops.stop_due()
        if clean_changed:
            self._tell_state()
        if finished:
            self._ctx.reports.offer_room()

    def _on_silence(self, newly: bool) -> None:
        if newly:
            self._ctx.reports.load_soon()
        if self._ctx.table.runs and self._ctx.clock.now() > self._ctx.driver.lease_end():
            self._ctx.end_all(self._ctx.table.lose_all())

    # Runs

    @singledispatchmethod
    def on_message(self, msg: Message, entry: str) -> None:
        """Take in what an entry sent."""
        logger.bind(peer=entry).warning("{} is not handled", type(msg).__name__)

    @on_message.register
    def _(self, msg: Assign, entry: str) -> None:
        now = self._ctx.clock.now()
        self._chain.record_echo(entry, msg.echo)
        self._ctx.reports.applied[entry] = max(msg.number, self._ctx.reports.applied.get(entry, 0))
        fresh = self._chain.holds(entry, now)
        refused = False
        payloads = [decode_payload(payload) for payload in msg.payloads]
        for task in msg.tasks:
            payload = payloads[task.payload]
            how = self._starts.begin(task, payload, entry) if fresh else RunOutcome.NOT_STARTED
            if how is not None:
                refused = True
                self._ctx.metrics.count("runs_refused", label=how.name.lower())
                logger.bind(
                    task=task.name,
                    run=task.run,
                    peer=entry,
                    how=how.name.lower(),
                    chain_holds=fresh,
                    free_cpu=self._ctx.table.room.free.cpu,
                    accepting=self._ctx.is_accepting,
                ).info("run not begun")
                self._ctx.reports.ended(entry, task.name, task.run, how, 0)
        self._ctx.reports.flush_ended(entry)
        self._ctx.reports.answered(entry, refused, msg.claims)

    @on_message.register
    def _(self, msg: Withdraw, entry: str) -> None:
        for ref in msg.runs:
            key = (ref.task, ref.run)
            run = self._ctx.table.runs.get(key)
            if run is not None and run.entry == entry:
                self._stops.stop(key, RunOutcome.STOPPED, "withdrawn")
            else:
                self._starts.take_back(key, entry)
        self._stops.stop_due()
        self._ctx.reports.flush_ended(entry)

    @on_message.register
    def _(self, msg: LoadEcho, entry: str) -> None:
        self._chain.record_echo(entry, msg.number)
        self._ctx.reports.seen(entry, msg.seen)
        self._ctx.reports.claimed(entry, msg.claims, msg.gives_back)
        self._config_transfer.on_version(entry, msg.config_version)

    @on_message.register
    def _(self, msg: Evacuated, entry: str) -> None:
        self._evacuation_broadcast.take(msg, entry)

    def _on_evacuations(self, _evacuations: Evacuations) -> None:
        self._tell_state()
        self._ctx.reports.load_soon()

    @on_message.register
    def _(self, msg: ConfigWanted, entry: str) -> None:
        self._config_transfer.on_wanted(msg, entry)

    @on_message.register
    def _(self, msg: ConfigPiece, entry: str) -> None:
        self._config_transfer.take(msg, entry)

    def check_entry_leases(self) -> None:
        """Stop the runs of entries that no longer echo, and open connections in place of silent
        ones."""
        now = self._ctx.clock.now()
        self._stops.stop_unechoed()
        for entry in self._ctx.links.processes():
            if self._chain.is_quiet(entry, now, self._ctx.has_runs_of(entry)):
                self._ctx.links.reconnect(entry)
        self._ctx.reports.forget_silent(now)
        self._ctx.links.close_idle()

    # Ends

    # Entries

    def _on_open(self, hello: Hello) -> None:
        if hello.role != "entry":
            return
        entry = hello.process
        held = [RunRef(*run.key) for run in self._ctx.table.of_entry(entry)]
        held += [RunRef(*key) for key in sorted(self._starts.replacing)]
        self._evacuation_broadcast.send_to(entry)
        self._ctx.links.send(entry, self._state())
        self._ctx.links.send(entry, Holding(self._ctx.reports.applied.get(entry, 0), held))
        self._ctx.reports.resend_ended(entry)
        self._ctx.reports.load_soon()

    def _on_close(self, entry: str) -> None:
        """Keep what the entry runs until its lease is over: it may connect again."""
        self._ctx.reports.grants.forget(entry)

    def _state(self) -> EndpointState:
        report = self.report
        if report is None:
            return EndpointState(
                "", self._ctx.cfg.service, self._ctx.cfg.failure_domain, 0, 0, 0, [], False
            )
        return EndpointState(
            report.endpoint,
            report.service,
            report.failure_domain,
            *report.capacity,
            list(report.labels),
            self._ctx.is_accepting,
            report.born,
        )

    def _tell_state(self) -> None:
        for entry in self._ctx.links.processes():
            self._ctx.links.send(entry, self._state())

    def stop_offering(self, entries: set[str]) -> set[str]:
        """Offer some entries no room any more; those of them that run nothing here."""
        idle = {
            entry for entry in entries & self._ctx.reports.not_offered if not self._serves(entry)
        }
        self._ctx.reports.not_offered = entries - idle
        return idle

    def _serves(self, entry: str) -> bool:
        return bool(self._ctx.table.of_entry(entry)) or self._ctx.reports.awaits(entry)

    def _load(self) -> Load:
        slowness_percent = int(self._ctx.health.slowness() * 100)
        return Load(
            self._ctx.offered(),
            slowness_percent,
            self._ctx.feed.version,
            self._ctx.longest_ms(),
        )

    def send_load(self) -> None:
        """Report the room on offer to every entry."""
        self._ctx.reports.send_load()

    def send_due_reports(self) -> None:
        """Report the room on offer to the entries whose turn it is."""
        self._ctx.reports.send_due_reports()

    # Leaving

    def begin_shutdown(self, until: float) -> None:
        """Begin only what can be expected to end before ``until``.

        The endpoint is then used nearly up to the end, instead of idling beside its longest run:
        when four of eleven agents were stopped within 4 s, 150 of 200 cores were in use.
        """
        self._ctx.leaving = True
        self._ctx.leaves_at = until
        self.send_load()

    def is_drained(self) -> bool:
        """Whether nothing runs any more; from the first such moment on, nothing begins."""
        if self._ctx.table.runs or self._starts.replacing:
            return False
        now = self._ctx.clock.now()
        if self._idle_since is None:
            self._idle_since = now
            self._ctx.leaves_at = now
            self._tell_state()
            self.send_load()
        return now - self._idle_since > LAST_ORDERS_S

    def shut_down(self, until: float) -> None:
        """Let what runs end, and move the rest before ``until``."""
        self.begin_shutdown(until)
        while not self.is_drained() and self._ctx.clock.now() < until:
            gevent.sleep(0.02)
        self._ctx.leaves_at = self._ctx.clock.now()
        self._tell_state()
        for key in list(self._ctx.table.runs):
            self._stops.stop(key, RunOutcome.STOPPED, "the agent ends")
        self._stops.stop_due()
        last = self._ctx.clock.now() + 0.3
        while (
            self._ctx.table.runs or self._ctx.reports.has_unseen
        ) and self._ctx.clock.now() < last:
            gevent.sleep(0.02)
