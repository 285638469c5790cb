"""Guards against a log reader that blocks the process, and against missing metrics."""

import os

from gentianmux.events import MAX_LINES_PER_S, MAX_PENDING_LINES, BoundedLineWriter
from gentianmux.metrics import METRICS, Metrics
from gentianmux.settings import Settings


def writer_on_a_pipe() -> tuple[BoundedLineWriter, int, list[int]]:
    reader, writer = os.pipe()
    dropped: list[int] = []
    return BoundedLineWriter(writer, dropped.append), reader, dropped


def test_stalled_reader_drops_lines_without_blocking() -> None:
    lines, _, dropped = writer_on_a_pipe()
    for number in range(3 * MAX_PENDING_LINES):
        lines.put("x" * 200 + "\n", True, number)
        lines.write_some()
    assert dropped
    assert len(dropped) < 3 * MAX_PENDING_LINES


def test_warnings_are_exempt_from_the_rate_limit() -> None:
    lines, reader, dropped = writer_on_a_pipe()
    for _ in range(MAX_LINES_PER_S + 50):
        lines.put("i\n", False, 7)
    lines.put("warning\n", True, 7)
    assert len(dropped) == 50
    assert lines.write_some()
    assert os.read(reader, 100_000).endswith(b"warning\n")


def test_closed_reader_drops_lines_without_raising() -> None:
    lines, reader, dropped = writer_on_a_pipe()
    os.close(reader)
    lines.put("x\n", True, 1)
    assert lines.write_some()
    assert dropped == [1]


def test_metrics_text_contains_counters_gauges_and_histograms() -> None:
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
