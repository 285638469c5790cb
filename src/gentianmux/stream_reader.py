"""Keeps a process up to date with the platform's streams, from the log or from peers."""

from loguru import logger

from . import config_state, fleet_state
from .errors import LogError
from .fleet_records import Leave, to_json
from .follower import Follower
from .membership import StreamVersions
from .messages import LogRecord, StateBody, StatePull
from .node_context import NodeContext
from .platform_log import Record
from .shard_manager import rendezvous

JOIN_RETRY_S = 2.0
READ_FROM_LOG = "log"


class StreamReader:
    """Applies new records of both streams to the states of the process.

    Parameters
    ----------
    ctx : NodeContext
        The shared context; this registers itself there as ``stream_reader``.
    """

    def __init__(self, ctx: NodeContext) -> None:
        ctx.stream_reader = self
        self._ctx = ctx
        self.followers = {
            config_state.STREAM: Follower(ctx.log, config_state.STREAM, ctx.config),
            fleet_state.STREAM: Follower(ctx.log, fleet_state.STREAM, ctx.fleet),
        }
        self._join_appended_at = float("-inf")
        self._was_down = False

    def run(self) -> None:
        """Read periodically until the process ends."""
        while True:
            own_append = self._ctx.read_requested.is_set()
            self._ctx.read_requested.clear()
            if own_append or self._ctx.cfg.read_from == READ_FROM_LOG or not self._has_live_peer():
                self.read()
            else:
                self.pull()
            self._ctx.read_requested.wait(self._ctx.cfg.tail_ms / 1000)

    def read(self) -> bool:
        """Read both streams to their ends; return False if the log did not answer."""
        try:
            fresh = sum([follower.poll() for follower in self.followers.values()])
        except LogError as exc:
            self._ctx.metrics.count("log_errors")
            self._set_log_down(True, str(exc))
            self.pull()
            return False
        self._set_log_down(False, "")
        self._after_update(fresh)
        self._append_join()
        return True

    def _after_update(self, fresh: int) -> None:
        ctx = self._ctx
        config, fleet = self.followers.values()
        ctx.membership.versions = StreamVersions(config.next_offset - 1, fleet.next_offset - 1)
        ctx.membership.add_joined(ctx.fleet.processes.values(), ctx.now())
        if fresh and ctx.is_agent:
            ctx.shard_manager.on_fleet_change()
        if fresh and ctx.identity.role != "agent":
            ctx.dispatcher.on_fleet_change()

    # Peers

    def _has_live_peer(self) -> bool:
        return any(
            self._ctx.membership.is_alive(each) for each in self._ctx.membership.peer_versions
        )

    def pull(self) -> None:
        """Request missing records from a peer that is ahead, for each stream."""
        peer_versions = self._ctx.membership.peer_versions
        for number, (stream, follower) in enumerate(self.followers.items()):
            ahead = [
                process
                for process, versions in peer_versions.items()
                if versions[number] >= follower.next_offset
                and self._ctx.membership.is_alive(process)
            ]
            if ahead:
                source = self._ctx.rng.choice(ahead)
                self._ctx.peers.send(source, StatePull(stream, follower.next_offset - 1))

    def on_pull(self, msg: StatePull, sender: str) -> None:
        """Send a peer the records or the state after its version."""
        follower = self.followers.get(msg.stream)
        if follower is None or follower.next_offset - 1 <= msg.version:
            return
        version = follower.next_offset - 1
        records = follower.records_after(msg.version)
        snapshot = follower.state.snapshot() if records is None else ""
        sent = [LogRecord(*each) for each in records or ()]
        self._ctx.peers.send(sender, StateBody(msg.stream, version, snapshot, sent))

    def on_body(self, msg: StateBody) -> None:
        """Apply a peer's records or state; older ones have no effect."""
        follower = self.followers.get(msg.stream)
        if follower is None:
            return
        if msg.snapshot:
            fresh = int(follower.install_snapshot(msg.version, msg.snapshot))
        else:
            fresh = follower.apply_records([Record(*each) for each in msg.records])
        if fresh:
            self._after_update(fresh)

    # Records appended by this process

    def _append_join(self) -> None:
        ctx = self._ctx
        joined = ctx.process in ctx.fleet.processes
        if joined or ctx.draining or ctx.now() - self._join_appended_at < JOIN_RETRY_S:
            return
        self._join_appended_at = ctx.now()
        ctx.clock.call_soon(self.append, fleet_state.STREAM, to_json(ctx.identity))

    def append(self, stream: str, data: str) -> bool:
        """Append to a stream; return False if it is unknown whether that took effect."""
        self._ctx.metrics.count("log_appends")
        try:
            self._ctx.log.append(stream, data)
        except LogError:
            self._ctx.metrics.count("log_errors")
            return False
        self._ctx.read_requested.set()
        return True

    def leave(self, records_to: str = "") -> bool:
        """Append that this process has stopped and which process holds its start records."""
        record = Leave(self._ctx.process, self._ctx.now_ms(), records_to)
        return self.append(fleet_state.STREAM, to_json(record))

    def append_snapshots(self) -> None:
        """Append snapshots of streams that have grown long, if this process is their writer."""
        for number, (stream, follower) in enumerate(self.followers.items()):
            grown = follower.next_offset - follower.snapshot_at
            if grown > self._ctx.cfg.snapshot_every and self._is_writer(number):
                self.append(stream, follower.state.snapshot())

    def _is_writer(self, number: int) -> bool:
        live = [each.process for each in self._ctx.membership.alive()]
        chosen = max(live, key=lambda each: rendezvous(number, each), default="")
        return chosen == self._ctx.process

    def _set_log_down(self, down: bool, reason: str) -> None:
        if down != self._was_down:
            self._was_down = down
            logger.warning(
                "platform log {}", f"unavailable: {reason}" if down else "available again"
            )
