r"""Finds out whether a target that sends no heartbeat has ended.

Explanation
===========

Silence proves nothing: heartbeats may be late. A target listens for TCP
connections at its address for as long as it runs, and the agent is on the same
host, so no link can fail between them. The agent connects when heartbeats are
missing; a refused connection shows that no process listens. Such a target has
ended. Its agent then denies all flows, resets those that it knows, and
announces the end after some time, or at once when the agent is stopped: a
target that starts again soon keeps its place in the configuration.
"""

import math
import typing

from poplarstep.opaque_flows import dead_flows

if typing.TYPE_CHECKING:
    from poplarstep.opaque_flows import agent_state as states

# A new agent connects when no heartbeat has come for this part of the time
# after which a known target counts as silent.
START_PART = 0.5
PROBE_INTERVAL_MS = 300
# A single refusal may fall between two steps of a target's start.
REFUSALS_UNTIL_ENDED = 2
# An ended target is removed from the configuration after this time.
ANNOUNCE_AFTER_MS = 3000


class ProbeTarget:
    r"""Effect: connect to the target and report ``TargetProbed``."""

    __slots__ = ()


class TargetProbed:
    r"""Event: a connection to the target was refused, or was not."""

    __slots__ = ('refused',)

    def __init__(self, refused):
        self.refused = refused


class ProbeState:
    r"""Probes since the last heartbeat; times in ms.

    Parameters
    ==========

    next_at : int
        When the next probe is due.
    outstanding : bool
        A probe has not been answered yet.
    refusals : int
        Refused connections in a row.
    ended_at : int or None
        When the target was found to have ended.
    """

    __slots__ = ('next_at', 'outstanding', 'refusals', 'ended_at')

    def __init__(self, next_at):
        self.next_at = next_at
        self.outstanding = False
        self.refusals = 0
        self.ended_at = None


def make_probe(now, heartbeat_timeout_ms) -> ProbeState:
    r"""Return the state of an agent that has just started."""
    return ProbeState(now + int(START_PART * heartbeat_timeout_ms))


def heard(state: 'states.FlowAgentState', now):
    r"""Record a heartbeat; the next probe is due when the target is silent."""
    state.probe = ProbeState(now + state.heartbeat_timeout_ms)


def due_at(state: 'states.FlowAgentState'):
    r"""Return when the next probe or announcement is due, in ms."""
    probe = state.probe
    if not state.resets_dead_flows or probe.outstanding:
        return math.inf
    if probe.ended_at is None:
        return probe.next_at
    announced_at = probe.ended_at + ANNOUNCE_AFTER_MS + 1
    return math.inf if is_announced(state) else announced_at


def is_announced(state: 'states.FlowAgentState'):
    r"""Return whether the end of the target has been announced."""
    return bool(
        state.last_announcement
        and state.last_announcement[dead_flows.ENDED_FIELD])


def tick(state: 'states.FlowAgentState', now):
    r"""Return the probe that is due, if any."""
    probe = state.probe
    if not state.resets_dead_flows or probe.outstanding or (
            probe.ended_at is not None or now < probe.next_at):
        return []
    return start(state)


def start(state: 'states.FlowAgentState'):
    r"""Return a probe of the target."""
    state.probe.outstanding = True
    state.counters.probes += 1
    return [ProbeTarget()]


def record(state: 'states.FlowAgentState', event, now):
    r"""Record the outcome of a probe; return whether the target has ended."""
    probe = state.probe
    if not probe.outstanding:
        # A heartbeat has come meanwhile.
        return False
    probe.outstanding = False
    probe.next_at = now + PROBE_INTERVAL_MS
    probe.refusals = probe.refusals + 1 if event.refused else 0
    if probe.refusals < REFUSALS_UNTIL_ENDED and not (
            event.refused and state.leaving):
        return False
    probe.ended_at = now
    return True


def has_ended(state: 'states.FlowAgentState'):
    r"""Return whether the target was found to have ended."""
    return state.probe.ended_at is not None


def is_end_due(state: 'states.FlowAgentState', now):
    r"""Return whether the end of the target may be announced."""
    ended_at = state.probe.ended_at
    return ended_at is not None and (
        state.leaving or now - ended_at > ANNOUNCE_AFTER_MS)
