r"""Callers and targets of the schedules of open flows.

Explanation
===========

Both ends exchange datagrams of ``edge.plain_format`` through the nodes of a
``schedule_world.World``. A caller sends requests on one flow, one after the
other with pauses, and then opens another flow. A target answers each request
and returns the packets of flows that it does not hold.
"""

from poplarstep.core import address
from poplarstep.edge import plain_format
from poplarstep.opaque_flows import segment as segments
from poplarstep.opaque_flows import target as targets

CALLERS = address.Address('100.64.0.1', 1)
ROUTE_ADDRESS = address.Address('198.18.0.1', 8443)
OPENING_TIMES_MS = (0, 200, 600)
OPENING_TIMEOUT_MS = 1400
RETRANSMIT_MS, MAXIMUM_RETRANSMIT_MS = 200, 1600
REQUEST_TIMEOUT_MS = 7500
# Flows may be dropped when they are older than 60 s.
MAXIMUM_FLOW_AGE_MS = 50_000
REQUESTS_PER_FLOW = (10, 60)
SHORT_PAUSE_MS, LONG_PAUSE_MS = (20, 1500), (2000, 14_000)
LONG_PAUSE_SHARE = 0.3
SERVICE_MS = (2, 40)
HEARTBEAT_MS = 300
SLOTS = 8


class Flow:
    r"""A flow of a caller; times in ms.

    Parameters
    ==========

    number : int or None
        Number that the target drew; None until its answer to the opening.
    left : int
        Requests after the current one.
    request : int
        Number of the current request; it is answered if ``answered`` is equal.
    sent : set of bytes
        Datagrams of the caller.
    target : Target or None
        The target that holds the flow, since the end of the handshake.
    start : int
        Start time of that target's process.
    own_at, wrong_at : list of int
        When packets reached the flow's own target, and others.
    trace : list of str
        What happened to the flow, for reports.
    """

    __slots__ = (
        'key', 'caller', 'opened_at', 'number', 'left', 'request', 'answered',
        'sent', 'target', 'start', 'own_at', 'wrong_at', 'ended', 'trace')

    def __init__(self, key, caller, opened_at, left):
        self.key = key
        self.caller = caller
        self.opened_at = opened_at
        self.number = None
        self.left = left
        self.request = 0
        self.answered = 0
        self.sent = set()
        self.target = None
        self.start = 0
        self.own_at = []
        self.wrong_at = []
        self.ended = False
        self.trace = []


class Caller:
    r"""A caller; ``order`` lists the balancers by the network's preference."""

    __slots__ = ('world', 'random', 'order')

    def __init__(self, world, order):
        self.world = world
        self.random = world.random
        self.order = order

    def open_flow(self):
        r"""Open a flow, with retransmissions."""
        world = self.world
        port = next(world.ports)
        key = segments.flow_key(
            CALLERS.replace(port=port), ROUTE_ADDRESS)
        flow = world.flow_by_key[key] = Flow(
            key, self, world.driver.now,
            self.random.randint(*REQUESTS_PER_FLOW))
        for number, delay_ms in enumerate(OPENING_TIMES_MS):
            flags = plain_format.OPENING | (
                plain_format.REPEATED if number else 0)
            world.after(delay_ms, lambda flags=flags: (
                flow.number is None and self._send(flow, flags)))
        world.after(OPENING_TIMEOUT_MS, lambda: (
            flow.number is None and self.end(flow)))

    def receive(self, flow, segment):
        r"""Process a packet of the target, or a reset."""
        if flow.ended:
            return
        if segment.reset:
            self.end(flow)
        elif segment.opening and flow.number is None:
            flow.number = segment.sequence
            self._send(flow, plain_format.ACKNOWLEDGING)
            self._start_request(flow)
        elif flow.answered < flow.request and segment.datagram[
                plain_format.HEADER_BYTES:] == b'%d' % flow.request:
            flow.answered = flow.request
            self.world.counts['answers'] += 1
            self._send(flow, plain_format.ACKNOWLEDGING)
            pause_ms = self.random.randint(*(
                LONG_PAUSE_MS if self.random.random() < LONG_PAUSE_SHARE
                else SHORT_PAUSE_MS))
            age_ms = self.world.driver.now + pause_ms - flow.opened_at
            if flow.left and age_ms < MAXIMUM_FLOW_AGE_MS:
                self.world.after(pause_ms, lambda: self._start_request(flow))
            else:
                self._send(flow, plain_format.ACKNOWLEDGING
                           | plain_format.CLOSING)
                self.end(flow)

    def end(self, flow):
        r"""Stop using a flow, and open another one a little later."""
        if not flow.ended:
            flow.ended = True
            self.world.after(500, self.open_flow)

    def _start_request(self, flow):
        flow.left -= 1
        flow.request += 1
        self.world.counts['requests'] += 1
        self._send_request(
            flow, flow.request, RETRANSMIT_MS, self.world.driver.now)

    def _send_request(self, flow, number, delay_ms, started_at):
        if flow.ended or flow.answered >= number:
            return
        if self.world.driver.now - started_at >= REQUEST_TIMEOUT_MS:
            self.world.counts['timeouts'] += 1
            self.end(flow)
            return
        self._send(flow, plain_format.ACKNOWLEDGING, b'%d' % number)
        self.world.after(delay_ms, lambda: self._send_request(
            flow, number, min(2 * delay_ms, MAXIMUM_RETRANSMIT_MS),
            started_at))

    def _send(self, flow, flags, data=b''):
        datagram = plain_format.encode(
            flow.key, flags, data, 100 * flow.request, flow.number or 0)
        flow.sent.add(datagram)
        balancer = next(
            (name for name in self.order if name in self.world.rotation),
            self.order[0])
        self.world.note(flow, 'sent request %d, flags %d, to %s' % (
            flow.request, flags, balancer))
        self.world.driver.send(
            CALLERS, self.world.front_by_name[balancer], datagram)


class Target:
    r"""A target; ``number_by_flow`` holds the numbers drawn for its flows."""

    __slots__ = (
        'world', 'number', 'service', 'address', 'agent', 'inner',
        'started_at', 'sequence', 'number_by_flow')

    def __init__(self, world, number, service, own, agent, inner):
        self.world = world
        self.number = number
        self.service = service
        self.address = own
        self.agent = agent
        self.inner = inner
        self.started_at = None
        self.sequence = 0
        self.number_by_flow = {}

    def start(self):
        r"""Start the target's process, without flows."""
        self.started_at = self.world.unix_ms()
        self.sequence = 0
        self.number_by_flow = {}
        self._beat(self.started_at)

    def stop(self):
        r"""End the target's process."""
        self.started_at = None
        self.number_by_flow = {}

    def holds(self, flow):
        r"""Return whether this process, not a later one, holds a flow."""
        return self.started_at is not None and (
            flow.start == self.started_at and flow.key in self.number_by_flow)

    def _beat(self, started_at):
        if self.started_at != started_at:
            return
        self.sequence += 1
        self.world.driver.post(self.agent, targets.Heartbeat(
            0, 'i-%d' % self.number, self.service, started_at, self.sequence,
            SLOTS, False, 0))
        self.world.after(HEARTBEAT_MS, lambda: self._beat(started_at))

    def receive(self, segment):
        r"""Process a caller's packet."""
        if self.started_at is None:
            return
        flow = self.world.flow_by_key[segment.flow]
        self.world.check_packet(flow, segment)
        if segment.opening:
            self.number_by_flow.setdefault(
                segment.flow, self.world.random.getrandbits(32))
            self._send(segment.flow, plain_format.OPENING)
            return
        known = self.number_by_flow.get(segment.flow) == segment.acknowledged
        if known and flow.target is None:
            flow.target, flow.start = self, self.started_at
        self.world.check_arrival(flow, self)
        if not known:
            self._return(segment)
        elif segment.closing:
            self._send(segment.flow, plain_format.CLOSING)
            del self.number_by_flow[segment.flow]
        elif segment.data_bytes:
            data = segment.datagram[plain_format.HEADER_BYTES:]
            self.world.after(
                self.world.random.randint(*SERVICE_MS),
                lambda: self._send(segment.flow, 0, data))

    def _return(self, segment):
        key, flags, *numbers = plain_format.HEADER.unpack_from(
            segment.datagram)
        self._send_datagram(plain_format.encode(
            key, flags | plain_format.RETURNED,
            segment.datagram[plain_format.HEADER_BYTES:], *numbers))

    def _send(self, key, flags, data=b''):
        if key in self.number_by_flow:
            self._send_datagram(plain_format.encode(
                key, flags, data, self.number_by_flow[key]))

    def _send_datagram(self, datagram):
        self.world.driver.send(self.address, self.inner, datagram)
