"""The decision log: bounded, and never waiting for whoever reads it."""

import os

from gentianmux.events import MAX_LINES_PER_S, MAX_WAITING_LINES, BoundedLines
from gentianmux.metrics import METRICS, Metrics
from gentianmux.settings import Settings


def lines_on_a_pipe() -> tuple[BoundedLines, int, list[int]]:
    reader, writer = os.pipe()
    dropped: list[int] = []
    return BoundedLines(writer, dropped.append), reader, dropped


def test_a_reader_that_takes_nothing_costs_lines_and_no_time() -> None:
    lines, _, dropped = lines_on_a_pipe()
    for number in range(3 * MAX_WAITING_LINES):
        lines.put("x" * 200 + "\n", True, number)
        lines.write_some()
    assert dropped
    assert len(dropped) < 3 * MAX_WAITING_LINES


def test_more_lines_than_the_rate_allows_leave_room_for_warnings() -> None:
    lines, reader, dropped = lines_on_a_pipe()
    for _ in range(MAX_LINES_PER_S + 50):
        lines.put("i\n", False, 7)
    lines.put("warning\n", True, 7)
    assert len(dropped) == 50
    assert lines.write_some()
    assert os.read(reader, 100_000).endswith(b"warning\n")


def test_a_closed_reader_ends_nothing() -> None:
    lines, reader, dropped = lines_on_a_pipe()
    os.close(reader)
    lines.put("x\n", True, 1)
    assert lines.write_some()
    assert dropped == [1]


def test_metrics_as_text_hold_counters_gauges_and_histograms() -> None:
    metrics = Metrics(Settings())
    metrics.count("jobs_ended", label="failed")
    metrics.gauge("config_version", 4)
    metrics.observe("job_seconds", 0.3, label="q")
    text = metrics.text().decode()
    assert 'gentianmux_jobs_ended_total{label="failed"} 1.0' in text
    assert "gentianmux_config_version 4.0" in text
    assert 'gentianmux_job_seconds_bucket{label="q",le="0.5"} 1.0' in text
    assert 'gentianmux_job_seconds_bucket{label="q",le="0.25"} 0.0' in text
    assert all(f"gentianmux_{name}" in text for name in METRICS)
