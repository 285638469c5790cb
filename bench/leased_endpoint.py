"""A fake endpoint on virtual time, and the driver by which an agent speaks to it."""

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from gentianmux.leased.model import (
    ActiveRun,
    EndpointGone,
    EndpointReport,
    EndpointStartedAgain,
    EndRecord,
    HoldReply,
    NoAnswer,
    RunOutcome,
    StartResult,
)
from gentianmux.leased.resources import NO_RESOURCES, Resources

if TYPE_CHECKING:
    from bench.leased_world import Machine, World

STOP_S = 0.05
"""Seconds that a stop takes at an endpoint."""

DRAIN_S = 2.0
"""Seconds after its acknowledged word that it drains in which runs may still begin."""

LONGEST_LEASE_S = 1.0
SLOW_CLOCK = 0.98
"""An endpoint's clock may run 2 % slow, which makes its leases last longer."""


class Work(NamedTuple):
    """What a task really does: its run time at normal speed, and how many runs of it fail."""

    run_s: float
    failures: int = 0


@dataclass
class FakeRun:
    """A run at a fake endpoint."""

    need: Resources
    work: Work
    done_s: float = 0.0
    moved_at: float = 0.0
    stop_at: float | None = None


class Breach(NamedTuple):
    """A promise that was broken, when, and by what."""

    rule: str
    at: float
    task: str


class FakeEndpoint:
    """One life of an endpoint: starts whatever it is told to, under leases, and keeps count.

    Attributes
    ----------
    capacity, told_capacity : Resources
        Its capacity, and the one that its agent was told last.
    draining : bool
        Whether its heartbeats say that it drains.
    drain_heard_at : float or None
        When that was first acknowledged, in seconds.
    born : int
        When it began, in Unix milliseconds.
    speed : float
        Work done in a second; 0 makes everything stand still.
    failing, silent, unhealthy : bool
        Whether runs fail at once, calls get no answer, starts are refused.
    lose_looks : float
        Share of looks that are carried out and not answered.
    unanswered_calls : int
        Starts that get no answer although they are carried out.
    delayed_starts : int
        Starts that get no answer and are carried out ``late_by`` seconds later.
    ignored_stops : int
        Stops that get no answer and are not carried out.
    """

    def __init__(self, world: "World", name: str, capacity: Resources) -> None:
        self.world = world
        self.name = name
        self.capacity = self.told_capacity = capacity
        self.born = int(world.time * 1000)
        self.speed = 1.0
        self.failing = False
        self.silent = False
        self.unhealthy = False
        self.draining = False
        self.drain_heard_at: float | None = None
        self.unanswered_calls = 0
        self.lose_looks = 0.0
        self.delayed_starts = 0
        self.ignored_stops = 0
        self.late_by = 3.0
        self.up = True
        self.active: dict[tuple[str, int], FakeRun] = {}
        self.ends: list[EndRecord] = []
        self.stopped_runs: dict[str, int] = defaultdict(int)
        self.fence = 0
        self.lease_until = 0.0
        self.acknowledged = 0
        self._number = 0

    def used(self) -> Resources:
        """What its runs take, those being stopped included."""
        total = NO_RESOURCES
        for run in self.active.values():
            total = total.plus(run.need)
        return total

    def set_speed(self, speed: float) -> None:
        """Change its speed from now on."""
        self.advance()
        self.speed = speed

    def advance(self) -> None:
        """Bring runs up to the present, and end what is over."""
        now = self.world.time
        for key, run in list(self.active.items()):
            end = min(now, self.lease_until)
            run.done_s += max(0.0, end - run.moved_at) * self.speed
            run.moved_at = max(run.moved_at, end)
            if run.stop_at is not None and now >= run.stop_at:
                self._end(key, RunOutcome.STOPPED)
            elif now > self.lease_until:
                self._end(key, RunOutcome.LOST)
            elif self.failing:
                self._end(key, RunOutcome.FAILED)
            elif run.done_s >= run.work.run_s:
                failed = self.world.failed[key[0]] < run.work.failures
                self.world.failed[key[0]] += failed
                self._end(key, RunOutcome.FAILED if failed else RunOutcome.DONE)

    def _end(self, key: tuple[str, int], how: RunOutcome) -> None:
        del self.active[key]
        self._number += 1
        self.stopped_runs[key[0]] = max(self.stopped_runs[key[0]], key[1])
        self.ends.append(EndRecord(self._number, *key, how))
        if how is not RunOutcome.DONE:
            self.world.wasted_runs += 1

    def begin(
        self, task: str, run: int, fence: int, until: float, late: bool = False
    ) -> StartResult:
        """Carry out a start; one that is carried out late runs under the lease that looks renewed.

        Where none did, its own lease is over, and so is any run that it could begin.
        """
        self.advance()
        now = self.world.time
        latest = max(until, self.lease_until) if late else until
        if fence < self.fence or latest < now:
            return StartResult.REFUSED
        self.fence = fence
        if (task, run) in self.active:
            return StartResult.STARTED
        if run <= self.stopped_runs.get(task, 0):
            return StartResult.OLD_RUN
        if self.unhealthy:
            return StartResult.UNHEALTHY
        step, work = self.world.works[task]
        self.world.note_start(self, task, late)
        self.lease_until = max(self.lease_until, min(until, now + LONGEST_LEASE_S))
        self.active[task, run] = FakeRun(step.need, work, moved_at=now)
        self.world.starts += 1
        if not self.told_capacity.fits(self.used()):
            self.world.breaches.append(Breach("LIMIT", now, task))
        if self.drain_heard_at is not None and now > self.drain_heard_at + DRAIN_S:
            self.world.breaches.append(Breach("DRAIN", now, task))
        if self.failing:
            self.world.at(0.01, "", self.advance)
        elif self.speed:
            self.world.at(work.run_s / self.speed + 0.0001, "", self.advance)
        return StartResult.STARTED


class ConnectionBroken(NoAnswer):
    """The first call after a crash: its connection is of the earlier life."""


class FakeDriver:
    """An agent's way to the endpoint on its machine."""

    def __init__(self, world: "World", machine: "Machine") -> None:
        self._world = world
        self._machine = machine
        self._endpoint = ""
        self._born = 0
        self._connected_to: FakeEndpoint | None = None
        self._fence = 0
        self._lease_end = 0.0
        self.blocked_until = 0.0

    def attach(self, report: EndpointReport) -> None:
        self._endpoint = report.endpoint
        self._born = report.born
        self._fence = 0

    def is_present(self, report: EndpointReport) -> bool | None:
        endpoint = self._machine.endpoint
        if endpoint.silent or not endpoint.up:
            return None
        return (endpoint.name, endpoint.born) == (report.endpoint, report.born)

    def lease_end(self) -> float:
        return self._lease_end

    def _until(self, lease: float) -> float:
        now = self._world.time
        self._lease_end = max(self._lease_end, now + lease * 1.02 + STOP_S)
        return now + lease / SLOW_CLOCK if lease else 0.0

    def _there(self) -> FakeEndpoint:
        endpoint = self._machine.endpoint
        if self._endpoint != endpoint.name and endpoint.up:
            raise EndpointGone
        if endpoint.silent or not endpoint.up:
            raise NoAnswer("silent")
        earlier, self._connected_to = self._connected_to, endpoint
        if earlier is not None and earlier is not endpoint:
            raise ConnectionBroken
        return endpoint

    def start(
        self, task: str, run: int, payload: str, lease: float, asked_at: float
    ) -> StartResult:
        until = self._until(lease)
        try:
            endpoint = self._there()
        except EndpointGone:
            return StartResult.REPLACED
        except NoAnswer:
            return StartResult.NO_ANSWER
        if endpoint.delayed_starts:
            endpoint.delayed_starts -= 1
            order = (task, run, self._fence, until, True)
            self._world.at(endpoint.late_by, "", endpoint.begin, *order)
            return StartResult.NO_ANSWER
        verdict = endpoint.begin(task, run, self._fence, until)
        if endpoint.unanswered_calls:
            endpoint.unanswered_calls -= 1
            return StartResult.NO_ANSWER
        return verdict

    def stop(self, task: str, run: int) -> bool:
        try:
            endpoint = self._there()
        except EndpointGone:
            return True
        except NoAnswer:
            return False
        if endpoint.ignored_stops:
            endpoint.ignored_stops -= 1
            return False
        endpoint.advance()
        known = endpoint.active.get((task, run))
        if known is None:
            endpoint.stopped_runs[task] = max(endpoint.stopped_runs[task], run)
        elif known.stop_at is None:
            known.stop_at = self._world.time + STOP_S
            self._world.at(STOP_S + 0.0001, "", endpoint.advance)
        return True

    def hold(
        self,
        acknowledged: int,
        wait: float,
        lease: float,
        timeout: float,
        lease_from: float | None = None,
    ) -> HoldReply:
        """Look at once; one whose answer is lost takes up ``timeout``."""
        if self._world.time < self.blocked_until:
            raise NoAnswer("still waiting")
        try:
            return self._hold(acknowledged, lease)
        except ConnectionBroken:
            raise
        except NoAnswer:
            self.blocked_until = self._world.time + timeout
            raise

    def _hold(self, acknowledged: int, lease: float) -> HoldReply:
        until = self._until(lease) if lease else 0.0
        endpoint = self._there()
        endpoint.advance()
        endpoint.acknowledged = max(endpoint.acknowledged, acknowledged)
        if self._born != endpoint.born:
            raise EndpointStartedAgain(endpoint.born)
        if not self._fence:
            endpoint.fence = max(endpoint.fence + 1, int(self._world.time * 1000))
            self._fence = endpoint.fence
        if self._fence < endpoint.fence:
            raise NoAnswer("fenced")
        if lease:
            limit = self._world.time + LONGEST_LEASE_S / SLOW_CLOCK
            endpoint.lease_until = max(endpoint.lease_until, min(until, limit))
        if self._world.rng.random() < endpoint.lose_looks:
            raise NoAnswer("the answer is lost")
        endpoint.ends = [row for row in endpoint.ends if row.number > endpoint.acknowledged]
        active = tuple(
            ActiveRun(task, run, min(99.0, 100 * r.done_s / r.work.run_s))
            for (task, run), r in endpoint.active.items()
        )
        return HoldReply(self._world.time, active, tuple(endpoint.ends))
