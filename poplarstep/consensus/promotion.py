r"""Promotion of learners to voters.

A learner must hold all committed entries at that time. Otherwise a quorum that
counts it might lack an acknowledged change.
"""

import typing

from poplarstep.consensus import commit_pause
from poplarstep.consensus import membership
from poplarstep.consensus import message
from poplarstep.consensus import progress as progresses
from poplarstep.consensus import replication

if typing.TYPE_CHECKING:
    from poplarstep.consensus import state as states


def tick(state: 'states.ReplicaState', now):
    r"""Promote a complete learner; end a pause that is over."""
    effects = promote(state, now)
    pause = state.commit_pause
    if pause.identity is None:
        return effects
    if not pause.holds(now):
        reason = commit_pause.EXPIRED
    elif membership.change_refusal_reason(state):
        # Another change of the membership must be committed first.
        reason = commit_pause.SUPERSEDED
    else:
        return effects
    return effects + commit_pause.end(
        state, reason, now) + replication.advance_commit(state, now)


def promote(state: 'states.ReplicaState', now):
    r"""Make one learner a voter if it holds all committed entries.

    The promotion ends a pause of commits. The commit index advances once the
    new membership is stored, not here, so that no entry is committed between
    the comparison and the promotion.
    """
    if membership.change_refusal_reason(state):
        return []
    for member in state.log.members:
        progress = state.progress_by_identity.get(member.identity)
        if member.voter or progress is None or (
                progress.match_index < state.commit_index):
            continue
        members = tuple(
            item.replace(voter=True) if item is member else item
            for item in state.log.members)
        reason = (
            commit_pause.PROMOTED
            if state.commit_pause.identity == member.identity
            else commit_pause.SUPERSEDED)
        return commit_pause.end(state, reason, now) + [
            progresses.promotion_report(member, progress, now),
        ] + replication.append(state, now, [
            (message.MEMBERSHIP, b'', members, 0)])
    return []


def prepare(state: 'states.ReplicaState', reply, now):
    r"""Pause commits if the sender is a learner that lacks little.

    It is called after the entries that the learner lacks have been sent.
    """
    if membership.change_refusal_reason(state):
        return
    for member in state.log.members:
        if member.identity == reply.sender and not member.voter:
            commit_pause.begin(
                state, member.identity, now - reply.sent_at, now)
