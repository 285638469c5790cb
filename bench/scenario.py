"""Scenarios of leased jobs for experiments on virtual time: fleet, kinds of job, load, faults."""

import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from gentianmux.leased.model import QueueConfig

DEADLINE_MS = 9000
"""Milliseconds that callers wait, beyond three times the longest usual objective."""


class Kind(NamedTuple):
    """One kind of job: how many come a second, and how it is drawn."""

    queue: QueueConfig
    per_s: float
    tasks: int
    most_tasks: int
    work_s: float
    worth: float


class Power(NamedTuple):
    """Everything loses power, processes and endpoints alike.

    Attributes
    ----------
    lost_at_s : float
        When, in seconds from the start.
    back_s : float
        Until processes work again, their start included.
    resend_s : float
        Until a caller sends a job again whose connection broke.
    """

    lost_at_s: float
    back_s: float = 1.6
    resend_s: float = 1.3


class Scenario(NamedTuple):
    """What is played.

    Attributes
    ----------
    rooms, speeds : tuple
        Thousandths of a core, and work done in a second, of each endpoint.
    shares : tuple of float
        Parts of the traffic of the entries.
    kinds : tuple of Kind
        The jobs.
    task_cpu : tuple of float
        Mean, deviation, least and most thousandths of a core of a task.
    misjudged : float
        How far estimates are off at most, as a part of the work.
    seconds : float
        How long jobs come.
    burst : tuple of float
        From when to when they come at the multiple that is played.
    power : Power or None
        A loss of power.
    one_way_s : float
        Time of a message on its way, with the time that busy processes need.
    """

    rooms: tuple[int, ...]
    speeds: tuple[float, ...]
    shares: tuple[float, ...]
    kinds: tuple[Kind, ...]
    task_cpu: tuple[float, ...] = (1600.0, 320.0, 800.0, 2300.0)
    misjudged: float = 0.4
    seconds: float = 10.0
    burst: tuple[float, float] = (3.0, 7.0)
    power: Power | None = None
    one_way_s: float = 0.0005


class Experiment(NamedTuple):
    """A scenario, the loads, seeds and policies with which it is played.

    A policy names constants of modules of ``gentianmux.leased`` and their values, as
    ``{"admission_policy.WAIT_FACTOR": 1.0}``; an empty one is the product as it is.
    """

    name: str
    scenario: Scenario
    loads: tuple[float, ...]
    seeds: int
    policies: dict[str, dict[str, float]]


def queue(name: str, priority: int, target_ms: int = 60, stretch: float = 1.6) -> QueueConfig:
    """Rules of a queue of the scenario's one service."""
    return QueueConfig(
        name, "h.example", f"/{name}/", "s", DEADLINE_MS, target_ms, priority, 3, stretch
    )


USUAL = Scenario(
    rooms=(16000, 16000, 16000, 24000, 16000, 16000, 16000, 24000, 24000, 16000, 16000),
    speeds=(1.0, 1.0, 1 / 1.3, 1.0, 1.0, 1 / 1.3, 1.0, 1.0, 1 / 1.3, 1.0, 1.0),
    shares=(0.28, 0.335, 0.385),
    kinds=(
        Kind(queue("weigh", 0), 17.2, 8, 32, 0.12, 0.0291),
        Kind(queue("check", 2), 3.12, 4, 16, 1.8, 0.16),
        Kind(queue("receipt", 1), 50.0, 2, 8, 0.4, 0.01),
    ),
)
"""A deployment of the users as its pages describe it, entries uneven as between their zones."""


def read_experiment(path: Path) -> Experiment:
    """Read an experiment.

    Raises
    ------
    ValueError
        With the name of the file and of what is wrong in it.
    """
    try:
        file = tomllib.loads(path.read_text())
        return Experiment(
            name=path.stem,
            scenario=_scenario(file),
            loads=tuple(float(load) for load in file.get("loads", [1.0])),
            seeds=int(file.get("seeds", 3)),
            policies={"as it is": {}, **file.get("policies", {})},
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise ValueError(f"{path}: {exc!r}") from exc


def _scenario(file: dict[str, Any]) -> Scenario:
    found = USUAL
    if "endpoints" in file:
        rows = [row for row in file["endpoints"] for _ in range(int(row.get("count", 1)))]
        found = found._replace(
            rooms=tuple(int(row["cpu"]) for row in rows),
            speeds=tuple(float(row.get("speed", 1.0)) for row in rows),
        )
    if "kinds" in file:
        found = found._replace(kinds=tuple(_kind(row) for row in file["kinds"]))
    if "power" in file:
        found = found._replace(power=Power(**file["power"]))
    plain: dict[str, Any] = {
        name: tuple(value) if isinstance(value, list) else value
        for name, value in file.get("scenario", {}).items()
    }
    unknown = plain.keys() - set(Scenario._fields)
    if unknown:
        raise ValueError(f"unknown: {', '.join(sorted(unknown))}")
    return found._replace(**plain)


def _kind(row: dict[str, Any]) -> Kind:
    rules = queue(
        str(row["name"]),
        int(row.get("priority", 0)),
        int(row.get("target_ms", 60)),
        float(row.get("stretch", 1.6)),
    )
    tasks = int(row["tasks"])
    most = int(row.get("most_tasks", 4 * tasks))
    return Kind(
        rules, float(row["per_s"]), tasks, most, float(row["work_s"]), float(row.get("worth", 1.0))
    )
