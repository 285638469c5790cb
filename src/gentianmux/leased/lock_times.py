"""Times that the two sides of a job's lock have to agree on."""

from typing import NamedTuple

from .entry_leases import leases_expire_at
from .peer_contacts import CONTACT_S

GRACE_S = 0.2
"""Time after a lost confirmation within which a job with active runs is confirmed anew, or ends: a
few round trips."""

CLOCK_MARGIN_S = 0.05
"""Clocks of two entries may run at rates that differ by 2 % over the time of a lock's drop."""


class LockTimes(NamedTuple):
    """How long after its last contact the runs of an entry's jobs may be active.

    Attributes
    ----------
    lease_end_s : float
        Seconds after which no run can be active that was withdrawn or has lost its entry.
    """

    lease_end_s: float

    @property
    def drop_after_s(self) -> float:
        """Silence of an entry after which its locks may be dropped, in seconds."""
        return CONTACT_S + GRACE_S + self.lease_end_s + CLOCK_MARGIN_S


def lock_times(lease_s: float) -> LockTimes:
    """Return the times for a lease that agents request from endpoints, in seconds."""
    return LockTimes(leases_expire_at(0.0, lease_s))
