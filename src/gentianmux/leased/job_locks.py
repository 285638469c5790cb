"""Makes sure that two entries never run jobs of the same id at a time."""

from collections import defaultdict
from collections.abc import Callable, Iterator
from itertools import takewhile
from typing import NamedTuple

from loguru import logger

from .entry_context import EntryContext
from .entry_leases import leases_expire_at
from .job_lock_table import JobLockTable
from .job_state import JobState
from .messages import JobLocked, LockJob
from .model import instance_of
from .rendezvous import rank_entries

LOCK_TIMEOUT_S = 0.05
"""Time allowed for the reply of a lock's owner: several round trips between failure domains."""

SUSPECT_S = 1.0
"""Time for which jobs do not wait for an owner that did not reply, unless a reply of it arrives."""

UNCONFIRMED_S = 5.0
"""Time for which a late reply of an owner still ends a job that runs without its confirmation."""

RELEASE_INTERVAL_S = 1.0
"""Longest time that the release of a lock waits for the next request to its owner. Callers resend a
job after 1.3 s."""

NO_REPLY = 0
"""Number of a request that is not answered."""


class PendingLock(NamedTuple):
    """A request to another entry that has not been answered.

    Attributes
    ----------
    job : JobState
        The job whose id is to be locked.
    owner : str
        Process of that entry.
    sent_at : float
        Monotonic time of the request, in seconds.
    resolve : callable
        Called with whether the job may run.
    """

    job: JobState
    owner: str
    sent_at: float
    resolve: Callable[[bool], None]


class JobLocks:
    """Locks the id of each job at the entry that owns it, before any task is assigned.

    The owner is found by rendezvous hashing over the connected entries, so that all of them ask
    the same one. An owner that does not reply in time does not hold jobs up: they run without its
    confirmation, which is logged, and end if it denies the lock later.

    A lock lasts until every lease of the job's runs has expired, also after a pause of its holder.

    Parameters
    ----------
    ctx : EntryContext
        Jobs and connections of the entry.

    Attributes
    ----------
    table : JobLockTable
        Locks of the ids that this entry owns.

    Examples
    --------
    ``locks.acquire(job, resolve)`` calls ``resolve(True)`` once the job may run, and
    ``locks.on_finished(job, had_runs=False)`` releases its lock.
    """

    def __init__(self, ctx: EntryContext) -> None:
        self.table = JobLockTable()
        self._ctx = ctx
        self._me = ctx.links.me.process
        self._entries: dict[str, str] = {instance_of(self._me): self._me}
        self._suspect_until: dict[str, float] = {}
        self._owners: dict[str, str] = {}
        self._ending_until: dict[str, float] = {}
        self._pending: dict[int, PendingLock] = {}
        self._unconfirmed: dict[int, PendingLock] = {}
        self._released: dict[str, list[str]] = defaultdict(list)
        self._number = NO_REPLY

    # Jobs of this entry

    def acquire(self, job: JobState, resolve: Callable[[bool], None]) -> None:
        """Call ``resolve`` with whether a job may run, at once or when its owner has replied."""
        job_id = job.spec.job_id
        now = self._ctx.clock.now()
        if now < self._ending_until.get(job_id, 0.0):
            # Runs of an earlier request, whose caller has left, may still be active.
            self._ctx.metrics.count("job_locks", label="denied")
            resolve(False)
            return
        owner = self._owner_of(job_id)
        self._owners[job_id] = owner
        if owner == self._me:
            job.confirmed_by = [self._me]
            self._log_if_alone(job)
            resolve(self.table.acquire(job_id, self._me, self._expires_at(job), now))
            return
        self._number += 1
        is_suspect = now < self._suspect_until.get(owner, 0.0)
        waiting = self._unconfirmed if is_suspect else self._pending
        waiting[self._number] = PendingLock(job, owner, now, resolve)
        self._request(self._number, owner, job)
        if is_suspect:
            self._log_unconfirmed(job, owner)
            resolve(True)

    def _log_if_alone(self, job: JobState) -> None:
        if len(self._entries) == 1:
            logger.bind(job=job.spec.job_id).info("job runs as no other entry is connected")

    def _log_unconfirmed(self, job: JobState, owner: str) -> None:
        logger.bind(job=job.spec.job_id, peer=owner, connected=len(self._entries) - 1).info(
            "job runs unconfirmed"
        )

    def on_finished(self, job: JobState, had_runs: bool) -> None:
        """Release the lock of a job that has ended, once none of its runs can be active."""
        job_id = job.spec.job_id
        if not had_runs:
            self._release(job_id)
            return
        delay_s = self._lease_end_s()
        self._ending_until[job_id] = self._ctx.clock.now() + delay_s
        self._ctx.clock.call_later(delay_s, self._release_ended, job_id)

    def deny(self, job_id: str) -> None:
        """Forget the lock of a job that may not run, since another entry holds it."""
        self._owners.pop(job_id, None)

    def _release_ended(self, job_id: str) -> None:
        if self._ctx.clock.now() >= self._ending_until.get(job_id, 0.0):
            self._ending_until.pop(job_id, None)
        if job_id not in self._ctx.jobs:
            self._send_released(self._release(job_id))

    def _release(self, job_id: str) -> str:
        """Release a lock with the next request to its owner, whose process is returned."""
        owner = self._owners.pop(job_id, "")
        if owner == self._me:
            self.table.release(job_id, self._me)
        elif owner:
            if owner not in self._released:
                self._ctx.clock.call_later(RELEASE_INTERVAL_S, self._send_released, owner)
            self._released[owner].append(job_id)
        return owner

    def _send_released(self, owner: str) -> None:
        released = self._released.pop(owner, [])
        if released:
            self._ctx.links.send(owner, LockJob(NO_REPLY, "", 0, released))

    def _request(self, number: int, owner: str, job: JobState) -> None:
        hold_ms = round((self._expires_at(job) - self._ctx.clock.now()) * 1000)
        released = self._released.pop(owner, [])
        self._ctx.metrics.count("job_locks", label="asked")
        self._ctx.links.send(owner, LockJob(number, job.spec.job_id, hold_ms, released))

    def _expires_at(self, job: JobState) -> float:
        return job.deadline + self._lease_end_s()

    def _lease_end_s(self) -> float:
        """Seconds after which no run can be active that was withdrawn or has lost its entry."""
        return leases_expire_at(0.0, self._ctx.view.lease_s)

    def check_timeouts(self) -> None:
        """Let jobs run whose owner has not replied in time."""
        now = self._ctx.clock.now()
        for number in list(_sent_before(self._unconfirmed, now - UNCONFIRMED_S)):
            del self._unconfirmed[number]
        for number in list(_sent_before(self._pending, now - LOCK_TIMEOUT_S)):
            self._suspect(self._pending[number].owner, now)
            self._run_unconfirmed(number)

    def _suspect(self, owner: str, now: float) -> None:
        if now < self._suspect_until.get(owner, 0.0):
            return
        logger.bind(peer=owner).warning("job locks are not confirmed")
        self._suspect_until[owner] = now + SUSPECT_S
        if self._me < owner:
            # Its connection may have stalled; only one side may replace it.
            self._ctx.links.reconnect(owner)

    def _run_unconfirmed(self, number: int) -> None:
        self._ctx.metrics.count("job_locks", label="unconfirmed")
        pending = self._unconfirmed[number] = self._pending.pop(number)
        self._log_unconfirmed(pending.job, pending.owner)
        pending.resolve(True)

    # Other entries

    def _owner_of(self, job_id: str) -> str:
        if len(self._entries) == 1:
            return self._me
        return self._entries[rank_entries(job_id, self._entries)[0]]

    def knows(self, process: str) -> bool:
        """Whether a process is another entry with an open connection."""
        return process != self._me and self._entries.get(instance_of(process)) == process

    def on_open(self, process: str) -> None:
        """Add an entry, and lock there what it owns from now on."""
        self._entries[instance_of(process)] = process
        self._suspect_until.pop(process, None)
        self._move_locks(process)

    def on_close(self, process: str) -> None:
        """Remove an entry; its locks go when every lease of its runs has expired."""
        if self._entries.get(instance_of(process)) == process:
            del self._entries[instance_of(process)]
        self._released.pop(process, None)
        for number in [n for n, each in self._pending.items() if each.owner == process]:
            self._run_unconfirmed(number)
        self._move_locks()
        self._ctx.clock.call_later(self._lease_end_s(), self._forget, process)

    def _forget(self, process: str) -> None:
        if not self.knows(process):
            self.table.release_all(process)

    def _move_locks(self, reconnected: str = "") -> None:
        """Lock the unfinished jobs at their present owners, after the entries have changed."""
        for job_id in list(self._owners):
            owner = self._owner_of(job_id)
            handle = self._ctx.jobs.get(job_id)
            if handle is None or owner == self._owners[job_id] != reconnected:
                continue
            self._owners[job_id] = owner
            if owner == self._me:
                expires_at = self._expires_at(handle.job)
                self.table.acquire(job_id, self._me, expires_at, self._ctx.clock.now())
            else:
                self._request(NO_REPLY, owner, handle.job)

    def on_request(self, msg: LockJob, process: str) -> None:
        """Handle a request of another entry."""
        for job_id in msg.released:
            self.table.release(job_id, process)
        if not msg.job_id:
            return
        now = self._ctx.clock.now()
        granted = msg.job_id not in self._ctx.jobs and self.table.acquire(
            msg.job_id, process, now + msg.hold_ms / 1000, now
        )
        if not granted:
            logger.bind(job=msg.job_id, peer=process).info("job lock denied")
            self._ctx.metrics.count("job_locks", label="denied")
        if msg.number != NO_REPLY:
            self._ctx.links.send(process, JobLocked(msg.number, granted))

    def on_reply(self, msg: JobLocked, process: str) -> None:
        """Handle the reply of another entry."""
        self._suspect_until.pop(process, None)
        pending = self._pending.pop(msg.number, None)
        if pending is not None:
            pending.job.confirmed_by = [process]
            pending.resolve(msg.granted)
            return
        unconfirmed = self._unconfirmed.pop(msg.number, None)
        if unconfirmed is not None and not msg.granted:
            unconfirmed.resolve(False)


def _sent_before(requests: dict[int, PendingLock], time: float) -> Iterator[int]:
    """Numbers of the requests sent by a time; the earliest come first."""
    return takewhile(lambda number: requests[number].sent_at <= time, requests)
