"""How entries and agents find each other: announcements in the store, and seeds."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

import gevent
from loguru import logger

from ..errors import LogError
from ..memory_log import KeyedLog
from ..metrics import Metrics
from .config_feed import AGAIN_S, WATCH_S
from .model import EndpointReport
from .room import Room

TOPIC = "gentianmux-{}"
"""Topic of a role's announcements, one key an instance."""


class Announcement(NamedTuple):
    """Where an instance listens, and for an agent the endpoint that it has seen last."""

    name: str
    address: str
    report: EndpointReport | None = None

    def encode(self) -> bytes:
        """The form in which it lies in the store."""
        content: dict[str, Any] = {"address": self.address}
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
        return Announcement(name, str(content["address"]), report)
    except (ValueError, TypeError, KeyError, AttributeError) as exc:
        logger.bind(peer=name, reason=repr(exc)).warning("announcement unreadable")
        return None


class Directory:
    """Announces this instance and follows the announcements of the other role.

    Parameters
    ----------
    store : KeyedLog
        The platform's store.
    role, peer_role : str
        Whose announcements this instance makes and follows.
    metrics : Metrics
        Counters.
    """

    def __init__(self, store: KeyedLog, role: str, peer_role: str, metrics: Metrics) -> None:
        self.on_found: Callable[[Announcement], None] = lambda found: None
        self._store = store
        self._mine = TOPIC.format(role)
        self._theirs = TOPIC.format(peer_role)
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
                self._store.put(self._mine, wanted.name, wanted.encode())
                self._written = wanted
                logger.bind(address=wanted.address).info("announced")
            except LogError as exc:
                self._metrics.count("store_errors", label=exc.code.label)
                gevent.sleep(AGAIN_S)
        self._writing = False

    def last_of(self, name: str) -> Announcement | None:
        """What an instance of this role has announced last; None when it is not to be had."""
        try:
            value = self._store.newest(self._mine).values.get(name)
        except LogError as exc:
            self._metrics.count("store_errors", label=exc.code.label)
            return None
        return None if value is None else decode_announcement(name, value)

    def run(self) -> None:
        """Follow the other role's announcements for as long as the process lives."""
        offset: int | None = None
        while True:
            try:
                if offset is None:
                    newest = self._store.newest(self._theirs)
                    offset, found = newest.end, list(newest.values.items())
                else:
                    changes = self._store.changes(self._theirs, offset, WATCH_S)
                    offset, found = changes.end, changes.values
            except LogError as exc:
                offset = None
                self._metrics.count("store_errors", label=exc.code.label)
                gevent.sleep(AGAIN_S)
                continue
            self._hand_on(found)

    def _hand_on(self, found: list[tuple[str, bytes]]) -> None:
        for name, value in found:
            known = decode_announcement(name, value) if value else None
            if known is not None:
                self.on_found(known)
