"""Membership without I/O: some cores, datagrams by hand, virtual time."""

from random import Random

import pytest

from gentianmux.codec import encode
from gentianmux.membership import Membership, Outgoing, ProcessState, Timing
from gentianmux.messages import MemberUpdate

TIMING = Timing(probe_s=0.5, suspect_s=1.5)
MAX_DATAGRAM = 1400


class Net:
    """Some members that exchange datagrams, some of which are lost."""

    def __init__(self, count: int) -> None:
        self.rng = Random(1)
        self.time = 0.0
        self.down: set[str] = set()
        self.lost = 0.0
        self.bytes = 0
        self.longest = 0
        self.cores = {self._address(n): self._core(n) for n in range(count)}
        for address, core in self.cores.items():
            self.send(address, [core.greet(self._address(0))])

    def _address(self, number: int) -> str:
        return f"10.0.0.{number}:1"

    def _core(self, number: int) -> Membership:
        address = self._address(number)
        me = MemberUpdate(f"w{number}.1", f"w{number}", "agent", address, "", "fd1", ["s"], 8, 0, 0)
        return Membership(me, TIMING, Random(number))

    def send(self, source: str, outgoing: list[Outgoing]) -> None:
        queue = [(source, each) for each in outgoing]
        while queue:
            sender, each = queue.pop(0)
            data = encode(each.gossip)
            self.bytes += len(data)
            self.longest = max(self.longest, len(data))
            if sender in self.down or each.address in self.down or self.rng.random() < self.lost:
                continue
            target = self.cores[each.address]
            replies = target.receive(each.gossip, sender, self.time)
            queue.extend((each.address, reply) for reply in replies)

    def run(self, seconds: float) -> None:
        until = self.time + seconds
        while self.time < until:
            self.time += TIMING.probe_s
            for address, core in self.cores.items():
                if address not in self.down:
                    self.send(address, core.tick(self.time))

    def states(self, process: str) -> set[ProcessState | None]:
        return {core.state_of(process) for at, core in self.cores.items() if at not in self.down}


@pytest.fixture()
def net() -> Net:
    net = Net(12)
    net.run(10)
    return net


def test_all_learn_of_all_from_one_seed(net: Net) -> None:
    assert {len(core.alive()) for core in net.cores.values()} == {12}


def test_a_silent_process_is_not_chosen_after_three_seconds(net: Net) -> None:
    net.down.add("10.0.0.5:1")
    net.run(3)
    assert ProcessState.ALIVE not in net.states("w5.1")
    net.run(4)
    assert net.states("w5.1") == {ProcessState.DEAD}


def test_a_leaving_process_is_known_within_two_seconds(net: Net) -> None:
    net.cores["10.0.0.5:1"].leave()
    net.run(2)
    assert net.states("w5.1") == {ProcessState.LEAVING}


def test_a_process_thought_dead_refutes_it_on_coming_back(net: Net) -> None:
    net.down.add("10.0.0.5:1")
    net.run(8)
    net.down.clear()
    net.run(6)
    assert net.states("w5.1") == {ProcessState.ALIVE}


def test_lost_datagrams_make_nobody_dead(net: Net) -> None:
    net.lost = 0.1
    net.run(30)
    dead = [core for core in net.cores.values() if len(core.alive()) < 11]
    assert dead == []


def test_one_cut_off_suspects_itself_and_keeps_its_view(net: Net) -> None:
    alone = net.cores["10.0.0.5:1"]
    net.down.add("10.0.0.5:1")
    for _ in range(40):
        net.time += TIMING.probe_s
        alone.tick(net.time)
    assert alone.isolated
    assert len(alone.alive()) >= 10


def test_work_and_datagrams_are_bounded(net: Net) -> None:
    net.bytes = 0
    before = net.time
    net.run(20)
    a_process_a_second = net.bytes / 12 / (net.time - before)
    assert a_process_a_second < 2500
    assert net.longest < 2 * MAX_DATAGRAM
