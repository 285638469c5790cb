"""Reads the platform's streams for a process, from the log or from peers that read it."""

from loguru import logger

from . import config_state, fleet_state
from .errors import LogError
from .fleet_records import Leave, to_json
from .follower import Follower
from .membership import Versions
from .messages import LogRecord, StateBody, StatePull
from .node_context import NodeContext
from .platform_log import Record
from .shard_manager import rendezvous

ANNOUNCE_AGAIN_S = 2.0
FROM_LOG = "log"


class StreamReader:
    """The controller that keeps the board's folded states up to date.

    Parameters
    ----------
    ctx : NodeContext
        The blackboard; this puts itself there as ``stream_reader``.
    """

    def __init__(self, ctx: NodeContext) -> None:
        ctx.stream_reader = self
        self._ctx = ctx
        self.followers = {
            config_state.STREAM: Follower(ctx.log, config_state.STREAM, ctx.config),
            fleet_state.STREAM: Follower(ctx.log, fleet_state.STREAM, ctx.fleet),
        }
        self._announced = float("-inf")
        self._was_down = False

    def run(self) -> None:
        """Read for as long as the process lives."""
        while True:
            own_append = self._ctx.read_requested.is_set()
            self._ctx.read_requested.clear()
            if own_append or self._ctx.cfg.read_from == FROM_LOG or not self._has_source():
                self.read()
            else:
                self.pull()
            self._ctx.read_requested.wait(self._ctx.cfg.tail_ms / 1000)

    def read(self) -> bool:
        """Read both streams to their ends; false when the log did not answer."""
        try:
            fresh = sum([follower.poll() for follower in self.followers.values()])
        except LogError as exc:
            self._ctx.metrics.count("log_errors")
            self._note_down(True, str(exc))
            self.pull()
            return False
        self._note_down(False, "")
        self._after_reading(fresh)
        self._announce()
        return True

    def _after_reading(self, fresh: int) -> None:
        ctx = self._ctx
        config, fleet = self.followers.values()
        ctx.membership.versions = Versions(config.next_offset - 1, fleet.next_offset - 1)
        ctx.membership.add_joined(ctx.fleet.processes.values(), ctx.now())
        if fresh and ctx.is_agent:
            ctx.shard_manager.on_fleet_change()
        if fresh and ctx.identity.role != "agent":
            ctx.dispatcher.on_fleet_change()

    # Peers

    def _has_source(self) -> bool:
        return any(
            self._ctx.membership.is_alive(each) for each in self._ctx.membership.peer_versions
        )

    def pull(self) -> None:
        """Ask a peer that is ahead for what this process has not read."""
        heard = self._ctx.membership.peer_versions
        for number, (stream, follower) in enumerate(self.followers.items()):
            ahead = [
                process
                for process, versions in heard.items()
                if versions[number] >= follower.next_offset
                and self._ctx.membership.is_alive(process)
            ]
            if ahead:
                source = self._ctx.rng.choice(ahead)
                self._ctx.peers.send(source, StatePull(stream, follower.next_offset - 1))

    def on_pull(self, msg: StatePull, sender: str) -> None:
        """Hand on what this process has read beyond a version."""
        follower = self.followers.get(msg.stream)
        if follower is None or follower.next_offset - 1 <= msg.version:
            return
        version = follower.next_offset - 1
        records = follower.records_after(msg.version)
        snapshot = follower.fold.snapshot() if records is None else ""
        handed = [LogRecord(*each) for each in records or ()]
        self._ctx.peers.send(sender, StateBody(msg.stream, version, snapshot, handed))

    def on_body(self, msg: StateBody) -> None:
        """Take in what a peer has read; a lower version than this process's changes nothing."""
        follower = self.followers.get(msg.stream)
        if follower is None:
            return
        if msg.snapshot:
            fresh = int(follower.take_snapshot(msg.version, msg.snapshot))
        else:
            fresh = follower.take([Record(*each) for each in msg.records])
        if fresh:
            self._after_reading(fresh)

    # Records of this process

    def _announce(self) -> None:
        ctx = self._ctx
        joined = ctx.process in ctx.fleet.processes
        if joined or ctx.draining or ctx.now() - self._announced < ANNOUNCE_AGAIN_S:
            return
        self._announced = ctx.now()
        ctx.clock.call_soon(self.append, fleet_state.STREAM, to_json(ctx.identity))

    def append(self, stream: str, data: str) -> bool:
        """Append to a stream; false when it is not known whether that took effect."""
        self._ctx.metrics.count("log_appends")
        try:
            self._ctx.log.append(stream, data)
        except LogError:
            self._ctx.metrics.count("log_errors")
            return False
        self._ctx.read_requested.set()
        return True

    def leave(self, records_to: str = "") -> bool:
        """Say in the log that this process has stopped, and who holds its start records."""
        record = Leave(self._ctx.process, self._ctx.now_ms(), records_to)
        return self.append(fleet_state.STREAM, to_json(record))

    def append_snapshots(self) -> None:
        """Append a snapshot of a stream that has grown long, if this process is to do it."""
        for number, (stream, follower) in enumerate(self.followers.items()):
            grown = follower.next_offset - follower.snapshot_at
            if grown > self._ctx.cfg.snapshot_every and self._is_writer(number):
                self.append(stream, follower.fold.snapshot())

    def _is_writer(self, number: int) -> bool:
        live = [each.process for each in self._ctx.membership.alive()]
        chosen = max(live, key=lambda each: rendezvous(number, each), default="")
        return chosen == self._ctx.process

    def _note_down(self, down: bool, why: str) -> None:
        if down != self._was_down:
            self._was_down = down
            logger.warning("the platform's log is {}", f"down: {why}" if down else "back")
