"""How soon service is back after losses, on virtual time: ``python -m bench.leased_recover``."""

import json
from collections.abc import Callable
from statistics import median
from typing import NamedTuple

from loguru import logger

from bench.leased_world import World
from bench.processes import ROOT
from gentianmux.leased.job_state import JobOutcome

RESULT = ROOT / "bench" / "results" / "leased_recover.json"
SEEDS = 7
BACK_S = 0.9
"""Seconds after which a lost process is back: what the users' platform takes, start-up included."""

WATCHED_S = 6.0
TICK_S = 0.05
USUAL = 0.9
"""Part of the jobs handed in within 0.25 s that have to be in time for the usual rate."""


class Recovery(NamedTuple):
    """Seconds from a loss to the first job in time that was handed in after it, and to the usual
    share of jobs in time."""

    first_s: float
    usual_s: float


def _all_agents(world: World) -> None:
    for name in world.machines:
        world.kill(world.process_of(name))
        world.at(BACK_S, "", world.start_agent, name)


def _all_entries(world: World) -> None:
    for name in world.entries:
        world.kill(world.process_of(name))
        world.at(BACK_S, "", world.start_entry, name)


def _everything(world: World) -> None:
    _all_agents(world)
    _all_entries(world)


def _everything_and_endpoints(world: World) -> None:
    _everything(world)
    for name in world.machines:
        world.replace_endpoint(name)


def _half_of_the_agents_dark(world: World) -> None:
    for name in sorted(world.machines)[::2]:
        for entry in world.entries:
            world.cut_apart(name, entry, 3.0)


LOSSES: dict[str, Callable[[World], None]] = {
    "all agents killed": _all_agents,
    "all entries killed": _all_entries,
    "all processes killed": _everything,
    "all instances lose power, endpoints too": _everything_and_endpoints,
    "half of the agents cut off for 3 s": _half_of_the_agents_dark,
}


def measure(loss: Callable[[World], None], seed: int) -> Recovery:
    """Cause a loss at half load, and hand in jobs all the while."""
    world = World(agents=6, entries=3, seed=seed)
    world.run(1.2)
    began = world.time + 1.0
    asked = []
    lost = False
    while world.time < began + WATCHED_S:
        if world.time >= began and not lost:
            lost = True
            loss(world)
        for name, node in world.entries.items():
            if world.process_of(name) in world.alive and node.entry is not None:
                asked.append(world.submit(name, tasks=2, run_s=0.2))
        world.run(TICK_S)
    world.run(2.0)
    after = [job for job in asked if job.at > began]
    in_time = [job for job in after if _is_in_time(job)]
    first = min((job.ended_at - began for job in in_time), default=WATCHED_S)
    usual = WATCHED_S
    for start in range(int(WATCHED_S / 0.25)):
        low = began + start * 0.25
        window = [job for job in after if low <= job.at < low + 0.25]
        good = sum(_is_in_time(job) for job in window)
        if window and good >= USUAL * len(window):
            usual = low - began
            break
    return Recovery(first, usual)


def _is_in_time(job: object) -> bool:
    asked = job.handle.job  # type: ignore[attr-defined]
    result = job.handle.result  # type: ignore[attr-defined]
    took_s = job.ended_at - job.at  # type: ignore[attr-defined]
    done = result is not None and result.outcome is JobOutcome.COMPLETED
    return bool(done and took_s <= asked.objective_s)


def main() -> None:
    """Measure every loss over some seeds and print and keep medians and worst."""
    logger.remove()
    rows = {}
    for name, loss in LOSSES.items():
        found = [measure(loss, seed) for seed in range(SEEDS)]
        rows[name] = {
            "first_s": [round(f([each.first_s for each in found]), 2) for f in (median, max)],
            "usual_s": [round(f([each.usual_s for each in found]), 2) for f in (median, max)],
        }
        print(f"{name:42} first {rows[name]['first_s']} usual {rows[name]['usual_s']}")
    RESULT.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
