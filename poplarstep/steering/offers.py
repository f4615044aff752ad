r"""How a balancer finds a target for a new flow.

Explanation
===========

An opening packet is offered to targets one after the other. The first
offers return at once from a target without a free slot; the last one may
wait in the queue of the agent with the shortest wait. An offer without an
answer is followed by the next one, so a lost datagram or a dead host costs
a few milliseconds and not a repetition by the caller.
"""

from poplarstep.core import effect
from poplarstep.steering import balancer_state as states
from poplarstep.steering import message
from poplarstep.steering import segment as segments

# Offers that may not wait; after them the shortest queue is taken.
EAGER_OFFERS = 3
MAXIMUM_OFFERS = 8
# Callers repeat an opening packet after 200 and 600 ms and give up after
# this time.
OPENING_PATIENCE_MS = 1400
# Part of a route's objective that a new flow may spend in queues. Without a
# bound an overloaded target answers all requests late and none in time.
QUEUE_SHARE = 0.5
# A flow that no target takes for a passing reason is offered again after
# this time, while its caller still waits.
ROUND_MS = 60
PASSING = frozenset((
    message.ABSENT, message.COLD, message.WRONG_SERVICE, message.LEAVING))
MAXIMUM_FLOWS = 200_000


def track(state, flow, now):
    r"""Return a new entry of the table of flows."""
    if len(state.tracked_by_flow) >= MAXIMUM_FLOWS:
        # The table is a cache; the oldest entry can be found again.
        state.counters.table_full += 1
        oldest = next(iter(state.tracked_by_flow))
        del state.tracked_by_flow[oldest]
        state.offering.pop(oldest, None)
        state.parked.pop(oldest, None)
    tracked = state.tracked_by_flow[flow] = states.Tracked(now)
    return tracked


def opening(state, segment, tracked, now):
    r"""Offer a new flow, or repeat an offer that was taken."""
    route = state.catalogue.route_by_address.get(
        segments.service_of(segment.flow))
    if route is None:
        state.counters.unknown_route += 1
        return refuse(
            state, segment.flow, tracked, 'no-route', segment.repeated)
    if tracked is not None:
        tracked.last_used = now
        if tracked.offered_to is not None or segment.flow in state.parked:
            return []
        if tracked.agent is not None and now < tracked.deadline:
            return [message.ToNode(tracked.agent, _offer(
                tracked, segment.flow, segment.datagram, now))]
    state.counters.openings += 1
    tracked = track(state, segment.flow, now)
    tracked.opening = segment.datagram
    tracked.opened_at = now
    tracked.may_be_open = segment.repeated
    tracked.service = _service_of(state, route)
    tracked.priority = route.priority
    tracked.deadline = now + min(OPENING_PATIENCE_MS, route.timeout_ms)
    objective_ms = route.objective_ms or route.timeout_ms
    tracked.queue_until = min(
        tracked.deadline, now + int(QUEUE_SHARE * objective_ms))
    return next_offer(state, segment.flow, tracked, now)


def _service_of(state, route):
    r"""Return the number of the service that takes a new flow."""
    if len(route.shares) == 1:
        return route.shares[0].service
    return state.random.choices(
        [share.service for share in route.shares],
        [share.weight for share in route.shares])[0]


def _offer(tracked, flow, datagram, now):
    return message.Offer(
        flow, tracked.service, tracked.priority,
        max(0, tracked.queue_until - now), tracked.waits, datagram)


def next_offer(state, flow, tracked, now):
    r"""Offer a flow to the next target, or refuse it."""
    candidates = state.catalogue.selectable_by_service.get(
        tracked.service, ())
    target = None
    if tracked.offers < EAGER_OFFERS:
        target = state.placement.choose(candidates, tracked.tried, now)
        tracked.waits = len(candidates) == 1
    if target is None and tracked.offers < MAXIMUM_OFFERS:
        target = _shortest_queue(state, tracked, candidates, now)
        tracked.waits = True
    if target is None and _may_change(tracked, candidates, now):
        state.counters.parked += 1
        state.parked[flow] = now + ROUND_MS
        return []
    if target is None or now >= tracked.deadline:
        state.counters.no_target += 1
        stop_offering(state, flow, tracked)
        del state.tracked_by_flow[flow]
        return refuse(
            state, flow, tracked, 'no-target', tracked.may_be_open)
    tracked.offered_to = target
    tracked.offered_at = now
    tracked.offers += 1
    state.offering[flow] = tracked
    state.placement.offered(target.number)
    state.counters.offers += 1
    return [message.ToNode(target.agent, _offer(
        tracked, flow, tracked.opening, now))]


def _may_change(tracked, candidates, now):
    r"""Return whether another round of offers may find a target in time."""
    passing = not candidates or not PASSING.isdisjoint(
        tracked.reports.values())
    return passing and now + ROUND_MS < tracked.deadline


def next_round(state, flow, now):
    r"""Offer a parked flow to all targets again."""
    del state.parked[flow]
    tracked = state.tracked_by_flow[flow]
    tracked.tried = ()
    tracked.reports = {}
    tracked.offers = 0
    return next_offer(state, flow, tracked, now)


def _shortest_queue(state, tracked, candidates, now):
    r"""Return the busy target that will be free first, or an untried one."""
    busy = [
        item for item in candidates
        if tracked.reports.get(item.number) == message.BUSY]
    if busy:
        return min(
            busy, key=lambda item: state.placement.wait_us(item, now))
    return state.placement.choose(candidates, tracked.tried, now)


def stop_offering(state, flow, tracked):
    r"""Note that the target that was offered the flow has answered."""
    state.offering.pop(flow, None)
    tracked.offered_to = None


def refuse(state, flow, tracked, reason, may_be_open):
    r"""Reset a flow that is surely not open; otherwise say nothing.

    A caller whose flow is not open gives up by itself.
    """
    line = effect.LogChange('flow-refused', (
        ('flow', segments.describe(flow)), ('reason', reason),
        ('offers', tracked.offers if tracked else 0),
        ('reset', not may_be_open),
        ('version', state.catalogue.version)))
    if may_be_open:
        return [line]
    state.counters.reset_flows += 1
    return [message.ResetFlow(flow), line]
