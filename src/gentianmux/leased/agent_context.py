"""State and components that the parts of an agent share."""

from loguru import logger

from ..clock import Clock
from ..metrics import Metrics
from .cancel_broadcast import CancelBroadcast
from .config_feed import ConfigFeed
from .endpoint_health import EndpointHealth
from .endpoint_poller import EndpointPoller
from .endpoint_tracker import EndpointTracker
from .entry_reporter import EntryReporter
from .links import Links
from .model import EndpointDriver, EndpointReport, RunOutcome
from .resources import NO_RESOURCES, Resources
from .run_state import FinishedRun
from .run_table import RunTable
from .settings import LeasedSettings, lease_s
from .shutdown import UNBOUNDED_ESTIMATE_MS, max_estimate_ms


class AgentContext:
    """Shared state of an agent: its endpoint, the runs there, and its connections to entries.

    Parameters
    ----------
    cfg : LeasedSettings
        Settings of the process.
    driver : EndpointDriver
        Client of the endpoint.
    links : Links
        Connections to entries.
    feed : ConfigFeed
        Newest configuration and evacuations.
    metrics : Metrics
        Counters and histograms.
    clock : Clock
        Monotonic time and deferred calls.

    Attributes
    ----------
    table : RunTable
        Runs at the endpoint and the resources that they hold.
    health : EndpointHealth
        Health of the endpoint; replaced with each of its incarnations.
    shutting_down : bool
        Whether the process was told to stop.
    shutdown_at : float
        Monotonic time by which runs have to end then, in seconds.
    informed_at : float
        Monotonic time at which an entry last told that it reads the store, in seconds.
    tracker, poller, reporter, cancel_broadcast
        Set by the agent, as they call back into it.
    """

    tracker: EndpointTracker
    poller: EndpointPoller
    reporter: EntryReporter
    cancel_broadcast: CancelBroadcast

    def __init__(
        self,
        cfg: LeasedSettings,
        driver: EndpointDriver,
        links: Links,
        feed: ConfigFeed,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self.cfg = cfg
        self.driver = driver
        self.links = links
        self.feed = feed
        self.metrics = metrics
        self.clock = clock
        self.table = RunTable()
        self.health = EndpointHealth()
        self.lease_s = lease_s(cfg)
        self.shutting_down = False
        self.shutdown_at = float("inf")
        self.informed_at = clock.now()

    @property
    def report(self) -> EndpointReport | None:
        """Newest heartbeat of the current incarnation of the endpoint."""
        return self.tracker.report

    @property
    def is_evacuated(self) -> bool:
        """Whether the endpoint's failure domain is being evacuated; active runs go on."""
        report = self.report
        return report is not None and self.feed.evacuations.covers(report.failure_domain)

    @property
    def is_confirmed(self) -> bool:
        """Whether the endpoint has confirmed its state and its runs since the last resume."""
        return self.tracker.is_confirmed and self.poller.is_confirmed

    @property
    def is_accepting(self) -> bool:
        """Whether new runs may begin here."""
        ready = self.report is not None and not self.report.draining and not self.is_evacuated
        return (
            ready
            and self.is_confirmed
            and self.poller.is_responsive
            and self.table.is_reconciled
            and self.max_estimate_ms() > 0
        )

    def max_estimate_ms(self) -> int:
        """Longest estimate of a run that may still begin here, in ms."""
        if not self.shutting_down:
            return UNBOUNDED_ESTIMATE_MS
        return max_estimate_ms(self.shutdown_at - self.clock.now())

    def offered(self) -> Resources:
        """Resources that new runs may use now."""
        if not self.is_accepting:
            return NO_RESOURCES
        free = self.table.resources.free
        if min(free) < 0:
            # The endpoint shrank below what it runs; what is left of other kinds has to wait too.
            return NO_RESOURCES
        return self.health.offered(free, len(self.table.runs), self.clock.now())

    def handle_finished(self, finished: list[FinishedRun]) -> None:
        """Report finished runs to their entries and update the endpoint's health."""
        now = self.clock.now()
        if finished:
            self._record_finished(finished, now)
        if self.health.is_ejected(now):
            self.reporter.schedule_report()

    def _record_finished(self, finished: list[FinishedRun], now: float) -> None:
        before = self.health.slowness(), self.health.speed.changes
        for run, how in finished:
            ran_s = now - run.began
            if how in (RunOutcome.DONE, RunOutcome.FAILED):
                # A run time that includes a suspension does not tell how fast the endpoint is.
                is_measured = how is RunOutcome.DONE and run.began >= self.clock.resumed_at
                ratio = ran_s * 1000 / run.expected_ms if is_measured else None
                self.health.ended(job_id_of(run.key[0]), how is RunOutcome.FAILED, ratio, now)
            self.metrics.count("runs_ended", label=how.name.lower())
            self.metrics.observe("run_seconds", ran_s, label=how.name.lower())
            logger.bind(
                task=run.key[0],
                run=run.key[1],
                peer=run.entry,
                how=how.name.lower(),
                ran_ms=round(ran_s * 1000),
                estimate_ms=run.estimate_ms,
                percent=run.progress.percent,
            ).info("run ended")
            self.reporter.record_ended(run.entry, *run.key, how, int(ran_s * 1000))
        for entry in {run.entry for run, _ in finished}:
            self.reporter.send_ended(entry)
        self._note_speed(before, now)

    def _note_speed(self, before: tuple[float, int], now: float) -> None:
        """Show the endpoint's speed to operators, and log when it has changed."""
        speed = self.health.speed
        self.metrics.gauge("endpoint_slowness_percent", speed.percent(now))
        if speed.changes > before[1]:
            logger.bind(before_percent=round(100 * before[0]), percent=speed.percent(now)).info(
                "endpoint speed changed"
            )

    def has_runs_of(self, entry: str) -> bool:
        """Whether an entry has active runs here."""
        return any(run.entry == entry for run in self.table.runs.values())


def job_id_of(task: str) -> str:
    """Id of the job that a task belongs to."""
    return task.partition(".")[0]
