"""Guards the loss report against misclassified jobs and unreadable log lines."""

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianmux.cli import main
from gentianmux.losses import LogReader, plot, report


def line(second: float, event: str, **fields: Any) -> str:
    time = f"2026-01-01T00:00:{second:06.3f}+00:00"
    return json.dumps({"time": time, "event": event, **fields})


def ended(second: float, job: str, outcome: str, took_ms: int, **fields: Any) -> str:
    defaults = {"queue": "q", "objective_ms": 200, "reason": "every task is done"}
    return line(
        second, "job ended", job=job, outcome=outcome, took_ms=took_ms, **{**defaults, **fields}
    )


LOG = [
    line(1.0, "run begun", task="a.0.0.0"),
    line(1.1, "run ended", task="a.0.0.0", how="done", ran_ms=100),
    ended(1.1, "a", "completed", 110),
    line(2.0, "run not begun", task="b.0.0.0", how="no_room"),
    line(2.0, "late service decided", job="b", slack_ms=-5, useful_ms=90),
    line(2.1, "run begun", task="b.0.0.0"),
    line(2.3, "run ended", task="b.0.0.0", how="done", ran_ms=100),
    ended(2.4, "b", "completed", 400),
    "front-1 | "
    + line(2.5, "refusal decided", job="c", ahead_cpu_s=4.0, capacity_cpu=10.0, slack_ms=30),
    ended(2.5, "c", "not_run", 40, reason="cannot be in time"),
    line(2.6, "refusal decided", job="d", ahead_cpu_s=8.0, capacity_cpu=10.0, slack_ms=30),
    ended(2.6, "d", "not_run", 40, reason="cannot be in time"),
    line(3.0, "run came back", task="e.0.0.0", how="lost"),
    ended(3.2, "e", "completed", 900),
    line(3.2, "run ended", task="f.0.0.0", how="done", ran_ms=290),
    ended(3.3, "f", "completed", 300),
    "no json at all",
    '{"time": "not a time", "event": "x"}',
]


def test_losses_are_grouped_by_outcome_and_cause_with_mean_inputs():
    found = report(LOG)
    rows = {(r["outcome"], r["cause"]): r for r in found["losses"]}
    assert set(rows) == {
        ("late", "late service decided"),
        ("not run", "cannot be in time"),
        ("too late", "runs came back: lost"),
    }
    refused = rows["not run", "cannot be in time"]
    assert refused["jobs"] == 2
    assert refused["inputs"] == {"ahead_cpu_s": 6.0, "capacity_cpu": 10.0, "slack_ms": 30.0}
    assert found["unreadable_lines"] == 2


def test_run_longer_than_its_estimate_is_not_counted_as_a_loss():
    (queue,) = report(LOG)["queues"]
    assert queue["outcomes"] == {"in time": 2, "late": 1, "not run": 2, "too late": 1}
    assert queue["response_over_ideal_p50"] == pytest.approx(1.1)
    assert queue["response_over_ideal_p99"] == pytest.approx(4.0)


def test_wasted_runs_are_counted_separately():
    runs = report(LOG)["runs"]
    assert runs["wasted"] == {"run not begun": 1}
    assert runs["per_completed_job"] == 1.0
    assert runs["wasted_per_completed_job"] == pytest.approx(0.33)


def test_report_does_not_depend_on_line_order():
    assert report(reversed(LOG)) == report(LOG)


@given(st.lists(st.text(max_size=80), max_size=20))
def test_lines_without_events_are_skipped_and_counted(lines: list[str]) -> None:
    reader = LogReader()
    assert list(reader.events(lines)) == []
    assert reader.unreadable <= len(lines)


def test_command_prints_table_or_json_and_writes_plot(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log, svg = tmp_path / "entry.log", tmp_path / "losses.svg"
    log.write_text("\n".join(LOG))
    with pytest.raises(SystemExit) as stopped:
        main(["losses", str(log), "--plot", str(svg)])
    assert stopped.value.code == 0
    assert "cannot be in time ahead_cpu_s=6" in capsys.readouterr().out
    assert svg.read_text() == plot(report(LOG)["losses"])
    assert svg.read_text().count("<rect") == 3
    with pytest.raises(SystemExit):
        main(["losses", str(log), "--json"])
    assert json.loads(capsys.readouterr().out) == report(LOG)


def test_missing_or_empty_log_exits_with_an_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    for path in (tmp_path / "missing.log", tmp_path / "empty.log"):
        if path.name == "empty.log":
            path.write_text("")
        with pytest.raises(SystemExit) as stopped:
            main(["losses", str(path)])
        assert stopped.value.code == 1
        assert capsys.readouterr().err
