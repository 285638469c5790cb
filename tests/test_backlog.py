"""What waits at an entry is kept in order, summed up, and handed to the best agent.

Each event sorted and summed up the whole backlog, and each task was weighed against every agent:
the processor that a job took grew with the backlog (31 times from 10 to 1,000 jobs that wait) and
with the agents (6.7 times from 10 to 1,000). The kept forms are compared with the plain ones here,
and what they cost is bounded.
"""

from random import Random

import pytest

from bench.leased_speed import cost_of_a_job
from gentianmux.leased.admission_policy import urgency
from gentianmux.leased.backlog import Backlog
from gentianmux.leased.candidates import Candidates
from gentianmux.leased.fleet_view import AgentView, FleetView, PlacementRequest
from gentianmux.leased.job_state import JobState, Timeliness
from gentianmux.leased.model import JobSpec, QueueConfig, RunOutcome, StepSpec
from gentianmux.leased.resources import Resources
from gentianmux.messages import AgentLoad, EndpointState

QUEUE = QueueConfig("q", "h", "/q/", "s", 5000, 60, 0, 3, 1.6)


def job(number: int, rng: Random) -> JobState:
    steps = (StepSpec(rng.randint(1, 4), Resources(rng.randrange(800, 1800), 64), 100),)
    queue = QUEUE._replace(priority=rng.randrange(3), service=rng.choice("st"))
    return JobState(JobSpec(f"{number:016x}", "", steps), queue, rng.random(), 9.0)


def change(one: JobState, rng: Random) -> None:
    """Let a job begin, come back, or be decided."""
    if one.ready() and rng.random() < 0.5:
        one.assign(one.ready()[0], "w0", "x0", 1.0)
    elif one.out():
        task = one.out()[0]
        one.ended(task.name, task.run, RunOutcome.NO_ROOM)
    else:
        one.timeliness = Timeliness.LATE


def assert_as_plain(backlog: Backlog, waiting: dict[str, JobState]) -> None:
    for service in "st":
        mine = [each for each in waiting.values() if each.queue.service == service]
        assert [urgency(each) for each in backlog.get_or_add(service)] == sorted(map(urgency, mine))
        assert {id(each) for each in backlog.get_or_add(service)} == set(map(id, mine))
        demands = backlog.demands(service)
        kinds = sorted({urgency(each)[:3] for each in mine})
        assert [demand.kind for demand in demands] == kinds
        for demand in demands:
            alike = [each for each in mine if urgency(each)[:3] == demand.kind]
            needs = [each.step_of(task).need for each in alike for task in each.ready()]
            assert demand.total.cpu == sum(need.cpu for need in needs)
            assert demand.total.mem_mb == sum(need.mem_mb for need in needs)
            assert demand.least_cpu == min(need.cpu for need in needs)
            assert demand.begin_by == min(urgency(each)[3] for each in alike)


@pytest.mark.parametrize("seed", range(12))
def test_kept_order_and_demand_are_those_of_the_jobs(seed: int) -> None:
    rng = Random(seed)
    backlog = Backlog()
    waiting: dict[str, JobState] = {}
    for number in range(150):
        one = rng.choice(list(waiting.values())) if waiting and rng.random() < 0.6 else None
        if one is None:
            one = job(number, rng)
        elif rng.random() < 0.4:
            del waiting[one.spec.job_id]
            backlog.drop(one)
            backlog.drop(one)
            continue
        else:
            change(one, rng)
        if not one.ready():
            waiting.pop(one.spec.job_id, None)
            backlog.drop(one)
            continue
        waiting[one.spec.job_id] = one
        backlog.put(one)
        assert_as_plain(backlog, waiting)
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


def weight_of(view: FleetView, agent: AgentView) -> tuple[int, float]:
    return view.weight(agent)[:2]


@pytest.mark.parametrize("seed", range(20))
def test_the_best_agent_by_the_kept_order_is_the_best_of_all(seed: int) -> None:
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
        assert weight_of(view, taken) == weight_of(view, best)
        assert taken.free.fits(request.need) and taken.longest_ms >= 100
        taken.reserve(number + 1, request.need)


def test_room_is_counted_once_reserved_and_again_once_reported() -> None:
    agent = AgentView("w0.1")
    agent.apply_report(AgentLoad(1, 0, 8000, 100, 0, 100, 1, 1, 9000), 1.0)
    agent.reserve(1, Resources(3000, 10))
    agent.reserve(2, Resources(1000, 10))
    assert agent.free == Resources(4000, 80)
    agent.apply_report(AgentLoad(2, 1, 5000, 90, 0, 100, 1, 1, 9000), 1.1)
    assert agent.free == Resources(4000, 80)
    agent.apply_report(AgentLoad(3, 2, 4000, 80, 0, 100, 1, 1, 9000), 1.2)
    assert agent.free == Resources(4000, 80)


def test_a_job_costs_little_more_when_many_wait_or_the_fleet_is_large() -> None:
    """By the processor's time of a job, as multiples of that of a fixed piece of Python.

    Before: 0.56 and 17.5 with 10 and 1,000 jobs that wait, 18.7 with 1,000 agents.
    """
    few, many = cost_of_a_job(60, 10), cost_of_a_job(60, 1000)
    assert many < 5 * few
    assert cost_of_a_job(1000, 100) < 5 * cost_of_a_job(60, 100)
