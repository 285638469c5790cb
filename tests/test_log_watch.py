"""Streams: snapshots before retention ends, and starting while the log is down."""

import pytest

from gentianmux.codes import ResultCode
from gentianmux.config_state import Change, ConfigState
from gentianmux.errors import LogError
from gentianmux.fleet_records import Join, to_json
from gentianmux.fleet_state import FleetState
from gentianmux.follower import Follower
from gentianmux.platform_log import MemoryLog


def change(number: int) -> Change:
    return Change(f"c{number}", number - 1, {f"member/m{number}": {"weight": 1}}, [])


def test_a_snapshot_carries_a_stream_over_its_retention() -> None:
    log = MemoryLog(retain=30)
    old = Follower(log, "config", ConfigState())
    for number in range(100):
        log.append("config", change(number).to_json())
        old.poll()
        if number % 10 == 9:
            log.append("config", old.fold.snapshot())
    new = Follower(log, "config", ConfigState())
    new.poll()
    old.poll()
    assert old.fold.snapshot() == new.fold.snapshot()
    assert isinstance(new.fold, ConfigState)
    assert len(new.fold.items) == 100


def test_records_between_a_snapshots_state_and_its_offset_are_not_lost() -> None:
    log = MemoryLog(retain=5)
    state = ConfigState()
    follower = Follower(log, "config", state)
    for number in range(3):
        log.append("config", change(number).to_json())
    follower.poll()
    late = state.snapshot()
    log.append("config", change(3).to_json())
    log.append("config", late)
    log.append("config", "{}")
    log.append("config", "{}")
    fresh = ConfigState()
    Follower(log, "config", fresh).poll()
    assert sorted(fresh.items) == [f"member/m{number}" for number in range(4)]


def test_without_a_snapshot_a_trimmed_stream_is_an_error_not_a_guess() -> None:
    log = MemoryLog(retain=2)
    for number in range(5):
        log.append("config", change(number).to_json())
    with pytest.raises(LogError) as caught:
        Follower(log, "config", ConfigState()).poll()
    assert caught.value.code is ResultCode.LOG_TRIMMED


def test_a_peer_hands_on_records_or_its_state_and_never_an_older_one() -> None:
    log = MemoryLog()
    for number in range(6):
        log.append("config", change(number).to_json())
    ahead = Follower(log, "config", ConfigState())
    ahead.poll()
    behind = Follower(MemoryLog(), "config", ConfigState())
    assert behind.take(ahead.records_after(-1) or []) == 6
    assert behind.fold.snapshot() == ahead.fold.snapshot()
    fresh = Follower(MemoryLog(), "config", ConfigState())
    assert fresh.take_snapshot(5, ahead.fold.snapshot())
    assert fresh.next_offset == 6
    assert not fresh.take_snapshot(3, ConfigState().snapshot())
    assert fresh.take((ahead.records_after(2) or [])[1:]) == 0


def test_a_gap_in_a_peers_records_is_refused() -> None:
    log = MemoryLog()
    for number in range(6):
        log.append("config", change(number).to_json())
    ahead = Follower(log, "config", ConfigState())
    ahead.poll()
    behind = Follower(MemoryLog(), "config", ConfigState())
    assert behind.take((ahead.records_after(-1) or [])[2:]) == 0
    assert behind.next_offset == 0


def test_a_fleet_snapshot_restores_processes_and_shards() -> None:
    log = MemoryLog()
    join = Join("w1.5", "w1", 5, "agent", "10.0.0.1:1", "", "fd1", ["s"], 8)
    log.append("fleet", to_json(join))
    state = FleetState(4)
    Follower(log, "fleet", state).poll()
    copy = FleetState(4)
    log.append("fleet", state.snapshot())
    copy.restore(log.read("fleet", 1)[0])
    assert copy.processes == state.processes
    assert copy.shards == state.shards
