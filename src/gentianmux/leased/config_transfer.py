"""Hands the configuration on between entries and agents: asked for once, in small paced pieces."""

import zlib
from collections import deque
from dataclasses import dataclass

from loguru import logger

from ..clock import Clock
from ..messages import ConfigPiece, ConfigWanted
from .config_feed import ConfigFeed
from .links import Links

PIECE_BYTES = 4096
"""Bytes of one piece: 16 ms of a link of 2 Mbit/s, a tenth of the echo period and a half."""

PIECE_GAP_S = 0.02
"""Seconds between the pieces that a process sends to all its peers, 1.6 Mbit/s at most: the slowest
links are of 2 Mbit/s, and the echoes that keep runs going pass on the same connections. Whole and
at once, 1,400 queues more stopped 98 runs of two entries on such links, whose echoes waited."""

ANSWER_S = 0.5
"""Seconds without a piece after which another peer is asked: 25 turns of a peer that serves others
as well."""

LONGEST_BYTES = 16 * 1024 * 1024
"""Bound on a configuration that is unpacked, many times the largest record of the store."""


@dataclass
class _Fetch:
    process: str
    version: int
    asked_at: float
    got: bytearray


class ConfigTransfer:
    """Asks one peer for a newer configuration, and gives peers pieces of the present one.

    The configuration is nothing that an agent acts on: it keeps it for entries that start while
    the store is away. So a peer that has it is never sent it, and one that has not gets it once.

    Parameters
    ----------
    feed : ConfigFeed
        The configuration in force here.
    links : Links
        Connections to peers.
    clock : Clock
        Time and deferred calls.

    Examples
    --------
    ``handing.on_version("e1.5", 7)`` when a peer says that it has version 7;
    ``handing.on_wanted(msg, "e1.5")`` and ``handing.take(msg, "e1.5")`` for what it sends.
    """

    def __init__(self, feed: ConfigFeed, links: Links, clock: Clock) -> None:
        self._feed = feed
        self._links = links
        self._clock = clock
        self._fetch: _Fetch | None = None
        self._asked: deque[tuple[str, int]] = deque()
        self._sending = False
        self._packed: tuple[int, bytes] = (-1, b"")

    def on_version(self, process: str, version: int) -> None:
        """Ask a peer for its configuration if it is newer, and nobody is being asked."""
        if version <= self._feed.version:
            return
        now = self._clock.now()
        if self._fetch is not None and now - self._fetch.asked_at < ANSWER_S:
            return
        self._ask(_Fetch(process, version, now, bytearray()))

    def _ask(self, fetch: _Fetch) -> None:
        self._fetch = fetch
        fetch.asked_at = self._clock.now()
        self._links.send(fetch.process, ConfigWanted(fetch.version, len(fetch.got)))

    def take(self, piece: ConfigPiece, process: str) -> None:
        """Take in a piece, and ask for the next one or put the configuration in force."""
        fetch = self._fetch
        if fetch is None or fetch.process != process:
            return
        if piece.version != fetch.version:
            # The peer has got a newer one meanwhile.
            self._ask(_Fetch(process, piece.version, 0.0, bytearray()))
            return
        if piece.offset != len(fetch.got):
            return
        fetch.got += piece.body
        if len(fetch.got) < piece.size and piece.body:
            self._ask(fetch)
            return
        self._fetch = None
        self._put_in_force(bytes(fetch.got), process)

    def _put_in_force(self, packed: bytes, process: str) -> None:
        try:
            raw = zlib.decompressobj().decompress(packed, LONGEST_BYTES)
        except zlib.error as exc:
            logger.bind(peer=process, reason=str(exc)).error("configuration unreadable")
            return
        self._feed.apply_if_newer(raw, f"peer {process}")

    def on_wanted(self, msg: ConfigWanted, process: str) -> None:
        """Give a peer the piece that it asks for, in its turn."""
        self._asked = deque(each for each in self._asked if each[0] != process)
        offset = msg.offset if msg.version == self._feed.version else 0
        self._asked.append((process, offset))
        if not self._sending:
            self._send_next()

    def _send_next(self) -> None:
        self._sending = bool(self._asked)
        if not self._asked:
            return
        process, offset = self._asked.popleft()
        packed = self._pack()
        body = packed[offset : offset + PIECE_BYTES]
        self._links.send(process, ConfigPiece(self._feed.version, offset, len(packed), body))
        self._clock.call_later(PIECE_GAP_S, self._send_next)

    def _pack(self) -> bytes:
        version, packed = self._packed
        current = self._feed.current
        if current is not None and version != current.version:
            packed = zlib.compress(current.raw)
            self._packed = (current.version, packed)
        return packed
