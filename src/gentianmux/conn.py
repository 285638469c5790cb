"""Framed connection between two gentianmux processes."""

import os
import socket
from collections.abc import Callable, Iterator
from typing import Any

from gevent.event import Event

UNACKED_TIMEOUT_MS = 5000
MAX_OUTBOX_BYTES = 32 * 1024 * 1024
RECEIVE_BYTES = 256 * 1024


class Conn:
    """Connection to a peer; frames sent before it opens are queued in its outbox.

    Attributes
    ----------
    opened : bool
        Whether the peer's hello named the expected process; nothing is sent before.
    refused : bool
        Whether the host refused the connection, or another process answered.
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
        self._nonblocking_sock: Any = None

    def open(self) -> None:
        """Start sending queued frames."""
        # A second socket object on a duplicate descriptor, for sends that never block.
        self._nonblocking_sock = socket.socket(fileno=os.dup(self.sock.fileno()))
        self._nonblocking_sock.setblocking(False)
        self.opened = True
        self._wake.set()

    def enqueue(self, frame: bytes) -> bool:
        """Queue a frame; false if the connection is closed or its outbox is full."""
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
        """Send queued frames until the connection closes."""
        while not self.closed:
            self._wake.wait()
            self._wake.clear()
            data, self._outbox, self._outbox_bytes = b"".join(self._outbox), [], 0
            if data:
                self._writing = True
                self.sock.sendall(data)
                self._writing = False

    def _send_now(self, frame: bytes) -> int:
        """Send what the kernel accepts without blocking, and return the number of bytes."""
        try:
            return int(self._nonblocking_sock.send(frame, socket.MSG_DONTWAIT))
        except OSError:
            return 0

    def close(self) -> None:
        """Close the connection and drop queued frames."""
        self.closed = True
        self._wake.set()
        if self.sock is not None:
            self.sock.close()
        if self._nonblocking_sock is not None:
            self._nonblocking_sock.close()


def iter_received(sock: Any) -> Iterator[bytes]:
    """Yield received chunks until the peer closes the connection."""
    while True:
        data = sock.recv(RECEIVE_BYTES)
        if not data:
            return
        yield data


def set_socket_options(sock: Any, unacked_ms: int = UNACKED_TIMEOUT_MS) -> None:
    """Disable Nagle's algorithm and set the timeout for unacknowledged data, in ms."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked_ms)
    sock.settimeout(None)


def run_writer(write_loop: Callable[[], None]) -> None:
    """Run a connection's write loop; errors are left to its reader to report."""
    try:
        write_loop()
    except OSError:
        return
