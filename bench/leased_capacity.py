"""Slopes of leased jobs, decisions and memory by size: ``python -m bench.leased_capacity``."""

import gc
import json
import tracemalloc
from random import Random
from statistics import median
from time import process_time

from bench.processes import ROOT
from gentianmux.leased.fleet_view import FleetView
from gentianmux.leased.job_state import JobState
from gentianmux.leased.messages import AgentLoad, EndpointState
from gentianmux.leased.model import JobSpec, QueueConfig, StepSpec
from gentianmux.leased.placement_request import PlacementRequest
from gentianmux.leased.resources import Resources

RESULT = ROOT / "bench" / "results" / "leased_capacity.json"
SIZES = (11, 60, 300, 1000, 11_000)
ROUNDS = 7
DECISIONS = 200
QUEUE = QueueConfig("q", "h", "/q/", "s", 5000, 60, 0, 3, 1.6)


def fleet(agents: int) -> FleetView:
    """A view of agents with endpoints that are partly in use."""
    rng = Random(1)
    view = FleetView(0.55, rng)
    for number in range(agents):
        agent = view.get_or_add(f"side-{number}.1764690000000")
        agent.state = EndpointState(
            f"i-{number}", "s", "fd1", 16000, 65536, 0, ["a", f"r{number // 3}"], True
        )
        load = AgentLoad(
            1, 0, rng.randrange(0, 16000), 60000, 0, rng.randrange(80, 180), 1, 3, 9000
        )
        agent.apply_report(load, 1.0)
    return view


def decision_us(agents: int) -> float:
    """Processor time of placing one job of four tasks, in microseconds, median of rounds."""
    view = fleet(agents)
    request = PlacementRequest("s", Resources(1600, 64))
    took = []
    for _ in range(ROUNDS):
        began = process_time()
        for _ in range(DECISIONS):
            willing = view.eligible("s", 1.0)
            for _ in range(4):
                view.choose(request, willing)
        took.append((process_time() - began) / DECISIONS * 1e6)
    return round(median(took), 1)


def bytes_of_agents(agents: int) -> float:
    """Memory of what an entry knows of one agent, in bytes."""
    gc.collect()
    tracemalloc.start()
    view = fleet(agents)
    taken = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round(taken / len(view.agents))


def bytes_of_jobs(jobs: int, tasks: int) -> float:
    """Memory of one job at work at an entry, in bytes."""
    gc.collect()
    tracemalloc.start()
    step = StepSpec(tasks, Resources(1600, 64), 400)
    kept = [
        JobState(JobSpec(f"{number:016x}", "x" * 500, (step,)), QUEUE, 0.0, 5.0)
        for number in range(jobs)
    ]
    taken = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round(taken / len(kept))


def main() -> None:
    """Measure, print and keep the slopes."""
    rows = {
        "decision_us": {str(size): decision_us(size) for size in SIZES},
        "agent_bytes": bytes_of_agents(2000),
        "job_bytes": {str(tasks): bytes_of_jobs(500, tasks) for tasks in (2, 20, 150)},
    }
    print(json.dumps(rows, indent=1))
    RESULT.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
