"""A TCP relay that simulates half-open connections."""

from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer
from nodes import free_port


class Relay:
    """Forwards TCP connections from a free loopback port to a target address.

    After `silence`, connections already open stop forwarding; new connections still work.

    Examples
    --------
    ``relay = Relay("127.0.0.1:7300")``, connect to ``relay.address``, ``relay.silence()``.
    """

    def __init__(self, target: str) -> None:
        ip, _, port = target.partition(":")
        self._target = (ip, int(port))
        self.address = f"127.0.0.1:{free_port()}"
        self.connections = 0
        self._generation = 0
        self._server = StreamServer(("127.0.0.1", int(self.address.partition(":")[2])), self._serve)
        self._server.start()

    def silence(self) -> None:
        """Stop forwarding on all open connections, without closing them."""
        self._generation += 1

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock: Any, _address: object) -> None:
        self.connections += 1
        generation = self._generation
        upstream = socket.create_connection(self._target)
        for conn in (sock, upstream):
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        forwarders = [
            gevent.spawn(self._forward, *pair, generation)
            for pair in ((sock, upstream), (upstream, sock))
        ]
        gevent.joinall(forwarders)

    def _forward(self, source: Any, sink: Any, generation: int) -> None:
        while True:
            try:
                data = source.recv(65536)
                if generation != self._generation:
                    discard_received(source)
                    return
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                return


def discard_received(source: Any) -> None:
    """Discard data until EOF, then keep the connection to the other side open for a minute."""
    while source.recv(65536):
        pass
    gevent.sleep(60)
