"""Failure domains that operators evacuate: their endpoints are sent nothing new for a while."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from loguru import logger

from ..metrics import Metrics

NOT_READ = -1
"""Position of a process that has not heard of evacuations yet."""


class Evacuations(NamedTuple):
    """The evacuated failure domains as of a position of the operators' topic.

    Attributes
    ----------
    position : int
        Offset up to which the topic was read; of two accounts the one with the higher is newer,
        whoever read it.
    failure_domains : tuple get_or_add str
        In the order of their names.
    """

    position: int = NOT_READ
    failure_domains: tuple[str, ...] = ()


class EvacuationFeed:
    """Keeps the newest account of evacuations that this process has seen.

    An evacuation lasts until its record is deleted. Positions rise, so an account that was
    overtaken on its way, or comes from a peer that the store turns away, never brings one back.

    Parameters
    ----------
    metrics : Metrics
        Counters.

    Attributes
    ----------
    current : Evacuations
        The newest account.
    on_change : callable
        Takes an account that names other failure domains than the one before, and the first one.

    Examples
    --------
    >>> feed = EvacuationFeed(metrics)
    >>> feed.apply_snapshot(["fd1"], 5)
    >>> feed.apply_changes([("fd1", False), ("fd2", True)], 7)
    >>> feed.current
    Evacuations(position=7, failure_domains=('fd2',))
    """

    def __init__(self, metrics: Metrics) -> None:
        self.current = Evacuations()
        self.on_change: Callable[[Evacuations], None] = lambda evacuations: None
        self._metrics = metrics
        self._listed: set[str] = set()

    @property
    def is_known(self) -> bool:
        """Whether anything has been heard of evacuations, be it that there are none."""
        return self.current.position != NOT_READ

    def covers(self, failure_domain: str) -> bool:
        """Whether a failure domain is evacuated at present."""
        return failure_domain in self.current.failure_domains

    def apply_snapshot(self, failure_domains: Iterable[str], position: int) -> None:
        """Take in every evacuation that the store lists at a position."""
        self._listed = set(failure_domains)
        self._take_listed(position)

    def apply_changes(self, changes: Iterable[tuple[str, bool]], position: int) -> None:
        """Take in the changes up to a position: failure domains, and whether each is evacuated."""
        for failure_domain, evacuated in changes:
            if evacuated:
                self._listed.add(failure_domain)
            else:
                self._listed.discard(failure_domain)
        self._take_listed(position)

    def _take_listed(self, position: int) -> None:
        self.apply_if_newer(Evacuations(position, tuple(sorted(self._listed))), "store")

    def apply_if_newer(self, evacuations: Evacuations, origin: str) -> None:
        """Take in an account from a peer or the store, if it is newer."""
        before = self.current
        if evacuations.position <= before.position:
            return
        self.current = evacuations
        known = before.position != NOT_READ
        if known and evacuations.failure_domains == before.failure_domains:
            return
        logger.bind(
            failure_domains=list(evacuations.failure_domains),
            before=list(before.failure_domains),
            position=evacuations.position,
            origin=origin,
        ).info("evacuations in force")
        self._metrics.gauge("failure_domains_evacuated", len(evacuations.failure_domains))
        self.on_change(evacuations)
