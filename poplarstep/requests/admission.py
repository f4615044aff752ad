r"""Third stage of an agent: queues requests and dispatches them.

Explanation
===========

The requests from all balancers pass this stage, so it can enforce an exact
limit on the requests in flight at the target, which matters most in a cold
start. A request whose deadline passes in the queue is recorded as refused
and not run. Copies of it that arrive later get the same refusal.
"""

import collections
import statistics

from returns import result

from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.core import verdict
from poplarstep.dissemination import message as dissemination
from poplarstep.flow import packet
from poplarstep.limits import queue
from poplarstep.limits import ramp
from poplarstep.requests import answers
from poplarstep.requests import message
from poplarstep.requests import ownership
from poplarstep.requests import state as states

TICK = 'admission'
TICK_PERIOD_MS = 20
LATENCY_SAMPLES = 32
# Requests that may wait at one agent; the payload of each fits one datagram.
QUEUE_CAPACITY = 2048
# Requests in flight after a start of the target. The announced cold limit is
# not used, because it may be more than the target can handle: only completed
# requests raise the limit.
COLD_LIMIT = 1
# After a broken connection and three missing announcements the target counts
# as gone. Its queued requests are then refused, so that callers can move to
# another target before their deadlines.
GONE_AFTER_MS = 1500

ADMISSION = stage.Stage('admission')


class AdmissionState:
    r"""Queue and ramp in front of one target.

    Parameters
    ==========

    agent : AgentState
        Records of the requests.
    ramp : Ramp
        Limit of requests in flight.
    queue : AdmissionQueue
        Requests that wait.
    in_flight, sent_to_earlier_run : set of RequestKey
        Dispatched requests without a result; those of them that were sent
        to an earlier run of the target.
    connection_lost : bool
        Whether a connection to the target broke and no announcement has
        followed. Nothing is dispatched then, because the process at the
        address may be another run, even of another service.
    connection_lost_at : int or None
        Time in ms at which that connection broke; None after an
        announcement or once the target has been reported as gone.
    """

    __slots__ = (
        'agent', 'ramp', 'queue', 'in_flight', 'sent_to_earlier_run',
        'connection_lost', 'connection_lost_at', 'target_incarnation',
        'recent_latencies_ms', 'latency_ms')

    def __init__(self, agent, queue):
        self.agent = agent
        self.ramp = ramp.make_ramp(COLD_LIMIT, ceiling=1)
        self.queue = queue
        self.in_flight = set()
        self.sent_to_earlier_run = set()
        self.connection_lost = False
        self.connection_lost_at = None
        self.target_incarnation = None
        self.recent_latencies_ms = collections.deque(maxlen=LATENCY_SAMPLES)
        self.latency_ms = 0.0


def make_admission_state(agent, capacity=QUEUE_CAPACITY) -> AdmissionState:
    r"""Return a state with an empty queue and a cold ramp."""
    return AdmissionState(agent, queue.make_queue(capacity))


def load(state):
    r"""Return the load of the target as reported to balancers."""
    return packet.Load(
        state.ramp.limit(), len(state.in_flight), len(state.queue),
        len(state.agent.flow_by_serial), state.latency_ms)


@ADMISSION.handles(message.TargetState)
def target_state(state, event, now):
    r"""Resume dispatching; start a new ramp if the target restarted."""
    state.connection_lost = False
    state.connection_lost_at = None
    if event.incarnation != state.target_incarnation:
        state.target_incarnation = event.incarnation
        # Results of the requests in flight still arrive, but they belong
        # to the run that ended and must not change the new ramp.
        state.ramp = ramp.make_ramp(COLD_LIMIT, event.slots)
        state.sent_to_earlier_run |= state.in_flight
    return [event]


@ADMISSION.handles(dissemination.CatalogueChanged)
def catalogue_changed(state, event, now):
    r"""Reset the ramp while the target's data centre is taken out."""
    target = states.own_target(state.agent)
    if target is not None and (
            state.agent.catalogue.data_centre_out(target.data_centre)):
        state.ramp.reset_cold()
    return [event]


@ADMISSION.handles(message.Admit)
def admit(state, event, now):
    r"""Queue or refuse a request, then dispatch within the limit."""
    offered = state.queue.offer(event.key, event.deadline, now)
    if isinstance(offered, result.Failure):
        return _refuse(
            state, event.key, verdict.Verdict.NOT_RUN, offered.failure())
    return _dispatch(state, now)


@ADMISSION.handles(message.Withdraw)
def withdraw(state, event, now):
    r"""Refuse a queued request as not run; cancel a running request."""
    if state.queue.remove(event.key):
        return _refuse(
            state, event.key, verdict.Verdict.NOT_RUN, 'cancelled')
    if event.key in state.in_flight:
        record = states.request_record(state.agent, event.key)
        if record is not None:
            record.cancelled = True
        return [message.CancelCall(
            event.key, states.idempotency_key(state.agent, event.key))]
    return []


@ADMISSION.handles(message.TargetAnswered)
def target_answered(state, event, now):
    r"""Record the answer and send it to the caller."""
    if event.key not in state.in_flight:
        return []
    _finished(state, event, True, now)
    state.queue.record_service_time(event.elapsed_ms, state.ramp.limit())
    state.recent_latencies_ms.append(event.elapsed_ms)
    state.latency_ms = statistics.median(state.recent_latencies_ms)
    record = states.request_record(state.agent, event.key)
    messages = []
    if record is not None:
        answers.store(state.agent, event.key, record, event.payload)
        messages = ownership.result_packets(
            state.agent, event.key.number, record)
        answers.drop_oldest(state.agent)
    return messages + _dispatch(state, now)


@ADMISSION.handles(message.TargetFailed)
def target_failed(state, event, now):
    r"""Requeue the request if it did not run; otherwise refuse it."""
    if event.key not in state.in_flight:
        return []
    state.agent.counters.failed += 1
    is_current_run = _finished(state, event, False, now)
    if is_current_run and message.connection_broke(event) and (
            not state.connection_lost):
        state.connection_lost = True
        state.connection_lost_at = now
    if is_current_run and (state.connection_lost or not event.may_have_run):
        state.ramp.reset_cold()
    messages = []
    if event.may_have_run:
        messages = _refuse(
            state, event.key, verdict.Verdict.MAY_HAVE_RUN, event.reason)
    else:
        messages = _requeue(state, event, now)
    return messages + _dispatch(state, now)


@ADMISSION.handles(effect.SendPacket)
def send_packet(state, event, now):
    r"""Add the current load of the target to the answer to an ``Open``."""
    if isinstance(event.packet, packet.OpenOutcome):
        event.packet.load = load(state)
    return [event]


@ADMISSION.handles(timer.Tick)
def tick(state, event, now):
    r"""Refuse expired requests, dispatch, and detect a gone target."""
    if event.name != TICK:
        return [event]
    gone = []
    if state.connection_lost_at is not None and (
            now - state.connection_lost_at >= GONE_AFTER_MS):
        state.connection_lost_at = None
        gone = [effect.Requeue(message.TargetGone())]
    return gone + _dispatch(state, now)


def _requeue(state, event, now):
    record = states.request_record(state.agent, event.key)
    if record is None:
        return []
    if record.cancelled:
        return _refuse(
            state, event.key, verdict.Verdict.NOT_RUN, 'cancelled')
    offered = state.queue.offer(event.key, record.deadline, now)
    if isinstance(offered, result.Failure):
        return _refuse(
            state, event.key, verdict.Verdict.NOT_RUN, offered.failure())
    record.phase = states.Phase.QUEUED
    return []


def _finished(state, event, succeeded, now):
    r"""Free the slot; return whether the current run got the request.

    The result is reported to the ramp only in that case.
    """
    state.in_flight.remove(event.key)
    if event.key in state.sent_to_earlier_run:
        state.sent_to_earlier_run.remove(event.key)
        return False
    state.ramp.finished(now, event.elapsed_ms, succeeded)
    return True


def _dispatch(state, now):
    r"""Dispatch queued requests while the ramp allows it."""
    messages = []
    state.agent.cold = state.ramp.is_cold()
    while (
            not state.connection_lost and states.may_dispatch(state.agent, now)
            and state.ramp.may_start(now)):
        taken = state.queue.take(now)
        messages.extend(_refuse_expired(state, taken.expired))
        if taken.key is None:
            break
        messages.extend(_call_target(state, taken.key, now))
    messages.extend(_refuse_expired(state, state.queue.expire(now)))
    return messages


def _call_target(state, key, now):
    record = states.request_record(state.agent, key)
    if record is None:
        return []
    record.phase = states.Phase.DISPATCHED
    state.in_flight.add(key)
    state.ramp.started(now)
    state.agent.counters.dispatched += 1
    return [message.CallTarget(
        key, states.idempotency_key(state.agent, key), record.idempotent,
        max(1, record.deadline - now), record.payload)]


def _refuse_expired(state, keys):
    messages = []
    for key in keys:
        messages.extend(_refuse(
            state, key, verdict.Verdict.NOT_RUN, 'deadline'))
    return messages


def _refuse(state, key, decided, reason):
    r"""Record a refusal, which later copies of the request get too."""
    record = states.request_record(state.agent, key)
    if record is None:
        return []
    record.phase = states.Phase.REFUSED
    record.verdict = decided
    record.reason = reason
    record.payload = b''
    return ownership.result_packets(state.agent, key.number, record)
