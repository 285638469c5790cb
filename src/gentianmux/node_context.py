"""The shared context of one process: its state and components."""

from random import Random
from typing import TYPE_CHECKING

from gevent.event import Event

from .clock import Clock
from .config_state import ConfigState
from .fleet_records import Join
from .fleet_state import FleetState
from .ids import shard_of
from .member_claims import MemberClaims
from .membership import Membership, Timing, to_member_update
from .metrics import Metrics
from .platform_log import PlatformLog
from .settings import Settings

if TYPE_CHECKING:
    from .coordinator import Coordinator
    from .dispatcher import Dispatcher
    from .executor import Executor
    from .peers import Peers
    from .placement import Placement
    from .shard_manager import ShardManager
    from .stream_reader import StreamReader
    from .witness import Witness


class NodeContext:
    """State and components of a process, passed to each of its components.

    Parameters
    ----------
    cfg : Settings
        The settings of the process.
    identity : Join
        The join record of this process.
    log : PlatformLog
        The platform's log.
    clock : Clock, optional
        Replaces the clock of the process, such as in tests.

    Notes
    -----
    Components register themselves here: ``peers`` everywhere, ``dispatcher`` at entries,
    ``shard_manager``, ``coordinator`` and ``executor`` at agents.
    """

    peers: "Peers"
    dispatcher: "Dispatcher"
    shard_manager: "ShardManager"
    coordinator: "Coordinator"
    executor: "Executor"
    witness: "Witness"
    stream_reader: "StreamReader"
    placement: "Placement"

    def __init__(
        self, cfg: Settings, identity: Join, log: PlatformLog, clock: Clock | None = None
    ) -> None:
        self.cfg = cfg
        self.clock = clock or Clock()
        self.identity = identity
        self.log = log
        self.rng = Random(identity.process)
        self.config = ConfigState()
        self.fleet = FleetState(cfg.shards)
        self.metrics = Metrics(cfg)
        self.claims = MemberClaims(self.config)
        self.draining = False
        self.read_requested = Event()
        timing = Timing(cfg.probe_ms / 1000, cfg.suspect_ms / 1000)
        self.membership = Membership(
            to_member_update(identity), timing, Random(f"gossip {identity.process}")
        )

    @property
    def process(self) -> str:
        """The name of this process with its incarnation."""
        return self.identity.process

    @property
    def is_agent(self) -> bool:
        """Whether this process starts tasks and may own shards."""
        return self.identity.role in ("agent", "standalone")

    def shard_of(self, key: str) -> int:
        """Return the shard of a key."""
        return shard_of(key, self.cfg.shards)

    def address_of(self, process: str) -> str | None:
        """Return the address of a process from the log or from gossip, or None if unknown."""
        joined = self.fleet.processes.get(process)
        if joined is not None:
            return joined.address
        update = self.membership.get(process)
        return None if update is None else update.address

    def now(self) -> float:
        """Return the monotonic time in seconds, for leases and timeouts."""
        return self.clock.now()

    def now_ms(self) -> int:
        """Return the Unix time in ms, for ids and deadlines shared between processes."""
        return self.clock.now_ms()
