"""Agents that reach the store start tasks in an evacuated zone while the entries are cut off."""

import asyncio
import random
import sys
from contextlib import suppress
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins_2 import TROUBLE, Deployment, job, play  # noqa: E402

EVACUATE_S = 5.0
"""``evacuate_ms``."""

CUT_S = 5.5
ACKED_AFTER_S = 0.1
TAKEN_BACK_AFTER_S = 9.0
ROUNDS = 2
ZONE = "zone-0"


class Link:
    """A link from the entries to the store, which a cut holds up; nothing is lost."""

    def __init__(self, target):
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def cut(self):
        self._open.clear()

    def heal(self):
        self._open.set()

    async def _serve(self, reader, writer):
        ip, _, port = self._target.partition(":")
        await self._open.wait()
        store_reader, store_writer = await asyncio.open_connection(ip, int(port))
        pairs = ((reader, store_writer), (store_reader, writer))
        with suppress(asyncio.CancelledError):
            await asyncio.gather(*(self._forward(*pair) for pair in pairs))

    async def _forward(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
            await self._open.wait()
            writer.close()
        except (OSError, asyncio.CancelledError):
            # An end has closed the channel, or the script ends.
            pass


class CuttableDeployment(Deployment):
    """A deployment whose entries reach the store over a link; its agents reach it directly."""

    async def start(self):
        self.link = Link(self.store.address)
        await self.link.start()
        await super().start()

    def store_address_of(self, name):
        return self.link.address if name in self.entries else self.store.address


async def load(deployment):
    """Hand in a job of two short tasks every 0.04 s, until cancelled."""
    number = 0
    pending = set()
    while True:
        entry = deployment.entries[number % len(deployment.entries)]
        each = deployment.submit(entry, f"{random.getrandbits(64):016x}", job(2, 400), 3.0)
        pending.add(asyncio.create_task(each))
        number += 1
        await asyncio.sleep(0.04)


async def evacuate_once(deployment):
    """Evacuate a zone behind the cut; return the starts there that come too late."""
    record, store, key = deployment.record, deployment.store, f"evacuate/{ZONE}"
    if TROUBLE:
        deployment.link.cut()
        record.write("link", "the entries are cut off from the store")
    await asyncio.sleep(ACKED_AFTER_S)
    store.put("keyed.op", key, b"{}")
    acked_at = record.now()
    record.write("operator", f"evacuation of {ZONE} acknowledged")
    await asyncio.sleep(CUT_S - ACKED_AFTER_S)
    deployment.link.heal()
    record.write("link", "the entries reach the store")
    await asyncio.sleep(TAKEN_BACK_AFTER_S - CUT_S)
    taken_back_at = record.now()
    store.put("keyed.op", key, b"")
    record.write("operator", f"{ZONE} is taken back")
    return [
        f"EVAC: {run}, {run.began - acked_at:.2f} s after the ack of the evacuation of {ZONE}"
        for executor in deployment.executors
        if executor.zone == ZONE
        for run in executor.runs
        if acked_at + EVACUATE_S < run.began < taken_back_at
    ]


async def case(deployment):
    """Play the rounds under load."""
    pump = asyncio.create_task(load(deployment))
    broken = []
    for _ in range(ROUNDS):
        broken += await evacuate_once(deployment)
        await asyncio.sleep(3.0)
    pump.cancel()
    return broken


play(HERE, case, CuttableDeployment, entries=2, agents=4)
