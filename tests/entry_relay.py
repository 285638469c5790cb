"""A TCP relay in front of an entry that can cut it off from other entries."""

from collections.abc import Iterator
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from gentianmux.codec import decode, encode
from gentianmux.frames import pack_frame, split_frames
from gentianmux.messages import Hello


class EntryRelay:
    """Forwards connections of entries and agents to an entry, which it gives its own address.

    ``cut`` holds up what passes between this entry and others, and ``close`` ends their
    connections. Connections of agents are never held up.

    Examples
    --------
    ``relay = EntryRelay("127.0.1.71:7400", "127.0.1.51:7400")``, then ``relay.cut("front-0")``.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self._target = _endpoint_of(target)
        self._passes: dict[str, Event] = {}
        self._open: dict[str, list[Any]] = {}
        self._server = StreamServer(_endpoint_of(address), self._serve)
        self._server.start()

    def cut(self, dialer: str) -> None:
        """Hold up what passes between an entry that dials and this one."""
        self._pass_of(dialer).clear()

    def heal(self, dialer: str) -> None:
        """Let everything pass again, also what was held up."""
        self._pass_of(dialer).set()

    def close(self, dialer: str) -> None:
        """Close the open connections of an entry that dials."""
        for sock in self._open.pop(dialer, []):
            sock.close()

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.stop(timeout=0)

    def _pass_of(self, dialer: str) -> Event:
        if dialer not in self._passes:
            self._passes[dialer] = Event()
            self._passes[dialer].set()
        return self._passes[dialer]

    def _serve(self, sock: Any, _address: object) -> None:
        chunks = _received(sock)
        frames = split_frames(chunks)
        hello = decode(next(frames))
        assert isinstance(hello, Hello)
        dialer = hello.process.partition(".")[0] if hello.role == "entry" else ""
        upstream = socket.create_connection(self._target)
        self._open.setdefault(dialer, []).extend((sock, upstream))
        passes = self._pass_of(dialer)
        passes.wait()
        upstream.sendall(pack_frame(encode(hello)))
        answer_chunks = _received(upstream)
        answer = decode(next(split_frames(answer_chunks)))
        assert isinstance(answer, Hello)
        sock.sendall(pack_frame(encode(answer._replace(address=self.address))))
        gevent.joinall(
            [
                gevent.spawn(_forward, chunks, upstream, passes),
                gevent.spawn(_forward, answer_chunks, sock, passes),
            ]
        )


def _endpoint_of(address: str) -> tuple[str, int]:
    ip, _, port = address.partition(":")
    return ip, int(port)


def _received(sock: Any) -> Iterator[bytes]:
    while data := sock.recv(65536):
        yield data


def _forward(chunks: Iterator[bytes], sink: Any, passes: Event) -> None:
    try:
        for data in chunks:
            passes.wait()
            sink.sendall(data)
        sink.shutdown(socket.SHUT_WR)
    except OSError:
        return
