"""Hands evacuations on between entries and agents, so that they reach those without the store."""

from collections.abc import Callable

from ..messages import Evacuated
from .evacuations import EvacuationFeed, Evacuations
from .links import Links


class EvacuationBroadcast:
    """Tells every peer of evacuations when they change, and when its connection opens.

    An account is taken in only when it is newer than the one that is known, so it passes each
    connection once. The order of frames puts it before any run that its sender assigns.

    Parameters
    ----------
    feed : EvacuationFeed
        The account of this process.
    links : Links
        Connections to peers.
    on_change : callable
        What the process does when other failure domains are evacuated than before.

    Examples
    --------
    ``sharing.send_to("e1.5")`` when a connection opens, ``sharing.take(msg, "e1.5")`` for what comes.
    """

    def __init__(
        self, feed: EvacuationFeed, links: Links, on_change: Callable[[Evacuations], None]
    ) -> None:
        self._feed = feed
        self._links = links
        self._act = on_change
        feed.on_change = self._changed

    def send_to(self, process: str) -> None:
        """Tell a peer what is known, when its connection has opened."""
        if self._feed.is_known:
            self._tell(process, self._feed.current)

    def take(self, msg: Evacuated, process: str) -> None:
        """Take in what a peer knows."""
        told = Evacuations(msg.position, tuple(msg.failure_domains))
        self._feed.apply_if_newer(told, f"peer {process}")

    def _changed(self, evacuations: Evacuations) -> None:
        self._act(evacuations)
        for process in self._links.processes():
            self._tell(process, evacuations)

    def _tell(self, process: str, evacuations: Evacuations) -> None:
        msg = Evacuated(evacuations.position, list(evacuations.failure_domains))
        self._links.send(process, msg)
