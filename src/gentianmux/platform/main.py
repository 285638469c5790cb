"""Runs one process on the platform: an entry or an agent."""

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
    """Run a process whose addresses are open until it is stopped; return its exit status."""
    # Addresses are IP numbers, so resolving needs no threads.
    gevent.config.resolver = "block"
    base = Process(cfg, PlatformStore(cfg.store_address), CONFIG_SOURCE, listeners)
    lines = set_up_decision_log(
        base.me.process, lambda count: base.metrics.count("logs_dropped", count)
    )
    stopping, reload = Event(), Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopping.set)
    gevent.signal_handler(signal.SIGHUP, reload.set)
    logger.bind(role=cfg.role, address=cfg.peer_address, domain=cfg.failure_domain).info("started")
    gevent.spawn(watch_settings, base, lambda: read_settings_file(cfg.role), _changed_at, reload)
    try:
        _run(base, stopping)
    except OSError as exc:
        logger.bind(code=int(ResultCode.BAD_SETTING)).error("cannot start: {}", exc)
        lines.write_some()
        return EXIT_BAD_SETTING
    logger.info("stopped")
    lines.write_some()
    return 0


# Each role imports only what it uses: start-up time is recovery time, and memory is paid for.
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


def _changed_at() -> float:
    try:
        return os.stat(os.environ.get(PATH_VARIABLE, "")).st_mtime
    except OSError:
        return 0.0
