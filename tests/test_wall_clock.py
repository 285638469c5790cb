"""Jumps of the time of day are harmless: nothing that decides reads it."""

import ast
from pathlib import Path

import pytest
from test_leased_world import assert_invariants_hold, outcome, ready_world

from gentianmux.leased.job_state import JobOutcome

SOURCE = Path(__file__).parent.parent / "src" / "gentianmux"
WALL_CLOCKS = {"time", "time_ns", "now", "utcnow", "now_ms"}
MAY_READ_IT = {"process.py"}
"""Names a process by the time of its start; names are compared for equality alone."""


def wall_clock_reads(tree: ast.AST) -> set[str]:
    """Names of calls that read the time of day; ``clock.now()`` is monotonic time."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Call):
            called = node.func
            name = called.id if isinstance(called, ast.Name) else getattr(called, "attr", "")
            owner = ast.unparse(called.value) if isinstance(called, ast.Attribute) else ""
            if name in WALL_CLOCKS and not (
                "clock" in owner or owner in ("self", "entry", "self._entry")
            ):
                found.add(f"{owner}.{name}")
            if name == "now_ms":
                found.add(f"{owner}.{name}")
    return found


@pytest.mark.parametrize("folder", ["leased", "platform"])
def test_no_decision_reads_the_time_of_day(folder: str) -> None:
    readers = {
        path.name
        for path in (SOURCE / folder).glob("*.py")
        if wall_clock_reads(ast.parse(path.read_text()))
    }
    assert readers <= MAY_READ_IT


@pytest.mark.parametrize("planted", ["time()", "time.time()", "datetime.now()", "clock.now_ms()"])
def test_a_planted_read_is_found(planted: str) -> None:
    assert wall_clock_reads(ast.parse(planted))


def test_a_process_that_restarts_under_an_earlier_time_is_still_the_newer_one() -> None:
    world = ready_world()
    jobs = [world.submit("e0", tasks=6, run_s=0.8) for _ in range(3)]
    world.run(0.3)
    machine = world.machines["w0"]
    world.kill(world.process_of("w0"))
    machine.lives = -5
    world.run(0.9)
    world.start_agent("w0")
    node = world.entries["e0"]
    world.run(4.0)
    assert world.process_of("w0") == "w0.-4"
    assert node.view is not None
    assert world.process_of("w0") in node.view.agents
    assert [outcome(job) for job in jobs] == [JobOutcome.COMPLETED] * 3
    assert_invariants_hold(world)
    node.lives = -9
    world.kill("e0.1")
    world.start_entry("e0")
    world.run(1.0)
    again = world.submit("e0", tasks=4, run_s=0.2)
    world.run(1.0)
    assert outcome(again) is JobOutcome.COMPLETED
    assert_invariants_hold(world)
