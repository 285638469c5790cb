"""State that the controllers of an entry share: jobs, assigned runs, and claims."""

from collections import defaultdict
from collections.abc import Callable

from loguru import logger

from ..clock import Clock
from ..metrics import Metrics
from .agent_view import AgentView
from .backlog import Backlog
from .claims import claims_of, signature
from .config_feed import ConfigFeed
from .fleet_view import FleetView
from .job_handle import JobHandle, JobResult
from .job_state import JobOutcome, JobState
from .links import Links
from .messages import Claim, LoadEcho, RunRef, Withdraw
from .send_window import SendWindow

CLAIMS_TTL_S = 0.01
"""Seconds for which computed claims are reused while the backlog is unchanged; ``begin_in_ms`` is
off by no more."""

DEFAULT_RETRY_AFTER_S = 1
"""Default retry delay of refused callers in seconds."""


class EntryContext:
    """Shared state of the controllers of an entry.

    Parameters
    ----------
    view : FleetView
        State of the agents.
    links : Links
        Connections to agents.
    feed : ConfigFeed
        The newest configuration.
    metrics : Metrics
        Counters.
    clock : Clock
        Time and deferred calls.
    link_bytes_s : float
        Configured bandwidth of the instance's link in bytes per second; 0 when not configured.

    Attributes
    ----------
    jobs : dict
        Unfinished jobs by their ids.
    backlog : Backlog
        Those of them with tasks that wait for resources.
    window : SendWindow
        Bound on the bytes in flight to agents.
    assigned_runs : dict
        For each agent's process its assigned runs, by task and number, with their jobs.
    on_finished : callable
        Called with each job that has ended, and whether runs of it were withdrawn.
    refresh_locks : callable
        Called with the monotonic time before tasks are placed; takes back the confirmations of jobs
        that no longer count.

    Examples
    --------
    ``ctx.finish(job, JobResult(JobOutcome.COMPLETED, "every task is done"))``
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
        self.assigned_runs: defaultdict[str, dict[tuple[str, int], JobState]] = defaultdict(dict)
        self.on_finished: Callable[[JobState, bool], None] = lambda job, had_runs: None
        self.refresh_locks: Callable[[float], None] = lambda now: None
        self._claims: dict[str, list[Claim]] = {}
        self._claims_until = 0.0
        self._claims_version = 0

    def finish(self, job: JobState, result: JobResult) -> None:
        """End a job: withdraw its runs, and notify those who wait for its result."""
        handle = self.jobs.pop(job.spec.job_id, None)
        if handle is None:
            return
        self.backlog.discard(job)
        had_runs = self._withdraw(job)
        self.on_finished(job, had_runs)
        handle.result = result
        took_s = self.clock.now() - job.arrived_at
        self.metrics.count("jobs_ended", label=result.outcome.value)
        self.metrics.observe("job_seconds", took_s, label=job.queue.name)
        logger.bind(
            job=job.spec.job_id,
            queue=job.queue.name,
            outcome=result.outcome.value,
            reason=result.reason,
            took_ms=round(took_s * 1000),
            objective_ms=round(job.objective_s * 1000),
            time_limit_ms=round((job.deadline - job.arrived_at) * 1000),
            began=job.began,
            tasks=len(job.tasks),
        ).info("job ended")
        handle.done.set()

    def _withdraw(self, job: JobState) -> bool:
        """Withdraw the assigned runs of a job; whether there were any."""
        by_agent: dict[str, list[RunRef]] = defaultdict(list)
        for task in job.assigned_tasks():
            by_agent[task.agent].append(RunRef(task.name, task.run))
            self.assigned_runs[task.agent].pop((task.name, task.run), None)
        for agent, refs in by_agent.items():
            self.metrics.count("runs_withdrawn", len(refs))
            self.links.send(agent, Withdraw(refs))
        return bool(by_agent)

    def give_up(
        self, job: JobState, reason: str, retry_after_s: int = DEFAULT_RETRY_AFTER_S
    ) -> None:
        """End a job that is not served: as not run where that is proved, else as unknown.

        Parameters
        ----------
        job : JobState
            The job.
        reason : str
            Reason that its caller is given.
        retry_after_s : int
            Retry delay in seconds for a job that has not run.
        """
        if job.proved_not_run:
            self.finish(job, JobResult(JobOutcome.NOT_RUN, reason, retry_after_s))
        else:
            self.finish(job, JobResult(JobOutcome.UNKNOWN, reason))

    def claims(self, service: str) -> list[Claim]:
        """Claims for the waiting tasks of a service, cached while the backlog is unchanged."""
        now = self.clock.now()
        if now >= self._claims_until or self._claims_version != self.backlog.version:
            self._claims_until = now + CLAIMS_TTL_S
            self._claims_version = self.backlog.version
            self._claims.clear()
        if service not in self._claims:
            self._claims[service] = claims_of(self.backlog.demands(service), now)
        return self._claims[service]

    def echo(self, agent: AgentView, gives_back: bool = False) -> None:
        """Echo an agent's newest load report, and send it the claims for its service."""
        claims = [] if agent.state is None else self.claims(agent.state.service)
        agent.sent_signature = signature(claims)
        agent.mark_echoed()
        msg = LoadEcho(
            agent.newest_load,
            self.feed.version,
            gives_back,
            claims,
            agent.last_ended_number,
            self.feed.is_reading,
        )
        self.links.send(agent.process, msg)
