"""Runs one entry or agent on the platform."""

import os
import signal

import gevent
from gevent.event import Event
from loguru import logger

from ..codes import ResultCode
from ..events import set_up_decision_log
from ..leased.process import Process, run_agent, run_entry, watch_settings
from ..leased.settings import LeasedSettings
from ..listeners import Listeners
from .boot import EXIT_BAD_SETTING
from .config import CONFIG_SOURCE
from .settings import PATH_VARIABLE, read_settings_file
from .store import PlatformStore


def run_role(cfg: LeasedSettings, listeners: Listeners) -> int:
    """Run an entry or agent until it is stopped.

    Parameters
    ----------
    cfg : LeasedSettings
        Settings of the process.
    listeners : Listeners
        Sockets that are already listening.

    Returns
    -------
    int
        Exit status of the process.
    """
    # All addresses are IP addresses, so the resolver needs no threads.
    gevent.config.resolver = "block"
    base = Process(cfg, PlatformStore(cfg.store_address), CONFIG_SOURCE, listeners)
    decision_log = set_up_decision_log(
        base.identity.process, lambda count: base.metrics.count("logs_dropped", count)
    )
    stopping, reload = Event(), Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopping.set)
    gevent.signal_handler(signal.SIGHUP, reload.set)
    logger.bind(role=cfg.role, address=cfg.peer_address, domain=cfg.failure_domain).info("started")
    gevent.spawn(
        watch_settings, base, lambda: read_settings_file(cfg.role), _settings_mtime, reload
    )
    try:
        _run(base, stopping)
    except OSError as exc:
        logger.bind(code=int(ResultCode.BAD_SETTING)).error("cannot start: {}", exc)
        decision_log.write_some()
        return EXIT_BAD_SETTING
    logger.info("stopped")
    decision_log.write_some()
    return 0


# Each role imports only what it uses, to keep start-up time and memory low.
def _run(base: Process, stopping: Event) -> None:
    cfg = base.cfg
    if cfg.role == "agent":
        from .endpoint import PlatformEndpoint
        from .heartbeats import HeartbeatApp

        driver = PlatformEndpoint(cfg.endpoint_address, cfg.stop_s)
        run_agent(
            base,
            driver,
            lambda agent: HeartbeatApp(agent, base.http_cfg, cfg.endpoint_address),
            stopping,
        )
    else:
        from .callers import CallerApp

        run_entry(
            base,
            lambda entry: CallerApp(entry, base.feed, base.http_cfg, base.metrics),
            stopping,
        )


def _settings_mtime() -> float:
    try:
        return os.stat(os.environ.get(PATH_VARIABLE, "")).st_mtime
    except OSError:
        return 0.0
