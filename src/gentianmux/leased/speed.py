"""Estimates the relative speed of endpoints from the run times of their runs.

Terms:

* level of a queue: run time over estimate, at an endpoint of mean speed;
* expected run time: estimate times level;
* factor of an endpoint: run time over expected run time, above 1 if it is slow;
* speed class: logarithm of the factor relative to the mean of all endpoints, in steps; 0 is the
  mean, a lower class is faster.

Agents estimate the factor, entries estimate levels and compare the endpoints.
"""

from collections import deque
from collections.abc import Iterator, Sequence
from math import exp, floor, log
from statistics import median
from typing import NamedTuple, Protocol

from ..messages import EndpointState

MIN_RUNS = 16
"""Ended runs before a factor is known: fewer may be of one or two jobs, whose tasks share the error
of an estimate, and would make even endpoints look uneven."""

SPEED_RUNS = 64
"""Ended runs over which the factor is averaged: some 16 jobs of four tasks each, whose errors of
40 % then leave less than half of a speed class."""

RECENT_RUNS = 5
"""Runs that are compared with those before them. A change shows after three of them; one or two may
be outliers."""

CHANGE_RATIO = 2.0
"""Ratio of recent run times to earlier ones from which the speed has changed: an estimate that is
40 % too low, and tasks of a job that take a sixth longer than their mean, explain no more."""

FORGET_S = 10.0
"""Seconds without an ended run after which a factor is no longer known: an endpoint that was slow,
and gets no runs because of that, is tried again."""

MIN_LEVEL_RUNS = 16
"""Ended runs of a queue before its level is used; of several jobs."""

LEVEL_RUNS = 64
"""Ended runs over which the level of a queue is averaged: some 16 jobs, and few enough that levels
learned before the factors of endpoints are known are soon replaced."""

MAX_QUEUES = 4096
"""Queues whose level is kept; the one that was added first is dropped beyond it."""

REFRESH_INTERVAL_S = 0.25
"""Seconds between comparisons of all agents: a few load reports."""

AGENTS_PER_REFRESH = 256
"""Agents compared in one interval; more are compared less often, at the same cost."""

CLASS_RATIO = 1.25
"""Ratio of the factors of neighbouring speed classes; see ``fleet_view.SLOWNESS_STEP``."""

CLASS_HYSTERESIS = 0.75
"""Distance from the centre of its speed class, in classes, at which an endpoint leaves it: more
than half, so that noise does not move it to and fro."""

SPEED_MARGIN = 1.1
"""Margin on expected run times: a job ends with its last task, which takes longer than the mean.
The error of the estimate is not part of it, as it is the same for run time and objective."""

NO_CLASS = -1000
"""Limit below every speed class: no endpoint is fast enough."""


class SpeedEstimate:
    """Speed factor of one incarnation of an endpoint, learned at its agent; pure.

    The factor is the geometric mean of run time over expected run time. After a change of speed,
    earlier runs are dropped.

    Attributes
    ----------
    changes : int
        Number of changes of speed that were detected.
    running_ratio : float
        Ratio of the active runs while they are much slower than the ended ones; else 0.

    Examples
    --------
    >>> speed = SpeedEstimate()
    >>> for _ in range(MIN_RUNS):
    ...     speed.ended(1.6, now=1.0)
    >>> speed.percent(now=1.0)
    160
    >>> for _ in range(3):
    ...     speed.ended(4.8, now=2.0)
    >>> speed.percent(now=2.0) > 300
    True
    """

    def __init__(self) -> None:
        self.changes = 0
        self._logs: deque[float] = deque(maxlen=SPEED_RUNS)
        self._ended_at = float("-inf")
        self.running_ratio = 0.0

    def ended(self, ratio: float, now: float) -> None:
        """Record the run time over expected run time of a run that has ended."""
        if now - self._ended_at > FORGET_S:
            self._logs.clear()
        self._ended_at = now
        self._logs.append(log(max(ratio, 0.01)))
        if len(self._logs) > RECENT_RUNS:
            self._drop_before_change()

    def _drop_before_change(self) -> None:
        logs = list(self._logs)
        recent, earlier = logs[-RECENT_RUNS:], logs[:-RECENT_RUNS]
        typical = median(recent)
        change = typical - sum(earlier) / len(earlier)
        if abs(change) <= log(CHANGE_RATIO):
            return
        self.changes += 1
        # Of the recent runs, those before the change are nearer to the earlier ones.
        kept = [each for each in recent if abs(each - typical) < abs(change) / 2]
        self._logs.clear()
        self._logs.extend(kept)

    def observe_running(self, ratios: list[float], running: int) -> None:
        """Record the ratios that active runs will at least reach by their progress.

        They count while more than half of the active runs are slower than the ended ones by more
        than the error of an estimate.

        Parameters
        ----------
        ratios : list of float
            Lower bounds on run time over expected run time, of runs with enough progress.
        running : int
            Number of active runs.
        """
        self.running_ratio = 0.0
        if len(ratios) < 2 or len(ratios) * 2 <= running:
            return
        typical = median(ratios)
        if typical > CHANGE_RATIO * self.factor():
            self.running_ratio = typical

    def factor(self) -> float:
        """Run time over expected run time of the ended runs; 1.0 while there are none."""
        return exp(sum(self._logs) / len(self._logs)) if self._logs else 1.0

    def percent(self, now: float) -> int:
        """Factor in percent as reported to entries; 0 while it is not known."""
        if self.running_ratio:
            return round(100 * self.running_ratio)
        # After a change three runs are enough, since they agree.
        needed = MIN_RUNS if not self.changes else RECENT_RUNS // 2 + 1
        if len(self._logs) < needed or now - self._ended_at > FORGET_S:
            return 0
        return max(1, round(100 * self.factor()))


class QueueLevels:
    """Mean run time over estimate of each queue at an endpoint of mean speed; pure.

    An entry sends the level with each run, so that agents learn the speed of the endpoint and not
    the error of the queue's estimates.

    Examples
    --------
    >>> levels = QueueLevels()
    >>> for _ in range(40):
    ...     levels.record("intake", ratio=3.0, factor=1.5)
    >>> levels.permille("intake"), levels.permille("other")
    (2000, 0)
    """

    def __init__(self) -> None:
        self._levels: dict[str, tuple[int, float]] = {}

    def record(self, queue: str, ratio: float, factor: float) -> None:
        """Record a run's time over its estimate, at an endpoint with a relative factor."""
        runs, level = self._levels.get(queue, (0, 0.0))
        if not runs and len(self._levels) >= MAX_QUEUES:
            del self._levels[next(iter(self._levels))]
        runs = min(runs + 1, LEVEL_RUNS)
        sample = log(max(ratio, 0.01) / factor)
        self._levels[queue] = runs, level + (sample - level) / runs

    def permille(self, queue: str) -> int:
        """Level of a queue in thousandths; 0 while it is not known."""
        runs, level = self._levels.get(queue, (0, 0.0))
        return max(1, round(1000 * exp(level))) if runs >= MIN_LEVEL_RUNS else 0


class RatedAgent(Protocol):
    """What is known of an agent's endpoint, and its speed among the agents of an entry.

    Attributes
    ----------
    slowness : float
        Factor that the agent reported; 0 while not known.
    factor : float
        The same over the mean of all agents, or the prior.
    speed_class : int
        Class of that factor; negative for faster than the mean.
    """

    process: str
    state: EndpointState | None
    slowness: float
    factor: float
    speed_class: int

    def is_fresh(self, now: float) -> bool:
        """Whether the agent has reported lately."""
        ...


class SpeedChange(NamedTuple):
    """An endpoint that has moved to another speed class."""

    agent: RatedAgent
    before: int
    is_prior: bool


class FleetSpeeds:
    """Compares the speed of an entry's agents; pure.

    Attributes
    ----------
    is_uneven : bool
        Whether factors differ by more than the resolution; only then speed classes are used.
    spread : float
        Difference of the largest and the smallest reported factor.
    levels : QueueLevels
        Run time over estimate of each queue.

    Examples
    --------
    ``speeds.refresh(agents, now, step=0.25)`` sets ``factor`` and ``speed_class`` of each agent.
    """

    def __init__(self) -> None:
        self.is_uneven = False
        self.spread = 0.0
        self.levels = QueueLevels()
        self._refreshed_at = float("-inf")

    def is_due(self, agents: int, now: float) -> bool:
        """Whether so many agents have to be compared again."""
        interval_s = REFRESH_INTERVAL_S * max(1.0, agents / AGENTS_PER_REFRESH)
        return now - self._refreshed_at >= interval_s

    def refresh(self, agents: Sequence[RatedAgent], now: float, step: float) -> list[SpeedChange]:
        """Compare agents, and return those whose speed class has changed.

        Parameters
        ----------
        agents : sequence of RatedAgent
            Agents of the entry. A factor that was not reported lately is not believed.
        now : float
            Monotonic time in seconds.
        step : float
            Difference of factors up to which speeds count as even.
        """
        self._refreshed_at = now
        known = [agent for agent in agents if agent.slowness > 0 and agent.is_fresh(now)]
        factors = [agent.slowness for agent in known]
        self.spread = max(factors) - min(factors) if factors else 0.0
        self.is_uneven = self.spread > step
        if not self.is_uneven:
            for agent in agents:
                agent.factor, agent.speed_class = 1.0, 0
            return []
        logs = [log(factor) for factor in factors]
        mean = sum(logs) / len(logs)
        relatives = {agent.process: each - mean for agent, each in zip(known, logs, strict=True)}
        if len(known) < len(agents):
            priors = _Priors(known, mean)
            unknown = (agent for agent in agents if agent.process not in relatives)
            relatives.update({agent.process: priors.of(agent) for agent in unknown})
        return list(self._classify(agents, relatives))

    def _classify(
        self, agents: Sequence[RatedAgent], relatives: dict[str, float]
    ) -> Iterator[SpeedChange]:
        for agent in agents:
            relative = relatives[agent.process]
            agent.factor = exp(relative)
            place = relative / log(CLASS_RATIO)
            if abs(place - agent.speed_class) > CLASS_HYSTERESIS:
                before, agent.speed_class = agent.speed_class, round(place)
                yield SpeedChange(agent, before, agent.slowness <= 0)


class _Priors:
    """Priors of endpoints without ended runs: the mean of their kind, relative to all agents.

    Labels name a kind, a rack and more, without saying which. The label whose endpoints differ
    least from each other tells most about another one; a label of few endpoints tells less.
    """

    def __init__(self, known: list[RatedAgent], mean: float) -> None:
        self._by_label: dict[str, list[float]] = {}
        logs = [log(agent.slowness) - mean for agent in known]
        self._variance = sum(each * each for each in logs) / len(logs)
        for agent, each in zip(known, logs, strict=True):
            for label in agent.state.labels if agent.state is not None else ():
                self._by_label.setdefault(label, []).append(each)

    def of(self, agent: RatedAgent) -> float:
        """Logarithm of the expected factor of an agent, relative to the mean."""
        best, prior = self._variance, 0.0
        for label in agent.state.labels if agent.state is not None else ():
            logs = self._by_label.get(label, ())
            if len(logs) < 2:
                continue
            mean = sum(logs) / len(logs)
            # One more endpoint, as different from the mean as any, keeps small racks from winning.
            deviation = sum((each - mean) ** 2 for each in logs) + self._variance
            if deviation / len(logs) < best:
                best, prior = deviation / len(logs), mean
        return prior


def speed_limit(time_left_s: float, expected_s: float) -> int:
    """Slowest speed class in which a task ends within the time that is left.

    Parameters
    ----------
    time_left_s : float
        Seconds until the task has to end.
    expected_s : float
        Expected run time at an endpoint of mean speed, in seconds.

    Examples
    --------
    >>> speed_limit(0.5, 0.25), speed_limit(0.25, 0.25), speed_limit(-1.0, 0.25) == NO_CLASS
    (2, -1, True)
    """
    if time_left_s <= 0:
        return NO_CLASS
    return floor(log(time_left_s / max(0.001, expected_s * SPEED_MARGIN)) / log(CLASS_RATIO))


def preference(speed_class: int, limit: int | None) -> int:
    """Sort key of speed classes: the slowest within the limit first, then the fastest beyond it.

    Without a limit the fastest is first.
    """
    if limit is None:
        return speed_class
    return -speed_class + NO_CLASS if speed_class <= limit else speed_class
