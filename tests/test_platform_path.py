"""End-to-end tests of entries and agents as separate processes against stand-ins on loopback."""

import json
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest
from platform_deployment import CONFIG, Deployment, job_body
from test_malformed_records import ODD_ANNOUNCEMENTS

COMPLETED = b'{"state": "completed"}'


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    running = Deployment(tmp_path)
    try:
        running.start_all()
        yield running
    finally:
        running.stop()


def starts(deployment: Deployment) -> list[tuple[str, int]]:
    return [start for each in deployment.endpoints.values() for start in each.starts]


def test_job_is_answered_when_all_tasks_are_done(deployment: Deployment) -> None:
    status, body = deployment.submit("00000000000000a1", job_body(tasks=12))
    assert (status, body) == (200, COMPLETED)
    assert len(set(starts(deployment))) == 12
    failed = deployment.submit("00000000000000a2", job_body(tasks=1, fail=True))
    assert failed == (200, b'{"state": "failed"}')
    # The queue allows two attempts.
    assert sum(task.startswith("00000000000000a2") for task, _ in starts(deployment)) == 2
    gevent.sleep(0.3)
    for endpoint in deployment.endpoints.values():
        assert endpoint.acknowledged >= sum(1 for _ in endpoint.starts)
        assert endpoint.peak_cpu <= endpoint.cpu


def test_invalid_input_is_refused_and_starts_nothing(deployment: Deployment) -> None:
    cases = {
        "not json": (400, "bad_json"),
        "[]": (400, "bad_json"),
        "{}": (422, "not_served"),
        '{"best_effort": true}': (400, "bad_field"),
        '{"best_effort": true, "steps": [{"count": "4"}]}': (400, "bad_field"),
        '{"best_effort": true, "steps": [{"count": 1, "gang": true}]}': (422, "not_served"),
        '{"best_effort": true, "steps": [{"count": 1, "after": [0]}]}': (400, "bad_field"),
        '{"best_effort": true, "spec": "\\ud800", "steps": [{"count": 1}]}': (400, "bad_field"),
        '{"best_effort": true, "steps": [{"count": 5000}]}': (400, "too_many_tasks"),
        "x" * 300_000: (413, "body_too_large"),
    }
    for number, (body, (status, name)) in enumerate(cases.items()):
        answer = deployment.submit(f"00000000000000b{number:x}", body)
        assert (answer[0], json.loads(answer[1])["name"]) == (status, name), body[:60]
    assert deployment.submit("nonsense", job_body())[0] == 400
    assert deployment.get("front-0", "front", "/other/")[0] == 404
    assert deployment.get("front-0", "front", "/q/") == (200, b'{"pending": 0}')
    assert deployment.get("front-0", "front", "/q/00000000000000a1")[0] == 410
    assert starts(deployment) == []


def test_new_configuration_takes_effect_and_older_ones_are_ignored(deployment: Deployment) -> None:
    renamed = CONFIG.replace("/q/", "/new/")
    deployment.store.put("keyed.op", "config", (renamed % 5).encode())
    deadline = time.monotonic() + 2.0
    while deployment.get("front-0", "front", "/new/")[0] != 200:
        assert time.monotonic() < deadline
        gevent.sleep(0.02)
    assert deployment.get("front-0", "front", "/q/")[0] == 404
    deployment.store.put("keyed.op", "config", (CONFIG % 4).encode())
    deployment.store.put("keyed.op", "config", b"garbage")
    gevent.sleep(0.3)
    assert deployment.get("front-0", "front", "/new/")[0] == 200
    assert "configuration unreadable" in deployment.log_of("front-0")


def test_restarted_entry_serves_during_a_store_outage(deployment: Deployment) -> None:
    deployment.store.error_status = 503
    deployment.processes["front-0"].kill()
    deployment.processes["front-0"].wait()
    deployment.start("front-0", "entry")
    deployment.wait_ready()
    assert deployment.submit("00000000000000c1", job_body()) == (200, COMPLETED)
    assert "store lost" in deployment.log_of("front-0")


def test_stopped_entry_answers_accepted_jobs(deployment: Deployment) -> None:
    answer = gevent.spawn(deployment.submit, "00000000000000d1", job_body(run_ms=1500))
    gevent.sleep(0.3)
    deployment.processes["front-0"].send_signal(signal.SIGTERM)
    gevent.sleep(0.3)
    assert deployment.get("front-0", "ready", "/v1/ready")[0] == 503
    assert deployment.submit("00000000000000d2", job_body()) == (200, COMPLETED)
    assert answer.get(timeout=8) == (200, COMPLETED)
    assert deployment.processes["front-0"].wait(timeout=8) == 0


def test_stopped_agent_completes_its_runs(deployment: Deployment) -> None:
    answer = gevent.spawn(deployment.submit, "00000000000000e1", job_body(tasks=10, run_ms=1200))
    gevent.sleep(0.4)
    deployment.processes["side-0"].send_signal(signal.SIGTERM)
    assert answer.get(timeout=8) == (200, COMPLETED)
    assert len(starts(deployment)) == 10
    assert deployment.processes["side-0"].wait(timeout=8) == 0


def test_job_completes_after_an_agent_is_killed(deployment: Deployment) -> None:
    answer = gevent.spawn(deployment.submit, "00000000000000f1", job_body(tasks=10, run_ms=1000))
    gevent.sleep(0.4)
    deployment.processes["side-0"].kill()
    deployment.processes["side-0"].wait()
    deployment.start("side-0", "agent")
    assert answer.get(timeout=9) == (200, COMPLETED)
    for endpoint in deployment.endpoints.values():
        assert endpoint.peak_cpu <= endpoint.cpu


def test_unanswered_and_delayed_starts_cause_no_second_run(deployment: Deployment) -> None:
    for endpoint in deployment.endpoints.values():
        endpoint.unanswered_calls = 2
        endpoint.delayed_starts = 2
    status, body = deployment.submit("0000000000000101", job_body(tasks=10, run_ms=300))
    assert (status, body) == (200, COMPLETED)
    gevent.sleep(0.7)
    for endpoint in deployment.endpoints.values():
        assert endpoint.peak_cpu <= endpoint.cpu
        assert endpoint.active() == []


def test_malformed_answers_of_endpoint_and_store_end_no_process(deployment: Deployment) -> None:
    for endpoint in deployment.endpoints.values():
        endpoint.malformed_body = b"\x00garbage"
    deployment.store.malformed_body = b"[1, 2]"
    deployment.store.put("keyed.op", "config", (CONFIG % 9).encode())
    gevent.sleep(1.0)
    refused = deployment.submit("0000000000000111", job_body())
    assert refused[0] == 503
    for endpoint in deployment.endpoints.values():
        endpoint.malformed_body = b""
    deployment.store.malformed_body = b""
    gevent.sleep(0.8)
    assert deployment.submit("0000000000000112", job_body()) == (200, COMPLETED)
    assert all(process.poll() is None for process in deployment.processes.values())


def test_job_stops_when_its_caller_disconnects(deployment: Deployment) -> None:
    ip, port = deployment.ip_of("front-0"), deployment.ports["front"]
    body = job_body(tasks=4, run_ms=4000).encode()
    head = f"POST /q/0000000000000121 HTTP/1.1\r\nHost: h.example\r\nContent-Length: {len(body)}"
    with socket.create_connection((ip, port)) as sock:
        sock.sendall(head.encode() + b"\r\n\r\n" + body)
        gevent.sleep(0.5)
    gevent.sleep(0.5)
    assert [run for each in deployment.endpoints.values() for run in each.active()] == []


def test_draining_endpoint_receives_no_new_runs(deployment: Deployment) -> None:
    deployment.endpoints["side-0"].draining = True
    gevent.sleep(0.6)
    before = len(deployment.endpoints["side-0"].starts)
    for number in range(4):
        job_id = f"000000000000013{number}"
        answer = deployment.submit(job_id, job_body())
        assert answer == (200, COMPLETED), deployment.log_lines(job_id, "endpoint", "peer", "poll")
    assert len(deployment.endpoints["side-0"].starts) == before


def test_metrics_and_decision_log(deployment: Deployment) -> None:
    deployment.submit("0000000000000141", job_body())
    status, text = deployment.get("front-0", "metrics", "/metrics")
    assert status == 200
    assert b'gentianmux_jobs_ended_total{label="completed"} 1.0' in text
    assert b"gentianmux_job_seconds_bucket" in text
    assert b"gentianmux_runs_ended_total" in deployment.get("side-0", "metrics", "/metrics")[1]
    gevent.sleep(0.2)
    events = [json.loads(line) for line in deployment.log_of("front-0").splitlines()]
    placed, ended = [event for event in events if event.get("job") == "0000000000000141"]
    assert (placed["event"], ended["event"]) == ("runs placed", "job ended")
    assert placed["config_version"] == 1
    assert placed["load_age_ms"] < 1000
    assert ended["outcome"] == "completed"
    assert events[0]["event"] == "started"


def test_slow_request_times_out_and_starts_nothing(deployment: Deployment) -> None:
    quick = CONFIG.replace("15000", "400").replace("3000", "400")
    deployment.store.put("keyed.op", "config", (quick % 2).encode())
    gevent.sleep(0.5)
    target = (deployment.ip_of("front-0"), deployment.ports["front"])
    body = job_body().encode()
    head = f"POST /q/0000000000000151 HTTP/1.1\r\nHost: h.example\r\nContent-Length: {len(body)}"
    with socket.create_connection(target, timeout=5) as sock:
        sock.sendall(head.encode() + b"\r\n\r\n" + body[:20])
        assert sock.recv(100).startswith(b"HTTP/1.1 408")
    with socket.create_connection(target, timeout=5) as sock:
        sock.sendall(head.encode()[:40])
        assert b"200" not in sock.recv(100)
    assert starts(deployment) == []
    assert deployment.submit("0000000000000152", job_body()) == (200, COMPLETED)


def test_evacuated_zone_receives_no_runs_until_reinstated(deployment: Deployment) -> None:
    deployment.store.put("keyed.op", "evacuate/z1", b"{}")
    gevent.sleep(0.3)
    before = starts(deployment)
    status, body = deployment.submit("0000000000000161", job_body())
    assert status == 503
    assert b"evacuated" in body
    # A process that starts during an evacuation learns of it from the store alone.
    deployment.processes["side-0"].kill()
    deployment.processes["side-0"].wait()
    deployment.start("side-0", "agent")
    gevent.sleep(2.0)
    assert deployment.submit("0000000000000162", job_body())[0] == 503
    assert starts(deployment) == before
    deployment.store.put("keyed.op", "evacuate/z1", b"")
    gevent.sleep(0.3)
    assert deployment.submit("0000000000000163", job_body()) == (200, COMPLETED)


def test_odd_announcements_of_another_writer_end_no_process(deployment: Deployment) -> None:
    """Guards against entries and agents that end, or stop following, for one odd record."""
    for number, odd in enumerate(ODD_ANNOUNCEMENTS):
        deployment.store.put("keyed.gentianmux-members", f"odd-{number}", odd)
    gevent.sleep(0.3)
    deployment.processes["side-0"].kill()
    deployment.processes["side-0"].wait()
    known = len(deployment.log_of("front-0"))
    deployment.start("side-0", "agent")
    deployment.wait_logged("front-0", "endpoint state", '"accepting": true', after=known)
    assert deployment.submit("00000000000000ad", job_body(tasks=12)) == (200, COMPLETED)
    assert {process.poll() for process in deployment.processes.values()} == {None}
    assert "announcement unreadable" in deployment.log_of("front-0")
    assert "a repeated step failed" not in deployment.log_lines("a repeated step failed")
