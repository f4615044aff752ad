r"""Promotion of learners to voters."""

from poplarstep.consensus import membership
from poplarstep.consensus import message
from poplarstep.consensus import progress as progresses
from poplarstep.consensus import replication


def promote(state, now):
    r"""Make one learner a voter if it holds all committed entries."""
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
        return [
            progresses.promotion_report(member, progress, now),
        ] + replication.append(state, now, [
            (message.MEMBERSHIP, b'', members, 0)])
    return []
