"""Units of leased jobs: admission, resources, health, progress, and the view of the fleet."""

from collections import deque
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianmux.leased.admission_policy import (
    DECISION_RATIO,
    LATE_PAUSE_S,
    MIN_OBSERVATION_S,
    WAIT_FACTOR,
    AdmissionPolicy,
    Decision,
    Load,
    WorkRate,
    retry_after_s,
    urgency,
)
from gentianmux.leased.endpoint_health import EJECT_AFTER_FAILURES, EndpointHealth
from gentianmux.leased.entry_leases import ENTRY_LEASE_S, EntryLeases, leases_expire_at
from gentianmux.leased.fleet_view import MAX_AGENTS_PER_ROUND, FleetView
from gentianmux.leased.job_state import JobState, Phase, Timeliness
from gentianmux.leased.messages import AgentLoad, EndpointState
from gentianmux.leased.model import JobSpec, QueueConfig, RunOutcome, StepSpec
from gentianmux.leased.placement_request import PlacementRequest
from gentianmux.leased.progress import STALL_TIMEOUT_S, RunProgress
from gentianmux.leased.resources import ResourcePool, Resources
from gentianmux.leased.settings import LeasedSettings, lease_s

QUEUE = QueueConfig("q", "h", "/q/", "s", 5000, 60, 0, 3, 1.6)


def job(number: int = 1, tasks: int = 2, estimate_ms: int = 400, arrived: float = 0.0) -> JobState:
    spec = JobSpec(f"{number:016x}", "", (StepSpec(tasks, Resources(1600, 64), estimate_ms),))
    return JobState(spec, QUEUE, arrived, arrived + 5.0)


# Resources


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(1, 5), st.booleans()), max_size=60))
def test_allocations_never_exceed_capacity_and_are_all_released(
    steps: list[tuple[int, int, bool]],
) -> None:
    account = ResourcePool(Resources(10, 10))
    for run, size, takes in steps:
        if takes:
            account.allocate((str(run), 1), Resources(size, 1))
        else:
            account.release((str(run), 1))
        assert account.capacity.fits(account.used)
    for run in range(10):
        account.release((str(run), 1))
    assert account.used == Resources()


# Entry leases


def test_entry_lease_counts_from_sending_the_echoed_report() -> None:
    side = EntryLeases()
    for number in range(1, 11):
        side.record_sent(number, number / 10)
    side.record_echo("e", 3)
    assert side.holds("e", 0.3 + ENTRY_LEASE_S - 0.01)
    assert not side.holds("e", 0.3 + ENTRY_LEASE_S + 0.01)
    side.record_echo("e", 2)
    assert side.holds("e", 0.3 + ENTRY_LEASE_S - 0.01)
    side.record_echo("e", 99)
    assert not side.holds("e", 2.0)


def test_all_leases_expire_before_callers_resend() -> None:
    cfg = LeasedSettings("entry", "e", "fd", "", "")
    assert leases_expire_at(0.0, lease_s(cfg)) < cfg.resend_s


# Health and progress


def test_failures_of_one_job_do_not_eject_an_endpoint() -> None:
    health = EndpointHealth()
    for _ in range(10):
        health.ended("poison", True, None, 1.0)
    assert not health.is_ejected(1.0)


def test_ejections_grow_and_end_with_the_first_success() -> None:
    health = EndpointHealth()
    for number in range(EJECT_AFTER_FAILURES):
        health.ended(str(number), True, None, 0.0)
    assert health.is_ejected(0.9)
    assert health.offered(Resources(9), 0, 1.1) == Resources(9)
    assert health.offered(Resources(9), 1, 1.1) == Resources()
    health.ended("x", True, None, 1.2)
    assert health.is_ejected(2.5)
    health.ended("y", False, 1.0, 3.0)
    assert health.offered(Resources(9), 5, 3.0) == Resources(9)


def test_a_run_is_stalled_only_without_progress() -> None:
    progress = RunProgress(0.0)
    for step in range(1, 20):
        progress = progress.updated(step, step * 0.1)
        assert not progress.is_stalled(step * 0.1 + 0.1)
    assert progress.is_stalled(1.9 + STALL_TIMEOUT_S + 0.01)
    assert progress.projected_ms(1.9) == pytest.approx(10_000, rel=0.01)


# The fleet


def fleet(now: float, frees: dict[str, int], slowness: dict[str, int] | None = None) -> FleetView:
    view = FleetView(0.55, Random(1))
    for name, cpu in frees.items():
        agent = view.get_or_add(f"{name}.1")
        agent.state = EndpointState(f"{name}-x", "s", "fd1", 16000, 999, 0, ["a"], True)
        load = AgentLoad(1, 0, cpu, 999, 0, (slowness or {}).get(name, 100), 1, 1, 9000)
        agent.apply_report(load, now)
    return view


def test_the_fastest_then_least_loaded_agent_is_chosen() -> None:
    view = fleet(1.0, {"a": 2000, "b": 9000, "c": 16000}, {"c": 300})
    request = PlacementRequest("s", Resources(1600, 64))
    chosen = view.choose(request, view.eligible("s", 1.0))
    assert chosen is not None
    assert chosen.process == "b.1"
    avoided = view.choose(request._replace(avoid=frozenset({"b-x"})), view.eligible("s", 1.0))
    assert avoided is not None
    assert avoided.process == "a.1"
    assert view.choose(request._replace(requires="z"), view.eligible("s", 1.0)) is None


def test_resources_assigned_since_the_last_report_are_not_assigned_again() -> None:
    view = fleet(1.0, {"a": 3000})
    agent = view.get_or_add("a.1")
    agent.reserve(1, Resources(1600, 64))
    assert view.choose(PlacementRequest("s", Resources(1600, 64)), view.eligible("s", 1.0)) is None
    agent.apply_report(AgentLoad(2, 1, 3000, 999, 0, 100, 1, 1, 9000), 1.1)
    assert view.choose(PlacementRequest("s", Resources(1600, 64)), view.eligible("s", 1.1)) is agent


def test_a_silent_agent_gets_no_runs_and_expires_after_every_lease() -> None:
    view = fleet(1.0, {"a": 3000})
    assert view.eligible("s", 1.2)
    assert not view.eligible("s", 1.4)
    assert not view.is_expired("a.1", 2.0)
    assert view.is_expired("a.1", 2.2)


# Jobs and their admission


def test_a_step_waits_for_the_steps_before_it() -> None:
    first = StepSpec(2, Resources(100, 1), 100)
    second = StepSpec(1, Resources(100, 1), 300, after=(0,))
    state = JobState(JobSpec("a" * 16, "", (first, second)), QUEUE, 0.0, 5.0)
    assert state.critical_path_s == pytest.approx(0.4)
    names = [task.name for task in state.ready_tasks()]
    assert names == [f"{'a' * 16}.0.0.0", f"{'a' * 16}.0.0.1"]
    for task in list(state.ready_tasks()):
        state.assign(task, "w", "x", 0.0)
        state.end_run(task.name, task.run, RunOutcome.DONE)
    assert [task.step for task in state.ready_tasks()] == [1]


@pytest.mark.parametrize(
    "how",
    [
        RunOutcome.NO_ROOM,
        RunOutcome.NOT_STARTED,
        RunOutcome.OLD_RUN,
        RunOutcome.LOST,
        RunOutcome.STALLED,
    ],
)
def test_only_failed_runs_count_as_attempts(how: RunOutcome) -> None:
    state = job(tasks=1)
    for _ in range(10):
        (task,) = state.ready_tasks()
        run = state.assign(task, "w", "x", 0.0)
        assert state.end_run(task.name, run, how)
        assert not state.end_run(task.name, run, how)
    assert not state.failed
    assert state.proved_not_run == how.never_ran


def test_each_job_is_decided_once() -> None:
    due = DECISION_RATIO * job().objective_s
    jobs = [job(number) for number in range(40)]
    admission = AdmissionPolicy()
    assert admission.decide(jobs, 12.0, due - 0.01) == ([], [], [], [])
    decision = admission.decide(jobs, 12.0, due + 0.01)
    assert len(decision.timely) + len(decision.late) + len(decision.refused) == 40
    assert 0 < len(decision.timely) < 10
    assert 0 < len(decision.late) < 20
    for each in decision.timely:
        each.timeliness = Timeliness.TIMELY
    for each in decision.late:
        each.timeliness = Timeliness.LATE
    again = admission.decide([*decision.timely, *decision.late], 0.1, due + 0.3)
    assert again == ([], [], [], [])


def test_a_job_is_late_while_its_answer_is_of_use_and_then_refused() -> None:
    ahead = job(1, tasks=10, estimate_ms=500)
    ahead.began = True
    ahead_s = WAIT_FACTOR * ahead.work_cpu_s / 40.0
    candidate = job(2)
    now = DECISION_RATIO * candidate.objective_s
    spare_s = candidate.last_useful_start - now - ahead_s
    assert candidate.latest_start < now + ahead_s < candidate.last_useful_start
    assert AdmissionPolicy().decide([ahead, candidate], 40.0, now).late == [candidate]
    assert AdmissionPolicy().decide([ahead, candidate], 40.0, now + spare_s - 0.01).late == [
        candidate
    ]
    (refusal,) = AdmissionPolicy().decide([ahead, candidate], 40.0, now + spare_s + 0.01).refused
    assert refusal.job is candidate
    assert [retry_after_s(Load(work, 40.0)) for work in (1.0, 12.0, 900.0)] == [1, 2, 5]


def test_arriving_work_delays_late_jobs_until_they_are_refused() -> None:
    ahead, candidate = job(1, tasks=10, estimate_ms=500), job(2, arrived=2.0)
    ahead.began = True
    now = candidate.arrived_at + DECISION_RATIO * candidate.objective_s + 0.001
    for cores, expected in ((0.0, "late"), (28.0, "late"), (34.0, "refused"), (60.0, "refused")):
        admission = AdmissionPolicy()
        for tenth in range(20):
            coming = job(3, tasks=1, estimate_ms=int(cores / 1.6 * 100), arrived=tenth / 10)
            admission.record_arrival(coming, now - 1.95 + tenth / 10)
        decision = admission.decide([ahead, candidate], 40.0, now)
        assert len(getattr(decision, expected)) == 1, cores


def test_rate_is_unknown_right_after_a_restart() -> None:
    arrivals = WorkRate()
    for _ in range(100):
        arrivals.add(10.0, 5.0)
    assert arrivals.rate(5.0 + MIN_OBSERVATION_S - 0.01) is None
    assert arrivals.rate(5.0 + MIN_OBSERVATION_S) == 0.0


def test_kept_jobs_are_given_up_once_their_answer_is_of_no_use() -> None:
    kept = job(1)
    kept.timeliness = Timeliness.TIMELY
    assert AdmissionPolicy().decide([kept], 4.0, kept.last_useful_start - 0.01) == ([], [], [], [])
    assert AdmissionPolicy().decide([kept], 4.0, kept.last_useful_start + 0.01).expired == [kept]
    kept.began = True
    assert AdmissionPolicy().decide([kept], 4.0, kept.last_useful_start + 0.01).expired == []


def test_late_admissions_pause_after_a_job_was_kept_in_vain() -> None:
    admission = AdmissionPolicy()
    mistaken = job(1)
    mistaken.timeliness = Timeliness.LATE
    at = mistaken.last_useful_start + 0.01
    assert admission.decide([mistaken], 40.0, at).expired == [mistaken]
    ahead = job(2, tasks=10, estimate_ms=500, arrived=at)
    ahead.began = True

    def decided(now: float) -> Decision:
        candidate = job(3, arrived=now - DECISION_RATIO * job().objective_s - 0.001)
        return admission.decide([ahead, candidate], 40.0, now)

    assert len(decided(at + LATE_PAUSE_S - 0.1).refused) == 1
    assert len(decided(at + LATE_PAUSE_S + 0.1).late) == 1


def test_late_admissions_pause_when_late_work_delays_timely_jobs() -> None:
    admission = AdmissionPolicy()
    late, timely = job(1), job(2)
    late.timeliness = Timeliness.LATE
    now = timely.latest_start + 0.01
    admission.record_begin(timely, now)
    ahead = job(3, tasks=10, estimate_ms=500)
    ahead.began = True
    candidate = job(4, arrived=now - DECISION_RATIO * job().objective_s)
    assert admission.decide([ahead, candidate], 40.0, now).late == [candidate]
    admission.record_begin(late, now)
    admission.record_begin(timely, now + 0.01)
    assert len(admission.decide([ahead, candidate], 40.0, now + 0.01).refused) == 1


def test_jobs_that_have_begun_go_first_then_by_latest_start() -> None:
    begun, soon, patient = job(1), job(2, estimate_ms=100), job(3, estimate_ms=2000)
    begun.began = True
    assert sorted([patient, begun, soon], key=urgency) == [begun, soon, patient]
    task, *_ = begun.ready_tasks()
    begun.assign(task, "w", "x", 0.0)
    assert [each.phase for each in begun.tasks.values()] == [Phase.ASSIGNED, Phase.WAITING]


def test_late_jobs_go_last_also_after_they_have_begun() -> None:
    begun, late, begun_late = job(1, estimate_ms=2000), job(2, estimate_ms=100), job(3)
    begun.began = begun_late.began = True
    late.timeliness = begun_late.timeliness = Timeliness.LATE
    timely = job(4, estimate_ms=2000)
    jobs = [begun_late, late, timely, begun]
    assert sorted(jobs, key=urgency) == [begun, timely, begun_late, late]


def test_slowness_counts_only_recent_runs() -> None:
    health = EndpointHealth()
    for ratio in deque([9.0] * 8 + [1.5] * 8):
        health.ended("j", False, ratio, 1.0)
    assert health.slowness() == pytest.approx(1.5)


def test_a_placement_round_considers_a_bounded_number_of_agents() -> None:
    view = fleet(1.0, {f"a{number}": 4000 for number in range(3000)})
    assert len(view.eligible("s", 1.0)) == MAX_AGENTS_PER_ROUND
    assert view.capacity_cpu("s", 1.0) == pytest.approx(3000 * 16.0)
    view.remove_agent("a7.1")
    assert "a7.1" not in view.agents
    assert view.capacity_cpu("s", 1.0) == pytest.approx(2999 * 16.0)


def test_announced_agents_count_as_capacity_until_they_report_or_expire() -> None:
    view = FleetView(0.55, Random(1))
    for node in ("w1", "w2"):
        view.expect_agent(node, "s", "fd1", 16000, 10.0)
    view.expect_agent("w3", "other", "fd1", 16000, 10.0)
    assert view.capacity_cpu("s", 10.1) == 32.0
    agent = view.get_or_add("w1.5")
    agent.state = EndpointState("x", "s", "fd", 16000, 1000, 0, [], True)
    agent.apply_report(AgentLoad(1, 0, 100, 10, 0, 100, 1, 1, 9000), 10.2)
    assert view.capacity_cpu("s", 10.3) == 32.0
    assert view.capacity_cpu("other", 10.3) == 16.0
    agent.apply_report(AgentLoad(2, 0, 100, 10, 0, 100, 1, 1, 9000), 12.0)
    assert view.capacity_cpu("s", 12.1) == 16.0


def test_restarted_agent_counts_as_announced_until_its_capacity_is_confirmed() -> None:
    """Guards against refusals after a restart of all agents, whose heartbeats come 1.5 s later."""
    view = FleetView(0.55, Random(1))
    view.expect_agent("w1", "s", "fd1", 16000, 10.0)
    agent = view.get_or_add("w1.5")
    agent.state = EndpointState("x", "s", "fd", 0, 0, 0, [], False)
    agent.apply_report(AgentLoad(1, 0, 0, 0, 0, 100, 1, 1, 9000), 10.2)
    assert view.capacity_cpu("s", 10.3) == 16.0
    agent.state = EndpointState("x", "s", "fd", 3200, 1000, 0, [], True)
    assert view.capacity_cpu("s", 10.3) == 3.2


def test_a_stopping_agent_gets_only_runs_that_can_end() -> None:
    view = FleetView(0.55, Random(1))
    agent = view.get_or_add("w1.5")
    agent.state = EndpointState("x", "s", "fd", 16000, 1000, 0, [], True)
    agent.apply_report(AgentLoad(1, 0, 16000, 1000, 0, 100, 1, 1, 400), 10.0)
    request = PlacementRequest("s", Resources(1600, 64), estimate_ms=400)
    assert view.choose(request, view.eligible("s", 10.0)) is agent
    assert view.choose(request._replace(estimate_ms=401), view.eligible("s", 10.0)) is None


def test_jobs_that_fit_expected_endpoints_are_kept() -> None:
    due = DECISION_RATIO * job().objective_s + 0.01
    jobs = [job(number) for number in range(40)]
    alone = AdmissionPolicy().decide(jobs, 4.0, due)
    coming = AdmissionPolicy().decide(jobs, 4.0, due, expected_cpu=20.5 * jobs[0].cpu)
    assert len(alone.timely) < 10
    assert coming.timely[:20] == jobs[:20]
    all_coming = AdmissionPolicy().decide(jobs, 4.0, due, expected_cpu=40.5 * jobs[0].cpu)
    assert (all_coming.late, all_coming.refused) == ([], [])
