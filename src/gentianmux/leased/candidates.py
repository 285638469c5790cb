"""Agents that may get runs in one placement round, best first."""

from collections.abc import Iterable
from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING

from .fleet_speeds import preference
from .resources import Resources

if TYPE_CHECKING:
    from .agent_view import AgentView
    from .fleet_view import FleetView
    from .placement_request import PlacementRequest

_HeapItem = tuple[int, float, float, int]


class Candidates:
    """Agents with free resources, in one heap by load for each speed class.

    The best agent for a task is found without ranking all of them again.

    Parameters
    ----------
    view : FleetView
        Ranks agents.
    agents : iterable of AgentView
        Eligible agents.

    Examples
    --------
    ``candidates.take(request)`` returns the best agent with the resources for a task. Reserve what
    it is assigned before the next call.
    """

    def __init__(self, view: "FleetView", agents: Iterable["AgentView"]) -> None:
        self._view = view
        self._agents = [agent for agent in agents if agent.free.cpu > 0]
        self._heaps: dict[int, list[_HeapItem]] = {}
        for number in range(len(self._agents)):
            item = self._heap_item(number)
            self._heaps.setdefault(item[0], []).append(item)
        for heap in self._heaps.values():
            heapify(heap)
        self._last_taken: int | None = None

    def __len__(self) -> int:
        return len(self._agents)

    def _heap_item(self, number: int) -> _HeapItem:
        return *self._view.rank(self._agents[number]), number

    def _put_back_taken(self) -> None:
        number, self._last_taken = self._last_taken, None
        if number is not None and self._agents[number].free.cpu > 0:
            item = self._heap_item(number)
            heappush(self._heaps[item[0]], item)

    @property
    def max_free_cpu(self) -> int:
        """Largest free CPU of any agent, in thousandths of a core."""
        return max((agent.free.cpu for agent in self._agents), default=0)

    def has_resources(self, need: Resources) -> bool:
        """Whether any agent has the free resources for a task, other requirements aside."""
        return any(agent.free.fits(need) for agent in self._agents)

    def take_last(self, request: "PlacementRequest") -> "AgentView | None":
        """Return the agent taken last, if it suits another task of the same job."""
        if self._last_taken is None or request.is_constrained:
            return None
        agent = self._agents[self._last_taken]
        return agent if _suits(agent, request) else None

    def take(self, request: "PlacementRequest") -> "AgentView | None":
        """Return the best agent for a task; None when none suits it."""
        self._put_back_taken()
        if request.is_constrained:
            # The heap ignores constraints, which few tasks have.
            return self._take_constrained(request)
        for speed_class in sorted(
            self._heaps, key=lambda each: preference(each, request.speed_limit)
        ):
            if not request.allows(speed_class):
                continue
            found = self._take_from(self._heaps[speed_class], request)
            if found is not None:
                return found
        return None

    def _take_from(self, heap: list[_HeapItem], request: "PlacementRequest") -> "AgentView | None":
        skipped: list[_HeapItem] = []
        found = None
        while heap and found is None:
            item = heappop(heap)
            agent = self._agents[item[-1]]
            if _suits(agent, request):
                found = agent
                self._last_taken = item[-1]
            else:
                skipped.append(item)
        for item in skipped:
            heappush(heap, item)
        return found

    def _take_constrained(self, request: "PlacementRequest") -> "AgentView | None":
        agent = self._view.choose(request, self._agents)
        if agent is not None:
            # The next call pushes it again with its new rank.
            number = self._agents.index(agent)
            heap = self._heaps[self._view.speed_class(agent)]
            heap[:] = [item for item in heap if item[-1] != number]
            heapify(heap)
            self._last_taken = number
        return agent


def _suits(agent: "AgentView", request: "PlacementRequest") -> bool:
    return agent.free.fits(request.need) and request.estimate_ms <= agent.longest_ms
