"""Tracks the runs at an agent's endpoint, from the start command until proof that they ended."""

from collections.abc import Iterator
from math import inf

from .model import HoldReply, RunOutcome
from .progress import RunProgress
from .resources import ResourcePool, Resources, sum_of
from .run_state import FinishedRun, Phase, Run, RunKey

MAX_MISSING_POLLS = 2
"""Polls that may list a confirmed run as neither active nor ended before it is stopped."""

STOP_RETRY_INTERVAL_S = 0.1


class RunTable:
    """Runs of one endpoint, updated with its replies; it does no I/O.

    Resources are released only on proof that a run is gone: it is listed as ended, its start was
    refused, its stop was confirmed and a later poll no longer lists it, or every lease has expired.

    Examples
    --------
    >>> table = RunTable()
    >>> table.reset(Resources(2000, 64))
    >>> table.begin(("t", 1), "e1", Resources(1600, 64), 100, now=0.0)
    True
    >>> table.resources.free.cpu
    400
    """

    def __init__(self) -> None:
        self.runs: dict[RunKey, Run] = {}
        self.resources = ResourcePool()
        self.acknowledged = 0
        self.unknown_runs: set[RunKey] = set()
        self.is_polled = False
        self._leases_ended = False
        # When the stop of each was confirmed; infinite until then.
        self._late_starts: dict[RunKey, float] = {}
        self._stop_sent_at: dict[RunKey, float] = {}

    def reset(self, capacity: Resources) -> None:
        """Start over with another endpoint, which has no runs of this agent."""
        self.runs.clear()
        self.resources = ResourcePool(capacity)
        self.acknowledged = 0
        self.unknown_runs = set()
        self.is_polled = False
        self._leases_ended = False
        self._late_starts.clear()

    def begin_incarnation(self) -> list[FinishedRun]:
        """Start over with a later incarnation, and return the runs lost with the earlier one.

        A run that no poll has listed may have reached either incarnation. It keeps its resources
        until polls of the later one decide, and is never reported as not run. Starts that may
        still be carried out have to be stopped at the later one too.
        """
        self._late_starts = dict.fromkeys(self._late_starts, inf)
        finished = self._mark_lost([run.key for run in self.runs.values() if run.listed])
        for run in self.runs.values():
            run.carried_over = True
            run.stopped_at = None
            if run.stop_outcome.never_ran:
                run.stop_outcome = RunOutcome.LOST
        self.acknowledged = 0
        self.unknown_runs = set()
        self.is_polled = False
        self._leases_ended = False
        return finished

    @property
    def is_reconciled(self) -> bool:
        """Whether the endpoint was polled and neither has nor may begin runs that are not known."""
        return self.is_polled and not self.unknown_runs and not self._late_starts

    def begin(self, key: RunKey, entry: str, need: Resources, estimate_ms: int, now: float) -> bool:
        """Allocate resources for a run about to be started; false if they are not free."""
        if key in self.runs or not self.resources.allocate(key, need):
            return False
        self.runs[key] = Run(key, entry, need, estimate_ms, now, progress=RunProgress(now))
        return True

    def runs_of_task(self, task: str) -> list[Run]:
        """Runs of a task that have not ended."""
        return [run for run in self.runs.values() if run.key[0] == task]

    def of_entry(self, entry: str) -> list[Run]:
        """Runs that an entry assigned."""
        return [run for run in self.runs.values() if run.entry == entry]

    def can_start(self, key: RunKey) -> bool:
        """Whether an accepted run fits the capacity beside all runs whose start was sent.

        The capacity may have shrunk since it was accepted.
        """
        capacity = self.resources.capacity
        if capacity.fits(self.resources.used):
            return True
        present = [r.need for r in self.runs.values() if r.start_sent or r.key == key]
        return capacity.fits(sum_of(present))

    def started(self, key: RunKey, now: float) -> None:
        """Record that the endpoint confirmed a start."""
        run = self.runs.get(key)
        if run is not None:
            run.answered_at = now
            if run.phase is Phase.STARTING:
                run.phase = Phase.RUNNING

    def refused(self, key: RunKey, how: RunOutcome) -> FinishedRun | None:
        """Record that the endpoint refused a start, which proves that the run did nothing."""
        return self._finish(key, how)

    def unanswered(self, key: RunKey, now: float) -> None:
        """Record that a start got no answer: the run may have started, may yet start, or never."""
        run = self.runs.get(key)
        if run is not None and run.phase is Phase.STARTING:
            run.phase = Phase.DOUBTFUL
            run.answered_at = now

    def request_stop(self, key: RunKey, outcome: RunOutcome) -> bool:
        """Mark a run to be stopped; false if it has ended or is being stopped."""
        run = self.runs.get(key)
        if run is None or run.phase is Phase.STOPPING:
            return False
        run.phase = Phase.STOPPING
        run.stop_outcome = outcome
        return True

    def limit_lease(self, key: RunKey, until: float) -> None:
        """Set the time by which a run's lease must have expired, unless its stop is confirmed."""
        run = self.runs.get(key)
        if run is not None:
            run.lease_limit = min(run.lease_limit, until)

    def end_leases(self) -> None:
        """Renew no lease of this incarnation any more."""
        self._leases_ended = True

    @property
    def lease_limit(self) -> float:
        """Monotonic time past which no lease may be renewed; infinite if no run has to end.

        A lease covers every run of the endpoint, so one that has to end limits those of all others
        until its stop is confirmed.
        """
        if self._leases_ended:
            return 0.0
        unconfirmed = (run.lease_limit for run in self.runs.values() if run.stopped_at is None)
        return min(unconfirmed, default=inf)

    def stop_confirmed(self, key: RunKey, now: float) -> None:
        """Record that the endpoint is ending this run, or will not start it any more."""
        run = self.runs.get(key)
        if run is not None and run.stopped_at is None:
            run.stopped_at = now
        if key in self._late_starts:
            self._late_starts[key] = min(now, self._late_starts[key])

    def due_stops(self, now: float) -> list[RunKey]:
        """Runs, unknown ones included, for which a stop or a retry of it is due."""
        own = {
            run.key
            for run in self.runs.values()
            if run.phase is Phase.STOPPING and run.stopped_at is None
        }
        late = {key for key, stopped_at in self._late_starts.items() if stopped_at == inf}
        to_stop = own | late | self.unknown_runs
        if not to_stop:
            self._stop_sent_at.clear()
            return []
        self._stop_sent_at = {key: at for key, at in self._stop_sent_at.items() if key in to_stop}
        due = [
            k
            for k in sorted(to_stop)
            if now - self._stop_sent_at.get(k, 0.0) >= STOP_RETRY_INTERVAL_S
        ]
        self._stop_sent_at.update(dict.fromkeys(due, now))
        return due

    def apply_poll(self, reply: HoldReply, now: float) -> list[FinishedRun]:
        """Apply an endpoint's lists, and return the runs that are now proved to have ended."""
        self.is_polled = True
        finished = list(self._apply_ended(reply))
        active = {(row.task, row.run): row.percent for row in reply.active}
        self.unknown_runs = {key for key in active if key not in self.runs}
        self._late_starts = {
            key: at for key, at in self._late_starts.items() if at >= reply.asked_at
        }
        for run in list(self.runs.values()):
            if run.key in active:
                self._mark_active(run, active[run.key], now)
            else:
                finished += self._check_unlisted(run, reply.asked_at)
        return finished

    def _apply_ended(self, reply: HoldReply) -> Iterator[FinishedRun]:
        for row in reply.ended:
            if row.number <= self.acknowledged:
                continue
            self.acknowledged = row.number
            run = self.runs.get((row.task, row.run))
            if run is None:
                continue
            how = run.stop_outcome if row.how is RunOutcome.STOPPED else row.how
            # A run that has started is never reported as not run.
            how = RunOutcome.STOPPED if how.never_ran else how
            done = self._finish(run.key, how)
            if done is not None:
                yield done

    def _mark_active(self, run: Run, percent: float, now: float) -> None:
        run.missing_polls = 0
        run.listed = True
        run.progress = run.progress.updated(percent, now)
        if run.phase in (Phase.STARTING, Phase.DOUBTFUL):
            run.phase = Phase.RUNNING
            run.answered_at = now
        if run.phase is Phase.STOPPING and run.stop_outcome.never_ran:
            run.stop_outcome = RunOutcome.STOPPED

    def _check_unlisted(self, run: Run, asked_at: float) -> Iterator[FinishedRun]:
        if run.phase is Phase.DOUBTFUL and asked_at > run.answered_at:
            self.request_stop(
                run.key, RunOutcome.LOST if run.carried_over else RunOutcome.NOT_STARTED
            )
        elif run.phase is Phase.RUNNING and asked_at > run.answered_at:
            run.missing_polls += 1
            if run.missing_polls >= MAX_MISSING_POLLS:
                self.request_stop(run.key, RunOutcome.LOST)
        elif run.stopped_at is not None and asked_at > run.stopped_at:
            done = self._finish(run.key, run.stop_outcome)
            if done is not None:
                yield done

    def expire_all(self) -> list[FinishedRun]:
        """End every run as lost, since every lease has expired.

        A start without an answer may still be carried out. It is stopped once the endpoint answers
        again; until then no lease is renewed under which it could run.
        """
        late = (run.key for run in self.runs.values() if run.may_start_late)
        self._late_starts.update(dict.fromkeys(late, inf))
        return self.mark_all_lost()

    def mark_all_lost(self) -> list[FinishedRun]:
        """End every run as lost, since the endpoint is gone."""
        return self._mark_lost(list(self.runs))

    def _mark_lost(self, keys: list[RunKey]) -> list[FinishedRun]:
        finished = [self._finish(key, RunOutcome.LOST) for key in keys]
        return [each for each in finished if each is not None]

    def _finish(self, key: RunKey, how: RunOutcome) -> FinishedRun | None:
        run = self.runs.pop(key, None)
        if run is None:
            return None
        self.resources.release(key)
        return FinishedRun(run, how)
