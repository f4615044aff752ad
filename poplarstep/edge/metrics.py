r"""Metrics of a process, copied from plain counters at each scrape.

Explanation
===========

Pipeline stages count in integer attributes, because one aioprometheus ``inc``
costs about 7 us. A scrape copies the integers into aioprometheus metrics.
"""

import gevent


class Exporter:
    r"""Copies counter objects into a metrics registry.

    Parameters
    ==========

    labels : dict
        Labels of every metric, such as node and role.
    """

    __slots__ = ('exposition', 'labels', 'sources')

    def __init__(self, labels):
        self.exposition = None
        self.labels = labels
        self.sources = []

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
        if self.exposition is None:
            # A thread imports the module, because on a busy host the import
            # would hold up the packets of this process for tens of ms.
            exposition = gevent.get_hub().threadpool.apply(_import_exposition)
            # Another scrape may have made one during the import.
            self.exposition = self.exposition or exposition.make_exposition()
        for name, labels, value in self.values():
            self.exposition.set(name, {**self.labels, **labels}, value)
        return self.exposition.reply()


def _import_exposition():
    # Not needed before the first scrape; aioprometheus loads asyncio and ssl.
    from poplarstep.edge import exposition
    return exposition
