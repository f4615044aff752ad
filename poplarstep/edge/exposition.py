r"""Metrics in the text format of Prometheus.

Explanation
===========

This is the only module that imports aioprometheus, which loads asyncio, ssl
and some 70 other modules. ``edge.metrics`` imports it at the first scrape.
"""

import aioprometheus

from poplarstep.edge import web

ACCEPTED = ['text/plain']


class Exposition:
    r"""Gauges of a process by name, in a registry of their own."""

    __slots__ = ('registry', 'gauge_by_name')

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self.gauge_by_name = {}

    def set(self, name, labels, value):
        r"""Set the gauge ``poplarstep_NAME`` for a dictionary of labels."""
        gauge = self.gauge_by_name.get(name)
        if gauge is None:
            # The type is gauge because values are set, not added; a restart
            # resets them to 0.
            gauge = aioprometheus.Gauge(
                'poplarstep_' + name, name.replace('_', ' '),
                registry=self.registry)
            self.gauge_by_name[name] = gauge
        gauge.set(labels, value)

    def reply(self):
        r"""Return the HTTP reply that holds all gauges."""
        content, headers = aioprometheus.render(self.registry, ACCEPTED)
        return web.Reply(200, content, headers.get(
            'Content-Type', headers.get('content-type', 'text/plain')))


def make_exposition() -> Exposition:
    r"""Return an ``Exposition`` without gauges."""
    return Exposition()
