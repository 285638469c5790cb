"""One id at several real entries, while some are stopped by signals or cut from one another."""

import signal
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest
from entry_relay import EntryRelay
from platform_deployment import Deployment, job_body

from gentianmux.leased.directory import TOPIC

ENTRIES = ("front-0", "front-1", "front-2")
JOB_IDS = [f"{number:016x}" for number in range(0xA0, 0xA8)]
RUN_MS = 2500
SAMPLE_S = 0.01


class Entries(Deployment):
    """A deployment of three entries; others dial ``front-1`` and ``front-2`` over relays."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.overlaps: set[str] = set()
        self.answers: Counter[int] = Counter()
        self.relays = {name: self._relay_to(name) for name in ENTRIES[1:]}
        plain_put = self.store.put

        def put(topic: str, key: str, value: bytes) -> None:
            if topic.endswith(TOPIC) and key in self.relays:
                real = f"{self.ip_of(key)}:{self.ports['peer']}"
                value = value.replace(real.encode(), self.relays[key].address.encode())
            plain_put(topic, key, value)

        self.store.put = put  # type: ignore[method-assign]
        gevent.spawn(self._watch)

    def _relay_to(self, name: str) -> EntryRelay:
        real = f"{self.ip_of(name)}:{self.ports['peer']}"
        # Of the same length, since it replaces the real one.
        ip, _, last = self.ip_of(name).rpartition(".")
        return EntryRelay(f"{ip}.{int(last) + 20}:{self.ports['peer']}", real)

    def start_entries(self) -> None:
        """Start all entries and agents, and wait until they know one another."""
        for name in ENTRIES[1:]:
            self.start(name, "entry")
        self.start_all()
        for name in ENTRIES:
            self.wait_ready(name)
        for name in ENTRIES:
            for other in set(ENTRIES) - {name}:
                self.wait_logged(name, "peer connected", f'"{other}.', after=0)

    def _watch(self) -> None:
        """Note the tasks that are active at two endpoints."""
        while True:
            counts = Counter(t for e in self.endpoints.values() for t, _ in e.active())
            self.overlaps.update(task for task, count in counts.items() if count > 1)
            gevent.sleep(SAMPLE_S)

    def hand_in(self, entry: str) -> list[gevent.Greenlet]:
        """Submit every job at an entry, without waiting for the answers."""
        return [gevent.spawn(self._submit, job_id, entry) for job_id in JOB_IDS]

    def _submit(self, job_id: str, entry: str) -> None:
        status, _ = self.submit(job_id, job_body(tasks=1, run_ms=RUN_MS), entry)
        self.answers[status] += 1

    def pause(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGSTOP)

    def go_on(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGCONT)

    def stop(self) -> None:
        super().stop()
        for relay in self.relays.values():
            relay.stop()


@pytest.fixture
def entries(tmp_path: Path) -> Iterator[Entries]:
    running = Entries(tmp_path)
    try:
        running.start_entries()
        yield running
    finally:
        running.stop()


def test_job_does_not_run_twice_while_a_third_entry_is_paused(entries: Entries) -> None:
    """Guards against two entries that run a job which a paused entry has not confirmed."""
    entries.pause("front-2")
    first = entries.hand_in("front-0")
    gevent.sleep(0.5)
    gevent.joinall(first + entries.hand_in("front-1"))
    entries.go_on("front-2")
    assert not entries.overlaps
    assert entries.answers[200] >= len(JOB_IDS)


def test_paused_entry_runs_no_job_that_was_repeated_meanwhile(entries: Entries) -> None:
    """Guards against an entry that goes on without connections and decides alone."""
    entries.pause("front-0")
    late = entries.hand_in("front-0")
    gevent.sleep(0.5)
    for relay in entries.relays.values():
        relay.close("front-0")
    repeats = entries.hand_in("front-1")
    gevent.sleep(1.0)
    entries.go_on("front-0")
    gevent.joinall(late + repeats)
    assert not entries.overlaps
    assert entries.answers[200] >= len(JOB_IDS)


def test_entry_cut_off_from_others_runs_no_job_beside_them(entries: Entries) -> None:
    """Guards against an entry that reaches callers and agents, but no other entry."""
    for relay in entries.relays.values():
        relay.cut("front-0")
    repeats = entries.hand_in("front-1")
    gevent.sleep(0.5)
    gevent.joinall(repeats + entries.hand_in("front-0"))
    for relay in entries.relays.values():
        relay.heal("front-0")
    assert not entries.overlaps
    assert entries.answers[200] >= len(JOB_IDS)
