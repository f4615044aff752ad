r"""Stand-in callers of opaque flows: a flow for each request.

Explanation
===========

A caller sends its opening packet to a balancer that the fabric picks, copies
it after 200 and 600 ms, and gives the attempt up after 1.4 s without an
answer or when it is reset. It sends its request when the flow is open, and
again until it is answered or its time limit is over; any packet may reach
another balancer. It tries again, on a new flow, only if the last flow never
opened or the request may be repeated.
"""

import time

import gevent
from gevent import socket

from poplarstep.core import address
from poplarstep.core import record
from poplarstep.edge import plain_format
from poplarstep.opaque_flows import segment as segments

COPIES_S = (0.0, 0.2, 0.6)
OPENING_S = 1.4
RESEND_S = 0.2
MAXIMUM_DATAGRAM_BYTES = 2048
ATTEMPTS = 3
RETRY_PAUSE_S = 0.1

OPENED = 'opened'
ANSWERED = 'answered'
REFUSED = 'refused'
UNOPENED = 'unopened'
UNANSWERED = 'unanswered'
CUT = 'cut'
MIXED = 'mixed'


class Attempt(record.Record):
    r"""What became of one flow.

    ``opened_at`` and ``ended_at`` are times in seconds; ``opened_at`` is
    None when the flow did not open.
    """

    __slots__ = (
        'identity', 'service', 'outcome', 'began_at', 'opened_at',
        'ended_at')

    def __init__(
            self, identity, service, outcome, began_at, opened_at, ended_at):
        self.identity = identity
        self.service = service
        self.outcome = outcome
        self.began_at = began_at
        self.opened_at = opened_at
        self.ended_at = ended_at


class Caller:
    r"""Asks one service through the balancers of the fabric.

    Parameters
    ==========

    ip : str
        Loopback address of the callers.
    ports : iterator of int
        Gives each flow a port that no flow had of late; a late packet of a
        former flow with the same ends would be taken for one of its own.
    place : Address
        Where the route of the service is.
    pick : callable
        Returns the front address of the balancer for the next packet.
    """

    __slots__ = ('ip', 'ports', 'service', 'place', 'pick')

    def __init__(self, ip, ports, service, place, pick):
        self.ip = ip
        self.ports = ports
        self.service = service
        self.place = place
        self.pick = pick

    def request(self, identity, idempotent, limit_s):
        r"""Run a request to its end; return the list of its attempts."""
        attempts = []
        deadline = time.monotonic() + limit_s
        for _ in range(ATTEMPTS):
            attempts.append(self.attempt(identity, deadline))
            last = attempts[-1]
            again = last.outcome in (REFUSED, UNOPENED) or (
                idempotent and last.outcome in (UNANSWERED, CUT))
            if not again or time.monotonic() + RETRY_PAUSE_S > deadline:
                break
            gevent.sleep(RETRY_PAUSE_S)
        return attempts

    def attempt(self, identity, deadline):
        r"""Try a request on one flow; return its ``Attempt``."""
        began_at = time.monotonic()
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with opened:
            opened.bind((self.ip, next(self.ports)))
            flow = segments.flow_key(
                address.Address(*opened.getsockname()), self.place)
            outcome, number = self._open(opened, flow, began_at, deadline)
            opened_at = None
            if outcome == OPENED:
                opened_at = time.monotonic()
                outcome = self._ask(opened, flow, number, identity, deadline)
            return Attempt(
                identity, self.service, outcome, began_at, opened_at,
                time.monotonic())

    def _open(self, opened, flow, began_at, deadline):
        r"""Open a flow; return the outcome and the target's number."""
        for copy, delay_s in enumerate(COPIES_S):
            self._send(opened, flow, plain_format.OPENING | (
                plain_format.REPEATED if copy else 0))
            until = began_at + (
                COPIES_S[copy + 1] if copy + 1 < len(COPIES_S)
                else OPENING_S)
            while True:
                segment = self._receive(opened, min(until, deadline))
                if segment is None:
                    break
                if segment.reset:
                    return REFUSED, None
                if segment.opening:
                    return OPENED, segment.sequence
            if time.monotonic() >= deadline:
                break
        return UNOPENED, None

    def _ask(self, opened, flow, number, identity, deadline):
        request = b'%s %s' % (identity.encode(), self.service.encode())
        resend_s = RESEND_S
        while time.monotonic() < deadline:
            self._send(opened, flow, plain_format.ACKNOWLEDGING, request,
                       number)
            segment = self._receive(
                opened, min(deadline, time.monotonic() + resend_s))
            resend_s *= 2
            if segment is None or segment.opening:
                continue
            if segment.reset:
                return CUT
            answer = segment.datagram[plain_format.HEADER_BYTES:]
            self._send(
                opened, flow, plain_format.CLOSING
                | plain_format.ACKNOWLEDGING, b'', number)
            whole = b'%s answered by %s' % (request, self.service.encode())
            return ANSWERED if answer == whole else MIXED
        return UNANSWERED

    def _send(self, opened, flow, flags, data=b'', number=0):
        front = self.pick()
        try:
            opened.sendto(
                plain_format.encode(flow, flags, data, 0, number),
                (front.ip, front.port))
        except ConnectionError:
            # The balancer of an earlier packet is down; the copy goes on.
            return

    def _receive(self, opened, until):
        r"""Return the next segment, or None when none came in time."""
        left_s = until - time.monotonic()
        if left_s <= 0:
            return None
        opened.settimeout(left_s)
        try:
            data, _ = opened.recvfrom(MAXIMUM_DATAGRAM_BYTES)
        except (TimeoutError, ConnectionError):
            return None
        return plain_format.decode(data)
