r"""Fabric of the model: sprays packets and delivers answers to callers.

Explanation
===========

It knows nothing of flows. It goes on spraying over a balancer that is dead
until its check of ``/readyz`` notices.
``Framed`` stands for the PROXY header.
"""

from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import record
from poplarstep.core import simulation
from poplarstep.core import stage
from poplarstep.core import timer

NAME = 'fabric'
NOTICE_MS = 1000
HOP = address.Address('10.3.0.1', 1)

FABRIC = stage.Stage('fabric')


class Framed(record.Record):
    r"""A packet with the caller and the service address of its header."""

    __slots__ = ('caller', 'service', 'packet')

    def __init__(self, caller, service, packet):
        self.caller = caller
        self.service = service
        self.packet = packet


class FromCaller(Framed):
    r"""A packet that arrived at a service address."""

    __slots__ = ()


class FabricState:
    r"""Balancers that the fabric sprays over."""

    __slots__ = ('fronts', 'random')

    def __init__(self, generator):
        self.fronts = []
        self.random = generator


@FABRIC.handles(FromCaller)
def from_caller(state, event, now):
    r"""Send a caller's packet to any balancer."""
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
    decoder_by_address = {HOP: lambda source, framed, now: framed}
    for service in services:
        decoder_by_address[service] = _decoder(service)
    driver.add(simulation.Node(
        NAME, decoder_by_address, stage.Pipeline([(FABRIC, state)]),
        timer.TimerQueue(), {
            effect.SendPacket: lambda node, item: driver.send(
                HOP, item.destination, item.packet)}))
    return state


def _decoder(service):
    return lambda source, body, now: FromCaller(source, service, body)
