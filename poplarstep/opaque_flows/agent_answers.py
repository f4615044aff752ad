r"""Evaluates the answers of agents to a balancer.

Explanation
===========

An agent accepts or rejects an offered flow, answers a lookup or a survey,
returns a packet of a flow that its target does not hold, or reports its load.

See Also
========

poplarstep.opaque_flows.balancer : the stage that receives the answers.
"""

import typing

from poplarstep.core import stage
from poplarstep.opaque_flows import lookups
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import offers
from poplarstep.opaque_flows import pending_flows
from poplarstep.opaque_flows import refusals
from poplarstep.opaque_flows import segment as segments
from poplarstep.opaque_flows import surveys
from poplarstep.opaque_flows import tied_offers

if typing.TYPE_CHECKING:
    from poplarstep.opaque_flows import balancer_state as states

# Handlers ``(state, event, now)`` by the type of the message in the event.
AGENT_MESSAGES = stage.Stage('answers of agents')


def forward(
        state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow',
        packet, now):
    r"""Send a packet to the agent that holds its flow, or look it up."""
    if tracked.agent is None:
        return lookups.look_up(state, tracked, packet, now)
    state.counters.carried += 1
    return [message.ToNode(tracked.agent, packet)]


@AGENT_MESSAGES.handles(message.FlowAccepted)
def flow_accepted(state: 'states.FlowBalancerState', event, now):
    r"""Record which agent holds a flow."""
    answer = event.message
    tracked = state.tracked_by_flow.get(answer.flow)
    if tracked is None:
        return []
    state.counters.held += 1
    if not tied_offers.record_acceptance(state, tracked, event, now):
        _record_acceptance(state, tracked, event, now)
    if tracked.offered_to is None:
        offers.clear_offer(state, answer.flow, tracked)
    tracked.refusal = ''
    state.retry_at_by_flow.pop(answer.flow, None)
    if tracked.opening_received_at is not None:
        state.opening_ms.observe(now - tracked.opening_received_at)
        tracked.opening_received_at = None
    if tracked.agent is not None:
        # Two targets accepted the flow. The caller uses the one that answered
        # first; the agent of the other one returns its packets.
        return []
    return _found(state, answer.flow, tracked, event.source)


def _found(
        state: 'states.FlowBalancerState', flow, tracked: 'states.TrackedFlow',
        agent):
    r"""Send the waiting packets of a flow to the agent that holds it."""
    tracked.agent = agent
    tracked.lookup_count = 0
    pending_flows.forget(state, flow)
    return pending_flows.found(state, tracked)


@AGENT_MESSAGES.handles(message.SurveyReply)
def survey_reply(state: 'states.FlowBalancerState', event, now):
    r"""Evaluate an agent's answer to a survey."""
    effects = []
    for flow in surveys.process_reply(
            state, event.source, event.message, now):
        tracked = state.tracked_by_flow.get(flow)
        if tracked is not None and tracked.agent is None:
            effects.extend(_found(state, flow, tracked, event.source))
    return effects


def _record_acceptance(
        state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow',
        event, now):
    offered = tracked.offered_to
    if offered is not None and offered.agent == event.source:
        state.placement.answered(offered.number, event.message.load, now)
        tied_offers.record_outcome(
            state.tie_limits, tracked.service, False, now)
    elif offered is not None:
        # An earlier offer was accepted late; the current one is obsolete.
        state.placement.withdrawn(offered.number)
    tracked.offered_to = None


@AGENT_MESSAGES.handles(message.FlowStarted)
def flow_started(state: 'states.FlowBalancerState', event, now):
    r"""Record which agent has started a tied flow."""
    effects = flow_accepted(state, event, now)
    tracked = state.tracked_by_flow.get(event.message.flow)
    return effects + tied_offers.record_start(state, tracked, event)


@AGENT_MESSAGES.handles(message.FlowUncertain)
def flow_uncertain(state: 'states.FlowBalancerState', event, now):
    r"""Evaluate the answer of an agent that may hold a flow."""
    tracked = state.tracked_by_flow.get(event.message.flow)
    if tracked is None or tracked.agent is not None:
        return []
    return lookups.uncertain(state, tracked, event, now)


@AGENT_MESSAGES.handles(message.FlowRejected)
def flow_rejected(state: 'states.FlowBalancerState', event, now):
    r"""Offer a rejected flow to the next target, or refuse it."""
    answer = event.message
    tracked = state.tracked_by_flow.get(answer.flow)
    if tracked is not None and answer.reason == message.MAY_HAVE_STARTED:
        tracked.may_be_open = True
    if tracked is not None and tracked.tie is not None:
        return _tied_offer_rejected(state, tracked, event, now)
    if tracked is None or tracked.offered_to is None or (
            tracked.offered_to.agent != event.source):
        return _offer_again(state, tracked, event, now)
    state.counters.not_taken += 1
    number = tracked.offered_to.number
    state.placement.answered(number, answer.load, now)
    tracked.tried_targets += (number,)
    tracked.reason_by_target[number] = answer.reason
    offers.clear_offer(state, answer.flow, tracked)
    return _after_rejection(state, tracked, answer, now)


def _tied_offer_rejected(
        state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow',
        event, now):
    r"""Offer a tied flow again if neither of its offers can open it."""
    answer = event.message
    if tracked.tie.find(event.source) == (None, None):
        return []
    effects, goes_on = tied_offers.record_rejection(
        state, tracked, event, now)
    if tracked.offered_to is None:
        offers.clear_offer(state, answer.flow, tracked)
    if goes_on:
        return effects
    return effects + _offer_or_refuse(state, tracked, answer, now)


def _after_rejection(
        state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow',
        answer, now):
    if answer.reason == message.WITHDRAWN:
        # The flow was tied by another balancer and has started elsewhere.
        tracked.may_be_open = True
        return []
    return _offer_or_refuse(state, tracked, answer, now)


def _offer_or_refuse(
        state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow',
        answer, now):
    if answer.reason == message.OVERLOADED:
        # The flow is refused now, while the caller has time to retry.
        offers.record_overload(state, tracked, now)
        return refusals.give_up(
            state, answer.flow, tracked, answer.reason, now)
    return offers.next_offer(state, answer.flow, tracked, now)


def _offer_again(
        state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow',
        event, now):
    r"""Offer a flow again that an agent accepted and rejected later."""
    if tracked is None or tracked.agent != event.source or (
            not tracked.opening_datagram):
        return []
    tracked.agent = None
    return _after_rejection(state, tracked, event.message, now)


@AGENT_MESSAGES.handles(message.LoadReport)
def load_report(state: 'states.FlowBalancerState', event, now):
    r"""Record the load of a target whose flows this balancer forwards."""
    target = state.agents.target(event.source)
    if target is not None:
        state.counters.load_reports += 1
        state.placement.reported(target.number, event.message.load, now)
    return []


@AGENT_MESSAGES.handles(message.ReturnedPacket)
def returned_packet(state: 'states.FlowBalancerState', event, now):
    r"""Forward a packet that a target returned to the right agent."""
    answer = event.message
    state.counters.strays += 1
    tracked = state.tracked_by_flow.get(answer.flow)
    if tracked is None:
        return []
    if tracked.agent is None:
        pending_flows.record_denial(state, answer.flow, event.source)
    if _is_part_of_search(state, tracked, event.source, answer):
        return []
    if tracked.agent == event.source:
        tracked.agent = tied_offers.agent_after_return(tracked, event.source)
    return forward(state, tracked, _packet_from_agent(answer), now)


def _is_part_of_search(
        state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow',
        source, answer):
    r"""Return whether a returned packet needs no forwarding.

    A search keeps its packets for the agent that holds the flow, and uncertain
    agents get copies of them. Without surveys, a lookup sends the packet to
    all agents. A packet without the acknowledged number, which a reset needs,
    must not replace a waiting one that has it.
    """
    if tracked.agent == source:
        return False
    if tracked.agent is None and (
            not state.surveys.enabled
            or answer.acknowledged == segments.NO_SEQUENCE_NUMBER):
        return True
    return source in tracked.passed_at_by_agent


def _packet_from_agent(answer):
    return message.FlowPacket(
        answer.flow, answer.has_data, answer.ending, answer.datagram,
        answer.acknowledged, answer.sequence)
