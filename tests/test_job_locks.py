"""Jobs of one id at two entries, of which only one may run at a time."""

import pytest

from bench.leased_world import Asked, World
from gentianmux.leased.entry import Entry
from gentianmux.leased.job_lock import HEDGE_S
from gentianmux.leased.job_lock_table import PURGE_INTERVAL_S, JobLockTable
from gentianmux.leased.job_locks import CONFIRM_TIMEOUT_S, ISOLATED_S
from gentianmux.leased.job_state import JobOutcome
from tests.test_leased_world import (
    assert_invariants_hold,
    outcome,
    ready_world,
)

RESEND_S = 1.3
"""Delay after which callers resend a job whose answer was lost."""

JOB_IDS = [f"{number:016x}" for number in (0x5C0E7A21D94B36F8, 0x91D2F04BE87C35A6, 7, 8)]
"""Ids of jobs, of which some are owned by each of two entries."""


def entry_of(world: World, name: str) -> Entry:
    entry = world.entries[name].entry
    assert entry is not None
    return entry


def submit(
    world: World, entry: str, job_id: str, run_s: float = 1.2, limit_s: float = 5.0
) -> Asked:
    return world.submit(entry, tasks=2, run_s=run_s, job_id=job_id, time_limit_s=limit_s)


def leave(world: World, entry: str, job: Asked) -> None:
    entry_of(world, entry).abandon(job.handle, "the caller left")


@pytest.mark.parametrize("job_id", JOB_IDS)
@pytest.mark.parametrize("gap_s", [0.0, 0.0005, 0.002, 0.5, 1.1])
def test_late_request_does_not_run_beside_its_repeat(job_id: str, gap_s: float) -> None:
    """Guards against two entries that run one job, as a request arrives late at one of them."""
    world = ready_world(agents=4, entries=2)
    repeat = submit(world, "e1", job_id)
    world.run(gap_s)
    late = submit(world, "e0", job_id)
    world.run(0.002)
    leave(world, "e0", late)
    world.run(3.0)
    assert_invariants_hold(world)
    if gap_s > HEDGE_S:
        assert outcome(repeat) is JobOutcome.COMPLETED
        assert outcome(late) is JobOutcome.UNKNOWN


@pytest.mark.parametrize("job_id", JOB_IDS)
@pytest.mark.parametrize("entry", ["e0", "e1"])
def test_repeat_waits_for_runs_of_late_request_to_end(job_id: str, entry: str) -> None:
    """Guards against a repeat that starts beside runs that are being stopped."""
    world = ready_world(agents=4, entries=2)
    late = submit(world, "e0", job_id)
    world.run(0.2)
    leave(world, "e0", late)
    world.run(0.01)
    early = submit(world, entry, job_id)
    world.run(RESEND_S)
    repeat = submit(world, entry, job_id)
    world.run(3.0)
    assert_invariants_hold(world)
    assert outcome(early) is JobOutcome.UNKNOWN
    assert outcome(repeat) is JobOutcome.COMPLETED


@pytest.mark.parametrize("job_id", JOB_IDS)
def test_job_runs_again_at_another_entry_after_its_answer_was_lost(job_id: str) -> None:
    """Guards against locks that outlive their jobs, so that resent jobs are refused."""
    world = ready_world(agents=4, entries=2)
    done = submit(world, "e0", job_id, run_s=0.2)
    world.run(0.5)
    assert outcome(done) is JobOutcome.COMPLETED
    world.run(RESEND_S)
    again = submit(world, "e1", job_id, run_s=0.2)
    world.run(0.5)
    assert outcome(again) is JobOutcome.COMPLETED


@pytest.mark.parametrize("job_id", JOB_IDS)
def test_job_of_killed_entry_runs_at_another_one_in_time(job_id: str) -> None:
    """Guards against locks of a killed entry that keep its jobs from being resent."""
    world = ready_world(agents=4, entries=3)
    submit(world, "e0", job_id, run_s=2.0)
    world.run(0.5)
    world.kill(world.process_of("e0"))
    world.run(RESEND_S)
    again = submit(world, "e1", job_id, run_s=2.0)
    world.run(3.0)
    assert_invariants_hold(world)
    assert outcome(again) is JobOutcome.COMPLETED


@pytest.mark.parametrize("job_id", JOB_IDS)
@pytest.mark.parametrize("left_s", [0.0, 0.0005, 0.2])
def test_late_request_finds_the_lock_after_its_owner_was_killed(job_id: str, left_s: float) -> None:
    """Guards against locks that are lost with the entry that granted them."""
    world = ready_world(agents=4, entries=3)
    repeat = submit(world, "e1", job_id, run_s=2.0)
    world.run(0.3)
    world.kill(world.process_of("e2"))
    world.run(max(left_s, 0.01))
    submit(world, "e0", job_id, run_s=2.0)
    world.run(3.0)
    assert_invariants_hold(world)
    assert outcome(repeat) is JobOutcome.COMPLETED


@pytest.mark.parametrize("job_id", JOB_IDS)
def test_late_request_finds_the_lock_after_an_entry_has_started(job_id: str) -> None:
    """Guards against locks that an entry which becomes their owner does not learn of."""
    world = ready_world(agents=4, entries=3)
    world.kill(world.process_of("e2"))
    world.run(0.5)
    submit(world, "e1", job_id, run_s=2.0)
    world.run(0.2)
    world.start_entry("e2")
    world.run(0.5)
    submit(world, "e0", job_id, run_s=2.0)
    world.run(3.0)
    assert_invariants_hold(world)


@pytest.mark.parametrize("job_id", JOB_IDS)
@pytest.mark.parametrize("pause_s", [0.0005, 0.002])
def test_entry_paused_before_it_places_a_job_runs_it_at_most_once(
    job_id: str, pause_s: float
) -> None:
    """Guards against an entry that is paused between accepting a job and placing it."""
    world = ready_world(agents=4, entries=2)
    submit(world, "e0", job_id, limit_s=1.5)
    world.run(pause_s)
    world.freeze(world.process_of("e0"), 3.3)
    world.run(1.5 + RESEND_S)
    submit(world, "e1", job_id)
    world.run(3.0)
    assert_invariants_hold(world)


@pytest.mark.parametrize("entries", [3, 5, 11])
def test_no_job_is_refused_while_one_entry_is_paused(entries: int) -> None:
    """Guards against jobs that wait for, or are lost with, an entry that is paused or cut off."""
    world = ready_world(agents=4, entries=entries)
    world.freeze(world.process_of("e1"), 3.0)
    jobs = [submit(world, "e0", f"{number:016x}", run_s=0.1) for number in range(5)]
    world.run(0.1 + HEDGE_S + 0.1)
    assert {outcome(job) for job in jobs} == {JobOutcome.COMPLETED}
    later = [submit(world, "e0", f"{number:016x}", run_s=0.1) for number in range(100, 105)]
    world.run(0.1 + HEDGE_S + 0.1)
    assert {outcome(job) for job in later} == {JobOutcome.COMPLETED}


@pytest.mark.parametrize("job_id", JOB_IDS)
def test_entry_that_reaches_no_majority_refuses_jobs_as_not_run(job_id: str) -> None:
    """Guards against an entry that starts jobs, or keeps their callers waiting, on its own."""
    world = ready_world(agents=4, entries=3)
    for name in ("e1", "e2"):
        world.freeze(world.process_of(name), 3.0)
    world.run(0.1)
    first = submit(world, "e0", job_id, run_s=0.2)
    world.run(CONFIRM_TIMEOUT_S + 0.05)
    assert outcome(first) is JobOutcome.NOT_RUN
    world.run(ISOLATED_S + 1.0)
    second = submit(world, "e0", job_id, run_s=0.2)
    assert outcome(second) is JobOutcome.NOT_RUN
    assert second.handle.result is not None and second.handle.result.retry_after_s > 0
    assert not entry_of(world, "e0").is_ready
    world.run(3.0 - CONFIRM_TIMEOUT_S - ISOLATED_S - 1.0 + 0.1)
    third = submit(world, "e0", job_id, run_s=0.2)
    world.run(0.4)
    assert outcome(third) is JobOutcome.COMPLETED
    assert entry_of(world, "e0").is_ready
    assert_invariants_hold(world)


@pytest.mark.parametrize("job_id", JOB_IDS)
def test_job_is_not_begun_before_a_late_denial(job_id: str) -> None:
    """Guards against a job that begins while the entry that runs it does not answer."""
    world = ready_world(agents=4, entries=2)
    holder = submit(world, "e1", job_id, run_s=4.0)
    world.run(0.2)
    world.freeze(world.process_of("e1"), 0.3)
    late = submit(world, "e0", job_id, run_s=4.0)
    world.run(0.4)
    repeat = submit(world, "e0", job_id, run_s=4.0)
    world.run(0.1)
    assert outcome(late) is outcome(repeat) is JobOutcome.UNKNOWN
    assert outcome(holder) is None
    assert not late.handle.job.began and not repeat.handle.job.began


def test_lock_expires() -> None:
    """Guards against locks that are kept for good if their holder never releases them."""
    table = JobLockTable()
    assert table.acquire("a", "e1", until=2.0, now=1.0)
    assert not table.acquire("a", "e2", until=3.0, now=1.9)
    assert table.acquire("a", "e2", until=3.0, now=2.0)
    table.release("a", "e1")
    assert not table.acquire("a", "e1", until=4.0, now=2.5)
    assert table.acquire("b", "e1", until=9.0, now=3.0 + PURGE_INTERVAL_S)
    assert len(table) == 1
