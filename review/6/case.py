"""An agent that restarts trusts a capacity from before its executor shrank."""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins_2 import (  # noqa: E402
    HEARTBEAT_S,
    RESTART_DELAY_S,
    TROUBLE,
    job,
    play,
)

SMALL_CPU = 4800
OUTAGE_S = 5.7
SHRINKS_AFTER_S = 0.2
KILLED_AFTER_S = 5.3
"""The store is back at `OUTAGE_S`, and the new process begins after that."""

AFTER_REPORT_S = 0.05
"""The process begins again this long after a liveness report found nobody."""

LONGEST_CONTACT_S = 4.0
"""``contact_ms`` of the sheets that came with the letter on shrinking capacities; it is 3.0 in the
sheet of the small installation."""

COUNTS_AFTER_S = LONGEST_CONTACT_S + HEARTBEAT_S
"""A room that has shrunk counts this much later."""

WATCHED_S = 3.0


async def load(deployment):
    """Hand in a job of two short tasks every 0.1 s, until cancelled."""
    number = 0
    pending = set()
    while True:
        entry = deployment.entries[number % len(deployment.entries)]
        each = deployment.submit(entry, f"{random.getrandbits(64):016x}", job(2, 600), 3.0)
        pending.add(asyncio.create_task(each))
        number += 1
        await asyncio.sleep(0.1)


async def case(deployment):
    """Shrink one executor while the store is away, and restart its agent; return broken starts."""
    executor, agent = deployment.executors[0], deployment.agents[0]
    pump = asyncio.create_task(load(deployment))
    begins_in = executor.next_beat_in() + AFTER_REPORT_S - RESTART_DELAY_S - KILLED_AFTER_S
    await asyncio.sleep(begins_in % HEARTBEAT_S)
    deployment.store.is_down = TROUBLE
    deployment.record.write("store", "refuses every call" if TROUBLE else "stays up")
    await asyncio.sleep(SHRINKS_AFTER_S)
    executor.cpu = SMALL_CPU
    counts_from = deployment.record.now() + COUNTS_AFTER_S
    deployment.record.write(executor.name, f"shrinks to {SMALL_CPU}, counted from {counts_from:.3f}")
    await asyncio.sleep(KILLED_AFTER_S - SHRINKS_AFTER_S)
    if TROUBLE:
        deployment.kill(agent)
    await asyncio.sleep(OUTAGE_S - KILLED_AFTER_S)
    deployment.store.is_down = False
    deployment.record.write("store", "serves")
    await asyncio.sleep(KILLED_AFTER_S + RESTART_DELAY_S - OUTAGE_S)
    if TROUBLE:
        deployment.launch(agent)
    await asyncio.sleep(WATCHED_S)
    pump.cancel()
    return [
        f"LIMIT: a start at {at:.3f} on {executor.name}: {used} in use, its capacity is {capacity}"
        for at, used, capacity in executor.peaks
        if at >= counts_from and used > capacity
    ]


play(HERE, case, entries=2, agents=2)
