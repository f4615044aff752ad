"""Tests of burn rates and series, also with missing samples."""

import hypothesis
from hypothesis import strategies
import pytest

from poplarstep.reports import burn
from poplarstep.reports import objective
from poplarstep.reports import sample
from poplarstep.reports import series

PERIOD_MS = burn.DEFAULT_PERIOD_MS
OBJECTIVE = objective.parse('certs availability 99.9% 30d').unwrap()


def make_samples(node, steps, bad_per_thousand=0, first_step=0):
    """Return a sample per period, each with 1,000 more requests."""
    return [
        sample.Sample(
            node, 'certs', step * PERIOD_MS, (step - first_step) * 1000,
            (step - first_step) * (1000 - bad_per_thousand))
        for step in steps]


@pytest.mark.parametrize('bad_per_thousand, states', [
    (0, ['ok', 'ok', 'ok']),
    (1, ['ok', 'ok', 'ticket']),
    (5, ['ok', 'ok', 'ticket']),
    (6, ['ok', 'page', 'ticket']),
    (14, ['ok', 'page', 'ticket']),
    (15, ['page', 'page', 'ticket']),
    (1000, ['page', 'page', 'ticket']),
])
def test_thresholds(bad_per_thousand, states):
    """Guards against a rule that ignores a burn rate at its threshold."""
    steps = range(3 * 2880 + 1)
    found = burn.burn_rates(
        make_samples('a', steps, bad_per_thousand), OBJECTIVE,
        steps[-1] * PERIOD_MS)
    assert [outcome.state for outcome in found.outcomes] == states
    assert found.state == burn.most_urgent(states)
    for outcome in found.outcomes:
        assert outcome.long.burn_rate == outcome.short.burn_rate
        assert outcome.long.burn_rate == bad_per_thousand


@pytest.mark.parametrize('lost, known', [
    ((), True),
    ((119,), True),
    ((112, 118), False),
    (tuple(range(111, 121)), False),
])
def test_short_window_without_samples(lost, known):
    """Guards against a burn rate that is based on too few samples."""
    samples = [
        entry for entry in make_samples('a', range(121), 20)
        if entry.time_ms // PERIOD_MS not in lost]
    outcome = burn.burn_rates(
        samples, OBJECTIVE, 120 * PERIOD_MS).outcomes[0]
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
    """Guards against a page when one window is below the threshold."""
    long, short = (
        burn.Window(0, 1000, 1, 1.0, rate) for rate in (long_rate, short_rate))
    assert burn.rule_state(burn.RULES[0], long, short) == state


@pytest.mark.parametrize('name, samples, nodes, share', [
    ('one of three nodes stops after its first sample',
     make_samples('a', range(121)) + make_samples('b', range(121))
     + make_samples('c', range(1)), None, 2 / 3),
    ('a node in operation never sent a sample',
     make_samples('a', range(121)), ['a', 'b'], 1 / 2),
    ('a node joined half-way',
     make_samples('a', range(121)) + make_samples('b', range(60, 121)),
     ['a', 'b'], 1.0),
    ('a node was removed half-way',
     make_samples('a', range(121)) + make_samples('b', range(61)),
     ['a'], 1.0),
    ('samples arrived twice, and half of the samples of b are lost',
     make_samples('a', range(121)) * 2 + make_samples('b', range(0, 121, 2)),
     None, 3 / 4),
    ('the history is shorter than the window',
     make_samples('a', range(61, 121)), None, 1 / 2),
    ('no samples', [], ['a'], 0.0),
    ('no nodes', [], None, 0.0),
])
def test_share_present(name, samples, nodes, share):
    """Guards against a wrong share when nodes join or leave or resend."""
    outcome = burn.burn_rates(
        samples, OBJECTIVE, 120 * PERIOD_MS, nodes=nodes).outcomes[0]
    assert outcome.long.share_present == pytest.approx(share), name


def test_gap_before_the_window_adds_nothing():
    """Guards against failures before a gap that count in a later window."""
    samples = make_samples('a', range(11), 500)
    samples += [
        entry.replace(
            total=1000000 + entry.total, good=500000 + entry.total)
        for entry in make_samples('a', range(200, 241))]
    counters = series.Series(samples, OBJECTIVE, PERIOD_MS)
    assert counters.increase(195 * PERIOD_MS, 240 * PERIOD_MS) == (
        series.Increase(40000, 0, 41 * PERIOD_MS, 45 * PERIOD_MS))


def test_other_services_and_kinds_are_left_out():
    """Guards against samples of another service or kind that count."""
    samples = make_samples('a', range(121))
    others = [
        entry.replace(good=0, **change) for entry in samples
        for change in ({'kind': 'latency'}, {'service': 'dispatch'})]
    now_ms = 120 * PERIOD_MS
    assert burn.burn_rates(samples + others, OBJECTIVE, now_ms) == (
        burn.burn_rates(samples, OBJECTIVE, now_ms))


@pytest.mark.parametrize('bad_per_thousand, left', [
    (0, 1.0), (1, 0.0), (4, -3.0)])
def test_budget_left(bad_per_thousand, left):
    """Guards against an overspent error budget that is shown as 0."""
    one_day_objective = OBJECTIVE.replace(window_days=1)
    found = burn.burn_rates(
        make_samples('a', range(2881), bad_per_thousand), one_day_objective,
        2880 * PERIOD_MS)
    assert found.budget_left == pytest.approx(left)


def test_no_requests_burn_nothing():
    """Guards against a division by zero in a window without requests."""
    samples = [
        entry.replace(total=0, good=0)
        for entry in make_samples('a', range(121))]
    found = burn.burn_rates(samples, OBJECTIVE, 120 * PERIOD_MS)
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
def test_decrease_of_any_counter_is_a_restart(earlier, later, increase):
    """Guards against negative increases and more bad requests than total."""
    assert series.increase_between(*(
        sample.Sample('a', 'certs', 0, *counters)
        for counters in (earlier, later))) == increase


# A period: numbers of good and bad requests, the share of them that the node
# counts after a restart (None without a restart), and whether the sample is
# lost.
periods = strategies.lists(strategies.tuples(
    strategies.integers(0, 50), strategies.integers(0, 50),
    strategies.none() | strategies.floats(0, 1), strategies.booleans()),
    max_size=40)


@hypothesis.given(periods, strategies.randoms(use_true_random=False))
def test_restarts_never_inflate_increases(generated, random):
    """Guards against restarts that give negative or inflated increases."""
    total = good = true_total = true_bad = 0
    samples = [sample.Sample('a', 'certs', 0, 0, 0)]
    for step, (new_good, new_bad, restart, lost) in enumerate(generated, 1):
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
    counters = series.Series(samples, OBJECTIVE, PERIOD_MS)
    end = len(generated) * PERIOD_MS
    found = counters.increase(0, end)
    assert 0 <= found.bad <= found.total
    assert found.total <= true_total and found.bad <= true_bad
    for start in (0, 1):
        part = counters.increase(start, end)
        assert 0 <= part.present_ms <= part.expected_ms
    if not any(lost or restart is not None
               for _, _, restart, lost in generated):
        assert (found.total, found.bad) == (true_total, true_bad)
    for middle in range(0, end, PERIOD_MS):
        left = counters.increase(0, middle)
        assert left.total <= found.total and left.bad <= found.bad


def test_burn_over_time_equals_single_reports():
    """Guards against a plot that differs from the table."""
    samples = make_samples('a', range(241), 7)
    now_ms = 240 * PERIOD_MS
    reports = burn.burn_over_time(
        samples, OBJECTIVE, 0, now_ms, step_ms=60 * PERIOD_MS)
    assert [entry.time_ms for entry in reports] == [
        step * 60 * PERIOD_MS for step in range(5)]
    assert reports[-1] == burn.burn_rates(samples, OBJECTIVE, now_ms)
