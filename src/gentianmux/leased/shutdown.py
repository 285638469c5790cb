"""What a process that was told to stop may still begin."""

ALLOWANCE = 1.5
"""How many times its estimate work may take; estimates are off by up to 40 %."""

SPARE_S = 0.2
"""Seconds on top, for placing and answering."""

UNBOUNDED_ESTIMATE_MS = 2**31 - 1
"""The longest estimate that a process takes while nobody has told it to stop, in ms."""


def finishes_before_shutdown(estimate_s: float, left_s: float) -> bool:
    """Whether work can be expected to end before its process does."""
    return estimate_s * ALLOWANCE + SPARE_S < left_s


def longest_ms(left_s: float) -> int:
    """The longest estimate, in ms, that can be expected to end in the time left; 0 for none."""
    return max(0, int((left_s - SPARE_S) / ALLOWANCE * 1000))
