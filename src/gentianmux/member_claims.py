"""Splits members' claims on the pool into slot limits per worker, without communication."""

from collections.abc import Mapping
from fractions import Fraction
from typing import Any

from .config_state import ConfigState

TRANSITION_S = 10.0


def split_claim(claim: float, slots: Mapping[str, int]) -> dict[str, int]:
    """Return the slots per worker that a member may use, so that the sum stays in its claim.

    Parameters
    ----------
    claim : float
        Greatest share of the pool, from 0 to 1.
    slots : mapping of str to int
        Slots by worker, for the whole inventory.

    Returns
    -------
    dict of str to int
        Slots by worker; their sum is ``claim`` times all slots, rounded down.

    Examples
    --------
    >>> split_claim(0.5, {"w1": 3, "w2": 3})
    {'w1': 1, 'w2': 2}
    """
    share = Fraction(claim).limit_denominator(1000)
    limits, slots_so_far, assigned = {}, 0, 0
    for worker in sorted(slots):
        slots_so_far += slots[worker]
        cumulative = int(share * slots_so_far)
        limits[worker] = cumulative - assigned
        assigned = cumulative
    return limits


class MemberClaims:
    """Slot limits of all members under the current configuration.

    While a change propagates, some workers use the old version and some the new one, so each
    applies the lower of its two limits for ``TRANSITION_S`` seconds.

    Parameters
    ----------
    config : ConfigState
        The configuration.
    """

    def __init__(self, config: ConfigState) -> None:
        self._config = config
        self._version = -1
        self._limits: dict[str, dict[str, int]] = {}
        self._previous: dict[str, dict[str, int]] = {}
        self._changed = float("-inf")

    def slot_limit(self, member: str, worker: str, now: float) -> int | None:
        """Return the slots of a worker that a member may hold at once, or None for no limit."""
        self._refresh(now)
        limits = [self._limits.get(member)]
        if now - self._changed < TRANSITION_S:
            limits.append(self._previous.get(member))
        bounds = [each.get(worker, 0) for each in limits if each is not None]
        return min(bounds, default=None)

    def _refresh(self, now: float) -> None:
        if self._version == self._config.version:
            return
        first = self._version < 0
        self._version = self._config.version
        fresh = self._all_limits()
        if fresh != self._limits:
            self._previous, self._limits = ({} if first else self._limits), fresh
            self._changed = now

    def _all_limits(self) -> dict[str, dict[str, int]]:
        slots = {name: _slots(self._config.worker(name)) for name in self._config.names("worker")}
        rules = ((name, self._config.member(name) or {}) for name in self._config.names("member"))
        claims = ((name, rule.get("claim", 1.0)) for name, rule in rules)
        return {name: split_claim(claim, slots) for name, claim in claims if claim < 1 and slots}


def _slots(worker: Any) -> int:
    return int((worker or {}).get("slots", 0))
