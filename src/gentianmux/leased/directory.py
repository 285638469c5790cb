"""How entries and agents find each other: announcements in the store, and seeds."""

import json
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

import gevent
from loguru import logger

from ..errors import LogError
from ..memory_log import KeyedLog
from ..metrics import Metrics
from .config_feed import AGAIN_S, WATCH_S
from .model import EndpointReport
from .room import Room

TOPIC = "gentianmux-members"
"""Topic of the announcements, one key an instance."""


class Announcement(NamedTuple):
    """Where an instance listens, and for an agent the endpoint that it has seen last."""

    name: str
    role: str
    address: str
    report: EndpointReport | None = None

    def encode(self) -> bytes:
        """The form in which it lies in the store."""
        content: dict[str, Any] = {"role": self.role, "address": self.address}
        if self.report is not None:
            content["report"] = self.report._asdict()
        return json.dumps(content).encode()


def decode_announcement(name: str, value: bytes) -> Announcement | None:
    """Read an announcement; None, with a log line, when it cannot be read."""
    try:
        content = json.loads(value)
        report = content.get("report")
        if report is not None:
            report["capacity"] = Room(*report["capacity"])
            report["labels"] = tuple(report["labels"])
            report = EndpointReport(**report)
        return Announcement(name, str(content["role"]), str(content["address"]), report)
    except (ValueError, TypeError, KeyError, AttributeError) as exc:
        logger.bind(peer=name, reason=repr(exc)).warning("announcement unreadable")
        return None


class Directory:
    """Announces this instance, and reads or follows the announcements of all.

    Parameters
    ----------
    store : KeyedLog
        The platform's store.
    metrics : Metrics
        Counters.

    Examples
    --------
    ``directory.announce(Announcement("w1", "agent", "10.0.0.1:7720"))`` writes in the background.
    """

    def __init__(self, store: KeyedLog, metrics: Metrics) -> None:
        self.on_found: Callable[[Announcement], None] = lambda found: None
        self._store = store
        self._metrics = metrics
        self._wanted: Announcement | None = None
        self._written: Announcement | None = None
        self._writing = False

    def announce(self, mine: Announcement) -> None:
        """Write an announcement, again until the store has confirmed it."""
        self._wanted = mine
        if not self._writing:
            self._writing = True
            gevent.spawn(self._write)

    def _write(self) -> None:
        while self._wanted is not None and self._wanted != self._written:
            wanted = self._wanted
            try:
                self._store.put(TOPIC, wanted.name, wanted.encode())
                self._written = wanted
                logger.bind(address=wanted.address).info("announced")
            except LogError as exc:
                self._metrics.count("store_errors", label=exc.code.label)
                gevent.sleep(AGAIN_S)
        self._writing = False

    def read(self) -> list[Announcement] | None:
        """Read the announcements of all instances once; None when they are not to be had."""
        try:
            newest = self._store.newest(TOPIC)
        except LogError as exc:
            self._metrics.count("store_errors", label=exc.code.label)
            return None
        return list(_decode_all(newest.values.items()))

    def follow(self) -> None:
        """Hand on every announcement, for as long as the process lives."""
        offset: int | None = None
        while True:
            try:
                if offset is None:
                    newest = self._store.newest(TOPIC)
                    offset, found = newest.end, list(newest.values.items())
                else:
                    changes = self._store.changes(TOPIC, offset, WATCH_S)
                    offset, found = changes.end, changes.values
            except LogError as exc:
                offset = None
                self._metrics.count("store_errors", label=exc.code.label)
                gevent.sleep(AGAIN_S)
                continue
            for each in _decode_all(found):
                self.on_found(each)


def _decode_all(found: Iterable[tuple[str, bytes]]) -> Iterator[Announcement]:
    for name, value in found:
        known = decode_announcement(name, value) if value else None
        if known is not None:
            yield known
