r"""Offers a new flow to the agents of targets until one accepts it.

Explanation
===========

Targets are tried one after the other. The first offers are rejected at once
if the target has no free slot; later ones may wait in the queue of the agent
with the shortest expected wait. An offer without an answer times out and the
next target is tried, so a lost datagram or a host that is down delays the
flow by less than a retransmission by the caller would.

A flow that has waited for its targets, or for the configuration, until it
can't be answered within its objective any more is late. It is not refused, but
it gets no place in a queue: a target takes it if it has a free slot. After a
loss of all hosts the late flows use the capacity that the others leave. While
other flows are refused, late ones wait.

A round of offers goes to the candidates of the flow, see
``poplarstep.opaque_flows.candidates``. If all reject the flow and one of the
reasons may pass, a new round with more candidates starts a little later.
"""

from poplarstep.opaque_flows import balancer_state as states
from poplarstep.opaque_flows import locality
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import objectives
from poplarstep.opaque_flows import refusals
from poplarstep.opaque_flows import segment as segments
from poplarstep.opaque_flows import tied_offers

# Offers in a round that may not be queued, unless the service has a single
# target; later ones go to the shortest queue.
OFFERS_WITHOUT_QUEUE = 3
MAXIMUM_OFFERS_PER_ROUND = 8
# Callers retransmit an opening packet after 200 and 600 ms, and give up after
# this time.
CALLER_OPEN_TIMEOUT_MS = 1400
# Late flows are not offered for as long after an overload.
LATE_BLOCKED_MS = 200
# Time between two rounds of offers of a flow.
ROUND_INTERVAL_MS = 60
# Reasons for a rejection that may no longer hold in the next round.
TRANSIENT_REASONS = frozenset((
    message.ABSENT, message.COLD, message.WRONG_SERVICE, message.LEAVING,
    message.MAY_HAVE_STARTED))
MAXIMUM_TRACKED_FLOWS = 200_000


def add_flow(state: states.FlowBalancerState, flow, now):
    r"""Add a flow to the flow table and return its entry.

    The oldest entry is removed from a full table.
    """
    if len(state.tracked_by_flow) >= MAXIMUM_TRACKED_FLOWS:
        # The table is a cache: the agent of a removed flow is looked up when
        # its next packet arrives.
        state.counters.table_full += 1
        oldest = next(iter(state.tracked_by_flow))
        del state.tracked_by_flow[oldest]
        state.offered_by_flow.pop(oldest, None)
        state.retry_at_by_flow.pop(oldest, None)
    tracked = state.tracked_by_flow[flow] = states.TrackedFlow(now)
    return tracked


def handle_opening(
        state: states.FlowBalancerState, segment, tracked: states.TrackedFlow,
        now, received_at=None):
    r"""Offer a new flow, or send a copy to the agent that accepted it.

    Copies of an opening packet are dropped while the flow is being offered.
    ``received_at`` is when a packet arrived that had to wait, by default now;
    the time until the caller gives up counts from it. The caller may have
    opened the flow through another balancer meanwhile.
    """
    route = state.catalogue.route_by_address.get(
        segments.service_of(segment.flow))
    if route is None:
        state.counters.unknown_route += 1
        return refusals.refuse(
            state, segment.flow, tracked, 'no-route', segment.repeated)
    if tracked is not None:
        tracked.last_used = now
        if segment.repeated:
            refusals.record_copy(tracked, now)
        if tracked.refusal:
            return refusals.answer_copy(state, segment.flow, tracked, now)
        if tracked.offered_to is not None or (
                segment.flow in state.retry_at_by_flow):
            return []
        if tracked.agent is not None and now < tracked.opening_deadline:
            return [message.ToNode(tracked.agent, _offer(
                tracked, segment.flow, segment.datagram, now,
                tied_offers.tied_agent(tracked)))]
    state.counters.openings += 1
    tied_offers.record_new_flow(state.tie_limits)
    tracked = add_flow(state, segment.flow, now)
    has_waited = received_at is not None
    if not has_waited:
        received_at = now
    tracked.opening_datagram = segment.datagram
    tracked.opening_received_at = received_at
    refusals.start(tracked, received_at, segment.repeated or has_waited)
    tracked.service = _choose_service(state, route)
    tracked.priority = route.priority
    tracked.opening_deadline = received_at + min(
        CALLER_OPEN_TIMEOUT_MS, route.timeout_ms)
    objective_ms = route.objective_ms or route.timeout_ms
    objective_part_ms = int(objectives.QUEUE_FRACTION * objective_ms)
    tracked.queue_deadline = received_at + objective_part_ms
    tracked.late_deadline = received_at + min(
        CALLER_OPEN_TIMEOUT_MS, route.timeout_ms - objective_part_ms)
    return next_offer(state, segment.flow, tracked, now)


def _choose_service(state: states.FlowBalancerState, route):
    r"""Return the number of the service for a new flow, chosen by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    return state.random.choices(
        [share.service for share in route.shares],
        [share.weight for share in route.shares])[0]


def _offer(tracked: states.TrackedFlow, flow, datagram, now, tied_agent=None):
    return message.Offer(
        flow, tracked.service, tracked.priority,
        max(0, tracked.queue_deadline - now), tracked.may_queue, datagram,
        tied_agent)


def next_offer(
        state: states.FlowBalancerState, flow, tracked: states.TrackedFlow,
        now):
    r"""Offer a flow to the next target, wait for a new round, or refuse it."""
    return state.locality.check_spill(
        state, tracked.service, now) + _offer_to_next(
            state, flow, tracked, now)


def _offer_to_next(
        state: states.FlowBalancerState, flow, tracked: states.TrackedFlow,
        now):
    candidates = state.candidates.offered(
        tracked.service, flow, tracked.round_count)
    if now >= tracked.queue_deadline:
        target = _target_of_late_flow(state, tracked, candidates, now)
    else:
        target = _target_in_time(state, tracked, candidates, now)
    if target is None and _may_succeed_later(tracked, candidates, now):
        state.counters.parked += 1
        state.retry_at_by_flow[flow] = now + ROUND_INTERVAL_MS
        return []
    if target is None or now >= tracked.opening_deadline:
        state.counters.no_target += 1
        clear_offer(state, flow, tracked)
        return refusals.give_up(state, flow, tracked, 'no-target', now)
    second = _second_target(state, flow, tracked, candidates, target, now)
    tracked.offered_to = target
    tracked.offered_at = now
    tracked.offer_count += 1
    state.offered_by_flow[flow] = tracked
    state.placement.offered(target.number, now)
    state.counters.offers += 1
    if second is not None:
        return _tied_offers(state, flow, tracked, target, second, now)
    return [message.ToNode(target.agent, _offer(
        tracked, flow, tracked.opening_datagram, now))]


def _second_target(
        state: states.FlowBalancerState, flow, tracked: states.TrackedFlow,
        candidates, first, now):
    r"""Return the other target of a flow that is tied, or None."""
    if not tied_offers.is_eligible(state, flow, tracked):
        return None
    others = [
        item for item in candidates if item is not first
        and tied_offers.may_gain(state.placement, first, item, now)]
    target = _shortest_queue(state, tracked, others, now)
    if target is None or not tied_offers.try_take(
            state, tracked.service, now):
        return None
    return target


def _tied_offers(
        state: states.FlowBalancerState, flow, tracked: states.TrackedFlow,
        first, second, now):
    r"""Offer a flow to two agents, each of which may queue it."""
    tracked.offer_count += 1
    state.placement.offered(second.number, now)
    state.counters.offers += 1
    return [message.ToNode(target.agent, _offer(
        tracked, flow, tracked.opening_datagram, now, other.agent))
        for target, other in ((first, second), (second, first))
    ] + [tied_offers.tie(state, flow, tracked, first, second)]


def _target_in_time(
        state: states.FlowBalancerState, tracked: states.TrackedFlow,
        candidates, now):
    r"""Return the next target of a round, at last one that may queue."""
    if tracked.offer_count < _offers_without_queue(state, tracked):
        target = locality.choose(state, tracked, candidates, now)
        if target is not None:
            tracked.may_queue = len(candidates) == 1
            return target
    if tracked.offer_count >= MAXIMUM_OFFERS_PER_ROUND:
        return None
    tracked.may_queue = True
    return _shortest_queue(state, tracked, candidates, now)


def _offers_without_queue(
        state: states.FlowBalancerState, tracked: states.TrackedFlow):
    return OFFERS_WITHOUT_QUEUE + state.locality.extra_offers(tracked.service)


def _target_of_late_flow(
        state: states.FlowBalancerState, tracked: states.TrackedFlow,
        candidates, now):
    r"""Return the target that may take a late flow if it has a free slot."""
    tracked.is_late = True
    tracked.may_queue = False
    if now < state.late_blocked_until or (
            tracked.offer_count >= _offers_without_queue(state, tracked)):
        return None
    return locality.choose(state, tracked, candidates, now)


def record_overload(
        state: states.FlowBalancerState, tracked: states.TrackedFlow, now):
    r"""Keep late flows from delaying others, one of which is refused."""
    tied_offers.record_outcome(
        state.tie_limits, tracked.service, True, now)
    if not tracked.is_late:
        state.late_blocked_until = now + LATE_BLOCKED_MS


def _may_succeed_later(tracked: states.TrackedFlow, candidates, now):
    r"""Return whether another round of offers may succeed in time."""
    if tracked.is_late:
        return now + ROUND_INTERVAL_MS < tracked.late_deadline
    transient = not candidates or not TRANSIENT_REASONS.isdisjoint(
        tracked.reason_by_target.values())
    return transient and now + ROUND_INTERVAL_MS < tracked.opening_deadline


def start_round(state: states.FlowBalancerState, flow, now):
    r"""Start a new round of offers of a flow."""
    del state.retry_at_by_flow[flow]
    tracked = state.tracked_by_flow[flow]
    tracked.tried_targets = ()
    tracked.reason_by_target = {}
    tracked.offer_count = 0
    tracked.round_count += 1
    return next_offer(state, flow, tracked, now)


def _shortest_queue(
        state: states.FlowBalancerState, tracked: states.TrackedFlow,
        candidates, now):
    r"""Return the busy target with the shortest wait, or an untried one."""
    busy = [
        item for item in candidates
        if tracked.reason_by_target.get(item.number) == message.BUSY]
    if busy:
        busy = state.placement.ejection.eligible(busy, False, now) or busy
        shortest_us = state.placement.shortest_us(candidates)
        return min(busy, key=lambda item: state.placement.wait_us(
            item, now, shortest_us))
    return locality.choose(state, tracked, candidates, now)


def clear_offer(
        state: states.FlowBalancerState, flow, tracked: states.TrackedFlow):
    r"""Record that no answer to the current offer is expected any more."""
    state.offered_by_flow.pop(flow, None)
    tracked.offered_to = None
