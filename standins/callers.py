r"""Callers for tests and measurements: open flows and check the answers.

Explanation
===========

``Client`` drives the caller library over one UDP socket, with any number of
concurrent flows. Each answer is compared with the payload of its request.
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
    r"""Counts of the outcomes of flows and requests.

    Parameters
    ==========

    opened : int
        Flows that were opened.
    completed, given_up, broken : int
        Opened flows whose requests were all answered; opened flows that
        ended because their data centre was taken out; all other opened
        flows.
    refused : int
        Flows that could not be opened.
    requests, answered, mismatched : int
        Requests sent; requests with the right answer; requests with any
        other answer.
    not_run, may_have_run : int
        Requests that ended with these verdicts.
    latencies_ms : list of int
        Time from each request to its outcome.
    not_run_payloads : set of bytes
        Payloads of requests that ended with the verdict "not run".
    reasons : collections.Counter
        Reasons of the requests that were not answered.
    observe : callable
        Called with an outcome of ``standins.recorder``, the clock time in ms
        at which the flow or request started and, for a request that was
        answered or failed, its latency in ms.
    """

    __slots__ = (
        'opened', 'completed', 'given_up', 'broken', 'refused', 'requests',
        'answered', 'mismatched', 'not_run', 'may_have_run', 'latencies_ms',
        'not_run_payloads', 'reasons', 'observe')

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)
        self.latencies_ms = []
        self.not_run_payloads = set()
        self.reasons = collections.Counter()
        self.observe = lambda outcome, started_at, latency_ms=None: None


class Client:
    r"""Caller with one task and one UDP socket.

    ``pending_by_flow_key`` holds the result that the greenlet of each flow
    waits for; a flow has at most one request in flight.
    """

    __slots__ = (
        'task', 'state', 'socket', 'packets', 'pending_by_flow_key',
        'random')

    def __init__(self, seed, local_address=None):
        self.packets = codec.make_data_path_codec(token.OPAQUE)
        self.state = caller_states.make_caller_state()
        self.pending_by_flow_key = {}
        self.random = random.Random(seed)
        self.socket = datagrams.open_datagram_socket(
            local_address or address.Address('127.0.0.1', 0),
            lambda source, data: self.packets.read(data)).unwrap()
        timers = timer.TimerQueue()
        timers.subscribe(
            exchange.TICK, exchange.TICK_PERIOD_MS, clock.now_ms())
        self.task = tasks.Task(
            'callers', stage.Pipeline([(exchange.CALLER, self.state)]),
            timers, {
                effect.SendPacket: self._send,
                message.FlowStarted: self._complete_open,
                message.FlowFailed: self._complete_open,
                message.Outcome: self._complete_request,
            })

    def start(self):
        r"""Start the socket reader and the task."""
        gevent.spawn(self.socket.read_loop, self.task.post)
        tasks.start(self.task)

    def open_flow(self, service, deadline_ms):
        r"""Open a flow; return ``FlowStarted`` or ``FlowFailed``."""
        flow_key = self.random.getrandbits(64)
        return self._post_and_wait(flow_key, message.StartFlow(
            flow_key, service, deadline_ms))

    def send_request(self, flow_key, payload, idempotent, deadline_ms):
        r"""Send one request and return its ``Outcome``."""
        return self._post_and_wait(flow_key, message.SendRequest(
            flow_key, payload, idempotent, deadline_ms))

    def close_flow(self, flow_key):
        r"""Close a flow without waiting for its end."""
        self.task.post([message.EndFlow(flow_key)])

    def _post_and_wait(self, flow_key, item):
        pending = gevent_event.AsyncResult()
        self.pending_by_flow_key[flow_key] = pending
        self.task.post([item])
        try:
            return pending.get()
        finally:
            del self.pending_by_flow_key[flow_key]

    def _send(self, item):
        self.socket.send(item.destination, self.packets.encode(item.packet))

    def _complete_open(self, item):
        self.pending_by_flow_key[item.flow_key].set(item)

    def _complete_request(self, item):
        self.pending_by_flow_key[item.flow_key].set(item)


def run_flow(client, tally, service, count, idempotent, deadline_ms,
             pause_s=0.0):
    r"""Open a flow, send its requests one after another, close it."""
    started_at = clock.now_ms()
    opened = client.open_flow(service, deadline_ms)
    if isinstance(opened, message.FlowFailed):
        tally.refused += 1
        tally.reasons[opened.reason] += 1
        tally.observe(recorder.REFUSED, started_at)
        return
    tally.opened += 1
    first_failure_at = None
    for number in range(count):
        payload = b'%x/%d' % (opened.flow_key, number)
        sent_at = clock.now_ms()
        tally.requests += 1
        outcome = client.send_request(
            opened.flow_key, payload, idempotent, deadline_ms)
        tally.latencies_ms.append(clock.now_ms() - sent_at)
        if outcome.reason == DATA_CENTRE_OUT:
            # Flows of a data centre that is taken out need not survive.
            tally.given_up += 1
            tally.observe(recorder.GIVEN_UP, sent_at)
            client.close_flow(opened.flow_key)
            return
        answered = _count_outcome(tally, outcome, payload)
        if not answered and first_failure_at is None:
            first_failure_at = sent_at
        tally.observe(
            recorder.ANSWERED if answered else recorder.FAILED, sent_at,
            clock.now_ms() - sent_at)
        if pause_s:
            gevent.sleep(pause_s)
    client.close_flow(opened.flow_key)
    if first_failure_at is None:
        tally.completed += 1
    else:
        tally.broken += 1
        tally.observe(recorder.BROKEN, first_failure_at)


def _count_outcome(tally, outcome, payload):
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
