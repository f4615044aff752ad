r"""Offers a flow that must wait in a queue to two agents at once.

Explanation
===========

The wait in a target's queue can't be known beforehand: one long request or a
slow target delays all that wait behind it. A tied flow waits in two queues.
The agent that starts it first withdraws it from the other one and tells the
balancer, so the flow starts at the target that has a slot first. Only flows of
idempotent routes are tied. If a withdrawal comes too late both agents start
the flow; the caller goes on with one of the targets, so its requests run only
there, and the other target has opened a flow for nothing.

The work is bounded twice. A budget gives each new flow a part of a tied offer.
A service that is short of capacity gets no tied offers: its queues are long
because it has too few slots, which a second queue does not change. A late flow
gets no place in a queue, and so is never tied.

As long as one of both offers may open the flow, the flow is neither offered to
further targets nor refused. An offer that was not answered prevents a reset as
any other one does, see ``poplarstep.opaque_flows.refusals``.

References
==========

.. [1] J. Dean and L. A. Barroso, The Tail at Scale, CACM 56 (2), 2013.
"""

import collections
import typing

from poplarstep.core import effect
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import segment as segments

if typing.TYPE_CHECKING:
    from poplarstep.opaque_flows import balancer_state as states

# Tied offers that may follow each other at once. It covers a burst in which
# as many flows meet busy targets within some 10 ms.
BUDGET_BURST = 20
HUNDREDTHS_PER_OFFER = 100
# A service is short of capacity if more than one in SHORTAGE_DIVISOR of its
# flows were refused a place in a queue, within the window.
SHORTAGE_DIVISOR = 4
SHORTAGE_WINDOW_MS = 1000
SPAN_MS = 100
# Part of a wait that a second queue saves: the shorter of two exponential
# waits of the same mean takes half of it.
EXPECTED_GAIN = 0.5
# A tie needs two targets that have no free slot.
MINIMUM_BUSY_TARGETS = 2

# Phases of a tied offer.
UNANSWERED = 'unanswered'
SILENT = 'silent'
QUEUED = 'queued'
STARTED = 'started'
ENDED = 'ended'
# Phases in which the agent has said that it holds the flow or may start it.
ACCEPTED_PHASES = (QUEUED, STARTED)


class TiedOffer:
    r"""One of the two offers of a tied flow, and its phase."""

    __slots__ = ('target', 'phase')

    def __init__(self, target):
        self.target = target
        self.phase = UNANSWERED


class Tie:
    r"""The two offers of a tied flow."""

    __slots__ = ('offers',)

    def __init__(self, first, second):
        self.offers = (TiedOffer(first), TiedOffer(second))

    def find(self, agent):
        r"""Return an agent's offer and the other one, or None twice."""
        first, second = self.offers
        if agent == first.target.agent:
            return first, second
        if agent == second.target.agent:
            return second, first
        return None, None


class ShortageWindow:
    r"""Outcomes of a service's offers within the last second.

    An offer that was rejected as busy has no outcome: the flow goes on to
    the next target.

    Parameters
    ==========

    spans : deque of list
        Number of a span of ``SPAN_MS``, outcomes and overloads in it.
    """

    __slots__ = ('spans',)

    def __init__(self):
        self.spans = collections.deque()

    def record(self, is_overload, now):
        r"""Count an offer that was accepted or ended as overloaded."""
        number = now // SPAN_MS
        if not self.spans or self.spans[-1][0] != number:
            self._expire(now)
            self.spans.append([number, 0, 0])
        self.spans[-1][1] += 1
        self.spans[-1][2] += is_overload

    def is_short(self, now):
        r"""Return whether too many offers ended as overloaded."""
        self._expire(now)
        outcomes = sum(span[1] for span in self.spans)
        overloads = sum(span[2] for span in self.spans)
        return overloads * SHORTAGE_DIVISOR > outcomes

    def _expire(self, now):
        oldest = (now - SHORTAGE_WINDOW_MS) // SPAN_MS
        while self.spans and self.spans[0][0] <= oldest:
            self.spans.popleft()


class TieLimits:
    r"""Limits of the tied offers of a balancer.

    Parameters
    ==========

    percent : int
        Tied offers per 100 new flows; 0 switches them off.
    credit : int
        Hundredths of a tied offer that may be sent now.
    window_by_service : dict
        A ``ShortageWindow`` by the number of the service.
    """

    __slots__ = ('percent', 'credit', 'window_by_service')

    def __init__(self, percent):
        self.percent = percent
        self.credit = BUDGET_BURST * HUNDREDTHS_PER_OFFER
        self.window_by_service = {}


def make_tie_limits(percent) -> TieLimits:
    r"""Return the limits of a balancer that has just started."""
    return TieLimits(percent)


def record_new_flow(limits):
    r"""Add the part of a tied offer that a new flow allows."""
    limits.credit = min(
        BUDGET_BURST * HUNDREDTHS_PER_OFFER, limits.credit + limits.percent)


def record_outcome(limits, service, is_overload, now):
    r"""Count an offer that was accepted or ended as overloaded."""
    if not limits.percent:
        return
    window = limits.window_by_service.get(service)
    if window is None:
        window = limits.window_by_service[service] = ShortageWindow()
    window.record(is_overload, now)


def is_eligible(
        state: 'states.FlowBalancerState', flow,
        tracked: 'states.TrackedFlow'):
    r"""Return whether two agents may queue a flow that is being offered.

    All targets that were offered the flow in this round were busy, the next
    one may queue it, and its route is idempotent.
    """
    if not state.tie_limits.percent or not tracked.may_queue or (
            tracked.is_late):
        return False
    reasons = tracked.reason_by_target.values()
    has_silent = len(tracked.tried_targets) > len(reasons)
    if has_silent or len(reasons) < MINIMUM_BUSY_TARGETS or any(
            reason != message.BUSY for reason in reasons):
        return False
    route = state.catalogue.route_by_address.get(segments.service_of(flow))
    return route is not None and route.idempotent


def may_gain(placement, first, other, now):
    r"""Return whether a wait at two targets is worth a slower request.

    The shorter of two waits is about half as long as one. A target whose
    requests take longer by more than that answers later, also when it starts
    the flow first.
    """
    slower_us = placement.service_us(other) - placement.service_us(first)
    return slower_us <= EXPECTED_GAIN * placement.wait_us(first, now)


def try_take(state: 'states.FlowBalancerState', service, now):
    r"""Return whether the limits allow a tied offer, and charge it."""
    limits = state.tie_limits
    window = limits.window_by_service.get(service)
    if window is not None and window.is_short(now):
        state.counters.tied_denied_by_load += 1
        return False
    if limits.credit < HUNDREDTHS_PER_OFFER:
        state.counters.tied_denied_by_budget += 1
        return False
    limits.credit -= HUNDREDTHS_PER_OFFER
    state.counters.tied_offers += 1
    return True


def tie(
        state: 'states.FlowBalancerState', flow, tracked: 'states.TrackedFlow',
        first, second):
    r"""Record that a flow is offered to two targets; return the log line."""
    tracked.tie = Tie(first, second)
    return effect.LogEvent('flow-tied', (
        ('flow', segments.describe(flow)), ('target', first.number),
        ('other', second.number), ('offers', tracked.offer_count),
        ('credit', state.tie_limits.credit),
        ('version', state.catalogue.version)))


def record_acceptance(
        state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow',
        event, now):
    r"""Record that an agent holds a tied flow, or has queued it.

    Returns False if the flow is not tied. An agent outside of the tie that
    holds the flow ends the tie: the caller has opened the flow there.
    """
    if tracked.tie is None:
        return False
    offer, other = tracked.tie.find(event.source)
    if offer is None:
        for item in tracked.tie.offers:
            if item.phase == UNANSWERED:
                state.placement.withdrawn(item.target.number)
        tracked.tie = tracked.offered_to = None
        tracked.may_be_open = True
        return True
    if offer.phase == UNANSWERED:
        state.placement.answered(
            offer.target.number, event.message.load, now)
        record_outcome(state.tie_limits, tracked.service, False, now)
    if offer.phase in (UNANSWERED, SILENT):
        offer.phase = QUEUED
    tracked.offered_to = _unanswered_target(other)
    return True


def _unanswered_target(offer):
    return offer.target if offer.phase == UNANSWERED else None


def record_start(
        state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow',
        event):
    r"""Record that an agent has started a tied flow.

    The first agent that starts the flow holds it. If both start it, the
    caller chooses: the agent of the other target returns its packets.
    """
    if tracked is None or tracked.tie is None:
        return []
    offer, other = tracked.tie.find(event.source)
    if offer is None or offer.phase in (STARTED, ENDED):
        return []
    offer.phase = STARTED
    if other.phase != STARTED:
        tracked.agent = event.source
        return []
    state.counters.tied_withdrawn_too_late += 1
    return [_settled(state, event.message.flow, other, offer, 'too-late')]


def record_rejection(
        state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow',
        event, now):
    r"""Record that an agent rejected or withdrew a tied flow.

    Returns the effects and whether the other offer may still open the flow.
    """
    offer, other = tracked.tie.find(event.source)
    reason = event.message.reason
    effects = []
    if offer.phase == UNANSWERED:
        state.placement.answered(
            offer.target.number, event.message.load, now)
    offer.phase = ENDED
    if reason == message.WITHDRAWN:
        # This target stays a candidate: the other one may return the flow.
        state.counters.tied_withdrawn_in_time += 1
        effects.append(_settled(
            state, event.message.flow, other, offer, 'in-time'))
        if other.phase == UNANSWERED:
            state.placement.withdrawn(other.target.number)
        if other.phase != ENDED:
            # Only an agent that has started the flow withdraws it.
            other.phase = STARTED
    else:
        state.counters.not_taken += 1
        tracked.tried_targets += (offer.target.number,)
        tracked.reason_by_target[offer.target.number] = reason
    tracked.agent = (
        other.target.agent if other.phase in ACCEPTED_PHASES else None)
    tracked.offered_to = _unanswered_target(other)
    goes_on = other.phase in (UNANSWERED, *ACCEPTED_PHASES)
    if not goes_on:
        tracked.tie = None
    elif reason == message.OVERLOADED:
        record_outcome(state.tie_limits, tracked.service, True, now)
    return effects, goes_on


def _settled(
        state: 'states.FlowBalancerState', flow, started, withdrawn, outcome):
    return effect.LogEvent('tied-flow-settled', (
        ('flow', segments.describe(flow)),
        ('started', started.target.number),
        ('withdrawn', withdrawn.target.number), ('outcome', outcome),
        ('version', state.catalogue.version)))


def take_unanswered(tracked: 'states.TrackedFlow'):
    r"""Return the targets that did not answer an offer in time."""
    if tracked.tie is None:
        return (tracked.offered_to,)
    unanswered = [
        item for item in tracked.tie.offers if item.phase == UNANSWERED]
    for item in unanswered:
        item.phase = SILENT
    return tuple(item.target for item in unanswered)


def tied_agent(tracked: 'states.TrackedFlow'):
    r"""Return the agent to name in a copy of the offer, or None."""
    if tracked.tie is None:
        return None
    offer, other = tracked.tie.find(tracked.agent)
    if offer is None or offer.phase != QUEUED or other.phase == ENDED:
        return None
    return other.target.agent


def agent_after_return(tracked: 'states.TrackedFlow', agent):
    r"""Return the agent that holds a flow if another one returned a packet.

    None if the flow is not tied or the other offer has ended.
    """
    if tracked.tie is None:
        return None
    offer, other = tracked.tie.find(agent)
    if offer is None:
        return None
    offer.phase = ENDED
    return None if other.phase == ENDED else other.target.agent
