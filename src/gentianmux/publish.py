"""Publishes changes of configuration and reads back what became of them."""

from collections.abc import Callable
from typing import NamedTuple

from .codes import ResultCode
from .config_state import STREAM, Change, ConfigState
from .errors import LogError
from .follower import Follower
from .platform_log import PlatformLog
from .rules import Fault


class PublishResult(NamedTuple):
    """What became of a change: ``OK``, ``CHANGE_CONFLICT``, ``CHANGE_INVALID`` or unknown."""

    code: ResultCode
    offset: int
    faults: list[Fault]


def publish(
    log: PlatformLog, change: Change, attempts: int, pause: Callable[[], None]
) -> PublishResult:
    """Append a change and read it back.

    A reply that was lost after the write is no loss: the change is looked for by its id, and an
    append that is repeated is ignored by every reader.

    Parameters
    ----------
    log : PlatformLog
        The platform's log.
    change : Change
        With a change id of its own.
    attempts : int
        Rounds of append and read before it is called unknown.
    pause : callable
        Called between rounds.
    """
    follower = Follower(log, STREAM, ConfigState())
    state = follower.fold
    assert isinstance(state, ConfigState)
    for attempt in range(attempts):
        if attempt:
            pause()
        found = _round(log, change, follower, state)
        if found is not None:
            return found
    return PublishResult(ResultCode.CHANGE_UNKNOWN, -1, [])


def _round(
    log: PlatformLog, change: Change, follower: Follower, state: ConfigState
) -> PublishResult | None:
    try:
        follower.poll()
        if change.change_id not in state.outcomes:
            log.append(STREAM, change.to_json())
            follower.poll()
    except LogError:
        return None
    outcome = state.outcomes.get(change.change_id)
    return None if outcome is None else PublishResult(outcome.code, outcome.offset, outcome.faults)


def read_config(log: PlatformLog) -> ConfigState:
    """The configuration as the log has it now."""
    state = ConfigState()
    Follower(log, STREAM, state).poll()
    return state
