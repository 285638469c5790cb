"""Malformed records of other writers that change state, or hide the valid records around them."""

import json
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_leased_world import assert_invariants_hold, outcome, ready_world
from test_platform_adapter import REPORT as HEARTBEAT

from gentianmux.clock import Clock
from gentianmux.codes import ResultCode
from gentianmux.errors import GentianmuxError, LogError
from gentianmux.leased.config_feed import ConfigFeed
from gentianmux.leased.directory import TOPIC, Announcement, Directory, decode_announcement
from gentianmux.leased.job_state import JobOutcome
from gentianmux.leased.model import EndpointReport
from gentianmux.leased.resources import Resources
from gentianmux.metrics import Metrics
from gentianmux.platform.config import CONFIG_SOURCE, decode_config
from gentianmux.platform.endpoint import decode_heartbeat
from gentianmux.platform.http_client import HttpReply
from gentianmux.platform.store import PlatformStore
from gentianmux.platform_log import Changes, MemoryKeyedLog, Newest
from gentianmux.settings import Settings
from gentianmux.typed_json import read_object

REPORT = EndpointReport(
    "i-1", "10.0.0.1:80", "svc", "fd", Resources(1, 2, 0), ("a",), False, 0.0, 7
)
DEEPLY_NESTED = b"[" * 200_000

scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5)
json_values = st.recursive(
    scalars, lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner)
)


@pytest.mark.parametrize(
    "field, value",
    [
        ("state", "sleeping"),
        ("state", 1),
        ("state", None),
        ("service", ["svc"]),
        ("service", None),
        ("service", ""),
        ("zone", 3),
        ("address", 5),
        ("labels", "a"),
        ("labels", [1]),
        ("seq", "4"),
        ("seq", True),
        ("seq", -1),
        ("seq", 4.5),
        ("drain_remaining_ms", float("nan")),
        ("drain_remaining_ms", "soon"),
        ("capacity", [16000, 100, 0]),
        ("capacity", {"cpu": -1, "mem_mb": 100}),
        ("capacity", {"cpu": 1.5, "mem_mb": 100}),
        ("capacity", {"cpu": float("inf"), "mem_mb": 100}),
        ("capacity", {"cpu": 10**400, "mem_mb": 100}),
        ("capacity", {"mem_mb": 100}),
    ],
)
def test_heartbeat_with_a_malformed_field_is_refused(field: str, value: object) -> None:
    with pytest.raises(ValueError):
        decode_heartbeat("i-1", {**HEARTBEAT, field: value}, "10.0.0.1:80")


@pytest.mark.parametrize("missing", ["service", "zone", "state", "capacity", "seq"])
def test_heartbeat_with_a_missing_field_is_refused(missing: str) -> None:
    content = {name: value for name, value in HEARTBEAT.items() if name != missing}
    with pytest.raises(ValueError):
        decode_heartbeat("i-1", content, "10.0.0.1:80")


@given(st.sampled_from(sorted(HEARTBEAT)), json_values)
def test_any_heartbeat_is_decoded_or_refused(field: str, value: object) -> None:
    try:
        report = decode_heartbeat("i-1", {**HEARTBEAT, field: value}, "10.0.0.1:80")
    except ValueError:
        return
    assert all(type(amount) is int and amount >= 0 for amount in report.capacity)
    assert type(report.sequence) is int
    assert isinstance(report.service, str) and report.service


@pytest.mark.parametrize("raw", [DEEPLY_NESTED, b"\xff\xfe", b"[]", b"null", b'{"a": NaN}', b""])
def test_bytes_without_a_json_object_raise_value_error(raw: bytes) -> None:
    with pytest.raises(ValueError):
        read_object(raw)


def test_deeply_nested_configuration_is_refused() -> None:
    with pytest.raises(GentianmuxError):
        decode_config(DEEPLY_NESTED)


@pytest.mark.parametrize(
    "value",
    [
        DEEPLY_NESTED,
        b"\x00\xff",
        b"[]",
        b'{"role": "overseer", "address": "10.0.0.1:7720"}',
        b'{"role": 1, "address": "10.0.0.1:7720"}',
        b'{"role": "agent", "address": 7720}',
        b'{"role": "agent", "address": "somewhere"}',
        b'{"role": "agent", "address": "10.0.0.1:99999"}',
        b'{"role": "agent", "address": "10.0.0.1:7720", "report": 5}',
        b'{"role": "agent", "address": "10.0.0.1:7720", "report": {}}',
    ],
)
def test_malformed_announcement_is_ignored(value: bytes) -> None:
    assert decode_announcement("w1", value) is None


def test_announcement_survives_encoding() -> None:
    for announcement in (
        Announcement("w1", "agent", "10.0.0.1:7720", REPORT),
        Announcement("e1", "entry", "10.0.0.2:7720"),
    ):
        assert decode_announcement(announcement.name, announcement.encode()) == announcement


@given(st.sampled_from([*REPORT._fields, "role", "address"]), json_values)
def test_any_announcement_is_decoded_or_ignored(field: str, value: object) -> None:
    content = json.loads(Announcement("w1", "agent", "10.0.0.1:7720", REPORT).encode())
    (content if field in content else content["report"])[field] = value
    found = decode_announcement("w1", json.dumps(content).encode())
    if found is not None and found.report is not None:
        assert all(type(amount) is int and amount >= 0 for amount in found.report.capacity)
        assert all(isinstance(label, str) for label in found.report.labels)


class _Store:
    """Returns fixed records; reads of changes fail."""

    def __init__(self, *records: tuple[str, bytes]) -> None:
        self.records = records

    def newest(self, topic: str) -> Newest:
        return Newest(dict(self.records), 5)

    def changes(self, topic: str, offset: int, wait_s: float) -> Changes:
        raise LogError(*_UNAVAILABLE)

    def put(self, topic: str, key: str, value: bytes) -> None:
        raise AssertionError("unexpected write")


_UNAVAILABLE = (ResultCode.LOG_UNAVAILABLE, "down")


def test_malformed_record_does_not_hide_others() -> None:
    good = Announcement("e2", "entry", "10.0.0.2:7720")
    store = _Store(("bad", DEEPLY_NESTED), ("e2", good.encode()))
    directory = Directory(store, Metrics(Settings(name="e1")))  # type: ignore[arg-type]
    found: list[Announcement] = []
    directory.on_found = found.append
    directory.follow_once()
    assert found == [good]


def test_follower_continues_after_a_callback_error() -> None:
    good = Announcement("e2", "entry", "10.0.0.2:7720")
    directory = Directory(
        _Store(("e2", good.encode())), Metrics(Settings(name="e1"))  # type: ignore[arg-type]
    )
    directory.on_found = lambda found: (_ for _ in ()).throw(KeyError("callback failed"))
    with pytest.raises(KeyError):
        directory.follow_once()
    # The next call continues after the record whose callback failed.
    directory.on_found = lambda found: pytest.fail("record was passed on twice")
    directory.follow_once()


def test_feed_ignores_a_malformed_configuration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    store = _Store((CONFIG_SOURCE.key, DEEPLY_NESTED))
    feed = ConfigFeed(CONFIG_SOURCE, store, Metrics(Settings(name="e1")), Clock())
    feed.follow_once()
    assert feed.version == -1


def test_heartbeats_of_other_writers_do_not_change_the_agent() -> None:
    world = ready_world()
    agent = world.machines["w0"].agent
    assert agent is not None and agent.report is not None
    known = agent.report
    rng = Random(5)
    for number in range(60):
        writer = rng.choice([known.endpoint, f"foreign-{number % 4}"])
        agent.on_unreadable_heartbeat(writer, "seq is no whole number")
    agent.on_report(known._replace(service="of-nobody", sequence=10**9))
    assert agent.report == known
    assert agent.is_accepting
    job = world.submit("e0", tasks=8, run_s=0.12)
    world.run(0.3)
    assert outcome(job) is JobOutcome.COMPLETED
    assert_invariants_hold(world)


def test_topic_of_announcements_is_unchanged() -> None:
    # Processes of the previous version read it during an upgrade.
    assert TOPIC == "gentianmux-members"


ODD_ANNOUNCEMENTS = (
    DEEPLY_NESTED,
    b'{"role": "agent", "address": "10.0.0.1:70000"}',
    b'{"role": "entry", "address": "10.0.0.1:70000"}',
    b'{"role": "entry", "address": "10.0.0.1"}',
    b'{"role": "agent", "address": "10.0.0.1:80", "report": {"capacity": [1e400, 1, 1]}}',
    b'{"role": "agent", "address": "10.0.0.1:80", "report": {"sequence": ' + b"9" * 5000 + b"}}",
    b'{"role": 1e400, "address": ' + b"9" * 5000 + b"}",
    b"\xff\x00",
)


class FakeHttp:
    """Returns one response to every call."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    def call(self, *args: object, **kwargs: object) -> HttpReply:
        return HttpReply(200, self._body)


def store_with(body: bytes) -> PlatformStore:
    store = PlatformStore("127.0.0.1:1")
    store._http = FakeHttp(body)  # type: ignore[assignment]
    return store


@pytest.mark.parametrize(
    "odd",
    [
        {"key": 7, "value": "e30="},
        {"key": None, "value": "e30="},
        {"key": ["w2"], "value": "e30="},
        {"key": "w2"},
        {"key": "w2", "value": "*"},
        {"key": "w2", "value": 1e300},
        {"value": "e30="},
        "w2",
        None,
    ],
)
def test_odd_item_of_a_page_hides_no_other(odd: object) -> None:
    """Guards against processes that stop following a topic for one record of another writer."""
    good = {"key": "w1", "value": "e30="}
    page = {"items": [odd, good], "has_more": False, "end": 9}
    assert store_with(json.dumps(page).encode()).newest("t") == Newest({"w1": b"{}"}, 9)


def test_record_with_odd_key_hides_no_other() -> None:
    """Guards against processes that stop following a topic for one record of another writer."""
    records = b"".join(
        len(content).to_bytes(4, "big") + content
        for content in (b"\x02\xff\xfe{}", b"\x02w1{}", b"\x00{}")
    )
    changes = store_with(bytes(16) + records).changes("t", 5, 0.0)
    assert [value for value in changes.values if value[0]] == [("w1", b"{}")]
    assert changes.end == 8


@pytest.mark.parametrize("odd", ODD_ANNOUNCEMENTS)
def test_odd_announcement_does_not_end_the_following(odd: bytes) -> None:
    """Guards against processes that stop following the announcements for an odd one."""
    store = MemoryKeyedLog()
    directory = Directory(store, Metrics(Settings()))
    found: list[str] = []
    directory.on_found = lambda each: found.append(each.name)
    for name in ("w0", "odd", "w1"):
        store.put(
            TOPIC, name, odd if name == "odd" else b'{"role": "agent", "address": "1.2.3.4:5"}'
        )
    directory.follow_once()
    store.put(TOPIC, "odd", odd)
    store.put(TOPIC, "", b"{}")
    store.put(TOPIC, "w2", b'{"role": "agent", "address": "1.2.3.4:6"}')
    directory.follow_once()
    assert found == ["w0", "w1", "w2"]
