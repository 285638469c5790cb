"""Sends entries the state of an agent's endpoint."""

from .agent_context import AgentContext
from .messages import EndpointState
from .resources import NO_RESOURCES


class EndpointStates:
    """Describes the endpoint as entries need to know it, and sends that to them.

    Parameters
    ----------
    ctx : AgentContext
        Shared state of the agent.

    Examples
    --------
    ``states.send_to("e1.5")`` when a connection opens, and ``states.send()`` after a change.
    """

    def __init__(self, ctx: AgentContext) -> None:
        self._ctx = ctx

    def current(self) -> EndpointState:
        """State of the endpoint; without capacity while that has to be confirmed."""
        report = self._ctx.report
        if report is None:
            cfg = self._ctx.cfg
            return EndpointState("", cfg.service, cfg.failure_domain, 0, 0, 0, [], False)
        capacity = report.capacity if self._ctx.tracker.is_confirmed else NO_RESOURCES
        return EndpointState(
            report.endpoint,
            report.service,
            report.failure_domain,
            *capacity,
            list(report.labels),
            self._ctx.is_accepting,
            report.born,
        )

    def send(self) -> None:
        """Send the state to every connected entry."""
        for entry in self._ctx.links.processes():
            self.send_to(entry)

    def send_to(self, entry: str) -> None:
        """Send the state to one entry."""
        self._ctx.links.send(entry, self.current())
