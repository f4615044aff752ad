"""Random fault schedules, and checks that they detect a missing mechanism."""

import pytest

from poplarstep.consensus import message
from poplarstep.consensus.model import cluster as clusters
from poplarstep.consensus.model import faults
from poplarstep.consensus import schedules
from poplarstep.consensus import state as states


def form_cluster(size, seed, mechanisms=None, skipped=()):
    cluster = clusters.Cluster(size, seed, mechanisms, skipped)
    assert cluster.run(10000, lambda: cluster.lease_holder() is not None)
    return cluster


def propose_and_apply(cluster, hosts, limit=5000):
    r"""Return whether the hosts apply a new command within ``limit`` ms."""
    cluster.run(limit, lambda: cluster.lease_holder() is not None)
    if cluster.lease_holder() is None:
        return False
    end = cluster.lease_holder().state.log.last_index + 1
    cluster.propose(cluster.lease_holder())
    return cluster.run(limit, lambda: all(
        host.applied_index >= end for host in hosts))


@pytest.mark.parametrize('seed', range(24))
def test_schedule_keeps_all_properties(seed):
    """Guards against violations of the checks and missing recovery."""
    outcome = schedules.run_seed(seed)
    assert outcome.text == ''
    assert outcome.commands > 0


# ``skipped`` holds the checks of the mechanism itself, so that a check of
# its consequences has to fail.
@pytest.mark.parametrize('mechanism, skipped, seeds, violations', [
    ('sync_first', ('reply-is-durable',), range(20),
     {'acknowledged-on-quorum'}),
    ('disk_identity', ('wiped-host-counted',), range(30, 50),
     {'one-leader-per-term', 'one-lease'}),
    ('disk_identity', (), range(20), {'wiped-host-counted'}),
    ('short_lease', (), range(20), {'one-lease'}),
    ('learner_catch_up', (), range(10), {'promotion-is-complete'}),
])
def test_missing_mechanism_is_noticed(mechanism, skipped, seeds, violations):
    """Guards against schedules that don't need the mechanism to pass."""
    mechanisms = states.Mechanisms().replace(**{mechanism: False})
    found = set()
    for seed in seeds:
        found.add(schedules.run_seed(seed, mechanisms, skipped).violation)
        if violations & found:
            break
    assert violations & found


@pytest.mark.parametrize('pre_vote, leader_kept', [
    (True, True),
    (False, False),
])
@pytest.mark.parametrize('seed', range(4))
def test_returning_host_deposes_no_leader(seed, pre_vote, leader_kept):
    """Guards against an election when a host is reconnected."""
    cluster = form_cluster(3, seed, states.Mechanisms(pre_vote=pre_vote))
    leader = cluster.lease_holder()
    term = leader.state.term
    cut = next(host for host in cluster.hosts if host is not leader)
    for other in cluster.hosts:
        cluster.network.cut.add((cut.name, other.name))
        cluster.network.cut.add((other.name, cut.name))
    cluster.run(6000)
    cluster.network.heal()
    cluster.run(4000)
    kept = leader.state.term == term and cluster.lease_holder() is leader
    assert kept is leader_kept


@pytest.mark.parametrize('catch_up, commits', [(True, True), (False, False)])
def test_unreachable_new_host_costs_no_quorum(catch_up, commits):
    """Guards against a new host that votes before it holds the log."""
    cluster = form_cluster(
        3, 1, states.Mechanisms(learner_catch_up=catch_up),
        skipped=('promotion-is-complete',))
    leader = cluster.lease_holder()
    added = cluster.add_host('control-new', bootstrap=False)
    cluster.start(added)
    cluster.run(600)
    for host in cluster.hosts:
        cluster.network.cut.add((host.name, added.name))
    cluster.feed(leader, message.ChangeMembership(1, 'add', added.name))
    cluster.run(500)
    lost = next(
        host for host in cluster.hosts if host not in (leader, added))
    cluster.crash(lost)
    cluster.run(2000)
    rest = [host for host in cluster.live if host is not added]
    assert propose_and_apply(cluster, rest) is commits


@pytest.mark.parametrize('seed', range(6))
def test_second_loss_after_repair_loses_nothing(seed):
    """Guards against a new disk that counts before it holds the log."""
    cluster = form_cluster(3, seed)
    assert propose_and_apply(cluster, cluster.hosts)
    cluster.schedule(1, schedules.repeat, cluster, 50, faults.repair)
    for _ in range(3):
        host = cluster.random.choice(cluster.hosts)
        cluster.wipe(host)
        cluster.run(1000)
        cluster.start(host)
        assert cluster.run(20000, lambda: faults.all_hosts_are_voters(cluster))
    assert propose_and_apply(cluster, cluster.hosts)
    assert cluster.lease_holder().state.log.last_index > 8


@pytest.mark.parametrize('wiped, restarted_survivors, forms', [
    (('control-0',), (), False),
    (('control-0', 'control-1'), (), False),
    (('control-0', 'control-1'), ('control-2',), False),
])
def test_wiped_hosts_form_no_second_group(wiped, restarted_survivors, forms):
    """Guards against a second bootstrap by hosts that lost their disks."""
    cluster = form_cluster(3, 5)
    group = cluster.lease_holder().state.group
    for host in cluster.hosts:
        cluster.wipe(host) if host.name in wiped else cluster.crash(host)
    for host in cluster.hosts:
        if host.name in wiped:
            cluster.start(host)
    cluster.run(10000)
    for name in restarted_survivors:
        cluster.start(cluster.host_by_name[name])
    cluster.run(10000)
    groups = {host.state.group for host in cluster.live} - {'', group}
    assert bool(groups) is forms


def test_host_started_to_join_forms_no_group():
    """Guards against a group when one seed lacks the bootstrap flag."""
    cluster = clusters.Cluster(3, 3)
    for host in cluster.hosts:
        cluster.crash(host)
    cluster.host_by_name['control-1'].bootstrap = False
    for host in cluster.hosts:
        cluster.start(host)
    cluster.run(10000)
    assert {host.state.group for host in cluster.hosts} == {''}


@pytest.mark.parametrize('removes_leader', [False, True])
def test_removed_host_can_be_added_again(removes_leader):
    """Guards against a removed host that keeps leading or can't return."""
    cluster = form_cluster(3, 2)
    leader = cluster.lease_holder()
    removed = leader if removes_leader else next(
        host for host in cluster.hosts if host is not leader)
    cluster.feed(leader, message.ChangeMembership(1, 'remove', removed.name))
    cluster.run(5000)
    rest = [host for host in cluster.hosts if host is not removed]
    assert cluster.lease_holder() in rest
    assert propose_and_apply(cluster, rest)
    term = cluster.lease_holder().state.term
    cluster.run(5000)
    assert cluster.lease_holder().state.term == term
    cluster.feed(cluster.lease_holder(), message.ChangeMembership(
        2, 'add', removed.name))
    assert cluster.run(5000, lambda: faults.all_hosts_are_voters(cluster))
    assert propose_and_apply(cluster, cluster.hosts)
