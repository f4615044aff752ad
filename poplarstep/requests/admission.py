r"""Third stage of an agent: how much the target is given, and when.

Explanation
===========

All requests of all balancers pass this stage, so it is the one place that
can hold an exact limit on a target in cold start. Requests that wait past
their deadline are recorded as refused and not run; the record also refuses
copies that arrive later.
"""

from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.core import verdict
from poplarstep.flow import packet
from poplarstep.requests import message
from poplarstep.requests import ownership
from poplarstep.requests import state as states

TICK = 'admission'
TICK_PERIOD_MS = 20

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
    """

    __slots__ = (
        'agent', 'ramp', 'queue', 'in_flight', 'target_incarnation',
        'make_ramp')

    def __init__(self, agent, make_ramp, queue):
        self.agent = agent
        self.make_ramp = make_ramp
        self.ramp = make_ramp(1, 1)
        self.queue = queue
        self.in_flight = {}
        self.target_incarnation = None


def load(state):
    r"""Return the load that is reported to balancers."""
    return packet.Load(
        state.ramp.limit(), len(state.in_flight), len(state.queue),
        len(state.agent.flow_by_serial), state.ramp.latency_ms())


@ADMISSION.handles(message.TargetState)
def target_state(state, event, now):
    r"""Take in an announcement; a new incarnation starts cold."""
    if event.incarnation != state.target_incarnation:
        state.target_incarnation = event.incarnation
        state.ramp = state.make_ramp(event.cold_limit, event.slots)
    return [event]


@ADMISSION.handles(message.Admit)
def admit(state, event, now):
    r"""Queue a request or refuse it, then dispatch what fits."""
    reason = state.queue.offer(event.key, event.deadline, now)
    if reason:
        return _refuse(
            state, event.key, verdict.Verdict.NOT_RUN, reason)
    return _dispatch(state, now)


@ADMISSION.handles(message.Withdraw)
def withdraw(state, event, now):
    r"""Remove a waiting request; cancel one that is running."""
    if state.queue.remove(event.key):
        return _refuse(
            state, event.key, verdict.Verdict.NOT_RUN, 'cancelled')
    if event.key in state.in_flight:
        return [message.CancelCall(
            event.key, states.idempotency_key(state.agent, event.key))]
    return []


@ADMISSION.handles(message.TargetAnswered)
def target_answered(state, event, now):
    r"""Record the answer and send it to the caller."""
    if state.in_flight.pop(event.key, None) is None:
        return []
    state.ramp.finished(now, event.elapsed_ms, True)
    known = states.request_record(state.agent, event.key)
    messages = []
    if known is not None:
        _record_answer(state.agent, known, event.payload)
        messages = ownership.answer_packets(
            state.agent, event.key.number, known)
    return messages + _dispatch(state, now)


@ADMISSION.handles(message.TargetFailed)
def target_failed(state, event, now):
    r"""Queue a request again that did not run; refuse one that may have."""
    if state.in_flight.pop(event.key, None) is None:
        return []
    state.agent.counters.failed += 1
    state.ramp.finished(now, event.elapsed_ms, False)
    messages = []
    if event.ran:
        messages = _refuse(
            state, event.key, verdict.Verdict.MAY_HAVE_RUN, event.reason)
    else:
        state.ramp.reset_cold()
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
    return _dispatch(state, now)


def _requeue(state, event, now):
    known = states.request_record(state.agent, event.key)
    if known is None:
        return []
    reason = state.queue.offer(event.key, known.deadline, now)
    if reason:
        return _refuse(
            state, event.key, verdict.Verdict.NOT_RUN, reason)
    known.phase = states.Phase.QUEUED
    return []


def _dispatch(state, now):
    r"""Send waiting requests to the target while the ramp allows it."""
    messages = []
    while state.agent.target is not None and state.ramp.may_start(
            len(state.in_flight), now):
        key, expired = state.queue.take(now)
        messages.extend(_expire(state, expired))
        if key is None:
            break
        messages.extend(_call(state, key, now))
    messages.extend(_expire(state, state.queue.expire(now)))
    return messages


def _call(state, key, now):
    known = states.request_record(state.agent, key)
    if known is None:
        return []
    known.phase = states.Phase.DISPATCHED
    state.in_flight[key] = now
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


def _record_answer(agent, known, payload):
    known.phase = states.Phase.ANSWERED
    known.verdict = verdict.Verdict.RAN
    known.payload = b''
    agent.counters.answered += 1
    size = packet.MAXIMUM_PAYLOAD_BYTES
    if len(payload) > size * packet.MAXIMUM_PARTS:
        known.reason = 'answer-too-large'
        return
    known.parts = tuple(
        payload[start:start + size]
        for start in range(0, max(1, len(payload)), size))
    agent.answer_bytes += len(payload)
