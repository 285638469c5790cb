"""Endpoints that start again under the id that they had: nothing known of before still holds.

What users saw: tasks began at an endpoint two seconds after it had said that it drains and its
agent had acknowledged that; before it, every run there was reported as lost and begun again
elsewhere. Order of events: the endpoint crashed, started again under the same id and counted its
heartbeats and the ends of its runs from 1; its agent answered, since the endpoint's id was the one
that it knew; the endpoint said that it drains. Cause: the agent told lives of an endpoint apart by
their id alone, so it kept the counts of the earlier one, passed over the word as overtaken and the
ends as known. Evidence: in the agent's log "endpoint answers" without "endpoint found" after the
crash, no "endpoint drains" after the acknowledgement, and no end but "lost" from the crash on.
"""

from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest
from platform_nodes import Deployment, job_body
from test_leased_world import assert_kept, outcome, ready_world

from gentianmux.leased.job_state import Outcome

COMPLETED = b'{"state": "completed"}'


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    running = Deployment(tmp_path, agents=1)
    try:
        running.start_all()
        yield running
    finally:
        running.stop()


def test_an_endpoint_that_started_again_is_heard_when_it_drains() -> None:
    world = ready_world(agents=2)
    world.run(5.0)
    world.restart_endpoint("w0", down_s=1.0)
    world.run(2.5)
    endpoint = world.machines["w0"].endpoint
    endpoint.draining = True
    # The next heartbeat comes within half a second, and is acknowledged.
    world.run(0.6)
    for _ in range(6):
        world.submit("e0", tasks=2, run_s=0.2)
    world.run(0.1)
    assert endpoint.active == {}
    assert_kept(world)


def test_runs_at_an_endpoint_that_started_again_are_done_once() -> None:
    world = ready_world(agents=1)
    before = [world.submit("e0", tasks=8, run_s=0.1) for _ in range(3)]
    world.run(2.0)
    world.restart_endpoint("w0", down_s=1.0)
    world.run(2.5)
    jobs = [world.submit("e0", tasks=2, run_s=0.2) for _ in range(3)]
    world.run(2.0)
    assert {outcome(job) for job in before + jobs} == {Outcome.COMPLETED}
    assert world.starts == 30
    assert_kept(world)


def test_an_agent_follows_its_endpoint_through_a_start(deployment: Deployment) -> None:
    endpoint = deployment.endpoints["side-0"]
    for number in range(4):
        assert deployment.submit(f"00000000000000a{number}", job_body()) == (200, COMPLETED)
    endpoint.start_again()
    gevent.sleep(0.8)
    before = len(endpoint.starts)
    assert deployment.submit("00000000000000b1", job_body()) == (200, COMPLETED)
    assert len(endpoint.starts) == before + 4
    endpoint.draining = True
    gevent.sleep(0.6)
    assert deployment.submit("00000000000000b2", job_body())[0] == 503
    assert len(endpoint.starts) == before + 4
