"""A request that a cut link held up arrives while the repeated request runs at another entry."""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins_2 import RESEND_S, TROUBLE, job, overlaps, play  # noqa: E402

ROUNDS = 4
CLIENTS = 4
"""Clients that hand in a job while the link is cut."""

TIME_LIMIT_S = 1.5
WORK_MS = 1200

CUT_S = 3.3
"""Length of a cut: the repeats, sent at 2.8 s, have run for half a second when it ends."""

ROUND_TRIP_S = 0.002
"""Between an entry and a client, 1 ms one way. After a cut, TCP sends one segment again, and the
next ones, here the client's FIN, when that has been acknowledged."""


class Link:
    """A link from clients to one entry, which a cut holds up; nothing is lost."""

    def __init__(self, target, record):
        self._target, self._record = target, record
        self._open = asyncio.Event()
        self._open.set()
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def cut(self):
        self._open.clear()
        self._record.write("link", f"clients are cut off from {self._target}")

    def heal(self):
        self._open.set()
        self._record.write("link", f"clients reach {self._target} again")

    async def _serve(self, reader, writer):
        ip, _, port = self._target.partition(":")
        entry_reader, entry_writer = await asyncio.open_connection(ip, int(port))
        back = asyncio.create_task(self._forward(entry_reader, writer))
        while data := await reader.read(65536):
            await self._open.wait()
            entry_writer.write(data)
        await self._open.wait()
        await asyncio.sleep(ROUND_TRIP_S)
        entry_writer.close()
        await back

    async def _forward(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
            writer.close()
        except OSError:
            pass


async def submit(deployment, link):
    """Hand a job in over the link, and again at another entry if there is no answer."""
    job_id = f"{random.getrandbits(64):016x}"
    body = job(2, WORK_MS)
    status, _ = await deployment.submit("front-0", job_id, body, TIME_LIMIT_S, link.address)
    if not status:
        await asyncio.sleep(RESEND_S)
        await deployment.submit("front-1", job_id, body, TIME_LIMIT_S)


async def case(deployment):
    """Play the rounds; return the simultaneous runs of one task."""
    link = Link(deployment.address("front-0", "front"), deployment.record)
    await link.start()
    for _ in range(ROUNDS):
        if TROUBLE:
            link.cut()
        submits = asyncio.gather(*(submit(deployment, link) for _ in range(CLIENTS)))
        await asyncio.sleep(CUT_S)
        if TROUBLE:
            link.heal()
        await submits
        await asyncio.sleep(1.0)
    return [
        f"TWICE: {one}; {other}; both active for {both_s * 1000:.0f} ms"
        for one, other, both_s in overlaps(deployment.runs())
    ]


play(HERE, case, entries=2, agents=4)
