r"""Stage of a balancer that forwards the packets of opaque flows to agents.

Explanation
===========

The flow table is only a cache: the agents know which flows their targets
hold. The network may move a flow to this balancer from another one, and the
table is empty after a restart. The balancer then asks agents for the flow.

See Also
========

poplarstep.opaque_flows.offers : chooses the target of a new flow.
poplarstep.opaque_flows.refusals : decides whether a refused flow is reset.
poplarstep.opaque_flows.lookups : finds the agent of an unknown flow.
"""

import typing

from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.opaque_flows import early_openings
from poplarstep.opaque_flows import known_flows
from poplarstep.opaque_flows import lookups
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import offers
from poplarstep.opaque_flows import pauses
from poplarstep.opaque_flows import pending_flows
from poplarstep.opaque_flows import refusals
from poplarstep.opaque_flows import segment as segments
from poplarstep.opaque_flows import surveys
from poplarstep.opaque_flows import tied_offers

if typing.TYPE_CHECKING:
    from poplarstep.opaque_flows import balancer_state as states

TICK = 'steering'
TICK_PERIOD_MS = 20
# Agents answer an offer at once; this allows for the network and a busy host.
OFFER_TIMEOUT_MS = 60
SWEEP_INTERVAL_MS = 1000
# Idle timeout of flows until the configuration sets one.
DEFAULT_IDLE_MS = 15_000

BALANCER = stage.Stage('balancer')
# Handlers ``(state, event, now)`` by the type of the message in the event.
AGENT_MESSAGES = stage.Stage('answers of agents')


@BALANCER.handles(message.FromCaller)
def from_caller(state: 'states.FlowBalancerState', event, now):
    r"""Forward one packet of a caller."""
    state.counters.packets += 1
    segment = event.segment
    if not state.confirmed(now):
        # No reset is sent: callers retransmit, and another balancer may have
        # a confirmed configuration.
        state.counters.unconfirmed += 1
        if segment.opening and not pauses.may_be_stale(state, now):
            early_openings.add(state, segment, now)
        return []
    tracked = state.tracked_by_flow.get(segment.flow)
    if segment.opening and pauses.may_be_stale(state, now):
        state.counters.outdated += 1
        return []
    if segment.opening:
        return offers.handle_opening(state, segment, tracked, now)
    if tracked is None:
        tracked = offers.add_flow(state, segment.flow, now)
    tracked.last_used = now
    # The caller has opened the flow, here or through another balancer.
    tracked.may_be_open = True
    tracked.is_closed |= segment.closing or segment.reset
    return _forward(state, tracked, _packet_from_caller(segment), now)


def _packet_from_caller(segment):
    return message.FlowPacket(
        segment.flow, segment.data_bytes > 0,
        segment.closing or segment.reset, segment.datagram,
        segment.acknowledged, segment.sequence)


def _forward(
        state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow',
        packet, now):
    r"""Send a packet to the agent that holds its flow, or look it up."""
    if tracked.agent is None:
        return lookups.look_up(state, tracked, packet, now)
    state.counters.carried += 1
    return [message.ToNode(tracked.agent, packet)]


@BALANCER.handles(message.FromNode)
def from_node(state: 'states.FlowBalancerState', event, now):
    r"""Pass an answer of an agent to its handler; ignore other messages."""
    handler = AGENT_MESSAGES.handler_by_type.get(type(event.message))
    return handler(state, event, now) if handler else ()


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
    return _forward(state, tracked, _packet_from_agent(answer), now)


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


@BALANCER.due_at(TICK)
def due_at(state, now):
    r"""Return when an offer, a round, the sweep or a pause check is due.

    Offers and rounds are in the order of their times, so the first one is
    the earliest.
    """
    if state.early_opening_by_flow:
        return now
    due = min(
        pauses.check_due_at(state, now), surveys.due_at(state),
        known_flows.due_at(state))
    if state.tracked_by_flow:
        due = min(due, state.next_sweep_at)
    for tracked in state.offered_by_flow.values():
        due = min(due, tracked.offered_at + OFFER_TIMEOUT_MS)
        break
    for retry_at in state.retry_at_by_flow.values():
        return min(due, retry_at)
    return due


@BALANCER.handles(timer.Tick)
def tick(state: 'states.FlowBalancerState', event, now):
    r"""Handle timeouts of offers, start due rounds and remove idle flows."""
    if event.name != TICK:
        return [event]
    effects = pauses.detect(state, now)
    effects.extend(_offer_early_openings(state, now))
    state.placement.ejection.expire(now)
    effects.extend(state.placement.ejection.take_log())
    for flow, tracked in list(state.offered_by_flow.items()):
        if now - tracked.offered_at >= OFFER_TIMEOUT_MS:
            effects.extend(_offer_timed_out(state, flow, tracked, now))
    for flow, retry_at in list(state.retry_at_by_flow.items()):
        if now >= retry_at:
            effects.extend(offers.start_round(state, flow, now))
    effects.extend(surveys.tick(state, now))
    effects.extend(known_flows.tick(state, now))
    if now >= state.next_sweep_at:
        state.next_sweep_at = now + SWEEP_INTERVAL_MS
        _sweep(state, now)
    return effects


def _offer_timed_out(
        state: 'states.FlowBalancerState', flow, tracked: 'states.TrackedFlow',
        now):
    log_entries = []
    for target in tied_offers.take_unanswered(tracked):
        state.counters.silent_offers += 1
        state.placement.timed_out(target.number, now)
        tracked.tried_targets += (target.number,)
        log_entries.append(effect.LogEvent('offer-unanswered', (
            ('flow', segments.describe(flow)), ('target', target.number),
            ('waited_ms', now - tracked.offered_at),
            ('version', state.catalogue.version))))
    tracked.may_be_open = True
    offers.clear_offer(state, flow, tracked)
    if tracked.agent is not None:
        # The other one of two tied offers was accepted.
        return log_entries
    tracked.tie = None
    return log_entries + offers.next_offer(state, flow, tracked, now)


def _sweep(state: 'states.FlowBalancerState', now):
    r"""Remove the flows that have been idle for too long."""
    policy = state.catalogue.policy
    idle_ms = policy.flow_idle_ms if policy else DEFAULT_IDLE_MS
    for flow in list(state.tracked_by_flow):
        tracked = state.tracked_by_flow[flow]
        lookups.drop_outdated(state, flow, tracked, now)
        if now - tracked.last_used > idle_ms and (
                tracked.offered_to is None
                and flow not in state.retry_at_by_flow):
            del state.tracked_by_flow[flow]


@BALANCER.handles(dissemination.CatalogueChanged)
def catalogue_changed(state: 'states.FlowBalancerState', event, now):
    r"""Remove the estimates of targets that no longer exist.

    Opening packets that came before the configuration are offered now.
    Agents that have restarted are told their flows with the next ticks.
    """
    state.placement.retain(state.catalogue.target_by_number)
    state.placement.ejection.retain(state.catalogue.target_by_number, now)
    state.placement.groups.retain(state.catalogue.service_by_number)
    state.locality.retain(state.catalogue.service_by_number)
    known_flows.catalogue_changed(state)
    return _offer_early_openings(state, now)


def _offer_early_openings(state: 'states.FlowBalancerState', now):
    r"""Offer the flows that waited for a confirmed configuration."""
    if not state.early_opening_by_flow or not state.confirmed(now):
        return []
    return [
        item for opening in early_openings.take(state, now)
        for item in offers.handle_opening(
            state, opening.segment,
            state.tracked_by_flow.get(opening.segment.flow), now,
            opening.received_at)]
