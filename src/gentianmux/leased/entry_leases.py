"""The lease chain between an entry and an agent: who may still count on whom.

An agent numbers the load reports that it sends. An entry echoes the newest number it has seen.
The agent lets the entry's runs go on only for ``ENTRY_LEASE_S`` after it *sent* the report that was
echoed last. The entry knows when it sent its last echo, which is later; so ``ENTRY_LEASE_S`` plus the
endpoint's lease after that moment, nothing that it assigned can run any more, whatever froze, was
cut off or died in between. No clock is compared with another machine's.
"""

from collections import deque

ENTRY_LEASE_S = 0.4
"""Seconds; three load reports. Shorter leases drop runs when a slowed process reports late."""

REPORT_INTERVAL_S = 0.125
"""Seconds between load reports to an entry whose runs are at work here. Each is echoed as it comes,
so a report or echo that is sent again after 0.2 s by the connection breaks no chain."""

IDLE_REPORT_S = 0.25
"""Seconds between load reports to an entry without runs here: within the chain, so that it may
assign at any moment. With ten reports and ten echoes a second for each of five entries, and twelve
looks, an agent at rest took 0.044 of a core, with these and six looks 0.023 (medians of four agents
and five entries on loopback, 8 s)."""

MIN_ECHO_INTERVAL_S = 0.06
"""Least seconds between two echoes to an agent, which also reports each change of its room: fewer
than three unanswered ones, and a chain never ages by more than this and ``REPORT_INTERVAL_S``."""

QUIET_S = 0.25
"""Seconds since the newest report that was echoed was sent, after which the connection is doubted:
an echo has not come, and the rest of the chain is enough for a new connection."""

IDLE_QUIET_S = 0.65
"""The same for an entry without runs here, which loses nothing: two reports without an echo."""

CLOCK_DRIFT_RATIO = 1.02
"""Factor; an endpoint's clock may run 2 % slow."""

STOP_MARGIN_S = 0.15
"""Seconds for stops under way: the endpoint's 50 ms, and two turns of a busy event loop."""

KEPT_REPORTS = 400
"""Reports whose time of sending is kept; 0.4 s at one every 2 ms is 200."""


class EntryLeases:
    """What an agent knows of its chains: when it sent each report, and each entry's echo.

    Examples
    --------
    >>> side = EntryLeases()
    >>> side.record_sent(1, 10.0)
    >>> side.record_echo("e1", 1)
    >>> side.holds("e1", 10.2), side.holds("e1", 10.5)
    (True, False)
    """

    def __init__(self) -> None:
        self._sent: deque[tuple[int, float]] = deque(maxlen=KEPT_REPORTS)
        self._until: dict[str, float] = {}

    def record_sent(self, number: int, now: float) -> None:
        """Note the time at which a report leaves."""
        self._sent.append((number, now))

    def record_echo(self, entry: str, number: int) -> None:
        """Take an entry's echo; one of a report too old to be known extends nothing."""
        for known, sent_at in reversed(self._sent):
            if known == number:
                self._until[entry] = max(self._until.get(entry, 0.0), sent_at + ENTRY_LEASE_S)
                return
            if known < number:
                return

    def holds(self, entry: str, now: float) -> bool:
        """Whether an entry's runs may go on, and new ones may begin."""
        return now < self._until.get(entry, 0.0)

    def holding(self, now: float) -> int:
        """How many entries' leases hold."""
        return sum(1 for until in self._until.values() if now < until)

    def is_quiet(self, entry: str, now: float, serves: bool) -> bool:
        """Whether no echo of a recent report has come; sooner where runs depend on it."""
        quiet_s = QUIET_S if serves else IDLE_QUIET_S
        return now > self._until.get(entry, now + ENTRY_LEASE_S) - ENTRY_LEASE_S + quiet_s

    def forget(self, entry: str) -> None:
        """Drop what is known of an entry that has ended."""
        self._until.pop(entry, None)


def leases_expire_at(last_echo_at: float, lease_s: float) -> float:
    """When nothing that an agent was assigned can run any more.

    Parameters
    ----------
    last_echo_at : float
        When the entry last sent the agent an echo, on the entry's monotonic clock.
    lease_s : float
        The longest lease that agents ask of endpoints, in seconds.
    """
    return last_echo_at + ENTRY_LEASE_S + lease_s * CLOCK_DRIFT_RATIO + STOP_MARGIN_S
