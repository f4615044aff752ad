r"""Decisions of the caller library.

Explanation
===========

A request keeps its identity, the token and its number, through all resends,
so the agent runs it at most once. A balancer's refusal concerns only the
copy that it saw; the library resends through another balancer. A refusal by
the owner of the request is final.
"""

from poplarstep.caller import message
from poplarstep.core import effect
from poplarstep.core import record
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.core import verdict
from poplarstep.flow import packet

TICK = 'caller'
TICK_PERIOD_MS = 20
FIRST_RESEND_MS = 250
MAXIMUM_RESEND_MS = 2000
# Pause before a new attempt of a request that was refused as not run; it
# doubles, so that retries do not keep an overload going.
FIRST_RETRY_MS = 50
CANCELLED = 'cancelled'
# Refusals of one copy by one balancer; another copy may still get through.
TRANSIENT_REASONS = frozenset(['balancer-unconfirmed'])
# Refusals of an open that another attempt may overcome.
OPEN_RETRY_REASONS = frozenset([
    'balancer-unconfirmed', 'connections-full', 'draining', 'misrouted',
    'no-target', 'overload', 'target-unknown'])

CALLER = stage.Stage('caller')


class Flow(record.Record):
    r"""A flow as its caller sees it."""

    __slots__ = (
        'flow_key', 'service', 'token', 'asks', 'next_number', 'deadline',
        'resend_at', 'resend_after', 'exchange_by_number')

    def __init__(self, flow_key, service, deadline, now):
        self.flow_key = flow_key
        self.service = service
        self.token = None
        self.asks = 0
        self.next_number = 1
        self.deadline = deadline
        self.resend_at = now + FIRST_RESEND_MS
        self.resend_after = FIRST_RESEND_MS
        self.exchange_by_number = {}


class Exchange(record.Record):
    r"""One request that has no outcome yet.

    ``ask`` counts the program's requests on the flow, ``number`` the
    attempts: a new attempt takes a new number.
    """

    __slots__ = (
        'ask', 'number', 'payload', 'idempotent', 'deadline', 'resend_at',
        'resend_after', 'retry_after', 'resends', 'part_by_index')

    def __init__(self, ask, number, payload, idempotent, deadline, now):
        self.ask = ask
        self.number = number
        self.payload = payload
        self.idempotent = idempotent
        self.deadline = deadline
        self.resend_at = now + FIRST_RESEND_MS
        self.resend_after = FIRST_RESEND_MS
        self.retry_after = FIRST_RETRY_MS
        self.resends = 0
        self.part_by_index = {}


class CallerState:
    r"""All flows of one caller process."""

    __slots__ = ('flow_by_key', 'unmatched', 'resends')

    def __init__(self):
        self.flow_by_key = {}
        self.unmatched = 0
        self.resends = 0


def make_caller_state():
    r"""Return the state of a caller without flows."""
    return CallerState()


@CALLER.handles(message.StartFlow)
def start_flow(state, event, now):
    r"""Send the first ``Open`` of a flow."""
    flow = Flow(event.flow_key, event.service, now + event.deadline_ms, now)
    state.flow_by_key[event.flow_key] = flow
    return [effect.SendPacket(event.service, packet.Open(event.flow_key))]


@CALLER.handles(message.Ask)
def ask(state, event, now):
    r"""Send a request; the flow has to be open."""
    flow = state.flow_by_key[event.flow_key]
    flow.asks += 1
    exchange = Exchange(
        flow.asks, flow.next_number, event.payload, event.idempotent,
        now + event.deadline_ms, now)
    flow.next_number += 1
    flow.exchange_by_number[exchange.number] = exchange
    return [_request(flow, exchange, now)]


@CALLER.handles(message.Abandon)
def abandon(state, event, now):
    r"""Ask the agent to cancel a request; its verdict decides."""
    flow = state.flow_by_key[event.flow_key]
    return [
        effect.SendPacket(flow.service, packet.Cancel(
            flow.flow_key, flow.token, exchange.number))
        for exchange in flow.exchange_by_number.values()
        if exchange.ask == event.number]


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
    if flow is None:
        state.unmatched += 1
        return []
    if flow.token is None:
        flow.token = event.token
        return [message.FlowStarted(flow.flow_key)]
    if flow.token != event.token:
        return [effect.SendPacket(
            flow.service, packet.Close(flow.flow_key, event.token))]
    return []


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
    r"""Resend after a balancer's refusal; finish after the owner's."""
    if event.number == 0:
        return _open_refused(state, event, now)
    flow, exchange = _find(state, event)
    if exchange is None:
        state.unmatched += 1
        return []
    if event.reason in TRANSIENT_REASONS:
        exchange.resend_at = min(
            exchange.resend_at, now + event.retry_after_ms)
        return []
    decided = verdict.Verdict(event.verdict)
    retry_at = now + max(event.retry_after_ms, exchange.retry_after)
    if decided is verdict.Verdict.NOT_RUN and event.reason != CANCELLED and (
            retry_at < exchange.deadline):
        return _retry(flow, exchange, retry_at)
    return [_finish(flow, exchange, decided, event.reason, b'')]


def _retry(flow, exchange, retry_at):
    r"""Schedule a new attempt, under a new number, of what did not run."""
    del flow.exchange_by_number[exchange.number]
    exchange.number = flow.next_number
    flow.next_number += 1
    flow.exchange_by_number[exchange.number] = exchange
    exchange.part_by_index = {}
    exchange.resend_at = retry_at
    exchange.resend_after = FIRST_RESEND_MS
    exchange.retry_after = min(MAXIMUM_RESEND_MS, exchange.retry_after * 2)
    return []


@CALLER.handles(timer.Tick)
def tick(state, event, now):
    r"""Resend what is due and give up what is past its deadline."""
    if event.name != TICK:
        return [event]
    messages = []
    for flow in list(state.flow_by_key.values()):
        if flow.token is None:
            messages.extend(_tick_open(state, flow, now))
        else:
            for exchange in list(flow.exchange_by_number.values()):
                messages.extend(_tick_exchange(state, flow, exchange, now))
    return messages


def _open_refused(state, event, now):
    flow = state.flow_by_key.get(event.flow_key)
    if flow is None or flow.token is not None:
        state.unmatched += 1
        return []
    if event.reason in OPEN_RETRY_REASONS:
        flow.resend_at = now + event.retry_after_ms
        return []
    del state.flow_by_key[flow.flow_key]
    return [message.FlowFailed(flow.flow_key, event.reason)]


def _tick_open(state, flow, now):
    if now >= flow.deadline:
        del state.flow_by_key[flow.flow_key]
        return [message.FlowFailed(flow.flow_key, 'deadline')]
    if now < flow.resend_at:
        return []
    _back_off(flow, now)
    state.resends += 1
    return [effect.SendPacket(flow.service, packet.Open(flow.flow_key))]


def _tick_exchange(state, flow, exchange, now):
    if now >= exchange.deadline:
        # Copies may still be on their way to the agent.
        return [_finish(
            flow, exchange, verdict.Verdict.MAY_HAVE_RUN, 'deadline', b'')]
    if now < exchange.resend_at:
        return []
    _back_off(exchange, now)
    exchange.resends += 1
    state.resends += 1
    return [_request(flow, exchange, now)]


def _back_off(item, now):
    item.resend_after = min(MAXIMUM_RESEND_MS, item.resend_after * 2)
    item.resend_at = now + item.resend_after


def _find(state, event):
    flow = state.flow_by_key.get(event.flow_key)
    if flow is None:
        return None, None
    return flow, flow.exchange_by_number.get(event.number)


def _request(flow, exchange, now):
    acknowledged = min(flow.exchange_by_number, default=flow.next_number)
    return effect.SendPacket(flow.service, packet.Request(
        flow.flow_key, flow.token, exchange.number, exchange.idempotent,
        max(1, exchange.deadline - now), acknowledged, exchange.payload))


def _finish(flow, exchange, decided, reason, payload):
    del flow.exchange_by_number[exchange.number]
    return message.Outcome(
        flow.flow_key, exchange.ask, int(decided), reason, payload,
        exchange.resends)
