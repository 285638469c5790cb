"""Clocks and deferred calls, replaceable in tests."""

from collections.abc import Callable
from time import monotonic, time
from typing import Any

import gevent
from loguru import logger

from .codes import ResultCode

# Limits the rate of failures and log lines when the period is 0.
FAILURE_DELAY_S = 0.05


class Clock:
    """Clocks of this process and deferred calls on its event loop.

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
        """Schedule one call after a delay in seconds."""
        gevent.spawn_later(delay_s, call, *args)

    def call_soon(self, call: Callable[..., Any], *args: Any) -> None:
        """Schedule one call in a new greenlet; it may block."""
        gevent.spawn(call, *args)


def run_periodically(period_s: float, call: Callable[[], None]) -> None:
    """Call forever, sleeping ``period_s`` seconds before each call.

    Exceptions are logged and do not end the loop, since a process without its deadlines, leases
    or reports is worse than one that has exited.
    """
    while True:
        gevent.sleep(period_s)
        try:
            call()
        except Exception:
            logger.bind(code=int(ResultCode.INTERNAL)).exception("a repeated step failed")
            gevent.sleep(FAILURE_DELAY_S)
