"""The typed messages that gentianmux processes send each other."""

from enum import IntEnum
from typing import NamedTuple

PROTOCOL_VERSION = 1


class Hello(NamedTuple):
    """First frame on a connection: who speaks, and which protocol version."""

    version: int
    process: str
    role: str
    address: str


class Submit(NamedTuple):
    """A job or single request on its way from an entry to the owner of its shard.

    ``submitted_ms`` is the caller's time of first submission (Unix ms, -1 when it gave none);
    ``deadline_ms`` is Unix time in ms, -1 for none; ``request`` comes back in the answer.
    """

    request: int
    key: str
    member: str
    service: str
    body: bytes
    digest: bytes
    submitted_ms: int
    deadline_ms: int
    idempotent: bool
    wait: bool


class Answer(NamedTuple):
    """What the owner says of a key; ``final`` tells whether more will follow."""

    request: int
    key: str
    code: int
    detail: str
    retry_after_ms: int
    final: bool
    body: bytes


class Query(NamedTuple):
    """Ask the owner for the answer of a key, or for its state when not to wait."""

    request: int
    key: str
    wait: bool


class Cancel(NamedTuple):
    """Ask the owner to cancel a job."""

    request: int
    key: str


class Task(NamedTuple):
    """One task of a job; ``attempt`` grows with each retry on proof that it did not start."""

    number: int
    attempt: int
    payload: str
    size_ms: int


class Explain(NamedTuple):
    """Ask the owner how a job was decided."""

    request: int
    key: str


class StartHow(IntEnum):
    """What an agent without a free slot does with tasks."""

    QUEUE = 0
    BOUNCE = 1
    OFFERED = 2


class StartBatch(NamedTuple):
    """One agent's whole share of a job's tasks.

    ``eager`` asks for each result at once; ``how`` is a ``StartHow``, and ``offer`` the number
    of the offer that ``OFFERED`` takes up.
    """

    key: str
    shard: int
    epoch: int
    member: str
    service: str
    deadline_ms: int
    submitted_ms: int
    eager: bool
    how: int
    offer: int
    tasks: list[Task]


class Reserve(NamedTuple):
    """Ask an agent to offer slots for a job's waiting tasks, in their member's turn."""

    key: str
    epoch: int
    member: str
    service: str
    slots: int
    size_ms: int


class Offer(NamedTuple):
    """An agent holds a free slot for a job's coordinator, under a number of its own."""

    key: str
    number: int


class Decline(NamedTuple):
    """The coordinator has no task for an offered slot."""

    number: int


class TaskResult(NamedTuple):
    """How one task ended at an agent."""

    number: int
    attempt: int
    code: int
    output: str
    queued_ms: float
    ran_ms: float


class ResultBatch(NamedTuple):
    """Results of one job's tasks from one agent, with the agent's load."""

    key: str
    epoch: int
    load: int
    results: list[TaskResult]


class Revoke(NamedTuple):
    """Take back all tasks of these keys that have not started and stop those that have."""

    keys: list[str]


class ShardLease(NamedTuple):
    """A shard and the offset of its newest record, which both sides of a lease must share."""

    shard: int
    base: int


class LeaseRequest(NamedTuple):
    """An owner asks its heir to renew; ``sent`` is the owner's monotonic clock."""

    process: str
    sent: float
    shards: list[ShardLease]


class LeaseGrant(NamedTuple):
    """The heir's grant; echoes ``sent`` so that the owner counts from its own send time."""

    process: str
    sent: float
    shards: list[ShardLease]


class TraceQuery(NamedTuple):
    """A new owner asks what is known of keys, and thereby fences older epochs."""

    query: int
    shard: int
    epoch: int
    keys: list[str]


class Trace(NamedTuple):
    """What an agent holds of a key: tasks that run now, and results of those that ended."""

    key: str
    running: list[int]
    results: list[TaskResult]


class TraceReply(NamedTuple):
    """Traces found; what started before ``forgotten_ms`` may have been forgotten (0: nothing)."""

    query: int
    process: str
    forgotten_ms: int
    traces: list[Trace]


class LedgerEntry(NamedTuple):
    """One ended job in a ledger that moves to a new owner."""

    key: str
    digest: bytes
    submitted_ms: int
    code: int
    answer: bytes


class LedgerHandover(NamedTuple):
    """A part of a shard's ledger on its way to the owner that a planned move names.

    ``move`` numbers the owner's tries, so that a late reply to an earlier one counts for nothing.
    """

    shard: int
    base: int
    move: int
    process: str
    horizon_ms: int
    taken_over_ms: int
    timeless_lost: bool
    last: bool
    entries: list[LedgerEntry]
    fingerprints: list[int]


class HandoverReply(NamedTuple):
    """Whether the target of a planned move holds the ledger now."""

    shard: int
    base: int
    move: int
    taken: bool


class Farewell(NamedTuple):
    """A leaving agent asks to be told when no task of the receiver is left with it."""

    process: str


class FarewellReply(NamedTuple):
    """The receiver has no task at the leaving agent, and will send it none."""

    process: str


class EndedJob(NamedTuple):
    """What a leaving agent knows of one job's tasks that ended there."""

    key: str
    shard: int
    epoch: int
    seen_ms: int
    results: list[TaskResult]


class RecordsHandover(NamedTuple):
    """A part of a leaving agent's start records, for another agent to answer from."""

    process: str
    forgotten_ms: int
    last: bool
    jobs: list[EndedJob]


class RecordsReply(NamedTuple):
    """The receiver holds all start records of the leaving agent."""

    process: str


class StatePull(NamedTuple):
    """Ask a peer for what it has read of a stream beyond ``version``."""

    stream: str
    version: int


class LogRecord(NamedTuple):
    """A record of the platform's log, handed on by a peer."""

    offset: int
    data: str


class StateBody(NamedTuple):
    """What a peer has read: the records asked for, or a snapshot when they are not at hand."""

    stream: str
    version: int
    snapshot: str
    records: list[LogRecord]


class MemberUpdate(NamedTuple):
    """What gossip says of one process; the higher ``counter`` is the newer word."""

    process: str
    name: str
    role: str
    address: str
    http: str
    failure_domain: str
    services: list[str]
    slots: int
    state: int
    counter: int


class Gossip(NamedTuple):
    """One membership datagram: a probe, its answer, or a request to probe a third process."""

    kind: int
    seq: int
    sender: str
    target: str
    config_version: int
    fleet_version: int
    updates: list[MemberUpdate]


class LeasedTask(NamedTuple):
    """One run of a task for an agent to start; resources as in ``leased.room.Resources``.

    ``payload`` is the number of its payload among those of its assignment.
    """

    name: str
    run: int
    payload: int
    cpu: int
    mem_mb: int
    gpu: int
    estimate_ms: int


class Claim(NamedTuple):
    """Runs of one urgency that wait at an entry for room.

    ``cpu``, ``mem_mb`` and ``gpu`` are what they take together, ``least_cpu`` what the smallest of
    them takes. ``late`` tells that they will be late anyway, ``begun`` that others of their jobs
    are at work, ``begin_in_ms`` how soon the most urgent has to begin.
    """

    cpu: int
    mem_mb: int
    gpu: int
    least_cpu: int
    late: bool
    begun: bool
    priority: int
    begin_in_ms: int


class Assign(NamedTuple):
    """An entry hands runs to an agent.

    ``echo`` is the newest load report that the entry has seen of the agent; ``number`` counts
    the entry's assignments to it, and comes back as ``AgentLoad.applied``. ``claims`` is what
    still waits. ``payloads`` holds each job's payload once, of up to 4,000 bytes.
    """

    echo: int
    number: int
    tasks: list[LeasedTask]
    claims: list[Claim]
    payloads: list[bytes]


class RunRef(NamedTuple):
    """Names one run of a task."""

    task: str
    run: int


class Withdraw(NamedTuple):
    """An entry no longer wants these runs."""

    runs: list[RunRef]


class EndedRun(NamedTuple):
    """How one run left an agent; ``how`` is a ``leased.model.RunOutcome``."""

    number: int
    task: str
    run: int
    how: int
    ran_ms: int


class EndedRuns(NamedTuple):
    """Runs that have left an agent, sent again on each new connection until acknowledged."""

    runs: list[EndedRun]


class Holding(NamedTuple):
    """All runs that an agent holds for an entry, said when a connection opens."""

    applied: int
    runs: list[RunRef]


class AgentLoad(NamedTuple):
    """An agent's numbered load report: the room it offers, after assignment ``applied``.

    ``entries`` is how many entries share the agent at present, and ``longest_ms`` the longest
    estimate of a run that it still begins; an agent that was told to stop begins short ones alone.
    """

    number: int
    applied: int
    cpu: int
    mem_mb: int
    gpu: int
    slowness_percent: int
    config_version: int
    entries: int
    longest_ms: int


class LoadEcho(NamedTuple):
    """The newest load report that an entry has seen of the agent, and its configuration.

    ``claims`` is what waits there for room, most urgent first: the agent grants room to it.
    ``gives_back`` tells that none of it fits into what was granted. ``seen`` is the newest ended
    run that the entry has taken in: acknowledged here, ends take no frames of their own.
    """

    number: int
    config_version: int
    gives_back: bool
    claims: list[Claim]
    seen: int = 0


class EndpointState(NamedTuple):
    """The endpoint beside an agent, and whether the agent starts anything there.

    ``born`` is when the endpoint started, in Unix milliseconds; 0 when it is not told.
    """

    endpoint: str
    service: str
    failure_domain: str
    cpu: int
    mem_mb: int
    gpu: int
    labels: list[str]
    accepting: bool
    born: int = 0

    @property
    def incarnation(self) -> str:
        """Names one life of the endpoint: what is held against it ends when it starts again."""
        return f"{self.endpoint}@{self.born}" if self.born else self.endpoint


class Evacuated(NamedTuple):
    """The failure domains that operators evacuate; the account with the higher position is newer.

    Sent when a connection opens and when others are evacuated, by entries and agents alike, so that
    it also reaches those that the store turns away.
    """

    position: int
    failure_domains: list[str]


class ConfigWanted(NamedTuple):
    """Asks a peer for a piece of its configuration, from ``offset`` of what is packed."""

    version: int
    offset: int


class ConfigPiece(NamedTuple):
    """A piece of the operators' configuration, packed; ``size`` is that of the whole."""

    version: int
    offset: int
    size: int
    body: bytes


Message = (
    Hello
    | Submit
    | Answer
    | Query
    | Cancel
    | Explain
    | StartBatch
    | Reserve
    | Offer
    | Decline
    | ResultBatch
    | Revoke
    | LeaseRequest
    | LeaseGrant
    | TraceQuery
    | TraceReply
    | LedgerHandover
    | HandoverReply
    | Farewell
    | FarewellReply
    | Gossip
    | RecordsHandover
    | RecordsReply
    | StatePull
    | StateBody
    | Assign
    | Withdraw
    | EndedRuns
    | Holding
    | AgentLoad
    | LoadEcho
    | EndpointState
    | Evacuated
    | ConfigWanted
    | ConfigPiece
)
