"""Tests of the token bucket and of the retry budget."""

import hypothesis
from hypothesis import strategies
import pytest

from poplarstep.limits import budget

STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 3000), strategies.integers(0, 60),
        strategies.integers(0, 20)),
    max_size=60)


@pytest.mark.parametrize('rate_per_s, burst', [(-1, 1), (1, 0)])
def test_rejects_bucket_without_tokens(rate_per_s, burst):
    """Guards against a bucket that never gives a token."""
    with pytest.raises(ValueError, match='token bucket needs'):
        budget.make_token_bucket(rate_per_s, burst, now=0)


@pytest.mark.parametrize('window_ms', [0, 39, 1001])
def test_rejects_window_that_spans_do_not_divide(window_ms):
    """Guards against spans that cover less than the window."""
    with pytest.raises(ValueError, match='multiple of 40 ms'):
        budget.make_retry_budget(0, window_ms=window_ms)


@pytest.mark.parametrize('rate_per_s, burst, steps, taken', [
    (10, 1, (0, 99, 1), (True, False, True)),
    (10, 2, (0, 0, 0), (True, True, False)),
    (1000, 1, (0, 0, 1), (True, False, True)),
    (0, 1, (0, 100_000), (True, False)),
    (1, 1, (0, 1000, -5000, 0), (True, True, False, False)),
    (1, 1, (-5000,), (True,)),
])
def test_bucket_refills_at_its_rate(rate_per_s, burst, steps, taken):
    """Guards against tokens lost by rounding or gained by a clock step."""
    bucket = budget.make_token_bucket(rate_per_s, burst, now=0)
    now, results = 0, []
    for step_ms in steps:
        now += step_ms
        results.append(bucket.try_take(now))
    assert tuple(results) == taken


@hypothesis.given(
    strategies.integers(1, 50), strategies.integers(1, 10), STEPS)
def test_bucket_limits_every_window(rate_per_s, burst, steps):
    """Guards against more tokens than rate and burst allow."""
    bucket = budget.make_token_bucket(rate_per_s, burst, now=0)
    now, takes = 0, []
    for step_ms, wanted, _ in steps:
        now += step_ms
        takes.extend(now for _ in range(wanted) if bucket.try_take(now))
    for first, start in enumerate(takes):
        for last in range(first, len(takes)):
            span_ms = takes[last] - start
            assert (last - first + 1) * 1000 <= (
                burst * 1000 + span_ms * rate_per_s)


@hypothesis.given(strategies.sampled_from([0, 1, 3]), STEPS)
def test_retries_hold_in_every_window(floor_per_s, steps):
    """Guards against a retry storm and against a budget that leaks.

    The window ends at each retry. The floor may add its rate for the
    length of the window and one second of it that was saved up.
    """
    subject = budget.make_retry_budget(0, floor_per_s=floor_per_s)
    now, attempts, retries = 0, [], []
    for step_ms, first_attempts, wanted in steps:
        now += step_ms
        for _ in range(first_attempts):
            subject.attempted(now)
            attempts.append(now)
        for _ in range(wanted):
            if subject.try_retry(now):
                retries.append(now)
        since = now - budget.RETRY_WINDOW_MS
        recent = sum(at > since for at in attempts)
        if retries and retries[-1] == now:
            assert sum(at > since for at in retries) <= (
                recent * 0.1 + floor_per_s * 11)


@pytest.mark.parametrize('steps, allowed', [
    (((0, 11, 0), (0, 60, 0), (1000, 9, 9), (3000, 0, 1), (3000, 0, 1),
      (3000, 0, 1)), 11),
    (((0, 100, 10), (10_000, 0, 2)), 1),
    (((0, 100, 10), (10_250, 0, 2)), 1),
])
def test_floor_counts_retries_of_the_share(steps, allowed):
    """Guards against retries beyond share and floor in one window.

    The share's retries outlive their first attempts in the window.
    """
    subject = budget.make_retry_budget(0, floor_per_s=1)
    now = retries = 0
    for step_ms, first_attempts, wanted in steps:
        now += step_ms
        for _ in range(first_attempts):
            subject.attempted(now)
        taken = sum(subject.try_retry(now) for _ in range(wanted))
        retries += taken if now > 0 else 0
    assert retries == allowed


@pytest.mark.parametrize('first_attempts, floor_per_s, allowed', [
    (0, 0, 0), (9, 0, 0), (10, 0, 1), (1000, 0, 100), (0, 1, 1), (0, 5, 5),
    (100, 2, 12)])
def test_share_and_floor(first_attempts, floor_per_s, allowed):
    """Guards against refusing retries that the budget allows."""
    subject = budget.make_retry_budget(0, floor_per_s=floor_per_s)
    for _ in range(first_attempts):
        subject.attempted(0)
    assert sum(subject.try_retry(0) for _ in range(1000)) == allowed


@pytest.mark.parametrize('later_ms, allowed', [
    (0, True), (9000, True), (10_000, False), (10_250, False),
    (1_000_000, False)])
def test_first_attempts_expire(later_ms, allowed):
    """Guards against counting first attempts from before the window."""
    subject = budget.make_retry_budget(0, floor_per_s=0)
    for _ in range(10):
        subject.attempted(0)
    assert subject.try_retry(later_ms) is allowed
