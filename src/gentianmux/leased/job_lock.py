"""The lock of one job's id, at the entry that wants to run the job."""

from collections.abc import Callable, Collection, Iterator

from .entry_view import NO_VERSION, EntryView, is_majority
from .job_handle import JobHandle

HEDGE_S = 0.06
"""Time without an answer after which another replica is asked: several round trips between failure
domains."""

ASK_AGAIN_S = 0.15
"""Time after which a replica that abstained, or whose answer was lost, is asked again."""


class JobLock:
    """Which replicas of a job's id were asked, have granted the lock or denied it; pure.

    Parameters
    ----------
    handle : JobHandle
        The job.
    give_up_at : float
        Monotonic time until which the lock has to be confirmed.

    Attributes
    ----------
    granted : dict
        Processes that have granted the lock, by the names of their instances.
    denied : dict
        For each instance that has denied it, the monotonic time from which it may be asked again;
        infinity for never.

    Examples
    --------
    ``lock.to_ask(view, slowness, now)`` yields the replicas to ask next, ``lock.on_granted("e2",
    "e2.5")`` notes an answer, and ``lock.is_confirmed(view)`` tells whether they suffice.
    """

    def __init__(self, handle: JobHandle, give_up_at: float) -> None:
        self.handle = handle
        self.give_up_at = give_up_at
        self.granted: dict[str, str] = {}
        self.denied: dict[str, float] = {}
        self._asked_at: dict[str, float] = {}
        self._view_version = NO_VERSION
        self._replica_sets: list[list[str]] = []

    @property
    def job_id(self) -> str:
        """Id that is locked."""
        return self.handle.job.spec.job_id

    @property
    def asked(self) -> list[str]:
        """Instances that were asked, and may hold the lock."""
        return list(self._asked_at)

    def on_asked(self, entry: str, now: float) -> None:
        """Note that a replica was asked."""
        self._asked_at[entry] = now
        self.denied.pop(entry, None)

    def on_granted(self, entry: str, process: str) -> None:
        """Note that a replica has granted the lock."""
        self.granted[entry] = process

    def on_denied(self, entry: str, retry_at: float) -> None:
        """Note that a replica has denied the lock, and until when."""
        self.granted.pop(entry, None)
        self.denied[entry] = retry_at

    def on_lost(self, entry: str) -> None:
        """Note that a grant no longer counts, or that an answer will not come."""
        self.granted.pop(entry, None)
        self._asked_at[entry] = -ASK_AGAIN_S

    def on_abstained(self, entry: str, now: float) -> None:
        """Note that a replica has answered without granting or denying the lock."""
        self.granted.pop(entry, None)
        self._asked_at[entry] = now - HEDGE_S

    def relies_on(self, entry: str) -> bool:
        """Whether runs may be active that a replica has confirmed, lately or until now."""
        return entry in self.granted or (self.handle.job.began and entry in self._asked_at)

    def is_confirmed(self, view: EntryView) -> bool:
        """Whether a majority of the replicas has granted the lock."""
        return all(is_majority(replicas, self.granted) for replicas in self._sets(view))

    def _sets(self, view: EntryView) -> list[list[str]]:
        """Replicas of the id, computed once for each view."""
        if view.version != self._view_version:
            self._view_version = view.version
            self._replica_sets = view.replica_sets(self.job_id)
        return self._replica_sets

    def has_replica(self, view: EntryView, entry: str) -> bool:
        """Whether an instance is a replica of the id."""
        return any(entry in replicas for replicas in self._sets(view))

    def is_denied(self, view: EntryView, is_reachable: Callable[[str], bool], now: float) -> bool:
        """Whether replicas have denied the lock, and those that may grant it are no majority."""
        denied = {entry for entry, until in self.denied.items() if now < until}
        return bool(denied) and any(
            not is_majority(
                replicas, {e for e in replicas if e in self.granted or is_reachable(e)} - denied
            )
            for replicas in self._sets(view)
        )

    def retry_at(self) -> float:
        """When the first replica that has denied the lock may be asked again."""
        return min(self.denied.values())

    def to_ask(
        self,
        view: EntryView,
        slowness: Callable[[str], float],
        now: float,
        doubted: Collection[str] = (),
    ) -> Iterator[str]:
        """Yield the replicas to ask now: as many as are needed, and others where some are slow.

        Parameters
        ----------
        view : EntryView
            Who the replicas are.
        slowness : callable
            For how long an instance has not answered; the others are asked first.
        now : float
            Monotonic time in seconds.
        doubted : collection of str
            Instances whose grants may not count for long.
        """
        chosen: set[str] = set()
        for replicas in self._sets(view):
            counted = {each for each in replicas if self._counts(each, now)} | chosen
            counted.difference_update(doubted)
            for entry in sorted(replicas, key=slowness):
                if is_majority(replicas, counted):
                    break
                if entry not in counted and self._may_ask(entry, now):
                    counted.add(entry)
                    chosen.add(entry)
                    yield entry

    def _counts(self, entry: str, now: float) -> bool:
        """Whether a replica has granted the lock, or is about to answer."""
        if entry in self.granted:
            return True
        asked_at = self._asked_at.get(entry)
        return asked_at is not None and entry not in self.denied and now - asked_at < HEDGE_S

    def _may_ask(self, entry: str, now: float) -> bool:
        if entry in self.denied:
            return now >= self.denied[entry]
        return now - self._asked_at.get(entry, -ASK_AGAIN_S) >= ASK_AGAIN_S
