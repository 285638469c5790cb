"""Runs that entries have withdrawn, whose assignments are refused if they arrive later."""

from .run_state import RunKey

RETENTION_S = 10.0
"""Seconds for which a withdrawal is kept; longer than an assignment can be delayed on a replaced
connection or by a paused process."""


class WithdrawnRuns:
    """Runs that must not begin any more, by entry; pure.

    Two connections to an entry do not preserve order: an assignment on a replaced connection may
    arrive after its withdrawal, when the task already runs elsewhere.

    Examples
    --------
    >>> withdrawn = WithdrawnRuns()
    >>> withdrawn.add("e1.5", ("task", 1), now=1.0)
    >>> withdrawn.holds("e1.5", ("task", 1)), withdrawn.holds("e2.7", ("task", 1))
    (True, False)
    """

    def __init__(self) -> None:
        self._until: dict[tuple[str, RunKey], float] = {}

    def add(self, entry: str, key: RunKey, now: float) -> None:
        """Record a withdrawal, and forget expired ones."""
        for known, until in list(self._until.items()):
            if until > now:
                break
            del self._until[known]
        self._until.pop((entry, key), None)
        self._until[entry, key] = now + RETENTION_S

    def holds(self, entry: str, key: RunKey) -> bool:
        """Whether an entry has withdrawn a run."""
        return (entry, key) in self._until
