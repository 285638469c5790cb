"""Monitors the runs at an agent's endpoint and stops those that will not end in time."""

from collections.abc import Iterator
from math import inf

from loguru import logger

from .agent_context import AgentContext
from .model import RunOutcome
from .progress import SLOW_FACTOR, STALL_TIMEOUT_S
from .run_state import Phase, Run
from .run_stopper import RunStopper

SLOW_MARGIN_MS = 100
"""Tolerance for the resolution at which progress is observed."""

CHECK_INTERVAL_S = 0.05
"""Shortest interval between checks: a poll returns early with each run that ends, and progress in
whole percents hardly changes in less."""

DRAIN_OVERRUN_S = 0.3
"""How far a run may exceed the time left at a draining endpoint before it is moved."""


class RunMonitor:
    """Stops runs that stall or that a draining endpoint cannot finish.

    Parameters
    ----------
    ctx : AgentContext
        Shared state of the agent.
    stopper : RunStopper
        Stops the runs that are found.

    Examples
    --------
    ``monitor.check_progress()`` after each poll.
    """

    def __init__(self, ctx: AgentContext, stopper: RunStopper) -> None:
        self._ctx = ctx
        self._stopper = stopper
        self._checked_at = -inf

    def check_progress(self) -> None:
        """Stop stalled runs, and eject the endpoint while most of its runs are slow."""
        now = self._ctx.clock.now()
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        running = [run for run in self._ctx.table.runs.values() if run.phase is Phase.RUNNING]
        resumed_at = self._ctx.clock.resumed_at
        # A run makes no progress while its machine is suspended, and its rate counts that time.
        is_settled = now - resumed_at > STALL_TIMEOUT_S
        stalled = [run for run in running if is_settled and run.progress.is_stalled(now)]
        for run in stalled:
            self._stopper.stop(
                run.key, RunOutcome.STALLED, f"no progress beyond {run.progress.percent:.0f} %"
            )
        if stalled:
            self._ctx.metrics.count("runs_stalled", len(stalled))
            self._ctx.health.stalled(len(stalled), now)
        measured = [run for run in running if run.began >= resumed_at]
        self._observe_speed(list(_least_ratios(measured)), len(measured), now)
        slow = [run for run in measured if self._is_slow(run, now)]
        if len(slow) >= 2 and len(slow) * 2 > len(running):
            self._ctx.health.eject(now)
        if self._ctx.health.is_ejected(now):
            self._ctx.reporter.schedule_report()

    def _observe_speed(self, ratios: list[float], running: int, now: float) -> None:
        """Compare the speed of active runs with that of the ended ones, and log when it differs."""
        speed = self._ctx.health.speed
        before = speed.running_ratio
        speed.observe_running(ratios, running)
        if bool(before) != bool(speed.running_ratio):
            logger.bind(
                percent=speed.percent(now), ended_percent=round(100 * speed.factor()), runs=running
            ).info("speed of active runs changed")

    def _is_slow(self, run: Run, now: float) -> bool:
        run_time_ms = run.progress.projected_ms(now)
        return (
            run_time_ms is not None and run_time_ms > SLOW_FACTOR * run.estimate_ms + SLOW_MARGIN_MS
        )

    def stop_unfinishable(self, remaining_s: float) -> None:
        """Stop runs that the draining endpoint will not finish, so that they run elsewhere."""
        now = self._ctx.clock.now()
        for run in list(self._ctx.table.runs.values()):
            run_time_ms = run.progress.projected_ms(now) or float(run.estimate_ms)
            left_s = run_time_ms / 1000 - (now - run.began)
            if run.phase is Phase.RUNNING and left_s > remaining_s + DRAIN_OVERRUN_S:
                self._stopper.stop(
                    run.key, RunOutcome.STOPPED, "the endpoint drains before it would end"
                )


def _least_ratios(runs: list[Run]) -> Iterator[float]:
    """Lower bounds on run time over expected run time, of the runs for which one is known."""
    for run in runs:
        least_ms = run.progress.least_ms()
        if least_ms is not None:
            yield least_ms / run.expected_ms
