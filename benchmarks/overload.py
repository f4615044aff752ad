r"""Measure goodput through a spike, with and without limits.

Explanation
===========

Targets of two slots serve a request in 20 ms on average. Callers offer 70%
of the capacity, and three times the capacity for ten seconds, at intervals
that vary by half so that a second differs little from the next. A request is
good if it is answered within one second. A caller that gets no answer in
time, or a refusal, makes up to three more attempts. The four rows combine:

- queue: ``AdmissionQueue`` with its deadlines, or a plain bounded queue in
  order of arrival that knows no deadlines;
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
BASE_LOAD = 0.7
SPIKE_LOAD = 3.0
SPIKE_FROM_S = 10
SPIKE_TO_S = 20
END_S = 60
DEADLINE_MS = 1000
ATTEMPTS = 4
REFUSAL_PAUSE_MS = 50
CAPACITY = 1000
RECOVERED_SHARE = 0.95
STEADY_S = 3

ARRIVE, ATTEMPT, DONE, TIMEOUT = range(4)


class Call:
    r"""One attempt of a caller's request; times in ms."""

    __slots__ = ('target', 'deadline', 'attempt', 'settled')

    def __init__(self, target, deadline, attempt):
        self.target = target
        self.deadline = deadline
        self.attempt = attempt
        self.settled = False


class PlainQueue:
    r"""Bounded queue in order of arrival without deadlines."""

    __slots__ = ('calls',)

    def __init__(self):
        self.calls = collections.deque()

    def offer(self, call, now):
        r"""Return whether the call was admitted."""
        if len(self.calls) >= CAPACITY:
            return False
        self.calls.append(call)
        return True

    def take(self, now):
        r"""Return the next call or None, and the calls given up."""
        return (self.calls.popleft() if self.calls else None), ()

    def served(self, service_ms):
        r"""Ignore the service time."""


class DeadlineQueue:
    r"""``AdmissionQueue`` with the interface of ``PlainQueue``."""

    __slots__ = ('queue',)

    def __init__(self):
        self.queue = queue.make_queue(CAPACITY)

    def offer(self, call, now):
        r"""Return whether the call was admitted."""
        offered = self.queue.offer(call, call.deadline, int(now))
        return offered.value_or(None) is not None

    def take(self, now):
        r"""Return the next call or None, and the calls given up."""
        taken = self.queue.take(int(now))
        return taken.key, taken.expired

    def served(self, service_ms):
        r"""Report a service time."""
        self.queue.served(service_ms, parallel=SLOTS)


class Model:
    r"""State of one run."""

    __slots__ = (
        'random', 'events', 'sequence', 'queues', 'in_flight', 'budget',
        'good', 'attempts', 'handler_by_kind')

    def __init__(self, make_queue, retry_budget, seed):
        self.random = random.Random(seed)
        self.events = []
        self.sequence = 0
        self.queues = [make_queue() for _ in range(TARGETS)]
        self.in_flight = [0] * TARGETS
        self.budget = retry_budget
        self.good = [0] * END_S
        self.attempts = 0
        self.handler_by_kind = (
            self._arrive, self._attempt, self._done, self._timeout)

    def run(self):
        r"""Run until ``END_S``; return good answers in each second."""
        self._schedule(0.0, ARRIVE, None)
        while self.events[0][0] < END_S * 1000:
            now, _, kind, data = heapq.heappop(self.events)
            self.handler_by_kind[kind](now, data)
        return self.good

    def _schedule(self, at, kind, data):
        self.sequence += 1
        heapq.heappush(self.events, (at, self.sequence, kind, data))

    def _arrive(self, now, _):
        load = BASE_LOAD
        if SPIKE_FROM_S * 1000 <= now < SPIKE_TO_S * 1000:
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
        if call.attempt == ATTEMPTS:
            return
        if self.budget is not None and not self.budget.try_retry(int(now)):
            return
        at = now + pause_ms
        self._schedule(at, ATTEMPT, Call(
            call.target, int(at) + DEADLINE_MS, call.attempt + 1))

    def _dispatch(self, now, target):
        while self.in_flight[target] < SLOTS:
            call, given_up = self.queues[target].take(now)
            for expired in given_up:
                self._retry(now, expired, REFUSAL_PAUSE_MS)
            if call is None:
                return
            self.in_flight[target] += 1
            service_ms = SERVICE_MS * self.random.uniform(0.5, 1.5)
            self._schedule(now + service_ms, DONE, (call, service_ms))

    def _done(self, now, data):
        call, service_ms = data
        self.in_flight[call.target] -= 1
        self.queues[call.target].served(service_ms)
        if not call.settled and now <= call.deadline:
            call.settled = True
            self.good[int(now / 1000)] += 1
        self._dispatch(now, call.target)


def recovery_s(good):
    r"""Return seconds from the spike's end until goodput is back, or None.

    Explanation
    ===========

    Goodput is back when ``STEADY_S`` seconds in a row reach the share.

    Examples
    ========

    >>> recovery_s([100] * 20 + [50, 96, 100, 95])
    1

    """
    needed = RECOVERED_SHARE * statistics.fmean(good[1:SPIKE_FROM_S])
    for second in range(SPIKE_TO_S, len(good) - STEADY_S + 1):
        if min(good[second:second + STEADY_S]) >= needed:
            return second - SPIKE_TO_S
    return None


def measure(with_queue, with_budget, seed):
    r"""Return the row of one combination."""
    retry_budget = budget.make_retry_budget(0) if with_budget else None
    model = Model(
        DeadlineQueue if with_queue else PlainQueue, retry_budget, seed)
    good = model.run()
    return {
        'queue': 'on' if with_queue else 'off',
        'budget': 'on' if with_budget else 'off',
        'before': statistics.fmean(good[1:SPIKE_FROM_S]),
        'spike': statistics.fmean(good[SPIKE_FROM_S:SPIKE_TO_S]),
        'recovery': recovery_s(good),
        'attempts': model.attempts,
        'good': good,
    }


@click.command()
@click.option('--seed', default=1, show_default=True)
@click.option('--output', type=click.Choice(['table', 'json']),
              default='table', show_default=True)
def main(seed, output):
    r"""Measure goodput through a spike of three times the capacity."""
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
