"""The whole path in one process: HTTP in, frames, endpoint, whole answer out."""

import json
import socket
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from nodes import start_standalone

from gentianmux.api_client import ApiClient, ApiReply
from gentianmux.codes import ResultCode
from gentianmux.standalone import Standalone


@pytest.fixture(scope="module")
def node() -> Iterator[Standalone]:
    node = start_standalone(body_timeout_ms=400)
    yield node
    node.stop()


@pytest.fixture()
def client(node: Standalone) -> ApiClient:
    return ApiClient(f"http://{node.node.ctx.cfg.http_address}", "steppe-demo-key")


def submit(client: ApiClient, content: Any, wait: int = 20) -> ApiReply:
    body = content if isinstance(content, bytes) else json.dumps(content).encode()
    return client.call("POST", "/v1/jobs", body, {"Prefer": f"wait={wait}"})


def job(job_id: str, count: int = 3, **fields: Any) -> dict[str, Any]:
    tasks = [{"payload": json.dumps({"n": number})} for number in range(count)]
    return {"id": job_id, "service": "intake", "tasks": tasks, **fields}


def test_a_job_comes_back_whole(client: ApiClient) -> None:
    reply = submit(client, job("whole", 20))
    assert reply.status == 200 and reply.content["complete"]
    outputs = [json.loads(task["output"])["n"] for task in reply.content["tasks"]]
    assert outputs == list(range(20))


def test_a_resubmission_gets_the_same_answer_and_starts_nothing(
    client: ApiClient, node: Standalone
) -> None:
    first = submit(client, job("again"))
    starts = node.node.ctx.metrics.total("starts")
    assert submit(client, job("again")).content == first.content
    assert node.node.ctx.metrics.total("starts") == starts
    assert submit(client, job("again", 4)).content["code"] == ResultCode.ID_REUSED


def test_without_waiting_the_answer_is_fetched_later(client: ApiClient) -> None:
    assert submit(client, job("later"), wait=0).status == 202
    reply = client.call("GET", "/v1/jobs/later", headers={"Prefer": "wait=20"})
    assert reply.content["complete"]


def test_a_failed_task_fails_the_whole_job(client: ApiClient) -> None:
    content = job("fails")
    content["tasks"][1]["payload"] = json.dumps({"fail": True})
    reply = submit(client, content)
    assert reply.status == 502 and not reply.content["complete"]
    names = [task["name"] for task in reply.content["tasks"]]
    assert names == ["ok", "task_failed", "ok"]
    assert all("output" not in task for task in reply.content["tasks"])


def test_a_cancelled_job_ends_and_gives_its_slots_back(client: ApiClient) -> None:
    content = job("slow", 30)
    for task in content["tasks"]:
        task["payload"] = json.dumps({"ms": 60_000})
    assert submit(client, content, wait=0).status == 202
    reply = client.call("DELETE", "/v1/jobs/slow")
    assert reply.content["name"] == "cancelled"
    ran = {task["ran"] for task in reply.content["tasks"]}
    assert ran == {"no", "yes"}
    assert submit(client, job("after")).content["complete"]


def test_a_single_request_runs_once_for_a_key(client: ApiClient) -> None:
    body = json.dumps({"service": "intake", "payload": "p"}).encode()
    headers = {"Idempotency-Key": "receipt-1"}
    first = client.call("POST", "/v1/requests", body, headers)
    assert first.content["tasks"][0]["output"] == "p"
    assert client.call("POST", "/v1/requests", body, headers).content == first.content


BAD = [
    (b"{", ResultCode.BAD_JSON),
    (b"[1]", ResultCode.BAD_JSON),
    (b"\xff\xfe", ResultCode.BAD_JSON),
    (b'{"id":"a","id":"b"}', ResultCode.DUPLICATE_FIELD),
    (b"[" * 100_000, ResultCode.BAD_JSON),
    (job("x", 151), ResultCode.TOO_MANY_TASKS),
    (job("x", 0), ResultCode.BAD_FIELD),
    (job("x", extra=1), ResultCode.BAD_FIELD),
    (job("x", deadline_ms="soon"), ResultCode.BAD_FIELD),
    (job("x", submitted_at=True), ResultCode.BAD_FIELD),
    (job("x\n"), ResultCode.BAD_ID),
    (job(""), ResultCode.BAD_ID),
    ({**job("x"), "id": 7}, ResultCode.BAD_ID),
    ({**job("x"), "service": "nowhere"}, ResultCode.UNKNOWN_SERVICE),
    ({**job("x"), "service": "roster"}, ResultCode.NOT_YOUR_SERVICE),
    ({**job("x"), "tasks": [{"payload": 5}]}, ResultCode.BAD_FIELD),
    ({**job("x"), "tasks": [{"payload": "\ud800"}]}, ResultCode.BAD_FIELD),
    (b" " * (10 * 1024 * 1024), ResultCode.BODY_TOO_LARGE),
    (job("x", submitted_at=1 << 47), ResultCode.ID_IN_FUTURE),
]


@pytest.mark.parametrize(("content", "code"), BAD, ids=range(len(BAD)))
def test_bad_input_is_refused_with_its_code(
    client: ApiClient, content: Any, code: ResultCode
) -> None:
    reply = submit(client, content)
    assert (reply.content["code"], reply.content["ran"]) == (code, "no")
    assert reply.content["name"] == code.label


def test_an_unknown_member_is_refused(node: Standalone) -> None:
    stranger = ApiClient(f"http://{node.node.ctx.cfg.http_address}", "no-such-key")
    assert submit(stranger, job("x")).content["code"] == ResultCode.UNAUTHENTICATED


def test_a_caller_that_hangs_up_or_dawdles_harms_nobody(
    client: ApiClient, node: Standalone
) -> None:
    ip, _, port = node.node.ctx.cfg.http_address.partition(":")
    head = b"POST /v1/jobs HTTP/1.1\r\nAuthorization: Bearer steppe-demo-key\r\n"
    with socket.create_connection((ip, int(port))) as sock:
        sock.sendall(head + b"Content-Length: 100\r\n\r\n{")
    with socket.create_connection((ip, int(port))) as slow:
        slow.sendall(head + b"Content-Length: 100\r\n\r\n{")
        slow.setblocking(False)
        data = b""
        with gevent.Timeout(20):
            while b"body_timeout" not in data:
                gevent.sleep(0.02)
                try:
                    data += slow.recv(4096)
                except BlockingIOError:
                    continue
    assert submit(client, job("unharmed")).content["complete"]


def test_unknown_paths_and_methods_have_codes(client: ApiClient) -> None:
    assert client.call("GET", "/v1/nothing").content["code"] == ResultCode.NOT_FOUND
    assert client.call("PUT", "/v1/jobs").content["code"] == ResultCode.METHOD_NOT_ALLOWED
    assert client.call("GET", "/v1/jobs/never-seen").content["code"] == ResultCode.JOB_UNKNOWN


def test_a_job_is_explained_through_the_entry(client: ApiClient) -> None:
    submit(client, job("explained"))
    content = client.call("GET", "/v1/explain/explained").content
    texts = [step["text"] for step in content["trail"]]
    assert texts[0].startswith("admitted by") and texts[-1] == "ended: ok"
