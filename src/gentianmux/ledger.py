"""The ledger of one shard: the job ids that were admitted and the answers of ended jobs."""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from .codes import ResultCode
from .ids import NO_TIME, fingerprint
from .messages import LedgerEntry

ENTRY_BYTES = 600
FINGERPRINT_BYTES = 64


class AdmissionDecision(Enum):
    """What to do with a submission.

    ``ADMIT`` starts the job, ``JOIN`` waits for the running one, ``KEPT`` returns the stored
    answer, ``ASK`` needs the agents' traces of the id first, ``REFUSE`` starts nothing.
    """

    ADMIT = "admit"
    JOIN = "join"
    KEPT = "kept"
    ASK = "ask"
    REFUSE = "refuse"


class AdmissionResult(NamedTuple):
    """A decision, with the code of a refusal or stored answer and the first attempt to use."""

    decision: AdmissionDecision
    code: ResultCode = ResultCode.OK
    answer: bytes = b""
    attempt: int = 0


class LedgerBounds(NamedTuple):
    """Retention and clock skew in ms, and the size limit in bytes."""

    keep_ms: int
    skew_ms: int
    max_bytes: int


class _Entry:
    __slots__ = ("answer", "attempt", "code", "digest", "running", "submitted_ms")

    def __init__(self, digest: bytes, submitted_ms: int) -> None:
        self.digest = digest
        self.submitted_ms = submitted_ms
        self.running = True
        self.code = ResultCode.ACCEPTED
        self.answer = b""
        self.attempt = 0


class Ledger:
    """Admits each id at most once; an id that may have been forgotten is refused.

    Parameters
    ----------
    bounds : LedgerBounds
        Retention, clock skew and size limit.
    taken_over_ms : int
        Unix time in ms at which the shard was taken over without its ledger; ``NO_TIME`` when
        the ledger is complete.

    Examples
    --------
    >>> ledger = Ledger(LedgerBounds(60_000, 1_000, 100_000))
    >>> ledger.check("m/a", b"digest", 5_000, 5_000).decision
    <AdmissionDecision.ADMIT: 'admit'>
    >>> ledger.admit("m/a", b"digest", 5_000)
    >>> ledger.check("m/a", b"digest", 5_000, 5_001).decision
    <AdmissionDecision.JOIN: 'join'>
    """

    def __init__(self, bounds: LedgerBounds, taken_over_ms: int = NO_TIME) -> None:
        self.bounds = bounds
        self.taken_over_ms = taken_over_ms
        self.horizon_ms = 0
        self.timeless_lost = False
        self.bytes = 0
        self._entries: dict[str, _Entry] = {}
        self._timeless_fingerprints: set[int] = set()

    def check(self, key: str, digest: bytes, submitted_ms: int, now_ms: int) -> AdmissionResult:
        """Return the decision on a submission without changing the ledger.

        Parameters
        ----------
        key : str
            The member and the job id.
        digest : bytes
            Digest of the submission, which must be the same for every use of the id.
        submitted_ms : int
            Unix time in ms that the id carries, or ``NO_TIME``.
        now_ms : int
            The current Unix time in ms.

        Returns
        -------
        AdmissionResult
            The decision; the caller carries it out, such as by ``admit``.
        """
        entry = self._entries.get(key)
        if entry is not None:
            return self._check_known(entry, digest)
        if submitted_ms == NO_TIME:
            return self._check_timeless(key)
        if submitted_ms <= max(self.horizon_ms, now_ms - self.bounds.keep_ms):
            return AdmissionResult(AdmissionDecision.REFUSE, ResultCode.ID_EXPIRED)
        if self._is_full():
            return AdmissionResult(AdmissionDecision.REFUSE, ResultCode.LEDGER_FULL)
        if submitted_ms <= self._new_after():
            return AdmissionResult(AdmissionDecision.ASK)
        return AdmissionResult(AdmissionDecision.ADMIT)

    def _check_known(self, entry: _Entry, digest: bytes) -> AdmissionResult:
        if entry.digest != digest:
            return AdmissionResult(AdmissionDecision.REFUSE, ResultCode.ID_REUSED)
        if entry.running:
            return AdmissionResult(AdmissionDecision.JOIN)
        if entry.attempt:
            return AdmissionResult(AdmissionDecision.ADMIT, attempt=entry.attempt)
        if not entry.answer:
            return AdmissionResult(AdmissionDecision.REFUSE, ResultCode.ANSWER_FORGOTTEN)
        return AdmissionResult(AdmissionDecision.KEPT, entry.code, entry.answer)

    def _check_timeless(self, key: str) -> AdmissionResult:
        if fingerprint(key) in self._timeless_fingerprints:
            return AdmissionResult(AdmissionDecision.REFUSE, ResultCode.ID_EXPIRED)
        if self.timeless_lost:
            return AdmissionResult(AdmissionDecision.REFUSE, ResultCode.ID_WITHOUT_TIME)
        if self._is_full():
            return AdmissionResult(AdmissionDecision.REFUSE, ResultCode.LEDGER_FULL)
        return AdmissionResult(
            AdmissionDecision.ASK if self.taken_over_ms != NO_TIME else AdmissionDecision.ADMIT
        )

    def _new_after(self) -> int:
        """Return the Unix time in ms after which no earlier owner can have admitted an id."""
        if self.taken_over_ms == NO_TIME:
            return 0
        return self.taken_over_ms + 2 * self.bounds.skew_ms

    def _is_full(self) -> bool:
        return self.bytes + ENTRY_BYTES > self.bounds.max_bytes

    def admit(self, key: str, digest: bytes, submitted_ms: int) -> None:
        """Record an id as admitted."""
        if key not in self._entries:
            self.bytes += ENTRY_BYTES
        self._entries[key] = _Entry(digest, submitted_ms)

    def finish(self, key: str, code: ResultCode, answer: bytes) -> None:
        """Store the result code and answer of a running job."""
        entry = self._entries.get(key)
        if entry is None or not entry.running:
            return
        entry.running = False
        entry.code = code
        entry.answer = answer
        self.bytes += len(answer)

    def reopen(self, key: str, attempt: int) -> None:
        """Allow a job that is known not to have run to be admitted again from ``attempt`` on."""
        entry = self._entries.get(key)
        if entry is not None:
            entry.running = False
            entry.code = ResultCode.TASK_NOT_RUN
            entry.attempt = attempt

    def lookup(self, key: str) -> AdmissionResult | None:
        """Return the state of an id as a decision, or None when the id is unknown."""
        entry = self._entries.get(key)
        return None if entry is None else self._check_known(entry, entry.digest)

    def trim(self, now_ms: int) -> None:
        """Remove expired entries, then reduce the ledger to its size limit.

        Answers are removed before ids. A removed id stays refused: ids with a time by the
        horizon, ids without one by a fingerprint.
        """
        self.horizon_ms = max(self.horizon_ms, now_ms - self.bounds.keep_ms)
        self._drop([key for key, entry in self._entries.items() if self._is_expired(entry)])
        # Trimming starts below the limit so that new ids can still be admitted.
        high_water = self.bounds.max_bytes * 3 // 4
        if self.bytes > high_water:
            self._drop_answers()
        if self.bytes > high_water:
            self._drop_oldest()

    def _is_expired(self, entry: _Entry) -> bool:
        # An id without a time does not expire; only the size limit removes it.
        return not entry.running and NO_TIME < entry.submitted_ms <= self.horizon_ms

    def _drop_answers(self) -> None:
        for entry in self._ended():
            self.bytes -= len(entry.answer)
            entry.answer = b""
            if self.bytes <= self.bounds.max_bytes // 2:
                return

    def _drop_oldest(self) -> None:
        timed = sorted(
            (entry.submitted_ms, key)
            for key, entry in self._entries.items()
            if not entry.running and entry.submitted_ms != NO_TIME
        )
        oldest_half = timed[: len(timed) // 2]
        if oldest_half:
            self.horizon_ms = max(self.horizon_ms, oldest_half[-1][0])
        timeless = [
            key
            for key, entry in self._entries.items()
            if not entry.running and entry.submitted_ms == NO_TIME
        ]
        self._drop([key for _, key in oldest_half])
        self._drop(timeless)

    def _ended(self) -> Iterator[_Entry]:
        return (entry for entry in self._entries.values() if not entry.running)

    def _drop(self, keys: list[str]) -> None:
        for key in keys:
            entry = self._entries.pop(key)
            self.bytes -= ENTRY_BYTES + len(entry.answer)
            if entry.submitted_ms == NO_TIME:
                self._keep_fingerprint(key)

    def _keep_fingerprint(self, key: str) -> None:
        if (len(self._timeless_fingerprints) + 1) * FINGERPRINT_BYTES > self.bounds.max_bytes // 4:
            self.timeless_lost = True
            return
        self._timeless_fingerprints.add(fingerprint(key))

    def export(self) -> tuple[list[LedgerEntry], list[int]]:
        """Return the ended entries and the fingerprints, for a planned move of the shard."""
        entries = [
            LedgerEntry(key, entry.digest, entry.submitted_ms, int(entry.code), entry.answer)
            for key, entry in self._entries.items()
            if not entry.running
        ]
        return entries, sorted(self._timeless_fingerprints)

    def load(self, entries: list[LedgerEntry], fingerprints: list[int]) -> None:
        """Add the entries and fingerprints exported by another owner."""
        for each in entries:
            self.admit(each.key, each.digest, each.submitted_ms)
            self.finish(each.key, ResultCode(each.code), each.answer)
        self._timeless_fingerprints.update(fingerprints)

    def __len__(self) -> int:
        return len(self._entries)

    def has_running(self) -> bool:
        """Return whether any admitted job is still running."""
        return any(entry.running for entry in self._entries.values())
