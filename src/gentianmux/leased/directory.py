"""How entries and agents find each other: announcements in the store, and seeds."""

import json
from collections.abc import Callable, Iterable, Iterator
from socket import AF_INET, inet_pton
from typing import Any, NamedTuple

import gevent
from loguru import logger

from ..clock import run_periodically
from ..errors import LogError
from ..metrics import Metrics
from ..platform_log import KeyedLog
from ..typed_json import (
    get_bool,
    get_int,
    get_number,
    get_object,
    get_str,
    get_str_list,
    read_object,
)
from .config_feed import AGAIN_S, WATCH_S
from .model import EndpointReport
from .resources import Resources

TOPIC = "gentianmux-members"
"""Topic of the announcements, one key an instance."""

ROLES = ("entry", "agent")
"""Roles that an announcement may name."""


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
        content = read_object(value)
        role, address = get_str(content, "role"), get_str(content, "address")
        if role not in ROLES:
            raise ValueError(f"role {role[:40]!r} is not known")
        _check_address(address)
        has_report = content.get("report") is not None
        report = _decode_report(get_object(content, "report")) if has_report else None
        return Announcement(name, role, address, report)
    except ValueError as exc:
        logger.bind(peer=name[:100], reason=str(exc)).warning("announcement unreadable")
        return None


def _check_address(address: str) -> None:
    """Raise ``ValueError`` unless an address is an IP number and a port."""
    ip, _, port = address.partition(":")
    try:
        inet_pton(AF_INET, ip)
    except OSError as exc:
        raise ValueError(f"{address[:60]!r} has no IP number") from exc
    if not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{address[:60]!r} has no port")


def _decode_report(report: dict[str, Any]) -> EndpointReport:
    room = report.get("capacity")
    if not isinstance(room, list) or len(room) != len(Resources._fields):
        raise ValueError("capacity is no list of amounts")
    amounts = dict(zip(Resources._fields, room, strict=True))
    return EndpointReport(
        endpoint=get_str(report, "endpoint"),
        address=get_str(report, "address"),
        service=get_str(report, "service"),
        failure_domain=get_str(report, "failure_domain"),
        capacity=Resources(*(get_int(amounts, name) for name in Resources._fields)),
        labels=get_str_list(report, "labels"),
        draining=get_bool(report, "draining"),
        drain_remaining_s=get_number(report, "drain_remaining_s"),
        sequence=get_int(report, "sequence"),
        born=get_int(report, "born", 0),
    )


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
        self._offset: int | None = None

    def announce(self, mine: Announcement) -> None:
        """Write an announcement, again until the store has confirmed it."""
        self._wanted = mine
        if not self._writing:
            self._writing = True
            gevent.spawn(self._write)

    def _write(self) -> None:
        try:
            while self._wanted is not None and self._wanted != self._written:
                self._write_once(self._wanted)
        finally:
            self._writing = False

    def _write_once(self, wanted: Announcement) -> None:
        try:
            self._store.put(TOPIC, wanted.name, wanted.encode())
            self._written = wanted
            logger.bind(address=wanted.address).info("announced")
        except LogError as exc:
            self._metrics.count("store_errors", label=exc.code.label)
            gevent.sleep(AGAIN_S)

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
        run_periodically(0.0, self.follow_once)

    def follow_once(self) -> None:
        """Hand on what has come since the last call, waiting for it."""
        offset, self._offset = self._offset, None
        try:
            if offset is None:
                newest = self._store.newest(TOPIC)
                offset, found = newest.end, list(newest.values.items())
            else:
                changes = self._store.changes(TOPIC, offset, WATCH_S)
                offset, found = changes.end, changes.values
        except LogError as exc:
            self._metrics.count("store_errors", label=exc.code.label)
            gevent.sleep(AGAIN_S)
            return
        self._offset = offset
        for each in _decode_all(found):
            self.on_found(each)


def _decode_all(found: Iterable[tuple[str, bytes]]) -> Iterator[Announcement]:
    for name, value in found:
        known = decode_announcement(name, value) if value else None
        if known is not None:
            yield known
