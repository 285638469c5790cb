"""The ``gentianmux losses`` command."""

import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from .losses import Report, plot, report
from .output import EXIT_FAILED, EXIT_OK, Output


@cappa.command(name="losses", help="Show from decision logs which jobs were lost or late, and why.")
@dataclass
class Losses:
    """Explain losses."""

    logs: Annotated[list[Path], cappa.Arg(help="Decision logs; - for standard input.")]
    plot: Annotated[
        Path | None, cappa.Arg(long=True, help="Write an SVG of losses per second there.")
    ] = None
    as_json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False

    def __call__(self) -> int:
        """Run the command and return its exit status."""
        summary = report(_read_lines(self.logs))
        if self.plot is not None:
            self.plot.write_text(plot(summary["losses"]))
        out = Output(self.as_json)
        if self.as_json:
            out.print(summary)
        else:
            print("\n".join(_format_report(summary)))
        if not summary["queues"]:
            out.print_message("the logs hold no job that ended")
        return EXIT_OK if summary["queues"] else EXIT_FAILED


def _read_lines(logs: list[Path]) -> Iterator[str]:
    for path in logs:
        if str(path) == "-":
            yield from sys.stdin
        else:
            with path.open(errors="replace") as lines:
                yield from lines


def _format_report(summary: Report) -> Iterator[str]:
    yield f"{'queue':20} {'jobs':>6} {'response/ideal p50':>18} {'p99':>6}  outcomes"
    for queue in summary["queues"]:
        outcomes = ", ".join(f"{name} {jobs}" for name, jobs in queue["outcomes"].items())
        p50, p99 = queue["response_over_ideal_p50"], queue["response_over_ideal_p99"]
        yield f"{queue['queue']:20} {queue['jobs']:6} {p50:18.2f} {p99:6.2f}  {outcomes}"
    runs = summary["runs"]
    wasted = ", ".join(f"{name} {count}" for name, count in runs["wasted"].items()) or "none"
    yield ""
    yield (
        f"orders to run a task: {runs['per_completed_job']} a completed job, of which "
        f"{runs['wasted_per_completed_job']} led to nothing ({wasted})"
    )
    yield ""
    yield f"{'second':8} {'queue':20} {'outcome':10} {'jobs':>5}  cause and mean inputs"
    for row in summary["losses"]:
        inputs = " ".join(f"{name}={value:g}" for name, value in row["inputs"].items())
        yield (
            f"{row['second']:8} {row['queue']:20} {row['outcome']:10} {row['jobs']:5}  "
            f"{row['cause']} {inputs}".rstrip()
        )
    if summary["unreadable_lines"]:
        yield f"{summary['unreadable_lines']} lines could not be read"
