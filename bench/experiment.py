"""Plays an experiment of a scenario file: ``python -m bench.experiment bench/scenarios/skew.toml``.

Every policy is played at every load with every seed, on several cores, and the means are printed
with the spread over the seeds. A policy is a set of constants of the product and other values for
them, so that a mechanism can be switched off without a switch in the product.
"""

import argparse
import json
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from importlib import import_module
from itertools import product
from pathlib import Path
from statistics import mean, pstdev
from typing import NamedTuple

from loguru import logger

from bench.leased_load import Result, play
from bench.processes import ROOT
from bench.scenario import Experiment, Scenario, read_experiment

SHOWN = (
    "credit",
    "worst_window",
    "worst_kind",
    "in_time",
    "late",
    "refused",
    "refused_late",
    "beside_free",
    "busiest",
    "quietest",
    "frames",
    "in_time_p0",
    "in_time_p1",
    "in_time_p2",
    "late",
    "refused",
    "refused_late",
)


class Run(NamedTuple):
    """One run to play."""

    policy: str
    constants: dict[str, float]
    load: float
    seed: int
    scenario: Scenario


class Row(NamedTuple):
    """Means over the seeds of a policy at a load, and their standard deviations."""

    policy: str
    load: float
    means: dict[str, float]
    spread: dict[str, float]


def runs(experiment: Experiment) -> Iterator[Run]:
    """All runs of an experiment."""
    seeds = range(experiment.seeds)
    for (policy, constants), load, seed in product(
        experiment.policies.items(), experiment.loads, seeds
    ):
        yield Run(policy, constants, load, seed, experiment.scenario)


def play_run(run: Run) -> Result:
    """Play a run with the constants of its policy, and put the product's back."""
    kept = {name: _replace(name, value) for name, value in run.constants.items()}
    try:
        return play(run.load, run.seed, run.scenario)
    finally:
        for name, value in kept.items():
            _replace(name, value)


def _replace(name: str, value: float) -> float:
    module_name, _, constant = name.partition(".")
    module = import_module(f"gentianmux.leased.{module_name}")
    before: float = getattr(module, constant)
    setattr(module, constant, value)
    return before


def rows(experiment: Experiment, results: list[Result]) -> Iterator[Row]:
    """Means and spreads, in the order of the runs."""
    seeds = experiment.seeds
    groups = list(product(experiment.policies, experiment.loads))
    for number, (policy, load) in enumerate(groups):
        group = results[number * seeds : (number + 1) * seeds]
        values = {name: [getattr(each, name) for each in group] for name in SHOWN}
        yield Row(
            policy,
            load,
            {name: round(mean(found), 4) for name, found in values.items()},
            {name: round(pstdev(found), 4) for name, found in values.items()},
        )


def conduct(path: Path, jobs: int) -> list[Row]:
    """Play all runs of an experiment, each in a process of its own."""
    experiment = read_experiment(path)
    numbers = range(len(list(runs(experiment))))
    with ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(partial(_play_apart, path), numbers))
    return list(rows(experiment, results))


def _play_apart(path: Path, number: int) -> Result:
    command = [sys.executable, "-m", "bench.experiment", str(path), "--run", str(number)]
    played = subprocess.run(command, cwd=ROOT, capture_output=True, check=True, text=True)
    return Result(**json.loads(played.stdout))


def table(found: list[Row]) -> Iterator[str]:
    """The rows as text, means with their spread."""
    yield f"{'policy':24} {'load':>5} " + " ".join(f"{name:>14}" for name in SHOWN)
    for row in found:
        cells = (f"{row.means[name]:.3f} +-{row.spread[name]:.3f}" for name in SHOWN)
        yield f"{row.policy:24} {row.load:5g} " + " ".join(f"{cell:>14}" for cell in cells)


def main() -> None:
    """Play one experiment and print its table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", type=Path)
    parser.add_argument("--jobs", type=int, default=2, help="cores to use")
    parser.add_argument("--json", type=Path, help="keep the rows there")
    parser.add_argument("--run", type=int, help="play just the run of this number, as JSON")
    args = parser.parse_args()
    logger.remove()
    if args.run is not None:
        chosen = list(runs(read_experiment(args.scenario)))[args.run]
        print(json.dumps(play_run(chosen)._asdict()))
        return
    found = conduct(args.scenario.resolve(), args.jobs)
    print("\n".join(table(found)))
    if args.json:
        args.json.write_text(json.dumps([row._asdict() for row in found], indent=1) + "\n")


if __name__ == "__main__":
    main()
