"""Service discovery: announcements of entries and agents in the store."""

import json
from collections.abc import Callable, Iterable, Iterator
from socket import AF_INET, inet_pton
from typing import Any, NamedTuple

import gevent
from loguru import logger

from ..clock import boot_time, run_periodically
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
from .config_feed import LONG_POLL_S, RETRY_DELAY_S
from .entry_view import EntryView, decode_view
from .model import EndpointReport
from .resources import Resources

TOPIC = "gentianmux-members"
"""Topic of the announcements, with one key for each instance."""

VIEW_KEY = "@entries"
"""Key of the view of the entries in the same topic; no instance has this name."""

ROLES = ("entry", "agent")
"""Valid roles of an announcement."""


class Announcement(NamedTuple):
    """Address of an instance and, for an agent, the last report of its endpoint.

    Attributes
    ----------
    name : str
        Name of the instance.
    role : str
        One of ``ROLES``.
    address : str
        ``ip:port`` where the instance accepts connections of peers.
    report : EndpointReport, optional
        Last report of an agent's endpoint.
    """

    name: str
    role: str
    address: str
    report: EndpointReport | None = None

    def encode(self) -> bytes:
        """Encode the value of the record in the store."""
        content: dict[str, Any] = {"role": self.role, "address": self.address}
        if self.report is not None:
            content["report"] = self.report._asdict()
        return json.dumps(content).encode()


def decode_announcement(name: str, value: bytes) -> Announcement | None:
    """Decode an announcement; None, after logging a warning, when it is invalid."""
    try:
        content = read_object(value)
        role, address = get_str(content, "role"), get_str(content, "address")
        if role not in ROLES:
            raise ValueError(f"role {role[:40]!r} is unknown")
        _check_address(address)
        has_report = content.get("report") is not None
        report = _decode_report(get_object(content, "report")) if has_report else None
        return Announcement(name, role, address, report)
    except ValueError as exc:
        logger.bind(peer=name[:100], reason=str(exc)).warning("announcement unreadable")
        return None


def _check_address(address: str) -> None:
    """Raise ``ValueError`` unless an address consists of an IPv4 address and a port."""
    ip, _, port = address.partition(":")
    try:
        inet_pton(AF_INET, ip)
    except OSError as exc:
        raise ValueError(f"{address[:60]!r} has no IPv4 address") from exc
    if not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{address[:60]!r} has no valid port")


def _decode_report(report: dict[str, Any]) -> EndpointReport:
    values = report.get("capacity")
    if not isinstance(values, list) or len(values) != len(Resources._fields):
        raise ValueError("capacity is not a list of amounts")
    amounts = dict(zip(Resources._fields, values, strict=True))
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
    """Announces this instance, and reads or follows the announcements of all instances.

    Parameters
    ----------
    store : KeyedLog
        The platform's store.
    metrics : Metrics
        Counters.

    Attributes
    ----------
    on_found : callable
        Called by ``follow`` with each announcement.
    on_view : callable
        Called by ``follow`` with each view of the entries.
    on_read : callable
        Called by ``follow`` after a read, with the monotonic time at which it was asked for.

    Examples
    --------
    ``directory.announce(Announcement("w1", "agent", "10.0.0.1:7720"))`` writes in the background.
    """

    def __init__(self, store: KeyedLog, metrics: Metrics) -> None:
        self.on_found: Callable[[Announcement], None] = lambda found: None
        self.on_view: Callable[[EntryView], None] = lambda view: None
        self.on_read: Callable[[float], None] = lambda asked_at: None
        self._store = store
        self._metrics = metrics
        self._pending: Announcement | None = None
        self._written: Announcement | None = None
        self._writing = False
        self._offset: int | None = None
        self._end = 0
        self._has_read = False
        self._began_empty = False

    @property
    def has_read(self) -> bool:
        """Whether the announcements have been read."""
        return self._has_read

    @property
    def began_empty(self) -> bool:
        """Whether the first read found no view, not even an unreadable one."""
        return self._began_empty

    def announce(self, announcement: Announcement) -> None:
        """Write an announcement in the background, retrying until the store confirms it."""
        self._pending = announcement
        if not self._writing:
            self._writing = True
            gevent.spawn(self._write)

    def _write(self) -> None:
        try:
            while self._pending is not None and self._pending != self._written:
                self._write_once(self._pending)
        finally:
            self._writing = False

    def _write_once(self, announcement: Announcement) -> None:
        try:
            self._store.put(TOPIC, announcement.name, announcement.encode())
            self._written = announcement
            logger.bind(address=announcement.address).info("announcement written")
        except LogError as exc:
            self._metrics.count("store_errors", label=exc.code.label)
            gevent.sleep(RETRY_DELAY_S)

    def read(self) -> list[Announcement] | None:
        """Read the announcements of all instances; None when the store does not answer."""
        try:
            newest = self._store.newest(TOPIC)
        except LogError as exc:
            self._metrics.count("store_errors", label=exc.code.label)
            return None
        return list(_decode_all(newest.values.items()))

    def follow(self) -> None:
        """Pass every announcement to ``on_found`` until the process ends."""
        run_periodically(0.0, self.follow_once)

    def follow_once(self) -> None:
        """Pass on the announcements since the last call, waiting up to ``LONG_POLL_S`` for one."""
        offset, self._offset = self._offset, None
        asked_at = boot_time()
        try:
            if offset is None:
                newest = self._store.newest(TOPIC)
                offset, found = newest.end, list(newest.values.items())
            else:
                changes = self._store.changes(TOPIC, offset, LONG_POLL_S)
                offset, found = changes.end, changes.values
        except LogError as exc:
            self._metrics.count("store_errors", label=exc.code.label)
            gevent.sleep(RETRY_DELAY_S)
            return
        self._offset = self._end = offset
        if not self._has_read:
            self._began_empty = all(name != VIEW_KEY for name, _ in found)
        self._has_read = True
        for each in _decode_all(found):
            self.on_found(each)
        for view in _decode_views(found):
            self.on_view(view)
        self.on_read(asked_at)

    def write_view(self, view: EntryView) -> bool:
        """Write a view of the entries unless something unknown here has been written before."""
        try:
            return self._store.put_at(TOPIC, VIEW_KEY, view.encode(), self._end)
        except LogError as exc:
            self._metrics.count("store_errors", label=exc.code.label)
            return False


def _decode_views(found: Iterable[tuple[str, bytes]]) -> Iterator[EntryView]:
    views = (decode_view(value) for name, value in found if name == VIEW_KEY and value)
    return (view for view in views if view is not None)


def _decode_all(found: Iterable[tuple[str, bytes]]) -> Iterator[Announcement]:
    for name, value in found:
        is_announcement = name not in ("", VIEW_KEY) and bool(value)
        announcement = decode_announcement(name, value) if is_announcement else None
        if announcement is not None:
            yield announcement
