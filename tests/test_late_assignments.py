"""An assignment that arrives on a replaced connection starts no second run of its task.

Guards against taking the runs that an agent holds when a connection opens as proof that nothing
else can still arrive on another one.
"""

from collections.abc import Callable

import pytest
from test_leased_world import assert_invariants_hold, outcome, ready_world

from bench.leased_world import Asked, World
from gentianmux.leased.job_state import JobOutcome
from gentianmux.leased.messages import Assign
from gentianmux.messages import Message


def delayed_assignment(world: World, tasks: int) -> tuple[Asked, Callable[[], None]]:
    """Submit a job whose first assignment is delayed on a connection that is then replaced.

    Returns the job, and a function that delivers the assignment.
    """
    entry, agent = world.process_of("e0"), world.process_of("w0")
    links = world.entries["e0"].links
    assert links is not None
    delayed: list[Message] = []

    def send(process: str, msg: Message) -> bool:
        if process == agent and isinstance(msg, Assign) and not delayed:
            delayed.append(msg)
            return True
        return type(links).send(links, process, msg)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(links, "send", send)
        job = world.submit("e0", tasks=tasks, run_s=0.3)
        world.run(0.02)
    assert delayed

    def deliver() -> None:
        machine = world.machines["w0"]
        assert machine.agent is not None
        machine.agent.on_message(delayed[0], entry)

    return job, deliver


def test_assignment_on_a_replaced_connection_starts_no_second_run() -> None:
    for after_s in (0.0, 0.001, 0.004, 0.06, 0.15, 0.3):
        world = ready_world(agents=2)
        job, deliver = delayed_assignment(world, tasks=6)
        world.reopen(world.process_of("w0"), world.process_of("e0"))
        world.run(after_s)
        deliver()
        world.run(2.0)
        assert outcome(job) is JobOutcome.COMPLETED
        assert_invariants_hold(world)


def test_assignment_lost_with_its_connection_is_repeated_at_once() -> None:
    world = ready_world(agents=2)
    job, _ = delayed_assignment(world, tasks=6)
    world.reopen(world.process_of("w0"), world.process_of("e0"))
    world.run(0.5)
    assert outcome(job) is JobOutcome.COMPLETED
    assert job.ended_at - job.at < 0.42
    assert_invariants_hold(world)
