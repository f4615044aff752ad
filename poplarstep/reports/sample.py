r"""Samples of request counters, from which burn rates are computed."""

from returns import result

from poplarstep.core import record


class Sample(record.Record):
    r"""Counters of one service on one node at one time.

    Explanation
    ===========

    The counters start at 0 when the node starts. ``kind`` is the kind of
    objective for which ``good`` is counted: an answered request that is late
    is good for availability and bad for latency.

    Parameters
    ==========

    node : str
        Name of the node.
    service : str
        Name of the service.
    time_ms : int
        Unix time in ms when the counters were read.
    total : int
        Requests since the node started.
    good : int
        Good requests among them.
    kind : str
        ``'availability'`` or ``'latency'``.
    """

    __slots__ = ('node', 'service', 'time_ms', 'total', 'good', 'kind')

    def __init__(
            self, node: str, service: str, time_ms: int, total: int,
            good: int, kind: str = 'availability'):
        self.node = node
        self.service = service
        self.time_ms = time_ms
        self.total = total
        self.good = good
        self.kind = kind


def check(sample):
    r"""Validate a sample; return ``Success(sample)`` or ``Failure(message)``.

    Examples
    ========

    >>> check(Sample('gs-a-1', 'certs', 0, 4, 5)).failure()
    'sample of certs on gs-a-1 has 5 good requests of 4'

    """
    if sample.time_ms < 0:
        return result.Failure('sample of %s on %s has the time %d ms' % (
            sample.service, sample.node, sample.time_ms))
    if not 0 <= sample.good <= sample.total:
        return result.Failure(
            'sample of %s on %s has %d good requests of %d' % (
                sample.service, sample.node, sample.good, sample.total))
    return result.Success(sample)
