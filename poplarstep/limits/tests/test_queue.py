"""Tests of the admission queue."""

import hypothesis
from hypothesis import strategies
import pytest

from poplarstep.limits import queue

FAR = 1_000_000


def standing_queue(capacity=10):
    """Return an overloaded queue that holds 'old' and 'new', and now."""
    subject = queue.make_queue(capacity, target_ms=50, interval_ms=500)
    subject.offer('old', FAR, now=0)
    subject.offer('middle', FAR, now=100)
    for now in range(100, 601, 100):
        subject.expire(now)
    subject.offer('new', FAR, now=600)
    return subject, 600


@pytest.mark.parametrize('waiting, key, deadline, reason', [
    ((), 'a', 100, None),
    (('a',), 'b', 100, None),
    (('a',), 'a', 100, 'already-queued'),
    ((), 'a', 10, 'deadline-passed'),
    ((), 'a', 9, 'deadline-passed'),
    ((), 'a', 11, None),
    (('a',), 'b', 49, 'deadline-unreachable'),
    (('a',), 'b', 50, None),
    (('a', 'b'), 'c', 69, 'deadline-unreachable'),
    (('a', 'b', 'c'), 'd', 1000, 'queue-full'),
])
def test_offer_names_the_reason(waiting, key, deadline, reason):
    """Guards against admission of what is doomed, or a wrong reason."""
    subject = queue.make_queue(capacity=3)
    subject.served(20)
    for number in waiting:
        subject.offer(number, FAR, now=10)
    offered = subject.offer(key, deadline, now=10)
    if reason is None:
        assert offered.unwrap() == key
    else:
        assert offered.failure() == reason
    assert len(subject) == len(waiting) + (reason is None)


def test_rejects_empty_capacity():
    """Guards against a queue that refuses everything."""
    with pytest.raises(ValueError, match='capacity of at least 1'):
        queue.make_queue(0)


@pytest.mark.parametrize('parallel, deadline, admitted', [
    (1, 299, False), (1, 300, True), (2, 199, False), (2, 200, True)])
def test_slots_shorten_the_expected_delay(parallel, deadline, admitted):
    """Guards against early refusal at a target with several slots."""
    subject = queue.make_queue(10)
    subject.served(100, parallel)
    for key in range(2):
        subject.offer(key, FAR, now=0)
    offered = subject.offer('late', deadline, now=0)
    assert (offered.value_or(None) == 'late') is admitted


def test_wrong_estimate_does_not_close_an_empty_queue():
    """Guards against a slow answer that refuses all later requests."""
    subject = queue.make_queue(10)
    subject.served(60_000)
    assert subject.offer('a', 100, now=0).unwrap() == 'a'
    assert subject.take(now=0).key == 'a'


def test_first_come_while_the_delay_is_short():
    """Guards against reordering without overload."""
    subject = queue.make_queue(10)
    for key in 'abc':
        subject.offer(key, FAR, now=0)
    assert [subject.take(now=10).key for _ in range(4)] == [
        'a', 'b', 'c', None]


def test_newest_first_under_standing_delay():
    """Guards against a queue in which every request is served late."""
    subject, now = standing_queue()
    assert [subject.take(now).key for _ in range(3)] == [
        'new', 'middle', 'old']


@pytest.mark.parametrize('gap_ms, overloaded', [(100, True), (40, False)])
def test_overload_needs_a_standing_delay(gap_ms, overloaded):
    """Guards against newest-first order after a short burst."""
    subject = queue.make_queue(100, target_ms=50, interval_ms=500)
    for now in range(0, 2000, gap_ms):
        subject.offer(now, FAR, now)
        if now >= gap_ms:
            subject.take(now)
    assert subject.overloaded is overloaded


def test_first_come_again_when_the_delay_is_gone():
    """Guards against newest-first order that outlasts the overload."""
    subject, now = standing_queue()
    while subject.take(now).key is not None:
        pass
    for key in 'ab':
        subject.offer(key, FAR, now)
    assert subject.take(now).key == 'a'


@pytest.mark.parametrize('overload, expired', [
    (True, ('doomed',)), (False, ())])
def test_early_refusal_under_overload(overload, expired):
    """Guards against service of a request that ends after its deadline."""
    subject = queue.make_queue(10, target_ms=50, interval_ms=500)
    subject.served(20)
    subject.offer('first', FAR, now=0)
    subject.offer('doomed', 615, now=0)
    if overload:
        subject.expire(60)
    assert subject.take(600).expired == expired


def test_next_deadline_is_the_earliest():
    """Guards against a timer that wakes after a deadline."""
    subject = queue.make_queue(10)
    assert subject.next_deadline() is None
    for key, deadline in (('a', 300), ('b', 200), ('c', 400)):
        subject.offer(key, deadline, now=0)
    assert subject.next_deadline() == 200
    assert subject.remove('b') and not subject.remove('b')
    assert subject.next_deadline() == 300


OPERATIONS = strategies.lists(strategies.tuples(
    strategies.sampled_from(['offer', 'take', 'remove', 'expire', 'served']),
    strategies.integers(0, 12),
    strategies.integers(0, 400),
), max_size=200)


@hypothesis.given(strategies.integers(1, 6), OPERATIONS)
def test_no_key_is_lost_or_doubled(capacity, operations):
    """Guards against a request that is never answered or is run twice."""
    subject = queue.make_queue(capacity, target_ms=20, interval_ms=100)
    deadline_by_key = {}
    now = 0
    for name, key, number in operations:
        if name == 'offer':
            offered = subject.offer(key, now + number, now)
            if offered.value_or(None) is not None:
                assert key not in deadline_by_key
                deadline_by_key[key] = now + number
        elif name == 'take':
            now += number // 10
            taken = subject.take(now)
            for gone in taken.expired:
                del deadline_by_key[gone]
            if taken.key is not None:
                assert deadline_by_key.pop(taken.key) > now
            else:
                assert not deadline_by_key
        elif name == 'remove':
            assert subject.remove(key) is (
                deadline_by_key.pop(key, None) is not None)
        elif name == 'expire':
            now += number
            for gone in subject.expire(now):
                del deadline_by_key[gone]
        else:
            subject.served(number)
        assert len(subject) == len(deadline_by_key) <= capacity
        assert all(key in subject for key in deadline_by_key)
        assert subject.next_deadline() == min(
            deadline_by_key.values(), default=None)
