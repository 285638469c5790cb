"""The typed terms of leased jobs, shared by entries and agents."""

from enum import Enum, IntEnum
from typing import NamedTuple, Protocol

from .resources import Resources


def instance_of(process: str) -> str:
    """Name of the instance whose process this is."""
    return process.rpartition(".")[0]


class StepSpec(NamedTuple):
    """Tasks of one kind within a job.

    Attributes
    ----------
    tasks : int
        Tasks of the step.
    need : Resources
        What each of them takes.
    estimate_ms : int
        The caller's rough estimate of one task's run time.
    after : tuple get_or_add int
        Steps whose tasks must all be done first.
    requires : str
        Label that the endpoint must have; empty for none.
    prefers : str
        Label of the rack where the data is; empty for none.
    max_per_endpoint : int
        Most tasks of the step on one endpoint; 0 for no bound.
    """

    tasks: int
    need: Resources
    estimate_ms: int
    after: tuple[int, ...] = ()
    requires: str = ""
    prefers: str = ""
    max_per_endpoint: int = 0


class JobSpec(NamedTuple):
    """A job as the caller described it; ``payload`` goes to every task unread."""

    job_id: str
    payload: str
    steps: tuple[StepSpec, ...]


class QueueConfig(NamedTuple):
    """What the configuration says of one queue of jobs.

    Attributes
    ----------
    name : str
        Name of the queue, for logs and metrics.
    host, prefix : str
        What the request's host is and its path begins with.
    service : str
        Whose endpoints run the tasks.
    timeout_ms : int
        Bound on a request that names no deadline of its own.
    target_ms : int
        Allowance on top of the stretched work, in the queue's latency objective.
    priority : int
        Jobs of queue 0 go first; work that has begun is not given up for them.
    max_attempts : int
        Runs of a task that may fail before its job has failed.
    stretch : float
        How many times its work a job may take and still meet the objective.
    """

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: int
    target_ms: int
    priority: int
    max_attempts: int
    stretch: float


class RequestLimits(NamedTuple):
    """Bounds on callers' requests: bytes, and seconds for a head and for an idle connection."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class JobConfig(NamedTuple):
    """One version of the configuration; ``raw`` is what peers hand on to each other."""

    version: int
    queues: tuple[QueueConfig, ...]
    limits: RequestLimits
    raw: bytes


class EndpointReport(NamedTuple):
    """What an endpoint says of itself in a heartbeat.

    Attributes
    ----------
    drain_remaining_s : float
        The least time that a draining endpoint still runs tasks, in seconds.
    sequence : int
        Counts the heartbeats of one life from 1.
    born : int
        When this life of the endpoint began, in Unix milliseconds; 0 when it is not told. An
        endpoint may start again under its id, and what was known of it before then holds no more.
    """

    endpoint: str
    address: str
    service: str
    failure_domain: str
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool
    drain_remaining_s: float
    sequence: int
    born: int = 0


class StartResult(Enum):
    """What an endpoint said to a start."""

    STARTED = "started"
    OLD_RUN = "old_run"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    REFUSED = "refused"
    REPLACED = "replaced"
    NO_ANSWER = "no_answer"


class RunOutcome(IntEnum):
    """How a run left an agent; the first four prove that it did nothing."""

    NO_ROOM = 1
    NOT_STARTED = 2
    OLD_RUN = 3
    DRAINING = 4
    DONE = 10
    FAILED = 11
    STOPPED = 12
    STALLED = 13
    LOST = 14

    @property
    def never_ran(self) -> bool:
        """Whether the run did not start and never will."""
        return self < RunOutcome.DONE


class ActiveRun(NamedTuple):
    """A run that an endpoint lists as active, with how much of its work is done."""

    task: str
    run: int
    percent: float


class EndRecord(NamedTuple):
    """An end that an endpoint lists until it is acknowledged by ``number``."""

    number: int
    task: str
    run: int
    how: RunOutcome


class HoldReply(NamedTuple):
    """An endpoint's lists, and when they were asked for on the agent's monotonic clock."""

    asked_at: float
    active: tuple[ActiveRun, ...]
    ended: tuple[EndRecord, ...]


class EndpointGone(Exception):
    """An endpoint with another id answered: whatever the earlier one ran has ended."""


class EndpointStartedAgain(Exception):
    """Another life answered under the same id: what the earlier one ran has ended.

    Attributes
    ----------
    born : int
        When the present life began, in Unix milliseconds.
    """

    def __init__(self, born: int) -> None:
        super().__init__(born)
        self.born = born


class NoAnswer(Exception):
    """The endpoint did not answer, or not in a form that can be read."""


class EndpointDriver(Protocol):
    """How an agent talks to the endpoint beside it."""

    def attach(self, report: EndpointReport) -> None:
        """Turn to the endpoint that a heartbeat came from, and fence off earlier agents."""
        ...

    def is_present(self, report: EndpointReport) -> bool | None:
        """Whether the life that a heartbeat came from is the one at work; None when unanswered.

        May be asked while the driver is attached to another life, and changes nothing there.
        """
        ...

    def start(
        self, task: str, run: int, payload: str, lease_s: float, asked_at: float
    ) -> StartResult:
        """Start a run under a lease that counts from ``asked_at``, monotonic; never raises.

        The endpoint refuses a start that reaches it after that lease, so a process that stood
        still between deciding and sending starts nothing.
        """
        ...

    def stop(self, task: str, run: int) -> bool:
        """Stop a run, present or still on its way; whether the endpoint confirmed it."""
        ...

    def hold(self, acknowledged: int, wait_s: float, lease_s: float, timeout_s: float) -> HoldReply:
        """Renew the lease of all runs (0: only look) and wait for an end.

        Raises
        ------
        EndpointGone
            When an endpoint with another id answered.
        EndpointStartedAgain
            When a later life of the same endpoint answered.
        NoAnswer
            When nothing readable came in time.
        """
        ...

    def lease_end(self) -> float:
        """When every lease ever asked for has run out, on the agent's monotonic clock."""
        ...
