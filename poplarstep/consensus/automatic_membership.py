r"""Automatic membership: the leader adds and removes hosts by itself.

Explanation
===========

With ``automatic_membership`` the leader adds each host that sends ``Hello`` as
a learner; ``promotion.promote`` makes it a voter when it holds the log. A
host that restarts with an empty disk replaces its former identity in the
same change.

A silent voter is removed quickly from a group with an even number of
voters: four voters of which one is silent tolerate no further failure, the
remaining three tolerate one. In a group with an odd number of voters the
removal does not raise the number of tolerated failures, so the leader waits
longer: the host may only be restarting or cut off. Three voters are never
reduced to two. A removed host that comes back is added again.
"""

from poplarstep.consensus import membership
from poplarstep.consensus import message
from poplarstep.consensus import replication
from poplarstep.consensus import state as states
from poplarstep.core import effect

MEMBERSHIP_CHECK_INTERVAL_MS = 200
# For learners, and for voters while their number is even. Longer than an
# election and the restart of a process; short enough that a replaced host
# is removed before another one fails.
SILENCE_LIMIT_MS = 3000
# For voters while their number is odd. A host that is silent for longer is
# taken to have been replaced.
ODD_VOTERS_SILENCE_LIMIT_MS = 30_000
# With as many voters or fewer, none is removed.
MINIMUM_VOTERS = 3


def tick(state: states.ReplicaState, now):
    r"""Start a change of the membership if one is due and none is running."""
    if not state.automatic_membership or now < state.membership_check_due:
        return []
    state.membership_check_due = now + MEMBERSHIP_CHECK_INTERVAL_MS
    if membership.change_refusal_reason(state):
        return []
    return _add_joining_host(state, now) or _remove_silent_member(state, now)


def _add_joining_host(state: states.ReplicaState, now):
    r"""Add the first host, by name, that ``membership.add`` accepts."""
    for name in sorted(state.discovered_by_name):
        members = membership.add(state, name, now).value_or(None)
        if members is not None:
            return _append_membership(
                state, members, 'control-host-added', name, now)
    return []


def _remove_silent_member(state: states.ReplicaState, now):
    r"""Remove one learner or voter that has been silent for too long."""
    for member in states.other_members(state):
        if silence_ms(state, member, now) <= silence_limit_ms(state, member):
            continue
        if member.voter and len(state.voters) <= MINIMUM_VOTERS:
            continue
        members = tuple(
            item for item in state.log.members if item is not member)
        return _append_membership(
            state, members, 'control-host-removed', member.identity.name,
            now)
    return []


def silence_limit_ms(state: states.ReplicaState, member):
    r"""Return after how long, in ms, a silent member is removed."""
    odd = len(state.voters) % 2
    return (
        ODD_VOTERS_SILENCE_LIMIT_MS if member.voter and odd
        else SILENCE_LIMIT_MS)


def silence_ms(state: states.ReplicaState, member, now):
    r"""Return for how many ms a member has not replied to this leader."""
    progress = state.progress_by_identity.get(member.identity)
    acknowledged = progress.acknowledged_send_time if progress else None
    return now - max(state.leader_since, acknowledged or 0)


def _append_membership(state: states.ReplicaState, members, event, name, now):
    return [effect.LogEvent(event, (
        ('host', name), ('members', len(members)),
    ))] + replication.append(
        state, now, [(message.MEMBERSHIP, b'', members, 0)])
