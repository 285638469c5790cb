"""Takes on the runs that entries assign, and starts them at an agent's endpoint."""

from loguru import logger

from ..messages import LeasedTask
from .agent_context import AgentContext, job_of
from .model import RunOutcome, StartResult
from .resources import Resources
from .run_stopper import RunStops
from .run_table import RunKey
from .withdrawn_runs import WithdrawnRuns

REPLACE_S = 0.8
"""Seconds that a run waits for an earlier run of its task to be gone, a lease and a stop."""

REPLACE_CHECK_S = 0.01
"""Seconds between looks for that; a stop takes up to 50 ms."""

_NOT_RUN = {
    StartResult.OLD_RUN: RunOutcome.OLD_RUN,
    StartResult.NO_ROOM: RunOutcome.NO_ROOM,
    StartResult.UNHEALTHY: RunOutcome.NOT_STARTED,
    StartResult.REFUSED: RunOutcome.NOT_STARTED,
    StartResult.REPLACED: RunOutcome.NOT_STARTED,
}


class RunStarts:
    """Begins runs where there is room for them, and never two of one task.

    Parameters
    ----------
    ctx : AgentContext
        The endpoint and its runs.
    stops : RunStops
        Stops an earlier run of a task.

    Attributes
    ----------
    replacing : set
        Runs that wait until an earlier one of their task is gone.

    Examples
    --------
    ``starts.begin(task, payload, "e1.5")`` gives how a run was refused, None when it begins.
    """

    def __init__(self, ctx: AgentContext, stops: RunStops) -> None:
        self.replacing: set[RunKey] = set()
        self._ctx = ctx
        self._stops = stops
        self._withdrawn = WithdrawnRuns()

    def begin(self, task: LeasedTask, payload: str, entry: str) -> RunOutcome | None:
        """Begin a run; how it was refused, or None when it was not."""
        key = (task.name, task.run)
        if self._withdrawn.holds(entry, key):
            return RunOutcome.NOT_STARTED
        if not self._ctx.is_accepting or task.estimate_ms > self._ctx.longest_ms():
            return RunOutcome.DRAINING
        if key in self._ctx.table.runs and self._ctx.table.runs[key].entry == entry:
            return None
        if self._ctx.table.runs_of_task(task.name):
            # An earlier run, perhaps of another entry, has to be gone first.
            for run in self._ctx.table.runs_of_task(task.name):
                self._stops.stop(run.key, RunOutcome.STOPPED, "replaced by a newer run")
            self._stops.stop_due()
            until = self._ctx.clock.now() + REPLACE_S
            args = (task, payload, entry, until)
            self._ctx.clock.call_later(REPLACE_CHECK_S, self._begin_when_gone, *args)
            self.replacing.add(key)
            return None
        now = self._ctx.clock.now()
        need = Resources(task.cpu, task.mem_mb, task.gpu)
        if not self._ctx.offered().fits(need):
            return RunOutcome.NO_ROOM
        if not self._ctx.table.begin(key, entry, need, task.estimate_ms, now):
            return RunOutcome.NO_ROOM
        self._ctx.reports.grants.task_cpu = need.cpu
        self._ctx.metrics.count("runs_started")
        logger.bind(
            task=task.name,
            run=task.run,
            peer=entry,
            cpu=need.cpu,
            free_cpu=self._ctx.table.room.free.cpu,
            runs=len(self._ctx.table.runs),
        ).info("run begun")
        self._ctx.clock.call_soon(self._start, task, payload)
        return None

    def _begin_when_gone(self, task: LeasedTask, payload: str, entry: str, until: float) -> None:
        """Begin a run once every earlier run of its task is gone, unless it was withdrawn."""
        if (task.name, task.run) not in self.replacing:
            return
        now = self._ctx.clock.now()
        gone = not self._ctx.table.runs_of_task(task.name)
        if not gone and now < until:
            args = (task, payload, entry, until)
            self._ctx.clock.call_later(REPLACE_CHECK_S, self._begin_when_gone, *args)
            return
        self.replacing.discard((task.name, task.run))
        fresh = self._ctx.reports.chain.holds(entry, now)
        how = self.begin(task, payload, entry) if gone and fresh else RunOutcome.NOT_STARTED
        if how is not None:
            self._ctx.reports.ended(entry, task.name, task.run, how, 0)
            self._ctx.reports.flush_ended(entry)

    def _start(self, task: LeasedTask, payload: str) -> None:
        key = (task.name, task.run)
        now = self._ctx.clock.now()
        if key not in self._ctx.table.runs:
            return
        run = self._ctx.table.runs[key]
        if run.carried or not self._ctx.reports.chain.holds(run.entry, now):
            # Its endpoint has started again, or the process stood still since it took the run on:
            # the room may be less, and the run at work elsewhere.
            self._end_unstarted(key, RunOutcome.NOT_STARTED)
            return
        if self._ctx.is_evacuated:
            self._end_unstarted(key, RunOutcome.DRAINING)
            return
        verdict = self._ctx.driver.start(task.name, task.run, payload, self._ctx.lease_s, now)
        now = self._ctx.clock.now()
        if verdict is StartResult.STARTED:
            self._ctx.table.started(key, now)
            return
        if verdict is StartResult.NO_ANSWER:
            logger.bind(task=task.name, run=task.run).warning("a start was not answered")
            self._ctx.metrics.count("starts_unanswered")
            self._ctx.table.unanswered(key, now)
            self._ctx.poller.look_now()
            self._stops.stop_due()
            return
        logger.bind(task=task.name, run=task.run, verdict=verdict.value).warning("start refused")
        if verdict is StartResult.UNHEALTHY:
            self._ctx.health.ended(job_of(task.name), True, None, now)
        self._end_unstarted(key, _NOT_RUN[verdict])

    def _end_unstarted(self, key: RunKey, how: RunOutcome) -> None:
        done = self._ctx.table.refused(key, how)
        if done is not None:
            self._ctx.end_all([done])
            self._ctx.reports.offer_room()

    def take_back(self, key: RunKey, entry: str) -> None:
        """Promise that a run which has not begun, or has ended, will not begin any more.

        Only this proves to its entry that it did nothing: the order may still be on its way.
        """
        self.replacing.discard(key)
        self._withdrawn.add(entry, key, self._ctx.clock.now())
        self._ctx.reports.ended(entry, *key, RunOutcome.NOT_STARTED, 0)
