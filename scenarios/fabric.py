r"""Fabric of the systems in memory: sprays packets across balancers.

Explanation
===========

The fabric keeps no state about flows. It sends each packet from a caller to a
random balancer and delivers answers to callers. A killed balancer gets
packets for another ``DETECTION_DELAY_MS``, the time that the readiness checks
of a real fabric take to fail. ``Framed`` stands for a packet with a PROXY
header.
"""

from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import record
from poplarstep.core import simulation
from poplarstep.core import stage
from poplarstep.core import timer

NAME = 'fabric'
DETECTION_DELAY_MS = 1000
FABRIC_ADDRESS = address.Address('10.3.0.1', 1)

FABRIC = stage.Stage('fabric')


class Framed(record.Record):
    r"""A packet with a PROXY header: caller and service address."""

    __slots__ = ('caller', 'service', 'packet')

    def __init__(self, caller, service, packet):
        self.caller = caller
        self.service = service
        self.packet = packet


class FromCaller(Framed):
    r"""A packet from a caller that arrived at a service address."""

    __slots__ = ()


class FabricState:
    r"""Front addresses of the balancers that get packets."""

    __slots__ = ('fronts', 'random')

    def __init__(self, generator):
        self.fronts = []
        self.random = generator


@FABRIC.handles(FromCaller)
def from_caller(state, event, now):
    r"""Send a caller's packet to a random balancer."""
    if not state.fronts:
        return []
    return [effect.SendPacket(
        state.random.choice(state.fronts),
        Framed(event.caller, event.service, event.packet))]


@FABRIC.handles(Framed)
def to_caller(state, event, now):
    r"""Deliver an answer to its caller."""
    return [effect.SendPacket(event.caller, event.packet)]


def make_fabric(driver, services):
    r"""Add a fabric that owns the service addresses; return its state."""
    state = FabricState(driver.random)
    decoder_by_address = {FABRIC_ADDRESS: lambda source, framed, now: framed}
    for service in services:
        decoder_by_address[service] = _make_decoder(service)
    driver.add(simulation.Node(
        NAME, decoder_by_address, stage.Pipeline([(FABRIC, state)]),
        timer.TimerQueue(), {
            effect.SendPacket: lambda node, item: driver.send(
                FABRIC_ADDRESS, item.destination, item.packet)}))
    return state


def _make_decoder(service):
    return lambda source, payload, now: FromCaller(source, service, payload)
