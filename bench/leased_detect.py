"""How soon each kind of loss is noticed, on virtual time: ``python -m bench.leased_detect``."""

import json
from collections.abc import Callable
from statistics import median
from typing import NamedTuple

from loguru import logger

from bench.leased_world import World
from bench.processes import ROOT

RESULT = ROOT / "bench" / "results" / "leased_detect.json"
SEEDS = 9
WATCHED_S = 3.0
RUN_S = 1.5


class Detection(NamedTuple):
    """Starts wasted on what is lost, and seconds until what it ran is at work elsewhere."""

    starts: int
    moved_s: float


def _kill_agent(world: World, name: str) -> None:
    world.kill(world.process_of(name))


def _kill_and_restart_agent(world: World, name: str) -> None:
    world.kill(world.process_of(name))
    world.at(0.4, "", world.start_agent, name)


def _cut_agent(world: World, name: str) -> None:
    world.cut_apart(name, "e0", 30.0)


def _silence(world: World, name: str) -> None:
    world.machines[name].endpoint.silent = True


def _crash(world: World, name: str) -> None:
    world.replace_endpoint(name)


def _hang(world: World, name: str) -> None:
    world.machines[name].endpoint.advance()
    world.machines[name].endpoint.speed = 0.0


def _fail(world: World, name: str) -> None:
    world.machines[name].endpoint.failing = True
    world.machines[name].endpoint.advance()


LOSSES: dict[str, Callable[[World, str], None]] = {
    "agent's process killed, not restarted": _kill_agent,
    "agent's process killed, back after 0.4 s": _kill_and_restart_agent,
    "agent cut from the entry, silently": _cut_agent,
    "endpoint silent": _silence,
    "endpoint replaced by a new life": _crash,
    "endpoint hangs": _hang,
    "endpoint fails all it starts": _fail,
}


def measure(loss: Callable[[World, str], None], seed: int) -> Detection:
    """Cause one loss under some load and watch the runs that it hits."""
    world = World(agents=6, entries=1, seed=seed)
    world.run(1.2)
    for _ in range(15):
        world.submit("e0", tasks=2, run_s=RUN_S, time_limit_s=20.0)
        world.run(0.02 + world.rng.random() * 0.03)
    at = world.time
    victim = max(world.machines.values(), key=lambda machine: len(machine.endpoint.active))
    hit = {task for task, _ in victim.endpoint.active}
    loss(world, victim.name)
    seen = set(victim.endpoint.active) | {(task, 1) for task in hit}
    moved: dict[str, float] = {}
    starts = 0
    while world.time < at + WATCHED_S:
        world.submit("e0", tasks=1, run_s=0.2, time_limit_s=20.0)
        world.run(0.01)
        fresh = set(victim.endpoint.active) - seen
        starts += len(fresh)
        seen |= fresh
        for machine in world.machines.values():
            if machine is not victim:
                for task, _ in machine.endpoint.active:
                    if task in hit:
                        moved.setdefault(task, world.time)
    times = sorted(moved.values())
    return Detection(starts, (times[len(times) // 2] - at) if times else WATCHED_S)


def main() -> None:
    """Measure every loss over some seeds and print and keep the medians and the worst."""
    logger.remove()
    rows = {}
    for name, loss in LOSSES.items():
        found = [measure(loss, seed) for seed in range(SEEDS)]
        starts = [each.starts for each in found]
        moves = [each.moved_s for each in found]
        rows[name] = {
            "starts": [median(starts), max(starts)],
            "moved_s": [round(median(moves), 2), round(max(moves), 2)],
        }
        print(f"{name:42} starts {rows[name]['starts']} moved {rows[name]['moved_s']}")
    RESULT.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
