"""Writes the view of the entries to the store, and changes it as entries come and go."""

from collections.abc import Iterable

from loguru import logger

from ..clock import Clock
from .directory import Directory
from .entry_peers import EntryPeers
from .entry_view import EntryView
from .view_changes import LOST_MAJORITY_S, Observation, first_view, next_view
from .view_keeper import ViewKeeper

CHECK_INTERVAL_S = 0.5
"""Time between checks whether the view has to change."""

FIRST_VIEW_DELAY_S = 1.5
"""Time from the start of an entry to its first view, within which the others announce themselves
when all start together."""

SILENT_S = 5.0
"""Time without an answer from which an entry counts as silent: two idle beats."""


class ViewWriter:
    """Proposes each step of the view; the store accepts one proposal for each version.

    Parameters
    ----------
    me : str
        Name of this entry's instance.
    directory : Directory
        Reads and writes the store.
    views : ViewKeeper
        The present view.
    peers : EntryPeers
        Tells which entries answer.
    clock : Clock
        Source of monotonic time.

    Examples
    --------
    ``writer.step(announced_entries)`` periodically.
    """

    def __init__(
        self, me: str, directory: Directory, views: ViewKeeper, peers: EntryPeers, clock: Clock
    ) -> None:
        self._me = me
        self._directory = directory
        self._views = views
        self._peers = peers
        self._clock = clock
        self._started_at = self._stepped_at = clock.now()
        self._silent_s: dict[str, float] = {}
        self._in_contact_s: dict[str, float] = {}

    def step(self, announced: Iterable[str]) -> None:
        """Propose a change of the view, if there has to be one."""
        now = self._clock.now()
        names = set(announced) | {self._me}
        view = self._views.view
        self._observe(names if view is None else names | view.members, now)
        observed = Observation(
            self._me, names, self._silent_s, self._in_contact_s, now - self._views.seen_at
        )
        if view is not None:
            proposed = next_view(view, observed)
        elif self._directory.has_read and now - self._started_at >= self._first_view_delay_s():
            proposed = first_view(observed)
        else:
            proposed = None
        if proposed is not None:
            self._propose(proposed)

    def _first_view_delay_s(self) -> float:
        """Time to wait for a view of others, longer if there is an unreadable one."""
        return FIRST_VIEW_DELAY_S if self._directory.began_empty else LOST_MAJORITY_S

    def _observe(self, names: Iterable[str], now: float) -> None:
        """Count for how long each entry has been silent, without pauses of this process."""
        passed_s = min(now - self._stepped_at, 2 * CHECK_INTERVAL_S)
        self._stepped_at = now
        for name in names:
            is_silent = name != self._me and now - self._peers.heard_at(name) >= SILENT_S
            silent_s, contact_s = self._silent_s, self._in_contact_s
            silent_s[name] = silent_s.get(name, 0.0) + passed_s if is_silent else 0.0
            contact_s[name] = 0.0 if is_silent else contact_s.get(name, 0.0) + passed_s

    def _propose(self, view: EntryView) -> None:
        accepted = self._directory.write_view(view)
        logger.bind(
            version=view.version, settled=view.settled, target=view.target, accepted=accepted
        ).info("view of the entries proposed")
