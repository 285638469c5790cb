"""Clocks and deferred calls, replaceable in tests."""

from collections.abc import Callable
from math import inf
from time import clock_gettime, monotonic, time
from typing import Any

import gevent
from loguru import logger

from .codes import ResultCode

try:
    from time import CLOCK_BOOTTIME
except ImportError:
    HAS_BOOT_TIME = False
else:
    HAS_BOOT_TIME = True

MIN_SUSPENSION_S = 0.1
"""Shortest suspension that counts as one: a shorter one delays messages by less than a
retransmission on a link (0.2 s), which leases and time limits allow for."""

# Limits the rate of failures and log lines when the period is 0.
FAILURE_DELAY_S = 0.05


def boot_time() -> float:
    """Seconds since boot, including suspensions of the machine.

    Every lease, fence and deadline uses this clock. ``CLOCK_MONOTONIC`` stands still while a
    machine is suspended, and a lease that expired meanwhile would look valid afterwards. It is the
    fallback on platforms without ``CLOCK_BOOTTIME``.
    """
    return clock_gettime(CLOCK_BOOTTIME) if HAS_BOOT_TIME else monotonic()


def awake_time() -> float:
    """Seconds since boot, those left out in which the machine was suspended."""
    return monotonic()


def suspended_s() -> float:
    """Seconds since boot in which the machine was suspended; 0.0 on the fallback.

    The clocks are read in this order, since a process may be paused in between: the result is then
    too large, and what is computed from it expires too early.
    """
    awake = awake_time()
    return boot_time() - awake if HAS_BOOT_TIME else 0.0


def log_fallback() -> None:
    """Log, once at the start of a process, that suspensions are not noticed on this platform."""
    if not HAS_BOOT_TIME:
        logger.warning("CLOCK_BOOTTIME is missing, leases use the monotonic clock")


class Clock:
    """Clocks of this process and deferred calls on its event loop.

    Attributes
    ----------
    resumed_at : float
        When the last suspension of the machine was noticed; minus infinity before any.

    Examples
    --------
    >>> clock = Clock()
    >>> clock.now() <= clock.now()
    True
    """

    def __init__(self) -> None:
        self.resumed_at = -inf
        self._suspensions = 0
        self._known_suspended_s: float | None = None

    def now(self) -> float:
        """Monotonic time in seconds, suspensions included, for leases and timeouts."""
        return boot_time()

    def suspended_s(self) -> float:
        """Seconds since boot in which the machine was suspended."""
        return suspended_s()

    def suspensions(self) -> int:
        """Number of suspensions of the machine noticed by this process.

        A belief that must be confirmed after a suspension is stored with this number, and holds
        while the number is the same.
        """
        total_s = self.suspended_s()
        known_s = self._known_suspended_s
        if known_s is None or total_s < known_s:
            self._known_suspended_s = total_s
        elif total_s - known_s >= MIN_SUSPENSION_S:
            self._known_suspended_s = total_s
            self._suspensions += 1
            self.resumed_at = self.now()
            logger.bind(suspended_s=round(total_s - known_s, 3), count=self._suspensions).warning(
                "machine was suspended"
            )
        return self._suspensions

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
