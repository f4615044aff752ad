r"""Load shedding at a balancer: limits the rate of new flows."""

from poplarstep.limits import budget

BURST_DIVISOR = 4
MINIMUM_BURST = 4


class Shedder:
    r"""Limits the opens of flows per second; sheds low priorities first.

    Explanation
    ===========

    Priority 0 is the highest. One token bucket serves all priorities. An
    open takes a token only if the reserve of its priority is left in the
    bucket. The reserve is 0 for priority 0 and grows with the number of the
    priority towards three quarters of the bucket. A burst of a low priority
    therefore leaves tokens for the higher ones. The bucket holds the opens
    of a quarter of a second, so shedding ends within that time once the
    demand is below the limit.

    Examples
    ========

    >>> shedder = make_shedder(opens_per_s=16, now=0)
    >>> [shedder.admit(1, now=0) for number in range(4)]
    [True, True, False, False]
    >>> shedder.admit(0, now=0)
    True

    """

    __slots__ = ('bucket', 'admitted_by_priority', 'shed_by_priority')

    def __init__(self, bucket):
        self.bucket = bucket
        self.admitted_by_priority = {}
        self.shed_by_priority = {}

    def reserve_milli(self, priority):
        r"""Return the thousandths of a token that a priority must leave.

        Examples
        ========

        >>> shedder = make_shedder(opens_per_s=16, now=0)
        >>> [shedder.reserve_milli(priority) for priority in range(4)]
        [0, 1500, 2250, 2625]

        """
        maximum_milli = self.bucket.burst_milli * 3 // 4
        return maximum_milli - (maximum_milli >> priority)

    def admit(self, priority, now):
        r"""Count one open; return whether it is admitted."""
        if self.bucket.try_take(now, self.reserve_milli(priority)):
            count_by_priority = self.admitted_by_priority
        else:
            count_by_priority = self.shed_by_priority
        count_by_priority[priority] = count_by_priority.get(priority, 0) + 1
        return bool(count_by_priority is self.admitted_by_priority)


def make_shedder(opens_per_s, now) -> Shedder:
    r"""Return a shedder with a full bucket.

    Raises
    ======

    ValueError
        If ``opens_per_s`` is not positive.
    """
    if opens_per_s < 1:
        raise ValueError(
            'shedder needs a limit of at least 1 open/s, not %r'
            % (opens_per_s,))
    burst = max(MINIMUM_BURST, opens_per_s // BURST_DIVISOR)
    return Shedder(budget.make_token_bucket(opens_per_s, burst, now))
