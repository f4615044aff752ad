r"""Stage of an agent that takes in heartbeats and announces the target.

Explanation
===========

A heartbeat is answered when what it says is in force here, because the
answer starts the clock of a drain.
"""

from poplarstep.configuration import model
from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.steering import target as targets

TICK = 'hold'

PRESENCE = stage.Stage('presence')


class Leave:
    r"""Event: this agent is about to stop."""

    __slots__ = ()


@PRESENCE.handles(targets.Heartbeat)
def heartbeat(state, event, now):
    r"""Take in a heartbeat; announce what balancers need to know."""
    state.counters.heartbeats += 1
    reply = [targets.HeartbeatReply(event.key)] if event.key else []
    view = state.target
    if view is not None and targets.is_outdated(view, event):
        state.counters.outdated_heartbeats += 1
        return reply
    effects = []
    if view is None or not targets.is_same_start(view, event):
        effects = _new_start(state, event, now)
    else:
        _refresh(view, event, now)
    if state.returned_at is not None and now > state.returned_at:
        state.returned_at = None
    return effects + _announce(state, now) + reply


def _new_start(state, event, now):
    r"""Replace what is known by a new start of a target."""
    if state.target is not None:
        state.counters.restarts += 1
        state.flow_by_key.clear()
        state.occupancy.clear()
    state.target = targets.TargetView(event, now, targets.is_first_agent(
        event, state.started_unix_ms))
    state.gone = False
    return [effect.LogChange('target-started', (
        ('target', event.identity), ('service', event.service),
        ('started_at', event.started_at), ('sequence', event.sequence),
        ('cold_ms', event.cold_ms)))]


def _refresh(view, event, now):
    view.sequence = event.sequence
    view.slots = event.slots
    view.service = event.service
    view.leaving = event.leaving
    view.heard_at = now
    view.cold_until = now + event.cold_ms


@PRESENCE.handles(targets.Departure)
def departure(state, event, now):
    r"""Give a target that ends no more flows."""
    reply = [targets.HeartbeatReply(event.key)] if event.key else []
    if state.target is None or state.target.identity != event.identity:
        return reply
    state.gone = True
    return _announce(state, now) + reply


@PRESENCE.handles(dissemination.Outranked)
def outranked(state, event, now):
    r"""Rise above the incarnation of a former run with a later clock."""
    if event.incarnation < state.incarnation:
        return []
    state.incarnation = event.incarnation + 1
    state.announced = None
    return _announce(state, now)


@PRESENCE.handles(Leave)
def leave(state, event, now):
    r"""Take no new flows from now on and say so."""
    state.leaving = True
    return _announce(state, now)


@PRESENCE.handles(timer.Tick)
def watch(state, event, now):
    r"""Announce a target that has fallen silent."""
    if event.name == TICK:
        return [event] + _announce(state, now)
    return [event]


def _announce(state, now):
    r"""Return the announcement if it differs from the last one."""
    view = state.target
    if view is None:
        return []
    leaving = view.leaving or state.leaving or state.gone or (
        now - view.heard_at > state.fresh_ms)
    facts = (view.service, view.slots, leaving, state.incarnation)
    if facts == state.announced:
        return []
    state.announced = facts
    state.revision += 1
    return [
        dissemination.Announced(model.Announcement(
            state.node, view.service, state.data_centre, state.address,
            state.incarnation, state.revision, max(1, view.slots), 1,
            leaving)),
        effect.LogChange('target-announced', (
            ('target', view.identity), ('service', view.service),
            ('leaving', leaving)))]
