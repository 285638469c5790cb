"""The WSGI server behind every HTTP interface: no Nagle delay, bounded bodies and patience."""

from collections.abc import Callable
from ssl import PROTOCOL_TLS_SERVER, SSLContext
from typing import Any

import gevent
from gevent import pywsgi
from gevent.pool import Pool
from gevent.socket import IPPROTO_TCP, TCP_NODELAY
from loguru import logger

from .codes import ResultCode
from .errors import GentianmuxError
from .listeners import Listeners
from .settings import Settings

MAX_HEADER_LINE = 8192


class _Handler(pywsgi.WSGIHandler):
    def handle(self) -> None:
        # Without this a keep-alive POST waits some 40 ms for a delayed acknowledgement.
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle()

    def read_requestline(self) -> Any:
        # A caller may idle between requests, but not in the middle of one.
        with gevent.Timeout(self.server.idle_timeout_s, False):
            return super().read_requestline()
        return ""

    def read_request(self, raw_requestline: Any) -> Any:
        with gevent.Timeout(self.server.request_timeout_s, False):
            return super().read_request(raw_requestline)
        return False

    def get_environ(self) -> dict[str, Any]:
        # Applications that wait long watch the connection for a caller that leaves.
        environ: dict[str, Any] = super().get_environ()
        environ["gentianmux.socket"] = self.socket
        return environ

    def log_request(self) -> None:
        return

    def log_error(self, msg: str, *args: Any) -> None:
        logger.bind(peer=str(self.client_address)).info(
            "request not served: {}", msg % args if args else msg
        )


class HttpServer(pywsgi.WSGIServer):
    """Serves a WSGI application on an IP number and port.

    Parameters
    ----------
    address : str
        ``ip:port``.
    app : callable
        The application.
    cfg : Settings
        Bounds and, for callers' connections, TLS.
    tls : bool
        Whether to use the certificate of the settings, if they name one.
    listeners : Listeners, optional
        Addresses that are open already.
    """

    def __init__(
        self,
        address: str,
        app: Callable[..., Any],
        cfg: Settings,
        tls: bool = False,
        listeners: Listeners | None = None,
    ) -> None:
        self.idle_timeout_s = 300.0
        self.request_timeout_s = cfg.body_timeout_ms / 1000
        self._cfg = cfg
        self._context: SSLContext | None = None
        options: dict[str, Any] = {}
        if tls and cfg.tls_cert:
            self._context = SSLContext(PROTOCOL_TLS_SERVER)
            self.reload_certificate()
            options["ssl_context"] = self._context
        pool = Pool(cfg.max_connections)
        super().__init__(
            (listeners or Listeners()).take(address),
            app,
            spawn=pool,
            log=None,
            error_log=None,
            handler_class=_Handler,
            **options,
        )

    def reload_certificate(self) -> None:
        """Read the certificate and key again; open connections keep the old ones."""
        if self._context is not None:
            self._context.load_cert_chain(self._cfg.tls_cert, self._cfg.tls_key)


def read_body(environ: dict[str, Any], cfg: Settings) -> bytes:
    """Read a request's body within the bounds on size and time.

    Raises
    ------
    GentianmuxError
        ``BODY_TOO_LARGE`` or ``BODY_TIMEOUT``.
    """
    limit = cfg.max_body_kb * 1024
    try:
        length = int(environ.get("CONTENT_LENGTH") or -1)
    except ValueError as exc:
        raise GentianmuxError(ResultCode.BAD_HEADER, "Content-Length is no number") from exc
    if length > limit:
        raise GentianmuxError(ResultCode.BODY_TOO_LARGE, f"{length} bytes, limit {limit}")
    timeout = gevent.Timeout(cfg.body_timeout_ms / 1000)
    try:
        with timeout:
            body: bytes = environ["wsgi.input"].read(limit + 1 if length < 0 else length)
    except gevent.Timeout as exc:
        if exc is not timeout:
            raise
        raise GentianmuxError(ResultCode.BODY_TIMEOUT) from exc
    except (OSError, ValueError) as exc:
        raise GentianmuxError(ResultCode.BODY_TIMEOUT, "the body was cut off") from exc
    if len(body) > limit:
        raise GentianmuxError(ResultCode.BODY_TOO_LARGE, f"over the limit of {limit} bytes")
    if len(body) < length:
        raise GentianmuxError(ResultCode.BODY_TIMEOUT, "the body was cut off")
    return body
