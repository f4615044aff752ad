r"""Stage of a balancer that steers the packets of opaque flows.

Explanation
===========

The table of flows is a cache: the agents know which flows their targets
hold. A balancer that does not know a flow, because the fabric moved it here
or because this process has just started, sends the packet to all agents of
the route's services; the one that holds the flow passes it on and answers.

An opening packet is offered to targets one after the other. The first
offers return at once from a target without a free slot; the last one may
wait in the queue of the agent with the shortest wait. An offer without an
answer is followed by the next one, so a lost datagram or a dead host costs
a few milliseconds and not a repetition by the caller.
"""

from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.steering import message
from poplarstep.steering import segment as segments

TICK = 'steering'
TICK_PERIOD_MS = 20
# Agents answer an offer at once; the rest is for the way and a busy host.
OFFER_TIMEOUT_MS = 60
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
# Packets of an unknown flow that are sent to all agents of a route. A flow
# that nobody holds has ended; its caller finds out by its time limit.
MAXIMUM_FINDS = 12
MAXIMUM_FLOWS = 200_000
# After a pause of this length, such as a freeze of the host, the callers of
# the opening packets that wait in the socket have gone or have repeated them.
PAUSE_MS = 400
SWEEP_MS = 1000
DEFAULT_IDLE_MS = 15_000

STEER = stage.Stage('steer')


class Tracked:
    r"""What a balancer remembers of one flow.

    Parameters
    ==========

    agent : Address or None
        The agent that holds the flow; None while it is offered or sought.
    opening : bytes
        Opening packet that is being offered, or no bytes.
    tried : tuple of int
        Numbers of the targets that did not take it.
    offered_to : Target or None
        Target whose agent has not answered yet.
    may_be_open : bool
        A target may have taken the flow without this balancer's knowledge,
        so it must not be reset.
    """

    __slots__ = (
        'agent', 'opening', 'tried', 'offered_to', 'offered_at', 'offers',
        'service', 'priority', 'deadline', 'last_used', 'finds', 'waits',
        'reports', 'may_be_open', 'queue_until')

    def __init__(self, now):
        self.agent = None
        self.opening = b''
        self.tried = ()
        self.offered_to = None
        self.offered_at = 0
        self.offers = 0
        self.service = 0
        self.priority = 0
        self.deadline = 0
        self.last_used = now
        self.finds = 0
        self.waits = False
        self.reports = {}
        self.may_be_open = False
        self.queue_until = 0


class SteeringCounters:
    r"""Counts of events since the balancer started."""

    __slots__ = (
        'packets', 'carried', 'openings', 'offers', 'held', 'not_taken',
        'silent_offers', 'finds', 'strays', 'unknown_route', 'reset_flows',
        'no_target', 'unconfirmed', 'table_full', 'outdated', 'pauses',
        'parked')

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)


class SteeringState:
    r"""State of the stage; build it with ``make_steering``."""

    __slots__ = (
        'catalogue', 'confirmed', 'placement', 'random', 'tracked_by_flow',
        'offering', 'parked', 'counters', 'sweep_due', 'ticked_at',
        'resumed_at')

    def __init__(self, catalogue, confirmed, placed, random):
        self.catalogue = catalogue
        self.confirmed = confirmed
        self.placement = placed
        self.random = random
        self.tracked_by_flow = {}
        self.offering = {}
        self.parked = {}
        self.counters = SteeringCounters()
        self.sweep_due = 0
        self.ticked_at = None
        self.resumed_at = None


def make_steering(catalogue, confirmed, placed, random):
    r"""Return the state of a balancer that knows no flow.

    Parameters
    ==========

    catalogue : Catalogue
        Configuration copy of this node.
    confirmed : callable
        Takes ``now`` and returns whether the configuration may be used.
    placed : Placement
        Chooses targets.
    random : random.Random
        Draws the service of a route with several shares.
    """
    return SteeringState(catalogue, confirmed, placed, random)


@STEER.handles(message.FromCaller)
def from_caller(state, event, now):
    r"""Steer one packet of a caller."""
    state.counters.packets += 1
    if not state.confirmed(now):
        # Silence: another balancer may know better, and callers repeat.
        state.counters.unconfirmed += 1
        return []
    segment = event.segment
    tracked = state.tracked_by_flow.get(segment.flow)
    if segment.opening and _is_outdated(state, now):
        state.counters.outdated += 1
        return []
    if segment.opening:
        return _opening(state, segment, tracked, now)
    if tracked is None:
        tracked = _track(state, segment.flow, now)
    tracked.last_used = now
    return _onward(state, tracked, _carry(segment))


def _is_outdated(state, now):
    r"""Return whether packets may have waited for this process to resume.

    It has not ticked for a while, or what had piled up is still being read.
    """
    if state.ticked_at is None:
        return False
    return now - state.ticked_at > PAUSE_MS or state.resumed_at is not None


def _carry(segment):
    return message.Carry(
        segment.flow, segment.data_bytes > 0,
        segment.closing or segment.reset, segment.datagram)


def _onward(state, tracked, carry):
    r"""Send a packet to the agent that holds its flow, or look for it."""
    if tracked.agent is not None:
        state.counters.carried += 1
        return [message.ToNode(tracked.agent, carry)]
    if tracked.finds >= MAXIMUM_FINDS:
        return []
    tracked.finds += 1
    state.counters.finds += 1
    find = message.Find(carry)
    return [
        message.ToNode(agent, find)
        for agent in _possible_agents(state, carry.flow)]


def _possible_agents(state, flow):
    r"""Return the agents of all targets that may hold a flow."""
    catalogue = state.catalogue
    route = catalogue.route_by_address.get(segments.service_of(flow))
    if route is None:
        return ()
    return tuple(
        target.agent
        for share in route.shares
        for target in catalogue.targets_by_service.get(
            share.service, {}).values())


def _track(state, flow, now):
    if len(state.tracked_by_flow) >= MAXIMUM_FLOWS:
        # The table is a cache; the oldest entry can be found again.
        state.counters.table_full += 1
        oldest = next(iter(state.tracked_by_flow))
        del state.tracked_by_flow[oldest]
        state.offering.pop(oldest, None)
        state.parked.pop(oldest, None)
    tracked = state.tracked_by_flow[flow] = Tracked(now)
    return tracked


def _opening(state, segment, tracked, now):
    r"""Offer a new flow, or repeat an offer that was taken."""
    route = state.catalogue.route_by_address.get(
        segments.service_of(segment.flow))
    if route is None:
        state.counters.unknown_route += 1
        return _refuse(
            state, segment.flow, tracked, 'no-route', segment.repeated)
    if tracked is not None:
        tracked.last_used = now
        if tracked.offered_to is not None or segment.flow in state.parked:
            return []
        if tracked.agent is not None and now < tracked.deadline:
            return [message.ToNode(tracked.agent, _offer(
                tracked, segment.flow, segment.datagram, now))]
    state.counters.openings += 1
    tracked = _track(state, segment.flow, now)
    tracked.opening = segment.datagram
    tracked.may_be_open = segment.repeated
    tracked.service = _service_of(state, route)
    tracked.priority = route.priority
    tracked.deadline = now + min(OPENING_PATIENCE_MS, route.timeout_ms)
    objective_ms = route.objective_ms or route.timeout_ms
    tracked.queue_until = min(
        tracked.deadline, now + int(QUEUE_SHARE * objective_ms))
    return _next_offer(state, segment.flow, tracked, now)


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


def _next_offer(state, flow, tracked, now):
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
        _stop_offering(state, flow, tracked)
        del state.tracked_by_flow[flow]
        return _refuse(
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


def _next_round(state, flow, now):
    r"""Offer a parked flow to all targets again."""
    del state.parked[flow]
    tracked = state.tracked_by_flow[flow]
    tracked.tried = ()
    tracked.reports = {}
    tracked.offers = 0
    return _next_offer(state, flow, tracked, now)


def _shortest_queue(state, tracked, candidates, now):
    r"""Return the busy target that will be free first, or an untried one."""
    busy = [
        item for item in candidates
        if tracked.reports.get(item.number) == message.BUSY]
    if busy:
        return min(
            busy, key=lambda item: state.placement.wait_us(item, now))
    return state.placement.choose(candidates, tracked.tried, now)


def _stop_offering(state, flow, tracked):
    state.offering.pop(flow, None)
    tracked.offered_to = None


def _refuse(state, flow, tracked, reason, may_be_open):
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


# Handlers ``(state, event, now)`` by the type of the message in the event.
ANSWERS = stage.Stage('answers of agents')


@STEER.handles(message.FromNode)
def from_node(state, event, now):
    r"""Take in an agent's answer about a flow."""
    handler = ANSWERS.handler_by_type.get(type(event.message))
    return handler(state, event, now) if handler else ()


@ANSWERS.handles(message.Held)
def held(state, event, now):
    r"""Remember which agent holds a flow."""
    answer = event.message
    tracked = state.tracked_by_flow.get(answer.flow)
    if tracked is None:
        return []
    state.counters.held += 1
    offered = tracked.offered_to
    if offered is not None and offered.agent == event.source:
        state.placement.answered(offered.number, answer.load, now)
        _stop_offering(state, answer.flow, tracked)
    tracked.agent = event.source
    tracked.finds = 0
    return []


@ANSWERS.handles(message.NotTaken)
def not_taken(state, event, now):
    r"""Offer the flow to the next target."""
    answer = event.message
    tracked = state.tracked_by_flow.get(answer.flow)
    if tracked is None or tracked.offered_to is None or (
            tracked.offered_to.agent != event.source):
        return _lost_holder(state, tracked, event, now)
    state.counters.not_taken += 1
    number = tracked.offered_to.number
    state.placement.answered(number, answer.load, now)
    tracked.tried += (number,)
    tracked.reports[number] = answer.reason
    _stop_offering(state, answer.flow, tracked)
    return _after_refusal(state, tracked, answer, now)


def _after_refusal(state, tracked, answer, now):
    if answer.reason == message.OVERLOADED:
        # The caller hears it while there is time for another try.
        del state.tracked_by_flow[answer.flow]
        return _refuse(
            state, answer.flow, tracked, answer.reason, tracked.may_be_open)
    return _next_offer(state, answer.flow, tracked, now)


def _lost_holder(state, tracked, event, now):
    r"""Offer a flow anew whose agent took it and could not place it."""
    if tracked is None or tracked.agent != event.source or (
            not tracked.opening):
        return []
    tracked.agent = None
    return _after_refusal(state, tracked, event.message, now)


@ANSWERS.handles(message.Stray)
def stray(state, event, now):
    r"""Look for the holder of a flow that a target did not know."""
    answer = event.message
    state.counters.strays += 1
    tracked = state.tracked_by_flow.get(answer.flow)
    if tracked is None:
        return []
    if tracked.agent not in (None, event.source):
        return _onward(state, tracked, _carry_of(answer))
    if tracked.agent is None:
        # One of several agents that were asked; the others may hold it.
        return []
    tracked.agent = None
    return _onward(state, tracked, _carry_of(answer))


def _carry_of(answer):
    return message.Carry(
        answer.flow, answer.sending, answer.ending, answer.datagram)


@STEER.handles(timer.Tick)
def tick(state, event, now):
    r"""Repeat unanswered offers elsewhere and forget idle flows."""
    if event.name != TICK:
        return [event]
    effects = _note_pause(state, now)
    for flow, tracked in list(state.offering.items()):
        if now - tracked.offered_at >= OFFER_TIMEOUT_MS:
            effects.extend(_silent(state, flow, tracked, now))
    for flow, due in list(state.parked.items()):
        if now >= due:
            effects.extend(_next_round(state, flow, now))
    if now >= state.sweep_due:
        state.sweep_due = now + SWEEP_MS
        _sweep(state, now)
    return effects


def _note_pause(state, now):
    r"""Notice a pause; it counts until the next tick that came in time."""
    paused_ms = 0 if state.ticked_at is None else now - state.ticked_at
    state.ticked_at = now
    if paused_ms <= PAUSE_MS:
        state.resumed_at = None
        return []
    state.resumed_at = now
    state.counters.pauses += 1
    return [effect.LogChange('resumed', (('paused_ms', paused_ms),))]


def _silent(state, flow, tracked, now):
    state.counters.silent_offers += 1
    number = tracked.offered_to.number
    state.placement.silent(number, now)
    tracked.tried += (number,)
    tracked.may_be_open = True
    _stop_offering(state, flow, tracked)
    line = effect.LogChange('offer-unanswered', (
        ('flow', segments.describe(flow)), ('target', number),
        ('waited_ms', now - tracked.offered_at),
        ('version', state.catalogue.version)))
    return [line] + _next_offer(state, flow, tracked, now)


def _sweep(state, now):
    r"""Forget the flows that were idle for too long, oldest first."""
    policy = state.catalogue.policy
    idle_ms = policy.flow_idle_ms if policy else DEFAULT_IDLE_MS
    for flow in list(state.tracked_by_flow):
        tracked = state.tracked_by_flow[flow]
        if now - tracked.last_used > idle_ms and (
                tracked.offered_to is None and flow not in state.parked):
            del state.tracked_by_flow[flow]


@STEER.handles(dissemination.CatalogueChanged)
def catalogue_changed(state, event, now):
    r"""Forget what was learned of targets that are gone."""
    state.placement.forget(state.catalogue.target_by_number)
    return []
