"""Tests of the answers to statements that change the control hosts."""

import random

import pytest

from poplarstep.configuration import command
from poplarstep.configuration import machine as machines
from poplarstep.consensus import message as consensus
from poplarstep.consensus import progress as progresses
from poplarstep.consensus import replica as replicas
from poplarstep.consensus import state as states
from poplarstep.control import hosts
from poplarstep.control import message
from poplarstep.core import address
from poplarstep.language import statement

NOW = 60_000
ADDRESS = address.Address('10.0.0.2', 7000)
LEADER = consensus.HostIdentity('control-2', 'disk-2')
MEMBER = consensus.HostIdentity('control-0', 'disk-0')
WIPED = consensus.HostIdentity('control-0', 'disk-9')
STATEMENTS = (
    statement.AddControl('control-0', ADDRESS),
    statement.ReplaceControl('control-0', 'control-0', ADDRESS),
)
CASES = (
    # name of the case, identity in the host's recent Hello, ms since its last
    # answer to this leader, status; None means that a change is proposed
    ('no Hello, answers', None, 150, command.APPLIED),
    ('no Hello, never answered', None, None, None),
    ('no Hello, silent', None, 2500, None),
    ('disk of the member, answers', MEMBER, 150, command.APPLIED),
    ('disk of the member, never answered', MEMBER, None, command.NOT_TAKEN),
    ('disk of the member, silent', MEMBER, 2500, command.NOT_TAKEN),
    ('another disk, never answered', WIPED, None, None),
    ('another disk, answered before', WIPED, 150, None),
)


def make_state(hello_identity, answered_ago_ms):
    r"""Return the stage's state at a leader with a member ``control-0``."""
    members = (
        consensus.Member(LEADER, ADDRESS, True),
        consensus.Member(MEMBER, ADDRESS, True),
    )
    replica = replicas.make_replica(
        LEADER, ADDRESS, (), False, random.Random(1), 0,
        snapshot=consensus.Snapshot('group', 0, 0, members, b''))
    progress = progresses.Progress(1, 0)
    if answered_ago_ms is not None:
        progress.acknowledged_send_time = NOW - answered_ago_ms
    replica.progress_by_identity[MEMBER] = progress
    if hello_identity is not None:
        replica.discovered_by_name['control-0'] = states.DiscoveredHost(
            hello_identity, ADDRESS, 'group', False, NOW - 3000)
    return hosts.make_hosts(replica, machines.Machine())


@pytest.mark.parametrize('parsed', STATEMENTS, ids=['add', 'replace'])
@pytest.mark.parametrize(
    'hello_identity, answered_ago_ms, status', [case[1:] for case in CASES],
    ids=[case[0] for case in CASES])
def test_only_an_answer_proves_that_a_host_is_in_force(
        parsed, hello_identity, answered_ago_ms, status):
    """Guards against reporting a lost host as replaced.

    A leader that is elected just after the loss may still have a recent
    ``Hello`` that the host sent before it was lost.
    """
    planner = hosts.PLANNERS.entry_by_name[type(parsed)]
    planned = planner(make_state(hello_identity, answered_ago_ms), parsed, NOW)
    assert planned[0] == (status or '')


@pytest.mark.parametrize('role', [states.LEADER, states.FOLLOWER])
@pytest.mark.parametrize('parsed', STATEMENTS + (
    statement.RemoveControl('control-0'),
    statement.PromoteControl('control-0')))
def test_nothing_changes_without_the_lease(parsed, role):
    """Guards against a membership change by a leader without its lease.

    Such a host must not propose anything, whichever statement it gets.
    """
    state = make_state(None, None)
    state.replica.role = role
    effects = hosts.operator_command(
        state, message.OperatorCommand(7, 'client', 1, parsed), NOW)
    assert [type(item) for item in effects] == [message.CommandReply]
    outcome = effects[0].outcome
    assert (outcome.status, outcome.reason) == (
        command.NOT_TAKEN, command.NOT_LEADER)
