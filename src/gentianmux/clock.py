"""Time and deferred calls, in one place so that tests can bring their own."""

from collections.abc import Callable
from time import monotonic, time
from typing import Any

import gevent
from loguru import logger

from .codes import ResultCode

AFTER_FAILURE_S = 0.05
"""Seconds after a repeated call that failed: without a pause of its own it would fail, and log,
thousands of times a second."""


class Clock:
    """The clocks of this process, and calls that run later on its event loop.

    Examples
    --------
    >>> clock = Clock()
    >>> clock.now() <= clock.now()
    True
    """

    def now(self) -> float:
        """Monotonic time in seconds, for leases and timeouts."""
        return monotonic()

    def now_ms(self) -> int:
        """Unix time in ms, for ids and deadlines that cross processes."""
        return int(time() * 1000)

    def call_later(self, delay_s: float, call: Callable[..., Any], *args: Any) -> None:
        """Call once after a delay in seconds."""
        gevent.spawn_later(delay_s, call, *args)

    def call_soon(self, call: Callable[..., Any], *args: Any) -> None:
        """Call once, outside the present call; it may block."""
        gevent.spawn(call, *args)


def run_periodically(period_s: float, call: Callable[[], None]) -> None:
    """Call for ever, with a pause in seconds before each call.

    A call that fails is logged and the next one made: a process whose deadlines, leases or reports
    have silently stopped is worse than one that has ended.
    """
    while True:
        gevent.sleep(period_s)
        try:
            call()
        except Exception:
            logger.bind(code=int(ResultCode.INTERNAL)).exception("a repeated step failed")
            gevent.sleep(AFTER_FAILURE_S)
