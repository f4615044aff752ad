"""Tests of latency histograms."""

import pytest

from poplarstep.core import histogram

CASES = (
    # observed values, counts up to 10, up to 100, all; sum
    ((), (0, 0, 0), 0),
    ((10,), (1, 1, 1), 10),
    ((11, 100, 101), (0, 2, 3), 212),
    # A clock that went back must not lower the sum.
    ((-5, 3), (2, 2, 2), 3),
)


@pytest.mark.parametrize('values, counts, total', CASES)
def test_rows_are_cumulative(values, counts, total):
    """Guards against values that a bucket misses or counts twice."""
    observed = histogram.Histogram((10, 100))
    for value in values:
        observed.observe(value)
    rows = observed.rows('x')
    assert [row[2] for row in rows[:3]] == list(counts)
    assert rows[3:] == [('x_sum', {}, total), ('x_count', {}, counts[2])]
