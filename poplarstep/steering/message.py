r"""Messages between balancers and agents about opaque flows.

Explanation
===========

A balancer offers an opening packet to one agent after the other until one
takes it, carries later packets to the agent that holds the flow, and asks
all agents of a route when it does not know who does. Any message may be
lost or duplicated; callers repeat their packets.
"""

from poplarstep.core import address
from poplarstep.core import record
from poplarstep.steering import segment as segments

# Reasons for which an agent does not take an opening packet.
BUSY = 'busy'
OVERLOADED = 'overloaded'
COLD = 'cold'
LEAVING = 'leaving'
ABSENT = 'target-absent'
WRONG_SERVICE = 'wrong-service'
DATA_CENTRE_OUT = 'data-centre-out'
RETURNED = 'returned-by-target'


class Load(record.Record):
    r"""What an agent knows of the work at its target.

    Parameters
    ==========

    backlog : int
        Flows whose request is awaited, running or waiting.
    slots : int
        Requests that the target runs at a time.
    service_us : int
        Mean time that the target works on a request, in microseconds; 0
        when unknown.
    """

    __slots__ = ('backlog', 'slots', 'service_us')

    def __init__(self, backlog: int, slots: int, service_us: int):
        self.backlog = backlog
        self.slots = slots
        self.service_us = service_us


class Offer(record.Record):
    r"""Opening packet of a flow for the target of one agent.

    Parameters
    ==========

    service : int
        Number of the service that the route names.
    priority : int
        0 is the highest.
    patience_ms : int
        For how long the flow may wait at the agent; an answer after a
        longer wait would be late.
    may_wait : bool
        The agent may put it into its queue; otherwise it returns it when
        all slots of the target are taken.
    """

    __slots__ = (
        'flow', 'service', 'priority', 'patience_ms', 'may_wait',
        'datagram')

    def __init__(
            self, flow: bytes, service: int, priority: int,
            patience_ms: int, may_wait: bool, datagram: bytes):
        self.flow = flow
        self.service = service
        self.priority = priority
        self.patience_ms = patience_ms
        self.may_wait = may_wait
        self.datagram = datagram


class Carry(record.Record):
    r"""Later packet of a flow, for the agent that holds it.

    ``sending`` says that it carries data, ``ending`` that the caller closes
    or resets the flow; ``acknowledged`` as in ``Segment``.
    """

    __slots__ = ('flow', 'sending', 'ending', 'datagram', 'acknowledged')

    def __init__(
            self, flow: bytes, sending: bool, ending: bool, datagram: bytes,
            acknowledged: int = segments.NO_NUMBER):
        self.acknowledged = acknowledged
        self.flow = flow
        self.sending = sending
        self.ending = ending
        self.datagram = datagram


class Find(record.Record):
    r"""Packet of a flow whose holder the balancer does not know.

    Only an agent that holds the flow, or that can't know because it started
    after the flow may have been opened, passes the packet to its target.
    """

    __slots__ = ('carry',)

    def __init__(self, carry: Carry):
        self.carry = carry


class Held(record.Record):
    r"""The sending agent holds a flow."""

    __slots__ = ('flow', 'load')

    def __init__(self, flow: bytes, load: Load):
        self.flow = flow
        self.load = load


class NotTaken(record.Record):
    r"""The sending agent does not take an opening packet."""

    __slots__ = ('flow', 'reason', 'load')

    def __init__(self, flow: bytes, reason: str, load: Load):
        self.flow = flow
        self.reason = reason
        self.load = load


class Stray(record.Record):
    r"""The target of the sending agent does not hold a flow."""

    __slots__ = ('flow', 'sending', 'ending', 'datagram', 'acknowledged')

    def __init__(
            self, flow: bytes, sending: bool, ending: bool, datagram: bytes,
            acknowledged: int = segments.NO_NUMBER):
        self.acknowledged = acknowledged
        self.flow = flow
        self.sending = sending
        self.ending = ending
        self.datagram = datagram


TO_AGENT = (Offer, Carry, Find)
TO_BALANCER = (Held, NotTaken, Stray)


class FromCaller(record.Record):
    r"""Event: a packet of a caller arrived at this balancer."""

    __slots__ = ('segment',)

    def __init__(self, segment):
        self.segment = segment


class FromTarget(record.Record):
    r"""Event: the target beside this agent sent or returned a packet."""

    __slots__ = ('segment',)

    def __init__(self, segment):
        self.segment = segment


class FromNode(record.Record):
    r"""Event: a message of another node about a flow arrived."""

    __slots__ = ('source', 'message')

    def __init__(self, source: address.Address, message: record.Record):
        self.source = source
        self.message = message


class ToNode(record.Record):
    r"""Effect: send a message to another node as one datagram."""

    __slots__ = ('destination', 'message')

    def __init__(
            self, destination: address.Address, message: record.Record):
        self.destination = destination
        self.message = message


class ToTarget(record.Record):
    r"""Effect: hand a packet to the target beside this agent."""

    __slots__ = ('datagram',)

    def __init__(self, datagram: bytes):
        self.datagram = datagram


class ToCaller(record.Record):
    r"""Effect: send a target's packet to the caller of the flow."""

    __slots__ = ('flow', 'datagram')

    def __init__(self, flow: bytes, datagram: bytes):
        self.flow = flow
        self.datagram = datagram


class ResetFlow(record.Record):
    r"""Effect: tell the caller that its flow was not opened."""

    __slots__ = ('flow',)

    def __init__(self, flow: bytes):
        self.flow = flow
