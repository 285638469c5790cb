"""Stops runs at an agent's endpoint, and tells it again until it has confirmed."""

from loguru import logger

from .agent_context import AgentContext
from .model import RunOutcome
from .run_table import RunKey


class RunStops:
    """Stops runs that are not wanted or may not go on.

    Parameters
    ----------
    ctx : AgentContext
        The endpoint and its runs.

    Examples
    --------
    ``stops.stop(key, RunOutcome.STOPPED, "withdrawn")``, and ``stops.stop_due()`` once all are named.
    """

    def __init__(self, ctx: AgentContext) -> None:
        self._ctx = ctx

    def stop(self, key: RunKey, why: RunOutcome, reason: str) -> None:
        """Have a run stopped; it is gone only once a look has shown that."""
        if self._ctx.table.want_stopped(key, why):
            self._ctx.metrics.count("runs_stopped", label=why.name.lower())
            logger.bind(task=key[0], run=key[1], reason=reason).info("run stopped")

    def stop_due(self) -> None:
        """Tell the endpoint of the stops that it has not confirmed."""
        for key in self._ctx.table.due_stops(self._ctx.clock.now()):
            self._ctx.clock.call_soon(self._call_stop, key)

    def _call_stop(self, key: RunKey) -> None:
        if self._ctx.driver.stop(*key):
            self._ctx.table.stop_confirmed(key, self._ctx.clock.now())
            if key in self._ctx.table.runs and self._ctx.table.runs[key].stop_why.never_ran:
                self._ctx.poller.look_now()

    def stop_unechoed(self) -> None:
        """Stop the runs of entries that no longer echo.

        Also before each renewal: a process that stood still may look before it checks the chains.
        """
        now = self._ctx.clock.now()
        for run in list(self._ctx.table.runs.values()):
            if not self._ctx.reports.chain.holds(run.entry, now):
                self.stop(run.key, RunOutcome.STOPPED, f"{run.entry} no longer echoes")
        self.stop_due()
