"""An executor that drains turns slow, and the response to its deregistration is lost.

It therefore stays for some seconds. The agent takes the deregistration as proof that all runs there
have ended. It reports them as lost at once, and the entry starts their tasks elsewhere while they
still run.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    HEARTBEAT_S,
    Client,
    Deployment,
    Executor,
    concurrent_runs,
    job_body,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
JOB_ID = "5c0e7a21d94b36f8"
TASKS = 40
TASK_CPU = 500
WORK_MS, WORK_STEP_MS = 7550, 4
"""Tasks run for 7.55 to 7.71 s: without the disruption they end before the executor leaves."""

ESTIMATE_MS = 7600
DEADLINE_MS = 25_000

DRAINS_AFTER_S = 6.0
DRAIN_S = 2.0
"""Time for which the executor goes on to serve after its report was acknowledged."""

LINGER_S = 0.05
"""Time that it stays beyond that."""

SLOW_AFTER_S, SLOWDOWN = 0.9, 2.5
"""When the executor turns slow, after that report, and how many times as long its work takes."""

STAYS_S = 3.0
"""How long the executor stays after a deregistration without a response."""


async def leave(deployment: Deployment, side: str, trouble: bool) -> None:
    """Drain the executor of a machine, deregister it and end it."""
    record, executor = deployment.record, deployment.executors[side]
    await drain(executor, deployment)
    await wait_until(executor.leaves_at_ms - (DRAIN_S - SLOW_AFTER_S) * 1000, deployment)
    if trouble:
        record.add(f"{executor.name}: its work takes {SLOWDOWN} times as long from now on")
        executor.advance()
        executor.slowdown = SLOWDOWN
    await wait_until(executor.leaves_at_ms + LINGER_S * 1000, deployment)
    for run in executor.active_runs():
        record.add(f"{executor.name}: {run} is still at work")
    if trouble:
        deployment.control_relays[side].on_reply = lambda: reset_channels(deployment, side)
    status = await executor.deregister()
    if status:
        executor.go()
        return
    record.add(f"{executor.name}: no response to its deregistration, it ends in {STAYS_S:.0f} s")
    await asyncio.sleep(STAYS_S)
    executor.go()


def reset_channels(deployment: Deployment, side: str) -> None:
    """Reset the channels between an executor and its agent."""
    deployment.record.add(
        "the agent's response is on its way; the channels of its machine are reset"
    )
    deployment.control_relays[side].reset()
    deployment.executor_relays[side].reset()


async def wait_until(at_ms: float, deployment: Deployment) -> None:
    """Wait until a time of the record."""
    await asyncio.sleep(max(0.0, at_ms - deployment.record.now_ms()) / 1000)


async def drain(executor: Executor, deployment: Deployment) -> None:
    """Report that the executor drains until that is acknowledged."""
    record = deployment.record
    executor.state = "draining"
    while True:
        executor.leaves_at_ms = record.now_ms() + DRAIN_S * 1000
        if await executor.send_report() == 200:
            break
        await asyncio.sleep(HEARTBEAT_S)
    executor.leaves_at_ms = record.now_ms() + DRAIN_S * 1000
    record.add(f"{executor.name}: draining is acknowledged, {DRAIN_S} s are left")


async def case(deployment: Deployment, trouble: bool) -> list[str]:
    """Play the case and return how the rule was broken."""
    entries = [(name, deployment.address(name, "front")) for name in deployment.fronts * 2]
    spec = f"{WORK_MS} {WORK_STEP_MS}"
    body = job_body(spec, ESTIMATE_MS, tasks=TASKS, cpu=TASK_CPU)
    client = Client(deployment.record, JOB_ID, body, DEADLINE_MS)
    answer = asyncio.create_task(client.hand_in(entries))
    while not deployment.runs():
        await asyncio.sleep(0.01)
    await asyncio.sleep(DRAINS_AFTER_S)
    await leave(deployment, deployment.sides[0], trouble)
    await answer
    return concurrent_runs(deployment.runs(), deployment.record.now_ms())


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER, fronts=1, sides=2))
