"""Tests of the selectors."""

import collections
import random

import hypothesis
from hypothesis import strategies
import pytest

from poplarstep.flow import packet
from poplarstep.routing import selectors

DEFAULT = selectors.DEFAULT_SELECTOR
EACH_SELECTOR = pytest.mark.parametrize(
    'name', selectors.SELECTORS.names())


class Candidate:
    """What a selector sees of a target."""

    __slots__ = ('number', 'slots', 'connections')

    def __init__(self, number, slots=2):
        self.number = number
        self.slots = slots
        self.connections = 2000


class CountingSequence(collections.abc.Sequence):
    """Sequence that counts how many of its items are read."""

    def __init__(self, items):
        self.items = items
        self.reads = 0

    def __len__(self):
        return len(self.items)

    def __getitem__(self, index):
        self.reads += 1
        return self.items[index]


def candidates(count):
    """Return candidates with the numbers 0 to count - 1."""
    return [Candidate(number) for number in range(count)]


def load(flows=100, latency_ms=10.0, limit=2, in_flight=0):
    """Return a load as an agent reports it."""
    return packet.Load(limit, in_flight, 0, flows, latency_ms)


def select_many(selector, targets, now, excluded=()):
    """Return the numbers that 200 selections at the same time choose."""
    return {
        selector.select(targets, now, excluded) for _ in range(200)}


def test_unknown_name_lists_the_known():
    """Guards against a misspelt setting that falls back to a default."""
    with pytest.raises(ValueError, match='unknown selector .*round-robin'):
        selectors.make_selector('best', random.Random(1))


@EACH_SELECTOR
@pytest.mark.parametrize('count, excluded, allowed', [
    (0, (), {None}),
    (1, (), {0}),
    (1, (0,), {None}),
    (2, {0}, {1}),
    (7, (0, 1, 2, 3, 4, 5), {6}),
    (3, (0, 1, 2), {None}),
])
def test_excluded_are_never_chosen(name, count, excluded, allowed):
    """Guards against a retry at the target that has just refused."""
    selector = selectors.make_selector(name, random.Random(1))
    assert select_many(
        selector, candidates(count), 0, excluded) == allowed


@EACH_SELECTOR
@pytest.mark.parametrize('losses, backoff_ms', [
    (1, 100), (2, 200), (3, 400), (6, 3200), (7, 4000), (12, 4000)])
def test_lost_opens_back_off_exponentially(name, losses, backoff_ms):
    """Guards against opens that keep going to a target without answers."""
    selector = selectors.make_selector(name, random.Random(1))
    targets = candidates(1)
    now = 0
    for _ in range(losses):
        assert selector.select(targets, now) == 0
        selector.sent(0, now)
        selector.lost(0, now)
        lost_at = now
        while selector.select(targets, now) is None:
            now += 100
    assert now - lost_at == backoff_ms


@EACH_SELECTOR
def test_single_probe_after_a_backoff(name):
    """Guards against many opens at once to a target that may be down."""
    selector = selectors.make_selector(name, random.Random(1))
    targets = candidates(1)
    selector.sent(0, 0)
    selector.lost(0, 0)
    assert selector.select(targets, 100) == 0
    selector.sent(0, 100)
    assert select_many(selector, targets, 150) == {None}
    selector.accepted(0, load(), 150)
    assert select_many(selector, targets, 150) == {0}


@EACH_SELECTOR
def test_losses_from_before_the_probe_do_not_count(name):
    """Guards against one pause of a target that counts as many failures."""
    selector = selectors.make_selector(name, random.Random(1))
    targets = candidates(1)
    for _ in range(20):
        selector.sent(0, 0)
    for now in range(10):
        selector.lost(0, now)
    assert selector.select(targets, 100) == 0
    selector.sent(0, 100)
    for now in range(101, 111):
        selector.lost(0, now)
    selector.lost(0, 120)
    assert selector.select(targets, 319) is None
    assert selector.select(targets, 320) == 0


@EACH_SELECTOR
def test_probe_without_an_outcome_is_repeated(name):
    """Guards against a target that is never tried again."""
    selector = selectors.make_selector(name, random.Random(1))
    targets = candidates(1)
    selector.sent(0, 0)
    selector.lost(0, 0)
    selector.sent(0, 100)
    assert selector.select(targets, 10_099) is None
    assert selector.select(targets, 10_100) == 0


@EACH_SELECTOR
def test_refusing_target_backs_off(name):
    """Guards against opens that keep going to a cold or full target."""
    selector = selectors.make_selector(name, random.Random(1))
    targets = candidates(2)
    selector.sent(0, 0)
    selector.refused(0, load(), 0)
    assert select_many(selector, targets, 99) == {1}
    assert select_many(selector, targets, 100, excluded=(1,)) == {0}


@EACH_SELECTOR
def test_forgotten_target_has_no_state(name):
    """Guards against state that is kept of removed targets."""
    selector = selectors.make_selector(name, random.Random(1))
    selector.sent(0, 0)
    selector.lost(0, 0)
    selector.remove(0)
    selector.remove(5)
    assert selector.state_by_number == {}
    assert selector.select(candidates(1), 1) == 0


@pytest.mark.parametrize('count', [10, 1000, 100_000])
@pytest.mark.parametrize('blocked', [False, True])
def test_default_reads_few_candidates(count, blocked):
    """Guards against a selection whose time grows with the targets."""
    selector = selectors.make_selector(DEFAULT, random.Random(1))
    targets = CountingSequence([Candidate(0)] * count)
    if blocked:
        selector.sent(0, 0)
        selector.lost(0, 0)
    selector.select(targets, 0)
    maximum_reads = 2 * selectors.PAIR_ATTEMPTS + selectors.MAXIMUM_SCANNED
    assert targets.reads <= (maximum_reads if blocked else 2)


def measure_spread(speeds, reported, opens=7000, interval_ms=20):
    """Return each target's opens divided by capacity, relative to the mean."""
    selector = selectors.make_selector(DEFAULT, random.Random(1))
    targets = candidates(len(speeds))
    count = [0] * len(speeds)
    for number in range(opens):
        now = number * interval_ms
        target = selector.select(targets, now)
        selector.sent(target, now)
        selector.accepted(target, reported(target, count, number), now)
        if number >= opens // 4:
            count[target] += 1
    by_capacity = [
        open_count / speed for open_count, speed in zip(count, speeds)]
    mean = sum(by_capacity) / len(by_capacity)
    return [value / mean for value in by_capacity]


def true_reports(speeds):
    """Return a function that reports the true latency and flows."""
    def report(target, count, number):
        return load(count[target], 10 / speeds[target])
    return report


@pytest.mark.parametrize('speeds', [
    (1, 1), (1,) * 7, (1,) * 5 + (0.25,) * 2, (1, 0.5, 0.5, 0.5)])
def test_opens_follow_capacity(speeds):
    """Guards against as many opens for slow targets as for fast ones."""
    assert max(measure_spread(speeds, true_reports(speeds))) <= 1.10


def test_unchanged_report_attracts_no_opens():
    """Guards against a target that is preferred for a low, stuck report."""
    speeds = (1,) * 5 + (0.25,) * 2
    true_load = true_reports(speeds)

    def report(target, count, number):
        if target == 0:
            return load(0, 10)
        return true_load(target, count, number)

    assert max(measure_spread(speeds, report)) <= 1.10


def test_repeated_latency_is_not_a_new_sample():
    """Guards against a share that follows one latency, repeated often."""
    speeds = (1,) * 5 + (0.25,) * 2
    true_load = true_reports(speeds)

    def report(target, count, number):
        if target == 0 and number >= 3000:
            return load(50, 5)
        return true_load(target, count, number)

    assert max(measure_spread(speeds, report)) <= 1.10


def test_false_report_attracts_a_bounded_share():
    """Guards against a false report that attracts all opens.

    Two of seven candidates are sampled, so one target gets at most 2/7.
    """
    speeds = (1,) * 7
    true_load = true_reports(speeds)

    def report(target, count, number):
        if target == 0:
            return load(0, 0.001, in_flight=number % 2)
        return true_load(target, count, number)

    assert max(measure_spread(speeds, report)) <= 2.1


@pytest.mark.parametrize('interval_ms', [20, 8000])
def test_new_target_gets_its_share_only(interval_ms):
    """Guards against too many opens to a target that has just joined."""
    selector = selectors.make_selector(DEFAULT, random.Random(1))
    targets = candidates(6)
    count = [0] * 6
    for number in range(3000):
        present = targets if number >= 2000 else targets[:5]
        now = number * interval_ms
        target = selector.select(present, now)
        selector.sent(target, now)
        selector.accepted(target, load(100 + number % 2), now)
        count[target] += number >= 2000
    assert count[5] <= 1.10 * 1000 / 6


@pytest.mark.parametrize('interval_ms', [20, 1000, 8000])
def test_spread_does_not_depend_on_the_rate(interval_ms):
    """Guards against a balancer with few opens that skips slow targets."""
    speeds = (1,) * 5 + (0.25,) * 2
    spread = measure_spread(
        speeds, true_reports(speeds), interval_ms=interval_ms)
    assert max(spread) <= 1.10
    assert min(spread) >= 0.90


def test_reported_flows_correct_the_spread():
    """Guards against a target that keeps more flows than the others."""
    def report(target, count, number):
        return load(1000 + number if target == 0 else 100 + number % 2)

    assert measure_spread((1,) * 4, report)[0] <= 0.9


def test_limit_below_the_slots_lowers_the_share():
    """Guards against a full share for a target that limits its requests."""
    def report(target, count, number):
        return load(count[target], limit=1 if target == 0 else 2)

    assert measure_spread((1,) * 4, report)[0] <= 0.65


@hypothesis.given(
    strategies.sampled_from(selectors.SELECTORS.names()),
    strategies.lists(strategies.tuples(
        strategies.sampled_from(
            ['open', 'answered', 'refused', 'lost', 'forget', 'wait']),
        strategies.integers(0, 4),
        strategies.integers(0, 5000)), max_size=150))
def test_any_history_leaves_a_valid_choice(name, history):
    """Guards against an invalid choice, and against none for ever."""
    selector = selectors.make_selector(name, random.Random(1))
    targets = candidates(4)
    now = 0
    for event, number, value in history:
        if event == 'open':
            chosen = selector.select(targets, now, excluded=(number,))
            assert chosen != number
            assert chosen in (None, 0, 1, 2, 3)
            if chosen is not None:
                selector.sent(chosen, now)
        elif event == 'wait':
            now += value
        elif event == 'answered':
            selector.accepted(number, load(value, value / 10), now)
        elif event == 'refused':
            selector.refused(number, None, now)
        elif event == 'lost':
            selector.lost(number, now)
        else:
            selector.remove(number)
    assert selector.select(targets, now + 20_000) is not None
