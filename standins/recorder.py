r"""Records the outcomes of an experiment and computes its statistics.

Explanation
===========

The outcomes of a request are ``ANSWERED`` and ``FAILED``, those of a flow
``GIVEN_UP`` (its data centre was taken out), ``REFUSED`` (it could not be
opened) and ``BROKEN`` (a request of it failed).
"""

import collections
import statistics

from poplarstep.core import record

ANSWERED = 'answered'
FAILED = 'failed'
GIVEN_UP = 'given up'
REFUSED = 'refused'
BROKEN = 'broken'
MILLISECONDS_PER_SECOND = 1000


class SecondRecord(record.Record):
    r"""Outcomes and latencies of the requests to a service in one second."""

    __slots__ = ('counts', 'latencies_ms')

    def __init__(self):
        self.counts = collections.Counter()
        self.latencies_ms = []


class Recorder:
    r"""Outcomes seen by callers, and packet counts sampled at agents.

    Parameters
    ==========

    started : int
        Clock time in ms at which the first second starts. Flows and
        requests that started earlier belong to the warm-up and are not
        counted.
    """

    __slots__ = ('started', 'second_by_key', 'samples')

    def __init__(self, started):
        self.started = started
        self.second_by_key = {}
        self.samples = []

    def observe(self, service, outcome, started_at, latency_ms=None):
        r"""Count an outcome by the second in which flow or request started."""
        if started_at < self.started:
            return
        key = service, (started_at - self.started) // MILLISECONDS_PER_SECOND
        second = self.second_by_key.setdefault(key, SecondRecord())
        second.counts[outcome] += 1
        if latency_ms is not None:
            second.latencies_ms.append(latency_ms)

    def sample(self, at, count_by_agent):
        r"""Record how many packets each agent had received at time ``at``."""
        if at >= self.started:
            self.samples.append((at, count_by_agent))


def success(counts):
    r"""Return the share of requests that were answered in time, or None.

    A flow that could not be opened counts as a failed request. The last
    request of a flow that was given up, because its data centre was taken
    out, does not count.

    Examples
    ========

    >>> success({ANSWERED: 98, FAILED: 1, REFUSED: 1, GIVEN_UP: 50})
    0.98

    """
    total = sum(
        counts.get(outcome, 0) for outcome in (ANSWERED, FAILED, REFUSED))
    return counts.get(ANSWERED, 0) / total if total else None


def quantiles(latencies_ms):
    r"""Return the median, 99th percentile and largest latency, or Nones.

    Examples
    ========

    >>> quantiles([5] * 99 + [100])
    (5, 100, 100)

    """
    if not latencies_ms:
        return None, None, None
    ordered = sorted(latencies_ms)
    return (statistics.median_low(ordered),
            ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)],
            ordered[-1])


def rows(recorder):
    r"""Return the statistics of each service in each second, in order."""
    results = []
    for (service, second), entry in sorted(recorder.second_by_key.items()):
        median, p99, largest = quantiles(entry.latencies_ms)
        results.append({
            'service': service, 'second': second,
            'counts': dict(entry.counts), 'success': success(entry.counts),
            'median_ms': median, 'p99_ms': p99, 'largest_ms': largest})
    return results


def totals(recorder):
    r"""Return the statistics of each service over the whole run."""
    total_by_service = {}
    for (service, _), entry in recorder.second_by_key.items():
        total = total_by_service.setdefault(service, SecondRecord())
        total.counts.update(entry.counts)
        total.latencies_ms.extend(entry.latencies_ms)
    results = []
    for service, total in sorted(total_by_service.items()):
        median, p99, largest = quantiles(total.latencies_ms)
        results.append({
            'service': service, 'counts': dict(total.counts),
            'success': success(total.counts), 'median_ms': median,
            'p99_ms': p99, 'largest_ms': largest})
    return results


def last_packet_ms(samples, agents, since, until):
    r"""Return ms from ``since`` to the last packet at any of the agents.

    The time of a packet is that of the first sample that counts it, so the
    result is too long by at most one sampling period. It is None if no
    sample between ``since`` and ``until`` counts a packet.

    Examples
    ========

    >>> samples = [(0, {1: 5}), (100, {1: 7}), (200, {1: 7}), (300, {1: 8})]
    >>> last_packet_ms(samples, [1], since=50, until=250)
    50

    """
    last = None
    for (_, before), (at, after) in zip(samples, samples[1:]):
        received = any(
            after.get(agent) != before.get(agent) for agent in agents)
        if since <= at <= until and received:
            last = at - since
    return last


def packets_by_second(samples, started):
    r"""Return a dictionary from each agent to its packets in each second."""
    last_by_second = {}
    for at, count_by_agent in samples:
        last_by_second[(at - started) // MILLISECONDS_PER_SECOND] = (
            count_by_agent)
    ordered = [last_by_second[second] for second in sorted(last_by_second)]
    return {
        agent: [max(0, (after.get(agent) or 0) - (before.get(agent) or 0))
                for before, after in zip(ordered, ordered[1:])]
        for agent in (ordered[0] if ordered else ())}
