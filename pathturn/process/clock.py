"""A monotonic clock in whole microseconds of Unix time."""

import time
from collections.abc import Callable


def unix_clock() -> Callable[[], int]:
    """Return a clock set to the system time now; later adjustments of the system time don't affect it."""
    base_ns = time.time_ns() - time.monotonic_ns()
    return lambda: (base_ns + time.monotonic_ns()) // 1000
