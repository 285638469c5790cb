"""A TCP relay whose open connections can go silent for good, while new ones work."""

from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer
from nodes import free_port


class Relay:
    """Carries bytes between a free loopback port and an address, until it is told to be silent.

    Examples
    --------
    ``relay = Relay("127.0.0.1:7300")``, connect to ``relay.address``, ``relay.silence()``.
    """

    def __init__(self, target: str) -> None:
        ip, _, port = target.partition(":")
        self._target = (ip, int(port))
        self.address = f"127.0.0.1:{free_port()}"
        self.connections = 0
        self._age = 0
        self._server = StreamServer(("127.0.0.1", int(self.address.partition(":")[2])), self._serve)
        self._server.start()

    def silence(self) -> None:
        """From now on nothing passes on the connections that are open."""
        self._age += 1

    def stop(self) -> None:
        """Take no more connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock: Any, _address: object) -> None:
        self.connections += 1
        age = self._age
        other = socket.create_connection(self._target)
        for each in (sock, other):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pumps = [gevent.spawn(self._pump, *pair, age) for pair in ((sock, other), (other, sock))]
        gevent.joinall(pumps)

    def _pump(self, source: Any, sink: Any, age: int) -> None:
        while True:
            try:
                data = source.recv(65536)
                if age != self._age:
                    continue_silent(source)
                    return
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                return


def continue_silent(source: Any) -> None:
    """Take what still comes and pass nothing on, not even the end."""
    while source.recv(65536):
        pass
    gevent.sleep(60)
