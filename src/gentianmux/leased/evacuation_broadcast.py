"""Propagates evacuations between entries and agents, for processes that cannot reach the store."""

from collections.abc import Callable

from .evacuations import EvacuationFeed, Evacuations
from .links import Links
from .messages import Evacuated


class EvacuationBroadcast:
    """Sends evacuations to every peer when they change, and when its connection opens.

    Only newer evacuations are put in force and passed on, so each crosses a connection once.
    Frames are ordered, so a peer receives them before any run that the same sender assigns later.

    Parameters
    ----------
    feed : EvacuationFeed
        Evacuations known to this process.
    links : Links
        Connections to peers.
    on_change : callable
        Called with evacuations that change the failure domains.

    Examples
    --------
    ``broadcast.send_to("e1.5")`` when a connection opens, ``broadcast.take(msg, "e1.5")`` for a
    message from a peer.
    """

    def __init__(
        self, feed: EvacuationFeed, links: Links, on_change: Callable[[Evacuations], None]
    ) -> None:
        self._feed = feed
        self._links = links
        self._on_change = on_change
        feed.on_change = self._broadcast

    def send_to(self, process: str) -> None:
        """Send the known evacuations to a peer whose connection has opened."""
        if self._feed.is_known:
            self._send(process, self._feed.current)

    def take(self, msg: Evacuated, process: str) -> None:
        """Put the evacuations received from a peer in force if they are newer."""
        received = Evacuations(msg.position, tuple(msg.failure_domains))
        self._feed.apply_if_newer(received, f"peer {process}")

    def _broadcast(self, evacuations: Evacuations) -> None:
        self._on_change(evacuations)
        for process in self._links.processes():
            self._send(process, evacuations)

    def _send(self, process: str, evacuations: Evacuations) -> None:
        msg = Evacuated(evacuations.position, list(evacuations.failure_domains))
        self._links.send(process, msg)
