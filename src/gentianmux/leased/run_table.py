"""What an agent has asked its endpoint to run, from the order until the proof that it is gone."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from .model import HoldReply, RunOutcome
from .progress import RunProgress
from .resources import ResourcePool, Resources

RunKey = tuple[str, int]
"""A task's name and the number of its run."""

MISSING_LOOKS = 2
"""Looks in which a confirmed run is neither active nor ended before it is stopped for good."""

STOP_AGAIN_S = 0.1
"""Seconds between tries of a stop that the endpoint has not confirmed."""


class Phase(Enum):
    """How far a run is; room is held in all of them."""

    STARTING = "starting"
    DOUBTFUL = "doubtful"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass
class Run:
    """One run at the endpoint, and for whom it runs.

    Attributes
    ----------
    listed : bool
        Whether a look has shown it at work.
    carried : bool
        Whether it was ordered before the endpoint started again: it may have run, and ended then.
    """

    key: RunKey
    entry: str
    need: Resources
    estimate_ms: int
    began: float
    phase: Phase = Phase.STARTING
    answered_at: float = 0.0
    stop_why: RunOutcome = RunOutcome.STOPPED
    stopped_at: float | None = None
    listed: bool = False
    carried: bool = False
    missing: int = 0
    progress: RunProgress = field(default_factory=lambda: RunProgress(0.0))

    @property
    def confirmed(self) -> bool:
        """Whether the endpoint has said that it runs, and it has not been told to stop."""
        return self.phase is Phase.RUNNING


class Finished(NamedTuple):
    """A run that is gone, and how."""

    run: Run
    how: RunOutcome


class RunTable:
    """The account of one endpoint's runs; pure, fed with answers and looks.

    Room returns only on proof: an end that the endpoint lists, a start that it refused, or a
    confirmed stop followed by a look that no longer shows the run.

    Examples
    --------
    >>> table = RunTable()
    >>> table.reset(Resources(2000, 64))
    >>> table.begin(("t", 1), "e1", Resources(1600, 64), 100, now=0.0)
    True
    >>> table.room.free.cpu
    400
    """

    def __init__(self) -> None:
        self.runs: dict[RunKey, Run] = {}
        self.room = ResourcePool()
        self.acknowledged = 0
        self.foreign: set[RunKey] = set()
        self.looked = False
        self._stop_asked: dict[RunKey, float] = {}

    def reset(self, capacity: Resources) -> None:
        """Begin with another life of the endpoint, which runs nothing of ours."""
        self.runs.clear()
        self.room = ResourcePool(capacity)
        self.acknowledged = 0
        self.foreign = set()
        self.looked = False

    def turn_over(self) -> list[Finished]:
        """Begin with a later life of the endpoint, and end what the earlier one was seen to run.

        A start that no look has shown may have reached either life. It keeps its room until looks
        at the later one tell, and is never reported as one that did nothing.
        """
        finished = self._lose([run.key for run in self.runs.values() if run.listed])
        for run in self.runs.values():
            run.carried = True
            run.stopped_at = None
            if run.stop_why.never_ran:
                run.stop_why = RunOutcome.LOST
        self.acknowledged = 0
        self.foreign = set()
        self.looked = False
        return finished

    @property
    def is_clean(self) -> bool:
        """Whether the endpoint was looked at and runs nothing that an earlier agent began."""
        return self.looked and not self.foreign

    def begin(self, key: RunKey, entry: str, need: Resources, estimate_ms: int, now: float) -> bool:
        """Take room for a run about to be started; false when there is none."""
        if key in self.runs or not self.room.allocate(key, need):
            return False
        self.runs[key] = Run(key, entry, need, estimate_ms, now, progress=RunProgress(now))
        return True

    def runs_of_task(self, task: str) -> list[Run]:
        """Runs of a task that are not yet gone."""
        return [run for run in self.runs.values() if run.key[0] == task]

    def of_entry(self, entry: str) -> list[Run]:
        """Runs that an entry answers for."""
        return [run for run in self.runs.values() if run.entry == entry]

    def started(self, key: RunKey, now: float) -> None:
        """Note that the endpoint confirmed a start."""
        run = self.runs.get(key)
        if run is not None:
            run.answered_at = now
            if run.phase is Phase.STARTING:
                run.phase = Phase.RUNNING

    def refused(self, key: RunKey, how: RunOutcome) -> Finished | None:
        """Note that the endpoint refused a start, which proves that it did nothing."""
        return self._finish(key, how)

    def unanswered(self, key: RunKey, now: float) -> None:
        """Note that a start got no answer: it may be done already, later, or never."""
        run = self.runs.get(key)
        if run is not None and run.phase is Phase.STARTING:
            run.phase = Phase.DOUBTFUL
            run.answered_at = now

    def want_stopped(self, key: RunKey, why: RunOutcome) -> bool:
        """Mark a run to be stopped; false when it is gone or being stopped."""
        run = self.runs.get(key)
        if run is None or run.phase is Phase.STOPPING:
            return False
        run.phase = Phase.STOPPING
        run.stop_why = why
        return True

    def stop_confirmed(self, key: RunKey, now: float) -> None:
        """Note that the endpoint will not begin this run any more, and is ending it."""
        run = self.runs.get(key)
        if run is not None and run.stopped_at is None:
            run.stopped_at = now

    def due_stops(self, now: float) -> list[RunKey]:
        """Runs, also foreign ones, to be told to stop now; each again only after a pause."""
        mine = {
            run.key
            for run in self.runs.values()
            if run.phase is Phase.STOPPING and run.stopped_at is None
        }
        wanted = mine | self.foreign
        if not wanted:
            self._stop_asked.clear()
            return []
        self._stop_asked = {key: at for key, at in self._stop_asked.items() if key in wanted}
        due = [k for k in sorted(wanted) if now - self._stop_asked.get(k, 0.0) >= STOP_AGAIN_S]
        self._stop_asked.update(dict.fromkeys(due, now))
        return due

    def looked_at(self, reply: HoldReply, now: float) -> list[Finished]:
        """Take in an endpoint's lists and return the runs that are now proved gone."""
        self.looked = True
        finished = list(self._take_ends(reply))
        active = {(row.task, row.run): row.percent for row in reply.active}
        self.foreign = {key for key in active if key not in self.runs}
        for run in list(self.runs.values()):
            if run.key in active:
                self._seen_active(run, active[run.key], now)
            else:
                finished += self._not_listed(run, reply.asked_at)
        return finished

    def _take_ends(self, reply: HoldReply) -> Iterator[Finished]:
        for row in reply.ended:
            if row.number <= self.acknowledged:
                continue
            self.acknowledged = row.number
            run = self.runs.get((row.task, row.run))
            if run is None:
                continue
            how = run.stop_why if row.how is RunOutcome.STOPPED else row.how
            # A run that did begin is never reported as one that did nothing.
            how = RunOutcome.STOPPED if how.never_ran else how
            done = self._finish(run.key, how)
            if done is not None:
                yield done

    def _seen_active(self, run: Run, percent: float, now: float) -> None:
        run.missing = 0
        run.listed = True
        run.progress = run.progress.updated(percent, now)
        if run.phase in (Phase.STARTING, Phase.DOUBTFUL):
            run.phase = Phase.RUNNING
            run.answered_at = now
        if run.phase is Phase.STOPPING and run.stop_why.never_ran:
            run.stop_why = RunOutcome.STOPPED

    def _not_listed(self, run: Run, asked_at: float) -> Iterator[Finished]:
        if run.phase is Phase.DOUBTFUL and asked_at > run.answered_at:
            self.want_stopped(run.key, RunOutcome.LOST if run.carried else RunOutcome.NOT_STARTED)
        elif run.phase is Phase.RUNNING and asked_at > run.answered_at:
            run.missing += 1
            if run.missing >= MISSING_LOOKS:
                self.want_stopped(run.key, RunOutcome.LOST)
        elif run.stopped_at is not None and asked_at > run.stopped_at:
            done = self._finish(run.key, run.stop_why)
            if done is not None:
                yield done

    def lose_all(self) -> list[Finished]:
        """End every run: its endpoint's life, or every lease, is over."""
        return self._lose(list(self.runs))

    def _lose(self, keys: list[RunKey]) -> list[Finished]:
        finished = [self._finish(key, RunOutcome.LOST) for key in keys]
        return [each for each in finished if each is not None]

    def _finish(self, key: RunKey, how: RunOutcome) -> Finished | None:
        run = self.runs.pop(key, None)
        if run is None:
            return None
        self.room.release(key)
        return Finished(run, how)
