"""Tests of observers: control hosts without a disk."""

import pytest

from poplarstep.consensus import bootstrap
from poplarstep.consensus import message
from poplarstep.consensus.model import cluster as clusters
from poplarstep.consensus import peer
from poplarstep.consensus import state as states
from poplarstep.core import effect

SEEDS = range(6)
# Limit for an observer that restarts to find the members again.
CATCH_UP_MS = 4000
# Limit for the hosts with a disk to form a group and become voters.
FOUNDING_MS = 8000
SHAPES = (
    # Number of hosts, and which of them have no disk. The first three are
    # the seeds.
    (4, (0,)),
    (4, (1,)),
    (4, (2,)),
    (5, (0, 1)),
    (6, (0, 1, 2)),
    (8, (0, 1, 2, 5)),
    (6, (3, 4, 5)),
)


def make_cluster(size, observers, seed):
    """Return a running cluster whose hosts with a disk are all voters."""
    cluster = clusters.Cluster(
        size, seed, automatic=True, seed_count=3, observers=observers)
    assert cluster.run(FOUNDING_MS, lambda: is_settled(cluster))
    return cluster


def is_settled(cluster):
    """Return whether the hosts with a disk are the committed voters."""
    leader = cluster.lease_holder()
    if leader is None:
        return False
    voters = {identity.name for identity in leader.state.voters}
    wanted = {host.name for host in cluster.hosts if not host.observer}
    return voters == wanted and (
        leader.state.log.members_index <= leader.state.commit_index)


def groups(cluster):
    """Return the groups of the live hosts."""
    return {host.state.group for host in cluster.live if host.state.group}


def knows_members(cluster, host):
    """Return whether an observer knows all hosts with a disk."""
    known = bootstrap.known_addresses(host.state, host.clock(cluster.now))
    return {item.address for item in cluster.hosts
            if not item.observer} <= set(known)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('size, observers', SHAPES)
def test_hosts_with_a_disk_form_one_group(size, observers, seed):
    """Guards against a bootstrap that waits for hosts without a disk."""
    cluster = make_cluster(size, observers, seed)
    assert len(groups(cluster)) == 1
    cluster.run(2000)
    assert is_settled(cluster)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('size, observers', [
    shape for shape in SHAPES if 0 in shape[1]])
def test_restarts_form_no_second_group(size, observers, seed):
    """Guards against a second group after all hosts were killed."""
    cluster = make_cluster(size, observers, seed)
    before = groups(cluster)
    for host in cluster.hosts:
        host.bootstrap = False
        cluster.crash(host)
    victim = cluster.hosts[-1]
    if not victim.observer:
        cluster.wipe(victim)
    cluster.run(700)
    for host in cluster.hosts:
        cluster.start(host)
    assert cluster.run(FOUNDING_MS, lambda: is_settled(cluster))
    assert groups(cluster) == before


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('size, observers', [
    shape for shape in SHAPES if 0 in shape[1]])
@pytest.mark.parametrize('members_restart, dark_ms', [
    (False, 3000), (True, 3000), (False, 40_000)],
    ids=['members run on', 'members restart first', 'observers forgotten'])
def test_observers_find_the_members_again(
        members_restart, dark_ms, size, observers, seed):
    """Guards against members that send no ``Hello`` once there is a leader.

    All seeds may be observers, and then the members must find them.
    """
    cluster = make_cluster(size, observers, seed)
    hosts = [host for host in cluster.hosts if host.observer]
    for host in cluster.hosts if members_restart else hosts:
        host.bootstrap = False
        cluster.crash(host)
    for host in cluster.hosts:
        if not host.observer and host.state is None:
            cluster.start(host)
    cluster.run(dark_ms)
    for host in hosts:
        cluster.start(host)
    assert cluster.run(CATCH_UP_MS, lambda: all(
        knows_members(cluster, host) for host in hosts))


@pytest.mark.parametrize('peer_message', [
    peer.RequestVote(
        message.HostIdentity('control-1', 'disk-1'), '', 9, False, 0, 0),
    peer.AppendEntries(
        message.HostIdentity('control-1', 'disk-1'),
        message.HostIdentity('control-0', ''), '', 9, 0, 0, (), 0, 0),
], ids=['vote', 'entries'])
def test_observer_gives_no_vote_and_stores_nothing(peer_message):
    """Guards against votes and acknowledgements of a host without a disk."""
    cluster = clusters.Cluster(
        2, 1, automatic=True, seed_count=1, observers=(0,))
    observer = cluster.hosts[0]
    source = cluster.hosts[1].address
    effects = clusters.replica.REPLICA.process(
        observer.state, effect.Received(source, peer_message),
        observer.clock(5000))
    assert effects == []
    assert observer.state.role == states.FOLLOWER
    assert observer.state.term == 0
