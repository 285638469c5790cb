"""Tracks the current incarnation of the endpoint beside an agent, and its newest heartbeat."""

from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from ..clock import Clock
from ..metrics import Metrics
from .config_feed import ConfigFeed
from .heartbeat_kind import HeartbeatKind, classify_heartbeat
from .model import EndpointDriver, EndpointReport
from .resources import NO_RESOURCES, Resources
from .run_state import FinishedRun
from .run_table import RunTable
from .settings import LeasedSettings
from .unreadable_heartbeats import UnreadableHeartbeats

ANNOUNCED_SEQUENCE = 0
"""Number of a report that was read from an announcement; heartbeats count from 1."""

SETTLE_S = 0.1
"""Seconds after a resume during which a heartbeat does not confirm the endpoint: it may have waited
in a socket since before the suspension."""

MAX_PRESENCE_PROBES = 3
"""How often an endpoint is asked whether a heartbeat of another incarnation is its own: answers may
be lost, and the next heartbeat is seconds away."""

_OTHER_INCARNATIONS = (HeartbeatKind.OTHER_ENDPOINT, HeartbeatKind.RESTARTED)


class TrackerHooks(NamedTuple):
    """Callbacks of a tracker.

    Attributes
    ----------
    on_switched : callable
        Called with the id of the endpoint that is tracked from now on, empty for none, and the
        runs that ended with the earlier incarnation.
    on_report_changed : callable
        Called with the first heartbeat of an incarnation and with each that changes whether it
        drains, and with None when the endpoint is gone.
    on_capacity_changed : callable
        Called with the capacity of each heartbeat that changes it.
    """

    on_switched: Callable[[str, list[FinishedRun]], None]
    on_report_changed: Callable[[EndpointReport | None], None]
    on_capacity_changed: Callable[[Resources], None]


class EndpointTracker:
    """Handles heartbeats and shutdown notices of the endpoint beside an agent.

    No state of one incarnation is carried over to the next: heartbeat numbers, acknowledged ended
    runs, clock, fence, health and whether it drains are all reset.

    Parameters
    ----------
    cfg : LeasedSettings
        Settings of the process.
    driver : EndpointDriver
        Client of the endpoint.
    table : RunTable
        Runs at the endpoint.
    feed : ConfigFeed
        Newest configuration, which names the services.
    metrics : Metrics
        Counters and histograms.
    clock : Clock
        Notices that the machine was suspended.
    hooks : TrackerHooks
        Callbacks.

    Attributes
    ----------
    report : EndpointReport or None
        Newest heartbeat of the current incarnation; None while there is none, it has not reported,
        or it has sent its shutdown notice.
    is_departing : bool
        Whether the endpoint has sent its shutdown notice, and runs there have yet to end.
    unreadable : UnreadableHeartbeats
        Records heartbeats that cannot be used; what is known of the endpoint stays.

    Examples
    --------
    ``tracker.handle_heartbeat(report)``, and ``tracker.handle_shutdown_notice("i-7f3a91c2", 0)``.
    """

    def __init__(
        self,
        cfg: LeasedSettings,
        driver: EndpointDriver,
        table: RunTable,
        feed: ConfigFeed,
        metrics: Metrics,
        clock: Clock,
        hooks: TrackerHooks,
    ) -> None:
        self.report: EndpointReport | None = None
        self.is_departing = False
        self._cfg = cfg
        self._driver = driver
        self._table = table
        self._feed = feed
        self._metrics = metrics
        self._clock = clock
        self._confirmed_in = clock.suspensions()
        self._hooks = hooks
        self._newest: EndpointReport | None = None
        self._tracked_id = ""
        self._switch_count = 0
        self._departed: tuple[str, int] | None = None
        self.unreadable = UnreadableHeartbeats(metrics)

    @property
    def is_confirmed(self) -> bool:
        """Whether a heartbeat of this incarnation has confirmed the report since the last resume.

        What was believed before a suspension of the machine may be outdated: the endpoint may have
        shrunk or begun to drain. So may an announcement: the process that wrote it may have failed
        to update it, or have been gone when the endpoint changed.
        """
        if self.report is None or self._confirmed_in != self._clock.suspensions():
            return False
        return self.report.sequence != ANNOUNCED_SEQUENCE

    def handle_heartbeat(self, report: EndpointReport) -> None:
        """Classify a heartbeat, and accept it, skip it or switch to its incarnation."""
        kind = classify_heartbeat(report, self._newest)
        if kind is HeartbeatKind.WITHOUT_START:
            self.unreadable.record(report.endpoint, "born is missing")
        elif not self._has_known_service(report, kind):
            self.unreadable.record(report.endpoint, f"service {report.service[:40]!r} is not known")
        elif kind is HeartbeatKind.OVERTAKEN:
            self._skip_overtaken(report)
        elif kind is HeartbeatKind.ENDED or (report.endpoint, report.born) == self._departed:
            self._log_stale(report)
        elif kind in _OTHER_INCARNATIONS and self._tracked_id:
            self._probe_incarnation(report, kind)
        elif kind is HeartbeatKind.CURRENT and self._tracked_id:
            self._accept(report)
        else:
            self._switch_to(report, kind)

    def handle_shutdown_notice(self, endpoint: str, born: int) -> None:
        """Handle a shutdown notice; ``born`` is 0 if it does not carry the endpoint's start.

        The endpoint may still run tasks: if its notice is not answered, it exits some seconds
        later. Leases are not renewed any more. Runs end when a poll reports it, or when all leases
        have expired. A late notice of an earlier incarnation is ignored, since it would give up
        runs of the current one.
        """
        known = self.report
        if known is None or known.endpoint != endpoint:
            return
        if known.born != born:
            logger.bind(endpoint=endpoint, born=born, present=known.born).info(
                "farewell ignored, perhaps of an earlier life"
            )
            return
        logger.bind(endpoint=endpoint, runs=len(self._table.runs)).info("endpoint departs")
        self.report = None
        self.is_departing = True
        self._departed = (endpoint, born)
        self._table.end_leases()
        # A restarted agent would resume this incarnation from its announcement.
        self._hooks.on_report_changed(None)
        self.detach_if_departed()

    def detach_if_departed(self) -> None:
        """Stop tracking an endpoint that departs, once none of its runs is left."""
        if self.is_departing and not self._table.runs:
            self.detach("it left")

    def detach(self, reason: str) -> None:
        """Record that the endpoint is gone, and end all of its runs.

        Only for an endpoint that another one has replaced, or that has no runs left.
        """
        if not self._tracked_id:
            return
        logger.bind(endpoint=self._tracked_id, reason=reason).warning("endpoint gone")
        was_announced = not self.is_departing
        self.report = None
        self._tracked_id = ""
        finished = self._table.mark_all_lost()
        self._table.reset(NO_RESOURCES)
        self._notify_switched(finished)
        if was_announced:
            # A restarted agent would resume the ended incarnation from its announcement.
            self._hooks.on_report_changed(None)

    def on_restarted(self, born: int) -> None:
        """Switch to a later incarnation that answered; it gets no runs until its heartbeat comes.

        Parameters
        ----------
        born : int
            Start time of that incarnation, in Unix milliseconds.
        """
        newest = self._newest
        if newest is None:
            return
        logger.bind(endpoint=newest.endpoint, born=born, before=newest.born).warning(
            "endpoint started again"
        )
        self.report = None
        self._newest = newest._replace(born=born, sequence=0)
        finished = self._table.begin_incarnation()
        self._driver.attach(self._newest)
        self._notify_switched(finished)

    def _has_known_service(self, report: EndpointReport, kind: HeartbeatKind) -> bool:
        """Whether the endpoint's service is one that the settings or the configuration name."""
        newest = self._newest
        is_known_incarnation = kind in (HeartbeatKind.CURRENT, HeartbeatKind.OVERTAKEN)
        if newest is not None and newest.sequence and is_known_incarnation:
            return report.service == newest.service
        config = self._feed.current
        if not self._cfg.service or config is None:
            return True
        return report.service in {self._cfg.service, *(queue.service for queue in config.queues)}

    def _skip_overtaken(self, report: EndpointReport) -> None:
        """Skip a heartbeat older than the newest one; it is logged, since its content is lost."""
        self._metrics.count("heartbeats_overtaken")
        logger.bind(
            endpoint=report.endpoint,
            sequence=report.sequence,
            newest=self._newest and self._newest.sequence,
            draining=report.draining,
        ).info("heartbeat overtaken")

    def _probe_incarnation(self, report: EndpointReport, kind: HeartbeatKind) -> None:
        """Switch to another incarnation only if it answers: its heartbeat may be late or false.

        Switching ends the runs of the current incarnation as lost, and other endpoints get the
        same tasks. If nothing answers, the next poll or heartbeat decides.
        """
        switch_count = self._switch_count
        answers = (self._driver.is_present(report) for _ in range(MAX_PRESENCE_PROBES))
        present = next((answer for answer in answers if answer is not None), None)
        if switch_count != self._switch_count:
            # A poll has found the other incarnation meanwhile. Without this heartbeat it would get
            # no runs until its next one, which is seconds away.
            self.handle_heartbeat(report)
        elif present:
            self._switch_to(report, kind)
        else:
            self._log_stale(report)

    def _log_stale(self, report: EndpointReport) -> None:
        present = self._newest
        logger.bind(
            endpoint=report.endpoint,
            born=report.born,
            present=present and present.endpoint,
            present_born=present and present.born,
        ).info("heartbeat of another life ignored")

    def _accept(self, report: EndpointReport) -> None:
        """Accept a heartbeat of the current incarnation."""
        known = self.report
        if self._newest is not None and report.born != self._newest.born:
            # Known so far from an announcement that does not carry the start.
            self._driver.attach(report)
        self.report = self._newest = report
        self._apply_capacity(report)
        if known is not None and report.draining == known.draining:
            return
        event = "endpoint drains" if report.draining else "endpoint is ready again"
        self._log_report(report, "endpoint found" if known is None else event)
        self._hooks.on_report_changed(report)

    def _switch_to(self, report: EndpointReport, kind: HeartbeatKind) -> None:
        self._log_report(report, "endpoint found")
        if kind is HeartbeatKind.RESTARTED:
            finished = self._table.begin_incarnation()
        else:
            finished = self._table.mark_all_lost()
            self._table.reset(NO_RESOURCES)
        self._apply_capacity(report)
        self.report = self._newest = report
        self._tracked_id = report.endpoint
        self._driver.attach(report)
        self._notify_switched(finished)
        self._hooks.on_report_changed(report)

    def _apply_capacity(self, report: EndpointReport) -> None:
        """Apply the capacity of the newest heartbeat; it may be below what runs at present."""
        suspensions = self._clock.suspensions()
        if self._clock.now() - self._clock.resumed_at >= SETTLE_S:
            self._confirmed_in = suspensions
        resources = self._table.resources
        before = resources.capacity
        if report.capacity == before:
            return
        resources.capacity = report.capacity
        logger.bind(
            endpoint=report.endpoint,
            sequence=report.sequence,
            before=before,
            capacity=report.capacity,
            used=resources.used,
        ).info("endpoint capacity changed")
        self._hooks.on_capacity_changed(report.capacity)

    def _log_report(self, report: EndpointReport, event: str) -> None:
        logger.bind(
            endpoint=report.endpoint,
            born=report.born,
            sequence=report.sequence,
            draining=report.draining,
            capacity=report.capacity,
        ).info(event)

    def _notify_switched(self, finished: list[FinishedRun]) -> None:
        self._switch_count += 1
        self.is_departing = False
        self._hooks.on_switched(self._tracked_id, finished)
