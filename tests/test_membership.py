"""Failure detection over simulated datagrams in virtual time."""

from random import Random

import pytest

from gentianmux.codec import encode
from gentianmux.membership import Membership, Outgoing, ProcessState, Timing
from gentianmux.messages import MemberUpdate

TIMING = Timing(probe_s=0.5, suspect_s=1.5)
MAX_DATAGRAM_BYTES = 1400


class Net:
    """Processes that exchange datagrams, some of which are lost."""

    def __init__(self, count: int) -> None:
        self.rng = Random(1)
        self.time = 0.0
        self.down: set[str] = set()
        self.lost = 0.0
        self.bytes = 0
        self.longest = 0
        self.views = {self._address(n): self._view(n) for n in range(count)}
        for address, view in self.views.items():
            self.send(address, [view.probe_seed(self._address(0))])

    def _address(self, number: int) -> str:
        return f"10.0.0.{number}:1"

    def _view(self, number: int) -> Membership:
        address = self._address(number)
        local = MemberUpdate(
            f"w{number}.1", f"w{number}", "agent", address, "", "fd1", ["s"], 8, 0, 0
        )
        return Membership(local, TIMING, Random(number))

    def send(self, source: str, outgoing: list[Outgoing]) -> None:
        queue = [(source, each) for each in outgoing]
        while queue:
            sender, each = queue.pop(0)
            data = encode(each.gossip)
            self.bytes += len(data)
            self.longest = max(self.longest, len(data))
            if sender in self.down or each.address in self.down or self.rng.random() < self.lost:
                continue
            target = self.views[each.address]
            replies = target.receive(each.gossip, sender, self.time)
            queue.extend((each.address, reply) for reply in replies)

    def run(self, seconds: float) -> None:
        until = self.time + seconds
        while self.time < until:
            self.time += TIMING.probe_s
            for address, view in self.views.items():
                if address not in self.down:
                    self.send(address, view.tick(self.time))

    def states(self, process: str) -> set[ProcessState | None]:
        return {view.state_of(process) for at, view in self.views.items() if at not in self.down}


@pytest.fixture()
def net() -> Net:
    net = Net(12)
    net.run(10)
    return net


def test_every_process_knows_all_others_from_one_seed(net: Net) -> None:
    assert {len(view.alive()) for view in net.views.values()} == {12}


def test_a_silent_process_is_not_chosen_after_three_seconds(net: Net) -> None:
    net.down.add("10.0.0.5:1")
    net.run(3)
    assert ProcessState.ALIVE not in net.states("w5.1")
    net.run(4)
    assert net.states("w5.1") == {ProcessState.DEAD}


def test_a_leaving_process_is_known_within_two_seconds(net: Net) -> None:
    net.views["10.0.0.5:1"].leave()
    net.run(2)
    assert net.states("w5.1") == {ProcessState.LEAVING}


def test_a_process_declared_dead_is_alive_again_after_its_return(net: Net) -> None:
    net.down.add("10.0.0.5:1")
    net.run(8)
    net.down.clear()
    net.run(6)
    assert net.states("w5.1") == {ProcessState.ALIVE}


def test_lost_datagrams_make_no_process_dead(net: Net) -> None:
    net.lost = 0.1
    net.run(30)
    dead = [view for view in net.views.values() if len(view.alive()) < 11]
    assert dead == []


def test_an_isolated_process_keeps_its_view(net: Net) -> None:
    alone = net.views["10.0.0.5:1"]
    net.down.add("10.0.0.5:1")
    for _ in range(40):
        net.time += TIMING.probe_s
        alone.tick(net.time)
    assert alone.isolated
    assert len(alone.alive()) >= 10


def test_traffic_and_datagram_size_are_bounded(net: Net) -> None:
    net.bytes = 0
    before = net.time
    net.run(20)
    bytes_per_process_s = net.bytes / 12 / (net.time - before)
    assert bytes_per_process_s < 2500
    assert net.longest < 2 * MAX_DATAGRAM_BYTES
