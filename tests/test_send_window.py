"""An entry's link that is full slows its orders down, and never stops them for good.

What callers saw on links of 2 Mbit/s: two seconds of good answers, then 45 jobs of 5,293 served and
3,591 held to their deadline. Each endpoint of a job was sent the whole payload; orders filled the
link, the echoes that keep runs going waited behind them, agents refused orders as too old and
stopped what ran, and all of it was sent again. It did not end when the load fell.
"""

from random import Random
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.leased_world import World
from gentianmux.leased import send_window
from gentianmux.leased.job_state import JobOutcome
from gentianmux.leased.payloads import LONGEST_BYTES, decode_payload, encode_payload
from gentianmux.leased.send_window import (
    LEAST_BYTES,
    MOST_BYTES,
    ROUND_S,
    SLOW_S,
    SendWindow,
)

LINK_BYTES = 125_000
"""Bytes a second of the slowest link as it is played."""

JOB_BYTES = 2 * 1450 + 8 * 110
"""What a job of eight tasks takes of it: its payload, packed, to two endpoints."""

AGENTS = 8


def of_agents(window: SendWindow, number: int, delays: list[float], now: float) -> None:
    """Send each agent an assignment, and let each tell of it after a delay."""
    for agent, delay in enumerate(delays):
        window.sent(f"w{agent}", number, 10_000, now - delay)
    for agent in range(len(delays)):
        window.told(f"w{agent}", number, now)


def test_the_limit_falls_to_what_was_on_its_way_and_no_lower_than_the_least() -> None:
    window = SendWindow()
    for number in range(1, 40):
        of_agents(window, number, [0.3] * 5, number * ROUND_S)
        window.correct(number * ROUND_S)
        if number == 1:
            assert window.limit < 50_000
    assert window.limit == LEAST_BYTES


def test_one_slow_agent_says_nothing_of_the_link() -> None:
    window = SendWindow()
    of_agents(window, 1, [0.9, SLOW_S / 2, 0.01, 0.02, 0.01], ROUND_S)
    window.sent("w9", 1, 10_000, 0.0)
    window.correct(ROUND_S)
    assert window.limit == MOST_BYTES


def test_a_process_that_stood_still_does_not_pass_for_a_full_link() -> None:
    window = SendWindow(link_bytes_s=1_562_500)
    window.sent("w0", 1, 2_000, 0.0)
    window.told("w0", 1, 4.0)
    window.correct(4.0)
    assert window.limit >= 20_000


def test_the_limit_rises_only_while_something_waits_for_it() -> None:
    window = SendWindow()
    of_agents(window, 1, [0.3] * 5, ROUND_S)
    window.correct(ROUND_S)
    low = window.limit
    of_agents(window, 2, [0.01] * 5, 2 * ROUND_S)
    window.correct(2 * ROUND_S)
    assert window.limit == low
    window.hold_back(3 * ROUND_S)
    of_agents(window, 3, [0.01] * 5, 3 * ROUND_S)
    window.correct(3 * ROUND_S)
    assert window.limit > low


def test_what_was_on_its_way_to_a_lost_agent_takes_nothing() -> None:
    window = SendWindow()
    window.sent("w0", 1, 10_000, 0.0)
    window.sent("w1", 1, 5_000, 0.0)
    window.forget("w0")
    window.forget("w0")
    assert window.on_way == 5_000
    window.told("w1", 1, 0.1)
    window.told("w0", 1, 0.1)
    assert window.on_way == 0


@given(
    st.lists(st.tuples(st.sampled_from("stfc"), st.integers(0, 3), st.integers(1, 9)), max_size=60)
)
def test_what_is_on_its_way_is_never_below_nothing(events: list[tuple[str, int, int]]) -> None:
    window = SendWindow()
    numbers = [0, 0, 0, 0]
    for at, (event, agent, amount) in enumerate(events):
        name = f"w{agent}"
        if event == "s":
            numbers[agent] += 1
            window.sent(name, numbers[agent], amount * 1000, at / 10)
        elif event == "t":
            window.told(name, max(0, numbers[agent] - amount // 3), at / 10)
        elif event == "f":
            window.forget(name)
        else:
            window.correct(at / 10)
        assert window.on_way >= 0
        assert LEAST_BYTES <= window.limit <= MOST_BYTES


# Payloads


@given(st.text(max_size=3000))
def test_a_payload_comes_as_it_was_sent(payload: str) -> None:
    assert decode_payload(encode_payload(payload)) == payload


def test_a_payload_that_cannot_be_read_is_refused() -> None:
    bomb = encode_payload("a" * (LONGEST_BYTES + 1))
    for data in (b"", b"\2x", b"\1x", encode_payload("a" * 1000)[:-3], bomb):
        with pytest.raises(ValueError, match="payload"):
            decode_payload(data)


# The whole, on a link that is full


class Second(NamedTuple):
    """Jobs of one second."""

    sent: int
    completed: int


class Load(NamedTuple):
    """What became of the jobs."""

    seconds: list[Second]
    held: int
    stopped: int


def play(times: float, seed: int) -> Load:
    """Five seconds of a multiple of what the link carries, then three of half of it."""
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
    return Load(seconds, sum(j.ended_at - j.at > 1.2 for j in world.asked), world.wasted_runs)


@pytest.mark.parametrize("times", [1.5, 3.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_overloaded_link_carries_what_it_can_and_recovers_within_a_second(
    times: float, seed: int
) -> None:
    found = play(times, seed)
    carried = LINK_BYTES / JOB_BYTES
    # The first second fills the link before anything can be seen of it.
    served = [second.completed for second in found.seconds[1:5]]
    assert sum(served) >= 0.8 * 4 * carried
    for second in found.seconds[6:]:
        assert second.completed == second.sent


@pytest.mark.parametrize("times", [0.5, 0.9])
def test_a_link_that_is_not_full_is_not_held_back(times: float) -> None:
    found = play(times, 1)
    assert all(second.completed == second.sent for second in found.seconds)
    assert (found.held, found.stopped) == (0, 0)


def test_without_the_window_the_link_is_full_for_good(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(send_window, "LEAST_BYTES", 10**9)
    monkeypatch.setattr(send_window, "MOST_BYTES", 10**9)
    found = play(1.5, 1)
    assert sum(second.completed for second in found.seconds[2:]) < 10
