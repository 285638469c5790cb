"""Evacuated failure domains, whose endpoints receive no new runs."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from loguru import logger

from ..metrics import Metrics

UNKNOWN_POSITION = -1
"""Position of a process that has not received any evacuations yet."""


class Evacuations(NamedTuple):
    """The evacuated failure domains as of one position of the operators' topic.

    Attributes
    ----------
    position : int
        Offset up to which the topic was read. A higher position is newer, whichever process
        read it.
    failure_domains : tuple of str
        Names of the evacuated failure domains, sorted.
    """

    position: int = UNKNOWN_POSITION
    failure_domains: tuple[str, ...] = ()


class EvacuationFeed:
    """Holds the newest evacuations seen by this process.

    An evacuation lasts until its record is deleted. Positions only rise, so outdated evacuations,
    delayed on their way or sent by a peer without access to the store, are ignored.

    Parameters
    ----------
    metrics : Metrics
        Counters.

    Attributes
    ----------
    current : Evacuations
        The newest evacuations.
    on_change : callable
        Called with the first evacuations, and with those that change the failure domains.

    Examples
    --------
    >>> from gentianmux.settings import Settings
    >>> feed = EvacuationFeed(Metrics(Settings()))
    >>> feed.apply_snapshot(["fd1"], 5)
    >>> feed.apply_changes([("fd1", False), ("fd2", True)], 7)
    >>> feed.current
    Evacuations(position=7, failure_domains=('fd2',))
    """

    def __init__(self, metrics: Metrics) -> None:
        self.current = Evacuations()
        self.on_change: Callable[[Evacuations], None] = lambda evacuations: None
        self._metrics = metrics
        self._stored: set[str] = set()

    @property
    def is_known(self) -> bool:
        """Whether any evacuations were received, even if no failure domain is evacuated."""
        return self.current.position != UNKNOWN_POSITION

    def covers(self, failure_domain: str) -> bool:
        """Whether a failure domain is evacuated."""
        return failure_domain in self.current.failure_domains

    def apply_snapshot(self, failure_domains: Iterable[str], position: int) -> None:
        """Replace the evacuations read from the store by those that it lists at a position."""
        self._stored = set(failure_domains)
        self._apply_stored(position)

    def apply_changes(self, changes: Iterable[tuple[str, bool]], position: int) -> None:
        """Apply changes up to a position: failure domains, and whether each is evacuated."""
        for failure_domain, evacuated in changes:
            if evacuated:
                self._stored.add(failure_domain)
            else:
                self._stored.discard(failure_domain)
        self._apply_stored(position)

    def _apply_stored(self, position: int) -> None:
        self.apply_if_newer(Evacuations(position, tuple(sorted(self._stored))), "store")

    def apply_if_newer(self, evacuations: Evacuations, origin: str) -> None:
        """Put evacuations from a peer or the store in force if they are newer."""
        before = self.current
        if evacuations.position <= before.position:
            return
        self.current = evacuations
        was_known = before.position != UNKNOWN_POSITION
        if was_known and evacuations.failure_domains == before.failure_domains:
            return
        logger.bind(
            failure_domains=list(evacuations.failure_domains),
            before=list(before.failure_domains),
            position=evacuations.position,
            origin=origin,
        ).info("evacuations in force")
        self._metrics.gauge("failure_domains_evacuated", len(evacuations.failure_domains))
        self.on_change(evacuations)
