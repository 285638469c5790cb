"""Compares the speeds of an entry's agents, and sorts them into speed classes.

A speed class is the logarithm of an endpoint's factor relative to the mean of all endpoints, in
steps; 0 is the mean, a lower class is faster.
"""

from collections.abc import Iterator, Sequence
from math import exp, floor, log
from typing import NamedTuple, Protocol

from .messages import EndpointState
from .queue_levels import QueueLevels

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
