"""Malformed settings, configurations, jobs and answers of the platform that reach the product."""

import json
import math
from pathlib import Path

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_deployment import CONFIG, served
from relay import Relay

from gentianmux.clock import boot_time
from gentianmux.codes import ResultCode
from gentianmux.errors import GentianmuxError, LogError
from gentianmux.leased.model import EndpointGone, NoAnswer, RunOutcome, StartResult
from gentianmux.leased.resources import Resources
from gentianmux.platform.callers import decode_job
from gentianmux.platform.config import decode_config
from gentianmux.platform.endpoint import PlatformEndpoint, _decode_hold_reply, decode_heartbeat
from gentianmux.platform.settings import decode_settings, read_settings_file
from gentianmux.platform.store import PlatformStore
from standins.platform_endpoint import PlatformEndpointApp
from standins.platform_store import PlatformStoreApp

REPORT = {
    "service": "svc",
    "address": "10.0.0.1:80",
    "zone": "hall-a",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 100, "gpu": 0},
    "labels": ["a", "r1"],
    "seq": 4,
}
FILE = {
    "node": "side-hall-a-1",
    "zone": "hall-a",
    "ip": "10.1.0.14",
    "port_range": [7720, 7735],
    "seeds": ["10.1.0.13:8166", "10.1.0.14:8166"],
    "app": "10.1.0.14:8165",
    "service": "huvo11a",
    "listen": {"control": "10.1.0.14:8166"},
    "bounds": {"hold_max_ms": 1500, "grace_s": 9, "unheard_of": 1},
    "platform": {"address": "10.200.1.7:8169", "keep_s": 20},
    "new_table": {},
}
SPEC = json.dumps({"ms": 200})

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(["steps", "spec", "best_effort", "count", "cpu", "after", "active", "x"]),
        inner,
        max_size=5,
    ),
    max_leaves=12,
)


def report_of(endpoint: str = "i-1"):
    return decode_heartbeat(endpoint, REPORT, "10.0.0.1:80")


# Settings and configuration


def test_settings_are_decoded() -> None:
    cfg = decode_settings("agent", FILE)
    assert cfg.peer_address == "10.1.0.14:7720"
    assert cfg.seeds == ("10.1.0.13:7720",)
    assert (cfg.failure_domain, cfg.longest_lease_s, cfg.grace_s) == ("hall-a", 1.5, 9.0)
    assert (cfg.http_address, cfg.store_retention_s) == ("10.1.0.14:8166", 20.0)


@pytest.mark.parametrize("text", ["", "node = 1", "[["])
def test_invalid_settings_raise_bad_setting(
    text: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "boot.toml"
    path.write_text(text)
    monkeypatch.setenv("GENTIANMUX_CONFIG", str(path))
    with pytest.raises(GentianmuxError) as caught:
        read_settings_file("agent")
    assert caught.value.code is ResultCode.BAD_SETTING


@pytest.mark.parametrize(
    "line", ["bounds = 1", "seeds = [1]", f"limits = {{ link_mbps = {10**400} }}"]
)
def test_settings_of_wrong_types_raise_bad_setting(
    line: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a traceback at the start, and a reload loop that ends for good."""
    path = tmp_path / "boot.toml"
    valid = 'node = "n"\nzone = "z"\nip = "10.1.0.1"\nport_range = [7720]\n'
    tables = '[listen]\ncontrol = "10.1.0.1:1"\n[platform]\naddress = "10.2.0.1:1"\n'
    path.write_text(valid + tables)
    monkeypatch.setenv("GENTIANMUX_CONFIG", str(path))
    assert read_settings_file("agent").name == "n"
    path.write_text(f"{valid}{line}\n{tables}")
    with pytest.raises(GentianmuxError) as caught:
        read_settings_file("agent")
    assert caught.value.code is ResultCode.BAD_SETTING


def test_configuration_is_decoded() -> None:
    config = decode_config((CONFIG % 7).encode())
    (queue,) = config.queues
    assert (config.version, queue.host, queue.prefix) == (7, "h.example", "/q/")
    assert (queue.max_attempts, queue.stretch, queue.target_ms) == (2, 1.6, 60)
    assert config.limits.max_body_bytes == 262144


@pytest.mark.parametrize("raw", [b"", b"[]", b"{}", b'{"version": 1, "routes": [{}]}', b"\xff"])
def test_malformed_configuration_raises_change_invalid(raw: bytes) -> None:
    with pytest.raises(GentianmuxError) as caught:
        decode_config(raw)
    assert caught.value.code is ResultCode.CHANGE_INVALID


# Jobs, polls and heartbeats


@given(json_values)
def test_any_body_is_decoded_or_refused(content: object) -> None:
    try:
        spec = decode_job("0" * 16, json.dumps(content).encode())
    except GentianmuxError as exc:
        assert exc.code.info.http_status in (400, 422)
    else:
        assert all(step.tasks >= 1 for step in spec.steps)
        assert all(math.isfinite(step.estimate_ms) for step in spec.steps)


@given(json_values)
def test_any_poll_answer_is_decoded_or_counts_as_no_answer(content: object) -> None:
    if isinstance(content, dict):
        try:
            _decode_hold_reply({"ended_runs": [], **content}, 1.0)
        except NoAnswer:
            return


def test_heartbeat_is_decoded() -> None:
    report = decode_heartbeat(
        "i-1", {**REPORT, "state": "draining", "drain_remaining_ms": 1500}, ""
    )
    assert report.draining
    assert report.drain_remaining_s == 1.5
    assert report.capacity == Resources(16000, 100, 0)


# The store


def test_newest_values_are_read_over_many_pages() -> None:
    app = PlatformStoreApp()
    for number in range(1200):
        app.put("keyed.t", f"k{number % 1100}", str(number).encode())
    app.put("keyed.t", "k5", b"")
    with served(app) as address:
        newest = PlatformStore(address).newest("t")
    assert len(newest.values) == 1099
    assert newest.values["k99"] == b"1199"
    assert newest.end == 1201


def test_changes_are_awaited_and_ordered() -> None:
    app = PlatformStoreApp()
    with served(app) as address:
        store = PlatformStore(address)
        store.put("t", "a", b"1")
        gevent.spawn_later(0.05, app.put, "keyed.t", "b", b"2")
        first = store.changes("t", 0, 1.0)
        second = store.changes("t", first.end, 1.0)
    assert first.values == [("a", b"1")]
    assert second.values == [("b", b"2")]
    assert second.end == 2


def test_trimmed_history_is_distinguished_from_refusal_and_outage() -> None:
    app = PlatformStoreApp(max_writes_per_s=1)
    with served(app) as address:
        store = PlatformStore(address)
        app.put("keyed.t", "a", b"1")
        app.drop_history()
        with pytest.raises(LogError) as gone:
            store.changes("t", 0, 0.1)
        store.put("t", "b", b"2")
        with pytest.raises(LogError) as refused:
            for _ in range(3):
                store.put("t", "b", b"3")
        assert store.newest("t").values["a"] == b"1"
    with pytest.raises(LogError) as silent:
        store.newest("t")
    assert gone.value.code is ResultCode.LOG_TRIMMED
    assert refused.value.code is silent.value.code is ResultCode.LOG_UNAVAILABLE


def test_unanswered_write_can_be_repeated() -> None:
    app = PlatformStoreApp()
    app.unanswered_calls = 1
    with served(app) as address:
        store = PlatformStore(address)
        with pytest.raises(LogError):
            store.put("t", "a", b"1")
        store.put("t", "a", b"1")
        assert store.newest("t").values == {"a": b"1"}


def test_one_unanswered_call_ends_the_use_of_all_stalled_connections() -> None:
    """Guards against a configuration that waits for two timeouts after connections stalled."""
    app = PlatformStoreApp()
    with served(app) as address:
        relay = Relay(address)
        store = PlatformStore(relay.address)
        reader = gevent.spawn(store.changes, "t", 0, 1.0)
        gevent.sleep(0.05)
        store.put("t", "a", b"1")
        reader.get()
        assert relay.connections == 2
        relay.silence()
        with pytest.raises(LogError):
            store.changes("t", 1, 0.0)
        assert store.newest("t").values == {"a": b"1"}
        relay.stop()


@pytest.mark.parametrize("malformed_body", [b"[]", b"{}", b"\x00" * 30, b"x"])
def test_malformed_answer_of_the_store_raises_log_error(malformed_body: bytes) -> None:
    app = PlatformStoreApp()
    app.malformed_body = malformed_body
    with served(app) as address:
        store = PlatformStore(address)
        with pytest.raises(LogError):
            store.newest("t")
        with pytest.raises(LogError):
            store.changes("t", 5, 0.0)
            raise LogError(ResultCode.LOG_UNAVAILABLE, "30 zero bytes hold no record")


# The endpoint


def test_run_is_started_listed_and_acknowledged() -> None:
    app = PlatformEndpointApp("i-1")
    with served(app) as address:
        driver = PlatformEndpoint(address, 0.05)
        driver.attach(report_of())
        driver.hold(0, 0.0, 0.5, 1.0)
        assert driver.start("t", 1, SPEC, 0.5, boot_time()) is StartResult.STARTED
        assert [run.task for run in driver.hold(0, 0.0, 0.5, 1.0).active] == ["t"]
        ended = driver.hold(0, 1.0, 0.5, 2.0).ended
        assert [(row.task, row.how) for row in ended] == [("t", RunOutcome.DONE)]
        assert driver.hold(ended[0].number, 0.0, 0.5, 1.0).ended == ()
        assert driver.start("t", 1, SPEC, 0.5, boot_time()) is StartResult.OLD_RUN


def test_later_agent_fences_off_an_earlier_one() -> None:
    app = PlatformEndpointApp("i-1")
    with served(app) as address:
        earlier, later = PlatformEndpoint(address, 0.05), PlatformEndpoint(address, 0.05)
        earlier.attach(report_of())
        earlier.hold(0, 0.0, 0.5, 1.0)
        gevent.sleep(0.05)
        later.attach(report_of())
        later.hold(0, 0.0, 0.5, 1.0)
        assert earlier.start("t", 1, SPEC, 0.5, boot_time()) is StartResult.REFUSED
        assert later.start("t", 1, SPEC, 0.5, boot_time()) is StartResult.STARTED


def test_stop_prevents_a_start_in_flight() -> None:
    app = PlatformEndpointApp("i-1")
    app.delayed_starts = 1
    app.start_delay_s = 0.1
    with served(app) as address:
        driver = PlatformEndpoint(address, 0.05)
        driver.attach(report_of())
        driver.hold(0, 0.0, 0.5, 1.0)
        assert driver.start("t", 1, SPEC, 0.5, boot_time()) is StartResult.NO_ANSWER
        assert driver.stop("t", 1)
        gevent.sleep(0.2)
        assert app.active() == []


def test_other_endpoint_is_detected() -> None:
    app = PlatformEndpointApp("i-2")
    with served(app) as address:
        driver = PlatformEndpoint(address, 0.05)
        driver.attach(report_of("i-1"))
        with pytest.raises(EndpointGone):
            driver.hold(0, 0.0, 0.5, 1.0)
        assert driver.start("t", 1, SPEC, 0.5, boot_time()) is StartResult.REPLACED


def test_probe_identifies_the_endpoint_without_side_effects() -> None:
    app = PlatformEndpointApp("i-2")
    with served(app) as address:
        driver = PlatformEndpoint(address, 0.05)
        driver.attach(report_of("i-2"))
        driver.hold(0, 0.0, 0.5, 1.0)
        fence = app.fence
        assert driver.is_present(report_of("i-2")) is True
        assert driver.is_present(report_of("i-1")) is False
        assert driver.start("t", 1, SPEC, 0.5, boot_time()) is StartResult.STARTED
        assert app.fence == fence
    assert driver.is_present(report_of("i-2")) is None


def test_lease_expires_without_renewal() -> None:
    app = PlatformEndpointApp("i-1")
    with served(app) as address:
        driver = PlatformEndpoint(address, 0.05)
        driver.attach(report_of())
        driver.hold(0, 0.0, 0.3, 1.0)
        driver.start("t", 1, json.dumps({"ms": 5000}), 0.3, boot_time())
        gevent.sleep(0.5)
        (row,) = driver.hold(0, 0.0, 0.0, 1.0).ended
        assert row.how is RunOutcome.LOST
