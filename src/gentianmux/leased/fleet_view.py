"""What an entry knows of the agents: their endpoints, the room they offer, and who is silent."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from ..messages import AgentLoad, EndpointState
from .claims import Signature
from .entry_leases import ENTRY_LEASE_S, leases_expire_at
from .model import instance_of
from .resources import NO_RESOURCES, Resources
from .shutdown import UNBOUNDED_ESTIMATE_MS

SILENT_S = ENTRY_LEASE_S - 0.05
"""Seconds without a load report after which an agent gets nothing new: what is assigned later comes
when its chain is over, and is refused. Reports come every 0.125 or 0.25 s."""

SAMPLE = 64
"""Agents looked at for one task; more cost time and find hardly more room."""

LOOKED_AT = 256
"""Agents looked at for one round of placing: four times the sample, so that a quarter of them may
be silent, leaving or of other services. A round then costs the same however many there are."""

EXPECTED_AGENT_TTL_S = 2.0
"""Seconds for which an announced agent counts as capacity before it is heard of; all are connected
1.5 s after every process has restarted."""

SLOWNESS_STEP = 0.25
"""Differences in speed below this are noise of eight runs with estimates 40 % off."""


@dataclass
class AgentView:
    """One agent's process as an entry sees it.

    Attributes
    ----------
    free : Resources
        Room offered, less what was assigned since the report that offered it.
    echoed_at : float
        When the newest report that was echoed was heard.
    seen : int
        Number of the newest ended run that was taken in.
    """

    process: str
    state: EndpointState | None = None
    last_heard_at: float = 0.0
    newest_load: int = 0
    free: Resources = NO_RESOURCES
    slowness: float = 1.0
    assigned: int = 0
    _offered: Resources = NO_RESOURCES
    _pending: dict[int, Resources] = field(default_factory=dict)
    failed_until: float = 0.0
    told: Signature = ()
    entries: int = 1
    longest_ms: int = UNBOUNDED_ESTIMATE_MS
    echoed_at: float = 0.0
    seen: int = 0

    def set_offered(self, room: Resources) -> None:
        """Take note of the room that the agent offers now."""
        self._offered = room
        for taken in self._pending.values():
            room = room.minus(taken)
        self.free = room

    def reserve(self, number: int, need: Resources) -> None:
        """Take a task's room for an assignment that the agent has not reported on yet."""
        self._pending[number] = self._pending.get(number, NO_RESOURCES).plus(need)
        self.free = self.free.minus(need)

    def apply_report(self, load: AgentLoad, now: float) -> None:
        """Take in a load report; reports overtaken by a newer one count only as a sign of life."""
        self.last_heard_at = now
        if load.number <= self.newest_load:
            return
        self.newest_load = load.number
        self.slowness = load.slowness_percent / 100
        self.entries = load.entries
        self.longest_ms = load.longest_ms
        for number in [number for number in self._pending if number <= load.applied]:
            del self._pending[number]
        self.set_offered(Resources(load.cpu, load.mem_mb, load.gpu))

    def echoed(self) -> None:
        """Note that the newest report is echoed, be it with an assignment or with claims.

        It may be old, and the next one must not be left out: taken for an echo of now, it let the
        lease chain of a pair without runs end 0.01 s before its next echo, and 12 runs with it.
        """
        self.echoed_at = max(self.echoed_at, self.last_heard_at)

    @property
    def is_leaving(self) -> bool:
        """Whether the agent was told to stop: it begins short runs alone."""
        return self.longest_ms != UNBOUNDED_ESTIMATE_MS

    def is_fresh(self, now: float) -> bool:
        """Whether the agent was heard of lately."""
        return now - self.last_heard_at <= SILENT_S


class Expected(NamedTuple):
    """An announced agent that has not been heard of yet."""

    service: str
    failure_domain: str
    cpu: int
    until: float


class PlacementRequest(NamedTuple):
    """What a task asks of an endpoint.

    ``avoid`` names lives of endpoints on which it ended badly; ``full`` those that hold all they
    may of its step.
    """

    service: str
    need: Resources
    requires: str = ""
    prefers: str = ""
    avoid: frozenset[str] = frozenset()
    full: frozenset[str] = frozenset()
    estimate_ms: int = 0

    @property
    def is_constrained(self) -> bool:
        """Whether it matters on which endpoint the task runs, beyond room and speed."""
        return bool(self.requires or self.prefers or self.avoid or self.full)


class FleetView:
    """The agents that an entry is connected to; pure.

    Parameters
    ----------
    lease_s : float
        The lease that agents ask of endpoints, in seconds.
    rng : Random
        Breaks ties, so that entries do not all choose the same agent.

    Attributes
    ----------
    evacuated : tuple get_or_add str
        Failure domains whose agents get nothing new and count as no capacity.
    """

    def __init__(self, lease_s: float, rng: Random) -> None:
        self.agents: dict[str, AgentView] = {}
        self.evacuated: tuple[str, ...] = ()
        self._order: list[AgentView] = []
        self._expected: dict[str, Expected] = {}
        self._lease_s = lease_s
        self._rng = rng

    def get_or_add(self, process: str) -> AgentView:
        """The view of an agent's process, made when it is new."""
        view = self.agents.get(process)
        if view is None:
            view = self.agents[process] = AgentView(process)
            self._order.append(view)
        return view

    def forget(self, process: str) -> None:
        """Drop an agent's process that is surely over."""
        self._order.remove(self.agents.pop(process))

    def is_over(self, process: str, now: float) -> bool:
        """Whether nothing that the agent was assigned can still run."""
        view = self.agents.get(process)
        return view is None or now > leases_expire_at(view.last_heard_at, self._lease_s)

    def is_reachable(self, now: float) -> bool:
        """Whether any agent with an endpoint was heard of lately."""
        return any(agent.is_fresh(now) and agent.state is not None for agent in self._order)

    def is_served(self, service: str, now: float) -> bool:
        """Whether some agent starts runs of a service."""
        return any(self._serves(agent, service, now) for agent in self._order)

    def _some(self) -> list[AgentView]:
        if len(self._order) <= LOOKED_AT:
            return self._order
        return self._rng.sample(self._order, LOOKED_AT)

    def serving(self, service: str, now: float) -> list[AgentView]:
        """Agents, of many a sample, that were heard of lately and start runs of a service."""
        return [agent for agent in self._some() if self._serves(agent, service, now)]

    def _serves(self, agent: AgentView, service: str, now: float) -> bool:
        state = agent.state
        return (
            state is not None
            and agent.is_fresh(now)
            and state.accepting
            and state.service == service
            and state.failure_domain not in self.evacuated
        )

    def is_evacuated(self, service: str, now: float) -> bool:
        """Whether endpoints of a service live that only an evacuation keeps from running tasks."""
        return any(
            agent.state is not None
            and agent.is_fresh(now)
            and agent.state.service == service
            and agent.state.failure_domain in self.evacuated
            for agent in self._order
        )

    def eligible(self, service: str, now: float) -> list[AgentView]:
        """Agents that serve a service and have not just refused a run."""
        return [agent for agent in self.serving(service, now) if now >= agent.failed_until]

    def expect_agent(
        self, node: str, service: str, failure_domain: str, cpu: int, now: float
    ) -> None:
        """Count an announced agent as capacity for a while, unless it is heard of first.

        Judged by the few agents that have connected in the first second after everything
        restarts, jobs were refused that the others had room for: 65 of them on one day.
        """
        self._expected[node] = Expected(service, failure_domain, cpu, now + EXPECTED_AGENT_TTL_S)

    def capacity_cpu(self, service: str, now: float) -> float:
        """Cores of all endpoints that serve a service, extrapolated when there are many."""
        serving = self.serving(service, now)
        looked_at = max(1, min(len(self._order), LOOKED_AT))
        known = sum(_capacity_of(a).cpu for a in serving) / 1000 * len(self._order) / looked_at
        return known + self.coming_cpu(service, now)

    def coming_cpu(self, service: str, now: float) -> float:
        """Cores of announced agents that are about to be heard of."""
        if not self._expected:
            return 0.0
        heard = {instance_of(agent.process) for agent in self._order if agent.state is not None}
        self._expected = {
            node: each
            for node, each in self._expected.items()
            if now < each.until and node not in heard
        }
        counted = (
            each.cpu
            for each in self._expected.values()
            if each.service == service and each.failure_domain not in self.evacuated
        )
        return sum(counted) / 1000

    def entries(self, now: float) -> int:
        """How many entries share the agents, this one included."""
        return max((agent.entries for agent in self._some() if agent.is_fresh(now)), default=1)

    def choose(self, request: PlacementRequest, serving: Iterable[AgentView]) -> AgentView | None:
        """The best of some serving agents for a task; None when none has room for it."""
        agents = list(serving)
        if len(agents) > SAMPLE:
            agents = self._rng.sample(agents, SAMPLE)
        able = [agent for agent in agents if self._suits(agent, request)]
        if not able:
            return None
        return min(able, key=lambda agent: self._cost(agent, request))

    def _suits(self, agent: AgentView, request: PlacementRequest) -> bool:
        state = agent.state
        if state is None or state.incarnation in request.avoid or state.incarnation in request.full:
            return False
        if request.estimate_ms > agent.longest_ms:
            return False
        if request.requires and request.requires not in state.labels:
            return False
        return agent.free.fits(request.need)

    def _cost(self, agent: AgentView, request: PlacementRequest) -> tuple[bool, int, float, float]:
        state = agent.state
        far = bool(request.prefers) and (state is None or request.prefers not in state.labels)
        return far, *self.weight(agent)

    def weight(self, agent: AgentView) -> tuple[int, float, float]:
        """Sort key of agents with room: the faster first, then the emptier, then by lot."""
        slowness = round(max(agent.slowness, 1.0) / SLOWNESS_STEP)
        capacity = _capacity_of(agent)
        busy = capacity.minus(agent.free).dominant_share(capacity)
        return slowness, busy, self._rng.random()


def _capacity_of(agent: AgentView) -> Resources:
    state = agent.state
    return NO_RESOURCES if state is None else Resources(state.cpu, state.mem_mb, state.gpu)
