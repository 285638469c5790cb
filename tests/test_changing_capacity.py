"""Guards against runs, offers and answers that rest on a capacity that an endpoint has no more."""

import pytest
from test_leased_world import assert_invariants_hold, outcome, ready_world

from bench.leased_world import World
from gentianmux.leased.agent import Agent
from gentianmux.leased.grants import LATE_HEADROOM_RATIO, Grants
from gentianmux.leased.job_state import JobOutcome
from gentianmux.leased.messages import Claim
from gentianmux.leased.model import EndpointReport
from gentianmux.leased.resources import Resources

SHRUNK = Resources(3200, 65536, 0)
"""Room for two of the tasks that the world hands in."""


def agent_of(world: World) -> Agent:
    agent = world.machines["w0"].agent
    assert agent is not None
    return agent


def set_capacity(world: World, capacity: Resources) -> None:
    """Change an endpoint's capacity, and tell its agent at once."""
    machine = world.machines["w0"]
    machine.endpoint.capacity = machine.endpoint.told_capacity = capacity
    machine.sequence += 1
    agent_of(world).on_report(world.report_of(machine))


def claim(cpu: int, begin_in_ms: int = 100) -> Claim:
    return Claim(cpu, 64, 0, 1600, False, False, 0, begin_in_ms)


def test_run_that_was_accepted_before_the_endpoint_shrank_is_not_started() -> None:
    """Guards against a start that is already scheduled when the smaller capacity is reported."""
    world = ready_world(agents=1)
    job = world.submit("e0", tasks=4, run_s=0.4)
    while not agent_of(world).table.runs:
        world.run(0.0001)
    assert world.starts == 0
    set_capacity(world, SHRUNK)
    world.run(0.1)
    assert world.starts == 2
    world.run(1.5)
    assert outcome(job) is JobOutcome.COMPLETED
    assert_invariants_hold(world)


def test_shrunk_endpoint_keeps_its_runs_and_gets_no_new_ones_until_they_fit() -> None:
    """Guards against runs that are stopped for capacity, or not counted once it is exceeded."""
    world = ready_world(agents=1)
    first = world.submit("e0", tasks=8, run_s=0.6)
    world.run(0.1)
    set_capacity(world, SHRUNK)
    assert agent_of(world).table.resources.free.cpu < 0
    second = world.submit("e0", tasks=2, run_s=0.1, time_limit_s=3.0)
    world.run(0.4)
    assert world.starts == 8
    world.run(2.0)
    assert outcome(first) is JobOutcome.COMPLETED
    assert outcome(second) is JobOutcome.COMPLETED
    assert_invariants_hold(world)


def test_run_being_stopped_counts_against_a_shrunk_capacity() -> None:
    """Guards against resources that are given away before a stop is proved."""
    world = ready_world(agents=1)
    world.machines["w0"].endpoint.ignored_stops = 1000
    world.submit("e0", tasks=2, run_s=2.0, job_id="a" * 16)
    world.run(0.1)
    entry = world.entries["e0"].entry
    assert entry is not None
    entry.canceller.cancel("a" * 16)
    set_capacity(world, SHRUNK)
    world.submit("e0", tasks=1, run_s=0.1)
    world.run(0.3)
    assert world.starts == 2
    assert_invariants_hold(world)


def test_older_heartbeat_that_arrives_late_does_not_raise_the_capacity() -> None:
    """Guards against a heartbeat from before the endpoint shrank."""
    world = ready_world(agents=1)
    late = world.report_of(world.machines["w0"])
    set_capacity(world, SHRUNK)
    agent_of(world).on_report(late)
    assert agent_of(world).table.resources.capacity == SHRUNK
    world.submit("e0", tasks=8, run_s=0.4)
    world.run(0.2)
    assert world.starts == 2
    assert_invariants_hold(world)


def test_open_grants_shrink_with_the_endpoint() -> None:
    """Guards against grants that promise entries more than the endpoint has."""
    grants = Grants()
    grants.task_cpu = 1600
    grants.claim("e1", [claim(8000, 50)], now=0.0)
    grants.claim("e2", [claim(8000, 100)], now=0.0)
    assert grants.allocate(Resources(16000, 1000), now=0.0) == {"e1", "e2"}
    free = Resources(9000, 1000)
    assert grants.shrink_to(free) == {"e2"}
    offers = grants.offers(["e1", "e2"], free, now=0.0)
    assert [each.cpu for each in offers.values()] == [9000, 0]
    assert grants.shrink_to(Resources(-1000, 1000)) == {"e1"}
    assert not any(each.cpu for each in grants.offers(["e1", "e2"], free, now=1.0).values())


def test_grants_of_an_agent_fit_the_capacity_that_a_heartbeat_reports() -> None:
    """Guards against an agent that goes on offering what it granted before the endpoint shrank."""
    world = ready_world(agents=1)
    agent, process = agent_of(world), world.process_of("e0")
    grants = agent._ctx.reporter.grants
    grants.claim(process, [claim(16000)], world.time)
    grants.allocate(Resources(16000, 65536), world.time)
    set_capacity(world, SHRUNK)
    offers = grants.offers([process], agent._ctx.offered(), world.time)
    assert offers[process].cpu <= SHRUNK.cpu


def test_endpoint_over_its_memory_offers_no_processors() -> None:
    """Guards against offers that every assignment for them is refused for."""
    world = ready_world(agents=1)
    world.submit("e0", tasks=4, run_s=0.6)
    world.run(0.1)
    set_capacity(world, Resources(16000, 100, 0))
    world.run(0.01)
    view = world.entries["e0"].view
    assert view is not None
    assert [agent.free.cpu for agent in view.agents.values()] == [0]


def test_offers_and_admission_follow_the_capacity_within_one_message() -> None:
    """Guards against entries that count on a former capacity until something else changes."""
    world = ready_world(agents=1)
    view = world.entries["e0"].view
    assert view is not None
    for capacity in (SHRUNK, Resources(8000, 65536, 0)):
        set_capacity(world, capacity)
        world.run(0.01)
        (agent,) = view.agents.values()
        assert agent.free.cpu == capacity.cpu
        assert view.capacity_cpu("s", world.time) == capacity.cpu / 1000


def test_grown_endpoint_is_used_at_once_by_those_who_wait() -> None:
    """Guards against added capacity that idles until a run ends or a claim is repeated."""
    world = ready_world(agents=1)
    set_capacity(world, SHRUNK)
    world.submit("e0", tasks=2, run_s=0.6)
    world.run(0.05)
    world.submit("e0", tasks=2, run_s=0.6)
    world.run(0.15)
    assert world.starts == 2
    set_capacity(world, Resources(8000, 65536, 0))
    world.run(0.004)
    assert world.starts == 4
    assert_invariants_hold(world)


def test_headroom_for_late_work_follows_the_capacity() -> None:
    """Guards against headroom of the first capacity, which may be all that a small one has."""
    world = ready_world(agents=1)
    set_capacity(world, SHRUNK)
    headroom = agent_of(world)._ctx.reporter.grants.late_headroom
    assert headroom.cpu == int(SHRUNK.cpu * LATE_HEADROOM_RATIO)


def restart_from_announcement(world: World, down_s: float, **changes: object) -> None:
    """Restart the agent of ``w0``, which resumes its endpoint as it was announced before."""
    announced = world.report_of(world.machines["w0"])._replace(sequence=0)
    world.kill(world.process_of("w0"))
    endpoint = world.machines["w0"].endpoint
    for name, value in changes.items():
        setattr(endpoint, name, value)
    world.run(down_s)
    world.start_agent("w0")
    agent_of(world).on_report(announced)


@pytest.mark.parametrize("down_s", [0.5, 1.5, 8.0])
def test_announced_capacity_is_not_used_before_a_heartbeat_confirms_it(down_s: float) -> None:
    """Guards against a restarted agent that fills a capacity which shrank before or meanwhile."""
    world = ready_world(agents=1)
    restart_from_announcement(world, down_s, capacity=SHRUNK)
    while not agent_of(world).poller.is_responsive:
        world.run(0.001)
    world.submit("e0", tasks=8, run_s=0.3, time_limit_s=4.0)
    assert not agent_of(world).is_accepting
    world.run(0.02)
    assert world.starts == 0
    world.run(0.6)
    assert 0 < world.starts < 8
    assert_invariants_hold(world)


def test_endpoint_that_began_to_drain_while_its_agent_was_gone_receives_no_runs() -> None:
    """Guards against a restarted agent that takes an announced state for the present one."""
    world = ready_world(agents=1)
    restart_from_announcement(world, 0.5, draining=True)
    world.submit("e0", tasks=2, run_s=0.3, time_limit_s=4.0)
    world.run(4.5)
    assert world.starts == 0


def test_restarted_agent_ends_earlier_runs_before_a_heartbeat() -> None:
    """Guards against runs of an earlier process that hold resources until a heartbeat comes."""
    world = ready_world(agents=1)
    world.submit("e0", tasks=4, run_s=3.0)
    world.run(0.2)
    restart_from_announcement(world, 0.1)
    world.run(0.2)
    assert not world.machines["w0"].endpoint.active
    assert agent_of(world).table.is_reconciled


def test_endpoint_is_used_as_soon_as_a_heartbeat_confirms_its_announcement() -> None:
    """Guards against an endpoint that idles for longer than its heartbeat takes to come."""
    world = ready_world(agents=1)
    restart_from_announcement(world, 1.0)
    agent = agent_of(world)
    while agent.report is None or not agent.report.sequence:
        assert not agent.is_accepting
        world.run(0.005)
    world.run(0.02)
    assert agent.is_accepting


@pytest.mark.parametrize("seed", range(8))
def test_no_start_exceeds_the_newest_capacity_while_it_changes(seed: int) -> None:
    """Guards against any order of starts, ends and heartbeats that exceeds a capacity."""
    world = ready_world(agents=2, entries=3, seed=seed)
    reports: list[EndpointReport] = []
    for number in range(60):
        world.submit(f"e{number % 3}", tasks=3, run_s=0.1 + 0.3 * world.rng.random())
        world.run(0.02 * world.rng.random())
        if number % 4 == 0:
            reports.append(world.report_of(world.machines["w0"]))
            set_capacity(world, Resources(world.rng.randrange(0, 17) * 1000, 65536, 0))
            agent_of(world).on_report(world.rng.choice(reports))
    set_capacity(world, Resources(16000, 65536, 0))
    world.run(6.0)
    assert all(outcome(job) is not None for job in world.asked)
    assert_invariants_hold(world)
