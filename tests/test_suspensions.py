"""Guards against acting, after a suspension of the machine, on what was believed before it."""

import re
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from test_leased_world import assert_invariants_hold, holder_of, outcome, ready_world

from bench.leased_world import World
from gentianmux import clock as clock_module
from gentianmux.clock import MIN_SUSPENSION_S, Clock, boot_time, log_fallback, suspended_s
from gentianmux.leased.agent import Agent
from gentianmux.leased.entry_leases import leases_expire_at
from gentianmux.leased.job_state import JobOutcome
from gentianmux.leased.messages import Assign, LeasedTask, RunRef, Withdraw
from gentianmux.leased.payloads import encode_payload
from gentianmux.leased.resources import Resources
from gentianmux.platform import endpoint as endpoint_module
from gentianmux.platform.endpoint import PlatformEndpoint

PAYLOAD = encode_payload("x")
SECONDS = [0.3, 0.6, 1.5, 4.0]


def agent_of(world: World, name: str = "w0") -> Agent:
    agent = world.machines[name].agent
    assert agent is not None
    return agent


# Clock


@pytest.fixture
def clocks(monkeypatch: pytest.MonkeyPatch) -> Iterator[dict[str, float]]:
    """Clocks of the platform that a test can set."""
    values = {"boot": 500.0, "monotonic": 100.0}
    monkeypatch.setattr(clock_module, "clock_gettime", lambda _: values["boot"])
    monkeypatch.setattr(clock_module, "monotonic", lambda: values["monotonic"])
    yield values


def test_clock_counts_suspensions(clocks: dict[str, float]) -> None:
    clock = Clock()
    assert clock.suspensions() == 0
    clocks["boot"] += 5.0
    assert (clock.now(), clock.suspended_s()) == (505.0, 405.0)
    assert (clock.suspensions(), clock.suspensions(), clock.resumed_at) == (1, 1, 505.0)
    clocks["boot"] += MIN_SUSPENSION_S / 2
    assert clock.suspensions() == 1
    clocks["boot"] += MIN_SUSPENSION_S
    assert clock.suspensions() == 2


def test_pause_between_two_readings_hides_no_later_suspension(clocks: dict[str, float]) -> None:
    """Guards against a difference of the clocks that was read too large and then kept."""
    clock = Clock()
    clock.suspensions()
    clocks["boot"] += 0.5
    assert clock.suspensions() == 1
    clocks["boot"] -= 0.5
    assert clock.suspensions() == 1
    clocks["boot"] += 0.2
    assert clock.suspensions() == 2


def test_platform_without_boot_time_uses_the_monotonic_clock_and_logs_it(
    clocks: dict[str, float], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clock_module, "HAS_BOOT_TIME", False)
    lines: list[str] = []
    monkeypatch.setattr(clock_module.logger, "warning", lines.append)
    assert (boot_time(), suspended_s()) == (100.0, 0.0)
    log_fallback()
    assert len(lines) == 1


def test_boot_time_is_that_of_the_platform() -> None:
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before <= boot_time() <= time.clock_gettime(time.CLOCK_BOOTTIME)


def test_only_what_promises_nothing_reads_the_monotonic_clock() -> None:
    """Guards against a lease, fence or deadline that leaves out suspensions."""
    source = Path(clock_module.__file__).parent
    readers = {
        path.relative_to(source).as_posix()
        for path in source.rglob("*.py")
        if re.search(r"\bimport\b.*\b(monotonic|perf_counter)|time\.monotonic", path.read_text())
    }
    assert readers == {"clock.py", "platform/http_client.py"}


def test_lease_leaves_out_a_suspension_that_the_endpoint_may_not_count(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against leases that last longer by a suspension on an endpoint's clock."""
    driver = PlatformEndpoint("127.0.0.1:9", stop_s=0.05)
    monkeypatch.setattr(endpoint_module, "suspended_s", lambda: 5.0)
    driver._clock_ms, driver._clock_at = 1000.0, 100.0
    assert driver._lease_until_ms(0.5, asked_at=105.2) == 1700
    assert driver.lease_end() == pytest.approx(105.2 + 0.51 + 0.05)


# Agent


def suspended_agent(seconds: float, standing: bool, with_endpoint: bool = False) -> World:
    """Return a world in which an agent's machine was suspended while a job was under way."""
    world = ready_world()
    world.clocks_stand_still = standing
    jobs = [world.submit("e0", tasks=8, run_s=0.7) for _ in range(3)]
    while not agent_of(world).table.runs:
        world.run(0.0001)
    world.suspend("w0", seconds, with_endpoint)
    jobs += [world.submit("e0", tasks=4, run_s=0.7) for _ in range(3)]
    world.run(8.0)
    assert all(outcome(job) is not None for job in jobs)
    return world


@pytest.mark.parametrize("with_endpoint", [False, True])
@pytest.mark.parametrize("seconds", SECONDS)
def test_resumed_agent_starts_nothing_that_it_accepted_before(
    seconds: float, with_endpoint: bool
) -> None:
    """Guards against starts whose tasks were given to other endpoints meanwhile."""
    assert_invariants_hold(suspended_agent(seconds, False, with_endpoint))


def test_clock_that_stands_still_lets_a_resumed_agent_run_tasks_twice() -> None:
    """Shows that the invariants depend on a clock that counts suspensions."""
    breaches = [
        breach.rule for seconds in SECONDS for breach in suspended_agent(seconds, True).breaches
    ]
    assert "TWICE" in breaches


def test_scheduled_start_is_dropped_although_its_entry_still_holds_a_lease() -> None:
    """Guards against a start that was scheduled before a suspension shorter than the leases."""
    world = ready_world(agents=1)
    world.submit("e0", tasks=4, run_s=0.1)
    while not agent_of(world).table.runs:
        world.run(0.0001)
    world.suspend("w0", 0.11)
    world.run(0.12)
    assert world.starts == 0
    assert not agent_of(world).table.runs


@pytest.mark.parametrize("seconds", [0.15, 0.2, 0.34])
def test_suspension_is_no_stall_and_no_slowness_of_the_endpoint(seconds: float) -> None:
    """Guards against ejecting or avoiding an endpoint whose runs stood still with the machine."""
    world = ready_world(agents=1)
    world.submit("e0", tasks=4, run_s=0.6)
    world.run(0.15)
    world.suspend("w0", seconds, with_endpoint=True)
    world.run(1.5)
    assert agent_of(world).health.ejections == 0
    assert agent_of(world).health.slowness() < 1.1


@pytest.mark.parametrize("standing", [False, True])
def test_resumed_agent_renews_no_lease_past_the_time_that_its_entry_waits(standing: bool) -> None:
    """Guards against renewing, for an entry that has given up the agent, the runs it assigned."""
    world = ready_world()
    world.clocks_stand_still = standing
    job = world.submit("e0", tasks=1, run_s=3.0)
    world.run(0.1)
    name = holder_of(world, f"{job.spec.job_id}.0.0.0")
    endpoint = world.machines[name].endpoint
    endpoint.ignored_stops = 1000
    given_up_at = leases_expire_at(world.time, agent_of(world, name)._ctx.lease_s)
    world.suspend(name, 0.45)
    world.run(given_up_at - world.time)
    endpoint.advance()
    assert bool(endpoint.active) is standing


def test_first_poll_after_a_resume_renews_nothing() -> None:
    """Guards against renewing runs that the endpoint may have ended or replaced meanwhile."""
    world = ready_world(agents=1)
    world.submit("e0", tasks=1, run_s=3.0)
    world.run(0.105)
    endpoint = world.machines["w0"].endpoint
    world.suspend("w0", 0.15)
    world.run(0.1501)
    before = endpoint.lease_until
    agent_of(world).poll()
    assert endpoint.lease_until == before
    agent_of(world).poll()
    assert endpoint.lease_until > before


def test_frames_buffered_before_a_resume_are_not_acted_on() -> None:
    """Guards against an assignment and an echo that wait in a socket while the agent sleeps."""
    world = ready_world(agents=1)
    agent, links = agent_of(world), world.entries["e0"].links
    assert links is not None
    process = world.process_of("w0")
    world.suspend("w0", 0.3)
    task = LeasedTask("0" * 16 + ".0.0.0", 1, 0, 1600, 64, 0, 100)
    links.send(process, Assign(agent._ctx.reporter._number, 99, [task], [], [PAYLOAD]))
    world.run(0.301)
    assert not agent.table.runs
    assert world.entries["e0"].links.open.get(process) is None  # type: ignore[union-attr]
    world.run(1.0)
    assert world.starts == 0
    assert links.open.get(process) is not None


def test_resumed_agent_offers_nothing_until_a_heartbeat_confirms_the_capacity() -> None:
    """Guards against filling a capacity that has shrunk while the machine was suspended."""
    world = ready_world(agents=1)
    machine = world.machines["w0"]
    world.suspend("w0", 2.0)
    world.run(0.9)
    machine.endpoint.capacity = Resources(3200, 65536, 0)
    world.run(1.101)
    job = world.submit("e0", tasks=8, run_s=0.2, time_limit_s=4.0)
    assert not agent_of(world).is_accepting
    world.run(0.2)
    assert world.starts == 0
    world.run(3.0)
    assert outcome(job) is JobOutcome.COMPLETED
    assert_invariants_hold(world)


def test_heartbeat_that_waited_for_the_resume_confirms_nothing() -> None:
    """Guards against a heartbeat that was sent before the endpoint's newest, lost ones."""
    world = ready_world(agents=1)
    agent, machine = agent_of(world), world.machines["w0"]
    world.suspend("w0", 2.0)
    machine.sequence += 1
    world.at(0.1, world.process_of("w0"), agent.on_report, world.report_of(machine))
    world.run(2.05)
    assert agent.report is not None and agent.report.sequence == machine.sequence
    assert not agent.tracker.is_confirmed
    world.run(0.6)
    assert agent.is_accepting


def test_withdrawal_is_remembered_beyond_a_suspension() -> None:
    """Guards against an assignment that was delayed by the suspension and withdrawn before it."""
    world = ready_world(agents=1)
    agent = agent_of(world)
    entry = world.process_of("e0")
    key = ("f" * 16 + ".0.0.0", 1)
    agent.on_message(Withdraw([RunRef(*key)]), entry)
    world.suspend("w0", 20.0)
    world.run(22.0)
    task = LeasedTask(*key, 0, 1600, 64, 0, 100)
    agent.on_message(Assign(agent._ctx.reporter._number, 99, [task], [], [PAYLOAD]), entry)
    assert not agent.table.runs


# Entry


@pytest.mark.parametrize("seconds", SECONDS)
def test_resumed_entry_answers_at_the_deadline_and_reruns_nothing(seconds: float) -> None:
    """Guards against deadlines that do not count a suspension."""
    world = ready_world(entries=3)
    first = world.submit("e0", tasks=8, run_s=0.7, time_limit_s=1.2)
    world.run(0.1)
    world.suspend("e0", seconds)
    other = world.submit("e1", tasks=8, run_s=0.7)
    world.run(1.3)
    if seconds > 1.3:
        world.run(seconds - 1.3 + 0.05)
    assert outcome(first) is not None
    world.run(5.0)
    assert outcome(other) is JobOutcome.COMPLETED
    assert_invariants_hold(world)


def test_resumed_entry_waits_for_agents_before_it_refuses() -> None:
    """Guards against refusing jobs for a lack of agents that had no chance to connect."""
    world = ready_world(agents=2)
    for name in world.machines:
        world.cut_apart(name, "e0", 2.0)
    world.run(1.7)
    job = world.submit("e0", tasks=2, run_s=0.1, time_limit_s=9.0)
    world.run(0.1)
    world.suspend("e0", 3.0)
    world.run(4.0)
    assert outcome(job) is JobOutcome.COMPLETED
    assert_invariants_hold(world)


def test_job_submitted_at_the_resume_is_not_placed_by_what_was_known_before() -> None:
    """Guards against a request that is read before the first check after the resume."""
    world = ready_world()
    world.suspend("e0", 0.15)
    world.run(0.15)
    world.submit("e0", tasks=4, run_s=0.1)
    assert not world.entries["e0"].links.open  # type: ignore[union-attr]
    assert not any(world.entries["e0"].entry._ctx.assigned_runs.values())  # type: ignore[union-attr]
    world.run(1.0)
    assert world.starts == 4


def test_resumed_entry_assigns_nothing_by_loads_from_before() -> None:
    """Guards against load reports that wait in sockets and describe agents of some time ago."""
    world = ready_world()
    view = world.entries["e0"].view
    assert view is not None
    world.suspend("e0", 1.0)
    world.run(1.002)
    assert all(agent.free.cpu == 0 for agent in view.agents.values())
    world.run(0.5)
    assert all(agent.free.cpu for agent in view.agents.values())
