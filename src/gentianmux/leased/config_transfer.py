"""Transfers the configuration between entries and agents on request, in small paced pieces."""

import zlib
from collections import deque
from dataclasses import dataclass

from loguru import logger

from ..clock import Clock
from .config_feed import ConfigFeed
from .links import Links
from .messages import ConfigPiece, ConfigWanted

PIECE_BYTES = 4096
"""Size of one piece: small enough not to delay the echoes on a slow link by much."""

PIECE_INTERVAL_S = 0.02
"""Minimum time between the pieces that a process sends to all its peers. With ``PIECE_BYTES`` it
keeps the rate below that of the slowest links (2 Mbit/s): the echoes that renew the leases of runs
use the same connections, and runs stop when their echoes are late."""

PIECE_TIMEOUT_S = 0.5
"""Time without a piece after which another peer may be asked; a peer may serve many at once."""

MAX_CONFIG_BYTES = 16 * 1024 * 1024
"""Bound on the size of a decompressed configuration."""


@dataclass
class _Fetch:
    process: str
    version: int
    requested_at: float
    received: bytearray


class ConfigTransfer:
    """Requests a newer configuration from one peer, and serves pieces of the current one.

    Agents do not use the configuration; they keep it for entries that start while the store is
    unavailable. It is sent only on request, and requested from one peer at a time.

    Parameters
    ----------
    feed : ConfigFeed
        Holds the configuration in force.
    links : Links
        Connections to peers.
    clock : Clock
        Source of monotonic time and deferred calls.

    Examples
    --------
    ``transfer.on_version("e1.5", 7)`` when a peer reports version 7; ``transfer.on_wanted(msg,
    "e1.5")`` and ``transfer.take(msg, "e1.5")`` for the messages that it sends.
    """

    def __init__(self, feed: ConfigFeed, links: Links, clock: Clock) -> None:
        self._feed = feed
        self._links = links
        self._clock = clock
        self._fetch: _Fetch | None = None
        self._requests: deque[tuple[str, int]] = deque()
        self._sending = False
        self._compressed: tuple[int, bytes] = (-1, b"")

    def on_version(self, process: str, version: int) -> None:
        """Request a peer's configuration if it is newer and no other request is pending."""
        if version <= self._feed.version:
            return
        now = self._clock.now()
        if self._fetch is not None and now - self._fetch.requested_at < PIECE_TIMEOUT_S:
            return
        self._request(_Fetch(process, version, now, bytearray()))

    def _request(self, fetch: _Fetch) -> None:
        self._fetch = fetch
        fetch.requested_at = self._clock.now()
        self._links.send(fetch.process, ConfigWanted(fetch.version, len(fetch.received)))

    def take(self, piece: ConfigPiece, process: str) -> None:
        """Store a piece, then request the next one or put the complete configuration in force."""
        fetch = self._fetch
        if fetch is None or fetch.process != process:
            return
        if piece.version != fetch.version:
            # The peer has received a newer version meanwhile.
            self._request(_Fetch(process, piece.version, 0.0, bytearray()))
            return
        if piece.offset != len(fetch.received):
            return
        fetch.received += piece.body
        if len(fetch.received) < piece.size and piece.body:
            self._request(fetch)
            return
        self._fetch = None
        self._apply(bytes(fetch.received), process)

    def _apply(self, compressed: bytes, process: str) -> None:
        try:
            raw = zlib.decompressobj().decompress(compressed, MAX_CONFIG_BYTES)
        except zlib.error as exc:
            logger.bind(peer=process, reason=str(exc)).error("configuration unreadable")
            return
        self._feed.apply_if_newer(raw, f"peer {process}")

    def on_wanted(self, msg: ConfigWanted, process: str) -> None:
        """Queue the piece that a peer requests; pieces are sent one by one."""
        self._requests = deque(each for each in self._requests if each[0] != process)
        offset = msg.offset if msg.version == self._feed.version else 0
        self._requests.append((process, offset))
        if not self._sending:
            self._send_next()

    def _send_next(self) -> None:
        self._sending = bool(self._requests)
        if not self._requests:
            return
        process, offset = self._requests.popleft()
        compressed = self._compress()
        body = compressed[offset : offset + PIECE_BYTES]
        self._links.send(process, ConfigPiece(self._feed.version, offset, len(compressed), body))
        self._clock.call_later(PIECE_INTERVAL_S, self._send_next)

    def _compress(self) -> bytes:
        version, compressed = self._compressed
        current = self._feed.current
        if current is not None and version != current.version:
            compressed = zlib.compress(current.raw)
            self._compressed = (current.version, compressed)
        return compressed
