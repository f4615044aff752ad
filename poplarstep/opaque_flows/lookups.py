r"""Finds the agent that holds a flow which this balancer does not know.

Explanation
===========

The agents of the flow's candidates are asked, a bounded number whatever the
size of the service. A packet with data waits at the balancer meanwhile, so
that its payload crosses the balancer's link once and not once for each agent;
a packet without data is its own question. An agent that has restarted may not
know the flows of its target: it says so, and gets the packets, which its
target returns if it does not hold the flow.

A flow stays where it was opened when its route moves to another service, so
the agents of the route's former services are asked as well.

If no candidate has answered by the time at which the caller retransmits, the
other targets of the service are asked too: the catalogue may have changed
much since the flow was opened. These wide lookups share a limited rate.

All this holds with ``dead-flows`` = ``ignore``. With ``reset`` the flow is
looked for in the two steps of ``poplarstep.opaque_flows.surveys``; this module
only chooses the candidates.
"""

import typing

from poplarstep.configuration import model
from poplarstep.opaque_flows import candidates
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import pending_flows
from poplarstep.opaque_flows import segment as segments
from poplarstep.opaque_flows import surveys
from poplarstep.opaque_flows import uncertain_agents

if typing.TYPE_CHECKING:
    from poplarstep.opaque_flows import balancer_state as states

# A flow that no agent holds after as many lookups has ended. Its later packets
# are dropped, and the caller times out.
MAXIMUM_LOOKUPS = 12
# Shorter than the first retransmission timeout of callers, 200 ms. Packets of
# one flow that arrive within it wait for the same lookup.
LOOKUP_TIMEOUT_MS = 150
# Packets of a flow that wait for a lookup; a caller has at most 16 in flight.
MAXIMUM_WAITING_PACKETS = pending_flows.MAXIMUM_WAITING_PACKETS
# With as many agents or fewer the packet itself is sent: it is found a round
# trip earlier.
MAXIMUM_AGENTS_WITH_PACKET = 4
# Messages of wide lookups. A message takes some 100 bytes of a balancer's
# link, of which the slowest carry 1.5 Mbit/s: the rate is a tenth of it.
WIDE_MESSAGES_PER_S = 200
MAXIMUM_WIDE_MESSAGES = 400


def look_up(
        state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow',
        packet, now):
    r"""Return the effects that look for the agent of a packet's flow."""
    if state.surveys.enabled:
        return _search(state, tracked, packet, now)
    waiting = tracked.waiting_packets
    if waiting and now - tracked.looked_up_at < LOOKUP_TIMEOUT_MS:
        if len(waiting) < MAXIMUM_WAITING_PACKETS:
            tracked.waiting_packets = (*waiting, packet)
        return []
    tracked.waiting_packets = ()
    if tracked.lookup_count >= MAXIMUM_LOOKUPS:
        return []
    agents = _agents_to_ask(state, tracked, packet.flow, now)
    tracked.lookup_count += 1
    tracked.looked_up_at = now
    state.counters.finds += 1
    state.counters.lookup_messages += len(agents)
    question = message.FlowLookup(packet)
    if packet.has_data and len(agents) > MAXIMUM_AGENTS_WITH_PACKET:
        tracked.waiting_packets = (packet,)
        question = message.FlowQuery(packet.flow, packet.acknowledged)
    return [message.ToNode(agent, question) for agent in agents]


def _search(
        state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow',
        packet, now):
    r"""Keep a packet; if its flow is not looked for yet, start to do so."""
    flow = packet.flow
    route = state.catalogue.route_by_address.get(segments.service_of(flow))
    is_new = flow not in state.surveys.pending_by_flow
    # Searches for packets without data may end at once. They leave as many for
    # the data, without which no dead flow is reset.
    limit = MAXIMUM_LOOKUPS * (2 if packet.has_data else 1)
    if route is None or (is_new and tracked.lookup_count >= limit) or (
            not pending_flows.add_packet(state, tracked, packet, now)):
        return []
    tracked.lookup_count += is_new
    tracked.looked_up_at = now
    state.counters.finds += 1
    services = model.services_of_flows(route)
    state.surveys.pending_by_flow[flow].likely = frozenset(_agents(
        state, services, flow,
        candidates.OFFERED_CANDIDATES * len(services)))
    return surveys.ask_candidates(state, packet, _agents(
        state, services, flow, _lookup_candidates(services)), now)


def _agents_to_ask(
        state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow', flow,
        now):
    r"""Return the agents of a lookup: those of the candidates, or more."""
    route = state.catalogue.route_by_address.get(segments.service_of(flow))
    if route is None:
        return ()
    services = model.services_of_flows(route)
    agents = _agents(state, services, flow, _lookup_candidates(services))
    if tracked.lookup_count == 0 or (
            now - tracked.looked_up_at < LOOKUP_TIMEOUT_MS):
        return agents
    wide = _agents(state, services, flow, MAXIMUM_WIDE_MESSAGES)
    if len(wide) == len(agents) or not state.wide_lookups.try_take(
            now, tokens=len(wide)):
        return agents
    state.counters.wide_lookups += 1
    return wide


def _lookup_candidates(services):
    r"""Return how many agents a lookup asks.

    Two services get ``candidates.LOOKUP_CANDIDATES`` each: half of it does
    not cover the candidates of a flow that was offered while some targets of
    its service were leaving.
    """
    return candidates.LOOKUP_CANDIDATES * min(2, len(services))


def _agents(state: 'states.FlowBalancerState', services, flow, wanted):
    r"""Return ``wanted`` agents, evenly over the services.

    Of a service with no more targets than ``candidates.LOOKUP_CANDIDATES``
    all are returned.
    """
    each = max(1, wanted // len(services))
    return [
        target.agent for service in services
        for target in state.candidates.lookup(service, flow, each)]


def uncertain(
        state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow',
        event, now):
    r"""Return the waiting packets for an agent that may hold their flow.

    They go on waiting: another agent may hold the flow. With surveys they
    wait until all agents have answered.
    """
    if state.surveys.enabled:
        pending_flows.record_uncertain(
            state, event.message.flow, event.source, now)
        return []
    state.counters.lookup_messages += len(tracked.waiting_packets)
    return [
        message.ToNode(event.source, message.FlowLookup(packet))
        for packet in tracked.waiting_packets]


def drop_outdated(
        state: 'states.FlowBalancerState', flow, tracked: 'states.TrackedFlow',
        now):
    r"""Drop the packets of a lookup that no agent has answered in time."""
    if flow in state.surveys.pending_by_flow:
        return
    uncertain_agents.forget_old(tracked, now)
    if tracked.waiting_packets and (
            now - tracked.looked_up_at >= LOOKUP_TIMEOUT_MS):
        tracked.waiting_packets = ()
