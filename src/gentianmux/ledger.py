"""The ledger of one shard: which ids were admitted, and how their jobs ended."""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from .codes import ResultCode
from .ids import NO_TIME, fingerprint
from .messages import LedgerEntry

ENTRY_BYTES = 600
FINGERPRINT_BYTES = 64


class AdmissionDecision(Enum):
    """What the ledger says of a submission."""

    ADMIT = "admit"
    JOIN = "join"
    KEPT = "kept"
    ASK = "ask"
    REFUSE = "refuse"


class AdmissionResult(NamedTuple):
    """A verdict, with the code of a refusal or of a kept answer."""

    decision: AdmissionDecision
    code: ResultCode = ResultCode.OK
    answer: bytes = b""
    attempt: int = 0


class LedgerBounds(NamedTuple):
    """How long and how much a ledger keeps; times in ms, size in bytes."""

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
    """Admits each id once, for as long as it can know that the id is new.

    Parameters
    ----------
    bounds : LedgerBounds
        What it may keep.
    taken_over_ms : int
        Unix time at which the shard was taken over without its ledger; ``NO_TIME`` when the
        ledger is whole.

    Examples
    --------
    >>> ledger = Ledger(LedgerBounds(60_000, 1_000, 100_000))
    >>> ledger.check("m/a", b"digest", 5_000, 5_000).decision
    <Verdict.ADMIT: 'admit'>
    >>> ledger.admit("m/a", b"digest", 5_000)
    >>> ledger.check("m/a", b"digest", 5_000, 5_001).decision
    <Verdict.JOIN: 'join'>
    """

    def __init__(self, bounds: LedgerBounds, taken_over_ms: int = NO_TIME) -> None:
        self.bounds = bounds
        self.taken_over_ms = taken_over_ms
        self.horizon_ms = 0
        self.timeless_lost = False
        self.bytes = 0
        self._entries: dict[str, _Entry] = {}
        self._seen: set[int] = set()

    def check(self, key: str, digest: bytes, submitted_ms: int, now_ms: int) -> AdmissionResult:
        """Say what to do with a submission; changes nothing."""
        entry = self._entries.get(key)
        if entry is not None:
            return self._rule_known(entry, digest)
        if submitted_ms == NO_TIME:
            return self._rule_timeless(key)
        if submitted_ms <= max(self.horizon_ms, now_ms - self.bounds.keep_ms):
            return AdmissionResult(AdmissionDecision.REFUSE, ResultCode.ID_EXPIRED)
        if self._is_full():
            return AdmissionResult(AdmissionDecision.REFUSE, ResultCode.LEDGER_FULL)
        if submitted_ms <= self._new_after():
            return AdmissionResult(AdmissionDecision.ASK)
        return AdmissionResult(AdmissionDecision.ADMIT)

    def _rule_known(self, entry: _Entry, digest: bytes) -> AdmissionResult:
        if entry.digest != digest:
            return AdmissionResult(AdmissionDecision.REFUSE, ResultCode.ID_REUSED)
        if entry.running:
            return AdmissionResult(AdmissionDecision.JOIN)
        if entry.attempt:
            return AdmissionResult(AdmissionDecision.ADMIT, attempt=entry.attempt)
        if not entry.answer:
            return AdmissionResult(AdmissionDecision.REFUSE, ResultCode.ANSWER_FORGOTTEN)
        return AdmissionResult(AdmissionDecision.KEPT, entry.code, entry.answer)

    def _rule_timeless(self, key: str) -> AdmissionResult:
        if fingerprint(key) in self._seen:
            return AdmissionResult(AdmissionDecision.REFUSE, ResultCode.ID_EXPIRED)
        if self.timeless_lost:
            return AdmissionResult(AdmissionDecision.REFUSE, ResultCode.ID_WITHOUT_TIME)
        if self._is_full():
            return AdmissionResult(AdmissionDecision.REFUSE, ResultCode.LEDGER_FULL)
        return AdmissionResult(
            AdmissionDecision.ASK if self.taken_over_ms != NO_TIME else AdmissionDecision.ADMIT
        )

    def _new_after(self) -> int:
        """Ids whose time is later than this cannot have been admitted by an earlier owner."""
        if self.taken_over_ms == NO_TIME:
            return 0
        return self.taken_over_ms + 2 * self.bounds.skew_ms

    def _is_full(self) -> bool:
        return self.bytes + ENTRY_BYTES > self.bounds.max_bytes

    def admit(self, key: str, digest: bytes, submitted_ms: int) -> None:
        """Note an id as admitted."""
        if key not in self._entries:
            self.bytes += ENTRY_BYTES
        self._entries[key] = _Entry(digest, submitted_ms)

    def finish(self, key: str, code: ResultCode, answer: bytes) -> None:
        """Keep how a job ended."""
        entry = self._entries.get(key)
        if entry is None or not entry.running:
            return
        entry.running = False
        entry.code = code
        entry.answer = answer
        self.bytes += len(answer)

    def reopen(self, key: str, attempt: int) -> None:
        """Let a job that is proved not to have run be admitted again, from this attempt on."""
        entry = self._entries.get(key)
        if entry is not None:
            entry.running = False
            entry.code = ResultCode.TASK_NOT_RUN
            entry.attempt = attempt

    def lookup(self, key: str) -> AdmissionResult | None:
        """What is known of an id, without a submission; None for nothing."""
        entry = self._entries.get(key)
        return None if entry is None else self._rule_known(entry, entry.digest)

    def trim(self, now_ms: int) -> None:
        """Forget what is older than the window, then what is over the bound on bytes.

        Answers go before ids, and an id that goes leaves a refusal behind: the horizon for ids
        with a time, a fingerprint for those without.
        """
        self.horizon_ms = max(self.horizon_ms, now_ms - self.bounds.keep_ms)
        self._drop([key for key, entry in self._entries.items() if self._is_old(entry)])
        # Room is made before the bound is reached, so that new ids find some.
        high = self.bounds.max_bytes * 3 // 4
        if self.bytes > high:
            self._drop_answers()
        if self.bytes > high:
            self._drop_oldest()

    def _is_old(self, entry: _Entry) -> bool:
        # An id without a time stays until the bound on bytes pushes it out.
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
                self._remember_timeless(key)

    def _remember_timeless(self, key: str) -> None:
        if (len(self._seen) + 1) * FINGERPRINT_BYTES > self.bounds.max_bytes // 4:
            self.timeless_lost = True
            return
        self._seen.add(fingerprint(key))

    def export(self) -> tuple[list[LedgerEntry], list[int]]:
        """All ended entries and fingerprints, for a planned move."""
        entries = [
            LedgerEntry(key, entry.digest, entry.submitted_ms, int(entry.code), entry.answer)
            for key, entry in self._entries.items()
            if not entry.running
        ]
        return entries, sorted(self._seen)

    def load(self, entries: list[LedgerEntry], fingerprints: list[int]) -> None:
        """Take in what another owner exported."""
        for each in entries:
            self.admit(each.key, each.digest, each.submitted_ms)
            self.finish(each.key, ResultCode(each.code), each.answer)
        self._seen.update(fingerprints)

    def __len__(self) -> int:
        return len(self._entries)

    def has_running(self) -> bool:
        """Whether any admitted job has not ended."""
        return any(entry.running for entry in self._entries.values())
