r"""Stage of an agent: reports its target to the control plane.

Explanation
===========

The target repeats its announcement as a heartbeat. The agent reports it
with a new revision only if a value that balancers need has changed. If the
target changes to another service, its flows end.

A target that stops announcing itself receives no new flows. Its open flows
stay, because the announcements may only be late. If a connection to it
breaks too, the target counts as gone: its flows end and its queued requests
are refused as not run, so that callers can move to another target.
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
# Targets announce themselves every 500 ms. A target that stopped without
# notice must get no new work after 3 s; the difference is the time in which
# the balancers learn of it.
ANNOUNCEMENT_TIMEOUT_MS = 2000

ANNOUNCE = stage.Stage('announce')

# A target may still run requests that an earlier run of the agent dispatched.
# They have this time to end before more are dispatched.
RESTART_GRACE_MS = 1500


@ANNOUNCE.handles(message.TargetState)
def target_state(state, event, now):
    r"""Store an announcement; report it if it changes anything."""
    previous = state.target
    state.target = event
    state.announced_at = now
    if previous is None:
        state.dispatch_allowed_at = now + RESTART_GRACE_MS
    returned = state.silent
    state.silent = False
    if previous is not None and not returned and (
            _reported_values(previous) == _reported_values(event)):
        return [event]
    ended = []
    if previous is not None and previous.service != event.service:
        # A target must never get packets for another service.
        ended = ownership.terminate_all_flows(state)
    return ended + [event, _announcement(state)]


@ANNOUNCE.handles(timer.Tick)
def tick(state, event, now):
    r"""Report a target whose announcements have stopped."""
    if event.name != TICK:
        return [event]
    if state.target is None or state.silent or (
            now - state.announced_at < ANNOUNCEMENT_TIMEOUT_MS):
        return []
    return _report_silence(state)


@ANNOUNCE.handles(message.TargetGone)
def target_gone(state, event, now):
    r"""End the flows of a target that is gone."""
    reported = [] if state.silent else _report_silence(state)
    return ownership.terminate_all_flows(state) + reported


def _report_silence(state):
    state.silent = True
    state.counters.target_silences += 1
    return [_announcement(state), effect.LogEvent(
        'target-silent', (('target', state.node),))]


@ANNOUNCE.handles(dissemination.LaterIncarnation)
def later_incarnation(state, event, now):
    r"""Choose an incarnation above that of an earlier run, and announce again.

    The earlier run has the larger incarnation if its clock was ahead.

    This is safe because no token carries the old incarnation: flows are
    only accepted once the configuration has the incarnation of this run.
    """
    if state.target is None or event.incarnation < state.incarnation:
        return []
    state.incarnation = event.incarnation + 1
    return [_announcement(state)]


@ANNOUNCE.handles(message.Leave)
def leave(state, event, now):
    r"""Accept no new flows from now on and report it."""
    state.leaving = True
    if state.target is None:
        return []
    return [_announcement(state)]


def _reported_values(target):
    return (
        target.service, target.slots, target.connections, target.leaving)


def _announcement(state):
    state.revision += 1
    target = state.target
    return dissemination.Announced(model.Announcement(
        state.node, target.service, state.data_centre, state.agent_address,
        state.incarnation, state.revision, target.slots, target.connections,
        target.leaving or state.leaving or state.silent))
