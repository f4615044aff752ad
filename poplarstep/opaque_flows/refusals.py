r"""Decides whether a flow that no target takes is reset, and when.

Explanation
===========

A reset ends a flow also when it is open, so it is sent only with proof that
the flow is open nowhere. A caller sends copies of an opening packet, and the
network may send a copy to another balancer, where a target may take the flow
from then on. The proof holds while each copy that the caller can have sent has
come to this balancer, and no offer of this balancer is unanswered.

A flow that is refused while a copy is due is remembered: the copy, if it comes
here, completes the proof, and the flow is reset then. Otherwise the caller
times out, which loses nothing that runs elsewhere.
"""

import math
import typing

from poplarstep.core import effect
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import segment as segments

if typing.TYPE_CHECKING:
    from poplarstep.opaque_flows import balancer_state as states

# When callers send the copies of an opening packet.
FIRST_COPY_MS = 200
SECOND_COPY_MS = 600
# Copies that come before this time are first copies.
SECOND_COPY_FROM_MS = (FIRST_COPY_MS + SECOND_COPY_MS) // 2
# How much sooner than these times a copy may be at another balancer, counted
# from when this one has processed the opening packet.
COPY_MARGIN_MS = 50


def start(tracked: 'states.TrackedFlow', received_at, may_be_open):
    r"""Record that the first opening packet of a flow has come."""
    tracked.first_opening_at = received_at
    tracked.may_be_open = may_be_open
    tracked.copy_due_at = received_at + FIRST_COPY_MS - COPY_MARGIN_MS
    tracked.refusal = ''


def record_copy(tracked: 'states.TrackedFlow', now):
    r"""Record that a copy of the opening packet has come to this balancer."""
    elapsed = now - tracked.first_opening_at
    first_copy_due = tracked.first_opening_at + FIRST_COPY_MS - COPY_MARGIN_MS
    if elapsed < SECOND_COPY_FROM_MS:
        tracked.copy_due_at = (
            tracked.first_opening_at + SECOND_COPY_MS - COPY_MARGIN_MS)
        return
    if tracked.copy_due_at == first_copy_due:
        # The first copy was lost or went to another balancer.
        tracked.may_be_open = True
    tracked.copy_due_at = math.inf


def may_be_open(tracked: 'states.TrackedFlow', now):
    r"""Return whether the flow may be open, here or at another balancer."""
    return tracked.may_be_open or now >= tracked.copy_due_at


def give_up(
        state: 'states.FlowBalancerState', flow, tracked: 'states.TrackedFlow',
        reason, now):
    r"""Refuse a flow that no target takes; reset it if it can't be open.

    A flow that may be open only because of a copy that is due stays in the
    flow table until the copy comes.
    """
    is_open_nowhere = not may_be_open(tracked, now)
    if is_open_nowhere or tracked.may_be_open or (
            now >= tracked.opening_deadline):
        del state.tracked_by_flow[flow]
    else:
        state.counters.postponed_resets += 1
        tracked.refusal = reason
    return refuse(state, flow, tracked, reason, not is_open_nowhere)


def answer_copy(
        state: 'states.FlowBalancerState', flow, tracked: 'states.TrackedFlow',
        now):
    r"""Reset a refused flow whose copy shows that it is open nowhere."""
    if may_be_open(tracked, now):
        return []
    del state.tracked_by_flow[flow]
    return refuse(state, flow, tracked, tracked.refusal, False)


def refuse(
        state: 'states.FlowBalancerState', flow, tracked: 'states.TrackedFlow',
        reason, keep_open):
    r"""Log the refusal of a flow, and reset the flow if it can't be open.

    Without a reset, the caller of a flow that is not open times out.
    ``keep_open`` is set for flows that may be open.
    """
    log_entry = effect.LogEvent('flow-refused', (
        ('flow', segments.describe(flow)), ('reason', reason),
        ('offers', tracked.offer_count if tracked else 0),
        ('reset', not keep_open),
        ('version', state.catalogue.version)))
    if keep_open:
        return [log_entry]
    state.counters.reset_flows += 1
    return [message.ResetFlow(flow), log_entry]
