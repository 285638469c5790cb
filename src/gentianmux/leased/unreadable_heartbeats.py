"""Counts and logs the heartbeats that an agent cannot use."""

from loguru import logger

from ..codes import ResultCode
from ..metrics import Metrics

MAX_LOGGED_SENDERS = 100
"""Senders of unreadable heartbeats that are remembered, so that each is logged once."""


class UnreadableHeartbeats:
    """Counts unreadable heartbeats, and logs the first of each sender.

    An unrelated sender may go on for as long as the process lives.

    Parameters
    ----------
    metrics : Metrics
        Counters.

    Examples
    --------
    ``unreadable.record("i-7f3a91c2", "born is missing")``
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._senders: set[str] = set()

    def record(self, endpoint: str, reason: str) -> None:
        """Count a heartbeat that is dropped, and log it if it is the first of its sender."""
        self._metrics.count("heartbeats_unreadable")
        if endpoint in self._senders or len(self._senders) >= MAX_LOGGED_SENDERS:
            return
        self._senders.add(endpoint)
        code = int(ResultCode.BAD_FIELD)
        logger.bind(endpoint=endpoint[:100], code=code, reason=reason).warning(
            "heartbeat unreadable"
        )
