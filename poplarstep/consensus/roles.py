r"""Changes of a replica's role, and output of committed entries."""

from poplarstep.consensus import commit_pause
from poplarstep.consensus import message
from poplarstep.consensus import state as states


def become_follower(state: states.ReplicaState, term, leader, now):
    r"""Become a follower of ``leader``, or of no leader yet when it is None.

    A higher term is adopted and stored without a vote.
    """
    effects = []
    if state.role == states.LEADER:
        effects.extend(step_down(state, now))
    if term > state.term:
        state.term = term
        state.voted_for = None
        effects.append(message.SaveVote(term, None))
    state.role = states.FOLLOWER
    state.votes = set()
    if leader is not None or state.leader is not None:
        effects.extend(states.set_leader(state, leader))
    return effects


def step_down(state: states.ReplicaState, now):
    r"""Become a follower without a leader; proposals become unknown.

    A former leader grants no vote until the lease that it held has ended.
    """
    pending = sorted(state.key_by_index.values())
    resumed = commit_pause.end(state, commit_pause.LEADERSHIP_LOST, now)
    if state.role == states.LEADER:
        state.vote_after = max(
            state.vote_after,
            last_quorum_contact(state, now)
            + states.ELECTION_TIMEOUT_MINIMUM_MS)
    state.role = states.FOLLOWER
    state.key_by_index = {}
    state.lease_until = 0
    state.progress_by_identity = {}
    state.term_start_index = 0
    states.restart_election_timer(state, now)
    return [
        message.ProposalUnknown(key, '') for key in pending
    ] + resumed + states.set_leader(state, None)


def last_quorum_contact(state: states.ReplicaState, now):
    r"""Return the latest time at which a quorum followed this leader.

    It is the send time in ms of the latest message that a quorum has
    replied to, or the time at which this host was elected.
    """
    contact = states.quorum_value(
        state, now, lambda progress: progress.acknowledged_send_time)
    return max(state.leader_since, contact or 0)


def stored_effect(state: states.ReplicaState):
    r"""Return the effect that reports when the log has been synced."""
    return message.Stored(
        state.term, state.log.last_index, state.counters.storage_failures)


def apply_committed(state: states.ReplicaState, now):
    r"""Return the outputs for committed entries not yet applied.

    A leader that a committed membership no longer contains steps down.
    """
    effects = []
    removed = False
    for entry in state.log.between(
            state.applied_index + 1, state.commit_index):
        state.applied_index = entry.index
        key = state.key_by_index.pop(entry.index, 0)
        if entry.kind == message.COMMAND:
            effects.append(message.Committed(
                entry.index, entry.term, entry.payload, key))
        elif entry.kind == message.MEMBERSHIP:
            effects.append(message.MembershipChanged(
                entry.index, entry.members, key))
            removed = all(
                member.identity != state.identity
                for member in entry.members)
    if removed and state.role == states.LEADER:
        effects.extend(step_down(state, now))
    return effects
