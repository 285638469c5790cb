"""Runs one process on the platform: an entry or an agent."""

import os
import signal
import sys
from collections.abc import Callable, Iterable
from random import Random
from time import time
from typing import Any

import gevent
from gevent.event import Event
from loguru import logger

from ..clock import Clock
from ..codes import ResultCode
from ..errors import GentianmuxError
from ..events import set_up_decision_log
from ..http_server import HttpServer
from ..leased.config_feed import ConfigFeed
from ..leased.directory import Announcement, Directory
from ..leased.links import Links
from ..leased.model import EndpointReport
from ..leased.settings import LeasedSettings, lease_s
from ..messages import PROTOCOL_VERSION, Hello
from ..metrics import Metrics
from ..settings import Settings
from .config import CONFIG_SOURCE
from .settings import PATH_VARIABLE, read_settings_file
from .store import PlatformStore

EXIT_BAD_SETTING = 2
MAX_CONNECTIONS = 3000
"""Callers' connections at once, below the 4,100 descriptors of the smallest machine."""

LINGER_S = 2.5
"""Seconds for which a stopping entry still takes jobs: two readiness checks, a second apart."""

SPARE_S = 0.7
"""Seconds of the grace period kept for stopping what still runs and saying so."""

RELOAD_S = 1.0
"""Seconds between looks at the settings file, which may change without a signal."""

PATIENCE_S = 0.5
"""Seconds that an entry gives agents to connect by themselves."""


class Process:
    """What both roles share: settings, metrics, store, configuration and connections."""

    def __init__(self, cfg: LeasedSettings) -> None:
        self.cfg = cfg
        self.clock = Clock()
        self.metrics = Metrics(Settings(name=cfg.name))
        self.store = PlatformStore(cfg.store_address)
        self.feed = ConfigFeed(CONFIG_SOURCE, self.store, self.metrics, self.clock)
        process = f"{cfg.name}.{int(time() * 1000)}"
        self.me = Hello(PROTOCOL_VERSION, process, cfg.role, cfg.peer_address)
        self.links = Links(cfg, self.me, self.metrics, self.clock)
        self.http_cfg = Settings(max_connections=MAX_CONNECTIONS)

    def serve(self, address: str, app: Callable[..., Any]) -> HttpServer:
        """Serve an application at an address."""
        server = HttpServer(address, app, self.http_cfg)
        server.start()
        return server

    def metrics_app(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer with all metrics as text."""
        body = self.metrics.text()
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]


def run_agent(base: Process, stopping: Event) -> None:
    """Run an agent until it is told to stop."""
    from ..leased.agent import Agent
    from .endpoint import PlatformEndpoint
    from .heartbeats import HeartbeatApp

    cfg = base.cfg
    driver = PlatformEndpoint(cfg.endpoint_address, cfg.stop_s)
    agent = Agent(cfg, driver, base.links, base.feed, base.metrics, base.clock)
    directory = Directory(base.store, "agents", "entries", base.metrics)
    directory.on_found = lambda found: base.links.dial(found.address)

    def announce(report: EndpointReport | None) -> None:
        stable = None if report is None else report._replace(sequence=0, drain_remaining_s=0.0)
        directory.announce(Announcement(cfg.name, cfg.peer_address, stable))

    agent.on_endpoint = announce
    base.links.start()
    heartbeats = HeartbeatApp(agent, base.http_cfg, cfg.endpoint_address)
    servers = [
        base.serve(cfg.http_address, heartbeats),
        base.serve(cfg.metrics_address, base.metrics_app),
    ]
    agent.run_loops()
    for seed in cfg.seeds:
        base.links.dial(seed)
    gevent.spawn(directory.run)
    gevent.spawn(base.feed.run)
    gevent.spawn(_resume_endpoint, agent, directory, cfg)
    stopping.wait()
    agent.leave(base.clock.now() + cfg.grace_s - SPARE_S)
    for server in servers:
        server.stop(timeout=0)
    base.links.stop()


def _resume_endpoint(agent: Any, directory: Directory, cfg: LeasedSettings) -> None:
    """Take up the endpoint that was announced before a restart; a heartbeat may take 1.5 s."""
    last = directory.last_of(cfg.name)
    if last is not None and last.report is not None and agent.report is None:
        agent.on_report(last.report)
    elif agent.report is None:
        agent.on_endpoint(None)


def run_entry(base: Process, stopping: Event) -> None:
    """Run an entry until it is told to stop."""
    from ..leased.entry import Entry
    from ..leased.fleet_view import FleetView
    from .callers import CallerApp

    cfg = base.cfg
    view = FleetView(lease_s(cfg), cfg.failure_domain, Random(base.me.process))
    entry = Entry(cfg, view, base.links, base.feed, base.metrics, base.clock)
    agents = Directory(base.store, "entries", "agents", base.metrics)
    agents.on_found = lambda found: base.links.dial(found.address, PATIENCE_S)
    entries = Directory(base.store, "entries", "entries", base.metrics)
    names = {cfg.name}

    def count_entry(found: Announcement) -> None:
        names.add(found.name)
        entry.entries = len(names)

    entries.on_found = count_entry
    base.links.start()
    app = CallerApp(entry, base.feed, base.http_cfg, base.metrics)

    def ready_app(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        status = "200 OK" if entry.is_ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    servers = [
        base.serve(cfg.http_address, app),
        base.serve(cfg.readiness_address, ready_app),
        base.serve(cfg.metrics_address, base.metrics_app),
    ]
    entry.run_loops()
    for loop in (agents.run, entries.run, base.feed.run):
        gevent.spawn(loop)
    agents.announce(Announcement(cfg.name, cfg.peer_address))
    stopping.wait()
    entry.leave(LINGER_S, base.clock.now() + cfg.grace_s - SPARE_S)
    gevent.sleep(0.05)
    for server in servers:
        server.stop(timeout=0)
    base.links.stop()


def _watch_settings(base: Process, changed: Event) -> None:
    """Log changes of the settings file; addresses and bounds are taken up at the next start."""
    path = os.environ.get(PATH_VARIABLE, "")
    seen = _mtime(path)
    while True:
        changed.wait(RELOAD_S)
        now = _mtime(path)
        if not changed.is_set() and now == seen:
            continue
        changed.clear()
        seen = now
        try:
            fresh = read_settings_file(base.cfg.role)
        except GentianmuxError as exc:
            logger.bind(code=int(exc.code)).error("settings unreadable, old ones kept: {}", exc)
            continue
        differing = [
            name for name in fresh._fields if getattr(fresh, name) != getattr(base.cfg, name)
        ]
        logger.bind(changed=differing).info("settings read again")
        for seed in fresh.seeds if base.cfg.role == "agent" else ():
            base.links.dial(seed)


def _mtime(path: str) -> float:
    try:
        return os.stat(path).st_mtime
    except OSError:
        return 0.0


ROLES = {"entry": run_entry, "agent": run_agent}


def main(role: str) -> int:
    """Run a process of a role; return its exit status."""
    # Addresses are IP numbers, so resolving needs no threads.
    gevent.config.resolver = "block"
    try:
        cfg = read_settings_file(role)
    except GentianmuxError as exc:
        print(f"{int(exc.code)} {exc.code.label}: {exc.detail}", file=sys.stderr)
        return EXIT_BAD_SETTING
    base = Process(cfg)
    lines = set_up_decision_log(
        base.me.process, lambda count: base.metrics.count("logs_dropped", count)
    )
    stopping, reload = Event(), Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopping.set)
    gevent.signal_handler(signal.SIGHUP, reload.set)
    logger.bind(role=role, address=cfg.peer_address, domain=cfg.failure_domain).info("started")
    gevent.spawn(_watch_settings, base, reload)
    try:
        ROLES[role](base, stopping)
    except OSError as exc:
        logger.bind(code=int(ResultCode.BAD_SETTING)).error("cannot start: {}", exc)
        lines.write_some()
        return EXIT_BAD_SETTING
    logger.info("stopped")
    lines.write_some()
    return 0
