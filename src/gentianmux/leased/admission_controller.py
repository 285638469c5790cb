"""Carries out admission decisions for the backlog of an entry."""

from collections import defaultdict

from loguru import logger

from .admission_policy import (
    MAX_RETRY_AFTER_S,
    AdmissionPolicy,
    Decision,
    expected_wait_s,
    retry_after_s,
)
from .entry_context import EntryContext
from .job_state import JobState, Timeliness
from .offered_capacity import OfferedCapacity, keep_fitting, needs_of

NO_AGENT_TIMEOUT_S = 0.5
"""Seconds for which a job waits while no agent serves its service; a restarted agent needs less."""


class AdmissionController:
    """Decides the backlog of an entry, service by service.

    Parameters
    ----------
    ctx : EntryContext
        Jobs and agents of the entry.

    Attributes
    ----------
    policies : dict
        Admission policy of each service.

    Examples
    --------
    ``controller.decide(now)`` at each tick.
    """

    def __init__(self, ctx: EntryContext) -> None:
        self.policies: defaultdict[str, AdmissionPolicy] = defaultdict(AdmissionPolicy)
        self._ctx = ctx
        self._no_agent_since: dict[str, float] = {}

    def restart_waits(self) -> None:
        """Wait anew for agents after a resume: they had no chance to connect before it."""
        self._no_agent_since.clear()

    def decide(self, now: float) -> None:
        """Refuse jobs early that cannot be in time or that no agent serves.

        A service's backlog is examined only when one of its jobs is due or no agent serves it.
        """
        for service in self._ctx.backlog.services():
            policy = self.policies[service]
            if now >= policy.next_decision_at or not self._ctx.view.is_served(service, now):
                self._decide_service(service, policy, now)

    def _decide_service(self, service: str, policy: AdmissionPolicy, now: float) -> None:
        view = self._ctx.view
        entries = max(1, view.entries(now))
        jobs = self._ctx.backlog.jobs_of(service)
        capacity = view.countable_cpu(service, now)
        if self._ctx.window.is_limiting(now):
            # The link limits what can begin, however many endpoints are idle.
            capacity = min(capacity, policy.begun_cpu(now))
        if not capacity:
            self._refuse_without_agents(service, jobs, now)
            return
        self._no_agent_since.pop(service, None)
        expected = view.expected_cpu(service, now) / entries
        decision = policy.decide(jobs, capacity, now, expected)
        if decision.refused:
            self._keep_fitting(service, decision, jobs, now)
        self._apply(decision, now, entries)
        self._reorder(decision.late)

    def _keep_fitting(
        self, service: str, decision: Decision, jobs: list[JobState], now: float
    ) -> None:
        """Revoke refusals of jobs that fit the offered resources, and count those beside some."""
        view = self._ctx.view
        eligible = [a for a in view.eligible(service, now) if not a.is_shutting_down]
        offered = OfferedCapacity(agent.free for agent in eligible)
        has_shares = any(agent.share_permille for agent in eligible)
        if has_shares and not self._ctx.window.is_limiting(now):
            for job in keep_fitting(decision, jobs, offered):
                policy = self.policies[service]
                policy.next_decision_at = min(policy.next_decision_at, job.last_useful_start)
                self._ctx.metrics.count("jobs_kept_by_offers")
        beside = sum(offered.holds(refusal.job.demand.smallest) for refusal in decision.refused)
        self._ctx.metrics.count("jobs_refused_beside_offers", beside)

    def _reorder(self, jobs: list[JobState]) -> None:
        """Move jobs that will be served late behind the others."""
        for job in jobs:
            self._ctx.backlog.put(job)

    def _apply(self, decision: Decision, now: float, entries: int) -> None:
        for job in decision.timely:
            job.timeliness = Timeliness.TIMELY
        for job in decision.late:
            job.timeliness = Timeliness.LATE
            self._ctx.metrics.count("jobs_late_decided")
            logger.bind(
                job=job.spec.job_id,
                slack_ms=round((job.latest_start - now) * 1000),
                useful_ms=round((job.last_useful_start - now) * 1000),
            ).info("late service decided")
        for job in decision.expired:
            self._ctx.metrics.count("jobs_kept_in_vain", label=job.timeliness.value)
            self._ctx.give_up(job, "waited until its answer would be of no use")
        spared = self._let_use_slow_endpoints(decision, now)
        for job, load in decision.refused:
            if job in spared:
                continue
            logger.bind(
                job=job.spec.job_id,
                ahead_cpu_s=round(load.ahead_cpu_s, 2),
                capacity_cpu=round(load.capacity_cpu, 1),
                begins_in_ms=round(expected_wait_s(load) * 1000),
                slack_ms=round((job.latest_start - now) * 1000),
                useful_ms=round((job.last_useful_start - now) * 1000),
                entries=entries,
            ).info("refusal decided")
            self._ctx.give_up(job, "its answer would be of no use", retry_after_s(load))

    def _let_use_slow_endpoints(self, decision: Decision, now: float) -> set[JobState]:
        """Let jobs that would be refused use free resources that are too slow for them.

        They may have waited for faster ones, while others have overtaken them. They are placed in
        this tick, or else decided again in the next one.
        """
        view = self._ctx.view
        jobs = [refusal.job for refusal in decision.refused if not refusal.job.takes_any]
        if not view.speeds.is_uneven or not jobs:
            return set()
        service = jobs[0].queue.service
        offered = OfferedCapacity(agent.free for agent in view.eligible(service, now))
        spared = {
            job for job in jobs if offered.has_all(needs_of(job)) and offered.take(needs_of(job))
        }
        for job in spared:
            job.takes_any = True
            self.policies[service].next_decision_at = now
        return spared

    def _refuse_without_agents(self, service: str, jobs: list[JobState], now: float) -> None:
        if self._ctx.view.is_evacuated(service, now):
            # An evacuation lasts longer than any job may wait.
            for job in jobs:
                reason = "every endpoint of its service is evacuated"
                self._ctx.give_up(job, reason, MAX_RETRY_AFTER_S)
            return
        since = self._no_agent_since.setdefault(service, now)
        for job in jobs:
            if now - max(since, job.arrived_at) > NO_AGENT_TIMEOUT_S:
                self._ctx.give_up(job, "no agent serves its service")
