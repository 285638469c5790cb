"""Watches how the runs at an agent's endpoint fare, and stops those that will not end well."""

from .agent_context import AgentContext
from .model import RunOutcome
from .progress import SLOW_FACTOR
from .run_stopper import RunStops
from .run_table import Phase, Run

SLOW_MARGIN_MS = 100
"""Milliseconds allowed on top, since progress is seen in steps of some 100 ms."""

MOVE_ON_DRAIN_S = 0.3
"""Seconds that a run may exceed what a draining endpoint has left before it is moved."""


class RunWatch:
    """Judges runs by their progress and by what a draining endpoint has left.

    Parameters
    ----------
    ctx : AgentContext
        The endpoint and its runs.
    stops : RunStops
        Stops what will not end well here.

    Examples
    --------
    ``watch.watch_progress()`` after each look.
    """

    def __init__(self, ctx: AgentContext, stops: RunStops) -> None:
        self._ctx = ctx
        self._stops = stops

    def watch_progress(self) -> None:
        """Stop runs that stand still, and use an endpoint less on which most are slow."""
        now = self._ctx.clock.now()
        running = [run for run in self._ctx.table.runs.values() if run.phase is Phase.RUNNING]
        stalled = [run for run in running if run.progress.is_stalled(now)]
        for run in stalled:
            self._stops.stop(
                run.key, RunOutcome.STALLED, f"no progress beyond {run.progress.percent:.0f} %"
            )
        if stalled:
            self._ctx.metrics.count("runs_stalled", len(stalled))
            self._ctx.health.stalled(len(stalled), now)
        slow = [run for run in running if self._is_slow(run, now)]
        if len(slow) >= 2 and len(slow) * 2 > len(running):
            self._ctx.health.eject(now)
        if self._ctx.health.is_ejected(now):
            self._ctx.reports.load_soon()

    def _is_slow(self, run: Run, now: float) -> bool:
        heading_ms = run.progress.projected_ms(now)
        return (
            heading_ms is not None and heading_ms > SLOW_FACTOR * run.estimate_ms + SLOW_MARGIN_MS
        )

    def move_what_cannot_end(self, remaining_s: float) -> None:
        """Stop runs that the draining endpoint will not finish, so that they begin elsewhere."""
        now = self._ctx.clock.now()
        for run in list(self._ctx.table.runs.values()):
            heading_ms = run.progress.projected_ms(now) or float(run.estimate_ms)
            left_s = heading_ms / 1000 - (now - run.began)
            if run.phase is Phase.RUNNING and left_s > remaining_s + MOVE_ON_DRAIN_S:
                self._stops.stop(
                    run.key, RunOutcome.STOPPED, "the endpoint leaves before it would end"
                )
