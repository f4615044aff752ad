r"""Stage of a balancer that steers the packets of opaque flows.

Explanation
===========

The table of flows is a cache: the agents know which flows their targets
hold. A balancer that does not know a flow, because the fabric moved it here
or because this process has just started, sends the packet to all agents of
the route's services; the one that holds the flow passes it on and answers.

See Also
========

poplarstep.steering.offers : how a new flow finds its target.
"""

from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.steering import message
from poplarstep.steering import offers
from poplarstep.steering import segment as segments

TICK = 'steering'
TICK_PERIOD_MS = 20
# Agents answer an offer at once; the rest is for the way and a busy host.
OFFER_TIMEOUT_MS = 60
# Packets of an unknown flow that are sent to all agents of a route. A flow
# that nobody holds has ended; its caller finds out by its time limit.
MAXIMUM_FINDS = 12
# After a pause of this length, such as a freeze of the host, the callers of
# the opening packets that wait in the socket have gone or have repeated them.
PAUSE_MS = 400
SWEEP_MS = 1000
DEFAULT_IDLE_MS = 15_000

STEER = stage.Stage('steer')
# Handlers ``(state, event, now)`` by the type of the message in the event.
ANSWERS = stage.Stage('answers of agents')


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
        return offers.opening(state, segment, tracked, now)
    if tracked is None:
        tracked = offers.track(state, segment.flow, now)
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
        segment.closing or segment.reset, segment.datagram,
        segment.acknowledged)


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
    elif offered is not None:
        # An earlier offer was taken after all; this one is not needed.
        state.placement.withdrawn(offered.number)
    offers.stop_offering(state, answer.flow, tracked)
    state.parked.pop(answer.flow, None)
    if tracked.opened_at is not None:
        state.opening_ms.observe(now - tracked.opened_at)
        tracked.opened_at = None
    if tracked.agent is not None:
        # Two targets took the flow; callers keep to the one that answered
        # first, and the agent of the other sends strays back.
        return []
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
    offers.stop_offering(state, answer.flow, tracked)
    return _after_refusal(state, tracked, answer, now)


def _after_refusal(state, tracked, answer, now):
    if answer.reason == message.OVERLOADED:
        # The caller hears it while there is time for another try.
        del state.tracked_by_flow[answer.flow]
        return offers.refuse(
            state, answer.flow, tracked, answer.reason, tracked.may_be_open)
    return offers.next_offer(state, answer.flow, tracked, now)


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
        answer.flow, answer.sending, answer.ending, answer.datagram,
        answer.acknowledged)


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
            effects.extend(offers.next_round(state, flow, now))
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
    offers.stop_offering(state, flow, tracked)
    line = effect.LogChange('offer-unanswered', (
        ('flow', segments.describe(flow)), ('target', number),
        ('waited_ms', now - tracked.offered_at),
        ('version', state.catalogue.version)))
    return [line] + offers.next_offer(state, flow, tracked, now)


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
