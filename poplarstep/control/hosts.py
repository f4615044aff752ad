r"""Stage of a control host for changes of the control hosts themselves.

Explanation
===========

A host is known from the ``Hello`` that it sends; the address in a statement
is for the operator's own records. These changes are not commands of the
state machine, so a resend is recognised by its effect: a change that is in
force already counts as applied.
"""

from poplarstep.configuration import command
from poplarstep.consensus import membership
from poplarstep.consensus import message as consensus
from poplarstep.consensus import state as states
from poplarstep.control import message
from poplarstep.core import registry
from poplarstep.core import stage
from poplarstep.language import statement

# Heartbeats are answered every 150 ms.
ANSWERING_MS = 2000
IN_FORCE = 'already in force'

HOSTS = stage.Stage('control hosts')
PLANNERS = registry.Registry('statement that changes the control hosts')


class HostsState:
    r"""What the stage reads: the replica and the state machine."""

    __slots__ = ('replica', 'machine')

    def __init__(self, replica, machine):
        self.replica = replica
        self.machine = machine


def make_hosts(replica, machine):
    r"""Return the state of the stage."""
    return HostsState(replica, machine)


@HOSTS.handles(message.OperatorCommand)
def operator_command(state, event, now):
    r"""Propose a change of the membership, or answer it."""
    planner = PLANNERS.entry_by_name.get(type(event.statement))
    if planner is None:
        return [event]
    if not states.read_allowed(state.replica, now):
        return [_reply(
            state, event, command.NOT_TAKEN, command.NOT_LEADER)]
    if state.replica.log.members_index > state.replica.commit_index:
        # It may be this very change, sent before; a resend will tell.
        return [_reply(state, event, command.UNKNOWN, 'change-in-progress')]
    status, reason, action, names = planner(state, event.statement, now)
    if status:
        return [_reply(state, event, status, reason)]
    return [consensus.ChangeMembership(event.key, action, names)]


def _reply(state, event, status, reason):
    return message.CommandReply(event.key, command.Outcome(
        status, state.machine.catalogue.version, reason),
        states.leader_name(state.replica))


def _settled(status, reason):
    return status, reason, None, None


def _proposed(action, names):
    return '', '', action, names


@PLANNERS.register(statement.AddControl)
def _add(state, asked, now):
    if _in_force(state.replica, asked.name, now):
        return _settled(command.APPLIED, IN_FORCE)
    if _is_member_again(state.replica, asked.name, now):
        # In force if the host still lives; its next answer will tell.
        return _settled(command.NOT_TAKEN, command.NOT_ANSWERED)
    return _proposed('add', asked.name)


@PLANNERS.register(statement.RemoveControl)
def _remove(state, asked, now):
    if not _members(state.replica, asked.name):
        return _settled(command.APPLIED, IN_FORCE)
    return _proposed('remove', asked.name)


@PLANNERS.register(statement.PromoteControl)
def _promote(state, asked, now):
    members = _members(state.replica, asked.name)
    if not members:
        return _settled(command.REFUSED, 'not-member')
    if not members[0].voter:
        return _settled(
            command.REFUSED,
            'log-incomplete: the leader promotes it when it has caught up')
    return _settled(command.APPLIED, IN_FORCE)


@PLANNERS.register(statement.ReplaceControl)
def _replace(state, asked, now):
    if asked.name == asked.new_name:
        return _add(state, asked, now)
    if not _members(state.replica, asked.name):
        if _in_force(state.replica, asked.new_name, now):
            return _settled(command.APPLIED, IN_FORCE)
        return _settled(command.REFUSED, 'not-member')
    return _proposed('replace', '%s %s' % (asked.name, asked.new_name))


def _members(replica, name):
    return [member for member in replica.log.members
            if member.identity.name == name]


def _in_force(replica, name, now):
    r"""Return whether the host is a member with the disk that it has now.

    Only an answer to this leader proves that. A ``Hello`` may be of a run
    that has ended since; it counts against the host when it came from
    another disk.
    """
    members = _members(replica, name)
    if not members:
        return False
    identity = members[0].identity
    applicant = _fresh_applicant(replica, name, now)
    if applicant is not None and applicant.identity != identity:
        return False
    progress = replica.progress_by_identity.get(identity)
    return identity == replica.identity or (
        progress is not None and progress.acknowledged_send_time is not None
        and now - progress.acknowledged_send_time <= ANSWERING_MS)


def _is_member_again(replica, name, now):
    r"""Return whether the host asked to join with the disk of a member."""
    applicant = _fresh_applicant(replica, name, now)
    return applicant is not None and any(
        member.identity == applicant.identity
        for member in replica.log.members)


def _fresh_applicant(replica, name, now):
    applicant = replica.applicant_by_name.get(name)
    if applicant is None or (
            now - applicant.heard_at > membership.APPLICANT_MS):
        return None
    return applicant
