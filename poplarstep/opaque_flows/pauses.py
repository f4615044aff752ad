r"""Detects that this process was paused, for instance with its host.

Explanation
===========

Opening packets and offers that were read after a pause may have waited in the
socket buffer: their callers have given up or have retransmitted them, and what
they were allowed to do may have changed. A process that ticks in time was not
paused; after a pause nothing is trusted until a tick comes in time again.

A heartbeat may have waited in any gap between two ticks, however short. Its
age bounds the time for which its target may get flows, so it counts as sent
when the gap began.

The functions take the state of an agent or a balancer, which has a
``PauseDetector`` as ``pauses``.
"""

import math

from poplarstep.core import effect

# Longer than a busy host delays a tick, and shorter than the 600 ms after
# which callers have sent the last copy of an opening packet.
PAUSE_THRESHOLD_MS = 400
# Longest time between two ticks, so that a longer pause is noticed.
CHECK_INTERVAL_MS = 200
# A message that is read in or after a gap between two ticks that is this short
# counts as just arrived. The error is half of the margin of 100 ms between the
# last flow to a silent target and the reuse of its address.
SHORT_GAP_MS = 50
# A message that waited in a longer gap is processed within this time after it.
READING_MS = 100


class PauseDetector:
    r"""Times of the ticks of a process, in ms.

    Build it with ``make_pause_detector``.

    Parameters
    ==========

    last_tick_at : int or None
        When the latest tick came; None before the first one.
    paused_at : int or None
        When the last tick before the latest pause came.
    resumed_at : int or None
        When the first tick after a pause came; None once a tick has come in
        time.
    gap_began_at, gap_ended_at : int or float
        The latest two consecutive ticks that were further apart than
        ``SHORT_GAP_MS``.
    """

    __slots__ = (
        'last_tick_at', 'paused_at', 'resumed_at', 'gap_began_at',
        'gap_ended_at')

    def __init__(self):
        self.last_tick_at = None
        self.paused_at = None
        self.resumed_at = None
        self.gap_began_at = -math.inf
        self.gap_ended_at = -math.inf


def make_pause_detector() -> PauseDetector:
    r"""Return the detector of a process that has just started."""
    return PauseDetector()


def may_be_stale(state, now):
    r"""Return whether packets may have been queued during a pause.

    Either this process has not ticked for a while, or it has ticked once
    after a pause and is still reading packets that arrived meanwhile.
    """
    detector = state.pauses
    if detector.last_tick_at is None:
        return False
    return (
        now - detector.last_tick_at > PAUSE_THRESHOLD_MS
        or detector.resumed_at is not None)


def earliest_arrival(state, now):
    r"""Return the earliest time, in ms, at which a message can have arrived.

    The message is processed now by an agent, and may have waited while the
    agent started or was paused.
    """
    detector = state.pauses
    if detector.last_tick_at is None:
        return state.started_at
    if detector.resumed_at is not None:
        return detector.paused_at
    if now - detector.gap_ended_at <= READING_MS:
        return detector.gap_began_at
    if now - detector.last_tick_at > SHORT_GAP_MS:
        return detector.last_tick_at
    return now


def detect(state, now):
    r"""Record a pause of this process until a tick comes in time."""
    detector = state.pauses
    former_tick_at, detector.last_tick_at = detector.last_tick_at, now
    paused_ms = 0 if former_tick_at is None else now - former_tick_at
    if paused_ms > SHORT_GAP_MS:
        detector.gap_began_at = former_tick_at
        detector.gap_ended_at = now
    if paused_ms <= PAUSE_THRESHOLD_MS:
        detector.resumed_at = None
        return []
    if detector.resumed_at is None:
        detector.paused_at = former_tick_at
    detector.resumed_at = now
    state.counters.pauses += 1
    return [effect.LogEvent('resumed', (('paused_ms', paused_ms),))]


def check_due_at(state, now):
    r"""Return when the next tick must come, in ms."""
    detector = state.pauses
    if detector.last_tick_at is None or detector.resumed_at is not None:
        return now
    return detector.last_tick_at + CHECK_INTERVAL_MS
