r"""Stage of an agent: what the target announced becomes an announcement.

Explanation
===========

The target repeats its announcement as a heartbeat. Only a change of what
balancers need raises the revision and is reported upstream. A target that
comes back as one of another service ends the flows of the former. One that
stops announcing itself is left to the admission stage: calls to it fail and
the ramp falls.
"""

from poplarstep.configuration import model
from poplarstep.core import stage
from poplarstep.dissemination import message as dissemination
from poplarstep.requests import message
from poplarstep.requests import ownership

ANNOUNCE = stage.Stage('announce')

# A target may still run requests that a former run of this agent sent; none
# is added before they have had this time to end.
RESTART_GRACE_MS = 1500


@ANNOUNCE.handles(message.TargetState)
def target_state(state, event, now):
    r"""Take in an announcement; report it upstream if it is news."""
    known = state.target
    state.target = event
    if known is None:
        state.works_from = now + RESTART_GRACE_MS
    if known is not None and _public(known) == _public(event):
        return [event]
    ended = []
    if known is not None and known.service != event.service:
        # The flows were opened for another service (R2).
        ended = ownership.cut_all_flows(state)
    return ended + [event, _announcement(state)]


@ANNOUNCE.handles(dissemination.Outranked)
def outranked(state, event, now):
    r"""Rise above the incarnation of a former run with a later clock.

    No flow has been accepted yet, because the configuration has not shown
    this run; no token carries the former number.
    """
    if state.target is None or event.incarnation < state.incarnation:
        return []
    state.incarnation = event.incarnation + 1
    return [_announcement(state)]


@ANNOUNCE.handles(message.Leave)
def leave(state, event, now):
    r"""Take no new work from now on and say so."""
    state.leaving = True
    if state.target is None:
        return []
    return [_announcement(state)]


def _public(target):
    return (
        target.service, target.slots, target.connections, target.leaving)


def _announcement(state):
    state.revision += 1
    target = state.target
    return dissemination.Announced(model.Announcement(
        state.node, target.service, state.data_centre, state.agent_address,
        state.incarnation, state.revision, target.slots, target.connections,
        target.leaving or state.leaving))
