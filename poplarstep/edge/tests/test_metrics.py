"""Tests of the metrics of a process."""

import gevent
import pytest

from poplarstep.edge import metrics
from poplarstep.edge import web

CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
LABELS = 'data_centre="a",node="n/"1"",role="flow-agent"'
FLOWS = (
    '# HELP poplarstep_flows flows\n'
    '# TYPE poplarstep_flows gauge\n'
    'poplarstep_flows{%s,target="t-1"} 3.5\n'
    'poplarstep_flows{%s,target="t-2"} 12345678\n' % (LABELS, LABELS))
HTTP = (
    '# HELP poplarstep_http_refused http refused\n'
    '# TYPE poplarstep_http_refused gauge\n'
    'poplarstep_http_refused{%s} 0\n'
    '# HELP poplarstep_http_requests http requests\n'
    '# TYPE poplarstep_http_requests gauge\n'
    'poplarstep_http_requests{%s} 7\n' % (LABELS, LABELS))


def add_http(exporter):
    """Export one counters object."""
    counters = web.Counters()
    counters.requests = 7
    exporter.add_counters('http', counters)


def add_flows(exporter):
    """Export rows with labels of their own."""
    exporter.add_values(lambda: [
        ('flows', {'target': 't-1'}, 3.5),
        ('flows', {'target': 't-2'}, 12345678)])


@pytest.mark.parametrize('sources, text', [
    ([], ''),
    ([add_http], HTTP),
    ([add_http, add_flows], FLOWS + HTTP),
])
@pytest.mark.parametrize('scrapes', [1, 3])
def test_metrics_are_the_same_bytes_in_each_scrape(sources, text, scrapes):
    """Guards against a change of the text that operators' tools read.

    Scrapes of which several wait for the first import must not each make
    gauges of their own.
    """
    exporter = metrics.Exporter(
        {'node': 'n/"1"', 'role': 'flow-agent', 'data_centre': 'a'})
    for add in sources:
        add(exporter)
    greenlets = [gevent.spawn(exporter.reply) for _ in range(scrapes)]
    for greenlet in greenlets:
        reply = greenlet.get()
        assert (reply.code, reply.content_type, reply.headers) == (
            200, CONTENT_TYPE, ())
        assert reply.body == text.encode()
