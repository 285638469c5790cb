"""Decides which work a process that was told to stop may still begin."""

ESTIMATE_FACTOR = 1.5
"""Run time to allow for, as a multiple of the estimate, which may be too low."""

SHUTDOWN_MARGIN_S = 0.2
"""Additional time for placing the work and answering."""

UNBOUNDED_ESTIMATE_MS = 2**31 - 1
"""Longest estimate that a process accepts before it is told to stop."""


def finishes_before_shutdown(estimate_s: float, left_s: float) -> bool:
    """Whether work can be expected to end in the time left to its process."""
    return estimate_s * ESTIMATE_FACTOR + SHUTDOWN_MARGIN_S < left_s


def max_estimate_ms(left_s: float) -> int:
    """Longest estimate, in ms, of work that can be expected to end in the time left; 0 for none."""
    return max(0, int((left_s - SHUTDOWN_MARGIN_S) / ESTIMATE_FACTOR * 1000))
