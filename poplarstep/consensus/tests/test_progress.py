"""Tests of the reports about members that lack a part of the log."""

import random

import pytest

from poplarstep.consensus import message
from poplarstep.consensus.model import cluster as clusters
from poplarstep.consensus import progress as progresses
from poplarstep.consensus import replica as replicas
from poplarstep.core import address

FORMATION_MS = 5000
REJOIN_MS = 10_000


def make_leader(voter):
    """Return a leader's state with a second member that lacks three entries.

    Each entry has a payload of 5 bytes, and the member has the first one.
    """
    identities = [
        message.HostIdentity('control-%d' % number, 'disk-%d' % number)
        for number in range(2)]
    members = tuple(
        message.Member(
            identity, address.Address('10.0.0.1', 7000 + number),
            voter or not number)
        for number, identity in enumerate(identities))
    entries = [
        message.LogEntry(index, 1, message.COMMAND, b'12345')
        for index in range(1, 5)]
    state = replicas.make_replica(
        identities[0], members[0].address, (), False, random.Random(1), 0,
        snapshot=message.Snapshot('group', 0, 0, members, b''),
        entries=entries)
    progress = progresses.Progress(2, 100)
    progress.match_index = 1
    progress.count_sent(5)
    state.progress_by_identity[identities[1]] = progress
    return state


@pytest.mark.parametrize('voter, times, reports', [
    (False, (1099,), 0),
    (False, (1100,), 1),
    (False, (1100, 1500, 2099), 1),
    (False, (1100, 2100), 2),
    (True, (1100, 2100), 0),
])
def test_a_learner_that_is_behind_is_reported_once_a_second(
        voter, times, reports):
    """Guards against a group without redundancy that nobody can see."""
    state = make_leader(voter)
    events = [
        item for now in times
        for item in progresses.report_learners(state, now)]
    assert [item.event for item in events] == ['control-host-behind'] * reports
    for item in events:
        assert item.fields[:3] == (
            ('host', 'control-1'), ('entries', 3), ('bytes', 15))
        assert item.fields[-1] == ('sent_bytes', 5)


@pytest.mark.parametrize('seed', [1, 2])
def test_promotion_of_a_wiped_host_tells_what_it_was_sent(seed):
    """Guards against a slow return that no log line explains."""
    cluster = clusters.Cluster(3, seed, automatic=True)
    assert cluster.run(
        FORMATION_MS, lambda: cluster.lease_holder() is not None)
    host = next(
        item for item in cluster.hosts if item is not cluster.lease_holder())
    cluster.wipe(host)
    cluster.start(host)

    def promoted():
        return [
            dict(item.fields) for _, _, item in cluster.log_events
            if item.event == 'control-host-promoted']
    assert cluster.run(REJOIN_MS, promoted)
    report, = promoted()
    assert report['host'] == host.name
    assert report['sent_messages'] > 0
    assert 0 < report['elapsed_ms'] < REJOIN_MS
