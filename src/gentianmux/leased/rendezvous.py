"""Rendezvous hashing, which assigns each agent a bounded number of entries."""

from collections.abc import Iterable
from hashlib import blake2b

ENTRIES_PER_AGENT = 5
"""Entries connected to an agent: bounds the cost of reports and echoes, and an agent stays in use
while one of them is reachable."""


def rank_entries(agent: str, entries: Iterable[str]) -> list[str]:
    """Entries in the agent's order of preference, the same in every process.

    Examples
    --------
    >>> rank_entries("w1", ["e1", "e2", "e3"]) == rank_entries("w1", ["e3", "e2", "e1"])
    True
    """
    return sorted(entries, key=lambda entry: _weight(agent, entry))


def _weight(agent: str, entry: str) -> bytes:
    return blake2b(f"{agent}/{entry}".encode(), digest_size=8).digest()


def entries_to_connect(agent: str, entries: Iterable[str], connected: Iterable[str]) -> list[str]:
    """Entries that an agent should be connected to: the first ones that can be reached.

    Parameters
    ----------
    agent : str
        Name of the agent's instance.
    entries : iterable of str
        Names of all known entries.
    connected : iterable of str
        Names of the entries with an open connection.

    Returns
    -------
    list of str
        Preferred entries up to the last one needed for ``ENTRIES_PER_AGENT`` connections. Entries
        without a connection stay in the list, as they may come back.

    Examples
    --------
    >>> order = rank_entries("w1", [f"e{number}" for number in range(9)])
    >>> entries_to_connect("w1", order, order) == order[:5]
    True
    >>> entries_to_connect("w1", order, order[1:]) == order[:6]
    True
    """
    connected_set = set(connected)
    found: list[str] = []
    reached = 0
    for entry in rank_entries(agent, entries):
        if reached == ENTRIES_PER_AGENT:
            break
        found.append(entry)
        reached += entry in connected_set
    return found


def is_preferred(agent: str, entries: Iterable[str], entry: str) -> bool:
    """Whether an entry is among an agent's first choices when all entries can be reached."""
    return entry in rank_entries(agent, entries)[:ENTRIES_PER_AGENT]
