"""Tests of the promotion of distant learners beside changes."""

import collections

import pytest

from poplarstep.consensus import commit_pause
from poplarstep.consensus import message
from poplarstep.consensus.model import cluster as clusters
from poplarstep.consensus.model import faults
from poplarstep.consensus import peer
from poplarstep.consensus import replica
from poplarstep.consensus import schedules
from poplarstep.core import registry

FORMATION_MS = 5000
CATCH_UP_MS = 4000
# A pause ends on the first tick after its deadline; the rest is for the
# commit.
MAXIMUM_WAIT_MS = commit_pause.MAXIMUM_PAUSE_MS + replica.TICK_MS + 50
RECOVERY_MS = 20_000
# With this rest a pause of 300 ms takes less than a quarter of the time.
MINIMUM_FIRST_REST_MS = 1000
# The rest doubles up to a minute.
MINIMUM_LAST_REST_MS = 50_000

# Functions ``(cluster, learner)`` that break something during a pause.
FAILURES = registry.Registry('failure during a pause')


class DistantCluster(clusters.Cluster):
    r"""Cluster in which the links of some hosts have a delay.

    Attributes
    ==========

    delay_ms : int
        One-way delay of the links of the hosts in ``distant``.
    without_entries : set of str
        Hosts whose messages with log entries are lost.
    waiting : dict
        Times of the proposals that are not committed yet, by key.
    longest_wait : int
        Longest time in ms from a proposal to its commit.
    """

    __slots__ = (
        'delay_ms', 'distant', 'without_entries', 'waiting', 'longest_wait')

    def __init__(self, size, seed, delay_ms):
        self.delay_ms = delay_ms
        self.distant = set()
        self.without_entries = set()
        self.waiting = {}
        self.longest_wait = 0
        super().__init__(size, seed, automatic=True)

    def deliver(self, delivery):
        r"""Deliver a message after the delay of its link."""
        if delivery.receiver in self.without_entries and (
                type(delivery.message) is peer.AppendEntries
                and delivery.message.entries):
            return
        if {delivery.sender, delivery.receiver} & self.distant:
            self.schedule(self.delay_ms, super().deliver, delivery)
        else:
            super().deliver(delivery)

    def propose(self, host):
        r"""Propose a command and note the time."""
        key = super().propose(host)
        self.waiting[key] = self.now
        return key

    def update_waits(self):
        r"""Measure the waits of the proposals that are committed by now."""
        for key, since in list(self.waiting.items()):
            if self.history.outcome_by_key[key] != 'pending':
                del self.waiting[key]
                self.longest_wait = max(self.longest_wait, self.now - since)


def make_cluster(size, seed, delay_ms, interval_ms, lost):
    """Return a cluster with changes, and its hosts that lost their disk."""
    cluster = DistantCluster(size, seed, delay_ms)
    assert cluster.run(
        FORMATION_MS, lambda: faults.all_hosts_are_voters(cluster))
    hosts = [
        item for item in cluster.hosts if item is not cluster.lease_holder()]
    for host in hosts[:lost]:
        cluster.distant.add(host.name)
        cluster.wipe(host)
        cluster.start(host)
    cluster.schedule(
        1, schedules.repeat, cluster, interval_ms, faults.propose)
    return cluster, hosts[:lost]


def run(cluster, duration_ms, until=lambda: False):
    """Run until a condition holds, measuring the waits of the changes."""
    def check():
        cluster.update_waits()
        return until()
    return cluster.run(duration_ms, check)


def is_paused(cluster):
    """Return whether the leader pauses its commits."""
    leader = cluster.lease_holder()
    return leader is not None and leader.state.commit_pause.holds(
        leader.clock(cluster.now))


def resumptions(cluster, leader):
    """Return the time and the fields of a leader's log lines on pauses."""
    return [
        (now, dict(item.fields)) for now, name, item in cluster.log_events
        if item.event == 'commits-resumed' and name == leader.name]


@pytest.mark.parametrize('delay_ms, interval_ms, lost', [
    (1, 5, 1), (20, 50, 1), (60, 50, 1), (100, 150, 1), (100, 50, 1),
    (100, 50, 2), (140, 50, 1)])
@pytest.mark.parametrize('size, seed', [(3, 1), (5, 2), (5, 3)])
def test_distant_learners_are_promoted_and_no_change_waits_for_long(
        size, seed, delay_ms, interval_ms, lost):
    """Guards against learners that changes keep from becoming voters.

    The checks of the model hold during the run, among them that a learner
    holds all committed entries when it becomes a voter.
    """
    lost = min(lost, (size - 1) // 2)
    cluster, _ = make_cluster(size, seed, delay_ms, interval_ms, lost)
    assert run(
        cluster, CATCH_UP_MS, lambda: faults.all_hosts_are_voters(cluster))
    run(cluster, 500)
    assert cluster.longest_wait <= MAXIMUM_WAIT_MS


@FAILURES.register('leader-crashes')
def crash_leader(cluster, learner):
    cluster.crash(cluster.lease_holder())


@FAILURES.register('leader-is-suspended')
def suspend_leader(cluster, learner):
    leader = cluster.lease_holder()
    leader.paused = True
    cluster.schedule(
        3000, faults.resume, cluster, leader, leader.epoch)


@FAILURES.register('leader-is-cut-off')
def cut_leader(cluster, learner):
    faults.cut_leader(cluster)
    cluster.schedule(3000, cluster.network.heal)


@FAILURES.register('disk-of-leader-is-full')
def fill_disk(cluster, learner):
    leader = cluster.lease_holder()
    leader.disk.full = True
    cluster.schedule(2000, faults.free_disk, leader.disk)


@FAILURES.register('learner-is-silent')
def silence_learner(cluster, learner):
    learner.paused = True
    cluster.schedule(1000, faults.resume, cluster, learner, learner.epoch)


@FAILURES.register('disk-of-learner-is-lost')
def wipe_learner(cluster, learner):
    cluster.wipe(learner)
    cluster.start(learner)


@FAILURES.register('learner-is-removed')
def remove_learner(cluster, learner):
    cluster.feed(cluster.lease_holder(), message.ChangeMembership(
        0, 'remove', learner.name))


@pytest.mark.parametrize('name, reason', [
    ('leader-crashes', None),
    ('leader-is-suspended', 'leadership-lost'),
    ('leader-is-cut-off', 'expired'),
    ('disk-of-leader-is-full', 'leadership-lost'),
    ('learner-is-silent', 'expired'),
    ('disk-of-learner-is-lost', 'expired'),
    ('learner-is-removed', 'superseded'),
])
@pytest.mark.parametrize('size, seed', [(3, 1), (5, 2), (5, 3)])
def test_group_recovers_from_a_failure_during_a_pause(
        name, reason, size, seed):
    """Guards against commits that stay paused, and against lost changes.

    ``reason`` is why the pause ended; a leader that crashes reports nothing.
    """
    cluster, (learner,) = make_cluster(size, seed, 100, 50, 1)
    assert cluster.run(CATCH_UP_MS, lambda: is_paused(cluster))
    leader = cluster.lease_holder()
    FAILURES.find(name).unwrap()(cluster, learner)
    acknowledged = cluster.history.acknowledged
    cluster.run(4000)
    reasons = [fields['reason'] for _, fields in resumptions(cluster, leader)]
    assert reasons[:1] == ([reason] if reason else [])
    faults.end_faults(cluster)
    assert cluster.run(
        RECOVERY_MS, lambda: schedules.has_recovered(cluster, acknowledged))
    assert cluster.history.acknowledged > acknowledged


@pytest.mark.parametrize('failure, bound', [
    (silence_learner, MAXIMUM_WAIT_MS),
    (wipe_learner, MAXIMUM_WAIT_MS),
])
def test_failed_learner_delays_changes_by_one_pause(failure, bound):
    """Guards against changes that wait for a learner that has failed."""
    cluster, (learner,) = make_cluster(3, 1, 100, 50, 1)
    assert run(cluster, CATCH_UP_MS, lambda: is_paused(cluster))
    failure(cluster, learner)
    run(cluster, 2000)
    assert 0 < cluster.longest_wait <= bound


def test_pauses_for_a_learner_that_never_catches_up_become_rare():
    """Guards against pauses without rest for a learner that gets no entries.

    It answers heartbeats, so that each of its replies could begin a pause, and
    its snapshots are outdated when they arrive.
    """
    cluster, (learner,) = make_cluster(3, 1, 100, 50, 1)
    cluster.without_entries.add(learner.name)
    run(cluster, 120_000)
    assert not faults.all_hosts_are_voters(cluster)
    events = resumptions(cluster, cluster.lease_holder())
    assert len(events) >= 3
    assert {fields['reason'] for _, fields in events} == {'expired'}
    for number, (earlier, later) in enumerate(zip(events, events[1:])):
        rest = later[0] - later[1]['paused_ms'] - earlier[0]
        assert rest >= min(
            MINIMUM_FIRST_REST_MS * 2 ** number, MINIMUM_LAST_REST_MS)
    assert cluster.longest_wait <= MAXIMUM_WAIT_MS
    counters = cluster.lease_holder().state.counters
    assert counters.commit_pauses_expired == len(events)
    assert counters.commit_pause_ms == sum(
        fields['paused_ms'] for _, fields in events)


@pytest.mark.parametrize('delay_ms', [20, 100, 140])
@pytest.mark.parametrize('seed', range(4))
def test_schedules_with_a_distant_host_keep_the_properties(delay_ms, seed):
    """Guards against pauses that break a property beside random faults."""
    cluster = DistantCluster(5 if seed % 2 else 3, seed, delay_ms)
    cluster.distant.add('control-%d' % (seed % 3))
    schedules.run_schedule(cluster, collections.Counter())
    assert cluster.history.acknowledged > 0
