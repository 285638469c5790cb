"""A congested link slows assignments down, and recovers when the load falls.

Guards against assignments that delay the echoes that keep runs alive, are refused as too old, and
are sent again for good.
"""

from random import Random
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.leased_world import World
from gentianmux.leased import send_window
from gentianmux.leased.job_state import JobOutcome
from gentianmux.leased.payloads import MAX_PAYLOAD_BYTES, decode_payload, encode_payload
from gentianmux.leased.send_window import (
    ADJUST_INTERVAL_S,
    CONGESTED_S,
    MAX_WINDOW_BYTES,
    MIN_WINDOW_BYTES,
    SendWindow,
)

LINK_BYTES = 125_000
"""Bandwidth of the simulated link in bytes per second."""

JOB_BYTES = 2 * 1450 + 8 * 110
"""Bytes of a job of eight tasks on the link: its compressed payload, sent to two endpoints."""

AGENTS = 8


def acknowledge_after(window: SendWindow, number: int, delays: list[float], now: float) -> None:
    """Send each agent an assignment, and acknowledge each after a delay."""
    for agent, delay in enumerate(delays):
        window.sent(f"w{agent}", number, 10_000, now - delay)
    for agent in range(len(delays)):
        window.acknowledged(f"w{agent}", number, now)


def test_limit_falls_to_bytes_in_flight_and_not_below_minimum() -> None:
    window = SendWindow()
    for number in range(1, 40):
        acknowledge_after(window, number, [0.3] * 5, number * ADJUST_INTERVAL_S)
        window.adjust(number * ADJUST_INTERVAL_S)
        if number == 1:
            assert window.limit < 50_000
    assert window.limit == MIN_WINDOW_BYTES


def test_one_slow_agent_does_not_lower_the_limit() -> None:
    window = SendWindow()
    acknowledge_after(window, 1, [0.9, CONGESTED_S / 2, 0.01, 0.02, 0.01], ADJUST_INTERVAL_S)
    window.sent("w9", 1, 10_000, 0.0)
    window.adjust(ADJUST_INTERVAL_S)
    assert window.limit == MAX_WINDOW_BYTES


def test_a_paused_process_is_not_taken_for_congestion() -> None:
    window = SendWindow(link_bytes_s=1_562_500)
    window.sent("w0", 1, 2_000, 0.0)
    window.acknowledged("w0", 1, 4.0)
    window.adjust(4.0)
    assert window.limit >= 20_000


def test_limit_rises_only_while_tasks_wait_for_the_link() -> None:
    window = SendWindow()
    acknowledge_after(window, 1, [0.3] * 5, ADJUST_INTERVAL_S)
    window.adjust(ADJUST_INTERVAL_S)
    low = window.limit
    acknowledge_after(window, 2, [0.01] * 5, 2 * ADJUST_INTERVAL_S)
    window.adjust(2 * ADJUST_INTERVAL_S)
    assert window.limit == low
    window.record_blocked(3 * ADJUST_INTERVAL_S)
    acknowledge_after(window, 3, [0.01] * 5, 3 * ADJUST_INTERVAL_S)
    window.adjust(3 * ADJUST_INTERVAL_S)
    assert window.limit > low


def test_forgetting_an_agent_drops_its_bytes_in_flight() -> None:
    window = SendWindow()
    window.sent("w0", 1, 10_000, 0.0)
    window.sent("w1", 1, 5_000, 0.0)
    window.forget("w0")
    window.forget("w0")
    assert window.in_flight_bytes == 5_000
    window.acknowledged("w1", 1, 0.1)
    window.acknowledged("w0", 1, 0.1)
    assert window.in_flight_bytes == 0


@given(
    st.lists(st.tuples(st.sampled_from("stfc"), st.integers(0, 3), st.integers(1, 9)), max_size=60)
)
def test_bytes_in_flight_are_never_negative(events: list[tuple[str, int, int]]) -> None:
    window = SendWindow()
    numbers = [0, 0, 0, 0]
    for at, (event, agent, amount) in enumerate(events):
        name = f"w{agent}"
        if event == "s":
            numbers[agent] += 1
            window.sent(name, numbers[agent], amount * 1000, at / 10)
        elif event == "t":
            window.acknowledged(name, max(0, numbers[agent] - amount // 3), at / 10)
        elif event == "f":
            window.forget(name)
        else:
            window.adjust(at / 10)
        assert window.in_flight_bytes >= 0
        assert MIN_WINDOW_BYTES <= window.limit <= MAX_WINDOW_BYTES


# Payloads


@given(st.text(max_size=3000))
def test_payload_survives_encoding(payload: str) -> None:
    assert decode_payload(encode_payload(payload)) == payload


def test_malformed_payloads_are_rejected() -> None:
    bomb = encode_payload("a" * (MAX_PAYLOAD_BYTES + 1))
    for data in (b"", b"\2x", b"\1x", encode_payload("a" * 1000)[:-3], bomb):
        with pytest.raises(ValueError, match="payload"):
            decode_payload(data)


# A simulated deployment with a congested link


class Second(NamedTuple):
    """Jobs submitted in one second."""

    sent: int
    completed: int


class Results(NamedTuple):
    """Results of a simulation."""

    seconds: list[Second]
    held: int
    stopped: int


def simulate(times: float, seed: int) -> Results:
    """Simulate 5 s at a multiple of the link's bandwidth, then 3 s at half of it."""
    world = World(AGENTS, 1, seed, link_bytes_s=LINK_BYTES)
    world.run(1.0)
    world.bytes_per_s[world.process_of("e0")] = LINK_BYTES
    rng = Random(seed)
    began = world.time
    for until, load in ((5.0, times), (8.0, 0.5)):
        while world.time < began + until:
            payload = "".join(rng.choices("abcdefghijklmnop", k=2400))
            world.submit("e0", tasks=8, run_s=0.4, cpu=300, payload=payload, time_limit_s=1.5)
            world.run(JOB_BYTES / LINK_BYTES / load)
    world.run(2.0)
    assert world.breaches == []
    assert world.false_refusals() == []
    seconds = []
    for second in range(8):
        jobs = [job for job in world.asked if second <= job.at - began < second + 1]
        done = [
            j for j in jobs if j.handle.result and j.handle.result.outcome is JobOutcome.COMPLETED
        ]
        seconds.append(Second(len(jobs), len(done)))
    return Results(seconds, sum(j.ended_at - j.at > 1.2 for j in world.asked), world.wasted_runs)


@pytest.mark.parametrize("times", [1.5, 3.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overloaded_link_stays_used_and_recovers_within_a_second(times: float, seed: int) -> None:
    found = simulate(times, seed)
    carried = LINK_BYTES / JOB_BYTES
    # The first second fills the link before any delay is measured.
    served = [second.completed for second in found.seconds[1:5]]
    assert sum(served) >= 0.8 * 4 * carried
    for second in found.seconds[6:]:
        assert second.completed == second.sent


@pytest.mark.parametrize("times", [0.5, 0.9])
def test_uncongested_link_is_not_limited(times: float) -> None:
    found = simulate(times, 1)
    assert all(second.completed == second.sent for second in found.seconds)
    assert (found.held, found.stopped) == (0, 0)


def test_link_stays_congested_without_the_window(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(send_window, "MIN_WINDOW_BYTES", 10**9)
    monkeypatch.setattr(send_window, "MAX_WINDOW_BYTES", 10**9)
    found = simulate(1.5, 1)
    assert sum(second.completed for second in found.seconds[2:]) < 10
