"""An entry is killed while executors leave half of their orders unanswered.

Agents go on renewing the leases of their executors while stops are not confirmed, so some runs of
the dead entry outlive the time after which the client hands the job in again at another entry.
"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    Client,
    Deployment,
    concurrent_runs,
    job_body,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
JOB_IDS = ("5c0e7a21d94b36f8", "91d2f04be87c35a6")
TASKS = 92
TASK_CPU = 250
"""Together the tasks take 46 of the 48 cores of three executors."""

STARTED_RUNS = 150
"""Runs to wait for; a few tasks may have to wait for resources."""

WORK_MS = 5000
DEADLINE_MS = 15_000

LATE_SHARE = 0.5
"""Share of the orders that get no response; the default dose of this disruption."""

LATE_ORDERS_S = 4.0


async def case(deployment: Deployment, trouble: bool) -> list[str]:
    """Play the case and return how the rule was broken."""
    record = deployment.record
    first, second = deployment.fronts
    entries = [(name, deployment.address(name, "front")) for name in (first, second, second)]
    body = job_body(str(WORK_MS), WORK_MS, tasks=TASKS, cpu=TASK_CPU)
    clients = [Client(record, job_id, body, DEADLINE_MS) for job_id in JOB_IDS]
    answers = [asyncio.create_task(client.hand_in(entries)) for client in clients]
    while len(deployment.runs()) < STARTED_RUNS:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.5)
    if trouble:
        record.add(f"executors: a share of {LATE_SHARE} of the orders gets no response from now on")
        for executor in deployment.executors.values():
            executor.late_share = LATE_SHARE
        deployment.send(first, signal.SIGKILL)
        await asyncio.sleep(LATE_ORDERS_S)
        for executor in deployment.executors.values():
            executor.late_share = 0.0
        record.add("executors: all orders are answered again")
    await asyncio.gather(*answers)
    return concurrent_runs(deployment.runs(), record.now_ms())


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER, fronts=2, sides=3))
