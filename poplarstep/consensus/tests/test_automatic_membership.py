"""Tests of automatic membership."""

import pytest

from poplarstep.consensus.model import cluster as clusters

SEEDS = range(6)
# Limit for a host to become a voter, and for the host that it replaces to be
# removed.
CATCH_UP_MS = 4000


def make_cluster(size, seed, automatic=True, seed_count=3):
    """Return a running cluster that has formed its group."""
    cluster = clusters.Cluster(
        size, seed, automatic=automatic, seed_count=seed_count)
    assert cluster.run(5000, lambda: cluster.lease_holder() is not None)
    return cluster


def voters(cluster):
    """Return the names of the voters that the leader knows."""
    leader = cluster.lease_holder()
    if leader is None:
        return set()
    return {identity.name for identity in leader.state.voters}


def disks(cluster):
    """Return the disk identities of the voters."""
    leader = cluster.lease_holder()
    return {item.disk for item in leader.state.voters} if leader else set()


def is_settled(cluster, names):
    """Return whether exactly these hosts are the committed voters."""
    leader = cluster.lease_holder()
    return leader is not None and voters(cluster) == names and (
        leader.state.log.members_index <= leader.state.commit_index)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('size', [4, 5, 6])
def test_hosts_that_are_no_seeds_join(size, seed):
    """Guards against hosts that the leader doesn't add."""
    cluster = make_cluster(size, seed)
    names = {host.name for host in cluster.hosts}
    assert cluster.run(CATCH_UP_MS, lambda: is_settled(cluster, names))


def test_hosts_do_not_join_without_automatic_membership():
    """Guards against tests that pass without automatic membership."""
    cluster = make_cluster(4, 1, automatic=False)
    cluster.run(2 * CATCH_UP_MS)
    assert len(voters(cluster)) == 3


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('size, lost_index', [
    (3, 0), (3, 2), (4, 1), (4, 3), (5, 4)])
def test_wiped_host_returns_by_itself(size, lost_index, seed):
    """Guards against a lost disk that leaves the group with fewer voters."""
    cluster = make_cluster(size, seed)
    names = {host.name for host in cluster.hosts}
    assert cluster.run(CATCH_UP_MS, lambda: is_settled(cluster, names))
    host = cluster.hosts[lost_index]
    host.bootstrap = False
    cluster.wipe(host)
    cluster.run(500)
    cluster.start(host)
    assert cluster.run(CATCH_UP_MS, lambda: (
        is_settled(cluster, names) and host.disk.identity in disks(cluster)))


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('size, lost_index', [(3, 0), (3, 2), (4, 0), (4, 3)])
def test_host_is_replaced_at_another_address(size, lost_index, seed):
    """Guards against a lost host that remains a voter after replacement."""
    cluster = make_cluster(size, seed)
    names = {host.name for host in cluster.hosts}
    assert cluster.run(CATCH_UP_MS, lambda: is_settled(cluster, names))
    lost = cluster.hosts[lost_index]
    cluster.crash(lost)
    cluster.run(1000)
    successor = cluster.add_host('successor', bootstrap=False)
    cluster.start(successor)
    assert cluster.run(
        CATCH_UP_MS, lambda: 'successor' in voters(cluster))
    # A group of 4 has 5 voters with the successor. Silent voters of an odd
    # number are removed only after ``ODD_VOTERS_SILENCE_LIMIT_MS``.
    wanted = names - {lost.name} | {'successor'}
    assert cluster.run(
        CATCH_UP_MS if size % 2 else 40_000,
        lambda: is_settled(cluster, wanted))


@pytest.mark.parametrize('seed', SEEDS)
def test_removed_host_that_returns_is_added_again(seed):
    """Guards against a host that isn't added again after an outage."""
    cluster = make_cluster(4, seed)
    names = {host.name for host in cluster.hosts}
    assert cluster.run(CATCH_UP_MS, lambda: is_settled(cluster, names))
    stopped = cluster.hosts[1]
    cluster.crash(stopped)
    assert cluster.run(
        6000, lambda: is_settled(cluster, names - {stopped.name}))
    cluster.start(stopped)
    assert cluster.run(CATCH_UP_MS, lambda: is_settled(cluster, names))


@pytest.mark.parametrize('seed', SEEDS)
def test_all_hosts_killed_at_once_are_back_in_seconds(seed):
    """Guards against a group without a leader after a power failure."""
    cluster = make_cluster(3, seed)
    key = cluster.propose(cluster.lease_holder())
    cluster.run(500)
    for host in cluster.hosts:
        cluster.crash(host)
        host.bootstrap = False
    cluster.run(800)
    for host in cluster.hosts:
        cluster.start(host)
    assert cluster.run(4000, lambda: cluster.lease_holder() is not None)
    assert cluster.history.outcome_by_key[key] != 'refused'
    assert cluster.lease_holder().applied_index > 0


@pytest.mark.parametrize('seed', SEEDS)
def test_wiped_host_during_a_power_loss_loses_nothing(seed):
    """Guards against a wiped host that forms a second group."""
    cluster = make_cluster(3, seed)
    group = cluster.lease_holder().state.group
    cluster.propose(cluster.lease_holder())
    cluster.run(500)
    for host in cluster.hosts:
        host.bootstrap = False
        cluster.crash(host)
    cluster.wipe(cluster.hosts[seed % 3])
    cluster.run(700)
    for host in cluster.hosts:
        cluster.start(host)
    present = {host.disk.identity for host in cluster.hosts}
    assert cluster.run(8000, lambda: disks(cluster) == present)
    cluster.run(1000)
    assert {host.state.group for host in cluster.hosts} == {group}
    assert {host.applied_index > 0 for host in cluster.hosts} == {True}


@pytest.mark.parametrize('seed', SEEDS)
def test_committed_entries_are_applied_before_an_election(seed):
    """Guards against a restart that waits for a leader to apply entries."""
    cluster = make_cluster(3, seed)
    for _ in range(3):
        cluster.propose(cluster.lease_holder())
        cluster.run(300)
    for host in cluster.hosts:
        cluster.crash(host)
    alone = cluster.hosts[0]
    cluster.start(alone)
    assert alone.applied_index > 0
    assert alone.applied_index <= alone.disk.commit_index
