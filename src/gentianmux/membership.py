"""Which processes are alive: probes, indirect probes, suspicion and gossip, without I/O."""

from collections.abc import Callable, Iterable
from enum import IntEnum
from random import Random
from typing import NamedTuple

from .fleet_records import Join
from .messages import Gossip, MemberUpdate

UPDATES_A_DATAGRAM = 6
INDIRECT_PROBES = 3
RESENDS_FACTOR = 3
SYNC_DATAGRAMS = 20
FORGET_S = 60.0
ISOLATED_AFTER = 3


class ProcessState(IntEnum):
    """What is thought of a process."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Kind(IntEnum):
    """Kinds of datagram."""

    PROBE = 0
    ACK = 1
    PROBE_FOR = 2


class Timing(NamedTuple):
    """Seconds between probes, and seconds a silent process stays suspect."""

    probe_s: float
    suspect_s: float


class Outgoing(NamedTuple):
    """A datagram to send."""

    address: str
    gossip: Gossip


class Versions(NamedTuple):
    """How far a process has read the streams."""

    config: int
    fleet: int


class _Probe(NamedTuple):
    target: str
    sent: float
    indirect: bool
    asked_by: str


class _Member:
    __slots__ = ("since", "update")

    def __init__(self, update: MemberUpdate, now: float) -> None:
        self.update = update
        self.since = now


def describe(
    join: Join, state: ProcessState = ProcessState.ALIVE, counter: int = 0
) -> MemberUpdate:
    """What gossip says of a process that announced itself."""
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
    """A view of the fleet that each process keeps by probing one other process a period.

    When most of its probes fail, a process suspects itself: it keeps the last good view and
    declares nobody dead until probes are answered again.

    Parameters
    ----------
    me : MemberUpdate
        This process.
    timing : Timing
        Periods.
    rng : Random
        Source for the order of probes.

    Examples
    --------
    >>> me = MemberUpdate("a.1", "a", "agent", "127.0.0.1:1", "", "fd1", [], 8, 0, 0)
    >>> members = Membership(me, Timing(0.5, 1.5), Random(1))
    >>> members.is_alive("a.1")
    True
    """

    def __init__(self, me: MemberUpdate, timing: Timing, rng: Random) -> None:
        self.me = me
        self.versions = Versions(-1, -1)
        self.peer_versions: dict[str, Versions] = {}
        self.on_change: Callable[[MemberUpdate], None] = lambda update: None
        self._timing = timing
        self._rng = rng
        self._members: dict[str, _Member] = {}
        self._suspects: set[str] = set()
        self._dead: set[str] = set()
        self._ring: list[str] = []
        self._probes: dict[int, _Probe] = {}
        self._resends: dict[str, int] = {me.process: RESENDS_FACTOR}
        self._seq = 0
        self._failed_in_row = 0
        self._failed_targets: set[str] = set()

    @property
    def isolated(self) -> bool:
        """Whether this process thinks that it is itself that is cut off."""
        others = len(self._members) - len(self._dead)
        enough = min(ISOLATED_AFTER, others)
        return others > 1 and len(self._failed_targets) >= enough > 1

    def is_alive(self, process: str) -> bool:
        """Whether a process may be given new work."""
        if process == self.me.process:
            return self.me.state == ProcessState.ALIVE
        member = self._members.get(process)
        return member is not None and member.update.state == ProcessState.ALIVE

    def state_of(self, process: str) -> ProcessState | None:
        """What is thought of a process; None when it is not known."""
        if process == self.me.process:
            return ProcessState(self.me.state)
        member = self._members.get(process)
        return None if member is None else ProcessState(member.update.state)

    def get(self, process: str) -> MemberUpdate | None:
        """What is known of a process."""
        if process == self.me.process:
            return self.me
        member = self._members.get(process)
        return None if member is None else member.update

    def everyone(self) -> list[MemberUpdate]:
        """All processes known, this one among them."""
        return [self.me, *(each.update for each in self._members.values())]

    def alive(self, role: str = "") -> list[MemberUpdate]:
        """Processes that may be given work, of one role or of all."""
        return [
            each
            for each in self.everyone()
            if each.state == ProcessState.ALIVE and (not role or each.role in (role, "standalone"))
        ]

    def add_joined(self, joins: Iterable[Join], now: float) -> None:
        """Take in processes that the log names and gossip has not."""
        for join in joins:
            if join.process != self.me.process and join.process not in self._members:
                self._put(describe(join), now)

    def leave(self) -> None:
        """Say that this process is leaving."""
        self.me = self.me._replace(state=int(ProcessState.LEAVING), counter=self.me.counter + 1)
        self._spread(self.me.process)

    def tick(self, now: float) -> list[Outgoing]:
        """Do one period's work: judge open probes, age suspicions, probe the next process."""
        out = self._judge_probes(now)
        if not self.isolated:
            self._age(now)
        target = self._next_target()
        if target is not None:
            out.append(self._probe(target, now, asked_by=""))
        return out

    def greet(self, address: str) -> Outgoing:
        """A first probe to a seed whose name is not known."""
        self._seq += 1
        return Outgoing(address, self._gossip(Kind.PROBE, self._seq, ""))

    def receive(self, gossip: Gossip, address: str, now: float) -> list[Outgoing]:
        """Take in a datagram and return what to send."""
        first_contact = gossip.sender not in self._members
        for update in gossip.updates:
            self._merge(update, now)
        self.peer_versions[gossip.sender] = Versions(gossip.config_version, gossip.fleet_version)
        if gossip.kind == Kind.PROBE:
            return self._answer_probe(gossip, address, first_contact)
        if gossip.kind == Kind.PROBE_FOR:
            return self._probe_for(gossip, address, now)
        return self._take_ack(gossip, now)

    def _answer_probe(self, gossip: Gossip, address: str, first: bool) -> list[Outgoing]:
        if gossip.target not in ("", self.me.process):
            return []
        out = [Outgoing(address, self._gossip(Kind.ACK, gossip.seq, gossip.sender))]
        return out + self._full_sync(gossip, address) if first else out

    def _full_sync(self, gossip: Gossip, address: str) -> list[Outgoing]:
        updates = [each.update for each in self._members.values()]
        if len(updates) > SYNC_DATAGRAMS * UPDATES_A_DATAGRAM:
            updates = self._rng.sample(updates, SYNC_DATAGRAMS * UPDATES_A_DATAGRAM)
        parts = range(0, len(updates), UPDATES_A_DATAGRAM)
        base = self._gossip(Kind.ACK, 0, gossip.sender)
        return [
            Outgoing(address, base._replace(updates=updates[at : at + UPDATES_A_DATAGRAM]))
            for at in parts
        ]

    def _probe_for(self, gossip: Gossip, address: str, now: float) -> list[Outgoing]:
        if gossip.target not in self._members:
            return []
        return [self._probe(gossip.target, now, asked_by=f"{address}/{gossip.seq}")]

    def _take_ack(self, gossip: Gossip, now: float) -> list[Outgoing]:
        probe = self._probes.pop(gossip.seq, None)
        if probe is None:
            return []
        self._failed_targets.clear()
        if probe.asked_by:
            address, _, seq = probe.asked_by.rpartition("/")
            return [Outgoing(address, self._gossip(Kind.ACK, int(seq), ""))]
        return []

    def _judge_probes(self, now: float) -> list[Outgoing]:
        out: list[Outgoing] = []
        for seq, probe in list(self._probes.items()):
            age = now - probe.sent
            if not probe.indirect and not probe.asked_by and age >= self._timing.probe_s * 0.9:
                self._probes[seq] = probe._replace(indirect=True)
                out.extend(self._ask_others(seq, probe.target))
            elif age >= self._timing.probe_s * 1.9:
                del self._probes[seq]
                if not probe.asked_by:
                    self._failed(probe.target, now)
        return out

    def _ask_others(self, seq: int, target: str) -> list[Outgoing]:
        others = [
            each.update
            for each in self._members.values()
            if each.update.state == ProcessState.ALIVE and each.update.process != target
        ]
        chosen = self._rng.sample(others, min(INDIRECT_PROBES, len(others)))
        return [
            Outgoing(each.address, self._gossip(Kind.PROBE_FOR, seq, target)) for each in chosen
        ]

    def _failed(self, target: str, now: float) -> None:
        member = self._members.get(target)
        if member is None or member.update.state == ProcessState.DEAD:
            return
        self._failed_targets.add(target)
        if self.isolated:
            return
        if member.update.state in (ProcessState.ALIVE, ProcessState.LEAVING):
            self._put(member.update._replace(state=int(ProcessState.SUSPECT)), now)

    def _age(self, now: float) -> None:
        for process in list(self._suspects):
            member = self._members[process]
            if now - member.since > self._timing.suspect_s:
                self._put(member.update._replace(state=int(ProcessState.DEAD)), now)
        for process in list(self._dead):
            if now - self._members[process].since > FORGET_S:
                self._forget(process)

    def _forget(self, process: str) -> None:
        del self._members[process]
        self._dead.discard(process)
        self.peer_versions.pop(process, None)

    def _next_target(self) -> str | None:
        while True:
            if not self._ring:
                self._ring = [
                    process
                    for process, each in self._members.items()
                    if each.update.state != ProcessState.DEAD
                ]
                self._rng.shuffle(self._ring)
            if not self._ring:
                return None
            process = self._ring.pop()
            member = self._members.get(process)
            if member is not None and member.update.state != ProcessState.DEAD:
                return process

    def _probe(self, target: str, now: float, asked_by: str) -> Outgoing:
        self._seq += 1
        self._probes[self._seq] = _Probe(target, now, False, asked_by)
        address = self._members[target].update.address
        return Outgoing(address, self._gossip(Kind.PROBE, self._seq, target))

    def _merge(self, update: MemberUpdate, now: float) -> None:
        if update.process == self.me.process:
            self._refute(update)
            return
        known = self._members.get(update.process)
        if known is None:
            if update.state != ProcessState.DEAD:
                self._put(update, now)
            return
        ours = (known.update.counter, known.update.state)
        if (update.counter, update.state) > ours:
            self._put(update, now)

    def _refute(self, update: MemberUpdate) -> None:
        if update.state == self.me.state or update.counter < self.me.counter:
            return
        self.me = self.me._replace(counter=update.counter + 1)
        self._spread(self.me.process)

    def _put(self, update: MemberUpdate, now: float) -> None:
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
        self._spread(update.process)
        if known is None or known.update.state != update.state:
            self.on_change(update)

    def _spread(self, process: str) -> None:
        self._resends[process] = RESENDS_FACTOR * max(1, len(self._members).bit_length())

    def _gossip(self, kind: Kind, seq: int, target: str) -> Gossip:
        updates = [self.me]
        about = self._members.get(target)
        if about is not None and about.update.state != ProcessState.ALIVE:
            # A process that hears it is suspected refutes it with a higher counter.
            updates.append(about.update)
        updates.extend(self._take_updates(UPDATES_A_DATAGRAM - len(updates)))
        return Gossip(int(kind), seq, self.me.process, target, *self.versions, updates)

    def _take_updates(self, limit: int) -> Iterable[MemberUpdate]:
        chosen = sorted(self._resends, key=self._resends.__getitem__, reverse=True)
        for process in chosen[:limit]:
            self._resends[process] -= 1
            if self._resends[process] <= 0:
                del self._resends[process]
            update = self.get(process)
            if update is not None and process != self.me.process:
                yield update
