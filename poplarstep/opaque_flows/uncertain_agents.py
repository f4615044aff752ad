r"""Sends packets of unknown flows to the agents that may hold them.

Explanation
===========

An agent that started after its target does not know which flows the target
holds. Its target finds out: it accepts the packet, or returns it. A packet
that goes to the wrong target is wasted, and the flow's own target waits for
it, so it is sent only when all agents have been asked and none holds the
flow. All uncertain agents get it at once, so that the right one is among
them.
"""

import math
import typing

from poplarstep.opaque_flows import lookup_budget
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import pending_flows

if typing.TYPE_CHECKING:
    from poplarstep.opaque_flows import balancer_state as states

# Time between two packets of a flow to the same uncertain agent. An open flow
# is broken when three packets within 2 s reach wrong targets only.
PACKET_INTERVAL_MS = 1000
# An agent that has not answered may be restarting, which takes 0.8 s, and may
# be the one that holds the flow. After this time from the first question it
# is considered cut off or down.
SILENCE_LIMIT_MS = 2500
# By then the target of the right agent has answered the packet, and the agent
# knows the flow.
RESULT_MS = 150


def silent(pending: pending_flows.PendingFlow, agents):
    r"""Return the agents among ``agents`` that have not answered."""
    return [agent for agent in agents if agent not in pending.uncertain_at]


def unblocked_at(pending: pending_flows.PendingFlow, agents):
    r"""Return from when on silent agents no longer hold back the packet."""
    return max((
        pending.asked_at.get(agent, math.inf) + SILENCE_LIMIT_MS
        for agent in silent(pending, agents)), default=-math.inf)


def recipients(pending: pending_flows.PendingFlow, agents, now):
    r"""Return the uncertain agents among ``agents`` that get the packet now.

    An agent that got an earlier packet gets another one only if the caller
    has sent one since, and the agent has been asked since and still can't
    know.
    """
    passed_at = pending.tracked.passed_at_by_agent
    return [
        agent for agent in agents
        if agent in pending.uncertain_at and (
            agent not in passed_at
            or now - passed_at[agent] >= PACKET_INTERVAL_MS
            and passed_at[agent] < min(
                pending.uncertain_at[agent], pending.packet_at))]


def unasked(pending: pending_flows.PendingFlow, agents):
    r"""Return the agents that got a packet after their latest answer."""
    passed_at = pending.tracked.passed_at_by_agent
    return [
        agent for agent in agents
        if agent in passed_at and agent in pending.uncertain_at
        and passed_at[agent] >= pending.uncertain_at[agent]]


def send(state: 'states.FlowBalancerState', now):
    r"""Send packets to uncertain agents, in order, while budget is left."""
    surveys = state.surveys
    effects = []
    for flow in list(surveys.packet_queue):
        pending = surveys.pending_by_flow[flow]
        agents = pending_flows.undecided_agents(state, flow, pending) or ()
        if now >= unblocked_at(pending, agents):
            agents = recipients(pending, agents, now)
            size = lookup_budget.packet_bytes(pending.packet, len(agents))
            if not surveys.packet_budget.try_take(size, now):
                state.counters.uncertain_delays += 1
                break
            effects.extend(_send_packet(state, pending, agents, now))
        del surveys.packet_queue[flow]
    return effects


def _send_packet(
        state: 'states.FlowBalancerState', pending: pending_flows.PendingFlow,
        agents, now):
    state.counters.uncertain_packets += len(agents)
    pending.next_at = now + RESULT_MS
    pending.check_at = min(pending.check_at, pending.next_at)
    pending.tracked.passed_at_by_agent = {
        **pending.tracked.passed_at_by_agent, **dict.fromkeys(agents, now)}
    lookup = message.FlowLookup(pending.packet)
    return [message.ToNode(agent, lookup) for agent in agents]


def forget_old(tracked: 'states.TrackedFlow', now):
    r"""Remove the records of packets that no longer hold back others."""
    passed_at = tracked.passed_at_by_agent
    if passed_at and now - max(passed_at.values()) >= PACKET_INTERVAL_MS:
        tracked.passed_at_by_agent = {}
