"""Connections between gentianmux processes, over TCP by IP number."""

import errno
from collections.abc import Callable, Iterator
from typing import Any

import gevent
from gevent import socket as gsocket
from gevent.server import StreamServer
from loguru import logger

from .codec import decode, encode
from .codes import ResultCode
from .conn import Conn, iter_received, run_writer, set_socket_options
from .errors import FrameError
from .frames import pack_frame, split_frames
from .messages import PROTOCOL_VERSION, Hello, Message
from .node_context import NodeContext

CONNECT_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 2.0

Handler = Callable[[Message, NodeContext, str], None]


class Peers:
    """Sends messages to processes by name and hands on what they send.

    Parameters
    ----------
    ctx : NodeContext
        The blackboard; this puts itself there as ``peers``.
    handle : callable
        Called with each message, the board and the sending process; must not block.
    on_lost : callable
        Called with a process and the closed connection.

    Examples
    --------
    ``ctx.peers.send("w1.1764690000000", msg)`` queues the message and returns at once.
    """

    def __init__(
        self, ctx: NodeContext, handle: Handler, on_lost: Callable[[str, Conn], None]
    ) -> None:
        ctx.peers = self
        self._ctx = ctx
        self._handle = handle
        self._on_lost = on_lost
        self._key = ctx.cfg.peer_key.encode()
        self._conns: dict[str, Conn] = {}
        self._open: set[Conn] = set()
        ip, _, port = ctx.cfg.peer_address.partition(":")
        self._server = StreamServer((ip, int(port)), self._serve)

    def start(self) -> None:
        """Begin to listen; raises ``OSError`` when the address is taken."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening and close every connection."""
        self._server.stop()
        for conn in list(self._open):
            conn.close()

    def send(self, process: str, msg: Message) -> bool:
        """Queue a message for a process.

        Returns
        -------
        bool
            False when it certainly does not leave: the process is not known, or its connection
            cannot take more.
        """
        if process == self._ctx.process:
            self._ctx.clock.call_soon(self._handle, msg, self._ctx, process)
            return True
        conn = self._conns.get(process) or self._dial(process)
        if conn is None:
            return False
        frame = pack_frame(encode(msg), self._key)
        self._ctx.metrics.count("frames_out", label=type(msg).__name__)
        self._ctx.metrics.count("bytes_out", len(frame))
        return conn.enqueue(frame)

    def is_connected(self, process: str) -> bool:
        """Whether a connection to a process is open or being opened."""
        return process in self._conns

    def ensure_connected(self, process: str) -> None:
        """Connect to a process if there is no connection, to learn whether it is there."""
        if process != self._ctx.process and process not in self._conns:
            self._dial(process)

    def _dial(self, process: str) -> Conn | None:
        address = self._ctx.address_of(process)
        if address is None:
            return None
        conn = Conn(process, address)
        self._conns[process] = conn
        gevent.spawn(self._run_dialed, conn)
        return conn

    def _run_dialed(self, conn: Conn) -> None:
        chunks = self._connect(conn)
        if chunks is not None:
            self._run(conn, chunks)
        self._lose(conn)

    def _connect(self, conn: Conn) -> Iterator[bytes] | None:
        ip, _, port = conn.address.partition(":")
        try:
            sock = gsocket.create_connection((ip, int(port)), timeout=CONNECT_TIMEOUT_S)
        except OSError as exc:
            conn.refused = exc.errno == errno.ECONNREFUSED
            return None
        set_socket_options(sock)
        conn.sock = sock
        frames = split_frames(iter_received(sock), self._key)
        try:
            with gevent.Timeout(HELLO_TIMEOUT_S):
                sock.sendall(pack_frame(encode(self._hello()), self._key))
                hello = _expect_hello(frames)
        except (gevent.Timeout, OSError, FrameError):
            return None
        # A later process at the same address proves that the one meant has ended.
        conn.refused = hello.process != conn.process
        return None if conn.refused else frames

    def _serve(self, sock: Any, _address: object) -> None:
        set_socket_options(sock)
        frames = split_frames(iter_received(sock), self._key)
        conn = Conn("", "")
        conn.sock = sock
        self._open.add(conn)
        try:
            with gevent.Timeout(HELLO_TIMEOUT_S):
                hello = _expect_hello(frames)
                sock.sendall(pack_frame(encode(self._hello()), self._key))
        except (gevent.Timeout, OSError, FrameError) as exc:
            self._note_bad(exc)
            self._open.discard(conn)
            sock.close()
            return
        conn.process, conn.address = hello.process, hello.address
        self._conns.setdefault(conn.process, conn)
        self._run(conn, frames)
        self._lose(conn)

    def _run(self, conn: Conn, frames: Iterator[bytes]) -> None:
        conn.open()
        self._open.add(conn)
        writer = gevent.spawn(run_writer, conn.write_loop)
        try:
            for body in frames:
                msg = decode(body)
                self._ctx.metrics.count("frames_in", label=type(msg).__name__)
                self._handle(msg, self._ctx, conn.process)
        except (OSError, FrameError) as exc:
            self._note_bad(exc)
        finally:
            conn.close()
            writer.kill(block=False)

    def _lose(self, conn: Conn) -> None:
        conn.closed = True
        self._open.discard(conn)
        if self._conns.get(conn.process) is conn:
            del self._conns[conn.process]
            self._on_lost(conn.process, conn)

    def _note_bad(self, exc: BaseException) -> None:
        if isinstance(exc, FrameError):
            self._ctx.metrics.count("bad_frames")
            logger.bind(code=int(exc.code)).warning("connection closed: {}", exc)

    def _hello(self) -> Hello:
        me = self._ctx.identity
        return Hello(PROTOCOL_VERSION, me.process, me.role, me.address)


def _expect_hello(frames: Iterator[bytes]) -> Hello:
    body = next(frames, None)
    if body is None:
        raise FrameError(ResultCode.BAD_FRAME, "closed before hello")
    msg = decode(body)
    if not isinstance(msg, Hello):
        raise FrameError(ResultCode.BAD_FRAME, "the first frame is no hello")
    if msg.version != PROTOCOL_VERSION:
        raise FrameError(ResultCode.BAD_VERSION, f"version {msg.version}")
    return msg
