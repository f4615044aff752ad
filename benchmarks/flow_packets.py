r"""Measures the cost of packets of opaque flows in a balancer's pipeline.

``python -m benchmarks.flow_packets`` times routing decisions and encoding
without sockets, for several numbers of flows and targets, and prints the
memory for each tracked flow.
"""

import random
import time
import tracemalloc

import click
import tabulate

from poplarstep.configuration import catalogue as catalogues
from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.edge import wire
from poplarstep.opaque_flows import balancer
from poplarstep.opaque_flows import balancer_state
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import placement
from poplarstep.opaque_flows import segment as segments

ROUTE_ADDRESS = address.Address('198.18.0.1', 80)
SERVICE = 1
IDLE_LOAD = message.Load(0, 1, 20_000)


def make_state(target_count):
    r"""Return a balancer with one service of ``target_count`` targets."""
    catalogue = catalogues.Catalogue()
    catalogue.apply([model.Change(1, body) for body in [
        model.Service('service', SERVICE, None, 0, 1000, (), 1),
        model.DataCentre('one', 1, False, 1),
        model.Policy(1, 15_000, 1),
        model.Route('route', 1, ROUTE_ADDRESS, True, 1, 500, 100,
                    (model.Share(SERVICE, 1),), 1),
        *(model.Target('side-%d' % number, number, SERVICE, 1,
                       agent_address(number), 1, 1, 1, 1, False, False, 1)
          for number in range(target_count))]])
    generator = random.Random(1)
    return balancer_state.make_flow_balancer(
        catalogue, lambda now: True,
        placement.make_placement('two-choices', generator), generator)


def agent_address(number):
    r"""Return the address of an agent."""
    return address.Address('10.2.%d.%d' % divmod(number, 256), 7000)


def flow_key(number):
    r"""Return the key of the flow with a number."""
    return segments.flow_key(address.Address(
        '100.64.%d.%d' % divmod(number // 60_000, 256),
        1 + number % 60_000), ROUTE_ADDRESS)


def open_flows(state, count):
    r"""Open flows; return the mean time of an open in us."""
    events = [
        message.FromCaller(segments.Segment(
            flow_key(number), True, False, False, False, 0, bytes(34)))
        for number in range(count)]
    started = time.perf_counter()
    for event in events:
        sent = balancer.BALANCER.process(state, event, 0)[0]
        balancer.BALANCER.process(state, message.FromNode(
            sent.destination, message.FlowAccepted(
                event.segment.flow, IDLE_LOAD)), 1)
    return (time.perf_counter() - started) / count * 1e6


def forward_packets(state, flow_count, packets):
    r"""Route and encode packets of open flows; return the mean time in us."""
    codec = wire.make_flow_codec()
    generator = random.Random(2)
    events = [
        message.FromCaller(segments.Segment(
            flow_key(generator.randrange(flow_count)), False, False, False,
            False, 1000, bytes(1034)))
        for _ in range(packets)]
    started = time.perf_counter()
    for event in events:
        for sent in balancer.BALANCER.process(state, event, 2):
            codec.encode(sent.message)
    return (time.perf_counter() - started) / packets * 1e6


def measure(flow_count, target_count, packets):
    r"""Return the row for one number of flows and targets."""
    state = make_state(target_count)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    open_flows(state, flow_count)
    table_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    open_us = open_flows(make_state(target_count), min(flow_count, 20_000))
    return (
        flow_count, target_count, open_us,
        forward_packets(state, flow_count, packets), table_bytes / flow_count)


@click.command()
@click.option('--packets', default=50_000,
              help='Number of packets for each row.')
def main(packets):
    r"""Print a row for each number of flows and targets."""
    rows = [
        measure(flow_count, target_count, packets)
        for flow_count, target_count in (
            (1000, 10), (30_000, 10), (190_000, 10), (30_000, 100),
            (30_000, 1000))]
    click.echo(tabulate.tabulate(rows, headers=(
        'flows', 'targets', 'open us', 'packet us', 'bytes a flow'),
        floatfmt='.1f'))


if __name__ == '__main__':
    main()
