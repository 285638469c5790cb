"""Takes in how runs ended, and ends those of agents that are lost or never had them."""

from loguru import logger

from ..messages import Holding, RunRef, Withdraw
from .entry_context import EntryContext
from .job_handle import JobResult
from .job_state import JobOutcome
from .model import RunOutcome, instance_of

REFUSED_PAUSE_S = 0.05
"""Seconds for which an agent that refused for other reasons than room gets nothing new."""


class RunCompletions:
    """Ends runs, and with the last of them their job.

    Parameters
    ----------
    ctx : EntryContext
        The jobs and where their runs are.

    Attributes
    ----------
    opened_at : dict
        When the present connection of each agent's process was opened.
    """

    def __init__(self, ctx: EntryContext) -> None:
        self.opened_at: dict[str, float] = {}
        self._ctx = ctx

    def compare(self, msg: Holding, agent: str) -> None:
        """Compare what an agent holds with what it was assigned, after a connection has opened.

        A run that it does not hold may have been lost with a connection, or still be on its way by
        one: it is taken back, and counts as not begun once the agent has said so.
        """
        held = {(ref.task, ref.run) for ref in msg.runs}
        opened_at = self.opened_at.get(agent, 0.0)
        missing = [
            (name, run)
            for (name, run), job in self._ctx.out[agent].items()
            if (name, run) not in held and job.tasks[name].sent_at < opened_at
        ]
        # A withdrawal may have been lost with the connection, and its job be at work elsewhere.
        unwanted = [key for key in held if key not in self._ctx.out[agent]]
        if missing or unwanted:
            refs = [RunRef(*key) for key in sorted([*missing, *unwanted])]
            self._ctx.links.send(agent, Withdraw(refs))

    def take(self, agent: str, name: str, run: int, how: RunOutcome) -> None:
        """Take in how a run of an agent ended."""
        job = self._ctx.out[agent].pop((name, run), None)
        if job is None or not job.ended(name, run, how):
            self._ctx.metrics.count("late_ends", label=how.name.lower())
            return
        self._ctx.metrics.count("runs_back", label=how.name.lower())
        if how in (RunOutcome.NOT_STARTED, RunOutcome.DRAINING):
            self._ctx.view.get_or_add(agent).failed_until = self._ctx.clock.now() + REFUSED_PAUSE_S
        if how not in (RunOutcome.DONE, RunOutcome.NO_ROOM):
            logger.bind(task=name, run=run, peer=agent, how=how.name.lower()).info("run came back")
        if job.failed:
            self._ctx.finish(job, JobResult(JobOutcome.FAILED, f"{name} failed too often"))
        elif job.is_done:
            self._ctx.finish(job, JobResult(JobOutcome.COMPLETED, "every task is done"))
        elif job.ready() and job.spec.job_id in self._ctx.jobs:
            self._ctx.backlog.put(job)

    def lose_earlier_lives(self, agent: str) -> None:
        """End what earlier processes of an agent's instance held: it has made sure of that."""
        for process in list(self._ctx.view.agents):
            if process != agent and instance_of(process) == instance_of(agent):
                self.lose(process, "a later process of the agent is at work")

    def lose(self, process: str, reason: str) -> None:
        """End everything that an agent's process was assigned: nothing of it can run any more."""
        self._ctx.view.forget(process)
        held = list(self._ctx.out[process])
        if held:
            logger.bind(peer=process, runs=len(held), reason=reason).warning("runs lost")
        for name, run in held:
            self.take(process, name, run, RunOutcome.LOST)
        self._ctx.out.pop(process, None)
        self.opened_at.pop(process, None)
