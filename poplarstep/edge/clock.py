r"""Clock of a process."""

import time

MILLISECONDS_PER_SECOND = 1000
NANOSECONDS_PER_MILLISECOND = 1_000_000


def now_ms():
    r"""Return integer milliseconds of a clock that counts suspension.

    Leases depend on it: a host that was suspended must find its lease
    lapsed when it resumes.
    """
    return (
        time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        // NANOSECONDS_PER_MILLISECOND
    )
