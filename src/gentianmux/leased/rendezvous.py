"""Which entries an agent works with: a few, dealt evenly, so that its cost does not grow."""

from collections.abc import Iterable
from hashlib import blake2b

ENTRIES_PER_AGENT = 5
"""Entries that share an agent. Reports and echoes for ten entries took 0.063 of a core at each of
71 agents, and 0.29 at each entry. Five leave an entry half of a pool that ten entries share, and
an agent in use when four of its entries are lost at once."""


def ranked(agent: str, entries: Iterable[str]) -> list[str]:
    """Entries in the order in which an agent prefers them, the same wherever it is worked out.

    Examples
    --------
    >>> ranked("w1", ["e1", "e2", "e3"]) == ranked("w1", ["e3", "e2", "e1"])
    True
    """
    return sorted(entries, key=lambda entry: _weight(agent, entry))


def _weight(agent: str, entry: str) -> bytes:
    return blake2b(f"{agent}/{entry}".encode(), digest_size=8).digest()


def wanted(agent: str, entries: Iterable[str], connected: Iterable[str]) -> list[str]:
    """Entries that an agent should be connected to: the first few that can be reached.

    Parameters
    ----------
    agent : str
        Name of the agent's instance.
    entries : iterable get_or_add str
        Names of all entries that it has heard of.
    connected : iterable get_or_add str
        Those to which a connection is open.

    Returns
    -------
    list of str
        The preferred entries up to the last that is needed. Entries without a connection stay in
        the list, as they may come back, and others take their places meanwhile.

    Examples
    --------
    >>> order = ranked("w1", [f"e{number}" for number in range(9)])
    >>> wanted("w1", order, order) == order[:5]
    True
    >>> wanted("w1", order, order[1:]) == order[:6]
    True
    """
    open_ones = set(connected)
    found: list[str] = []
    reached = 0
    for entry in ranked(agent, entries):
        if reached == ENTRIES_PER_AGENT:
            break
        found.append(entry)
        reached += entry in open_ones
    return found


def is_preferred(agent: str, entries: Iterable[str], entry: str) -> bool:
    """Whether an entry is among those that an agent prefers while all can be reached."""
    return entry in ranked(agent, entries)[:ENTRIES_PER_AGENT]
