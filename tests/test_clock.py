"""Guards against a periodic loop that ends when one of its calls fails."""

import gevent

from gentianmux.clock import run_periodically


def test_a_failing_call_does_not_end_the_loop() -> None:
    calls: list[int] = []

    def call() -> None:
        calls.append(len(calls))
        if len(calls) == 1:
            raise KeyError("once")

    loop = gevent.spawn(run_periodically, 0.001, call)
    with gevent.Timeout(5):
        while len(calls) < 3:
            gevent.sleep(0.001)
    loop.kill()
