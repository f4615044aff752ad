r"""Changes of the membership, one at a time.

Explanation
===========

A host is added as a learner, and the leader makes it a voter when it holds
the log up to the leader's commit index. If a member with the same name and
another disk identity exists, its disk was lost, and the same change removes
that identity. Each change adds or removes at most one voter, and the next
change starts only after it is committed. A majority before a change and one
after it therefore always share a voter.
"""

from returns import result

from poplarstep.consensus import handlers
from poplarstep.consensus import message
from poplarstep.consensus import replication
from poplarstep.consensus import state as states
from poplarstep.core import registry

MAXIMUM_MEMBERS = 7
# Maximum age of the last ``Hello`` of a host to add; a host without a leader
# sends one every 500 ms.
JOIN_HELLO_EXPIRY_MS = 5000

# Functions ``(state, argument, now)`` that return ``Result[members, reason]``:
# the new membership, or why the change is refused. The argument is the name of
# a host; that of ``replace`` is two names with a space between them.
ACTIONS = registry.Registry('membership action')


@handlers.handles(message.ChangeMembership)
def change(state: states.ReplicaState, request, now):
    r"""Append the new membership, or refuse the change."""
    reason = change_refusal_reason(state)
    if reason:
        return _refuse(state, request, reason)
    action = ACTIONS.find(request.action)
    outcome = action.bind(
        lambda function: function(state, request.name, now))
    if isinstance(outcome, result.Failure):
        return _refuse(state, request, outcome.failure())
    return replication.append(state, now, [
        (message.MEMBERSHIP, b'', outcome.unwrap(), request.key)])


def _refuse(state: states.ReplicaState, request, reason):
    return [message.ProposalRefused(
        request.key, reason, states.leader_name(state))]


def change_refusal_reason(state: states.ReplicaState):
    r"""Return the reason why no change can start now, or an empty text."""
    if not state.storage_ready:
        return 'storage-failed'
    if state.role != states.LEADER:
        return 'not-leader'
    if not states.has_committed_in_term(state):
        return 'not-ready'
    if state.log.members_index > state.commit_index:
        return 'change-in-progress'
    return ''


@ACTIONS.register('add')
def add(state: states.ReplicaState, name, now):
    r"""Return the membership with a host added as a learner.

    A member of the same name, whose disk was lost, is left out.
    """
    host = state.discovered_by_name.get(name)
    if host is None or now - host.last_seen > JOIN_HELLO_EXPIRY_MS:
        return result.Failure('not-heard')
    if host.observer:
        return result.Failure('no-disk')
    if any(member.identity == host.identity
           for member in state.log.members):
        return result.Failure('already-member')
    remaining = _members_except(state, name)
    if not any(member.voter for member in remaining):
        return result.Failure('last-voter')
    if len(remaining) >= MAXIMUM_MEMBERS:
        return result.Failure('too-many-members')
    return result.Success(remaining + (message.Member(
        host.identity, host.address,
        not state.mechanisms.learner_catch_up),))


@ACTIONS.register('remove')
def remove(state: states.ReplicaState, name, now):
    r"""Return the membership without a host."""
    remaining = _members_except(state, name)
    if len(remaining) == len(state.log.members):
        return result.Failure('not-member')
    if not any(member.voter for member in remaining):
        return result.Failure('last-voter')
    return result.Success(remaining)


@ACTIONS.register('replace')
def replace(state: states.ReplicaState, names, now):
    r"""Return the membership with a learner in place of another host.

    ``names`` is the name of the host to remove and the name of the host to
    add, separated by a space. At most one voter is removed, and the learner
    does not count for a quorum yet.
    """
    name, new_name = names.split(' ')
    added = add(state, new_name, now)
    if isinstance(added, result.Failure):
        return added
    remaining = tuple(
        member for member in added.unwrap() if member.identity.name != name)
    if not any(member.voter for member in remaining):
        return result.Failure('last-voter')
    return result.Success(remaining)


def _members_except(state: states.ReplicaState, name):
    return tuple(
        member for member in state.log.members
        if member.identity.name != name)
