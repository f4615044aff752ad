r"""Target of opaque flows for tests; each target is a process on loopback.

Explanation
===========

A target exchanges packets of ``poplarstep.edge.plain_format`` with the agent
on its host and posts heartbeats to it. A flow carries requests, one after the
other, with the payload ``ID SERVICE``, and their answers. The target closes
the flow with the answer unless the payload ends with the word ``keep``. It
runs as many requests concurrently as it has slots and queues up to
``QUEUE_LENGTH`` more; an opening packet beyond this limit is returned to the
agent. It accepts TCP connections, which show its agent that it runs. The
events that the checks of a test need are appended to a journal, one line
each, before they take effect: ``start``, ``open``, ``run``, ``leave``,
``packet`` for a caller's later packet of an own flow and ``return`` for one of
another flow, with the time of the monotonic clock, which all processes of a
host share.
"""

import collections
from http import client as standard_http
import json
import os
import random
import signal
import time

import click
import gevent
from gevent import lock
from gevent import server
from gevent import socket
from geventhttpclient import client as http_client

from poplarstep.core import address
from poplarstep.edge import plain_format

HEARTBEAT_PERIOD_S = 0.3
HTTP_TIMEOUT_S = 1
MAXIMUM_DATAGRAM_BYTES = 2048
QUEUE_LENGTH = 8
# How long a target serves after its leaving heartbeat was acknowledged.
LEAVE_GRACE_S = 2.5
# A target whose leaving heartbeat is not acknowledged ends after this time.
LEAVE_TIMEOUT_S = 6
# A caller that uses another target's answer, or has given up, sends no
# request; its flow takes no place in the queue after this time.
REQUEST_TIMEOUT_S = 1.4
# Beyond this number the target forgets its oldest flow.
MAXIMUM_FLOWS = 5000
# End of a request after which the flow stays open.
KEEP_SUFFIX = b' keep'


class Target:
    r"""Flows and requests of a target; times in seconds.

    ``answer_by_flow`` holds None until the request of a flow arrives, ``b''``
    while the request runs, then the answer. ``requests_by_flow`` holds the
    requests of each flow, the latest last. ``number_by_flow`` holds the
    random number that the target has drawn for each flow. The caller
    acknowledges it in every later packet, so that a target can tell its own
    flows from those that another target opened. ``opened_at_by_flow`` holds
    when a flow without a request was opened.
    """

    __slots__ = (
        'name', 'service', 'work_s', 'slots', 'cold_s', 'started_at',
        'socket', 'outbound', 'journal', 'slot_lock', 'answer_by_flow',
        'number_by_flow', 'random', 'sequence', 'leaving',
        'opened_at_by_flow', 'requests_by_flow')

    def __init__(self, name, service, work_s, slots, cold_s, journal):
        self.name = name
        self.service = service
        self.work_s = work_s
        self.slots = slots
        self.cold_s = cold_s
        self.journal = journal
        self.started_at = time.time()
        self.slot_lock = lock.BoundedSemaphore(slots)
        self.answer_by_flow = collections.OrderedDict()
        self.number_by_flow = {}
        self.requests_by_flow = {}
        self.opened_at_by_flow = {}
        self.random = random.SystemRandom()
        self.sequence = 0
        self.leaving = False

    def write_journal(self, *words):
        r"""Append a line to the journal without buffering.

    The journal of a killed process is therefore complete.
    """
        os.write(self.journal, ('%.3f %s\n' % (
            time.monotonic(), ' '.join(words))).encode())

    def open_sockets(self, bound, outbound):
        r"""Bind the target's address; send packets to ``outbound``."""
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((bound.ip, bound.port))
        self.outbound = (outbound.ip, outbound.port)
        server.StreamServer(
            (bound.ip, bound.port), lambda opened, source: opened.close()
        ).start()

    def serve(self):
        r"""Handle datagrams until the process ends."""
        while True:
            try:
                data, _ = self.socket.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            except ConnectionError:
                # The agent is down; callers retransmit.
                continue
            segment = plain_format.decode(data)
            if segment.opening:
                self.open(segment)
            elif self.number_by_flow.get(
                    segment.flow) != segment.acknowledged:
                # The flow is unknown here, or another target also opened it
                # and the caller acknowledges that target's number.
                self.write_journal('return', segment.flow.hex())
                self.return_packet(segment)
            else:
                self.write_journal('packet', segment.flow.hex())
                if segment.data_bytes:
                    gevent.spawn(self.run, segment.flow,
                                 data[plain_format.HEADER_BYTES:])

    def open(self, segment):
        r"""Accept a flow, or return its packet if the queue is full."""
        if segment.flow not in self.answer_by_flow:
            if self.count_unanswered() >= self.slots + QUEUE_LENGTH:
                self.return_packet(segment)
                return
            self.write_journal('open', segment.flow.hex())
            self.answer_by_flow[segment.flow] = None
            self.opened_at_by_flow[segment.flow] = time.monotonic()
            self.number_by_flow[segment.flow] = self.random.getrandbits(32)
            self.requests_by_flow[segment.flow] = []
            if len(self.answer_by_flow) > MAXIMUM_FLOWS:
                oldest, _ = self.answer_by_flow.popitem(last=False)
                del self.number_by_flow[oldest]
                del self.requests_by_flow[oldest]
        self.send(segment.flow, plain_format.OPENING)

    def count_unanswered(self):
        r"""Return how many flows wait for an answer or will send a request."""
        expired_before = time.monotonic() - REQUEST_TIMEOUT_S
        for flow, opened_at in list(self.opened_at_by_flow.items()):
            if opened_at < expired_before:
                del self.opened_at_by_flow[flow]
        running = sum(
            answer == b'' for answer in self.answer_by_flow.values())
        return running + len(self.opened_at_by_flow)

    def run(self, flow, request):
        r"""Run the request of a flow, or resend its answer."""
        requests = self.requests_by_flow[flow]
        if request in requests[:-1]:
            # A late copy; the caller has the answer.
            return
        answer = self.answer_by_flow.get(flow)
        if request not in requests:
            requests.append(request)
            self.answer_by_flow[flow] = answer = b''
            self.opened_at_by_flow.pop(flow, None)
            with self.slot_lock:
                self.write_journal('run', request.decode(), self.service)
                gevent.sleep(self.work_s)
            answer = b'%s answered by %s' % (request, self.service.encode())
            self.answer_by_flow[flow] = answer
        if answer:
            keeps_open = request.endswith(KEEP_SUFFIX)
            self.send(flow, 0 if keeps_open else plain_format.CLOSING, answer)

    def send(self, flow, flags, data=b''):
        r"""Send a packet of an open flow."""
        self.send_datagram(plain_format.encode(
            flow, flags, data, self.number_by_flow[flow]))

    def return_packet(self, segment):
        r"""Send a packet back to the agent, marked as returned."""
        header = plain_format.HEADER.unpack_from(segment.datagram)
        flow, flags, *numbers = header
        self.send_datagram(plain_format.encode(
            flow, flags | plain_format.RETURNED,
            segment.datagram[plain_format.HEADER_BYTES:], *numbers))

    def send_datagram(self, datagram):
        r"""Send a datagram through the agent."""
        try:
            self.socket.sendto(datagram, self.outbound)
        except ConnectionError:
            # The agent is down; the caller retransmits.
            return

    def cold_ms(self):
        r"""Return the remaining time of the cold start in ms."""
        remaining_s = self.started_at + self.cold_s - time.time()
        return max(0, int(remaining_s * 1000))

    def heartbeat(self, agent):
        r"""Post one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        return post(agent, '/heartbeat', {
            'target': self.name, 'service': self.service,
            'started_at': int(self.started_at * 1000),
            'sequence': self.sequence, 'slots': self.slots,
            'leaving': self.leaving, 'cold_ms': self.cold_ms()})

    def leave(self, agent):
        r"""Announce that the target leaves, serve open flows, deregister."""
        self.leaving = True
        deadline = time.monotonic() + LEAVE_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.heartbeat(agent):
                self.write_journal('leave')
                gevent.sleep(LEAVE_GRACE_S)
                break
            gevent.sleep(HEARTBEAT_PERIOD_S)
        post(agent, '/departure', {'target': self.name})


def post(agent, path, body):
    r"""Post JSON to the agent; return whether it answered with 200."""
    client = http_client.HTTPClient(
        agent.ip, agent.port, connection_timeout=HTTP_TIMEOUT_S,
        network_timeout=HTTP_TIMEOUT_S)
    try:
        return client.post(path, body=json.dumps(body)).status_code == 200
    except (OSError, ValueError, standard_http.HTTPException):
        # The agent is down or starting; a later heartbeat has the full state.
        return False
    finally:
        client.close()


def heartbeat_periodically(target, agent):
    r"""Post heartbeats periodically until the target leaves."""
    while not target.leaving:
        target.heartbeat(agent)
        gevent.sleep(HEARTBEAT_PERIOD_S)


def _parse_address(context, parameter, text):
    return address.parse(text).unwrap()


@click.command()
@click.option('--name', required=True)
@click.option('--service', required=True)
@click.option('--address', 'target_address', required=True,
              callback=_parse_address)
@click.option('--outbound', required=True, callback=_parse_address)
@click.option('--agent', required=True, callback=_parse_address)
@click.option('--work-ms', default=15.0)
@click.option('--slots', default=1)
@click.option('--cold-ms', default=0.0)
@click.option('--cold-limit', default=5,
              help='limit on new flows per second during the cold start')
@click.option('--journal', required=True)
def main(name, service, target_address, outbound, agent, work_ms, slots,
         cold_ms, cold_limit, journal):
    r"""Run a target of opaque flows until SIGTERM."""
    target = Target(
        name, service, work_ms / 1000, slots, cold_ms / 1000,
        os.open(journal, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644))
    target.write_journal('start', '%.3f' % target.cold_s, '%d' % cold_limit)
    target.open_sockets(target_address, outbound)
    gevent.spawn(target.serve)
    gevent.spawn(heartbeat_periodically, target, agent)
    stop = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    stop.wait()
    target.leave(agent)


if __name__ == '__main__':
    main()
