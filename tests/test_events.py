"""Guards against a log reader that blocks the process, and against missing metrics."""

import os

from gentianmux.events import MAX_LINES_PER_S, MAX_PENDING_LINES, BoundedLineWriter
from gentianmux.metrics import METRICS, Metrics
from gentianmux.settings import Settings


def writer_on_a_pipe() -> tuple[BoundedLineWriter, int, list[int]]:
    reader, writer = os.pipe()
    dropped: list[int] = []
    return BoundedLineWriter(writer, dropped.append), reader, dropped


def read_present(reader: int, limit: int = 1 << 20) -> bytes:
    """Read what is in a pipe, up to a limit, without waiting for more."""
    os.set_blocking(reader, False)
    try:
        return os.read(reader, limit)
    except BlockingIOError:
        return b""


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


def test_slow_reader_does_not_lift_the_bound_on_pending_lines() -> None:
    """Guards against lines that wait without bound, after a write that took a part of them."""
    writer, reader, dropped = writer_on_a_pipe()
    line = "x" * 300 + "\n"
    put = 0
    read = b""
    for second in range(1, 60):
        for _ in range(MAX_LINES_PER_S):
            writer.put(line, urgent=True, second=second)
            put += 1
        writer.write_some()
        read += read_present(reader, 4096)
    assert len(writer._pending) <= MAX_PENDING_LINES
    while writer._pending or writer._unwritten:
        writer.write_some()
        read += read_present(reader)
    read += read_present(reader)
    assert read == line.encode() * (put - sum(dropped))
    assert sum(dropped) > put / 2


def test_every_line_is_counted_as_dropped_when_the_reader_closes() -> None:
    """Guards against lines that vanish uncounted, behind one that was written in part."""
    writer, reader, dropped = writer_on_a_pipe()
    for _ in range(1000):
        writer.put("x" * 300 + "\n", urgent=True, second=1)
    assert writer.write_some()
    written = len(read_present(reader)) // 301
    os.close(reader)
    assert writer.write_some()
    assert written + sum(dropped) == 1000
