"""Ids of cancelled jobs, of which nothing may start any more."""

from collections.abc import Iterable, Iterator
from math import inf

RETENTION_S = 120.0
"""Seconds for which a cancelled job is remembered: longer than callers wait for an answer, and than
a repeated request is delayed on its way."""

MAX_CANCELLED = 20_000
"""Cancelled jobs that a process remembers, about 4 MB."""

MAX_ACCEPTED_RATIO = 0.75
"""Part of ``MAX_CANCELLED`` up to which an entry accepts cancels of its own callers. The rest is
for those that other entries accept at the same time."""


class Cancellations:
    """Remembers cancelled jobs for ``RETENTION_S``; pure.

    If more than ``MAX_CANCELLED`` are cancelled, the oldest are dropped, and ``holds`` is true of
    every job until the last dropped one would have expired.

    Examples
    --------
    >>> cancellations = Cancellations()
    >>> cancellations.add("5c0e7a21d94b36f8", now=10.0)
    True
    >>> cancellations.holds("5c0e7a21d94b36f8", now=20.0)
    True
    >>> cancellations.holds("5c0e7a21d94b36f8", now=10.0 + RETENTION_S)
    False
    """

    def __init__(self) -> None:
        self._expires_at: dict[str, float] = {}
        self._forgotten_until = -inf

    def __len__(self) -> int:
        return len(self._expires_at)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._expires_at

    def add(self, job_id: str, now: float) -> bool:
        """Remember a cancelled job; whether it was not known before."""
        self._drop_expired(now)
        is_new = job_id not in self._expires_at
        if is_new:
            self._make_room()
            self._expires_at[job_id] = now + RETENTION_S
        return is_new

    def holds(self, job_id: str, now: float) -> bool:
        """Whether a job was cancelled, or may have been."""
        return now < max(self._expires_at.get(job_id, -inf), self._forgotten_until)

    def accepts_more(self, now: float) -> bool:
        """Whether another cancel can be remembered for all of its time."""
        self._drop_expired(now)
        return len(self._expires_at) < MAX_ACCEPTED_RATIO * MAX_CANCELLED

    def job_ids(self, now: float) -> list[str]:
        """Ids of all remembered jobs, the earliest cancelled first."""
        self._drop_expired(now)
        return list(self._expires_at)

    def _drop_expired(self, now: float) -> None:
        for job_id in list(_leading_expired(self._expires_at.items(), now)):
            del self._expires_at[job_id]

    def _make_room(self) -> None:
        if len(self._expires_at) >= MAX_CANCELLED:
            oldest = next(iter(self._expires_at))
            self._forgotten_until = max(self._forgotten_until, self._expires_at.pop(oldest))


def _leading_expired(rows: Iterable[tuple[str, float]], now: float) -> Iterator[str]:
    """Ids of the expired rows, which come first as all are kept equally long."""
    for job_id, expires_at in rows:
        if expires_at > now:
            return
        yield job_id
