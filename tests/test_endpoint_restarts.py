"""An endpoint that restarts under its id is a new incarnation: nothing is carried over to it.

Guards against heartbeats and ended runs of the new incarnation, numbered from 1 again, being taken
for known ones: tasks then begin at a draining endpoint, and finished runs are reported as lost.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random

import gevent
import pytest
from platform_deployment import Deployment, job_body, served
from test_leased_units import fleet
from test_leased_world import _inject_fault, assert_invariants_hold, outcome, ready_world
from test_platform_adapter import REPORT, SPEC

from bench.leased_endpoint import Work
from bench.leased_world import World
from gentianmux.clock import boot_time
from gentianmux.leased.agent import Agent
from gentianmux.leased.directory import Announcement, decode_announcement
from gentianmux.leased.heartbeat_kind import HeartbeatKind, classify_heartbeat
from gentianmux.leased.job_state import JobOutcome
from gentianmux.leased.messages import Assign, LeasedTask
from gentianmux.leased.model import (
    ActiveRun,
    EndpointReport,
    EndpointStartedAgain,
    EndRecord,
    HoldReply,
    NoAnswer,
    RunOutcome,
    StartResult,
    StepSpec,
)
from gentianmux.leased.payloads import encode_payload
from gentianmux.leased.placement_request import PlacementRequest
from gentianmux.leased.resources import Resources
from gentianmux.leased.run_table import RunTable
from gentianmux.platform.endpoint import PlatformEndpoint, decode_heartbeat, decode_shutdown_notice
from gentianmux.platform.http_client import HttpReply
from standins.platform_endpoint import PlatformEndpointApp

COMPLETED = b'{"state": "completed"}'

SLACK_RUN_MS = 1000
"""Run time of tasks whose job has some seconds of slack, beside any load of the machine."""


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    running = Deployment(tmp_path, agents=1)
    try:
        running.start_all()
        yield running
    finally:
        running.stop()


def test_restarted_endpoint_that_drains_gets_no_runs() -> None:
    world = ready_world(agents=2)
    world.run(5.0)
    world.restart_endpoint("w0", down_s=1.0)
    world.run(2.5)
    endpoint = world.machines["w0"].endpoint
    endpoint.draining = True
    # The next heartbeat comes within half a second, and is acknowledged.
    world.run(0.6)
    for _ in range(6):
        world.submit("e0", tasks=2, run_s=0.2)
    world.run(0.1)
    assert endpoint.active == {}
    assert_invariants_hold(world)


# After 1.0 s the agent finds the restart by a heartbeat, after 1.2 s by the answer to a poll.
@pytest.mark.parametrize("down_s", [1.0, 1.2])
def test_runs_at_restarted_endpoint_complete_once(down_s: float) -> None:
    world = ready_world(agents=1)
    before = [world.submit("e0", tasks=8, run_s=0.1) for _ in range(3)]
    world.run(2.0)
    world.restart_endpoint("w0", down_s)
    world.run(2.5)
    jobs = [world.submit("e0", tasks=2, run_s=0.2) for _ in range(3)]
    world.run(2.0)
    assert {outcome(job) for job in before + jobs} == {JobOutcome.COMPLETED}
    assert world.starts == 30
    assert_invariants_hold(world)


def test_agent_follows_its_endpoint_through_a_restart(deployment: Deployment) -> None:
    endpoint = deployment.endpoints["side-0"]
    for number in range(4):
        assert deployment.submit(f"00000000000000a{number}", job_body()) == (200, COMPLETED)
    endpoint.restart()
    gevent.sleep(0.8)
    before = len(endpoint.starts)
    assert deployment.submit("00000000000000b1", job_body()) == (200, COMPLETED)
    assert len(endpoint.starts) == before + 4
    endpoint.draining = True
    gevent.sleep(0.6)
    assert deployment.submit("00000000000000b2", job_body())[0] == 503
    assert len(endpoint.starts) == before + 4


def test_agent_started_after_endpoint_restart_is_not_fenced_by_lower_clock(
    deployment: Deployment,
) -> None:
    endpoint = deployment.endpoints["side-0"]
    assert deployment.submit("00000000000000c1", job_body(run_ms=SLACK_RUN_MS)) == (200, COMPLETED)
    endpoint.restart(clock_start_ms=1)
    gevent.sleep(0.8)
    assert deployment.submit("00000000000000c2", job_body(run_ms=SLACK_RUN_MS)) == (200, COMPLETED)
    # The earlier clock, and so the fence that the present incarnation has seen, began 5 s higher.
    assert endpoint.fence > endpoint.clock_ms()
    deployment.processes["side-0"].kill()
    deployment.processes["side-0"].wait()
    known = len(deployment.log_of("front-0"))
    deployment.start("side-0", "agent")
    deployment.wait_logged("front-0", "endpoint state", '"accepting": true', after=known)
    before = len(endpoint.starts)
    assert deployment.submit("00000000000000c3", job_body(run_ms=SLACK_RUN_MS)) == (200, COMPLETED)
    assert len(endpoint.starts) == before + 4


# Kinds of heartbeats

FIRST = EndpointReport(
    "i-1", "10.0.0.1:80", "s", "fd", Resources(8, 8), (), False, 0.0, sequence=9, born=100
)


@pytest.mark.parametrize(
    "change, kind",
    [
        ({"sequence": 10}, HeartbeatKind.CURRENT),
        ({"sequence": 8}, HeartbeatKind.OVERTAKEN),
        ({"sequence": 1, "born": 200}, HeartbeatKind.RESTARTED),
        ({"sequence": 10, "born": 200}, HeartbeatKind.RESTARTED),
        ({"sequence": 10, "born": 99}, HeartbeatKind.ENDED),
        ({"sequence": 10, "born": 0}, HeartbeatKind.WITHOUT_START),
        ({"endpoint": "i-2", "born": 200}, HeartbeatKind.OTHER_ENDPOINT),
    ],
)
def test_heartbeat_is_classified_by_start_before_sequence_number(
    change: dict[str, object], kind: HeartbeatKind
) -> None:
    assert classify_heartbeat(FIRST._replace(**change), FIRST) is kind  # type: ignore[arg-type]
    assert classify_heartbeat(FIRST, None) is HeartbeatKind.OTHER_ENDPOINT


def test_heartbeats_without_start_are_classified_by_sequence_number() -> None:
    without_start = FIRST._replace(born=0)
    assert (
        classify_heartbeat(without_start._replace(sequence=8), without_start)
        is HeartbeatKind.OVERTAKEN
    )
    assert (
        classify_heartbeat(without_start._replace(sequence=10), without_start)
        is HeartbeatKind.CURRENT
    )


# Agent


def agent_of(world: World, name: str = "w0") -> Agent:
    agent = world.machines[name].agent
    assert agent is not None
    return agent


def test_endpoint_that_drained_before_crash_is_used_after_restart() -> None:
    world = ready_world(agents=1)
    world.machines["w0"].endpoint.draining = True
    world.run(1.0)
    assert not agent_of(world).is_accepting
    world.restart_endpoint("w0", down_s=0.5)
    world.run(1.2)
    assert agent_of(world).is_accepting


def test_endpoint_may_restart_with_other_capacity_and_service() -> None:
    world = ready_world(agents=1)
    world.run(1.0)
    agent = agent_of(world)
    known = agent.report
    assert known is not None
    world.restart_endpoint("w0", down_s=0.1)
    world.run(0.2)
    world.machines["w0"].endpoint.capacity = Resources(4000, 999, 0)
    later = world.report_of(world.machines["w0"])._replace(service="other", sequence=1)
    agent._ctx.feed.current = None
    agent.on_report(later)
    assert agent.report == later
    assert agent.table.resources.capacity == Resources(4000, 999, 0)


def test_no_run_begins_at_incarnation_without_heartbeat() -> None:
    world = ready_world(agents=1)
    agent = agent_of(world)
    world.run(0.05)
    world.restart_endpoint("w0", down_s=0.01)
    # An unanswered poll takes 0.24 s; the next heartbeat comes 0.45 s from here.
    world.run(0.3)
    assert agent.report is None
    assert agent.poller.is_responsive
    assert not agent.is_accepting
    world.run(0.6)
    assert agent.is_accepting


def test_late_heartbeat_of_earlier_incarnation_under_same_id_is_ignored() -> None:
    world = ready_world(agents=1)
    late = world.report_of(world.machines["w0"], draining=True)
    world.restart_endpoint("w0", down_s=0.5)
    world.run(1.5)
    job = world.submit("e0", tasks=6, run_s=0.5)
    world.run(0.1)
    known = agent_of(world).report
    agent_of(world).on_report(late._replace(sequence=99))
    assert agent_of(world).report is known
    assert agent_of(world).is_accepting
    world.run(1.0)
    assert outcome(job) is JobOutcome.COMPLETED
    assert world.starts == 6


def test_heartbeat_with_false_start_loses_no_run() -> None:
    world = ready_world(agents=1)
    job = world.submit("e0", tasks=6, run_s=0.5)
    world.run(0.2)
    known = agent_of(world).report
    assert known is not None
    agent_of(world).on_report(known._replace(born=10**18, sequence=1))
    assert agent_of(world).report is known
    world.run(1.0)
    assert outcome(job) is JobOutcome.COMPLETED
    assert world.starts == 6


def test_endpoint_with_wall_clock_set_back_is_still_tracked() -> None:
    world = ready_world(agents=1)
    world.restart_endpoint("w0", down_s=0.2)
    world.run(0.3)
    world.machines["w0"].endpoint.born -= 50_000
    world.run(1.5)
    assert agent_of(world).is_accepting
    job = world.submit("e0", tasks=4, run_s=0.2)
    world.run(0.5)
    assert outcome(job) is JobOutcome.COMPLETED


@pytest.mark.parametrize("same_id", [True, False])
def test_first_heartbeat_is_accepted_if_poll_finds_its_incarnation_first(
    same_id: bool,
) -> None:
    world = ready_world(agents=1)
    agent = agent_of(world)
    if same_id:
        world.restart_endpoint("w0", down_s=0.0)
        world.run(0.0)
    else:
        world.replace_endpoint("w0")
    world.machines["w0"].sequence = 1
    is_present = agent._ctx.driver.is_present

    def poll_meanwhile(report: EndpointReport) -> bool | None:
        for _ in range(3):
            agent.poll()
        return is_present(report)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(agent._ctx.driver, "is_present", poll_meanwhile)
        agent.on_report(world.report_of(world.machines["w0"]))
    assert agent.report is not None
    assert agent.report.born == world.machines["w0"].endpoint.born
    world.run(0.1)
    assert agent.is_accepting


@pytest.mark.parametrize("has_start", [True, False])
def test_late_shutdown_notice_of_earlier_incarnation_loses_no_run(has_start: bool) -> None:
    world = ready_world(agents=1)
    earlier = world.machines["w0"].endpoint
    world.restart_endpoint("w0", down_s=0.5)
    world.run(1.5)
    job = world.submit("e0", tasks=6, run_s=0.5)
    world.run(0.1)
    agent_of(world).on_shutdown_notice(earlier.name, earlier.born if has_start else 0)
    world.run(1.0)
    assert outcome(job) is JobOutcome.COMPLETED
    assert world.starts == 6
    assert_invariants_hold(world)


def test_start_that_reached_later_incarnation_survives_shutdown_notice_of_earlier_one() -> None:
    world = ready_world(agents=2)
    machine = world.machines["w0"]
    earlier = machine.endpoint
    # The agent is paused while its endpoint restarts, so it does not know of the restart.
    world.freeze(world.process_of("w0"), 0.2)
    world.restart_endpoint("w0", down_s=0.05)
    world.run(0.2)
    agent = agent_of(world)
    agent._ctx.driver._connected_to = machine.endpoint
    job = world.submit("e0", tasks=8, run_s=0.5)
    while not machine.endpoint.active:
        world.run(0.001)
    agent.on_shutdown_notice(earlier.name, earlier.born)
    world.run(3.0)
    assert outcome(job) is JobOutcome.COMPLETED
    assert_invariants_hold(world)


def test_shutdown_notice_of_current_incarnation_is_accepted() -> None:
    world = ready_world(agents=1)
    endpoint = world.machines["w0"].endpoint
    agent_of(world).on_shutdown_notice(endpoint.name, endpoint.born)
    assert agent_of(world).report is None
    endpoint.up = False
    world.run(0.1)
    assert not agent_of(world).is_accepting


@pytest.mark.parametrize("has_start", [True, False])
def test_endpoint_that_stays_after_its_shutdown_notice_runs_no_task_twice(has_start: bool) -> None:
    """Guards against a notice taken as proof that runs have ended: the endpoint may stay on."""
    world = ready_world(agents=2)
    endpoint = world.machines["w0"].endpoint
    if not has_start:
        endpoint.born = 0
        world.run(0.6)
    job = world.submit("e0", tasks=12, run_s=2.0)
    world.run(0.3)
    assert endpoint.active
    agent_of(world).on_shutdown_notice(endpoint.name, endpoint.born)
    assert not agent_of(world).is_accepting
    world.run(8.0)
    assert outcome(job) is JobOutcome.COMPLETED
    assert_invariants_hold(world)


def test_runs_of_endpoint_that_left_are_lost_once_their_leases_have_expired() -> None:
    """Guards against tasks that wait for proof longer than a lease lasts."""
    world = ready_world(agents=2)
    endpoint = world.machines["w0"].endpoint
    job = world.submit("e0", tasks=12, run_s=2.0)
    world.run(0.3)
    agent_of(world).on_shutdown_notice(endpoint.name, endpoint.born)
    endpoint.up = False
    world.run(0.75)
    assert agent_of(world).table.runs == {}
    assert agent_of(world).poller.endpoint == ""
    world.run(8.0)
    assert outcome(job) is JobOutcome.COMPLETED
    assert_invariants_hold(world)


def test_heartbeat_after_shutdown_notice_is_ignored() -> None:
    """Guards against new runs at an endpoint that has said that it ends."""
    world = ready_world(agents=1)
    endpoint = world.machines["w0"].endpoint
    agent_of(world).on_shutdown_notice(endpoint.name, endpoint.born)
    world.run(2.0)
    assert agent_of(world).report is None
    world.replace_endpoint("w0")
    world.run(1.0)
    assert agent_of(world).is_accepting


def test_start_not_sent_before_endpoint_restart_is_dropped() -> None:
    world = ready_world(agents=1)
    agent = agent_of(world)
    endpoint = world.machines["w0"].endpoint
    task = LeasedTask("00000000000000aa.0.0.0", 1, 0, 1600, 64, 0, 200)
    world.works[task.name] = (StepSpec(1, Resources(1600, 64), 200), Work(0.2))
    echo = world.entries["e0"].view.get_or_add("w0.1").newest_load  # type: ignore[union-attr]
    agent.on_message(Assign(echo, 1, [task], [], [encode_payload("x")]), "e0.1")
    assert (task.name, 1) in agent.table.runs
    endpoint.born += 1
    agent.tracker.on_restarted(endpoint.born)
    world.run(0.1)
    assert world.starts == 0
    assert agent.table.runs == {}


@pytest.mark.parametrize("down_s", [0.0, 0.004, 0.05, 0.3, 1.2])
@pytest.mark.parametrize("after_s", [0.001, 0.005, 0.03, 0.2])
def test_starts_in_flight_during_endpoint_restart_never_overlap(
    down_s: float, after_s: float
) -> None:
    world = ready_world(agents=2)
    jobs = [world.submit("e0", tasks=8, run_s=0.4, time_limit_s=9.0) for _ in range(2)]
    world.run(after_s)
    world.restart_endpoint("w0", down_s)
    world.run(6.0)
    assert {outcome(job) for job in jobs} == {JobOutcome.COMPLETED}
    assert_invariants_hold(world)


@pytest.mark.parametrize("seed", [*range(24), 38, 77, 88, 93, 160, 278, 301, 334, 429, 2005])
def test_random_walks_with_endpoint_restarts_drains_and_shutdowns(seed: int) -> None:
    world = ready_world(agents=5, entries=3, seed=seed)
    rng = Random(seed)
    for _ in range(60):
        _disturb_endpoints(world, rng)
        for _ in range(rng.randrange(4)):
            entry = rng.choice(sorted(world.entries))
            world.submit(entry, tasks=rng.randrange(1, 9), run_s=rng.choice([0.06, 0.2, 0.9]))
        world.run(rng.uniform(0.01, 0.3))
    world.run(9.0)
    assert_invariants_hold(world)


@pytest.mark.parametrize("seed", range(12))
def test_random_walks_with_endpoints_that_stay_after_their_notice(seed: int) -> None:
    """Guards against runs given up without proof, at endpoints that get no answer to a notice."""
    world = ready_world(agents=5, entries=3, seed=seed)
    rng = Random(seed)
    for _ in range(60):
        _disturb_endpoints(world, rng, stays_s=rng.choice([0.2, 3.0]))
        for _ in range(rng.randrange(4)):
            entry = rng.choice(sorted(world.entries))
            world.submit(entry, tasks=rng.randrange(1, 9), run_s=rng.choice([0.2, 0.9, 2.5]))
        world.run(rng.uniform(0.01, 0.3))
    world.run(9.0)
    assert_invariants_hold(world)


def _disturb_endpoints(world: World, rng: Random, stays_s: float = 0.0) -> None:
    machine = world.machines[rng.choice(sorted(world.machines))]
    what = rng.randrange(6)
    if what == 0 and machine.endpoint.up:
        late = world.report_of(machine, rng.random() < 0.5)
        notice = (machine.endpoint.name, rng.choice([0, machine.endpoint.born]))
        world.restart_endpoint(machine.name, rng.choice([0.0, 0.01, 0.1, 0.6, 2.0]))
        world.at(rng.uniform(0.7, 4.0), "", _deliver_late, world, machine.name, late, notice)
    elif what == 1:
        machine.endpoint.draining = True
    elif what == 2 and machine.endpoint.draining and machine.endpoint.up:
        agent_of(world, machine.name).on_shutdown_notice(
            machine.endpoint.name, machine.endpoint.born
        )
        if stays_s:
            world.at(stays_s, "", _replace_endpoint, world, machine.name, machine.endpoint.name)
        else:
            world.replace_endpoint(machine.name)
    else:
        _inject_fault(world, rng)


def _replace_endpoint(world: World, name: str, endpoint: str) -> None:
    """Replace an endpoint that has stayed for some time, unless another has taken its place."""
    if world.machines[name].endpoint.name == endpoint:
        world.replace_endpoint(name)


def _deliver_late(world: World, name: str, report: EndpointReport, notice: tuple[str, int]) -> None:
    """Deliver the last messages of an earlier incarnation, if the agent is alive."""
    if world.process_of(name) in world.alive:
        agent_of(world, name).on_report(report)
        agent_of(world, name).on_shutdown_notice(*notice)


# Run table


def table_with(*runs: str) -> RunTable:
    table = RunTable()
    table.reset(Resources(8000, 800))
    for task in runs:
        assert table.begin((task, 1), "e1", Resources(1600, 64), 100, now=1.0)
    return table


def test_ended_runs_of_later_incarnation_are_numbered_anew() -> None:
    table = table_with("a")
    table.apply_poll(HoldReply(1.0, (), (EndRecord(50, "z", 1, RunOutcome.DONE),)), 1.0)
    assert table.acknowledged == 50
    table.begin_incarnation()
    table.started(("a", 1), 1.1)
    (done,) = table.apply_poll(HoldReply(1.2, (), (EndRecord(1, "a", 1, RunOutcome.DONE),)), 1.2)
    assert (done.run.key, done.how) == (("a", 1), RunOutcome.DONE)
    assert table.acknowledged == 1


def test_restart_loses_listed_runs_and_keeps_unlisted_ones() -> None:
    table = table_with("seen", "confirmed", "doubtful")
    table.started(("seen", 1), 1.0)
    table.apply_poll(HoldReply(1.1, (ActiveRun("seen", 1, 10.0),), ()), 1.1)
    table.started(("confirmed", 1), 1.1)
    table.unanswered(("doubtful", 1), 1.1)
    assert [(done.run.key[0], done.how) for done in table.begin_incarnation()] == [
        ("seen", RunOutcome.LOST)
    ]
    assert table.resources.free == Resources(8000 - 2 * 1600, 800 - 2 * 64)
    assert not table.is_reconciled
    active = (ActiveRun("confirmed", 1, 5.0),)
    assert table.apply_poll(HoldReply(1.3, active, ()), 1.3) == []
    assert table.due_stops(1.3) == [("doubtful", 1)]
    table.stop_confirmed(("doubtful", 1), 1.35)
    (gone,) = table.apply_poll(HoldReply(1.4, active, ()), 1.4)
    # It may have run in the earlier incarnation, so it must not be reported as not run.
    assert (gone.run.key[0], gone.how) == ("doubtful", RunOutcome.LOST)
    assert list(table.runs) == [("confirmed", 1)]


# Driver


def report_of(app: PlatformEndpointApp) -> EndpointReport:
    return decode_heartbeat(app.instance, {**REPORT, "born": app.born}, "10.0.0.1:80")


@contextmanager
def attached() -> Iterator[tuple[PlatformEndpointApp, PlatformEndpoint]]:
    """Yield an endpoint and a driver that is attached to it."""
    app = PlatformEndpointApp("i-1")
    with served(app) as address:
        driver = PlatformEndpoint(address, 0.05)
        driver.attach(report_of(app))
        driver.hold(0, 0.0, 0.5, 1.0)
        yield app, driver


def test_poll_detects_endpoint_restart() -> None:
    with attached() as (app, driver):
        gevent.sleep(0.01)
        app.restart()
        with pytest.raises(NoAnswer):
            driver.hold(0, 0.0, 0.5, 1.0)
        with pytest.raises(EndpointStartedAgain) as caught:
            driver.hold(0, 0.0, 0.5, 1.0)
        assert caught.value.born == app.born
        assert driver.is_present(report_of(app)) is True
        assert driver.is_present(report_of(app)._replace(born=app.born - 9)) is False
        driver.attach(report_of(app))
        assert driver.hold(0, 0.0, 0.5, 1.0).active == ()
        assert driver.start("t", 1, SPEC, 0.5, boot_time()) is StartResult.STARTED
        assert [run.task for run in driver.hold(0, 0.0, 0.5, 1.0).active] == ["t"]


def test_first_calls_of_later_incarnation_use_no_earlier_connection() -> None:
    """Guards against starts that wait for an answer on connections that ended unnoticed."""
    with attached() as (app, driver):
        assert driver.stop("t", 1)
        gevent.sleep(0.01)
        app.restart()
        driver.attach(report_of(app))
        assert driver.hold(0, 0.0, 0.5, 1.0).active == ()
        assert driver.start("t", 2, SPEC, 0.5, boot_time()) is StartResult.STARTED


def test_endpoint_whose_clock_reads_zero_is_polled() -> None:
    """Guards against an endpoint that counts as silent in the first millisecond of its clock."""
    with attached() as (app, driver):
        app.restart()
        app.clock_ms = lambda: 0  # type: ignore[method-assign]
        driver.attach(report_of(app))
        assert driver.hold(0, 0.0, 0.5, 1.0).active == ()
        assert app.fence > 0


def test_connections_are_kept_when_a_heartbeat_adds_the_start_to_an_announcement() -> None:
    """Guards against needless new connections to an endpoint that has not restarted."""
    app = PlatformEndpointApp("i-1")
    with served(app) as address:
        driver = PlatformEndpoint(address, 0.05)
        driver.attach(report_of(app)._replace(born=0))
        driver.hold(0, 0.0, 0.5, 1.0)
        connections = len(app._incarnation_of)
        driver.attach(report_of(app))
        driver.hold(0, 0.0, 0.5, 1.0)
        assert len(app._incarnation_of) == connections


@pytest.mark.parametrize("offset_ms", [-9, 9])
def test_incarnation_that_answers_poll_is_current_whatever_start_was_reported(
    offset_ms: int,
) -> None:
    app = PlatformEndpointApp("i-1")
    with served(app) as address:
        driver = PlatformEndpoint(address, 0.05)
        driver.attach(report_of(app)._replace(born=app.born + offset_ms))
        with pytest.raises(EndpointStartedAgain) as caught:
            driver.hold(0, 0.0, 0.5, 1.0)
        assert caught.value.born == app.born


def test_probe_sets_no_fence_at_other_endpoint() -> None:
    earlier, later = PlatformEndpointApp("i-1"), PlatformEndpointApp("i-2")
    with served(earlier) as address, served(later) as other:
        driver = PlatformEndpoint(address, 0.05)
        driver.attach(report_of(earlier))
        driver.hold(0, 0.0, 0.5, 1.0)
        driver._poll_client = PlatformEndpoint(other, 0.05)._poll_client
        assert driver.is_present(report_of(later)) is True
        assert driver.is_present(report_of(earlier)) is False
        assert later.fence == 0


def test_fenced_off_probe_is_inconclusive_for_known_id() -> None:
    with attached() as (app, driver):
        app.fence *= 2
        assert driver.is_present(report_of(app)._replace(born=app.born + 9)) is None


def test_leases_use_clock_of_current_incarnation() -> None:
    with attached() as (app, driver):
        gevent.sleep(0.01)
        app.restart(clock_start_ms=70)
        driver.attach(report_of(app))
        driver.hold(0, 0.0, 0.0, 1.0)
        # Sent 0.4 s after it was decided, under a lease of 0.2 s, so it is refused.
        verdict = driver.start("t", 2, SPEC, 0.2, boot_time() - 0.4)
        assert verdict is StartResult.REFUSED


def test_late_answer_of_earlier_incarnation_sets_no_clock() -> None:
    with attached() as (app, driver):

        def answer_late(*_: object) -> HttpReply:
            driver.attach(report_of(app)._replace(born=app.born + 9))
            return HttpReply(200, b'{"clock_ms": 900000}')

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(driver._command_client, "call", answer_late)
            driver.stop("t", 1)
        assert driver._clock_ms is None


@pytest.mark.parametrize("attached_before", [True, False])
def test_lower_clock_after_restart_fences_off_no_agent(attached_before: bool) -> None:
    app = PlatformEndpointApp("i-1")
    with served(app) as address:
        earlier = PlatformEndpoint(address, 0.05)
        earlier.attach(report_of(app))
        earlier.hold(0, 0.0, 0.5, 1.0)
        app.restart(clock_start_ms=3)
        # A command for the earlier incarnation gives the present one the earlier fence.
        while not earlier.stop("t", 1):
            continue
        assert app.fence > app.clock_ms()
        driver = earlier if attached_before else PlatformEndpoint(address, 0.05)
        driver.attach(report_of(app))
        for _ in range(20):
            try:
                driver.hold(0, 0.0, 0.5, 1.0)
                break
            except NoAnswer:
                continue
        assert driver.start("t", 2, SPEC, 0.5, boot_time()) is StartResult.STARTED


@pytest.mark.parametrize("body, born", [(b"", 0), (b"{}", 0), (b'{"born": 12}', 12)])
def test_shutdown_notice_may_carry_start(body: bytes, born: int) -> None:
    assert decode_shutdown_notice(body) == born


@pytest.mark.parametrize("body", [b"[]", b'{"born": "12"}', b'{"born": -1}', b'{"born": 1.5}'])
def test_malformed_shutdown_notice_is_rejected(body: bytes) -> None:
    with pytest.raises(ValueError):
        decode_shutdown_notice(body)


@pytest.mark.parametrize("born", ["1", 1.5, None, True, -1, [1]])
def test_heartbeat_with_malformed_start_is_rejected(born: object) -> None:
    with pytest.raises(ValueError):
        decode_heartbeat("i-1", {**REPORT, "born": born}, "10.0.0.1:80")


# Entries and announcements


def test_avoided_endpoint_is_eligible_again_after_restart() -> None:
    view = fleet(1.0, {"a": 16000})
    agent = view.agents["a.1"]
    assert agent.state is not None
    agent.state = agent.state._replace(born=100)
    request = PlacementRequest("s", Resources(1600, 64), avoid=frozenset({agent.state.incarnation}))
    assert view.choose(request, view.eligible("s", 1.0)) is None
    agent.state = agent.state._replace(born=200)
    assert view.choose(request, view.eligible("s", 1.0)) is agent


def test_announcement_follows_current_incarnation() -> None:
    world = ready_world(agents=1)
    endpoint = world.machines["w0"].endpoint
    announced: list[tuple[int, bool] | None] = []

    def announce(report: EndpointReport | None) -> None:
        announced.append(None if report is None else (report.born, report.draining))

    agent_of(world).on_report_change = announce
    endpoint.draining = True
    world.run(0.6)
    world.restart_endpoint("w0", down_s=0.1)
    world.run(1.0)
    again = world.machines["w0"].endpoint
    agent_of(world).on_shutdown_notice(again.name, again.born)
    assert announced == [(endpoint.born, True), (again.born, False), None]


def test_announcement_round_trip_keeps_endpoint_start() -> None:
    mine = Announcement("w1", "agent", "10.0.0.1:7720", FIRST)
    assert decode_announcement("w1", mine.encode()) == mine


def test_announcement_of_previous_version_has_no_endpoint_start() -> None:
    mine = Announcement("w1", "agent", "10.0.0.1:7720", FIRST)
    older = mine.encode().replace(b', "born": 100', b"")
    read = decode_announcement("w1", older)
    assert read is not None and read.report == FIRST._replace(born=0)


def test_agent_that_resumes_ended_incarnation_waits_for_current_one() -> None:
    world = ready_world(agents=1)
    stored = world.report_of(world.machines["w0"])._replace(sequence=0)
    world.kill(world.process_of("w0"))
    world.restart_endpoint("w0", down_s=0.0)
    world.run(0.1)
    world.start_agent("w0")
    agent_of(world).on_report(stored)
    world.run(0.05)
    assert not agent_of(world).is_accepting
    world.run(0.6)
    assert agent_of(world).is_accepting
    job = world.submit("e0", tasks=4, run_s=0.2)
    world.run(0.5)
    assert outcome(job) is JobOutcome.COMPLETED
    assert_invariants_hold(world)
