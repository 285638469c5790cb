"""Grants locks of job ids to entries, as one of the replicas of each id."""

from typing import NamedTuple

from loguru import logger

from ..clock import Clock
from ..metrics import Metrics
from .job_lock_table import JobLockTable
from .lock_times import LockTimes
from .messages import LockDenial, LockJobs, LockRequest, LocksHeld
from .model import instance_of, is_earlier_process
from .peer_contacts import CONTACT_S
from .view_keeper import ViewKeeper
from .vote_start import PeerStart, Predecessor, VoteStart

UNKNOWN_RETRY_MS = 100
"""Time after which an entry that has not announced itself asks again; the store takes less."""


class Grant(NamedTuple):
    """The denied requests of a message, or that none of it was recorded."""

    denials: list[LockDenial]
    abstains: bool


class LockReplica:
    """Holds the locks that this entry has granted, in memory.

    A lock is dropped before it expires once no run of its holder's job can be active: the holder
    confirms a job only while it is in contact, and its runs end a known time after that. A process
    that has just started abstains, as it has lost the locks of its predecessor.

    Only entries that have announced themselves are granted locks, so that a process that has just
    started knows who may hold some.

    Parameters
    ----------
    me : str
        Process of this entry.
    times : LockTimes
        When locks of silent holders may be dropped.
    views : ViewKeeper
        The entries.
    clock : Clock
        Source of monotonic time.
    metrics : Metrics
        Counters.
    started_at : float
        Monotonic time of the start of this process, in seconds.

    Examples
    --------
    ``replica.grant(msg, "e2.5")`` answers a request, ``replica.lock(request,
    me)`` locks an id for this entry itself.
    """

    def __init__(
        self,
        me: str,
        times: LockTimes,
        views: ViewKeeper,
        clock: Clock,
        metrics: Metrics,
        started_at: float,
    ) -> None:
        self.table = JobLockTable()
        self._me = me
        self._times = times
        self._clock = clock
        self._metrics = metrics
        self._views = views
        self._start = VoteStart(started_at, times)
        self._votes = False
        self._heard_at: dict[str, float] = {}
        self._ended_at: dict[str, float] = {}
        self._processes: dict[str, str] = {}
        self._predecessors: dict[str, Predecessor] = {}
        self._left: set[str] = set()

    def vote_at_once(self) -> None:
        """Do not abstain, as no earlier process can have granted a lock."""
        self._votes = True

    @property
    def abstains(self) -> bool:
        """Whether grants of this entry do not count yet."""
        if not self._votes:
            others = self._views.others(instance_of(self._me))
            self._votes = self._start.may_vote(others, self._clock.now())
            if self._votes:
                logger.bind(age_ms=self.age_ms()).info("job locks granted from now on")
        return not self._votes

    @property
    def votes_expected_at(self) -> float:
        """Monotonic time at which grants begin to count if all entries have started together."""
        return self._start.started_at + self._times.lease_end_s

    def age_ms(self) -> int:
        """Milliseconds since this process started."""
        return round(self._start.age_s(self._clock.now()) * 1000)

    def grant(self, msg: LockJobs, holder: str) -> Grant:
        """Release and lock what another entry asks for."""
        self._heard_at[holder] = self._clock.now()
        for job_id in msg.released:
            self.table.release(job_id, holder)
        # Read once: what was not recorded must not count.
        if self.abstains:
            return Grant([], True)
        results = ((i, self.lock(request, holder)) for i, request in enumerate(msg.requests))
        denials = [LockDenial(i, retry_ms) for i, retry_ms in results if retry_ms is not None]
        return Grant(denials, False)

    def lock(self, request: LockRequest, holder: str) -> int | None:
        """Lock an id, or extend its lock; not to be called while this entry abstains.

        Returns
        -------
        int or None
            None if granted; else after how many milliseconds to ask again, 0 for never.
        """
        if not self._views.is_known(instance_of(holder)):
            return UNKNOWN_RETRY_MS
        job_id = request.job_id
        now = self._clock.now()
        other = self.table.holder_of(job_id)
        if other not in ("", holder, self._me) and now >= self._droppable_at(other):
            self._drop(other)
        if self.table.acquire(job_id, holder, now + request.hold_ms / 1000, now):
            return None
        logger.bind(job=job_id, peer=holder, holder=other).info("job lock denied")
        self._metrics.count("job_locks", label="denied")
        return round(self._left_s(other) * 1000)

    def release(self, job_id: str) -> None:
        """Release a lock of this entry itself."""
        self.table.release(job_id, self._me)

    def on_open(self, process: str) -> Predecessor:
        """Note that earlier processes of an instance have ended; returns how the last one did."""
        now = self._clock.now()
        entry = instance_of(process)
        last = self._processes.get(entry, "")
        if last != process:
            self._processes[entry] = process
            self._predecessors[entry] = _how_it_ended(last, last in self._left)
        for holder in list(self._heard_at):
            if is_earlier_process(holder, process):
                self._ended_at.setdefault(holder, now)
        return self._predecessors[entry]

    def take_held(self, msg: LocksHeld, process: str) -> None:
        """Lock what another entry holds, and note what it tells of its start."""
        now = self._clock.now()
        if msg.leaves:
            self._left.add(process)
            self._drop(process)
            return
        self._heard_at[process] = now
        for request in msg.requests:
            self.table.acquire(request.job_id, process, now + request.hold_ms / 1000, now)
        start = PeerStart(now - msg.age_ms / 1000, now, Predecessor(msg.predecessor))
        self._start.on_told(instance_of(process), start)

    def _droppable_at(self, holder: str) -> float:
        """Monotonic time from which no run of a holder that stays silent can be active."""
        droppable_at = self._heard_at.get(holder, 0.0) + self._times.drop_after_s
        if self._has_ended(holder):
            return min(droppable_at, self._ended_at[holder] + self._times.lease_end_s)
        return droppable_at

    def _has_ended(self, holder: str) -> bool:
        return self._ended_at.get(holder, 0.0) > self._heard_at.get(holder, 0.0)

    def _left_s(self, holder: str) -> float:
        """Seconds until the locks of a holder are dropped; 0.0 while it is in contact."""
        now = self._clock.now()
        if holder == self._me:
            return 0.0
        is_silent = now - self._heard_at.get(holder, 0.0) >= CONTACT_S
        if not is_silent and not self._has_ended(holder):
            return 0.0
        return max(0.001, self._droppable_at(holder) - now)

    def _drop(self, holder: str) -> None:
        dropped = self.table.release_all(holder)
        self._heard_at.pop(holder, None)
        self._ended_at.pop(holder, None)
        logger.bind(peer=holder, locks=dropped).info("job locks of a silent entry dropped")


def _how_it_ended(process: str, has_left: bool) -> Predecessor:
    if not process:
        return Predecessor.UNKNOWN
    return Predecessor.LEFT if has_left else Predecessor.LOST
