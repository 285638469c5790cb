"""The view of the entries: who confirms jobs, agreed on in the store."""

import json
from collections.abc import Collection, Iterable
from typing import NamedTuple

from loguru import logger

from ..typed_json import get_int, get_str_list, read_object
from .rendezvous import rank_entries

REPLICAS = 3
"""Entries that may confirm a job: the first ones in the order of its id."""

NO_VERSION = 0
"""Version of a view that does not exist."""

FIRST_VERSION = 1
"""Version of the view that is written where there is none."""


class EntryView(NamedTuple):
    """Names of the entries that confirm jobs.

    A view changes in two steps, so that an entry which knows the earlier step and one which knows
    the later step never confirm with disjoint sets of entries: while ``target`` differs from
    ``settled``, a job needs a majority of its replicas in both.

    Attributes
    ----------
    version : int
        Rises by one with each step.
    settled : tuple of str
        Entries of the last completed step, sorted.
    target : tuple of str
        Entries of the next one; equal to ``settled`` if no change is under way.

    Examples
    --------
    >>> view = EntryView(1, ("e1", "e2", "e3"), ("e1", "e2", "e3"))
    >>> [len(replicas) for replicas in view.replica_sets("5c0e7a21d94b36f8")]
    [3]
    >>> view.reaches({"e1", "e3"}), view.reaches({"e1"})
    (True, False)
    """

    version: int
    settled: tuple[str, ...]
    target: tuple[str, ...]

    @property
    def is_changing(self) -> bool:
        """Whether a change is under way."""
        return self.settled != self.target

    @property
    def members(self) -> frozenset[str]:
        """All entries that are, were or will be counted."""
        return frozenset(self.settled + self.target)

    def replica_sets(self, job_id: str) -> list[list[str]]:
        """Replicas of a job id: one list, or two while a change is under way."""
        sets = [rank_entries(job_id, self.settled)[:REPLICAS]]
        if self.is_changing:
            sets.append(rank_entries(job_id, self.target)[:REPLICAS])
        return sets

    def reaches(self, entries: Collection[str]) -> bool:
        """Whether entries are a majority of all, before and after a change."""
        return is_majority(self.settled, entries) and is_majority(self.target, entries)

    def encode(self) -> bytes:
        """Encode the value of the record in the store."""
        return json.dumps(self._asdict()).encode()


def is_majority(replicas: Collection[str], granted: Collection[str]) -> bool:
    """Whether more than half of the replicas are among the entries that granted.

    Examples
    --------
    >>> is_majority(["e1", "e2"], {"e1"}), is_majority(["e1", "e2", "e3"], {"e1", "e3", "e9"})
    (False, True)
    """
    return 2 * sum(each in granted for each in replicas) > len(replicas)


def new_view(version: int, settled: Iterable[str], target: Iterable[str]) -> EntryView:
    """Create a view from names in any order."""
    return EntryView(version, tuple(sorted(set(settled))), tuple(sorted(set(target))))


def decode_view(value: bytes) -> EntryView | None:
    """Decode the record in the store; None, after logging a warning, when it is invalid."""
    try:
        content = read_object(value)
        version = get_int(content, "version")
        settled, target = (get_str_list(content, name) for name in ("settled", "target"))
        if version == NO_VERSION or not settled or not target:
            raise ValueError("version, settled and target are not all given")
        return new_view(version, settled, target)
    except ValueError as exc:
        logger.bind(reason=str(exc)).warning("view of the entries unreadable")
        return None
