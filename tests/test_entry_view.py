"""The view of the entries: its steps, its record, and jobs while it changes."""

from itertools import product
from random import Random

import pytest

from bench.leased_links import FakeLinks
from bench.leased_world import World
from gentianmux.clock import Clock
from gentianmux.leased.directory import VIEW_KEY, Directory
from gentianmux.leased.entry_peers import EntryPeers
from gentianmux.leased.entry_view import EntryView, decode_view, is_majority, new_view
from gentianmux.leased.lock_replica import LockReplica
from gentianmux.leased.lock_times import LockTimes
from gentianmux.leased.messages import LockJobs, LockRequest
from gentianmux.leased.view_changes import (
    ADD_AFTER_S,
    LOST_MAJORITY_S,
    REMOVE_AFTER_S,
    SETTLE_AFTER_S,
    VIEW_STALE_S,
    Observation,
    next_view,
)
from gentianmux.leased.view_keeper import ViewKeeper
from gentianmux.leased.view_writer import ViewWriter
from gentianmux.leased.vote_start import PeerStart, Predecessor, VoteStart
from gentianmux.messages import PROTOCOL_VERSION, Hello
from gentianmux.metrics import Metrics
from gentianmux.platform_log import MemoryKeyedLog
from gentianmux.settings import Settings
from tests.test_duplicate_requests import submit
from tests.test_leased_world import assert_invariants_hold, ready_world

NAMES = ("e1", "e2", "e3", "e4", "e5")
VIEW = EntryView(3, NAMES, NAMES)
LONG_S = 100.0


def observed(silent_s: dict[str, float], seen_s: float = 1.0, **in_contact_s: float) -> Observation:
    everyone = dict.fromkeys(NAMES, 0.0) | silent_s
    return Observation("e1", {*everyone, *in_contact_s}, everyone, in_contact_s, seen_s)


def test_view_stays_while_every_entry_answers() -> None:
    assert next_view(VIEW, observed({}, LONG_S)) is None


def test_silent_entry_is_removed_in_two_steps() -> None:
    first = next_view(VIEW, observed({"e5": REMOVE_AFTER_S}))
    assert first == EntryView(4, NAMES, NAMES[:4])
    assert next_view(first, observed({"e5": LONG_S}, SETTLE_AFTER_S - 1)) is None
    second = next_view(first, observed({"e5": LONG_S}, SETTLE_AFTER_S))
    assert second == EntryView(5, NAMES[:4], NAMES[:4])


def test_entry_is_added_after_it_has_been_in_contact() -> None:
    assert next_view(VIEW, observed({}, e6=ADD_AFTER_S - 1)) is None
    step = next_view(VIEW, observed({}, e6=ADD_AFTER_S))
    assert step == EntryView(4, NAMES, (*NAMES, "e6"))


def test_entry_without_majority_changes_nothing_before_the_others_are_given_up() -> None:
    """Guards against an entry that is cut off and removes all others."""
    silent = dict.fromkeys(NAMES[1:], LOST_MAJORITY_S - 1)
    assert next_view(VIEW, observed(silent)) is None
    gone = dict.fromkeys(NAMES[1:], LOST_MAJORITY_S)
    assert next_view(VIEW, observed(gone)) == EntryView(4, NAMES, ("e1",))


def test_majority_takes_back_a_step_that_excludes_it() -> None:
    """Guards against an entry that was cut off and has removed the others."""
    step = EntryView(4, NAMES, ("e5",))
    contact = dict.fromkeys(NAMES[1:4], ADD_AFTER_S)
    back = next_view(step, observed({"e5": REMOVE_AFTER_S}, **contact, e1=ADD_AFTER_S))
    assert back is not None and back.settled == NAMES and set(back.target) == set(NAMES[:4])


@pytest.mark.parametrize("seed", range(200))
def test_majorities_of_successive_steps_have_an_entry_in_common(seed: int) -> None:
    """Guards against two views by which two entries confirm one job with disjoint sets."""
    rng = Random(seed)
    names = [f"e{number}" for number in range(8)]
    settled, target = (rng.sample(names, rng.randint(1, 6)) for _ in range(2))
    job_id = f"{rng.getrandbits(64):016x}"
    old, step, new = (
        new_view(1, settled, settled),
        new_view(2, settled, target),
        new_view(3, target, target),
    )
    for one, other in ((old, step), (step, new), (step, step)):
        for granted in product((False, True), repeat=len(names)):
            mine = {name for name, is_mine in zip(names, granted, strict=True) if is_mine}
            both = _confirms(one, job_id, mine) and _confirms(other, job_id, set(names) - mine)
            assert not both


def _confirms(view: EntryView, job_id: str, granted: set[str]) -> bool:
    return all(is_majority(replicas, granted) for replicas in view.replica_sets(job_id))


def test_of_two_proposals_for_one_version_the_store_accepts_one() -> None:
    store = MemoryKeyedLog()
    one, other = (Directory(store, Metrics(Settings())) for _ in range(2))
    one.follow_once()
    other.follow_once()
    assert one.write_view(VIEW)
    assert not other.write_view(new_view(3, ["e9"], ["e9"]))
    seen: list[EntryView] = []
    other.on_view = seen.append
    other.follow_once()
    assert seen == [VIEW]


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[" * 100_000,
        b'{"version": 1e400, "settled": ["e1"], "target": ["e1"]}',
        b'{"version": ' + b"9" * 5000 + b', "settled": ["e1"], "target": ["e1"]}',
        b'{"version": 0, "settled": ["e1"], "target": ["e1"]}',
        b'{"version": 1, "settled": [], "target": ["e1"]}',
        b'{"version": 1, "settled": [7], "target": ["e1"]}',
        b'{"version": 1, "settled": "e1", "target": ["e1"]}',
        b"\xff",
    ],
)
def test_unreadable_view_is_ignored(value: bytes) -> None:
    assert decode_view(value) is None
    store = MemoryKeyedLog()
    store.put("gentianmux-members", VIEW_KEY, value)
    directory = Directory(store, Metrics(Settings()))
    directory.follow_once()
    assert directory.has_read
    # It is empty, not unreadable, in one case only.
    assert directory.began_empty == (value == b"")


def test_view_that_may_have_changed_unnoticed_is_not_current() -> None:
    keeper = ViewKeeper(Clock())
    keeper.apply_if_newer(VIEW, "store")
    keeper.on_store_read(100.0)
    assert keeper.is_current(100.0 + VIEW_STALE_S - 0.1)
    assert not keeper.is_current(100.0 + VIEW_STALE_S)
    keeper.on_peer_age(VIEW.version - 1, 110.0)
    assert not keeper.is_current(100.0 + VIEW_STALE_S)
    keeper.on_peer_age(VIEW.version, 110.0)
    assert keeper.is_current(100.0 + VIEW_STALE_S)


def test_started_entry_grants_nothing_before_all_others_have_told_their_locks() -> None:
    times = LockTimes(1.1)
    start = VoteStart(100.0, times)
    start.on_told("e2", PeerStart(10.0, 100.1, Predecessor.LOST))
    assert not start.may_vote({"e2", "e3"}, 101.5)
    start.on_told("e3", PeerStart(10.0, 100.2, Predecessor.UNKNOWN))
    assert not start.may_vote({"e2", "e3"}, 101.0)
    assert start.may_vote({"e2", "e3"}, 101.2)
    assert VoteStart(100.0, times).may_vote(None, 100.01 + times.drop_after_s)


def test_predecessor_that_left_in_order_leaves_no_runs() -> None:
    start = VoteStart(100.0, LockTimes(1.1))
    start.on_told("e2", PeerStart(10.0, 100.1, Predecessor.LEFT))
    assert start.may_vote({"e2"}, 100.1)
    start.on_told("e3", PeerStart(99.5, 100.1, Predecessor.UNKNOWN))
    assert not start.may_vote({"e2", "e3"}, 100.2)


def change_view(world: World, view: EntryView, names: list[str]) -> None:
    for name in names:
        entry = world.entries[name].entry
        assert entry is not None
        entry.views.apply_if_newer(view, "store")


@pytest.mark.parametrize("seed", range(6))
def test_jobs_run_once_while_the_view_changes(seed: int) -> None:
    """Guards against two entries that confirm one job by two steps of a change."""
    rng = Random(seed)
    world = ready_world(agents=8, entries=6, seed=seed)
    names = sorted(world.entries)
    kept = rng.sample(names, 3)
    for number, view in enumerate((new_view(2, names, kept), new_view(3, kept, kept))):
        late = rng.sample(names, 2)
        change_view(world, view, [name for name in names if name not in late])
        for job in range(10):
            job_id = f"{seed:08x}{number:04x}{job:04x}"
            for entry in rng.sample(names, 2):
                submit(world, entry, job_id, run_s=0.6)
                world.run(rng.choice((0.0, 0.0005, 0.1)))
        change_view(world, view, late)
        world.run(1.0)
    world.run(4.0)
    assert_invariants_hold(world)


class SteppingClock(Clock):
    """Time that goes on with each look at it."""

    def __init__(self, start: float, step_s: float) -> None:
        super().__init__()
        self._time, self._step_s = start, step_s

    def now(self) -> float:
        self._time += self._step_s
        return self._time


@pytest.mark.parametrize("looks", range(1, 12))
def test_lock_that_was_not_recorded_is_not_granted(looks: int) -> None:
    """Guards against a started entry that begins to grant between recording and answering."""
    times = LockTimes(1.1)
    start = 100.0
    clock = SteppingClock(start + times.drop_after_s - looks * 0.01 - 0.005, 0.01)
    views = ViewKeeper(clock)
    views.apply_if_newer(VIEW, "store")
    replica = LockReplica("e1.5", times, views, clock, Metrics(Settings()), start)
    grant = replica.grant(LockJobs(1, [LockRequest("a", 5000), LockRequest("b", 5000)], []), "e2.5")
    assert grant.abstains == (not replica.table.holder_of("a"))
    assert grant.abstains == (not replica.table.holder_of("b"))


@pytest.mark.parametrize("odd", [False, True])
def test_unreadable_view_is_not_taken_for_the_first_start(odd: bool) -> None:
    """Guards against an entry that replaces a view it cannot read, and grants locks at once."""
    clock = SteppingClock(100.0, 1.0)
    store = MemoryKeyedLog()
    if odd:
        store.put("gentianmux-members", VIEW_KEY, b"[")
    directory = Directory(store, Metrics(Settings()))
    links = FakeLinks(World(0, 0), Hello(PROTOCOL_VERSION, "e1.5", "entry", ""), clock)
    peers = EntryPeers(links, clock, 1.1)  # type: ignore[arg-type]
    writer = ViewWriter("e1", directory, ViewKeeper(clock), peers, clock)
    directory.follow_once()
    writer.step([])
    writer.step([])
    written = store.newest("gentianmux-members").values.get(VIEW_KEY, b"")
    assert (decode_view(written) is None) == odd
