"""Puts the controllers of one entry or agent together, runs them, and stops them without loss."""

from collections.abc import Callable, Iterable
from random import Random
from time import time
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event
from loguru import logger

from ..clock import Clock, run_periodically
from ..codes import ResultCode
from ..errors import GentianmuxError
from ..http_server import HttpServer
from ..listeners import Listeners
from ..messages import PROTOCOL_VERSION, Hello
from ..metrics import Metrics
from ..platform_log import KeyedLog
from ..settings import Settings
from .config_feed import ConfigFeed, ConfigSource
from .directory import Announcement, Directory
from .links import Links
from .model import EndpointDriver, EndpointReport
from .settings import LeasedSettings, lease_s

MAX_CONNECTIONS = 3000
"""Callers' connections at once, below the 4,100 descriptors of the smallest instance."""

LINGER_S = 2.5
"""Seconds for which a stopping entry still takes jobs: a balancer that asks once a second and
needs two misses sends it new connections for that long."""

SPARE_S = 0.7
"""Seconds of the grace period kept for stopping what still runs and saying so."""

LAST_ANSWERS_S = 0.05
"""Seconds for the last answers to leave before connections close."""

RELOAD_S = 1.0
"""Seconds between looks at the settings, which may change without a signal."""

App = Callable[..., Iterable[bytes]]

# Each role imports only what it uses: start-up time is recovery time.
if TYPE_CHECKING:
    from .agent import Agent
    from .entry import Entry


class Process:
    """What both roles share: settings, metrics, store, configuration and connections.

    Parameters
    ----------
    cfg : LeasedSettings
        The settings.
    store : KeyedLog
        The platform's store.
    source : ConfigSource
        Where the configuration lies in it.
    listeners : Listeners
        Addresses that are open already.

    Examples
    --------
    ``run_entry(process, make_app, stopping)`` returns once ``stopping`` is set and all is answered.
    """

    def __init__(
        self, cfg: LeasedSettings, store: KeyedLog, source: ConfigSource, listeners: Listeners
    ) -> None:
        self.cfg = cfg
        self.clock = Clock()
        self.metrics = Metrics(Settings(name=cfg.name))
        self.store = store
        self.feed = ConfigFeed(source, store, self.metrics, self.clock)
        process = f"{cfg.name}.{int(time() * 1000)}"
        self.me = Hello(PROTOCOL_VERSION, process, cfg.role, cfg.peer_address)
        self.links = Links(cfg, self.me, self.metrics, self.clock, listeners)
        self.http_cfg = Settings(max_connections=MAX_CONNECTIONS)
        self._listeners = listeners
        self._servers: list[HttpServer] = []

    def serve(self, address: str, app: App) -> HttpServer:
        """Serve an application at an address."""
        server = HttpServer(address, app, self.http_cfg, listeners=self._listeners)
        server.start()
        self._servers.append(server)
        return server

    def metrics_app(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer with all metrics as text."""
        body = self.metrics.text()
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]

    def close(self) -> None:
        """Close every address and connection."""
        for server in self._servers:
            server.stop(timeout=0)
        self.links.stop()


def run_agent(
    base: Process, driver: EndpointDriver, make_app: Callable[["Agent"], App], stopping: Event
) -> None:
    """Run an agent until it is told to stop.

    Parameters
    ----------
    base : Process
        What both roles share.
    driver : EndpointDriver
        How the endpoint is spoken to.
    make_app : callable
        Makes the application that takes the endpoint's heartbeats.
    stopping : Event
        Set when the process is to end.
    """
    from .agent import Agent

    cfg = base.cfg
    agent = Agent(cfg, driver, base.links, base.feed, base.metrics, base.clock)
    directory = Directory(base.store, base.metrics)

    def announce(report: EndpointReport | None) -> None:
        stable = None if report is None else report._replace(sequence=0, drain_remaining_s=0.0)
        directory.announce(Announcement(cfg.name, cfg.role, cfg.peer_address, stable))

    agent.on_report_change = announce
    base.links.start()
    base.serve(cfg.http_address, make_app(agent))
    base.serve(cfg.metrics_address, base.metrics_app)
    agent.run_loops()
    for seed in cfg.seeds:
        base.links.dial(seed)
    gevent.spawn(_find_entries, agent, directory, base)
    stopping.wait()
    agent.shut_down(base.clock.now() + cfg.grace_s - SPARE_S)
    base.close()


def _find_entries(agent: "Agent", directory: Directory, base: Process) -> None:
    from .connectors import SETTLE_S, EntryNeighbours

    found = directory.read() or []
    _resume_endpoint(agent, found, base.cfg)
    neighbours = EntryNeighbours(base.cfg.name, base.links, agent, directory, base.clock)
    neighbours.learn(found)
    run_periodically(SETTLE_S, neighbours.step)


def _resume_endpoint(agent: "Agent", known: list[Announcement], cfg: LeasedSettings) -> None:
    """Take up the endpoint that was announced before a restart, without waiting for a heartbeat."""
    if agent.report is not None:
        return
    mine = [each.report for each in known if each.name == cfg.name]
    if mine and mine[0] is not None:
        agent.on_report(mine[0])
    else:
        agent.on_report_change(None)


def run_entry(base: Process, make_app: Callable[["Entry"], Any], stopping: Event) -> None:
    """Run an entry until it is told to stop.

    Parameters
    ----------
    base : Process
        What both roles share.
    make_app : callable
        Makes the application for callers, whose ``limit`` takes bounds on their requests.
    stopping : Event
        Set when the process is to end.
    """
    from .connectors import AgentNeighbours
    from .entry import Entry
    from .fleet_view import FleetView

    cfg = base.cfg
    view = FleetView(lease_s(cfg), Random(base.me.process))
    entry = Entry(view, base.links, base.feed, base.metrics, base.clock, cfg.link_bytes_s)
    directory = Directory(base.store, base.metrics)

    neighbours = AgentNeighbours(cfg.name, base.links)

    def take(found: Announcement) -> None:
        preferred = neighbours.learn(found)
        if preferred and found.report is not None:
            report = found.report
            cpu, domain = report.capacity.cpu, report.failure_domain
            view.expect(found.name, report.service, domain, cpu, base.clock.now())

    directory.on_found = take
    base.links.start()
    app = make_app(entry)
    callers = base.serve(cfg.http_address, app)
    base.serve(cfg.readiness_address, _readiness_of(entry))
    base.serve(cfg.metrics_address, base.metrics_app)

    def limit(limits: Any) -> None:
        app.limit(limits)
        callers.request_s = limits.header_timeout_s
        callers.idle_s = limits.idle_timeout_s

    base.feed.on_change = lambda config: limit(config.limits)
    entry.run_loops()
    for loop in (directory.follow, base.feed.run):
        gevent.spawn(loop)
    directory.announce(Announcement(cfg.name, cfg.role, cfg.peer_address))
    stopping.wait()
    entry.shut_down(LINGER_S, base.clock.now() + cfg.grace_s - SPARE_S)
    gevent.sleep(LAST_ANSWERS_S)
    base.close()


def _readiness_of(entry: "Entry") -> App:
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
    """Read the settings again when told to or when they have changed, for ever.

    New seeds are contacted at once; addresses and bounds are taken up at the next start.

    Parameters
    ----------
    base : Process
        The process that runs under the settings.
    read : callable
        Reads them; raises ``GentianmuxError`` when they cannot be used.
    changed_at : callable
        When they were last written.
    signalled : Event
        Set when somebody says that they have changed.
    """
    seen = changed_at()
    while True:
        signalled.wait(RELOAD_S)
        now = changed_at()
        if not signalled.is_set() and now == seen:
            continue
        signalled.clear()
        seen = now
        try:
            fresh = read()
        except GentianmuxError as exc:
            logger.bind(code=int(ResultCode.BAD_SETTING)).error(
                "settings kept as they are: {}", exc
            )
            continue
        old = base.cfg
        differing = [name for name in fresh._fields if getattr(fresh, name) != getattr(old, name)]
        logger.bind(changed=differing).info("settings read again")
        for seed in fresh.seeds if old.role == "agent" else ():
            base.links.dial(seed)
