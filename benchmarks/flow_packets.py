r"""Cost of the packets of opaque flows in the stages of a balancer.

``python -m benchmarks.flow_packets`` times decisions and encoding without
sockets, for several sizes of the flow table and of a service, and prints the
memory that a tracked flow takes.
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

PLACE = address.Address('198.18.0.1', 80)
SERVICE = 1
IDLE_LOAD = message.Load(0, 1, 20_000)


def make_state(target_count):
    r"""Return a balancer whose one service has many targets."""
    catalogue = catalogues.Catalogue()
    catalogue.apply([model.Change(1, body) for body in [
        model.Service('service', SERVICE, None, 0, 1000, (), 1),
        model.DataCentre('one', 1, False, 1),
        model.Policy(1, 15_000, 1),
        model.Route('route', 1, PLACE, True, 1, 500, 100,
                    (model.Share(SERVICE, 1),), 1),
        *(model.Target('side-%d' % number, number, SERVICE, 1,
                       agent_place(number), 1, 1, 1, 1, False, False, 1)
          for number in range(target_count))]])
    generator = random.Random(1)
    return balancer_state.make_flow_balancer(
        catalogue, lambda now: True,
        placement.make_placement('two-choices', generator), generator)


def agent_place(number):
    r"""Return the address of an agent."""
    return address.Address('10.2.%d.%d' % divmod(number, 256), 7000)


def flow_of(number):
    r"""Return the key of one of many flows."""
    return segments.flow_key(address.Address(
        '100.64.%d.%d' % divmod(number // 60_000, 256),
        1 + number % 60_000), PLACE)


def open_flows(state, count):
    r"""Open flows; return the time of one open in microseconds."""
    arrivals = [
        message.FromCaller(segments.Segment(
            flow_of(number), True, False, False, False, 0, bytes(34)))
        for number in range(count)]
    started = time.perf_counter()
    for event in arrivals:
        sent = balancer.BALANCER.process(state, event, 0)[0]
        balancer.BALANCER.process(state, message.FromNode(
            sent.destination, message.FlowAccepted(
                event.segment.flow, IDLE_LOAD)), 1)
    return (time.perf_counter() - started) / count * 1e6


def carry_packets(state, flow_count, packets):
    r"""Steer and encode packets of open flows; return us a packet."""
    codec = wire.make_flow_codec()
    generator = random.Random(2)
    arrivals = [
        message.FromCaller(segments.Segment(
            flow_of(generator.randrange(flow_count)), False, False, False,
            False, 1000, bytes(1034)))
        for _ in range(packets)]
    started = time.perf_counter()
    for event in arrivals:
        for sent in balancer.BALANCER.process(state, event, 2):
            codec.encode(sent.message)
    return (time.perf_counter() - started) / packets * 1e6


def measure(flow_count, target_count, packets):
    r"""Return one row of figures."""
    state = make_state(target_count)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    open_flows(state, flow_count)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    open_us = open_flows(make_state(target_count), min(flow_count, 20_000))
    return (
        flow_count, target_count, open_us,
        carry_packets(state, flow_count, packets), held / flow_count)


@click.command()
@click.option('--packets', default=50_000, help='Packets of a run.')
def main(packets):
    r"""Print a row for each size."""
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
