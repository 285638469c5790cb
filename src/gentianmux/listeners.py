"""Listening sockets opened before the servers that accept from them."""

import socket
from collections.abc import Iterable
from typing import Any

BACKLOG = 1024
"""Connections that may wait at an address: ten times the callers of a busy entry."""


class Listeners:
    """Sockets that listen from process start on.

    Connections made while the rest of the program is imported wait in the kernel instead of being
    refused, since a refused caller retries only after a pause.

    Parameters
    ----------
    addresses : iterable of str
        Addresses as ``ip:port``.

    Raises
    ------
    OSError
        If an address cannot be bound.

    Examples
    --------
    >>> Listeners().take("127.0.0.1:80")
    ('127.0.0.1', 80)
    """

    def __init__(self, addresses: Iterable[str] = ()) -> None:
        self._open = {address: _listen(address) for address in addresses}

    def take(self, address: str) -> Any:
        """Return the listener for a gevent server: the open socket, or the address to bind."""
        sock = self._open.pop(address, None)
        if sock is None:
            return _ip_and_port(address)
        # Imported here, since this module must load before gevent.
        from gevent.socket import socket as GeventSocket

        return GeventSocket(fileno=sock.detach())


def _ip_and_port(address: str) -> tuple[str, int]:
    ip, _, port = address.partition(":")
    return ip, int(port)


def _listen(address: str) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(_ip_and_port(address))
    sock.listen(BACKLOG)
    return sock
