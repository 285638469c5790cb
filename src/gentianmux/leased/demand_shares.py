"""Shares of an endpoint's capacity that its entries may count on, computed from their demand."""

from collections.abc import Collection, Mapping
from math import exp

WHOLE_PERMILLE = 1000
"""The whole capacity of an endpoint, in the unit of shares."""

RESERVED_PERMILLE = 10
"""Part that is not shared out. A report says at least 1, as 0 means that the share is not known,
even if all is reserved for other entries; this part covers up to ten such reports."""

MIN_SHARE_RATIO = 0.5
"""Part of an even share that each entry keeps, so that a burst at a quiet entry is not refused."""

DEMAND_WINDOW_S = 1.5
"""Time constant with which assigned work is forgotten. Bursts last 3 s and longer, and shares are
to be even again within seconds."""

PRIOR_RATIO = 0.1
"""Demand assumed of all entries together, as a part of the capacity. Shares stay nearly even where
little is known, and become even as demand is forgotten."""

WAITING_RATIO = 0.5
"""Bound on the demand of claims counted at one agent, as a part of its capacity. An entry sends its
claims to every agent, so at each they are counted in full."""


def shares_by_demand(demand: Mapping[str, float]) -> dict[str, int]:
    """Divide the capacity in proportion to demand, with a guaranteed minimum for each entry; pure.

    Parameters
    ----------
    demand : mapping
        Positive demand of each entry, in any unit.

    Returns
    -------
    dict
        Shares in thousandths; they add up to at most ``WHOLE_PERMILLE - RESERVED_PERMILLE``.

    Examples
    --------
    >>> shares_by_demand({"e1": 6.0, "e2": 2.0, "e3": 2.0})
    {'e2': 198, 'e3': 198, 'e1': 594}
    >>> shares_by_demand({"e1": 9.8, "e2": 0.1, "e3": 0.1})
    {'e2': 165, 'e3': 165, 'e1': 660}
    """
    left = float(WHOLE_PERMILLE - RESERVED_PERMILLE)
    minimum = MIN_SHARE_RATIO * left / max(1, len(demand))
    undivided = sum(demand.values())
    shares = {}
    # Least demand first: what the minimum adds there is taken from the others in proportion.
    for entry, amount in sorted(demand.items(), key=lambda item: item[1]):
        share = max(minimum, left * amount / undivided) if undivided > 0 else minimum
        share = min(share, left)
        shares[entry] = int(share + 1e-6)
        left -= share
        undivided -= amount
    return shares


class DemandShares:
    """Demand of the entries of an agent, and the shares that follow from it; pure.

    Demand is the work that an entry assigned lately, as a rate, and what its claims wait for.

    Examples
    --------
    >>> shares = DemandShares()
    >>> shares.targets(["e1", "e2"], {}, capacity_cpu=16000, now=0.0)
    {'e1': 495, 'e2': 495}
    >>> for _ in range(20):
    ...     shares.record_work("e1", cpu=1600, estimate_ms=400, now=0.0)
    >>> shares.targets(["e1", "e2"], {}, capacity_cpu=16000, now=0.1)
    {'e2': 247, 'e1': 742}
    """

    def __init__(self) -> None:
        self._work: dict[str, tuple[float, float]] = {}

    def record_work(self, entry: str, cpu: int, estimate_ms: int, now: float) -> None:
        """Record a run that was accepted, in thousandths of a core and ms."""
        cpu_s = self._recent_work(entry, now) + cpu * estimate_ms / 1000
        self._work[entry] = cpu_s, now

    def remove(self, entry: str) -> None:
        """Remove an entry that has ended."""
        self._work.pop(entry, None)

    def assigned_cpu(self, entry: str, now: float) -> float:
        """Rate of the work that an entry assigned lately, in thousandths of a core."""
        return self._recent_work(entry, now) / DEMAND_WINDOW_S

    def _recent_work(self, entry: str, now: float) -> float:
        cpu_s, at = self._work.get(entry, (0.0, now))
        return cpu_s * exp((at - now) / DEMAND_WINDOW_S)

    def targets(
        self, entries: Collection[str], waiting: Mapping[str, int], capacity_cpu: int, now: float
    ) -> dict[str, int]:
        """Shares that entries should have now, in thousandths.

        Parameters
        ----------
        entries : collection of str
            Entries that may count on the endpoint.
        waiting : mapping
            Demand of open claims by entry, in thousandths of a core.
        capacity_cpu : int
            Capacity of the endpoint, in thousandths of a core.
        now : float
            Monotonic time in seconds.
        """
        prior = PRIOR_RATIO * max(1, capacity_cpu) / max(1, len(entries))
        total = sum(waiting.get(entry, 0) for entry in entries)
        counted = min(1.0, WAITING_RATIO * capacity_cpu / total) if total else 0.0
        return shares_by_demand(
            {
                entry: prior + self.assigned_cpu(entry, now) + counted * waiting.get(entry, 0)
                for entry in entries
            }
        )
