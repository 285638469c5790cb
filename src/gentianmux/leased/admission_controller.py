"""Carries out what is decided of waiting jobs: keeps, serves late, or refuses them early."""

from collections import defaultdict

from loguru import logger

from .admission_policy import (
    LONGEST_RETRY_S,
    AdmissionPolicy,
    Decision,
    retry_after_s,
    wait_s,
)
from .entry_context import EntryContext
from .job_state import JobState, Timeliness

NO_AGENT_S = 0.5
"""Seconds a job waits while no agent serves its service at all: a restarted agent needs less."""


class AdmissionController:
    """Decides the backlog of an entry, service by service.

    Parameters
    ----------
    ctx : EntryContext
        The jobs and the agents.

    Attributes
    ----------
    admissions : dict
        The decisions of each service.
    """

    def __init__(self, ctx: EntryContext) -> None:
        self.admissions: defaultdict[str, AdmissionPolicy] = defaultdict(AdmissionPolicy)
        self._ctx = ctx
        self._no_agent_since: dict[str, float] = {}

    def decide(self, now: float) -> None:
        """Refuse early what cannot be in time, and what no agent can serve.

        The backlog is gone through only when a job in it is due, not each few ms.
        """
        for service in self._ctx.backlog.services():
            admission = self.admissions[service]
            if now >= admission.next_due or not self._ctx.view.is_served(service, now):
                self._decide_service(service, admission, now)

    def _decide_service(self, service: str, admission: AdmissionPolicy, now: float) -> None:
        view = self._ctx.view
        entries = max(1, view.entries(now))
        jobs = self._ctx.backlog.get_or_add(service)
        capacity = view.capacity_cpu(service, now) / entries
        if self._ctx.window.is_limiting(now):
            # More cannot be sent, however many endpoints stand idle.
            capacity = min(capacity, admission.begun_cpu(now))
        if not capacity:
            self._refuse_without_agents(service, jobs, now)
            return
        self._no_agent_since.pop(service, None)
        coming = view.coming_cpu(service, now) / entries
        decision = admission.decide(jobs, capacity, now, coming)
        self._carry_out(decision, now, entries)
        self._reorder(decision.late)

    def _reorder(self, jobs: list[JobState]) -> None:
        """Let jobs that will be served late wait behind the others."""
        for job in jobs:
            self._ctx.backlog.put(job)

    def _carry_out(self, decision: Decision, now: float, entries: int) -> None:
        for job in decision.kept:
            job.timeliness = Timeliness.TIMELY
        for job in decision.late:
            job.timeliness = Timeliness.LATE
            self._ctx.metrics.count("jobs_late_decided")
            logger.bind(
                job=job.spec.job_id,
                slack_ms=round((job.latest_start - now) * 1000),
                useful_ms=round((job.last_useful_start - now) * 1000),
            ).info("late service decided")
        for job in decision.given_up:
            self._ctx.metrics.count("jobs_kept_in_vain", label=job.timeliness.value)
            self._ctx.give_up(job, "waited until its answer would be of no use")
        for job, load in decision.refused:
            logger.bind(
                job=job.spec.job_id,
                ahead_cpu_s=round(load.ahead_cpu_s, 2),
                capacity_cpu=round(load.capacity_cpu, 1),
                begins_in_ms=round(wait_s(load) * 1000),
                slack_ms=round((job.latest_start - now) * 1000),
                useful_ms=round((job.last_useful_start - now) * 1000),
                entries=entries,
            ).info("refusal decided")
            self._ctx.give_up(job, "its answer would be of no use", retry_after_s(load))

    def _refuse_without_agents(self, service: str, jobs: list[JobState], now: float) -> None:
        if self._ctx.view.is_evacuated(service, now):
            # Nothing that could come within a job's time limit would change that.
            for job in jobs:
                reason = "every endpoint of its service is evacuated"
                self._ctx.give_up(job, reason, LONGEST_RETRY_S)
            return
        since = self._no_agent_since.setdefault(service, now)
        for job in jobs:
            if now - max(since, job.arrived) > NO_AGENT_S:
                self._ctx.give_up(job, "no agent serves its service")
