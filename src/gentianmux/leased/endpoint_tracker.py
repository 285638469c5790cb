"""Follows the endpoint beside an agent: which life of it is at work, and what that said last."""

from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from ..codes import ResultCode
from ..metrics import Metrics
from .config_feed import ConfigFeed
from .heartbeat_kind import Word, judge
from .model import EndpointDriver, EndpointReport
from .resources import NO_RESOURCES
from .run_table import Finished, RunTable
from .settings import LeasedSettings

MAX_WRITERS = 100
"""Writers of unreadable heartbeats that are remembered, so that each is logged once."""

PROBES = 3
"""Times that an endpoint is asked whether a heartbeat of another life is its own; a third of the
answers may be lost, and the next heartbeat is seconds away."""

_OTHER_LIVES = (Word.OTHER, Word.STARTED_AGAIN)


class TrackerHooks(NamedTuple):
    """What an agent does about what its tracker finds.

    Attributes
    ----------
    turned : callable
        Takes the id of the endpoint whose life is followed from now on, empty for none, and the
        runs that ended with the earlier life.
    news : callable
        Takes a heartbeat that says something other than the one before it, None when there is no
        endpoint.
    """

    turned: Callable[[str, list[Finished]], None]
    news: Callable[[EndpointReport | None], None]


class EndpointTracker:
    """Takes in what the endpoint beside an agent says of itself.

    Nothing that is known of one life is carried into the next: heartbeat numbers, acknowledged
    ends, clock, fence, health and the word that it drains all begin anew.

    Parameters
    ----------
    cfg : LeasedSettings
        The settings.
    driver : EndpointDriver
        How the endpoint is spoken to.
    table : RunTable
        The account of its runs.
    feed : ConfigFeed
        The newest configuration, which names the services.
    metrics : Metrics
        Counters.
    hooks : TrackerHooks
        What to do about what is found.

    Attributes
    ----------
    report : EndpointReport or None
        The newest heartbeat of the life at work; None while there is none, or it has not reported.

    Examples
    --------
    ``tracker.hear(report)`` takes a heartbeat, ``tracker.farewell("i-7f3a91c2", 0)`` a last word.
    """

    def __init__(
        self,
        cfg: LeasedSettings,
        driver: EndpointDriver,
        table: RunTable,
        feed: ConfigFeed,
        metrics: Metrics,
        hooks: TrackerHooks,
    ) -> None:
        self.report: EndpointReport | None = None
        self._cfg = cfg
        self._driver = driver
        self._table = table
        self._feed = feed
        self._metrics = metrics
        self._hooks = hooks
        self._newest: EndpointReport | None = None
        self._followed = ""
        self._turns = 0
        self._unreadable: set[str] = set()

    def hear(self, report: EndpointReport) -> None:
        """Take in a heartbeat."""
        word = judge(report, self._newest)
        if word is Word.FOREIGN:
            self.unreadable(report.endpoint, "born is missing")
        elif not self._is_named(report, word):
            self.unreadable(report.endpoint, f"service {report.service[:40]!r} is not known")
        elif word is Word.OVERTAKEN:
            self._pass_over(report)
        elif word is Word.ENDED:
            self._log_stale(report)
        elif word in _OTHER_LIVES and self._followed:
            self._ask_who_answers(report, word)
        elif word is Word.CURRENT and self._followed:
            self._take(report)
        else:
            self._turn_to(report, word)

    def unreadable(self, endpoint: str, reason: str) -> None:
        """Pass over a heartbeat that says nothing usable; what is known of the endpoint stays.

        Logged once a writer: one that is not ours may send for as long as the process lives.
        """
        self._metrics.count("heartbeats_unreadable")
        if endpoint in self._unreadable or len(self._unreadable) >= MAX_WRITERS:
            return
        self._unreadable.add(endpoint)
        code = int(ResultCode.BAD_FIELD)
        logger.bind(endpoint=endpoint[:100], code=code, reason=reason).warning(
            "heartbeat unreadable"
        )

    def farewell(self, endpoint: str, born: int) -> None:
        """Take in an endpoint's word that it ends; ``born`` is 0 when it does not tell its start.

        The word of an earlier life may be late. Believed, it would give up what the present life
        runs, and other endpoints would be given the same tasks. One in doubt changes nothing: an
        endpoint that has ended answers no look, and its runs are given up with their leases.
        """
        known = self.report
        if known is None or known.endpoint != endpoint:
            return
        if known.born != born:
            logger.bind(endpoint=endpoint, born=born, present=known.born).info(
                "farewell ignored, perhaps of an earlier life"
            )
            return
        if born:
            self._part_from_life()
        else:
            self.detach("it left")

    def _part_from_life(self) -> None:
        """Give up what a life that has left was seen to run; a start may have reached a later one.

        An agent that stood still hears the farewell before it finds the endpoint started again.
        """
        logger.bind(endpoint=self._followed, reason="it left").warning("endpoint gone")
        self.report = None
        self._turned(self._table.turn_over())
        self._hooks.news(None)

    def detach(self, reason: str) -> None:
        """Note that the endpoint is gone, and all that it ran."""
        if not self._followed:
            return
        logger.bind(endpoint=self._followed, reason=reason).warning("endpoint gone")
        self.report = None
        self._followed = ""
        finished = self._table.lose_all()
        self._table.reset(NO_RESOURCES)
        self._turned(finished)
        # An agent that starts anew would take up the ended life from its announcement.
        self._hooks.news(None)

    def started_again(self, born: int) -> None:
        """Turn to a later life that has answered; nothing begins there until it has reported.

        Parameters
        ----------
        born : int
            When it started, in Unix milliseconds.
        """
        newest = self._newest
        if newest is None:
            return
        logger.bind(endpoint=newest.endpoint, born=born, before=newest.born).warning(
            "endpoint started again"
        )
        self.report = None
        self._newest = newest._replace(born=born, sequence=0)
        finished = self._table.turn_over()
        self._driver.attach(self._newest)
        self._turned(finished)

    def _is_named(self, report: EndpointReport, word: Word) -> bool:
        """Whether the endpoint's service is one that the settings or the operators name."""
        newest = self._newest
        is_known_life = word in (Word.CURRENT, Word.OVERTAKEN)
        if newest is not None and newest.sequence and is_known_life:
            return report.service == newest.service
        config = self._feed.current
        if not self._cfg.service or config is None:
            return True
        return report.service in {self._cfg.service, *(queue.service for queue in config.queues)}

    def _pass_over(self, report: EndpointReport) -> None:
        """Leave out a heartbeat that was overtaken; what it says is told, since it is lost."""
        self._metrics.count("heartbeats_overtaken")
        logger.bind(
            endpoint=report.endpoint,
            sequence=report.sequence,
            newest=self._newest and self._newest.sequence,
            draining=report.draining,
        ).info("heartbeat overtaken")

    def _ask_who_answers(self, report: EndpointReport, word: Word) -> None:
        """Turn to another life only when it answers: its heartbeat may be late or false.

        Turning to it would declare lost what the present life runs, and another endpoint would
        be given the same tasks. Where nothing answers, the next look or heartbeat tells.
        """
        turns = self._turns
        answers = (self._driver.is_present(report) for _ in range(PROBES))
        present = next((answer for answer in answers if answer is not None), None)
        if turns != self._turns:
            # A look has found the other life meanwhile; left out, its next heartbeat is 1.5 s away.
            self.hear(report)
        elif present:
            self._turn_to(report, word)
        else:
            self._log_stale(report)

    def _log_stale(self, report: EndpointReport) -> None:
        present = self._newest
        logger.bind(
            endpoint=report.endpoint,
            born=report.born,
            present=present and present.endpoint,
            present_born=present and present.born,
        ).info("heartbeat of another life ignored")

    def _take(self, report: EndpointReport) -> None:
        """Take in news of the life that is followed."""
        known = self.report
        if self._newest is not None and report.born != self._newest.born:
            # Known until now from a record that does not tell the start.
            self._driver.attach(report)
        self.report = self._newest = report
        self._table.room.capacity = report.capacity
        if known is not None and report.draining == known.draining:
            return
        event = "endpoint drains" if report.draining else "endpoint is ready again"
        self._log_heard(report, "endpoint found" if known is None else event)
        self._hooks.news(report)

    def _turn_to(self, report: EndpointReport, word: Word) -> None:
        self._log_heard(report, "endpoint found")
        if word is Word.STARTED_AGAIN:
            finished = self._table.turn_over()
            self._table.room.capacity = report.capacity
        else:
            finished = self._table.lose_all()
            self._table.reset(report.capacity)
        self.report = self._newest = report
        self._followed = report.endpoint
        self._driver.attach(report)
        self._turned(finished)
        self._hooks.news(report)

    def _log_heard(self, report: EndpointReport, event: str) -> None:
        logger.bind(
            endpoint=report.endpoint,
            born=report.born,
            sequence=report.sequence,
            draining=report.draining,
            capacity=report.capacity,
        ).info(event)

    def _turned(self, finished: list[Finished]) -> None:
        self._turns += 1
        self._hooks.turned(self._followed, finished)
