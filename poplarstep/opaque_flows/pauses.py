r"""Detects that this process was paused, for instance with its host.

Explanation
===========

Opening packets and offers that were read after a pause may have waited in the
socket buffer: their callers have given up or have retransmitted them, and what
they were allowed to do may have changed. A process that ticks in time was not
paused; after a pause nothing is trusted until a tick comes in time again.
"""

from poplarstep.core import effect

# Longer than a busy host delays a tick, and shorter than the 600 ms after
# which callers have sent the last copy of an opening packet.
PAUSE_THRESHOLD_MS = 400
# Longest time between two ticks, so that a longer pause is noticed.
CHECK_INTERVAL_MS = 200


def may_be_stale(state, now):
    r"""Return whether packets may have been queued during a pause.

    Either this process has not ticked for a while, or it has ticked once
    after a pause and is still reading packets that arrived meanwhile.
    """
    if state.last_tick_at is None:
        return False
    return (
        now - state.last_tick_at > PAUSE_THRESHOLD_MS
        or state.resumed_at is not None)


def earliest_arrival(state, now):
    r"""Return the earliest time, in ms, at which a message can have arrived.

    The message is processed now, and may have waited during a pause.
    """
    if not may_be_stale(state, now):
        return now
    if state.resumed_at is not None:
        return state.paused_at
    return state.last_tick_at


def detect(state, now):
    r"""Record a pause of this process until a tick comes in time."""
    former_tick_at, state.last_tick_at = state.last_tick_at, now
    paused_ms = 0 if former_tick_at is None else now - former_tick_at
    if paused_ms <= PAUSE_THRESHOLD_MS:
        state.resumed_at = None
        return []
    if state.resumed_at is None:
        state.paused_at = former_tick_at
    state.resumed_at = now
    state.counters.pauses += 1
    return [effect.LogEvent('resumed', (('paused_ms', paused_ms),))]


def check_due_at(state, now):
    r"""Return when the next tick must come, in ms."""
    if state.last_tick_at is None or state.resumed_at is not None:
        return now
    return state.last_tick_at + CHECK_INTERVAL_MS
