"""Leases of entries at an agent, which keep their runs going and are renewed by echoes.

An agent numbers the load reports that it sends. An entry echoes the newest number it has seen.
The agent lets the entry's runs go on only for ``ENTRY_LEASE_S`` after it *sent* the report that
was echoed last. The entry knows when it sent its last echo, which is later; so ``ENTRY_LEASE_S``
plus the endpoint's lease after that time, nothing that it assigned can run any more, whichever
process was paused, partitioned or killed in between. Clocks of two machines are never compared.
"""

from collections import deque

ENTRY_LEASE_S = 0.4
"""Three load reports; a shorter lease expires when a slow process reports late."""

REPORT_INTERVAL_S = 0.125
"""Interval of load reports to an entry with active runs here. A report or echo that the connection
retransmits after 0.2 s still arrives within the lease."""

IDLE_REPORT_INTERVAL_S = 0.25
"""Interval of load reports to an entry without runs here: shorter than the lease, so that the entry
may assign runs at any time."""

MIN_ECHO_INTERVAL_S = 0.06
"""Shortest interval of echoes to an agent, which also reports each change of its resources. A lease
ages by no more than this and ``REPORT_INTERVAL_S`` before it is renewed."""

ECHO_TIMEOUT_S = 0.25
"""Age of the last echoed report at which the connection is replaced: the rest of the lease is
enough to open a new one."""

IDLE_ECHO_TIMEOUT_S = 0.65
"""The same for an entry without runs here, which loses nothing by it: two reports without echo."""

CLOCK_DRIFT_RATIO = 1.02
"""An endpoint's clock may run 2 % slow."""

STOP_MARGIN_S = 0.15
"""Time for stops under way at the endpoint, 50 ms, and for two turns of a busy event loop."""

MAX_SENT_REPORTS = 400
"""Reports whose send time is kept: more than are sent within ``ENTRY_LEASE_S``, which are 200 at
one every 2 ms."""


class EntryLeases:
    """Tracks when an agent sent each load report, and the lease that each entry's echo renews.

    Examples
    --------
    >>> leases = EntryLeases()
    >>> leases.record_sent(1, 10.0)
    >>> leases.record_echo("e1", 1)
    >>> leases.holds("e1", 10.2), leases.holds("e1", 10.5)
    (True, False)
    """

    def __init__(self) -> None:
        self._sent: deque[tuple[int, float]] = deque(maxlen=MAX_SENT_REPORTS)
        self._until: dict[str, float] = {}

    def record_sent(self, number: int, now: float) -> None:
        """Record when a report is sent."""
        self._sent.append((number, now))

    def record_echo(self, entry: str, number: int) -> None:
        """Renew an entry's lease; the echo of a report too old to be known has no effect."""
        for sent_number, sent_at in reversed(self._sent):
            if sent_number == number:
                self._until[entry] = max(self._until.get(entry, 0.0), sent_at + ENTRY_LEASE_S)
                return
            if sent_number < number:
                return

    def holds(self, entry: str, now: float) -> bool:
        """Whether an entry holds a lease: its runs may go on, and new ones may begin."""
        return now < self.expires_at(entry)

    def expires_at(self, entry: str) -> float:
        """Monotonic time at which an entry's lease expires, or has expired; 0 if it has none."""
        return self._until.get(entry, 0.0)

    def has_expired(self, entry: str, now: float) -> bool:
        """Whether an entry held a lease that has expired; false for one that never held any."""
        return 0.0 < self.expires_at(entry) <= now

    def count_valid(self, now: float) -> int:
        """Number of entries that hold a lease."""
        return sum(1 for until in self._until.values() if now < until)

    def is_overdue(self, entry: str, now: float, has_runs: bool) -> bool:
        """Whether no echo of a recent report has come; sooner if runs depend on it."""
        timeout_s = ECHO_TIMEOUT_S if has_runs else IDLE_ECHO_TIMEOUT_S
        return now > self._until.get(entry, now + ENTRY_LEASE_S) - ENTRY_LEASE_S + timeout_s

    def remove(self, entry: str) -> None:
        """Remove an entry that has ended."""
        self._until.pop(entry, None)


def leases_expire_at(last_echo_at: float, lease_s: float) -> float:
    """Return when no run that an agent was assigned can be active any more.

    Parameters
    ----------
    last_echo_at : float
        When the entry last sent the agent an echo, on the entry's monotonic clock, in seconds.
    lease_s : float
        Longest run lease that agents ask of endpoints, in seconds.
    """
    return last_echo_at + ENTRY_LEASE_S + lease_s * CLOCK_DRIFT_RATIO + STOP_MARGIN_S
