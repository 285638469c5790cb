"""Runs that an entry took back before they came: an order for one that arrives later is refused."""

from .run_table import RunKey

KEPT_S = 10.0
"""Seconds for which a withdrawal is kept. An order can lie on a replaced connection for a second,
as long as that may take to be greeted, and for as long as its process stands still."""


class WithdrawnRuns:
    """What will never begin here, by entry; pure.

    Two connections to an entry do not keep one order: after a lost packet an order on the older one
    came 0.19 s late, when the entry had already had the task run elsewhere.

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
        """Note that an entry no longer wants a run, and forget what was noted long ago."""
        for known, until in list(self._until.items()):
            if until > now:
                break
            del self._until[known]
        self._until.pop((entry, key), None)
        self._until[entry, key] = now + KEPT_S

    def holds(self, entry: str, key: RunKey) -> bool:
        """Whether an entry has taken a run back."""
        return (entry, key) in self._until
