"""Judges what a heartbeat is to an agent that has heard others: news, overtaken, another life."""

from enum import Enum

from .model import EndpointReport


class Word(Enum):
    """What a heartbeat is, beside the newest one that was taken in."""

    CURRENT = "current"
    OVERTAKEN = "overtaken"
    STARTED_AGAIN = "started again"
    ENDED = "of a life that has ended"
    FOREIGN = "of another writer"
    OTHER = "of another endpoint"


def judge(report: EndpointReport, newest: EndpointReport | None) -> Word:
    """Judge a heartbeat by its endpoint's id and start, and only then by its number.

    An endpoint may start again under its id and then counts from 1. Judged by id and number alone,
    its word that it drains was passed over as overtaken, and tasks began there afterwards.

    Examples
    --------
    >>> from gentianmux.leased.resources import Resources
    >>> first = EndpointReport("i-1", "", "s", "fd", Resources(1, 1), (), False, 0.0, 9, born=100)
    >>> judge(first._replace(sequence=8), first).value
    'overtaken'
    >>> judge(first._replace(sequence=1, born=200), first).value
    'started again'
    """
    if newest is None or report.endpoint != newest.endpoint:
        return Word.OTHER
    if newest.born and not report.born:
        return Word.FOREIGN
    if newest.born and report.born != newest.born:
        return Word.STARTED_AGAIN if report.born > newest.born else Word.ENDED
    return Word.OVERTAKEN if report.sequence < newest.sequence else Word.CURRENT
