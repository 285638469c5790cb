"""Carries membership datagrams over UDP."""

from typing import Any

import gevent
from gevent.server import DatagramServer

from .codec import decode, encode
from .errors import FrameError
from .frames import add_digest, verify_digest
from .membership import Outgoing
from .messages import Gossip
from .node_context import NodeContext

MAX_DATAGRAM = 1400
SEED_EVERY_TICKS = 4


class GossipServer:
    """Sends and takes datagrams for the membership on the board.

    Parameters
    ----------
    ctx : NodeContext
        The blackboard.
    """

    def __init__(self, ctx: NodeContext) -> None:
        self._ctx = ctx
        ip, _, port = ctx.cfg.peer_address.partition(":")
        self._server = DatagramServer((ip, int(port)), self._take)
        self._key = ctx.cfg.peer_key.encode()
        self._ticks = 0

    def start(self) -> None:
        """Begin to listen."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def run(self) -> None:
        """Probe one process a period, for as long as the process lives."""
        while True:
            gevent.sleep(self._ctx.cfg.probe_ms / 1000)
            self.tick()

    def tick(self) -> None:
        """One period: probes, and now and then a greeting to the seeds."""
        members = self._ctx.membership
        self.send(members.tick(self._ctx.now()))
        if self._ticks % SEED_EVERY_TICKS == 0:
            known = {each.address for each in members.alive()}
            strangers = [seed for seed in self._ctx.cfg.seeds if seed not in known]
            self.send([members.greet(seed) for seed in strangers])
        self._ticks += 1

    def send(self, outgoing: list[Outgoing]) -> None:
        """Send datagrams; one that cannot be sent is as good as lost."""
        for each in outgoing:
            data = add_digest(encode(each.gossip), self._key)
            while len(data) > MAX_DATAGRAM:
                each = each._replace(gossip=_shorter(each.gossip))
                data = add_digest(encode(each.gossip), self._key)
            ip, _, port = each.address.partition(":")
            self._ctx.metrics.count("datagrams_out")
            self._ctx.metrics.count("datagram_bytes", len(data))
            try:
                self._server.sendto(data, (ip, int(port)))
            except OSError:
                self._ctx.metrics.count("wasted", label="datagram_unsent")

    def _take(self, data: bytes, address: Any) -> None:
        try:
            msg = decode(verify_digest(data, self._key))
        except FrameError:
            self._ctx.metrics.count("bad_frames")
            return
        if isinstance(msg, Gossip):
            source = f"{address[0]}:{address[1]}"
            self.send(self._ctx.membership.receive(msg, source, self._ctx.now()))


def _shorter(gossip: Gossip) -> Gossip:
    return gossip._replace(updates=gossip.updates[:-1])
