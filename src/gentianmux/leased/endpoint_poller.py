"""Polls the endpoint beside an agent for active and ended runs, and renews their leases."""

from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent.event import Event
from loguru import logger

from ..clock import Clock, run_periodically
from ..metrics import Metrics
from .model import EndpointDriver, EndpointGone, EndpointStartedAgain, HoldReply, NoAnswer
from .run_state import FinishedRun
from .run_table import RunTable

POLL_WAIT_S = 0.08
"""How long a poll waits for a run to end, and so the interval at which progress is seen and leases
are renewed."""

IDLE_POLL_WAIT_S = 0.16
"""How long a poll waits while nothing runs. If its answer is lost, the end of a run that began
meanwhile is seen that much later."""

POLL_TIMEOUT_MARGIN_S = 0.08
"""Time beyond its wait after which a poll counts as unanswered and is repeated. A processor that is
granted in slices of a tenth of a second delays an answer by most of a slice."""

MAX_UNANSWERED_POLLS = 2
"""Unanswered polls in a row after which the endpoint gets no new runs."""

RENEWAL_GRACE_S = 0.25
"""Time since the last answer for which polls still renew leases. It has to be bounded: otherwise
there is no time at which every lease of a silent endpoint has expired."""

CLEANUP_POLL_WAIT_S = 0.01
"""How long a poll waits while runs of an earlier agent process are being stopped."""

POLL_RETRY_DELAY_S = 0.02


class PollerHooks(NamedTuple):
    """Callbacks of a poller.

    Attributes
    ----------
    before_poll : callable
        Called before each poll that renews leases.
    on_gone : callable
        Called with a reason when an endpoint with another id answers.
    on_restarted : callable
        Called with its start time, in Unix milliseconds, when a later incarnation of the same
        endpoint answers.
    on_polled : callable
        Called with the runs that ended, and whether ``RunTable.is_reconciled`` or
        ``EndpointPoller.is_confirmed`` has changed.
    on_unanswered : callable
        Called for each unanswered poll, with whether the endpoint has just become unresponsive.
    """

    before_poll: Callable[[], None]
    on_gone: Callable[[str], None]
    on_restarted: Callable[[int], None]
    on_polled: Callable[[list[FinishedRun], bool], None]
    on_unanswered: Callable[[bool], None]


class EndpointPoller:
    """Polls the current incarnation of the endpoint continuously.

    Parameters
    ----------
    driver : EndpointDriver
        Client of the endpoint.
    table : RunTable
        Runs at the endpoint, to which replies are applied.
    metrics : Metrics
        Counters and histograms.
    clock : Clock
        Monotonic time.
    lease_s : float
        Run lease that a poll asks for, in seconds.
    hooks : PollerHooks
        Callbacks.

    Attributes
    ----------
    is_responsive : bool
        Whether the endpoint has answered recently.
    incarnation : int
        Counts the incarnations attached; the answer of an earlier one is dropped.

    Examples
    --------
    ``poller.attach("i-7f3a91c2")`` and then ``poller.run()`` in a greenlet, or ``poller.poll()``.
    """

    def __init__(
        self,
        driver: EndpointDriver,
        table: RunTable,
        metrics: Metrics,
        clock: Clock,
        lease_s: float,
        hooks: PollerHooks,
    ) -> None:
        self.is_responsive = False
        self.endpoint = ""
        self.incarnation = 0
        self._driver = driver
        self._table = table
        self._metrics = metrics
        self._clock = clock
        self._lease_s = lease_s
        self._hooks = hooks
        self._unanswered_polls = 0
        self._answered_at = 0.0
        self._answered_in = clock.suspensions()
        self._attached = Event()

    @property
    def is_confirmed(self) -> bool:
        """Whether the endpoint has answered a poll that was sent since the last resume."""
        return self._answered_in == self._clock.suspensions()

    def attach(self, endpoint: str) -> None:
        """Poll another incarnation of the endpoint from now on."""
        self.incarnation += 1
        self.endpoint = endpoint
        self.is_responsive = False
        self._attached.set()

    def detach(self) -> None:
        """Stop polling until another incarnation is attached."""
        self.endpoint = ""
        self.is_responsive = False
        self._attached.clear()

    def run(self) -> None:
        """Poll until the process ends."""
        run_periodically(0.0, self._poll_or_wait)

    def _poll_or_wait(self) -> None:
        self._attached.wait()
        if not self.poll():
            gevent.sleep(POLL_RETRY_DELAY_S)

    def poll(self) -> bool:
        """Poll the endpoint once and renew its run leases; false if it did not answer."""
        # Before all checks: they hold for a lease that begins now, also after a pause.
        lease_from = self._clock.now()
        self._hooks.before_poll()
        reconciled = self._table.is_reconciled
        # Leases of runs that an earlier agent started are not renewed: those runs have to end.
        is_known = reconciled and self._has_answered_recently() and self.is_confirmed
        renew_s = self._renewal_s() if is_known else 0.0
        wait_s = self._wait_s()
        timeout_s = wait_s + POLL_TIMEOUT_MARGIN_S
        incarnation = self.incarnation
        suspensions = self._clock.suspensions()
        try:
            reply = self._driver.hold(self._acknowledged, wait_s, renew_s, timeout_s, lease_from)
        except EndpointGone:
            if incarnation == self.incarnation:
                self._hooks.on_gone("another endpoint answers in its place")
        except EndpointStartedAgain as exc:
            if incarnation == self.incarnation:
                self._hooks.on_restarted(exc.born)
        except NoAnswer as exc:
            if incarnation == self.incarnation:
                self._on_unanswered(str(exc))
            return False
        else:
            self._apply_reply(reply, incarnation, suspensions)
        return True

    def _renewal_s(self) -> float:
        """Lease that a poll asks for: shorter while a run that has to end may still be active."""
        left_s = self._table.lease_limit - self._clock.now()
        return max(0.0, min(self._lease_s, left_s))

    def _wait_s(self) -> float:
        if not self._table.is_reconciled:
            return CLEANUP_POLL_WAIT_S
        if self._table.runs or self._unanswered_polls or not self.is_responsive:
            return POLL_WAIT_S
        return IDLE_POLL_WAIT_S

    @property
    def _acknowledged(self) -> int:
        """Number of the last ended run that a poll acknowledges.

        It is 0 after an unanswered poll: if a later incarnation gets the next one, it would drop
        ended runs of its own before they were seen, and they would be reported as lost.
        """
        return 0 if self._unanswered_polls else self._table.acknowledged

    def _has_answered_recently(self) -> bool:
        """Whether the endpoint has answered a poll, or confirmed the start of an active run."""
        since = self._clock.now() - RENEWAL_GRACE_S
        if self._answered_at > since:
            return True
        return any(r.answered_at > since for r in self._table.runs.values() if r.confirmed)

    def poll_now(self) -> None:
        """Poll without waiting, in addition to the poll that waits for a run to end."""
        if not self.endpoint:
            return
        incarnation = self.incarnation
        suspensions = self._clock.suspensions()
        try:
            reply = self._driver.hold(self._acknowledged, 0.0, 0.0, POLL_TIMEOUT_MARGIN_S)
        except (EndpointGone, EndpointStartedAgain, NoAnswer) as exc:
            # The poll that waits gets the same answer and handles it.
            self._metrics.count("endpoint_silences", label=type(exc).__name__)
        else:
            self._apply_reply(reply, incarnation, suspensions)

    def _on_unanswered(self, reason: str) -> None:
        self._metrics.count("endpoint_silences")
        self._unanswered_polls += 1
        became_silent = self.is_responsive and self._unanswered_polls >= MAX_UNANSWERED_POLLS
        if became_silent:
            logger.bind(reason=reason, runs=len(self._table.runs)).warning("endpoint is silent")
            self.is_responsive = False
        self._hooks.on_unanswered(became_silent)

    def _apply_reply(self, reply: HoldReply, incarnation: int, suspensions: int) -> None:
        if incarnation != self.incarnation or reply.asked_at < self._answered_at:
            # From an earlier incarnation, which numbers ended runs from 1 as well, or older than a
            # reply already applied: runs that it lists may have ended since.
            return
        if not self.is_responsive and self.endpoint:
            logger.bind(endpoint=self.endpoint).info("endpoint answers")
        self.is_responsive = True
        self._unanswered_polls = 0
        self._answered_at = reply.asked_at
        was_known = self._table.is_reconciled, self.is_confirmed
        self._answered_in = suspensions
        finished = self._table.apply_poll(reply, self._clock.now())
        is_known = self._table.is_reconciled, self.is_confirmed
        self._hooks.on_polled(finished, is_known != was_known)
