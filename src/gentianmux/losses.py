"""Reads decision logs and says which jobs were lost or late, when, and by which decision."""

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any, NamedTuple, TypedDict

from .leased.job_state import USEFUL_OBJECTIVE_FACTOR

NEAR_IDEAL = 1.15
"""Multiple of its longest run up to which a job was in time whatever its objective says: that rests
on an estimate which may be 40 % too low, and no queue allows less than its work."""

NO_INPUTS: dict[str, Any] = {}

_KEPT_INPUTS = ("ahead_cpu_s", "capacity_cpu", "begins_in_ms", "slack_ms", "useful_ms")
_DECISIONS = ("refusal decided", "late service decided")
_WASTED = ("run not begun", "run stopped", "a start was not answered", "start refused")


class Event(NamedTuple):
    """One line of a decision log."""

    at: float
    name: str
    fields: dict[str, Any]


class JobEnd(NamedTuple):
    """How a job ended, and the decision that made it so."""

    at: float
    queue: str
    outcome: str
    cause: str
    took_ms: float
    ideal_ms: float
    inputs: dict[str, Any]

    @property
    def is_loss(self) -> bool:
        """Whether its caller got less than an answer in time."""
        return self.outcome != "in time"


class LossRow(TypedDict):
    """Jobs of one second and queue that were lost alike, with the mean of what decided it."""

    second: str
    queue: str
    outcome: str
    cause: str
    jobs: int
    inputs: dict[str, float]


class QueueRow(TypedDict):
    """Jobs of one queue: how many, how they ended, and response over ideal."""

    queue: str
    jobs: int
    outcomes: dict[str, int]
    response_over_ideal_p50: float
    response_over_ideal_p99: float


class RunRow(TypedDict):
    """What became of orders to run tasks, each a message."""

    begun: int
    done: int
    wasted: dict[str, int]
    per_completed_job: float
    wasted_per_completed_job: float


class Report(TypedDict):
    """All that is known of the losses in some logs."""

    queues: list[QueueRow]
    losses: list[LossRow]
    runs: RunRow
    unreadable_lines: int


class LogReader:
    """Turns lines into events and counts those that are none.

    A collector may have put words of its own before the JSON of a line.

    Examples
    --------
    >>> reader = LogReader()
    >>> [each.name for each in reader.events(['w1 {"time": "2026-01-01T00:00:00", "event": "x"}'])]
    ['x']
    """

    def __init__(self) -> None:
        self.unreadable = 0

    def events(self, lines: Iterable[str]) -> Iterator[Event]:
        """Every event of some lines, in their order."""
        for line in lines:
            start = line.find("{")
            if start < 0:
                self.unreadable += bool(line.strip())
                continue
            try:
                fields = json.loads(line[start:])
                at = datetime.fromisoformat(fields["time"]).timestamp()
                yield Event(at, str(fields["event"]), fields)
            except (ValueError, KeyError, TypeError):
                self.unreadable += 1


def report(lines: Iterable[str]) -> Report:
    """Read decision logs of any processes, in any order.

    Parameters
    ----------
    lines : iterable get_or_add str
        Lines of all logs.

    Returns
    -------
    Report
        Empty where the logs hold no job.
    """
    reader = LogReader()
    # Of lines of the same millisecond a job's end is the last.
    found = sorted(reader.events(lines), key=lambda e: (e.at, e.name == "job ended"))
    ends = list(job_ends(found))
    return Report(
        queues=list(_queue_rows(ends)),
        losses=list(_loss_rows(end for end in ends if end.is_loss)),
        runs=_runs(found, sum(end.outcome in ("in time", "late") for end in ends)),
        unreadable_lines=reader.unreadable,
    )


def job_ends(found: list[Event]) -> Iterator[JobEnd]:
    """How each job ended; ``found`` holds the events of entries and agents by time."""
    longest_ms = _longest_runs(found)
    decided: dict[str, Event] = {}
    came_back: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for event in found:
        fields = event.fields
        if event.name in _DECISIONS:
            decided[fields["job"]] = event
        elif event.name == "run came back":
            came_back[_job_of(fields)][fields["how"]] += 1
        elif event.name == "job ended":
            job = fields["job"]
            ideal_ms = longest_ms.get(job, 0.0)
            yield _end(event, decided.pop(job, None), came_back.pop(job, Counter()), ideal_ms)


def _longest_runs(found: Iterable[Event]) -> dict[str, float]:
    """Longest run of each job in ms; agents' clocks may be ahead of the entry's."""
    longest_ms: defaultdict[str, float] = defaultdict(float)
    for event in found:
        if event.name == "run ended" and event.fields.get("how") == "done":
            job = _job_of(event.fields)
            longest_ms[job] = max(longest_ms[job], event.fields["ran_ms"])
    return longest_ms


def _job_of(fields: dict[str, Any]) -> str:
    return str(fields["task"]).partition(".")[0]


def _end(event: Event, decision: Event | None, came_back: Counter[str], ideal_ms: float) -> JobEnd:
    fields = event.fields
    outcome = _outcome(fields, ideal_ms)
    inputs = {
        name: decision.fields[name]
        for name in _KEPT_INPUTS
        if decision is not None and name in decision.fields
    }
    cause = _cause(fields, outcome, decision, came_back)
    return JobEnd(
        event.at, fields["queue"], outcome, cause, fields["took_ms"], ideal_ms, inputs or NO_INPUTS
    )


def _outcome(fields: dict[str, Any], ideal_ms: float) -> str:
    took_ms, objective_ms = fields["took_ms"], fields["objective_ms"]
    if fields["outcome"] != "completed":
        return str(fields["outcome"]).replace("_", " ")
    if took_ms <= max(objective_ms, NEAR_IDEAL * ideal_ms):
        return "in time"
    return "late" if took_ms <= USEFUL_OBJECTIVE_FACTOR * objective_ms else "too late"


def _cause(
    fields: dict[str, Any], outcome: str, decision: Event | None, came_back: Counter[str]
) -> str:
    if outcome not in ("late", "too late"):
        return str(fields["reason"])
    if came_back:
        return f"runs came back: {came_back.most_common(1)[0][0]}"
    if decision is not None:
        return decision.name
    return "waited"


def _loss_rows(ends: Iterable[JobEnd]) -> Iterator[LossRow]:
    groups: defaultdict[tuple[int, str, str, str], list[JobEnd]] = defaultdict(list)
    for end in ends:
        groups[int(end.at), end.queue, end.outcome, _general(end.cause)].append(end)
    for (second, queue, outcome, cause), group in sorted(groups.items()):
        yield LossRow(
            second=datetime.fromtimestamp(second).strftime("%H:%M:%S"),
            queue=queue,
            outcome=outcome,
            cause=cause,
            jobs=len(group),
            inputs=_means(group),
        )


def _general(cause: str) -> str:
    """A cause without the task that it names."""
    return "a task failed too often" if cause.endswith("failed too often") else cause


def _means(group: list[JobEnd]) -> dict[str, float]:
    names = {name for end in group for name in end.inputs}
    found = {name: [e.inputs[name] for e in group if name in e.inputs] for name in sorted(names)}
    return {name: round(sum(values) / len(values), 1) for name, values in found.items()}


def _queue_rows(ends: Iterable[JobEnd]) -> Iterator[QueueRow]:
    by_queue: defaultdict[str, list[JobEnd]] = defaultdict(list)
    for end in ends:
        by_queue[end.queue].append(end)
    for queue, group in sorted(by_queue.items()):
        ratios = sorted(
            end.took_ms / end.ideal_ms
            for end in group
            if end.ideal_ms and end.outcome in ("in time", "late", "too late")
        )
        yield QueueRow(
            queue=queue,
            jobs=len(group),
            outcomes=dict(sorted(Counter(end.outcome for end in group).items())),
            response_over_ideal_p50=_quantile(ratios, 0.5),
            response_over_ideal_p99=_quantile(ratios, 0.99),
        )


def _quantile(ascending: list[float], share: float) -> float:
    if not ascending:
        return 0.0
    return round(ascending[min(len(ascending) - 1, int(share * len(ascending)))], 2)


def _runs(found: list[Event], completed: int) -> RunRow:
    names = Counter(event.name for event in found)
    done = sum(e.name == "run ended" and e.fields.get("how") == "done" for e in found)
    wasted = {name: names[name] for name in _WASTED if names[name]}
    orders = names["run begun"] + names["run not begun"]
    return RunRow(
        begun=names["run begun"],
        done=done,
        wasted=wasted,
        per_completed_job=round(orders / max(1, completed), 2),
        wasted_per_completed_job=round(sum(wasted.values()) / max(1, completed), 2),
    )


_COLOURS = {
    "late": "#e0a000",
    "too late": "#c06000",
    "not run": "#c00000",
    "unknown": "#600080",
    "failed": "#404040",
    "cancelled": "#909090",
}
_BAR, _HEIGHT, _LEFT = 8, 200, 40


def plot(rows: list[LossRow]) -> str:
    """Lost and late jobs per second as an SVG of stacked bars, one colour an outcome."""
    per_second: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for row in rows:
        per_second[row["second"]][row["outcome"]] += row["jobs"]
    most = max((sum(counts.values()) for counts in per_second.values()), default=1)
    width = _LEFT + _BAR * len(per_second) + 120
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{_HEIGHT + 60}">']
    for number, (second, counts) in enumerate(per_second.items()):
        parts += _bar(_LEFT + _BAR * number, second, counts, most)
    for number, (outcome, colour) in enumerate(_COLOURS.items()):
        at = f'x="{width - 100}" y="{20 + 16 * number}"'
        parts.append(f'<text {at} font-size="12" fill="{colour}">{outcome}</text>')
    parts.append(f'<text x="2" y="20" font-size="12">{most} jobs</text>')
    return "\n".join([*parts, "</svg>\n"])


def _bar(x: int, second: str, counts: Counter[str], most: int) -> Iterator[str]:
    top = float(_HEIGHT + 20)
    for outcome, jobs in sorted(counts.items()):
        height = _HEIGHT * jobs / most
        top -= height
        colour = _COLOURS.get(outcome, "#000")
        title = f"<title>{second} {outcome} {jobs}</title>"
        area = f'x="{x}" y="{top:.1f}" width="{_BAR - 1}" height="{height:.1f}"'
        yield f'<rect {area} fill="{colour}">{title}</rect>'
