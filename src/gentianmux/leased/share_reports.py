"""Decides which share of the capacity each load report gives its entry."""

from loguru import logger

from .demand_shares import WHOLE_PERMILLE, DemandShares
from .entry_leases import REPORT_INTERVAL_S, EntryLeases
from .grants import Grants
from .reported_shares import ReportedShares

UPDATE_INTERVAL_S = 2 * REPORT_INTERVAL_S
"""Time for which targets are reused: short beside the window of demand, and most of the cost of
shares is in computing them."""

LOGGED_CHANGE_PERMILLE = 150
"""Least change of a share that is logged; noise of single runs is smaller."""

LOG_INTERVAL_S = 1.0
"""Least time between log lines on one entry's share."""


class ShareReports:
    """Shares of an agent's capacity that its load reports give to entries.

    Shares follow demand only while the agent is connected to some of the known entries: demand may
    then be uneven among its entries. When all entries are connected, reports say 0 and each entry
    counts on an even share, which is still recorded so that a change of mode overcommits nothing.

    Parameters
    ----------
    leases : EntryLeases
        Leases of the entries; one without a lease has no share.
    grants : Grants
        Claims of the entries.

    Attributes
    ----------
    demand : DemandShares
        Work that entries assigned lately.
    known_entries : int
        Number of entries known, connected or not; 0 before it is known.
    is_enabled : bool
        Whether shares follow demand.

    Examples
    --------
    ``shares.update(links.processes(), capacity_cpu=16000, now=clock.now())`` and then
    ``shares.report("e1.5", number, now)`` for the share in report ``number`` to an entry.
    """

    def __init__(self, leases: EntryLeases, grants: Grants) -> None:
        self.demand = DemandShares()
        self.known_entries = 0
        self._leases = leases
        self._grants = grants
        self._reported = ReportedShares()
        self._targets: dict[str, int] = {}
        self._holders: list[str] = []
        self.is_enabled = False
        self._valid_until = 0.0
        self._logged: dict[str, tuple[float, int]] = {}

    def update(self, connected: list[str], capacity_cpu: int, now: float) -> None:
        """Compute targets anew when they are old, or when other entries may have a share.

        Parameters
        ----------
        connected : list of str
            Processes of the connected entries.
        capacity_cpu : int
            Capacity of the endpoint, in thousandths of a core.
        now : float
            Monotonic time in seconds.
        """
        self.is_enabled = len(connected) < self.known_entries
        # A new entry has echoed nothing yet. After a pause of this process nobody holds a lease.
        holders = [
            entry for entry in connected if not self._leases.has_expired(entry, now)
        ] or connected
        if now < self._valid_until and holders == self._holders:
            return
        self._valid_until = now + UPDATE_INTERVAL_S
        self._holders = holders
        self._reported.expire(now)
        self._logged = {e: row for e, row in self._logged.items() if e in connected}
        if not self.is_enabled:
            even = WHOLE_PERMILLE // max(1, len(holders))
            self._targets = dict.fromkeys(holders, even)
            return
        waiting = self._grants.waiting_cpu()
        self._targets = self.demand.targets(holders, waiting, capacity_cpu, now)
        for entry, target in self._targets.items():
            self._log(entry, target, waiting.get(entry, 0), now)

    def _log(self, entry: str, target: int, waiting_cpu: int, now: float) -> None:
        """Log a share that has changed a lot since it was logged last."""
        even = WHOLE_PERMILLE // len(self._targets)
        logged_at, before = self._logged.get(entry, (0.0, even))
        if abs(target - before) < LOGGED_CHANGE_PERMILLE or now - logged_at < LOG_INTERVAL_S:
            return
        self._logged[entry] = now, target
        logger.bind(
            peer=entry,
            share_permille=target,
            before=before,
            assigned_cpu=round(self.demand.assigned_cpu(entry, now)),
            waiting_cpu=waiting_cpu,
            entries=len(self._targets),
            known_entries=self.known_entries,
        ).info("share of an entry changed")

    def report(self, entry: str, number: int, now: float) -> int:
        """Share that report ``number`` gives an entry, in thousandths; 0 while shares are even."""
        share = self._reported.report(entry, self._targets.get(entry, 0), number, now)
        return share if self.is_enabled else 0

    def record_echo(self, entry: str, number: int) -> list[str]:
        """Record an echo; return the entries that can have more than half of their target only now.

        Others wait for their next report.
        """
        if not self._reported.record_echo(entry, number) or not self.is_enabled:
            return []
        return [
            each
            for each, target in self._targets.items()
            if self._reported.current(each) < target / 2
        ]

    def remove(self, entry: str) -> None:
        """Remove an entry that has ended."""
        self.demand.remove(entry)
        self._reported.remove(entry)
