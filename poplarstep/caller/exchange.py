r"""Stage of the caller library: opens flows, resends and retries requests.

Explanation
===========

An attempt of a request is identified by the token of its flow and its
number. Resent copies have the same identity, so the agent runs an attempt at
most once. A refusal by a balancer concerns only one copy, and another copy
is sent. A refusal by the agent that owns the flow ends the attempt. A new
attempt, with a new number, is made only if the request did not run or is
idempotent, within its deadline and the retry budget. If the flow has ended,
it is opened again first.
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
# Refusals of a single copy: a resent copy may be accepted. A balancer that
# does not know a new address of the service yet refuses with
# ``wrong-service``.
TRANSIENT_REASONS = frozenset([
    'balancer-unconfirmed', 'beyond-window', 'wrong-service'])
# Refusals that end the flow.
ENDED_REASONS = frozenset(['data-centre-out', 'draining', 'flow-ended'])

CALLER = stage.Stage('caller')


@CALLER.handles(message.StartFlow)
def start_flow(state, event, now):
    r"""Send the first ``Open`` of a flow."""
    flow = states.Flow(
        event.flow_key, event.service, now + event.deadline_ms, now)
    state.flow_by_key[event.flow_key] = flow
    return [effect.SendPacket(event.service, packet.Open(event.flow_key))]


@CALLER.handles(message.SendRequest)
def send_request(state, event, now):
    r"""Send a request, or queue it until the flow is open."""
    flow = state.flow_by_key[event.flow_key]
    flow.request_count += 1
    exchange = states.Exchange(
        flow.request_count, event.payload, event.idempotent,
        now + event.deadline_ms, now)
    flow.waiting.append(exchange)
    state.retry_budget.attempted(now)
    return _tick_exchange(state, flow, exchange, now)


@CALLER.handles(message.CancelRequest)
def cancel_request(state, event, now):
    r"""Ask the agent to cancel a request; its verdict is the outcome."""
    flow = state.flow_by_key[event.flow_key]
    messages = []
    for exchange in _unfinished(flow):
        if exchange.request_number == event.number:
            exchange.cancelled = True
            exchange.resend_at = now
            messages.extend(_tick_exchange(state, flow, exchange, now))
    return messages


@CALLER.handles(message.EndFlow)
def end_flow(state, event, now):
    r"""Close a flow and remove it; its requests get no outcome."""
    flow = state.flow_by_key.pop(event.flow_key, None)
    if flow is None or flow.token is None:
        return []
    return [effect.SendPacket(
        flow.service, packet.Close(flow.flow_key, flow.token))]


@CALLER.handles(packet.Opened)
def opened(state, event, now):
    r"""Keep the first token; close flows that other copies opened."""
    flow = state.flow_by_key.get(event.flow_key)
    if flow is None or event.token == flow.ended_token:
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
    r"""Store one part of an answer; report the answer once complete."""
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
    r"""Resend, retry or finish a refused request, depending on the reason."""
    if event.number == 0:
        return _open_refused(state, event, now)
    flow, exchange = _find(state, event)
    if exchange is None:
        state.unmatched += 1
        return []
    if event.reason in TRANSIENT_REASONS:
        exchange.resend_at = min(
            exchange.resend_at,
            states.retry_time(exchange, event.retry_after_ms, now))
        return []
    if event.reason in ENDED_REASONS:
        _drop_token(flow, exchange, event.reason)
    attempt_verdict = verdict.Verdict(event.verdict)
    request_verdict = max(attempt_verdict, exchange.earlier_verdict)
    retry_at = states.retry_time(exchange, event.retry_after_ms, now)
    if retry_at < exchange.deadline and (
            _may_retry(exchange, event.reason, attempt_verdict)):
        _retry(flow, exchange, request_verdict, event.reason, retry_at)
        return []
    return [_finish(flow, exchange, request_verdict, event.reason, b'')]


@CALLER.handles(timer.Tick)
def tick(state, event, now):
    r"""Resend opens and requests that are due; end those past a deadline."""
    if event.name != TICK:
        return [event]
    messages = []
    for flow in list(state.flow_by_key.values()):
        if flow.opening:
            messages.extend(_tick_open(state, flow, now))
        for exchange in _unfinished(flow):
            messages.extend(_tick_exchange(state, flow, exchange, now))
    return messages


def _may_retry(exchange, reason, attempt_verdict):
    r"""Return whether a refused request may be attempted again.

    Explanation
    ===========

    A request that may have run is retried only if it is idempotent and its
    flow has ended. With any other reason, the retry would go to the target
    that has already received the request.
    """
    if exchange.cancelled or reason == CANCELLED:
        return False
    if attempt_verdict is verdict.Verdict.MAY_HAVE_RUN and (
            reason not in ENDED_REASONS):
        return False
    return verdict.retry_allowed(attempt_verdict, exchange.idempotent)


def _drop_token(flow, exchange, reason):
    r"""Drop the token of a flow that has ended."""
    if exchange.token == flow.token:
        flow.token = None
        if reason == 'flow-ended':
            flow.ended_token = exchange.token


def _retry(flow, exchange, request_verdict, reason, retry_at):
    r"""Schedule a new attempt, which gets a new number when it is sent."""
    del flow.exchange_by_number[exchange.attempt_number]
    flow.waiting.append(exchange)
    exchange.token = None
    # The first retry on another flow adds no load if the request did not
    # run, so it is not charged to the budget. A planned drain moves all
    # flows of a target at once, and the budget would allow only a tenth of
    # the requests to be retried.
    adds_no_load = reason in ENDED_REASONS and (
        request_verdict is verdict.Verdict.NOT_RUN)
    exchange.charge_retry_budget = exchange.refused_before or not adds_no_load
    exchange.refused_before = True
    exchange.earlier_verdict = exchange.current_verdict = request_verdict
    exchange.reason = reason
    exchange.part_by_index = {}
    exchange.resend_at = retry_at


def _open_refused(state, event, now):
    r"""Schedule a resend of the ``Open``, which is always safe."""
    flow = state.flow_by_key.get(event.flow_key)
    if flow is None or not flow.opening:
        state.unmatched += 1
        return []
    flow.last_refusal_reason = event.reason
    flow.resend_at = states.retry_time(flow, event.retry_after_ms, now)
    return []


def _open_failed(state, flow):
    r"""Finish the waiting requests of a flow that could not be opened.

    A flow that was never open is removed and reported as failed.
    """
    flow.opening = False
    messages = [
        _finish(flow, item, item.current_verdict, item.reason, b'')
        for item in list(flow.waiting)]
    if not flow.started:
        del state.flow_by_key[flow.flow_key]
        messages.append(message.FlowFailed(
            flow.flow_key, flow.last_refusal_reason))
    return messages


def _tick_open(state, flow, now):
    if now >= flow.deadline:
        return _open_failed(state, flow)
    if now < flow.resend_at:
        return []
    states.schedule_resend(flow, now)
    state.resends += 1
    return [effect.SendPacket(flow.service, packet.Open(flow.flow_key))]


def _tick_exchange(state, flow, exchange, now):
    r"""Finish, resend or start the current attempt of a request."""
    if now >= exchange.deadline or (
            exchange.cancelled and exchange.token is None):
        reason = exchange.reason if now >= exchange.deadline else CANCELLED
        return [_finish(flow, exchange, exchange.current_verdict, reason, b'')]
    if now < exchange.resend_at:
        return []
    if exchange.token is None:
        return _start_attempt(state, flow, exchange, now)
    states.schedule_resend(exchange, now)
    exchange.resends += 1
    state.resends += 1
    return [_send_copy(flow, exchange, now)]


def _start_attempt(state, flow, exchange, now):
    r"""Send the first copy of an attempt; reopen the flow if it ended."""
    if flow.token is None:
        return _reopen(flow, exchange, now)
    window_start = min((
        number for number, item in flow.exchange_by_number.items()
        if item.token == flow.token), default=flow.next_number)
    if flow.next_number >= window_start + packet.REQUEST_WINDOW:
        return []
    if exchange.charge_retry_budget:
        if not state.retry_budget.try_retry(now):
            exchange.resend_at = states.retry_time(exchange, 0, now)
            return []
        state.retries += 1
    flow.waiting.remove(exchange)
    exchange.attempt_number = flow.next_number
    flow.next_number += 1
    flow.exchange_by_number[exchange.attempt_number] = exchange
    exchange.token = flow.token
    # From now on a copy may reach the agent and run.
    exchange.current_verdict = verdict.Verdict.MAY_HAVE_RUN
    exchange.reason = 'deadline'
    exchange.resend_delay_ms = states.FIRST_RESEND_DELAY_MS
    exchange.resend_at = now + states.FIRST_RESEND_DELAY_MS
    return [_send_copy(flow, exchange, now)]


def _reopen(flow, exchange, now):
    r"""Open the flow at a new target unless it is being opened."""
    if flow.opening:
        flow.deadline = max(flow.deadline, exchange.deadline)
        return []
    flow.opening = True
    flow.deadline = exchange.deadline
    flow.retry_delay_ms = states.FIRST_RETRY_DELAY_MS
    flow.resend_delay_ms = states.FIRST_RESEND_DELAY_MS
    flow.resend_at = now + states.FIRST_RESEND_DELAY_MS
    return [effect.SendPacket(flow.service, packet.Open(flow.flow_key))]


def _unfinished(flow):
    return flow.waiting + list(flow.exchange_by_number.values())


def _find(state, event):
    flow = state.flow_by_key.get(event.flow_key)
    if flow is None:
        return None, None
    return flow, flow.exchange_by_number.get(event.number)


def _send_copy(flow, exchange, now):
    r"""Return the effect that sends a copy of the request, or its Cancel."""
    if exchange.cancelled:
        return effect.SendPacket(flow.service, packet.Cancel(
            flow.flow_key, exchange.token, exchange.attempt_number))
    acknowledged = min(
        number for number, item in flow.exchange_by_number.items()
        if item.token == exchange.token)
    return effect.SendPacket(flow.service, packet.Request(
        flow.flow_key, exchange.token, exchange.attempt_number,
        exchange.idempotent, max(1, exchange.deadline - now), acknowledged,
        exchange.payload))


def _finish(flow, exchange, final_verdict, reason, payload):
    if exchange.token is None:
        flow.waiting.remove(exchange)
    else:
        del flow.exchange_by_number[exchange.attempt_number]
    return message.Outcome(
        flow.flow_key, exchange.request_number, int(final_verdict), reason,
        payload, exchange.resends)
