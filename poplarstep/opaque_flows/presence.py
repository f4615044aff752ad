r"""Stage of an agent that processes heartbeats and announces the target.

Explanation
===========

A heartbeat is answered only after its contents are in force at this agent:
the 3 s after which a leaving target gets no new work start at the answer.
"""

from poplarstep.configuration import model
from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.opaque_flows import agent_requests
from poplarstep.opaque_flows import agent_state as states
from poplarstep.opaque_flows import dead_flows
from poplarstep.opaque_flows import pauses
from poplarstep.opaque_flows import target as targets
from poplarstep.opaque_flows import target_probe

TICK = 'hold'

PRESENCE = stage.Stage('presence')


class Leave:
    r"""Event: this agent is about to stop."""

    __slots__ = ()


@PRESENCE.handles(targets.Heartbeat)
def heartbeat(state: states.FlowAgentState, event, now):
    r"""Update the target from a heartbeat; announce changes to balancers.

    A heartbeat that may have waited to be read is as old as it can be: its
    sender may have ended since.
    """
    state.counters.heartbeats += 1
    reply = [targets.HeartbeatReply(event.key)] if event.key else []
    known = state.target
    if known is not None and targets.is_outdated(known, event):
        state.counters.outdated_heartbeats += 1
        return reply
    target_probe.heard(state, now)
    effects = []
    heard_at = pauses.earliest_arrival(state, now)
    if known is None or not targets.is_same_instance(known, event):
        effects = _replace_target(state, event, now)
        state.target.last_heartbeat_at = heard_at
    else:
        _update_target(known, event, now)
        known.last_heartbeat_at = max(known.last_heartbeat_at, heard_at)
    if state.back_in_service_at is not None and (
            heard_at > state.back_in_service_at):
        state.back_in_service_at = None
    return effects + _announce(state, now) + reply


def _replace_target(state: states.FlowAgentState, event, now):
    r"""Replace the known target by a new instance.

    The new instance returns the held packets of the former one.
    """
    effects = []
    if state.target is not None:
        state.counters.restarts += 1
        if _is_later_start(state, event):
            effects = dead_flows.reset_all(state, 'target-restarted')
        effects += _forget_flows(state, now)
    state.target = targets.KnownTarget(event, now, targets.is_first_agent_run(
        event, state.started_unix_ms))
    state.departed = False
    return effects + [effect.LogEvent('target-started', (
        ('target', event.identity), ('service', event.service),
        ('started_at', event.started_at), ('sequence', event.sequence),
        ('cold_ms', event.cold_ms)))]


def _forget_flows(state: states.FlowAgentState, now):
    r"""Forget all flows of a target that has ended."""
    state.flow_by_key.clear()
    state.claims.returned.clear()
    state.occupancy.clear()
    state.health.restart()
    state.demand.clear()
    return agent_requests.release_all(state, now)


@PRESENCE.handles(target_probe.TargetProbed)
def target_probed(state: states.FlowAgentState, event, now):
    r"""Reset the flows of a target that refuses connections."""
    if not target_probe.record(state, event, now):
        return []
    effects = [effect.LogEvent('target-refuses-connections', (
        ('target', state.target.identity if state.target else ''),
        ('flows', len(state.flow_by_key))))]
    effects += dead_flows.reset_all(state, 'target-refuses-connections')
    if state.target is not None:
        # Should it report again after all, it may hold unknown flows.
        state.target.no_earlier_agent_run = False
    return effects + _forget_flows(state, now) + _announce(state, now)


def _is_later_start(state: states.FlowAgentState, event):
    r"""Return whether a heartbeat proves that the known target has ended.

    One that names no start time or an unknown service may be odd input.
    """
    return event.started_at > state.target.started_at and (
        event.service in state.catalogue.service_by_name)


def _update_target(known, event, now):
    known.sequence = event.sequence
    known.slots = event.slots
    known.service = event.service
    known.leaving = event.leaving
    known.cold_until = now + event.cold_ms


@PRESENCE.handles(targets.Departure)
def departure(state: states.FlowAgentState, event, now):
    r"""Start no more flows at a target that is about to exit."""
    reply = [targets.HeartbeatReply(event.key)] if event.key else []
    if state.target is None or state.target.identity != event.identity:
        return reply
    state.departed = True
    state.departed_at = now
    return _announce(state, now) + reply


@PRESENCE.handles(dissemination.LaterIncarnation)
def later_incarnation(state, event, now):
    r"""Choose an incarnation above that of an earlier run, and announce again.

    The earlier run has the larger incarnation if the clock was set back.
    """
    if event.incarnation < state.incarnation:
        return []
    state.incarnation = event.incarnation + 1
    state.last_announcement = None
    return _announce(state, now)


@PRESENCE.handles(Leave)
def leave(state: states.FlowAgentState, event, now):
    r"""Accept no new flows from now on, and announce it."""
    state.leaving = True
    effects = []
    if dead_flows.has_ended(state, now):
        effects = dead_flows.reset_all(state, 'target-departed')
    elif state.resets_dead_flows and not state.probe.outstanding and (
            states.is_silent(state, now)):
        effects = target_probe.start(state)
    return effects + _announce(state, now)


def silence_due_at(state: states.FlowAgentState):
    r"""Return when a target without a heartbeat counts as silent, in ms.

    A target that is announced as leaving already is announced again only when
    it has exited.
    """
    announced = state.last_announcement
    due = target_probe.due_at(state)
    if state.target is None:
        return due
    if announced is not None and announced[dead_flows.LEAVING_FIELD]:
        if state.departed and not target_probe.is_announced(state) and (
                state.resets_dead_flows):
            due = min(due, state.departed_at + dead_flows.EXIT_TIMEOUT_MS + 1)
        return due
    return min(
        due, state.target.last_heartbeat_at + state.heartbeat_timeout_ms + 1)


@PRESENCE.handles(timer.Tick)
def check_silence(state: states.FlowAgentState, event, now):
    r"""Announce a target whose heartbeats have stopped as leaving."""
    if event.name == TICK:
        return [event] + target_probe.tick(state, now) + _announce(state, now)
    return [event]


def _announce(state: states.FlowAgentState, now):
    r"""Release held requests and announce the target, as far as needed."""
    return agent_requests.release_if_ending(state, now) + (
        _announcement(state, now))


def _announcement(state: states.FlowAgentState, now):
    r"""Return an announcement if its facts differ from the last one."""
    known = state.target
    if known is None:
        return _announce_end(state, now)
    leaving = known.leaving or state.leaving or state.departed or (
        states.is_silent(state, now))
    # Control hosts remove a target that has ended: it can't answer the
    # surveys of balancers.
    ended = state.resets_dead_flows and (
        dead_flows.has_ended(state, now)
        or target_probe.is_end_due(state, now))
    facts = (known.service, known.slots, leaving, state.incarnation, ended)
    if facts == state.last_announcement:
        return []
    state.last_announcement = facts
    state.revision += 1
    return [
        dissemination.Announced(model.Announcement(
            state.node, known.service, state.data_centre, state.address,
            state.incarnation, state.revision, max(1, known.slots), 1,
            leaving, ended)),
        effect.LogEvent('target-announced', (
            ('target', known.identity), ('service', known.service),
            ('leaving', leaving), ('ended', ended)))]


def _announce_end(state: states.FlowAgentState, now):
    r"""Announce that there is no target, which an earlier run announced."""
    if state.last_announcement is not None or (
            not target_probe.is_end_due(state, now)):
        return []
    state.last_announcement = ('', 1, True, state.incarnation, True)
    state.revision += 1
    return [
        dissemination.Announced(model.Announcement(
            state.node, '', state.data_centre, state.address,
            state.incarnation, state.revision, 1, 1, True, True)),
        effect.LogEvent('target-announced', (
            ('target', ''), ('service', ''), ('leaving', True),
            ('ended', True)))]
