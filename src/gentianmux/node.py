"""Puts the controllers of one process together, runs them, and stops them without loss."""

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

UPKEEP_S = 1.0
DRAIN_STEP_S = 0.05
NOTICE_S = 0.3


def make_join(cfg: Settings, incarnation: int | None = None) -> Join:
    """How a process with these settings announces itself."""
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
    """One gentianmux process.

    Parameters
    ----------
    cfg : Settings
        The settings.
    log : PlatformLog, optional
        The platform's log, when it is not the one that the settings name.

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
        """Listen and run the controllers.

        Raises
        ------
        OSError
            When an address is taken; nothing has been announced then.
        """
        self.peers.start()
        self.gossip.start()
        self.http.start()
        loops = [self.stream_reader.run, self.gossip.run, self._upkeep]
        if self.ctx.is_agent:
            ctx = self.ctx
            loops += [ctx.shard_manager.run_leases, ctx.coordinator.run_backlog_loop]
            loops += [ctx.executor.run_lease_renewals]
        self._loops = [gevent.spawn(loop) for loop in loops]
        logger.info("started as {} on {}", self.ctx.identity.role, self.ctx.cfg.peer_address)

    def _upkeep(self) -> None:
        while True:
            due = self.ctx.now() + UPKEEP_S
            gevent.sleep(UPKEEP_S)
            self.ctx.metrics.gauge("loop_lag_ms", max(0.0, (self.ctx.now() - due) * 1000))
            self.ctx.metrics.flush()
            self.witness.check_dead()
            self.stream_reader.append_snapshots()
            if self.ctx.is_agent:
                self.ctx.shard_manager.trim()
                self.ctx.executor.records.trim(self.ctx.now_ms())

    def drain(self) -> bool:
        """Take nothing new, finish what is in flight, and hand the shards over.

        Returns
        -------
        bool
            Whether everything ended within the settings' ``drain_s``.
        """
        ctx = self.ctx
        until = ctx.now() + ctx.cfg.drain_s
        ctx.draining = True
        ctx.membership.leave()
        logger.info("draining")
        gevent.sleep(NOTICE_S)
        while not self._is_empty():
            if ctx.now() > until:
                logger.warning("gave up draining with work in flight")
                return False
            if ctx.is_agent:
                ctx.shard_manager.moves.move_all_away()
            gevent.sleep(DRAIN_STEP_S)
        self.stream_reader.leave(self._hand_over_records(until))
        return True

    def _hand_over_records(self, until: float) -> str:
        """Give the start records to another agent and return its name, empty for none."""
        ctx = self.ctx
        while ctx.is_agent and ctx.now() < until:
            target = ctx.shard_manager.moves.records_target()
            if not target or ctx.executor.hand_over_records(target):
                return target
            gevent.sleep(DRAIN_STEP_S)
        return ""

    def _is_empty(self) -> bool:
        ctx = self.ctx
        if ctx.identity.role != "agent" and ctx.dispatcher.inflight:
            return False
        if not ctx.is_agent:
            return True
        parted = ctx.executor.send_shutdown_notices()
        idle = ctx.executor.is_idle() and not ctx.coordinator.jobs
        return parted and idle and not self._shards_to_move()

    def _shards_to_move(self) -> bool:
        return bool(self.ctx.shard_manager.owned) and self.ctx.shard_manager.moves.has_target()

    def stop(self) -> None:
        """Close everything at once."""
        gevent.killall(self._loops, block=False)
        self.http.stop(timeout=1)
        self.gossip.stop()
        self.peers.stop()
