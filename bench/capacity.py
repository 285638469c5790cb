"""Measures the slopes behind docs/CAPACITY.md: ``python -m bench.capacity [--write]``.

Without ``--write`` it measures again and fails where a slope is off what was kept by more than a
quarter (bytes) or a factor of three (times, which vary with the machine).
"""

import gc
import json
import sys
import tracemalloc
from collections.abc import Callable
from random import Random
from time import perf_counter
from typing import Any, NamedTuple

from loguru import logger

from bench.processes import ROOT
from bench.world import SETTINGS, World
from gentianmux.codec import decode, encode
from gentianmux.config_state import Change, ConfigState
from gentianmux.fleet_records import Join, to_json
from gentianmux.fleet_state import FleetState, Shard
from gentianmux.frames import pack_frame
from gentianmux.ledger import Ledger, LedgerBounds
from gentianmux.membership import Membership, Timing
from gentianmux.messages import (
    LeaseRequest,
    MemberUpdate,
    ShardLease,
    StartBatch,
    Task,
    TaskResult,
)
from gentianmux.platform_log import Record
from gentianmux.routing import choose_agents
from gentianmux.start_records import StartRecords

RESULT = ROOT / "bench" / "results" / "capacity.json"
BYTES_BOUND = 1.25
TIME_BOUND = 3.0
SIZES = (500, 1000, 2000)
AGENTS = (10, 100, 1000, 11_000)
ROUNDS = 200


class Slope(NamedTuple):
    """A fitted cost: what one more of something takes, and the range it was fitted over."""

    value: float
    unit: str
    sizes: str


def bytes_each(make: Callable[[int], Any]) -> Slope:
    """Least-squares slope of the memory that ``make(n)`` holds over n."""
    held = []
    for size in SIZES:
        gc.collect()
        tracemalloc.start()
        kept = make(size)
        gc.collect()
        held.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del kept
    mean_n, mean_b = sum(SIZES) / len(SIZES), sum(held) / len(held)
    over = sum((n - mean_n) * (b - mean_b) for n, b in zip(SIZES, held, strict=True))
    slope = over / sum((n - mean_n) ** 2 for n in SIZES)
    return Slope(round(slope), "bytes", f"{SIZES[0]}..{SIZES[-1]}")


def micros(call: Callable[[], Any], rounds: int = ROUNDS, per: int = 1) -> Slope:
    """Median time of a call in microseconds, divided by ``per``."""
    took = []
    for _ in range(rounds):
        began = perf_counter()
        call()
        took.append(perf_counter() - began)
    return Slope(round(sorted(took)[rounds // 2] * 1e6 / per, 2), "us", f"{per} a call")


def _member(number: int) -> MemberUpdate:
    where = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7400"
    name = f"worker-{number:05}"
    process, domain = f"{name}.1764690000000", f"fd{number % 10}"
    return MemberUpdate(process, name, "agent", where, where, domain, ["intake"], 8, 0, 0)


def _join(number: int) -> Join:
    each = _member(number)
    return Join(each.process, each.name, 1, "agent", each.address, each.http, "fd1", ["intake"], 8)


def members(count: int) -> Membership:
    """A membership that knows so many processes."""
    core = Membership(_member(0), Timing(0.5, 1.5), Random(1))
    core.add_joined([_join(number) for number in range(1, count + 1)], 0.0)
    return core


def fleet(count: int) -> FleetState:
    """A folded fleet stream with so many processes."""
    state = FleetState(1)
    for number in range(count):
        state.apply(Record(number, to_json(_join(number))))
    return state


def shard_rows(count: int) -> list[Shard]:
    """Rows of a shard table."""
    return [
        Shard(f"a{n % 99}.1", f"b{n % 97}.1", n + 300, n + 300, n + 10**12) for n in range(count)
    ]


def config(count: int) -> ConfigState:
    """A folded configuration with so many workers."""
    state = ConfigState()
    item = {"rack": "r", "failure_domain": "fd1", "cores": 16, "memory_mb": 65536, "slots": 8}
    for number in range(count):
        change = Change(
            f"c{number}", number, {f"worker/w{number}": {**item, "rack": f"r{number}"}}, []
        )
        state.apply(Record(number, change.to_json()))
    return state


def ledger(count: int) -> Ledger:
    """A ledger with so many ended jobs, answers of 200 bytes."""
    made = Ledger(LedgerBounds(600_000, 5_000, 1 << 30))
    for number in range(count):
        key = f"steppe/01a23784-0e51-77ca-a8fa-{number:012}"
        made.admit(key, bytes(16), number)
        made.finish(key, 0, bytes(200))  # type: ignore[arg-type]
    return made


def records(count: int) -> StartRecords:
    """Start records of so many jobs with one ended task each, outputs of 60 bytes."""
    made = StartRecords(600_000)
    for number in range(count):
        tasks = [Task(0, 0, "p" * 60, 100)]
        batch = StartBatch(
            f"steppe/{number:036}", 0, 1, "steppe", "intake", -1, -1, False, 0, 0, tasks
        )
        offer = made.offer(batch, "a.1", 0.0, 0)
        assert offer.job is not None
        made.begin(offer.job, offer.queued[0], 0.0)
        made.finish(offer.job, offer.queued[0], TaskResult(0, 0, 0, "o" * 60, 0.0, 1.0))
        offer.job.unsent.clear()
    return made


def start_batch(count: int) -> StartBatch:
    """A start frame."""
    tasks = [Task(number, 0, "x" * 110, 100) for number in range(count)]
    return StartBatch("steppe/job", 1, 2, "steppe", "intake", -1, -1, False, 1, 0, tasks)


def decision(agents: int) -> Slope:
    """Time to place a job of 20 tasks among so many agents, a task."""
    world = World(agents=1, cfg=SETTINGS)
    world.run(6)
    (node,) = world.nodes.values()
    for number in range(agents):
        join = _join(number)._replace(services=["s"])
        node.ctx.fleet.processes[join.process] = join
    node.ctx.fleet.version += 1
    node.ctx.membership.is_alive = lambda process: True  # type: ignore[method-assign]
    placement = node.ctx.placement

    def once() -> None:
        chosen = choose_agents(20, placement.candidates("s", 20), node.ctx.rng)
        assert len(chosen) == 20

    return micros(once, 30, 20)


def measure() -> dict[str, Slope]:
    """All slopes."""
    core = members(2000)
    batch = start_batch(150)
    body = encode(batch)
    lease = LeaseRequest("a.1", 0.0, [ShardLease(n, n) for n in range(2)])
    return {
        "member in membership": bytes_each(members),
        "process in the fleet stream": bytes_each(fleet),
        "shard in the table": bytes_each(shard_rows),
        "worker in the configuration": bytes_each(config),
        "ended job in a ledger (200 B answer)": bytes_each(ledger),
        "job in start records (one task, 60 B)": bytes_each(records),
        "encode a task": micros(lambda: encode(batch), per=150),
        "decode a task": micros(lambda: decode(body), per=150),
        "frame and digest, 150 tasks": micros(lambda: pack_frame(body)),
        "membership tick, 2000 known": micros(lambda: core.tick(perf_counter())),
        "renewal of 2 shards, coding": micros(lambda: decode(encode(lease))),
        **{f"candidates of a job of 20 among {n}, a task": decision(n) for n in AGENTS},
    }


def main() -> int:
    """Write the slopes, or compare them with those kept."""
    logger.remove()
    found = measure()
    for name, slope in found.items():
        print(f"{name:48} {slope.value:10} {slope.unit}")
    if "--write" in sys.argv:
        kept = {name: slope._asdict() for name, slope in found.items()}
        RESULT.write_text(json.dumps(kept, indent=1) + "\n")
        return 0
    kept = json.loads(RESULT.read_text())
    off = [name for name, slope in found.items() if _is_off(slope, kept[name]["value"])]
    print(f"off: {', '.join(off)}" if off else "the page's slopes hold")
    return 1 if off else 0


def _is_off(slope: Slope, kept: float) -> bool:
    bound = BYTES_BOUND if slope.unit == "bytes" else TIME_BOUND
    return not kept / bound <= slope.value <= kept * bound


if __name__ == "__main__":
    sys.exit(main())
