"""Connections between processes: one for each peer, reopened when it breaks."""

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

SUSPENDED = "the machine was suspended"
"""Reason for which a connection is closed after a resume."""

CONNECT_TIMEOUT_S = 0.5
"""Shorter than the kernel's first SYN retransmission, which follows after 1 s."""

HELLO_TIMEOUT_S = 1.0
"""Time allowed for both sides to exchange their hello messages."""

TCP_USER_TIMEOUT_MS = 2000
"""Time that sent data may stay unacknowledged before the kernel closes a connection."""

MIN_REDIAL_DELAY_S = 0.1
"""First delay between connection attempts; short, so that a restarted peer is found quickly."""

MAX_REDIAL_DELAY_S = 1.0
"""Longest delay between attempts at an address that does not answer."""

IDLE_TIMEOUT_S = 1.0
"""Time without a frame after which a connection is closed: several report periods."""

RECONNECT_AFTER_S = 0.2
"""Time without a frame after which a connection may be replaced: at least two echo periods."""

RECONNECT_INTERVAL_S = 0.3
"""Minimum time between two attempts to replace the same connection."""


class Links:
    """Sends messages to processes by name and delivers the messages that they send.

    Parameters
    ----------
    cfg : LeasedSettings
        Address to listen at, and the key that authenticates frames.
    identity : Hello
        Introduction that this process sends on every new connection.
    metrics : Metrics
        Counters of frames and bytes.
    clock : Clock
        Source of monotonic time.
    listeners : Listeners, optional
        Sockets that are already listening.

    Attributes
    ----------
    me : Hello
        The introduction of this process.
    on_open : callable
        Called with the peer's hello when a connection opens; must not block.
    on_close : callable
        Called with the peer's process name when its connection closes; must not block.
    on_message : callable
        Called with a message and the process that sent it; must not block.

    Examples
    --------
    ``links.start()``, then ``links.dial("10.0.0.1:7720")`` and ``links.send("e1.5", msg)``.
    """

    def __init__(
        self,
        cfg: LeasedSettings,
        identity: Hello,
        metrics: Metrics,
        clock: Clock,
        listeners: Listeners | None = None,
    ) -> None:
        self.on_open: Callable[[Hello], None] = lambda hello: None
        self.on_close: Callable[[str], None] = lambda process: None
        self.on_message: Callable[[Message, str], None] = lambda msg, process: None
        self.me = identity
        self._metrics = metrics
        self._clock = clock
        self._key = cfg.peer_key.encode()
        self._open: dict[str, Conn] = {}
        self._last_frame_at: dict[str, float] = {}
        self._opened_in: dict[str, int] = {}
        self._same_role: set[str] = set()
        self._dialers: dict[str, gevent.Greenlet] = {}
        self._reconnected_at: dict[str, float] = {}
        listener = (listeners or Listeners()).take(cfg.peer_address)
        self._server = StreamServer(listener, self._serve)

    def start(self) -> None:
        """Start to listen; raises ``OSError`` when the address is in use."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening and close every connection."""
        self._server.stop()
        for conn in list(self._open.values()):
            conn.close()

    def processes(self) -> list[str]:
        """Names of the processes with an open connection, sorted."""
        return sorted(self._open)

    def dial(self, address: str, delay_s: float = 0.0) -> None:
        """Keep a connection to an address open until ``stop_dialing`` is called.

        Parameters
        ----------
        address : str
            ``ip:port``.
        delay_s : float
            Time in seconds that the peer is given to connect first.
        """
        if address not in self._dialers and address != self.me.address:
            self._dialers[address] = gevent.spawn(self._keep_dialed, address, delay_s)

    def stop_dialing(self, address: str) -> None:
        """Stop reconnecting to an address; an open connection stays open."""
        dialer = self._dialers.pop(address, None)
        if dialer is not None:
            dialer.kill(block=False)

    def peer_addresses(self) -> dict[str, str]:
        """Addresses of the instances with an open connection, by instance name."""
        return {instance_of(process): conn.address for process, conn in self._open.items()}

    def disconnect(self, process: str, reason: str) -> None:
        """Close the connection to a process, if there is one, and log the reason."""
        conn = self._open.get(process)
        if conn is not None:
            conn.close()
            self._lose(conn, reason)

    def _keep_dialed(self, address: str, delay_s: float) -> None:
        retry_s = MIN_REDIAL_DELAY_S
        gevent.sleep(delay_s)
        while True:
            if any(conn.address == address for conn in self._open.values()):
                retry_s = MIN_REDIAL_DELAY_S
                gevent.sleep(MIN_REDIAL_DELAY_S)
                continue
            self._run_dialed(address)
            gevent.sleep(retry_s)
            retry_s = min(MAX_REDIAL_DELAY_S, retry_s * 1.5)

    def reconnect(self, process: str) -> None:
        """Open a second connection that replaces one on which no frames arrive.

        A TCP connection may stall permanently while new ones work. Only one side may call this:
        two replacements that cross would close each other.
        """
        conn = self._open.get(process)
        now = self._clock.now()
        if (
            conn is None
            or now - self._reconnected_at.get(process, -RECONNECT_INTERVAL_S) < RECONNECT_INTERVAL_S
        ):
            return
        if now - self._last_frame_at[process] < RECONNECT_AFTER_S:
            # The connection is slow, not stalled; another one would add load to a full link.
            return
        self._reconnected_at[process] = now
        self._metrics.count("links_renewed")
        gevent.spawn(self._run_dialed, conn.address)

    def _run_dialed(self, address: str) -> None:
        ip, _, port = address.partition(":")
        try:
            sock = gsocket.create_connection((ip, int(port)), timeout=CONNECT_TIMEOUT_S)
        except OSError as exc:
            self._metrics.count("link_dials_failed", label=type(exc).__name__)
            return
        self._handshake_and_run(sock, dialed=True)

    def _serve(self, sock: Any, _address: object) -> None:
        self._handshake_and_run(sock, dialed=False)

    def _handshake_and_run(self, sock: Any, dialed: bool) -> None:
        set_socket_options(sock, TCP_USER_TIMEOUT_MS)
        frames = split_frames(iter_received(sock), self._key)
        try:
            with gevent.Timeout(HELLO_TIMEOUT_S):
                sock.sendall(pack_frame(encode(self.me), self._key))
                hello = _expect_hello(frames)
        except (gevent.Timeout, OSError, FrameError) as exc:
            self._metrics.count("links_refused", label=type(exc).__name__)
            sock.close()
            return
        if hello.role == self.me.role == "agent":
            # Seeds may name other agents; those exchange no messages.
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
            same_instance = instance_of(process) == instance_of(hello.process)
            if same_instance or old.address == hello.address:
                # A newer connection or incarnation replaces the older one.
                del self._open[process]
                self._opened_in.pop(process, None)
                self._same_role.discard(process)
                old.close()
                if process != hello.process:
                    self.on_close(process)
        self._open[hello.process] = conn
        self._last_frame_at[hello.process] = self._clock.now()
        self._opened_in[hello.process] = self._clock.suspensions()
        if hello.role == self.me.role:
            self._same_role.add(hello.process)
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
                if self._is_outdated(conn.process):
                    reason = SUSPENDED
                    break
                self._last_frame_at[conn.process] = self._clock.now()
                self.on_message(decode(body), conn.process)
        except FrameError as exc:
            reason = str(exc)
            self._metrics.count("bad_frames")
        except OSError as exc:
            reason = type(exc).__name__
        except Exception as exc:
            # The dialer reconnects; the cause must be logged before this loop ends.
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
            self._reconnected_at.pop(conn.process, None)
            self._opened_in.pop(conn.process, None)
            self._same_role.discard(conn.process)
            logger.bind(peer=conn.process, reason=reason).warning("peer lost")
            self.on_close(conn.process)

    def _is_outdated(self, process: str) -> bool:
        return self._opened_in.get(process) != self._clock.suspensions()

    def close_idle(self) -> None:
        """Close connections that are idle, or were opened before the machine was suspended.

        Idle ones had no frame for ``IDLE_TIMEOUT_S``; entries report nothing to one another and may
        stay idle. On the others, frames may have waited for the resume and tell what was true
        before it. Dialers open them again, each side then sends its present state, and what was
        lost is sent again or withdrawn.
        """
        now = self._clock.now()
        for process in list(self._open):
            silent_s = now - self._last_frame_at[process]
            if self._is_outdated(process):
                self.disconnect(process, SUSPENDED)
            elif silent_s > IDLE_TIMEOUT_S and process not in self._same_role:
                self.disconnect(process, f"silent for {silent_s:.1f} s")

    def send(self, process: str, msg: Message) -> bool:
        """Queue a message; false when it is certain not to be sent."""
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
        raise FrameError(ResultCode.BAD_FRAME, "connection closed before hello")
    msg = decode(body)
    if not isinstance(msg, Hello) or msg.version != PROTOCOL_VERSION:
        raise FrameError(
            ResultCode.BAD_VERSION, "first frame is not a hello of this protocol version"
        )
    return msg
