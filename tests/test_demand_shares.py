"""Shares of capacity that follow demand, and the capacity that entries count on."""

from dataclasses import dataclass, field
from itertools import compress
from random import Random
from typing import Any

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from bench.leased_endpoint import Work
from bench.leased_world import QUEUE, World
from gentianmux.leased.admission_policy import Decision, Load, Refusal
from gentianmux.leased.demand_shares import (
    MIN_SHARE_RATIO,
    RESERVED_PERMILLE,
    WHOLE_PERMILLE,
    DemandShares,
    shares_by_demand,
)
from gentianmux.leased.entry_leases import EntryLeases
from gentianmux.leased.fleet_view import FleetView
from gentianmux.leased.grants import Grants
from gentianmux.leased.job_state import JobState
from gentianmux.leased.messages import AgentLoad, Assign, Claim, EndpointState, LeasedTask
from gentianmux.leased.model import JobSpec, StepSpec
from gentianmux.leased.offered_capacity import OfferedCapacity, keep_fitting
from gentianmux.leased.payloads import encode_payload
from gentianmux.leased.rendezvous import ENTRIES_PER_AGENT, rank_entries
from gentianmux.leased.resources import Resources
from gentianmux.leased.share_reports import ShareReports

CAPACITY_CPU = 16000
ENTRIES = [f"e{number}.1" for number in range(5)]
EVEN = (WHOLE_PERMILLE - RESERVED_PERMILLE) // len(ENTRIES)


@given(
    st.dictionaries(st.text(max_size=3), st.floats(0.001, 1e6), min_size=1, max_size=9),
)
def test_shares_keep_the_minimum_and_add_up_to_the_capacity(demand: dict[str, float]) -> None:
    """Guards against capacity counted on twice, and against an entry without any."""
    shares = shares_by_demand(demand)
    assert sum(shares.values()) <= WHOLE_PERMILLE - RESERVED_PERMILLE
    even = (WHOLE_PERMILLE - RESERVED_PERMILLE) / len(demand)
    assert min(shares.values()) >= int(MIN_SHARE_RATIO * even)


def test_share_follows_assigned_work_and_is_even_again_within_seconds() -> None:
    demand = DemandShares()
    for tenth in range(30):
        for entry, runs in zip(ENTRIES, (4, 1, 1, 1, 1), strict=True):
            for _ in range(runs):
                demand.record_work(entry, 1600, 120, tenth / 10)
    busy = demand.targets(ENTRIES, {}, CAPACITY_CPU, 3.0)
    assert busy["e0.1"] > 2 * EVEN
    assert min(busy.values()) > 0.6 * EVEN
    quiet = demand.targets(ENTRIES, {}, CAPACITY_CPU, 13.0)
    assert max(quiet.values()) - min(quiet.values()) < 0.1 * EVEN


def test_waiting_claims_raise_a_share() -> None:
    """Guards against shares that grow only with what an entry could already assign."""
    waiting = {"e0.1": 90_000, "e1.1": 10_000}
    shares = DemandShares().targets(ENTRIES, waiting, CAPACITY_CPU, 0.0)
    assert shares["e0.1"] > 2 * EVEN


@dataclass
class Entry:
    """Reports on their way to an entry, and what it believes."""

    reports: list[tuple[int, int]] = field(default_factory=list)
    newest: tuple[int, int] = (0, 0)


MASKS = st.lists(st.booleans(), min_size=5, max_size=5)
ROUNDS = st.tuples(st.floats(0.0, 0.3), st.integers(0, 4), st.integers(0, 40), MASKS, MASKS, MASKS)


# Shrinking a sequence of rounds takes minutes.
@settings(max_examples=300, deadline=None, phases=(Phase.explicit, Phase.reuse, Phase.generate))
@given(st.lists(ROUNDS, min_size=3, max_size=25))
def test_entries_never_count_on_more_than_the_capacity(rounds: list[Any]) -> None:
    """Guards against a share that is raised before the entry that had it knows, at any delay."""
    leases, grants = EntryLeases(), Grants()
    shares = ShareReports(leases, grants)
    shares.known_entries = 13
    entries = {name: Entry() for name in ENTRIES}
    now = 1.0
    for number, (wait_s, busy, runs, reported, received, echoed) in enumerate(rounds, 1):
        now += wait_s
        shares.demand.record_work(ENTRIES[busy], 1600, 400 * runs, now)
        grants.claim(ENTRIES[busy], [Claim(1600 * runs, 64, 0, 9, False, False, 0, 50)], now)
        leases.record_sent(number, now)
        shares.update(ENTRIES, CAPACITY_CPU, now)
        for name in compress(ENTRIES, reported):
            entries[name].reports.append((number, shares.report(name, number, now)))
        for name in compress(ENTRIES, received):
            entries[name].newest = [entries[name].newest, *entries[name].reports][-1]
            entries[name].reports.clear()
        for name in compress(ENTRIES, echoed):
            leases.record_echo(name, entries[name].newest[0])
            shares.record_echo(name, entries[name].newest[0])
        believed = sum(e.newest[1] for name, e in entries.items() if leases.holds(name, now))
        assert believed <= WHOLE_PERMILLE


def test_agent_of_all_entries_reports_no_share() -> None:
    """Guards against other decisions where every agent reaches every entry."""
    shares = ShareReports(EntryLeases(), Grants())
    shares.known_entries = len(ENTRIES)
    shares.demand.record_work("e0.1", 1600, 4000, 1.0)
    shares.update(ENTRIES, CAPACITY_CPU, 1.0)
    assert [shares.report(entry, 1, 1.0) for entry in ENTRIES] == [0] * 5


def test_share_of_an_expired_lease_goes_to_the_others() -> None:
    shares = ShareReports(leases := EntryLeases(), Grants())
    shares.known_entries = 13
    leases.record_sent(1, 1.0)
    for entry in ENTRIES:
        leases.record_echo(entry, 1)
    shares.update(ENTRIES, CAPACITY_CPU, 1.0)
    assert [shares.report(entry, 1, 1.0) for entry in ENTRIES] == [EVEN] * 5
    leases.record_sent(2, 1.3)
    for entry in ENTRIES[1:]:
        leases.record_echo(entry, 2)
        shares.record_echo(entry, 2)
    shares.update(ENTRIES, CAPACITY_CPU, 1.45)
    assert [shares.report(entry, 3, 1.45) for entry in ENTRIES] == [1, 247, 247, 247, 247]


def view_of(*rows: tuple[int, int]) -> FleetView:
    """A view of agents by their capacity and the share that they report."""
    view = FleetView(0.5, Random(1))
    for number, (cpu, share) in enumerate(rows):
        agent = view.get_or_add(f"w{number}.1")
        agent.state = EndpointState(f"x{number}", "s", "fd0", cpu, 999, 0, [], True, 1)
        agent.apply_report(AgentLoad(1, 0, cpu, 999, 0, 100, 1, 5, 9000, share), 1.0)
    return view


def test_entry_counts_on_its_shares() -> None:
    assert view_of((16000, 400), (24000, 100)).countable_cpu("s", 1.1) == pytest.approx(8.8)
    assert view_of((16000, 400), (24000, 0)).countable_cpu("s", 1.1) == pytest.approx(11.2)
    assert view_of((16000, 0), (24000, 0)).countable_cpu("s", 1.1) == 40.0 / 5
    assert view_of((16000, 400)).countable_cpu("s", 9.0) == 0.0


def test_entries_that_all_agents_reach_count_on_even_shares() -> None:
    """Guards against other decisions in deployments of few entries."""
    world = World(agents=4, entries=3)
    for tenth in range(20):
        world.at(1.0 + tenth / 10, "", world.submit, "e0", 8, 0.25)
    world.run(3.0)
    for name in world.entries:
        view = world.entries[name].view
        assert view is not None
        assert {agent.share_permille for agent in view.agents.values()} == {0}
        assert countable(world, name) == 4 * 16.0 / 3


def waiting_job(number: int, tasks: int = 4, requires: str = "") -> JobState:
    step = StepSpec(tasks, Resources(2000, 10), 100, (), requires)
    return JobState(JobSpec(f"{number:016x}", "x", (step,)), QUEUE, 0.0, 9.0)


def refusal_of(*jobs: JobState) -> Decision:
    return Decision([Refusal(job, Load(9.0, 1.0)) for job in jobs], [], [], [])


def test_free_capacity_is_counted_for_one_job() -> None:
    """Guards against keeping several jobs for the same free capacity."""
    first, second, third = waiting_job(1), waiting_job(2), waiting_job(3, tasks=1)
    decision = refusal_of(first, second, third)
    offered = OfferedCapacity([Resources(7000, 99), Resources(4000, 99)])
    assert keep_fitting(decision, [first, second, third], offered) == [first, third]
    assert [refusal.job for refusal in decision.refused] == [second]
    assert decision.timely == [first, third]


def test_more_urgent_jobs_take_free_capacity_first() -> None:
    ahead, refused = waiting_job(1), waiting_job(2)
    decision = refusal_of(refused)
    assert not keep_fitting(decision, [ahead, refused], OfferedCapacity([Resources(9000, 99)]))
    assert keep_fitting(decision, [refused], OfferedCapacity([Resources(9000, 99)])) == [refused]


def test_constrained_job_is_not_kept_for_capacity_that_may_not_suit_it() -> None:
    job = waiting_job(1, requires="gpu")
    assert not keep_fitting(refusal_of(job), [job], OfferedCapacity([Resources(9000, 99)]))


def world_of_seven(seed: int = 1) -> tuple[World, list[str]]:
    """A world whose agents reach five of seven entries; and the entries of ``w0``."""
    world = World(agents=12, entries=7, seed=seed)
    world.run(1.0)
    return world, rank_entries("w0", world.entries)[:ENTRIES_PER_AGENT]


def countable(world: World, entry: str) -> float:
    view = world.entries[entry].view
    assert view is not None
    return view.countable_cpu("s", world.time)


def total_countable(world: World) -> float:
    alive = [name for name in world.entries if world.process_of(name) in world.alive]
    return sum(countable(world, name) for name in alive)


def test_entry_with_much_demand_counts_on_more() -> None:
    """Guards against refusals at a busy entry beside endpoints that quiet entries do not use."""
    world, (busy, *_) = world_of_seven()
    even = countable(world, busy)
    for tenth in range(30):
        world.at(tenth / 10, "", world.submit, busy, 24, 0.25)
    world.run(3.0)
    assert countable(world, busy) > 1.6 * even
    assert total_countable(world) <= 12 * 16.0
    world.run(10.0)
    assert countable(world, busy) == pytest.approx(even, rel=0.1)


def test_others_count_on_the_share_of_an_ended_entry_until_it_is_back() -> None:
    world, (ended, other, *_) = world_of_seven()
    before = countable(world, other)
    world.kill(world.process_of(ended))
    world.run(1.0)
    assert countable(world, other) > 1.1 * before
    assert total_countable(world) <= 12 * 16.0
    world.start_entry(ended)
    world.run(0.4)
    assert countable(world, ended) > 0.8 * before
    assert total_countable(world) <= 12 * 16.0


def test_restarted_agent_begins_with_even_shares() -> None:
    world, (busy, *_) = world_of_seven()
    for tenth in range(20):
        world.at(tenth / 10, "", world.submit, busy, 24, 0.25)
    world.run(2.0)
    world.kill(world.process_of("w0"))
    world.start_agent("w0")
    world.run(0.2)
    view = world.entries[busy].view
    assert view is not None
    assert view.agents["w0.2"].share_permille == pytest.approx(EVEN, abs=2)


def test_work_of_an_assignment_is_counted_once() -> None:
    """Guards against demand of runs that are assigned again, or refused."""
    world, (name, *_) = world_of_seven()
    agent, entry = world.machines["w0"].agent, world.process_of(name)
    assert agent is not None
    demand = agent._ctx.reporter.shares.demand
    echo = agent._ctx.reporter._number
    task = LeasedTask("00000000000000aa.0.0.0", 1, 0, 1600, 64, 0, 1000)
    world.works[task.name] = (StepSpec(1, Resources(1600, 64), 1000), Work(1.0, 0))
    agent.on_message(Assign(echo, 1, [task], [], [encode_payload("x")]), entry)
    once = demand.assigned_cpu(entry, world.time)
    assert once > 0
    agent.on_message(Assign(echo, 1, [task], [], [encode_payload("x")]), entry)
    too_large = task._replace(name="00000000000000ab.0.0.0", cpu=99000)
    agent.on_message(Assign(echo, 2, [too_large], [], [encode_payload("x")]), entry)
    assert demand.assigned_cpu(entry, world.time) == once
