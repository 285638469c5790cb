"""When this process started; imported before anything that takes time to import."""

import time

STARTED_AT = time.clock_gettime(getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC))
