"""Packs waiting jobs into the free resources that agents offer."""

from collections.abc import Iterable

from .admission_policy import Decision
from .job_state import JobState
from .resources import Resources


class OfferedCapacity:
    """Free resources that agents offer, from which tasks are deducted in order of placement; pure.

    Parameters
    ----------
    free : iterable of Resources
        Resources on offer at each agent.

    Examples
    --------
    >>> offered = OfferedCapacity([Resources(4000, 100), Resources(2000, 100)])
    >>> offered.take([Resources(2000, 10)] * 2)
    True
    >>> offered.take([Resources(2000, 10)] * 2)
    False
    >>> offered.take([Resources(2000, 10)])
    False
    """

    def __init__(self, free: Iterable[Resources]) -> None:
        self._free = [each for each in free if each.cpu > 0]

    def holds(self, need: Resources) -> bool:
        """Whether what is left at any agent is enough for a task."""
        return any(each.fits(need) for each in self._free)

    def has_all(self, needs: Iterable[Resources]) -> bool:
        """Whether all tasks of a job fit what is left."""
        return OfferedCapacity(self._free).take(needs)

    def take(self, needs: Iterable[Resources]) -> bool:
        """Deduct as many of the tasks as fit; return whether all of them did."""
        fitted = [self._take(need) for need in needs]
        return all(fitted)

    def _take(self, need: Resources) -> bool:
        for number, each in enumerate(self._free):
            if each.fits(need):
                self._free[number] = each.minus(need)
                return True
        return False


def keep_fitting(
    decision: Decision, waiting: Iterable[JobState], offered: OfferedCapacity
) -> list[JobState]:
    """Move refused jobs whose tasks all fit the offered resources to ``decision.timely``.

    Parameters
    ----------
    decision : Decision
        Result of a decision pass; changed in place.
    waiting : iterable of JobState
        The backlog of the service, most urgent first.
    offered : OfferedCapacity
        What is on offer; more urgent jobs take their part of it first, as in placement.

    Returns
    -------
    list of JobState
        Jobs that were moved.
    """
    kept = []
    refused = {refusal.job: refusal for refusal in decision.refused}
    for job in waiting:
        if job not in refused:
            offered.take(needs_of(job))
        elif not _is_constrained(job) and offered.has_all(needs_of(job)):
            offered.take(needs_of(job))
            decision.refused.remove(refused[job])
            decision.timely.append(job)
            kept.append(job)
    return kept


def needs_of(job: JobState) -> list[Resources]:
    """Resources of each task of a job that may begin now."""
    return [job.step_of(task).need for task in job.ready_tasks()]


def _is_constrained(job: JobState) -> bool:
    """Whether some task may not run on every endpoint, so that free capacity says little."""
    return any(
        task.avoid or job.step_of(task).requires or job.step_of(task).max_per_endpoint
        for task in job.ready_tasks()
    )
