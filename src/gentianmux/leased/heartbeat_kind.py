"""Classifies a heartbeat by comparing it with the newest one that was accepted."""

from enum import Enum

from .model import EndpointReport


class HeartbeatKind(Enum):
    """Kind of a heartbeat, relative to the newest one that was accepted."""

    CURRENT = "current"
    OVERTAKEN = "overtaken"
    RESTARTED = "started again"
    ENDED = "of a life that has ended"
    WITHOUT_START = "of another writer"
    OTHER_ENDPOINT = "of another endpoint"


def classify_heartbeat(report: EndpointReport, newest: EndpointReport | None) -> HeartbeatKind:
    """Classify a heartbeat by its endpoint's id and start, and only then by its number.

    An endpoint that restarts under its id counts heartbeats from 1 again. By id and number alone,
    one that reports draining would be skipped as overtaken, and tasks would begin there.

    Examples
    --------
    >>> from gentianmux.leased.resources import Resources
    >>> first = EndpointReport("i-1", "", "s", "fd", Resources(1, 1), (), False, 0.0, 9, born=100)
    >>> classify_heartbeat(first._replace(sequence=8), first).value
    'overtaken'
    >>> classify_heartbeat(first._replace(sequence=1, born=200), first).value
    'started again'
    """
    if newest is None or report.endpoint != newest.endpoint:
        return HeartbeatKind.OTHER_ENDPOINT
    if newest.born and not report.born:
        return HeartbeatKind.WITHOUT_START
    if newest.born and report.born != newest.born:
        return HeartbeatKind.RESTARTED if report.born > newest.born else HeartbeatKind.ENDED
    return HeartbeatKind.OVERTAKEN if report.sequence < newest.sequence else HeartbeatKind.CURRENT
