r"""Stage of a balancer that forwards the packets of opaque flows to agents.

Explanation
===========

The flow table is only a cache: the agents know which flows their targets
hold. The network may move a flow to this balancer from another one, and the
table is empty after a restart. The balancer sends a packet of an unknown
flow to all agents of the route's services; the agent that holds the flow
forwards the packet to its target and answers the balancer.

See Also
========

poplarstep.opaque_flows.offers : chooses the target of a new flow.
"""

from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import offers
from poplarstep.opaque_flows import segment as segments

TICK = 'steering'
TICK_PERIOD_MS = 20
# Agents answer an offer at once; this allows for the network and a busy host.
OFFER_TIMEOUT_MS = 60
# Number of packets of an unknown flow that are sent to all agents of a route.
# A flow that no agent holds by then has ended. Its later packets are dropped,
# and the caller times out.
MAXIMUM_LOOKUPS = 12
# If this process is paused for longer, for instance because the host is
# frozen, the opening packets in the socket buffer are stale: their callers
# have given up or have retransmitted them.
PAUSE_THRESHOLD_MS = 400
SWEEP_INTERVAL_MS = 1000
# Idle timeout of flows until the configuration sets one.
DEFAULT_IDLE_MS = 15_000

BALANCER = stage.Stage('balancer')
# Handlers ``(state, event, now)`` by the type of the message in the event.
AGENT_MESSAGES = stage.Stage('answers of agents')


@BALANCER.handles(message.FromCaller)
def from_caller(state, event, now):
    r"""Forward one packet of a caller."""
    state.counters.packets += 1
    if not state.confirmed(now):
        # No reset is sent: callers retransmit, and another balancer may have
        # a confirmed configuration.
        state.counters.unconfirmed += 1
        return []
    segment = event.segment
    tracked = state.tracked_by_flow.get(segment.flow)
    if segment.opening and _may_be_stale(state, now):
        state.counters.outdated += 1
        return []
    if segment.opening:
        return offers.handle_opening(state, segment, tracked, now)
    if tracked is None:
        tracked = offers.add_flow(state, segment.flow, now)
    tracked.last_used = now
    return _forward(state, tracked, _packet_from_caller(segment))


def _may_be_stale(state, now):
    r"""Return whether packets may have been queued during a pause.

    Either this process has not ticked for a while, or it has ticked once
    after a pause and is still reading packets that arrived meanwhile.
    """
    if state.last_tick_at is None:
        return False
    return (
        now - state.last_tick_at > PAUSE_THRESHOLD_MS
        or state.resumed_at is not None)


def _packet_from_caller(segment):
    return message.FlowPacket(
        segment.flow, segment.data_bytes > 0,
        segment.closing or segment.reset, segment.datagram,
        segment.acknowledged)


def _forward(state, tracked, packet):
    r"""Send a packet to the agent that holds its flow, or to all agents."""
    if tracked.agent is not None:
        state.counters.carried += 1
        return [message.ToNode(tracked.agent, packet)]
    if tracked.lookup_count >= MAXIMUM_LOOKUPS:
        return []
    tracked.lookup_count += 1
    state.counters.finds += 1
    lookup = message.FlowLookup(packet)
    return [
        message.ToNode(agent, lookup)
        for agent in _candidate_agents(state, packet.flow)]


def _candidate_agents(state, flow):
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


@BALANCER.handles(message.FromNode)
def from_node(state, event, now):
    r"""Pass an answer of an agent to its handler; ignore other messages."""
    handler = AGENT_MESSAGES.handler_by_type.get(type(event.message))
    return handler(state, event, now) if handler else ()


@AGENT_MESSAGES.handles(message.FlowAccepted)
def flow_accepted(state, event, now):
    r"""Record which agent holds a flow."""
    answer = event.message
    tracked = state.tracked_by_flow.get(answer.flow)
    if tracked is None:
        return []
    state.counters.held += 1
    offered = tracked.offered_to
    if offered is not None and offered.agent == event.source:
        state.placement.answered(offered.number, answer.load, now)
    elif offered is not None:
        # An earlier offer was accepted late; the current one is obsolete.
        state.placement.withdrawn(offered.number)
    offers.clear_offer(state, answer.flow, tracked)
    state.retry_at_by_flow.pop(answer.flow, None)
    if tracked.opening_received_at is not None:
        state.opening_ms.observe(now - tracked.opening_received_at)
        tracked.opening_received_at = None
    if tracked.agent is not None:
        # Two targets accepted the flow. The caller uses the one that answered
        # first; the agent of the other one returns its packets.
        return []
    tracked.agent = event.source
    tracked.lookup_count = 0
    return []


@AGENT_MESSAGES.handles(message.FlowRejected)
def flow_rejected(state, event, now):
    r"""Offer a rejected flow to the next target, or refuse it."""
    answer = event.message
    tracked = state.tracked_by_flow.get(answer.flow)
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


def _after_rejection(state, tracked, answer, now):
    if answer.reason == message.OVERLOADED:
        # The flow is refused now, while the caller has time to retry.
        del state.tracked_by_flow[answer.flow]
        return offers.refuse(
            state, answer.flow, tracked, answer.reason, tracked.may_be_open)
    return offers.next_offer(state, answer.flow, tracked, now)


def _offer_again(state, tracked, event, now):
    r"""Offer a flow again that an agent accepted and rejected later."""
    if tracked is None or tracked.agent != event.source or (
            not tracked.opening_datagram):
        return []
    tracked.agent = None
    return _after_rejection(state, tracked, event.message, now)


@AGENT_MESSAGES.handles(message.ReturnedPacket)
def returned_packet(state, event, now):
    r"""Forward a packet that a target returned to the right agent."""
    answer = event.message
    state.counters.strays += 1
    tracked = state.tracked_by_flow.get(answer.flow)
    if tracked is None:
        return []
    if tracked.agent not in (None, event.source):
        return _forward(state, tracked, _packet_from_agent(answer))
    if tracked.agent is None:
        # The packet was sent to all agents, so the agent that holds the flow
        # has received it.
        return []
    tracked.agent = None
    return _forward(state, tracked, _packet_from_agent(answer))


def _packet_from_agent(answer):
    return message.FlowPacket(
        answer.flow, answer.has_data, answer.ending, answer.datagram,
        answer.acknowledged)


@BALANCER.handles(timer.Tick)
def tick(state, event, now):
    r"""Handle timeouts of offers, start due rounds and remove idle flows."""
    if event.name != TICK:
        return [event]
    effects = _detect_pause(state, now)
    for flow, tracked in list(state.offered_by_flow.items()):
        if now - tracked.offered_at >= OFFER_TIMEOUT_MS:
            effects.extend(_offer_timed_out(state, flow, tracked, now))
    for flow, retry_at in list(state.retry_at_by_flow.items()):
        if now >= retry_at:
            effects.extend(offers.start_round(state, flow, now))
    if now >= state.next_sweep_at:
        state.next_sweep_at = now + SWEEP_INTERVAL_MS
        _sweep(state, now)
    return effects


def _detect_pause(state, now):
    r"""Record a pause of this process until a tick comes in time."""
    paused_ms = 0 if state.last_tick_at is None else now - state.last_tick_at
    state.last_tick_at = now
    if paused_ms <= PAUSE_THRESHOLD_MS:
        state.resumed_at = None
        return []
    state.resumed_at = now
    state.counters.pauses += 1
    return [effect.LogEvent('resumed', (('paused_ms', paused_ms),))]


def _offer_timed_out(state, flow, tracked, now):
    state.counters.silent_offers += 1
    number = tracked.offered_to.number
    state.placement.timed_out(number, now)
    tracked.tried_targets += (number,)
    tracked.may_be_open = True
    offers.clear_offer(state, flow, tracked)
    log_entry = effect.LogEvent('offer-unanswered', (
        ('flow', segments.describe(flow)), ('target', number),
        ('waited_ms', now - tracked.offered_at),
        ('version', state.catalogue.version)))
    return [log_entry] + offers.next_offer(state, flow, tracked, now)


def _sweep(state, now):
    r"""Remove the flows that have been idle for too long."""
    policy = state.catalogue.policy
    idle_ms = policy.flow_idle_ms if policy else DEFAULT_IDLE_MS
    for flow in list(state.tracked_by_flow):
        tracked = state.tracked_by_flow[flow]
        if now - tracked.last_used > idle_ms and (
                tracked.offered_to is None
                and flow not in state.retry_at_by_flow):
            del state.tracked_by_flow[flow]


@BALANCER.handles(dissemination.CatalogueChanged)
def catalogue_changed(state, event, now):
    r"""Remove the estimates of targets that no longer exist."""
    state.placement.retain(state.catalogue.target_by_number)
    return []
