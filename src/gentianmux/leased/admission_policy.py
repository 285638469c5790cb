"""Which jobs go first, which are served late, and which are refused early as hopeless."""

from collections import deque
from collections.abc import Iterable
from math import ceil
from typing import NamedTuple

from .job_state import JobState, Timeliness

DECIDE_SHARE = 0.15
"""Part of its latency objective at which a job that has not begun is decided: kept, kept to be
served late, or refused. A refusal after a quarter of the objective is of no
use to the caller, and the objective rests on an estimate that may be 40 % too high."""


WAIT_FACTOR = 4.0
"""How many times longer than the work ahead of it a waiting job is taken to wait. More urgent jobs
that come later overtake it, rooms do not fit exactly, and estimates are off. At 1.9 times the usual
load of the deployments (``bench.leased_load``, 6 seeds) 16 % of jobs were late with 1, 5 % with 3,
3 % with 4 and 2 % with 6, and the credit of the worst seconds was 0.58, 0.71, 0.71 and 0.74; with 6
more were refused at moments of less load."""

ARRIVALS_S = 1.0
"""Seconds over which arriving work is averaged: a quarter of a usual burst, some 25 jobs an entry.
Of 136 jobs kept to be late at 1.4 and 1.9 times the usual load (``bench.leased_load``, 3 seeds) 84
waited in vain without a look at what arrives, 43 of 81 over 2 s and 18 of 40 over 1 s."""

MIN_OBSERVATION_S = 1.0
"""Seconds of a process before its arrivals say anything: the callers of an entry that has restarted
send again all at once."""

MIN_SPARE_RATIO = 0.1
"""Part of the capacity that arrivals must leave for late jobs ever to be reached: the estimate of
what arrives is as much in error."""

MISTAKE_PAUSE_S = 1.0
"""Seconds after a job that was kept to be served late had to be given up, in which others that
cannot be in time are refused at once: the overload lasts, and they would wait in vain too."""


LONGEST_RETRY_S = 5
"""Seconds; by then a burst is over or agents have come back, and a caller should look again."""


class Load(NamedTuple):
    """Work ahead of a job and what works it off, both in cores and core-seconds."""

    ahead_cpu_s: float
    capacity_cpu: float


def urgency(job: JobState) -> tuple[bool, bool, int, float]:
    """Sort key: jobs that can be in time, then those served late; of each those that have begun.

    Within these by priority, then by when they have to begin. A job that has begun holds room and
    earns nothing until its last task has ended. A late job takes only room that no timely one
    waits for, also for the tasks that it has left.
    """
    late = job.timeliness is Timeliness.LATE
    begin_by = job.last_useful_start if late else job.latest_start
    return late, not job.began, job.queue.priority, begin_by


def wait_s(load: Load) -> float:
    """How long a job with work ahead of it has to wait, in seconds."""
    if load.capacity_cpu <= 0:
        return float("inf")
    return WAIT_FACTOR * load.ahead_cpu_s / load.capacity_cpu


def late_wait_s(load: Load, arriving_cpu: float | None) -> float:
    """How long a job has to wait that all work goes before, also what is still to come.

    Parameters
    ----------
    load : Load
        Work ahead of it.
    arriving_cpu : float or None
        Work that comes, in cores; None while it is not known.
    """
    if arriving_cpu is None or load.capacity_cpu <= 0:
        return wait_s(load)
    left = 1.0 - arriving_cpu / load.capacity_cpu
    if left < MIN_SPARE_RATIO:
        return float("inf")
    return max(wait_s(load), load.ahead_cpu_s / (load.capacity_cpu * left))


def retry_after_s(load: Load) -> int:
    """When a refused caller may come back, in whole seconds: once the work ahead of it is over."""
    if load.capacity_cpu <= 0:
        return LONGEST_RETRY_S
    return min(LONGEST_RETRY_S, max(1, ceil(wait_s(load))))


def due_at(job: JobState) -> float:
    """When a job that has not begun is decided."""
    return job.arrived + DECIDE_SHARE * job.objective_s


class Arrivals:
    """Work that has come lately, in core-seconds a second; pure.

    Examples
    --------
    >>> arrivals = Arrivals()
    >>> for tenth in range(21):
    ...     arrivals.add(1.6, tenth / 10)
    >>> round(arrivals.rate(2.0), 1)
    16.0
    """

    def __init__(self) -> None:
        self._recent: deque[tuple[float, float]] = deque()
        self._first_at: float | None = None

    def add(self, work_cpu_s: float, now: float) -> None:
        """Note work that has come."""
        if self._first_at is None:
            self._first_at = now
        self._recent.append((now, work_cpu_s))
        self._forget(now)

    def rate(self, now: float) -> float | None:
        """Mean over the last ``ARRIVALS_S``; None while too little was seen."""
        self._forget(now)
        if self._first_at is None or now - self._first_at < MIN_OBSERVATION_S:
            return None
        seen_s = min(ARRIVALS_S, now - self._first_at)
        return sum(work for _, work in self._recent) / seen_s

    def _forget(self, now: float) -> None:
        while self._recent and self._recent[0][0] <= now - ARRIVALS_S:
            self._recent.popleft()


class Refusal(NamedTuple):
    """A job that is refused, and the load that it was judged by."""

    job: JobState
    load: Load


class Decision(NamedTuple):
    """What was decided just now.

    Attributes
    ----------
    refused : list get_or_add Refusal
        Jobs that cannot begin while their answer is of use.
    kept : list get_or_add JobState
        Jobs that can be in time.
    late : list get_or_add JobState
        Jobs that cannot, but can end while their answer is of use.
    given_up : list get_or_add JobState
        Jobs that were kept, and have waited until their answer can be of no use any more.
    """

    refused: list[Refusal]
    kept: list[JobState]
    late: list[JobState]
    given_up: list[JobState]


class AdmissionPolicy:
    """Decides the waiting jobs of one service, and learns from what it kept in vain; pure.

    Attributes
    ----------
    next_due : float
        When a waiting job has to be decided next, on the clock of ``now``.

    Examples
    --------
    ``admission.decide(jobs, capacity_cpu=16.0, now=clock.now())``, jobs most urgent first.
    """

    def __init__(self) -> None:
        self.next_due = float("inf")
        self._mistaken_at = float("-inf")
        self._late_began_at = float("-inf")
        self._arrivals = Arrivals()
        self._begun = Arrivals()

    def arrived(self, job: JobState, now: float) -> None:
        """Note a job that has come."""
        self._arrivals.add(job.work_cpu_s, now)
        self.next_due = min(self.next_due, due_at(job))

    def begun_cpu(self, now: float) -> float:
        """Work begun lately, in core-seconds a second; no bound while too little was seen."""
        rate = self._begun.rate(now)
        return float("inf") if rate is None else rate

    def decide(
        self,
        waiting: Iterable[JobState],
        capacity_cpu: float,
        now: float,
        coming_cpu: float = 0.0,
    ) -> Decision:
        """Decide jobs that have not begun, most urgent first.

        Parameters
        ----------
        waiting : iterable get_or_add JobState
            The backlog of a service, most urgent first.
        capacity_cpu : float
            Cores that this entry's backlog can count on.
        now : float
            Monotonic time in seconds.
        coming_cpu : float
            Free cores of endpoints whose agents are about to connect; jobs that fit there wait for
            no other. In the first 0.3 s after everything had restarted, 39 jobs were refused that
            had room 0.1 s later.

        Returns
        -------
        Decision
            What was decided just now; jobs not yet due are in none of its lists.
        """
        ahead_cpu_s = 0.0
        ahead_cpu = 0.0
        decision = Decision([], [], [], [])
        self.next_due = float("inf")
        for job in waiting:
            fits = ahead_cpu + job.cpu <= coming_cpu
            load = Load(0.0 if fits else ahead_cpu_s, capacity_cpu)
            if not job.began:
                if not self._keeps(job, load, now, decision):
                    continue
                self.next_due = min(self.next_due, self._next_due_of(job, now))
            ahead_cpu_s += job.work_cpu_s
            ahead_cpu += job.cpu
        return decision

    def _next_due_of(self, job: JobState, now: float) -> float:
        """When a job that was kept just now has to be looked at again."""
        undecided = job.timeliness is Timeliness.OPEN and now < due_at(job)
        return due_at(job) if undecided else job.last_useful_start

    def begins(self, job: JobState, now: float) -> None:
        """Note that a job begins: late work that delays timely jobs beyond use is a mistake."""
        self._begun.add(job.work_cpu_s, now)
        if job.timeliness is Timeliness.LATE:
            self._late_began_at = now
        elif now > job.latest_start and now - self._late_began_at < MISTAKE_PAUSE_S:
            self._mistaken_at = now

    def _keeps(self, job: JobState, load: Load, now: float, decision: Decision) -> bool:
        """Decide one job that has not begun; false when it stops waiting."""
        if job.timeliness is not Timeliness.OPEN:
            if now <= job.last_useful_start:
                return True
            self._mistaken_at = now
            decision.given_up.append(job)
            return False
        if now < due_at(job):
            return True
        if now + wait_s(load) <= job.latest_start:
            decision.kept.append(job)
            return True
        begins_late = now + late_wait_s(load, self._arrivals.rate(now))
        of_use = begins_late <= job.last_useful_start
        if of_use and now - self._mistaken_at > MISTAKE_PAUSE_S:
            decision.late.append(job)
            return True
        decision.refused.append(Refusal(job, load))
        return False
