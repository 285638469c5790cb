"""State of one run at an agent's endpoint."""

from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import NamedTuple

from .model import RunOutcome
from .progress import RunProgress
from .resources import Resources

RunKey = tuple[str, int]
"""Name of a task and number of its run."""


class Phase(Enum):
    """Phase of a run; it holds resources in all of them."""

    STARTING = "starting"
    DOUBTFUL = "doubtful"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass
class Run:
    """A run at the endpoint, assigned by an entry.

    Attributes
    ----------
    listed : bool
        Whether a poll has shown it as active.
    start_sent : bool
        Whether its start was sent to the endpoint; until then it is accepted only.
    carried_over : bool
        Whether it was started before the endpoint restarted: it may have run, and ended then.
    level : float
        Run time over estimate that is usual for its queue; multiplies the estimate.
    lease_limit : float
        Monotonic time past which the endpoint's lease is not renewed while this run may be active.
    """

    key: RunKey
    entry: str
    need: Resources
    estimate_ms: int
    began: float
    phase: Phase = Phase.STARTING
    answered_at: float = 0.0
    stop_outcome: RunOutcome = RunOutcome.STOPPED
    stopped_at: float | None = None
    listed: bool = False
    carried_over: bool = False
    missing_polls: int = 0
    lease_limit: float = inf
    start_sent: bool = False
    progress: RunProgress = field(default_factory=lambda: RunProgress(0.0))
    level: float = 1.0

    @property
    def expected_ms(self) -> float:
        """Expected run time at an endpoint of mean speed, in ms."""
        return max(1, self.estimate_ms) * self.level

    @property
    def confirmed(self) -> bool:
        """Whether the endpoint has confirmed that it runs, and no stop was requested."""
        return self.phase is Phase.RUNNING

    @property
    def may_start_late(self) -> bool:
        """Whether its start got no answer, and neither a poll nor a stop has settled it since."""
        is_settled = self.confirmed or self.listed or self.stopped_at is not None
        return self.start_sent and not is_settled


class FinishedRun(NamedTuple):
    """A run that has ended, and its outcome."""

    run: Run
    how: RunOutcome
