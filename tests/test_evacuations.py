"""No run begins in an evacuated failure domain, however the evacuation becomes known."""

import pytest

from bench.leased_links import ONE_WAY_S
from bench.leased_world import World
from gentianmux.leased.evacuations import EvacuationFeed, Evacuations
from gentianmux.leased.fallback_reader import CHECK_INTERVAL_S
from gentianmux.leased.job_state import JobOutcome
from gentianmux.leased.messages import EndedRuns, Evacuated
from gentianmux.leased.model import RunOutcome
from gentianmux.metrics import Metrics
from gentianmux.settings import Settings

EVACUATION_LIMIT_S = 5.0
"""Time after its acknowledgement by which an evacuation has to be in force."""


def ready_world(agents: int = 6, entries: int = 2) -> World:
    world = World(agents, entries)
    world.run(0.5)
    world.read_store(world.entries)
    world.run(0.5)
    return world


def active_runs_in(world: World, domain: str) -> int:
    """Number of active runs at the endpoints of a failure domain."""
    machines = (each for each in world.machines.values() if each.domain == domain)
    return sum(len(machine.endpoint.active) for machine in machines)


def keep_submitting(world: World, seconds: float, entries: tuple[str, ...]) -> None:
    for _ in range(int(seconds / 0.05)):
        for name in entries:
            world.submit(name, tasks=3, run_s=0.2)
        world.run(0.05)


def read_periodically(world: World, entries: tuple[str, ...]) -> None:
    """Let agents read the store when they need to, and some entries each second."""
    for machine in world.machines.values():
        assert machine.agent is not None
        step = machine.agent.fallback_reader.step
        world.every(CHECK_INTERVAL_S, world.process_of(machine.name), step)
    world.every(1.0, "", lambda: world.read_store(entries))


def reads_of_agents(world: World) -> int:
    return sum(each.agent.fallback_reader.reads for each in world.machines.values() if each.agent)


@pytest.mark.parametrize("entries", [1, 2, 3])
def test_agents_learn_of_evacuations_while_no_entry_reaches_the_store(entries: int) -> None:
    """Guards against agents that hear of evacuations from entries only, all of them cut off."""
    world = ready_world(entries=entries)
    read_periodically(world, ())
    names = tuple(world.entries)
    keep_submitting(world, 3.0, names)
    world.store.put("config", "evacuate/fd1", b"{}")
    keep_submitting(world, EVACUATION_LIMIT_S, names)
    world.evacuated_at["fd1"] = world.time
    keep_submitting(world, 1.0, names)
    assert world.breaches == []
    assert active_runs_in(world, "fd1") == 0


@pytest.mark.parametrize("reading", [("e0",), ("e0", "e1"), ("e2",)])
def test_agents_read_nothing_while_one_of_their_entries_reaches_the_store(
    reading: tuple[str, ...],
) -> None:
    """Guards against reads by every agent, of which the store serves a limited number."""
    world = ready_world(entries=3)
    read_periodically(world, reading)
    keep_submitting(world, 6.0, ("e0", "e1", "e2"))
    assert reads_of_agents(world) == 0


def test_agents_stop_reading_when_an_entry_reaches_the_store_again() -> None:
    """Guards against agents that read the store for good after a cut."""
    world = ready_world()
    reading: list[str] = []
    read_periodically(world, reading)  # type: ignore[arg-type]
    world.run(5.0)
    before = reads_of_agents(world)
    reading.append("e1")
    world.run(2.0)
    during = reads_of_agents(world)
    world.run(5.0)
    assert 0 < before < during == reads_of_agents(world)


def test_no_run_begins_in_an_evacuated_domain_and_active_runs_continue() -> None:
    world = ready_world()
    early = [world.submit("e0", tasks=6, run_s=1.5) for _ in range(4)]
    world.run(0.1)
    before = active_runs_in(world, "fd1")
    world.evacuate("fd1", readers=["e0", "e1"])
    keep_submitting(world, 0.5, ("e0", "e1"))
    assert active_runs_in(world, "fd1") == before > 0
    world.run(3.0)
    assert world.breaches == []
    assert {job.handle.result.outcome for job in world.asked} == {JobOutcome.COMPLETED}
    assert world.wasted_runs == 0 and len(early) == 4


def test_domains_are_used_again_after_their_evacuation() -> None:
    world = ready_world()
    for domain in ("fd0", "fd1"):
        world.evacuate(domain, readers=["e0", "e1"])
        keep_submitting(world, 1.0, ("e0", "e1"))
        assert active_runs_in(world, domain) == 0
        world.take_back(domain, readers=["e0", "e1"])
        keep_submitting(world, 0.1, ("e0", "e1"))
        assert active_runs_in(world, domain) > 0
    assert world.breaches == []


def test_an_entry_without_the_store_learns_of_evacuations_from_agents() -> None:
    world = ready_world()
    world.evacuate("fd2", readers=["e0"])
    world.run(0.02)
    keep_submitting(world, 0.6, ("e1",))
    assert world.breaches == []
    assert active_runs_in(world, "fd2") == 0
    world.take_back("fd2", readers=["e0"])
    world.run(0.02)
    keep_submitting(world, 0.1, ("e1",))
    assert active_runs_in(world, "fd2") > 0


def test_agents_started_during_an_evacuation_begin_no_runs() -> None:
    world = ready_world()
    world.evacuate("fd1", readers=["e0", "e1"])
    world.run(0.1)
    for machine in [each for each in world.machines.values() if each.domain == "fd1"]:
        world.kill(world.process_of(machine.name))
        world.start_agent(machine.name)
    world.run(0.8)
    for machine in world.machines.values():
        assert machine.agent is not None
        assert machine.agent.is_accepting == (machine.domain != "fd1")
    keep_submitting(world, 1.0, ("e0", "e1"))
    assert world.breaches == []
    assert active_runs_in(world, "fd1") == 0


def test_an_entry_started_during_an_evacuation_learns_of_it_from_agents() -> None:
    world = ready_world()
    world.evacuate("fd1", readers=["e0", "e1"])
    world.run(0.1)
    world.kill(world.process_of("e1"))
    world.start_entry("e1")
    world.run(0.3)
    # The new process of the entry has not read the store, only received reports from agents.
    feed_of_new = world.entries["e1"].feed
    assert feed_of_new is not None and feed_of_new.evacuations.covers("fd1")
    keep_submitting(world, 1.0, ("e0", "e1"))
    assert world.breaches == []
    assert active_runs_in(world, "fd1") == 0


def test_an_assignment_in_flight_is_returned_and_placed_elsewhere() -> None:
    world = ready_world()
    machine = next(each for each in world.machines.values() if each.domain == "fd1")
    assert machine.agent is not None and machine.links is not None
    sent: list[object] = []
    forward = machine.links.send
    machine.links.send = lambda peer, msg: (sent.append(msg), forward(peer, msg))[1]  # type: ignore[method-assign]
    jobs = [world.submit("e0", tasks=6, run_s=0.2) for _ in range(3)]
    world.run(2.4 * ONE_WAY_S)
    # The agents learn of the evacuation while the assignments are in flight.
    world.store.put("config", "evacuate/fd1", b"{}")
    for each in world.machines.values():
        assert each.agent is not None
        each.agent.on_message(Evacuated(9, ["fd1"]), world.process_of("e1"))
    world.run(1.0)
    rows = [row for msg in sent if isinstance(msg, EndedRuns) for row in msg.runs]
    assert rows and {RunOutcome(row.how) for row in rows} == {RunOutcome.DRAINING}
    assert active_runs_in(world, "fd1") == 0
    assert {job.handle.result.outcome for job in jobs} == {JobOutcome.COMPLETED}


def test_a_run_accepted_right_before_the_evacuation_is_not_started() -> None:
    world = ready_world(agents=1, entries=1)
    world.submit("e0", tasks=2, run_s=0.2)
    world.run(0.0006)
    agent = world.machines["w0"].agent
    assert agent is not None and len(agent.table.runs) == 2
    agent.on_message(Evacuated(9, ["fd0"]), world.process_of("e0"))
    world.run(0.5)
    assert world.starts == 0
    assert agent.table.runs == {}


def test_jobs_are_refused_at_once_when_every_domain_is_evacuated() -> None:
    world = ready_world()
    for domain in ("fd0", "fd1", "fd2"):
        world.evacuate(domain, readers=["e0", "e1"])
    world.run(0.05)
    job = world.submit("e0", tasks=2)
    world.run(0.05)
    result = job.handle.result
    assert result is not None
    assert result.outcome is JobOutcome.NOT_RUN
    assert result.retry_after_s > 1
    assert world.false_refusals() == []


def test_announced_endpoints_of_an_evacuated_domain_count_as_no_capacity() -> None:
    world = ready_world()
    world.evacuate("fd1", readers=["e0"])
    view = world.entries["e0"].view
    assert view is not None
    expected = view.capacity_cpu("s", world.time)
    view.expect_agent("w100", "s", "fd1", 16000, world.time)
    assert view.capacity_cpu("s", world.time) == expected
    view.expect_agent("w101", "s", "fd2", 16000, world.time)
    assert view.capacity_cpu("s", world.time) == expected + 16.0


def test_an_entry_places_nothing_there_before_agents_know_of_it() -> None:
    world = ready_world(entries=1)
    view = world.entries["e0"].view
    assert view is not None
    world.evacuate("fd1", readers=["e0"])
    eligible = {
        agent.state.failure_domain for agent in view.eligible("s", world.time) if agent.state
    }
    assert eligible == {"fd0", "fd2"}


def feed() -> EvacuationFeed:
    return EvacuationFeed(Metrics(Settings()))


@pytest.mark.parametrize("position", [3, 7])
def test_an_update_that_is_not_newer_changes_nothing(position: int) -> None:
    known = feed()
    known.apply_if_newer(Evacuations(7, ("fd1",)), "peer")
    known.apply_if_newer(Evacuations(position, ()), "peer")
    assert known.current == Evacuations(7, ("fd1",))


def test_a_store_that_lags_behind_a_peer_restores_no_evacuation() -> None:
    known = feed()
    known.apply_snapshot(["fd1"], 4)
    known.apply_if_newer(Evacuations(6, ("fd2",)), "peer")
    known.apply_changes([], 5)
    assert known.current.failure_domains == ("fd2",)
    known.apply_changes([("fd1", False), ("fd2", True)], 7)
    assert known.current == Evacuations(7, ("fd2",))


def test_only_a_deleted_record_ends_an_evacuation() -> None:
    known = feed()
    known.apply_snapshot(["fd1"], 4)
    known.apply_snapshot(["fd1"], 90)
    assert known.covers("fd1")
    known.apply_snapshot([], 91)
    assert not known.covers("fd1")
