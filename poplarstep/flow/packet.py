r"""Packets between callers, balancers and agents.

Explanation
===========

``Open``, ``Request``, ``Cancel`` and ``Close`` travel from the caller;
``Opened``, ``Answer`` and ``Refused`` travel back. ``Forwarded`` and
``OpenOutcome`` are exchanged by balancer and agent. ``Ingress`` is what a
balancer's edge makes of a datagram of the fabric, and ``Egress`` what goes
back to it; the fabric's own framing is the PROXY protocol.
"""

from poplarstep.core import address
from poplarstep.core import record
from poplarstep.flow import token

MAXIMUM_PAYLOAD_BYTES = 1200
MAXIMUM_PARTS = 64
# Requests of one flow that are not yet acknowledged.
REQUEST_WINDOW = 64


class CallerPacket(record.Record):
    r"""Packet from or to a caller.

    ``_wire`` keeps the encoded form in which the packet arrived, so that a
    balancer passes it on without encoding it again.
    """

    __slots__ = ('_wire',)


class Open(CallerPacket):
    r"""Open a flow; runs nothing at the target.

    ``flow_key`` is a random 64-bit number that the caller chooses; it
    matches answers to the flow.
    """

    __slots__ = ('flow_key',)

    def __init__(self, flow_key: int):
        self.flow_key = flow_key


class Request(CallerPacket):
    r"""One request on a flow; ``(token, number)`` is its identity.

    Parameters
    ==========

    number : int
        Counts the requests of a flow from 1.
    idempotent : bool
        Whether the request may run more than once.
    deadline_ms : int
        Milliseconds left until the caller gives up.
    acknowledged : int
        All requests with smaller numbers have been answered.
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
    r"""Return a request whose deadline is shorter by the time it waited.

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
    r"""The caller no longer wants an answer to a request."""

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
    r"""The flow is open; later packets carry the token."""

    __slots__ = ('flow_key', 'token')

    def __init__(self, flow_key: int, token: token.Token):
        self.flow_key = flow_key
        self.token = token


class Answer(CallerPacket):
    r"""One part of the answer to a request.

    ``part`` counts from 0 to ``parts - 1``; the caller joins the payloads.
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
    r"""A packet was refused; ``number`` is 0 for an ``Open``.

    Parameters
    ==========

    verdict : int
        Value of ``Verdict``: whether the request may have run.
    reason : str
        Key of the reason, for example ``data-centre-out``.
    retry_after_ms : int
        The caller should wait this long before it tries again.
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
    r"""Where the answer to a packet goes.

    The agent sends it to ``fabric``, which delivers it to ``caller`` from
    the address ``service``.
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

    ``arrived_at`` is the time in ms at which it was read, before it waited
    in an inbox.
    """

    __slots__ = ('path', 'packet', 'arrived_at')

    def __init__(
            self, path: ReturnPath, packet: record.Record, arrived_at: int):
        self.path = path
        self.packet = packet
        self.arrived_at = arrived_at


class Egress(record.Record):
    r"""A packet to a caller, sent by way of the fabric."""

    __slots__ = ('path', 'packet')

    def __init__(self, path: ReturnPath, packet: record.Record):
        self.path = path
        self.packet = packet


class Forwarded(record.Record):
    r"""A caller's packet on its way from a balancer to an agent.

    Parameters
    ==========

    attempt : int
        Identifies the balancer's pending open; 0 for other packets.
    service : int
        Number of the service that the packet was addressed to.
    target : int
        Number of the target that the balancer selected.
    version : int
        Configuration version of the balancer.
    waited_ms : int
        Time that the packet waited in the balancer; it counts against the
        deadline. The packet itself travels unchanged, because encoding it
        again costs more than all other work on it.
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
    r"""Load of a target as its agent sees it.

    Parameters
    ==========

    limit : int
        Requests in flight that the agent allows now.
    in_flight, queued, flows : int
        Requests running, requests waiting, flows open.
    latency_ms : float
        Recent median time of a request at the target.
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
    r"""An agent's answer to a forwarded ``Open``."""

    __slots__ = ('attempt', 'target', 'load', 'packet')

    def __init__(
            self, attempt: int, target: int, load: Load,
            packet: Opened | Refused):
        self.attempt = attempt
        self.target = target
        self.load = load
        self.packet = packet


FROM_CALLER = frozenset([Open, Request, Cancel, Close])
