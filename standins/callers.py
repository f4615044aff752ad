r"""Stand-in callers: open flows, send requests, check the answers.

Explanation
===========

It drives the caller library over one UDP socket for many callers. Each
answer is compared with the request that it must belong to.
"""

import collections
import random

import gevent
from gevent import event as gevent_event

from poplarstep.caller import exchange
from poplarstep.caller import message
from poplarstep.caller import state as caller_states
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.core import verdict
from poplarstep.edge import clock
from poplarstep.edge import codec
from poplarstep.edge import datagrams
from poplarstep.edge import task as tasks
from poplarstep.flow import token
from standins import recorder

DATA_CENTRE_OUT = 'data-centre-out'


class Tally:
    r"""Counts of what became of flows and requests.

    Parameters
    ==========

    completed, given_up, broken : int
        Flows whose requests were all answered; flows that ended because
        their data centre was taken out; all others.
    refused : int
        Flows that could not be opened.
    not_run_payloads : set of bytes
        Payloads of requests that ended with the verdict "not run".
    reasons : collections.Counter
        Reasons of the requests that were not answered.
    observe : callable
        Takes what became of a flow or request, its start and, for an
        answer, its time in ms.
    """

    __slots__ = (
        'opened', 'completed', 'given_up', 'broken', 'refused', 'asked',
        'answered', 'mismatched', 'not_run', 'may_have_run', 'latencies_ms',
        'not_run_payloads', 'reasons', 'observe')

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)
        self.latencies_ms = []
        self.not_run_payloads = set()
        self.reasons = collections.Counter()
        self.observe = lambda what, at, elapsed_ms=None: None


class Client:
    r"""One caller process: its task, socket and waiting greenlets."""

    __slots__ = ('task', 'state', 'socket', 'packets', 'waiting', 'random')

    def __init__(self, seed, bound=None):
        self.packets = codec.make_data_path_codec(token.OPAQUE)
        self.state = caller_states.make_caller_state()
        self.waiting = {}
        self.random = random.Random(seed)
        self.socket = datagrams.open_datagram_socket(
            bound or address.Address('127.0.0.1', 0),
            lambda source, data: self.packets.read(data)).unwrap()
        timers = timer.TimerQueue()
        timers.subscribe(
            exchange.TICK, exchange.TICK_PERIOD_MS, clock.now_ms())
        self.task = tasks.Task(
            'callers', stage.Pipeline([(exchange.CALLER, self.state)]),
            timers, {
                effect.SendPacket: self._send,
                message.FlowStarted: self._tell_flow,
                message.FlowFailed: self._tell_flow,
                message.Outcome: self._tell_outcome,
            })

    def start(self):
        r"""Start the reader and the task."""
        gevent.spawn(self.socket.read_loop, self.task.post)
        tasks.start(self.task)

    def open_flow(self, service, deadline_ms):
        r"""Open a flow; return ``FlowStarted`` or ``FlowFailed``."""
        flow_key = self.random.getrandbits(64)
        return self._wait(flow_key, message.StartFlow(
            flow_key, service, deadline_ms))

    def ask(self, flow_key, payload, idempotent, deadline_ms):
        r"""Send one request and return its ``Outcome``."""
        return self._wait(flow_key, message.SendRequest(
            flow_key, payload, idempotent, deadline_ms))

    def close_flow(self, flow_key):
        r"""Close a flow."""
        self.task.post([message.EndFlow(flow_key)])

    def _wait(self, flow_key, item):
        waiting = gevent_event.AsyncResult()
        self.waiting[flow_key] = waiting
        self.task.post([item])
        try:
            return waiting.get()
        finally:
            del self.waiting[flow_key]

    def _send(self, item):
        self.socket.send(item.destination, self.packets.encode(item.packet))

    def _tell_flow(self, item):
        self.waiting[item.flow_key].set(item)

    def _tell_outcome(self, item):
        self.waiting[item.flow_key].set(item)


def run_flow(client, tally, service, count, idempotent, deadline_ms,
             pause_s=0.0):
    r"""Open a flow, send its requests one after another, close it."""
    began = clock.now_ms()
    opened = client.open_flow(service, deadline_ms)
    if isinstance(opened, message.FlowFailed):
        tally.refused += 1
        tally.reasons[opened.reason] += 1
        tally.observe(recorder.REFUSED, began)
        return
    tally.opened += 1
    broke_at = None
    for number in range(count):
        payload = b'%x/%d' % (opened.flow_key, number)
        asked_at = clock.now_ms()
        tally.asked += 1
        outcome = client.ask(
            opened.flow_key, payload, idempotent, deadline_ms)
        tally.latencies_ms.append(clock.now_ms() - asked_at)
        if outcome.reason == DATA_CENTRE_OUT:
            # The page of requirements excepts these flows (R1).
            tally.given_up += 1
            tally.observe(recorder.GIVEN_UP, asked_at)
            client.close_flow(opened.flow_key)
            return
        answered = _count(tally, outcome, payload)
        if not answered and broke_at is None:
            broke_at = asked_at
        tally.observe(
            recorder.ANSWERED if answered else recorder.FAILED, asked_at,
            clock.now_ms() - asked_at)
        if pause_s:
            gevent.sleep(pause_s)
    client.close_flow(opened.flow_key)
    if broke_at is None:
        tally.completed += 1
    else:
        tally.broken += 1
        tally.observe(recorder.BROKEN, broke_at)


def _count(tally, outcome, payload):
    r"""Count one outcome; return whether the request was answered."""
    if outcome.verdict == verdict.Verdict.RAN:
        if outcome.payload != b'answer to ' + payload:
            tally.mismatched += 1
            return False
        tally.answered += 1
        return True
    tally.reasons[outcome.reason] += 1
    if outcome.verdict == verdict.Verdict.NOT_RUN:
        tally.not_run += 1
        tally.not_run_payloads.add(payload)
    else:
        tally.may_have_run += 1
    return False
