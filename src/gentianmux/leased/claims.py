"""Claims that an entry sends to agents for its waiting tasks."""

from collections.abc import Iterable
from itertools import islice

from .backlog import Demand
from .messages import Claim

MAX_CLAIMS = 4
"""Most claims of one entry for one service; the least urgent classes beyond it are left out."""

MAX_BEGIN_IN_MS = 60_000
"""Bound on ``begin_in_ms`` in either direction."""

Signature = tuple[tuple[bool, bool, int], ...]
"""Urgency classes that are claimed."""


def claims_of(demands: Iterable[Demand], now: float) -> list[Claim]:
    """Return the claims for the demand of one service; pure.

    Parameters
    ----------
    demands : iterable of Demand
        Demand by urgency class, most urgent first.
    now : float
        Monotonic time in seconds.
    """
    return [_claim(demand, now) for demand in islice(demands, MAX_CLAIMS) if any(demand.total)]


def _claim(demand: Demand, now: float) -> Claim:
    late, not_begun, priority = demand.urgency_class
    begin_in_ms = int(max(-MAX_BEGIN_IN_MS, min(MAX_BEGIN_IN_MS, (demand.begin_by - now) * 1000)))
    return Claim(*demand.total, demand.least_cpu, late, not not_begun, priority, begin_in_ms)


def signature(claims: Iterable[Claim]) -> Signature:
    """Return the urgency classes of some claims.

    A change is sent to agents at once; changed amounts follow with the next echo.
    """
    return tuple((claim.late, claim.begun, claim.priority) for claim in claims)
