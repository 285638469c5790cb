"""Looks at the endpoint beside an agent: what runs there, what has ended, does it answer."""

from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent.event import Event
from loguru import logger

from ..clock import Clock, run_periodically
from ..metrics import Metrics
from .model import EndpointDriver, EndpointGone, EndpointStartedAgain, HoldReply, NoAnswer
from .run_table import Finished, RunTable

LOOK_S = 0.08
"""Seconds that a look waits for an end; progress and leases are renewed that often."""

IDLE_LOOK_S = 0.16
"""Seconds that a look waits while nothing runs: six looks a second in place of twelve, each some
1 ms of processor. With 0.3 a look whose answer is lost hid the end of a run that began meanwhile
for 0.38 s, and jobs were refused where a third of the answers are lost."""

LOOK_PATIENCE_S = 0.08
"""Seconds beyond its wait after which a look is taken as lost and made again. An answer takes
some 2 ms; a processor that is granted in tenths of a second delays it by up to 90."""

SILENT_LOOKS = 2
"""Lost looks in a row after which the endpoint gets nothing new; single ones are only lost."""

RENEW_WITHOUT_ANSWER_S = 0.25
"""Seconds since the last answered look for which lost looks still renew the lease: two tries. It
is bounded, or there would be no moment at which every lease has surely run out."""

CLEANING_LOOK_S = 0.01
"""Seconds that a look waits while runs of an earlier agent are being stopped."""

SILENCE_PAUSE_S = 0.02
"""Seconds between looks at an endpoint that does not answer."""


class LookHooks(NamedTuple):
    """What an agent does before a look, and about what it finds.

    Attributes
    ----------
    before : callable
        Called before each look that renews leases.
    gone : callable
        Takes the reason when an endpoint with another id answers.
    started_again : callable
        Takes the time of its start when a later life of the same endpoint answers.
    looked : callable
        Takes the runs that are proved gone, and whether the table became clean or unclean.
    silent : callable
        Takes whether the endpoint has just become silent; called for each lost look.
    """

    before: Callable[[], None]
    gone: Callable[[str], None]
    started_again: Callable[[int], None]
    looked: Callable[[list[Finished], bool], None]
    silent: Callable[[bool], None]


class EndpointPoller:
    """Looks at one life of the endpoint after the other, again and again.

    Parameters
    ----------
    driver : EndpointDriver
        How the endpoint is spoken to.
    table : RunTable
        Takes in what a look lists.
    metrics : Metrics
        Counters.
    clock : Clock
        Time.
    lease_s : float
        Lease that a look asks for, in seconds.
    hooks : LookHooks
        What to do about it.

    Attributes
    ----------
    answering : bool
        Whether the endpoint has answered lately.
    life : int
        Counts the lives turned to; an answer of an earlier one is passed over.

    Examples
    --------
    ``poller.turn_to("i-7f3a91c2")`` and then ``poller.run()`` in a greenlet, or ``poller.poll()``.
    """

    def __init__(
        self,
        driver: EndpointDriver,
        table: RunTable,
        metrics: Metrics,
        clock: Clock,
        lease_s: float,
        hooks: LookHooks,
    ) -> None:
        self.answering = False
        self.endpoint = ""
        self.life = 0
        self._driver = driver
        self._table = table
        self._metrics = metrics
        self._clock = clock
        self._lease_s = lease_s
        self._hooks = hooks
        self._lost = 0
        self._answered_at = 0.0
        self._attached = Event()

    def turn_to(self, endpoint: str) -> None:
        """Look at another life of the endpoint from now on."""
        self.life += 1
        self.endpoint = endpoint
        self.answering = False
        self._attached.set()

    def stop_offering(self) -> None:
        """Look at nothing until there is another life."""
        self.endpoint = ""
        self.answering = False
        self._attached.clear()

    def run(self) -> None:
        """Look for as long as the process lives."""
        run_periodically(0.0, self._look_or_pause)

    def _look_or_pause(self) -> None:
        self._attached.wait()
        if not self.poll():
            gevent.sleep(SILENCE_PAUSE_S)

    def poll(self) -> bool:
        """Look at the endpoint once, renewing its lease; false when it did not answer."""
        self._hooks.before()
        clean = self._table.is_clean
        lately = self._clock.now() - self._heard_at() < RENEW_WITHOUT_ANSWER_S
        # Leases of what an earlier agent began are not renewed: it has to end.
        renew_s = self._lease_s if clean and lately else 0.0
        wait_s = self._wait_s()
        timeout_s = wait_s + LOOK_PATIENCE_S
        life = self.life
        try:
            reply = self._driver.hold(self._acknowledged, wait_s, renew_s, timeout_s)
        except EndpointGone:
            if life == self.life:
                self._hooks.gone("another endpoint answers in its place")
        except EndpointStartedAgain as exc:
            if life == self.life:
                self._hooks.started_again(exc.born)
        except NoAnswer as exc:
            if life == self.life:
                self._on_silence(str(exc))
            return False
        else:
            self._take_look(reply, life)
        return True

    def _wait_s(self) -> float:
        if not self._table.is_clean:
            return CLEANING_LOOK_S
        if self._table.runs or self._lost or not self.answering:
            return LOOK_S
        return IDLE_LOOK_S

    @property
    def _acknowledged(self) -> int:
        """The newest end that the life which gets the look is known to have listed.

        After a lost look it may be a later life, which would forget as many ends of its own, before
        anybody has seen them: every run there is then taken for lost.
        """
        return 0 if self._lost else self._table.acknowledged

    def _heard_at(self) -> float:
        """When the endpoint last answered a look or confirmed the start of a run at work."""
        confirmed = (run.answered_at for run in self._table.runs.values() if run.confirmed)
        return max(self._answered_at, max(confirmed, default=0.0))

    def look_now(self) -> None:
        """Look without waiting, beside the look that waits for an end."""
        if not self.endpoint:
            return
        life = self.life
        try:
            reply = self._driver.hold(self._acknowledged, 0.0, 0.0, LOOK_PATIENCE_S)
        except (EndpointGone, EndpointStartedAgain, NoAnswer) as exc:
            # The look that waits finds the same, and acts on it.
            self._metrics.count("endpoint_silences", label=type(exc).__name__)
        else:
            self._take_look(reply, life)

    def _on_silence(self, reason: str) -> None:
        self._metrics.count("endpoint_silences")
        self._lost += 1
        newly = self.answering and self._lost >= SILENT_LOOKS
        if newly:
            logger.bind(reason=reason, runs=len(self._table.runs)).warning("endpoint is silent")
            self.answering = False
        self._hooks.silent(newly)

    def _take_look(self, reply: HoldReply, life: int) -> None:
        if life != self.life or reply.asked_at < self._answered_at:
            # Of an earlier life, whose ends are numbered from 1 as well, or overtaken by a newer
            # look: what it lists may be gone by now.
            return
        if not self.answering and self.endpoint:
            logger.bind(endpoint=self.endpoint).info("endpoint answers")
        self.answering = True
        self._lost = 0
        self._answered_at = reply.asked_at
        was_clean = self._table.is_clean
        finished = self._table.looked_at(reply, self._clock.now())
        self._hooks.looked(finished, self._table.is_clean != was_clean)
