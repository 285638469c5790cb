"""Propagates the view of the entries between entries and agents."""

from collections.abc import Callable

from .entry_view import NO_VERSION, new_view
from .links import Links
from .messages import EntriesKnown
from .view_keeper import ViewKeeper


class ViewBroadcast:
    """Sends the view to every peer when it changes, and when a connection opens.

    Agents pass it on as well. So an entry that starts while the store is down learns from them who
    the entries are, and where.

    Parameters
    ----------
    views : ViewKeeper
        The view that is known to this process.
    links : Links
        Connections to peers.

    Attributes
    ----------
    on_address : callable
        Called with the name and the address of each entry that a peer has told of first.

    Examples
    --------
    ``broadcast.send_to("w1.5")`` when a connection opens, ``broadcast.take(msg, "w1.5")`` for a
    message from a peer.
    """

    def __init__(self, views: ViewKeeper, links: Links) -> None:
        self.on_address: Callable[[str, str], None] = lambda name, address: None
        self._views = views
        self._links = links
        self._addresses: dict[str, str] = {}
        views.listeners.append(self._broadcast)

    def learn_address(self, name: str, address: str) -> None:
        """Remember the address of an entry, from its announcement."""
        self._addresses[name] = address

    def send_to(self, process: str) -> None:
        """Send the view to a peer whose connection has opened."""
        view = self._views.view
        if view is None:
            return
        names, addresses = list(self._addresses), list(self._addresses.values())
        msg = EntriesKnown(view.version, list(view.settled), list(view.target), names, addresses)
        self._links.send(process, msg)

    def take(self, msg: EntriesKnown, process: str) -> None:
        """Use what a peer knows, where it is newer."""
        for name, address in zip(msg.names, msg.addresses, strict=False):
            if name not in self._addresses:
                self._addresses[name] = address
                self.on_address(name, address)
        if msg.version != NO_VERSION and msg.settled and msg.target:
            view = new_view(msg.version, msg.settled, msg.target)
            self._views.apply_if_newer(view, f"peer {process}")

    def _broadcast(self) -> None:
        for process in self._links.processes():
            self.send_to(process)
