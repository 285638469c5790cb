"""Counters, gauges and histograms, exported to StatsD and in Prometheus text format."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any, NamedTuple

from .settings import Settings

if TYPE_CHECKING:
    from statsd import StatsClient


class Metric(NamedTuple):
    """Kind, unit and description of a metric."""

    kind: str
    unit: str
    meaning: str


METRICS: dict[str, Metric] = {
    "requests": Metric("counter", "requests", "Jobs and single requests taken from callers."),
    "answers": Metric("counter", "answers", "Answers given, by result code."),
    "frames_out": Metric("counter", "frames", "Frames sent to peers, by message."),
    "frames_in": Metric("counter", "frames", "Frames taken from peers, by message."),
    "bytes_out": Metric("counter", "bytes", "Bytes of frames sent to peers."),
    "datagrams_out": Metric("counter", "datagrams", "Membership datagrams sent."),
    "datagram_bytes": Metric("counter", "bytes", "Bytes of membership datagrams sent."),
    "starts": Metric("counter", "tasks", "Tasks started at the endpoint."),
    "results": Metric("counter", "tasks", "Tasks that ended, by result code."),
    "wasted": Metric("counter", "messages", "Messages that led to no result, by cause."),
    "late_results": Metric("counter", "results", "Results dropped as late or repeated."),
    "retries": Metric("counter", "tasks", "Tasks placed again on proof that they did not start."),
    "take_overs": Metric("counter", "shards", "Shards taken over."),
    "handovers": Metric("counter", "shards", "Shards moved as planned."),
    "log_errors": Metric("counter", "calls", "Calls of the platform's log that failed."),
    "log_appends": Metric("counter", "records", "Records appended to the platform's log."),
    "loop_lag_ms": Metric("gauge", "ms", "How late the event loop ran its last timer."),
    "bad_frames": Metric("counter", "frames", "Frames that could not be read."),
    "ejections": Metric("counter", "agents", "Agents no longer chosen since their tasks fail."),
    "jobs_admitted": Metric("counter", "jobs", "Leased jobs taken on."),
    "jobs_joined": Metric("counter", "jobs", "Submissions that joined a job already at work."),
    "jobs_late_decided": Metric(
        "counter", "jobs", "Leased jobs kept to be served late, since they could not be in time."
    ),
    "jobs_kept_in_vain": Metric(
        "counter", "jobs", "Leased jobs given up after they were kept, by what was expected."
    ),
    "jobs_kept_by_offers": Metric(
        "counter", "jobs", "Leased jobs not refused since free capacity on offer suffices for them."
    ),
    "jobs_refused_beside_offers": Metric(
        "counter", "jobs", "Leased jobs refused while an offer had room for one of their tasks."
    ),
    "jobs_ended": Metric("counter", "jobs", "Leased jobs that ended, by outcome."),
    "job_seconds": Metric("histogram", "s", "Time from a leased job's arrival to its end."),
    "cancels": Metric("counter", "cancels", "Cancels of callers, by whether they were accepted."),
    "pauses": Metric("counter", "pauses", "Times that the process stood still for 0.25 s or more."),
    "job_locks": Metric(
        "counter", "requests", "Requests for locks of job ids, by what became of them."
    ),
    "cancelled_jobs": Metric("gauge", "jobs", "Cancelled jobs that are remembered."),
    "jobs_cancelled_before": Metric(
        "counter", "jobs", "Requests for jobs that were cancelled before they arrived."
    ),
    "runs_assigned": Metric("counter", "runs", "Runs handed to agents."),
    "runs_back": Metric("counter", "runs", "Runs that agents reported as ended, by how."),
    "runs_withdrawn": Metric("counter", "runs", "Runs taken back from agents."),
    "late_ends": Metric("counter", "runs", "Ends of runs that nothing waits for, by how."),
    "runs_started": Metric("counter", "runs", "Runs begun at the endpoint."),
    "runs_refused": Metric("counter", "runs", "Runs that an agent did not begin, by how."),
    "runs_ended": Metric("counter", "runs", "Runs that left the endpoint, by how."),
    "heartbeats_unreadable": Metric(
        "counter", "heartbeats", "Heartbeats of other writers, which name no endpoint."
    ),
    "heartbeats_overtaken": Metric(
        "counter", "heartbeats", "Heartbeats passed over, since a newer one was known."
    ),
    "runs_stopped": Metric("counter", "runs", "Runs that an agent stopped, by how."),
    "runs_stalled": Metric("counter", "runs", "Runs that made no progress."),
    "run_seconds": Metric("histogram", "s", "Time that a run took at the endpoint."),
    "starts_unanswered": Metric("counter", "starts", "Starts that the endpoint did not answer."),
    "endpoint_silences": Metric("counter", "calls", "Looks that the endpoint did not answer."),
    "link_dials_failed": Metric("counter", "dials", "Connections to peers that failed, by error."),
    "links_renewed": Metric(
        "counter", "links", "Connections opened to replace one that had gone silent."
    ),
    "links_refused": Metric("counter", "links", "Connections without a usable hello, by error."),
    "config_version": Metric("gauge", "version", "Version of the configuration in force."),
    "failure_domains_evacuated": Metric(
        "gauge", "failure domains", "Failure domains that operators evacuate."
    ),
    "endpoint_slowness_percent": Metric(
        "gauge", "percent", "Run time over expected run time at the endpoint; 0 while unknown."
    ),
    "endpoint_speed_spread_percent": Metric(
        "gauge", "percent", "Difference of the slowest and the fastest endpoint of an entry."
    ),
    "link_window_bytes": Metric(
        "gauge",
        "bytes",
        "What an entry may have on its way to agents; falls when its link is full.",
    ),
    "fallback_reads": Metric(
        "counter", "reads", "Reads of the store by an agent whose entries cannot read it."
    ),
    "configs_unreadable": Metric("counter", "configs", "Configurations that cannot be read."),
    "store_errors": Metric("counter", "calls", "Calls of the platform's store that failed."),
    "logs_dropped": Metric("counter", "lines", "Log lines dropped since nobody took them."),
}

BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0)
"""Upper bounds of the histogram buckets."""


class Histogram:
    """Histogram of durations with the bounds ``BUCKETS_S`` and an unbounded last bucket."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.sum = 0.0

    def observe(self, seconds: float) -> None:
        """Record one duration in seconds."""
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.sum += seconds

    def cumulative(self) -> list[tuple[str, float]]:
        """Return the upper bound and cumulative count of each bucket."""
        bounds = [*map(str, BUCKETS_S), "+Inf"]
        totals = [sum(self.counts[: end + 1]) for end in range(len(self.counts))]
        return [(bound, float(total)) for bound, total in zip(bounds, totals, strict=True)]


class Metrics:
    """Registry of the metrics of one process.

    Names are the keys of ``METRICS``; a labelled counter is stored as ``name.label``.

    Examples
    --------
    >>> metrics = Metrics(Settings())
    >>> metrics.count("answers", label="ok")
    >>> metrics.snapshot()
    {'answers.ok': 1}
    """

    def __init__(self, cfg: Settings) -> None:
        self._counters: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._histograms: dict[tuple[str, str], Histogram] = {}
        self._client: StatsClient | None = None
        if cfg.statsd:
            # Imported here to keep startup fast when StatsD is disabled.
            import statsd

            ip, _, port = cfg.statsd.partition(":")
            self._client = statsd.StatsClient(ip, int(port), prefix=f"gentianmux.{cfg.name}")
        self._sent: Counter[str] = Counter()

    def count(self, name: str, amount: int = 1, label: str = "") -> None:
        """Increment a counter by ``amount``."""
        self._counters[f"{name}.{label}" if label else name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to ``value``."""
        self._gauges[name] = value

    def observe(self, name: str, seconds: float, label: str = "") -> None:
        """Record a duration in seconds in a histogram."""
        self._histograms.setdefault((name, label), Histogram()).observe(seconds)

    def text(self) -> bytes:
        """Return all metrics in Prometheus text format."""
        # Imported here to save memory in processes that are never scraped.
        from prometheus_client.exposition import generate_latest

        return bytes(generate_latest(self))

    def collect(self) -> Iterator[Any]:
        """Yield metric families, as a Prometheus collector does."""
        from prometheus_client import core

        for name, metric in METRICS.items():
            full_name = f"gentianmux_{name}"
            if metric.kind == "counter":
                counter = core.CounterMetricFamily(full_name, metric.meaning, labels=["label"])
                for key, count in self._counters.items():
                    if key.partition(".")[0] == name:
                        counter.add_metric([key.partition(".")[2]], count)
                yield counter
            elif metric.kind == "gauge":
                yield core.GaugeMetricFamily(full_name, metric.meaning, self._gauges.get(name, 0))
            else:
                family = core.HistogramMetricFamily(full_name, metric.meaning, labels=["label"])
                for (metric_name, label), histogram in self._histograms.items():
                    if metric_name == name:
                        family.add_metric([label], histogram.cumulative(), histogram.sum)
                yield family

    def total(self, name: str) -> int:
        """Return the sum of a counter over its labels."""
        return sum(
            count
            for key, count in self._counters.items()
            if key == name or key.startswith(f"{name}.")
        )

    def snapshot(self) -> dict[str, float]:
        """Return all counters and gauges by name."""
        return {**self._counters, **self._gauges}

    def flush(self) -> None:
        """Send counter increments since the last call, and all gauges, to StatsD."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for key, count in self._counters.items():
                if count != self._sent[key]:
                    pipe.incr(key, count - self._sent[key])
            for key, value in self._gauges.items():
                pipe.gauge(key, value)
        self._sent = Counter(self._counters)
