"""Keeps the view of the entries up to date, and changes it in the store."""

from collections.abc import Callable
from math import inf

from loguru import logger

from ..clock import Clock
from .entry_view import NO_VERSION, EntryView
from .view_changes import VIEW_STALE_S

UNKNOWN_AGE_MS = 3_600_000
"""Age that stands for a view that was never known to be current."""


class ViewKeeper:
    """Holds the newest view that is known, and when it was known to be current.

    Views come from the store or from peers. One that may have changed unnoticed for
    ``VIEW_STALE_S`` is not used.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Attributes
    ----------
    view : EntryView or None
        The newest view that is known.
    seen_at : float
        Monotonic time at which it became known.
    announced : set of str
        Names of the entries that have announced themselves in the store.
    listeners : list of callable
        Called without arguments after each change of the view.

    Examples
    --------
    >>> keeper = ViewKeeper(Clock())
    >>> keeper.apply_if_newer(EntryView(1, ("e1",), ("e1",)), "store")
    >>> keeper.version
    1
    """

    def __init__(self, clock: Clock) -> None:
        self.view: EntryView | None = None
        self.seen_at = -inf
        self.announced: set[str] = set()
        self.listeners: list[Callable[[], None]] = []
        self._clock = clock
        self._current_at = -inf
        self._has_read_store = False

    @property
    def version(self) -> int:
        """Version of the view; ``NO_VERSION`` for none."""
        return NO_VERSION if self.view is None else self.view.version

    def apply_if_newer(self, view: EntryView, origin: str) -> None:
        """Use a view if it is newer than the present one."""
        if view.version <= self.version:
            return
        logger.bind(
            version=view.version, settled=view.settled, target=view.target, origin=origin
        ).info("view of the entries")
        self.view = view
        self.seen_at = self._clock.now()
        for listener in self.listeners:
            listener()

    def on_store_read(self, asked_at: float) -> None:
        """Note that everything in the store at a time is known here."""
        self._has_read_store = True
        self._current_at = max(self._current_at, asked_at)

    def on_peer_age(self, version: int, current_at: float) -> None:
        """Note when a peer's view was known to be current, in the time of this process."""
        if version == self.version:
            self._current_at = max(self._current_at, current_at)

    def is_current(self, now: float) -> bool:
        """Whether the view cannot have changed long ago without being noticed."""
        return now - self._current_at < VIEW_STALE_S

    def age_ms(self, now: float) -> int:
        """Milliseconds since the view was known to be current."""
        return round(min(UNKNOWN_AGE_MS, (now - self._current_at) * 1000))

    def is_known(self, entry: str) -> bool:
        """Whether an entry has announced itself, now or for an earlier view."""
        return entry in self.announced or (self.view is not None and entry in self.view.members)

    def others(self, me: str) -> set[str] | None:
        """Names of all entries but one; None before the store has been read."""
        if not self._has_read_store:
            return None
        members = frozenset() if self.view is None else self.view.members
        return (self.announced | members) - {me}
