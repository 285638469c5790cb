"""Reports from decision logs which jobs were lost or late, when, and which decision caused it."""

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any, NamedTuple, TypedDict

from .leased.job_state import USEFUL_OBJECTIVE_FACTOR

IN_TIME_IDEAL_RATIO = 1.15
"""Response time over longest run up to which a job is in time, whatever its objective.

An objective derives from an estimate that may be too low, and no queue grants less time than the
work of a job takes.
"""

EMPTY_INPUTS: dict[str, Any] = {}

_INPUT_FIELDS = ("ahead_cpu_s", "capacity_cpu", "begins_in_ms", "slack_ms", "useful_ms")
_DECISION_EVENTS = ("refusal decided", "late service decided")
_WASTED_RUN_EVENTS = ("run not begun", "run stopped", "a start was not answered", "start refused")


class Event(NamedTuple):
    """One event of a decision log; ``at`` is in seconds since the epoch."""

    at: float
    name: str
    fields: dict[str, Any]


class JobEnd(NamedTuple):
    """The outcome of a job and its cause, with the inputs of the decision behind it."""

    at: float
    queue: str
    outcome: str
    cause: str
    took_ms: float
    ideal_ms: float
    inputs: dict[str, Any]

    @property
    def is_loss(self) -> bool:
        """Whether the caller did not get a result in time."""
        return self.outcome != "in time"


class LossRow(TypedDict):
    """Lost or late jobs with the same second, queue, outcome and cause, and their mean inputs."""

    second: str
    queue: str
    outcome: str
    cause: str
    jobs: int
    inputs: dict[str, float]


class QueueRow(TypedDict):
    """Jobs of one queue: count, outcomes, and the ratio of response time to longest run."""

    queue: str
    jobs: int
    outcomes: dict[str, int]
    response_over_ideal_p50: float
    response_over_ideal_p99: float


class RunRow(TypedDict):
    """Results of the requests to run tasks; each request is one message."""

    begun: int
    done: int
    wasted: dict[str, int]
    per_completed_job: float
    wasted_per_completed_job: float


class Report(TypedDict):
    """Losses, queues and runs found in a set of logs."""

    queues: list[QueueRow]
    losses: list[LossRow]
    runs: RunRow
    unreadable_lines: int


class LogReader:
    """Parses log lines into events and counts the lines that hold none.

    Text before the JSON object of a line, such as a log collector's prefix, is skipped.

    Examples
    --------
    >>> reader = LogReader()
    >>> [e.name for e in reader.events(['w1 {"time": "2026-01-01T00:00:00", "event": "x"}'])]
    ['x']
    """

    def __init__(self) -> None:
        self.unreadable = 0

    def events(self, lines: Iterable[str]) -> Iterator[Event]:
        """Yield the events of ``lines`` in order."""
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
    """Build a report from the decision logs of any processes, in any order.

    Parameters
    ----------
    lines : iterable of str
        Lines of all logs together.

    Returns
    -------
    Report
        ``queues`` and ``losses`` are empty if no job ended in the logs.
    """
    reader = LogReader()
    # Timestamps have millisecond resolution: on a tie, a job ends after its other events.
    log_events = sorted(reader.events(lines), key=lambda e: (e.at, e.name == "job ended"))
    ends = list(job_ends(log_events))
    return Report(
        queues=list(_queue_rows(ends)),
        losses=list(_loss_rows(end for end in ends if end.is_loss)),
        runs=_runs(log_events, sum(end.outcome in ("in time", "late") for end in ends)),
        unreadable_lines=reader.unreadable,
    )


def job_ends(log_events: list[Event]) -> Iterator[JobEnd]:
    """Yield how each job ended; ``log_events`` holds the events of entries and agents by time."""
    longest_ms = _longest_runs(log_events)
    decisions: dict[str, Event] = {}
    returned_runs: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for event in log_events:
        fields = event.fields
        if event.name in _DECISION_EVENTS:
            decisions[fields["job"]] = event
        elif event.name == "run came back":
            returned_runs[_job_id(fields)][fields["how"]] += 1
        elif event.name == "job ended":
            job = fields["job"]
            ideal_ms = longest_ms.get(job, 0.0)
            yield _job_end(
                event, decisions.pop(job, None), returned_runs.pop(job, Counter()), ideal_ms
            )


def _longest_runs(log_events: Iterable[Event]) -> dict[str, float]:
    """Longest run of each job in ms.

    Scans all events beforehand: an agent's clock may be ahead of the entry's, which sorts the end
    of a run after the end of its job.
    """
    longest_ms: defaultdict[str, float] = defaultdict(float)
    for event in log_events:
        if event.name == "run ended" and event.fields.get("how") == "done":
            job = _job_id(event.fields)
            longest_ms[job] = max(longest_ms[job], event.fields["ran_ms"])
    return longest_ms


def _job_id(fields: dict[str, Any]) -> str:
    return str(fields["task"]).partition(".")[0]


def _job_end(
    event: Event, decision: Event | None, returned_runs: Counter[str], ideal_ms: float
) -> JobEnd:
    fields = event.fields
    outcome = _outcome(fields, ideal_ms)
    inputs = {
        name: decision.fields[name]
        for name in _INPUT_FIELDS
        if decision is not None and name in decision.fields
    }
    cause = _cause(fields, outcome, decision, returned_runs)
    return JobEnd(
        event.at,
        fields["queue"],
        outcome,
        cause,
        fields["took_ms"],
        ideal_ms,
        inputs or EMPTY_INPUTS,
    )


def _outcome(fields: dict[str, Any], ideal_ms: float) -> str:
    took_ms, objective_ms = fields["took_ms"], fields["objective_ms"]
    if fields["outcome"] != "completed":
        return str(fields["outcome"]).replace("_", " ")
    if took_ms <= max(objective_ms, IN_TIME_IDEAL_RATIO * ideal_ms):
        return "in time"
    return "late" if took_ms <= USEFUL_OBJECTIVE_FACTOR * objective_ms else "too late"


def _cause(
    fields: dict[str, Any], outcome: str, decision: Event | None, returned_runs: Counter[str]
) -> str:
    if outcome not in ("late", "too late"):
        return str(fields["reason"])
    if returned_runs:
        return f"runs came back: {returned_runs.most_common(1)[0][0]}"
    if decision is not None:
        return decision.name
    return "waited"


def _loss_rows(ends: Iterable[JobEnd]) -> Iterator[LossRow]:
    groups: defaultdict[tuple[int, str, str, str], list[JobEnd]] = defaultdict(list)
    for end in ends:
        groups[int(end.at), end.queue, end.outcome, _without_task_name(end.cause)].append(end)
    for (second, queue, outcome, cause), group in sorted(groups.items()):
        yield LossRow(
            second=datetime.fromtimestamp(second).strftime("%H:%M:%S"),
            queue=queue,
            outcome=outcome,
            cause=cause,
            jobs=len(group),
            inputs=_mean_inputs(group),
        )


def _without_task_name(cause: str) -> str:
    """Drop the task name from a cause, so that equal causes share a group."""
    return "a task failed too often" if cause.endswith("failed too often") else cause


def _mean_inputs(group: list[JobEnd]) -> dict[str, float]:
    names = {name for end in group for name in end.inputs}
    values_by_name = {
        name: [e.inputs[name] for e in group if name in e.inputs] for name in sorted(names)
    }
    return {name: round(sum(values) / len(values), 1) for name, values in values_by_name.items()}


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


def _runs(log_events: list[Event], completed: int) -> RunRow:
    names = Counter(event.name for event in log_events)
    done = sum(e.name == "run ended" and e.fields.get("how") == "done" for e in log_events)
    wasted = {name: names[name] for name in _WASTED_RUN_EVENTS if names[name]}
    requests = names["run begun"] + names["run not begun"]
    return RunRow(
        begun=names["run begun"],
        done=done,
        wasted=wasted,
        per_completed_job=round(requests / max(1, completed), 2),
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
_BAR_WIDTH_PX, _PLOT_HEIGHT_PX, _LEFT_MARGIN_PX = 8, 200, 40


def plot(rows: list[LossRow]) -> str:
    """Render lost and late jobs per second as an SVG of stacked bars, coloured by outcome."""
    per_second: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for row in rows:
        per_second[row["second"]][row["outcome"]] += row["jobs"]
    max_jobs = max((sum(counts.values()) for counts in per_second.values()), default=1)
    width = _LEFT_MARGIN_PX + _BAR_WIDTH_PX * len(per_second) + 120
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{_PLOT_HEIGHT_PX + 60}">'
    ]
    for number, (second, counts) in enumerate(per_second.items()):
        parts += _bar(_LEFT_MARGIN_PX + _BAR_WIDTH_PX * number, second, counts, max_jobs)
    for number, (outcome, colour) in enumerate(_COLOURS.items()):
        position = f'x="{width - 100}" y="{20 + 16 * number}"'
        parts.append(f'<text {position} font-size="12" fill="{colour}">{outcome}</text>')
    parts.append(f'<text x="2" y="20" font-size="12">{max_jobs} jobs</text>')
    return "\n".join([*parts, "</svg>\n"])


def _bar(x: int, second: str, counts: Counter[str], max_jobs: int) -> Iterator[str]:
    top = float(_PLOT_HEIGHT_PX + 20)
    for outcome, jobs in sorted(counts.items()):
        height = _PLOT_HEIGHT_PX * jobs / max_jobs
        top -= height
        colour = _COLOURS.get(outcome, "#000")
        title = f"<title>{second} {outcome} {jobs}</title>"
        area = f'x="{x}" y="{top:.1f}" width="{_BAR_WIDTH_PX - 1}" height="{height:.1f}"'
        yield f'<rect {area} fill="{colour}">{title}</rect>'
