r"""Stage of a balancer that forwards the packets of opaque flows to agents.

Explanation
===========

The flow table is only a cache: the agents know which flows their targets
hold. The network may move a flow to this balancer from another one, and the
table is empty after a restart. The balancer then asks agents for the flow.

See Also
========

poplarstep.opaque_flows.agent_answers : evaluates what agents answer.
poplarstep.opaque_flows.offers : chooses the target of a new flow.
poplarstep.opaque_flows.refusals : decides whether a refused flow is reset.
poplarstep.opaque_flows.lookups : finds the agent of an unknown flow.
"""

import typing

from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.opaque_flows import agent_answers
from poplarstep.opaque_flows import early_openings
from poplarstep.opaque_flows import known_flows
from poplarstep.opaque_flows import lookups
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import offers
from poplarstep.opaque_flows import pauses
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
    return agent_answers.forward(
        state, tracked, _packet_from_caller(segment), now)


def _packet_from_caller(segment):
    return message.FlowPacket(
        segment.flow, segment.data_bytes > 0,
        segment.closing or segment.reset, segment.datagram,
        segment.acknowledged, segment.sequence)


@BALANCER.handles(message.FromNode)
def from_node(state: 'states.FlowBalancerState', event, now):
    r"""Pass an answer of an agent to its handler; ignore other messages."""
    handler = agent_answers.AGENT_MESSAGES.handler_by_type.get(
        type(event.message))
    return handler(state, event, now) if handler else ()


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
