r"""Whether a new flow may start at the target of an agent now.

Explanation
===========

Questions about the agent's state; nothing here changes it but the times of
cold starts, which are dropped when they are too old.
"""

from poplarstep.steering import agent_state as states
from poplarstep.steering import message

MAXIMUM_QUEUE = 64
# Cold starts are counted over a little more than a second, because the
# target counts by its own clock.
COLD_WINDOW_MS = 1100


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
    if states.is_out(state):
        return message.DATA_CENTRE_OUT
    if is_cold(state, now) and cold_starts(state, now) >= cold_limit(
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


def cold_starts(state, now):
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


def no_room(state, offered):
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
    slots = states.slots(state)
    over = max(0, ahead - slots + 1)
    return over * state.occupancy.service_us / slots / 1000


def may_start(state):
    r"""Return whether the target has a free slot and nobody waits for it."""
    return not state.waiting and (
        state.occupancy.count() < states.slots(state))
