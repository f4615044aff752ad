r"""Leader: replies of the members, and what is sent to them next."""

import typing

from poplarstep.consensus import handlers
from poplarstep.consensus import peer
from poplarstep.consensus import promotion
from poplarstep.consensus import replication
from poplarstep.consensus import roles
from poplarstep.consensus import state as states

if typing.TYPE_CHECKING:
    from poplarstep.consensus import progress as progresses


@handlers.PEER_MESSAGES.handles(peer.AppendReply)
def handle_append_reply(state: states.ReplicaState, received, now):
    r"""Update the progress of a member after ``AppendEntries``."""
    reply = received.message
    progress = progress_of_sender(state, reply)
    if progress is None:
        return step_down_for_higher_term(state, reply, now)
    may_send = progress.accept_reply(reply.sent_at)
    if reply.success:
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(
            progress.next_index, progress.match_index + 1)
    elif may_send:
        may_send = backtrack(state, progress, reply)
    effects = (
        replication.extend_lease(state, now)
        + replication.advance_commit(state, now)
        + promotion.promote(state, now))
    if may_send:
        effects.extend(continue_sending(state, reply.sender, now))
        promotion.prepare(state, reply, now)
    return effects


@handlers.PEER_MESSAGES.handles(peer.SnapshotReply)
def handle_snapshot_reply(state: states.ReplicaState, received, now):
    r"""Update the progress of a member after ``InstallSnapshot``."""
    reply = received.message
    progress = progress_of_sender(state, reply)
    if progress is None:
        return step_down_for_higher_term(state, reply, now)
    if progress.snapshot_index != reply.index:
        return []
    latest = progress.accept_reply(reply.sent_at)
    if reply.done:
        progress.snapshot_index = -1
        progress.snapshot_offset = 0
        progress.match_index = max(progress.match_index, reply.index)
        progress.next_index = progress.match_index + 1
    elif latest:
        progress.snapshot_offset = reply.offset
    effects = (
        replication.extend_lease(state, now)
        + replication.advance_commit(state, now))
    if latest:
        effects.extend(continue_sending(state, reply.sender, now))
    return effects


def progress_of_sender(state: states.ReplicaState, reply):
    r"""Return the sender's progress if the reply is for this term.

    A host without a group has term 0; its reply asks for a snapshot and
    does not extend the lease.
    """
    progress = state.progress_by_identity.get(reply.sender)
    if state.role != states.LEADER or progress is None or (
            reply.term not in (state.term, 0)):
        return None
    if reply.term == state.term:
        progress.acknowledged_send_time = max(
            progress.acknowledged_send_time or 0, reply.sent_at)
    return progress


def step_down_for_higher_term(state: states.ReplicaState, reply, now):
    r"""Step down if a member replies with a higher term."""
    if reply.term > state.term and (
            reply.sender in state.progress_by_identity):
        return roles.become_follower(state, reply.term, None, now)
    return []


def backtrack(
        state: states.ReplicaState, progress: 'progresses.Progress', reply):
    r"""Move the next index back after a conflict, a whole term at a time.

    Returns
    =======

    bool
        Whether the next message differs from the one that was refused.
    """
    former = (progress.next_index, progress.snapshot_index)
    hint = reply.conflict_index
    if reply.conflict_term:
        known = state.log.last_index_of_term(
            reply.conflict_term, reply.conflict_index)
        if known is not None:
            hint = known + 1
    if hint == 0:
        # The member needs a snapshot.
        progress.snapshot_index = state.log.snapshot.index
        progress.snapshot_offset = 0
    progress.next_index = max(
        progress.match_index + 1, min(hint, progress.next_index))
    return former != (progress.next_index, progress.snapshot_index)


def continue_sending(state: states.ReplicaState, identity, now):
    r"""Send more if the member still lacks entries."""
    progress = state.progress_by_identity.get(identity)
    if progress is None or progress.data_in_flight or (
            state.role != states.LEADER):
        return []
    behind = progress.next_index <= state.log.last_index
    if not behind and progress.snapshot_index < 0:
        return []
    effects = []
    for member in states.other_members(state):
        if member.identity == identity:
            effects.extend(replication.send_to(state, member, now))
    return effects
