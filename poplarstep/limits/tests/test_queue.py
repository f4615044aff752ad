"""Tests of the admission queue."""

import hypothesis
from hypothesis import strategies
import pytest

from poplarstep.limits import queue

FAR_DEADLINE = 1_000_000


def overloaded_queue(capacity=10):
    """Return an overloaded queue of three entries, and the time in ms."""
    subject = queue.make_queue(
        capacity, acceptable_delay_ms=50, interval_ms=500)
    subject.offer('old', FAR_DEADLINE, now=0)
    subject.offer('middle', FAR_DEADLINE, now=100)
    for now in range(100, 601, 100):
        subject.expire(now)
    subject.offer('new', FAR_DEADLINE, now=600)
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
def test_offer_gives_the_reason_of_a_refusal(
        waiting, key, deadline, reason):
    """Guards against admitting hopeless requests and wrong reasons."""
    subject = queue.make_queue(capacity=3)
    subject.record_service_time(20)
    for waiting_key in waiting:
        subject.offer(waiting_key, FAR_DEADLINE, now=10)
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


@pytest.mark.parametrize('concurrency, deadline, admitted', [
    (1, 299, False), (1, 300, True), (2, 199, False), (2, 200, True)])
def test_slots_shorten_the_expected_delay(concurrency, deadline, admitted):
    """Guards against an estimate that ignores concurrent slots."""
    subject = queue.make_queue(10)
    subject.record_service_time(100, concurrency)
    for key in range(2):
        subject.offer(key, FAR_DEADLINE, now=0)
    offered = subject.offer('late', deadline, now=0)
    assert (offered.value_or(None) == 'late') is admitted


def test_empty_queue_admits_whatever_the_estimate():
    """Guards against one slow answer that makes all offers fail."""
    subject = queue.make_queue(10)
    subject.record_service_time(60_000)
    assert subject.offer('a', 100, now=0).unwrap() == 'a'
    assert subject.take(now=0).key == 'a'


def test_fifo_while_the_delay_is_acceptable():
    """Guards against reordering without overload."""
    subject = queue.make_queue(10)
    for key in 'abc':
        subject.offer(key, FAR_DEADLINE, now=0)
    assert [subject.take(now=10).key for _ in range(4)] == [
        'a', 'b', 'c', None]


def test_lifo_under_overload():
    """Guards against a queue in which every request is served late."""
    subject, now = overloaded_queue()
    assert [subject.take(now).key for _ in range(3)] == [
        'new', 'middle', 'old']


@pytest.mark.parametrize(
    'arrival_gap_ms, overloaded', [(100, True), (40, False)])
def test_overload_needs_a_lasting_delay(arrival_gap_ms, overloaded):
    """Guards against LIFO order after a short burst."""
    subject = queue.make_queue(100, acceptable_delay_ms=50, interval_ms=500)
    for now in range(0, 2000, arrival_gap_ms):
        subject.offer(now, FAR_DEADLINE, now)
        if now >= arrival_gap_ms:
            subject.take(now)
    assert subject.overloaded is overloaded


def test_fifo_again_after_the_overload():
    """Guards against LIFO order that outlasts the overload."""
    subject, now = overloaded_queue()
    while subject.take(now).key is not None:
        pass
    for key in 'ab':
        subject.offer(key, FAR_DEADLINE, now)
    assert subject.take(now).key == 'a'


@pytest.mark.parametrize('overload, expired', [
    (True, ('late',)), (False, ())])
def test_late_entries_expire_early_under_overload(overload, expired):
    """Guards against serving a request that would miss its deadline."""
    subject = queue.make_queue(10, acceptable_delay_ms=50, interval_ms=500)
    subject.record_service_time(20)
    subject.offer('first', FAR_DEADLINE, now=0)
    subject.offer('late', 615, now=0)
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
def test_no_key_is_lost_or_duplicated(capacity, operations):
    """Guards against a request that is never answered or is run twice."""
    subject = queue.make_queue(
        capacity, acceptable_delay_ms=20, interval_ms=100)
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
            for expired_key in taken.expired:
                del deadline_by_key[expired_key]
            if taken.key is not None:
                assert deadline_by_key.pop(taken.key) > now
            else:
                assert not deadline_by_key
        elif name == 'remove':
            assert subject.remove(key) is (
                deadline_by_key.pop(key, None) is not None)
        elif name == 'expire':
            now += number
            for expired_key in subject.expire(now):
                del deadline_by_key[expired_key]
        else:
            subject.record_service_time(number)
        assert len(subject) == len(deadline_by_key) <= capacity
        assert all(key in subject for key in deadline_by_key)
        assert subject.next_deadline() == min(
            deadline_by_key.values(), default=None)
