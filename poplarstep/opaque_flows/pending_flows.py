r"""Flows whose agent is looked for, and what agents have answered.

See Also
========

poplarstep.opaque_flows.surveys : asks the agents and evaluates the answers.
"""

import math
import typing

from poplarstep.configuration import model
from poplarstep.opaque_flows import lookup_budget
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import segment as segments

if typing.TYPE_CHECKING:
    from poplarstep.opaque_flows import balancer_state as states

# The time in which the candidates answer: a round trip between data centres
# and a busy host.
CANDIDATES_ANSWER_MS = 40
# A caller repeats its packets, so a flow for which there is no room is looked
# for later.
MAXIMUM_PENDING_FLOWS = 4096
# Packets of a flow that wait; a caller has at most 16 in flight.
MAXIMUM_WAITING_PACKETS = 16


class PendingFlow:
    r"""A flow whose agent is looked for; times in ms.

    Parameters
    ==========

    tracked : TrackedFlow
        Entry of the flow table; it holds the waiting packets.
    arrived_at : int
        When the first waiting packet came.
    packet_at : int
        When the latest waiting packet came.
    asked_at : dict
        When each agent was first asked.
    uncertain_at : dict
        When each agent last answered that its target may hold the flow.
    denied_by : set of Address
        Agents whose targets do not hold the flow.
    rounds : int
        Surveys that contained the flow.
    next_at : int
        When the agents that have not answered are asked again.
    check_at : int
        When the flow must be evaluated although no answer has come.
    likely : frozenset of Address
        Agents of the flow's first candidates.
    rest_at : int
        Until when the others wait for an answer of these agents' targets.
    rest_bytes : int
        Bytes of the packets that others may still have to get.
    """

    __slots__ = (
        'tracked', 'arrived_at', 'packet_at', 'asked_at', 'uncertain_at',
        'denied_by', 'rounds', 'next_at', 'check_at', 'likely', 'rest_at',
        'rest_bytes')

    def __init__(self, tracked: 'states.TrackedFlow', now):
        self.tracked = tracked
        self.arrived_at = now
        self.packet_at = now
        self.asked_at = {}
        self.uncertain_at = {}
        self.denied_by = set()
        self.rounds = 0
        self.next_at = now + CANDIDATES_ANSWER_MS
        self.check_at = self.next_at
        self.likely = frozenset()
        self.rest_at = now
        self.rest_bytes = 0

    @property
    def packet(self):
        r"""Return the latest waiting packet, one with data if there is one."""
        waiting = self.tracked.waiting_packets
        for packet in reversed(waiting):
            if packet.has_data:
                return packet
        return waiting[-1]


class SurveyState:
    r"""Surveys of a balancer.

    Parameters
    ==========

    enabled : bool
        Whether flows are surveyed and reset.
    confirmed_since : callable
        Takes ``now``; returns the time, in ms, at which the configuration
        was current for certain.
    pending_by_flow : dict
        The flows that are looked for, oldest first.
    query_budget, packet_budget : LookupBudget
        Limits of the questions, and of the packets to uncertain agents.
    query_queue, packet_queue : dict
        Keys are the flows that wait for these, in the order of service.
    check_queue : dict
        Keys are the flows that are due for an evaluation, in the order of it.
    number : int
        Number of the latest survey.
    evaluate_at : int
        When the pending flows are evaluated next.
    """

    __slots__ = (
        'enabled', 'confirmed_since', 'pending_by_flow', 'query_budget',
        'packet_budget', 'query_queue', 'packet_queue', 'check_queue',
        'number', 'evaluate_at')

    def __init__(self, enabled, confirmed_since, lookup_rate):
        self.enabled = enabled
        self.confirmed_since = confirmed_since
        self.pending_by_flow: dict[bytes, PendingFlow] = {}
        self.query_budget = lookup_budget.LookupBudget(lookup_rate)
        self.packet_budget = lookup_budget.LookupBudget(lookup_rate)
        self.query_queue = {}
        self.packet_queue = {}
        self.check_queue = {}
        self.number = 0
        self.evaluate_at = 0


def make_surveys(
        enabled=False, confirmed_since=lambda now: -math.inf,
        lookup_rate=lookup_budget.DEFAULT_RATE) -> SurveyState:
    r"""Return the state of a balancer that looks for no flow yet."""
    return SurveyState(enabled, confirmed_since, lookup_rate)


def add_packet(
        state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow',
        packet, now):
    r"""Keep a packet of an unknown flow; return whether a search starts."""
    surveys = state.surveys
    pending = surveys.pending_by_flow.get(packet.flow)
    if pending is not None and (
            pending.tracked is not tracked
            or _is_of_other_flow(packet, pending.packet)):
        # The flow was opened again: earlier answers are no proof.
        pending = None
        forget(state, packet.flow)
    # Only flows with data are reset. Denials from before the first data may
    # be older than an opening of the flow through another balancer.
    if pending is not None and (
            pending.packet.has_data or not packet.has_data):
        pending.packet_at = now
        pending.check_at = 0
        tracked.waiting_packets = _with_packet(
            tracked.waiting_packets, packet)
        return False
    silent_since = {}
    if pending is not None:
        silent_since = _silent_since(pending)
        tracked.waiting_packets = _with_packet(
            tracked.waiting_packets, packet)
    elif len(surveys.pending_by_flow) >= MAXIMUM_PENDING_FLOWS:
        return False
    else:
        tracked.waiting_packets = (packet,)
    if not surveys.pending_by_flow:
        surveys.evaluate_at = now + CANDIDATES_ANSWER_MS
    surveys.pending_by_flow[packet.flow] = PendingFlow(tracked, now)
    surveys.pending_by_flow[packet.flow].asked_at = silent_since
    return True


def _is_of_other_flow(packet, earlier):
    r"""Return whether the caller has reused the key of an earlier flow.

    It has opened the new flow through another balancer. Its packets
    acknowledge sequence numbers of another target.
    """
    numbers = packet.acknowledged, earlier.acknowledged
    return not (
        segments.is_in_window(*numbers)
        or segments.is_in_window(*reversed(numbers)))


def _silent_since(pending: PendingFlow):
    r"""Return when each agent that has not answered was first asked."""
    return {
        agent: asked_at for agent, asked_at in pending.asked_at.items()
        if agent not in pending.uncertain_at
        and agent not in pending.denied_by}


def _with_packet(waiting, packet):
    r"""Return the waiting packets with one more; it replaces its copy."""
    if any(_is_copy(item, packet) for item in waiting):
        return tuple(
            packet if _is_copy(item, packet) else item for item in waiting)
    if len(waiting) == MAXIMUM_WAITING_PACKETS:
        return waiting
    return (*waiting, packet)


def _is_copy(item, packet):
    if item.datagram == packet.datagram:
        return True
    return packet.sequence != segments.NO_SEQUENCE_NUMBER and (
        (item.sequence, item.has_data, item.ending)
        == (packet.sequence, packet.has_data, packet.ending))


def forget(state: 'states.FlowBalancerState', flow):
    r"""Stop looking for a flow; return its ``PendingFlow`` or None."""
    surveys = state.surveys
    surveys.query_queue.pop(flow, None)
    surveys.packet_queue.pop(flow, None)
    surveys.check_queue.pop(flow, None)
    return surveys.pending_by_flow.pop(flow, None)


def found(state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow'):
    r"""Return the waiting packets of a flow for its agent, if it is known."""
    waiting, tracked.waiting_packets = tracked.waiting_packets, ()
    if tracked.agent is None:
        return []
    state.counters.carried += len(waiting)
    return [message.ToNode(tracked.agent, packet) for packet in waiting]


def drop(state: 'states.FlowBalancerState', flow):
    r"""Stop looking for a flow, and drop its packets."""
    pending = forget(state, flow)
    if pending is not None:
        pending.tracked.waiting_packets = ()


def record_denial(state: 'states.FlowBalancerState', flow, source):
    r"""Record that the target of an agent does not hold a flow."""
    pending = state.surveys.pending_by_flow.get(flow)
    if pending is not None:
        pending.denied_by.add(source)
        pending.check_at = 0


def record_uncertain(state: 'states.FlowBalancerState', flow, source, now):
    r"""Record that the target of an agent may hold a flow."""
    pending = state.surveys.pending_by_flow.get(flow)
    if pending is not None:
        pending.uncertain_at[source] = now
        pending.check_at = 0


def undecided_agents(
        state: 'states.FlowBalancerState', flow, pending: 'PendingFlow'):
    r"""Return the agents that have not denied a flow.

    They are those of all targets of the present and former services of its
    route; None without a route.
    """
    route = state.catalogue.route_by_address.get(segments.service_of(flow))
    if route is None:
        return None
    denied_by = pending.denied_by
    # Two targets have the same agent while one is renamed.
    return list(dict.fromkeys(
        target.agent for service in model.services_of_flows(route)
        for target in state.catalogue.targets_by_service.get(
            service, {}).values()
        if target.agent not in denied_by))
