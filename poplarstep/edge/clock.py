r"""Clock of a process."""

import time

MILLISECONDS_PER_SECOND = 1000
NANOSECONDS_PER_MILLISECOND = 1_000_000


def unix_ms():
    r"""Return the Unix time in ms, as the clock of this host has it now."""
    return time.time_ns() // NANOSECONDS_PER_MILLISECOND


def now_ms():
    r"""Return the milliseconds since boot, including suspension.

    Leases depend on this clock: a host that was suspended must find its
    lease expired when it resumes.
    """
    return (
        time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        // NANOSECONDS_PER_MILLISECOND
    )
