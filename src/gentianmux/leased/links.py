"""Connections between entries and agents: one to each peer, opened again when it breaks."""

from collections.abc import Callable, Iterator
from typing import Any

import gevent
from gevent import socket as gsocket
from gevent.server import StreamServer
from loguru import logger

from ..clock import Clock
from ..codec import decode, encode
from ..codes import ResultCode
from ..conn import Conn, iter_received, run_writer, set_socket_options
from ..errors import FrameError
from ..frames import pack_frame, split_frames
from ..listeners import Listeners
from ..messages import PROTOCOL_VERSION, Hello, Message
from ..metrics import Metrics
from .model import instance_of
from .settings import LeasedSettings

CONNECT_S = 0.5
"""Seconds to connect; a round trip is a few ms, a lost opening packet is sent again after 1 s."""

HELLO_S = 1.0
"""Seconds for a peer to say who it is, as long as a slowed process may need."""

UNACKED_MS = 2000
"""Milliseconds of data without an acknowledgement before a connection is given up."""

REDIAL_S = 0.1
"""Seconds between tries at first, so that a restarted peer is found within about 0.1 s."""

SLOWEST_REDIAL_S = 1.0
"""Seconds between tries at an address that has not answered for long."""

IDLE_TIMEOUT_S = 1.0
"""Seconds without a frame, ten reports or echoes, after which a connection is given up."""

RECONNECT_AFTER_S = 0.2
"""Seconds without any frame, two echoes, after which a connection may be silent for good."""

RECONNECT_INTERVAL_S = 0.3
"""Seconds between tries to replace a connection on which nothing gets through."""


class Links:
    """Sends messages to processes by name, and hands on what they send.

    Parameters
    ----------
    cfg : LeasedSettings
        Where to listen, and the key of the frames.
    me : Hello
        How this process introduces itself.
    metrics : Metrics
        Counts frames and bytes.
    clock : Clock
        Time.
    listeners : Listeners, optional
        Addresses that are open already.

    Notes
    -----
    ``on_open``, ``on_close`` and ``on_message`` are set by the controller; they must not block.
    """

    def __init__(
        self,
        cfg: LeasedSettings,
        me: Hello,
        metrics: Metrics,
        clock: Clock,
        listeners: Listeners | None = None,
    ) -> None:
        self.on_open: Callable[[Hello], None] = lambda hello: None
        self.on_close: Callable[[str], None] = lambda process: None
        self.on_message: Callable[[Message, str], None] = lambda msg, process: None
        self._me = me
        self._metrics = metrics
        self._clock = clock
        self._key = cfg.peer_key.encode()
        self._open: dict[str, Conn] = {}
        self._heard: dict[str, float] = {}
        self._dialing: dict[str, gevent.Greenlet] = {}
        self._renewed: dict[str, float] = {}
        listener = (listeners or Listeners()).take(cfg.peer_address)
        self._server = StreamServer(listener, self._serve)

    def start(self) -> None:
        """Begin to listen; raises ``OSError`` when the address is taken."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening and close every connection."""
        self._server.stop()
        for conn in list(self._open.values()):
            conn.close()

    def processes(self) -> list[str]:
        """Processes with an open connection."""
        return sorted(self._open)

    def dial(self, address: str, patience_s: float = 0.0) -> None:
        """Keep a connection to an address until ``undial``.

        Parameters
        ----------
        address : str
            ``ip:port``.
        patience_s : float
            How long to wait for the peer to connect by itself.
        """
        if address not in self._dialing and address != self._me.address:
            self._dialing[address] = gevent.spawn(self._keep_dialed, address, patience_s)

    def undial(self, address: str) -> None:
        """Open no more connections to an address; one that is open stays."""
        dialing = self._dialing.pop(address, None)
        if dialing is not None:
            dialing.kill(block=False)

    def peers(self) -> dict[str, str]:
        """Address of each instance with an open connection."""
        return {instance_of(process): conn.address for process, conn in self._open.items()}

    def drop(self, process: str, reason: str) -> None:
        """Close a connection that is no longer needed."""
        conn = self._open.get(process)
        if conn is not None:
            conn.close()
            self._lose(conn, reason)

    def _keep_dialed(self, address: str, patience_s: float) -> None:
        wait_s = REDIAL_S
        gevent.sleep(patience_s)
        while True:
            if any(conn.address == address for conn in self._open.values()):
                wait_s = REDIAL_S
                gevent.sleep(REDIAL_S)
                continue
            self._run_dialed(address)
            gevent.sleep(wait_s)
            wait_s = min(SLOWEST_REDIAL_S, wait_s * 1.5)

    def reconnect(self, process: str) -> None:
        """Open another connection beside one on which nothing gets through, to replace it.

        A connection may go silent for good while new ones work. Only one side may do this: two
        that cross would each replace the other's.
        """
        conn = self._open.get(process)
        now = self._clock.now()
        if (
            conn is None
            or now - self._renewed.get(process, -RECONNECT_INTERVAL_S) < RECONNECT_INTERVAL_S
        ):
            return
        if now - self._heard[process] < RECONNECT_AFTER_S:
            # It is slow, not silent; more connections would make a full link slower still.
            return
        self._renewed[process] = now
        self._metrics.count("links_renewed")
        gevent.spawn(self._run_dialed, conn.address)

    def _run_dialed(self, address: str) -> None:
        ip, _, port = address.partition(":")
        try:
            sock = gsocket.create_connection((ip, int(port)), timeout=CONNECT_S)
        except OSError as exc:
            self._metrics.count("link_dials_failed", label=type(exc).__name__)
            return
        self._greet_and_run(sock, dialed=True)

    def _serve(self, sock: Any, _address: object) -> None:
        self._greet_and_run(sock, dialed=False)

    def _greet_and_run(self, sock: Any, dialed: bool) -> None:
        set_socket_options(sock, UNACKED_MS)
        frames = split_frames(iter_received(sock), self._key)
        try:
            with gevent.Timeout(HELLO_S):
                sock.sendall(pack_frame(encode(self._me), self._key))
                hello = _expect_hello(frames)
        except (gevent.Timeout, OSError, FrameError) as exc:
            self._metrics.count("links_refused", label=type(exc).__name__)
            sock.close()
            return
        if hello.role == self._me.role:
            # A seed of the same role: there is nothing to say.
            self._metrics.count("links_refused", label="same_role")
            sock.close()
            return
        conn = Conn(hello.process, hello.address)
        conn.sock = sock
        self._register(hello, conn)
        if dialed:
            gevent.spawn(self._run, conn, frames)
        else:
            self._run(conn, frames)

    def _register(self, hello: Hello, conn: Conn) -> None:
        for process, old in list(self._open.items()):
            same_node = instance_of(process) == instance_of(hello.process)
            if same_node or old.address == hello.address:
                # The newer connection, or the newer life, replaces the older one.
                del self._open[process]
                old.close()
                if process != hello.process:
                    self.on_close(process)
        self._open[hello.process] = conn
        self._heard[hello.process] = self._clock.now()
        conn.open()
        logger.bind(peer=hello.process, role=hello.role).info("peer connected")
        self.on_open(hello)

    def _run(self, conn: Conn, frames: Iterator[bytes]) -> None:
        writer = gevent.spawn(run_writer, conn.write_loop)
        reason = "closed by the peer"
        try:
            for body in frames:
                if conn.closed:
                    break
                self._heard[conn.process] = self._clock.now()
                self.on_message(decode(body), conn.process)
        except FrameError as exc:
            reason = str(exc)
            self._metrics.count("bad_frames")
        except OSError as exc:
            reason = type(exc).__name__
        except Exception as exc:
            # The connection is opened anew; its loop must not end without a word.
            reason = f"a message could not be handled: {type(exc).__name__}"
            logger.bind(peer=conn.process, code=int(ResultCode.INTERNAL)).exception(
                "a message could not be handled"
            )
        finally:
            conn.close()
            writer.kill(block=False)
            self._lose(conn, reason)

    def _lose(self, conn: Conn, reason: str) -> None:
        if self._open.get(conn.process) is conn:
            del self._open[conn.process]
            self._renewed.pop(conn.process, None)
            logger.bind(peer=conn.process, reason=reason).warning("peer lost")
            self.on_close(conn.process)

    def close_idle(self) -> None:
        """Close connections on which nothing has come for long; they are opened anew."""
        now = self._clock.now()
        for process in list(self._open):
            if now - self._heard[process] > IDLE_TIMEOUT_S:
                self.drop(process, f"silent for {now - self._heard[process]:.1f} s")

    def send(self, process: str, msg: Message) -> bool:
        """Queue a message; false when it certainly does not leave."""
        conn = self._open.get(process)
        if conn is None:
            return False
        frame = pack_frame(encode(msg), self._key)
        self._metrics.count("frames_out", label=type(msg).__name__)
        self._metrics.count("bytes_out", len(frame))
        return conn.enqueue(frame)


def _expect_hello(frames: Iterator[bytes]) -> Hello:
    body = next(frames, None)
    if body is None:
        raise FrameError(ResultCode.BAD_FRAME, "closed before hello")
    msg = decode(body)
    if not isinstance(msg, Hello) or msg.version != PROTOCOL_VERSION:
        raise FrameError(ResultCode.BAD_VERSION, "no hello of this protocol version")
    return msg
