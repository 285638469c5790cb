"""Opens and closes the connections that entries and agents should have."""

from collections.abc import Iterable

from .agent import Agent
from .directory import Announcement
from .links import Links
from .model import node_of
from .neighbours import ENTRIES_PER_AGENT, is_preferred, wanted

PATIENCE_S = 0.5
"""Seconds that an entry gives agents to connect by themselves."""


class EntryNeighbours:
    """An agent's connections to entries.

    Parameters
    ----------
    me : str
        Name of the agent's instance.
    links : Links
        Its connections.
    agent : Agent
        Is told which entries may give it new work.

    Examples
    --------
    ``neighbours.learn(directory.read())`` and then ``neighbours.settle()`` again and again.
    """

    def __init__(self, me: str, links: Links, agent: Agent) -> None:
        self._me = me
        self._links = links
        self._agent = agent
        self._known: dict[str, str] = {}

    @property
    def has_enough(self) -> bool:
        """Whether as many entries are connected as may be."""
        return len(self._links.processes()) >= ENTRIES_PER_AGENT

    def learn(self, found: Iterable[Announcement]) -> None:
        """Take in announcements; those of other roles are passed over."""
        self._known.update({each.name: each.address for each in found if each.role == "entry"})
        self.settle()

    def settle(self) -> None:
        """Dial the entries that are wanted; let go of those that are not once they run nothing."""
        connected = self._links.peers()
        self._known.update(connected)
        names = wanted(self._me, self._known, connected)
        for name, address in self._known.items():
            if name in names:
                self._links.dial(address)
            else:
                self._links.undial(address)
        surplus = {p for p in self._links.processes() if node_of(p) not in names}
        for process in self._agent.turn_away(surplus):
            self._links.drop(process, "other entries are preferred")


class AgentNeighbours:
    """An entry's connections to the agents that prefer it.

    Parameters
    ----------
    me : str
        Name of the entry's instance.
    links : Links
        Its connections.
    """

    def __init__(self, me: str, links: Links) -> None:
        self._me = me
        self._links = links
        self._entries = {me}
        self._agents: dict[str, str] = {}

    def learn(self, found: Announcement) -> bool:
        """Take in an announcement; whether it is of an agent that prefers this entry."""
        if found.role == "agent":
            self._agents[found.name] = found.address
            return self._settle(found.name)
        if found.name not in self._entries:
            self._entries.add(found.name)
            for name in self._agents:
                self._settle(name)
        return False

    def _settle(self, agent: str) -> bool:
        preferred = is_preferred(agent, self._entries, self._me)
        if preferred:
            self._links.dial(self._agents[agent], PATIENCE_S)
        else:
            self._links.undial(self._agents[agent])
        return preferred
