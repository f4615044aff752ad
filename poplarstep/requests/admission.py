r"""Third stage of an agent: how much the target is given, and when.

Explanation
===========

All requests of all balancers pass this stage, so it is the one place that
can hold an exact limit on a target in cold start. Requests that wait past
their deadline are recorded as refused and not run; the record also refuses
copies that arrive later.
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
# Requests that wait at one agent; each holds at most one datagram.
QUEUE_CAPACITY = 2048
# A target may announce more than it bears when cold, so its claim raises
# nothing: above this limit the ramp goes by completed requests only.
COLD_LIMIT = 1
# Connections broke and three announcements are missing: the target is given
# up, so that what waits for it can move before callers give up.
GONE_MS = 1500

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
    in_flight, earlier : set of RequestKey
        Requests that the target is running; those of them that were sent
        to an earlier run of the target.
    lost : bool
        A connection to the target broke and it has not announced itself
        since; it may be another run, even of another service.
    lost_at : int
        When that connection broke, in ms; None once the target has been
        reported as gone.
    """

    __slots__ = (
        'agent', 'ramp', 'queue', 'in_flight', 'earlier', 'lost',
        'lost_at', 'target_incarnation', 'recent_ms', 'latency_ms')

    def __init__(self, agent, queue):
        self.agent = agent
        self.ramp = ramp.make_ramp(COLD_LIMIT, ceiling=1)
        self.queue = queue
        self.in_flight = set()
        self.earlier = set()
        self.lost = False
        self.lost_at = None
        self.target_incarnation = None
        self.recent_ms = collections.deque(maxlen=LATENCY_SAMPLES)
        self.latency_ms = 0.0


def make_admission_state(agent, capacity=QUEUE_CAPACITY):
    r"""Return an empty queue and a cold ramp for an agent's target."""
    return AdmissionState(agent, queue.make_queue(capacity))


def load(state):
    r"""Return the load that is reported to balancers."""
    return packet.Load(
        state.ramp.limit(), len(state.in_flight), len(state.queue),
        len(state.agent.flow_by_serial), state.latency_ms)


@ADMISSION.handles(message.TargetState)
def target_state(state, event, now):
    r"""Take in an announcement; a new incarnation starts cold."""
    state.lost = False
    state.lost_at = None
    if event.incarnation != state.target_incarnation:
        state.target_incarnation = event.incarnation
        # Requests in flight belong to the run that ended; their calls
        # still report, but not to the new ramp.
        state.ramp = ramp.make_ramp(COLD_LIMIT, event.slots)
        state.earlier |= state.in_flight
    return [event]


@ADMISSION.handles(dissemination.CatalogueChanged)
def catalogue_changed(state, event, now):
    r"""Start cold again once the own data centre has been taken out."""
    target = states.own_target(state.agent)
    if target is not None and (
            state.agent.catalogue.data_centre_out(target.data_centre)):
        state.ramp.reset_cold()
    return [event]


@ADMISSION.handles(message.Admit)
def admit(state, event, now):
    r"""Queue a request or refuse it, then dispatch what fits."""
    offered = state.queue.offer(event.key, event.deadline, now)
    if isinstance(offered, result.Failure):
        return _refuse(
            state, event.key, verdict.Verdict.NOT_RUN, offered.failure())
    return _dispatch(state, now)


@ADMISSION.handles(message.Withdraw)
def withdraw(state, event, now):
    r"""Remove a waiting request; cancel one that is running."""
    if state.queue.remove(event.key):
        return _refuse(
            state, event.key, verdict.Verdict.NOT_RUN, 'cancelled')
    if event.key in state.in_flight:
        known = states.request_record(state.agent, event.key)
        if known is not None:
            known.cancelled = True
        return [message.CancelCall(
            event.key, states.idempotency_key(state.agent, event.key))]
    return []


@ADMISSION.handles(message.TargetAnswered)
def target_answered(state, event, now):
    r"""Record the answer and send it to the caller."""
    if event.key not in state.in_flight:
        return []
    _finished(state, event, True, now)
    state.queue.served(event.elapsed_ms, state.ramp.limit())
    state.recent_ms.append(event.elapsed_ms)
    state.latency_ms = statistics.median(state.recent_ms)
    known = states.request_record(state.agent, event.key)
    messages = []
    if known is not None:
        answers.record(state.agent, event.key, known, event.payload)
        messages = ownership.answer_packets(
            state.agent, event.key.number, known)
        answers.drop_oldest(state.agent)
    return messages + _dispatch(state, now)


@ADMISSION.handles(message.TargetFailed)
def target_failed(state, event, now):
    r"""Queue a request again that did not run; refuse one that may have."""
    if event.key not in state.in_flight:
        return []
    state.agent.counters.failed += 1
    current = _finished(state, event, False, now)
    if current and message.connection_broke(event) and not state.lost:
        state.lost = True
        state.lost_at = now
    if current and (state.lost or not event.ran):
        state.ramp.reset_cold()
    messages = []
    if event.ran:
        messages = _refuse(
            state, event.key, verdict.Verdict.MAY_HAVE_RUN, event.reason)
    else:
        messages = _requeue(state, event, now)
    return messages + _dispatch(state, now)


@ADMISSION.handles(effect.SendPacket)
def send_packet(state, event, now):
    r"""Add the present load to the answer to an ``Open``."""
    if isinstance(event.packet, packet.OpenOutcome):
        event.packet.load = load(state)
    return [event]


@ADMISSION.handles(timer.Tick)
def tick(state, event, now):
    r"""Refuse what has waited past its deadline; dispatch what fits."""
    if event.name != TICK:
        return [event]
    gone = []
    if state.lost_at is not None and now - state.lost_at >= GONE_MS:
        state.lost_at = None
        gone = [effect.Loop(message.TargetGone())]
    return gone + _dispatch(state, now)


def _requeue(state, event, now):
    known = states.request_record(state.agent, event.key)
    if known is None:
        return []
    if known.cancelled:
        return _refuse(
            state, event.key, verdict.Verdict.NOT_RUN, 'cancelled')
    offered = state.queue.offer(event.key, known.deadline, now)
    if isinstance(offered, result.Failure):
        return _refuse(
            state, event.key, verdict.Verdict.NOT_RUN, offered.failure())
    known.phase = states.Phase.QUEUED
    return []


def _finished(state, event, succeeded, now):
    r"""Free the slot; tell the ramp unless the target restarted since.

    Returns whether the request was sent to the present run of the target.
    """
    state.in_flight.remove(event.key)
    if event.key in state.earlier:
        state.earlier.remove(event.key)
        return False
    state.ramp.finished(now, event.elapsed_ms, succeeded)
    return True


def _dispatch(state, now):
    r"""Send waiting requests to the target while the ramp allows it."""
    messages = []
    state.agent.cold = state.ramp.is_cold()
    while (
            not state.lost and states.works(state.agent, now)
            and state.ramp.may_start(now)):
        taken = state.queue.take(now)
        messages.extend(_expire(state, taken.expired))
        if taken.key is None:
            break
        messages.extend(_call(state, taken.key, now))
    messages.extend(_expire(state, state.queue.expire(now)))
    return messages


def _call(state, key, now):
    known = states.request_record(state.agent, key)
    if known is None:
        return []
    known.phase = states.Phase.DISPATCHED
    state.in_flight.add(key)
    state.ramp.started(now)
    state.agent.counters.dispatched += 1
    return [message.CallTarget(
        key, states.idempotency_key(state.agent, key), known.idempotent,
        max(1, known.deadline - now), known.payload)]


def _expire(state, keys):
    messages = []
    for key in keys:
        messages.extend(_refuse(
            state, key, verdict.Verdict.NOT_RUN, 'deadline'))
    return messages


def _refuse(state, key, decided, reason):
    r"""Record a refusal, so that copies of the request get it too."""
    known = states.request_record(state.agent, key)
    if known is None:
        return []
    known.phase = states.Phase.REFUSED
    known.verdict = decided
    known.reason = reason
    known.payload = b''
    return ownership.answer_packets(state.agent, key.number, known)
