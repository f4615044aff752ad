r"""Measures cold starts of one target under load, with and without the ramp.

Explanation
===========

The simulated target has a capacity of 30% of its slots when it starts; the
capacity grows to all slots with the time that the target is up or with the
number of requests that it served. Its load is the share of its slots that
requests occupied over the last half second. When the load exceeds the
capacity, the target fails: requests in flight are lost and connections are
refused for one second. Requests to a cold target take up to twice as long,
and longer when the load is above 80% of the capacity.

The agent queues requests that three balancers send at regular intervals, at
80% of the full rate. After ten seconds the target restarts without warning.
The restart either breaks the requests in flight or, in the rows ``silent``,
completes them, so that the agent doesn't notice it. The announced cold limit
is a quarter of the slots, at least 1; with 1 or 2 slots this is more than
the cold capacity.

``failures`` counts the failures of the target after that restart, ``lost``
the requests that were in flight at the restart or a failure, ``refused`` the
requests that were not run. ``full rate`` is the time in seconds until three
seconds in a row reach 95% of the offered rate, in the runs that reach it;
``never`` counts the other runs. ``most`` is the highest number of failures
in one run.
"""

import collections
from concurrent import futures
import heapq
import json
import random
import statistics

import click
import tabulate

from poplarstep.limits import queue
from poplarstep.limits import ramp

BALANCERS = 3
# Mean service time of a request at a warm target.
SERVICE_MS = 20.0
# Offered load, capacity of a cold target and its announced limit, as shares of
# the slots.
OFFERED_LOAD = 0.8
COLD_CAPACITY = 0.3
COLD_LIMIT_SHARE = 0.25
# Service time of a cold target relative to a warm target.
COLD_SERVICE_FACTOR = 2.0
LOAD_WINDOW_MS = 500
FAILURE_MS = 1000
DEADLINE_MS = 1000
QUEUE_LENGTH = 200
RESTART_MS = 10_000
END_S = 70
# The full rate is reached when this share of the offered rate is completed
# for ``STEADY_S`` seconds in a row.
RECOVERED_SHARE = 0.95
STEADY_S = 3

ARRIVE, DONE, WAKE, RESTART = range(4)


class FixedLimit:
    r"""In-flight limit of all slots, with the interface of the ramp."""

    __slots__ = ('slots', 'in_flight')

    def __init__(self, slots):
        self.slots = slots
        self.in_flight = 0

    def may_start(self, now):
        r"""Return whether a slot is free."""
        return self.in_flight < self.slots

    def next_start(self):
        r"""Return 0: a start is never delayed."""
        return 0

    def started(self, now):
        r"""Count a request."""
        self.in_flight += 1

    def finished(self, now, latency_ms, succeeded):
        r"""Free a slot."""
        self.in_flight -= 1

    def unreachable(self, now):
        r"""Free a slot."""
        self.in_flight -= 1

    def reset_cold(self):
        r"""Do nothing: the limit is always all slots."""


class Target:
    r"""The simulated target; times in ms."""

    __slots__ = (
        'slots', 'warm_ms', 'warm_requests', 'random', 'up_at', 'served',
        'running', 'completed', 'completed_ms', 'failures')

    def __init__(self, slots, warm_ms, warm_requests, source):
        self.slots = slots
        self.warm_ms = warm_ms
        self.warm_requests = warm_requests
        self.random = source
        # Warm from the start of the run.
        self.up_at = -100_000
        self.served = 100_000
        self.running = {}
        self.completed = collections.deque()
        self.completed_ms = 0.0
        self.failures = 0

    def warmth(self, now):
        r"""Return the progress of the warm-up, from 0 to 1."""
        if self.warm_requests:
            return min(1.0, self.served / self.warm_requests)
        return min(1.0, (now - self.up_at) / self.warm_ms)

    def capacity(self, now):
        r"""Return the highest load that the target survives."""
        return COLD_CAPACITY + (1 - COLD_CAPACITY) * self.warmth(now)

    def load(self, now):
        r"""Return the busy share of the slots over the last half second."""
        start = now - LOAD_WINDOW_MS
        while self.completed and self.completed[0][1] <= start:
            begin, end = self.completed.popleft()
            self.completed_ms -= end - begin
        running_ms = sum(
            now - max(begin, start) for begin in self.running.values())
        return (self.completed_ms + running_ms) / LOAD_WINDOW_MS / self.slots

    def complete(self, began, now):
        r"""End a request that was running."""
        self.completed.append((began, now))
        self.completed_ms += now - began
        self.served += 1

    def service_ms(self, now):
        r"""Return the time that a request takes if it starts now."""
        warmth = self.warmth(now)
        factor = COLD_SERVICE_FACTOR - (COLD_SERVICE_FACTOR - 1) * warmth
        overload = max(0.0, self.load(now) / self.capacity(now) - 0.8)
        if warmth == 1:
            overload = 0.0
        return (
            SERVICE_MS * factor * (1 + 5 * overload)
            * self.random.uniform(0.5, 1.5))

    def restart(self, up_at):
        r"""Start cold at ``up_at``."""
        self.up_at = up_at
        self.served = 0
        self.completed.clear()
        self.completed_ms = 0.0


class Model:
    r"""One target and its agent under load from the balancers."""

    __slots__ = (
        'random', 'events', 'sequence', 'target', 'ramp', 'queue', 'gap_ms',
        'silent', 'wake_at', 'last_key', 'completed_by_second', 'refused',
        'lost')

    def __init__(self, target, limit, silent, source):
        self.random = source
        self.events = []
        self.sequence = 0
        self.target = target
        self.ramp = limit
        self.queue = queue.make_queue(QUEUE_LENGTH)
        self.gap_ms = BALANCERS * SERVICE_MS / OFFERED_LOAD / target.slots
        self.silent = silent
        self.wake_at = None
        self.last_key = 0
        self.completed_by_second = [0] * END_S
        self.refused = 0
        self.lost = 0

    def run(self):
        r"""Run the model to its end."""
        for balancer in range(BALANCERS):
            self._schedule(
                balancer * self.gap_ms / BALANCERS, ARRIVE, None)
        self._schedule(RESTART_MS, RESTART, None)
        handler_by_kind = (
            self._arrive, self._done, self._wake, self._restart)
        while self.events[0][0] < END_S * 1000:
            now, _, kind, data = heapq.heappop(self.events)
            handler_by_kind[kind](now, data)

    def _schedule(self, at, kind, data):
        self.sequence += 1
        heapq.heappush(self.events, (at, self.sequence, kind, data))

    def _arrive(self, now, _):
        gap_ms = self.gap_ms * self.random.uniform(0.9, 1.1)
        self._schedule(now + gap_ms, ARRIVE, None)
        self.last_key += 1
        offered = self.queue.offer(
            self.last_key, int(now) + DEADLINE_MS, int(now))
        if offered.value_or(None) is None:
            self._refuse(now, 1)
        self._dispatch(now)

    def _refuse(self, now, count):
        if now >= RESTART_MS:
            self.refused += count

    def _dispatch(self, now):
        while self.ramp.may_start(int(now)):
            taken = self.queue.take(int(now))
            self._refuse(now, len(taken.expired))
            if taken.key is None:
                return
            self.ramp.started(int(now))
            if now < self.target.up_at:
                self._refuse(now, 1)
                self.ramp.unreachable(int(now))
                break
            service_ms = self.target.service_ms(now)
            self.target.running[taken.key] = now
            self._schedule(
                now + service_ms, DONE, (taken.key, now, service_ms))
            self._check(now)
        self._schedule_wake(now)

    def _schedule_wake(self, now):
        at = self.ramp.next_start()
        if at > now and at != self.wake_at and len(self.queue):
            self.wake_at = at
            self._schedule(at, WAKE, None)

    def _wake(self, now, _):
        self.wake_at = None
        self._dispatch(now)

    def _done(self, now, data):
        key, began, service_ms = data
        if key not in self.target.running:
            return
        self._check(now)
        if self.target.running.pop(key, None) is None:
            return
        self.target.complete(began, now)
        self.completed_by_second[int(now / 1000)] += 1
        self.queue.record_service_time(service_ms, self.ramp_limit())
        self.ramp.finished(int(now), service_ms, True)
        self._dispatch(now)

    def ramp_limit(self):
        r"""Return the largest number of requests in flight."""
        if isinstance(self.ramp, FixedLimit):
            return self.ramp.slots
        return self.ramp.limit()

    def _check(self, now):
        if self.target.load(now) > self.target.capacity(now):
            self.target.failures += 1
            self._fail(now, FAILURE_MS)

    def _restart(self, now, _):
        if self.silent:
            self.target.restart(now)
        else:
            self._fail(now, 0)

    def _fail(self, now, down_ms):
        broken = dict(self.target.running)
        self.lost += len(broken)
        self.target.running.clear()
        self.target.restart(now + down_ms)
        for began in broken.values():
            self.ramp.finished(int(now), now - began, False)
        if broken:
            self.ramp.reset_cold()
        self._schedule(now + down_ms, WAKE, None)


def full_rate_s(completed_by_second, offered):
    r"""Return seconds from the restart to the full rate, or None."""
    for second in range(RESTART_MS // 1000, END_S - STEADY_S):
        if min(completed_by_second[
                second:second + STEADY_S]) >= RECOVERED_SHARE * offered:
            return second - RESTART_MS // 1000
    return None


def measure_once(slots, warm, silent, with_ramp, seed):
    r"""Return failures, lost, refused and seconds until full rate."""
    warm_ms, warm_requests = {
        '3 s': (3000, 0), '10 s': (10_000, 0), '100 requests': (0, 100),
    }[warm]
    target = Target(
        slots, warm_ms, warm_requests, random.Random(seed + 1000))
    limit = FixedLimit(slots)
    if with_ramp:
        limit = ramp.make_ramp(max(1, int(slots * COLD_LIMIT_SHARE)), slots)
    model = Model(target, limit, silent, random.Random(seed))
    model.run()
    offered = OFFERED_LOAD * slots * 1000 / SERVICE_MS
    return (
        target.failures, model.lost, model.refused,
        full_rate_s(model.completed_by_second, offered))


def measure(slots, warm, silent, with_ramp, seeds):
    r"""Return the row of one combination, with means over the seeds."""
    failures, lost, refused, seconds = zip(*(
        measure_once(slots, warm, silent, with_ramp, seed)
        for seed in range(seeds)))
    reached = [value for value in seconds if value is not None]
    return {
        'slots': slots,
        'warm after': warm,
        'restart': 'silent' if silent else 'breaks',
        'ramp': 'on' if with_ramp else 'off',
        'failures': statistics.fmean(failures),
        'most': max(failures),
        'lost': statistics.fmean(lost),
        'refused': statistics.fmean(refused),
        'full rate': statistics.fmean(reached) if reached else None,
        'never': len(seconds) - len(reached),
    }


@click.command()
@click.option('--seeds', default=5, show_default=True,
              help='Runs of each row, with the seeds from 0 on.')
@click.option('--slots', 'slot_counts', multiple=True, type=int,
              default=(1, 2, 16), show_default=True)
@click.option('--jobs', default=4, show_default=True,
              help='Number of parallel processes.')
@click.option('--output', type=click.Choice(['table', 'json']),
              default='table', show_default=True)
def main(seeds, slot_counts, jobs, output):
    r"""Measure a restart without warning, with and without the ramp."""
    with futures.ProcessPoolExecutor(max_workers=jobs) as pool:
        pending = [
            pool.submit(measure, slots, warm, silent, with_ramp, seeds)
            for with_ramp in (False, True)
            for slots in slot_counts
            for warm in ('3 s', '10 s', '100 requests')
            for silent in (False, True)]
        rows = [entry.result() for entry in pending]
    if output == 'json':
        click.echo(json.dumps(rows, indent=2))
    else:
        click.echo(tabulate.tabulate(
            rows, 'keys', floatfmt='.1f', missingval='-'))


if __name__ == '__main__':
    main()
