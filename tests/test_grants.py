"""Free resources are granted to the most urgent claim, and to one entry only."""

from collections import Counter
from itertools import product

import pytest
from hypothesis import given
from hypothesis import strategies as st

import bench.leased_load as load_model
from bench.leased_world import World
from bench.scenario import USUAL
from gentianmux.leased.backlog import Backlog
from gentianmux.leased.claims import MAX_CLAIMS, claims_of, signature
from gentianmux.leased.grants import (
    GRANT_BACKOFF_S,
    GRANT_TTL_S,
    LATE_HEADROOM_RATIO,
    Grants,
    split_by_task,
)
from gentianmux.leased.job_state import JobState, Timeliness
from gentianmux.leased.messages import Claim
from gentianmux.leased.model import JobSpec, QueueConfig, StepSpec
from gentianmux.leased.resources import NO_RESOURCES, Resources

ENTRIES = ["e1", "e2", "e3"]
FREE = Resources(4000, 1000, 0)


def claim(
    cpu: int,
    least_cpu: int = 0,
    late: bool = False,
    begun: bool = False,
    priority: int = 0,
    begin_in_ms: int = 100,
) -> Claim:
    return Claim(cpu, 64, 0, least_cpu or cpu, late, begun, priority, begin_in_ms)


def offered(grants: Grants, free: Resources = FREE, now: float = 0.0) -> dict[str, int]:
    return {entry: resources.cpu for entry, resources in grants.offers(ENTRIES, free, now).items()}


# Order of claims


@pytest.mark.parametrize(
    "first, second",
    [
        (claim(3000), claim(3000, late=True)),
        (claim(3000, begun=True), claim(3000)),
        (claim(3000, priority=0), claim(3000, priority=1)),
        (claim(3000, begin_in_ms=-5), claim(3000, begin_in_ms=5)),
        (claim(3000, late=True, begun=True), claim(3000, late=True)),
    ],
)
def test_most_urgent_claim_is_granted_first(first: Claim, second: Claim) -> None:
    for order in (("e1", "e2"), ("e2", "e1")):
        grants = Grants()
        for entry, each in zip(order, (first, second), strict=True):
            grants.claim(entry, [each], 0.0)
        assert grants.allocate(FREE, 0.0) == {order[0]}
        found = offered(grants)
        assert found[order[0]] >= 3000
        # The rest is too little for any waiting run.
        assert found[order[1]] <= 1000


def test_claim_gets_what_it_can_use_and_next_one_the_rest() -> None:
    grants = Grants()
    grants.claim("e1", [claim(1000)], 0.0)
    grants.claim("e2", [claim(9000, least_cpu=1500, priority=1)], 0.0)
    assert grants.allocate(FREE, 0.0) == {"e1", "e2"}
    assert offered(grants) == {"e1": 1000, "e2": 3000, "e3": 0}


def test_resources_too_small_for_first_claim_go_to_smaller_one() -> None:
    grants = Grants()
    grants.claim("e1", [claim(9000, least_cpu=4500)], 0.0)
    grants.claim("e2", [claim(2000, priority=2)], 0.0)
    assert grants.allocate(FREE, 0.0) == {"e2"}


def test_late_work_leaves_headroom_at_each_endpoint() -> None:
    capacity, task = Resources(16000, 65536), claim(1600, late=True)
    grants = Grants()
    grants.late_headroom = Resources(int(capacity.cpu * LATE_HEADROOM_RATIO))
    grants.claim("e1", [task], 0.0)
    assert grants.allocate(Resources(3100, 65536), 0.0) == set()
    assert grants.offers(["e1"], Resources(3100, 65536), 0.0)["e1"].cpu < 1600
    assert grants.allocate(Resources(3200, 65536), 0.0) == {"e1"}
    timely = Grants()
    timely.late_headroom = grants.late_headroom
    timely.claim("e1", [task._replace(late=False)], 0.0)
    assert timely.allocate(Resources(3100, 65536), 0.0) == {"e1"}


def test_accelerators_are_granted_only_where_available() -> None:
    grants = Grants()
    grants.claim("e1", [claim(1000)._replace(gpu=1)], 0.0)
    assert grants.allocate(FREE, 0.0) == set()
    assert grants.allocate(FREE._replace(gpu=2), 0.0) == {"e1"}
    only_gpu = Grants()
    only_gpu.claim("e1", [Claim(0, 0, 2, 0, False, False, 0, 50)], 0.0)
    assert only_gpu.allocate(Resources(0, 0, 1), 0.0) == {"e1"}


# End of a grant


def test_released_grant_goes_to_next_claim_at_once() -> None:
    for end in (Grants.release, Grants.remove):
        grants = Grants()
        grants.claim("e1", [claim(4000)], 0.0)
        grants.claim("e2", [claim(4000, priority=1)], 0.0)
        assert grants.allocate(FREE, 0.0) == {"e1"}
        end(grants, "e1")
        grants.claim("e1", [], 0.0)
        assert grants.allocate(FREE, 0.001) == {"e2"}


def test_grant_of_paused_entry_expires() -> None:
    grants = Grants()
    grants.claim("e1", [claim(4000)], 0.0)
    grants.claim("e2", [claim(4000, priority=1)], 0.0)
    grants.allocate(FREE, 0.0)
    assert grants.allocate(FREE, GRANT_TTL_S / 2) == set()
    assert grants.allocate(FREE, GRANT_TTL_S) == {"e2"}
    assert offered(grants, now=GRANT_TTL_S)["e1"] == 0
    grants.remove("e2")
    assert grants.allocate(FREE, GRANT_TTL_S + GRANT_BACKOFF_S / 2) == set()
    assert grants.allocate(FREE, GRANT_TTL_S + GRANT_BACKOFF_S) == {"e1"}


def test_unclaimed_resources_are_shared_by_whole_tasks() -> None:
    grants = Grants()
    assert offered(grants) == {"e1": 4000, "e2": 4000, "e3": 4000}
    grants.task_cpu = 1500
    assert offered(grants) == {"e1": 2500, "e2": 1500, "e3": 0}
    assert split_by_task(NO_RESOURCES, 3, 1500) == [NO_RESOURCES] * 3


@given(
    st.integers(0, 30000),
    st.integers(0, 70000),
    st.integers(0, 4),
    st.integers(1, 9),
    st.integers(1, 4000),
)
def test_shares_never_exceed_the_resources(
    cpu: int, mem_mb: int, gpu: int, parts: int, task_cpu: int
) -> None:
    shares = split_by_task(Resources(cpu, mem_mb, gpu), parts, task_cpu)
    assert len(shares) == parts
    assert sum(share.cpu for share in shares) == cpu or cpu == 0
    assert sum(share.mem_mb for share in shares) <= mem_mb or cpu == 0


# Every sequence of five events, for two entries at one endpoint

EVENTS = {
    "e1 claims": lambda g, now: g.claim("e1", [claim(5000, 2500)], now),
    "e2 claims": lambda g, now: g.claim("e2", [claim(2500, priority=1)], now),
    "e2 claims late": lambda g, now: g.claim("e2", [claim(2500, late=True)], now),
    "e1 answers": lambda g, now: g.release("e1"),
    "e1 wants nothing": lambda g, now: g.claim("e1", [], now),
    "e2 is gone": lambda g, now: g.remove("e2"),
    "time passes": lambda g, now: None,
}


def test_no_event_order_grants_resources_twice_or_starves_a_claim() -> None:
    free = Resources(5000, 1000)
    for order in product(EVENTS, repeat=5):
        grants, now = Grants(), 0.0
        grants.task_cpu = 2500
        for name in order:
            now += GRANT_TTL_S if name == "time passes" else 0.001
            EVENTS[name](grants, now)
            grants.allocate(free, now)
            found = grants.offers(ENTRIES, free, now)
            assert sum(resources.cpu for resources in found.values()) <= free.cpu, order
        reached: set[str] = set()
        for _ in range(3):
            # No entry answers any more: each claim is reached after at most two expired grants.
            now += GRANT_TTL_S + GRANT_BACKOFF_S
            reached |= grants.allocate(free, now)
        assert reached == {entry for entry in ("e1", "e2") if entry in grants._claims}, order


# Claims of an entry

QUEUE = QueueConfig("q", "h", "/q/", "s", 5000, 60, 0, 3, 1.6)


def waiting_job(number: int, cpu: int = 2500, tasks: int = 2, priority: int = 0) -> JobState:
    spec = JobSpec(f"{number:016x}", "", (StepSpec(tasks, Resources(cpu, 64), 100),))
    return JobState(spec, QUEUE._replace(priority=priority), 1.0, 9.0)


def claimed(*jobs: JobState) -> list[Claim]:
    """Return the claims of an entry with these jobs waiting."""
    backlog = Backlog()
    for job in jobs:
        backlog.put(job)
    return claims_of(backlog.demands("s"), 1.0)


def test_claims_sum_up_demand_by_urgency() -> None:
    late, first, second = waiting_job(1), waiting_job(2, cpu=2000), waiting_job(3, priority=2)
    late.timeliness = Timeliness.LATE
    found = claimed(late, second, first, waiting_job(4))
    assert [(c.cpu, c.least_cpu, c.late, c.priority) for c in found] == [
        (9000, 2000, False, 0),
        (5000, 2500, False, 2),
        (5000, 2500, True, 0),
    ]
    assert found[0].begin_in_ms in (119, 120)
    assert signature(found) == ((False, False, 0), (False, False, 2), (True, False, 0))
    many = [waiting_job(number, priority=number) for number in range(9)]
    assert len(claimed(*many)) == MAX_CLAIMS
    assert claimed() == []


# Entries and agents under load


def played(load: float, seed: int, monkeypatch: pytest.MonkeyPatch) -> tuple[World, object]:
    worlds: list[World] = []
    make = load_model.make_world

    def keep(*args: object, **kwargs: object) -> World:
        worlds.append(make(*args, **kwargs))  # type: ignore[arg-type]
        return worlds[-1]

    monkeypatch.setattr(load_model, "make_world", keep)
    found = load_model.play(load, seed, USUAL)
    return worlds[-1], found


@pytest.mark.parametrize("load", [1.3, 1.9])
def test_few_runs_are_refused_for_lack_of_resources(
    load: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against offering the same resources to all entries, most of which are then refused."""
    world, found = played(load, 0, monkeypatch)
    counted: Counter[str] = Counter()
    for machine in world.machines.values():
        assert machine.agent is not None
        counted.update(machine.agent._ctx.metrics.snapshot())  # type: ignore[arg-type]
    assert counted["runs_refused.no_room"] < 0.05 * counted["runs_started"]
    assert world.breaches == []
    assert world.false_refusals() == []
    assert found.credit > (0.9 if load > 1.5 else 0.985)  # type: ignore[attr-defined]


def test_smaller_runs_use_resources_too_small_for_larger_one() -> None:
    world = World(agents=1, entries=1)
    world.run(1.0)
    world.submit("e0", tasks=9, run_s=0.5, cpu=1600)
    world.run(0.01)
    large = world.submit("e0", tasks=1, run_s=0.2, cpu=3000)
    small = world.submit("e0", tasks=1, run_s=0.2, cpu=1500)
    world.run(0.3)
    # 1,600 are free: too little for the larger run, enough for the smaller one behind it.
    assert small.ended_at is not None
    world.run(1.0)
    assert large.handle.result is not None
    assert world.breaches == []
