"""Tests of burn rates, of series and of what they do without data."""

import hypothesis
from hypothesis import strategies
import pytest

from poplarstep.reports import burn
from poplarstep.reports import objective
from poplarstep.reports import sample
from poplarstep.reports import series

PERIOD_MS = burn.DEFAULT_PERIOD_MS
GOAL = objective.parse('certs availability 99.9% 30d').unwrap()


def make_samples(node, steps, bad_of_thousand=0, begin=0):
    """Return regular samples with 1,000 requests in each period."""
    return [
        sample.Sample(
            node, 'certs', step * PERIOD_MS, (step - begin) * 1000,
            (step - begin) * (1000 - bad_of_thousand))
        for step in steps]


@pytest.mark.parametrize('bad_of_thousand, states', [
    (0, ['ok', 'ok', 'ok']),
    (1, ['ok', 'ok', 'ticket']),
    (5, ['ok', 'ok', 'ticket']),
    (6, ['ok', 'page', 'ticket']),
    (14, ['ok', 'page', 'ticket']),
    (15, ['page', 'page', 'ticket']),
    (1000, ['page', 'page', 'ticket']),
])
def test_thresholds(bad_of_thousand, states):
    """Guards against a rule that misses a burn just at its threshold."""
    steps = range(3 * 2880 + 1)
    found = burn.burn_rates(
        make_samples('a', steps, bad_of_thousand), GOAL,
        steps[-1] * PERIOD_MS)
    assert [outcome.state for outcome in found.outcomes] == states
    assert found.state == burn.worst(states)
    for outcome in found.outcomes:
        assert outcome.long.burn_rate == outcome.short.burn_rate
        assert outcome.long.burn_rate == bad_of_thousand


@pytest.mark.parametrize('lost, known', [
    ((), True),
    ((119,), True),
    ((112, 118), False),
    (tuple(range(111, 121)), False),
])
def test_short_window_without_samples(lost, known):
    """Guards against a burn rate that is guessed from too few samples."""
    samples = [
        entry for entry in make_samples('a', range(121), 20)
        if entry.time_ms // PERIOD_MS not in lost]
    outcome = burn.burn_rates(
        samples, GOAL, 120 * PERIOD_MS).outcomes[0]
    assert outcome.short.share_present == pytest.approx(
        1 - len(lost) / 10)
    assert (outcome.short.burn_rate is not None) is known
    assert outcome.state == (burn.PAGE if known else burn.DATA_MISSING)


@pytest.mark.parametrize('long_rate, short_rate, state', [
    (14.4, 14.4, 'page'),
    (14.3, 100.0, 'ok'),
    (100.0, 14.3, 'ok'),
    (None, 14.3, 'ok'),
    (14.3, None, 'ok'),
    (None, 100.0, 'data missing'),
    (100.0, None, 'data missing'),
    (None, None, 'data missing'),
])
def test_rule_needs_both_windows(long_rate, short_rate, state):
    """Guards against a page for a burn that is over, or never was."""
    long, short = (
        burn.Window(0, 1000, 1, 1.0, rate) for rate in (long_rate, short_rate))
    assert burn.judge(burn.RULES[0], long, short) == state


@pytest.mark.parametrize('name, samples, nodes, share', [
    ('one of three nodes is silent',
     make_samples('a', range(121)) + make_samples('b', range(121))
     + make_samples('c', range(1)), None, 2 / 3),
    ('a node of the configuration never reported',
     make_samples('a', range(121)), ['a', 'b'], 1 / 2),
    ('a node joined half-way',
     make_samples('a', range(121)) + make_samples('b', range(60, 121)),
     ['a', 'b'], 1.0),
    ('a node was removed half-way',
     make_samples('a', range(121)) + make_samples('b', range(61)),
     ['a'], 1.0),
    ('samples arrived twice and one node lost half',
     make_samples('a', range(121)) * 2 + make_samples('b', range(0, 121, 2)),
     None, 3 / 4),
    ('the history is shorter than the window',
     make_samples('a', range(61, 121)), None, 1 / 2),
    ('no samples', [], ['a'], 0.0),
    ('no nodes', [], None, 0.0),
])
def test_share_present(name, samples, nodes, share):
    """Guards against a share that joins, leaves or resends falsify."""
    outcome = burn.burn_rates(
        samples, GOAL, 120 * PERIOD_MS, nodes=nodes).outcomes[0]
    assert outcome.long.share_present == pytest.approx(share), name


def test_gap_before_the_window_adds_nothing():
    """Guards against old failures that a gap moves into a new window."""
    samples = make_samples('a', range(11), 500)
    samples += [
        entry.replace(
            total=1000000 + entry.total, good=500000 + entry.total)
        for entry in make_samples('a', range(200, 241))]
    counts = series.Series(samples, GOAL, PERIOD_MS)
    assert counts.increase(195 * PERIOD_MS, 240 * PERIOD_MS) == (
        series.Increase(40000, 0, 41 * PERIOD_MS, 45 * PERIOD_MS))


def test_other_services_and_kinds_are_left_out():
    """Guards against latency samples that count as failures."""
    samples = make_samples('a', range(121))
    others = [
        entry.replace(good=0, **change) for entry in samples
        for change in ({'kind': 'latency'}, {'service': 'dispatch'})]
    now = 120 * PERIOD_MS
    assert burn.burn_rates(samples + others, GOAL, now) == (
        burn.burn_rates(samples, GOAL, now))


@pytest.mark.parametrize('bad_of_thousand, left', [
    (0, 1.0), (1, 0.0), (4, -3.0)])
def test_budget_left(bad_of_thousand, left):
    """Guards against an overspent budget that shows as empty."""
    goal = GOAL.replace(window_days=1)
    found = burn.burn_rates(
        make_samples('a', range(2881), bad_of_thousand), goal,
        2880 * PERIOD_MS)
    assert found.budget_left == pytest.approx(left)


def test_no_requests_burn_nothing():
    """Guards against a division by zero without requests."""
    samples = [
        entry.replace(total=0, good=0)
        for entry in make_samples('a', range(121))]
    found = burn.burn_rates(samples, GOAL, 120 * PERIOD_MS)
    assert found.outcomes[0].long.burn_rate == 0.0


@pytest.mark.parametrize('earlier, later, increase', [
    ((100, 90), (110, 99), (10, 1)),
    ((100, 90), (100, 90), (0, 0)),
    ((100, 90), (7, 6), (7, 1)),
    ((100, 100), (110, 10), (110, 100)),
    ((100, 50), (110, 110), (110, 0)),
    ((100, 50), (150, 90), (50, 10)),
    ((100, 90), (0, 0), (0, 0)),
])
def test_a_restart_shows_in_any_counter(earlier, later, increase):
    """Guards against more failures than requests, or fewer than none."""
    assert series.increase_between(*(
        sample.Sample('a', 'certs', 0, *counters)
        for counters in (earlier, later))) == increase


# What happens in a period: good and bad requests, whether the node
# restarts after how many of them, and whether the sample is lost.
periods = strategies.lists(strategies.tuples(
    strategies.integers(0, 50), strategies.integers(0, 50),
    strategies.none() | strategies.floats(0, 1), strategies.booleans()),
    max_size=40)


@hypothesis.given(periods, strategies.randoms(use_true_random=False))
def test_restarts_never_inflate(drawn, random):
    """Guards against resets that give negative or inflated rates."""
    total = good = true_total = true_bad = 0
    samples = [sample.Sample('a', 'certs', 0, 0, 0)]
    for step, (new_good, new_bad, restart, lost) in enumerate(drawn, 1):
        true_total += new_good + new_bad
        true_bad += new_bad
        if restart is not None:
            total = good = 0
            new_good = int(new_good * restart)
            new_bad = int(new_bad * restart)
        total += new_good + new_bad
        good += new_good
        if not lost:
            samples.append(sample.Sample(
                'a', 'certs', step * PERIOD_MS, total, good))
    random.shuffle(samples)
    counts = series.Series(samples, GOAL, PERIOD_MS)
    end = len(drawn) * PERIOD_MS
    found = counts.increase(0, end)
    assert 0 <= found.bad <= found.total
    assert found.total <= true_total and found.bad <= true_bad
    for start in (0, 1):
        part = counts.increase(start, end)
        assert 0 <= part.present_ms <= part.expected_ms
    if not any(lost or restart is not None
               for _, _, restart, lost in drawn):
        assert (found.total, found.bad) == (true_total, true_bad)
    for middle in range(0, end, PERIOD_MS):
        left = counts.increase(0, middle)
        assert left.total <= found.total and left.bad <= found.bad


def test_burn_over_time_equals_single_reports():
    """Guards against a plot that differs from the table."""
    samples = make_samples('a', range(241), 7)
    now = 240 * PERIOD_MS
    reports = burn.burn_over_time(
        samples, GOAL, 0, now, step_ms=60 * PERIOD_MS)
    assert [entry.time_ms for entry in reports] == [
        step * 60 * PERIOD_MS for step in range(5)]
    assert reports[-1] == burn.burn_rates(samples, GOAL, now)
