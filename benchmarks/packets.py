r"""Measures packets and opens per second of one balancer process.

Explanation
===========

A child process runs either a bare gevent UDP forwarder or a balancer's
pipeline on real sockets. The parent keeps a window of datagrams in flight
and reads the child's processor time. The bare forwarder is the baseline: it
shows the cost of sockets and interpreter without routing decisions.
"""

import json
import random
import subprocess
import sys
import time

import click
import gevent
import psutil
import tabulate

from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import timer
from poplarstep.edge import clock
from poplarstep.edge import codec
from poplarstep.edge import datagrams
from poplarstep.edge import plain_format
from poplarstep.edge import proxy_header
from poplarstep.edge import task as tasks
from poplarstep.edge import wire
from poplarstep.flow import packet
from poplarstep.flow import token
from poplarstep.opaque_flows import balancer_assembly as flow_assembly
from poplarstep.opaque_flows import offers
from poplarstep.opaque_flows import segment as segments
from poplarstep.programs import balancer as balancers
from poplarstep.programs import flow_balancer as flow_balancers
from poplarstep.routing import assembly

KEY = b'benchmark-key-of-32-bytes-length'
FRONT = address.Address('127.50.0.1', 7100)
BACK = address.Address('127.50.0.1', 7200)
AGENT = address.Address('127.50.0.2', 7300)
FABRIC = address.Address('127.50.0.3', 7400)
SERVICE = address.Address('127.50.0.4', 5000)
CALLER = address.Address('127.50.0.5', 6000)
MAX_IN_FLIGHT = 256
PAYLOAD = b'x' * 100
# A run ends early when nothing arrives for this long.
STALL_S = 0.2
NEVER_EXPIRES_MS = 1 << 50
KINDS = ('bare', 'balancer', 'opaque')
FIRST_PORT = 1024
PORTS_PER_IP = 60_000


def catalogue_changes(targets):
    r"""Return the changes that create one service and its targets."""
    bodies = [
        model.Service('dispatch', 1, SERVICE, 0, 600_000, (), 1),
        model.DataCentre('maadi', 1, False, 1),
    ]
    bodies.extend(
        model.Target('dispatch/%d' % number, number, 1, 1, AGENT, 1, 1, 1,
                     2000, False, False, 1)
        for number in range(1, targets + 1))
    return [model.Change(1, body) for body in bodies]


def serve(kind, targets, flows):
    r"""Run the forwarder of the child process until it is killed."""
    if kind == 'bare':
        _serve_bare()
    elif kind == 'opaque':
        _serve_opaque(flows)
    else:
        _serve_balancer(targets)


def _serve_bare():
    socket = datagrams.open_datagram_socket(FRONT, _keep_datagram).unwrap()

    def forward(batch):
        for _, data in batch:
            socket.send(AGENT, data)

    socket.read_loop(forward)


def _keep_datagram(source, data):
    return source, data


def _serve_balancer(targets):
    packets = codec.make_data_path_codec(token.Sealer([KEY]))
    pipeline, subscribed, balancer = assembly.make_pipeline({
        'node': 'benchmark', 'upstreams': (FABRIC,),
        'without-control': 'refuse', 'selector': 'two-choices-aged',
        'opens-per-second': 1_000_000}, 1, random.Random(1), clock.now_ms())
    subscribed.catalogue.apply(catalogue_changes(targets))
    subscribed.lease_until = clock.now_ms() + NEVER_EXPIRES_MS
    front = datagrams.open_datagram_socket(
        FRONT, balancers.make_front_decoder(packets)).unwrap()
    back = datagrams.open_datagram_socket(
        BACK, balancers.make_back_decoder(packets)).unwrap()
    task = tasks.Task(
        'benchmark', pipeline, timer.TimerQueue(),
        balancers.make_performers(
            packets, front, back, _NoLinks(), balancer))
    for socket in (front, back):
        gevent.spawn(socket.read_loop, task.post)
    task.run()


def _serve_opaque(flows):
    pipeline, subscribed, steering = flow_assembly.make_balancer({
        'node': 'benchmark', 'upstreams': (FABRIC,),
        'without-control': 'serve', 'placement': 'two-choices',
        'tied-offers': 0, 'dead-flows': 'ignore', 'lookup-rate': 62_500,
        'avoid-failing': 'off', 'locality': 'none',
        'data-centre': 'one'}, 1,
        random.Random(1), clock.now_ms())
    subscribed.catalogue.apply(
        [model.Change(1, model.Policy(1, NEVER_EXPIRES_MS, 1))])
    for number in range(flows):
        tracked = offers.add_flow(
            steering, opaque_flow(number), clock.now_ms())
        tracked.agent = AGENT
    front = datagrams.open_datagram_socket(
        FRONT, flow_balancers.make_front_decoder(
            plain_format.make_format())).unwrap()
    back = datagrams.open_datagram_socket(BACK, _keep_datagram).unwrap()
    task = tasks.Task(
        'benchmark', pipeline, timer.TimerQueue(),
        flow_balancers.make_performers(
            plain_format.make_format(), wire.make_flow_codec(), front, back,
            _NoLinks()))
    gevent.spawn(front.read_loop, task.post)
    task.run()


def opaque_flow(number):
    r"""Return the key of the opaque flow with a number."""
    high, low = divmod(number, PORTS_PER_IP)
    return segments.flow_key(address.Address(
        '100.64.%d.%d' % divmod(high, 256), FIRST_PORT + low), SERVICE)


class _NoLinks:
    r"""Replaces the control links: the benchmark has no control host."""

    __slots__ = ()

    def send(self, item):
        r"""Drop the message."""


class Measurement:
    r"""One row: the load, the rate and the processor time of the child."""

    __slots__ = ('kind', 'work', 'flows', 'targets', 'rate', 'cpu_us')

    def __init__(self, kind, work, flows, targets, rate, cpu_us):
        self.kind = kind
        self.work = work
        self.flows = flows
        self.targets = targets
        self.rate = rate
        self.cpu_us = cpu_us

    def row(self):
        r"""Return the values for a table."""
        return (self.kind, self.work, self.flows, self.targets,
                round(self.rate), round(self.cpu_us, 2))


def request_datagrams(flows, count):
    r"""Return encoded requests of random flows, as the fabric sends them."""
    packets = codec.make_data_path_codec(token.Sealer([KEY]))
    generator = random.Random(1)
    requests = []
    for _ in range(min(flows, count)):
        serial = generator.randrange(flows)
        body = packets.encode(packet.Request(
            generator.getrandbits(64),
            token.Token(1, 1, 1, AGENT, 1, serial), 1, True, 5000, 1,
            PAYLOAD))
        requests.append(proxy_header.encode(CALLER, SERVICE, body))
    return requests


def open_datagrams(count):
    r"""Return encoded opens, as the fabric sends them."""
    packets = codec.make_data_path_codec(token.Sealer([KEY]))
    generator = random.Random(1)
    return [
        proxy_header.encode(CALLER, SERVICE, packets.encode(
            packet.Open(generator.getrandbits(64))))
        for _ in range(count)]


def measure(kind, work, flows, targets, count):
    r"""Run one child and return its ``Measurement``."""
    child = subprocess.Popen([
        sys.executable, '-m', 'benchmarks.packets', '--serve', kind,
        '--serve-targets', str(targets), '--serve-flows', str(flows)])
    agent = datagrams.open_datagram_socket(AGENT, _keep_datagram).unwrap()
    fabric = datagrams.open_datagram_socket(FABRIC, _keep_datagram).unwrap()
    try:
        driver = DRIVERS[work]
        received = driver(agent, fabric, flows, count // 10, wait=True)
        process = psutil.Process(child.pid)
        before_s = _cpu_s(process)
        started = time.monotonic()
        received = driver(agent, fabric, flows, count, wait=False)
        elapsed_s = time.monotonic() - started
        cpu_s = _cpu_s(process) - before_s
    finally:
        child.kill()
        child.wait()
        agent.close()
        fabric.close()
    return Measurement(
        kind, work, flows, targets, received / elapsed_s,
        cpu_s / received * 1e6)


def _cpu_s(process):
    times = process.cpu_times()
    return times.user + times.system


def _drive_requests(agent, fabric, flows, count, wait):
    r"""Send requests; return how many arrive at the agent's socket."""
    return _drive(agent, fabric, request_datagrams(flows, count), count, wait)


def _drive(agent, fabric, prepared, count, wait):
    sent = received = 0
    if wait:
        _wait_for_child(agent, fabric, prepared[0])
    last_arrival = time.monotonic()
    while received < count and time.monotonic() - last_arrival < STALL_S:
        while sent - received < MAX_IN_FLIGHT and sent < count:
            fabric.send(FRONT, prepared[sent % len(prepared)])
            sent += 1
        arrived = _count_received(agent)
        received += arrived
        if arrived:
            last_arrival = time.monotonic()
    return received


def _drive_packets(agent, fabric, flows, count, wait):
    r"""Send packets of opaque flows; return how many reach the agent."""
    generator = random.Random(1)
    prepared = [
        plain_format.encode(
            opaque_flow(generator.randrange(flows)), 0, PAYLOAD)
        for _ in range(min(flows, count))]
    return _drive(agent, fabric, prepared, count, wait)


def _drive_opens(agent, fabric, flows, count, wait):
    r"""Send opens and answer them as an agent; return the answered ones."""
    packets = codec.make_data_path_codec(token.Sealer([KEY]))
    prepared = open_datagrams(count)
    sent = received = 0
    if wait:
        _wait_for_child(agent, fabric, prepared[0])
    load = packet.Load(1, 0, 0, 1, 3.0)
    last_arrival = time.monotonic()
    while received < count and time.monotonic() - last_arrival < STALL_S:
        while sent - received < MAX_IN_FLIGHT and sent < count:
            fabric.send(FRONT, prepared[sent])
            sent += 1
        for data in _receive_all(agent):
            forwarded = packets.decode(data).unwrap()
            agent.send(BACK, packets.encode(packet.OpenOutcome(
                forwarded.attempt, forwarded.target, load,
                packet.Opened(forwarded.packet.flow_key, token.Token(
                    1, 1, forwarded.target, AGENT, 1, 1)))))
        arrived = _count_received(fabric)
        received += arrived
        if arrived:
            last_arrival = time.monotonic()
    return received


DRIVERS = {
    'request': _drive_requests, 'open': _drive_opens,
    'packet': _drive_packets}


def _wait_for_child(agent, fabric, data):
    r"""Send a datagram repeatedly until the child forwards one."""
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        fabric.send(FRONT, data)
        time.sleep(0.05)
        if _count_received(agent):
            return
    raise TimeoutError('the child process forwarded nothing for 20 s')


def _count_received(socket):
    return len(_receive_all(socket))


def _receive_all(socket):
    data = []
    while True:
        try:
            data.append(socket.socket.recv(datagrams.MAXIMUM_DATAGRAM_BYTES))
        except BlockingIOError:
            return data


# Process, work, number of flows and number of targets of each row.
PLAN = (
    ('bare', 'request', 1000, 10),
    ('balancer', 'request', 1000, 10),
    ('balancer', 'request', 30_000, 10),
    ('balancer', 'request', 300_000, 10),
    ('balancer', 'request', 1000, 1000),
    ('opaque', 'packet', 1000, 10),
    ('opaque', 'packet', 30_000, 10),
    ('opaque', 'packet', 190_000, 10),
    ('balancer', 'open', 1, 10),
    ('balancer', 'open', 1, 100),
    ('balancer', 'open', 1, 1000),
)


@click.command()
@click.option('--serve', 'served', type=click.Choice(KINDS))
@click.option('--serve-targets', default=10)
@click.option('--serve-flows', default=1000)
@click.option('--count', default=100_000, help='datagrams for each row')
@click.option('--output', type=click.Choice(['table', 'json']),
              default='table')
def main(served, serve_targets, serve_flows, count, output):
    r"""Compare one balancer process with a bare forwarder."""
    if served:
        serve(served, serve_targets, serve_flows)
        return
    rows = [
        measure(kind, work, flows, targets, count).row()
        for kind, work, flows, targets in PLAN]
    columns = ('process', 'work', 'flows', 'targets', 'per second',
               'CPU us each')
    if output == 'json':
        click.echo(json.dumps([dict(zip(columns, row)) for row in rows]))
        return
    click.echo(tabulate.tabulate(rows, headers=columns))
    bare = rows[0][4]
    for kind in KINDS[1:]:
        rate = next(row[4] for row in rows if row[0] == kind)
        click.echo('%s / bare forwarder: %.0f%%' % (kind, rate / bare * 100))


if __name__ == '__main__':
    main()
