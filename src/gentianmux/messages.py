"""Messages between gentianmux processes.

Class and field names match ``schema.capnp``.
"""

from enum import IntEnum
from typing import NamedTuple

PROTOCOL_VERSION = 1


class Hello(NamedTuple):
    """First frame on a connection: the sender and its protocol version."""

    version: int
    process: str
    role: str
    address: str


class Submit(NamedTuple):
    """A job or single request, sent by an entry to the owner of its shard.

    ``submitted_ms`` is the caller's time of first submission and ``deadline_ms`` the deadline,
    both in Unix ms and -1 for none. ``request`` is returned in the answer.
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
    """Owner's answer for a key; ``final`` is false if another answer follows."""

    request: int
    key: str
    code: int
    detail: str
    retry_after_ms: int
    final: bool
    body: bytes


class Query(NamedTuple):
    """Query the owner for the answer of a key; without ``wait``, for its current state."""

    request: int
    key: str
    wait: bool


class Cancel(NamedTuple):
    """Request to the owner to cancel a job."""

    request: int
    key: str


class Task(NamedTuple):
    """One task of a job; ``attempt`` is incremented when it provably did not start."""

    number: int
    attempt: int
    payload: str
    size_ms: int


class Explain(NamedTuple):
    """Request to the owner for the decision trail of a job."""

    request: int
    key: str


class StartHow(IntEnum):
    """What an agent does with tasks when it has no free slot.

    ``QUEUE`` queues them, ``BOUNCE`` refuses them and reserves a slot, and ``OFFERED`` uses a slot
    that the agent has offered.
    """

    QUEUE = 0
    BOUNCE = 1
    OFFERED = 2


class StartBatch(NamedTuple):
    """All tasks of a job that are sent to one agent.

    ``eager`` requests results before the last task ends. ``how`` is a ``StartHow``; ``offer`` is
    the number of the accepted offer for ``OFFERED``.
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
    """Request to an agent to reserve slots for waiting tasks, in the member's queue."""

    key: str
    epoch: int
    member: str
    service: str
    slots: int
    size_ms: int


class Offer(NamedTuple):
    """Offer of a free slot to a job's coordinator; ``number`` is unique at the agent."""

    key: str
    number: int


class Decline(NamedTuple):
    """Rejection of an offered slot for which the coordinator has no task."""

    number: int


class TaskResult(NamedTuple):
    """Result of one task at an agent."""

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
    """Request to drop queued tasks of these keys and to stop running ones."""

    keys: list[str]


class ShardLease(NamedTuple):
    """A shard and the offset of its newest record, on which both sides of a lease must agree."""

    shard: int
    base: int


class LeaseRequest(NamedTuple):
    """Owner's request to its heir to renew leases; ``sent`` is the owner's monotonic time."""

    process: str
    sent: float
    shards: list[ShardLease]


class LeaseGrant(NamedTuple):
    """Heir's grant; echoes ``sent``, so that the lease runs from the owner's send time."""

    process: str
    sent: float
    shards: list[ShardLease]


class TraceQuery(NamedTuple):
    """New owner's query for traces of keys; also fences older epochs."""

    query: int
    shard: int
    epoch: int
    keys: list[str]


class Trace(NamedTuple):
    """An agent's records of a key: running tasks, and results of ended ones."""

    key: str
    running: list[int]
    results: list[TaskResult]


class TraceReply(NamedTuple):
    """Traces found; records of starts before ``forgotten_ms`` may be gone (0: none)."""

    query: int
    process: str
    forgotten_ms: int
    traces: list[Trace]


class LedgerEntry(NamedTuple):
    """One ended job in a ledger handover."""

    key: str
    digest: bytes
    submitted_ms: int
    code: int
    answer: bytes


class LedgerHandover(NamedTuple):
    """Part of a shard's ledger, sent to the next owner in a planned move.

    ``move`` numbers the attempts, so that a late reply to an earlier one is ignored.
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
    """Reply to a ledger handover; ``taken`` is true if the ledger was accepted."""

    shard: int
    base: int
    move: int
    taken: bool


class Farewell(NamedTuple):
    """Shutdown notice of an agent; the receiver replies once it has no task there."""

    process: str


class FarewellReply(NamedTuple):
    """Reply to a shutdown notice: the sender has no task at the agent and sends none."""

    process: str


class EndedJob(NamedTuple):
    """Start records of one job at an agent that shuts down."""

    key: str
    shard: int
    epoch: int
    seen_ms: int
    results: list[TaskResult]


class RecordsHandover(NamedTuple):
    """Part of the start records of an agent that shuts down."""

    process: str
    forgotten_ms: int
    last: bool
    jobs: list[EndedJob]


class RecordsReply(NamedTuple):
    """Acknowledgement that all start records have been received."""

    process: str


class StatePull(NamedTuple):
    """Request to a peer for records of a stream after ``version``."""

    stream: str
    version: int


class LogRecord(NamedTuple):
    """Record of the platform's log, relayed by a peer."""

    offset: int
    data: str


class StateBody(NamedTuple):
    """Reply to ``StatePull``: records, or a snapshot if the peer no longer has them."""

    stream: str
    version: int
    snapshot: str
    records: list[LogRecord]


class MemberUpdate(NamedTuple):
    """Membership state of one process; a higher ``counter`` is newer."""

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
    """Membership datagram: a probe, an acknowledgement, or an indirect probe request."""

    kind: int
    seq: int
    sender: str
    target: str
    config_version: int
    fleet_version: int
    updates: list[MemberUpdate]


class LeasedTask(NamedTuple):
    """One run of a task to start; units of resources as in ``leased.resources.Resources``.

    ``payload`` is the index of its payload in the assignment. ``level_permille`` is the usual run
    time over estimate of its queue, in thousandths; 0 if unknown.
    """

    name: str
    run: int
    payload: int
    cpu: int
    mem_mb: int
    gpu: int
    estimate_ms: int
    level_permille: int = 0


class Claim(NamedTuple):
    """Demand of runs of one urgency that wait at an entry.

    ``cpu``, ``mem_mb`` and ``gpu`` are totals; ``least_cpu`` is the demand of the smallest run.
    ``late`` marks runs that will be late in any case, ``begun`` runs whose jobs already have
    active runs. ``begin_in_ms`` is the time until the most urgent run must start.
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
    """Assignment of runs to an agent.

    ``echo`` is the number of the last load report received from the agent. ``number`` counts
    assignments to the agent and is acknowledged by ``AgentLoad.applied``. ``claims`` is the
    remaining demand. ``payloads`` holds each job's payload once, of up to 4,000 bytes.
    """

    echo: int
    number: int
    tasks: list[LeasedTask]
    claims: list[Claim]
    payloads: list[bytes]


class RunRef(NamedTuple):
    """Reference to one run of a task."""

    task: str
    run: int


class Withdraw(NamedTuple):
    """Withdrawal of runs that an entry no longer needs."""

    runs: list[RunRef]


class EndedRun(NamedTuple):
    """Outcome of one run at an agent; ``how`` is a ``leased.model.RunOutcome``."""

    number: int
    task: str
    run: int
    how: int
    ran_ms: int


class EndedRuns(NamedTuple):
    """Ended runs of an agent, resent on each new connection until acknowledged."""

    runs: list[EndedRun]


class Holding(NamedTuple):
    """All runs that an agent holds for an entry, sent when a connection opens."""

    applied: int
    runs: list[RunRef]


class AgentLoad(NamedTuple):
    """Numbered load report of an agent: the resources it offers after assignment ``applied``.

    ``entries`` is the number of entries that share the agent. ``longest_ms`` is the longest
    estimate of a run that it still starts; an agent that shuts down starts only short ones.
    ``share_permille`` is the part of the capacity that the entry may count on; 0 if not known.
    ``slowness_percent`` is the speed factor of the endpoint; 0 while it is not known.
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
    share_permille: int = 0


class LoadEcho(NamedTuple):
    """Acknowledgement of an agent's last load report, with the entry's demand.

    ``claims`` is the demand that waits at the entry, most urgent first, for which the agent grants
    resources. ``gives_back`` is true if none of it fits the granted resources. ``seen`` is the
    number of the last ended run received, acknowledged here to save frames. ``reads_store`` tells
    whether the entry has read the store lately, so that the agent need not.
    """

    number: int
    config_version: int
    gives_back: bool
    claims: list[Claim]
    seen: int = 0
    reads_store: bool = False


class EndpointState(NamedTuple):
    """The endpoint of an agent, and whether the agent starts runs there.

    ``born`` is the start time of the endpoint in Unix ms; 0 if unknown.
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
        """Name of this incarnation of the endpoint; changes when the endpoint restarts."""
        return f"{self.endpoint}@{self.born}" if self.born else self.endpoint


class Evacuated(NamedTuple):
    """Failure domains evacuated by operators; a higher ``position`` is newer.

    Sent by entries and agents when a connection opens and on each change, so that it also reaches
    processes that the store rejects.
    """

    position: int
    failure_domains: list[str]


class Cancelled(NamedTuple):
    """Ids of jobs that were cancelled, of which nothing may start any more.

    The receiver confirms a ``number`` other than 0 with ``CancelledSeen``.
    """

    number: int
    job_ids: list[str]


class CancelledSeen(NamedTuple):
    """Confirmation that the jobs of a ``Cancelled`` message are remembered."""

    number: int


class LockJob(NamedTuple):
    """Request to lock the id of a job, sent to the entry that owns the id.

    The receiver answers a ``number`` other than 0 with ``JobLocked``. The lock expires after
    ``hold_ms``. ``released`` are ids that the sender no longer locks; ``job_id`` is empty if it
    only releases some.
    """

    number: int
    job_id: str
    hold_ms: int
    released: list[str]


class JobLocked(NamedTuple):
    """Answer to ``LockJob``: whether the sender of that request may run the job."""

    number: int
    granted: bool


class ConfigWanted(NamedTuple):
    """Request to a peer for part of its packed configuration, starting at ``offset`` bytes."""

    version: int
    offset: int


class ConfigPiece(NamedTuple):
    """Part of the packed configuration; ``size`` is the total in bytes."""

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
    | Cancelled
    | CancelledSeen
    | LockJob
    | JobLocked
    | ConfigWanted
    | ConfigPiece
)
