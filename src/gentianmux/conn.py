"""One framed connection between two gentianmux processes."""

import os
import socket
from collections.abc import Callable, Iterator
from typing import Any

from gevent.event import Event

UNACKED_TIMEOUT_MS = 5000
MAX_OUTBOX_BYTES = 32 * 1024 * 1024
RECEIVE_BYTES = 256 * 1024


class Conn:
    """One connection to a peer; what is sent before it opens waits in its outbox.

    Attributes
    ----------
    opened : bool
        Whether the peer proved to be the process that was meant; nothing leaves before.
    refused : bool
        Whether the host answered that nothing listens there, or that another process does.
    """

    def __init__(self, process: str, address: str) -> None:
        self.process = process
        self.address = address
        self.opened = False
        self.closed = False
        self.refused = False
        self.sock: Any = None
        self._outbox: list[bytes] = []
        self._outbox_bytes = 0
        self._wake = Event()
        self._writing = False
        self._plain: Any = None

    def open(self) -> None:
        """Begin to send what is put."""
        # A second object on the same descriptor, whose send never waits.
        self._plain = socket.socket(fileno=os.dup(self.sock.fileno()))
        self._plain.setblocking(False)
        self.opened = True
        self._wake.set()

    def enqueue(self, frame: bytes) -> bool:
        """Queue a frame; false when the connection is closed or its outbox is full."""
        if self.closed or self._outbox_bytes + len(frame) > MAX_OUTBOX_BYTES:
            return False
        if self.opened and not self._outbox and not self._writing:
            frame = frame[self._send_now(frame) :]
            if not frame:
                return True
        self._outbox.append(frame)
        self._outbox_bytes += len(frame)
        self._wake.set()
        return True

    def write_loop(self) -> None:
        """Send what is in the outbox for as long as the connection is open."""
        while not self.closed:
            self._wake.wait()
            self._wake.clear()
            data, self._outbox, self._outbox_bytes = b"".join(self._outbox), [], 0
            if data:
                self._writing = True
                self.sock.sendall(data)
                self._writing = False

    def _send_now(self, frame: bytes) -> int:
        """Hand as much to the kernel as it takes at once, without a turn of the event loop."""
        try:
            return int(self._plain.send(frame, socket.MSG_DONTWAIT))
        except OSError:
            return 0

    def close(self) -> None:
        """Close at once."""
        self.closed = True
        self._wake.set()
        if self.sock is not None:
            self.sock.close()
        if self._plain is not None:
            self._plain.close()


def iter_received(sock: Any) -> Iterator[bytes]:
    """Yield what arrives until the peer closes."""
    while True:
        data = sock.recv(RECEIVE_BYTES)
        if not data:
            return
        yield data


def set_socket_options(sock: Any, unacked_ms: int = UNACKED_TIMEOUT_MS) -> None:
    """Send without delay and give up on a peer that acknowledges nothing."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_ms)
    sock.settimeout(None)


def run_writer(write_loop: Callable[[], None]) -> None:
    """Run the writer of a connection; its reader reports why the connection ended."""
    try:
        write_loop()
    except OSError:
        return
