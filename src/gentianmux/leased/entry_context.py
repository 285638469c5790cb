"""What the controllers of an entry share: its jobs, where their runs are, and how jobs end."""

from collections import defaultdict

from loguru import logger

from ..clock import Clock
from ..messages import Claim, LoadEcho, RunRef, Withdraw
from ..metrics import Metrics
from .backlog import Backlog
from .claims import claims_of, signature
from .config_feed import ConfigFeed
from .fleet_view import AgentView, FleetView
from .job_handle import JobHandle, JobResult
from .job_state import JobOutcome, JobState
from .links import Links
from .send_window import SendWindow

CLAIMS_S = 0.01
"""Seconds for which worked-out claims hold while nothing else waits than before: how soon the most
urgent has to begin is told 10 ms wrong at most, a fourth of what the shortest job may wait."""

RETRY_AFTER_S = 1
"""Seconds until a refused caller may try again: the work ahead of it is over by then."""


class EntryContext:
    """Read and written by all controllers of an entry.

    Parameters
    ----------
    view : FleetView
        What is known of the agents.
    links : Links
        Connections to agents.
    feed : ConfigFeed
        The newest configuration.
    metrics : Metrics
        Counters.
    clock : Clock
        Time and deferred calls.
    link_bytes_s : float
        What the instance's link carries, in bytes a second; 0 where it is not told.

    Attributes
    ----------
    jobs : dict
        Jobs at work, by their ids.
    backlog : Backlog
        Those of them of which tasks wait for room.
    window : SendWindow
        How much may be on its way to agents.
    out : dict
        For each agent's process the runs that it has, by task and number, with their jobs.
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
        self.view = view
        self.links = links
        self.feed = feed
        self.metrics = metrics
        self.clock = clock
        self.jobs: dict[str, JobHandle] = {}
        self.backlog = Backlog()
        self.window = SendWindow(link_bytes_s)
        self.out: defaultdict[str, dict[tuple[str, int], JobState]] = defaultdict(dict)
        self._claims: dict[str, list[Claim]] = {}
        self._claims_until = 0.0
        self._claims_of = 0

    def finish(self, job: JobState, result: JobResult) -> None:
        """End a job: take its runs back, and hand its verdict to those who wait."""
        handle = self.jobs.pop(job.spec.job_id, None)
        if handle is None:
            return
        self.backlog.drop(job)
        self._withdraw(job)
        handle.result = result
        took_s = self.clock.now() - job.arrived
        self.metrics.count("jobs_ended", label=result.outcome.value)
        self.metrics.observe("job_seconds", took_s, label=job.queue.name)
        logger.bind(
            job=job.spec.job_id,
            queue=job.queue.name,
            outcome=result.outcome.value,
            reason=result.reason,
            took_ms=round(took_s * 1000),
            objective_ms=round(job.objective_s * 1000),
            time_limit_ms=round((job.deadline - job.arrived) * 1000),
            began=job.began,
            tasks=len(job.tasks),
        ).info("job ended")
        handle.done.set()

    def _withdraw(self, job: JobState) -> None:
        by_agent: dict[str, list[RunRef]] = defaultdict(list)
        for task in job.out():
            by_agent[task.agent].append(RunRef(task.name, task.run))
            self.out[task.agent].pop((task.name, task.run), None)
        for agent, refs in by_agent.items():
            self.metrics.count("runs_withdrawn", len(refs))
            self.links.send(agent, Withdraw(refs))

    def give_up(self, job: JobState, reason: str, again_s: int = RETRY_AFTER_S) -> None:
        """End a job that is not served: as not run where that is proved, else as unknown."""
        if job.proved_not_run:
            self.finish(job, JobResult(JobOutcome.NOT_RUN, reason, again_s))
        else:
            self.finish(job, JobResult(JobOutcome.UNKNOWN, reason))

    def claims(self, service: str) -> list[Claim]:
        """What waits for room of a service here, by urgency; worked out anew when it changes."""
        now = self.clock.now()
        if now >= self._claims_until or self._claims_of != self.backlog.changes:
            self._claims_until = now + CLAIMS_S
            self._claims_of = self.backlog.changes
            self._claims.clear()
        if service not in self._claims:
            self._claims[service] = claims_of(self.backlog.demands(service), now)
        return self._claims[service]

    def echo(self, agent: AgentView, gives_back: bool = False) -> None:
        """Echo an agent's newest report, and tell it what waits for room."""
        claims = [] if agent.state is None else self.claims(agent.state.service)
        agent.told = signature(claims)
        agent.echoed()
        msg = LoadEcho(agent.newest_load, self.feed.version, gives_back, claims, agent.seen)
        self.links.send(agent.process, msg)
