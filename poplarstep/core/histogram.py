r"""Histogram of latencies with fixed bounds.

Explanation
===========

Values are observed on the packet path, which only increments integers; a
scrape turns them into rows. The rows have the form of a Prometheus
histogram: cumulative counts of the values up to each bound, their sum and
their number.
"""

import bisect

# Upper bounds in ms: from a hop inside a data centre to the longest timeout.
LATENCY_BOUNDS_MS = (
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000)


class Histogram:
    r"""Counts of observed values by bound.

    Parameters
    ==========

    bounds : tuple of int
        Upper bounds in ms, ascending; larger values count as ``+Inf``.

    Examples
    ========

    >>> waits = Histogram((10, 100))
    >>> for value in (3, 10, 70, 500):
    ...     waits.observe(value)
    >>> for row in waits.rows('wait_ms'):
    ...     print(row)
    ('wait_ms_bucket', {'le': '10'}, 2)
    ('wait_ms_bucket', {'le': '100'}, 3)
    ('wait_ms_bucket', {'le': '+Inf'}, 4)
    ('wait_ms_sum', {}, 583)
    ('wait_ms_count', {}, 4)

    """

    __slots__ = ('bounds', 'counts', 'sum')

    def __init__(self, bounds=LATENCY_BOUNDS_MS):
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.sum = 0

    def observe(self, value_ms):
        r"""Count one value; a negative one (the clock went back) as 0."""
        value_ms = max(0, value_ms)
        self.counts[bisect.bisect_left(self.bounds, value_ms)] += 1
        self.sum += value_ms

    def rows(self, name):
        r"""Return ``(name, labels, value)`` rows for the metrics."""
        rows = []
        total = 0
        for bound, count in zip((*self.bounds, '+Inf'), self.counts):
            total += count
            rows.append(('%s_bucket' % name, {'le': str(bound)}, total))
        return rows + [
            ('%s_sum' % name, {}, self.sum),
            ('%s_count' % name, {}, total)]
