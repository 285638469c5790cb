"""Assembles the components of one process, runs them and drains them."""

from time import time

import gevent
from gevent import Greenlet
from loguru import logger

from .caller_api import CallerApi
from .coordinator import Coordinator
from .dispatcher import Dispatcher
from .executor import Executor
from .fleet_records import Join
from .gossip import GossipServer
from .handlers import handle, on_lost
from .http_server import HttpServer
from .log_client import HttpLog
from .node_context import NodeContext
from .peers import Peers
from .placement import Placement
from .platform_log import PlatformLog
from .settings import Settings
from .shard_manager import ShardManager
from .stream_reader import StreamReader
from .witness import Witness

MAINTENANCE_INTERVAL_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05
LEAVE_NOTICE_S = 0.3


def make_join(cfg: Settings, incarnation: int | None = None) -> Join:
    """Return the join record of a process with these settings."""
    started_ms = int(time() * 1000) if incarnation is None else incarnation
    return Join(
        f"{cfg.name}.{started_ms}",
        cfg.name,
        started_ms,
        cfg.role,
        cfg.peer_address,
        cfg.http_address,
        cfg.failure_domain,
        list(cfg.services) if cfg.role != "entry" else [],
        cfg.slots if cfg.role != "entry" else 0,
    )


class Node:
    """One gentianmux process: its components and their background loops.

    Parameters
    ----------
    cfg : Settings
        The settings.
    log : PlatformLog, optional
        The platform's log, if it is not the one named in the settings.

    Examples
    --------
    >>> node = Node(Settings(role="entry", name="e1"))
    >>> node.ctx.identity.role
    'entry'
    """

    def __init__(self, cfg: Settings, log: PlatformLog | None = None) -> None:
        self.ctx = NodeContext(cfg, make_join(cfg), log or HttpLog(cfg.log_url))
        self.peers = Peers(self.ctx, handle, lambda name, conn: on_lost(name, conn, self.ctx))
        self.gossip = GossipServer(self.ctx)
        self.stream_reader = StreamReader(self.ctx)
        self.witness = Witness(self.ctx)
        self.ctx.membership.on_change = self.witness.on_change
        if self.ctx.is_agent:
            ShardManager(self.ctx)
            Coordinator(self.ctx)
            Placement(self.ctx)
            Executor(self.ctx)
        if cfg.role != "agent":
            Dispatcher(self.ctx)
        self.http = HttpServer(cfg.http_address, CallerApi(self.ctx), cfg, tls=True)
        self._loops: list[Greenlet] = []

    def start(self) -> None:
        """Start listening and run the background loops.

        Raises
        ------
        OSError
            If an address is in use; nothing has been announced then.
        """
        self.peers.start()
        self.gossip.start()
        self.http.start()
        loops = [self.stream_reader.run, self.gossip.run, self._run_maintenance]
        if self.ctx.is_agent:
            ctx = self.ctx
            loops += [ctx.shard_manager.run_lease_loop, ctx.coordinator.run_backlog_loop]
            loops += [ctx.executor.run_lease_renewals]
        self._loops = [gevent.spawn(loop) for loop in loops]
        logger.info("started as {} on {}", self.ctx.identity.role, self.ctx.cfg.peer_address)

    def _run_maintenance(self) -> None:
        while True:
            due = self.ctx.now() + MAINTENANCE_INTERVAL_S
            gevent.sleep(MAINTENANCE_INTERVAL_S)
            self.ctx.metrics.gauge("loop_lag_ms", max(0.0, (self.ctx.now() - due) * 1000))
            self.ctx.metrics.flush()
            self.witness.check_dead()
            self.stream_reader.append_snapshots()
            if self.ctx.is_agent:
                self.ctx.shard_manager.trim()
                self.ctx.executor.records.trim(self.ctx.now_ms())

    def drain(self) -> bool:
        """Stop accepting work, finish work in flight and move the shards away.

        Returns
        -------
        bool
            Whether all of this completed within ``drain_s`` seconds.
        """
        ctx = self.ctx
        deadline = ctx.now() + ctx.cfg.drain_s
        ctx.draining = True
        ctx.membership.leave()
        logger.info("draining")
        gevent.sleep(LEAVE_NOTICE_S)
        while not self._is_empty():
            if ctx.now() > deadline:
                logger.warning("draining timed out with work in flight")
                return False
            if ctx.is_agent:
                ctx.shard_manager.moves.move_all_away()
            gevent.sleep(DRAIN_POLL_INTERVAL_S)
        self.stream_reader.leave(self._hand_over_records(deadline))
        return True

    def _hand_over_records(self, deadline: float) -> str:
        """Send the start records to another agent; return its name, or an empty string."""
        ctx = self.ctx
        while ctx.is_agent and ctx.now() < deadline:
            target = ctx.shard_manager.moves.choose_records_target()
            if not target or ctx.executor.hand_over_records(target):
                return target
            gevent.sleep(DRAIN_POLL_INTERVAL_S)
        return ""

    def _is_empty(self) -> bool:
        ctx = self.ctx
        if ctx.identity.role != "agent" and ctx.dispatcher.inflight:
            return False
        if not ctx.is_agent:
            return True
        notices_acknowledged = ctx.executor.send_shutdown_notices()
        idle = ctx.executor.is_idle() and not ctx.coordinator.jobs
        return notices_acknowledged and idle and not self._shards_to_move()

    def _shards_to_move(self) -> bool:
        return bool(self.ctx.shard_manager.owned) and self.ctx.shard_manager.moves.has_move_target()

    def stop(self) -> None:
        """Stop immediately, without draining."""
        gevent.killall(self._loops, block=False)
        self.http.stop(timeout=1)
        self.gossip.stop()
        self.peers.stop()
