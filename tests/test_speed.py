"""Speed of endpoints: learning, comparison within queues, priors, and placement by slack."""

from math import prod
from pathlib import Path
from random import Random

import pytest
from test_leased_units import fleet
from test_leased_world import outcome, ready_world

from bench.leased_load import play
from bench.leased_world import QUEUE
from bench.scenario import read_experiment
from gentianmux.leased import fleet_view
from gentianmux.leased.agent_view import AgentView
from gentianmux.leased.candidates import Candidates
from gentianmux.leased.fleet_speeds import NO_CLASS, speed_limit
from gentianmux.leased.fleet_view import SLOWNESS_STEP, FleetView
from gentianmux.leased.job_state import JobOutcome, estimate_remaining_s
from gentianmux.leased.model import JobSpec, StepSpec
from gentianmux.leased.placement_request import PlacementRequest
from gentianmux.leased.queue_levels import QueueLevels
from gentianmux.leased.resources import Resources
from gentianmux.leased.speed import FORGET_S, MIN_RUNS, SpeedEstimate

SCENARIOS = Path(__file__).parents[1] / "bench" / "scenarios"
TASK = Resources(1600, 64)


def learned(*ratios: float) -> SpeedEstimate:
    speed = SpeedEstimate()
    for ratio in ratios:
        speed.ended(ratio, 1.0)
    return speed


def uneven_fleet(percents: dict[str, int], labels: dict[str, list[str]] | None = None) -> FleetView:
    """A fleet of idle endpoints, whose speeds have been compared."""
    view = fleet(1.0, dict.fromkeys(percents, 16000), percents)
    for name, found in (labels or {}).items():
        state = view.agents[f"{name}.1"].state
        assert state is not None
        view.agents[f"{name}.1"].state = state._replace(labels=found)
    view.compare_speeds(1.0)
    return view


def chosen(view: FleetView, request: PlacementRequest) -> str:
    agent = Candidates(view, view.eligible("s", 1.0)).take(request)
    assert agent is view.choose(request, view.eligible("s", 1.0))
    return agent.process[0] if agent is not None else ""


# Learning


def test_a_slow_endpoint_is_noticed_within_three_runs_and_one_outlier_is_not() -> None:
    """Guards against averaging a change of speed away, and against trusting one run."""
    usual = (0.8, 1.3, 0.9, 1.1) * 8
    assert learned(*usual).percent(1.0) == pytest.approx(100, abs=5)
    assert learned(*usual, 9.0).percent(1.0) < 115
    assert learned(*usual, 2.5, 2.8, 2.6).percent(1.0) > 240
    assert learned(*usual, 0.3, 0.4, 0.35).percent(1.0) < 45


def test_a_factor_is_unknown_with_few_runs_and_after_a_while_without_any() -> None:
    """Guards against a slow endpoint that gets no runs, and so never shows that it recovered."""
    assert learned(*[3.0] * (MIN_RUNS - 1)).percent(1.0) == 0
    speed = learned(*[3.0] * 20)
    assert speed.percent(1.0 + FORGET_S) == 300
    assert speed.percent(1.1 + FORGET_S) == 0
    speed.ended(1.0, 1.2 + FORGET_S)
    assert speed.percent(1.2 + FORGET_S) == 0


def test_misjudged_estimates_leave_an_even_fleet_even() -> None:
    """Guards against taking the error of 40 % of estimates for a difference of speed."""
    rng = Random(1)
    percents = [
        learned(*[1 / rng.uniform(0.6, 1.4) for _ in range(60)]).percent(1.0) for _ in range(30)
    ]
    assert max(percents) - min(percents) <= 100 * SLOWNESS_STEP


def test_a_queue_with_wrong_estimates_makes_no_endpoint_look_slow() -> None:
    """Guards against endpoints that look slow since they run tasks of that queue."""
    rng = Random(1)
    levels = QueueLevels()
    speeds = {"fast": 0.5, "even": 1.0, "slow": 2.0}
    estimates = {name: SpeedEstimate() for name in speeds}
    for number in range(900):
        name = rng.choice([*speeds])
        # The queue that takes three times its estimate runs mostly at the fast endpoint.
        wrong = rng.random() < (0.8 if name == "fast" else 0.2)
        queue, level = ("wrong", 3.0) if wrong else ("right", 1.0)
        ratio = speeds[name] * level
        factors = {each: estimates[each].factor() for each in speeds}
        mean = prod(factors.values()) ** (1 / len(factors))
        estimates[name].ended(ratio / (levels.permille(queue) / 1000 or 1.0), number / 100)
        levels.record(queue, ratio, factors[name] / mean)
    factors = {each: estimates[each].factor() for each in speeds}
    assert factors["slow"] / factors["even"] == pytest.approx(2.0, rel=0.1)
    assert factors["even"] / factors["fast"] == pytest.approx(2.0, rel=0.1)
    assert levels.permille("wrong") / levels.permille("right") == pytest.approx(3.0, rel=0.1)


def test_a_slow_endpoint_is_noticed_by_the_progress_of_its_runs() -> None:
    """Guards against waiting for the end of long runs, which come much later."""
    world = ready_world(agents=2)
    for _ in range(6):
        world.submit("e0", tasks=4, run_s=0.1)
        world.run(0.3)
    world.machines["w0"].endpoint.speed = 0.3
    jobs = [world.submit("e0", tasks=4, run_s=2.0) for _ in range(4)]
    world.run(1.0)
    view = world.entries["e0"].view
    assert view is not None
    assert view.agents["w0.1"].slowness > 2.0
    assert view.agents["w1.1"].slowness < 1.3
    assert [outcome(each) for each in jobs] == [None] * 4


def test_nothing_learned_is_carried_over_to_another_incarnation() -> None:
    """Guards against a new endpoint that is avoided, since the one before it was slow."""
    world = ready_world(agents=2)
    world.machines["w0"].endpoint.speed = 0.4
    for _ in range(10):
        world.submit("e0", tasks=8, run_s=0.1)
        world.run(0.5)
    view = world.entries["e0"].view
    assert view is not None
    assert view.agents["w0.1"].slowness > 1.5
    world.replace_endpoint("w0")
    world.run(2.0)
    assert view.agents["w0.1"].slowness == 0.0
    job = world.submit("e0", tasks=2)
    world.run(0.5)
    assert outcome(job) is JobOutcome.COMPLETED


# Comparison


def test_a_new_incarnation_has_the_prior_of_its_kind() -> None:
    """Guards against a prior that is taken from the rack, which is a label as well."""
    labels = {
        name: ["linux", "small" if name < "e" else "large", f"rack{number % 3}"]
        for number, name in enumerate("abcdefgh")
    }
    percents = dict(zip("abcdefgh", (60, 63, 58, 0, 160, 170, 150, 0), strict=True))
    view = uneven_fleet(percents, labels)
    assert view.agents["d.1"].factor == pytest.approx(view.agents["a.1"].factor, rel=0.1)
    assert view.agents["h.1"].factor == pytest.approx(view.agents["e.1"].factor, rel=0.1)
    stranger = uneven_fleet(percents, {**labels, "d": ["other"]}).agents["d.1"]
    assert stranger.factor == pytest.approx(1.0)


def test_an_old_report_is_not_believed() -> None:
    """Guards against classes that rest on agents which may long be gone."""
    view = uneven_fleet({"a": 60, "b": 100, "c": 160})
    assert view.speeds.is_uneven
    for name in "bc":
        view.agents[f"{name}.1"].last_heard_at = 5.0
    view.agents["c.1"].slowness = 1.1
    view.compare_speeds(5.0)
    assert not view.speeds.is_uneven


def test_capacity_is_counted_in_work() -> None:
    """Guards against admission that counts a core of a slow endpoint like any other."""
    assert uneven_fleet({"a": 100, "b": 100}).capacity_cpu("s", 1.0) == pytest.approx(32.0)
    view = uneven_fleet({"a": 50, "b": 200})
    assert view.capacity_cpu("s", 1.0) == pytest.approx(16.0 / 0.5 + 16.0 / 2.0)


# Placement


def _rank_as_before(agent: AgentView, rng: Random) -> tuple[int, float, float]:
    """The rank of agents before speeds were compared."""
    capacity = Resources(16000, 999)
    busy = capacity.minus(agent.free).dominant_share(capacity)
    return round(max(agent.slowness, 1.0) / SLOWNESS_STEP), busy, rng.random()


@pytest.mark.parametrize("seed", range(20))
def test_even_endpoints_are_ranked_as_before(seed: int) -> None:
    """Guards against other decisions in fleets where no endpoint is faster than the others."""
    rng = Random(seed)
    least = rng.randrange(80, 140)
    names = [f"w{number}" for number in range(12)]
    frees = {name: rng.randrange(1, 11) * 1600 for name in names}
    percents = {name: least + rng.randrange(26) for name in names}
    view = fleet(1.0, frees, percents)
    view.compare_speeds(1.0)
    assert not view.speeds.is_uneven
    expected_rng = Random(1)
    serving = view.eligible("s", 1.0)
    expected = [(*_rank_as_before(agent, expected_rng), agent) for agent in serving]
    candidates = Candidates(view, serving)
    for number in range(30):
        best = min((item for item in expected if item[3].free.fits(TASK)), default=None)
        taken = candidates.take(PlacementRequest("s", TASK))
        assert taken is (None if best is None else best[3])
        if taken is None or best is None:
            break
        taken.reserve(number + 1, TASK)
        # The agent that was taken is ranked again, if it has any resources left.
        expected.remove(best)
        if taken.free.cpu > 0:
            expected.append((*_rank_as_before(taken, expected_rng), taken))


def test_a_task_goes_to_the_slowest_endpoint_that_is_fast_enough() -> None:
    """Guards against jobs with much slack on fast endpoints, which others then need."""
    view = uneven_fleet({"a": 60, "b": 100, "c": 160})
    request = PlacementRequest("s", TASK, estimate_ms=100)
    limits = {slack: speed_limit(slack, 0.1) for slack in (0.30, 0.15, 0.09, 0.05, -0.1)}
    assert limits[-0.1] == NO_CLASS
    placed = {
        slack: chosen(view, request._replace(speed_limit=limit)) for slack, limit in limits.items()
    }
    # With the least slack no endpoint is fast enough, and the fastest is taken.
    assert placed == {0.30: "c", 0.15: "b", 0.09: "a", 0.05: "a", -0.1: "a"}
    assert chosen(view, request._replace(requires="a", speed_limit=limits[0.30])) == "c"


def test_a_task_waits_only_while_an_endpoint_can_be_fast_enough() -> None:
    """Guards against slow endpoints that are used although a fast one is free in time."""
    view = uneven_fleet({"a": 60, "b": 100, "c": 160})
    for name in "ab":
        view.agents[f"{name}.1"].set_offered(Resources())
    request = PlacementRequest("s", TASK, speed_limit=speed_limit(0.15, 0.1), waits=True)
    assert chosen(view, request) == ""
    assert chosen(view, request._replace(waits=False)) == "c"
    assert chosen(view, request._replace(speed_limit=None)) == "c"


def test_time_for_later_steps_is_kept() -> None:
    """Guards against a first step on slow endpoints that leaves no time for the second."""
    steps = (
        StepSpec(1, TASK, 100),
        StepSpec(1, TASK, 300, after=(0,)),
        StepSpec(1, TASK, 50, after=(0,)),
        StepSpec(1, TASK, 20, after=(1, 2)),
    )
    spec = JobSpec("a" * 16, "", steps)
    left = [estimate_remaining_s(spec, number) for number in range(4)]
    assert left == pytest.approx([0.32, 0.02, 0.02, 0.0])


def test_late_work_takes_the_slowest_free_endpoint() -> None:
    """Guards against late jobs that take fast endpoints from jobs that can be in time."""
    world = ready_world(agents=2)
    world.machines["w0"].endpoint.speed = 0.5
    world.machines["w1"].endpoint.speed = 2.0
    for _ in range(10):
        world.submit("e0", tasks=8, run_s=0.1)
        world.run(0.5)
    tight = world.submit("e0", run_s=0.4, queue=QUEUE._replace(stretch=1.1))
    patient = world.submit("e0", run_s=0.4, queue=QUEUE._replace(stretch=4.0))
    world.run(0.1)
    endpoints = world.machines["w0"].endpoint, world.machines["w1"].endpoint
    slow, fast = ({name.partition(".")[0] for name, _ in each.active} for each in endpoints)
    assert tight.spec.job_id in fast
    assert patient.spec.job_id in slow


def test_a_job_that_waits_for_a_fast_endpoint_is_not_refused_while_a_slow_one_is_free() -> None:
    """Guards against refusals that callers get while endpoints that would serve them are idle."""
    world = ready_world(agents=2)
    world.machines["w0"].endpoint.speed = 0.5
    world.machines["w1"].endpoint.speed = 2.0
    for _ in range(10):
        world.submit("e0", tasks=8, run_s=0.1)
        world.run(0.5)
    for _ in range(10):
        world.submit("e0", run_s=2.0, queue=QUEUE._replace(stretch=1.1))
    waiting = [world.submit("e0", run_s=0.4) for _ in range(9)]
    assert world.machines["w0"].endpoint.active == {}
    world.run(2.0)
    assert [outcome(each) for each in waiting] == [JobOutcome.COMPLETED] * 9


def test_uneven_speeds_are_served_better_than_with_speed_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Applies the load of full endpoints of three speeds; guards against no use of the speeds."""
    scenario = read_experiment(SCENARIOS / "uneven_speeds.toml").scenario
    by_speed = play(1.4, 0, scenario)
    monkeypatch.setattr(fleet_view, "SLOWNESS_STEP", 1000.0)
    ignored = play(1.4, 0, scenario)
    assert by_speed.credit > ignored.credit + 0.02
    assert by_speed.in_time_p2 > ignored.in_time_p2
