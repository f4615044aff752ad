"""Tests of the answers to callers of opaque flows under load."""

import pytest

from benchmarks import flows


@pytest.mark.parametrize('load, min_in_time, max_lost', [
    pytest.param('nile-hood', 0.99, 0.0, id='usual load'),
    pytest.param(
        'nile-hood, a data centre out', 0.98, 0.005,
        id='the other targets carry the load'),
    pytest.param('gulfline, burst', 0.98, 0.005, id='burst'),
    pytest.param(
        # 500 requests a second reach three targets that serve about 360.
        'nile-hood, overload', 0.5, 0.01,
        id='an overloaded service answers some in time, not all late'),
])
def test_callers_are_answered_in_time(load, min_in_time, max_lost):
    """Guards against queueing that makes every answer late."""
    scenario = flows.SCENARIOS[load]
    outcome = flows.measure(scenario, 'two-choices', seed=3, seconds=4)
    assert outcome.share_within(scenario.objective_ms) >= min_in_time
    assert outcome.lost <= max_lost * outcome.requests
    answered = len(outcome.latencies_ms)
    assert answered + outcome.refused + outcome.lost == outcome.requests
