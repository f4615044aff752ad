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

poplarstep.opaque_flows.agent_flows : starts, queues and forwards flows.
poplarstep.opaque_flows.agent_requests : holds requests of open flows.
poplarstep.opaque_flows.agent_lookups : answers lookups of balancers.
poplarstep.opaque_flows.claims : flows that balancers tell a restarted agent.
poplarstep.opaque_flows.presence : heartbeats and announcements.
poplarstep.opaque_flows.admission : decides whether a flow may start.
"""

from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.opaque_flows import admission
from poplarstep.opaque_flows import agent_flows
from poplarstep.opaque_flows import agent_lookups
from poplarstep.opaque_flows import agent_requests
from poplarstep.opaque_flows import agent_state as states
from poplarstep.opaque_flows import agent_ties
from poplarstep.opaque_flows import claims
from poplarstep.opaque_flows import load_reports
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import pauses
from poplarstep.opaque_flows import presence
from poplarstep.opaque_flows import segment as segments
from poplarstep.opaque_flows import target_probe

TICK = presence.TICK
TICK_PERIOD_MS = 20
# A request without an answer for longer no longer occupies the target.
REQUEST_TIMEOUT_MS = 2000
SWEEP_INTERVAL_MS = 1000

AGENT = stage.Stage('agent')


@AGENT.handles(dissemination.CatalogueChanged)
def catalogue_changed(state: states.FlowAgentState, event, now):
    r"""Record when the data centre comes back into service.

    The target may have become cold meanwhile; it is treated as cold until
    the next heartbeat reports its state.
    """
    out = states.is_data_centre_out(state)
    if state.was_out_of_service and not out:
        state.back_in_service_at = now
    state.was_out_of_service = out
    return [event, *agent_requests.release_if_ending(state, now)]


@AGENT.handles(message.FromNode)
def from_node(state: states.FlowAgentState, event, now):
    r"""Pass a message of a balancer to its handler; ignore other messages."""
    handler = agent_flows.BALANCER_MESSAGES.handler_by_type.get(
        type(event.message))
    if handler is None:
        return ()
    load_reports.observe(state, now)
    effects = handler(state, event, now)
    return [*effects, *load_reports.after_message(state, event, now)]


@agent_flows.BALANCER_MESSAGES.handles(message.Offer)
def offer(state: states.FlowAgentState, event, now):
    r"""Start a new flow, queue it, or reject it.

    An offer that may have waited during a pause of this process is dropped:
    the balancer has offered the flow elsewhere.
    """
    state.counters.offers += 1
    if pauses.may_be_stale(state, now):
        state.counters.outdated_offers += 1
        return []
    offered = event.message
    claims.withdraw(state, offered.flow)
    flow = state.flow_by_key.get(offered.flow)
    if flow is not None and flow.ended_at is None:
        return _forward_copy(state, event, flow, now)
    if agent_ties.rejects_offer(state, event.source, offered, now):
        return agent_ties.reject_offer(state, event.source, offered)
    reason = admission.rejection_reason(state, offered.service, now)
    if not reason and admission.is_queued(state, offered.flow):
        # A copy of the opening packet: rejecting it would refuse a flow that
        # starts later.
        return [agent_flows.accepted(state, event.source, offered.flow)]
    if not reason:
        reason = admission.overload_reason(state, offered)
    if reason:
        return [
            agent_flows.rejected(state, event.source, offered.flow, reason),
            agent_flows.rejection_log(state, offered.flow, reason)]
    if admission.has_free_slot(state):
        return agent_flows.start(state, event.source, offered, now)
    if not offered.may_queue:
        return [agent_flows.rejected(
            state, event.source, offered.flow, message.BUSY)]
    return agent_flows.queue_offer(state, event.source, offered, now)


def _forward_copy(
        state: states.FlowAgentState, event, flow: states.Flow, now):
    r"""Forward a copy of the opening packet of a flow that has started.

    A target that may have ended gets no copy: a target of another service
    that has taken over its address would accept it as a new flow. The flow is
    offered elsewhere then, unless the caller has opened it here.
    """
    key = event.message.flow
    is_absent = states.is_absent(state, now)
    is_opened = flow.acknowledged != segments.NO_SEQUENCE_NUMBER
    if is_absent and not is_opened:
        return [
            agent_flows.rejected(
                state, event.source, key, message.MAY_HAVE_STARTED),
            agent_flows.rejection_log(state, key, message.MAY_HAVE_STARTED)]
    flow.balancer = event.source
    effects = [agent_flows.accepted(state, event.source, key)]
    if not is_absent:
        effects.append(message.ToTarget(event.message.datagram))
    return effects


@agent_flows.BALANCER_MESSAGES.handles(message.FlowPacket)
def flow_packet(state: states.FlowAgentState, event, now):
    r"""Forward a later packet; the target returns it if it lacks the flow."""
    packet = event.message
    if agent_lookups.belongs_to_other_target(state, packet):
        agent_lookups.forget_flow(state, packet, now)
        return _return_packet(event.source, packet)
    if target_probe.has_ended(state) or (
            agent_ties.is_held_elsewhere(state, packet, now)):
        return _return_packet(event.source, packet)
    return agent_requests.forward(state, event.source, packet, now)


def _return_packet(balancer, packet):
    return [message.ToNode(balancer, message.ReturnedPacket(
        packet.flow, packet.has_data, packet.ending, packet.datagram,
        packet.acknowledged, packet.sequence))]


@agent_flows.BALANCER_MESSAGES.handles(message.OfferWithdrawn)
def offer_withdrawn(state: states.FlowAgentState, event, now):
    r"""Remove a tied flow that the other agent has started."""
    effects = agent_ties.withdraw(state, event, now)
    return effects + agent_flows.start_queued_flows(state, now)


@AGENT.handles(message.FromTarget)
def from_target(state: states.FlowAgentState, event, now):
    r"""Send a target's packet to the caller; handle a returned packet."""
    load_reports.observe(state, now)
    segment = event.segment
    flow = state.flow_by_key.get(segment.flow)
    if segment.returned:
        return _handle_returned(state, segment, flow, now)
    state.counters.to_caller += 1
    state.health.receive(segment, now)
    effects = [message.ToCaller(segment.flow, segment.datagram)]
    if flow is None:
        _learn_flow(state, segment, now)
        return effects
    flow.last_used = now
    if segment.opening:
        flow.first_sequence = segment.sequence
    if not flow.answered:
        flow.answered = True
        flow.claimed = False
        if flow.offer is None:
            # The balancer sent a lookup; from now on it sends packets here.
            effects.append(agent_flows.accepted(
                state, flow.balancer, segment.flow))
    if segment.closing or segment.reset:
        flow.ended_at = now
        effects.extend(agent_requests.release_flow(state, segment.flow, now))
    if segment.data_bytes:
        flow.awaits_request = True
    if segment.data_bytes or segment.closing or segment.reset:
        if state.occupancy.release(
                segment.flow, now, answered=segment.data_bytes > 0):
            effects.extend(agent_flows.start_queued_flows(state, now))
    return effects


def _learn_flow(state: states.FlowAgentState, segment, now):
    r"""Record an unknown flow of which the target sends data: it holds it.

    An earlier run of this agent started the flow. No balancer is known until
    one sends a packet of it, and the target returns only what it has got.
    """
    if not state.resets_dead_flows or not segment.data_bytes or (
            segment.closing or segment.reset):
        return
    flow = states.Flow(None, None, now)
    flow.answered = True
    flow.awaits_request = True
    agent_flows.add_flow(state, segment.flow, flow, now)
    state.counters.flows_learned += 1


def _handle_returned(
        state: states.FlowAgentState, segment, flow: states.Flow, now):
    r"""Tell the balancer that the target returned a packet of a flow."""
    state.counters.returned += 1
    if flow is None:
        return []
    del state.flow_by_key[segment.flow]
    claims.record_return(state, segment.flow, flow)
    state.health.abandon(segment.flow)
    freed = state.occupancy.release(segment.flow, now, answered=False)
    if segment.opening:
        answer = message.FlowRejected(
            segment.flow, message.RETURNED, states.load(state))
    else:
        answer = message.ReturnedPacket(
            segment.flow, segment.data_bytes > 0,
            segment.closing or segment.reset, segment.datagram,
            segment.acknowledged, segment.sequence)
    effects = []
    if flow.balancer is not None:
        effects.append(message.ToNode(flow.balancer, answer))
    effects += agent_requests.release_flow(state, segment.flow, now)
    if freed:
        effects += agent_flows.start_queued_flows(state, now)
    return effects


@AGENT.due_at(TICK)
def due_at(state, now):
    r"""Return when the queue, a request or a heartbeat needs a tick."""
    if state.queue_length or state.occupancy.count():
        return now
    due = min(
        pauses.check_due_at(state, now), presence.silence_due_at(state),
        agent_requests.due_at(state), claims.due_at(state))
    if state.flow_by_key:
        due = min(due, state.next_sweep_at)
    return due


@AGENT.handles(timer.Tick)
def tick(state: states.FlowAgentState, event, now):
    r"""Expire requests, start queued flows and remove idle flows."""
    if event.name != TICK:
        return [event]
    load_reports.observe(state, now)
    effects = pauses.detect(state, now)
    state.occupancy.expire(now, REQUEST_TIMEOUT_MS)
    effects += agent_requests.tick(state, now) + claims.tick(state, now)
    if state.pauses.resumed_at is not None:
        # Answers may still wait in the socket.
        state.health.forget_awaited()
    state.health.expire(now)
    if state.queue_length:
        effects += agent_flows.start_queued_flows(state, now)
    if now >= state.next_sweep_at:
        state.next_sweep_at = now + SWEEP_INTERVAL_MS
        _sweep(state, now)
    return effects


def _sweep(state: states.FlowAgentState, now):
    r"""Remove idle flows.

    A flow that the target has closed is kept for the same time: the last
    packets may be lost, and the caller then retransmits its packets.
    """
    policy = state.catalogue.policy
    idle_ms = policy.flow_idle_ms if policy else states.DEFAULT_IDLE_MS
    for key, flow in list(state.flow_by_key.items()):
        if now - flow.last_used > idle_ms:
            del state.flow_by_key[key]
    state.demand.open_flows = states.open_flows(state)
