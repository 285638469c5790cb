"""Decides which waiting jobs are served in time, served late, or refused early."""

from collections import deque
from collections.abc import Iterable
from math import ceil
from typing import NamedTuple

from .job_state import JobState, Timeliness

DECISION_RATIO = 0.15
"""Part of its latency objective after which a job that has not begun is decided. A refusal after a
quarter of the objective is of no use to the caller; the rest is margin for estimates that are up to
40 % too high."""


WAIT_FACTOR = 4.0
"""Ratio of a job's expected wait to the work ahead of it: more urgent jobs overtake it, tasks do
not fill endpoints exactly, and estimates are off."""

RATE_WINDOW_S = 1.0
"""Seconds over which a work rate is averaged: a quarter of a usual burst, which holds some 25 jobs
of an entry."""

MIN_OBSERVATION_S = 1.0
"""Seconds after the first record before a rate is known: after a restart all callers send again at
once."""

MIN_SPARE_RATIO = 0.1
"""Part of the capacity that arriving work must leave for late jobs to be reached at all; the
estimate of what arrives is off by as much."""

LATE_PAUSE_S = 1.0
"""Seconds without late admissions after a job was admitted in vain: the overload lasts, and others
would wait in vain too."""


MAX_RETRY_AFTER_S = 5
"""Bound on the retry delay of refused callers: by then a burst is over or agents are back."""


class Load(NamedTuple):
    """Work ahead of a job, and the capacity that processes it.

    Attributes
    ----------
    ahead_cpu_s : float
        Work in core-seconds.
    capacity_cpu : float
        Capacity in cores.
    """

    ahead_cpu_s: float
    capacity_cpu: float


def urgency(job: JobState) -> tuple[bool, bool, int, float]:
    """Sort key of waiting jobs: timely before late ones, and of each those that have begun first.

    Within these by priority, then by when they have to begin. A job that has begun holds resources
    and is worth nothing until its last task has ended. Late jobs get only resources that no timely
    job waits for, also for their remaining tasks.
    """
    late = job.timeliness is Timeliness.LATE
    begin_by = job.last_useful_start if late else job.latest_start
    return late, not job.began, job.queue.priority, begin_by


def expected_wait_s(load: Load) -> float:
    """Expected wait of a job in seconds; infinite without capacity."""
    if load.capacity_cpu <= 0:
        return float("inf")
    return WAIT_FACTOR * load.ahead_cpu_s / load.capacity_cpu


def expected_late_wait_s(load: Load, arriving_cpu: float | None) -> float:
    """Expected wait in seconds of a job behind all other work, including future arrivals.

    Parameters
    ----------
    load : Load
        Work ahead of the job.
    arriving_cpu : float or None
        Rate of arriving work in cores; None while unknown.
    """
    if arriving_cpu is None or load.capacity_cpu <= 0:
        return expected_wait_s(load)
    spare_ratio = 1.0 - arriving_cpu / load.capacity_cpu
    if spare_ratio < MIN_SPARE_RATIO:
        return float("inf")
    return max(expected_wait_s(load), load.ahead_cpu_s / (load.capacity_cpu * spare_ratio))


def retry_after_s(load: Load) -> int:
    """Seconds until a refused caller may retry, when the work ahead of it is done."""
    if load.capacity_cpu <= 0:
        return MAX_RETRY_AFTER_S
    return min(MAX_RETRY_AFTER_S, max(1, ceil(expected_wait_s(load))))


def decision_time(job: JobState) -> float:
    """Monotonic time at which a job that has not begun is decided."""
    return job.arrived_at + DECISION_RATIO * job.objective_s


class WorkRate:
    """Mean rate of recorded work over a sliding window, in core-seconds per second; pure.

    Examples
    --------
    >>> arrivals = WorkRate()
    >>> for tenth in range(21):
    ...     arrivals.add(1.6, tenth / 10)
    >>> round(arrivals.rate(2.0), 1)
    16.0
    """

    def __init__(self) -> None:
        self._recent: deque[tuple[float, float]] = deque()
        self._first_at: float | None = None

    def add(self, work_cpu_s: float, now: float) -> None:
        """Record work."""
        if self._first_at is None:
            self._first_at = now
        self._recent.append((now, work_cpu_s))
        self._forget(now)

    def rate(self, now: float) -> float | None:
        """Mean rate over the last ``RATE_WINDOW_S``; None in the first ``MIN_OBSERVATION_S``."""
        self._forget(now)
        if self._first_at is None or now - self._first_at < MIN_OBSERVATION_S:
            return None
        observed_s = min(RATE_WINDOW_S, now - self._first_at)
        return sum(work for _, work in self._recent) / observed_s

    def _forget(self, now: float) -> None:
        while self._recent and self._recent[0][0] <= now - RATE_WINDOW_S:
            self._recent.popleft()


class Refusal(NamedTuple):
    """A refused job, and the load on which the decision rests."""

    job: JobState
    load: Load


class Decision(NamedTuple):
    """Jobs decided in one pass over the backlog.

    Attributes
    ----------
    refused : list of Refusal
        Jobs that cannot begin while their answer is of use.
    timely : list of JobState
        Jobs expected to meet their objective.
    late : list of JobState
        Jobs expected to miss it, but to end while their answer is of use.
    expired : list of JobState
        Jobs admitted earlier that can no longer end while their answer is of use.
    """

    refused: list[Refusal]
    timely: list[JobState]
    late: list[JobState]
    expired: list[JobState]


class AdmissionPolicy:
    """Admission policy of one service; pure.

    A job that was admitted in vain suspends late admissions for ``LATE_PAUSE_S``.

    Attributes
    ----------
    next_decision_at : float
        Monotonic time at which a waiting job has to be decided next.

    Examples
    --------
    ``policy.decide(jobs, capacity_cpu=16.0, now=clock.now())``, jobs most urgent first.
    """

    def __init__(self) -> None:
        self.next_decision_at = float("inf")
        self._admitted_in_vain_at = float("-inf")
        self._late_began_at = float("-inf")
        self._arrived_work = WorkRate()
        self._begun_work = WorkRate()

    def record_arrival(self, job: JobState, now: float) -> None:
        """Record a job that has arrived."""
        self._arrived_work.add(job.work_cpu_s, now)
        self.next_decision_at = min(self.next_decision_at, decision_time(job))

    def begun_cpu(self, now: float) -> float:
        """Rate of work that has begun, in core-seconds per second; infinite while unknown."""
        rate = self._begun_work.rate(now)
        return float("inf") if rate is None else rate

    def decide(
        self,
        waiting: Iterable[JobState],
        capacity_cpu: float,
        now: float,
        expected_cpu: float = 0.0,
    ) -> Decision:
        """Decide jobs that have not begun.

        Parameters
        ----------
        waiting : iterable of JobState
            The backlog of the service, most urgent first.
        capacity_cpu : float
            Cores that this entry's backlog can count on.
        now : float
            Monotonic time in seconds.
        expected_cpu : float
            Free cores of endpoints whose agents are about to connect. Jobs that fit there wait for
            no other, so that a restart of everything does not refuse them.

        Returns
        -------
        Decision
            Jobs that are not due yet are in none of its lists.
        """
        ahead_cpu_s = 0.0
        ahead_cpu = 0.0
        decision = Decision([], [], [], [])
        self.next_decision_at = float("inf")
        for job in waiting:
            fits = ahead_cpu + job.cpu <= expected_cpu
            load = Load(0.0 if fits else ahead_cpu_s, capacity_cpu)
            if not job.began:
                if not self._decide_job(job, load, now, decision):
                    continue
                self.next_decision_at = min(self.next_decision_at, self._next_decision_of(job, now))
            ahead_cpu_s += job.work_cpu_s
            ahead_cpu += job.cpu
        return decision

    def _next_decision_of(self, job: JobState, now: float) -> float:
        """Monotonic time at which a job that keeps waiting has to be checked again."""
        undecided = job.timeliness is Timeliness.OPEN and now < decision_time(job)
        return decision_time(job) if undecided else job.last_useful_start

    def record_begin(self, job: JobState, now: float) -> None:
        """Record that a job begins.

        A timely job that begins too late, shortly after a late one has begun, suspends late
        admissions.
        """
        self._begun_work.add(job.work_cpu_s, now)
        if job.timeliness is Timeliness.LATE:
            self._late_began_at = now
        elif now > job.latest_start and now - self._late_began_at < LATE_PAUSE_S:
            self._admitted_in_vain_at = now

    def _decide_job(self, job: JobState, load: Load, now: float, decision: Decision) -> bool:
        """Decide one job that has not begun, and return whether it keeps waiting."""
        if job.timeliness is not Timeliness.OPEN:
            if now <= job.last_useful_start:
                return True
            self._admitted_in_vain_at = now
            decision.expired.append(job)
            return False
        if now < decision_time(job):
            return True
        if now + expected_wait_s(load) <= job.latest_start:
            decision.timely.append(job)
            return True
        late_begin = now + expected_late_wait_s(load, self._arrived_work.rate(now))
        is_useful = late_begin <= job.last_useful_start
        if is_useful and now - self._admitted_in_vain_at > LATE_PAUSE_S:
            decision.late.append(job)
            return True
        decision.refused.append(Refusal(job, load))
        return False
