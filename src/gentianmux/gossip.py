"""Sends and receives membership datagrams over UDP."""

from typing import Any

import gevent
from gevent.server import DatagramServer

from .codec import decode, encode
from .errors import FrameError
from .frames import add_digest, verify_digest
from .membership import Outgoing
from .messages import Gossip
from .node_context import NodeContext

MAX_DATAGRAM_BYTES = 1400
SEED_PROBE_INTERVAL_TICKS = 4


class GossipServer:
    """The UDP endpoint of a process's membership.

    Parameters
    ----------
    ctx : NodeContext
        The shared context of the process.
    """

    def __init__(self, ctx: NodeContext) -> None:
        self._ctx = ctx
        ip, _, port = ctx.cfg.peer_address.partition(":")
        self._server = DatagramServer((ip, int(port)), self._on_datagram)
        self._key = ctx.cfg.peer_key.encode()
        self._ticks = 0

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def run(self) -> None:
        """Run ``tick`` periodically until the process ends."""
        while True:
            gevent.sleep(self._ctx.cfg.probe_ms / 1000)
            self.tick()

    def tick(self) -> None:
        """Send the probes of one period and, every few periods, probe unknown seeds."""
        membership = self._ctx.membership
        self.send(membership.tick(self._ctx.now()))
        if self._ticks % SEED_PROBE_INTERVAL_TICKS == 0:
            known = {each.address for each in membership.alive()}
            unknown_seeds = [seed for seed in self._ctx.cfg.seeds if seed not in known]
            self.send([membership.probe_seed(seed) for seed in unknown_seeds])
        self._ticks += 1

    def send(self, outgoing: list[Outgoing]) -> None:
        """Send datagrams, shortened to the size limit; a send error counts as a lost datagram."""
        for each in outgoing:
            data = add_digest(encode(each.gossip), self._key)
            while len(data) > MAX_DATAGRAM_BYTES:
                each = each._replace(gossip=_without_last_update(each.gossip))
                data = add_digest(encode(each.gossip), self._key)
            ip, _, port = each.address.partition(":")
            self._ctx.metrics.count("datagrams_out")
            self._ctx.metrics.count("datagram_bytes", len(data))
            try:
                self._server.sendto(data, (ip, int(port)))
            except OSError:
                self._ctx.metrics.count("wasted", label="datagram_unsent")

    def _on_datagram(self, data: bytes, address: Any) -> None:
        try:
            msg = decode(verify_digest(data, self._key))
        except FrameError:
            self._ctx.metrics.count("bad_frames")
            return
        if isinstance(msg, Gossip):
            source = f"{address[0]}:{address[1]}"
            self.send(self._ctx.membership.receive(msg, source, self._ctx.now()))


def _without_last_update(gossip: Gossip) -> Gossip:
    return gossip._replace(updates=gossip.updates[:-1])
