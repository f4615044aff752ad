r"""Packets between callers, balancers and agents.

Explanation
===========

A caller sends ``Open``, ``Request``, ``Cancel`` and ``Close`` and receives
``Opened``, ``Answer`` and ``Refused``. A balancer sends ``Forwarded`` to an
agent, which replies to an ``Open`` with ``OpenOutcome``. The fabric is the
network between callers and balancers. Its datagrams have a PROXY protocol
header, which the input and output code of balancers and agents converts:
``Ingress`` is a packet from the fabric and ``Egress`` a packet to it.
"""

from poplarstep.core import address
from poplarstep.core import record
from poplarstep.flow import token

MAXIMUM_PAYLOAD_BYTES = 1200
MAXIMUM_PARTS = 64
# Size of the window of unacknowledged request numbers of a flow.
REQUEST_WINDOW = 64


class CallerPacket(record.Record):
    r"""Packet from or to a caller.

    ``_wire`` keeps the encoded form in which the packet arrived, so that a
    balancer can forward it without encoding it again.
    """

    __slots__ = ('_wire',)


class Open(CallerPacket):
    r"""Open a flow; runs nothing at the target.

    ``flow_key`` is a random 64-bit number that the caller chooses. Packets
    to the caller repeat it, so that the caller can match them to the flow.
    """

    __slots__ = ('flow_key',)

    def __init__(self, flow_key: int):
        self.flow_key = flow_key


class Request(CallerPacket):
    r"""One request on a flow; ``(token, number)`` is its identity.

    Parameters
    ==========

    number : int
        Number of the request on its flow, from 1.
    idempotent : bool
        Whether the request may run more than once.
    deadline_ms : int
        Milliseconds left until the caller gives up.
    acknowledged : int
        The caller has the results of all requests with smaller numbers.
    """

    __slots__ = (
        'flow_key', 'token', 'number', 'idempotent', 'deadline_ms',
        'acknowledged', 'payload')

    def __init__(
            self, flow_key: int, token: token.Token, number: int,
            idempotent: bool, deadline_ms: int, acknowledged: int,
            payload: bytes):
        self.flow_key = flow_key
        self.token = token
        self.number = number
        self.idempotent = idempotent
        self.deadline_ms = deadline_ms
        self.acknowledged = acknowledged
        self.payload = payload


def after_wait(request, arrived_at, now):
    r"""Return the request with its waiting time deducted from the deadline.

    Examples
    ========

    >>> request = Request(1, None, 1, False, 500, 1, b'')
    >>> after_wait(request, arrived_at=1000, now=1300).deadline_ms
    200

    """
    if now <= arrived_at:
        return request
    return request.replace(
        deadline_ms=request.deadline_ms - (now - arrived_at))


class Cancel(CallerPacket):
    r"""Cancel a request."""

    __slots__ = ('flow_key', 'token', 'number')

    def __init__(self, flow_key: int, token: token.Token, number: int):
        self.flow_key = flow_key
        self.token = token
        self.number = number


class Close(CallerPacket):
    r"""End a flow."""

    __slots__ = ('flow_key', 'token')

    def __init__(self, flow_key: int, token: token.Token):
        self.flow_key = flow_key
        self.token = token


class Opened(CallerPacket):
    r"""The flow is open; its later packets must carry the token."""

    __slots__ = ('flow_key', 'token')

    def __init__(self, flow_key: int, token: token.Token):
        self.flow_key = flow_key
        self.token = token


class Answer(CallerPacket):
    r"""One part of the answer to a request.

    ``part`` is an index below ``parts``; the caller joins the payloads.
    """

    __slots__ = ('flow_key', 'number', 'part', 'parts', 'payload')

    def __init__(
            self, flow_key: int, number: int, part: int, parts: int,
            payload: bytes):
        self.flow_key = flow_key
        self.number = number
        self.part = part
        self.parts = parts
        self.payload = payload


class Refused(CallerPacket):
    r"""Refusal of a request or, with ``number`` 0, of an ``Open``.

    Parameters
    ==========

    verdict : int
        Value of ``Verdict``: whether the request may have run.
    reason : str
        Identifier of the reason, for example ``data-centre-out``.
    retry_after_ms : int
        Least time that the caller should wait before a retry.
    """

    __slots__ = ('flow_key', 'number', 'verdict', 'reason', 'retry_after_ms')

    def __init__(
            self, flow_key: int, number: int, verdict: int, reason: str,
            retry_after_ms: int):
        self.flow_key = flow_key
        self.number = number
        self.verdict = verdict
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class ReturnPath(record.Record):
    r"""Addresses for the reply to a packet.

    The reply is sent to ``fabric``, which delivers it to ``caller`` with
    ``service`` as its source address.
    """

    __slots__ = ('fabric', 'caller', 'service')

    def __init__(
            self, fabric: address.Address, caller: address.Address,
            service: address.Address):
        self.fabric = fabric
        self.caller = caller
        self.service = service


class Ingress(record.Record):
    r"""A caller's packet as the fabric delivered it to a balancer.

    ``arrived_at`` is the time in ms at which the packet was read from the
    socket, before it waited in the inbox of the balancer's task.
    """

    __slots__ = ('path', 'packet', 'arrived_at')

    def __init__(
            self, path: ReturnPath, packet: record.Record, arrived_at: int):
        self.path = path
        self.packet = packet
        self.arrived_at = arrived_at


class Egress(record.Record):
    r"""A packet to be sent to a caller through the fabric."""

    __slots__ = ('path', 'packet')

    def __init__(self, path: ReturnPath, packet: record.Record):
        self.path = path
        self.packet = packet


class Forwarded(record.Record):
    r"""A caller's packet that a balancer forwards to an agent.

    Parameters
    ==========

    attempt : int
        Number of the balancer's attempt to open the flow; 0 for packets
        other than ``Open``.
    service : int
        Number of the service to which the caller sent the packet.
    target : int
        Number of the target that the balancer selected.
    version : int
        Configuration version of the balancer.
    waited_ms : int
        Time that the packet waited in the balancer. The agent deducts it
        from the deadline. The balancer does not change the packet itself,
        because encoding it again costs more than all other work on it.
    """

    __slots__ = (
        'path', 'attempt', 'service', 'target', 'version', 'packet',
        'waited_ms')

    def __init__(
            self, path: ReturnPath, attempt: int, service: int, target: int,
            version: int, packet: Open | Request | Cancel | Close,
            waited_ms: int = 0):
        self.path = path
        self.attempt = attempt
        self.service = service
        self.target = target
        self.version = version
        self.packet = packet
        self.waited_ms = waited_ms


class Load(record.Record):
    r"""Load of a target as reported by its agent.

    Parameters
    ==========

    limit : int
        Maximum number of requests in flight now.
    in_flight, queued, flows : int
        Numbers of running requests, queued requests and open flows.
    latency_ms : float
        Median latency of recent requests at the target.
    """

    __slots__ = ('limit', 'in_flight', 'queued', 'flows', 'latency_ms')

    def __init__(
            self, limit: int, in_flight: int, queued: int, flows: int,
            latency_ms: float):
        self.limit = limit
        self.in_flight = in_flight
        self.queued = queued
        self.flows = flows
        self.latency_ms = latency_ms


class OpenOutcome(record.Record):
    r"""An agent's reply to a forwarded ``Open``."""

    __slots__ = ('attempt', 'target', 'load', 'packet')

    def __init__(
            self, attempt: int, target: int, load: Load,
            packet: Opened | Refused):
        self.attempt = attempt
        self.target = target
        self.load = load
        self.packet = packet


FROM_CALLER = frozenset([Open, Request, Cancel, Close])
