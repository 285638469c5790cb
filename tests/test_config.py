"""Guards against divergent configuration after concurrent, repeated or invalid changes, and
against bad imports, lost replies of the log and settings that are not validated."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianmux.codes import ResultCode
from gentianmux.config_state import Change, ConfigState
from gentianmux.errors import LogError
from gentianmux.inventory import diff, read_inventory, read_rules
from gentianmux.platform_log import MemoryLog, Record
from gentianmux.publish import publish
from gentianmux.settings import read_settings


def replay(*changes: Change) -> ConfigState:
    state = ConfigState()
    for offset, change in enumerate(changes):
        state.apply(Record(offset, change.to_json()))
    return state


def test_first_of_two_conflicting_changes_wins() -> None:
    one = Change("a", -1, {"member/x": {"weight": 1}}, [])
    other = Change("b", -1, {"member/x": {"weight": 2}}, [])
    state = replay(one, other)
    assert state.items["member/x"] == {"weight": 1}
    assert state.outcomes["b"].code is ResultCode.CHANGE_CONFLICT
    assert state.version == 0


def test_changes_to_different_items_do_not_conflict() -> None:
    state = replay(Change("a", -1, {"member/x": {}}, []), Change("b", -1, {"member/y": {}}, []))
    assert state.version == 1


def test_repeated_change_is_ignored() -> None:
    change = Change("a", -1, {"member/x": {}}, [])
    assert replay(change, change).version == 0


def test_invalid_change_is_rejected_atomically_with_all_faults() -> None:
    bad = {"member/x": {"weight": 0, "claim": 2}, "service/s": {}, "member/y": {}}
    state = replay(Change("a", -1, bad, []))
    assert state.items == {}
    assert state.outcomes["a"].code is ResultCode.CHANGE_INVALID
    assert len(state.outcomes["a"].faults) == 3


def test_member_with_services_cannot_be_removed() -> None:
    items = {"member/x": {}, "service/s": {"member": "x"}}
    state = replay(Change("a", -1, items, []), Change("b", 0, {}, ["member/x"]))
    assert state.outcomes["b"].code is ResultCode.CHANGE_INVALID
    assert "member/x" in state.items


@pytest.mark.parametrize("member", [["x"], {"x": 1}, 4])
def test_service_of_malformed_member_is_a_fault_while_a_member_is_removed(member: object) -> None:
    """Guards against a fault of one item that ends the check of a whole change."""
    change = Change("b", 0, {"service/s": {"member": member}}, ["member/x"])
    state = replay(Change("a", -1, {"member/x": {}}, []), change)
    assert state.outcomes["b"].code is ResultCode.CHANGE_INVALID
    assert "member/x" in state.items


@given(st.permutations(range(6)), st.lists(st.integers(0, 5), max_size=6))
def test_replicas_converge_and_versions_never_decrease(
    order: list[int], repeats: list[int]
) -> None:
    made = [Change(f"c{n}", n % 3 - 1, {f"member/m{n % 2}": {"weight": n + 1}}, []) for n in order]
    log = made + [made[n] for n in repeats]
    one, other = ConfigState(), ConfigState()
    versions = []
    for offset, change in enumerate(log):
        one.apply(Record(offset, change.to_json()))
        versions.append(one.version)
    for offset, change in enumerate(log):
        other.apply(Record(offset, change.to_json()))
    assert one.snapshot() == other.snapshot()
    assert versions == sorted(versions)


def test_inventory_faults_report_line_numbers() -> None:
    text = "name,failure_domain,cores\nw1,fd1,16\nw1,fd1,x\n,fd1,4\nw2,,4\n"
    found = read_inventory(text, False)
    assert [fault.line for fault in found.faults] == [3, 3, 4, 5]
    assert list(found.items) == ["worker/w1"]


def test_digit_that_is_no_decimal_is_a_fault_of_its_line() -> None:
    """Guards against characters such as a superscript two, which count as digits."""
    found = read_inventory("name,failure_domain,cores\nw1,fd1,\u00b2\n", False)
    assert [fault.line for fault in found.faults] == [2]


@pytest.mark.parametrize("section", ["members", "teams", "services"])
@pytest.mark.parametrize("entries", [[], None, "x", 0])
def test_rules_section_that_is_no_object_is_a_fault(section: str, entries: object) -> None:
    """Guards against an import that removes every item of a malformed section."""
    found = read_rules(json.dumps({section: entries}))
    assert [fault.problem for fault in found.faults] == [
        f"{section} must be an object of named items"
    ]


def test_csv_and_json_inventories_agree() -> None:
    csv_text = "name,rack,failure_domain,cores\nw1,r1,fd1,16\n"
    json_text = '[{"name":"w1","rack":"r1","failure_domain":"fd1","cores":16}]'
    assert read_inventory(csv_text, False) == read_inventory(json_text, True)


@given(st.text(max_size=200), st.booleans())
def test_arbitrary_text_parses_or_reports_faults(text: str, is_json: bool) -> None:
    found = read_inventory(text, is_json)
    assert found.faults or all(key.startswith("worker/") for key in found.items)
    read_rules(text)


def test_import_changes_only_differing_items_of_its_kinds() -> None:
    state = replay(Change("a", -1, {"member/x": {}, "worker/w": {"failure_domain": "f"}}, []))
    change = diff(state, {"worker/v": {"failure_domain": "f"}}, ["worker"])
    assert (list(change.set), change.remove, change.based_on) == (["worker/v"], ["worker/w"], 0)


class LossyLog(MemoryLog):
    """Performs every append, but loses the reply of the first and every second one after it."""

    count = 0

    def append(self, stream: str, data: str) -> int:
        offset = super().append(stream, data)
        self.count += 1
        if self.count % 2:
            raise LogError(ResultCode.LOG_UNAVAILABLE)
        return offset


def test_publish_finds_its_change_after_a_lost_reply() -> None:
    log = LossyLog()
    done = publish(log, Change("a", -1, {"member/x": {}}, []), 5, lambda: None)
    assert done.code is ResultCode.OK
    assert log.count == 1


def test_publish_returns_unknown_while_the_log_is_unavailable() -> None:
    class UnavailableLog(MemoryLog):
        def read(self, stream: str, offset: int, limit: int = 0) -> list[Record]:
            raise LogError(ResultCode.LOG_UNAVAILABLE)

    done = publish(UnavailableLog(), Change("a", -1, {}, []), 3, lambda: None)
    assert done.code is ResultCode.CHANGE_UNKNOWN


def test_all_settings_faults_are_reported_together() -> None:
    faults = read_settings(
        {"slots": "0", "role": "king", "peer_address": "300.0.0.1:1"}, {"GENTIANMUX_TYPO": "1"}
    ).failure()
    assert sorted(fault.setting for fault in faults) == [
        "GENTIANMUX_TYPO",
        "peer_address",
        "role",
        "slots",
    ]


def test_flag_takes_precedence_over_environment_variable() -> None:
    cfg = read_settings({"slots": "4"}, {"GENTIANMUX_SLOTS": "5", "GENTIANMUX_NAME": "n"}).unwrap()
    assert (cfg.slots, cfg.name) == (4, "n")
