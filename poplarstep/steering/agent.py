r"""Stages of an agent that guards the target beside it.

Explanation
===========

Everything that the target gets passes here, so this is the one place where
draining, cold start, a data centre out of service and the service of a flow
are enforced, whatever a balancer believes. Packets of flows that are open
are always handed over: the target alone knows what it holds and returns the
rest.

``PRESENCE`` takes in heartbeats and announces the target to the control
hosts; ``HOLD`` decides on offers, keeps the queue and follows the flows.
"""

import collections

from poplarstep.configuration import model
from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.steering import message
from poplarstep.steering import occupancy
from poplarstep.steering import segment as segments
from poplarstep.steering import target as targets

TICK = 'hold'
TICK_PERIOD_MS = 20
# Opening packets are handed over one ahead of the free slots, because the
# request of a new flow arrives a round trip later.
AHEAD = 1
MAXIMUM_QUEUE = 64
# A flow that has ended may still send a late packet.
ENDED_KEPT_MS = 3000
# A request that the target does not answer by then counts no longer.
REQUEST_LIMIT_MS = 2000
# Cold starts are counted over a little more than a second, because the
# target counts by its own clock.
COLD_WINDOW_MS = 1100
MAXIMUM_FLOWS = 50_000
SWEEP_MS = 1000
DEFAULT_IDLE_MS = 15_000

PRESENCE = stage.Stage('presence')
HOLD = stage.Stage('hold')


class Leave:
    r"""Event: this agent is about to stop."""

    __slots__ = ()


class Flow:
    r"""A flow of the target beside this agent.

    ``balancer`` sent its latest packet; ``confirmed`` tells a flow that the
    target has answered from one that it may not know.
    """

    __slots__ = (
        'balancer', 'opening', 'confirmed', 'ended_at', 'last_used')

    def __init__(self, balancer, opening, now):
        self.balancer = balancer
        self.opening = opening
        self.confirmed = False
        self.ended_at = None
        self.last_used = now


class Waiting:
    r"""An opening packet in the queue of an agent."""

    __slots__ = ('balancer', 'offer', 'deadline')

    def __init__(self, balancer, offer, deadline):
        self.balancer = balancer
        self.offer = offer
        self.deadline = deadline


class HoldCounters:
    r"""Counts of events since the agent started."""

    __slots__ = (
        'offers', 'taken', 'queued', 'not_taken', 'carried', 'found',
        'passed_unsure', 'returned', 'expired_waiting', 'heartbeats',
        'outdated_heartbeats', 'restarts', 'to_caller')

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)


class HoldState:
    r"""State of both stages; build it with ``make_hold``."""

    __slots__ = (
        'node', 'data_centre', 'address', 'incarnation', 'revision',
        'catalogue', 'fresh_ms', 'flow_limit_ms', 'cold_factor',
        'cold_slack', 'started_at', 'target', 'flow_by_key', 'occupancy',
        'queue_by_priority', 'waiting', 'cold_starts', 'leaving', 'gone',
        'announced', 'was_out', 'returned_at', 'counters', 'sweep_due')

    def __init__(self, settings, catalogue, incarnation, now):
        self.node = settings['node']
        self.data_centre = settings['data-centre']
        self.address = settings['agent-address']
        self.fresh_ms = settings['target-fresh']
        self.flow_limit_ms = settings['flow-limit']
        self.cold_factor = settings['cold-factor']
        self.cold_slack = settings['cold-slack']
        self.catalogue = catalogue
        self.incarnation = incarnation
        self.revision = 0
        self.started_at = now
        self.target = None
        self.flow_by_key = {}
        self.occupancy = occupancy.Occupancy()
        self.queue_by_priority = {}
        self.waiting = 0
        self.cold_starts = collections.deque()
        self.leaving = False
        self.gone = False
        self.announced = None
        self.was_out = False
        self.returned_at = None
        self.counters = HoldCounters()
        self.sweep_due = 0


def make_hold(settings, catalogue, incarnation, now):
    r"""Return the state of an agent that has not heard its target."""
    return HoldState(settings, catalogue, incarnation, now)


@PRESENCE.handles(targets.Heartbeat)
def heartbeat(state, event, now):
    r"""Take in a heartbeat; announce what balancers need to know."""
    state.counters.heartbeats += 1
    reply = [targets.HeartbeatReply(event.key)] if event.key else []
    view = state.target
    if view is not None and targets.is_outdated(view, event):
        state.counters.outdated_heartbeats += 1
        return reply
    effects = []
    if view is None or not targets.is_same_start(view, event):
        effects = _new_start(state, event, now)
    else:
        _refresh(view, event, now)
    if state.returned_at is not None and now > state.returned_at:
        state.returned_at = None
    return effects + _announce(state, now) + reply


def _new_start(state, event, now):
    r"""Replace what is known by a new start of a target."""
    if state.target is not None:
        state.counters.restarts += 1
        state.flow_by_key.clear()
        state.occupancy.clear()
    state.target = targets.TargetView(event, now)
    state.gone = False
    return [effect.LogChange('target-started', (
        ('target', event.identity), ('service', event.service),
        ('started_at', event.started_at), ('cold_ms', event.cold_ms)))]


def _refresh(view, event, now):
    view.sequence = event.sequence
    view.slots = event.slots
    view.service = event.service
    view.leaving = event.leaving
    view.heard_at = now
    view.cold_until = now + event.cold_ms


@PRESENCE.handles(targets.Departure)
def departure(state, event, now):
    r"""Give a target that ends no more flows."""
    reply = [targets.HeartbeatReply(event.key)] if event.key else []
    if state.target is None or state.target.identity != event.identity:
        return reply
    state.gone = True
    return _announce(state, now) + reply


@PRESENCE.handles(dissemination.Outranked)
def outranked(state, event, now):
    r"""Rise above the incarnation of a former run with a later clock."""
    if event.incarnation < state.incarnation:
        return []
    state.incarnation = event.incarnation + 1
    state.announced = None
    return _announce(state, now)


@PRESENCE.handles(Leave)
def leave(state, event, now):
    r"""Take no new flows from now on and say so."""
    state.leaving = True
    return _announce(state, now)


@PRESENCE.handles(timer.Tick)
def watch(state, event, now):
    r"""Announce a target that has fallen silent."""
    if event.name == TICK:
        return [event] + _announce(state, now)
    return [event]


def _announce(state, now):
    r"""Return the announcement if it differs from the last one."""
    view = state.target
    if view is None:
        return []
    leaving = view.leaving or state.leaving or state.gone or (
        now - view.heard_at > state.fresh_ms)
    facts = (view.service, view.slots, leaving, state.incarnation)
    if facts == state.announced:
        return []
    state.announced = facts
    state.revision += 1
    return [
        dissemination.Announced(model.Announcement(
            state.node, view.service, state.data_centre, state.address,
            state.incarnation, state.revision, max(1, view.slots), 1,
            leaving)),
        effect.LogChange('target-announced', (
            ('target', view.identity), ('service', view.service),
            ('leaving', leaving)))]


@HOLD.handles(dissemination.CatalogueChanged)
def catalogue_changed(state, event, now):
    r"""Notice when the data centre comes back into service.

    Its targets may have become cold meanwhile; they count as cold until
    the next heartbeat tells.
    """
    out = _is_out(state)
    if state.was_out and not out:
        state.returned_at = now
    state.was_out = out
    return [event]


def _is_out(state):
    centre = state.catalogue.data_centre_by_name.get(state.data_centre)
    return centre is not None and centre.out


@HOLD.handles(message.FromNode)
def from_node(state, event, now):
    r"""Take in what a balancer sent."""
    handler = REQUESTS.handler_by_type.get(type(event.message))
    return handler(state, event, now) if handler else ()


# Handlers ``(state, event, now)`` by the type of the message in the event.
REQUESTS = stage.Stage('requests of balancers')


@REQUESTS.handles(message.Offer)
def offer(state, event, now):
    r"""Take a new flow, let it wait, or return it."""
    state.counters.offers += 1
    offered = event.message
    flow = state.flow_by_key.get(offered.flow)
    if flow is not None and flow.ended_at is None:
        flow.balancer = event.source
        return [
            message.ToTarget(offered.datagram), _held(state, event.source,
                                                      offered.flow)]
    reason = obstacle(state, offered.service, now)
    if not reason:
        reason = _no_room(state, offered)
    if reason:
        return [
            _not_taken(state, event.source, offered.flow, reason),
            _not_taken_line(state, offered.flow, reason)]
    if _may_start(state, now):
        return _start(state, event.source, offered, now)
    if not offered.may_wait:
        return [_not_taken(
            state, event.source, offered.flow, message.BUSY)]
    return _enqueue(state, event.source, offered, now)


def obstacle(state, service, now):
    r"""Return why no flow of a service may start now, or an empty text."""
    view = state.target
    if view is None or state.gone or now - view.heard_at > state.fresh_ms:
        return message.ABSENT
    known = state.catalogue.service_by_name.get(view.service)
    if known is None or known.number != service:
        return message.WRONG_SERVICE
    if view.leaving or state.leaving:
        return message.LEAVING
    if _is_out(state):
        return message.DATA_CENTRE_OUT
    if is_cold(state, now) and _cold_starts(state, now) >= cold_limit(
            state, known):
        return message.COLD
    return ''


def is_cold(state, now):
    r"""Return whether the target is in cold start, as far as is known."""
    return now < state.target.cold_until or state.returned_at is not None


def cold_limit(state, service):
    r"""Return how many flows a cold target may start in one second."""
    return max(1, int(
        service.cold_per_second * state.cold_factor + state.cold_slack))


def _cold_starts(state, now):
    r"""Return the number of flows that started in the last second.

    What a former run of this agent started is not known.
    """
    if not state.target.from_start and (
            now - state.started_at <= COLD_WINDOW_MS):
        return MAXIMUM_QUEUE
    starts = state.cold_starts
    while starts and now - starts[0] > COLD_WINDOW_MS:
        starts.popleft()
    return len(starts)


def _no_room(state, offered):
    r"""Return why an offer can't be served in time, or an empty text."""
    if state.waiting >= MAXIMUM_QUEUE:
        return message.OVERLOADED
    if not offered.may_wait:
        return ''
    if expected_wait_ms(state, offered.priority) > offered.patience_ms:
        return message.OVERLOADED
    return ''


def expected_wait_ms(state, priority):
    r"""Return how long a new request of a priority would wait for a slot."""
    ahead = state.occupancy.count() + sum(
        len(queue) for number, queue in state.queue_by_priority.items()
        if number <= priority)
    slots = max(1, state.target.slots)
    over = max(0, ahead - slots + 1)
    return over * state.occupancy.service_us / slots / 1000


def _may_start(state, now):
    slots = max(1, state.target.slots)
    return not state.waiting and state.occupancy.count() < slots


def _start(state, balancer, offered, now):
    r"""Hand an opening packet to the target."""
    state.counters.taken += 1
    _remember(state, offered.flow, Flow(balancer, offered, now))
    state.occupancy.reserve(offered.flow, now)
    state.cold_starts.append(now)
    if len(state.cold_starts) > MAXIMUM_QUEUE:
        _cold_starts(state, now)
    return [
        message.ToTarget(offered.datagram),
        _held(state, balancer, offered.flow),
        effect.LogChange('flow-started', (
            ('flow', segments.describe(offered.flow)),
            ('target', state.target.identity),
            ('occupied', state.occupancy.count()),
            ('waiting', state.waiting),
            ('heartbeat_age_ms', now - state.target.heard_at),
            ('version', state.catalogue.version)))]


def _remember(state, key, flow):
    if len(state.flow_by_key) >= MAXIMUM_FLOWS:
        del state.flow_by_key[next(iter(state.flow_by_key))]
    state.flow_by_key[key] = flow


def _enqueue(state, balancer, offered, now):
    state.counters.queued += 1
    queue = state.queue_by_priority.setdefault(
        offered.priority, collections.OrderedDict())
    if offered.flow not in queue:
        state.waiting += 1
    queue[offered.flow] = Waiting(
        balancer, offered, now + offered.patience_ms)
    return [_held(state, balancer, offered.flow)]


def _held(state, balancer, key):
    return message.ToNode(balancer, message.Held(key, _load(state)))


def _not_taken(state, balancer, key, reason):
    state.counters.not_taken += 1
    return message.ToNode(
        balancer, message.NotTaken(key, reason, _load(state)))


def _not_taken_line(state, key, reason):
    return effect.LogChange('flow-not-taken', (
        ('flow', segments.describe(key)), ('reason', reason),
        ('occupied', state.occupancy.count()), ('waiting', state.waiting),
        ('version', state.catalogue.version)))


def _load(state):
    slots = state.target.slots if state.target else 1
    return state.occupancy.load(state.waiting, max(1, slots))


@REQUESTS.handles(message.Carry)
def carry(state, event, now):
    r"""Hand over a later packet; the target knows whether it holds it."""
    return _hand_over(state, event.source, event.message, now)


@REQUESTS.handles(message.Find)
def find(state, event, now):
    r"""Hand over a packet if the flow is, or may be, held here."""
    carried = event.message.carry
    if carried.flow in state.flow_by_key:
        state.counters.found += 1
        return _hand_over(state, event.source, carried, now) + [
            _held(state, event.source, carried.flow)]
    if now - state.started_at > state.flow_limit_ms:
        return []
    # A target that runs for longer than this agent may hold the flow.
    state.counters.passed_unsure += 1
    return _hand_over(state, event.source, carried, now)


def _hand_over(state, balancer, carried, now):
    flow = state.flow_by_key.get(carried.flow)
    if flow is None:
        flow = Flow(balancer, None, now)
        _remember(state, carried.flow, flow)
    flow.balancer = balancer
    flow.last_used = now
    state.counters.carried += 1
    freed = False
    if carried.ending:
        freed = state.occupancy.end(carried.flow, now, answered=False)
    elif carried.sending and state.target is not None and (
            flow.opening is not None or flow.confirmed):
        # A packet that is only tried here may meet a target that is down
        # and would keep a place for a request that nobody runs.
        state.occupancy.begin(
            carried.flow, max(1, state.target.slots), now)
    effects = [message.ToTarget(carried.datagram)]
    return effects + (drain_queue(state, now) if freed else [])


@HOLD.handles(message.FromTarget)
def from_target(state, event, now):
    r"""Send a target's packet to the caller, or a returned one back."""
    segment = event.segment
    flow = state.flow_by_key.get(segment.flow)
    if segment.returned:
        return _returned(state, segment, flow, now)
    state.counters.to_caller += 1
    effects = [message.ToCaller(segment.flow, segment.datagram)]
    if flow is None:
        return effects
    flow.last_used = now
    if not flow.confirmed:
        flow.confirmed = True
        if flow.opening is None:
            # Found by asking; the balancer sends the rest straight here.
            effects.append(_held(state, flow.balancer, segment.flow))
    if segment.closing or segment.reset:
        flow.ended_at = now
    if segment.data_bytes or segment.closing or segment.reset:
        if state.occupancy.end(
                segment.flow, now, answered=segment.data_bytes > 0):
            effects.extend(drain_queue(state, now))
    return effects


def _returned(state, segment, flow, now):
    r"""Tell the balancer that the target does not hold a flow."""
    state.counters.returned += 1
    if flow is None:
        return []
    del state.flow_by_key[segment.flow]
    freed = state.occupancy.end(segment.flow, now, answered=False)
    if segment.opening:
        answer = message.NotTaken(
            segment.flow, message.RETURNED, _load(state))
    else:
        answer = message.Stray(
            segment.flow, segment.data_bytes > 0,
            segment.closing or segment.reset, segment.datagram)
    effects = [message.ToNode(flow.balancer, answer)]
    return effects + (drain_queue(state, now) if freed else [])


def drain_queue(state, now):
    r"""Start waiting flows while the target has room, by priority."""
    effects = []
    if state.target is None:
        return effects
    slots = max(1, state.target.slots)
    while state.waiting and state.occupancy.count() < slots + AHEAD:
        waiting = _next_waiting(state)
        reason = obstacle(state, waiting.offer.service, now)
        if now >= waiting.deadline:
            state.counters.expired_waiting += 1
            reason = message.OVERLOADED
        if reason:
            effects.append(_not_taken(
                state, waiting.balancer, waiting.offer.flow, reason))
        else:
            effects.extend(_start(
                state, waiting.balancer, waiting.offer, now))
    return effects


def _next_waiting(state):
    priority = min(
        number for number, queue in state.queue_by_priority.items() if queue)
    _, waiting = state.queue_by_priority[priority].popitem(last=False)
    state.waiting -= 1
    return waiting


@HOLD.handles(timer.Tick)
def tick(state, event, now):
    r"""Give up places and forget flows from which nothing came."""
    if event.name != TICK:
        return [event]
    effects = []
    state.occupancy.expire(now, REQUEST_LIMIT_MS)
    if state.waiting:
        effects = drain_queue(state, now)
    if now >= state.sweep_due:
        state.sweep_due = now + SWEEP_MS
        _sweep(state, now)
    return effects


def _sweep(state, now):
    policy = state.catalogue.policy
    idle_ms = policy.flow_idle_ms if policy else DEFAULT_IDLE_MS
    for key, flow in list(state.flow_by_key.items()):
        ended = flow.ended_at is not None and (
            now - max(flow.ended_at, flow.last_used) > ENDED_KEPT_MS)
        if ended or now - flow.last_used > idle_ms:
            del state.flow_by_key[key]
