"""Messages between gentianmux processes.

Class and field names match ``schema.capnp``.
"""

from enum import IntEnum
from typing import NamedTuple

from .leased.messages import (
    AgentLoad,
    Assign,
    Cancelled,
    CancelledSeen,
    ConfigPiece,
    ConfigWanted,
    EndedRuns,
    EndpointState,
    EntriesKnown,
    Evacuated,
    Holding,
    JobsLocked,
    LoadEcho,
    LockJobs,
    LocksHeld,
    Withdraw,
)

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
    | LockJobs
    | LocksHeld
    | JobsLocked
    | EntriesKnown
    | ConfigWanted
    | ConfigPiece
)
