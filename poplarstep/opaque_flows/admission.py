r"""Decides whether a new flow may start at the target of an agent.

Explanation
===========

The functions only read the agent's state, but for ``starts_in_window``,
which drops the times of old starts.
"""

from poplarstep.opaque_flows import agent_state as states
from poplarstep.opaque_flows import message

# Also the number of recorded start times above which the agent drops those
# that have left the window.
MAXIMUM_QUEUED_OFFERS = 64
# The limit of a cold target holds for each second of the target's clock. The
# agent counts over a slightly longer window to allow for clock drift.
START_WINDOW_MS = 1100


def rejection_reason(state: states.FlowAgentState, service, now):
    r"""Return why no flow of a service may start now, or an empty string."""
    if states.is_absent(state, now):
        return message.ABSENT
    target = state.target
    configured = state.catalogue.service_by_name.get(target.service)
    if configured is None or configured.retired or (
            configured.number != service):
        return message.WRONG_SERVICE
    if target.leaving or state.leaving:
        return message.LEAVING
    if states.is_data_centre_out(state):
        return message.DATA_CENTRE_OUT
    if configured.cold_per_second > 0 and is_cold(state, now) and (
            starts_in_window(state, now) >= cold_limit(state, configured)):
        return message.COLD
    return ''


def is_cold(state: states.FlowAgentState, now):
    r"""Return whether the target is, or may be, in cold start."""
    return (
        now < state.target.cold_until
        or state.back_in_service_at is not None)


def cold_limit(state: states.FlowAgentState, service):
    r"""Return how many flows a cold target may start in one second.

    A service whose configuration names no rate has no limit: the slots bound
    what its targets get.
    """
    return max(1, int(
        service.cold_per_second * state.cold_factor + state.cold_slack))


def starts_in_window(state: states.FlowAgentState, now):
    r"""Return the number of flows that started in the last window.

    An earlier run of this agent may have started flows that this run does
    not know of. Until the window has passed, the number is then unknown and
    ``MAXIMUM_QUEUED_OFFERS`` is returned instead. It exceeds the usual
    limits of cold targets, so a cold target gets no flow meanwhile.
    """
    if not state.target.no_earlier_agent_run and (
            now - state.started_at <= START_WINDOW_MS):
        return MAXIMUM_QUEUED_OFFERS
    starts = state.start_times
    while starts and now - starts[0] > START_WINDOW_MS:
        starts.popleft()
    return len(starts)


def overload_reason(state: states.FlowAgentState, offered):
    r"""Return ``OVERLOADED`` if an offer can't be served in time, or ''."""
    if len(state.queue.offer_by_flow) >= MAXIMUM_QUEUED_OFFERS:
        return message.OVERLOADED
    if not offered.may_queue:
        return ''
    if expected_wait_ms(state, offered.priority) > offered.wait_limit_ms:
        return message.OVERLOADED
    return ''


def expected_wait_ms(state: states.FlowAgentState, priority):
    r"""Return the expected time until a new flow of a priority gets a slot."""
    ahead = state.occupancy.count() + state.queue.count_ahead(priority)
    return wait_ms(ahead, states.slots(state), state.occupancy.service_us)


def wait_ms(ahead, slots, service_us):
    r"""Return the expected wait behind ``ahead`` flows at a target.

    Examples
    ========

    >>> wait_ms(1, 2, 20_000), wait_ms(2, 2, 20_000)
    (0.0, 10.0)

    """
    excess = max(0, ahead - slots + 1)
    return excess * service_us / slots / 1000


def is_queued(state: states.FlowAgentState, flow):
    r"""Return whether a new flow is queued."""
    return flow in state.queue.offer_by_flow


def has_free_slot(state: states.FlowAgentState):
    r"""Return whether the target has a free slot and the queue is empty."""
    return not state.queue_length and (
        state.occupancy.count() < states.slots(state))
