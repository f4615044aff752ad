"""Tests of the answers to statements about control hosts."""

import random

import pytest

from poplarstep.configuration import command
from poplarstep.configuration import machine as machines
from poplarstep.consensus import message as consensus
from poplarstep.consensus import replica as replicas
from poplarstep.consensus import state as states
from poplarstep.control import hosts
from poplarstep.control import message
from poplarstep.core import address
from poplarstep.language import statement

NOW = 60_000
PLACE = address.Address('10.0.0.2', 7000)
LEADER = consensus.HostIdentity('control-2', 'disk-2')
MEMBER = consensus.HostIdentity('control-0', 'disk-0')
WIPED = consensus.HostIdentity('control-0', 'disk-9')
STATEMENTS = (
    statement.AddControl('control-0', PLACE),
    statement.ReplaceControl('control-0', 'control-0', PLACE),
)
CASES = (
    # what was heard of the host, ms since its last answer to this leader,
    # status; None as the status means that a change is proposed
    ('nothing, answers', None, 150, command.APPLIED),
    ('nothing, never answered', None, None, None),
    ('nothing, silent', None, 2500, None),
    ('its member disk, answers', MEMBER, 150, command.APPLIED),
    ('its member disk, never answered', MEMBER, None, command.NOT_TAKEN),
    ('its member disk, silent', MEMBER, 2500, command.NOT_TAKEN),
    ('another disk, never answered', WIPED, None, None),
    ('another disk, answered before', WIPED, 150, None),
)


def make_state(heard, answered_ago_ms):
    r"""Return the stage's state at a leader with a member ``control-0``."""
    members = (
        consensus.Member(LEADER, PLACE, True),
        consensus.Member(MEMBER, PLACE, True),
    )
    replica = replicas.make_replica(
        LEADER, PLACE, (), False, random.Random(1), 0,
        snapshot=consensus.Snapshot('group', 0, 0, members, b''))
    progress = states.Progress(1)
    if answered_ago_ms is not None:
        progress.acknowledged_send_time = NOW - answered_ago_ms
    replica.progress_by_identity[MEMBER] = progress
    if heard is not None:
        replica.applicant_by_name['control-0'] = states.Applicant(
            heard, PLACE, 'group', False, NOW - 3000)
    return hosts.make_hosts(replica, machines.Machine())


@pytest.mark.parametrize('asked', STATEMENTS, ids=['add', 'replace'])
@pytest.mark.parametrize(
    'heard, answered_ago_ms, status', [case[1:] for case in CASES],
    ids=[case[0] for case in CASES])
def test_only_an_answer_proves_that_a_host_is_in_force(
        asked, heard, answered_ago_ms, status):
    """Guards against a lost host that is reported as replaced.

    A leader that was elected just after the loss had heard the former run
    of the host less than 5 s ago and answered that all was in force.
    """
    planner = hosts.PLANNERS.entry_by_name[type(asked)]
    planned = planner(make_state(heard, answered_ago_ms), asked, NOW)
    assert planned[0] == (status or '')


@pytest.mark.parametrize('role', [states.LEADER, states.FOLLOWER])
@pytest.mark.parametrize('asked', STATEMENTS + (
    statement.RemoveControl('control-0'),
    statement.PromoteControl('control-0')))
def test_nothing_changes_without_the_lease(asked, role):
    """Guards against a leader whose lease has lapsed and that acts.

    It removed the host that the statement named, whatever was asked.
    """
    state = make_state(None, None)
    state.replica.role = role
    effects = hosts.operator_command(
        state, message.OperatorCommand(7, 'client', 1, asked), NOW)
    assert [type(item) for item in effects] == [message.CommandReply]
    outcome = effects[0].outcome
    assert (outcome.status, outcome.reason) == (
        command.NOT_TAKEN, command.NOT_LEADER)
