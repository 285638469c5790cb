"""The agents that may take runs in one round of placing, the best first."""

from collections.abc import Iterable
from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING

from .resources import Resources

if TYPE_CHECKING:
    from .fleet_view import AgentView, FleetView, PlacementRequest

_Entry = tuple[int, float, float, int]


class Candidates:
    """Agents with free room, in a heap by speed and by how busy their endpoints are.

    A task then costs a look at the first one instead of at all: with 60 agents and 200 jobs that
    wait, choosing took a third of an entry's processor (``bench.leased_speed``).

    Parameters
    ----------
    view : FleetView
        Weighs agents.
    agents : iterable get_or_add AgentView
        Those that are willing.

    Examples
    --------
    ``candidates.take(request)`` gives the best agent with room for a task. What it is assigned is to
    be reserved before the next call.
    """

    def __init__(self, view: "FleetView", agents: Iterable["AgentView"]) -> None:
        self._view = view
        self._agents = [agent for agent in agents if agent.free.cpu > 0]
        self._heap: list[_Entry] = [self._entry(n) for n in range(len(self._agents))]
        heapify(self._heap)
        self._taken: int | None = None

    def __len__(self) -> int:
        return len(self._agents)

    def _entry(self, number: int) -> _Entry:
        return *self._view.weight(self._agents[number]), number

    def _put_back_taken(self) -> None:
        number, self._taken = self._taken, None
        if number is not None and self._agents[number].free.cpu > 0:
            heappush(self._heap, self._entry(number))

    @property
    def most_cpu(self) -> int:
        """The most processors that any agent has free, in thousandths of a core."""
        return max((agent.free.cpu for agent in self._agents), default=0)

    def has_room(self, need: Resources) -> bool:
        """Whether any agent has room for a task, whatever else it asks."""
        return any(agent.free.fits(need) for agent in self._agents)

    def take_again(self, request: "Wish") -> "AgentView | None":
        """The agent that was taken last, if it has room for a task of the same job."""
        if self._taken is None or request.is_constrained:
            return None
        agent = self._agents[self._taken]
        return agent if _has_room(agent, request) else None

    def take(self, request: "Wish") -> "AgentView | None":
        """The best agent for a task; None when none has room for it."""
        self._put_back_taken()
        if request.is_constrained:
            # Few tasks are; the order of the heap says nothing of what they prefer.
            return self._take_picky(request)
        passed: list[_Entry] = []
        found = None
        while self._heap and found is None:
            entry = heappop(self._heap)
            agent = self._agents[entry[-1]]
            if _has_room(agent, request):
                found = agent
                self._taken = entry[-1]
            else:
                passed.append(entry)
        for entry in passed:
            heappush(self._heap, entry)
        return found

    def _take_picky(self, request: "Wish") -> "AgentView | None":
        agent = self._view.choose(request, self._agents)
        if agent is not None:
            # Its entry in the heap is made anew, with what it will have left.
            number = self._agents.index(agent)
            self._heap = [entry for entry in self._heap if entry[-1] != number]
            heapify(self._heap)
            self._taken = number
        return agent


def _has_room(agent: "AgentView", request: "Wish") -> bool:
    return agent.free.fits(request.need) and request.estimate_ms <= agent.longest_ms
