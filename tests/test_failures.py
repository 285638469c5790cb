"""Focused failures of shards, leases, take-over and recovery, on fakes and virtual time."""

import pytest

from bench.world import EPOCH_MS, SETTINGS, World
from gentianmux.codes import ResultCode
from gentianmux.fleet_records import Leave, ShardChange, TakeOver, to_json
from gentianmux.ids import NO_TIME
from gentianmux.messages import Cancel


@pytest.fixture()
def world() -> World:
    world = World(agents=4)
    world.run(6)
    return world


def heir(world: World, job_id: str) -> str:
    return str(world.row(job_id).heir.partition(".")[0])


def settle(world: World, seconds: float = 30) -> None:
    world.heal()
    world.run(seconds)
    assert world.broken() == []


@pytest.mark.parametrize("step_s", [0.0, 0.005, 0.01, 0.015, 0.02, 0.03, 0.05, 0.2, 0.31, 0.33])
def test_an_owner_killed_at_any_step_loses_no_job(world: World, step_s: float) -> None:
    owner = world.owner("a")
    world.submit("a")
    world.run(step_s)
    world.kill(owner)
    world.run(0.1)
    world.submit("a", "e1")
    settle(world)
    assert set(world.names("a")) == {"ok"}
    assert len(world.starts) == 2


def test_a_resubmission_through_another_entry_joins_the_running_job(world: World) -> None:
    world.submit("a")
    world.submit("a", "e1")
    world.run(0.1)
    world.submit("a", "e1")
    settle(world)
    assert world.names("a") == ["ok"] * 3
    assert len(world.starts) == 2


def test_an_owner_paused_past_its_lease_refuses_on_waking(world: World) -> None:
    owner = world.owner("a")
    world.pause(owner)
    world.submit("a")
    world.run(0.5)
    world.run(15)
    assert world.owner("a") != owner
    assert world.names("a") == ["ok"]
    world.submit("b")
    world.resume(owner)
    settle(world)
    assert len(world.starts) == 4


def test_an_owner_woken_with_old_frames_after_a_take_over_admits_none(world: World) -> None:
    owner = world.owner("a")
    node = world.node(owner)
    assert node is not None
    world.pause(owner)
    world.stalled_views.add(owner)
    world.submit("a")
    world.run(12)
    assert world.owner("a") != owner
    starts = len(world.starts)
    world.resume(owner)
    world.run(0.4)
    refusals = {node.ctx.shard_manager.refusal(shard) for shard in range(SETTINGS.shards)}
    assert refusals <= {ResultCode.LEASE_LAPSED, ResultCode.NOT_OWNER}
    assert len(world.starts) == starts
    settle(world)


def test_an_heir_killed_is_replaced_and_admission_goes_on(world: World) -> None:
    old = heir(world, "a")
    world.kill(old)
    world.run(6)
    assert heir(world, "a") not in ("", old)
    world.submit("a")
    settle(world)
    assert world.names("a") == ["ok"]


def test_owner_and_heir_both_killed_is_proved_and_claimed(world: World) -> None:
    owner, old = world.owner("a"), heir(world, "a")
    world.submit("a")
    world.run(0.05)
    world.kill(owner)
    world.kill(old)
    world.run(10)
    assert world.owner("a") not in ("", owner, old)
    world.submit("b")
    world.run(20)
    assert world.names("b")[-1] == "ok"
    settle(world)


def test_owner_and_heir_paused_together_stop_the_shard_and_nothing_else(world: World) -> None:
    owner, old = world.owner("a"), heir(world, "a")
    world.pause(owner)
    world.pause(old)
    world.submit("a")
    world.run(30)
    assert world.owner("a") == owner
    assert set(world.names("a")) <= {"outcome_unknown", "shard_unavailable"}
    settle(world)
    world.submit("c")
    settle(world)
    assert world.names("c") == ["ok"]


def test_a_lost_reply_on_take_over_changes_nothing(world: World) -> None:
    owner = world.owner("a")
    world.lose_replies = 3
    world.kill(owner)
    world.run(8)
    world.submit("a")
    settle(world)
    assert world.names("a") == ["ok"]


def test_a_lost_reply_on_an_heir_change_changes_nothing(world: World) -> None:
    world.kill(heir(world, "a"))
    world.lose_replies = 3
    world.run(8)
    world.submit("a")
    settle(world)
    assert world.names("a") == ["ok"]


def test_owners_with_live_heirs_go_on_while_the_log_is_down(world: World) -> None:
    world.log_down = True
    for number in range(20):
        world.submit(f"a{number}")
        world.run(2)
    assert all(world.names(f"a{number}") == ["ok"] for number in range(20))
    settle(world)


def test_a_shard_that_loses_its_owner_in_an_outage_says_so_and_comes_back(world: World) -> None:
    world.log_down = True
    world.kill(world.owner("a"))
    world.submit("a")
    world.run(20)
    assert world.names("a") == ["outcome_unknown"] or world.names("a") == ["shard_unavailable"]
    world.log_down = False
    world.run(10)
    world.submit("a")
    settle(world)
    assert world.names("a")[-1] == "ok"


def test_a_partition_between_owner_and_heir_ends_with_one_of_them(world: World) -> None:
    owner, old = world.owner("a"), heir(world, "a")
    world.cut(owner, old)
    for number in range(20):
        world.submit(f"a{number}", f"e{number % 2}")
        world.submit(f"a{number}", f"e{(number + 1) % 2}")
        world.run(1)
    settle(world)
    assert len(world.starts) <= 40


def test_a_resubmission_during_take_over_is_settled_once(world: World) -> None:
    owner = world.owner("a")
    world.submit("a")
    world.run(0.06)
    world.kill(owner)
    for _ in range(20):
        world.submit("a", "e1")
        world.run(0.1)
    settle(world)
    assert set(world.names("a")) == {"ok"}
    assert len(world.starts) == 2


def test_an_id_without_a_time_is_unknown_after_a_take_over_without_traces(world: World) -> None:
    world.kill(world.owner("a"))
    world.run(8)
    world.submit("a", submitted_ms=NO_TIME)
    settle(world)
    assert world.names("a") == ["outcome_unknown"]
    assert world.starts == []


def test_an_id_without_a_time_that_ran_is_answered_from_its_traces(world: World) -> None:
    world.submit("a", submitted_ms=NO_TIME)
    world.run(2)
    world.kill(world.owner("a"))
    world.run(8)
    world.submit("a", "e1", submitted_ms=NO_TIME)
    settle(world)
    assert world.names("a") == ["ok", "ok"]
    assert len(world.starts) == 2


@pytest.mark.parametrize("off_ms", [-400, 400])
def test_callers_clocks_ahead_or_behind_cause_no_second_start(world: World, off_ms: int) -> None:
    when = EPOCH_MS + int(world.time * 1000) + off_ms
    world.submit("a", submitted_ms=when)
    world.run(0.05)
    world.kill(world.owner("a"))
    world.run(0.2)
    world.submit("a", "e1", submitted_ms=when)
    settle(world)
    assert len(world.starts) == 2


def test_a_start_frame_overtaken_by_a_trace_query_is_refused(world: World) -> None:
    """The old owner's frame reaches an agent after that agent was asked under a newer epoch."""
    owner = world.owner("a")
    others = [f"a{n}" for n in range(4) if f"a{n}" != owner]
    slow = next(name for name in others if name != heir(world, "a"))
    world.submit("a", count=6)
    world.run(0.004)
    world.pause(slow)
    world.run(0.05)
    world.kill(owner)
    world.run(1)
    world.submit("a", "e1", count=6)
    world.run(2)
    settle(world)
    assert len({(s.key, s.number) for s in world.starts}) == len(world.starts)


def test_cancel_and_submit_race_to_one_outcome(world: World) -> None:

    owner = world.node(world.owner("a"))
    assert owner is not None
    world.submit("a", count=30)
    world.run(0.05)
    world.deliver("e1", owner.process, Cancel(0, "m/a"))
    world.run(0.5)
    world.submit("a", "e1", count=30)
    settle(world)
    assert set(world.names("a")) == {"cancelled"}
    assert 0 < len(world.starts) < 30


def test_a_take_over_by_one_who_is_not_heir_is_void(world: World) -> None:

    owner = world.owner("a")
    stranger = next(
        node for node in world.nodes.values() if node.name not in (owner, heir(world, "a"))
    )
    row = world.row("a")
    for shard in range(SETTINGS.shards):
        change = ShardChange(shard, row.base, "")
        world.log.append("fleet", to_json(TakeOver(stranger.process, 0, [change])))
    world.run(3)
    assert world.owner("a") == owner
    world.submit("a")
    settle(world)
    assert world.names("a") == [ResultCode.OK.label]


def _agent_killed_while_it_runs(world: World, idempotent: bool) -> list[str]:
    for number in range(30):
        world.submit(f"warm{number}", count=1)
    world.run(3)
    before = len(world.starts)
    world.submit("a", count=1, idempotent=idempotent)
    world.run(0.1)
    world.kill(world.starts[before].endpoint)
    world.run(20)
    return world.names("a")


def test_an_idempotent_request_is_repeated_when_its_agent_dies(world: World) -> None:
    assert _agent_killed_while_it_runs(world, idempotent=True) == ["ok"]


def test_any_other_request_is_not(world: World) -> None:
    assert _agent_killed_while_it_runs(world, idempotent=False) == ["job_failed"]
    assert len([start for start in world.starts if start.key == "m/a"]) == 1


def test_tasks_sent_to_an_agent_that_left_as_planned_run_elsewhere(world: World) -> None:
    """The frame and its refusal are lost with the connection; the leave record is the proof."""

    owner, old = world.owner("a"), heir(world, "a")
    leaving = next(node for node in world.nodes.values() if node.name not in (owner, old))
    leaving.ctx.draining = True
    leaving.ctx.executor.on_batch = lambda batch, sender: None  # type: ignore[method-assign]
    world.submit("a", count=12)
    world.run(0.05)
    world.log.append("fleet", to_json(Leave(leaving.process, leaving.ctx.now_ms(), "")))
    world.kill(leaving.name)
    settle(world)
    assert world.names("a") == ["ok"]
    assert len(world.starts) == 12


def test_a_job_that_waits_outlives_the_agents_it_reserved_at(world: World) -> None:
    """Places in the queue of an agent that ends are lost; the job asks elsewhere."""
    owner = world.owner("a")
    world.run_s = 4.0
    world.submit("fill", count=24)
    world.run(0.1)
    node = world.node(owner)
    assert node is not None
    world.submit("a", count=1)
    world.run(0.2)
    reserved = [name for job in node.ctx.coordinator.jobs.values() for name in job.reserved]
    for process in set(reserved):
        world.kill(process.partition(".")[0])
        world.run(0.1)
        world.start(process.partition(".")[0])
    world.patience_s = 60.0
    settle(world, 40)
    assert world.names("a")[-1] == "ok"


def test_a_heir_waits_for_a_leaving_owner_that_still_works(world: World) -> None:
    """The ledger moves only when its jobs have ended, which may outlast a lease."""
    owner = world.node(world.owner("a"))
    assert owner is not None
    world.leaving.add(owner.process)
    world.run_s = 9.0
    world.submit("a", count=2)
    world.run(0.1)
    owner.ctx.draining = True
    epoch = world.row("a").epoch
    owner.ctx.shard_manager.moves.move_all_away()
    for _ in range(80):
        world.run(0.1)
    assert world.row("a").epoch == epoch
    world.run(6)
    assert world.owner("a") != owner.name
    moved = world.node(world.owner("a"))
    assert moved is not None
    assert all(
        owned.ledger.taken_over_ms == NO_TIME for owned in moved.ctx.shard_manager.owned.values()
    )
