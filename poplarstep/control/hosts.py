r"""Stage of a control host that handles membership changes.

Explanation
===========

The address of a control host is taken from its own ``Hello``; the address in
a statement is only for the operator's records. Membership changes are not
commands of the state machine and have no stored outcomes. A resend is
recognised by its effect: a change that is already in force counts as applied.
"""

from poplarstep.configuration import command
from poplarstep.consensus import membership
from poplarstep.consensus import message as consensus
from poplarstep.consensus import state as states
from poplarstep.control import message
from poplarstep.core import registry
from poplarstep.core import stage
from poplarstep.language import statement

# A host counts as alive for this long after its last answer to the leader. It
# answers a heartbeat every 150 ms.
LIVENESS_TIMEOUT_MS = 2000
ALREADY_IN_FORCE = 'already in force'

HOSTS = stage.Stage('control hosts')
# A planner takes (state, statement, now) and returns (status, reason, action,
# names): a status answers the operator, an empty status proposes the action.
PLANNERS = registry.Registry('statement that changes the control hosts')


class HostsState:
    r"""The replica and the state machine, which the stage only reads."""

    __slots__ = ('replica', 'machine')

    def __init__(self, replica: states.ReplicaState, machine):
        self.replica = replica
        self.machine = machine


def make_hosts(replica: states.ReplicaState, machine) -> HostsState:
    r"""Return the state of the stage."""
    return HostsState(replica, machine)


@HOSTS.handles(message.OperatorCommand)
def operator_command(state: 'HostsState', event, now):
    r"""Propose a membership change, or answer that none is needed."""
    planner = PLANNERS.entry_by_name.get(type(event.statement))
    if planner is None:
        return [event]
    if not states.read_allowed(state.replica, now):
        return [_reply(
            state, event, command.NOT_TAKEN, command.NOT_LEADER)]
    if state.replica.log.members_index > state.replica.commit_index:
        # An earlier copy of this statement may have proposed the pending
        # change; the operator can resend to find out.
        return [_reply(state, event, command.UNKNOWN, 'change-in-progress')]
    status, reason, action, names = planner(state, event.statement, now)
    if status:
        return [_reply(state, event, status, reason)]
    return [consensus.ChangeMembership(event.key, action, names)]


def _reply(state: 'HostsState', event, status, reason):
    return message.CommandReply(event.key, command.Outcome(
        status, state.machine.catalogue.version, reason),
        states.leader_name(state.replica))


def _answer(status, reason):
    return status, reason, None, None


def _proposal(action, names):
    return '', '', action, names


@PLANNERS.register(statement.AddControl)
def _add(state: 'HostsState', parsed, now):
    if _in_force(state.replica, parsed.name, now):
        return _answer(command.APPLIED, ALREADY_IN_FORCE)
    if _has_member_identity(state.replica, parsed.name, now):
        # The change is in force if the host is alive. Its next reply to the
        # leader shows that.
        return _answer(command.NOT_TAKEN, command.HOST_NOT_ANSWERED)
    return _proposal('add', parsed.name)


@PLANNERS.register(statement.RemoveControl)
def _remove(state, parsed, now):
    if not _members(state.replica, parsed.name):
        return _answer(command.APPLIED, ALREADY_IN_FORCE)
    return _proposal('remove', parsed.name)


@PLANNERS.register(statement.PromoteControl)
def _promote(state, parsed, now):
    members = _members(state.replica, parsed.name)
    if not members:
        return _answer(command.REFUSED, 'not-member')
    if not members[0].voter:
        return _answer(
            command.REFUSED,
            'log-incomplete: the leader promotes it when it has caught up')
    return _answer(command.APPLIED, ALREADY_IN_FORCE)


@PLANNERS.register(statement.ReplaceControl)
def _replace(state: 'HostsState', parsed, now):
    if parsed.name == parsed.new_name:
        return _add(state, parsed, now)
    if not _members(state.replica, parsed.name):
        if _in_force(state.replica, parsed.new_name, now):
            return _answer(command.APPLIED, ALREADY_IN_FORCE)
        return _answer(command.REFUSED, 'not-member')
    return _proposal('replace', '%s %s' % (parsed.name, parsed.new_name))


def _members(replica: states.ReplicaState, name):
    return [member for member in replica.log.members
            if member.identity.name == name]


def _in_force(replica: states.ReplicaState, name, now):
    r"""Return whether the host is a member with its present disk.

    Only an answer to this leader proves that. A ``Hello`` doesn't, because
    its sender may have stopped since; but a recent ``Hello`` with another
    disk identity proves that the member's disk is gone.
    """
    members = _members(replica, name)
    if not members:
        return False
    identity = members[0].identity
    host = _recent_host(replica, name, now)
    if host is not None and host.identity != identity:
        return False
    progress = replica.progress_by_identity.get(identity)
    return identity == replica.identity or (
        progress is not None and progress.acknowledged_send_time is not None
        and now - progress.acknowledged_send_time <= LIVENESS_TIMEOUT_MS)


def _has_member_identity(replica: states.ReplicaState, name, now):
    r"""Return whether a recent ``Hello`` has the identity of a member."""
    host = _recent_host(replica, name, now)
    return host is not None and any(
        member.identity == host.identity
        for member in replica.log.members)


def _recent_host(replica: states.ReplicaState, name, now):
    host = replica.discovered_by_name.get(name)
    if host is None or (
            now - host.last_seen > membership.JOIN_HELLO_EXPIRY_MS):
        return None
    return host
