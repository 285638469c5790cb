"""Reads the operators' topic at an agent while none of its entries can."""

from random import Random

import gevent

from ..clock import run_periodically
from .agent_context import AgentContext
from .config_feed import RETRY_DELAY_S

CHECK_INTERVAL_S = 0.25
"""Time between checks whether an entry reads the store: the longest interval of its echoes."""

INFORMED_S = 1.0
"""Time since the last echo of an entry that reads the store after which an agent reads it: several
echoes, which may be late."""

MAX_RETRY_DELAY_S = 1.0
"""Longest delay between attempts while the store does not answer, so that a fleet of agents stays
within the rate of reads that it serves."""


class FallbackReader:
    """Keeps an agent informed of evacuations and configurations.

    An agent usually learns of both from its entries, since a long poll for every agent would cost
    too many reads. Entries tell with each echo whether they have read the store lately. While none
    of them has, the agent reads it, and passes on to them what it learns.

    Parameters
    ----------
    ctx : AgentContext
        The agent's feed, and when an entry last told that it reads the store.
    rng : Random
        Spreads the attempts of many agents.

    Attributes
    ----------
    reads : int
        Number of reads so far.

    Examples
    --------
    ``gevent.spawn(reader.run)``, or ``reader.step()`` periodically.
    """

    def __init__(self, ctx: AgentContext, rng: Random) -> None:
        self.reads = 0
        self._ctx = ctx
        self._rng = rng
        self._delay_s = RETRY_DELAY_S

    @property
    def is_needed(self) -> bool:
        """Whether entries are connected, none of which has read the store lately."""
        is_informed = self._ctx.clock.now() - self._ctx.informed_at < INFORMED_S
        return not is_informed and bool(self._ctx.links.processes())

    def run(self) -> None:
        """Read whenever it is needed, until the process ends."""
        run_periodically(CHECK_INTERVAL_S, self._read_while_needed)

    def _read_while_needed(self) -> None:
        while self.is_needed:
            if self.step():
                self._delay_s = RETRY_DELAY_S
                continue
            gevent.sleep(self._delay_s * self._rng.uniform(0.5, 1.5))
            self._delay_s = min(MAX_RETRY_DELAY_S, self._delay_s * 2)

    def step(self) -> bool:
        """Read once if it is needed; false if the store did not answer."""
        if not self.is_needed:
            return True
        self.reads += 1
        self._ctx.metrics.count("fallback_reads")
        return self._ctx.feed.read_once()
