"""Weighted fair queue over members."""

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class FairQueue(Generic[T]):
    """Start-time fair queueing by member weight.

    The share of idle members goes to the others; a burst delays only its own member.

    Parameters
    ----------
    weight_of : callable
        Returns the weight of a member, at least 1.

    Examples
    --------
    >>> queue = FairQueue[str](lambda member: 1)
    >>> for task in ("a1", "a2"): queue.push("a", task, 1.0)
    >>> queue.push("b", "b1", 1.0)
    >>> [queue.pop() for _ in range(3)]
    [('a', 'a1'), ('b', 'b1'), ('a', 'a2')]
    """

    def __init__(self, weight_of: Callable[[str], int]) -> None:
        self._weight_of = weight_of
        self._queues: dict[str, deque[tuple[T, float]]] = {}
        self._start_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._length = 0

    def push(self, member: str, item: T, cost: float) -> None:
        """Append an item to its member's queue; ``cost`` is its expected run time."""
        queue = self._queues.get(member)
        if not queue:
            queue = self._queues.setdefault(member, deque())
            self._start_tags[member] = max(self._start_tags.get(member, 0.0), self._virtual_time)
        queue.append((item, cost))
        self._length += 1

    def pop(self, may_run: Callable[[str], bool] | None = None) -> tuple[str, T] | None:
        """Pop an item of the eligible member with the lowest start tag; None if there is none."""
        waiting = [name for name in self._queues if may_run is None or may_run(name)]
        if not waiting:
            return None
        member = min(waiting, key=self._start_tags.__getitem__)
        queue = self._queues[member]
        item, cost = queue.popleft()
        self._length -= 1
        self._virtual_time = self._start_tags[member]
        self._start_tags[member] += cost / max(1, self._weight_of(member))
        if not queue:
            del self._queues[member]
            self._forget_idle()
        return member, item

    def _forget_idle(self) -> None:
        if not self._queues:
            self._start_tags.clear()
            self._virtual_time = 0.0

    def waiting(self, member: str) -> int:
        """Number of queued items of one member."""
        return len(self._queues.get(member, ()))

    def __len__(self) -> int:
        return self._length
