r"""Records of an experiment, second by second, and what follows from them."""

import collections
import statistics

from poplarstep.core import record

ANSWERED = 'answered'
FAILED = 'failed'
GIVEN_UP = 'given up'
REFUSED = 'refused'
BROKEN = 'broken'
MILLISECONDS_PER_SECOND = 1000


class Second(record.Record):
    r"""Counts of one service in one second; latencies in ms."""

    __slots__ = ('counts', 'latencies_ms')

    def __init__(self):
        self.counts = collections.Counter()
        self.latencies_ms = []


class Recorder:
    r"""Observations of callers and samples of agents.

    Parameters
    ==========

    started : int
        Clock time in ms of the first second; what began earlier belongs
        to the warm-up and is not counted.
    """

    __slots__ = ('started', 'second_by_key', 'samples')

    def __init__(self, started):
        self.started = started
        self.second_by_key = {}
        self.samples = []

    def observe(self, service, what, at, elapsed_ms=None):
        r"""Count what became of a request or flow that started at ``at``."""
        if at < self.started:
            return
        key = service, (at - self.started) // MILLISECONDS_PER_SECOND
        second = self.second_by_key.setdefault(key, Second())
        second.counts[what] += 1
        if elapsed_ms is not None:
            second.latencies_ms.append(elapsed_ms)

    def sample(self, at, count_by_agent):
        r"""Note the packets that each agent has received until ``at``."""
        if at >= self.started:
            self.samples.append((at, count_by_agent))


def success(counts):
    r"""Return the share of requests that were answered in time, or None.

    An open that failed counts as a failed request; requests of flows that
    were given up, because their data centre was taken out, do not count.

    Examples
    ========

    >>> success({ANSWERED: 98, FAILED: 1, REFUSED: 1, GIVEN_UP: 50})
    0.98

    """
    total = sum(counts.get(what, 0) for what in (ANSWERED, FAILED, REFUSED))
    return counts.get(ANSWERED, 0) / total if total else None


def quantiles(latencies_ms):
    r"""Return the median, 99% and largest latency in ms, or None each.

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
    r"""Return a dictionary for each service and second, in order."""
    found = []
    for (service, second), entry in sorted(recorder.second_by_key.items()):
        median, high, largest = quantiles(entry.latencies_ms)
        found.append({
            'service': service, 'second': second,
            'counts': dict(entry.counts), 'success': success(entry.counts),
            'median_ms': median, 'p99_ms': high, 'largest_ms': largest})
    return found


def totals(recorder):
    r"""Return a dictionary for each service over the whole run."""
    whole_by_service = {}
    for (service, _), entry in recorder.second_by_key.items():
        whole = whole_by_service.setdefault(service, Second())
        whole.counts.update(entry.counts)
        whole.latencies_ms.extend(entry.latencies_ms)
    found = []
    for service, whole in sorted(whole_by_service.items()):
        median, high, largest = quantiles(whole.latencies_ms)
        found.append({
            'service': service, 'counts': dict(whole.counts),
            'success': success(whole.counts), 'median_ms': median,
            'p99_ms': high, 'largest_ms': largest})
    return found


def last_packet_ms(samples, agents, since, until):
    r"""Return ms from ``since`` to the last packet at any of the agents.

    It is the time of the first sample that shows the packet, so at most
    one period too long. None means that no sample shows a packet.

    Examples
    ========

    >>> samples = [(0, {1: 5}), (100, {1: 7}), (200, {1: 7}), (300, {1: 8})]
    >>> last_packet_ms(samples, [1], since=50, until=250)
    50

    """
    last = None
    for (_, before), (at, after) in zip(samples, samples[1:]):
        moved = any(
            after.get(agent) != before.get(agent) for agent in agents)
        if since <= at <= until and moved:
            last = at - since
    return last


def load_by_second(samples, started):
    r"""Return ``{agent: [packets in each second]}``."""
    last_by_second = {}
    for at, count_by_agent in samples:
        last_by_second[(at - started) // MILLISECONDS_PER_SECOND] = (
            count_by_agent)
    ordered = [last_by_second[second] for second in sorted(last_by_second)]
    return {
        agent: [max(0, (after.get(agent) or 0) - (before.get(agent) or 0))
                for before, after in zip(ordered, ordered[1:])]
        for agent in (ordered[0] if ordered else ())}
