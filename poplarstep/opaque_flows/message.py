r"""Messages between balancers and agents about opaque flows.

Explanation
===========

A balancer offers the opening packet of a flow to one agent after the other
until one accepts it. That agent then holds the flow: later packets are sent
to it. A balancer that does not know which agent holds a flow asks the agents
of its candidates, see ``poplarstep.opaque_flows.lookups``. Any message may
be lost or duplicated; callers retransmit their packets.
"""

from poplarstep.core import address
from poplarstep.core import record
from poplarstep.opaque_flows import segment as segments

# Reasons for which an agent rejects an opening packet.
BUSY = 'busy'
OVERLOADED = 'overloaded'
COLD = 'cold'
LEAVING = 'leaving'
ABSENT = 'target-absent'
WRONG_SERVICE = 'wrong-service'
DATA_CENTRE_OUT = 'data-centre-out'
RETURNED = 'returned-by-target'
# The target got the opening packet and has been silent since; it may hold the
# flow.
MAY_HAVE_STARTED = 'may-have-started'
# The other agent of a tied flow has started it.
WITHDRAWN = 'withdrawn'


class Load(record.Record):
    r"""Load of an agent's target.

    Parameters
    ==========

    backlog : int
        Flows whose request is running, waits at the agent or the target, or
        has not arrived yet.
    slots : int
        Requests that the target runs concurrently.
    service_us : int
        Mean service time of a request, in microseconds; 0 when unknown.
    utilization_permille : int
        Part of the slots that were busy lately; 0 when not measured.
    open_flows : int
        Flows that the target holds, busy or not; 0 when not measured.
    unanswered_permille : int
        Part of the latest requests that the target did not answer; 0 when
        not measured.
    """

    __slots__ = (
        'backlog', 'slots', 'service_us', 'utilization_permille',
        'open_flows', 'unanswered_permille')

    def __init__(
            self, backlog: int, slots: int, service_us: int,
            utilization_permille: int = 0, open_flows: int = 0,
            unanswered_permille: int = 0):
        self.backlog = backlog
        self.slots = slots
        self.service_us = service_us
        self.utilization_permille = utilization_permille
        self.open_flows = open_flows
        self.unanswered_permille = unanswered_permille


class Offer(record.Record):
    r"""Opening packet of a flow, offered to the target of one agent.

    Parameters
    ==========

    service : int
        Number of the service that the route names.
    priority : int
        0 is the highest.
    wait_limit_ms : int
        How long the flow may wait at the agent; after a longer wait the
        answer to its request would be late.
    may_queue : bool
        Whether the agent may queue the flow when all slots of the target
        are taken; otherwise it rejects the flow as ``BUSY``.
    tied_agent : Address or None
        The other agent of a flow that two agents may queue at once.
    """

    __slots__ = (
        'flow', 'service', 'priority', 'wait_limit_ms', 'may_queue',
        'datagram', 'tied_agent')

    def __init__(
            self, flow: bytes, service: int, priority: int,
            wait_limit_ms: int, may_queue: bool, datagram: bytes,
            tied_agent: address.Address | None = None):
        self.tied_agent = tied_agent
        self.flow = flow
        self.service = service
        self.priority = priority
        self.wait_limit_ms = wait_limit_ms
        self.may_queue = may_queue
        self.datagram = datagram


class FlowPacket(record.Record):
    r"""Later packet of a flow, sent to the agent that holds the flow.

    ``has_data`` tells whether it carries data, ``ending`` whether the caller
    closes or resets the flow; ``acknowledged`` and ``sequence`` are as in
    ``Segment``.
    """

    __slots__ = (
        'flow', 'has_data', 'ending', 'datagram', 'acknowledged', 'sequence')
    WIRE_NAME = 'Carry'

    def __init__(
            self, flow: bytes, has_data: bool, ending: bool, datagram: bytes,
            acknowledged: int = segments.NO_SEQUENCE_NUMBER,
            sequence: int = segments.NO_SEQUENCE_NUMBER):
        self.acknowledged = acknowledged
        self.sequence = sequence
        self.flow = flow
        self.has_data = has_data
        self.ending = ending
        self.datagram = datagram


class FlowLookup(record.Record):
    r"""Packet of a flow whose agent the balancer does not know.

    An agent passes the packet to its target if it holds the flow, or if it
    can't know because it may have started after the flow was opened.
    """

    __slots__ = ('packet',)
    WIRE_NAME = 'Find'

    def __init__(self, packet: FlowPacket):
        self.packet = packet


class FlowQuery(record.Record):
    r"""Question whether an agent holds a flow; carries no packet.

    The balancer keeps the packets of the flow until an agent answers. One
    that does not hold the flow answers with a ``SurveyReply`` if it resets
    dead flows, and keeps silent otherwise.
    """

    __slots__ = ('flow', 'acknowledged')

    def __init__(
            self, flow: bytes,
            acknowledged: int = segments.NO_SEQUENCE_NUMBER):
        self.flow = flow
        self.acknowledged = acknowledged


class FlowUncertain(record.Record):
    r"""Answer: the target may hold the flow, but the agent can't know."""

    __slots__ = ('flow',)

    def __init__(self, flow: bytes):
        self.flow = flow


class FlowAccepted(record.Record):
    r"""Answer: the sending agent holds the flow, or has queued it."""

    __slots__ = ('flow', 'load')
    WIRE_NAME = 'Held'

    def __init__(self, flow: bytes, load: Load):
        self.flow = flow
        self.load = load


class FlowRejected(record.Record):
    r"""Answer: the sending agent rejects an opening packet."""

    __slots__ = ('flow', 'reason', 'load')
    WIRE_NAME = 'NotTaken'

    def __init__(self, flow: bytes, reason: str, load: Load):
        self.flow = flow
        self.reason = reason
        self.load = load


class ReturnedPacket(record.Record):
    r"""Answer: a packet of a flow that the agent's target does not hold.

    The fields are those of ``FlowPacket``.
    """

    __slots__ = (
        'flow', 'has_data', 'ending', 'datagram', 'acknowledged', 'sequence')
    WIRE_NAME = 'Stray'

    def __init__(
            self, flow: bytes, has_data: bool, ending: bool, datagram: bytes,
            acknowledged: int = segments.NO_SEQUENCE_NUMBER,
            sequence: int = segments.NO_SEQUENCE_NUMBER):
        self.acknowledged = acknowledged
        self.sequence = sequence
        self.flow = flow
        self.has_data = has_data
        self.ending = ending
        self.datagram = datagram


class SurveyedFlow(record.Record):
    r"""A flow in a survey; ``acknowledged`` is as in ``Segment``."""

    __slots__ = ('flow', 'acknowledged')

    def __init__(
            self, flow: bytes,
            acknowledged: int = segments.NO_SEQUENCE_NUMBER):
        self.flow = flow
        self.acknowledged = acknowledged


class FlowSurvey(record.Record):
    r"""Question which of several flows an agent's target holds.

    ``number`` identifies the survey at its balancer.
    """

    __slots__ = ('number', 'flows')

    def __init__(self, number: int, flows: tuple[SurveyedFlow, ...]):
        self.number = number
        self.flows = flows


class SurveyReply(record.Record):
    r"""Answer to a survey, or to a ``FlowQuery`` with the number 0.

    Parameters
    ==========

    held : tuple of bytes
        Flows of the survey that the target holds.
    uncertain : tuple of bytes
        Flows that the target may hold, but the agent can't know.
    denied : tuple of bytes
        Flows that the target does not hold.
    """

    __slots__ = ('number', 'held', 'uncertain', 'denied')

    def __init__(
            self, number: int, held: tuple[bytes, ...],
            uncertain: tuple[bytes, ...], denied: tuple[bytes, ...]):
        self.number = number
        self.held = held
        self.uncertain = uncertain
        self.denied = denied


class KnownFlow(record.Record):
    r"""A flow that an agent accepted in an earlier run.

    ``idle_ms`` is the time since its last packet at the balancer.
    """

    __slots__ = ('flow', 'idle_ms')

    def __init__(self, flow: bytes, idle_ms: int):
        self.flow = flow
        self.idle_ms = idle_ms


class KnownFlows(record.Record):
    r"""Notice to a restarted agent: flows that its target should hold."""

    __slots__ = ('flows',)

    def __init__(self, flows: tuple[KnownFlow, ...]):
        self.flows = flows


class LoadReport(record.Record):
    r"""Load of an agent's target, sent without an offer."""

    __slots__ = ('load',)

    def __init__(self, load: Load):
        self.load = load


class FlowStarted(record.Record):
    r"""Notice: the sending agent has started a tied flow."""

    __slots__ = ('flow', 'load')

    def __init__(self, flow: bytes, load: Load):
        self.flow = flow
        self.load = load


class OfferWithdrawn(record.Record):
    r"""Notice to an agent: the tied agent has started the flow.

    ``is_open`` tells that the caller uses the answer of that agent's target.
    """

    __slots__ = ('flow', 'is_open')

    def __init__(self, flow: bytes, is_open: bool = False):
        self.flow = flow
        self.is_open = is_open


TO_AGENT = (
    Offer, FlowPacket, FlowLookup, FlowQuery, FlowSurvey, OfferWithdrawn,
    KnownFlows)
TO_BALANCER = (
    FlowAccepted, FlowRejected, ReturnedPacket, FlowUncertain, SurveyReply,
    LoadReport, FlowStarted)


class FromCaller(record.Record):
    r"""Event: a packet of a caller arrived at this balancer."""

    __slots__ = ('segment',)

    def __init__(self, segment):
        self.segment = segment


class FromTarget(record.Record):
    r"""Event: this agent's target sent or returned a packet.

    A target returns a packet that it does not accept.
    """

    __slots__ = ('segment',)

    def __init__(self, segment):
        self.segment = segment


class FromNode(record.Record):
    r"""Event: a message about a flow arrived from another node."""

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
    r"""Effect: send a packet to this agent's target."""

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
    r"""Effect: send a reset to the caller, whose flow is open nowhere.

    ``acknowledged`` is the number that the caller acknowledged last, if the
    flow was open: callers ignore resets with another sequence number.
    """

    __slots__ = ('flow', 'acknowledged')

    def __init__(
            self, flow: bytes,
            acknowledged: int = segments.NO_SEQUENCE_NUMBER):
        self.flow = flow
        self.acknowledged = acknowledged
