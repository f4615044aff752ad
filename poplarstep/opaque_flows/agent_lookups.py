r"""Answers balancers that look for the agent of a flow.

Explanation
===========

An agent knows the flows that it started and those of which its target has
sent a packet. An agent that started after its target does not know the others
that its target holds. It passes their packets to the target, which returns
those of flows that it does not hold.
"""

import typing

from poplarstep.configuration import model
from poplarstep.opaque_flows import agent_flows
from poplarstep.opaque_flows import agent_requests
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import segment as segments
from poplarstep.opaque_flows import target_probe

if typing.TYPE_CHECKING:
    from poplarstep.opaque_flows import agent_state as states


def belongs_to_other_target(state: 'states.FlowAgentState', packet):
    r"""Return whether the caller has opened the flow at another target.

    After a late offer two targets may answer the opening packet. The caller
    uses the first answer and acknowledges the sequence numbers of that
    target. The other target still waits for the caller, and would drop its
    packets without returning them.
    """
    flow = state.flow_by_key.get(packet.flow)
    return flow is not None and not segments.is_in_window(
        packet.acknowledged, flow.first_sequence)


def forget_flow(state: 'states.FlowAgentState', packet, now):
    r"""Remove a flow that the caller has opened at another target."""
    state.counters.disowned += 1
    del state.flow_by_key[packet.flow]
    state.occupancy.release(packet.flow, now, answered=False)
    state.health.abandon(packet.flow)


@agent_flows.BALANCER_MESSAGES.handles(message.FlowLookup)
def flow_lookup(state: 'states.FlowAgentState', event, now):
    r"""Forward a packet if the target holds, or may hold, the flow."""
    packet = event.message.packet
    if belongs_to_other_target(state, packet):
        forget_flow(state, packet, now)
        return []
    if knows_flow(state, packet.flow):
        state.counters.found += 1
        return agent_requests.forward(state, event.source, packet, now) + [
            agent_flows.accepted(state, event.source, packet.flow)]
    if not may_hold_unknown_flow(state, packet.flow, now):
        return []
    state.counters.passed_unsure += 1
    return agent_requests.forward(state, event.source, packet, now)


def knows_flow(state: 'states.FlowAgentState', key):
    r"""Return whether this agent knows that the target got the flow.

    A flow of which this agent has only passed a packet on may be at another
    target; its own target then returns the packet. A claimed flow is answered
    like one that is known for certain.
    """
    flow = state.flow_by_key.get(key)
    return flow is not None and (
        flow.claimed or flow.offer is not None or flow.answered)


def may_hold_unknown_flow(state: 'states.FlowAgentState', flow, now):
    r"""Return whether the target may hold a flow that is not in the table.

    An earlier run of this agent may have started it, or it was removed from a
    full table.
    """
    if target_probe.has_ended(state) or flow in state.claims.returned:
        return False
    if state.target is None or (
            now - state.table_full_at <= state.flow_limit_ms):
        return True
    started_before = not state.target.no_earlier_agent_run and (
        now - state.started_at <= state.flow_limit_ms)
    return started_before and _was_offered_to_service(state, flow)


def _was_offered_to_service(state: 'states.FlowAgentState', flow):
    r"""Return whether the flow's route belongs or belonged to the target.

    True without a configuration, which tells neither.
    """
    service = state.catalogue.service_by_name.get(state.target.service)
    route = state.catalogue.route_by_address.get(segments.service_of(flow))
    if service is None or route is None:
        return state.catalogue.policy is None
    return service.number in model.services_of_flows(route)


@agent_flows.BALANCER_MESSAGES.handles(message.FlowQuery)
def flow_query(state: 'states.FlowAgentState', event, now):
    r"""Tell a balancer whether the target holds, or may hold, a flow."""
    query = event.message
    if belongs_to_other_target(state, query):
        forget_flow(state, query, now)
        return _denial(state, event)
    if knows_flow(state, query.flow):
        state.counters.found += 1
        return [agent_flows.accepted(state, event.source, query.flow)]
    if may_hold_unknown_flow(state, query.flow, now):
        return [message.ToNode(
            event.source, message.FlowUncertain(query.flow))]
    return _denial(state, event)


def _denial(state: 'states.FlowAgentState', event):
    r"""Return the answer that the target does not hold the flow of a query.

    A balancer sends packets to uncertain agents when all have answered. With
    ``dead-flows`` = ``ignore`` it does not need the answer.
    """
    if not state.resets_dead_flows:
        return []
    return [message.ToNode(event.source, message.SurveyReply(
        0, (), (), (event.message.flow,)))]


@agent_flows.BALANCER_MESSAGES.handles(message.FlowSurvey)
def flow_survey(state: 'states.FlowAgentState', event, now):
    r"""Tell a balancer which flows the target holds, may hold or lacks."""
    held, uncertain, denied = [], [], []
    for item in event.message.flows:
        if belongs_to_other_target(state, item):
            forget_flow(state, item, now)
            denied.append(item.flow)
        elif knows_flow(state, item.flow):
            held.append(item.flow)
        elif may_hold_unknown_flow(state, item.flow, now):
            uncertain.append(item.flow)
        else:
            denied.append(item.flow)
    state.counters.surveyed += len(event.message.flows)
    return [message.ToNode(event.source, message.SurveyReply(
        event.message.number, tuple(held), tuple(uncertain),
        tuple(denied)))]
