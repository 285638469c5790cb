"""When this process started; imported before anything that takes time to import."""

from time import clock_gettime, monotonic

try:
    from time import CLOCK_BOOTTIME
except ImportError:
    STARTED_AT = monotonic()
else:
    STARTED_AT = clock_gettime(CLOCK_BOOTTIME)
