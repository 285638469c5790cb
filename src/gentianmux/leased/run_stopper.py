"""Stops runs at an agent's endpoint, repeating each command until it is confirmed."""

from loguru import logger

from .agent_context import AgentContext
from .model import RunOutcome
from .run_state import RunKey


class RunStopper:
    """Stops runs that are no longer wanted or must not go on.

    Parameters
    ----------
    ctx : AgentContext
        Shared state of the agent.

    Examples
    --------
    ``stopper.stop(key, RunOutcome.STOPPED, "withdrawn")``, and ``stopper.send_due_stops()`` once
    all runs to be stopped are marked.
    """

    def __init__(self, ctx: AgentContext) -> None:
        self._ctx = ctx

    def stop(self, key: RunKey, outcome: RunOutcome, reason: str) -> None:
        """Mark a run to be stopped; it keeps its resources until a poll shows that it ended."""
        if self._ctx.table.request_stop(key, outcome):
            self._ctx.metrics.count("runs_stopped", label=outcome.name.lower())
            logger.bind(task=key[0], run=key[1], reason=reason).info("run stopped")

    def stop_in_time(self, key: RunKey, reason: str, since: float) -> None:
        """Stop a run, and make sure that it ends within one lease after ``since``.

        Its task may then be started elsewhere. Leases cover all runs of an endpoint, so none is
        renewed beyond that time until the stop is confirmed.

        Parameters
        ----------
        key : RunKey
            The run.
        reason : str
            Logged reason.
        since : float
            Monotonic time from which its lease may not be renewed, in seconds.
        """
        self._ctx.table.limit_lease(key, since + self._ctx.lease_s)
        self.stop(key, RunOutcome.STOPPED, reason)

    def send_due_stops(self) -> None:
        """Send the endpoint the stops that it has not confirmed."""
        for key in self._ctx.table.due_stops(self._ctx.clock.now()):
            self._ctx.clock.call_soon(self._send_stop, key)

    def _send_stop(self, key: RunKey) -> None:
        if self._ctx.driver.stop(*key):
            self._ctx.table.stop_confirmed(key, self._ctx.clock.now())
            if key in self._ctx.table.runs and self._ctx.table.runs[key].stop_outcome.never_ran:
                self._ctx.poller.poll_now()

    def stop_expired(self) -> None:
        """Stop the runs of entries whose lease has expired.

        Called before each renewal too: a process that was paused may poll before it checks leases.
        """
        now = self._ctx.clock.now()
        leases = self._ctx.reporter.leases
        entries = {run.entry for run in self._ctx.table.runs.values()}
        for entry in sorted(entry for entry in entries if not leases.holds(entry, now)):
            for run in self._ctx.table.of_entry(entry):
                self.stop_in_time(run.key, f"{entry} no longer echoes", leases.expires_at(entry))
        self.send_due_stops()
