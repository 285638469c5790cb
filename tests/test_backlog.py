"""The backlog and the candidates match a full sort, sum and search, at a bounded cost.

Guards against a cost per job that grows with the backlog or the fleet.
"""

from random import Random

import pytest

from bench.leased_speed import cost_of_a_job
from gentianmux.leased.admission_policy import urgency
from gentianmux.leased.agent_view import AgentView
from gentianmux.leased.backlog import Backlog
from gentianmux.leased.candidates import Candidates
from gentianmux.leased.fleet_view import FleetView
from gentianmux.leased.job_state import JobState, Timeliness
from gentianmux.leased.messages import AgentLoad, EndpointState
from gentianmux.leased.model import JobSpec, QueueConfig, RunOutcome, StepSpec
from gentianmux.leased.placement_request import PlacementRequest
from gentianmux.leased.resources import Resources

QUEUE = QueueConfig("q", "h", "/q/", "s", 5000, 60, 0, 3, 1.6)


def job(number: int, rng: Random) -> JobState:
    steps = (StepSpec(rng.randint(1, 4), Resources(rng.randrange(800, 1800), 64), 100),)
    queue = QUEUE._replace(priority=rng.randrange(3), service=rng.choice("st"))
    return JobState(JobSpec(f"{number:016x}", "", steps), queue, rng.random(), 9.0)


def change(one: JobState, rng: Random) -> None:
    """Assign a task of a job, return it, or decide the job."""
    if one.ready_tasks() and rng.random() < 0.5:
        one.assign(one.ready_tasks()[0], "w0", "x0", 1.0)
    elif one.assigned_tasks():
        task = one.assigned_tasks()[0]
        one.end_run(task.name, task.run, RunOutcome.NO_ROOM)
    else:
        one.timeliness = Timeliness.LATE


def assert_matches_plain(backlog: Backlog, waiting: dict[str, JobState]) -> None:
    for service in "st":
        mine = [each for each in waiting.values() if each.queue.service == service]
        assert [urgency(each) for each in backlog.jobs_of(service)] == sorted(map(urgency, mine))
        assert {id(each) for each in backlog.jobs_of(service)} == set(map(id, mine))
        demands = backlog.demands(service)
        urgency_classes = sorted({urgency(each)[:3] for each in mine})
        assert [demand.urgency_class for demand in demands] == urgency_classes
        for demand in demands:
            alike = [each for each in mine if urgency(each)[:3] == demand.urgency_class]
            needs = [each.step_of(task).need for each in alike for task in each.ready_tasks()]
            assert demand.total.cpu == sum(need.cpu for need in needs)
            assert demand.total.mem_mb == sum(need.mem_mb for need in needs)
            assert demand.least_cpu == min(need.cpu for need in needs)
            assert demand.begin_by == min(urgency(each)[3] for each in alike)


@pytest.mark.parametrize("seed", range(12))
def test_backlog_matches_sorted_jobs_and_summed_demand(seed: int) -> None:
    rng = Random(seed)
    backlog = Backlog()
    waiting: dict[str, JobState] = {}
    for number in range(150):
        one = rng.choice(list(waiting.values())) if waiting and rng.random() < 0.6 else None
        if one is None:
            one = job(number, rng)
        elif rng.random() < 0.4:
            del waiting[one.spec.job_id]
            backlog.discard(one)
            backlog.discard(one)
            continue
        else:
            change(one, rng)
        if not one.ready_tasks():
            waiting.pop(one.spec.job_id, None)
            backlog.discard(one)
            continue
        waiting[one.spec.job_id] = one
        backlog.put(one)
        assert_matches_plain(backlog, waiting)
    assert len(backlog) == len(waiting)


def fleet(rng: Random, agents: int = 12) -> FleetView:
    view = FleetView(0.55, rng)
    for number in range(agents):
        agent = view.get_or_add(f"w{number}.1")
        agent.state = EndpointState(f"x{number}", "s", "fd", 16000, 9999, 0, ["a", "b"], True)
        cpu, slow = rng.randrange(0, 16000), rng.choice([80, 100, 150])
        longest_ms = rng.choice([50, 9000])
        agent.apply_report(AgentLoad(1, 0, cpu, 9999, 0, slow, 1, 1, longest_ms), 1.0)
    return view


def rank_of(view: FleetView, agent: AgentView) -> tuple[int, float]:
    return view.rank(agent)[:2]


@pytest.mark.parametrize("seed", range(20))
def test_candidates_choose_as_good_an_agent_as_full_search(seed: int) -> None:
    rng = Random(seed)
    view = fleet(rng)
    serving = view.eligible("s", 1.0)
    candidates = Candidates(view, serving)
    for number in range(40):
        avoid = frozenset({"x1", "x4"}) if rng.random() < 0.2 else frozenset()
        request = PlacementRequest(
            "s", Resources(rng.randrange(400, 5000), 64), avoid=avoid, estimate_ms=100
        )
        best = view.choose(request, serving)
        taken = candidates.take(request)
        assert (taken is None) == (best is None)
        if taken is None or best is None:
            continue
        assert rank_of(view, taken) == rank_of(view, best)
        assert taken.free.fits(request.need) and taken.longest_ms >= 100
        taken.reserve(number + 1, request.need)


def test_reserved_resources_are_deducted_until_reported() -> None:
    agent = AgentView("w0.1")
    agent.apply_report(AgentLoad(1, 0, 8000, 100, 0, 100, 1, 1, 9000), 1.0)
    agent.reserve(1, Resources(3000, 10))
    agent.reserve(2, Resources(1000, 10))
    assert agent.free == Resources(4000, 80)
    agent.apply_report(AgentLoad(2, 1, 5000, 90, 0, 100, 1, 1, 9000), 1.1)
    assert agent.free == Resources(4000, 80)
    agent.apply_report(AgentLoad(3, 2, 4000, 80, 0, 100, 1, 1, 9000), 1.2)
    assert agent.free == Resources(4000, 80)


def test_cost_of_a_job_hardly_grows_with_backlog_and_fleet() -> None:
    """Costs are CPU time of a job relative to a fixed piece of Python."""
    few, many = cost_of_a_job(60, 10), cost_of_a_job(60, 1000)
    assert many < 5 * few
    assert cost_of_a_job(1000, 100) < 5 * cost_of_a_job(60, 100)
