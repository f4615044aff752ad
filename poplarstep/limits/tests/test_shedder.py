"""Tests of load shedding by priority."""

import copy

import hypothesis
from hypothesis import strategies
import pytest

from poplarstep.limits import shedder

OPENS_PER_S = 1000


def offer(subject, demand_by_priority, start, end):
    """Offer evenly spaced opens; return the admitted share by priority.

    The demand is in opens per second, the start and end are in ms.
    """
    admitted = dict.fromkeys(demand_by_priority, 0)
    offered = dict.fromkeys(demand_by_priority, 0)
    for now in range(start, end):
        for priority, demand in demand_by_priority.items():
            before = (now - start) * demand // 1000
            for _ in range((now - start + 1) * demand // 1000 - before):
                offered[priority] += 1
                admitted[priority] += subject.admit(priority, now)
    return {
        priority: admitted[priority] / offered[priority]
        for priority in offered}


def test_rejects_empty_budget():
    """Guards against a balancer that sheds every open."""
    with pytest.raises(ValueError, match='at least 1 open/s'):
        shedder.make_shedder(0, now=0)


@pytest.mark.parametrize('demand_by_priority, fully_admitted', [
    ({0: 300, 1: 300, 2: 300}, {0, 1, 2}),
    ({0: 500, 1: 5000}, {0}),
    ({0: 900, 1: 5000, 2: 5000}, {0}),
    ({0: 200, 1: 600, 2: 5000}, {0, 1}),
    ({1: 600, 5: 5000}, {1}),
])
def test_low_priority_does_not_displace_high_priority(
        demand_by_priority, fully_admitted):
    """Guards against shedding opens of a high priority for lower ones."""
    subject = shedder.make_shedder(OPENS_PER_S, now=0)
    shares = offer(subject, demand_by_priority, 0, 5000)
    assert {
        priority for priority, share in shares.items() if share == 1
    } == fully_admitted


@pytest.mark.parametrize('demand_by_priority', [
    {0: 5000}, {0: 500, 1: 5000}, {2: 3000, 3: 3000}])
def test_admits_the_configured_rate(demand_by_priority):
    """Guards against more or fewer admitted opens than the limit."""
    subject = shedder.make_shedder(OPENS_PER_S, now=0)
    offer(subject, demand_by_priority, 0, 4000)
    admitted = sum(subject.admitted_by_priority.values())
    assert 4 * OPENS_PER_S - 1 <= admitted <= (
        4 * OPENS_PER_S + OPENS_PER_S // 4)


@pytest.mark.parametrize('priority', [0, 1, 2, 7])
def test_recovers_after_a_burst(priority):
    """Guards against shedding that outlasts the excess demand."""
    subject = shedder.make_shedder(OPENS_PER_S, now=0)
    offer(subject, {0: 2000, priority: 5000}, 0, 10_000)
    shares = offer(subject, {0: 300, priority: 300}, 11_000, 15_000)
    assert shares == dict.fromkeys(shares, 1)


@hypothesis.given(
    strategies.integers(1, 2000),
    strategies.lists(strategies.tuples(
        strategies.integers(0, 8), strategies.integers(0, 30)),
        max_size=200))
def test_lower_priority_is_never_preferred(opens_per_s, opens):
    """Guards against admitting a priority while a higher one is shed."""
    subject = shedder.make_shedder(opens_per_s, now=0)
    now = 0
    for priority, step_ms in opens:
        now += step_ms
        passes = [
            copy.deepcopy(subject).admit(other, now) for other in range(9)]
        assert passes == sorted(passes, reverse=True)
        assert subject.admit(priority, now) is passes[priority]
