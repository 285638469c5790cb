"""What a task requires of the endpoint that runs it."""

from typing import NamedTuple

from .resources import Resources


class PlacementRequest(NamedTuple):
    """Requirements of a task on the endpoint that runs it.

    Attributes
    ----------
    service : str
        Service that the endpoint must run.
    need : Resources
        Resources of the task.
    requires, prefers : str
        Labels that the endpoint must have, or that are preferred; empty for none.
    avoid : frozenset of str
        Endpoint incarnations on which a run of the task did not succeed.
    full : frozenset of str
        Endpoint incarnations that may hold no more tasks of its step.
    estimate_ms : int
        Estimated run time in ms.
    speed_limit : int or None
        Slowest speed class that ends the task in time; None to prefer the fastest.
    waits : bool
        Whether endpoints slower than ``speed_limit`` are excluded, so that the task waits for a
        faster one.
    """

    service: str
    need: Resources
    requires: str = ""
    prefers: str = ""
    avoid: frozenset[str] = frozenset()
    full: frozenset[str] = frozenset()
    estimate_ms: int = 0
    speed_limit: int | None = None
    waits: bool = False

    def allows(self, speed_class: int) -> bool:
        """Whether the task may go to endpoints of a speed class."""
        return not self.waits or self.speed_limit is None or speed_class <= self.speed_limit

    @property
    def is_constrained(self) -> bool:
        """Whether the task has requirements beyond resources and run time."""
        return bool(self.requires or self.prefers or self.avoid or self.full)
