"""Which entries and agents are connected, and when connections are let go of."""

from collections import Counter

import pytest

from gentianmux.leased.connectors import SETTLE_S, AgentNeighbours, EntryNeighbours
from gentianmux.leased.directory import Announcement
from gentianmux.leased.rendezvous import ENTRIES_PER_AGENT, is_preferred, ranked, wanted


class FakeLinks:
    """Remembers what is dialed, and is told what is connected."""

    def __init__(self) -> None:
        self.dialed: set[str] = set()
        self.open: dict[str, str] = {}
        self.dropped: list[str] = []

    def dial(self, address: str, patience_s: float = 0.0) -> None:
        self.dialed.add(address)

    def undial(self, address: str) -> None:
        self.dialed.discard(address)

    def peers(self) -> dict[str, str]:
        return {process.partition(".")[0]: address for process, address in self.open.items()}

    def processes(self) -> list[str]:
        return sorted(self.open)

    def drop(self, process: str, reason: str) -> None:
        self.dropped.append(process)
        del self.open[process]


class FakeDirectory:
    """Counts how often it is read."""

    def __init__(self, found: list[Announcement]) -> None:
        self.found = found
        self.reads = 0

    def read(self) -> list[Announcement]:
        self.reads += 1
        return self.found


class FakeClock:
    """Time that a test sets."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


class FakeAgent:
    """Lets go of an entry once it was told so twice and serves it no more."""

    def __init__(self) -> None:
        self.serves: set[str] = set()
        self.not_offered: set[str] = set()

    def stop_offering(self, entries: set[str]) -> set[str]:
        idle = {e for e in entries & self.not_offered if e not in self.serves}
        self.not_offered = entries - idle
        return idle


def neighbours_of(links: FakeLinks, agent: FakeAgent | None = None) -> EntryNeighbours:
    parts = (links, agent or FakeAgent(), FakeDirectory([]), FakeClock())
    return EntryNeighbours("w1", *parts)  # type: ignore[arg-type]


def entries(count: int) -> list[Announcement]:
    return [Announcement(f"e{n}", "entry", f"a{n}") for n in range(count)]


def test_few_entries_are_all_wanted() -> None:
    names = ["e1", "e2", "e3"]
    assert sorted(wanted("w1", names, [])) == names
    assert all(is_preferred("w1", names, name) for name in names)


@pytest.mark.parametrize("agents, count", [(59, 10), (51, 8), (245, 55)])
def test_agents_are_dealt_over_entries(agents: int, count: int) -> None:
    names = [f"e{n}" for n in range(count)]
    load = Counter(
        entry for n in range(agents) for entry in ranked(f"w{n}", names)[:ENTRIES_PER_AGENT]
    )
    mean = agents * ENTRIES_PER_AGENT / count
    assert min(load[name] for name in names) > 0.3 * mean
    assert max(load.values()) < 1.8 * mean


def test_an_entry_that_cannot_be_reached_is_replaced_until_it_is_back() -> None:
    links, agent = FakeLinks(), FakeAgent()
    near = neighbours_of(links, agent)
    near.learn(entries(9))
    order = ranked("w1", [f"e{n}" for n in range(9)])
    addresses = [f"a{name[1:]}" for name in order]
    assert links.dialed == set(addresses)
    links.open = {f"{name}.1": f"a{name[1:]}" for name in order[1:6]}
    near.settle()
    assert links.dialed == set(addresses[:6])
    links.open[f"{order[0]}.2"] = addresses[0]
    agent.serves = {f"{order[5]}.1"}
    for _ in range(3):
        near.settle()
    assert links.dialed == set(addresses[:5])
    assert links.dropped == []
    agent.serves = set()
    near.settle()
    assert links.dropped == [f"{order[5]}.1"]


def test_an_entry_that_moved_is_dialed_at_its_new_address_alone() -> None:
    links = FakeLinks()
    near = neighbours_of(links)
    near.learn(entries(2))
    near.learn([Announcement("e0", "entry", "b0")])
    assert links.dialed == {"b0", "a1"}


def test_an_entry_dials_the_agents_that_prefer_it_and_lets_go_when_others_come() -> None:
    links = FakeLinks()
    near = AgentNeighbours("e0", links)  # type: ignore[arg-type]
    for n in range(40):
        assert near.learn(Announcement(f"w{n}", "agent", f"x{n}"))
    assert len(links.dialed) == 40
    for each in entries(10):
        near.learn(each)
    names = [f"e{n}" for n in range(10)]
    preferring = {f"x{n}" for n in range(40) if is_preferred(f"w{n}", names, "e0")}
    assert links.dialed == preferring
    assert 8 < len(preferring) < 32


def test_an_agent_reads_who_is_there_often_while_alone_and_seldom_while_short() -> None:
    links, directory, clock = FakeLinks(), FakeDirectory(entries(2)), FakeClock()
    near = EntryNeighbours("w1", links, FakeAgent(), directory, clock)  # type: ignore[arg-type]

    def reads_in(seconds: float) -> int:
        before = directory.reads
        for _ in range(int(seconds / SETTLE_S)):
            clock.time += SETTLE_S
            near.step()
        return directory.reads - before

    assert reads_in(5.0) == 20
    links.open = {"e0.1": "a0", "e1.1": "a1"}
    assert reads_in(8.0) <= 5
    assert reads_in(40.0) == 5
    links.open = {}
    assert reads_in(1.0) == 4
    links.open = {f"e{n}.1": f"a{n}" for n in range(5)}
    assert reads_in(40.0) == 0
