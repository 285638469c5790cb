"""Messages between the entries and agents that serve leased jobs.

Class and field names match ``schema.capnp``.
"""

from typing import NamedTuple


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


class LockRequest(NamedTuple):
    """Request to lock the id of a job for ``hold_ms``."""

    job_id: str
    hold_ms: int


class LockJobs(NamedTuple):
    """Requests to lock ids of jobs, sent to an entry that is a replica of them.

    The receiver answers a ``number`` other than 0 with ``JobsLocked``, also if there are no
    requests: the answer proves contact. ``released`` are ids that the sender no longer locks.
    """

    number: int
    requests: list[LockRequest]
    released: list[str]


class LockDenial(NamedTuple):
    """A request that was denied, by its position in the message.

    ``retry_ms`` is the time after which the lock will have expired if the entry that holds it stays
    silent; 0 while that entry is in contact.
    """

    position: int
    retry_ms: int


class JobsLocked(NamedTuple):
    """Answer to ``LockJobs``: every request was granted, except those denied.

    None is if the sender ``abstains``, since it has just started and lost the locks of its
    predecessor. ``view_age_ms`` is the time since its view of the entries was known to be current.
    """

    number: int
    denials: list[LockDenial]
    abstains: bool
    view_version: int
    view_age_ms: int


class LocksHeld(NamedTuple):
    """All ids that the sender has locked at the receiver, sent when a connection opens.

    The receiver may have started anew, and lost the locks that its predecessor had granted.
    ``age_ms`` is the time since the start of the sender, ``predecessor`` what it knows of the
    predecessor of the receiver, a ``leased.vote_start.Predecessor``. ``leaves`` tells that the
    sender ends, and has neither locks nor runs.
    """

    requests: list[LockRequest]
    age_ms: int
    predecessor: int
    leaves: bool


class EntriesKnown(NamedTuple):
    """View of the entries that confirm jobs, and the addresses of entries by name.

    Sent by entries and agents when a connection opens and on each change, so that it also reaches
    processes that the store rejects.
    """

    version: int
    settled: list[str]
    target: list[str]
    names: list[str]
    addresses: list[str]


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
