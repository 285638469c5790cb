"""Shares that an agent has reported to entries and that entries may still use."""

from dataclasses import dataclass

from .demand_shares import RESERVED_PERMILLE, WHOLE_PERMILLE
from .entry_leases import ENTRY_LEASE_S


@dataclass
class _Row:
    """A share, the first report that said so, and when the last one was sent."""

    number: int
    share: int
    sent_at: float


class ReportedShares:
    """Limits reported shares so that all shares in use never exceed the capacity; pure.

    An entry uses the share of the newest report that it has received, and the agent learns from an
    echo which one that is. Until then the largest share reported since the last echo is reserved
    for the entry, at most for ``ENTRY_LEASE_S``. Other entries get what is not reserved.

    Examples
    --------
    >>> reported = ReportedShares()
    >>> reported.report("e1", 600, 1, now=0.0), reported.report("e2", 600, 1, now=0.0)
    (600, 390)
    >>> reported.report("e1", 300, 2, now=0.1), reported.report("e2", 600, 2, now=0.1)
    (300, 390)
    >>> reported.record_echo("e1", 2)
    True
    >>> reported.report("e2", 600, 3, now=0.2)
    600
    """

    def __init__(self) -> None:
        self._sent: dict[str, list[_Row]] = {}
        self._taken: dict[str, int] = {}

    def report(self, entry: str, target: int, number: int, now: float) -> int:
        """Return the share to report to an entry: its target, limited to what is not reserved.

        It is at least 1, since 0 means that the share is not known.

        Parameters
        ----------
        entry : str
            The entry.
        target : int
            Share that it should have, in thousandths.
        number : int
            Number of the report.
        now : float
            Monotonic time in seconds.
        """
        taken = sum(share for other, share in self._taken.items() if other != entry)
        share = max(1, min(target, WHOLE_PERMILLE - RESERVED_PERMILLE - taken))
        sent = self._sent.setdefault(entry, [])
        if sent and sent[-1].share == share:
            sent[-1].sent_at = now
        else:
            sent.append(_Row(number, share, now))
            self._taken[entry] = max(self._taken.get(entry, 0), share)
        return share

    def record_echo(self, entry: str, number: int) -> bool:
        """Record the newest report that an entry received; whether its reserved share is smaller.

        Parameters
        ----------
        entry : str
            The entry.
        number : int
            Number of the echoed report.
        """
        sent = self._sent.get(entry, [])
        known = sum(row.number <= number for row in sent)
        return known > 1 and self._keep(entry, sent[known - 1 :])

    def expire(self, now: float) -> None:
        """Free the shares of reports whose echo would no longer renew a lease."""
        for entry, sent in list(self._sent.items()):
            recent = [row for row in sent if now - row.sent_at < ENTRY_LEASE_S]
            if len(recent) < len(sent):
                self._keep(entry, recent)

    def _keep(self, entry: str, rows: list[_Row]) -> bool:
        """Keep only these reports of an entry; return whether its reserved share became smaller."""
        if not rows:
            self.remove(entry)
            return True
        before = self._taken[entry]
        self._sent[entry] = rows
        self._taken[entry] = max(row.share for row in rows)
        return self._taken[entry] < before

    def current(self, entry: str) -> int:
        """Share that was reported to an entry last; 0 for none."""
        sent = self._sent.get(entry)
        return sent[-1].share if sent else 0

    def remove(self, entry: str) -> None:
        """Remove an entry that has ended."""
        self._sent.pop(entry, None)
        self._taken.pop(entry, None)
