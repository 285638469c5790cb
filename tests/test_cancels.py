"""Cancelled jobs: stopped wherever they run, and never started again."""

from random import Random

import pytest

from bench.leased_world import World
from gentianmux.codes import ResultCode
from gentianmux.errors import GentianmuxError
from gentianmux.leased import cancellations as module
from gentianmux.leased.cancellations import RETENTION_S, Cancellations
from gentianmux.leased.entry import Entry
from gentianmux.leased.job_canceller import PendingCancel
from gentianmux.leased.job_state import JobOutcome
from tests.test_leased_world import (
    _inject_fault,
    assert_invariants_hold,
    holder_of,
    outcome,
    ready_world,
)

LATE_S = 4.0
"""Delay of a request that arrives once more."""


def entry_of(world: World, name: str) -> Entry:
    entry = world.entries[name].entry
    assert entry is not None
    return entry


def active_tasks(world: World) -> int:
    return sum(len(machine.endpoint.active) for machine in world.machines.values())


@pytest.mark.parametrize("again_at", ["e0", "e1"])
def test_late_request_of_cancelled_job_starts_nothing(again_at: str) -> None:
    """Guards against entries that forget the ids of cancelled jobs."""
    world = ready_world(entries=2)
    job = world.submit("e0", tasks=4, run_s=3.0)
    world.run(0.5)
    pending = entry_of(world, "e0").canceller.cancel(job.spec.job_id)
    world.run(LATE_S)
    assert pending.confirmed.is_set()
    started = world.starts
    again = world.submit(again_at, tasks=4, run_s=3.0, job_id=job.spec.job_id)
    world.run(1.0)
    assert outcome(job) is outcome(again) is JobOutcome.CANCELLED
    assert world.starts == started


def test_cancel_at_another_entry_stops_the_runs() -> None:
    """Guards against a job that runs on, since its cancel reached another entry than its own."""
    world = ready_world(entries=2)
    job = world.submit("e0", tasks=6, run_s=3.0)
    world.run(0.5)
    entry_of(world, "e1").canceller.cancel(job.spec.job_id)
    world.run(0.2)
    assert outcome(job) is JobOutcome.CANCELLED
    assert active_tasks(world) == 0


def test_cancel_outlives_the_entry_that_took_it() -> None:
    """Guards against a cancel that is kept by one entry only."""
    world = ready_world(entries=2)
    job = world.submit("e0", tasks=4, run_s=3.0)
    world.run(0.5)
    entry_of(world, "e0").canceller.cancel(job.spec.job_id)
    world.run(0.01)
    world.kill(world.process_of("e0"))
    world.run(LATE_S)
    started = world.starts
    again = world.submit("e1", tasks=4, run_s=3.0, job_id=job.spec.job_id)
    world.run(1.0)
    assert outcome(again) is JobOutcome.CANCELLED
    assert world.starts == started


def test_restarted_processes_learn_of_cancelled_jobs() -> None:
    """Guards against cancels that are lost with the processes that restart in turn."""
    world = ready_world(agents=3, entries=2)
    job = world.submit("e0", tasks=4, run_s=3.0)
    world.run(0.5)
    entry_of(world, "e0").canceller.cancel(job.spec.job_id)
    world.run(0.5)
    for name in ("w0", "w1", "w2", "e0", "e1"):
        world.kill(world.process_of(name))
        world.run(0.3)
        if name.startswith("w"):
            world.start_agent(name)
        else:
            world.start_entry(name)
        world.run(0.7)
    started = world.starts
    world.submit("e1", tasks=4, run_s=3.0, job_id=job.spec.job_id)
    world.run(1.0)
    assert world.starts == started


def test_agent_refuses_start_of_entry_that_does_not_know_of_the_cancel() -> None:
    """Guards against starts by an entry that the cancel has not reached yet."""
    world = ready_world(entries=2)
    entry_of(world, "e1").canceller.broadcast.take = lambda msg, process: None  # type: ignore
    entry_of(world, "e0").canceller.cancel("00000000000000aa")
    world.run(1.0)
    world.submit("e1", tasks=4, run_s=1.0, job_id="00000000000000aa")
    world.run(2.0)
    assert world.starts == 0


def test_cancel_reaches_the_entry_of_the_job_over_other_agents() -> None:
    """Guards against runs that go on, since the entry of the cancel is cut off from their agent."""
    world = ready_world(agents=2, entries=2)
    job = world.submit("e0", run_s=3.0)
    world.run(0.3)
    world.cut_apart(holder_of(world, f"{job.spec.job_id}.0.0.0"), "e1", 5.0)
    entry_of(world, "e1").canceller.cancel(job.spec.job_id)
    world.run(0.2)
    assert outcome(job) is JobOutcome.CANCELLED
    assert active_tasks(world) == 0


def test_completed_job_runs_again_when_resubmitted_at_another_entry() -> None:
    """Shows what is not remembered: a caller that lost its answer gets the job run once more."""
    world = ready_world(entries=2)
    job = world.submit("e0", tasks=2, run_s=0.1)
    world.run(1.0)
    again = world.submit("e1", tasks=2, run_s=0.1, job_id=job.spec.job_id)
    world.run(1.0)
    assert outcome(again) is JobOutcome.COMPLETED
    assert world.starts == 4
    assert_invariants_hold(world)


@pytest.mark.parametrize("seed", range(20))
def test_random_walks_with_cancels(seed: int) -> None:
    """Guards against starts of cancelled jobs under any faults of processes and connections."""
    world = ready_world(agents=5, entries=3, seed=seed)
    rng = Random(seed)
    for _ in range(60):
        _inject_fault(world, rng)
        for _ in range(rng.randrange(4)):
            world.submit(rng.choice(sorted(world.entries)), rng.randrange(1, 9), 0.9)
        job = rng.choice(world.asked) if world.asked else None
        name = rng.choice(sorted(world.entries))
        if job is not None and rng.random() < 0.3 and world.process_of(name) not in world.frozen:
            entry_of(world, name).canceller.cancel(job.spec.job_id)
            world.cancelled_at.setdefault(job.spec.job_id, world.time)
            entry = rng.choice(sorted(world.entries))
            again = (entry, len(job.handle.job.tasks), 0.9, 1600, None, 0, job.spec.job_id)
            world.at(rng.uniform(2.0, 5.0), "", world.submit, *again)
        world.run(rng.uniform(0.01, 0.3))
    world.run(9.0)
    assert_invariants_hold(world)


# Decisions


def test_job_that_may_have_been_forgotten_is_never_started(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a start of a cancelled job that had to be forgotten."""
    monkeypatch.setattr(module, "MAX_CANCELLED", 2)
    cancellations = Cancellations()
    for number in range(3):
        cancellations.add(str(number), now=float(number))
    assert cancellations.holds("0", now=3.0)
    assert cancellations.holds("never cancelled", now=3.0)
    assert not cancellations.holds("never cancelled", now=RETENTION_S)
    assert cancellations.holds("2", now=RETENTION_S)


def test_job_that_was_not_cancelled_is_refused_and_not_reported_after_an_overflow(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an overflow that spreads, as refused jobs are reported as cancelled."""
    monkeypatch.setattr(module, "MAX_CANCELLED", 2)
    world = ready_world(agents=1, entries=1)
    agent = world.machines["w0"].agent
    assert agent is not None
    for number in range(3):
        agent._ctx.cancel_broadcast.cancellations.add(f"{number:f>16}", world.time)
    job = world.submit("e0", run_s=0.1, time_limit_s=1.0)
    world.run(1.5)
    assert world.starts == 0
    assert outcome(job) is JobOutcome.NOT_RUN
    entry = entry_of(world, "e0")
    assert len(entry.canceller.broadcast.cancellations) == 0
    for number in range(3):
        entry.canceller.broadcast.cancellations.add(f"{number:e>16}", world.time)
    assert outcome(world.submit("e0", run_s=0.1)) is JobOutcome.NOT_RUN


def test_cancel_is_refused_while_it_could_not_be_remembered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a cancel that is confirmed and then forgotten."""
    monkeypatch.setattr(module, "MAX_CANCELLED", 4)
    world = ready_world()
    job = world.submit("e0", run_s=0.3)
    for number in range(3):
        entry_of(world, "e0").canceller.cancel(f"{number:f>16}")
    with pytest.raises(GentianmuxError) as raised:
        entry_of(world, "e0").canceller.cancel(job.spec.job_id)
    assert raised.value.code is ResultCode.OVERLOADED
    world.run(1.0)
    assert outcome(job) is JobOutcome.COMPLETED


@pytest.mark.parametrize(
    ("domains", "seen", "confirmed"),
    [
        ({"fd1", "fd2", "fd3"}, ["fd1", "fd1"], False),
        ({"fd1", "fd2", "fd3"}, ["fd1", "fd3"], True),
        ({"fd1"}, ["fd1"], True),
        (set(), [], False),
    ],
)
def test_cancel_is_confirmed_by_two_failure_domains(
    domains: set[str], seen: list[str], confirmed: bool
) -> None:
    """Guards against an answer that one failure domain's loss would make false."""
    pending = PendingCancel(domains)
    for domain in seen:
        pending.add(domain)
    assert pending.confirmed.is_set() is confirmed
