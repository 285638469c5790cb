"""Tasks of a job are assigned to few endpoints, so that it depends on fewer and needs fewer frames.

Guards against spreading each task to the least loaded endpoint.
"""

from random import Random
from typing import NamedTuple

import pytest

from bench.leased_world import World
from gentianmux.leased import placer
from gentianmux.leased.job_state import JobOutcome
from gentianmux.leased.messages import Assign
from gentianmux.messages import Message

SEEDS = (1, 2, 3)
STEPS, STEP_S = 80, 0.05
FAULTY_STEPS = range(20, 60)


class Results(NamedTuple):
    """Part of the jobs that were in time, and frames sent."""

    in_time: float
    frames: int


def simulate(fault: str, seed: int) -> Results:
    """Simulate a usual load on 12 endpoints, a sixth of which fails for a while."""
    world = World(12, 3, seed)
    world.run(1.0)
    rng = Random(seed)
    faulty = list(world.machines.values())[::6]
    frames = world.frames
    for step in range(STEPS):
        if fault == "killed" and step == FAULTY_STEPS.start:
            for machine in faulty:
                world.kill(world.process_of(machine.name))
                world.at(1.0, "", world.start_agent, machine.name)
        for machine in faulty if fault == "still" else ():
            machine.endpoint.speed = 0.0 if step in FAULTY_STEPS else 1.0
        for entry in world.entries:
            tasks, run_s = rng.choice([2, 2, 2, 8, 4]), rng.choice([0.12, 0.4, 0.4])
            world.submit(entry, tasks=tasks, run_s=run_s, cpu=1200)
        world.run(STEP_S)
    world.run(4.0)
    assert world.breaches == []
    done = [job for job in world.asked if is_in_time(job)]
    return Results(len(done) / len(world.asked), world.frames - frames)


def is_in_time(job) -> bool:  # type: ignore[no-untyped-def]
    result = job.handle.result
    served = result is not None and result.outcome is JobOutcome.COMPLETED
    return served and job.ended_at - job.at <= job.handle.job.objective_s


@pytest.mark.parametrize("fault", ["none", "still", "killed"])
def test_colocated_tasks_serve_no_worse_with_fewer_frames(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    colocated = [simulate(fault, seed) for seed in SEEDS]
    monkeypatch.setattr(placer, "COLOCATED_TASKS", 1)
    spread = [simulate(fault, seed) for seed in SEEDS]
    assert sum(each.in_time for each in colocated) >= sum(each.in_time for each in spread)
    frames = sum(each.frames for each in colocated) / sum(each.frames for each in spread)
    # A stalled endpoint causes frames that colocation does not save.
    assert frames < (1.0 if fault == "still" else 0.85)


def test_payload_is_sent_once_to_each_agent() -> None:
    world = World(1, 1)
    world.run(1.0)
    sent: list[Message] = []
    links = world.entries["e0"].links
    assert links is not None
    send = links.send
    links.send = lambda peer, msg: (sent.append(msg), send(peer, msg))[1]  # type: ignore[method-assign]
    jobs = [world.submit("e0", tasks=4, run_s=0.1) for _ in range(2)]
    world.run(0.5)
    assigned = [msg for msg in sent if isinstance(msg, Assign)]
    assert sum(len(msg.tasks) for msg in assigned) == 8
    assert sum(len(msg.payloads) for msg in assigned) == 2
    assert {job.handle.result.outcome for job in jobs if job.handle.result} == {
        JobOutcome.COMPLETED
    }
