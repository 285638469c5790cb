"""The ledger admits an id once, and forgets only into refusals."""

from gentianmux.codes import ResultCode
from gentianmux.ids import NO_TIME
from gentianmux.ledger import ENTRY_BYTES, AdmissionDecision, Ledger, LedgerBounds

BOUNDS = LedgerBounds(keep_ms=60_000, skew_ms=1_000, max_bytes=20 * ENTRY_BYTES)


def test_an_id_is_admitted_once_then_joined_then_answered() -> None:
    ledger = Ledger(BOUNDS)
    assert ledger.check("m/a", b"d", 100_000, 100_000).decision is AdmissionDecision.ADMIT
    ledger.admit("m/a", b"d", 100_000)
    assert ledger.check("m/a", b"d", 100_000, 100_001).decision is AdmissionDecision.JOIN
    ledger.finish("m/a", ResultCode.OK, b"answer")
    ruling = ledger.check("m/a", b"d", 100_000, 100_002)
    assert (ruling.decision, ruling.answer) == (AdmissionDecision.KEPT, b"answer")


def test_an_id_with_another_body_is_refused() -> None:
    ledger = Ledger(BOUNDS)
    ledger.admit("m/a", b"d", 100_000)
    assert ledger.check("m/a", b"other", 100_000, 100_001).code is ResultCode.ID_REUSED


def test_what_was_forgotten_is_refused_not_admitted() -> None:
    ledger = Ledger(BOUNDS)
    ledger.admit("m/a", b"d", 100_000)
    ledger.finish("m/a", ResultCode.OK, b"answer")
    ledger.trim(100_000 + BOUNDS.keep_ms + 1)
    assert len(ledger) == 0
    assert ledger.check("m/a", b"d", 100_000, 170_000).code is ResultCode.ID_EXPIRED


def test_over_its_bytes_it_drops_answers_then_ids_and_refuses_both() -> None:
    ledger = Ledger(BOUNDS)
    for number in range(30):
        ledger.admit(f"m/{number}", b"d", 100_000 + number)
        ledger.finish(f"m/{number}", ResultCode.OK, b"x" * 100)
    ledger.trim(100_100)
    assert ledger.bytes <= BOUNDS.max_bytes
    verdicts = {
        ledger.check(f"m/{number}", b"d", 100_000 + number, 100_200).code for number in range(30)
    }
    assert verdicts == {ResultCode.ID_EXPIRED, ResultCode.ANSWER_FORGOTTEN}


def test_a_forgotten_id_without_a_time_is_never_admitted_again() -> None:
    ledger = Ledger(BOUNDS)
    for number in range(400):
        key = f"m/{number}"
        if ledger.check(key, b"d", NO_TIME, 100_000).decision is AdmissionDecision.ADMIT:
            ledger.admit(key, b"d", NO_TIME)
            ledger.finish(key, ResultCode.OK, b"x" * 2000)
        ledger.trim(100_000)
    again = {ledger.check(f"m/{number}", b"d", NO_TIME, 100_000).decision for number in range(400)}
    assert AdmissionDecision.ADMIT not in again
    assert ledger.timeless_lost


def test_after_a_take_over_only_younger_ids_are_surely_new() -> None:
    ledger = Ledger(BOUNDS, taken_over_ms=100_000)
    assert ledger.check("m/a", b"d", 99_000, 100_001).decision is AdmissionDecision.ASK
    assert ledger.check("m/b", b"d", 101_999, 100_001).decision is AdmissionDecision.ASK
    assert ledger.check("m/c", b"d", 102_001, 102_002).decision is AdmissionDecision.ADMIT
    assert ledger.check("m/d", b"d", NO_TIME, 200_000).decision is AdmissionDecision.ASK


def test_a_job_proved_not_to_have_run_is_admitted_again_from_the_next_attempt() -> None:
    ledger = Ledger(BOUNDS)
    ledger.admit("m/a", b"d", 100_000)
    ledger.reopen("m/a", attempt=3)
    ruling = ledger.check("m/a", b"d", 100_000, 100_001)
    assert (ruling.decision, ruling.attempt) == (AdmissionDecision.ADMIT, 3)
    assert ledger.check("m/a", b"x", 100_000, 100_001).code is ResultCode.ID_REUSED


def test_a_planned_move_loses_nothing() -> None:
    ledger = Ledger(BOUNDS)
    ledger.admit("m/a", b"d", 100_000)
    ledger.finish("m/a", ResultCode.OK, b"answer")
    moved = Ledger(BOUNDS)
    moved.load(*ledger.export())
    assert moved.check("m/a", b"d", 100_000, 100_001).answer == b"answer"
