"""Reports of an agent to entries: load, resources on offer, and ended runs."""

from collections.abc import Callable
from typing import NamedTuple

from ..clock import Clock
from .entry_leases import IDLE_REPORT_INTERVAL_S, REPORT_INTERVAL_S, EntryLeases
from .grants import GRANT_TTL_S, Grants
from .links import Links
from .messages import AgentLoad, Claim, EndedRun, EndedRuns
from .model import RunOutcome
from .resources import NO_RESOURCES, Resources
from .share_reports import ShareReports

REPORT_DELAY_S = 0.002
"""Delay that combines changes into one report to all entries: about one network round trip."""

TIMER_SLACK_S = 0.02
"""How early a report may be sent, since timers are inexact."""

ENTRY_RETENTION_S = 10.0
"""Time after the end of its lease at which an entry's state and ended runs are dropped."""


class Load(NamedTuple):
    """Load of the agent, as sent in load reports."""

    offered: Resources
    slowness_percent: int
    config_version: int
    longest_ms: int
    capacity_cpu: int


class EntryReporter:
    """Sends reports to entries, and tracks what each has acknowledged.

    Parameters
    ----------
    links : Links
        Connections to entries.
    clock : Clock
        Monotonic time and deferred calls.
    load : callable
        Returns the agent's current load.
    has_runs : callable
        Whether an entry has active runs here.

    Attributes
    ----------
    leases : EntryLeases
        Leases of entries, renewed by their echoes.
    applied : dict
        Number of the last assignment applied, by entry.
    grants : Grants
        Claims of entries, and the resources granted to them.
    shares : ShareReports
        Shares of the capacity that entries may count on.
    not_offered : set
        Entries that get no resources, since the agent is about to disconnect from them.

    Examples
    --------
    ``reporter.record_ended("e1.5", "task", 1, RunOutcome.DONE, 120)`` and then
    ``reporter.send_ended("e1.5")``.
    """

    def __init__(
        self,
        links: Links,
        clock: Clock,
        load: Callable[[], Load],
        has_runs: Callable[[str], bool],
    ) -> None:
        self.leases = EntryLeases()
        self.applied: dict[str, int] = {}
        self.grants = Grants()
        self.shares = ShareReports(self.leases, self.grants)
        self.not_offered: set[str] = set()
        self._links = links
        self._clock = clock
        self._load = load
        self._has_runs = has_runs
        self._reported_at: dict[str, float] = {}
        self._number = 0
        self._ended_number = 0
        self._unacknowledged: dict[str, dict[int, EndedRun]] = {}
        self._sent_up_to: dict[str, int] = {}
        self._lease_valid_at: dict[str, float] = {}
        self._expiry_scheduled = False
        self._report_scheduled = False

    # Ended runs

    @property
    def has_unacknowledged(self) -> bool:
        """Whether any ended run has not been acknowledged."""
        return any(self._unacknowledged.values())

    def awaits_acknowledgement(self, entry: str) -> bool:
        """Whether an entry has yet to acknowledge an ended run."""
        return bool(self._unacknowledged.get(entry))

    def record_ended(self, entry: str, task: str, run: int, how: RunOutcome, ran_ms: int) -> None:
        """Record how a run ended, until its entry has acknowledged it."""
        self._ended_number += 1
        row = EndedRun(self._ended_number, task, run, int(how), ran_ms)
        self._unacknowledged.setdefault(entry, {})[self._ended_number] = row

    def send_ended(self, entry: str) -> None:
        """Send an entry the ended runs that were not yet sent over this connection."""
        sent = self._sent_up_to.get(entry, 0)
        unsent = [
            row for number, row in self._unacknowledged.get(entry, {}).items() if number > sent
        ]
        if unsent and self._links.send(entry, EndedRuns(unsent)):
            self._sent_up_to[entry] = unsent[-1].number

    def resend_ended(self, entry: str) -> None:
        """Send an entry, over a new connection, every ended run that it has not acknowledged."""
        self._sent_up_to.pop(entry, None)
        self.send_ended(entry)

    def acknowledge(self, entry: str, up_to: int) -> None:
        """Drop the ended runs that an entry has acknowledged."""
        unacknowledged = self._unacknowledged.get(entry, {})
        for number in [number for number in unacknowledged if number <= up_to]:
            del unacknowledged[number]

    def drop_expired_entries(self, now: float) -> None:
        """Drop the state of entries whose lease expired more than ``ENTRY_RETENTION_S`` ago."""
        for entry in {*self._unacknowledged, *self.applied}:
            if self.leases.holds(entry, now):
                self._lease_valid_at[entry] = now
        expired = [
            entry for entry, at in self._lease_valid_at.items() if now - at > ENTRY_RETENTION_S
        ]
        for entry in expired:
            del self._lease_valid_at[entry]
            self._unacknowledged.pop(entry, None)
            self._sent_up_to.pop(entry, None)
            self.applied.pop(entry, None)
            self.leases.remove(entry)
            self.not_offered.discard(entry)
            self._reported_at.pop(entry, None)
            self.grants.remove(entry)
            self.shares.remove(entry)

    # Load

    def record_echo(self, entry: str, number: int) -> None:
        """Renew an entry's lease, and report to entries whose share has become free by this."""
        if self.shares.is_enabled and self.leases.has_expired(entry, self._clock.now()):
            # The entry has had no share since its lease expired.
            self.schedule_report()
        self.leases.record_echo(entry, number)
        lacking = self.shares.record_echo(entry, number)
        if lacking:
            self._report(lacking)

    def schedule_report(self) -> None:
        """Schedule a load report to all entries."""
        if not self._report_scheduled:
            self._report_scheduled = True
            self._clock.call_later(REPORT_DELAY_S, self.send_reports)

    def send_reports(self) -> None:
        """Send a load report to every entry."""
        self._report_scheduled = False
        self._report(self._links.processes())

    def send_due_reports(self) -> None:
        """Send a load report to each entry for which one is due, less often without runs here."""
        now = self._clock.now()
        entries = self._links.processes()
        due = [entry for entry in entries if now + TIMER_SLACK_S >= self._due_at(entry)]
        if due:
            self._report(due)

    def _due_at(self, entry: str) -> float:
        return self._reported_at.get(entry, 0.0) + self._interval_s(entry)

    def _interval_s(self, entry: str) -> float:
        return REPORT_INTERVAL_S if self._has_runs(entry) else IDLE_REPORT_INTERVAL_S

    def _report(self, entries: list[str]) -> None:
        self._number += 1
        now = self._clock.now()
        self.leases.record_sent(self._number, now)
        load = self._load()
        leased_entries = self.leases.count_valid(now)
        offers = self.grants.offers(self._rotated_entries(), load.offered, now)
        self.shares.update(self._links.processes(), load.capacity_cpu, now)
        for entry in entries:
            self._reported_at[entry] = now
            resources = offers.get(entry, NO_RESOURCES)
            msg = AgentLoad(
                number=self._number,
                applied=self.applied.get(entry, 0),
                cpu=resources.cpu,
                mem_mb=resources.mem_mb,
                gpu=resources.gpu,
                slowness_percent=load.slowness_percent,
                config_version=load.config_version,
                entries=leased_entries,
                longest_ms=load.longest_ms,
                share_permille=self.shares.report(entry, self._number, now),
            )
            self._links.send(entry, msg)

    # Resources on offer

    def _rotated_entries(self) -> list[str]:
        """Entries that may get resources, beginning with another one in each report."""
        entries = [each for each in self._links.processes() if each not in self.not_offered]
        first = self._number % max(1, len(entries))
        return entries[first:] + entries[:first]

    def on_assignment(self, entry: str, refused: bool, claims: list[Claim]) -> None:
        """Take the claims sent with an assignment, and release the rest of the entry's grant."""
        now = self._clock.now()
        contended = self.grants.is_contended
        self.grants.claim(entry, claims, now)
        self.grants.release(entry)
        if refused or self._was_idle(entry):
            self._report([entry])
        if contended:
            self._offer_again()

    def _was_idle(self, entry: str) -> bool:
        """Whether the last report to an entry is older than the interval for one with runs."""
        return self._clock.now() - self._reported_at.get(entry, 0.0) > REPORT_INTERVAL_S

    def on_claims(self, entry: str, claims: list[Claim], gives_back: bool) -> None:
        """Update the claims of an entry, and release its grant if it gives that back."""
        if claims or self.grants.is_contended:
            self.grants.claim(entry, claims, self._clock.now())
            if gives_back:
                self.grants.release(entry)
            self._offer_again()

    def _offer_again(self) -> None:
        """Grant resources to open claims; without any, offer them to all entries."""
        if self.grants.is_contended:
            self.offer_resources()
        elif self._load().offered.cpu > 0:
            self.schedule_report()

    def offer_resources(self) -> None:
        """Grant free resources to open claims, and report to the entries that got any.

        Reported to all, every waiting entry would assign runs to the same resources.
        """
        if not self.grants.is_contended:
            return
        resources = self._load().offered
        granted = self.grants.allocate(resources, self._clock.now()) if resources.cpu > 0 else set()
        granted -= self.not_offered
        if granted:
            self._report(sorted(granted))
            self._schedule_expiry()

    def _schedule_expiry(self) -> None:
        if not self._expiry_scheduled:
            self._expiry_scheduled = True
            self._clock.call_later(GRANT_TTL_S, self._on_expiry)

    def _on_expiry(self) -> None:
        self._expiry_scheduled = False
        self.offer_resources()
