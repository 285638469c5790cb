"""The blackboard: everything the controllers of one process read and write."""

from random import Random
from typing import TYPE_CHECKING

from gevent.event import Event

from .clock import Clock
from .config_state import ConfigState
from .fleet_records import Join
from .fleet_state import FleetState
from .ids import shard_of
from .member_claims import Claims
from .membership import Membership, Timing, describe
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
    """The one object that is passed whole to every controller.

    Parameters
    ----------
    cfg : Settings
        The settings.
    identity : Join
        How this process announces itself.
    log : PlatformLog
        The platform's log.
    clock : Clock, optional
        Time and deferred calls, when they are not the process's own.

    Notes
    -----
    Controllers put themselves on the board: ``peers`` everywhere, ``dispatcher`` at entries,
    ``shard_manager``, ``coordinator`` and ``executor`` at agents.
    """

    peers: "Peers"
    dispatcher: "Dispatcher"
    shard_manager: "ShardKeeper"
    coordinator: "Coordinator"
    executor: "Executor"
    witness: "Witness"
    stream_reader: "LogWatch"
    placement: "Placement"

    def __init__(
        self, cfg: Settings, me: Join, log: PlatformLog, clock: Clock | None = None
    ) -> None:
        self.cfg = cfg
        self.clock = clock or Clock()
        self.identity = me
        self.log = log
        self.rng = Random(me.process)
        self.config = ConfigState()
        self.fleet = FleetState(cfg.shards)
        self.metrics = Metrics(cfg)
        self.claims = Claims(self.config)
        self.draining = False
        self.read_requested = Event()
        timing = Timing(cfg.probe_ms / 1000, cfg.suspect_ms / 1000)
        self.membership = Membership(describe(me), timing, Random(f"gossip {me.process}"))

    @property
    def process(self) -> str:
        """Name of this process, with its incarnation."""
        return self.identity.process

    @property
    def is_agent(self) -> bool:
        """Whether this process starts tasks and may own shards."""
        return self.identity.role in ("agent", "standalone")

    def shard_of(self, key: str) -> int:
        """The shard that a key belongs to."""
        return shard_of(key, self.cfg.shards)

    def address_of(self, process: str) -> str | None:
        """Where a process listens, from the log or from gossip; None when it is not known."""
        joined = self.fleet.processes.get(process)
        if joined is not None:
            return joined.address
        heard = self.membership.get(process)
        return None if heard is None else heard.address

    def now(self) -> float:
        """Monotonic time in seconds, for leases and timeouts."""
        return self.clock.now()

    def now_ms(self) -> int:
        """Unix time in ms, for ids and deadlines that cross processes."""
        return self.clock.now_ms()
