r"""Stage of an agent: what the target announced becomes an announcement.

Explanation
===========

The target repeats its announcement as a heartbeat. Only a change of what
balancers need raises the revision and is reported upstream. A target that
comes back as one of another service ends the flows of the former.

A target that stops announcing itself receives no new flows, but what it has
goes on, because announcements may merely be late. Once connections to it
break too, it is gone: its flows end, and what waits is refused as not run
so that callers can move to another target.
"""

from poplarstep.configuration import model
from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.requests import message
from poplarstep.requests import ownership

TICK = 'announcing'
TICK_PERIOD_MS = 500
# Targets announce themselves twice a second. A target that left without a
# word has to be without new work after 3 s; the rest is for the way to the
# balancers.
SILENT_MS = 2000

ANNOUNCE = stage.Stage('announce')

# A target may still run requests that a former run of this agent sent; none
# is added before they have had this time to end.
RESTART_GRACE_MS = 1500


@ANNOUNCE.handles(message.TargetState)
def target_state(state, event, now):
    r"""Take in an announcement; report it upstream if it is news."""
    known = state.target
    state.target = event
    state.heard_at = now
    if known is None:
        state.works_from = now + RESTART_GRACE_MS
    returned = state.silent
    state.silent = False
    if known is not None and not returned and (
            _public(known) == _public(event)):
        return [event]
    ended = []
    if known is not None and known.service != event.service:
        # The flows were opened for another service (R2).
        ended = ownership.cut_all_flows(state)
    return ended + [event, _announcement(state)]


@ANNOUNCE.handles(timer.Tick)
def tick(state, event, now):
    r"""Report a target that has stopped announcing itself."""
    if event.name != TICK:
        return [event]
    if state.target is None or state.silent or (
            now - state.heard_at < SILENT_MS):
        return []
    return _fall_silent(state)


@ANNOUNCE.handles(message.TargetGone)
def target_gone(state, event, now):
    r"""End the flows of a target that can't be reached any more."""
    reported = [] if state.silent else _fall_silent(state)
    return ownership.cut_all_flows(state) + reported


def _fall_silent(state):
    state.silent = True
    state.counters.target_silences += 1
    return [_announcement(state), effect.LogChange(
        'target-silent', (('target', state.node),))]


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
        target.leaving or state.leaving or state.silent))
