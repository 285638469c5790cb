"""Step definitions of the session features."""

import json
import socket
from pathlib import Path
from typing import Any

import gevent
from behave import given, then, when

from gentianmux.api_client import ApiClient
from gentianmux.codes import ResultCode
from gentianmux.config_state import Change, ConfigState
from gentianmux.follower import Follower
from gentianmux.inventory import diff, read_inventory, read_rules
from gentianmux.publish import publish
from gentianmux.settings import Settings
from gentianmux.standalone import Standalone

EXAMPLES = Path(__file__).parent.parent.parent / "examples"
READY_TIMEOUT_S = 20


def _free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


@given("a fresh system with the example inventory and rules")
def start_system(context: Any) -> None:
    cfg = Settings(
        peer_address=_free_address(),
        http_address=_free_address(),
        endpoint=_free_address(),
        log_url=f"http://{_free_address()}",
        tail_ms=20,
    )
    context.system = Standalone(cfg)
    context.system.start()
    context.ctx = context.system.node.ctx
    items = read_inventory((EXAMPLES / "inventory.csv").read_text(), False).items
    items.update(read_rules((EXAMPLES / "rules.json").read_text()).items)
    change = diff(ConfigState(), items, ("worker", "member", "team", "service"))
    outcome = publish(context.ctx.log, change._replace(change_id="import"), 1, lambda: None)
    assert outcome.code is ResultCode.OK, outcome
    context.client = ApiClient(f"http://{cfg.http_address}", "steppe-demo-key")
    with gevent.Timeout(READY_TIMEOUT_S):
        while context.client.call("GET", "/readyz").status != 200:
            gevent.sleep(0.02)


@when('steppe submits job "{job_id}" of {count:d} tasks to {service}')
def submit_job(context: Any, job_id: str, count: int, service: str) -> None:
    tasks = [{"payload": f"task {number}"} for number in range(count)]
    body = json.dumps({"id": job_id, "service": service, "tasks": tasks}).encode()
    context.previous_answer = context.answer if "answer" in context else None
    context.answer = context.client.call("POST", "/v1/jobs", body, {"Prefer": "wait=20"})


@then("the answer is complete with {count:d} outputs")
def check_complete(context: Any, count: int) -> None:
    content = context.answer.content
    assert content["complete"], content
    assert [task["output"] for task in content["tasks"]] == [f"task {n}" for n in range(count)]


@then("the answer is the same as before")
def check_same_answer(context: Any) -> None:
    assert context.answer == context.previous_answer


@then("the endpoint started {count:d} tasks")
def check_started_tasks(context: Any, count: int) -> None:
    assert context.ctx.metrics.total("starts") == count


@then("the answer is refused as {name} and did not run")
def check_refused(context: Any, name: str) -> None:
    content = context.answer.content
    assert (content["name"], content["ran"]) == (name, "no"), content


@when("two operators change the weight of member {member} on the same version")
def publish_concurrent_changes(context: Any, member: str) -> None:
    log = context.ctx.log
    state = ConfigState()
    Follower(log, "config", state).poll()
    context.outcomes = []
    for number in (3, 4):
        item = {**state.items[f"member/{member}"], "weight": number}
        change = Change(f"race-{number}", state.version, {f"member/{member}": item}, [])
        context.outcomes.append(publish(log, change, 1, lambda: None).code.label)


@then("one change is accepted and one is rejected as {name}")
def check_one_accepted(context: Any, name: str) -> None:
    assert context.outcomes == ["ok", name]
