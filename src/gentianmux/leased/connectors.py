"""Opens and closes the connections that entries and agents should have."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from ..clock import Clock
from .directory import Announcement, Directory
from .links import Links
from .model import instance_of
from .rendezvous import ENTRIES_PER_AGENT, is_preferred, wanted

if TYPE_CHECKING:
    from .agent import Agent

SETTLE_S = 0.25
"""Seconds between an agent's looks at its connections, and at the store while it has none: a read
takes some 20 ms."""

SLOWEST_READ_S = 8.0
"""Seconds between an agent's reads of the store while it has fewer entries than it may."""

PATIENCE_S = 0.5
"""Seconds that an entry gives agents to connect by themselves."""


class EntryNeighbours:
    """An agent's connections to entries.

    Entries follow the announcements, connect to agents that prefer them, and hand the
    configuration on; so an agent reads the store only while it has too few, and the store has no
    waiting reads of 11,000 agents.

    Parameters
    ----------
    me : str
        Name of the agent's instance.
    links : Links
        Its connections.
    agent : Agent
        Is told which entries may give it new work.
    directory : Directory
        Says which entries there are.
    clock : Clock
        Time.

    Examples
    --------
    ``neighbours.learn(directory.read())`` and then ``neighbours.step()`` every ``SETTLE_S``.
    """

    def __init__(
        self, me: str, links: Links, agent: "Agent", directory: Directory, clock: Clock
    ) -> None:
        self._me = me
        self._links = links
        self._agent = agent
        self._directory = directory
        self._clock = clock
        self._known: dict[str, str] = {}
        self._read_at = clock.now()
        self._wait_s = SETTLE_S

    def step(self) -> None:
        """Settle the connections, and read who is there while they are too few."""
        self.settle()
        connected = len(self._links.processes())
        if not connected:
            self._wait_s = SETTLE_S
        if connected >= ENTRIES_PER_AGENT or self._clock.now() - self._read_at < self._wait_s:
            return
        self.learn(self._directory.read() or ())
        self._read_at = self._clock.now()
        self._wait_s = min(SLOWEST_READ_S, self._wait_s * 2)

    def learn(self, found: Iterable[Announcement]) -> None:
        """Take in announcements; those of other roles are passed over."""
        for each in found:
            if each.role != "entry":
                continue
            if self._known.get(each.name, each.address) != each.address:
                self._links.undial(self._known[each.name])
            self._known[each.name] = each.address
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
        surplus = {p for p in self._links.processes() if instance_of(p) not in names}
        for process in self._agent.stop_offering(surplus):
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
