"""Tests of what callers of opaque flows get under load."""

import pytest

from benchmarks import flows


@pytest.mark.parametrize('load, in_aim, lost', [
    pytest.param('nile-hood', 0.99, 0.0, id='usual load'),
    pytest.param(
        'nile-hood, a data centre out', 0.98, 0.005,
        id='the rest of the targets bears the load'),
    pytest.param('gulfline, burst', 0.98, 0.005, id='burst'),
    pytest.param(
        # 500 requests a second meet three targets that bear about 360.
        'nile-hood, overload', 0.5, 0.01,
        id='an overloaded service answers some in time, not all late'),
])
def test_callers_are_answered_in_time(load, in_aim, lost):
    """Guards against queues that make every answer late."""
    site = flows.SITES[load]
    got = flows.measure(site, 'two-choices', seed=3, seconds=4)
    assert got.share_in(site.aim_ms) >= in_aim
    assert got.lost <= lost * got.asked
    served = len(got.latencies_ms)
    assert served + got.refused + got.lost == got.asked
