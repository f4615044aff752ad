"""Tests of the adaptive limit of requests in flight."""

import hypothesis
from hypothesis import strategies
import pytest

from poplarstep.limits import ramp

LATENCY_MS = 20


def complete(subject, now, count, latency_ms=LATENCY_MS, succeeded=True):
    """Run requests one after another; return the time of the last end."""
    for _ in range(count):
        now = max(now, subject.next_start())
        subject.started(now)
        now += latency_ms
        subject.finished(now, latency_ms, succeeded)
    return now


def warm_ramp(ceiling):
    """Return a ramp that has reached its ceiling, and the time in ms."""
    subject = ramp.make_ramp(1, ceiling)
    now = 0
    for _ in range(1000):
        if not subject.is_cold():
            break
        now = max(now, subject.next_start())
        count = subject.limit()
        for _ in range(count):
            subject.started(now)
        now += LATENCY_MS
        for _ in range(count):
            subject.finished(now, LATENCY_MS, True)
    assert not subject.is_cold()
    return subject, now


@pytest.mark.parametrize('cold_limit, ceiling, limit', [
    (1, 1, 1),
    (1, 2, 1),
    (1, 16, 1),
    (4, 16, 4),
    (40, 16, 16),
])
def test_starts_at_cold_limit(cold_limit, ceiling, limit):
    """Guards against full load on a target that has just started."""
    subject = ramp.make_ramp(cold_limit, ceiling)
    assert subject.limit() == limit
    assert subject.is_cold()


@pytest.mark.parametrize('cold_limit, ceiling', [(0, 1), (1, 0), (-1, 4)])
def test_rejects_limits_below_one(cold_limit, ceiling):
    """Guards against a ramp that allows no request at all."""
    with pytest.raises(ValueError, match='at least 1'):
        ramp.make_ramp(cold_limit, ceiling)


@pytest.mark.parametrize('ceiling', [1, 2, 3, 16])
@pytest.mark.parametrize('waiting_ms', [10_000, 3_600_000])
def test_time_alone_raises_nothing(ceiling, waiting_ms):
    """Guards against a level that rises while no requests complete."""
    subject = ramp.make_ramp(1, ceiling)
    now = complete(subject, 0, 2)
    level = subject.level
    assert subject.may_start(now + waiting_ms)
    assert subject.level == level
    complete(subject, now + waiting_ms, 1)
    # One successful request raises the level by at most 1/32.
    assert subject.level <= level * 33 / 32


@pytest.mark.parametrize('ceiling', [1, 2, 3])
@pytest.mark.parametrize('latency_ms', [20, 100, 500])
def test_paces_starts_while_cold(ceiling, latency_ms):
    """Guards against full load on a cold target with few slots."""
    subject = ramp.make_ramp(1, ceiling)
    started = 0
    ends = []
    for now in range(50 * latency_ms):
        while ends and ends[0] <= now:
            ends.pop(0)
            subject.finished(now, latency_ms, True)
        if subject.may_start(now):
            subject.started(now)
            started += 1
            ends.append(now + latency_ms)
    assert (started - 1) / 50 / ceiling <= 2 * ramp.PACED_COLD_SHARE


@pytest.mark.parametrize('ceiling', [1, 2, 16])
def test_reaches_ceiling_and_stops_pacing(ceiling):
    """Guards against a warm target that gets fewer requests than slots."""
    subject, now = warm_ramp(ceiling)
    assert subject.limit() == ceiling
    now = max(now, subject.next_start())
    for _ in range(ceiling):
        assert subject.may_start(now)
        subject.started(now)
    assert not subject.may_start(now)


@pytest.mark.parametrize('ceiling', [1, 2, 16])
def test_error_halves_level_once_for_requests_in_flight(ceiling):
    """Guards against errors without effect, or halving once per error."""
    subject, now = warm_ramp(ceiling)
    for _ in range(ceiling):
        subject.started(now)
    for _ in range(ceiling):
        subject.finished(now + 10, 10, False)
    assert subject.level == ceiling / 2


@pytest.mark.parametrize('ceiling', [1, 2, 16])
def test_rising_latency_lowers_level(ceiling):
    """Guards against full load on a target that slows down."""
    subject, now = warm_ramp(ceiling)
    complete(subject, now, 2 * ramp.WINDOW_SIZE, latency_ms=5 * LATENCY_MS)
    assert subject.level <= ceiling / 2


def test_slow_completions_do_not_raise_level():
    """Guards against growth while the latency is above the baseline."""
    subject = ramp.make_ramp(1, 16)
    now = complete(subject, 0, ramp.WINDOW_SIZE)
    level = subject.level
    complete(subject, now, ramp.WINDOW_SIZE - 1, latency_ms=3 * LATENCY_MS)
    assert subject.level <= level


@pytest.mark.parametrize('ceiling', [1, 2, 3])
def test_lasting_latency_is_accepted_at_cold_level(ceiling):
    """Guards against a target kept cold because it is permanently slower."""
    subject, now = warm_ramp(ceiling)
    complete(subject, now, 10 * ramp.WINDOW_SIZE, latency_ms=5 * LATENCY_MS)
    assert subject.level > subject.cold_level()


@pytest.mark.parametrize('cold_limit, ceiling', [(16, 16), (40, 16)])
def test_ramp_that_starts_at_its_ceiling_ends_cold_start(cold_limit, ceiling):
    """Guards against a target that is reported as cold for ever."""
    subject = ramp.make_ramp(cold_limit, ceiling)
    complete(subject, 0, 1)
    assert not subject.is_cold()


def test_requests_from_before_a_reset_do_not_raise_level():
    """Guards against answers of the old run that speed up a cold start."""
    subject, now = warm_ramp(16)
    for _ in range(16):
        subject.started(now)
    subject.reset_cold()
    assert subject.limit() == 1
    for _ in range(16):
        subject.finished(now + LATENCY_MS, LATENCY_MS, True)
    assert subject.limit() == 1
    assert subject.level == 1
    assert subject.in_flight == 0


@pytest.mark.parametrize('failures, divisor', [(0, 1), (1, 2), (2, 4)])
def test_failures_of_a_cold_target_slow_the_growth(failures, divisor):
    """Guards against a target that is overloaded in every cold start."""
    subject = ramp.make_ramp(1, 16)
    now = 0
    for _ in range(failures):
        now = complete(subject, now, 2, latency_ms=100)
        subject.reset_cold()
    now = complete(subject, now, 1, latency_ms=100)
    assert subject.level == pytest.approx(1 + 1 / 32 / divisor)


@pytest.mark.parametrize('refusals, delay_ms', [
    (1, 20), (2, 40), (3, 80), (20, 1000)])
def test_refused_connections_delay_the_next_start(refusals, delay_ms):
    """Guards against connection attempts without pause to a dead target."""
    subject = ramp.make_ramp(1, 2)
    now = 0
    for _ in range(refusals):
        now = subject.next_start()
        assert subject.may_start(now)
        subject.started(now)
        subject.unreachable(now)
    assert subject.next_start() - now == delay_ms
    assert not subject.may_start(now)


OPERATIONS = strategies.lists(strategies.one_of(
    strategies.tuples(strategies.just('start'), strategies.just(0)),
    strategies.tuples(
        strategies.just('succeed'), strategies.integers(1, 200)),
    strategies.tuples(
        strategies.just('fail'), strategies.integers(1, 200)),
    strategies.tuples(strategies.just('abandon'), strategies.just(0)),
    strategies.tuples(
        strategies.just('wait'), strategies.integers(1, 100_000)),
    strategies.tuples(strategies.just('reset'), strategies.just(0)),
), max_size=300)


@hypothesis.given(
    strategies.integers(1, 8), strategies.integers(1, 40), OPERATIONS)
def test_only_successful_requests_raise_the_level(
        cold_limit, ceiling, operations):
    """Guards against growth by idle time, failures or stale answers."""
    subject = ramp.make_ramp(cold_limit, ceiling)
    now, highest_level, running = 0, subject.level, 0
    for name, number in operations:
        if name == 'start' and subject.may_start(now):
            subject.started(now)
            running += 1
        elif name == 'succeed' and running:
            running -= 1
            now += number
            subject.finished(now, number, True)
            highest_level = min(highest_level * 33 / 32, highest_level + 0.25)
        elif name == 'fail' and running:
            running -= 1
            now += number
            subject.finished(now, number, False)
        elif name == 'abandon' and running:
            running -= 1
            subject.abandoned(now)
        elif name == 'wait':
            now += number
        elif name == 'reset':
            subject.reset_cold()
            highest_level = subject.level
        assert subject.level <= highest_level + 1e-9
        assert 1 <= subject.limit() <= ceiling
        assert subject.in_flight == running
