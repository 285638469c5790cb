"""Drains an agent whose process has to stop."""

import gevent

from .agent_context import AgentContext
from .endpoint_states import EndpointStates
from .model import RunOutcome
from .run_starter import RunStarter
from .run_stopper import RunStopper

SHUTDOWN_GRACE_S = 0.05
"""How long a drained agent still refuses assignments that are in flight, before it exits:
ten one-way delays between failure domains, plus a margin for a busy processor."""

CHECK_INTERVAL_S = 0.02
"""Interval of the checks whether runs are left."""

LAST_REPORTS_TIMEOUT_S = 0.3
"""How long an agent waits at the end for its last runs to stop and entries to acknowledge them."""


class AgentShutdown:
    """Lets the runs of an agent end, and hands over what cannot end in time.

    Parameters
    ----------
    ctx : AgentContext
        Shared state of the agent.
    starter : RunStarter
        Knows the runs that wait to be started.
    stopper : RunStopper
        Stops the runs that are left.
    states : EndpointStates
        Sends entries the state of the endpoint.

    Examples
    --------
    ``shutdown.run(until)`` returns when the process may exit.
    """

    def __init__(
        self,
        ctx: AgentContext,
        starter: RunStarter,
        stopper: RunStopper,
        states: EndpointStates,
    ) -> None:
        self._ctx = ctx
        self._starter = starter
        self._stopper = stopper
        self._states = states
        self._idle_since: float | None = None

    def begin(self, until: float) -> None:
        """Accept only runs that can be expected to end before ``until``.

        The endpoint stays in use, instead of idling beside its longest run.
        """
        self._ctx.shutting_down = True
        self._ctx.shutdown_at = until
        self._ctx.reporter.send_reports()

    def is_drained(self) -> bool:
        """Whether no run has been left for ``SHUTDOWN_GRACE_S``; none is accepted in that time."""
        if self._ctx.table.runs or self._starter.replacing:
            return False
        now = self._ctx.clock.now()
        if self._idle_since is None:
            self._idle_since = now
            self._ctx.shutdown_at = now
            self._states.send()
            self._ctx.reporter.send_reports()
        return now - self._idle_since > SHUTDOWN_GRACE_S

    def run(self, until: float) -> None:
        """Wait for runs to end, and stop those left at ``until`` so that they run elsewhere."""
        self.begin(until)
        while not self.is_drained() and self._ctx.clock.now() < until:
            gevent.sleep(CHECK_INTERVAL_S)
        self._ctx.shutdown_at = self._ctx.clock.now()
        self._states.send()
        self._stop_remaining()
        last = self._ctx.clock.now() + LAST_REPORTS_TIMEOUT_S
        while self._has_unreported_runs() and self._ctx.clock.now() < last:
            gevent.sleep(CHECK_INTERVAL_S)

    def _stop_remaining(self) -> None:
        for key in list(self._ctx.table.runs):
            self._stopper.stop(key, RunOutcome.STOPPED, "the agent shuts down")
        self._stopper.send_due_stops()

    def _has_unreported_runs(self) -> bool:
        """Whether runs are active, or ends that entries have not acknowledged."""
        return bool(self._ctx.table.runs) or self._ctx.reporter.has_unacknowledged
