r"""Metrics of a process, copied from plain counters at each scrape.

Explanation
===========

Pipeline stages count in integer attributes, because one aioprometheus ``inc``
costs about 7 us. A scrape copies the integers into aioprometheus metrics.
"""

import aioprometheus

from poplarstep.edge import web


class Exporter:
    r"""Copies counter objects into a metrics registry.

    Parameters
    ==========

    labels : dict
        Labels of every metric, such as node and role.
    """

    __slots__ = ('registry', 'labels', 'sources', 'metric_by_name')

    def __init__(self, labels):
        self.registry = aioprometheus.Registry()
        self.labels = labels
        self.sources = []
        self.metric_by_name = {}

    def add_counters(self, prefix, counters):
        r"""Export every slot of an object as ``poplarstep_PREFIX_NAME``."""
        self.sources.append(lambda: [
            ('%s_%s' % (prefix, name), {}, getattr(counters, name))
            for name in type(counters).__slots__])

    def add_histogram(self, name, histogram):
        r"""Export a ``Histogram`` as ``poplarstep_NAME_bucket`` and so on."""
        self.sources.append(lambda: histogram.rows(name))

    def add_values(self, read):
        r"""Export the ``(name, labels, value)`` rows of a function."""
        self.sources.append(read)

    def values(self):
        r"""Return all rows as ``(name, labels, value)``."""
        return [row for source in self.sources for row in source()]

    def reply(self):
        r"""Return the HTTP reply of a scrape."""
        for name, labels, value in self.values():
            self._metric(name).set({**self.labels, **labels}, value)
        return web.metrics_reply(self.registry)

    def _metric(self, name):
        metric = self.metric_by_name.get(name)
        if metric is None:
            # The type is gauge because values are set, not added; a restart
            # resets them to 0.
            metric = aioprometheus.Gauge(
                'poplarstep_' + name, name.replace('_', ' '),
                registry=self.registry)
            self.metric_by_name[name] = metric
        return metric
