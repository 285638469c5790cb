"""Leased jobs on virtual time: real entries and agents, and fakes of what is around them."""

import heapq
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import combinations
from random import Random
from typing import Any

from bench.leased_endpoint import (
    Breach,
    FakeDriver,
    FakeEndpoint,
    Work,
)
from bench.leased_links import ONE_WAY_S, FakeClock, FakeLinks
from gentianmux.clock import Clock
from gentianmux.codec import encode
from gentianmux.leased.agent import MAINTENANCE_INTERVAL_S, Agent
from gentianmux.leased.config_feed import ConfigFeed, ConfigSource
from gentianmux.leased.entry import LOSS_CHECK_INTERVAL_S, TICK_S, Entry
from gentianmux.leased.entry_leases import REPORT_INTERVAL_S
from gentianmux.leased.entry_view import new_view
from gentianmux.leased.fleet_view import FleetView
from gentianmux.leased.job_handle import JobHandle
from gentianmux.leased.model import (
    EndpointReport,
    JobConfig,
    JobSpec,
    QueueConfig,
    RequestLimits,
    StepSpec,
    instance_of,
)
from gentianmux.leased.rendezvous import ENTRIES_PER_AGENT, rank_entries
from gentianmux.leased.resources import Resources
from gentianmux.leased.settings import LeasedSettings, lease_s
from gentianmux.messages import PROTOCOL_VERSION, Hello, Message
from gentianmux.metrics import Metrics
from gentianmux.platform_log import MemoryKeyedLog
from gentianmux.settings import Settings

QUEUE = QueueConfig("q", "h.example", "/q/", "s", 5000, 60, 0, 3, 1.6)
ENDPOINT_ROOM = Resources(16000, 65536, 0)

EVACUATE_S = 0.05
"""Seconds after an evacuation is known anywhere until no run begins there: ten round trips, where
the deployments allow 5 s from its record on."""

ENTRY_START_S = 0.7
"""Seconds that an entry takes from its start until it is ready, its imports on half a core."""

CANCEL_S = 1.0
"""Seconds after a cancel at any entry until nothing of its job begins, where the deployments allow
3 s from its acknowledgement on."""


@dataclass
class Machine:
    """An agent's machine: its present process and the endpoint beside it."""

    name: str
    endpoint: FakeEndpoint
    domain: str
    lives: int = 0
    agent: Agent | None = None
    links: FakeLinks | None = None
    sequence: int = 0


@dataclass
class EntryNode:
    """An entry's instance and its present process."""

    name: str
    domain: str
    lives: int = 0
    entry: Entry | None = None
    links: FakeLinks | None = None
    view: FleetView | None = None
    feed: ConfigFeed | None = None


@dataclass
class Asked:
    """A job that was handed in, for the checks at the end."""

    spec: JobSpec
    queue: QueueConfig
    at: float
    ideal_s: float
    handle: JobHandle
    ended_at: float = field(default=0.0)
    fitted: bool = False


def _is_frame(call: Callable[..., Any]) -> bool:
    """Whether a call due is a frame on its way, and no timer of its receiver."""
    return isinstance(getattr(call, "__self__", None), FakeLinks)


class _EndNote:
    """Takes the place of a ticket's event, and notes when the job ended."""

    def __init__(self, world: "World", asked: Asked) -> None:
        self._world = world
        self._asked = asked

    def set(self) -> None:
        self._asked.ended_at = self._world.time
        self._asked.fitted = self._world.fits(self._asked)


class World:
    """Entries and agents on virtual time.

    Parameters
    ----------
    agents, entries : int
        How many of each.
    seed : int
        Of everything that is random.
    capacity : Resources
        Of each endpoint.
    link_bytes_s : float
        What entries are told that their links carry; 0 for nothing.

    Attributes
    ----------
    is_store_down : bool
        Whether no entry can read the store.
    clocks_stand_still : bool
        Whether clocks of processes leave out suspensions, as ``CLOCK_MONOTONIC`` does.

    Examples
    --------
    >>> world = World(agents=2, entries=1)
    >>> world.run(1.0)
    >>> job = world.submit("e0", tasks=4, run_s=0.1)
    >>> world.run(1.0)
    >>> job.handle.result.outcome.value
    'completed'
    """

    def __init__(
        self,
        agents: int = 3,
        entries: int = 1,
        seed: int = 1,
        capacity: Resources = ENDPOINT_ROOM,
        link_bytes_s: float = 0.0,
    ) -> None:
        self.time = 100.0
        self.rng = Random(seed)
        self.works: dict[str, tuple[StepSpec, Work]] = {}
        self.failed: dict[str, int] = defaultdict(int)
        self.breaches: list[Breach] = []
        self.asked: list[Asked] = []
        self.started: set[str] = set()
        self.starts = 0
        self.wasted_runs = 0
        self.frames = 0
        self.frozen: set[str] = set()
        self.suspended_s: dict[str, float] = defaultdict(float)
        self.clocks_stand_still = False
        self.is_store_down = False
        self.cut: set[frozenset[str]] = set()
        self.silent_links: set[int] = set()
        self.one_way_s = ONE_WAY_S
        self.bytes_per_s: dict[str, float] = {}
        self.link_bytes_s = link_bytes_s
        self.bytes_sent: dict[str, int] = defaultdict(int)
        self._killed_at: dict[str, float] = {}
        self._link_free_at: dict[str, float] = {}
        self.alive: set[str] = set()
        self._preferred: dict[str, frozenset[str]] = {}
        self._due: list[tuple[float, int, str, Callable[..., Any], tuple[Any, ...]]] = []
        self._held: dict[str, list[tuple[Callable[..., Any], tuple[Any, ...]]]] = defaultdict(list)
        self._count = 0
        self._jobs = 0
        self.store = MemoryKeyedLog()
        self.cancelled_at: dict[str, float] = {}
        self.evacuated_at: dict[str, float] = {}
        self.config = JobConfig(1, (QUEUE,), RequestLimits(), b"1")
        self.machines: dict[str, Machine] = {}
        self.entries: dict[str, EntryNode] = {}
        for number in range(agents):
            name = f"w{number}"
            endpoint = FakeEndpoint(self, f"{name}-x0", capacity)
            self.machines[name] = Machine(name, endpoint, f"fd{number % 3}")
            self.start_agent(name)
        for number in range(entries):
            self.entries[f"e{number}"] = EntryNode(f"e{number}", f"fd{number % 3}")
        for name in self.entries:
            self.start_entry(name)
        self.at(0.0, "", self._connect)
        self.at(0.0, "", self._heartbeats)

    # Time

    def at(self, delay_s: float, process: str, call: Callable[..., Any], *args: Any) -> None:
        """Call after a delay, for a process or (empty) for the world."""
        self._count += 1
        heapq.heappush(self._due, (self.time + delay_s, self._count, process, call, args))

    def every(self, period_s: float, process: str, call: Callable[[], Any]) -> None:
        """Call again and again for as long as a process lives."""

        def step() -> None:
            call()
            self.at(period_s, process, step)

        self.at(period_s, process, step)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.time + seconds
        while self._due and self._due[0][0] <= end:
            self.time, _, process, call, args = heapq.heappop(self._due)
            if process and process not in self.alive:
                continue
            if process in self.frozen:
                self._held[process].append((call, args))
                continue
            call(*args)
        self.time = end

    # Processes

    def start_agent(self, name: str) -> None:
        """Start an agent's process on its machine."""
        machine = self.machines[name]
        machine.lives += 1
        cfg = LeasedSettings("agent", name, machine.domain, f"{name}:1", "", service="s")
        me = Hello(PROTOCOL_VERSION, f"{name}.{machine.lives}", "agent", f"{name}:1")
        clock = FakeClock(self, me.process)
        links = FakeLinks(self, me, clock)
        metrics = Metrics(Settings())
        driver = FakeDriver(self, machine)
        agent = Agent(cfg, driver, links, self._feed(clock), metrics, clock)  # type: ignore[arg-type]
        machine.agent, machine.links = agent, links
        self.alive.add(me.process)
        self.every(REPORT_INTERVAL_S, me.process, agent.send_due_reports)
        self.every(MAINTENANCE_INTERVAL_S, me.process, agent.check_entry_leases)
        self.every(0.01, me.process, lambda: self._look(agent, driver))

    def stop_agent(self, name: str, grace_s: float = 5.3, back_s: float = 0.9) -> None:
        """Stop an agent as planned: its process ends when it is done, and comes back later."""
        machine = self.machines[name]
        agent = machine.agent
        assert agent is not None
        until = self.time + grace_s
        process = self.process_of(name)
        agent.shutdown.begin(until)

        def end_when_left() -> None:
            if process != self.process_of(name) or process not in self.alive:
                return
            if agent.shutdown.is_drained() or self.time >= until:
                self.kill(process)
                self.at(back_s, "", self.start_agent, name)

        self.every(0.02, process, end_when_left)

    def _look(self, agent: Agent, driver: FakeDriver) -> None:
        if agent.poller.endpoint and self.time >= driver.blocked_until:
            agent.poll()

    def start_entry(self, name: str) -> None:
        """Start an entry's process."""
        node = self.entries[name]
        node.lives += 1
        cfg = LeasedSettings("entry", name, node.domain, f"{name}:1", "")
        me = Hello(PROTOCOL_VERSION, f"{name}.{node.lives}", "entry", f"{name}:1")
        clock = FakeClock(self, me.process)
        links = FakeLinks(self, me, clock)
        view = FleetView(lease_s(cfg), Random(me.process))
        metrics = Metrics(Settings())
        feed = self._feed(clock)
        # It was started some time before it is ready, though after its predecessor had ended.
        started_at = max(self._killed_at.get(name, 0.0), self.time - ENTRY_START_S)
        entry = Entry(view, links, feed, metrics, clock, self.link_bytes_s, started_at)  # type: ignore[arg-type]
        node.entry, node.links, node.view, node.feed = entry, links, view, feed
        if node.lives == 1:
            entry.locks.replica.vote_at_once()
        names = sorted(self.entries)
        entry.views.announced.update(names)
        entry.views.apply_if_newer(new_view(1, names, names), "store")
        self._let_read_store(entry)
        for machine in self.machines.values():
            # As announced in the store.
            cpu = machine.endpoint.capacity.cpu
            if self._prefers(machine, node):
                view.expect_agent(machine.name, "s", machine.domain, cpu, self.time)
        self.alive.add(me.process)
        self.every(TICK_S, me.process, entry.tick)
        self.every(1.0, me.process, lambda: self._let_read_store(entry))
        self.every(LOSS_CHECK_INTERVAL_S, me.process, entry.check_losses)

    def _let_read_store(self, entry: Entry) -> None:
        if not self.is_store_down:
            entry.views.on_store_read(self.time)

    def _feed(self, clock: Clock) -> ConfigFeed:
        source = ConfigSource("config", "config", lambda raw: self.config, "evacuate/")
        feed = ConfigFeed(source, self.store, Metrics(Settings()), clock)
        feed.current = self.config
        return feed

    def evacuate(self, domain: str, readers: Iterable[str] = ()) -> None:
        """Have operators evacuate a failure domain; only ``readers`` see the store's record."""
        self.evacuated_at[domain] = self.time
        self.store.put("config", f"evacuate/{domain}", b"{}")
        self.read_store(readers)

    def take_back(self, domain: str, readers: Iterable[str] = ()) -> None:
        """Have operators end an evacuation."""
        self.evacuated_at.pop(domain, None)
        self.store.put("config", f"evacuate/{domain}", b"")
        self.read_store(readers)

    def read_store(self, entries: Iterable[str]) -> None:
        """Let entries read what operators have written."""
        for name in entries:
            feed = self.entries[name].feed
            assert feed is not None
            feed.follow_once()

    def kill(self, process: str) -> None:
        """End a process at once."""
        self.alive.discard(process)
        self._killed_at[instance_of(process)] = self.time
        for links in self._links():
            if links.me.process == process:
                for peer in list(links.open):
                    self._reset(process, peer)

    def freeze(self, process: str, seconds: float) -> None:
        """Let a process stand still for a while; what reaches it waits."""
        self.frozen.add(process)
        self.at(seconds, "", self._thaw, process)

    def suspend(self, name: str, seconds: float, with_endpoint: bool = False) -> None:
        """Suspend the machine of an instance; frames and heartbeats wait until it resumes.

        Its timers count only the time that it is awake. An endpoint on the same machine stands
        still as well, and sends no heartbeats; its leases go on.
        """
        process = self.process_of(name)
        self.freeze(process, seconds)
        self.at(
            seconds, "", self.suspended_s.update, {process: self.suspended_s[process] + seconds}
        )
        self._due = [
            (at + seconds * (each == process and not _is_frame(call)), number, each, call, args)
            for at, number, each, call, args in self._due
        ]
        heapq.heapify(self._due)
        if with_endpoint:
            endpoint = self.machines[name].endpoint
            self.at(seconds, "", endpoint.set_speed, endpoint.speed)
            endpoint.set_speed(0.0)

    def _thaw(self, process: str) -> None:
        self.frozen.discard(process)
        held, self._held[process] = self._held[process], []
        for call, args in held:
            self.at(0.0, process, call, *args)

    def replace_endpoint(self, name: str, capacity: Resources | None = None) -> FakeEndpoint:
        """End an endpoint's life and begin another at the same address."""
        machine = self.machines[name]
        old = machine.endpoint
        old.up = False
        old.active.clear()
        number = int(old.name.rpartition("x")[2]) + 1
        machine.endpoint = FakeEndpoint(self, f"{name}-x{number}", capacity or old.capacity)
        return machine.endpoint

    def restart_endpoint(self, name: str, down_s: float) -> None:
        """Crash an endpoint, and start it again after a while under the id that it had.

        It then knows nothing of before: its heartbeats and the ends of its runs count from 1.
        """
        machine = self.machines[name]
        old = machine.endpoint
        old.up = False
        old.active.clear()

        def start_again() -> None:
            machine.endpoint = FakeEndpoint(self, old.name, old.capacity)
            machine.sequence = 0

        self.at(down_s, "", start_again)

    def process_of(self, name: str) -> str:
        """Present process of an instance."""
        lives = (self.machines.get(name) or self.entries[name]).lives
        return f"{name}.{lives}"

    # Network

    def _links(self) -> Iterator[FakeLinks]:
        nodes: list[Machine | EntryNode] = [*self.machines.values(), *self.entries.values()]
        yield from (node.links for node in nodes if node.links is not None)

    def _connect(self) -> None:
        """Open what connections can be opened, as agents do every 0.1 s."""
        self.at(0.1, "", self._connect)
        for machine in self.machines.values():
            if machine.agent is not None:
                machine.agent.known_entries = len(self.entries)
            for node in self.entries.values():
                links = machine.links
                if links is not None and node.links is not None and self._prefers(machine, node):
                    self._open(links, node.links)
        for one, other in combinations(self.entries.values(), 2):
            if one.links is not None and other.links is not None:
                self._open(one.links, other.links)

    def _prefers(self, machine: Machine, node: EntryNode) -> bool:
        """Whether an agent connects to an entry; it does not look for others when one is gone."""
        if len(self.entries) <= ENTRIES_PER_AGENT:
            return True
        if machine.name not in self._preferred:
            first = rank_entries(machine.name, self.entries)[:ENTRIES_PER_AGENT]
            self._preferred[machine.name] = frozenset(first)
        return node.name in self._preferred[machine.name]

    def _open(self, agent: FakeLinks, entry: FakeLinks) -> None:
        pair = (agent.me.process, entry.me.process)
        reachable = self.alive.issuperset(pair) and not self.frozen.intersection(pair)
        if not reachable or self.is_cut(*pair):
            return
        if agent.open.get(pair[1]) is not None and entry.open.get(pair[0]) is not None:
            return
        self._open_anew(agent, entry)

    def reopen(self, agent: str, entry: str) -> None:
        """Open another connection between two processes, in place of the one they have."""
        links = {each.me.process: each for each in self._links()}
        pair = (agent, entry)
        reachable = self.alive.issuperset(pair) and not self.frozen.intersection(pair)
        if reachable and links.keys() >= set(pair) and not self.is_cut(*pair):
            self._open_anew(links[agent], links[entry])

    def silence_connections(self) -> None:
        """Let every open connection go silent for good; new ones work."""
        for links in self._links():
            self.silent_links.update(links.open.values())

    def _open_anew(self, agent: FakeLinks, entry: FakeLinks) -> None:
        self._count += 1
        for mine, other in ((agent, entry), (entry, agent)):
            for process in list(mine.open):
                if instance_of(process) == instance_of(other.me.process):
                    del mine.open[process]
            mine.open[other.me.process] = self._count
            mine.heard[other.me.process] = self.time
            if mine.me.role == other.me.role:
                mine.same_role.add(other.me.process)
            mine.opened_in[other.me.process] = mine.suspensions()
        agent.on_open(entry.me)
        entry.on_open(agent.me)

    def is_cut(self, one: str, other: str) -> bool:
        """Whether nothing passes between two processes."""
        return frozenset((instance_of(one), instance_of(other))) in self.cut

    def cut_apart(self, one: str, other: str, seconds: float) -> None:
        """Cut two instances apart silently for a while."""
        pair = frozenset((one, other))
        self.cut.add(pair)
        self.at(seconds, "", self.cut.discard, pair)

    def _reset(self, one: str, other: str) -> None:
        for links in self._links():
            if links.me.process == one and links.open.pop(other, None) is not None:
                links.on_close(other)
            elif links.me.process == other and links.open.pop(one, None) is not None:
                links.on_close(one)

    def close_end(self, process: str, peer: str) -> None:
        """Close a process's end of a connection whose other end was closed."""
        for links in self._links():
            if links.me.process == process:
                links.close(peer)

    def reset(self, one: str, other: str) -> None:
        """Reset the connection of two instances; frames on their way are lost."""
        self._reset(self.process_of(one), self.process_of(other))

    def carry(self, sender: str, receiver: str, link: int, msg: Message) -> None:
        """Take a frame to a process; one that is cut off by then is kept and sent again."""
        if link in self.silent_links:
            return
        if self.is_cut(sender, receiver):
            self.at(0.2, "", self.carry, sender, receiver, link, msg)
            return
        on_its_way_s = self.one_way_s + self._queued_s(sender, msg)
        for links in self._links():
            if links.me.process == receiver:
                self.at(on_its_way_s, receiver, links.take, sender, link, msg)

    def _queued_s(self, sender: str, msg: Message) -> float:
        """How long a frame waits for its sender's link, which is bounded where a test says so."""
        rate = self.bytes_per_s.get(sender)
        if rate is None:
            return 0.0
        size = len(encode(msg))
        self.bytes_sent[sender] += size
        free_at = max(self.time, self._link_free_at.get(sender, 0.0)) + size / rate
        self._link_free_at[sender] = free_at
        return free_at - self.time

    def _heartbeats(self) -> None:
        self.at(0.5, "", self._heartbeats)
        for machine in self.machines.values():
            agent_lives = self.process_of(machine.name) in self.alive
            endpoint = machine.endpoint
            frozen = self.process_of(machine.name) in self.frozen
            if machine.agent is None or not agent_lives or not endpoint.up or frozen:
                continue
            machine.sequence += 1
            endpoint.told_capacity = endpoint.capacity
            machine.agent.on_report(self.report_of(machine, endpoint.draining))
            if endpoint.draining and endpoint.drain_heard_at is None:
                endpoint.drain_heard_at = self.time

    def report_of(self, machine: Machine, draining: bool = False) -> EndpointReport:
        """The heartbeat that a machine's endpoint sends."""
        endpoint = machine.endpoint
        return EndpointReport(
            endpoint.name,
            "",
            "s",
            machine.domain,
            endpoint.capacity,
            ("a",),
            draining,
            2.0 if draining else 0.0,
            machine.sequence,
            endpoint.born,
        )

    # Jobs

    def submit(
        self,
        entry: str,
        tasks: int = 1,
        run_s: float = 0.1,
        cpu: int = 1600,
        estimate_ms: int | None = None,
        failures: int = 0,
        job_id: str = "",
        queue: QueueConfig = QUEUE,
        time_limit_s: float = 5.0,
        works: tuple[float, ...] = (),
        payload: str = "x",
    ) -> Asked:
        """Hand in a job of one step; ``works`` holds the run time of each task if they differ."""
        self._jobs += 1
        name = job_id or f"{self._jobs:016x}"
        guess_ms = int(run_s * 1000) if estimate_ms is None else estimate_ms
        step = StepSpec(tasks, Resources(cpu, 64, 0), guess_ms)
        spec = JobSpec(name, payload, (step,))
        for index in range(tasks):
            each_s = works[index] if works else run_s
            self.works[f"{name}.0.0.{index}"] = (step, Work(each_s, failures))
        node = self.entries[entry]
        assert node.entry is not None
        handle = node.entry.submit(spec, queue, time_limit_s)
        asked = Asked(spec, queue, self.time, run_s, handle)
        self.asked.append(asked)
        if handle.result is not None:
            asked.ended_at = self.time
        else:
            handle.done = _EndNote(self, asked)
        return asked

    def fits(self, asked: Asked) -> bool:
        """Whether the endpoints have free resources for all tasks of a job of one step."""
        step = asked.spec.steps[0]
        free = (each.agent.table.resources.free for each in self.machines.values() if each.agent)
        return sum(max(0, each.cpu) // step.need.cpu for each in free) >= step.tasks

    def note_start(self, endpoint: FakeEndpoint, task: str, late: bool) -> None:
        """Check a start against evacuations, cancels, and other runs of its task at work."""
        self.started.add(task)
        cancelled_at = self.cancelled_at.get(task.partition(".")[0], self.time)
        if self.time > cancelled_at + CANCEL_S and not late:
            self.breaches.append(Breach("UNASKED", self.time, task))
        for machine in self.machines.values():
            other = machine.endpoint
            since = self.evacuated_at.get(machine.domain, self.time)
            if other is endpoint and self.time > since + EVACUATE_S and not late:
                self.breaches.append(Breach("EVAC", self.time, task))
            other.advance()
            if other.up and any(name == task for name, _ in other.active):
                self.breaches.append(Breach("TWICE", self.time, task))

    def false_refusals(self) -> list[str]:
        """Jobs of which every submission was said not to have run, though a task has started."""
        answers: dict[str, set[str]] = defaultdict(set)
        for each in self.asked:
            result = each.handle.result
            answers[each.spec.job_id].add("none" if result is None else result.outcome.value)
        refused = [job_id for job_id, given in answers.items() if given == {"not_run"}]
        started = {task.partition(".")[0] for task in self.started}
        return [job_id for job_id in refused if job_id in started]
