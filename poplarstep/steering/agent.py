r"""Stage of an agent that guards the target beside it.

Explanation
===========

Everything that the target gets passes here, so this is the one place where
draining, cold start, a data centre out of service and the service of a flow
are enforced, whatever a balancer believes. Packets of flows that are open
are always handed over: the target alone knows what it holds and returns the
rest.

See Also
========

poplarstep.steering.presence : heartbeats and announcements.
poplarstep.steering.admission : whether a flow may start.
"""

import collections

from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.steering import admission
from poplarstep.steering import agent_state as states
from poplarstep.steering import message
from poplarstep.steering import presence
from poplarstep.steering import segment as segments

TICK = presence.TICK
TICK_PERIOD_MS = 20
# Opening packets are handed over one ahead of the free slots, because the
# request of a new flow arrives a round trip later.
AHEAD = 1
# A request that the target does not answer by then counts no longer.
REQUEST_LIMIT_MS = 2000
MAXIMUM_FLOWS = 50_000
SWEEP_MS = 1000

HOLD = stage.Stage('hold')
# Handlers ``(state, event, now)`` by the type of the message in the event.
REQUESTS = stage.Stage('requests of balancers')


@HOLD.handles(dissemination.CatalogueChanged)
def catalogue_changed(state, event, now):
    r"""Notice when the data centre comes back into service.

    Its targets may have become cold meanwhile; they count as cold until
    the next heartbeat tells.
    """
    out = states.is_out(state)
    if state.was_out and not out:
        state.returned_at = now
    state.was_out = out
    return [event]


@HOLD.handles(message.FromNode)
def from_node(state, event, now):
    r"""Take in what a balancer sent."""
    handler = REQUESTS.handler_by_type.get(type(event.message))
    return handler(state, event, now) if handler else ()


@REQUESTS.handles(message.Offer)
def offer(state, event, now):
    r"""Take a new flow, let it wait, or return it."""
    state.counters.offers += 1
    offered = event.message
    flow = state.flow_by_key.get(offered.flow)
    if flow is not None and flow.ended_at is None:
        flow.balancer = event.source
        return [
            message.ToTarget(offered.datagram), _held(state, event.source,
                                                      offered.flow)]
    reason = admission.obstacle(state, offered.service, now)
    if not reason:
        reason = admission.no_room(state, offered)
    if reason:
        return [
            _not_taken(state, event.source, offered.flow, reason),
            _not_taken_line(state, offered.flow, reason)]
    if admission.may_start(state):
        return _start(state, event.source, offered, now)
    if not offered.may_wait:
        return [_not_taken(
            state, event.source, offered.flow, message.BUSY)]
    return _enqueue(state, event.source, offered, now)


def _start(state, balancer, offered, now):
    r"""Hand an opening packet to the target."""
    state.counters.taken += 1
    _remember(state, offered.flow, states.Flow(balancer, offered, now))
    state.occupancy.reserve(offered.flow, now)
    state.cold_starts.append(now)
    if len(state.cold_starts) > admission.MAXIMUM_QUEUE:
        admission.cold_starts(state, now)
    return [
        message.ToTarget(offered.datagram),
        _held(state, balancer, offered.flow),
        effect.LogChange('flow-started', (
            ('flow', segments.describe(offered.flow)),
            ('target', state.target.identity),
            ('occupied', state.occupancy.count()),
            ('waiting', state.waiting),
            ('heartbeat_age_ms', now - state.target.heard_at),
            ('version', state.catalogue.version)))]


def _remember(state, key, flow):
    if len(state.flow_by_key) >= MAXIMUM_FLOWS:
        del state.flow_by_key[next(iter(state.flow_by_key))]
    state.flow_by_key[key] = flow


def _enqueue(state, balancer, offered, now):
    state.counters.queued += 1
    queue = state.queue_by_priority.setdefault(
        offered.priority, collections.OrderedDict())
    if offered.flow not in queue:
        state.waiting += 1
    queue[offered.flow] = states.Waiting(balancer, offered, now)
    return [_held(state, balancer, offered.flow)]


def _held(state, balancer, key):
    return message.ToNode(balancer, message.Held(key, states.load(state)))


def _not_taken(state, balancer, key, reason):
    state.counters.not_taken += 1
    return message.ToNode(
        balancer, message.NotTaken(key, reason, states.load(state)))


def _not_taken_line(state, key, reason):
    return effect.LogChange('flow-not-taken', (
        ('flow', segments.describe(key)), ('reason', reason),
        ('occupied', state.occupancy.count()), ('waiting', state.waiting),
        ('version', state.catalogue.version)))


@REQUESTS.handles(message.Carry)
def carry(state, event, now):
    r"""Hand over a later packet; the target knows whether it holds it."""
    carried = event.message
    if _is_of_other_target(state, carried):
        _disown(state, carried, now)
        return [message.ToNode(event.source, message.Stray(
            carried.flow, carried.sending, carried.ending, carried.datagram,
            carried.acknowledged))]
    return _hand_over(state, event.source, carried, now)


def _is_of_other_target(state, carried):
    r"""Return whether the caller talks to another target that answered.

    When an offer is late, two targets may answer the opening packet; the
    caller keeps to the first answer. The target here still waits for the
    caller and would swallow its packets without a word.
    """
    flow = state.flow_by_key.get(carried.flow)
    return flow is not None and not segments.follows(
        carried.acknowledged, flow.sequence)


def _disown(state, carried, now):
    r"""Forget a flow that the caller has opened at another target."""
    state.counters.disowned += 1
    del state.flow_by_key[carried.flow]
    state.occupancy.end(carried.flow, now, answered=False)


@REQUESTS.handles(message.Find)
def find(state, event, now):
    r"""Hand over a packet if the flow is, or may be, held here."""
    carried = event.message.carry
    if _is_of_other_target(state, carried):
        _disown(state, carried, now)
        return []
    if carried.flow in state.flow_by_key:
        state.counters.found += 1
        return _hand_over(state, event.source, carried, now) + [
            _held(state, event.source, carried.flow)]
    if now - state.started_at > state.flow_limit_ms or (
            state.target is not None and state.target.from_start):
        return []
    # A target that runs for longer than this agent may hold the flow.
    state.counters.passed_unsure += 1
    return _hand_over(state, event.source, carried, now)


def _hand_over(state, balancer, carried, now):
    flow = state.flow_by_key.get(carried.flow)
    if flow is None:
        flow = states.Flow(balancer, None, now)
        _remember(state, carried.flow, flow)
    flow.balancer = balancer
    flow.last_used = now
    state.counters.carried += 1
    freed = False
    if carried.ending:
        freed = state.occupancy.end(carried.flow, now, answered=False)
    elif carried.sending and state.target is not None and (
            flow.opening is not None or flow.confirmed):
        # A packet that is only tried here may meet a target that is down
        # and would keep a place for a request that nobody runs.
        state.occupancy.begin(
            carried.flow, states.slots(state), now)
    effects = [message.ToTarget(carried.datagram)]
    return effects + (drain_queue(state, now) if freed else [])


@HOLD.handles(message.FromTarget)
def from_target(state, event, now):
    r"""Send a target's packet to the caller, or a returned one back."""
    segment = event.segment
    flow = state.flow_by_key.get(segment.flow)
    if segment.returned:
        return _returned(state, segment, flow, now)
    state.counters.to_caller += 1
    effects = [message.ToCaller(segment.flow, segment.datagram)]
    if flow is None:
        return effects
    flow.last_used = now
    if segment.opening:
        flow.sequence = segment.sequence
    if not flow.confirmed:
        flow.confirmed = True
        if flow.opening is None:
            # Found by asking; the balancer sends the rest straight here.
            effects.append(_held(state, flow.balancer, segment.flow))
    if segment.closing or segment.reset:
        flow.ended_at = now
    if segment.data_bytes or segment.closing or segment.reset:
        if state.occupancy.end(
                segment.flow, now, answered=segment.data_bytes > 0):
            effects.extend(drain_queue(state, now))
    return effects


def _returned(state, segment, flow, now):
    r"""Tell the balancer that the target does not hold a flow."""
    state.counters.returned += 1
    if flow is None:
        return []
    del state.flow_by_key[segment.flow]
    freed = state.occupancy.end(segment.flow, now, answered=False)
    if segment.opening:
        answer = message.NotTaken(
            segment.flow, message.RETURNED, states.load(state))
    else:
        answer = message.Stray(
            segment.flow, segment.data_bytes > 0,
            segment.closing or segment.reset, segment.datagram,
            segment.acknowledged)
    effects = [message.ToNode(flow.balancer, answer)]
    return effects + (drain_queue(state, now) if freed else [])


def drain_queue(state, now):
    r"""Start waiting flows while the target has room, by priority."""
    effects = []
    if state.target is None:
        return effects
    places = states.slots(state) + AHEAD
    while state.waiting and state.occupancy.count() < places:
        waiting = _next_waiting(state)
        state.queue_ms.observe(now - waiting.queued_at)
        reason = admission.obstacle(state, waiting.offer.service, now)
        if now >= waiting.deadline:
            state.counters.expired_waiting += 1
            reason = message.OVERLOADED
        if reason:
            effects.append(_not_taken(
                state, waiting.balancer, waiting.offer.flow, reason))
        else:
            effects.extend(_start(
                state, waiting.balancer, waiting.offer, now))
    return effects


def _next_waiting(state):
    priority = min(
        number for number, queue in state.queue_by_priority.items() if queue)
    _, waiting = state.queue_by_priority[priority].popitem(last=False)
    state.waiting -= 1
    return waiting


@HOLD.handles(timer.Tick)
def tick(state, event, now):
    r"""Give up places and forget flows from which nothing came."""
    if event.name != TICK:
        return [event]
    effects = []
    state.occupancy.expire(now, REQUEST_LIMIT_MS)
    if state.waiting:
        effects = drain_queue(state, now)
    if now >= state.sweep_due:
        state.sweep_due = now + SWEEP_MS
        _sweep(state, now)
    return effects


def _sweep(state, now):
    r"""Forget idle flows.

    A flow whose target has closed it stays as long as any other: its caller
    may have missed the end and sends again.
    """
    policy = state.catalogue.policy
    idle_ms = policy.flow_idle_ms if policy else states.DEFAULT_IDLE_MS
    for key, flow in list(state.flow_by_key.items()):
        if now - flow.last_used > idle_ms:
            del state.flow_by_key[key]
