"""Resource amounts, and the resources of an endpoint that its runs hold."""

from collections.abc import Iterable
from functools import reduce
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
    Resources(cpu=14400, mem_mb=960, gpu=0)
    """

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(self.cpu + other.cpu, self.mem_mb + other.mem_mb, self.gpu + other.gpu)

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference; parts of it may be negative."""
        return Resources(self.cpu - other.cpu, self.mem_mb - other.mem_mb, self.gpu - other.gpu)

    def fits(self, need: "Resources") -> bool:
        """Whether ``need`` is available in this amount."""
        return need.cpu <= self.cpu and need.mem_mb <= self.mem_mb and need.gpu <= self.gpu

    def dominant_share(self, capacity: "Resources") -> float:
        """Largest share of a capacity over all kinds of resource; 0.0 if there are none."""
        parts = [mine / all_ for mine, all_ in zip(self, capacity, strict=True) if all_ > 0]
        return max(parts, default=0.0)


NO_RESOURCES = Resources()


def sum_of(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of several amounts."""
    return reduce(Resources.plus, amounts, NO_RESOURCES)


class ResourcePool:
    """Resources of one endpoint, allocated before a start and released once the run has ended.

    Examples
    --------
    >>> pool = ResourcePool(Resources(2000, 100))
    >>> pool.allocate(("a", 1), Resources(1600, 64))
    True
    >>> pool.allocate(("b", 1), Resources(1600, 64))
    False
    """

    def __init__(self, capacity: Resources = NO_RESOURCES) -> None:
        self.capacity = capacity
        self._allocated: dict[tuple[str, int], Resources] = {}
        self.used = NO_RESOURCES

    @property
    def free(self) -> Resources:
        """Resources that no run holds."""
        return self.capacity.minus(self.used)

    def allocate(self, run: tuple[str, int], need: Resources) -> bool:
        """Allocate resources for a run; false, without any effect, if they are not free."""
        if run in self._allocated or not self.free.fits(need):
            return False
        self._allocated[run] = need
        self.used = self.used.plus(need)
        return True

    def release(self, run: tuple[str, int]) -> None:
        """Release the resources of a run, if it holds any."""
        need = self._allocated.pop(run, None)
        if need is not None:
            self.used = self.used.minus(need)
