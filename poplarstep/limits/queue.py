r"""Bounded queue of requests that wait for a slot at a target.

All times are milliseconds of the node's clock.
"""

import collections

from returns import result
import sortedcontainers

from poplarstep.core import record

QUEUE_FULL = 'queue-full'
ALREADY_QUEUED = 'already-queued'
DEADLINE_PASSED = 'deadline-passed'
DEADLINE_UNREACHABLE = 'deadline-unreachable'

ACCEPTABLE_DELAY_MS = 50
OVERLOAD_INTERVAL_MS = 500
# Weight of a new measurement in the moving average of the service time.
SERVICE_TIME_WEIGHT = 0.125


class Entry(record.Record):
    r"""A waiting request; ``sequence`` gives the order of arrival."""

    __slots__ = ('sequence', 'arrived_at', 'deadline')

    def __init__(self, sequence: int, arrived_at: int, deadline: int):
        self.sequence = sequence
        self.arrived_at = arrived_at
        self.deadline = deadline


class Taken(record.Record):
    r"""Result of ``AdmissionQueue.take``.

    ``key`` is None if the queue is empty. ``expired`` holds the keys that
    were removed without being served; their requests did not run.
    """

    __slots__ = ('key', 'expired')

    def __init__(self, key, expired: tuple):
        self.key = key
        self.expired = expired


class AdmissionQueue:
    r"""Queue with deadlines that is FIFO normally and LIFO under overload.

    Explanation
    ===========

    The queue is overloaded when the oldest entry has been older than the
    acceptable delay for a whole interval. First in, first out would then
    serve every request late, so the newest entry is served first, and
    entries whose remaining time is shorter than the expected service time
    are removed as expired. The overload ends when the oldest entry is
    younger than the acceptable delay, or the queue is empty.

    The caller of ``take`` must pass the measured service time of each
    request to ``record_service_time``. An entry offered to an empty queue
    is admitted whatever the estimate of the service time, because an
    estimate that is too high is only corrected by new measurements.

    Examples
    ========

    >>> queue = make_queue(capacity=2)
    >>> queue.offer('a', deadline=100, now=0)
    <Success: a>
    >>> queue.offer('b', deadline=30, now=0)
    <Success: b>
    >>> queue.offer('c', deadline=100, now=0)
    <Failure: queue-full>
    >>> queue.take(now=40)
    Taken(key='a', expired=('b',))

    References
    ==========

    .. [1] RFC 8289, Controlled Delay Active Queue Management.

    """

    __slots__ = (
        'capacity', 'acceptable_delay_ms', 'interval_ms', 'entry_by_key',
        'key_by_deadline', 'next_sequence', 'delayed_since', 'overloaded',
        'service_ms', 'concurrency')

    def __init__(self, capacity, acceptable_delay_ms, interval_ms):
        self.capacity = capacity
        self.acceptable_delay_ms = acceptable_delay_ms
        self.interval_ms = interval_ms
        self.entry_by_key = collections.OrderedDict()
        self.key_by_deadline = sortedcontainers.SortedDict()
        self.next_sequence = 0
        self.delayed_since = None
        self.overloaded = False
        self.service_ms = 0.0
        self.concurrency = 1

    def __len__(self):
        return len(self.entry_by_key)

    def __contains__(self, key):
        return key in self.entry_by_key

    def offer(self, key, deadline, now):
        r"""Return ``Success(key)`` if admitted, else ``Failure(reason)``.

        Parameters
        ==========

        key : hashable
            Identity of the request.
        deadline : int
            Time at which the caller gives up.
        now : int
            Current time.

        Returns
        =======

        Result
            The reasons are ``already-queued``, ``deadline-passed``,
            ``deadline-unreachable`` and ``queue-full``.
        """
        self._update_mode(now)
        if key in self.entry_by_key:
            return result.Failure(ALREADY_QUEUED)
        if deadline <= now:
            return result.Failure(DEADLINE_PASSED)
        if self.entry_by_key and deadline < now + self.expected_ms():
            return result.Failure(DEADLINE_UNREACHABLE)
        if len(self.entry_by_key) >= self.capacity:
            return result.Failure(QUEUE_FULL)
        sequence = self.next_sequence
        self.next_sequence += 1
        self.entry_by_key[key] = Entry(sequence, now, deadline)
        self.key_by_deadline[(deadline, sequence)] = key
        return result.Success(key)

    def take(self, now):
        r"""Remove the next entry to serve and all expired entries."""
        expired = self.expire(now)
        if not self.entry_by_key:
            return Taken(None, expired)
        key, entry = self.entry_by_key.popitem(last=self.overloaded)
        del self.key_by_deadline[(entry.deadline, entry.sequence)]
        return Taken(key, expired)

    def expire(self, now):
        r"""Remove the entries that can't meet their deadlines.

        Returns
        =======

        tuple
            The keys of the removed entries. Under overload these include
            the entries that would miss their deadlines if served now.
        """
        self._update_mode(now)
        latest = now
        if self.overloaded:
            latest = now + self.service_ms
        expired = []
        while self.key_by_deadline:
            (deadline, _), key = self.key_by_deadline.peekitem(0)
            if deadline > latest:
                break
            self.remove(key)
            expired.append(key)
        return tuple(expired)

    def remove(self, key):
        r"""Remove an entry; return whether it was waiting."""
        entry = self.entry_by_key.pop(key, None)
        if entry is None:
            return False
        del self.key_by_deadline[(entry.deadline, entry.sequence)]
        return True

    def record_service_time(self, service_ms, concurrency=1):
        r"""Update the estimate of the service time with a measurement.

        Parameters
        ==========

        service_ms : float
            Time from dispatch to completion.
        concurrency : int
            Requests that the target serves concurrently.
        """
        if not self.service_ms:
            self.service_ms = float(service_ms)
        self.service_ms += SERVICE_TIME_WEIGHT * (
            service_ms - self.service_ms)
        self.concurrency = max(1, concurrency)

    def expected_ms(self):
        r"""Return the expected time in ms from arrival to completion."""
        if self.overloaded:
            return self.service_ms
        waiting = len(self.entry_by_key) / self.concurrency
        return self.service_ms * (waiting + 1)

    def next_deadline(self):
        r"""Return the earliest deadline in ms, or None."""
        if not self.key_by_deadline:
            return None
        return self.key_by_deadline.peekitem(0)[0][0]

    def _update_mode(self, now):
        oldest = next(iter(self.entry_by_key.values()), None)
        delay_limit_ms = max(self.acceptable_delay_ms, 2 * self.service_ms)
        if oldest is None or now - oldest.arrived_at <= delay_limit_ms:
            self.delayed_since = None
            self.overloaded = False
            return
        if self.delayed_since is None:
            self.delayed_since = now
        if now - self.delayed_since >= self.interval_ms:
            self.overloaded = True


def make_queue(
        capacity, acceptable_delay_ms=ACCEPTABLE_DELAY_MS,
        interval_ms=OVERLOAD_INTERVAL_MS) -> AdmissionQueue:
    r"""Return an empty queue.

    Parameters
    ==========

    capacity : int
        Entries that may wait.
    acceptable_delay_ms : int
        Acceptable delay of the oldest entry. Twice the expected service
        time is acceptable too if that is longer.
    interval_ms : int
        Time for which the delay must be unacceptable before the queue
        counts as overloaded.

    Raises
    ======

    ValueError
        If the capacity is not positive.
    """
    if capacity < 1:
        raise ValueError(
            'queue needs a capacity of at least 1, not %r' % (capacity,))
    return AdmissionQueue(capacity, acceptable_delay_ms, interval_ms)
