r"""Opening packets that wait for the first confirmed configuration.

Explanation
===========

A balancer that has just started gets packets before it has a configuration:
when all hosts restart together, the routers have nowhere else to send them.
Callers retransmit an opening packet only after 200 and 600 ms, so the balancer
keeps it and offers the flow as soon as it can.
"""

import typing

if typing.TYPE_CHECKING:
    from poplarstep.opaque_flows import balancer_state as states

# A caller has retransmitted the packet or given up after as long.
MAXIMUM_AGE_MS = 1400
# About 2 MB of memory; the oldest packet makes room for a new one.
MAXIMUM_EARLY_OPENINGS = 2048


class EarlyOpening:
    r"""An opening packet and when it arrived, in ms."""

    __slots__ = ('segment', 'received_at')

    def __init__(self, segment, received_at):
        self.segment = segment
        self.received_at = received_at


def add(state: 'states.FlowBalancerState', segment, now):
    r"""Keep an opening packet; a copy replaces an earlier one in its place.

    The flow counts as repeated if any copy was.
    """
    opening_by_flow = state.early_opening_by_flow
    earlier = opening_by_flow.get(segment.flow)
    if earlier is not None:
        earlier.segment = segment
        return
    if len(opening_by_flow) >= MAXIMUM_EARLY_OPENINGS:
        del opening_by_flow[next(iter(opening_by_flow))]
    opening_by_flow[segment.flow] = EarlyOpening(segment, now)


def take(state: 'states.FlowBalancerState', now):
    r"""Remove all packets; return those whose callers still wait."""
    openings = list(state.early_opening_by_flow.values())
    state.early_opening_by_flow.clear()
    return [
        opening for opening in openings
        if now - opening.received_at < MAXIMUM_AGE_MS]
