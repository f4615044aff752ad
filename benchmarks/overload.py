r"""Measures goodput during and after a load spike, with and without limits.

Explanation
===========

Simulated targets with two slots serve a request in 20 ms on average. Callers
offer 70% of the capacity, and three times the capacity for ten seconds. The
intervals between requests vary by at most half, so that the load is nearly
the same in every second. A request counts as good when it is answered within
one second. A caller that gets no answer in time, or a refusal, makes up to
three more attempts. The four rows combine:

- queue: ``AdmissionQueue`` with its deadlines, or a bounded FIFO queue
  without deadlines;
- budget: ``RetryBudget`` for the attempts after the first, or none.

``recovery`` is the number of seconds after the end of the spike until
goodput stays at 95% of its mean before the spike.
"""

import collections
import heapq
import json
import random
import statistics

import click
import tabulate

from poplarstep.limits import budget
from poplarstep.limits import queue

TARGETS = 7
SLOTS = 2
SERVICE_MS = 20.0
# Offered loads as multiples of the capacity.
BASE_LOAD = 0.7
SPIKE_LOAD = 3.0
SPIKE_START_S = 10
SPIKE_END_S = 20
END_S = 60
DEADLINE_MS = 1000
MAX_ATTEMPTS = 4
# Pause of a caller before it retries a refused attempt.
REFUSAL_PAUSE_MS = 50
QUEUE_LENGTH = 1000
# Goodput has recovered at this share of its mean before the spike, for
# ``STEADY_S`` seconds in a row.
RECOVERED_SHARE = 0.95
STEADY_S = 3

ARRIVE, ATTEMPT, DONE, TIMEOUT = range(4)


class Call:
    r"""One attempt of a caller's request; ``deadline`` is in ms.

    ``settled`` is True after an answer in time or the end of the attempt.
    """

    __slots__ = ('target', 'deadline', 'attempt', 'settled')

    def __init__(self, target, deadline, attempt):
        self.target = target
        self.deadline = deadline
        self.attempt = attempt
        self.settled = False


class FifoQueue:
    r"""Bounded FIFO queue without deadlines."""

    __slots__ = ('calls',)

    def __init__(self):
        self.calls = collections.deque()

    def offer(self, call, now):
        r"""Return whether the call was admitted."""
        if len(self.calls) >= QUEUE_LENGTH:
            return False
        self.calls.append(call)
        return True

    def take(self, now):
        r"""Return the next call or None, and the expired calls."""
        return (self.calls.popleft() if self.calls else None), ()

    def record_service_time(self, service_ms):
        r"""Ignore the service time: there are no deadlines to estimate."""


class DeadlineQueue:
    r"""``AdmissionQueue`` with the interface of ``FifoQueue``."""

    __slots__ = ('queue',)

    def __init__(self):
        self.queue = queue.make_queue(QUEUE_LENGTH)

    def offer(self, call, now):
        r"""Return whether the call was admitted."""
        offered = self.queue.offer(call, call.deadline, int(now))
        return offered.value_or(None) is not None

    def take(self, now):
        r"""Return the next call or None, and the expired calls."""
        taken = self.queue.take(int(now))
        return taken.key, taken.expired

    def record_service_time(self, service_ms):
        r"""Pass a service time to the queue's estimate of the wait."""
        self.queue.record_service_time(service_ms, concurrency=SLOTS)


class Model:
    r"""Callers, targets and their queues in one run."""

    __slots__ = (
        'random', 'events', 'sequence', 'queues', 'in_flight', 'budget',
        'good_by_second', 'attempts', 'handler_by_kind')

    def __init__(self, make_queue, retry_budget, seed):
        self.random = random.Random(seed)
        self.events = []
        self.sequence = 0
        self.queues = [make_queue() for _ in range(TARGETS)]
        self.in_flight = [0] * TARGETS
        self.budget = retry_budget
        self.good_by_second = [0] * END_S
        self.attempts = 0
        self.handler_by_kind = (
            self._arrive, self._attempt, self._done, self._timeout)

    def run(self):
        r"""Run until ``END_S``; return the good answers by second."""
        self._schedule(0.0, ARRIVE, None)
        while self.events[0][0] < END_S * 1000:
            now, _, kind, data = heapq.heappop(self.events)
            self.handler_by_kind[kind](now, data)
        return self.good_by_second

    def _schedule(self, at, kind, data):
        self.sequence += 1
        heapq.heappush(self.events, (at, self.sequence, kind, data))

    def _arrive(self, now, _):
        load = BASE_LOAD
        if SPIKE_START_S * 1000 <= now < SPIKE_END_S * 1000:
            load = SPIKE_LOAD
        rate_per_ms = load * TARGETS * SLOTS / SERVICE_MS
        gap_ms = self.random.uniform(0.5, 1.5) / rate_per_ms
        self._schedule(now + gap_ms, ARRIVE, None)
        if self.budget is not None:
            self.budget.attempted(int(now))
        target = self.random.randrange(TARGETS)
        self._attempt(now, Call(target, int(now) + DEADLINE_MS, 1))

    def _attempt(self, now, call):
        self.attempts += 1
        self._schedule(call.deadline, TIMEOUT, call)
        if self.queues[call.target].offer(call, now):
            self._dispatch(now, call.target)
        else:
            self._retry(now, call, REFUSAL_PAUSE_MS)

    def _timeout(self, now, call):
        self._retry(now, call, 0)

    def _retry(self, now, call, pause_ms):
        if call.settled:
            return
        call.settled = True
        if call.attempt == MAX_ATTEMPTS:
            return
        if self.budget is not None and not self.budget.try_retry(int(now)):
            return
        at = now + pause_ms
        self._schedule(at, ATTEMPT, Call(
            call.target, int(at) + DEADLINE_MS, call.attempt + 1))

    def _dispatch(self, now, target):
        while self.in_flight[target] < SLOTS:
            call, expired_calls = self.queues[target].take(now)
            for expired in expired_calls:
                self._retry(now, expired, REFUSAL_PAUSE_MS)
            if call is None:
                return
            self.in_flight[target] += 1
            service_ms = SERVICE_MS * self.random.uniform(0.5, 1.5)
            self._schedule(now + service_ms, DONE, (call, service_ms))

    def _done(self, now, data):
        call, service_ms = data
        self.in_flight[call.target] -= 1
        self.queues[call.target].record_service_time(service_ms)
        if not call.settled and now <= call.deadline:
            call.settled = True
            self.good_by_second[int(now / 1000)] += 1
        self._dispatch(now, call.target)


def recovery_s(good_by_second):
    r"""Return seconds from the spike's end until goodput recovers, or None.

    Explanation
    ===========

    Goodput has recovered when ``STEADY_S`` seconds in a row reach
    ``RECOVERED_SHARE`` of its mean before the spike.

    Examples
    ========

    >>> recovery_s([100] * 20 + [50, 96, 100, 95])
    1

    """
    needed = RECOVERED_SHARE * statistics.fmean(
        good_by_second[1:SPIKE_START_S])
    for second in range(SPIKE_END_S, len(good_by_second) - STEADY_S + 1):
        if min(good_by_second[second:second + STEADY_S]) >= needed:
            return second - SPIKE_END_S
    return None


def measure(with_queue, with_budget, seed):
    r"""Return the row for one combination of queue and budget."""
    retry_budget = budget.make_retry_budget(0) if with_budget else None
    model = Model(
        DeadlineQueue if with_queue else FifoQueue, retry_budget, seed)
    good_by_second = model.run()
    return {
        'queue': 'on' if with_queue else 'off',
        'budget': 'on' if with_budget else 'off',
        'before': statistics.fmean(good_by_second[1:SPIKE_START_S]),
        'spike': statistics.fmean(good_by_second[SPIKE_START_S:SPIKE_END_S]),
        'recovery': recovery_s(good_by_second),
        'attempts': model.attempts,
        'good': good_by_second,
    }


@click.command()
@click.option('--seed', default=1, show_default=True)
@click.option('--output', type=click.Choice(['table', 'json']),
              default='table', show_default=True)
def main(seed, output):
    r"""Measure goodput around a spike of three times the capacity."""
    rows = [
        measure(with_queue, with_budget, seed)
        for with_queue in (False, True) for with_budget in (False, True)]
    if output == 'json':
        click.echo(json.dumps(rows, indent=2))
        return
    click.echo(tabulate.tabulate(
        [{key: value for key, value in row.items() if key != 'good'}
         for row in rows], 'keys', floatfmt='.1f', missingval='never'))
    click.echo()
    click.echo('good answers in each second, by queue/budget')
    headers = ['second'] + [
        '%s/%s' % (row['queue'], row['budget']) for row in rows]
    click.echo(tabulate.tabulate(
        [(second, *values) for second, values in enumerate(
            zip(*(row['good'] for row in rows)))], headers))


if __name__ == '__main__':
    main()
