r"""Stand-in for the platform's fabric: sprays packets across balancers.

Explanation
===========

The fabric listens on each service address, adds a PROXY header to every
datagram and sends it to a random balancer; it keeps no state about flows. A
balancer sends answers, with a PROXY header, to the socket of the service
address, and the fabric forwards them to the caller.
"""

import random
import signal

import click
import gevent
from returns import result

from poplarstep.core import address
from poplarstep.edge import datagrams
from poplarstep.edge import proxy_header


class Fabric:
    r"""Sockets of the service addresses and addresses of the balancers."""

    __slots__ = (
        'balancers', 'random', 'count_by_balancer', 'sockets', 'readers')

    def __init__(self, balancers, generator):
        self.balancers = list(balancers)
        self.random = generator
        self.count_by_balancer = {item: 0 for item in balancers}
        self.sockets = []
        self.readers = []

    def serve(self, service):
        r"""Bind a service address and start to forward its datagrams."""
        opened = datagrams.open_datagram_socket(
            service, lambda source, data: (source, data))
        socket = opened.unwrap()
        self.sockets.append(socket)
        self.readers.append(gevent.spawn(
            socket.read_loop,
            lambda batch: self._forward(service, socket, batch)))

    def close(self):
        r"""Stop the readers and free the service addresses."""
        gevent.killall(self.readers)
        for socket in self.sockets:
            socket.close()

    def _forward(self, service, socket, batch):
        for source, data in batch:
            decoded = proxy_header.decode(data)
            if isinstance(decoded, result.Success):
                _, caller, payload = decoded.unwrap()
                socket.send(caller, payload)
                continue
            balancer = self.random.choice(self.balancers)
            self.count_by_balancer[balancer] += 1
            socket.send(balancer, proxy_header.encode(
                address.Address(*source), service, data))


def make_fabric(balancers, seed):
    r"""Return a fabric that picks balancers by a seeded generator."""
    return Fabric(balancers, random.Random(seed))


def _parse_addresses(context, parameter, text):
    return [address.parse(item).unwrap() for item in text.split(',')]


@click.command()
@click.option('--services', required=True, callback=_parse_addresses)
@click.option('--balancers', required=True, callback=_parse_addresses)
@click.option('--seed', default=1)
def main(services, balancers, seed):
    r"""Run a fabric in front of balancers until SIGTERM."""
    fabric = make_fabric(balancers, seed)
    for service in services:
        fabric.serve(service)
    stop = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    stop.wait()


if __name__ == '__main__':
    main()
