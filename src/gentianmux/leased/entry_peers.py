"""Requests to other entries, sent together, and the contact that their answers prove."""

from collections import defaultdict
from collections.abc import Callable, Collection
from math import inf
from typing import NamedTuple

from ..clock import Clock
from .job_lock import HEDGE_S, JobLock
from .links import Links
from .messages import JobsLocked, LockJobs, LockRequest
from .model import instance_of
from .peer_contacts import PeerContacts

SUSPECT_S = 0.3
"""Time without an answer after which an entry is not expected to give one."""

BEAT_S = 0.3
"""Longest time between two requests to an entry that confirms unfinished jobs of this one."""

IDLE_BEAT_S = 2.0
"""The same while it confirms none."""

RELEASE_INTERVAL_S = 0.5
"""Longest time that the release of a lock waits for the next request. Callers resend a job after
1.3 s."""

FORGET_AFTER_S = 5.0
"""Age from which a request without an answer is forgotten."""

MAX_UNANSWERED = 2
"""Unanswered requests to one entry from which on further locks wait for an answer, to be asked for
together: a busy entry gets fewer messages."""

ROUND_TRIP_WEIGHT = 0.2
"""Weight of the last answer in the mean time that an entry takes."""

NO_ANSWER = 0
"""Number of a message that is not answered."""


class SentRequest(NamedTuple):
    """A message with requests, until it is answered."""

    process: str
    sent_at: float
    locks: list[JobLock]


class EntryPeers:
    """Sends lock requests to the other entries that are connected.

    Parameters
    ----------
    links : Links
        Connections to the other entries.
    clock : Clock
        Monotonic time and deferred calls.
    lease_end_s : float
        Time that a lock lasts beyond its job's time limit, in seconds.

    Attributes
    ----------
    contacts : PeerContacts
        How lately their processes have answered.
    on_lapsed : callable
        Called with a process that has answered again after its contact had lapsed.

    Examples
    --------
    ``peers.ask("e2", lock)`` and then ``peers.flush()``; ``peers.on_answer(msg, "e2.5")`` returns
    the locks that it is about.
    """

    def __init__(self, links: Links, clock: Clock, lease_end_s: float) -> None:
        self.contacts = PeerContacts()
        self.on_lapsed: Callable[[str], None] = lambda process: None
        self._links = links
        self._clock = clock
        self._lease_end_s = lease_end_s
        self._processes: dict[str, str] = {}
        self._heard_at: dict[str, float] = {}
        self._abstaining: set[str] = set()
        self._round_trip_s: dict[str, float] = {}
        self._sent: dict[int, SentRequest] = {}
        self._sent_at: dict[str, float] = {}
        self._to_ask: dict[str, list[JobLock]] = defaultdict(list)
        self._released: dict[str, list[str]] = defaultdict(list)

    # Connections

    def knows(self, process: str) -> bool:
        """Whether a process is another entry with an open connection."""
        return self._processes.get(instance_of(process)) == process

    def process_of(self, entry: str) -> str:
        """Process of an instance that is connected; empty if there is none."""
        return self._processes.get(entry, "")

    def on_open(self, process: str) -> None:
        """Add an entry whose connection has opened; what was sent before may be lost."""
        self._processes[instance_of(process)] = process
        self.contacts.forget_requests(process)
        self._send(process)

    def on_close(self, process: str) -> list[JobLock]:
        """Remove an entry; returns the locks that wait for its answer."""
        if self.knows(process):
            del self._processes[instance_of(process)]
        self._released.pop(process, None)
        numbers = [number for number, sent in self._sent.items() if sent.process == process]
        waiting = [lock for number in numbers for lock in self._sent.pop(number).locks]
        return waiting + self._to_ask.pop(process, [])

    def slowness_s(self, entry: str) -> float:
        """Expected seconds until an instance answers; infinity if it is not connected.

        One whose grants do not count yet is taken for slow.
        """
        process = self.process_of(entry)
        if not process:
            return inf
        expected_s = self._round_trip_s.get(process, 0.0)
        if process in self._abstaining:
            expected_s += HEDGE_S
        return max(expected_s, self._awaited_s(process))

    def _awaited_s(self, process: str) -> float:
        since = self.contacts.awaited_since(process)
        return 0.0 if since is None else self._clock.now() - since

    def is_reachable(self, entry: str) -> bool:
        """Whether an instance is connected and is expected to answer."""
        process = self.process_of(entry)
        return bool(process) and self._awaited_s(process) < SUSPECT_S

    def connected(self) -> list[str]:
        """Processes of all entries with an open connection."""
        return list(self._processes.values())

    # Requests

    def ask(self, entry: str, lock: JobLock) -> bool:
        """Ask an instance to lock a job's id, with the next message; false if not connected."""
        process = self.process_of(entry)
        if process:
            self._to_ask[process].append(lock)
        return bool(process)

    def release(self, process: str, job_id: str) -> None:
        """Tell a process that a lock is no longer needed, with the next message."""
        if not self.knows(process):
            return
        if process not in self._released:
            self._clock.call_later(RELEASE_INTERVAL_S, self._send_released, process)
        self._released[process].append(job_id)

    def flush(self, at_once: bool = False) -> None:
        """Send what was asked for, to busy entries only after their answers or ``at_once``."""
        for process in list(self._to_ask):
            if at_once or self._count_unanswered(process) < MAX_UNANSWERED:
                self._send(process)

    def beat(self, in_use: Collection[str]) -> None:
        """Send a request to each entry that has had none for a while; some are ``in_use``."""
        now = self._clock.now()
        for number in [n for n, sent in self._sent.items() if now - sent.sent_at > FORGET_AFTER_S]:
            del self._sent[number]
        for process in list(self._processes.values()):
            interval_s = BEAT_S if process in in_use else IDLE_BEAT_S
            if now - self._sent_at.get(process, 0.0) >= interval_s:
                self._send(process)
            if self.is_suspect(process) and self._links.me.process < process:
                # Its connection may have stalled; only one side may replace it.
                self._links.reconnect(process)

    def is_suspect(self, process: str) -> bool:
        """Whether a connected process does not answer."""
        return self.knows(process) and not self.is_reachable(instance_of(process))

    def _count_unanswered(self, process: str) -> int:
        return sum(1 for sent in self._sent.values() if sent.process == process)

    def _send(self, process: str) -> None:
        now = self._clock.now()
        locks = [lock for lock in self._to_ask.pop(process, []) if lock.handle.result is None]
        requests = [self.request_for(lock) for lock in locks]
        number = self.contacts.record_sent(process, now)
        self._sent[number] = SentRequest(process, now, locks)
        self._sent_at[process] = now
        self._links.send(process, LockJobs(number, requests, self._released.pop(process, [])))

    def send_released(self) -> None:
        """Tell every process at once which locks are no longer needed."""
        for process in list(self._released):
            self._send_released(process)

    def _send_released(self, process: str) -> None:
        released = self._released.pop(process, [])
        if released:
            self._links.send(process, LockJobs(NO_ANSWER, [], released))

    def request_for(self, lock: JobLock) -> LockRequest:
        """Return the request for a lock, which lasts until no run of the job can be active."""
        left_s = lock.handle.job.deadline - self._clock.now() + self._lease_end_s
        return LockRequest(lock.job_id, max(0, round(left_s * 1000)))

    def on_answer(self, msg: JobsLocked, process: str) -> tuple[list[JobLock], float | None]:
        """Note contact; returns the locks that were asked for, and when that was."""
        now = self._clock.now()
        had_contact = self.contacts.proved_until(process) > 0.0
        if had_contact and not self.contacts.is_current(process, now):
            self.on_lapsed(process)
        self._heard_at[instance_of(process)] = now
        if msg.abstains:
            self._abstaining.add(process)
        else:
            self._abstaining.discard(process)
        sent = self._sent.pop(msg.number, None)
        if sent is None or sent.process != process:
            return [], None
        sent_at = self.contacts.record_answer(process, msg.number, now)
        before_s = self._round_trip_s.get(process, 0.0)
        self._round_trip_s[process] = before_s + (now - sent.sent_at - before_s) * ROUND_TRIP_WEIGHT
        return sent.locks, sent_at

    def heard_at(self, entry: str) -> float:
        """Monotonic time of the last answer of an instance; 0.0 for none."""
        return self._heard_at.get(entry, 0.0)
