"""A run is ended only on proof; until then its task is started nowhere else.

Proof is a listed end, a confirmed stop, an expired lease under which nothing can begin any more, or
another endpoint in the place of the one that ran it.
"""

from random import Random

import pytest
from test_leased_world import _inject_fault, assert_invariants_hold, outcome, ready_world

from bench.leased_endpoint import SLOW_CLOCK
from bench.leased_world import World
from gentianmux.leased.agent import Agent
from gentianmux.leased.job_state import JobOutcome
from gentianmux.leased.model import ActiveRun, HoldReply
from gentianmux.leased.resources import Resources
from gentianmux.leased.run_table import RunTable


def agent_of(world: World, name: str = "w0") -> Agent:
    agent = world.machines[name].agent
    assert agent is not None
    return agent


@pytest.mark.parametrize("late_by", [0.9, 1.3, 1.5, 2.5])
@pytest.mark.parametrize("silent_s", [0.8, 1.0, 1.2])
def test_start_carried_out_after_all_leases_expired_runs_no_task_twice(
    silent_s: float, late_by: float
) -> None:
    """Guards against a late start under a lease that was renewed after its run was given up."""
    world = ready_world(agents=2)
    endpoint = world.machines["w0"].endpoint
    endpoint.delayed_starts = 3
    endpoint.late_by = late_by
    job = world.submit("e0", tasks=10, run_s=2.5, time_limit_s=15.0)
    world.run(0.01)
    endpoint.silent = True
    world.run(silent_s)
    endpoint.silent = False
    # Other runs there keep the lease renewed.
    other = world.submit("e0", tasks=4, run_s=2.5, time_limit_s=15.0)
    world.run(14.0)
    assert outcome(job) is outcome(other) is JobOutcome.COMPLETED
    assert_invariants_hold(world)


def test_endpoint_is_used_again_once_its_late_starts_are_stopped() -> None:
    """Guards against an endpoint that stays out of use after a silence with unanswered starts."""
    world = ready_world(agents=2)
    endpoint = world.machines["w0"].endpoint
    endpoint.delayed_starts = 3
    endpoint.late_by = 3.0
    world.submit("e0", tasks=10, run_s=0.3)
    world.run(0.01)
    endpoint.silent = True
    world.run(1.2)
    endpoint.silent = False
    world.run(0.1)
    assert agent_of(world).is_accepting
    world.run(0.1)
    view = world.entries["e0"].view
    assert view is not None
    assert view.is_served("s", world.time)
    assert len(view.eligible("s", world.time)) == 2


def table_with_unanswered_start() -> RunTable:
    table = RunTable()
    table.reset(Resources(4000, 64))
    assert table.begin(("late", 1), "e1", Resources(1000, 16), 100, now=0.0)
    table.runs["late", 1].start_sent = True
    table.unanswered(("late", 1), now=0.1)
    table.apply_poll(HoldReply(0.05, (), ()), now=0.1)
    return table


def test_expired_start_without_answer_is_stopped_before_leases_are_renewed() -> None:
    """Guards against renewing a lease under which a run that was given up may begin."""
    table = table_with_unanswered_start()
    assert table.is_reconciled
    (lost,) = table.expire_all()
    assert lost.run.key == ("late", 1)
    assert table.resources.free == Resources(4000, 64)
    assert not table.is_reconciled
    assert table.due_stops(now=1.0) == [("late", 1)]
    table.stop_confirmed(("late", 1), now=1.1)
    assert table.due_stops(now=2.0) == []
    # This poll was sent before the stop was confirmed, and may have been answered before it.
    table.apply_poll(HoldReply(1.05, (), ()), now=1.2)
    assert not table.is_reconciled
    table.apply_poll(HoldReply(1.15, (), ()), now=1.2)
    assert table.is_reconciled


def test_confirmed_stop_of_late_start_is_repeated_at_later_incarnation() -> None:
    """Guards against a stop taken as known to an incarnation that began after it."""
    table = table_with_unanswered_start()
    table.expire_all()
    table.stop_confirmed(("late", 1), now=1.1)
    table.begin_incarnation()
    assert table.due_stops(now=2.0) == [("late", 1)]


def test_run_whose_start_was_answered_needs_no_stop_after_its_lease() -> None:
    """Guards against an endpoint kept out of use for runs that cannot begin any more."""
    table = RunTable()
    table.reset(Resources(4000, 64))
    for name in ("answered", "listed", "not sent"):
        table.begin((name, 1), "e1", Resources(1000, 16), 100, now=0.0)
        table.runs[name, 1].start_sent = name != "not sent"
    table.started(("answered", 1), now=0.1)
    table.apply_poll(HoldReply(0.2, (ActiveRun("listed", 1, 5.0),), ()), now=0.2)
    assert len(table.expire_all()) == 3
    assert table.is_reconciled
    assert table.due_stops(now=1.0) == []


def test_late_message_of_earlier_agent_process_ends_no_run_of_later_one() -> None:
    """Guards against runs of a live agent given up for a message that its predecessor sent."""
    world = ready_world(agents=2)
    world.kill(world.process_of("w0"))
    world.run(0.4)
    world.start_agent("w0")
    world.run(1.0)
    job = world.submit("e0", tasks=12, run_s=1.5)
    world.run(0.3)
    agent = agent_of(world)
    assert agent.table.runs
    entry = world.entries["e0"].entry
    assert entry is not None
    entry.on_message(agent._states.current(), "w0.1")
    world.run(5.0)
    assert outcome(job) is JobOutcome.COMPLETED
    assert_invariants_hold(world)


def test_runs_of_earlier_agent_process_are_lost_once_later_one_accepts_runs() -> None:
    """Guards against tasks that wait for leases to expire although their agent has restarted."""
    world = ready_world(agents=2)
    job = world.submit("e0", tasks=12, run_s=1.5)
    world.run(0.3)
    entry = world.entries["e0"].entry
    assert entry is not None
    assert entry._ctx.assigned_runs["w0.1"]
    world.kill("w0.1")
    world.start_agent("w0")
    world.run(0.7)
    assert not entry._ctx.assigned_runs["w0.1"]
    world.run(5.0)
    assert outcome(job) is JobOutcome.COMPLETED
    assert_invariants_hold(world)


@pytest.mark.parametrize("seed", range(16))
def test_random_walks_with_long_silences_and_late_starts(seed: int) -> None:
    """Guards against runs given up without proof at endpoints that fall silent and come back."""
    world = ready_world(agents=4, entries=2, seed=seed)
    rng = Random(seed)
    for _ in range(50):
        _fall_silent(world, rng)
        if rng.random() < 0.3:
            _inject_fault(world, rng)
        for _ in range(rng.randrange(4)):
            entry = rng.choice(sorted(world.entries))
            world.submit(entry, tasks=rng.randrange(1, 9), run_s=rng.choice([0.4, 0.9, 2.5]))
        world.run(rng.uniform(0.01, 0.3))
    world.run(12.0)
    assert_invariants_hold(world)


def _fall_silent(world: World, rng: Random) -> None:
    """Delay starts at an endpoint that stops answering, for longer than its leases or not."""
    endpoint = world.machines[rng.choice(sorted(world.machines))].endpoint
    endpoint.delayed_starts = rng.randrange(4)
    endpoint.late_by = rng.uniform(0.3, 4.0)
    silent_s = rng.uniform(0.3, 1.5)
    world.at(rng.uniform(0.0, 0.1), "", setattr, endpoint, "silent", True)
    world.at(silent_s, "", setattr, endpoint, "silent", False)


def test_start_after_pause_does_not_renew_runs_of_entry_whose_lease_has_expired() -> None:
    """Guards against a lease of runs that must end, renewed by the start of another one."""
    world = ready_world(agents=1, entries=3)
    agent, endpoint = agent_of(world), world.machines["w0"].endpoint
    world.submit("e1", tasks=2, run_s=3.0)
    world.run(0.3)
    endpoint.ignored_stops = 100
    world.kill("e1.1")
    expires_at = agent._leases.expires_at("e1.1")
    world.run(expires_at - 0.02 - world.time)
    world.submit("e0", tasks=1, run_s=3.0)
    while not agent.table.of_entry("e0.1"):
        world.run(0.0002)
    # The start of the accepted run is the first thing that the agent does when it goes on.
    world.freeze("w0.1", 0.25)
    world.run(0.3)
    assert len(agent.table.runs) == 3
    assert endpoint.lease_until <= expires_at + agent._ctx.lease_s / SLOW_CLOCK


def test_pause_between_check_and_poll_renews_no_lease_past_its_limit() -> None:
    """Guards against a lease that begins after a pause, though it was decided before."""
    world = ready_world(agents=1)
    world.submit("e0", tasks=4, run_s=5.0, time_limit_s=9.0)
    world.run(0.3)
    agent, entry = agent_of(world), world.process_of("e0")
    world.kill(entry)
    world.run(0.3)
    assert agent.table.runs
    limit = agent._ctx.reporter.leases.expires_at(entry) + agent._ctx.lease_s
    poller, asked_until = agent.poller, []
    check, hold = poller._hooks.before_poll, poller._driver.hold

    def check_and_pause() -> None:
        check()
        world.time += 0.2

    def record(acknowledged: int, wait: float, lease: float, timeout: float, *since: float):
        asked_until.append((since[0] if since else world.time) + lease)
        return hold(acknowledged, wait, lease, timeout)

    poller._hooks = poller._hooks._replace(before_poll=check_and_pause)
    poller._driver.hold = record
    assert poller.poll()
    assert asked_until[0] <= limit + 1e-6
