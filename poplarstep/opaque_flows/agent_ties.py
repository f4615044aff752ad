r"""Withdraws tied flows that the other agent has started first.

Explanation
===========

A balancer may offer a flow to two agents, see
``poplarstep.opaque_flows.tied_offers``. The agent that starts the flow tells
the other one, which removes the flow from its queue and tells the balancer. A
removed flow is remembered until its caller has given up: an offer of it that
comes later is rejected, and a packet of it is returned to the balancer.

A notice may be lost or late; then both agents have started the flow. The slot
that the second one reserves is free again as soon as the caller has confirmed
the answer of the other target, or, without that notice, when the reservation
expires.
"""

from poplarstep.core import effect
from poplarstep.opaque_flows import admission
from poplarstep.opaque_flows import agent_state as states
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import segment as segments

# Longer than callers wait until a flow has opened, 1400 ms, and than copies
# of the opening packet are on their way.
MEMORY_MS = 2000
# About 1 MB of memory; the oldest flow makes room for a new one.
MAXIMUM_WITHDRAWN_FLOWS = 4096


class Withdrawal:
    r"""A flow that the other agent has started.

    ``balancer`` is the one that offered the flow, None until the offer has
    come.
    """

    __slots__ = ('balancer', 'withdrawn_at')

    def __init__(self, balancer, withdrawn_at):
        self.balancer = balancer
        self.withdrawn_at = withdrawn_at


class StartedTie:
    r"""What an agent that has started a tied flow knows of it.

    Parameters
    ==========

    agent : Address
        The other agent.
    other_started : bool
        The other agent has started the flow, too.
    is_open : bool
        The caller has confirmed the answer of this agent's target.
    """

    __slots__ = ('agent', 'other_started', 'is_open')

    def __init__(self, agent):
        self.agent = agent
        self.other_started = False
        self.is_open = False


def start_answers(state: states.FlowAgentState, balancer, offered):
    r"""Return the messages that tell that a flow has started."""
    load = states.load(state)
    if offered.tied_agent is None:
        return [message.ToNode(
            balancer, message.FlowAccepted(offered.flow, load))]
    state.flow_by_key[offered.flow].tie = StartedTie(offered.tied_agent)
    return [
        message.ToNode(
            offered.tied_agent, message.OfferWithdrawn(offered.flow)),
        message.ToNode(balancer, message.FlowStarted(offered.flow, load))]


def withdraw(state: states.FlowAgentState, event, now):
    r"""Remove a flow that the other agent has started from the queue."""
    notice = event.message
    flow = state.flow_by_key.get(notice.flow)
    if flow is not None:
        return _handle_other_start(state, event, flow)
    queued = _take_queued(state, notice.flow, event.source)
    if queued is None and admission.is_queued(state, notice.flow):
        # A notice of an earlier offer of the flow.
        return []
    balancer = queued.balancer if queued else None
    _remember(state, notice.flow, balancer, now)
    if queued is None:
        # The offer is still on its way, or has been rejected.
        return []
    state.queue_ms.observe(now - queued.queued_at)
    return [
        _withdrawn(state, balancer, notice.flow),
        effect.LogEvent('flow-withdrawn', (
            ('flow', segments.describe(notice.flow)),
            ('waited_ms', now - queued.queued_at),
            ('waiting', state.queue_length),
            ('version', state.catalogue.version)))]


def _withdrawn(state: states.FlowAgentState, balancer, key):
    state.counters.offers_withdrawn += 1
    return message.ToNode(balancer, message.FlowRejected(
        key, message.WITHDRAWN, states.load(state)))


def _take_queued(state: states.FlowAgentState, key, tied_agent=None):
    r"""Remove a tied flow from the queue and return its offer, or None.

    ``tied_agent`` is the agent that the offer must name, None for any.
    """
    queued = state.queue.offer_by_flow.get(key)
    if queued is None or queued.offer.tied_agent is None or (
            tied_agent not in (None, queued.offer.tied_agent)):
        return None
    return state.queue.remove_offer(key)


def _remember(state: states.FlowAgentState, key, balancer, now):
    withdrawals = state.withdrawal_by_flow
    withdrawals.pop(key, None)
    while withdrawals and (
            len(withdrawals) >= MAXIMUM_WITHDRAWN_FLOWS
            or now - next(iter(withdrawals.values())).withdrawn_at
            > MEMORY_MS):
        withdrawals.popitem(last=False)
    withdrawals[key] = Withdrawal(balancer, now)


def _handle_other_start(
        state: states.FlowAgentState, event, flow: states.Flow):
    r"""Handle a notice for a flow that has started here as well."""
    notice, started = event.message, flow.tie
    if started is None or started.agent != event.source:
        return []
    if notice.is_open:
        if state.occupancy.release_reservation(notice.flow):
            state.counters.reservations_released += 1
        return []
    if not started.other_started:
        started.other_started = True
        state.counters.withdrawn_too_late += 1
    return [_open_here(notice.flow, started)] if started.is_open else []


def _open_here(key, started):
    return message.ToNode(
        started.agent, message.OfferWithdrawn(key, is_open=True))


def confirm_open(flow: states.Flow, packet):
    r"""Tell the other agent that the caller has opened the flow here.

    The caller acknowledges the sequence number of the target whose answer it
    uses; without such numbers the other reservation expires.
    """
    started = flow.tie
    if started is None or started.is_open or (
            segments.NO_SEQUENCE_NUMBER in (
                packet.acknowledged, flow.first_sequence)):
        return []
    started.is_open = True
    if not started.other_started:
        return []
    return [_open_here(packet.flow, started)]


def rejects_offer(state: states.FlowAgentState, balancer, offered, now):
    r"""Return whether an offered flow has started at the other agent.

    The balancer that tied the flow may offer it again, untied, after the
    other target has returned it; the withdrawal no longer holds then.
    """
    withdrawal = _withdrawal(state, offered.flow, now)
    if withdrawal is None:
        return False
    if offered.tied_agent is not None:
        withdrawal.balancer = withdrawal.balancer or balancer
        return True
    if withdrawal.balancer != balancer:
        return True
    del state.withdrawal_by_flow[offered.flow]
    return False


def reject_offer(state: states.FlowAgentState, balancer, offered):
    r"""Tell a balancer that the other agent has started the flow."""
    return [_withdrawn(state, balancer, offered.flow)]


def _withdrawal(state: states.FlowAgentState, key, now):
    withdrawal = state.withdrawal_by_flow.get(key)
    if withdrawal is None or now - withdrawal.withdrawn_at > MEMORY_MS:
        return None
    return withdrawal


def is_held_elsewhere(state: states.FlowAgentState, packet, now):
    r"""Return whether a later packet is of a flow that started elsewhere.

    Callers send packets with data only on an open flow, so a tied flow that
    still waits here has started at the other agent.
    """
    if packet.flow in state.flow_by_key:
        return False
    if packet.has_data and state.queue_length:
        queued = _take_queued(state, packet.flow)
        if queued is not None:
            state.counters.offers_withdrawn += 1
            _remember(state, packet.flow, queued.balancer, now)
    return _withdrawal(state, packet.flow, now) is not None
