"""Members' shares: claims, limits, fair queueing, ejection; pure parts, then on fakes."""

from collections import Counter
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.world import SETTINGS, World
from gentianmux.codes import ResultCode
from gentianmux.config_state import Change, ConfigState
from gentianmux.endpoint_client import TaskOutcome
from gentianmux.errors import GentianmuxError
from gentianmux.fair_queue import FairQueue
from gentianmux.limits import MemberLimits
from gentianmux.member_claims import SETTLE_S, Claims, split_claim
from gentianmux.messages import Task
from gentianmux.platform_log import Record
from gentianmux.routing import Candidate, choose_agents, choose_reservations
from gentianmux.settings import Settings

WORKERS = {f"worker/a{n}": {"failure_domain": "f", "slots": 8} for n in range(4)}


def put(state: ConfigState, number: int, items: dict[str, Any]) -> None:
    change = Change(f"c{number}", state.version, items, [])
    state.apply(Record(number, change.to_json()))
    assert state.outcomes[f"c{number}"].code is ResultCode.OK


@given(
    st.floats(0, 1), st.dictionaries(st.text("abc", min_size=1), st.integers(0, 64), max_size=30)
)
def test_parts_never_exceed_the_claim(claim: float, slots: dict[str, int]) -> None:
    parts = split_claim(claim, slots)
    assert sum(parts.values()) <= claim * sum(slots.values()) + 0.001 * sum(slots.values())
    assert all(0 <= parts[worker] <= slots[worker] for worker in slots)


def test_while_a_change_spreads_each_worker_keeps_to_the_lower_part() -> None:
    state = ConfigState()
    put(state, 0, {**WORKERS, "member/m": {"claim": 0.5}})
    claims = Claims(state)
    assert claims.slot_limit("m", "a0", 0.0) == 4
    put(state, 1, {"member/m": {"claim": 0.75}})
    assert claims.slot_limit("m", "a0", 1.0) == 4
    assert claims.slot_limit("m", "a0", 1.0 + SETTLE_S) == 6
    assert claims.slot_limit("other", "a0", 1.0) is None


def test_a_member_takes_at_most_half_of_an_entry() -> None:
    limits = MemberLimits(Settings(max_inflight=10), ConfigState(), Random(1))
    for _ in range(5):
        limits.acquire("greedy", 0.0, 1)
    with pytest.raises(GentianmuxError) as caught:
        limits.acquire("greedy", 0.0, 1)
    assert caught.value.code is ResultCode.QUEUE_FULL
    assert caught.value.retry_after_ms > 0
    limits.acquire("modest", 0.0, 1)


def test_a_rate_is_split_over_the_entries() -> None:
    state = ConfigState()
    put(state, 0, {"member/m": {"rate_per_s": 20}})
    limits = MemberLimits(Settings(), state, Random(1))
    taken = 0
    for tick in range(1000):
        try:
            limits.acquire("m", tick / 100, entries=2)
        except GentianmuxError as exc:
            assert exc.code is ResultCode.RATE_LIMITED
        else:
            limits.release("m")
            taken += 1
    assert 100 <= taken <= 111


def test_a_burst_waits_in_its_own_line() -> None:
    queue = FairQueue[int](lambda member: 2 if member == "heavy" else 1)
    for number in range(300):
        queue.push("burst", number, 1.0)
    for number in range(20):
        queue.push("heavy", number, 1.0)
    first = Counter(popped[0] for _ in range(30) if (popped := queue.pop()))
    assert first == {"heavy": 20, "burst": 10}


@given(st.integers(0, 40), st.integers(1, 30), st.integers(0, 40))
def test_no_agent_is_filled_beyond_its_slots(count: int, agents: int, load: int) -> None:
    found = [Candidate(f"w{n}", 8, True, min(load, n)) for n in range(agents)]
    chosen = Counter(choose_agents(count, found, Random(1)))
    assert sum(chosen.values()) <= count
    assert all(each.load + chosen[each.process] <= max(8, each.load) for each in found)
    reserved = choose_reservations(count, 0, found, Random(1))
    assert sum(reserved.values()) <= max(3, count)


class Sick(World):
    """A world with an agent that fails everything at once."""

    sick = "a0"

    def run_time(self, name: str, task: Task) -> float:
        return 0.001 if name == self.sick else 0.3


def _fail_everything(world: World, name: str) -> None:
    node = world.node(name)
    assert node is not None
    executor, ended = node.ctx.executor, node.ctx.executor.on_task_ended
    failed = TaskOutcome(ResultCode.TASK_FAILED, "")
    executor.on_task_ended = lambda job, record, run: ended(job, record, failed)  # type: ignore


def _failures(eject: bool, monkeypatch: pytest.MonkeyPatch) -> float:
    if not eject:
        monkeypatch.setattr("gentianmux.routing.FAILURES_TO_EJECT", 10**9)
    world = Sick(agents=6, cfg=SETTINGS._replace(shards=8))
    world.run(6)
    _fail_everything(world, "a0")
    for number in range(400):
        world.submit(f"j{number}", count=1)
        world.run(0.05)
    world.run(20)
    names = Counter(given.name for given in world.answers)
    return names["job_failed"] / 400


def test_a_worker_that_fails_everything_is_left_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """It looks idle and draws work; without ejection it fails more than three times as many."""
    with_ejection = _failures(True, monkeypatch)
    without = _failures(False, monkeypatch)
    assert with_ejection < 0.12
    assert without > 3 * with_ejection


def test_a_claim_holds_over_all_agents_at_every_moment() -> None:
    world = World(agents=4)
    rules = {**WORKERS, "member/m": {"claim": 0.25}, "service/s": {"member": "m"}}
    world.log.append("config", Change("c", -1, rules, []).to_json())
    world.run(6)
    world.submit("a", count=40)
    world.submit("b", count=40)
    most = 0
    for _ in range(200):
        world.run(0.05)
        running = [len(node.ctx.executor.running) for node in world.nodes.values()]
        most = max(most, sum(running))
    # One agent owns both shards, and an owner starts no task of its own shards.
    assert 6 <= most <= 8
    assert world.names("a")[-1] == "ok"
    assert world.broken() == []
