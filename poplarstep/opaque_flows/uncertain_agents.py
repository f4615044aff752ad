r"""Sends packets of unknown flows to the agents that may hold them.

Explanation
===========

An agent that started after its target does not know which flows the target
holds. Its target finds out: it accepts the packet, or returns it. A packet
that goes to the wrong target is wasted, and the flow's own target waits for
it, so it is sent only when all agents have been asked and none holds the
flow.

The agents of the flow's first candidates get the packet first: nearly all
flows are opened at one of them. The others get it as soon as the targets of
these have returned it, or a little later without an answer. The bytes that
may follow are limited, so that they are sent before an open flow counts as
broken.

A packet of which a copy is overdue is not sent: its caller has been answered,
or sends its packets through another balancer now.
"""

import math
import typing

from poplarstep.opaque_flows import lookup_budget
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import pending_flows

if typing.TYPE_CHECKING:
    from poplarstep.opaque_flows import balancer_state as states

# Callers repeat a packet after this time, and double the interval each time.
FIRST_COPY_MS = 200
# How late a copy may be.
COPY_MARGIN_MS = 100
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
# The likely agents have been asked again by then.
REST_DELAY_MS = 250
# The packets that other agents may still have to get, as a time at the rate
# of the budget. With the delay it is below the 2 s after which a flow counts
# as broken.
MAXIMUM_REST_S = 1.5


def silent(pending: pending_flows.PendingFlow, agents):
    r"""Return the agents among ``agents`` that have not answered."""
    return [agent for agent in agents if agent not in pending.uncertain_at]


def unblocked_at(pending: pending_flows.PendingFlow, agents):
    r"""Return from when on silent agents no longer hold back the packet."""
    return max((
        pending.asked_at.get(agent, math.inf) + SILENCE_LIMIT_MS
        for agent in silent(pending, agents)), default=-math.inf)


def is_copy_overdue(pending: pending_flows.PendingFlow, now):
    r"""Return whether the caller would have repeated the latest packet."""
    interval = pending.packet_at - pending.arrived_at + FIRST_COPY_MS
    return now - pending.packet_at > interval + COPY_MARGIN_MS


def due_agents(pending: pending_flows.PendingFlow, agents, now):
    r"""Return the uncertain agents among ``agents`` that may get the packet.

    An agent that got an earlier packet gets another one only if the caller
    has sent one since, and the agent has been asked since and still can't
    know.
    """
    if is_copy_overdue(pending, now):
        return []
    passed_at = pending.tracked.passed_at_by_agent
    return [
        agent for agent in agents
        if agent in pending.uncertain_at and (
            agent not in passed_at
            or now - passed_at[agent] >= PACKET_INTERVAL_MS
            and passed_at[agent] < min(
                pending.uncertain_at[agent], pending.packet_at))]


def recipients(pending: pending_flows.PendingFlow, agents, now):
    r"""Return the uncertain agents among ``agents`` that get the packet now.

    They are the likely ones, if any of these is due. The others wait while
    the target of a likely agent may still answer.
    """
    due = due_agents(pending, agents, now)
    likely = [agent for agent in due if agent in pending.likely]
    if likely:
        return likely
    awaited = now < pending.rest_at and any(
        agent in pending.likely for agent in agents
        if agent in pending.tracked.passed_at_by_agent)
    return [] if awaited else due


def unasked(pending: pending_flows.PendingFlow, agents):
    r"""Return the agents that got a packet after their latest answer."""
    passed_at = pending.tracked.passed_at_by_agent
    return [
        agent for agent in agents
        if agent in passed_at and agent in pending.uncertain_at
        and passed_at[agent] >= pending.uncertain_at[agent]]


def send(state: 'states.FlowBalancerState', now):
    r"""Send packets to uncertain agents, in order, while budget is left.

    Flows whose likely agents did not take the packet come first.
    """
    surveys = state.surveys
    effects = []
    rest_bytes = sum(
        pending.rest_bytes for pending in surveys.pending_by_flow.values())
    for flow in _in_order(surveys):
        pending = surveys.pending_by_flow[flow]
        agents = pending_flows.undecided_agents(state, flow, pending) or ()
        if now >= unblocked_at(pending, agents):
            chosen, size, rest = _choose(surveys, pending, agents, now)
            if rest and rest_bytes + rest > _rest_limit(surveys) or (
                    not surveys.packet_budget.try_take(size, now)):
                state.counters.uncertain_delays += 1
                break
            rest_bytes += rest - pending.rest_bytes
            pending.rest_bytes = rest
            effects.extend(_send_packet(state, pending, chosen, now))
        del surveys.packet_queue[flow]
    return effects


def _in_order(surveys: pending_flows.SurveyState):
    r"""Return the waiting flows, in order of arrival in two groups."""
    return sorted(
        surveys.packet_queue,
        key=lambda flow: not surveys.pending_by_flow[flow].rest_bytes)


def _rest_limit(surveys: pending_flows.SurveyState):
    return surveys.packet_budget.burst * MAXIMUM_REST_S


def _choose(
        surveys: pending_flows.SurveyState,
        pending: pending_flows.PendingFlow, agents, now):
    r"""Return the recipients, their bytes, and the bytes that may follow.

    All get the packet at once if what may follow exceeds the limit alone.
    """
    due = due_agents(pending, agents, now)
    chosen = recipients(pending, agents, now)
    rest = lookup_budget.packet_bytes(
        pending.packet, len(due) - len(chosen))
    if rest > _rest_limit(surveys):
        chosen, rest = due, 0
    return chosen, lookup_budget.packet_bytes(
        pending.packet, len(chosen)), rest


def _send_packet(
        state: 'states.FlowBalancerState', pending: pending_flows.PendingFlow,
        agents, now):
    state.counters.uncertain_packets += len(agents)
    pending.rest_at = now + REST_DELAY_MS
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
