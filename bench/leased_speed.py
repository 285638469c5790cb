"""Processor time of an entry per job, by backlog and agents: ``python -m bench.leased_speed``.

A real entry stands between fakes that cost nothing. Endpoints are full: each report brings the ends
of four runs and the room for four others, and a job of eight tasks comes with every second report,
so the backlog stays as long as it was. Messages are encoded and decoded and log lines written as in
a process. Figures are multiples of a fixed piece of Python that is timed beside them, so that they
can be compared between machines.
"""

import argparse
import json
from collections import deque
from random import Random
from statistics import median
from time import process_time
from typing import Any

from loguru import logger

from bench.processes import ROOT
from gentianmux.clock import Clock
from gentianmux.codec import decode, encode
from gentianmux.events import _JsonSink
from gentianmux.leased.config_feed import ConfigFeed, ConfigSource
from gentianmux.leased.entry import Entry
from gentianmux.leased.entry_view import EntryView
from gentianmux.leased.fleet_view import FleetView
from gentianmux.leased.messages import AgentLoad, Assign, EndedRun, EndedRuns, EndpointState
from gentianmux.leased.model import (
    JobConfig,
    JobSpec,
    QueueConfig,
    RequestLimits,
    RunOutcome,
    StepSpec,
)
from gentianmux.leased.resources import Resources
from gentianmux.messages import PROTOCOL_VERSION, Hello, Message
from gentianmux.metrics import Metrics
from gentianmux.platform_log import MemoryKeyedLog
from gentianmux.settings import Settings

RESULT = ROOT / "bench" / "results" / "leased_speed.json"
BACKLOGS = (10, 100, 1000)
AGENTS = (10, 60, 160, 1000)
USUAL_AGENTS, USUAL_BACKLOG = 60, 200
TASKS, PER_REPORT = 8, 4
NEED = Resources(1200, 64)
PAYLOAD = "0123456789abcdef" * 150
# So patient that nothing is refused: what is timed is waiting and placing.
QUEUE = QueueConfig("q", "h", "/q/", "s", 5000, 60, 0, 3, 1e5)
JOBS = 60
FAR_FUTURE = 1e9
ROUNDS = 5


class VirtualClock(Clock):
    """Time that stands still but for the driver, which also makes the deferred calls."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 100.0
        self.due: deque[tuple[Any, tuple[Any, ...]]] = deque()

    def now(self) -> float:
        return self.time

    def call_later(self, delay_s: float, call: Any, *args: Any) -> None:
        self.due.append((call, args))

    def call_soon(self, call: Any, *args: Any) -> None:
        self.due.append((call, args))

    def run_due(self) -> None:
        """Make every deferred call."""
        while self.due:
            call, args = self.due.popleft()
            call(*args)


class CountingLinks:
    """Encodes what is sent, and keeps the runs that were assigned."""

    def __init__(self, names: list[str]) -> None:
        self.me = Hello(PROTOCOL_VERSION, "e0.1", "entry", "")
        self.names = names
        self.frames = self.bytes = 0
        self.assigned: dict[str, deque[tuple[str, int]]] = {name: deque() for name in names}
        self.numbers = dict.fromkeys(names, 0)

    def processes(self) -> list[str]:
        return self.names

    def send(self, process: str, msg: Message) -> bool:
        self.frames += 1
        self.bytes += len(encode(msg))
        if isinstance(msg, Assign):
            self.numbers[process] = msg.number
            self.assigned[process] += [(task.name, task.run) for task in msg.tasks]
        return True

    def close_idle(self) -> None:
        return


class Driver:
    """Plays the agents and callers of one entry."""

    def __init__(self, agents: int, backlog: int) -> None:
        self.clock = VirtualClock()
        names = [f"w{number}.1764690000000" for number in range(agents)]
        self.links = CountingLinks(names)
        self.view = FleetView(0.55, Random(1))
        config = JobConfig(1, (QUEUE,), RequestLimits(), b"1")
        source = ConfigSource("config", "config", lambda raw: config, "evacuate/")
        feed = ConfigFeed(source, MemoryKeyedLog(), Metrics(Settings()), self.clock)
        feed.current = config
        args = (self.view, self.links, feed, Metrics(Settings()), self.clock)
        self.entry = Entry(*args)  # type: ignore[arg-type]
        self.entry.locks.replica.vote_at_once()
        self.entry.views.announced.add("e0")
        self.entry.views.on_store_read(FAR_FUTURE)
        self.entry.views.apply_if_newer(EntryView(1, ("e0",), ("e0",)), "store")
        self.reports = dict.fromkeys(names, 0)
        self.ends = self.jobs = 0
        for number, name in enumerate(names):
            self.entry._on_open(Hello(PROTOCOL_VERSION, name, "agent", f"10.0.0.1:{number}"))
            state = EndpointState(f"i-{number}", "s", "fd", 16000, 65536, 0, ["a"], True)
            self.take(name, state)
            self.report(name, 16000)
        while len(self.entry._ctx.backlog) < backlog:
            self.submit()

    def take(self, name: str, msg: Message) -> None:
        self.entry.on_message(decode(encode(msg)), name)
        self.clock.run_due()

    def report(self, name: str, cpu: int) -> None:
        self.reports[name] += 1
        number, applied = self.reports[name], self.links.numbers[name]
        self.take(name, AgentLoad(number, applied, cpu, 60000, 0, 100, 1, 5, 10**9))

    def submit(self) -> None:
        self.jobs += 1
        spec = JobSpec(f"{self.jobs:016x}", PAYLOAD, (StepSpec(TASKS, NEED, 120),))
        self.entry.submit(spec, QUEUE, 1000.0)
        self.clock.run_due()

    def end_some(self, name: str) -> None:
        """End four runs of an agent, and report the room that they leave."""
        runs = self.links.assigned[name]
        rows: list[EndedRun] = []
        while runs and len(rows) < PER_REPORT:
            self.ends += 1
            rows.append(EndedRun(self.ends, *runs.popleft(), int(RunOutcome.DONE), 120))
        if rows:
            self.take(name, EndedRuns(rows))
            self.report(name, len(rows) * NEED.cpu)

    def play(self, jobs: int) -> None:
        """Let time pass until so many jobs have come."""
        names = self.links.names
        for number in range(jobs * TASKS // PER_REPORT):
            self.clock.time += 0.001
            if number % 100 == 0:
                # The others were heard of as well.
                for name in names:
                    self.view.get_or_add(name).last_heard_at = self.clock.time
            self.end_some(names[number % len(names)])
            if number % (TASKS // PER_REPORT) == 0:
                self.submit()
            if number % 10 == 0:
                self.entry.tick()
                self.clock.run_due()


def reference_s() -> float:
    """Processor time of a fixed piece of Python."""
    began = process_time()
    found: dict[int, str] = {}
    for number in range(20_000):
        found[number % 997] = str(number)
        sorted((number, 3, 1))
    return process_time() - began


def cost_of_a_job(agents: int, backlog: int) -> float:
    """Processor time of a job, as a part of the fixed piece's, median of rounds."""
    driver = Driver(agents, backlog)
    driver.play(JOBS)
    ratios = []
    for _ in range(ROUNDS):
        reference = reference_s()
        began = process_time()
        driver.play(JOBS)
        ratios.append((process_time() - began) / JOBS / reference)
    return round(median(ratios), 4)


def main() -> None:
    """Measure, print, and with ``--keep`` write the figures beside those of other versions."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", default="", help="name under which the figures are kept")
    keep = parser.parse_args().keep
    logger.remove()
    logger.add(
        _JsonSink("entry", lambda line, urgent, second: None), level="INFO", format="{message}"
    )
    rows: dict[str, Any] = {
        "by_backlog": {str(n): cost_of_a_job(USUAL_AGENTS, n) for n in BACKLOGS},
        "by_agents": {str(n): cost_of_a_job(n, USUAL_BACKLOG) for n in AGENTS},
        "reference_ms": round(median(reference_s() for _ in range(9)) * 1000, 2),
    }
    print(json.dumps(rows, indent=1))
    if keep:
        kept = json.loads(RESULT.read_text()) if RESULT.exists() else {}
        RESULT.write_text(json.dumps({**kept, keep: rows}, indent=1) + "\n")


if __name__ == "__main__":
    main()
