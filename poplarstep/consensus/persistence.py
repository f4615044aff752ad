r"""Storage failures, recovery from them, and reports of synced entries."""

from poplarstep.consensus import handlers
from poplarstep.consensus import message
from poplarstep.consensus import replication
from poplarstep.consensus import roles
from poplarstep.consensus import state as states
from poplarstep.core import effect


@handlers.REPLICA.handles(message.StorageFailed)
def storage_failed(state: states.ReplicaState, failed, now):
    r"""Roll back the failed batch and step down until storage works again.

    It is registered in ``REPLICA`` directly, because ``handlers.handles``
    would replace the savepoint to which this handler rolls back.
    """
    state.roll_back()
    state.counters.storage_failures += 1
    state.storage_ready = False
    state.probe_due = now + states.STORAGE_PROBE_INTERVAL_MS
    state.incoming_snapshot = None
    # The failed batch may have dropped a ``LeadershipChanged``; repeat it.
    state.reported_leadership = None
    return [
        effect.LogEvent('storage-failed', (('reason', failed.reason),)),
    ] + roles.step_down(state, now)


def probe_storage(state: states.ReplicaState, now):
    r"""Try to store what memory holds; ``Stored`` follows if it succeeds."""
    if now < state.probe_due:
        return []
    state.probe_due = now + states.STORAGE_PROBE_INTERVAL_MS
    return [
        message.SaveVote(state.term, state.voted_for),
        message.TruncateLog(state.log.last_index + 1),
        roles.stored_effect(state),
    ]


@handlers.handles(message.Stored)
def stored(state: states.ReplicaState, written, now):
    r"""Advance the leader's commit index; end a storage failure."""
    effects = []
    if written.failures != state.counters.storage_failures:
        return []
    if not state.storage_ready:
        state.storage_ready = True
        states.restart_election_timer(state, now)
        effects.append(effect.LogEvent('storage-recovered'))
    if state.role == states.LEADER and written.term == state.term:
        state.stored_index = max(state.stored_index, written.last_index)
        effects.extend(replication.advance_commit(state, now))
    return effects
