r"""Increases of request counters in time windows, computed from samples.

Explanation
===========

Cumulative sums of the increases between consecutive samples are stored, so
the increase in a window takes a few binary searches.

While a node runs, its counters (total, good and bad requests) never decrease.
If one of them is lower than in the previous sample, the node has restarted,
and the increase is what it has counted since then. The increase thus never
exceeds the requests between the two samples. This also holds for a restart
that no counter shows.
"""

import bisect

from poplarstep.core import record


class Increase(record.Record):
    r"""Increase of the counters in a window.

    ``bad`` of ``total`` requests missed the objective. ``expected_ms`` is the
    time for which samples are expected, ``present_ms`` the time that samples
    cover; both are summed over the nodes.
    """

    __slots__ = ('total', 'bad', 'present_ms', 'expected_ms')

    def __init__(
            self, total: int, bad: int, present_ms: int, expected_ms: int):
        self.total = total
        self.bad = bad
        self.present_ms = present_ms
        self.expected_ms = expected_ms


class NodeSeries:
    r"""Samples of one node as cumulative sums, in chronological order.

    Parameters
    ==========

    samples : iterable of Sample
        Samples of one node. If several have the same time, the last one is
        used.
    period_ms : int
        Time between samples. A sample covers the time since the previous
        sample, but at most one period.
    """

    __slots__ = ('times_ms', 'total_sums', 'bad_sums', 'present_sums_ms')

    def __init__(self, samples, period_ms):
        sample_by_time = {sample.time_ms: sample for sample in samples}
        self.times_ms = sorted(sample_by_time)
        self.total_sums = [0]
        self.bad_sums = [0]
        self.present_sums_ms = [0, period_ms]
        for earlier, later in zip(self.times_ms, self.times_ms[1:]):
            total, bad = increase_between(
                sample_by_time[earlier], sample_by_time[later])
            self.total_sums.append(self.total_sums[-1] + total)
            self.bad_sums.append(self.bad_sums[-1] + bad)
            self.present_sums_ms.append(
                self.present_sums_ms[-1] + min(later - earlier, period_ms))

    def increase(self, start_ms, end_ms):
        r"""Return ``(total, bad, present_ms)`` of a window.

        Only increases between two samples inside the window count, so a gap
        before the window adds no requests to it.
        """
        first = bisect.bisect_left(self.times_ms, start_ms)
        after = bisect.bisect_right(self.times_ms, end_ms)
        present_ms = self.present_sums_ms[after] - self.present_sums_ms[
            bisect.bisect_right(self.times_ms, start_ms)]
        if first == after:
            return 0, 0, present_ms
        return (
            self.total_sums[after - 1] - self.total_sums[first],
            self.bad_sums[after - 1] - self.bad_sums[first],
            present_ms)


class Series:
    r"""Samples of one service and kind on all nodes.

    Parameters
    ==========

    samples : iterable of Sample
        The whole history; samples of other services and kinds are ignored.
        If the first sample of a node is more than a period after the start
        of the history, the node joined then, and no earlier samples of it
        are expected.
    objective : Objective
        Selects service and kind.
    period_ms : int
        Time between the samples of a node.
    nodes : iterable of str or None
        Nodes in operation, for which samples are expected up to the end of
        a window; None stands for all nodes with samples. For other nodes,
        samples are expected up to their last sample.
    """

    __slots__ = ('series_by_node', 'period_ms', 'nodes', 'history_start_ms')

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
        self.history_start_ms = min(
            (entry.times_ms[0] for entry in self.series_by_node.values()),
            default=0)

    def increase(self, start_ms, end_ms):
        r"""Return the ``Increase`` of all nodes in a window."""
        total = bad = present_ms = expected_ms = 0
        for node in self.nodes.union(self.series_by_node):
            node_expected_ms = self.expected_in_window(node, start_ms, end_ms)
            expected_ms += node_expected_ms
            if node in self.series_by_node:
                node_increase = self.series_by_node[node].increase(
                    start_ms, end_ms)
                total += node_increase[0]
                bad += node_increase[1]
                present_ms += min(node_increase[2], node_expected_ms)
        return Increase(total, bad, present_ms, expected_ms)

    def expected_in_window(self, node, start_ms, end_ms):
        r"""Return for how many ms of a window a node should have samples."""
        if node in self.series_by_node:
            times_ms = self.series_by_node[node].times_ms
            if times_ms[0] > self.history_start_ms + self.period_ms:
                start_ms = max(start_ms, times_ms[0] - self.period_ms)
            if node not in self.nodes:
                end_ms = min(end_ms, times_ms[-1])
        return max(0, end_ms - start_ms)


def increase_between(earlier, later):
    r"""Return the increase ``(total, bad)`` between two samples of a node.

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
