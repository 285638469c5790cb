"""Which jobs go first, and which are refused early because they can no longer be in time."""

from collections.abc import Iterable
from typing import NamedTuple

from .job_state import JobState

DECIDE_SHARE = 0.2
"""Part of its latency objective after which a job that has not begun is decided for good: kept if
it can be in time, else refused. A refusal that comes later is of no use to the caller."""

HOPE = 1.0
"""Part of the estimate that has to fit before the objective; lower keeps more that ends late."""


class Load(NamedTuple):
    """Work ahead of a job and what works it off, both in cores and core-seconds."""

    ahead_cpu_s: float
    capacity_cpu: float


def urgency(job: JobState) -> tuple[bool, float]:
    """Sort key: jobs that have begun first, then by the time at which they have to begin.

    A job that has begun holds room and earns nothing until its last task has ended.
    """
    return not job.began, job.latest_start


def wait_s(load: Load) -> float:
    """How long the work ahead takes."""
    if load.capacity_cpu <= 0:
        return float("inf")
    return load.ahead_cpu_s / load.capacity_cpu


def hopeless(waiting: Iterable[JobState], capacity_cpu: float, now: float) -> list[JobState]:
    """Jobs that have not begun and cannot be in time, in the order of their urgency.

    Parameters
    ----------
    waiting : iterable of JobState
        The backlog, most urgent first.
    capacity_cpu : float
        Cores that this entry's backlog can count on.
    now : float
        Monotonic time in seconds.
    """
    ahead = 0.0
    refused = []
    for job in waiting:
        if job.began:
            ahead += job.work_cpu_s
            continue
        begin = now + wait_s(Load(ahead, capacity_cpu))
        if begin > job.latest_start:
            refused.append(job)
        else:
            ahead += job.work_cpu_s
    return refused
