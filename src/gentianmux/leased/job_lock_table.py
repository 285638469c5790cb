"""Locks of job ids, of which each is held by one entry at a time."""

from collections.abc import Iterator
from typing import NamedTuple

PURGE_INTERVAL_S = 1.0
"""Least time between two removals of expired locks."""


class JobLock(NamedTuple):
    """Who holds a lock, and the monotonic time at which it expires."""

    holder: str
    until: float


class JobLockTable:
    """Locks that this process grants; pure.

    Examples
    --------
    >>> table = JobLockTable()
    >>> table.acquire("5c0e7a21d94b36f8", "e1.5", until=20.0, now=10.0)
    True
    >>> table.acquire("5c0e7a21d94b36f8", "e2.5", until=20.0, now=11.0)
    False
    >>> table.release("5c0e7a21d94b36f8", "e1.5")
    >>> table.acquire("5c0e7a21d94b36f8", "e2.5", until=20.0, now=11.0)
    True
    """

    def __init__(self) -> None:
        self._locks: dict[str, JobLock] = {}
        self._purged_at = 0.0

    def __len__(self) -> int:
        return len(self._locks)

    def acquire(self, job_id: str, holder: str, until: float, now: float) -> bool:
        """Lock a job id, or extend the lock; false if another entry holds it."""
        self._purge(now)
        lock = self._locks.get(job_id)
        if lock is not None and lock.holder != holder and now < lock.until:
            return False
        self._locks[job_id] = JobLock(holder, until)
        return True

    def holder_of(self, job_id: str) -> str:
        """Process that holds a lock, expired or not; empty if there is none."""
        lock = self._locks.get(job_id)
        return "" if lock is None else lock.holder

    def release(self, job_id: str, holder: str) -> None:
        """Release a lock, if that entry holds it."""
        lock = self._locks.get(job_id)
        if lock is not None and lock.holder == holder:
            del self._locks[job_id]

    def release_all(self, holder: str) -> int:
        """Release the locks of an entry, and return how many it held."""
        held = [job_id for job_id, lock in self._locks.items() if lock.holder == holder]
        for job_id in held:
            del self._locks[job_id]
        return len(held)

    def _purge(self, now: float) -> None:
        if now - self._purged_at >= PURGE_INTERVAL_S:
            self._purged_at = now
            for job_id in list(self._expired(now)):
                del self._locks[job_id]

    def _expired(self, now: float) -> Iterator[str]:
        return (job_id for job_id, lock in self._locks.items() if lock.until <= now)
