"""Response time against the ideal, on virtual time: ``python -m bench.routing``.

The real coordinators and executors of ten agents with eight slots each run on fakes of the network
and the endpoints. The bound is one first-come queue over all slots, on the same arrivals, with four
one-way trips of network added. Baselines replace the choice of agents and nothing else.
"""

import argparse
import heapq
import json
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, NamedTuple

from loguru import logger

from bench.processes import ROOT
from bench.world import SETTINGS, World
from gentianmux import placement
from gentianmux.ids import NO_TIME
from gentianmux.job import Job
from gentianmux.messages import Submit, Task
from gentianmux.routing import Candidate, choose_agents

AGENTS = 10
SLOTS = 8
ONE_WAY_S = 0.0005
TRIPS = 4
WARM_S = 8.0
PATIENCE_S = 60.0
LOADS = (0.5, 0.7, 0.9)
CFG = SETTINGS._replace(shards=64, slots=SLOTS, lease_ms=60_000, renew_ms=5_000, tail_ms=5_000)
Chooser = Callable[..., list[str]]


class Arrival(NamedTuple):
    """A job: when it comes, and how long each task runs, in seconds."""

    at: float
    works: list[float]


def work(rng: Random) -> float:
    """Run time of a task: 50 ms to 1 s, and 2 % of 3 to 5 s."""
    return rng.uniform(3, 5) if rng.random() < 0.02 else rng.uniform(0.05, 1)


def arrivals(rng: Random, load: float, size: int, seconds: float) -> list[Arrival]:
    """Poisson arrivals that keep a share of all slots busy."""
    mean_s = 0.98 * 0.525 + 0.02 * 4
    rate = load * AGENTS * SLOTS / mean_s / size
    found, at = [], WARM_S
    while at < WARM_S + seconds:
        at += rng.expovariate(rate)
        found.append(Arrival(at, [work(rng) for _ in range(size)]))
    return found


def bound(jobs: Iterable[Arrival]) -> list[float]:
    """Response over work of each job with one shared first-come queue."""
    free = [0.0] * (AGENTS * SLOTS)
    ratios = []
    for job in jobs:
        ends = []
        for each in job.works:
            begins = max(job.at, heapq.heappop(free))
            heapq.heappush(free, begins + each)
            ends.append(begins + each)
        response = max(ends) - job.at + TRIPS * ONE_WAY_S
        ratios.append(response / ideal(job.works))
    return ratios


def ideal(works: list[float]) -> float:
    """The work of a job on idle slots: its longest task, or its share of all slots."""
    return max(max(works), sum(works) / (AGENTS * SLOTS))


class Timed(World):
    """A world in which a task runs for as long as its payload says."""

    slowness: dict[str, float]

    def run_time(self, name: str, task: Task) -> float:
        seconds = float(json.loads(task.payload))
        return seconds * getattr(self, "slowness", {}).get(name, 1.0)


class Measured(NamedTuple):
    """Response over work of each job, and messages without a result for each task."""

    ratios: list[float]
    wasted: float


def measure(
    jobs: list[Arrival], chooser: Chooser = choose_agents, declared: float = 1.0
) -> Measured:
    """Run jobs through the real decision code.

    ``declared`` is the factor by which declared sizes are off; 0 declares none.
    """
    placement.choose_agents = chooser
    late_binding = Job.is_short
    if chooser is not choose_agents:
        # The baselines queue at agents, as tasks declared short do.
        Job.is_short = property(lambda self: True)  # type: ignore[method-assign, assignment]
    world = Timed(AGENTS, cfg=CFG, latency_s=(ONE_WAY_S, ONE_WAY_S))
    world.patience_s = PATIENCE_S
    for number, job in enumerate(jobs):
        msg = _submission(number, job, declared)
        world.at(job.at - world.time, "", world.entries["e0"].submit, msg)
    world.run(jobs[-1].at + 60)
    placement.choose_agents, Job.is_short = choose_agents, late_binding  # type: ignore[method-assign]
    done = {given.key: given.at for given in world.answers if given.complete}
    missing = len(jobs) - len(done)
    assert not missing, f"{missing} jobs are not complete"
    ratios = [(done[f"m/{n}"] - job.at) / ideal(job.works) for n, job in enumerate(jobs)]
    wasted = sum(node.ctx.metrics.total("wasted") for node in world.nodes.values())
    return Measured(ratios, wasted / sum(len(job.works) for job in jobs))


def _submission(number: int, job: Arrival, declared: float) -> Submit:
    tasks = [
        {"payload": json.dumps(each), "size": {"run_ms": int(each * 1000 * declared)}}
        for each in job.works
    ]
    body = json.dumps({"id": str(number), "service": "s", "tasks": tasks}).encode()
    return Submit(0, f"m/{number}", "m", "s", body, b"d", NO_TIME, NO_TIME, False, True)


def at_random(count: int, found: Iterable[Candidate], rng: Random, *_: Any) -> list[str]:
    """Baseline: any agent."""
    return [rng.choice(list(found)).process for _ in range(count)]


class RoundRobin:
    """Baseline: agents in turn."""

    def __init__(self) -> None:
        self._next = 0

    def __call__(self, count: int, found: Iterable[Candidate], *_: Any) -> list[str]:
        processes = sorted(each.process for each in found)
        self._next += count
        return [processes[(self._next + n) % len(processes)] for n in range(count)]


def least_outstanding(count: int, found: Iterable[Candidate], rng: Random, *_: Any) -> list[str]:
    """Baseline: the least loaded at once, however full, with nothing held back."""
    return choose_agents(count, found, rng, 1e9)


CHOOSERS: dict[str, Callable[[], Chooser]] = {
    "gentianmux": lambda: choose_agents,
    "least outstanding": lambda: least_outstanding,
    "round robin": RoundRobin,
    "random": lambda: at_random,
}


def percentiles(ratios: list[float]) -> list[float]:
    """The 50th, 99th and 99.9th."""
    ordered = sorted(ratios)
    last = len(ordered) - 1
    return [round(ordered[int(last * part)], 3) for part in (0.5, 0.99, 0.999)]


def main() -> None:
    """Print and keep a table of p50, p99, p99.9 and wasted messages a task."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", default="1,20")
    parser.add_argument("--only", default="")
    parser.add_argument("--declared", type=float, default=1.0, help="factor sizes are off by")
    args = parser.parse_args()
    logger.remove()
    rows: dict[str, dict[str, list[float]]] = {}
    for size in map(int, args.sizes.split(",")):
        for load in LOADS:
            jobs = arrivals(Random(args.seed), load, size, args.seconds)
            row = {"shared queue": percentiles(bound(jobs))}
            for name, make in CHOOSERS.items():
                if not args.only or name == args.only:
                    found = measure(jobs, make(), args.declared)
                    row[name] = [*percentiles(found.ratios), round(found.wasted, 3)]
            rows[f"{load:.0%} jobs of {size}"] = row
            print(f"{load:.0%} jobs of {size}: {row}", flush=True)
    if not args.only:
        results = ROOT / "bench" / "results"
        results.mkdir(exist_ok=True)
        kept = {"seed": args.seed, "seconds": args.seconds, "p50_p99_p999_wasted": rows}
        (results / "routing.json").write_text(json.dumps(kept, indent=1) + "\n")


if __name__ == "__main__":
    main()
