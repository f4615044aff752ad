r"""Callers of opaque flows for tests, with one or many requests a flow.

Explanation
===========

A caller sends an opening packet and retransmits it after 200 and 600 ms. An
attempt fails if the flow is reset or has not opened after 1.4 s. When the
flow is open, the caller sends its request and retransmits it, with an
exponential backoff, until it is answered or its deadline passes. The balancer
is picked for each packet, so the packets of a flow may pass through several
balancers. A failed attempt is retried on a new flow only if the flow did not
open or the request is idempotent. A session is a flow that stays open for
many requests with pauses; its attempts are not retried.
"""

import time

import gevent
from gevent import socket

from poplarstep.core import address
from poplarstep.core import record
from poplarstep.edge import plain_format
from poplarstep.opaque_flows import segment as segments
from standins import flow_target

# Times of the opening packets, from the start of the attempt.
OPENING_SEND_TIMES_S = (0.0, 0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
INITIAL_RETRANSMIT_S = 0.2
MAXIMUM_DATAGRAM_BYTES = 2048
MAXIMUM_ATTEMPTS = 3
RETRY_DELAY_S = 0.1

# Outcomes of an attempt.
ANSWERED = 'answered'
REFUSED = 'refused'  # The opening packet was answered by a reset.
UNOPENED = 'unopened'  # The opening packets were not answered.
UNANSWERED = 'unanswered'  # The request was not answered.
RESET = 'reset'  # The open flow was reset.
MISMATCHED = 'mismatched'  # The answer belongs to another request.
# Result of the opening of a flow; never the outcome of an attempt.
OPENED = 'opened'


class Attempt(record.Record):
    r"""Outcome of one attempt at a request, on a flow of its own.

    Times are monotonic clock times in seconds; ``opened_at`` is None if the
    flow did not open. The requests of a session share its flow, and
    ``began_at``, which is when the flow began.
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
    r"""Sends requests to one service through the balancers.

    Parameters
    ==========

    ip : str
        Loopback address of the callers.
    ports : iterator of int
        Gives the source port of each flow. A port must not be reused soon:
        a late packet of an earlier flow between the same addresses would be
        taken for one of the new flow.
    service : str
        Name of the service.
    service_address : Address
        Address of the service's route.
    pick_balancer : callable
        Returns the front address of the balancer for the next packet.
    """

    __slots__ = ('ip', 'ports', 'service', 'service_address', 'pick_balancer')

    def __init__(self, ip, ports, service, service_address, pick_balancer):
        self.ip = ip
        self.ports = ports
        self.service = service
        self.service_address = service_address
        self.pick_balancer = pick_balancer

    def request(self, identity, idempotent, timeout_s):
        r"""Send a request, with retries; return the list of attempts."""
        attempts = []
        deadline = time.monotonic() + timeout_s
        for _ in range(MAXIMUM_ATTEMPTS):
            attempts.append(self.attempt(identity, deadline))
            last = attempts[-1]
            retry = last.outcome in (REFUSED, UNOPENED) or (
                idempotent and last.outcome in (UNANSWERED, RESET))
            if not retry or time.monotonic() + RETRY_DELAY_S > deadline:
                break
            gevent.sleep(RETRY_DELAY_S)
        return attempts

    def attempt(self, identity, deadline):
        r"""Send a request on a new flow; return the ``Attempt``."""
        attempt, = self._run_flow([identity], b'', lambda: deadline, None)
        return attempt

    def session(self, identities, timeout_s, pause):
        r"""Send requests on one flow; return the list of attempts.

        Parameters
        ==========

        identities : iterable of str
            Identities of the requests; none is sent after a failed one.
        timeout_s : float
            Timeout of each request, from its start.
        pause : callable
            Returns the seconds from an answer to the next request.
        """
        return self._run_flow(
            identities, flow_target.KEEP_SUFFIX,
            lambda: time.monotonic() + timeout_s, pause)

    def _run_flow(self, identities, suffix, next_deadline, pause):
        r"""Send requests on a new flow; return the list of attempts."""
        attempts, requests = [], []
        began_at = time.monotonic()
        flow_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with flow_socket:
            flow_socket.bind((self.ip, next(self.ports)))
            flow = segments.flow_key(
                address.Address(*flow_socket.getsockname()),
                self.service_address)
            deadline = next_deadline()
            outcome, flow_number = self._open(
                flow_socket, flow, began_at, deadline)
            opened_at = time.monotonic() if outcome == OPENED else None
            for identity in identities:
                if attempts:
                    gevent.sleep(pause())
                    deadline = next_deadline()
                requests.append(b'%s %s%s' % (
                    identity.encode(), self.service.encode(), suffix))
                if opened_at is not None:
                    outcome = self._exchange(
                        flow_socket, flow, flow_number, requests, deadline)
                attempts.append(Attempt(
                    identity, self.service, outcome, began_at, opened_at,
                    time.monotonic()))
                if outcome != ANSWERED:
                    return attempts
            if opened_at is not None:
                self._send(flow_socket, flow, plain_format.CLOSING
                           | plain_format.ACKNOWLEDGING, b'', flow_number,
                           len(requests))
            return attempts

    def _open(self, flow_socket, flow, began_at, deadline):
        r"""Open a flow; return the outcome and the target's flow number."""
        for transmission, send_time_s in enumerate(OPENING_SEND_TIMES_S):
            self._send(flow_socket, flow, plain_format.OPENING | (
                plain_format.REPEATED if transmission else 0))
            until = began_at + (
                OPENING_SEND_TIMES_S[transmission + 1]
                if transmission + 1 < len(OPENING_SEND_TIMES_S)
                else OPENING_TIMEOUT_S)
            while True:
                segment = self._receive(flow_socket, min(until, deadline))
                if segment is None:
                    break
                if segment.reset:
                    return REFUSED, None
                if segment.opening:
                    return OPENED, segment.sequence
            if time.monotonic() >= deadline:
                break
        return UNOPENED, None

    def _exchange(self, flow_socket, flow, flow_number, requests, deadline):
        r"""Send the latest one of a flow's requests; return the outcome."""
        retransmit_s = INITIAL_RETRANSMIT_S
        *earlier, expected = [
            b'%s answered by %s' % (request, self.service.encode())
            for request in requests]
        while time.monotonic() < deadline:
            self._send(flow_socket, flow, plain_format.ACKNOWLEDGING,
                       requests[-1], flow_number, len(requests))
            resend_at = min(deadline, time.monotonic() + retransmit_s)
            retransmit_s *= 2
            segment = self._receive(flow_socket, resend_at)
            while segment is not None and not segment.reset and (
                    segment.datagram[plain_format.HEADER_BYTES:] in earlier):
                # The copy of an answer to an earlier request.
                segment = self._receive(flow_socket, resend_at)
            if segment is None or segment.opening:
                continue
            if segment.reset:
                return RESET
            answer = segment.datagram[plain_format.HEADER_BYTES:]
            return ANSWERED if answer == expected else MISMATCHED
        return UNANSWERED

    def _send(self, flow_socket, flow, flags, data=b'', flow_number=0,
              sequence=0):
        balancer = self.pick_balancer()
        try:
            flow_socket.sendto(
                plain_format.encode(flow, flags, data, sequence, flow_number),
                (balancer.ip, balancer.port))
        except ConnectionError:
            # The balancer of an earlier packet is down (ICMP port
            # unreachable); a retransmission follows.
            return

    def _receive(self, flow_socket, until):
        r"""Return the next segment, or None if none arrives in time."""
        remaining_s = until - time.monotonic()
        if remaining_s <= 0:
            return None
        flow_socket.settimeout(remaining_s)
        try:
            data, _ = flow_socket.recvfrom(MAXIMUM_DATAGRAM_BYTES)
        except (TimeoutError, ConnectionError):
            return None
        return plain_format.decode(data)
