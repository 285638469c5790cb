"""The lease of one shard: the owner's right to admit and the heir's right to take over."""

from typing import NamedTuple

from .fleet_state import NO_PROCESS, Shard

CLOCK_DRIFT_DIVISOR = 20


class LeaseTimes(NamedTuple):
    """Length of a lease in seconds, with an allowance for clock drift."""

    lease_s: float

    @property
    def drift_s(self) -> float:
        """Seconds by which the owner shortens and the heir extends the lease."""
        return self.lease_s / CLOCK_DRIFT_DIVISOR


class OwnerLease:
    """The owner's side of a lease.

    The lease runs from the time at which the renewal request was *sent*, on the owner's
    monotonic clock, and is valid only for the shard's newest record.

    Examples
    --------
    >>> lease = OwnerLease(LeaseTimes(3.0), "a")
    >>> row = Shard(owner="a", heir="b", epoch=7, base=7)
    >>> lease.is_valid(row, 100.0)
    False
    >>> lease.on_grant(7, sent=100.0)
    >>> lease.is_valid(row, 102.0), lease.is_valid(row, 102.9)
    (True, False)
    """

    def __init__(self, times: LeaseTimes, process: str) -> None:
        self._times = times
        self._process = process
        self._granted_base = -1
        self._sent = float("-inf")
        self._frozen_base: int | None = None

    def on_grant(self, base: int, sent: float) -> None:
        """Record the heir's grant for the record at ``base``."""
        if base > self._granted_base:
            self._granted_base, self._sent = base, sent
        elif base == self._granted_base:
            self._sent = max(self._sent, sent)

    def freeze(self, base: int) -> None:
        """Stop admitting under the record at ``base``; call this before appending a change."""
        self._frozen_base = base

    def unfreeze(self) -> None:
        """Resume admitting; valid only if the change was never appended."""
        self._frozen_base = None

    def is_frozen(self, row: Shard) -> bool:
        """Return whether a change based on this row may have been appended."""
        return self._frozen_base == row.base

    def is_valid(self, row: Shard, now: float) -> bool:
        """Return whether the owner may admit at ``now``."""
        if row.owner != self._process or self.is_frozen(row):
            return False
        if row.heir == NO_PROCESS:
            return True
        return row.base == self._granted_base and now < self._expires_at()

    def _expires_at(self) -> float:
        return self._sent + self._times.lease_s - self._times.drift_s


class HeirLease:
    """The heir's side of a lease: what it granted and when it may take over.

    Examples
    --------
    >>> lease = HeirLease(LeaseTimes(3.0), "b", since=0.0)
    >>> row = Shard(owner="a", heir="b", epoch=7, base=7)
    >>> lease.grant(row, "a", 7, now=1.0)
    True
    >>> lease.may_take_over(row, now=4.0), lease.may_take_over(row, now=4.2)
    (False, True)
    """

    def __init__(self, times: LeaseTimes, process: str, since: float) -> None:
        self._times = times
        self._process = process
        self._granted_at = since
        self._take_over_base: int | None = None

    def grant(self, row: Shard, owner: str, base: int, now: float) -> bool:
        """Grant a renewal if owner and heir know the same newest record.

        Parameters
        ----------
        row : Shard
            The shard as this heir knows it.
        owner : str
            The process that asks.
        base : int
            The newest record that the owner knows.
        now : float
            The current monotonic time in seconds.

        Returns
        -------
        bool
            Whether the renewal is granted.
        """
        if (row.owner, row.heir, row.base) != (owner, self._process, base):
            return False
        if self.is_taking_over(row):
            return False
        self._granted_at = now
        return True

    def may_take_over(self, row: Shard, now: float) -> bool:
        """Return whether every lease granted by this heir has expired."""
        if row.heir != self._process or self.is_taking_over(row):
            return False
        return now > self._granted_at + self._times.lease_s + self._times.drift_s

    def is_taking_over(self, row: Shard) -> bool:
        """Return whether a take-over based on this row may have been appended."""
        return self._take_over_base == row.base

    def begin_take_over(self, row: Shard) -> None:
        """Stop granting under this row; call this before appending the take-over."""
        self._take_over_base = row.base
