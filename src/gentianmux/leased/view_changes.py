"""Decides when the view of the entries has to change; pure."""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from .entry_view import FIRST_VERSION, EntryView, is_majority, new_view

VIEW_STALE_S = 15.0
"""Age from which a view may have changed unnoticed. Outages of the store that are shorter are not
noticed by callers."""

SETTLE_AFTER_S = VIEW_STALE_S + 3.0
"""Time from one step of a change to the next. Every entry has learned of the first by then, or
confirms nothing since its view is stale."""

REMOVE_AFTER_S = 18.0
"""Silence after which an entry is removed: longer than a restart or a usual pause takes."""

ADD_AFTER_S = 5.0
"""Time for which an entry must be in contact before it is added."""

LOST_MAJORITY_S = 40.0
"""Silence of a majority after which the others go on without it, as the store lets them."""


class Observation(NamedTuple):
    """What an entry knows of all entries.

    Attributes
    ----------
    me : str
        Name of its instance.
    announced : collection of str
        Names of the entries with an announcement in the store.
    silent_s : mapping of str to float
        Seconds without contact, by name; 0.0 for the entry itself.
    in_contact_s : mapping of str to float
        Seconds for which the contact has lasted, by name.
    view_seen_s : float
        Seconds since the present view became known here.
    """

    me: str
    announced: Collection[str]
    silent_s: Mapping[str, float]
    in_contact_s: Mapping[str, float]
    view_seen_s: float


def first_view(observed: Observation) -> EntryView:
    """Return the first view: every entry that is announced, since none has confirmed a job yet."""
    names = {observed.me, *observed.announced}
    return new_view(FIRST_VERSION, names, names)


def next_view(view: EntryView, observed: Observation) -> EntryView | None:
    """Return the next step of the view; None while nothing has to change.

    Examples
    --------
    >>> view = EntryView(4, ("e1", "e2", "e3"), ("e1", "e2", "e3"))
    >>> silent = {"e1": 0.0, "e2": 0.1, "e3": 30.0}
    >>> next_view(view, Observation("e1", silent, silent, {}, 60.0)).target
    ('e1', 'e2')
    """
    silent_s = observed.silent_s
    in_contact = {name for name in view.members if silent_s.get(name, 0.0) < REMOVE_AFTER_S}
    gone = {name for name in view.members if silent_s.get(name, 0.0) >= LOST_MAJORITY_S}
    is_majority_lost = not is_majority(view.settled, in_contact)
    if is_majority_lost and in_contact != view.members - gone:
        return None
    if not is_majority_lost and observed.me not in view.members:
        return None
    added = {
        name
        for name in set(observed.announced) - set(view.target)
        if observed.in_contact_s.get(name, 0.0) >= ADD_AFTER_S
    }
    if is_majority_lost:
        added.add(observed.me)
    target = (set(view.target) & in_contact) | added
    if target != set(view.target):
        return new_view(view.version + 1, view.settled, target)
    if view.is_changing and observed.view_seen_s >= SETTLE_AFTER_S:
        return new_view(view.version + 1, view.target, view.target)
    return None
