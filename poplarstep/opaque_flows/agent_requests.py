r"""Holds requests of open flows until the target has capacity for them.

Explanation
===========

The first request of a flow follows its opening packet, for which a slot was
reserved, and is never held. A further request begins with the first data
packet after the target's last data, by its sequence number. While the target
runs as many requests as it has slots, plus ``agent_flows.EXTRA_STARTS``, that
packet and the later ones of the flow wait in the ``RequestQueue``. Packets
without data pass: they acknowledge the previous answer, whose transfer would
stall otherwise.

A target holds its flows until it ends, so held packets are never returned to
a balancer. They are forwarded as soon as the target or this agent is about to
end; an instance that has replaced the target returns them itself.
"""

import math

from poplarstep.core import effect
from poplarstep.opaque_flows import agent_flows
from poplarstep.opaque_flows import agent_state as states
from poplarstep.opaque_flows import request_queue
from poplarstep.opaque_flows import segment as segments

# The end of a phase of holding is logged when no request has been held for
# this time, so at most two lines in it describe the phases.
QUIET_MS = 1000


def forward(state: states.FlowAgentState, balancer, packet, now):
    r"""Forward a packet of a flow, or hold it until a slot is free."""
    if not state.queue.holds_requests:
        return agent_flows.forward(state, balancer, packet, now)
    held = state.queue.held_by_flow.get(packet.flow)
    if held is not None and (packet.has_data or packet.ending):
        return _add_packet(state, held, balancer, packet, now)
    flow = state.flow_by_key.get(packet.flow)
    if flow is None or not packet.has_data:
        return _pass(state, balancer, packet, now)
    if not _begins_further_request(flow, packet):
        return _pass(state, balancer, packet, now)
    flow.awaits_request = False
    flow.is_reused = True
    route = state.catalogue.route_by_address.get(
        segments.service_of(packet.flow))
    if route is None or _is_ending(state, now) or not _is_busy(state):
        agent_flows.count_start(state, packet.flow, now)
        return _pass(state, balancer, packet, now)
    if not state.queue.has_room(packet):
        state.counters.held_overflow += 1
        agent_flows.count_start(state, packet.flow, now)
        return _pass(state, balancer, packet, now)
    return _hold(state, flow, request_queue.HeldRequest(
        route, balancer, packet, now), now)


def _begins_further_request(flow: states.Flow, packet):
    r"""Return whether a packet with data begins a request after another one.

    The caller has sent data before, and the target has answered since then.
    Without sequence numbers a copy can't be told from a request; none is held.
    """
    return (
        flow.awaits_request
        and segments.NO_SEQUENCE_NUMBER not in (
            packet.sequence, flow.caller_sequence)
        and request_queue.is_after(packet.sequence, flow.caller_sequence))


def _is_busy(state: states.FlowAgentState):
    r"""Return whether a new request has to wait."""
    return len(state.queue) > 0 or state.occupancy.count() >= (
        states.slots(state) + agent_flows.EXTRA_STARTS)


def _is_ending(state: states.FlowAgentState, now):
    r"""Return whether the target or this agent may end soon."""
    return (
        state.leaving or states.is_absent(state, now) or state.target.leaving
        or states.is_data_centre_out(state))


def _hold(state: states.FlowAgentState, flow: states.Flow, entry, now):
    r"""Hold a request, and start what has capacity now."""
    state.counters.held_requests += 1
    flow.balancer = entry.balancer
    flow.last_used = now
    state.queue.hold(entry)
    effects = []
    if state.queue.quiet_at is None:
        effects.append(_log(state, 'requests-held', (
            ('flow', segments.describe(entry.flow)),)))
    state.queue.quiet_at = now + QUIET_MS
    return effects + agent_flows.start_queued_flows(state, now)


def _add_packet(state: states.FlowAgentState, held, balancer, packet, now):
    r"""Add a later packet of a flow to its held request.

    A copy of a held packet replaces it, a copy of an earlier one passes. If
    there is no room, the flow's packets are forwarded in their order.
    """
    held.balancer = balancer
    flow = state.flow_by_key.get(packet.flow)
    if flow is not None:
        flow.balancer = balancer
        flow.last_used = now
        if packet.has_data and not request_queue.is_after(
                packet.sequence, flow.caller_sequence):
            return _pass(state, balancer, packet, now)
    if state.queue.replace_copy(held, packet):
        state.counters.held_copies += 1
        return []
    if state.queue.has_room(packet):
        state.queue.append(held, packet)
        return []
    state.counters.held_overflow += 1
    return release_flow(state, packet.flow, now) + _pass(
        state, balancer, packet, now)


def _pass(state: states.FlowAgentState, balancer, packet, now):
    r"""Forward a packet now.

    A copy of a request that the target has got does not occupy it again. A
    flow that has carried one request only is treated as without the queue.
    """
    flow = state.flow_by_key.get(packet.flow)
    is_copy = flow is not None and flow.is_reused and (
        not request_queue.is_after(packet.sequence, flow.caller_sequence))
    return agent_flows.forward(state, balancer, packet, now, is_copy)


@agent_flows.WAITING.handles(request_queue.HeldRequest)
def start_held_request(state: states.FlowAgentState, held, now):
    r"""Forward a held request, or drop it if its caller has given up."""
    if now >= held.deadline:
        return _drop(state, held, now)
    return _release(state, held, now)


def _release(state: states.FlowAgentState, held, now):
    state.queue.held_ms.observe(now - held.queued_at)
    agent_flows.count_start(state, held.flow, now)
    return [
        item for packet in held.packets
        for item in _pass(state, held.balancer, packet, now)]


def _drop(state: states.FlowAgentState, held, now):
    r"""Drop a request whose caller has given up; a close is forwarded."""
    state.counters.held_expired += 1
    effects = [_log(state, 'held-request-expired', (
        ('flow', segments.describe(held.flow)),
        ('waited_ms', now - held.queued_at)))]
    for packet in held.packets:
        if packet.ending:
            effects += _pass(state, held.balancer, packet, now)
    return effects


def release_flow(state: states.FlowAgentState, key, now):
    r"""Forward the held request of a flow, if there is one."""
    held = state.queue.remove_held(key)
    if held is None:
        return []
    state.counters.held_released += 1
    return _release(state, held, now)


def release_all(state: states.FlowAgentState, now):
    r"""Forward all held requests, in order of arrival."""
    keys = list(state.queue.held_by_flow)
    effects = [item for key in keys for item in release_flow(state, key, now)]
    if keys:
        effects.append(_log(state, 'held-requests-released', (
            ('requests', len(keys)),)))
    return effects


def release_if_ending(state: states.FlowAgentState, now):
    r"""Forward all held requests if the target or this agent may end soon."""
    if not state.queue.held_by_flow or not _is_ending(state, now):
        return []
    return release_all(state, now)


def due_at(state):
    r"""Return when the end of a phase of holding is logged, in ms."""
    quiet_at = state.queue.quiet_at
    return math.inf if quiet_at is None else quiet_at


def tick(state: states.FlowAgentState, now):
    r"""Drop expired requests and log the end of a phase of holding."""
    queue = state.queue
    effects = [
        item for held in list(queue.held_by_flow.values())
        if now >= held.deadline
        for item in _drop(state, queue.remove_held(held.flow), now)]
    if queue.quiet_at is not None and now >= queue.quiet_at and (
            not queue.held_by_flow):
        queue.quiet_at = None
        effects.append(_log(state, 'no-requests-held', ()))
    return effects


def _log(state: states.FlowAgentState, name, fields):
    counters = state.counters
    return effect.LogEvent(name, fields + (
        ('occupied', state.occupancy.count()),
        ('waiting', len(state.queue)), ('held', counters.held_requests),
        ('overflow', counters.held_overflow),
        ('expired', counters.held_expired),
        ('version', state.catalogue.version)))
