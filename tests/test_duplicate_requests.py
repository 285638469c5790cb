"""One id at several entries, while some are paused, cut off, reset or started; virtual time."""

from collections.abc import Callable, Iterator
from functools import partial
from itertools import product
from random import Random

import pytest

from bench.leased_world import World
from tests.test_leased_world import assert_invariants_hold, ready_world

AGENTS, ENTRIES = 8, 6

JOB_IDS = [f"{number:016x}" for number in (0x5C0E7A21D94B36F8, 0x91D2F04BE87C35A6, 7)]

PAUSE_S = 4.0
"""Length of a pause: callers have sent their jobs again meanwhile."""

GAPS_S = (0.0, 0.0005, 0.01)
"""Times from the end of a pause to the arrival of a late request."""


def submit(world: World, entry: str, job_id: str, run_s: float = 3.0) -> None:
    world.submit(entry, tasks=2, run_s=run_s, job_id=job_id, time_limit_s=5.0)


def pause(world: World, names: list[str], seconds: float) -> None:
    for name in names:
        world.freeze(world.process_of(name), seconds)


def close_connections(world: World, names: list[str]) -> None:
    for name in names:
        for other in world.entries:
            if other != name:
                world.reset(name, other)


def cut_off(world: World, names: list[str], seconds: float) -> None:
    """Cut entries off from all others, but not from callers and agents."""
    for name, other in product(names, set(world.entries) - set(names)):
        world.cut_apart(name, other, seconds)


def paused(world: World, job_id: str, rng: Random, count: int, gap_s: float, close: bool) -> None:
    """Pause entries; a late request reaches one of them ``gap_s`` after it goes on."""
    names = [f"e{number}" for number in range(count)]
    pause(world, names, PAUSE_S)
    world.run(1.5)
    if close:
        close_connections(world, names)
    world.run(1.0)
    submit(world, "e5", job_id)
    world.run(PAUSE_S - 2.5 + gap_s)
    submit(world, rng.choice(names), job_id)


def cut_off_then_late(world: World, job_id: str, rng: Random, names: list[str]) -> None:
    cut_off(world, names, 6.0)
    world.run(rng.uniform(0.0, 2.5))
    submit(world, "e5", job_id)
    world.run(rng.uniform(0.1, 1.0))
    submit(world, "e0", job_id)


def others_paused(world: World, job_id: str, rng: Random, count: int) -> None:
    pause(world, [f"e{number}" for number in range(1, 1 + count)], PAUSE_S)
    world.run(rng.uniform(0.0, 1.5))
    submit(world, "e5", job_id)
    world.run(rng.uniform(0.1, 1.0))
    submit(world, "e0", job_id)


def just_started(world: World, job_id: str, rng: Random, gap_s: float) -> None:
    world.kill(world.process_of("e0"))
    world.run(0.5)
    submit(world, "e5", job_id)
    world.run(rng.uniform(0.2, 0.6))
    world.start_entry("e0")
    world.run(gap_s)
    submit(world, "e0", job_id)


def holder_paused(world: World, job_id: str, rng: Random, close: bool) -> None:
    """Pause the entry that runs a job, for less than the job's time limit."""
    world.submit("e0", tasks=2, run_s=3.0, job_id=job_id, time_limit_s=8.0)
    world.run(0.1)
    pause(world, ["e0"], PAUSE_S)
    world.run(1.5)
    if close:
        close_connections(world, ["e0"])
    world.run(rng.uniform(0.1, 1.0))
    submit(world, "e5", job_id)


Play = Callable[[World, str, Random], None]

PLAYS: dict[str, list[Play]] = {
    "paused_and_closed": [
        partial(paused, count=count, gap_s=gap_s, close=True)
        for count, gap_s in product((1, 2, 3), GAPS_S)
    ],
    "paused": [partial(paused, count=count, gap_s=0.0, close=False) for count in (1, 3)],
    "cut_off_alone": [partial(cut_off_then_late, names=["e0"])],
    "parted": [partial(cut_off_then_late, names=["e0", "e1", "e2"])],
    "others_paused": [partial(others_paused, count=count) for count in (1, 2, 3)],
    "just_started": [partial(just_started, gap_s=gap_s) for gap_s in (0.0, 0.03, 0.06, 0.15)],
    "holder_paused": [partial(holder_paused, close=close) for close in (False, True)],
}
"""Ways to hand one job in at two entries, around a fault."""


def play_all(name: str) -> Iterator[World]:
    for play, (seed, job_id) in product(PLAYS[name], enumerate(JOB_IDS)):
        world = ready_world(AGENTS, ENTRIES, seed)
        play(world, job_id, Random(seed))
        world.run(5.0)
        yield world


@pytest.mark.parametrize("name", PLAYS)
def test_entry_that_cannot_ask_others_starts_nothing_beside_them(name: str) -> None:
    """Guards against an entry that decides alone whether a job may run."""
    for world in play_all(name):
        assert_invariants_hold(world)


WALK_S = 12.0
RESEND_S = 1.3


def disturb(world: World, rng: Random) -> None:
    """Cause a random fault of entries, and sometimes of an agent."""
    one, other = rng.sample(sorted(world.entries), 2)
    seconds = rng.choice((0.1, 0.3, 0.7, 1.5, 3.0))
    kind = rng.randrange(7)
    if kind == 0:
        pause(
            world,
            rng.sample(sorted(world.entries), rng.randint(1, min(3, len(world.entries)))),
            seconds,
        )
    elif kind == 1:
        cut_off(world, rng.sample(sorted(world.entries), rng.randint(1, 2)), seconds)
    elif kind == 2:
        world.cut_apart(one, other, seconds)
    elif kind == 3:
        close_connections(world, [one])
    elif kind == 4 and world.process_of(one) in world.alive:
        world.kill(world.process_of(one))
        world.at(rng.uniform(0.05, 1.5), "", world.start_entry, one)
    elif kind == 5:
        world.freeze(world.process_of(rng.choice(sorted(world.machines))), seconds)
    else:
        world.cut_apart(rng.choice(sorted(world.machines)), one, seconds)


def hand_in_often(world: World, rng: Random, job_id: str) -> None:
    """Hand one job in at several entries, at random times and as callers repeat it."""
    run_s = rng.choice((0.3, 1.2, 2.5))
    for _ in range(rng.randint(2, 5)):
        delay_s = rng.choice((0.0, 0.002, rng.uniform(0.0, 0.5), RESEND_S, rng.uniform(0.0, 4.0)))
        entry = rng.choice(sorted(world.entries))
        world.at(delay_s, "", submit_if_alive, world, entry, job_id, run_s)


def submit_if_alive(world: World, entry: str, job_id: str, run_s: float) -> None:
    process = world.process_of(entry)
    if process in world.alive and process not in world.frozen:
        submit(world, entry, job_id, run_s)


def walk(seed: int, entries: int) -> World:
    """Let callers hand in the same jobs at several entries while these fail at random."""
    rng = Random(seed)
    world = ready_world(AGENTS, entries, seed)
    end = world.time + WALK_S
    number = 0
    while world.time < end:
        number += 1
        hand_in_often(world, rng, f"{seed:08x}{number:08x}")
        if rng.random() < 0.5:
            disturb(world, rng)
        world.run(rng.uniform(0.05, 0.8))
    world.run(6.0)
    return world


@pytest.mark.parametrize("entries", [2, 3, 5, 9])
@pytest.mark.parametrize("seed", range(4))
def test_jobs_handed_in_at_several_entries_at_random_run_once(seed: int, entries: int) -> None:
    """Guards against two runs of one task, whatever is paused, cut off, reset or killed."""
    assert_invariants_hold(walk(seed, entries))
