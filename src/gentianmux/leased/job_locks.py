"""Makes sure that two entries never run jobs of the same id at a time."""

from collections.abc import Callable, Collection
from math import inf

from loguru import logger

from .entry_context import EntryContext
from .entry_peers import EntryPeers
from .job_handle import JobHandle, JobResult
from .job_lock import JobLock
from .job_state import JobOutcome, JobState
from .lock_replica import LockReplica
from .lock_times import GRACE_S, lock_times
from .messages import JobsLocked, LockJobs, LocksHeld
from .model import instance_of
from .view_changes import VIEW_STALE_S
from .view_keeper import ViewKeeper
from .vote_start import Predecessor

CONFIRM_TIMEOUT_S = 0.5
"""Time within which a new job has to be confirmed. Its caller is better served by another entry
than by a longer wait."""

ISOLATED_S = 0.5
"""Time without enough other entries from which on jobs are refused at once."""

START_MARGIN_S = 0.4
"""Time by which entries that were all restarted may begin to grant locks later than expected, while
jobs wait for them."""

PEER_CHECK_INTERVAL_S = 0.1
"""Time between checks of the other entries, a fraction of the times that they are allowed."""

ISOLATED = "too few entries confirm jobs"
"""Reason of a refusal."""

DENIED = "another entry runs this job"
"""Reason of the end of a job that may not run."""

LOST = "too few entries confirm the job any longer"
"""Reason of the end of a job that may not go on."""


class JobLocks:
    """Confirms each job by a majority of the replicas of its id, before any task is assigned.

    The replicas are the first entries in the order of the id, in a view that all entries share. A
    job is confirmed while a majority of them has granted its lock and is in contact: of two
    requests of one id, at most one is. An entry that reaches too few others starts nothing.

    A lock that is lost while the job's runs are active, as a replica is silent or has started
    again, is asked for elsewhere; the job ends if that fails.

    Parameters
    ----------
    ctx : EntryContext
        Jobs and connections of the entry.
    views : ViewKeeper
        The view of the entries.
    on_confirmed : callable
        Called after jobs have been confirmed.
    started_at : float
        Monotonic time of the start of this process, in seconds.

    Attributes
    ----------
    replica : LockReplica
        Grants locks to all entries, this one included.
    peers : EntryPeers
        The other entries.

    Examples
    --------
    ``locks.acquire(handle)`` asks for the lock of a job, which may be placed while
    ``handle.job.confirmed`` is true; ``locks.on_finished(job, had_runs=False)`` releases it.
    """

    def __init__(
        self,
        ctx: EntryContext,
        views: ViewKeeper,
        on_confirmed: Callable[[], None],
        started_at: float,
    ) -> None:
        times = lock_times(ctx.view.lease_s)
        self._ctx = ctx
        self._views = views
        self._on_confirmed = on_confirmed
        self._me = ctx.links.me.process
        self._my_name = instance_of(self._me)
        self._lease_end_s = times.lease_end_s
        self.replica = LockReplica(self._me, times, views, ctx.clock, ctx.metrics, started_at)
        self.peers = EntryPeers(ctx.links, ctx.clock, times.lease_end_s)
        self.peers.on_lapsed = self._on_lapsed
        self._locks: dict[str, JobLock] = {}
        self._waiting: dict[str, JobLock] = {}
        self._ending_until: dict[str, float] = {}
        self._in_use: dict[str, dict[str, JobLock]] = {}
        self._lapses_at = inf
        self._was_acting = True
        self._isolated_since: float | None = None
        self._has_confirmed = False
        self._peers_checked_at = 0.0
        self._suspects: set[str] = set()

    # State of this entry

    def is_acting(self) -> bool:
        """Whether the view is known, and cannot have changed unnoticed."""
        now = self._ctx.clock.now()
        view = self._views.view
        if view is None or self._views.is_current(now):
            return view is not None
        # Nobody can have changed the view if every entry is still in contact with this one.
        return all(
            name == self._my_name
            or self.peers.contacts.is_current(self.peers.process_of(name), now)
            for name in view.members
        )

    def can_confirm(self) -> bool:
        """Whether enough entries are expected to confirm a job."""
        view = self._views.view
        if view is None or not self.is_acting():
            return False
        reachable = {name for name in view.members if self._is_reachable(name)}
        return view.reaches(reachable)

    def _is_reachable(self, entry: str) -> bool:
        if entry == self._my_name:
            return not self.replica.abstains
        return self.peers.is_reachable(entry)

    def _slowness_s(self, entry: str) -> float:
        if entry == self._my_name:
            return inf if self.replica.abstains else 0.0
        return self.peers.slowness_s(entry)

    # Jobs of this entry

    def acquire(self, handle: JobHandle) -> None:
        """Ask for the lock of a job; the job ends at once if it cannot be confirmed."""
        job = handle.job
        now = self._ctx.clock.now()
        if now < self._ending_until.get(job.spec.job_id, 0.0):
            # Runs of an earlier request, whose caller has left, may still be active.
            self._ctx.metrics.count("job_locks", label="denied")
            self._ctx.finish(job, JobResult(JobOutcome.UNKNOWN, DENIED))
            return
        if self._is_isolated(now):
            self._refuse(job)
            return
        lock = JobLock(handle, max(now + CONFIRM_TIMEOUT_S, self._waits_until()))
        self._locks[lock.job_id] = self._waiting[lock.job_id] = lock
        self._advance(lock, now)
        self._flush()

    def _check_isolation(self, now: float) -> None:
        """Note whether too few entries have been reachable for a while."""
        if self.can_confirm():
            self._isolated_since = None
        elif self._isolated_since is None:
            self._isolated_since = now

    def _is_isolated(self, now: float) -> bool:
        since = self._isolated_since
        return since is not None and now >= max(since + ISOLATED_S, self._waits_until())

    def _waits_until(self) -> float:
        """Monotonic time until which jobs wait for an entry that has just started."""
        if not self.replica.abstains:
            return 0.0
        return self.replica.votes_expected_at + START_MARGIN_S

    def _flush(self, at_once: bool = False) -> None:
        """Send what was asked for, and have placed what was confirmed."""
        self.peers.flush(at_once)
        if self._has_confirmed:
            self._has_confirmed = False
            self._on_confirmed()

    def _refuse(self, job: JobState) -> None:
        self._ctx.metrics.count("job_locks", label="refused")
        self._log_belief(job, "job is not confirmed")
        self._ctx.give_up(job, LOST if job.began else ISOLATED)

    def _log_belief(self, job: JobState, event: str) -> None:
        view = self._views.view
        names = () if view is None else sorted(view.members)
        logger.bind(
            job=job.spec.job_id,
            confirmed_by=job.confirmed_by,
            view=self._views.version,
            view_age_ms=self._views.age_ms(self._ctx.clock.now()),
            unreachable=[name for name in names if not self._is_reachable(name)],
            abstains=self.replica.abstains,
        ).info(event)

    def _advance(self, lock: JobLock, now: float) -> None:
        """Take the next step towards the confirmation of a job, or its end."""
        view = self._views.view
        if view is None:
            return
        is_acting = self.is_acting()
        if self._my_name not in lock.granted and lock.has_replica(view, self._my_name):
            self._ask_self(lock, now)
        if is_acting and lock.is_confirmed(view):
            self._confirm(lock)
        elif lock.is_denied(view, self._is_reachable, now):
            self._deny(lock, now)
        elif is_acting:
            for entry in list(lock.to_ask(view, self._slowness_s, now)):
                if entry != self._my_name and self.peers.ask(entry, lock):
                    lock.on_asked(entry, now)

    def _ask_self(self, lock: JobLock, now: float) -> None:
        if now < lock.denied.get(self._my_name, 0.0):
            return
        if self.replica.abstains:
            return
        lock.on_asked(self._my_name, now)
        retry_ms = self.replica.lock(self.peers.request_for(lock), self._me)
        if retry_ms is not None:
            lock.on_denied(self._my_name, now + retry_ms / 1000 if retry_ms else inf)
        else:
            lock.on_granted(self._my_name, self._me)

    def _on_granted(self, lock: JobLock, process: str) -> None:
        lock.on_granted(instance_of(process), process)
        self._in_use.setdefault(process, {})[lock.job_id] = lock
        self._lapses_at = min(self._lapses_at, self.peers.contacts.proved_until(process))

    def _confirm(self, lock: JobLock) -> None:
        job = lock.handle.job
        self._waiting.pop(lock.job_id, None)
        self._has_confirmed = True
        job.confirmed = True
        if not job.began:
            self._ctx.backlog.put(job)
        job.confirmed_by = sorted(lock.granted.values())

    def _deny(self, lock: JobLock, now: float) -> None:
        job = lock.handle.job
        # The holder of the lock may have started the job.
        job.may_have_run = True
        retry_at = lock.retry_at()
        if retry_at < min(job.deadline, now + 2 * CONFIRM_TIMEOUT_S + self._lease_end_s):
            lock.give_up_at = max(lock.give_up_at, retry_at + CONFIRM_TIMEOUT_S)
            return
        self._log_belief(job, "job is denied")
        self._ctx.finish(job, JobResult(JobOutcome.UNKNOWN, DENIED))

    def on_finished(self, job: JobState, had_runs: bool) -> None:
        """Release the lock of a job that has ended, once none of its runs can be active."""
        lock = self._locks.pop(job.spec.job_id, None)
        if lock is None:
            return
        self._waiting.pop(lock.job_id, None)
        for held in self._in_use.values():
            held.pop(lock.job_id, None)
        if not had_runs:
            self._release(lock)
            return
        self._ending_until[lock.job_id] = self._ctx.clock.now() + self._lease_end_s
        self._ctx.clock.call_later(self._lease_end_s, self._release_ended, lock)

    def _release_ended(self, lock: JobLock) -> None:
        if self._ctx.clock.now() >= self._ending_until.get(lock.job_id, 0.0):
            self._ending_until.pop(lock.job_id, None)
        if lock.job_id not in self._ctx.jobs:
            self._release(lock)
            self.peers.send_released()

    def _release(self, lock: JobLock) -> None:
        for entry in lock.asked:
            if entry == self._my_name:
                self.replica.release(lock.job_id)
            else:
                process = lock.granted.get(entry) or self.peers.process_of(entry)
                self.peers.release(process, lock.job_id)

    # Time

    def refresh(self, now: float) -> None:
        """Take back confirmations that no longer count; to be called before anything is placed."""
        is_acting = self.is_acting()
        was_acting, self._was_acting = self._was_acting, is_acting
        if was_acting and not is_acting:
            for lock in list(self._locks.values()):
                self._lose(lock, now, now)
        if now < self._lapses_at:
            return
        self._lapses_at = inf
        for process, held in list(self._in_use.items()):
            until = self.peers.contacts.proved_until(process)
            if held and until <= now:
                self._on_lapsed(process)
            elif held:
                self._lapses_at = min(self._lapses_at, until)

    def _on_lapsed(self, process: str) -> None:
        """Take back what a silent process has confirmed."""
        held = self._in_use.pop(process, {})
        if not held:
            return
        lapsed_at = self.peers.contacts.proved_until(process)
        logger.bind(peer=process, jobs=len(held)).warning("locks of an entry lapsed")
        now = self._ctx.clock.now()
        for lock in list(held.values()):
            lock.on_lost(instance_of(process))
            self._lose(lock, lapsed_at, now)

    def _lose(self, lock: JobLock, lapsed_at: float, now: float) -> None:
        """Confirm a job again; one with active runs ends unless that succeeds at once."""
        view = self._views.view
        if lock.job_id not in self._locks or lock.job_id in self._waiting:
            return
        if view is not None and self._was_acting and lock.is_confirmed(view):
            return
        job = lock.handle.job
        job.confirmed = False
        lock.give_up_at = lapsed_at + GRACE_S if job.began else now + CONFIRM_TIMEOUT_S
        self._waiting[lock.job_id] = lock
        if now >= lock.give_up_at:
            self._refuse(job)

    def tick(self, now: float) -> None:
        """Ask slow replicas again, give up what was not confirmed in time, and prove contact."""
        self.refresh(now)
        for lock in list(self._waiting.values()):
            if lock.job_id in self._waiting:
                self._advance(lock, now)
            if lock.job_id in self._waiting and now >= lock.give_up_at:
                self._refuse(lock.handle.job)
        self._flush(at_once=True)
        if now >= self._peers_checked_at + PEER_CHECK_INTERVAL_S:
            self._peers_checked_at = now
            self._check_isolation(now)
            self._replace_suspects(now)
            self.peers.beat(self._processes_in_use(now))

    def _processes_in_use(self, now: float) -> Collection[str]:
        """Processes whose contact matters, all of them while the store does not answer."""
        if self._views.age_ms(now) > VIEW_STALE_S * 500:
            return self.peers.connected()
        return {process for process, held in self._in_use.items() if held}

    def _replace_suspects(self, now: float) -> None:
        """Ask other replicas of the locks granted by processes that have begun to be silent."""
        view = self._views.view
        suspects = {process for process in self._in_use if self.peers.is_suspect(process)}
        new_suspects = suspects - self._suspects
        self._suspects = suspects
        if view is None:
            return
        for process in new_suspects:
            doubted = [instance_of(process)]
            for lock in self._in_use[process].values():
                for entry in list(lock.to_ask(view, self._slowness_s, now, doubted)):
                    if self.peers.ask(entry, lock):
                        lock.on_asked(entry, now)

    # Other entries

    def on_open(self, process: str) -> None:
        """Add an entry; one that has started anew has lost its locks."""
        predecessor = self.replica.on_open(process)
        self._ctx.links.send(process, self._locks_held_at(instance_of(process), predecessor))
        self.peers.on_open(process)
        for other in list(self._in_use):
            if other != process and instance_of(other) == instance_of(process):
                self._on_lapsed(other)

    def _locks_held_at(self, entry: str, predecessor: Predecessor) -> LocksHeld:
        """What an entry has granted, for a process that has lost the locks of its predecessor."""
        # What is held no longer must not be claimed.
        self.refresh(self._ctx.clock.now())
        relied_on = (lock for lock in self._locks.values() if lock.relies_on(entry))
        held = [self.peers.request_for(lock) for lock in relied_on]
        return LocksHeld(held, self.replica.age_ms(), int(predecessor), False)

    def leave(self) -> None:
        """Tell all entries that this one ends, if it has neither locks nor runs."""
        if self._locks or self._ending_until:
            return
        for process in self.peers.connected():
            msg = LocksHeld([], self.replica.age_ms(), int(Predecessor.UNKNOWN), True)
            self._ctx.links.send(process, msg)

    def on_held(self, msg: LocksHeld, process: str) -> None:
        """Handle what another entry holds."""
        self.replica.take_held(msg, process)
        if msg.leaves:
            self._on_lapsed(process)

    def on_close(self, process: str) -> None:
        """Remove an entry; what it has granted counts until its contact lapses."""
        for lock in self.peers.on_close(process):
            lock.on_lost(instance_of(process))

    def on_view(self) -> None:
        """Confirm every job by the replicas of a new view."""
        view = self._views.view
        now = self._ctx.clock.now()
        for lock in list(self._locks.values()):
            if view is not None and not lock.is_confirmed(view):
                self._lose(lock, now, now)
                self._advance(lock, now)
        self._flush()

    def on_request(self, msg: LockJobs, process: str) -> None:
        """Handle a request of another entry."""
        grant = self.replica.grant(msg, process)
        if msg.number:
            answer = JobsLocked(
                msg.number,
                grant.denials,
                grant.abstains,
                self._views.version,
                self._views.age_ms(self._ctx.clock.now()),
            )
            self._ctx.links.send(process, answer)

    def on_answer(self, msg: JobsLocked, process: str) -> None:
        """Handle the answer of another entry."""
        now = self._ctx.clock.now()
        locks, sent_at = self.peers.on_answer(msg, process)
        if sent_at is not None:
            self._views.on_peer_age(msg.view_version, sent_at - msg.view_age_ms / 1000)
        denials = {denial.position: denial.retry_ms for denial in msg.denials}
        for position, lock in enumerate(locks):
            if self._locks.get(lock.job_id) is not lock:
                continue
            if position in denials:
                self._on_denied(lock, process, denials[position], now)
            elif msg.abstains:
                lock.on_abstained(instance_of(process), now)
            elif self.peers.contacts.is_current(process, now):
                self._on_granted(lock, process)
            if lock.job_id in self._waiting:
                self._advance(lock, now)
        self._flush()

    def _on_denied(self, lock: JobLock, process: str, retry_ms: int, now: float) -> None:
        self._in_use.get(process, {}).pop(lock.job_id, None)
        lock.on_denied(instance_of(process), now + retry_ms / 1000 if retry_ms else inf)
