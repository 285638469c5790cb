"""Records how runs ended, and ends the runs of agents that are lost or never received them."""

from loguru import logger

from .entry_context import EntryContext
from .job_handle import JobResult
from .job_state import JobOutcome
from .messages import Holding, RunRef, Withdraw
from .model import RunOutcome, is_earlier_process

REFUSAL_BACKOFF_S = 0.05
"""Seconds without new runs for an agent that refused one for another reason than resources."""


class RunCompletions:
    """Ends runs, and with the last of them their job.

    Parameters
    ----------
    ctx : EntryContext
        Jobs and their assigned runs.

    Attributes
    ----------
    opened_at : dict
        Monotonic time at which the present connection of each agent's process was opened.

    Examples
    --------
    ``completions.record_end(agent, task, run, how)`` when an agent reports an ended run, and
    ``completions.lose_process(process, reason)`` when all its leases have expired.
    """

    def __init__(self, ctx: EntryContext) -> None:
        self.opened_at: dict[str, float] = {}
        self._ctx = ctx

    def reconcile(self, msg: Holding, agent: str) -> None:
        """Compare the runs that an agent holds with those assigned to it, after a reconnect.

        A run that it does not hold may have been lost with a connection, or may still be in flight
        on one: it is withdrawn, and counts as not begun once the agent has confirmed that.
        """
        held = {(ref.task, ref.run) for ref in msg.runs}
        opened_at = self.opened_at.get(agent, 0.0)
        missing = [
            (name, run)
            for (name, run), job in self._ctx.assigned_runs[agent].items()
            if (name, run) not in held and job.tasks[name].sent_at < opened_at
        ]
        # Their withdrawal may have been lost with the connection, and their tasks run elsewhere.
        unwanted = [key for key in held if key not in self._ctx.assigned_runs[agent]]
        if missing or unwanted:
            refs = [RunRef(*key) for key in sorted([*missing, *unwanted])]
            self._ctx.links.send(agent, Withdraw(refs))

    def record_end(self, agent: str, name: str, run: int, how: RunOutcome, ran_ms: int = 0) -> None:
        """Record how a run of an agent ended."""
        job = self._ctx.assigned_runs[agent].pop((name, run), None)
        if job is None or not job.end_run(name, run, how):
            self._ctx.metrics.count("late_ends", label=how.name.lower())
            return
        self._ctx.metrics.count("runs_back", label=how.name.lower())
        if how is RunOutcome.DONE:
            estimate_ms = max(1, job.step_of(job.tasks[name]).estimate_ms)
            self._ctx.view.record_run_time(agent, job.queue.name, ran_ms / estimate_ms)
        if how in (RunOutcome.NOT_STARTED, RunOutcome.DRAINING):
            self._ctx.view.get_or_add(agent).backoff_until = (
                self._ctx.clock.now() + REFUSAL_BACKOFF_S
            )
        if how not in (RunOutcome.DONE, RunOutcome.NO_ROOM):
            logger.bind(task=name, run=run, peer=agent, how=how.name.lower()).info("run came back")
        if job.failed:
            self._ctx.finish(job, JobResult(JobOutcome.FAILED, f"{name} failed too often"))
        elif job.is_done:
            self._ctx.finish(job, JobResult(JobOutcome.COMPLETED, "every task is done"))
        elif job.ready_tasks() and job.spec.job_id in self._ctx.jobs:
            self._ctx.backlog.put(job)

    def lose_earlier_processes(self, agent: str) -> None:
        """End the runs of earlier processes of an agent's instance, which the agent has stopped.

        Messages of an earlier process may arrive after those of a later one, which is still alive.
        """
        for process in list(self._ctx.view.agents):
            if is_earlier_process(process, agent):
                self.lose_process(process, "a later process of the agent is at work")

    def lose_process(self, process: str, reason: str) -> None:
        """End all runs of an agent's process, of which none can be at work any more."""
        self._ctx.view.remove_agent(process)
        held = list(self._ctx.assigned_runs[process])
        if held:
            logger.bind(peer=process, runs=len(held), reason=reason).warning("runs lost")
        for name, run in held:
            self.record_end(process, name, run, RunOutcome.LOST)
        self._ctx.assigned_runs.pop(process, None)
        self.opened_at.pop(process, None)
