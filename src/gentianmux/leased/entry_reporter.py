"""What an agent tells entries: numbered load reports, room on offer, and ended runs."""

from collections.abc import Callable
from typing import NamedTuple

from ..clock import Clock
from ..messages import AgentLoad, Claim, EndedRun, EndedRuns
from .entry_leases import IDLE_REPORT_S, REPORT_INTERVAL_S, EntryLeases
from .grants import GRANT_S, Grants
from .links import Links
from .model import RunOutcome
from .resources import NO_RESOURCES, Resources

GATHER_S = 0.002
"""Seconds for which changes are gathered into one report to all: about one network round trip."""

TURN_SLACK_S = 0.02
"""Seconds by which a report may come before its turn, since timers fire a little late or early."""

FORGET_ENTRY_S = 10.0
"""Seconds after which an entry that no longer echoes is dropped, with what it has not seen."""


class Load(NamedTuple):
    """What a load report says of the agent."""

    offered: Resources
    slowness_percent: int
    config_version: int
    longest_ms: int


class EntryReports:
    """Reports to entries, and what each of them has taken in.

    Parameters
    ----------
    links : Links
        Connections to entries.
    clock : Clock
        Time and deferred calls.
    load : callable
        The agent's present load.
    serves : callable
        Whether an entry has runs at work here.

    Attributes
    ----------
    chain : EntryLeases
        Until when each entry's runs may go on.
    applied : dict
        Number of the last assignment of each entry.
    grants : Grants
        Which entries wait for room, and what of it is kept for them.
    not_offered : set
        Entries that are offered none, since the agent will let go of them.

    Examples
    --------
    ``reports.ended("e1.5", "task", 1, RunOutcome.DONE, 120)`` and then ``reports.flush_ended("e1.5")``.
    """

    def __init__(
        self,
        links: Links,
        clock: Clock,
        load: Callable[[], Load],
        serves: Callable[[str], bool],
    ) -> None:
        self.chain = EntryLeases()
        self.applied: dict[str, int] = {}
        self.grants = Grants()
        self.not_offered: set[str] = set()
        self._links = links
        self._clock = clock
        self._load = load
        self._serves = serves
        self._reported_at: dict[str, float] = {}
        self._number = 0
        self._ended_number = 0
        self._unseen: dict[str, dict[int, EndedRun]] = {}
        self._sent_up_to: dict[str, int] = {}
        self._held_at: dict[str, float] = {}
        self._lapsing = False
        self._gathering = False

    # Ended runs

    @property
    def has_unseen(self) -> bool:
        """Whether some ended run has not been acknowledged."""
        return any(self._unseen.values())

    def awaits(self, entry: str) -> bool:
        """Whether an entry has yet to acknowledge some ended run."""
        return bool(self._unseen.get(entry))

    def ended(self, entry: str, task: str, run: int, how: RunOutcome, ran_ms: int) -> None:
        """Keep how a run ended until its entry has acknowledged it."""
        self._ended_number += 1
        row = EndedRun(self._ended_number, task, run, int(how), ran_ms)
        self._unseen.setdefault(entry, {})[self._ended_number] = row

    def flush_ended(self, entry: str) -> None:
        """Send an entry the ended runs that it has not been sent by this connection."""
        sent = self._sent_up_to.get(entry, 0)
        fresh = [row for number, row in self._unseen.get(entry, {}).items() if number > sent]
        if fresh and self._links.send(entry, EndedRuns(fresh)):
            self._sent_up_to[entry] = fresh[-1].number

    def resend_ended(self, entry: str) -> None:
        """Send an entry, by a new connection, every ended run that it has not acknowledged."""
        self._sent_up_to.pop(entry, None)
        self.flush_ended(entry)

    def seen(self, entry: str, up_to: int) -> None:
        """Forget ended runs that an entry has acknowledged."""
        unseen = self._unseen.get(entry, {})
        for number in [number for number in unseen if number <= up_to]:
            del unseen[number]

    def forget_silent(self, now: float) -> None:
        """Drop what is kept for entries whose process has surely ended."""
        for entry in {*self._unseen, *self.applied}:
            if self.chain.holds(entry, now):
                self._held_at[entry] = now
        gone = [entry for entry, at in self._held_at.items() if now - at > FORGET_ENTRY_S]
        for entry in gone:
            del self._held_at[entry]
            self._unseen.pop(entry, None)
            self._sent_up_to.pop(entry, None)
            self.applied.pop(entry, None)
            self.chain.forget(entry)
            self.not_offered.discard(entry)
            self._reported_at.pop(entry, None)
            self.grants.forget(entry)

    # Load

    def load_soon(self) -> None:
        """Report to all entries what changes for all of them."""
        if not self._gathering:
            self._gathering = True
            self._clock.call_later(GATHER_S, self.send_load)

    def send_load(self) -> None:
        """Report the load to every entry."""
        self._gathering = False
        self._report(self._links.processes())

    def send_due_reports(self) -> None:
        """Report the load to the entries whose turn it is: those without runs here less often."""
        now = self._clock.now()
        entries = self._links.processes()
        due = [entry for entry in entries if now + TURN_SLACK_S >= self._due_at(entry)]
        if due:
            self._report(due)

    def _due_at(self, entry: str) -> float:
        return self._reported_at.get(entry, 0.0) + self._pace_s(entry)

    def _pace_s(self, entry: str) -> float:
        return REPORT_INTERVAL_S if self._serves(entry) else IDLE_REPORT_S

    def _report(self, entries: list[str]) -> None:
        self._number += 1
        now = self._clock.now()
        self.chain.record_sent(self._number, now)
        load = self._load()
        sharing = self.chain.holding(now)
        offers = self.grants.offers(self._in_turn(), load.offered, now)
        for entry in entries:
            self._reported_at[entry] = now
            room = offers.get(entry, NO_RESOURCES)
            msg = AgentLoad(
                number=self._number,
                applied=self.applied.get(entry, 0),
                cpu=room.cpu,
                mem_mb=room.mem_mb,
                gpu=room.gpu,
                slowness_percent=load.slowness_percent,
                config_version=load.config_version,
                entries=sharing,
                longest_ms=load.longest_ms,
            )
            self._links.send(entry, msg)

    # Room on offer

    def _in_turn(self) -> list[str]:
        """Entries that may use room, from another one on with each report."""
        entries = [each for each in self._links.processes() if each not in self.not_offered]
        first = self._number % max(1, len(entries))
        return entries[first:] + entries[:first]

    def answered(self, entry: str, refused: bool, claims: list[Claim]) -> None:
        """Follow up an assignment: what is left of its grant goes to the next claim."""
        now = self._clock.now()
        contended = self.grants.is_contended
        self.grants.claim(entry, claims, now)
        self.grants.answered(entry)
        if refused or self._was_idle(entry):
            self._report([entry])
        if contended:
            self._follow_claims()

    def _was_idle(self, entry: str) -> bool:
        """Whether the last report to an entry is older than those to one with runs here."""
        return self._clock.now() - self._reported_at.get(entry, 0.0) > REPORT_INTERVAL_S

    def claimed(self, entry: str, claims: list[Claim], gives_back: bool) -> None:
        """Take in what waits for room at an entry, and whether it gives back its grant."""
        if claims or self.grants.is_contended:
            self.grants.claim(entry, claims, self._clock.now())
            if gives_back:
                self.grants.answered(entry)
            self._follow_claims()

    def _follow_claims(self) -> None:
        """Grant room to what still waits; when nothing does any more, offer it to all."""
        if self.grants.is_contended:
            self.offer_room()
        elif self._load().offered.cpu > 0:
            self.load_soon()

    def offer_room(self) -> None:
        """Grant free room to what waits for it, and tell those whose it is.

        Told to all, every waiting entry would send runs for the same room; and reports of each
        change to each entry took 0.39 of a core at an entry with 70 agents.
        """
        if not self.grants.is_contended:
            return
        room = self._load().offered
        granted = self.grants.deal(room, self._clock.now()) if room.cpu > 0 else set()
        granted -= self.not_offered
        if granted:
            self._report(sorted(granted))
            self._look_for_lapsed()

    def _look_for_lapsed(self) -> None:
        if not self._lapsing:
            self._lapsing = True
            self._clock.call_later(GRANT_S, self._after_lapse)

    def _after_lapse(self) -> None:
        self._lapsing = False
        self.offer_room()
