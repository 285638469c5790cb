"""Assembles, runs and gracefully stops the controllers of one entry or agent."""

from collections.abc import Callable, Iterable
from random import Random
from time import time
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event
from loguru import logger

from ..clock import Clock, log_fallback, run_periodically
from ..codes import ResultCode
from ..errors import GentianmuxError
from ..http_server import HttpServer
from ..listeners import Listeners
from ..messages import PROTOCOL_VERSION, Hello
from ..metrics import Metrics
from ..platform_log import KeyedLog
from ..process_start import STARTED_AT
from ..settings import Settings
from .config_feed import ConfigFeed, ConfigSource
from .directory import Announcement, Directory
from .endpoint_tracker import ANNOUNCED_SEQUENCE
from .links import Links
from .model import EndpointDriver, EndpointReport
from .settings import LeasedSettings, lease_s

MAX_CONNECTIONS = 3000
"""Concurrent connections of callers; stays below the file descriptor limit of small instances."""

ACCEPT_AFTER_STOP_S = 2.5
"""Time for which a stopping entry still accepts jobs: a load balancer sends new connections until
two readiness checks, one second apart, have failed."""

GRACE_MARGIN_S = 0.7
"""Part of the grace period kept for stopping the remaining runs and reporting their ends."""

FLUSH_DELAY_S = 0.05
"""Time for the last responses to be sent before connections close."""

SETTINGS_POLL_INTERVAL_S = 1.0
"""Time between checks of the settings file, which may change without a signal."""

App = Callable[..., Iterable[bytes]]

# Each role imports only what it uses: imports dominate the time that a restart takes.
if TYPE_CHECKING:
    from .agent import Agent
    from .entry import Entry


class Process:
    """Components of both roles: settings, metrics, store, configuration and connections.

    Parameters
    ----------
    cfg : LeasedSettings
        Settings of the process.
    store : KeyedLog
        The platform's store.
    source : ConfigSource
        Location of the configuration in the store.
    listeners : Listeners
        Sockets that are already listening.

    Examples
    --------
    ``run_entry(process, make_app, stopping)`` returns after ``stopping`` is set and every accepted
    job is answered.
    """

    def __init__(
        self, cfg: LeasedSettings, store: KeyedLog, source: ConfigSource, listeners: Listeners
    ) -> None:
        self.cfg = cfg
        self.clock = Clock()
        log_fallback()
        self.metrics = Metrics(Settings(name=cfg.name))
        self.store = store
        self.feed = ConfigFeed(source, store, self.metrics, self.clock)
        process = f"{cfg.name}.{int(time() * 1000)}"
        self.identity = Hello(PROTOCOL_VERSION, process, cfg.role, cfg.peer_address)
        self.links = Links(cfg, self.identity, self.metrics, self.clock, listeners)
        self.http_cfg = Settings(max_connections=MAX_CONNECTIONS)
        self._listeners = listeners
        self._servers: list[HttpServer] = []

    def serve(self, address: str, app: App) -> HttpServer:
        """Serve a WSGI application at an address."""
        server = HttpServer(address, app, self.http_cfg, listeners=self._listeners)
        server.start()
        self._servers.append(server)
        return server

    def metrics_app(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """WSGI application that responds with all metrics as text."""
        body = self.metrics.text()
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]

    def close(self) -> None:
        """Stop all servers and close all connections."""
        for server in self._servers:
            server.stop(timeout=0)
        self.links.stop()


def run_agent(
    base: Process, driver: EndpointDriver, make_app: Callable[["Agent"], App], stopping: Event
) -> None:
    """Run an agent until ``stopping`` is set, then stop it gracefully.

    Parameters
    ----------
    base : Process
        Components of both roles.
    driver : EndpointDriver
        Client of the endpoint.
    make_app : callable
        Creates the WSGI application that receives the endpoint's heartbeats.
    stopping : Event
        Set when the process has to stop.
    """
    from .agent import Agent

    cfg = base.cfg
    agent = Agent(cfg, driver, base.links, base.feed, base.metrics, base.clock)
    directory = Directory(base.store, base.metrics)

    def announce(report: EndpointReport | None) -> None:
        stable = (
            None
            if report is None
            else report._replace(sequence=ANNOUNCED_SEQUENCE, drain_remaining_s=0.0)
        )
        directory.announce(Announcement(cfg.name, cfg.role, cfg.peer_address, stable))

    agent.on_report_change = announce
    base.links.start()
    base.serve(cfg.http_address, make_app(agent))
    base.serve(cfg.metrics_address, base.metrics_app)
    agent.run_loops()
    for seed in cfg.seeds:
        base.links.dial(seed)
    gevent.spawn(_connect_entries, agent, directory, base)
    stopping.wait()
    agent.shutdown.run(base.clock.now() + cfg.grace_s - GRACE_MARGIN_S)
    base.close()


def _connect_entries(agent: "Agent", directory: Directory, base: Process) -> None:
    from .connectors import RECONCILE_INTERVAL_S, EntryConnector

    found = directory.read() or []
    _resume_endpoint(agent, found, base.cfg)
    connector = EntryConnector(base.cfg.name, base.links, agent, directory, base.clock)
    connector.update(found)
    run_periodically(RECONCILE_INTERVAL_S, connector.step)


def _resume_endpoint(
    agent: "Agent", announcements: list[Announcement], cfg: LeasedSettings
) -> None:
    """Resume the endpoint announced before a restart, without waiting for a heartbeat.

    The agent fences off the earlier process and stops its runs at once. It starts none before a
    heartbeat, since an announcement does not tell what has changed after it was written.
    """
    if agent.report is not None:
        return
    own = [each.report for each in announcements if each.name == cfg.name]
    if own and own[0] is not None:
        agent.on_report(own[0]._replace(sequence=ANNOUNCED_SEQUENCE))
    else:
        agent.on_report_change(None)


def run_entry(base: Process, make_app: Callable[["Entry"], Any], stopping: Event) -> None:
    """Run an entry until ``stopping`` is set, then stop it gracefully.

    Parameters
    ----------
    base : Process
        Components of both roles.
    make_app : callable
        Creates the WSGI application for callers; ``apply_limits`` bounds their requests.
    stopping : Event
        Set when the process has to stop.
    """
    from .connectors import AgentConnector
    from .entry import Entry
    from .entry_view import FIRST_VERSION, EntryView
    from .fleet_view import FleetView
    from .view_writer import CHECK_INTERVAL_S as VIEW_CHECK_INTERVAL_S
    from .view_writer import ViewWriter

    cfg = base.cfg
    view = FleetView(lease_s(cfg), Random(base.identity.process))
    entry = Entry(
        view, base.links, base.feed, base.metrics, base.clock, cfg.link_bytes_s, STARTED_AT
    )
    directory = Directory(base.store, base.metrics)

    connector = AgentConnector(cfg.name, base.links)
    writer = ViewWriter(cfg.name, directory, entry.views, entry.locks.peers, base.clock)
    entry.view_broadcast.learn_address(cfg.name, cfg.peer_address)

    def on_announcement(found: Announcement) -> None:
        if found.role == "entry":
            entry.view_broadcast.learn_address(found.name, found.address)
            entry.views.announced.add(found.name)
        preferred = connector.update(found)
        if preferred and found.report is not None:
            report = found.report
            cpu, domain = report.capacity.cpu, report.failure_domain
            view.expect_agent(found.name, report.service, domain, cpu, base.clock.now())

    def on_view(found: EntryView) -> None:
        if found.version == FIRST_VERSION and entry.views.view is None and directory.began_empty:
            # No entry has confirmed a job yet.
            entry.locks.replica.vote_at_once()
        entry.views.apply_if_newer(found, "store")

    directory.on_found = on_announcement
    directory.on_view = on_view
    directory.on_read = entry.views.on_store_read
    entry.view_broadcast.on_address = lambda name, address: connector.dial_unknown(name, address)
    base.links.start()
    app = make_app(entry)
    callers = base.serve(cfg.http_address, app)
    base.serve(cfg.readiness_address, _readiness_app(entry))
    base.serve(cfg.metrics_address, base.metrics_app)

    def apply_limits(limits: Any) -> None:
        app.apply_limits(limits)
        callers.request_timeout_s = limits.header_timeout_s
        callers.idle_timeout_s = limits.idle_timeout_s

    base.feed.on_change = lambda config: apply_limits(config.limits)
    entry.run_loops()
    for loop in (directory.follow, base.feed.run):
        gevent.spawn(loop)
    gevent.spawn(run_periodically, VIEW_CHECK_INTERVAL_S, lambda: writer.step(connector.entries))
    directory.announce(Announcement(cfg.name, cfg.role, cfg.peer_address))
    stopping.wait()
    entry.shutdown.run(ACCEPT_AFTER_STOP_S, base.clock.now() + cfg.grace_s - GRACE_MARGIN_S)
    entry.locks.leave()
    gevent.sleep(FLUSH_DELAY_S)
    base.close()


def _readiness_app(entry: "Entry") -> App:
    def app(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        status = "200 OK" if entry.is_ready else "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    return app


def watch_settings(
    base: Process,
    read: Callable[[], LeasedSettings],
    changed_at: Callable[[], float],
    signalled: Event,
) -> None:
    """Reload the settings on a signal or when their file changes, until the process ends.

    Agents connect to new seeds at once; other changes take effect at the next start.

    Parameters
    ----------
    base : Process
        The process that uses the settings.
    read : callable
        Reads the settings; raises ``GentianmuxError`` when they are invalid.
    changed_at : callable
        Modification time of the settings.
    signalled : Event
        Set by the signal that requests a reload.
    """
    seen = changed_at()
    while True:
        signalled.wait(SETTINGS_POLL_INTERVAL_S)
        now = changed_at()
        if not signalled.is_set() and now == seen:
            continue
        signalled.clear()
        seen = now
        try:
            fresh = read()
        except GentianmuxError as exc:
            logger.bind(code=int(ResultCode.BAD_SETTING)).error(
                "settings not reloaded, keeping the previous ones: {}", exc
            )
            continue
        old = base.cfg
        differing = [name for name in fresh._fields if getattr(fresh, name) != getattr(old, name)]
        logger.bind(changed=differing).info("settings reloaded")
        for seed in fresh.seeds if old.role == "agent" else ():
            base.links.dial(seed)
