"""Accepts the runs that entries assign and starts them at an agent's endpoint."""

from loguru import logger

from .agent_context import AgentContext, job_id_of
from .messages import LeasedTask
from .model import RunOutcome, StartResult
from .resources import Resources
from .run_state import RunKey
from .run_stopper import RunStopper
from .withdrawn_runs import WithdrawnRuns

REPLACE_TIMEOUT_S = 0.8
"""How long a run waits for an earlier run of its task to end: one lease and one stop."""

REPLACE_CHECK_INTERVAL_S = 0.01
"""Interval between checks whether the earlier run has ended; a stop takes up to 50 ms."""

MIN_START_LEASE_S = 0.2
"""Shortest lease with which a run is started: two polls, so that the lease can be renewed."""

_REFUSAL_OUTCOMES = {
    StartResult.OLD_RUN: RunOutcome.OLD_RUN,
    StartResult.NO_ROOM: RunOutcome.NO_ROOM,
    StartResult.UNHEALTHY: RunOutcome.NOT_STARTED,
    StartResult.REFUSED: RunOutcome.NOT_STARTED,
    StartResult.REPLACED: RunOutcome.NOT_STARTED,
}


class RunStarter:
    """Starts runs that fit the endpoint's free resources, one at a time for each task.

    Parameters
    ----------
    ctx : AgentContext
        Shared state of the agent.
    stopper : RunStopper
        Stops an earlier run of a task.

    Attributes
    ----------
    replacing : set
        Runs that wait for an earlier run of their task to end.

    Examples
    --------
    ``starter.accept(task, payload, "e1.5")`` returns how the run was refused, or None.
    """

    def __init__(self, ctx: AgentContext, stopper: RunStopper) -> None:
        self.replacing: set[RunKey] = set()
        self._ctx = ctx
        self._stopper = stopper
        self._withdrawn = WithdrawnRuns()

    def accept(self, task: LeasedTask, payload: str, entry: str) -> RunOutcome | None:
        """Accept a run and start it; return how it was refused, or None if it was accepted."""
        key = (task.name, task.run)
        if self._withdrawn.holds(entry, key):
            return RunOutcome.NOT_STARTED
        if self._is_cancelled(task.name, entry):
            return RunOutcome.NOT_STARTED
        if not self._ctx.is_accepting or task.estimate_ms > self._ctx.max_estimate_ms():
            return RunOutcome.DRAINING
        if key in self._ctx.table.runs and self._ctx.table.runs[key].entry == entry:
            return None
        if self._ctx.table.runs_of_task(task.name):
            # An earlier run, perhaps of another entry, has to end first.
            for run in self._ctx.table.runs_of_task(task.name):
                self._stopper.stop(run.key, RunOutcome.STOPPED, "replaced by a newer run")
            self._stopper.send_due_stops()
            until = self._ctx.clock.now() + REPLACE_TIMEOUT_S
            args = (task, payload, entry, until)
            self._ctx.clock.call_later(REPLACE_CHECK_INTERVAL_S, self._accept_when_gone, *args)
            self.replacing.add(key)
            return None
        now = self._ctx.clock.now()
        need = Resources(task.cpu, task.mem_mb, task.gpu)
        if not self._ctx.offered().fits(need):
            return RunOutcome.NO_ROOM
        if not self._ctx.table.begin(key, entry, need, task.estimate_ms, now):
            return RunOutcome.NO_ROOM
        self._ctx.table.runs[key].level = task.level_permille / 1000 or 1.0
        self._ctx.reporter.grants.task_cpu = need.cpu
        self._ctx.reporter.shares.demand.record_work(entry, need.cpu, task.estimate_ms, now)
        self._ctx.metrics.count("runs_started")
        logger.bind(
            task=task.name,
            run=task.run,
            peer=entry,
            cpu=need.cpu,
            free_cpu=self._ctx.table.resources.free.cpu,
            runs=len(self._ctx.table.runs),
        ).info("run begun")
        self._ctx.clock.call_soon(self._start, task, payload)
        return None

    def _is_cancelled(self, task: str, entry: str) -> bool:
        """Whether a task's job was cancelled, of which its entry is then informed."""
        job_id = job_id_of(task)
        broadcast = self._ctx.cancel_broadcast
        if not broadcast.cancellations.holds(job_id, self._ctx.clock.now()):
            return False
        broadcast.send_one(entry, job_id)
        return True

    def _accept_when_gone(self, task: LeasedTask, payload: str, entry: str, until: float) -> None:
        """Accept a run once no earlier run of its task is left, unless it was withdrawn."""
        if (task.name, task.run) not in self.replacing:
            return
        now = self._ctx.clock.now()
        gone = not self._ctx.table.runs_of_task(task.name)
        if not gone and now < until:
            args = (task, payload, entry, until)
            self._ctx.clock.call_later(REPLACE_CHECK_INTERVAL_S, self._accept_when_gone, *args)
            return
        self.replacing.discard((task.name, task.run))
        has_lease = self._ctx.reporter.leases.holds(entry, now)
        how = self.accept(task, payload, entry) if gone and has_lease else RunOutcome.NOT_STARTED
        if how is not None:
            self._ctx.reporter.record_ended(entry, task.name, task.run, how, 0)
            self._ctx.reporter.send_ended(entry)

    def _start(self, task: LeasedTask, payload: str) -> None:
        key = (task.name, task.run)
        now = self._ctx.clock.now()
        if key not in self._ctx.table.runs:
            return
        run = self._ctx.table.runs[key]
        has_lease = self._ctx.reporter.leases.holds(run.entry, now)
        if run.carried_over or not has_lease or not self._ctx.is_confirmed:
            # The endpoint restarted, or this process was paused or its machine suspended since it
            # accepted the run: there may be fewer resources, and the task may run elsewhere.
            self._end_refused(key, RunOutcome.NOT_STARTED)
            return
        if self._ctx.is_evacuated:
            self._end_refused(key, RunOutcome.DRAINING)
            return
        # This process may have been paused since it last checked the leases of entries.
        self._stopper.stop_expired()
        lease_s = min(self._ctx.lease_s, self._ctx.table.lease_limit - now)
        if lease_s < MIN_START_LEASE_S:
            # A start renews the lease of every run at the endpoint, and one of them has to end.
            self._end_refused(key, RunOutcome.NOT_STARTED)
            return
        if not self._ctx.table.can_start(key):
            logger.bind(
                task=task.name,
                run=task.run,
                cpu=run.need.cpu,
                capacity=self._ctx.table.resources.capacity,
                used=self._ctx.table.resources.used,
            ).info("start dropped, the endpoint shrank")
            self._end_refused(key, RunOutcome.NO_ROOM)
            return
        run.start_sent = True
        result = self._ctx.driver.start(task.name, task.run, payload, lease_s, now)
        now = self._ctx.clock.now()
        if result is StartResult.STARTED:
            self._ctx.table.started(key, now)
            return
        if result is StartResult.NO_ANSWER:
            logger.bind(task=task.name, run=task.run).warning("a start was not answered")
            self._ctx.metrics.count("starts_unanswered")
            self._ctx.table.unanswered(key, now)
            self._ctx.poller.poll_now()
            self._stopper.send_due_stops()
            return
        logger.bind(task=task.name, run=task.run, verdict=result.value).warning("start refused")
        if result is StartResult.UNHEALTHY:
            self._ctx.health.ended(job_id_of(task.name), True, None, now)
        self._end_refused(key, _REFUSAL_OUTCOMES[result])

    def _end_refused(self, key: RunKey, how: RunOutcome) -> None:
        done = self._ctx.table.refused(key, how)
        if done is not None:
            self._ctx.handle_finished([done])
            self._ctx.reporter.offer_resources()

    def withdraw(self, key: RunKey, entry: str) -> None:
        """Reject a run for good, if it has not begun or has ended, and report it as not started.

        Only this report proves to the entry that the run did nothing: its assignment may still be
        in flight.
        """
        self.replacing.discard(key)
        self._withdrawn.add(entry, key, self._ctx.clock.now())
        self._ctx.reporter.record_ended(entry, *key, RunOutcome.NOT_STARTED, 0)
