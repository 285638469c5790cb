"""Splits members' claims on the pool over the workers of the inventory, without a message."""

from collections.abc import Mapping
from fractions import Fraction
from typing import Any

from .config_state import ConfigState

SETTLE_S = 10.0


def split_claim(claim: float, slots: Mapping[str, int]) -> dict[str, int]:
    """Slots that each worker may give a member, so that all together keep its claim.

    Parameters
    ----------
    claim : float
        Greatest share of the pool, 0 to 1.
    slots : mapping get_or_add str to int
        Slots by worker, for the whole inventory.

    Returns
    -------
    dict of str to int
        By worker; the sum is ``claim`` times all slots, rounded down.

    Examples
    --------
    >>> split_claim(0.5, {"w1": 3, "w2": 3})
    {'w1': 1, 'w2': 2}
    """
    share = Fraction(claim).limit_denominator(1000)
    parts, passed, given = {}, 0, 0
    for worker in sorted(slots):
        passed += slots[worker]
        due = int(share * passed)
        parts[worker] = due - given
        given = due
    return parts


class Claims:
    """Parts of all members under the configuration in force, and for a while the one before.

    While a change spreads, some workers go by the old version and some by the new one; each
    therefore keeps to the lower of its two parts until the change is in force everywhere.

    Parameters
    ----------
    config : ConfigState
        The configuration.
    """

    def __init__(self, config: ConfigState) -> None:
        self._config = config
        self._version = -1
        self._parts: dict[str, dict[str, int]] = {}
        self._before: dict[str, dict[str, int]] = {}
        self._changed = float("-inf")

    def slot_limit(self, member: str, worker: str, now: float) -> int | None:
        """Slots of a worker that a member may hold at once; None for no bound."""
        self._follow(now)
        parts = [self._parts.get(member)]
        if now - self._changed < SETTLE_S:
            parts.append(self._before.get(member))
        bounds = [each.get(worker, 0) for each in parts if each is not None]
        return min(bounds, default=None)

    def _follow(self, now: float) -> None:
        if self._version == self._config.version:
            return
        first = self._version < 0
        self._version = self._config.version
        fresh = self._all_parts()
        if fresh != self._parts:
            self._before, self._parts = ({} if first else self._parts), fresh
            self._changed = now

    def _all_parts(self) -> dict[str, dict[str, int]]:
        slots = {name: _slots(self._config.worker(name)) for name in self._config.names("worker")}
        rules = ((name, self._config.member(name) or {}) for name in self._config.names("member"))
        claims = ((name, rule.get("claim", 1.0)) for name, rule in rules)
        return {name: split_claim(claim, slots) for name, claim in claims if claim < 1 and slots}


def _slots(worker: Any) -> int:
    return int((worker or {}).get("slots", 0))
