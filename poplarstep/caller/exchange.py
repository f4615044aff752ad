r"""Decisions of the caller library.

Explanation
===========

A request keeps its identity, the token and its number, through all resends,
so the agent runs it at most once. A balancer's refusal concerns only the
copy that it saw; the library resends through another balancer. A refusal by
the owner of the request is final for that attempt. A new attempt is made,
within the deadline and the retry budget, only of a request that was not run
or is idempotent; it goes to a new flow if the old one has ended.
"""

from poplarstep.caller import message
from poplarstep.caller import state as states
from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.core import verdict
from poplarstep.flow import packet

TICK = 'caller'
TICK_PERIOD_MS = 20
CANCELLED = 'cancelled'
# Refusals of one copy; another copy may still get through. A balancer that
# does not know a new address of the service yet says ``wrong-service``.
TRANSIENT_REASONS = frozenset([
    'balancer-unconfirmed', 'beyond-window', 'wrong-service'])
# Refusals after which the flow serves no more requests.
ENDED_REASONS = frozenset(['data-centre-out', 'draining', 'flow-ended'])

CALLER = stage.Stage('caller')


@CALLER.handles(message.StartFlow)
def start_flow(state, event, now):
    r"""Send the first ``Open`` of a flow."""
    flow = states.Flow(
        event.flow_key, event.service, now + event.deadline_ms, now)
    state.flow_by_key[event.flow_key] = flow
    return [effect.SendPacket(event.service, packet.Open(event.flow_key))]


@CALLER.handles(message.Ask)
def ask(state, event, now):
    r"""Send a request, or keep it until the flow is open."""
    flow = state.flow_by_key[event.flow_key]
    flow.asks += 1
    exchange = states.Exchange(
        flow.asks, event.payload, event.idempotent,
        now + event.deadline_ms, now)
    flow.waiting.append(exchange)
    state.retry_budget.attempted(now)
    return _tick_exchange(state, flow, exchange, now)


@CALLER.handles(message.Abandon)
def abandon(state, event, now):
    r"""Ask the agent to cancel a request; its verdict decides."""
    flow = state.flow_by_key[event.flow_key]
    messages = []
    for exchange in _unfinished(flow):
        if exchange.ask == event.number:
            exchange.abandoned = True
            exchange.resend_at = now
            messages.extend(_tick_exchange(state, flow, exchange, now))
    return messages


@CALLER.handles(message.EndFlow)
def end_flow(state, event, now):
    r"""Close a flow and forget it."""
    flow = state.flow_by_key.pop(event.flow_key, None)
    if flow is None or flow.token is None:
        return []
    return [effect.SendPacket(
        flow.service, packet.Close(flow.flow_key, flow.token))]


@CALLER.handles(packet.Opened)
def opened(state, event, now):
    r"""Keep the first token; close a flow that a duplicate opened."""
    flow = state.flow_by_key.get(event.flow_key)
    if flow is None or event.token == flow.ended:
        state.unmatched += 1
        return []
    if flow.token is not None:
        if flow.token == event.token:
            return []
        return [effect.SendPacket(
            flow.service, packet.Close(flow.flow_key, event.token))]
    flow.token = event.token
    flow.opening = False
    messages = []
    if not flow.started:
        flow.started = True
        messages.append(message.FlowStarted(flow.flow_key))
    for exchange in list(flow.waiting):
        messages.extend(_tick_exchange(state, flow, exchange, now))
    return messages


@CALLER.handles(packet.Answer)
def answer(state, event, now):
    r"""Join the parts; the outcome is told once all are there."""
    flow, exchange = _find(state, event)
    if exchange is None or not 0 <= event.part < event.parts:
        state.unmatched += 1
        return []
    exchange.part_by_index[event.part] = event.payload
    if len(exchange.part_by_index) < event.parts:
        return []
    payload = b''.join(
        exchange.part_by_index[index] for index in range(event.parts))
    return [_finish(flow, exchange, verdict.Verdict.RAN, '', payload)]


@CALLER.handles(packet.Refused)
def refused(state, event, now):
    r"""Resend after a balancer's refusal; judge the owner's."""
    if event.number == 0:
        return _open_refused(state, event, now)
    flow, exchange = _find(state, event)
    if exchange is None:
        state.unmatched += 1
        return []
    if event.reason in TRANSIENT_REASONS:
        exchange.resend_at = min(
            exchange.resend_at,
            states.pause(exchange, event.retry_after_ms, now))
        return []
    if event.reason in ENDED_REASONS:
        _leave(flow, exchange, event.reason)
    decided = verdict.Verdict(event.verdict)
    told = max(decided, exchange.earlier)
    retry_at = states.pause(exchange, event.retry_after_ms, now)
    if retry_at < exchange.deadline and (
            _may_retry(exchange, event.reason, decided)):
        _retry(flow, exchange, told, event.reason, retry_at)
        return []
    return [_finish(flow, exchange, told, event.reason, b'')]


@CALLER.handles(timer.Tick)
def tick(state, event, now):
    r"""Resend what is due and give up what is past its deadline."""
    if event.name != TICK:
        return [event]
    messages = []
    for flow in list(state.flow_by_key.values()):
        if flow.opening:
            messages.extend(_tick_open(state, flow, now))
        for exchange in _unfinished(flow):
            messages.extend(_tick_exchange(state, flow, exchange, now))
    return messages


def _may_retry(exchange, reason, decided):
    r"""Return whether a refused request may be attempted once more.

    Explanation
    ===========

    What may have run is repeated only if it is idempotent and its flow has
    ended: any other such refusal comes from a target that got the request
    and would get it again.
    """
    if exchange.abandoned or reason == CANCELLED:
        return False
    if decided is verdict.Verdict.MAY_HAVE_RUN and (
            reason not in ENDED_REASONS):
        return False
    return verdict.retry_allowed(decided, exchange.idempotent)


def _leave(flow, exchange, reason):
    r"""Give up the token of a flow that serves no more requests."""
    if exchange.token == flow.token:
        flow.token = None
        if reason == 'flow-ended':
            flow.ended = exchange.token


def _retry(flow, exchange, told, reason, retry_at):
    r"""Schedule a new attempt; it will have a new number."""
    del flow.exchange_by_number[exchange.number]
    flow.waiting.append(exchange)
    exchange.token = None
    # The first move to another flow of what did not run is no extra load:
    # a planned drain moves all flows of a target at once, and the budget
    # would let only a tenth of them go on.
    moves = reason in ENDED_REASONS and told is verdict.Verdict.NOT_RUN
    exchange.retry = exchange.moved or not moves
    exchange.moved = True
    exchange.earlier = exchange.decided = told
    exchange.reason = reason
    exchange.part_by_index = {}
    exchange.resend_at = retry_at


def _open_refused(state, event, now):
    r"""Send the ``Open`` again later; it runs nothing, whoever refused."""
    flow = state.flow_by_key.get(event.flow_key)
    if flow is None or not flow.opening:
        state.unmatched += 1
        return []
    flow.refusal = event.reason
    flow.resend_at = states.pause(flow, event.retry_after_ms, now)
    return []


def _open_failed(state, flow):
    r"""Tell that a flow could not be opened, or not be opened again."""
    flow.opening = False
    messages = [
        _finish(flow, item, item.decided, item.reason, b'')
        for item in list(flow.waiting)]
    if not flow.started:
        del state.flow_by_key[flow.flow_key]
        messages.append(message.FlowFailed(flow.flow_key, flow.refusal))
    return messages


def _tick_open(state, flow, now):
    if now >= flow.deadline:
        return _open_failed(state, flow)
    if now < flow.resend_at:
        return []
    states.back_off(flow, now)
    state.resends += 1
    return [effect.SendPacket(flow.service, packet.Open(flow.flow_key))]


def _tick_exchange(state, flow, exchange, now):
    r"""Give up, resend or start the present attempt of a request."""
    if now >= exchange.deadline or (
            exchange.abandoned and exchange.token is None):
        reason = exchange.reason if now >= exchange.deadline else CANCELLED
        return [_finish(flow, exchange, exchange.decided, reason, b'')]
    if now < exchange.resend_at:
        return []
    if exchange.token is None:
        return _start_attempt(state, flow, exchange, now)
    states.back_off(exchange, now)
    exchange.resends += 1
    state.resends += 1
    return [_copy(flow, exchange, now)]


def _start_attempt(state, flow, exchange, now):
    r"""Send an attempt for the first time; open the flow if it ended."""
    if flow.token is None:
        return _reopen(flow, exchange, now)
    lowest = min((
        number for number, item in flow.exchange_by_number.items()
        if item.token == flow.token), default=flow.next_number)
    if flow.next_number >= lowest + packet.REQUEST_WINDOW:
        return []
    if exchange.retry:
        if not state.retry_budget.try_retry(now):
            exchange.resend_at = states.pause(exchange, 0, now)
            return []
        state.retries += 1
    flow.waiting.remove(exchange)
    exchange.number = flow.next_number
    flow.next_number += 1
    flow.exchange_by_number[exchange.number] = exchange
    exchange.token = flow.token
    # Until there is a verdict, copies may be on their way to the agent.
    exchange.decided = verdict.Verdict.MAY_HAVE_RUN
    exchange.reason = 'deadline'
    exchange.resend_after = states.FIRST_RESEND_MS
    exchange.resend_at = now + states.FIRST_RESEND_MS
    return [_copy(flow, exchange, now)]


def _reopen(flow, exchange, now):
    r"""Open the flow at a new target unless that is under way."""
    if flow.opening:
        flow.deadline = max(flow.deadline, exchange.deadline)
        return []
    flow.opening = True
    flow.deadline = exchange.deadline
    flow.retry_after = states.FIRST_RETRY_MS
    flow.resend_after = states.FIRST_RESEND_MS
    flow.resend_at = now + states.FIRST_RESEND_MS
    return [effect.SendPacket(flow.service, packet.Open(flow.flow_key))]


def _unfinished(flow):
    return flow.waiting + list(flow.exchange_by_number.values())


def _find(state, event):
    flow = state.flow_by_key.get(event.flow_key)
    if flow is None:
        return None, None
    return flow, flow.exchange_by_number.get(event.number)


def _copy(flow, exchange, now):
    r"""Return a copy of the request, or of the wish to cancel it."""
    if exchange.abandoned:
        return effect.SendPacket(flow.service, packet.Cancel(
            flow.flow_key, exchange.token, exchange.number))
    acknowledged = min(
        number for number, item in flow.exchange_by_number.items()
        if item.token == exchange.token)
    return effect.SendPacket(flow.service, packet.Request(
        flow.flow_key, exchange.token, exchange.number, exchange.idempotent,
        max(1, exchange.deadline - now), acknowledged, exchange.payload))


def _finish(flow, exchange, decided, reason, payload):
    if exchange.token is None:
        flow.waiting.remove(exchange)
    else:
        del flow.exchange_by_number[exchange.number]
    return message.Outcome(
        flow.flow_key, exchange.ask, int(decided), reason, payload,
        exchange.resends)
