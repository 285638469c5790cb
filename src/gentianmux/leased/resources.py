"""The exact account of what an endpoint has and what its runs take."""

from typing import NamedTuple


class Resources(NamedTuple):
    """An amount of resources.

    Attributes
    ----------
    cpu : int
        Processor share, in thousandths of a core.
    mem_mb : int
        Memory, in MB.
    gpu : int
        Accelerators.

    Examples
    --------
    >>> Resources(16000, 1024).minus(Resources(1600, 64))
    Room(cpu=14400, mem_mb=960, gpu=0)
    """

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def plus(self, other: "Room") -> "Room":
        """The sum of both."""
        return Resources(self.cpu + other.cpu, self.mem_mb + other.mem_mb, self.gpu + other.gpu)

    def minus(self, other: "Room") -> "Room":
        """What is left without the other; a part may be negative."""
        return Resources(self.cpu - other.cpu, self.mem_mb - other.mem_mb, self.gpu - other.gpu)

    def fits(self, need: "Room") -> bool:
        """Whether a need fits into this."""
        return need.cpu <= self.cpu and need.mem_mb <= self.mem_mb and need.gpu <= self.gpu

    def dominant_share(self, capacity: "Room") -> float:
        """The largest part that this is of a capacity, over its kinds of resource."""
        parts = [mine / all_ for mine, all_ in zip(self, capacity, strict=True) if all_ > 0]
        return max(parts, default=0.0)


NO_RESOURCES = Resources()


class ResourcePool:
    """Room of one endpoint: taken before a start, given back only once the run is gone.

    Examples
    --------
    >>> account = ResourcePool(Resources(2000, 100))
    >>> account.allocate(("a", 1), Resources(1600, 64))
    True
    >>> account.allocate(("b", 1), Resources(1600, 64))
    False
    """

    def __init__(self, capacity: Resources = NO_RESOURCES) -> None:
        self.capacity = capacity
        self._taken: dict[tuple[str, int], Resources] = {}
        self.used = NO_RESOURCES

    @property
    def free(self) -> Resources:
        """What nothing has taken."""
        return self.capacity.minus(self.used)

    def allocate(self, run: tuple[str, int], need: Resources) -> bool:
        """Take room for a run; false, and nothing is taken, when it does not fit."""
        if run in self._taken or not self.free.fits(need):
            return False
        self._taken[run] = need
        self.used = self.used.plus(need)
        return True

    def release(self, run: tuple[str, int]) -> None:
        """Give back what a run took; a run that took nothing changes nothing."""
        need = self._taken.pop(run, None)
        if need is not None:
            self.used = self.used.minus(need)
