r"""Starts, queues, rejects and forwards the flows of an agent's target."""

import math

from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.opaque_flows import admission
from poplarstep.opaque_flows import agent_state as states
from poplarstep.opaque_flows import agent_ties
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import objectives
from poplarstep.opaque_flows import request_queue
from poplarstep.opaque_flows import segment as segments

# Number of flows that may start from the queue beyond the number of slots. The
# request of a new flow arrives a round trip after its opening packet, and a
# slot would be idle meanwhile.
EXTRA_STARTS = 1
MAXIMUM_FLOWS = 50_000

# Handlers ``(state, event, now)`` by the type of the message in the event.
BALANCER_MESSAGES = stage.Stage('requests of balancers')
# Handlers ``(state, entry, now)`` that start a waiting entry, by its type.
WAITING = stage.Stage('entries of the queue')


def start(state: states.FlowAgentState, balancer, offered, now):
    r"""Forward an opening packet to the target."""
    state.counters.taken += 1
    add_flow(state, offered.flow, states.Flow(balancer, offered, now), now)
    state.occupancy.reserve(offered.flow, now)
    count_start(state, offered.flow, now)
    state.health.open_flow(
        offered.flow, now, state.occupancy.service_us, states.slots(state))
    state.demand.open_flows += 1
    state.start_times.append(now)
    if len(state.start_times) > admission.MAXIMUM_QUEUED_OFFERS:
        admission.starts_in_window(state, now)
    return [
        message.ToTarget(offered.datagram),
        *agent_ties.start_answers(state, balancer, offered),
        effect.LogEvent('flow-started', (
            ('flow', segments.describe(offered.flow)),
            ('target', state.target.identity),
            ('occupied', state.occupancy.count()),
            ('waiting', state.queue_length),
            ('heartbeat_age_ms', now - state.target.last_heartbeat_at),
            ('version', state.catalogue.version)))]


def add_flow(state: states.FlowAgentState, key, flow: states.Flow, now):
    if len(state.flow_by_key) >= MAXIMUM_FLOWS:
        state.table_full_at = now
        del state.flow_by_key[next(iter(state.flow_by_key))]
    state.flow_by_key[key] = flow


def queue_offer(state: states.FlowAgentState, balancer, offered, now):
    state.counters.queued += 1
    route = state.catalogue.route_by_address.get(
        segments.service_of(offered.flow))
    # The wait limit leaves the other part of the objective.
    other_part_ms = 0 if route is None else int(
        (1 - objectives.QUEUE_FRACTION) * request_queue.objective_ms(route))
    state.queue.add_offer(request_queue.QueuedOffer(
        balancer, offered, now, now + offered.wait_limit_ms + other_part_ms))
    return [accepted(state, balancer, offered.flow)]


def count_start(state: states.FlowAgentState, flow, now):
    r"""Count the start of a request against its caller."""
    if not state.queue.holds_requests:
        return
    route = state.catalogue.route_by_address.get(segments.service_of(flow))
    if route is not None:
        state.queue.order.started(
            request_queue.caller_of(flow), now + (
                request_queue.RECENT_OBJECTIVES
                * request_queue.objective_ms(route)), now)


def accepted(state: states.FlowAgentState, balancer, key):
    return message.ToNode(
        balancer, message.FlowAccepted(key, states.load(state)))


def rejected(state: states.FlowAgentState, balancer, key, reason):
    state.counters.not_taken += 1
    return message.ToNode(
        balancer, message.FlowRejected(key, reason, states.load(state)))


def rejection_log(state: states.FlowAgentState, key, reason):
    return effect.LogEvent('flow-not-taken', (
        ('flow', segments.describe(key)), ('reason', reason),
        ('occupied', state.occupancy.count()), ('waiting', state.queue_length),
        ('version', state.catalogue.version)))


def forward(
        state: states.FlowAgentState, balancer, packet, now, is_copy=False):
    r"""Forward a packet; a copy of an earlier one occupies no slot."""
    flow = state.flow_by_key.get(packet.flow)
    if flow is None:
        flow = states.Flow(balancer, None, now)
        add_flow(state, packet.flow, flow, now)
    flow.balancer = balancer
    flow.last_used = now
    if packet.acknowledged != segments.NO_SEQUENCE_NUMBER:
        flow.acknowledged = packet.acknowledged
    state.counters.carried += 1
    is_new = packet.has_data and _record_data(flow, packet)
    freed = False
    if packet.ending:
        freed = state.occupancy.release(packet.flow, now, answered=False)
        state.health.abandon(packet.flow)
    elif packet.has_data and not is_copy and state.target is not None and (
            flow.offer is not None or flow.answered):
        # Other flows are not counted: the target may not hold the flow or
        # may be down, and would be taken for busy with no request running.
        state.occupancy.start_request(
            packet.flow, states.slots(state), now)
        if is_new:
            state.health.start_request(
                packet.flow, now, state.occupancy.service_us,
                states.slots(state))
    effects = [message.ToTarget(packet.datagram)]
    effects += agent_ties.confirm_open(flow, packet)
    return effects + (start_queued_flows(state, now) if freed else [])


def _record_data(flow: states.Flow, packet):
    r"""Record the sequence number of data; return whether it is no copy.

    Without sequence numbers a copy can't be told from new data.
    """
    if packet.sequence == segments.NO_SEQUENCE_NUMBER:
        return True
    if not request_queue.is_after(packet.sequence, flow.caller_sequence):
        return False
    flow.caller_sequence = packet.sequence
    return True


def start_queued_flows(state: states.FlowAgentState, now):
    r"""Start waiting entries while the target has capacity, in order."""
    effects = []
    if state.target is None:
        return effects
    capacity = states.slots(state) + EXTRA_STARTS
    if state.leaving or state.departed or state.target.leaving:
        # All queued flows are rejected below: other targets can start them
        # before this process or its target ends.
        capacity = math.inf
    while state.queue and state.occupancy.count() < capacity:
        entry = state.queue.take(state.occupancy.service_us / 1000, now)
        effects.extend(WAITING.process(state, entry, now))
    return effects


@WAITING.handles(request_queue.QueuedOffer)
def start_queued_offer(state: states.FlowAgentState, queued_offer, now):
    r"""Start a queued flow, or reject it if it may not start any more."""
    state.queue_ms.observe(now - queued_offer.queued_at)
    reason = admission.rejection_reason(
        state, queued_offer.offer.service, now)
    if now >= queued_offer.deadline:
        state.counters.expired_waiting += 1
        reason = message.OVERLOADED
    if reason:
        return [rejected(
            state, queued_offer.balancer, queued_offer.offer.flow, reason)]
    return start(state, queued_offer.balancer, queued_offer.offer, now)
