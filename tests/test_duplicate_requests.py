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
