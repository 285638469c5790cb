"""Failure detection with probes, suspicion and gossip in the manner of SWIM, without I/O."""

from collections.abc import Callable, Iterable
from enum import IntEnum
from random import Random
from typing import NamedTuple

from .fleet_records import Join
from .messages import Gossip, MemberUpdate

UPDATES_PER_DATAGRAM = 6
INDIRECT_PROBE_COUNT = 3
RETRANSMIT_FACTOR = 3
MAX_SYNC_DATAGRAMS = 20
DEAD_RETENTION_S = 60.0
ISOLATION_FAILURES = 3


class ProcessState(IntEnum):
    """The state of a process as seen by membership."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class DatagramKind(IntEnum):
    """Kinds of gossip datagram."""

    PROBE = 0
    ACK = 1
    PROBE_FOR = 2


class Timing(NamedTuple):
    """The probe interval, and the time a process stays suspect before it is dead; seconds."""

    probe_s: float
    suspect_s: float


class Outgoing(NamedTuple):
    """A datagram to send."""

    address: str
    gossip: Gossip


class StreamVersions(NamedTuple):
    """Offsets up to which a process has read the streams."""

    config: int
    fleet: int


class _Probe(NamedTuple):
    target: str
    sent: float
    indirect: bool
    requested_by: str


class _Member:
    __slots__ = ("since", "update")

    def __init__(self, update: MemberUpdate, now: float) -> None:
        self.update = update
        self.since = now


def to_member_update(
    join: Join, state: ProcessState = ProcessState.ALIVE, counter: int = 0
) -> MemberUpdate:
    """Return the gossip update that describes a process from its join record."""
    return MemberUpdate(
        join.process,
        join.name,
        join.role,
        join.address,
        join.http,
        join.failure_domain,
        list(join.services),
        join.slots,
        int(state),
        counter,
    )


class Membership:
    """The view of the fleet that a process keeps by probing one other process per period.

    A process whose probes of several others fail in a row considers itself isolated: it keeps
    its view and declares nothing suspect or dead until a probe is answered again.

    Parameters
    ----------
    local : MemberUpdate
        This process.
    timing : Timing
        The probe interval and the suspicion timeout.
    rng : Random
        Chooses the order of probes and the helpers of indirect ones.

    Examples
    --------
    >>> local = MemberUpdate("a.1", "a", "agent", "127.0.0.1:1", "", "fd1", [], 8, 0, 0)
    >>> membership = Membership(local, Timing(0.5, 1.5), Random(1))
    >>> membership.is_alive("a.1")
    True
    """

    def __init__(self, local: MemberUpdate, timing: Timing, rng: Random) -> None:
        self.local = local
        self.versions = StreamVersions(-1, -1)
        self.peer_versions: dict[str, StreamVersions] = {}
        self.on_change: Callable[[MemberUpdate], None] = lambda update: None
        self._timing = timing
        self._rng = rng
        self._members: dict[str, _Member] = {}
        self._suspects: set[str] = set()
        self._dead: set[str] = set()
        self._probe_order: list[str] = []
        self._probes: dict[int, _Probe] = {}
        self._transmits_left: dict[str, int] = {local.process: RETRANSMIT_FACTOR}
        self._seq = 0
        self._failed_in_row = 0
        self._failed_targets: set[str] = set()

    @property
    def isolated(self) -> bool:
        """Whether this process is probably cut off itself."""
        others = len(self._members) - len(self._dead)
        enough = min(ISOLATION_FAILURES, others)
        return others > 1 and len(self._failed_targets) >= enough > 1

    def is_alive(self, process: str) -> bool:
        """Return whether a process may be given new work."""
        if process == self.local.process:
            return self.local.state == ProcessState.ALIVE
        member = self._members.get(process)
        return member is not None and member.update.state == ProcessState.ALIVE

    def state_of(self, process: str) -> ProcessState | None:
        """Return the state of a process, or None when it is not known."""
        if process == self.local.process:
            return ProcessState(self.local.state)
        member = self._members.get(process)
        return None if member is None else ProcessState(member.update.state)

    def get(self, process: str) -> MemberUpdate | None:
        """Return the newest update about a process, or None when it is not known."""
        if process == self.local.process:
            return self.local
        member = self._members.get(process)
        return None if member is None else member.update

    def all_members(self) -> list[MemberUpdate]:
        """Return updates for all known processes, including this one."""
        return [self.local, *(each.update for each in self._members.values())]

    def alive(self, role: str = "") -> list[MemberUpdate]:
        """Return the processes that may be given work, of one role or of all."""
        return [
            each
            for each in self.all_members()
            if each.state == ProcessState.ALIVE and (not role or each.role in (role, "standalone"))
        ]

    def add_joined(self, joins: Iterable[Join], now: float) -> None:
        """Add processes that joined in the log but are not known by gossip."""
        for join in joins:
            if join.process != self.local.process and join.process not in self._members:
                self._store_update(to_member_update(join), now)

    def leave(self) -> None:
        """Announce that this process is leaving."""
        self.local = self.local._replace(
            state=int(ProcessState.LEAVING), counter=self.local.counter + 1
        )
        self._queue_update(self.local.process)

    def tick(self, now: float) -> list[Outgoing]:
        """Run one period: time out probes and suspicions, then probe the next process."""
        out = self._check_probes(now)
        if not self.isolated:
            self._expire(now)
        target = self._next_target()
        if target is not None:
            out.append(self._probe(target, now, requested_by=""))
        return out

    def probe_seed(self, address: str) -> Outgoing:
        """Return a probe for a seed address whose process is not known."""
        self._seq += 1
        return Outgoing(address, self._gossip(DatagramKind.PROBE, self._seq, ""))

    def receive(self, gossip: Gossip, address: str, now: float) -> list[Outgoing]:
        """Handle a datagram and return the datagrams to send.

        Parameters
        ----------
        gossip : Gossip
            The content of the datagram.
        address : str
            The address that it came from.
        now : float
            The current monotonic time in seconds.
        """
        first_contact = gossip.sender not in self._members
        for update in gossip.updates:
            self._merge(update, now)
        self.peer_versions[gossip.sender] = StreamVersions(
            gossip.config_version, gossip.fleet_version
        )
        if gossip.kind == DatagramKind.PROBE:
            return self._answer_probe(gossip, address, first_contact)
        if gossip.kind == DatagramKind.PROBE_FOR:
            return self._relay_probe(gossip, address, now)
        return self._handle_ack(gossip, now)

    def _answer_probe(self, gossip: Gossip, address: str, first: bool) -> list[Outgoing]:
        if gossip.target not in ("", self.local.process):
            return []
        out = [Outgoing(address, self._gossip(DatagramKind.ACK, gossip.seq, gossip.sender))]
        return out + self._full_sync(gossip, address) if first else out

    def _full_sync(self, gossip: Gossip, address: str) -> list[Outgoing]:
        updates = [each.update for each in self._members.values()]
        if len(updates) > MAX_SYNC_DATAGRAMS * UPDATES_PER_DATAGRAM:
            updates = self._rng.sample(updates, MAX_SYNC_DATAGRAMS * UPDATES_PER_DATAGRAM)
        parts = range(0, len(updates), UPDATES_PER_DATAGRAM)
        base = self._gossip(DatagramKind.ACK, 0, gossip.sender)
        return [
            Outgoing(address, base._replace(updates=updates[at : at + UPDATES_PER_DATAGRAM]))
            for at in parts
        ]

    def _relay_probe(self, gossip: Gossip, address: str, now: float) -> list[Outgoing]:
        if gossip.target not in self._members:
            return []
        return [self._probe(gossip.target, now, requested_by=f"{address}/{gossip.seq}")]

    def _handle_ack(self, gossip: Gossip, now: float) -> list[Outgoing]:
        probe = self._probes.pop(gossip.seq, None)
        if probe is None:
            return []
        self._failed_targets.clear()
        if probe.requested_by:
            address, _, seq = probe.requested_by.rpartition("/")
            return [Outgoing(address, self._gossip(DatagramKind.ACK, int(seq), ""))]
        return []

    def _check_probes(self, now: float) -> list[Outgoing]:
        out: list[Outgoing] = []
        for seq, probe in list(self._probes.items()):
            age = now - probe.sent
            if not probe.indirect and not probe.requested_by and age >= self._timing.probe_s * 0.9:
                self._probes[seq] = probe._replace(indirect=True)
                out.extend(self._probe_indirectly(seq, probe.target))
            elif age >= self._timing.probe_s * 1.9:
                del self._probes[seq]
                if not probe.requested_by:
                    self._on_probe_failed(probe.target, now)
        return out

    def _probe_indirectly(self, seq: int, target: str) -> list[Outgoing]:
        others = [
            each.update
            for each in self._members.values()
            if each.update.state == ProcessState.ALIVE and each.update.process != target
        ]
        chosen = self._rng.sample(others, min(INDIRECT_PROBE_COUNT, len(others)))
        return [
            Outgoing(each.address, self._gossip(DatagramKind.PROBE_FOR, seq, target))
            for each in chosen
        ]

    def _on_probe_failed(self, target: str, now: float) -> None:
        member = self._members.get(target)
        if member is None or member.update.state == ProcessState.DEAD:
            return
        self._failed_targets.add(target)
        if self.isolated:
            return
        if member.update.state in (ProcessState.ALIVE, ProcessState.LEAVING):
            self._store_update(member.update._replace(state=int(ProcessState.SUSPECT)), now)

    def _expire(self, now: float) -> None:
        for process in list(self._suspects):
            member = self._members[process]
            if now - member.since > self._timing.suspect_s:
                self._store_update(member.update._replace(state=int(ProcessState.DEAD)), now)
        for process in list(self._dead):
            if now - self._members[process].since > DEAD_RETENTION_S:
                self._forget(process)

    def _forget(self, process: str) -> None:
        del self._members[process]
        self._dead.discard(process)
        self.peer_versions.pop(process, None)

    def _next_target(self) -> str | None:
        while True:
            if not self._probe_order:
                self._probe_order = [
                    process
                    for process, each in self._members.items()
                    if each.update.state != ProcessState.DEAD
                ]
                self._rng.shuffle(self._probe_order)
            if not self._probe_order:
                return None
            process = self._probe_order.pop()
            member = self._members.get(process)
            if member is not None and member.update.state != ProcessState.DEAD:
                return process

    def _probe(self, target: str, now: float, requested_by: str) -> Outgoing:
        self._seq += 1
        self._probes[self._seq] = _Probe(target, now, False, requested_by)
        address = self._members[target].update.address
        return Outgoing(address, self._gossip(DatagramKind.PROBE, self._seq, target))

    def _merge(self, update: MemberUpdate, now: float) -> None:
        if update.process == self.local.process:
            self._refute(update)
            return
        known = self._members.get(update.process)
        if known is None:
            if update.state != ProcessState.DEAD:
                self._store_update(update, now)
            return
        known_order = (known.update.counter, known.update.state)
        if (update.counter, update.state) > known_order:
            self._store_update(update, now)

    def _refute(self, update: MemberUpdate) -> None:
        if update.state == self.local.state or update.counter < self.local.counter:
            return
        self.local = self.local._replace(counter=update.counter + 1)
        self._queue_update(self.local.process)

    def _store_update(self, update: MemberUpdate, now: float) -> None:
        known = self._members.get(update.process)
        self._members[update.process] = _Member(update, now)
        for state, those in (
            (ProcessState.SUSPECT, self._suspects),
            (ProcessState.DEAD, self._dead),
        ):
            if update.state == state:
                those.add(update.process)
            else:
                those.discard(update.process)
        self._queue_update(update.process)
        if known is None or known.update.state != update.state:
            self.on_change(update)

    def _queue_update(self, process: str) -> None:
        self._transmits_left[process] = RETRANSMIT_FACTOR * max(1, len(self._members).bit_length())

    def _gossip(self, kind: DatagramKind, seq: int, target: str) -> Gossip:
        updates = [self.local]
        about = self._members.get(target)
        if about is not None and about.update.state != ProcessState.ALIVE:
            # Lets a suspected process refute the suspicion with a higher counter.
            updates.append(about.update)
        updates.extend(self._next_updates(UPDATES_PER_DATAGRAM - len(updates)))
        return Gossip(int(kind), seq, self.local.process, target, *self.versions, updates)

    def _next_updates(self, limit: int) -> Iterable[MemberUpdate]:
        chosen = sorted(self._transmits_left, key=self._transmits_left.__getitem__, reverse=True)
        for process in chosen[:limit]:
            self._transmits_left[process] -= 1
            if self._transmits_left[process] <= 0:
                del self._transmits_left[process]
            update = self.get(process)
            if update is not None and process != self.local.process:
                yield update
