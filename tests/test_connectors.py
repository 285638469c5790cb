"""Missing or surplus connections between entries and agents, and excess reads of the store."""

from collections import Counter

import pytest

from gentianmux.leased.connectors import RECONCILE_INTERVAL_S, AgentConnector, EntryConnector
from gentianmux.leased.directory import Announcement
from gentianmux.leased.rendezvous import (
    ENTRIES_PER_AGENT,
    entries_to_connect,
    is_preferred,
    rank_entries,
)


class FakeLinks:
    """Records dialed addresses; tests set the open connections."""

    def __init__(self) -> None:
        self.dialed: set[str] = set()
        self.open: dict[str, str] = {}
        self.disconnected: list[str] = []

    def dial(self, address: str, delay_s: float = 0.0) -> None:
        self.dialed.add(address)

    def stop_dialing(self, address: str) -> None:
        self.dialed.discard(address)

    def peer_addresses(self) -> dict[str, str]:
        return {process.partition(".")[0]: address for process, address in self.open.items()}

    def processes(self) -> list[str]:
        return sorted(self.open)

    def disconnect(self, process: str, reason: str) -> None:
        self.disconnected.append(process)
        del self.open[process]


class FakeDirectory:
    """Returns fixed announcements and counts reads."""

    def __init__(self, found: list[Announcement]) -> None:
        self.found = found
        self.reads = 0

    def read(self) -> list[Announcement]:
        self.reads += 1
        return self.found


class FakeClock:
    """Clock set by a test."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


class FakeAgent:
    """Releases an entry that is passed a second time and has no runs here."""

    def __init__(self) -> None:
        self.serves: set[str] = set()
        self.not_offered: set[str] = set()
        self.known_entries = 0

    def stop_offering(self, entries: set[str]) -> set[str]:
        idle = {e for e in entries & self.not_offered if e not in self.serves}
        self.not_offered = entries - idle
        return idle


def connector_of(links: FakeLinks, agent: FakeAgent | None = None) -> EntryConnector:
    parts = (links, agent or FakeAgent(), FakeDirectory([]), FakeClock())
    return EntryConnector("w1", *parts)  # type: ignore[arg-type]


def entries(count: int) -> list[Announcement]:
    return [Announcement(f"e{n}", "entry", f"a{n}") for n in range(count)]


def test_few_entries_are_all_connected() -> None:
    names = ["e1", "e2", "e3"]
    assert sorted(entries_to_connect("w1", names, [])) == names
    assert all(is_preferred("w1", names, name) for name in names)


@pytest.mark.parametrize("agents, count", [(59, 10), (51, 8), (245, 55)])
def test_agents_are_balanced_over_entries(agents: int, count: int) -> None:
    names = [f"e{n}" for n in range(count)]
    load = Counter(
        entry for n in range(agents) for entry in rank_entries(f"w{n}", names)[:ENTRIES_PER_AGENT]
    )
    mean = agents * ENTRIES_PER_AGENT / count
    assert min(load[name] for name in names) > 0.3 * mean
    assert max(load.values()) < 1.8 * mean


def test_unreachable_entry_is_replaced_until_it_returns() -> None:
    links, agent = FakeLinks(), FakeAgent()
    connector = connector_of(links, agent)
    connector.update(entries(9))
    order = rank_entries("w1", [f"e{n}" for n in range(9)])
    addresses = [f"a{name[1:]}" for name in order]
    assert links.dialed == set(addresses)
    links.open = {f"{name}.1": f"a{name[1:]}" for name in order[1:6]}
    connector.reconcile()
    assert links.dialed == set(addresses[:6])
    links.open[f"{order[0]}.2"] = addresses[0]
    agent.serves = {f"{order[5]}.1"}
    for _ in range(3):
        connector.reconcile()
    assert links.dialed == set(addresses[:5])
    assert links.disconnected == []
    agent.serves = set()
    connector.reconcile()
    assert links.disconnected == [f"{order[5]}.1"]


def test_agent_is_told_how_many_entries_there_are() -> None:
    """Guards against even shares where other entries exist than the connected ones."""
    links, agent = FakeLinks(), FakeAgent()
    connector = connector_of(links, agent)
    connector.update(entries(9))
    assert agent.known_entries == 9
    links.open = {"e11.1": "a11"}
    connector.reconcile()
    assert agent.known_entries == 10


def test_moved_entry_is_dialed_only_at_its_new_address() -> None:
    links = FakeLinks()
    connector = connector_of(links)
    connector.update(entries(2))
    connector.update([Announcement("e0", "entry", "b0")])
    assert links.dialed == {"b0", "a1"}


def test_entry_dials_only_the_agents_that_prefer_it() -> None:
    links = FakeLinks()
    connector = AgentConnector("e0", links)  # type: ignore[arg-type]
    for n in range(40):
        assert connector.update(Announcement(f"w{n}", "agent", f"x{n}"))
    assert len(links.dialed) == 40
    for each in entries(10):
        connector.update(each)
    names = [f"e{n}" for n in range(10)]
    preferring = {f"x{n}" for n in range(40) if is_preferred(f"w{n}", names, "e0")}
    assert links.dialed - {each.address for each in entries(10)} == preferring
    assert 8 < len(preferring) < 32


def test_of_two_entries_the_first_by_name_dials() -> None:
    """Guards against entries that are not connected, or whose connections replace each other."""
    for me in range(4):
        links = FakeLinks()
        connector = AgentConnector(f"e{me}", links)  # type: ignore[arg-type]
        for each in entries(4):
            connector.update(each)
        assert links.dialed == {each.address for each in entries(4)[me + 1 :]}
    connector = AgentConnector("e0", links)  # type: ignore[arg-type]
    connector.update(Announcement("e1", "entry", "old"))
    connector.update(Announcement("e1", "entry", "new"))
    assert "old" not in links.dialed and "new" in links.dialed


def test_agent_reads_the_store_with_backoff_while_connections_are_missing() -> None:
    links, directory, clock = FakeLinks(), FakeDirectory(entries(2)), FakeClock()
    connector = EntryConnector("w1", links, FakeAgent(), directory, clock)  # type: ignore[arg-type]

    def reads_in(seconds: float) -> int:
        before = directory.reads
        for _ in range(int(seconds / RECONCILE_INTERVAL_S)):
            clock.time += RECONCILE_INTERVAL_S
            connector.step()
        return directory.reads - before

    assert reads_in(5.0) == 20
    links.open = {"e0.1": "a0", "e1.1": "a1"}
    assert reads_in(8.0) <= 5
    assert reads_in(40.0) == 5
    links.open = {}
    assert reads_in(1.0) == 4
    links.open = {f"e{n}.1": f"a{n}" for n in range(5)}
    assert reads_in(40.0) == 0
