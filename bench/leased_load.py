"""Credit against load of the users' jobs, on virtual time: ``python -m bench.leased_load``.

The real entries and agents run on fakes of the network and the endpoints. Jobs of three kinds come
as the deployments describe them: widths, work, wrong estimates, unlike tasks, two kinds of
endpoints, uneven entries, and a burst in the middle. They are compared with one queue over all
endpoints that knows every run time, takes no time to decide, and drops a job once it cannot be in
time. It orders by that time alone, so it is no upper bound.
"""

import argparse
import heapq
import json
from collections import Counter, defaultdict
from collections.abc import Iterator
from math import log10, nan
from pathlib import Path
from random import Random
from statistics import mean
from typing import NamedTuple

from loguru import logger

from bench.leased_world import Asked, World
from bench.processes import ROOT
from bench.scenario import USUAL, Kind, Power, Scenario
from gentianmux.leased.job_state import USEFUL_OBJECTIVE_FACTOR, JobOutcome
from gentianmux.leased.resources import Resources

RESULT = ROOT / "bench" / "results" / "leased_load.json"

LOADS = (0.8, 1.0, 1.4, 1.8, 2.2)
"""Multiples of the usual traffic during the burst."""

WINDOW_S = 2.0
WARM_S = 1.0
TAIL_S = 12.0
LATE_WORTH = 0.2
"""Part of its worth that a late job has while its answer is of use."""


REFUSED_LATE = 0.25
"""Multiple of its objective after which a refusal was of no use to the caller."""


class Weights(NamedTuple):
    """What counts for a deployment: credit, worst seconds, worst kind, nines of those served."""

    credit: float
    window: float
    kind: float
    nines: float


EVENLY = Weights(0.6, 0.25, 0.15, 0.0)
SERVED = Weights(0.4, 0.15, 0.1, 0.35)
"""How the deployments weigh them: the one by response time, the other by every answer."""


class Arrival(NamedTuple):
    """One job: when, where and what, with the true run time of each task in seconds."""

    at: float
    entry: str
    kind: Kind
    cpu: int
    works: tuple[float, ...]
    estimate_ms: int

    @property
    def objective_s(self) -> float:
        """Latency objective by the true work."""
        return self.kind.queue.stretch * max(self.works) + self.kind.queue.target_ms / 1000

    @property
    def worth(self) -> float:
        """What it earns when in time: part fixed, part by its work."""
        usual = self.kind.tasks * self.kind.work_s
        size = min(4.0, sum(self.works) / usual)
        return self.kind.worth * (0.3 + 0.7 * size)


class Result(NamedTuple):
    """One run: parts of the credit, and of the jobs; ``in_time_p0`` is of priority 0.

    Kept rows of earlier versions were not measured by the last ones.

    Attributes
    ----------
    beside_free : float
        Jobs refused while endpoints had free resources for all of their tasks.
    busiest, quietest : float
        Jobs in time of the entries with the most and the least traffic.
    frames : float
        Messages of all processes per job.
    Kept rows of earlier versions do not have the fields with a default.
    """

    load: float
    credit: float
    worst_window: float
    worst_kind: float
    in_time: float
    late: float
    refused: float
    wasted_runs: int
    one_queue: float
    refused_late: float = nan
    evenly: float = nan
    served: float = nan
    beside_free: float = nan
    busiest: float = nan
    quietest: float = nan
    frames: float = nan
    in_time_p0: float = nan
    in_time_p1: float = nan
    in_time_p2: float = nan


def arrivals(rng: Random, load: float, scenario: Scenario = USUAL) -> list[Arrival]:
    """Poisson arrivals of all kinds; the burst multiplies them."""
    found = []
    began, ended = scenario.burst
    for kind in scenario.kinds:
        at = 0.0
        while at < scenario.seconds:
            factor = load if began <= at < ended else min(load, 1.0)
            at += rng.expovariate(kind.per_s * factor)
            found.append(_arrival(rng, kind, at, scenario))
    return sorted(found, key=lambda each: each.at)


def _arrival(rng: Random, kind: Kind, at: float, scenario: Scenario) -> Arrival:
    entry = f"e{rng.choices(range(len(scenario.shares)), scenario.shares)[0]}"
    tasks = max(1, min(kind.most_tasks, round(kind.tasks * rng.lognormvariate(-0.08, 0.4))))
    work_s = min(4 * kind.work_s, kind.work_s * rng.lognormvariate(-0.08, 0.4))
    works = tuple(work_s * rng.uniform(0.85, 1.15) for _ in range(tasks))
    usual, deviation, least, most = scenario.task_cpu
    cpu = int(min(most, max(least, rng.gauss(usual, deviation))))
    misjudged = rng.uniform(1 - scenario.misjudged, 1 + scenario.misjudged)
    return Arrival(at, entry, kind, cpu, works, int(1000 * work_s * misjudged))


def make_world(seed: int, scenario: Scenario = USUAL) -> World:
    """The scenario's entries and endpoints, connected."""
    world = World(len(scenario.rooms), len(scenario.shares), seed)
    sizes = zip(world.machines.values(), scenario.rooms, scenario.speeds, strict=True)
    for machine, cpu, speed in sizes:
        machine.endpoint.capacity = Resources(cpu, 65536, 0)
        machine.endpoint.speed = speed
    world.one_way_s = scenario.one_way_s
    world.run(WARM_S)
    return world


class _Callers:
    """Hands jobs in, again when their entry was lost; keeps the last try of each."""

    def __init__(self, world: World, power: Power | None) -> None:
        self._world = world
        self._power = power
        self._began_at = world.time
        self.tries: dict[int, tuple[Arrival, Asked]] = {}

    def come(self, number: int, job: Arrival) -> None:
        """Send a job that comes now, or as soon as an entry can be reached."""
        pause_s = self._unreachable_s()
        if pause_s:
            self._world.at(pause_s, "", self._send, number, job, self._world.time)
        else:
            self._send(number, job, self._world.time)

    def _unreachable_s(self) -> float:
        if self._power is None:
            return 0.0
        since = self._world.time - self._began_at - self._power.lost_at_s
        return self._power.back_s - since if 0 <= since < self._power.back_s else 0.0

    def _send(self, number: int, job: Arrival, first_at: float) -> None:
        asked = submit(self._world, job)
        # Answers count from the caller's first try.
        asked.at = first_at
        self.tries[number] = job, asked

    def lose_power(self, power: Power) -> None:
        """End all processes and endpoints, start them again, and send again what was at work."""
        world = self._world
        for number, (job, asked) in list(self.tries.items()):
            if asked.handle.result is None:
                pause_s = max(power.resend_s, power.back_s)
                world.at(pause_s, "", self._send, number, job, asked.at)
        for name in [*world.machines, *world.entries]:
            world.kill(world.process_of(name))
        for name, machine in world.machines.items():
            speed = machine.endpoint.speed
            world.replace_endpoint(name).speed = speed
            world.at(power.back_s, "", world.start_agent, name)
        for name in world.entries:
            # Just before the callers' tries reach it.
            world.at(power.back_s - 0.001, "", world.start_entry, name)


def play(load: float, seed: int, scenario: Scenario = USUAL) -> Result:
    """Play one run and account for it."""
    jobs = arrivals(Random(seed), load, scenario)
    world = make_world(seed, scenario)
    callers = _Callers(world, scenario.power)
    for number, job in enumerate(jobs):
        world.at(job.at, "", callers.come, number, job)
    if scenario.power is not None:
        world.at(scenario.power.lost_at_s, "", callers.lose_power, scenario.power)
    frames_before = world.frames
    world.run(scenario.seconds + TAIL_S)
    if world.breaches:
        raise AssertionError(world.breaches[:3])
    tries = list(callers.tries.values())
    best = one_queue(jobs, scenario)
    frames = (world.frames - frames_before) / len(jobs)
    return account(load, tries, world.wasted_runs, best)._replace(frames=frames)


def submit(world: World, job: Arrival) -> Asked:
    """Hand a job in at its entry."""
    return world.submit(
        job.entry,
        tasks=len(job.works),
        cpu=job.cpu,
        estimate_ms=job.estimate_ms,
        queue=job.kind.queue,
        time_limit_s=9.0,
        works=job.works,
    )


def earned(job: Arrival, took_s: float | None) -> float:
    """Credit of a job that took so long; None when it was not served."""
    if took_s is None or took_s > USEFUL_OBJECTIVE_FACTOR * job.objective_s:
        return 0.0
    return job.worth if took_s <= job.objective_s else LATE_WORTH * job.worth


def account(
    load: float, asked: list[tuple[Arrival, Asked]], wasted_runs: int, best: float
) -> Result:
    """Sum up credit over the run, its windows and its kinds of job."""
    owed: Counter[object] = Counter()
    got: Counter[object] = Counter()
    ways: Counter[str] = Counter()
    by_entry: defaultdict[str, list[bool]] = defaultdict(list)
    for job, handed_in in asked:
        result = handed_in.handle.result
        done = result is not None and result.outcome is JobOutcome.COMPLETED
        took_s = handed_in.ended_at - handed_in.at if done else None
        credit = earned(job, took_s)
        for key in ("all", int(job.at / WINDOW_S), job.kind.queue.name):
            owed[key] += job.worth  # type: ignore[assignment]
            got[key] += credit  # type: ignore[assignment]
        ways["in" if credit == job.worth else "late" if credit else "refused"] += 1
        ways[f"in p{job.kind.queue.priority}"] += credit == job.worth
        ways[f"all p{job.kind.queue.priority}"] += 1
        waited_s = handed_in.ended_at - handed_in.at
        ways["beside free"] += not done and handed_in.fitted
        by_entry[job.entry].append(credit == job.worth)
        ways["refused late"] += not done and waited_s > REFUSED_LATE * job.objective_s
    by_traffic = sorted(by_entry.values(), key=len)
    parts = {key: got[key] / owed[key] for key in owed}
    worst_kind = min(parts[name] for name in {job.kind.queue.name for job, _ in asked})
    unserved = ways["refused"] / len(asked)
    windows = sorted(part for key, part in parts.items() if isinstance(key, int))
    return Result(
        load,
        parts["all"],
        mean(windows[:2]),
        worst_kind,
        ways["in"] / len(asked),
        ways["late"] / len(asked),
        ways["refused"] / len(asked),
        wasted_runs,
        best,
        ways["refused late"] / len(asked),
        _by_weights(EVENLY, parts["all"], mean(windows[:2]), worst_kind, unserved),
        _by_weights(SERVED, parts["all"], mean(windows[:2]), worst_kind, unserved),
        ways["beside free"] / len(asked),
        mean(by_traffic[-1]),
        mean(by_traffic[0]),
        nan,
        *(ways[f"in p{each}"] / (ways[f"all p{each}"] or nan) for each in range(3)),
    )


def _by_weights(
    weights: Weights, credit: float, window: float, kind: float, unserved: float
) -> float:
    nines = min(1.0, log10(1 / max(unserved, 0.001)) / 3)
    return sum(w * part for w, part in zip(weights, (credit, window, kind, nines), strict=True))


def one_queue(jobs: list[Arrival], scenario: Scenario = USUAL) -> float:
    """Part of the credit that one queue earns which knows every run time."""
    free, speeds = list(scenario.rooms), list(scenario.speeds)
    ends: list[tuple[float, int, int]] = []
    waiting: list[tuple[float, int, Arrival]] = []
    coming = [(job.at, number, job) for number, job in enumerate(jobs)]
    got = 0.0
    while coming or waiting:
        now = min(coming[0][0] if coming else 1e9, ends[0][0] if ends and waiting else 1e9)
        while ends and ends[0][0] <= now:
            _, place, cpu = heapq.heappop(ends)
            free[place] += cpu
        while coming and coming[0][0] <= now:
            at, number, job = coming.pop(0)
            heapq.heappush(waiting, (at + job.objective_s - max(job.works), number, job))
        left = []
        while waiting:
            latest, number, job = heapq.heappop(waiting)
            if now > latest + 0.3 * max(job.works):
                continue
            placed = _fit(job, free, speeds)
            if placed is None:
                left.append((latest, number, job))
                continue
            took_s = now - job.at
            for place, work_s in zip(placed, job.works, strict=True):
                run_s = work_s / speeds[place]
                took_s = max(took_s, now - job.at + run_s)
                free[place] -= job.cpu
                heapq.heappush(ends, (now + run_s, place, job.cpu))
            got += earned(job, took_s)
        waiting = left
        heapq.heapify(waiting)
    return got / sum(job.worth for job in jobs)


def _fit(job: Arrival, free: list[int], speeds: list[float]) -> list[int] | None:
    """Endpoints for every task of a job, or None when some does not fit."""
    left = list(free)
    placed = []
    for _ in job.works:
        fitting = [place for place, cpu in enumerate(left) if cpu >= job.cpu]
        if not fitting:
            return None
        place = max(fitting, key=lambda each: (speeds[each], left[each]))
        left[place] -= job.cpu
        placed.append(place)
    return placed


def table(loads: tuple[float, ...], seeds: int) -> Iterator[Result]:
    """Means over seeds, one row a load."""
    for load in loads:
        runs = [play(load, seed) for seed in range(seeds)]
        yield Result(*(round(mean(each), 3) for each in zip(*runs, strict=True)))


def plot(rows: dict[str, list[Result]], path: Path) -> None:
    """Draw credit against load, one line a policy and one the single queue, as SVG."""
    lines = {name: [(r.load, r.credit) for r in found] for name, found in rows.items()}
    first = next(iter(rows.values()))
    lines["one queue that knows all run times"] = [(r.load, r.one_queue) for r in first]
    low, high = first[0].load, first[-1].load
    parts = ['<svg xmlns="http://www.w3.org/2000/svg" width="640" height="400">']
    for number, (name, points) in enumerate(lines.items()):
        colour = ("#0a5", "#c30", "#05a", "#777")[number % 4]
        at = [f"{40 + 560 * (x - low) / (high - low):.0f},{360 - 320 * y:.0f}" for x, y in points]
        parts.append(f'<polyline points="{" ".join(at)}" fill="none" stroke="{colour}"/>')
        parts.append(f'<text x="60" y="{300 + 18 * number}" fill="{colour}">{name}</text>')
    for x in (low, high):
        at_x = 40 + 560 * (x - low) / (high - low)
        parts.append(f'<text x="{at_x:.0f}" y="380">{x} x</text>')
    path.write_text("\n".join([*parts, "</svg>\n"]))


def main() -> None:
    """Print credit against load, and keep it beside what was measured for other policies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--loads", default=",".join(map(str, LOADS)))
    parser.add_argument("--keep", default="", help="name under which the rows are kept")
    args = parser.parse_args()
    logger.remove()
    rows = []
    print(" ".join(f"{name:>12}" for name in Result._fields))
    for row in table(tuple(float(each) for each in args.loads.split(",")), args.seeds):
        rows.append(row)
        print(" ".join(f"{value:12g}" for value in row))
    if args.keep:
        kept = json.loads(RESULT.read_text()) if RESULT.exists() else {}
        kept[args.keep] = [row._asdict() for row in rows]
        RESULT.write_text(json.dumps(kept, indent=1) + "\n")
        found = {name: [Result(**row) for row in each] for name, each in kept.items()}
        plot(found, RESULT.with_suffix(".svg"))


if __name__ == "__main__":
    main()
