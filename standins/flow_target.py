r"""Stand-in for a target of opaque flows, one process on loopback.

Explanation
===========

It speaks the project's own packet format with the agent beside it and posts
heartbeats. A flow carries one request, ``ID SERVICE``, and its answer. The
target runs as many requests at a time as it has slots, queues a few more and
returns opening packets beyond that. Everything that a check needs is written
to a journal, one line an event, before it takes effect: ``start``, ``open``,
``run`` and ``leave``, with the time of the clock that all processes of a host
share.
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
from gevent import socket
from geventhttpclient import client as http_client

from poplarstep.core import address
from poplarstep.edge import plain_format

HEARTBEAT_S = 0.3
HTTP_TIMEOUT_S = 1
MAXIMUM_DATAGRAM_BYTES = 2048
QUEUE_LENGTH = 8
# How long a leaving target goes on after its heartbeat was acknowledged.
LEAVE_S = 2.5
# A target that gets no acknowledgement ends nevertheless.
UNHEARD_LEAVE_S = 6
KEPT_FLOWS = 5000


class Target:
    r"""Flows and requests of one stand-in target; times in seconds."""

    __slots__ = (
        'name', 'service', 'work_s', 'slots', 'cold_s', 'started_at',
        'socket', 'outbound', 'journal', 'slot_lock', 'answer_by_flow',
        'number_by_flow', 'random', 'sequence', 'leaving')

    def __init__(self, name, service, work_s, slots, cold_s, journal):
        self.name = name
        self.service = service
        self.work_s = work_s
        self.slots = slots
        self.cold_s = cold_s
        self.journal = journal
        self.started_at = time.time()
        self.slot_lock = lock.BoundedSemaphore(slots)
        # None while the request is awaited, no bytes while it runs.
        self.answer_by_flow = collections.OrderedDict()
        self.number_by_flow = {}
        self.random = random.SystemRandom()
        self.sequence = 0
        self.leaving = False

    def note(self, *words):
        r"""Append a line to the journal; it survives the process."""
        os.write(self.journal, ('%.3f %s\n' % (
            time.monotonic(), ' '.join(words))).encode())

    def open_sockets(self, bound, outbound):
        r"""Bind the address of the target."""
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((bound.ip, bound.port))
        self.outbound = (outbound.ip, outbound.port)

    def serve(self):
        r"""Handle datagrams until the process ends."""
        while True:
            try:
                data, _ = self.socket.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            except ConnectionError:
                # The agent beside it is down; it will send again.
                continue
            segment = plain_format.decode(data)
            if segment.opening:
                self.open(segment)
            elif self.number_by_flow.get(
                    segment.flow) != segment.acknowledged:
                # Not held here, or the caller took another target's answer.
                self.give_back(segment)
            elif segment.data_bytes:
                gevent.spawn(
                    self.run, segment.flow, data[plain_format.HEADER_BYTES:])

    def open(self, segment):
        r"""Accept a flow, or return its opening packet."""
        if segment.flow not in self.answer_by_flow:
            waiting = sum(
                not answer for answer in self.answer_by_flow.values())
            if waiting >= self.slots + QUEUE_LENGTH:
                self.give_back(segment)
                return
            self.note('open', segment.flow.hex())
            self.answer_by_flow[segment.flow] = None
            self.number_by_flow[segment.flow] = self.random.getrandbits(32)
            if len(self.answer_by_flow) > KEPT_FLOWS:
                oldest, _ = self.answer_by_flow.popitem(last=False)
                del self.number_by_flow[oldest]
        self.send(segment.flow, plain_format.OPENING)

    def run(self, flow, request):
        r"""Run the request of a flow once; send its answer again if asked."""
        answer = self.answer_by_flow.get(flow)
        if answer is None:
            self.answer_by_flow[flow] = answer = b''
            with self.slot_lock:
                self.note('run', request.decode(), self.service)
                gevent.sleep(self.work_s)
            answer = b'%s answered by %s' % (request, self.service.encode())
            self.answer_by_flow[flow] = answer
        if answer:
            self.send(flow, plain_format.CLOSING, answer)

    def send(self, flow, flags, data=b''):
        r"""Send a packet of a flow that is held here."""
        self.send_datagram(plain_format.encode(
            flow, flags, data, self.number_by_flow[flow]))

    def give_back(self, segment):
        r"""Return a packet unread."""
        head = plain_format.HEADER.unpack_from(segment.datagram)
        flow, flags, *numbers = head
        self.send_datagram(plain_format.encode(
            flow, flags | plain_format.RETURNED,
            segment.datagram[plain_format.HEADER_BYTES:], *numbers))

    def send_datagram(self, datagram):
        r"""Send a datagram through the agent."""
        try:
            self.socket.sendto(datagram, self.outbound)
        except ConnectionError:
            # The agent is down; the caller repeats its packet.
            return

    def cold_ms(self):
        r"""Return for how much longer the target stays cold."""
        left = self.started_at + self.cold_s - time.time()
        return max(0, int(left * 1000))

    def heartbeat(self, agent):
        r"""Post one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        return post(agent, '/heartbeat', {
            'target': self.name, 'service': self.service,
            'started_at': int(self.started_at * 1000),
            'sequence': self.sequence, 'slots': self.slots,
            'leaving': self.leaving, 'cold_ms': self.cold_ms()})

    def leave(self, agent):
        r"""Announce the end, serve what is open, and end."""
        self.leaving = True
        deadline = time.monotonic() + UNHEARD_LEAVE_S
        while time.monotonic() < deadline:
            if self.heartbeat(agent):
                self.note('leave')
                gevent.sleep(LEAVE_S)
                break
            gevent.sleep(HEARTBEAT_S)
        post(agent, '/departure', {'target': self.name})


def post(agent, path, body):
    r"""Post JSON to the agent; return whether it answered with 200."""
    client = http_client.HTTPClient(
        agent.ip, agent.port, connection_timeout=HTTP_TIMEOUT_S,
        network_timeout=HTTP_TIMEOUT_S)
    try:
        return client.post(path, body=json.dumps(body)).status_code == 200
    except (OSError, ValueError, standard_http.HTTPException):
        # The agent is down or starting; the next heartbeat tells it all.
        return False
    finally:
        client.close()


def beat_for_ever(target, agent):
    r"""Post heartbeats until the target leaves."""
    while not target.leaving:
        target.heartbeat(agent)
        gevent.sleep(HEARTBEAT_S)


def _address(context, parameter, text):
    return address.parse(text).unwrap()


@click.command()
@click.option('--name', required=True)
@click.option('--service', required=True)
@click.option('--address', 'place', required=True, callback=_address)
@click.option('--outbound', required=True, callback=_address)
@click.option('--agent', required=True, callback=_address)
@click.option('--work-ms', default=15.0)
@click.option('--slots', default=1)
@click.option('--cold-ms', default=0.0)
@click.option('--cold-limit', default=5,
              help='flows a second that it bears while it is cold')
@click.option('--journal', required=True)
def main(name, service, place, outbound, agent, work_ms, slots, cold_ms,
         cold_limit, journal):
    r"""Run a stand-in target of opaque flows until SIGTERM."""
    target = Target(
        name, service, work_ms / 1000, slots, cold_ms / 1000,
        os.open(journal, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644))
    target.note('start', '%.3f' % target.cold_s, '%d' % cold_limit)
    target.open_sockets(place, outbound)
    gevent.spawn(target.serve)
    gevent.spawn(beat_for_ever, target, agent)
    stop = gevent.event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    stop.wait()
    target.leave(agent)


if __name__ == '__main__':
    main()
