r"""Priority shedding of opens at a balancer."""

from poplarstep.limits import budget

BURST_DIVISOR = 4
MINIMUM_BURST = 4


class Shedder:
    r"""Budget of opens per second that sheds the lowest priority first.

    Explanation
    ===========

    One token bucket serves all priorities. A priority may take a token only
    while the level stays above its reserve, and the reserve grows with the
    priority number: 0 for priority 0, approaching three quarters of the
    bucket. A spike of a low priority drains the bucket no further than its
    reserve, and what is left serves the higher priorities. The bucket
    holds a quarter of a second of the budget, so shedding ends within that
    time after the demand ends.

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
        r"""Return the thousandths of a token kept from a priority.

        Examples
        ========

        >>> shedder = make_shedder(opens_per_s=16, now=0)
        >>> [shedder.reserve_milli(priority) for priority in range(4)]
        [0, 1500, 2250, 2625]

        """
        most = self.bucket.burst_milli * 3 // 4
        return most - (most >> priority)

    def admit(self, priority, now):
        r"""Return whether an open may pass; 0 is the highest priority."""
        if self.bucket.try_take(now, self.reserve_milli(priority)):
            count_by_priority = self.admitted_by_priority
        else:
            count_by_priority = self.shed_by_priority
        count_by_priority[priority] = count_by_priority.get(priority, 0) + 1
        return bool(count_by_priority is self.admitted_by_priority)


def make_shedder(opens_per_s, now):
    r"""Return a shedder with a full bucket.

    Raises
    ======

    ValueError
        If the budget is not positive.
    """
    if opens_per_s < 1:
        raise ValueError(
            'budget must be at least 1 open/s, not %r' % (opens_per_s,))
    burst = max(MINIMUM_BURST, opens_per_s // BURST_DIVISOR)
    return Shedder(budget.make_token_bucket(opens_per_s, burst, now))
