r"""Short pauses of the leader's commits while a learner gets the last entries.

Explanation
===========

A learner becomes a voter when it holds all committed entries. Beside frequent
changes, the leader has committed a further entry whenever a distant learner's
reply arrives. While commits are paused, changes are appended, synced and sent
as usual, but they are neither committed nor acknowledged. The learner's next
reply then covers all committed entries.

A pause is bounded. A rest follows it, in which no other begins, and a learner
that was not promoted in time waits longer after each pause.
"""

import typing

from poplarstep.consensus import log
from poplarstep.core import effect

if typing.TYPE_CHECKING:
    from poplarstep.consensus import progress as progresses
    from poplarstep.consensus import state as states

# A data centre that is taken out gets no more packets after 3 s: 2.5 s until
# the last lease ends, this pause, one tick and the commit itself.
MAXIMUM_PAUSE_MS = 300
# Rest after a pause, as a multiple of its length: commits are paused for a
# fifth of the time at most.
REST_FACTOR = 4
# Upper bound of the rest of one learner; the rest doubles with each pause that
# expires.
MAXIMUM_REST_MS = 60_000
# What the learner may lack when a pause begins: six changes of 20 kB, which
# arrive within the pause at one change every 50 ms.
MAXIMUM_MISSING_BYTES = 128 * 1024

PROMOTED = 'promoted'
EXPIRED = 'expired'
SUPERSEDED = 'superseded'
LEADERSHIP_LOST = 'leadership-lost'


class CommitPause:
    r"""Present pause of a leader, if any, and the rest after the last one.

    Attributes
    ==========

    identity : HostIdentity or None
        Learner for which commits are paused, None without a pause.
    started_at, deadline : int
        Start and latest end of the pause, in ms.
    rest_until : int
        Time in ms before which no pause begins.
    """

    __slots__ = ('identity', 'started_at', 'deadline', 'rest_until')

    def __init__(self):
        self.identity = None
        self.started_at = 0
        self.deadline = 0
        self.rest_until = 0

    def holds(self, now):
        r"""Return whether commits are paused."""
        return self.identity is not None and now < self.deadline


def is_nearly_complete(
        state: 'states.ReplicaState', progress: 'progresses.Progress'):
    r"""Return whether a message in flight has all that a member lacks."""
    missing = state.log.last_index - progress.next_index + 1
    return (
        progress.data_in_flight and progress.snapshot_index < 0
        and progress.next_index > state.log.base_index
        and missing <= log.MAXIMUM_BATCH_ENTRIES
        and state.log.payload_bytes(progress.next_index)
        <= MAXIMUM_MISSING_BYTES)


def begin(state: 'states.ReplicaState', identity, round_trip_ms, now):
    r"""Pause commits for a learner whose next reply may complete it.

    ``round_trip_ms`` is the time that its last reply took. The entries that
    it lacks have been sent at ``now``.
    """
    pause = state.commit_pause
    progress = state.progress_by_identity[identity]
    if pause.identity is not None or (
            now < max(pause.rest_until, progress.pause_after)):
        return
    if round_trip_ms > MAXIMUM_PAUSE_MS or (
            progress.awaited_send_time != now
            or not is_nearly_complete(state, progress)):
        return
    pause.identity = identity
    pause.started_at = now
    pause.deadline = now + MAXIMUM_PAUSE_MS
    state.counters.commit_pauses += 1


def end(state: 'states.ReplicaState', reason, now):
    r"""End a pause, if there is one; return its log line.

    The caller advances the commit index.
    """
    pause = state.commit_pause
    if pause.identity is None:
        return []
    identity, pause.identity = pause.identity, None
    elapsed = now - pause.started_at
    pause.rest_until = now + REST_FACTOR * elapsed
    state.counters.commit_pause_ms += elapsed
    progress = state.progress_by_identity.get(identity)
    if reason == EXPIRED:
        state.counters.commit_pauses_expired += 1
        if progress is not None:
            progress.pause_after = now + rest_ms(progress.expired_pauses)
            progress.expired_pauses += 1
    return [effect.LogEvent('commits-resumed', (
        ('host', identity.name), ('reason', reason), ('paused_ms', elapsed),
        ('uncommitted', state.log.last_index - state.commit_index)))]


def rest_ms(expired_pauses):
    r"""Return the rest of a learner after another pause that expired."""
    return min(
        MAXIMUM_REST_MS,
        REST_FACTOR * MAXIMUM_PAUSE_MS * 2 ** min(expired_pauses, 16))
