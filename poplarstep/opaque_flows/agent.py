r"""Stage of an agent that decides which flows its target receives.

Explanation
===========

All packets to the target pass through this stage. Draining, the limit of a
cold start, a data centre that is out of service and the service of a flow
are enforced here, even if a balancer has an outdated configuration. Packets
of established flows are always forwarded: only the target knows which flows
it holds, and it returns packets of other flows.

See Also
========

poplarstep.opaque_flows.presence : heartbeats and announcements.
poplarstep.opaque_flows.admission : decides whether a flow may start.
"""

import collections
import math

from poplarstep.configuration import model
from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.opaque_flows import admission
from poplarstep.opaque_flows import agent_state as states
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import pauses
from poplarstep.opaque_flows import presence
from poplarstep.opaque_flows import segment as segments

TICK = presence.TICK
TICK_PERIOD_MS = 20
# Number of flows that may start from the queue beyond the number of slots. The
# request of a new flow arrives a round trip after its opening packet, and a
# slot would be idle meanwhile.
EXTRA_STARTS = 1
# A request without an answer for longer no longer occupies the target.
REQUEST_TIMEOUT_MS = 2000
MAXIMUM_FLOWS = 50_000
SWEEP_INTERVAL_MS = 1000

AGENT = stage.Stage('agent')
# Handlers ``(state, event, now)`` by the type of the message in the event.
BALANCER_MESSAGES = stage.Stage('requests of balancers')


@AGENT.handles(dissemination.CatalogueChanged)
def catalogue_changed(state, event, now):
    r"""Record when the data centre comes back into service.

    The target may have become cold meanwhile; it is treated as cold until
    the next heartbeat reports its state.
    """
    out = states.is_data_centre_out(state)
    if state.was_out_of_service and not out:
        state.back_in_service_at = now
    state.was_out_of_service = out
    return [event]


@AGENT.handles(message.FromNode)
def from_node(state, event, now):
    r"""Pass a message of a balancer to its handler; ignore other messages."""
    handler = BALANCER_MESSAGES.handler_by_type.get(type(event.message))
    return handler(state, event, now) if handler else ()


@BALANCER_MESSAGES.handles(message.Offer)
def offer(state, event, now):
    r"""Start a new flow, queue it, or reject it.

    An offer of a flow that has started already is a retransmission and is
    forwarded. An offer that may have waited during a pause of this process
    is dropped: the balancer has offered the flow elsewhere.
    """
    state.counters.offers += 1
    if pauses.may_be_stale(state, now):
        state.counters.outdated_offers += 1
        return []
    offered = event.message
    flow = state.flow_by_key.get(offered.flow)
    if flow is not None and flow.ended_at is None:
        flow.balancer = event.source
        return [
            message.ToTarget(offered.datagram),
            _accepted(state, event.source, offered.flow)]
    reason = admission.rejection_reason(state, offered.service, now)
    if not reason and admission.is_queued(state, offered.flow):
        # A copy of the opening packet: rejecting it would refuse a flow that
        # starts later.
        return [_accepted(state, event.source, offered.flow)]
    if not reason:
        reason = admission.overload_reason(state, offered)
    if reason:
        return [
            _rejected(state, event.source, offered.flow, reason),
            _rejection_log(state, offered.flow, reason)]
    if admission.has_free_slot(state):
        return _start(state, event.source, offered, now)
    if not offered.may_queue:
        return [_rejected(
            state, event.source, offered.flow, message.BUSY)]
    return _queue_offer(state, event.source, offered, now)


def _start(state, balancer, offered, now):
    r"""Forward an opening packet to the target."""
    state.counters.taken += 1
    _add_flow(state, offered.flow, states.Flow(balancer, offered, now))
    state.occupancy.reserve(offered.flow, now)
    state.start_times.append(now)
    if len(state.start_times) > admission.MAXIMUM_QUEUED_OFFERS:
        admission.starts_in_window(state, now)
    return [
        message.ToTarget(offered.datagram),
        _accepted(state, balancer, offered.flow),
        effect.LogEvent('flow-started', (
            ('flow', segments.describe(offered.flow)),
            ('target', state.target.identity),
            ('occupied', state.occupancy.count()),
            ('waiting', state.queue_length),
            ('heartbeat_age_ms', now - state.target.last_heartbeat_at),
            ('version', state.catalogue.version)))]


def _add_flow(state, key, flow):
    if len(state.flow_by_key) >= MAXIMUM_FLOWS:
        del state.flow_by_key[next(iter(state.flow_by_key))]
    state.flow_by_key[key] = flow


def _queue_offer(state, balancer, offered, now):
    state.counters.queued += 1
    queue = state.queue_by_priority.setdefault(
        offered.priority, collections.OrderedDict())
    if offered.flow not in queue:
        state.queue_length += 1
    queue[offered.flow] = states.QueuedOffer(balancer, offered, now)
    return [_accepted(state, balancer, offered.flow)]


def _accepted(state, balancer, key):
    return message.ToNode(
        balancer, message.FlowAccepted(key, states.load(state)))


def _rejected(state, balancer, key, reason):
    state.counters.not_taken += 1
    return message.ToNode(
        balancer, message.FlowRejected(key, reason, states.load(state)))


def _rejection_log(state, key, reason):
    return effect.LogEvent('flow-not-taken', (
        ('flow', segments.describe(key)), ('reason', reason),
        ('occupied', state.occupancy.count()), ('waiting', state.queue_length),
        ('version', state.catalogue.version)))


@BALANCER_MESSAGES.handles(message.FlowPacket)
def flow_packet(state, event, now):
    r"""Forward a later packet; the target returns it if it lacks the flow."""
    packet = event.message
    if _belongs_to_other_target(state, packet):
        _forget_flow(state, packet, now)
        return [message.ToNode(event.source, message.ReturnedPacket(
            packet.flow, packet.has_data, packet.ending, packet.datagram,
            packet.acknowledged))]
    return _forward(state, event.source, packet, now)


def _belongs_to_other_target(state, packet):
    r"""Return whether the caller has opened the flow at another target.

    After a late offer two targets may answer the opening packet. The caller
    uses the first answer and acknowledges the sequence numbers of that
    target. The other target still waits for the caller, and would drop its
    packets without returning them.
    """
    flow = state.flow_by_key.get(packet.flow)
    return flow is not None and not segments.is_in_window(
        packet.acknowledged, flow.first_sequence)


def _forget_flow(state, packet, now):
    r"""Remove a flow that the caller has opened at another target."""
    state.counters.disowned += 1
    del state.flow_by_key[packet.flow]
    state.occupancy.release(packet.flow, now, answered=False)


@BALANCER_MESSAGES.handles(message.FlowLookup)
def flow_lookup(state, event, now):
    r"""Forward a packet if the target holds, or may hold, the flow."""
    packet = event.message.packet
    if _belongs_to_other_target(state, packet):
        _forget_flow(state, packet, now)
        return []
    if packet.flow in state.flow_by_key:
        state.counters.found += 1
        return _forward(state, event.source, packet, now) + [
            _accepted(state, event.source, packet.flow)]
    if not _may_hold_unknown_flow(state, packet.flow, now):
        return []
    state.counters.passed_unsure += 1
    return _forward(state, event.source, packet, now)


def _may_hold_unknown_flow(state, flow, now):
    r"""Return whether an earlier run of this agent may have started a flow."""
    if now - state.started_at > state.flow_limit_ms:
        return False
    if state.target is None:
        return True
    return not state.target.no_earlier_agent_run and (
        _was_offered_to_service(state, flow))


def _was_offered_to_service(state, flow):
    r"""Return whether the flow's route belongs or belonged to the target.

    True without a configuration, which tells neither.
    """
    service = state.catalogue.service_by_name.get(state.target.service)
    route = state.catalogue.route_by_address.get(segments.service_of(flow))
    if service is None or route is None:
        return state.catalogue.policy is None
    return service.number in model.services_of_flows(route)


@BALANCER_MESSAGES.handles(message.FlowQuery)
def flow_query(state, event, now):
    r"""Tell a balancer whether the target holds, or may hold, a flow."""
    query = event.message
    if _belongs_to_other_target(state, query):
        _forget_flow(state, query, now)
        return []
    if query.flow in state.flow_by_key:
        state.counters.found += 1
        return [_accepted(state, event.source, query.flow)]
    if _may_hold_unknown_flow(state, query.flow, now):
        return [message.ToNode(
            event.source, message.FlowUncertain(query.flow))]
    return []


def _forward(state, balancer, packet, now):
    flow = state.flow_by_key.get(packet.flow)
    if flow is None:
        flow = states.Flow(balancer, None, now)
        _add_flow(state, packet.flow, flow)
    flow.balancer = balancer
    flow.last_used = now
    state.counters.carried += 1
    freed = False
    if packet.ending:
        freed = state.occupancy.release(packet.flow, now, answered=False)
    elif packet.has_data and state.target is not None and (
            flow.offer is not None or flow.answered):
        # Other flows are not counted: the target may not hold the flow or
        # may be down, and would be taken for busy with no request running.
        state.occupancy.start_request(
            packet.flow, states.slots(state), now)
    effects = [message.ToTarget(packet.datagram)]
    return effects + (start_queued_flows(state, now) if freed else [])


@AGENT.handles(message.FromTarget)
def from_target(state, event, now):
    r"""Send a target's packet to the caller; handle a returned packet."""
    segment = event.segment
    flow = state.flow_by_key.get(segment.flow)
    if segment.returned:
        return _handle_returned(state, segment, flow, now)
    state.counters.to_caller += 1
    effects = [message.ToCaller(segment.flow, segment.datagram)]
    if flow is None:
        return effects
    flow.last_used = now
    if segment.opening:
        flow.first_sequence = segment.sequence
    if not flow.answered:
        flow.answered = True
        if flow.offer is None:
            # The balancer sent a lookup; from now on it sends packets here.
            effects.append(_accepted(state, flow.balancer, segment.flow))
    if segment.closing or segment.reset:
        flow.ended_at = now
    if segment.data_bytes or segment.closing or segment.reset:
        if state.occupancy.release(
                segment.flow, now, answered=segment.data_bytes > 0):
            effects.extend(start_queued_flows(state, now))
    return effects


def _handle_returned(state, segment, flow, now):
    r"""Tell the balancer that the target returned a packet of a flow."""
    state.counters.returned += 1
    if flow is None:
        return []
    del state.flow_by_key[segment.flow]
    freed = state.occupancy.release(segment.flow, now, answered=False)
    if segment.opening:
        answer = message.FlowRejected(
            segment.flow, message.RETURNED, states.load(state))
    else:
        answer = message.ReturnedPacket(
            segment.flow, segment.data_bytes > 0,
            segment.closing or segment.reset, segment.datagram,
            segment.acknowledged)
    effects = [message.ToNode(flow.balancer, answer)]
    return effects + (start_queued_flows(state, now) if freed else [])


def start_queued_flows(state, now):
    r"""Start queued flows while the target has capacity, by priority."""
    effects = []
    if state.target is None:
        return effects
    capacity = states.slots(state) + EXTRA_STARTS
    if state.leaving or state.departed or state.target.leaving:
        # All queued flows are rejected below: other targets can start them
        # before this process or its target ends.
        capacity = math.inf
    while state.queue_length and state.occupancy.count() < capacity:
        queued_offer = _next_queued(state)
        state.queue_ms.observe(now - queued_offer.queued_at)
        reason = admission.rejection_reason(
            state, queued_offer.offer.service, now)
        if now >= queued_offer.deadline:
            state.counters.expired_waiting += 1
            reason = message.OVERLOADED
        if reason:
            effects.append(_rejected(
                state, queued_offer.balancer, queued_offer.offer.flow, reason))
        else:
            effects.extend(_start(
                state, queued_offer.balancer, queued_offer.offer, now))
    return effects


def _next_queued(state):
    priority = min(
        number for number, queue in state.queue_by_priority.items() if queue)
    _, queued_offer = state.queue_by_priority[priority].popitem(last=False)
    state.queue_length -= 1
    return queued_offer


@AGENT.due_at(TICK)
def due_at(state, now):
    r"""Return when the queue, a request or a heartbeat needs a tick."""
    if state.queue_length or state.occupancy.count():
        return now
    due = min(
        pauses.check_due_at(state, now), presence.silence_due_at(state))
    if state.flow_by_key:
        due = min(due, state.next_sweep_at)
    return due


@AGENT.handles(timer.Tick)
def tick(state, event, now):
    r"""Expire requests, start queued flows and remove idle flows."""
    if event.name != TICK:
        return [event]
    effects = pauses.detect(state, now)
    state.occupancy.expire(now, REQUEST_TIMEOUT_MS)
    if state.queue_length:
        effects += start_queued_flows(state, now)
    if now >= state.next_sweep_at:
        state.next_sweep_at = now + SWEEP_INTERVAL_MS
        _sweep(state, now)
    return effects


def _sweep(state, now):
    r"""Remove idle flows.

    A flow that the target has closed is kept for the same time: the last
    packets may be lost, and the caller then retransmits its packets.
    """
    policy = state.catalogue.policy
    idle_ms = policy.flow_idle_ms if policy else states.DEFAULT_IDLE_MS
    for key, flow in list(state.flow_by_key.items()):
        if now - flow.last_used > idle_ms:
            del state.flow_by_key[key]
