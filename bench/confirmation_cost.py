"""What the confirmation of jobs costs their callers, on virtual time: ``python -m
bench.confirmation_cost``.

Real entries and agents run on fakes of the network and the endpoints. Short jobs come at a steady
rate to all entries that callers can reach, while some entries are paused, cut off or killed. The
wait is the time from a job's submission to its first start.
"""

import argparse
from collections.abc import Callable, Iterator
from random import Random
from typing import NamedTuple

from loguru import logger

from bench.leased_world import Asked, World
from gentianmux.leased.job_state import JobOutcome

AGENTS = 12
JOB_INTERVAL_S = 0.02
PLAY_S = 6.0
FAULT_AT_S, FAULT_S = 1.0, 3.0
RUN_S = 0.1
SETTLE_S = 3.0


class Cost(NamedTuple):
    """Cost of one play.

    Attributes
    ----------
    wait_ms, wait_p95_ms : float
        Median and 95th percentile of the wait, in milliseconds.
    refused : float
        Share of the jobs that were refused as not run.
    unknown : float
        Share of the jobs that ended as unknown, or not at all.
    refused_s : float
        Seconds from the first to the last refusal.
    frames : float
        Frames between processes for each job, reports and echoes included.
    """

    wait_ms: float
    wait_p95_ms: float
    refused: float
    unknown: float
    refused_s: float
    frames: float


Fault = Callable[[World], None]


def pause(*names: str) -> Fault:
    """Pause entries."""

    def cause(world: World) -> None:
        for name in names:
            world.freeze(world.process_of(name), FAULT_S)

    return cause


def cut_off(name: str) -> Fault:
    """Cut an entry off from all others, but not from callers and agents."""

    def cause(world: World) -> None:
        for other in set(world.entries) - {name}:
            world.cut_apart(name, other, FAULT_S)

    return cause


def kill(name: str) -> Fault:
    """Kill an entry, which is started again a second later."""

    def cause(world: World) -> None:
        world.kill(world.process_of(name))
        world.at(1.0, "", world.start_entry, name)

    return cause


FAULTS: dict[str, Fault] = {
    "none": lambda world: None,
    "one paused": pause("e1"),
    "two paused": pause("e1", "e2"),
    "one cut off": cut_off("e1"),
    "one killed": kill("e1"),
}


def play(entries: int, fault: Fault, seed: int) -> Cost:
    """Play one fault."""
    world = World(AGENTS, entries, seed)
    world.run(SETTLE_S)
    first_start = _watch_starts(world)
    rng = Random(seed)
    frames, began_at = world.frames, world.time
    world.at(FAULT_AT_S, "", fault, world)
    asked = list(_submit_steadily(world, rng))
    world.run(2.0)
    waits = [
        first_start[job.spec.job_id] - job.at for job in asked if job.spec.job_id in first_start
    ]
    refused = [job for job in asked if _is(job, JobOutcome.NOT_RUN)]
    unknown = [job for job in asked if job.handle.result is None or _is(job, JobOutcome.UNKNOWN)]
    times = [job.at - began_at for job in refused]
    return Cost(
        1000 * _percentile(waits, 0.5),
        1000 * _percentile(waits, 0.95),
        len(refused) / len(asked),
        len(unknown) / len(asked),
        max(times, default=0.0) - min(times, default=0.0),
        (world.frames - frames) / len(asked),
    )


def _is(job: Asked, outcome: JobOutcome) -> bool:
    return job.handle.result is not None and job.handle.result.outcome is outcome


def _watch_starts(world: World) -> dict[str, float]:
    """Note the first start of each job."""
    first_start: dict[str, float] = {}
    note_start = world.note_start

    def note(endpoint: object, task: str, late: bool) -> None:
        first_start.setdefault(task.partition(".")[0], world.time)
        note_start(endpoint, task, late)  # type: ignore[arg-type]

    world.note_start = note  # type: ignore[method-assign]
    return first_start


def _submit_steadily(world: World, rng: Random) -> Iterator[Asked]:
    """Submit jobs at entries that run; callers notice one that is paused."""
    end = world.time + PLAY_S
    while world.time < end:
        awake = [
            name
            for name in world.entries
            if world.process_of(name) in world.alive and world.process_of(name) not in world.frozen
        ]
        yield world.submit(
            rng.choice(awake),
            tasks=2,
            run_s=RUN_S,
            job_id=f"{rng.getrandbits(64):016x}",
            time_limit_s=1.5,
        )
        world.run(JOB_INTERVAL_S)


def _percentile(values: list[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def main() -> None:
    """Print the cost of each fault for small and large numbers of entries."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--entries", type=int, nargs="*", default=[3, 5, 9])
    options = parser.parse_args()
    logger.remove()
    print("entries, fault: " + ", ".join(Cost._fields))
    for entries in options.entries:
        for name, fault in FAULTS.items():
            costs = [play(entries, fault, seed) for seed in range(options.seeds)]
            means = [sum(each) / len(costs) for each in zip(*costs, strict=True)]
            print(f"{entries}, {name}: " + ", ".join(f"{mean:.3f}" for mean in means), flush=True)


if __name__ == "__main__":
    main()
