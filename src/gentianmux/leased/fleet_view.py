"""What an entry knows of its agents: endpoints, free resources, and liveness."""

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from .agent_view import AgentView
from .entry_leases import leases_expire_at
from .fleet_speeds import FleetSpeeds, SpeedChange, preference
from .model import instance_of
from .placement_request import PlacementRequest
from .resources import NO_RESOURCES, Resources

MAX_AGENTS_PER_TASK = 64
"""Agents compared for one task; more cost time and hardly find more resources."""

MAX_AGENTS_PER_ROUND = 256
"""Agents considered in one placement round, whose cost then does not grow with the fleet. More than
are compared for a task, since some may be silent, shutting down or of other services."""

EXPECTED_AGENT_TTL_S = 2.0
"""Seconds for which an announced agent counts as capacity before its first report. After a restart
of all processes the agents are connected within 1.5 s."""

SLOWNESS_STEP = 0.25
"""Resolution of slowness: smaller differences are noise, since estimates are off by up to 40 %."""


class ExpectedAgent(NamedTuple):
    """An announced agent that has not reported yet."""

    service: str
    failure_domain: str
    cpu: int
    until: float


class FleetView:
    """The agents that an entry is connected to; pure.

    Parameters
    ----------
    lease_s : float
        Lease that agents request from endpoints, in seconds.
    rng : Random
        Breaks ties, so that entries do not all choose the same agent.

    Attributes
    ----------
    agents : dict
        Views of agents by their process.
    evacuated : tuple of str
        Failure domains whose agents get no runs and count as no capacity.
    speeds : FleetSpeeds
        Comparison of the agents' speeds.

    Examples
    --------
    ``view.get_or_add(process).apply_report(load, now)`` for each load report, and
    ``view.choose(request, view.eligible(service, now))`` for the agent of a task.
    """

    def __init__(self, lease_s: float, rng: Random) -> None:
        self.agents: dict[str, AgentView] = {}
        self.evacuated: tuple[str, ...] = ()
        self.speeds = FleetSpeeds()
        self._order: list[AgentView] = []
        self._expected: dict[str, ExpectedAgent] = {}
        self.lease_s = lease_s
        self._rng = rng

    def get_or_add(self, process: str) -> AgentView:
        """Return the view of an agent's process; a new one is added."""
        view = self.agents.get(process)
        if view is None:
            view = self.agents[process] = AgentView(process)
            self._order.append(view)
        return view

    def remove_agent(self, process: str) -> None:
        """Remove an agent's process whose leases have expired."""
        self._order.remove(self.agents.pop(process))

    def is_expired(self, process: str, now: float) -> bool:
        """Whether every lease of the agent's runs has expired."""
        view = self.agents.get(process)
        return view is None or now > leases_expire_at(view.last_heard_at, self.lease_s)

    def is_reachable(self, now: float) -> bool:
        """Whether any agent with an endpoint has reported lately."""
        return any(agent.is_fresh(now) and agent.state is not None for agent in self._order)

    def is_served(self, service: str, now: float) -> bool:
        """Whether any agent starts runs of a service."""
        return any(self._serves(agent, service, now) for agent in self._order)

    def _sample(self) -> list[AgentView]:
        if len(self._order) <= MAX_AGENTS_PER_ROUND:
            return self._order
        return self._rng.sample(self._order, MAX_AGENTS_PER_ROUND)

    def serving(self, service: str, now: float) -> list[AgentView]:
        """Agents with a recent report that start runs of a service; a sample of a large fleet."""
        return [agent for agent in self._sample() if self._serves(agent, service, now)]

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
        """Whether live endpoints of a service are in evacuated failure domains."""
        return any(
            agent.state is not None
            and agent.is_fresh(now)
            and agent.state.service == service
            and agent.state.failure_domain in self.evacuated
            for agent in self._order
        )

    def eligible(self, service: str, now: float) -> list[AgentView]:
        """Agents that serve a service and have not refused a run lately."""
        return [agent for agent in self.serving(service, now) if now >= agent.backoff_until]

    def are_speeds_due(self, now: float) -> bool:
        """Whether the speeds of agents have to be compared again."""
        return self.speeds.is_due(len(self._order), now)

    def compare_speeds(self, now: float) -> list[SpeedChange]:
        """Compare the speeds of agents, and return those that have changed."""
        return self.speeds.refresh(self._order, now, SLOWNESS_STEP)

    def record_run_time(self, process: str, queue: str, ratio: float) -> None:
        """Record the run time over estimate of a run that has ended at an agent."""
        self.speeds.levels.record(queue, ratio, self.get_or_add(process).factor)

    def expect_agent(
        self, node: str, service: str, failure_domain: str, cpu: int, now: float
    ) -> None:
        """Count an announced agent as capacity until it reports or its announcement expires.

        While only the first agents have connected after a restart of everything, jobs would
        otherwise be refused for lack of capacity.
        """
        self._expected[node] = ExpectedAgent(
            service, failure_domain, cpu, now + EXPECTED_AGENT_TTL_S
        )

    def capacity_cpu(self, service: str, now: float) -> float:
        """Cores of all endpoints that serve a service; extrapolated in a large fleet.

        A core of a fast endpoint counts more, by its speed factor.
        """
        known = sum(_work_cpu(agent) for agent in self.serving(service, now))
        return self._extrapolated(known) + self.expected_cpu(service, now)

    def countable_cpu(self, service: str, now: float) -> float:
        """Cores that this entry may use, weighted by speed: reported shares, or else even ones."""
        serving = self.serving(service, now)
        unknown = sum(_work_cpu(agent) for agent in serving if not agent.share_permille)
        even = self._extrapolated(unknown) + self.expected_cpu(service, now)
        by_share = sum(_work_cpu(agent) * agent.share_permille for agent in serving)
        return even / max(1, self.entries(now)) + self._extrapolated(by_share / 1000)

    def _extrapolated(self, cpu: float) -> float:
        """Cores of the whole fleet, from thousandths of a core of the sampled agents."""
        return cpu / 1000 * max(1.0, len(self._order) / MAX_AGENTS_PER_ROUND)

    def expected_cpu(self, service: str, now: float) -> float:
        """Cores of announced agents that have not reported yet."""
        if not self._expected:
            return 0.0
        reported = {
            instance_of(agent.process)
            for agent in self._order
            if agent.state is not None and agent.state.cpu
        }
        self._expected = {
            node: each
            for node, each in self._expected.items()
            if now < each.until and node not in reported
        }
        counted = (
            each.cpu
            for each in self._expected.values()
            if each.service == service and each.failure_domain not in self.evacuated
        )
        return sum(counted) / 1000

    def entries(self, now: float) -> int:
        """Number of entries that share the agents, this one included."""
        return max((agent.entries for agent in self._sample() if agent.is_fresh(now)), default=1)

    def choose(self, request: PlacementRequest, serving: Iterable[AgentView]) -> AgentView | None:
        """Return the best of some serving agents for a task; None when none suits it."""
        agents = list(serving)
        if len(agents) > MAX_AGENTS_PER_TASK:
            agents = self._rng.sample(agents, MAX_AGENTS_PER_TASK)
        suitable = [agent for agent in agents if self._suits(agent, request)]
        if not suitable:
            return None
        return min(suitable, key=lambda agent: self._sort_key(agent, request))

    def _suits(self, agent: AgentView, request: PlacementRequest) -> bool:
        state = agent.state
        if state is None or state.incarnation in request.avoid or state.incarnation in request.full:
            return False
        if request.estimate_ms > agent.longest_ms:
            return False
        if request.requires and request.requires not in state.labels:
            return False
        return request.allows(self.speed_class(agent)) and agent.free.fits(request.need)

    def _sort_key(
        self, agent: AgentView, request: PlacementRequest
    ) -> tuple[bool, int, float, float]:
        state = agent.state
        lacks_preferred = bool(request.prefers) and (
            state is None or request.prefers not in state.labels
        )
        speed_class, busy, tie = self.rank(agent)
        return lacks_preferred, preference(speed_class, request.speed_limit), busy, tie

    def speed_class(self, agent: AgentView) -> int:
        """Speed class by which an agent is ranked; below the mean only if speeds are uneven."""
        if self.speeds.is_uneven:
            return agent.speed_class
        return round(max(agent.slowness, 1.0) / SLOWNESS_STEP)

    def rank(self, agent: AgentView) -> tuple[int, float, float]:
        """Sort key of agents: the faster first, then the less loaded, then at random."""
        capacity = _capacity_of(agent)
        busy = capacity.minus(agent.free).dominant_share(capacity)
        return self.speed_class(agent), busy, self._rng.random()


def _capacity_of(agent: AgentView) -> Resources:
    state = agent.state
    return NO_RESOURCES if state is None else Resources(state.cpu, state.mem_mb, state.gpu)


def _work_cpu(agent: AgentView) -> float:
    """Capacity weighted by speed: thousandths of a core of an endpoint of mean speed."""
    return _capacity_of(agent).cpu / agent.factor
