"""What callers get after a loss of power, on virtual time: ``python -m bench.leased_restart``.

Jobs come as in ``bench.leased_load``. All processes and endpoints end at once and are back some
time later. Callers whose connection broke send again after a pause; connections made while the
entries start wait for them.
"""

import argparse
from random import Random

from loguru import logger

from bench.leased_load import (
    SECONDS,
    TAIL_S,
    Arrival,
    Result,
    account,
    arrivals,
    make_world,
    submit,
)
from bench.leased_world import Asked, World

LOST_AT_S = 4.0
"""When the power goes, in the middle of the usual traffic."""

BACK_S = 1.6
"""Seconds until processes work again: the power is away for 1 s, a start takes 0.6 s."""

RESEND_S = 1.3
"""Seconds until a caller sends a job again whose connection broke."""


class _Callers:
    """Hands jobs in, again when their entry was lost; keeps the last try of each."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._began_at = world.time
        self.tries: dict[int, tuple[Arrival, Asked]] = {}

    def send(self, number: int, job: Arrival, first_at: float) -> None:
        asked = submit(self._world, job)
        # Answers count from the caller's first try.
        asked.at = first_at
        self.tries[number] = job, asked

    def come(self, number: int, job: Arrival) -> None:
        """Send a job that comes now, or as soon as an entry can be reached."""
        now = self._world.time
        back_at = self._began_at + LOST_AT_S + BACK_S
        is_lost = self._began_at + LOST_AT_S <= now < back_at
        self._world.at(back_at - now if is_lost else 0.0, "", self.send, number, job, now)

    def lose(self) -> None:
        """Send again what was at work."""
        pause_s = max(RESEND_S, BACK_S)
        for number, (job, asked) in list(self.tries.items()):
            if asked.ticket.verdict is None:
                self._world.at(pause_s, "", self.send, number, job, asked.at)


def play_restart(seed: int, load: float = 1.0) -> Result:
    """Play one loss of power at a multiple of the usual traffic and account for it."""
    jobs = arrivals(Random(seed), load)
    world = make_world(seed)
    callers = _Callers(world)
    for number, job in enumerate(jobs):
        world.at(job.at, "", callers.come, number, job)
    world.at(LOST_AT_S, "", _lose_power, world, callers)
    world.run(SECONDS + TAIL_S)
    if world.breaches:
        raise AssertionError(world.breaches[:3])
    return account(load, list(callers.tries.values()), world.wasted_runs, 0.0)


def _lose_power(world: World, callers: _Callers) -> None:
    callers.lose()
    for name in [*world.machines, *world.entries]:
        world.kill(world.process_of(name))
    for name in world.machines:
        speed = world.machines[name].endpoint.speed
        world.replace_endpoint(name).speed = speed
        world.at(BACK_S, "", world.start_agent, name)
    for name in world.entries:
        world.at(BACK_S - 0.001, "", world.start_entry, name)


def main() -> None:
    """Print what callers got, a line a seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    args = parser.parse_args()
    logger.remove()
    print(" ".join(f"{name:>12}" for name in Result._fields))
    for seed in range(args.seeds):
        print(" ".join(f"{value:12.3f}" for value in play_restart(seed)))


if __name__ == "__main__":
    main()
