"""Publishes configuration changes and reads back their outcomes."""

from collections.abc import Callable
from typing import NamedTuple

from .codes import ResultCode
from .config_state import STREAM, Change, ConfigState
from .errors import LogError
from .follower import Follower
from .platform_log import PlatformLog
from .rules import Fault


class PublishResult(NamedTuple):
    """The outcome of a change: ``OK``, or a ``CHANGE_...`` code with the faults found."""

    code: ResultCode
    offset: int
    faults: list[Fault]


def publish(
    log: PlatformLog, change: Change, attempts: int, pause: Callable[[], None]
) -> PublishResult:
    """Append a change and read back its outcome.

    A lost reply is harmless: the change is looked up by its id, and readers ignore a repeated
    append of the same id.

    Parameters
    ----------
    log : PlatformLog
        The platform's log.
    change : Change
        The change, with a unique change id.
    attempts : int
        Number of rounds of append and read before the outcome is reported as unknown.
    pause : callable
        Called between rounds.

    Returns
    -------
    PublishResult
        The outcome; ``CHANGE_UNKNOWN`` if it could not be read back.
    """
    follower = Follower(log, STREAM, ConfigState())
    config = follower.state
    assert isinstance(config, ConfigState)
    for attempt in range(attempts):
        if attempt:
            pause()
        found = _try_publish(log, change, follower, config)
        if found is not None:
            return found
    return PublishResult(ResultCode.CHANGE_UNKNOWN, -1, [])


def _try_publish(
    log: PlatformLog, change: Change, follower: Follower, config: ConfigState
) -> PublishResult | None:
    try:
        follower.poll()
        if change.change_id not in config.outcomes:
            log.append(STREAM, change.to_json())
            follower.poll()
    except LogError:
        return None
    outcome = config.outcomes.get(change.change_id)
    return None if outcome is None else PublishResult(outcome.code, outcome.offset, outcome.faults)


def read_config(log: PlatformLog) -> ConfigState:
    """Read the current configuration from the log.

    Raises
    ------
    LogError
        If the log does not answer.
    """
    config = ConfigState()
    Follower(log, STREAM, config).poll()
    return config
