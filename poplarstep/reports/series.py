r"""Series of samples that answer how much happened in a window.

Explanation
===========

Running sums over the increases between neighbouring samples make each
window a pair of binary searches. Three counters of a node only grow while
it runs: total, good and bad. When one of them falls, the node has
restarted, and what it has counted since is the increase; this never exceeds
what happened between the two samples, also when a restart goes unnoticed.
"""

import bisect

from poplarstep.core import record


class Increase(record.Record):
    r"""What happened in a window.

    ``present_ms`` of ``expected_ms`` node-milliseconds are covered by
    samples.
    """

    __slots__ = ('total', 'bad', 'present_ms', 'expected_ms')

    def __init__(
            self, total: int, bad: int, present_ms: int, expected_ms: int):
        self.total = total
        self.bad = bad
        self.present_ms = present_ms
        self.expected_ms = expected_ms


class NodeSeries:
    r"""Samples of one node, in the order of time, as running sums.

    Parameters
    ==========

    samples : iterable of Sample
        Samples of one node; of two with one time the later one counts.
    period_ms : int
        Time between samples. A sample stands for the time since the one
        before it, at most for one period.
    """

    __slots__ = ('times', 'totals', 'bads', 'present')

    def __init__(self, samples, period_ms):
        sample_by_time = {sample.time_ms: sample for sample in samples}
        self.times = sorted(sample_by_time)
        self.totals = [0]
        self.bads = [0]
        self.present = [0, period_ms]
        for earlier, later in zip(self.times, self.times[1:]):
            total, bad = increase_between(
                sample_by_time[earlier], sample_by_time[later])
            self.totals.append(self.totals[-1] + total)
            self.bads.append(self.bads[-1] + bad)
            self.present.append(
                self.present[-1] + min(later - earlier, period_ms))

    def increase(self, start, end):
        r"""Return ``(total, bad, present_ms)`` of the window in ms.

        Only increases between two samples inside the window count, so that
        a long gap before the window adds nothing to it.
        """
        first = bisect.bisect_left(self.times, start)
        after = bisect.bisect_right(self.times, end)
        covered = self.present[after] - self.present[
            bisect.bisect_right(self.times, start)]
        if first == after:
            return 0, 0, covered
        return (
            self.totals[after - 1] - self.totals[first],
            self.bads[after - 1] - self.bads[first],
            covered)


class Series:
    r"""Samples of one service and kind on all nodes.

    Parameters
    ==========

    samples : iterable of Sample
        The whole history, of any services. A node whose first sample comes
        later than the history starts has joined then.
    objective : Objective
        Selects service and kind.
    period_ms : int
        Time between the samples of a node.
    nodes : iterable of str or None
        Nodes in operation, of which samples are expected up to the end of
        a window. None stands for all nodes with samples; others are
        expected up to their last sample.
    """

    __slots__ = ('series_by_node', 'period_ms', 'nodes', 'history_start')

    def __init__(self, samples, objective, period_ms, nodes=None):
        samples_by_node = {}
        for sample in samples:
            if (sample.service, sample.kind) == (
                    objective.service, objective.kind):
                samples_by_node.setdefault(sample.node, []).append(sample)
        self.series_by_node = {
            node: NodeSeries(entries, period_ms)
            for node, entries in samples_by_node.items()}
        self.period_ms = period_ms
        self.nodes = frozenset(
            self.series_by_node if nodes is None else nodes)
        self.history_start = min(
            (entry.times[0] for entry in self.series_by_node.values()),
            default=0)

    def increase(self, start, end):
        r"""Return the ``Increase`` of all nodes from start to end in ms."""
        total = bad = present_ms = expected_ms = 0
        for node in self.nodes.union(self.series_by_node):
            expected = self.expected(node, start, end)
            expected_ms += expected
            if node in self.series_by_node:
                found = self.series_by_node[node].increase(start, end)
                total += found[0]
                bad += found[1]
                present_ms += min(found[2], expected)
        return Increase(total, bad, present_ms, expected_ms)

    def expected(self, node, start, end):
        r"""Return for how many ms of a window samples are expected."""
        if node in self.series_by_node:
            times = self.series_by_node[node].times
            if times[0] > self.history_start + self.period_ms:
                start = max(start, times[0] - self.period_ms)
            if node not in self.nodes:
                end = min(end, times[-1])
        return max(0, end - start)


def increase_between(earlier, later):
    r"""Return ``(total, bad)`` that a node counted between two samples.

    Examples
    ========

    >>> from poplarstep.reports import sample
    >>> before = sample.Sample('a', 'certs', 0, 100, 90)
    >>> increase_between(before, sample.Sample('a', 'certs', 1, 110, 99))
    (10, 1)
    >>> increase_between(before, sample.Sample('a', 'certs', 1, 7, 6))
    (7, 1)

    """
    total = later.total - earlier.total
    good = later.good - earlier.good
    if total < 0 or good < 0 or total < good:
        return later.total, later.total - later.good
    return total, total - good
