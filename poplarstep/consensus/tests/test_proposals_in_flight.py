"""Tests of the bounds on what a leader appends without a commit."""

import random

import pytest

from poplarstep.consensus import message
from poplarstep.consensus import replica as replicas
from poplarstep.consensus import replication
from poplarstep.consensus import state as states
from poplarstep.core import address

MEBIBYTE = 1024 * 1024
NOW = 5000
IDENTITIES = tuple(
    message.HostIdentity('control-%d' % number, 'disk') for number in range(3))
MEMBERS = tuple(
    message.Member(
        identity, address.Address('127.0.0.1', 4000 + number), True)
    for number, identity in enumerate(IDENTITIES))


def make_leader():
    """Return a leader to which nobody replies, so that it commits nothing."""
    state = replicas.make_replica(
        IDENTITIES[0], MEMBERS[0].address, (), False, random.Random(1), 0,
        term=1, snapshot=message.Snapshot('group', 0, 0, MEMBERS, b''))
    replication.become_leader(state, NOW)
    assert state.role == states.LEADER
    return state


@pytest.mark.parametrize('payload_bytes, proposals, accepted', [
    (MEBIBYTE, 40, 16),
    (MEBIBYTE // 2, 40, 32),
    (80_000, 300, 209),
    (100, 5000, replication.MAXIMUM_PROPOSALS_IN_FLIGHT),
])
def test_uncommitted_proposals_are_bounded(payload_bytes, proposals, accepted):
    """Guards against a leader without a quorum that fills memory and disk.

    The proposals were counted, but not their bytes.
    """
    state = make_leader()
    outcomes = []
    for key in range(1, proposals + 1):
        outcomes.extend(replicas.REPLICA.process(
            state, message.Propose(key, bytes(payload_bytes)), NOW))
    assert len([
        item for item in outcomes if type(item) is message.Proposed
    ]) == accepted
    assert {
        item.reason for item in outcomes
        if type(item) is message.ProposalRefused} == {'overloaded'}
