"""What the controllers of an agent share: its endpoint, the runs there, and how they end."""

from loguru import logger

from ..clock import Clock
from ..metrics import Metrics
from .config_feed import ConfigFeed
from .endpoint_health import EndpointHealth
from .endpoint_poller import EndpointPoller
from .endpoint_tracker import EndpointTracker
from .entry_reporter import EntryReports
from .links import Links
from .model import EndpointDriver, EndpointReport, RunOutcome
from .resources import NO_RESOURCES, Resources
from .run_table import Finished, RunTable
from .settings import LeasedSettings, lease_s
from .shutdown import UNBOUNDED_ESTIMATE_MS, longest_ms


class AgentContext:
    """Read and written by all controllers of an agent.

    Parameters
    ----------
    cfg : LeasedSettings
        The settings.
    driver : EndpointDriver
        How the endpoint is spoken to.
    links : Links
        Connections to entries.
    feed : ConfigFeed
        The newest configuration, and evacuations.
    metrics : Metrics
        Counters.
    clock : Clock
        Time and deferred calls.

    Attributes
    ----------
    table : RunTable
        The exact account of the endpoint's runs.
    health : EndpointHealth
        How the endpoint's runs fare; begins anew with each of its lives.
    leaving : bool
        Whether the process was told to stop.
    leaves_at : float
        When it will then have to have ended.
    tracker, poller, reports : EndpointTracker, EndpointPoller, EntryReports
        Set by the agent, whose methods they call.
    """

    tracker: EndpointTracker
    poller: EndpointPoller
    reports: EntryReports

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
        self.leaving = False
        self.leaves_at = float("inf")

    @property
    def report(self) -> EndpointReport | None:
        """The newest heartbeat of the endpoint at work."""
        return self.tracker.report

    @property
    def is_evacuated(self) -> bool:
        """Whether operators evacuate the endpoint's failure domain; what runs goes on."""
        report = self.report
        return report is not None and self.feed.evacuations.covers(report.failure_domain)

    @property
    def is_accepting(self) -> bool:
        """Whether new runs may begin here."""
        ready = self.report is not None and not self.report.draining and not self.is_evacuated
        return ready and self.poller.answering and self.table.is_clean and self.longest_ms() > 0

    def longest_ms(self) -> int:
        """The longest estimate of a run that may still begin here, in ms."""
        if not self.leaving:
            return UNBOUNDED_ESTIMATE_MS
        return longest_ms(self.leaves_at - self.clock.now())

    def offered(self) -> Resources:
        """Room in which new runs may begin now."""
        if not self.is_accepting:
            return NO_RESOURCES
        return self.health.offered(self.table.room.free, len(self.table.runs), self.clock.now())

    def end_all(self, finished: list[Finished]) -> None:
        """Report runs that are gone to their entries, and learn from how they ended."""
        now = self.clock.now()
        for run, how in finished:
            ran_s = now - run.began
            if how in (RunOutcome.DONE, RunOutcome.FAILED):
                ratio = ran_s * 1000 / max(1, run.estimate_ms) if how is RunOutcome.DONE else None
                self.health.ended(job_of(run.key[0]), how is RunOutcome.FAILED, ratio, now)
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
            self.reports.ended(run.entry, *run.key, how, int(ran_s * 1000))
        for entry in {run.entry for run, _ in finished}:
            self.reports.flush_ended(entry)
        if self.health.is_ejected(now):
            self.reports.load_soon()

    def has_runs_of(self, entry: str) -> bool:
        """Whether an entry has runs at work here."""
        return any(run.entry == entry for run in self.table.runs.values())


def job_of(task: str) -> str:
    """Id of the job that a task belongs to."""
    return task.partition(".")[0]
