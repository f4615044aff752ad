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


def chosen_set(subject, targets, now, excluded=()):
    """Return the numbers chosen in many selections at one time."""
    return {
        subject.select(targets, now, excluded) for _ in range(200)}


def test_unknown_name_lists_the_known():
    """Guards against a misspelt setting that is silently replaced."""
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
    subject = selectors.make_selector(name, random.Random(1))
    assert chosen_set(
        subject, candidates(count), 0, excluded) == allowed


@EACH_SELECTOR
@pytest.mark.parametrize('losses, spared_ms', [
    (1, 100), (2, 200), (3, 400), (6, 3200), (7, 4000), (12, 4000)])
def test_lost_opens_back_off_exponentially(name, losses, spared_ms):
    """Guards against opens that keep going to a silent target."""
    subject = selectors.make_selector(name, random.Random(1))
    targets = candidates(1)
    now = 0
    for _ in range(losses):
        assert subject.select(targets, now) == 0
        subject.sent(0, now)
        subject.lost(0, now)
        lost_at = now
        while subject.select(targets, now) is None:
            now += 100
    assert now - lost_at == spared_ms


@EACH_SELECTOR
def test_single_probe_after_a_backoff(name):
    """Guards against a rush of opens to a target that may be dead."""
    subject = selectors.make_selector(name, random.Random(1))
    targets = candidates(1)
    subject.sent(0, 0)
    subject.lost(0, 0)
    assert subject.select(targets, 100) == 0
    subject.sent(0, 100)
    assert chosen_set(subject, targets, 150) == {None}
    subject.answered(0, load(), 150)
    assert chosen_set(subject, targets, 150) == {0}


@EACH_SELECTOR
def test_losses_from_before_the_probe_do_not_count(name):
    """Guards against one pause that is counted as many failures."""
    subject = selectors.make_selector(name, random.Random(1))
    targets = candidates(1)
    for _ in range(20):
        subject.sent(0, 0)
    for now in range(10):
        subject.lost(0, now)
    assert subject.select(targets, 100) == 0
    subject.sent(0, 100)
    for now in range(101, 111):
        subject.lost(0, now)
    subject.lost(0, 120)
    assert subject.select(targets, 319) is None
    assert subject.select(targets, 320) == 0


@EACH_SELECTOR
def test_probe_without_an_end_is_repeated(name):
    """Guards against a target that is never tried again."""
    subject = selectors.make_selector(name, random.Random(1))
    targets = candidates(1)
    subject.sent(0, 0)
    subject.lost(0, 0)
    subject.sent(0, 100)
    assert subject.select(targets, 10_099) is None
    assert subject.select(targets, 10_100) == 0


@EACH_SELECTOR
def test_refusing_target_is_spared(name):
    """Guards against opens that keep going to a cold or full target."""
    subject = selectors.make_selector(name, random.Random(1))
    targets = candidates(2)
    subject.sent(0, 0)
    subject.refused(0, load(), 0)
    assert chosen_set(subject, targets, 99) == {1}
    assert chosen_set(subject, targets, 100, excluded=(1,)) == {0}


@EACH_SELECTOR
def test_forgotten_target_starts_anew(name):
    """Guards against memory of targets that are gone."""
    subject = selectors.make_selector(name, random.Random(1))
    subject.sent(0, 0)
    subject.lost(0, 0)
    subject.forget(0)
    subject.forget(5)
    assert subject.state_by_number == {}
    assert subject.select(candidates(1), 1) == 0


@pytest.mark.parametrize('count', [10, 1000, 100_000])
@pytest.mark.parametrize('blocked', [False, True])
def test_default_reads_few_candidates(count, blocked):
    """Guards against a cost that grows with the number of targets."""
    subject = selectors.make_selector(DEFAULT, random.Random(1))
    targets = CountingSequence([Candidate(0)] * count)
    if blocked:
        subject.sent(0, 0)
        subject.lost(0, 0)
    subject.select(targets, 0)
    most = 2 * selectors.PAIR_ATTEMPTS + selectors.SCAN_LENGTH
    assert targets.reads <= (most if blocked else 2)


def spread(speeds, reported, opens=7000, gap_ms=20):
    """Return opens divided by capacity, relative to the mean."""
    subject = selectors.make_selector(DEFAULT, random.Random(1))
    targets = candidates(len(speeds))
    count = [0] * len(speeds)
    for number in range(opens):
        now = number * gap_ms
        target = subject.select(targets, now)
        subject.sent(target, now)
        subject.answered(target, reported(target, count, number), now)
        if number >= opens // 4:
            count[target] += 1
    use = [made / speed for made, speed in zip(count, speeds)]
    mean = sum(use) / len(use)
    return [value / mean for value in use]


def honest(speeds):
    """Return reports of true latency with changing flows."""
    def report(target, count, number):
        return load(count[target], 10 / speeds[target])
    return report


@pytest.mark.parametrize('speeds', [
    (1, 1), (1,) * 7, (1,) * 5 + (0.25,) * 2, (1, 0.5, 0.5, 0.5)])
def test_opens_follow_capacity(speeds):
    """Guards against full load on slow targets; the goal is 1.10."""
    assert max(spread(speeds, honest(speeds))) <= 1.10


def test_frozen_report_does_not_attract():
    """Guards against a target that is preferred for an old, low report."""
    speeds = (1,) * 5 + (0.25,) * 2
    true_load = honest(speeds)

    def report(target, count, number):
        if target == 0:
            return load(0, 10)
        return true_load(target, count, number)

    assert max(spread(speeds, report)) <= 1.10


def test_repeated_latency_is_no_new_measurement():
    """Guards against a share that follows one latency seen for long."""
    speeds = (1,) * 5 + (0.25,) * 2
    true_load = honest(speeds)

    def report(target, count, number):
        if target == 0 and number >= 3000:
            return load(50, 5)
        return true_load(target, count, number)

    assert max(spread(speeds, report)) <= 1.10


def test_lying_report_attracts_a_bounded_share():
    """Guards against a lie that draws all opens to one target.

    Two of seven candidates are sampled, so one target gets at most 2/7.
    """
    speeds = (1,) * 7
    true_load = honest(speeds)

    def report(target, count, number):
        if target == 0:
            return load(0, 0.001, in_flight=number % 2)
        return true_load(target, count, number)

    assert max(spread(speeds, report)) <= 2.1


@pytest.mark.parametrize('gap_ms', [20, 8000])
def test_new_target_has_no_arrears(gap_ms):
    """Guards against a rush of opens to a target that joins."""
    subject = selectors.make_selector(DEFAULT, random.Random(1))
    targets = candidates(6)
    count = [0] * 6
    for number in range(3000):
        present = targets if number >= 2000 else targets[:5]
        now = number * gap_ms
        target = subject.select(present, now)
        subject.sent(target, now)
        subject.answered(target, load(100 + number % 2), now)
        count[target] += number >= 2000
    assert count[5] <= 1.10 * 1000 / 6


@pytest.mark.parametrize('gap_ms', [20, 1000, 8000])
def test_spread_does_not_depend_on_the_rate(gap_ms):
    """Guards against a balancer with few opens that skips slow targets."""
    speeds = (1,) * 5 + (0.25,) * 2
    use = spread(speeds, honest(speeds), gap_ms=gap_ms)
    assert max(use) <= 1.10
    assert min(use) >= 0.90


def test_reported_flows_correct_the_spread():
    """Guards against a target that stays fuller than the others."""
    def report(target, count, number):
        return load(1000 + number if target == 0 else 100 + number % 2)

    assert spread((1,) * 4, report)[0] <= 0.9


def test_limit_below_the_slots_lowers_the_share():
    """Guards against a full share for a target whose ramp is low."""
    def report(target, count, number):
        return load(count[target], limit=1 if target == 0 else 2)

    assert spread((1,) * 4, report)[0] <= 0.65


@hypothesis.given(
    strategies.sampled_from(selectors.SELECTORS.names()),
    strategies.lists(strategies.tuples(
        strategies.sampled_from(
            ['open', 'answered', 'refused', 'lost', 'forget', 'wait']),
        strategies.integers(0, 4),
        strategies.integers(0, 5000)), max_size=150))
def test_any_history_leaves_a_valid_choice(name, history):
    """Guards against a choice outside the candidates, or none for ever."""
    subject = selectors.make_selector(name, random.Random(1))
    targets = candidates(4)
    now = 0
    for event, number, value in history:
        if event == 'open':
            chosen = subject.select(targets, now, excluded=(number,))
            assert chosen != number
            assert chosen in (None, 0, 1, 2, 3)
            if chosen is not None:
                subject.sent(chosen, now)
        elif event == 'wait':
            now += value
        elif event == 'answered':
            subject.answered(number, load(value, value / 10), now)
        elif event == 'refused':
            subject.refused(number, None, now)
        elif event == 'lost':
            subject.lost(number, now)
        else:
            subject.forget(number)
    assert subject.select(targets, now + 20_000) is not None
