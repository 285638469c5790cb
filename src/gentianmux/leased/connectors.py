"""Opens and closes the connections between entries and agents."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from ..clock import Clock
from .directory import Announcement, Directory
from .links import Links
from .model import instance_of
from .rendezvous import ENTRIES_PER_AGENT, entries_to_connect, is_preferred

if TYPE_CHECKING:
    from .agent import Agent

RECONCILE_INTERVAL_S = 0.25
"""Time between checks of an agent's connections, and first delay between reads of the store."""

MAX_READ_INTERVAL_S = 8.0
"""Longest time between an agent's reads of the store while it has too few connections."""

DIAL_DELAY_S = 0.5
"""Time that an entry gives an agent to connect first."""


class EntryConnector:
    """Keeps an agent connected to its preferred entries.

    Entries follow the announcements, connect to the agents that prefer them and pass on the
    configuration. An agent therefore reads the store only while it has too few connections, so
    that the store does not hold a long poll for every agent.

    Parameters
    ----------
    me : str
        Name of the agent's instance.
    links : Links
        Connections of the agent.
    agent : Agent
        Stops offering resources to the entries that are no longer preferred, and is told how many
        entries there are.
    directory : Directory
        Source of the announcements.
    clock : Clock
        Source of monotonic time.

    Examples
    --------
    ``connector.update(directory.read())`` and then ``connector.step()`` periodically.
    """

    def __init__(
        self, me: str, links: Links, agent: "Agent", directory: Directory, clock: Clock
    ) -> None:
        self._me = me
        self._links = links
        self._agent = agent
        self._directory = directory
        self._clock = clock
        self._addresses: dict[str, str] = {}
        self._read_at = clock.now()
        self._wait_s = RECONCILE_INTERVAL_S

    def step(self) -> None:
        """Reconcile the connections, and read the announcements while there are too few."""
        self.reconcile()
        connected = len(self._links.processes())
        if not connected:
            self._wait_s = RECONCILE_INTERVAL_S
        if connected >= ENTRIES_PER_AGENT or self._clock.now() - self._read_at < self._wait_s:
            return
        self.update(self._directory.read() or ())
        self._read_at = self._clock.now()
        self._wait_s = min(MAX_READ_INTERVAL_S, self._wait_s * 2)

    def update(self, announcements: Iterable[Announcement]) -> None:
        """Add or update entries from announcements; those of agents are ignored."""
        for each in announcements:
            if each.role != "entry":
                continue
            if self._addresses.get(each.name, each.address) != each.address:
                self._links.stop_dialing(self._addresses[each.name])
            self._addresses[each.name] = each.address
        self.reconcile()

    def reconcile(self) -> None:
        """Dial the preferred entries, and disconnect from others once they have no runs here."""
        connected = self._links.peer_addresses()
        self._addresses.update(connected)
        self._agent.known_entries = len(self._addresses)
        names = entries_to_connect(self._me, self._addresses, connected)
        for name, address in self._addresses.items():
            if name in names:
                self._links.dial(address)
            else:
                self._links.stop_dialing(address)
        surplus = {p for p in self._links.processes() if instance_of(p) not in names}
        for process in self._agent.stop_offering(surplus):
            self._links.disconnect(process, "other entries are preferred")


class AgentConnector:
    """Keeps an entry connected to the agents that prefer it, and to all other entries.

    Of two entries, the one whose name comes first dials.

    Parameters
    ----------
    me : str
        Name of the entry's instance.
    links : Links
        Connections of the entry.

    Attributes
    ----------
    entries : set of str
        Names of all entries that have announced themselves.

    Examples
    --------
    ``AgentConnector("e1", links).update(Announcement("w1", "agent", "10.0.0.1:7720"))`` dials the
    agent if it prefers ``e1`` among the known entries.
    """

    def __init__(self, me: str, links: Links) -> None:
        self._me = me
        self._links = links
        self.entries = {me}
        self._dialed: dict[str, str] = {}
        self._agents: dict[str, str] = {}

    def update(self, found: Announcement) -> bool:
        """Add or update an instance; whether it is an agent that prefers this entry."""
        if found.role == "agent":
            self._agents[found.name] = found.address
            return self._reconcile(found.name)
        if self._me < found.name:
            self._dial_entry(found)
        if found.name not in self.entries:
            self.entries.add(found.name)
            for name in self._agents:
                self._reconcile(name)
        return False

    def dial_unknown(self, name: str, address: str) -> None:
        """Dial an entry that peers have told of, unless its announcement is known."""
        if name not in self.entries:
            self.update(Announcement(name, "entry", address))

    def _dial_entry(self, found: Announcement) -> None:
        if self._dialed.get(found.name, found.address) != found.address:
            self._links.stop_dialing(self._dialed[found.name])
        self._dialed[found.name] = found.address
        self._links.dial(found.address)

    def _reconcile(self, agent: str) -> bool:
        preferred = is_preferred(agent, self.entries, self._me)
        if preferred:
            self._links.dial(self._agents[agent], DIAL_DELAY_S)
        else:
            self._links.stop_dialing(self._agents[agent])
        return preferred
