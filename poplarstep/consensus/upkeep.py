r"""Membership without an operator: the leader adds and removes hosts.

Explanation
===========

With ``automatic_membership`` the leader adds each host that asks to join as
a learner; ``membership.promote`` makes it a voter when it holds the log. A
host that returns with an empty disk replaces its former identity by the
same change.

A voter that does not answer is removed soon from a group with an even
number of voters: a group of four with one silent voter tolerates no further
loss, the remaining three tolerate one. An odd group gains nothing at once,
so a host that was merely cut off or restarted keeps its vote for longer,
and three voters are never reduced to two. A removed host that comes back
asks to join like any other.
"""

from poplarstep.consensus import membership
from poplarstep.consensus import message
from poplarstep.consensus import replication
from poplarstep.consensus import state as states
from poplarstep.core import effect

UPKEEP_MS = 200
# Longer than an election and the restart of a process, and short enough for
# a replaced host to stop counting before the next loss is to be borne.
SILENT_MS = 3000
# A member of an odd group that is silent for this long has been replaced.
LOST_MS = 30_000
FEWEST_VOTERS = 3


def tick(state, now):
    r"""Start at most one change of the membership."""
    if not state.automatic_membership or now < state.upkeep_due:
        return []
    state.upkeep_due = now + UPKEEP_MS
    if membership.refusal(state):
        return []
    return _admit(state, now) or _retire(state, now)


def _admit(state, now):
    r"""Add the first host that asks to join and may."""
    for name in sorted(state.applicant_by_name):
        members = membership.add(state, name, now).value_or(None)
        if members is not None:
            return _change(state, members, 'control-host-added', name, now)
    return []


def _retire(state, now):
    r"""Remove one silent voter of an even group, or a silent learner."""
    for member in states.others(state):
        if silence(state, member, now) <= patience_ms(state, member):
            continue
        if member.voter and len(state.voters) <= FEWEST_VOTERS:
            continue
        members = tuple(
            item for item in state.log.members if item is not member)
        return _change(
            state, members, 'control-host-removed', member.identity.name,
            now)
    return []


def patience_ms(state, member):
    r"""Return for how long a member may be silent."""
    odd = len(state.voters) % 2
    return LOST_MS if member.voter and odd else SILENT_MS


def silence(state, member, now):
    r"""Return for how many ms a member has not answered this leader."""
    progress = state.progress_by_identity.get(member.identity)
    answered = progress.answered if progress else None
    return now - max(state.leader_since, answered or 0)


def _change(state, members, event, name, now):
    return [effect.LogChange(event, (
        ('host', name), ('members', len(members)),
    ))] + replication.append(
        state, now, [(message.MEMBERSHIP, b'', members, 0)])
