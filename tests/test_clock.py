"""Repeated steps go on whatever one of them does."""

import gevent

from gentianmux.clock import run_periodically


def test_a_step_that_fails_does_not_end_the_repetition() -> None:
    calls: list[int] = []

    def step() -> None:
        calls.append(len(calls))
        if len(calls) == 1:
            raise KeyError("once")

    loop = gevent.spawn(run_periodically, 0.001, step)
    with gevent.Timeout(5):
        while len(calls) < 3:
            gevent.sleep(0.001)
    loop.kill()
