"""What an entry knows of one agent's process, and the resources that it has left to assign."""

from dataclasses import dataclass, field

from .claims import Signature
from .entry_leases import ENTRY_LEASE_S
from .messages import AgentLoad, EndpointState
from .resources import NO_RESOURCES, Resources
from .shutdown import UNBOUNDED_ESTIMATE_MS

MAX_REPORT_AGE_S = ENTRY_LEASE_S - 0.05
"""Age in seconds of its newest load report from which an agent gets no new runs: they would arrive
after the entry lease has expired, and be refused."""


@dataclass
class AgentView:
    """An agent's process as an entry sees it.

    Attributes
    ----------
    state : EndpointState or None
        The agent's endpoint; None before it is known.
    last_heard_at : float
        Monotonic time of the last report.
    newest_load : int
        Number of the newest load report.
    free : Resources
        Resources offered, less what was assigned since the report that offered them.
    slowness : float
        Reported speed factor of the endpoint: run time over expected run time; 0 while unknown.
    factor : float
        Factor relative to the mean of all agents, or its prior; 1.0 while speeds are even.
    speed_class : int
        Class of that factor; negative for faster than the mean.
    last_assigned_number : int
        Number of the last assignment.
    backoff_until : float
        Monotonic time until which the agent gets no runs, after a refusal.
    sent_signature : tuple
        Urgency classes of the claims that were sent last.
    entries : int
        Entries that share the agent.
    longest_ms : int
        Longest estimate of a run that the agent accepts, in ms.
    echoed_at : float
        Monotonic time at which the newest echoed report was received.
    last_ended_number : int
        Number of the newest ended run that was recorded.
    share_permille : int
        Thousandths of the agent's capacity that this entry may count on; 0 if not known.
    """

    process: str
    state: EndpointState | None = None
    last_heard_at: float = 0.0
    newest_load: int = 0
    free: Resources = NO_RESOURCES
    slowness: float = 0.0
    factor: float = 1.0
    speed_class: int = 0
    last_assigned_number: int = 0
    _offered: Resources = NO_RESOURCES
    _pending: dict[int, Resources] = field(default_factory=dict)
    backoff_until: float = 0.0
    sent_signature: Signature = ()
    entries: int = 1
    longest_ms: int = UNBOUNDED_ESTIMATE_MS
    echoed_at: float = 0.0
    last_ended_number: int = 0
    share_permille: int = 0

    def set_offered(self, resources: Resources) -> None:
        """Set the resources that the agent offers; pending assignments are deducted."""
        self._offered = resources
        for taken in self._pending.values():
            resources = resources.minus(taken)
        self.free = resources

    def reserve(self, number: int, need: Resources) -> None:
        """Reserve resources for an assignment that the agent has not acknowledged yet."""
        self._pending[number] = self._pending.get(number, NO_RESOURCES).plus(need)
        self.free = self.free.minus(need)

    def apply_report(self, load: AgentLoad, now: float) -> None:
        """Apply a load report; an outdated one only shows that the agent is alive."""
        self.last_heard_at = now
        if load.number <= self.newest_load:
            return
        self.newest_load = load.number
        self.slowness = load.slowness_percent / 100
        self.entries = load.entries
        self.longest_ms = load.longest_ms
        self.share_permille = load.share_permille
        for number in [number for number in self._pending if number <= load.applied]:
            del self._pending[number]
        self.set_offered(Resources(load.cpu, load.mem_mb, load.gpu))

    def mark_echoed(self) -> None:
        """Record that the newest report is echoed, with an assignment or with claims.

        Counts from the time of that report: it may be old, and if it counted as an echo of the
        present, the next echo could be left out, and the entry lease would expire and end its runs.
        """
        self.echoed_at = max(self.echoed_at, self.last_heard_at)

    @property
    def is_shutting_down(self) -> bool:
        """Whether the agent is shutting down and accepts only short runs."""
        return self.longest_ms != UNBOUNDED_ESTIMATE_MS

    def is_fresh(self, now: float) -> bool:
        """Whether the agent has reported lately."""
        return now - self.last_heard_at <= MAX_REPORT_AGE_S
