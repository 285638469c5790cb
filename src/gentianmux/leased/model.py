"""Data types of leased jobs and endpoints, shared by entries and agents."""

from enum import Enum, IntEnum
from typing import NamedTuple, Protocol

from .resources import Resources


def instance_of(process: str) -> str:
    """Name of the instance that a process belongs to; ``w1`` for ``w1.1700000000000``."""
    return process.rpartition(".")[0]


def is_earlier_process(process: str, other: str) -> bool:
    """Whether a process ran on the same instance before another one, by the starts in their names.

    Examples
    --------
    >>> is_earlier_process("w1.1700000000000", "w1.1700000000900")
    True
    >>> is_earlier_process("w1.1700000000900", "w1.1700000000000")
    False
    """
    return instance_of(process) == instance_of(other) and _started_at(process) < _started_at(other)


def _started_at(process: str) -> int:
    """Start of a process in Unix milliseconds; 0 for a name without one."""
    start = process.rpartition(".")[2]
    return int(start) if start.isdecimal() else 0


class StepSpec(NamedTuple):
    """A step of a job: a number of tasks with the same requirements.

    Attributes
    ----------
    tasks : int
        Number of tasks.
    need : Resources
        Resources that each task needs.
    estimate_ms : int
        The caller's estimate of one task's run time, in milliseconds.
    after : tuple of int
        Indexes of the steps that must be completed first.
    requires : str
        Label that the endpoint must have; empty for none.
    prefers : str
        Label of the preferred rack, where the data is; empty for none.
    max_per_endpoint : int
        Maximum number of tasks of the step on one endpoint; 0 for no bound.
    """

    tasks: int
    need: Resources
    estimate_ms: int
    after: tuple[int, ...] = ()
    requires: str = ""
    prefers: str = ""
    max_per_endpoint: int = 0


class JobSpec(NamedTuple):
    """A job as submitted by a caller; ``payload`` is passed to every task unchanged."""

    job_id: str
    payload: str
    steps: tuple[StepSpec, ...]


class QueueConfig(NamedTuple):
    """Configuration of one queue of jobs.

    Attributes
    ----------
    name : str
        Name used in logs and metrics.
    host, prefix : str
        Host and path prefix of the requests that belong to the queue.
    service : str
        Service whose endpoints run the tasks.
    timeout_ms : int
        Time limit of requests without a deadline, in milliseconds.
    target_ms : int
        Fixed part of the latency objective, added to the stretched work, in milliseconds.
    priority : int
        Jobs with the lowest number go first; runs in progress are never preempted.
    max_attempts : int
        Number of failed runs of one task after which its job fails.
    stretch : float
        Factor applied to the work of a job in the latency objective.
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
    """Bounds on callers' requests: sizes in bytes, and timeouts of headers and idle connections."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class JobConfig(NamedTuple):
    """One version of the configuration; ``raw`` is its encoded form, passed on between peers."""

    version: int
    queues: tuple[QueueConfig, ...]
    limits: RequestLimits
    raw: bytes


class EndpointReport(NamedTuple):
    """State of an endpoint as reported in a heartbeat.

    Attributes
    ----------
    drain_remaining_s : float
        Minimum time for which a draining endpoint still runs tasks, in seconds.
    sequence : int
        Number of the heartbeat within one incarnation, from 1.
    born : int
        Start of this incarnation of the endpoint, in Unix milliseconds; 0 if unknown. An endpoint
        may restart under the same id, which invalidates all earlier state of it.
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
    """An endpoint's answer to a start command."""

    STARTED = "started"
    OLD_RUN = "old_run"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    REFUSED = "refused"
    REPLACED = "replaced"
    NO_ANSWER = "no_answer"


class RunOutcome(IntEnum):
    """How a run ended at an agent; the members before ``DONE`` prove that it never ran."""

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
    """A run that an endpoint lists as active, with its progress in percent."""

    task: str
    run: int
    percent: float


class EndRecord(NamedTuple):
    """A run that has ended, listed by an endpoint until its ``number`` is acknowledged."""

    number: int
    task: str
    run: int
    how: RunOutcome


class HoldReply(NamedTuple):
    """Runs listed by an endpoint; ``asked_at`` is the agent's monotonic time of the request."""

    asked_at: float
    active: tuple[ActiveRun, ...]
    ended: tuple[EndRecord, ...]


class EndpointGone(Exception):
    """An endpoint with another id answered; all runs of the earlier one have ended."""


class EndpointStartedAgain(Exception):
    """Another incarnation with the same id answered; all runs of the earlier one have ended.

    Attributes
    ----------
    born : int
        Start of the current incarnation, in Unix milliseconds.
    """

    def __init__(self, born: int) -> None:
        super().__init__(born)
        self.born = born


class NoAnswer(Exception):
    """No valid response was received; the call may or may not have taken effect."""


class EndpointDriver(Protocol):
    """Client interface of an agent's endpoint."""

    def attach(self, report: EndpointReport) -> None:
        """Switch to the endpoint that sent a heartbeat, and fence off earlier agents."""
        ...

    def is_present(self, report: EndpointReport) -> bool | None:
        """Whether the incarnation that sent a heartbeat is the running one; None if unanswered.

        May be called while the driver is attached to another incarnation, and does not affect it.
        """
        ...

    def start(
        self, task: str, run: int, payload: str, lease_s: float, asked_at: float
    ) -> StartResult:
        """Start a run under a lease that begins at ``asked_at``, monotonic time; never raises.

        The endpoint refuses a start that arrives after the lease has expired, so that a process
        paused between decision and sending cannot start an outdated run.
        """
        ...

    def stop(self, task: str, run: int) -> bool:
        """Stop a run, even if its start is still in flight; whether the endpoint confirmed it."""
        ...

    def hold(
        self,
        acknowledged: int,
        wait_s: float,
        lease_s: float,
        timeout_s: float,
        lease_from: float | None = None,
    ) -> HoldReply:
        """Renew the lease of all runs (none if ``lease_s`` is 0) and wait for one of them to end.

        The lease begins at ``lease_from``, monotonic time, or now if that is None. A process that
        was paused after its decision then renews no further than it has decided.

        Raises
        ------
        EndpointGone
            When an endpoint with another id answered.
        EndpointStartedAgain
            When another incarnation of the same endpoint answered.
        NoAnswer
            When no valid response arrived in time.
        """
        ...

    def lease_end(self) -> float:
        """Monotonic time at which every lease requested so far has expired."""
        ...
