"""Tests of control hosts whose disks are full one after the other."""

import pytest

from poplarstep.consensus.model import cluster as clusters
from poplarstep.consensus.model import faults
from poplarstep.consensus import schedules

FORMATION_MS = 5000
# Two elections and the retransmission of what a host lacks.
RECOVERY_MS = 5000


def next_host(cluster, order, position):
    """Return the host whose disk becomes full next."""
    if order == 'leader':
        return cluster.lease_holder() or cluster.hosts[0]
    return cluster.hosts[position]


@pytest.mark.parametrize('size, order, full_ms, gap_ms, seed', [
    (3, 'turn', 2500, 3500, 1),
    (3, 'leader', 2500, 1200, 2),
    (3, 'turn', 300, 100, 3),
    (3, 'leader', 4000, 100, 4),
    (6, 'turn', 2500, 3500, 5),
    (6, 'leader', 2500, 1200, 6),
    (6, 'turn', 4000, 100, 7),
])
def test_changes_are_accepted_after_the_last_disk_has_room(
        size, order, full_ms, gap_ms, seed):
    """Guards against changes that stay unanswered after full disks.

    Each host fails in turn, through elections and snapshots, and in a group
    of six a silent host is removed and added again.
    """
    cluster = clusters.Cluster(size, seed, automatic=True, seed_count=3)
    assert cluster.run(
        FORMATION_MS, lambda: cluster.lease_holder() is not None)
    cluster.schedule(
        1, schedules.repeat, cluster, schedules.PROPOSAL_INTERVAL_MS,
        faults.propose)
    cluster.run(2000)
    for position in range(size):
        host = next_host(cluster, order, position)
        host.disk.full = True
        cluster.run(full_ms)
        host.disk.full = False
        cluster.run(gap_ms)
    acknowledged = cluster.history.acknowledged
    assert cluster.run(
        RECOVERY_MS,
        lambda: schedules.has_recovered(cluster, acknowledged))
