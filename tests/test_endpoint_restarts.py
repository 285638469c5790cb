"""Endpoints that start again under the id that they had: nothing known of before still holds.

What users saw: tasks began at an endpoint two seconds after it had said that it drains and its
agent had acknowledged that; before it, every run there was reported as lost and begun again
elsewhere. Order of events: the endpoint crashed, started again under the same id and counted its
heartbeats and the ends of its runs from 1; its agent answered, since the endpoint's id was the one
that it knew; the endpoint said that it drains. Cause: the agent told lives of an endpoint apart by
their id alone, so it kept the counts of the earlier one, passed over the word as overtaken and the
ends as known. Evidence: in the agent's log "endpoint answers" without "endpoint found" after the
crash, no "endpoint drains" after the acknowledgement, and no end but "lost" from the crash on.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random
from time import monotonic

import gevent
import pytest
from platform_deployment import Deployment, job_body, served
from test_leased_units import fleet
from test_leased_world import _inject_fault, assert_invariants_hold, outcome, ready_world
from test_platform_adapter import REPORT, SPEC

from bench.leased_endpoint import Work
from bench.leased_world import World
from gentianmux.leased.agent import Agent
from gentianmux.leased.directory import Announcement, decode_announcement
from gentianmux.leased.fleet_view import PlacementRequest
from gentianmux.leased.heartbeat_kind import Word, judge
from gentianmux.leased.job_state import JobOutcome
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
from gentianmux.leased.resources import Resources
from gentianmux.leased.run_table import RunTable
from gentianmux.messages import Assign, LeasedTask
from gentianmux.platform.endpoint import PlatformEndpoint, decode_heartbeat, decode_shutdown_notice
from gentianmux.platform.http_client import HttpReply
from standins.platform_endpoint import PlatformEndpointApp

COMPLETED = b'{"state": "completed"}'


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    running = Deployment(tmp_path, agents=1)
    try:
        running.start_all()
        yield running
    finally:
        running.stop()


def test_an_endpoint_that_started_again_is_heard_when_it_drains() -> None:
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


# At 1.0 s its heartbeat is the first that the agent hears of it, at 1.2 s its answer to a look.
@pytest.mark.parametrize("down_s", [1.0, 1.2])
def test_runs_at_an_endpoint_that_started_again_are_done_once(down_s: float) -> None:
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


def test_an_agent_follows_its_endpoint_through_a_start(deployment: Deployment) -> None:
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


def test_an_agent_started_after_its_endpoint_is_not_locked_out_by_a_lower_clock(
    deployment: Deployment,
) -> None:
    endpoint = deployment.endpoints["side-0"]
    assert deployment.submit("00000000000000c1", job_body()) == (200, COMPLETED)
    endpoint.restart(clock_start_ms=1)
    gevent.sleep(0.8)
    assert deployment.submit("00000000000000c2", job_body()) == (200, COMPLETED)
    # The earlier clock began 5 s higher, and so did the fence that the present life has seen.
    assert endpoint.fence > endpoint.clock_ms()
    deployment.processes["side-0"].kill()
    deployment.processes["side-0"].wait()
    deployment.start("side-0", "agent")
    gevent.sleep(1.5)
    before = len(endpoint.starts)
    assert deployment.submit("00000000000000c3", job_body()) == (200, COMPLETED)
    assert len(endpoint.starts) == before + 4


# What a heartbeat is

FIRST = EndpointReport(
    "i-1", "10.0.0.1:80", "s", "fd", Resources(8, 8), (), False, 0.0, sequence=9, born=100
)


@pytest.mark.parametrize(
    "change, word",
    [
        ({"sequence": 10}, Word.CURRENT),
        ({"sequence": 8}, Word.OVERTAKEN),
        ({"sequence": 1, "born": 200}, Word.STARTED_AGAIN),
        ({"sequence": 10, "born": 200}, Word.STARTED_AGAIN),
        ({"sequence": 10, "born": 99}, Word.ENDED),
        ({"sequence": 10, "born": 0}, Word.FOREIGN),
        ({"endpoint": "i-2", "born": 200}, Word.OTHER),
    ],
)
def test_a_heartbeat_is_judged_by_its_endpoints_start_before_its_number(
    change: dict[str, object], word: Word
) -> None:
    assert judge(FIRST._replace(**change), FIRST) is word  # type: ignore[arg-type]
    assert judge(FIRST, None) is Word.OTHER


def test_heartbeats_without_a_start_are_judged_by_their_number() -> None:
    untold = FIRST._replace(born=0)
    assert judge(untold._replace(sequence=8), untold) is Word.OVERTAKEN
    assert judge(untold._replace(sequence=10), untold) is Word.CURRENT


# The agent


def agent_of(world: World, name: str = "w0") -> Agent:
    agent = world.machines[name].agent
    assert agent is not None
    return agent


def test_an_endpoint_that_drained_before_it_crashed_is_used_after_its_start() -> None:
    world = ready_world(agents=1)
    world.machines["w0"].endpoint.draining = True
    world.run(1.0)
    assert not agent_of(world).is_accepting
    world.restart_endpoint("w0", down_s=0.5)
    world.run(1.2)
    assert agent_of(world).is_accepting


def test_an_endpoint_may_start_again_with_another_size_and_service() -> None:
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
    assert agent.table.room.capacity == Resources(4000, 999, 0)


def test_nothing_begins_at_a_life_that_has_answered_but_not_reported() -> None:
    world = ready_world(agents=1)
    agent = agent_of(world)
    world.run(0.05)
    world.restart_endpoint("w0", down_s=0.01)
    # A look that met silence takes 0.24 s; the next heartbeat comes 0.45 s from here.
    world.run(0.3)
    assert agent.report is None
    assert agent.poller.answering
    assert not agent.is_accepting
    world.run(0.6)
    assert agent.is_accepting


def test_a_late_heartbeat_of_an_earlier_life_under_the_same_id_changes_nothing() -> None:
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


def test_a_heartbeat_that_tells_a_false_start_loses_no_run() -> None:
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


def test_an_endpoint_whose_time_of_day_was_set_back_is_followed_all_the_same() -> None:
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
def test_a_first_heartbeat_counts_although_a_look_finds_its_life_while_it_is_checked(
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

    def look_meanwhile(report: EndpointReport) -> bool | None:
        for _ in range(3):
            agent.poll()
        return is_present(report)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(agent._ctx.driver, "is_present", look_meanwhile)
        agent.on_report(world.report_of(world.machines["w0"]))
    assert agent.report is not None
    assert agent.report.born == world.machines["w0"].endpoint.born
    world.run(0.1)
    assert agent.is_accepting


@pytest.mark.parametrize("told", [True, False])
def test_a_late_farewell_of_an_earlier_life_loses_no_run(told: bool) -> None:
    world = ready_world(agents=1)
    earlier = world.machines["w0"].endpoint
    world.restart_endpoint("w0", down_s=0.5)
    world.run(1.5)
    job = world.submit("e0", tasks=6, run_s=0.5)
    world.run(0.1)
    agent_of(world).on_shutdown_notice(earlier.name, earlier.born if told else 0)
    world.run(1.0)
    assert outcome(job) is JobOutcome.COMPLETED
    assert world.starts == 6
    assert_invariants_hold(world)


def test_a_start_that_reached_a_later_life_outlives_the_farewell_of_the_earlier_one() -> None:
    world = ready_world(agents=2)
    machine = world.machines["w0"]
    earlier = machine.endpoint
    # The agent stands still while its endpoint starts again, so it has not heard of that.
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


def test_the_farewell_of_the_present_life_is_believed() -> None:
    world = ready_world(agents=1)
    endpoint = world.machines["w0"].endpoint
    agent_of(world).on_shutdown_notice(endpoint.name, endpoint.born)
    assert agent_of(world).report is None
    endpoint.up = False
    world.run(0.1)
    assert not agent_of(world).is_accepting


def test_a_start_that_was_not_sent_before_the_endpoint_started_again_is_not_sent() -> None:
    world = ready_world(agents=1)
    agent = agent_of(world)
    endpoint = world.machines["w0"].endpoint
    task = LeasedTask("00000000000000aa.0.0.0", 1, 0, 1600, 64, 0, 200)
    world.works[task.name] = (StepSpec(1, Resources(1600, 64), 200), Work(0.2))
    echo = world.entries["e0"].view.get_or_add("w0.1").newest_load  # type: ignore[union-attr]
    agent.on_message(Assign(echo, 1, [task], [], [encode_payload("x")]), "e0.1")
    assert (task.name, 1) in agent.table.runs
    endpoint.born += 1
    agent.tracker.started_again(endpoint.born)
    world.run(0.1)
    assert world.starts == 0
    assert agent.table.runs == {}


@pytest.mark.parametrize("down_s", [0.0, 0.004, 0.05, 0.3, 1.2])
@pytest.mark.parametrize("after_s", [0.001, 0.005, 0.03, 0.2])
def test_runs_on_their_way_while_the_endpoint_starts_again_run_once_at_a_time(
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
def test_random_walks_with_endpoints_that_start_again_drain_and_leave(seed: int) -> None:
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


def _disturb_endpoints(world: World, rng: Random) -> None:
    machine = world.machines[rng.choice(sorted(world.machines))]
    what = rng.randrange(6)
    if what == 0 and machine.endpoint.up:
        late = world.report_of(machine, rng.random() < 0.5)
        farewell = (machine.endpoint.name, rng.choice([0, machine.endpoint.born]))
        world.restart_endpoint(machine.name, rng.choice([0.0, 0.01, 0.1, 0.6, 2.0]))
        world.at(rng.uniform(0.7, 4.0), "", _arrive_late, world, machine.name, late, farewell)
    elif what == 1:
        machine.endpoint.draining = True
    elif what == 2 and machine.endpoint.draining and machine.endpoint.up:
        agent_of(world, machine.name).on_shutdown_notice(
            machine.endpoint.name, machine.endpoint.born
        )
        world.replace_endpoint(machine.name)
    else:
        _inject_fault(world, rng)


def _arrive_late(
    world: World, name: str, report: EndpointReport, farewell: tuple[str, int]
) -> None:
    """Let the last words of an earlier life arrive, unless nobody is there to take them."""
    if world.process_of(name) in world.alive:
        agent_of(world, name).on_report(report)
        agent_of(world, name).on_shutdown_notice(*farewell)


# The account of runs


def table_with(*runs: str) -> RunTable:
    table = RunTable()
    table.reset(Resources(8000, 800))
    for task in runs:
        assert table.begin((task, 1), "e1", Resources(1600, 64), 100, now=1.0)
    return table


def test_the_ends_of_a_later_life_count_anew() -> None:
    table = table_with("a")
    table.looked_at(HoldReply(1.0, (), (EndRecord(50, "z", 1, RunOutcome.DONE),)), 1.0)
    assert table.acknowledged == 50
    table.turn_over()
    table.started(("a", 1), 1.1)
    (done,) = table.looked_at(HoldReply(1.2, (), (EndRecord(1, "a", 1, RunOutcome.DONE),)), 1.2)
    assert (done.run.key, done.how) == (("a", 1), RunOutcome.DONE)
    assert table.acknowledged == 1


def test_what_the_earlier_life_was_seen_to_run_is_lost_and_what_may_be_under_way_is_kept() -> None:
    table = table_with("seen", "confirmed", "doubtful")
    table.started(("seen", 1), 1.0)
    table.looked_at(HoldReply(1.1, (ActiveRun("seen", 1, 10.0),), ()), 1.1)
    table.started(("confirmed", 1), 1.1)
    table.unanswered(("doubtful", 1), 1.1)
    assert [(done.run.key[0], done.how) for done in table.turn_over()] == [
        ("seen", RunOutcome.LOST)
    ]
    assert table.room.free == Resources(8000 - 2 * 1600, 800 - 2 * 64)
    assert not table.is_clean
    active = (ActiveRun("confirmed", 1, 5.0),)
    assert table.looked_at(HoldReply(1.3, active, ()), 1.3) == []
    assert table.due_stops(1.3) == [("doubtful", 1)]
    table.stop_confirmed(("doubtful", 1), 1.35)
    (gone,) = table.looked_at(HoldReply(1.4, active, ()), 1.4)
    # It may have run in the earlier life: that it did nothing is not proved.
    assert (gone.run.key[0], gone.how) == ("doubtful", RunOutcome.LOST)
    assert list(table.runs) == [("confirmed", 1)]


# The driver


def report_of(app: PlatformEndpointApp) -> EndpointReport:
    return decode_heartbeat(app.instance, {**REPORT, "born": app.born}, "10.0.0.1:80")


@contextmanager
def attached() -> Iterator[tuple[PlatformEndpointApp, PlatformEndpoint]]:
    """An endpoint, and a driver whose fence it has seen."""
    app = PlatformEndpointApp("i-1")
    with served(app) as address:
        driver = PlatformEndpoint(address, 0.05)
        driver.attach(report_of(app))
        driver.hold(0, 0.0, 0.5, 1.0)
        yield app, driver


def test_a_look_tells_that_the_endpoint_has_started_again() -> None:
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
        assert driver.start("t", 1, SPEC, 0.5, monotonic()) is StartResult.STARTED
        assert [run.task for run in driver.hold(0, 0.0, 0.5, 1.0).active] == ["t"]


@pytest.mark.parametrize("told_ms", [-9, 9])
def test_who_answers_a_look_is_at_work_whatever_was_told_of_its_start(told_ms: int) -> None:
    app = PlatformEndpointApp("i-1")
    with served(app) as address:
        driver = PlatformEndpoint(address, 0.05)
        driver.attach(report_of(app)._replace(born=app.born + told_ms))
        with pytest.raises(EndpointStartedAgain) as caught:
            driver.hold(0, 0.0, 0.5, 1.0)
        assert caught.value.born == app.born


def test_a_probe_of_another_endpoint_leaves_it_no_fence() -> None:
    earlier, later = PlatformEndpointApp("i-1"), PlatformEndpointApp("i-2")
    with served(earlier) as address, served(later) as other:
        driver = PlatformEndpoint(address, 0.05)
        driver.attach(report_of(earlier))
        driver.hold(0, 0.0, 0.5, 1.0)
        driver._poll_client = PlatformEndpoint(other, 0.05)._poll_client
        assert driver.is_present(report_of(later)) is True
        assert driver.is_present(report_of(earlier)) is False
        assert later.fence == 0


def test_a_probe_refused_for_its_fence_tells_nothing_of_a_known_id() -> None:
    with attached() as (app, driver):
        app.fence *= 2
        assert driver.is_present(report_of(app)._replace(born=app.born + 9)) is None


def test_leases_are_counted_by_the_clock_of_the_present_life() -> None:
    with attached() as (app, driver):
        app.restart(clock_start_ms=70)
        driver.attach(report_of(app))
        with pytest.raises(NoAnswer):
            driver.hold(0, 0.0, 0.0, 1.0)
        driver.hold(0, 0.0, 0.0, 1.0)
        # Sent 0.4 s after it was decided, under a lease of 0.2 s: refused as late.
        verdict = driver.start("t", 2, SPEC, 0.2, monotonic() - 0.4)
        assert verdict is StartResult.REFUSED


def test_a_late_answer_of_the_earlier_life_sets_no_clock() -> None:
    with attached() as (app, driver):

        def answer_late(*_: object) -> HttpReply:
            driver.attach(report_of(app)._replace(born=app.born + 9))
            return HttpReply(200, b'{"clock_ms": 900000}')

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(driver._command_client, "call", answer_late)
            driver.stop("t", 1)
        assert driver._clock_ms == 0.0


@pytest.mark.parametrize("attached_before", [True, False])
def test_a_lower_clock_after_a_start_locks_no_agent_out(attached_before: bool) -> None:
    app = PlatformEndpointApp("i-1")
    with served(app) as address:
        earlier = PlatformEndpoint(address, 0.05)
        earlier.attach(report_of(app))
        earlier.hold(0, 0.0, 0.5, 1.0)
        app.restart(clock_start_ms=3)
        # Meant for the earlier life: the present one now knows the earlier fence.
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
        assert driver.start("t", 2, SPEC, 0.5, monotonic()) is StartResult.STARTED


@pytest.mark.parametrize("body, born", [(b"", 0), (b"{}", 0), (b'{"born": 12}', 12)])
def test_a_farewell_may_tell_the_start(body: bytes, born: int) -> None:
    assert decode_shutdown_notice(body) == born


@pytest.mark.parametrize("body", [b"[]", b'{"born": "12"}', b'{"born": -1}', b'{"born": 1.5}'])
def test_a_farewell_that_cannot_be_read_is_refused(body: bytes) -> None:
    with pytest.raises(ValueError):
        decode_shutdown_notice(body)


@pytest.mark.parametrize("born", ["1", 1.5, None, True, -1, [1]])
def test_a_heartbeat_with_a_foreign_start_is_none(born: object) -> None:
    with pytest.raises(ValueError):
        decode_heartbeat("i-1", {**REPORT, "born": born}, "10.0.0.1:80")


# Entries and store


def test_what_is_held_against_an_endpoint_ends_when_it_starts_again() -> None:
    view = fleet(1.0, {"a": 16000})
    agent = view.agents["a.1"]
    assert agent.state is not None
    agent.state = agent.state._replace(born=100)
    request = PlacementRequest("s", Resources(1600, 64), avoid=frozenset({agent.state.incarnation}))
    assert view.choose(request, view.eligible("s", 1.0)) is None
    agent.state = agent.state._replace(born=200)
    assert view.choose(request, view.eligible("s", 1.0)) is agent


def test_what_is_announced_follows_the_life_at_work() -> None:
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


def test_an_announcement_keeps_the_start_of_the_endpoint() -> None:
    mine = Announcement("w1", "agent", "10.0.0.1:7720", FIRST)
    assert decode_announcement("w1", mine.encode()) == mine


def test_an_announcement_of_the_last_version_names_an_endpoint_without_a_start() -> None:
    mine = Announcement("w1", "agent", "10.0.0.1:7720", FIRST)
    older = mine.encode().replace(b', "born": 100', b"")
    read = decode_announcement("w1", older)
    assert read is not None and read.report == FIRST._replace(born=0)


def test_an_agent_that_resumes_an_ended_life_from_the_store_waits_for_the_present_one() -> None:
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
