"""Tests of control hosts after hundreds of large changes."""

import random

import pytest

from poplarstep.control.tests import group as groups

FORMATION_MS = 5000
# A host without a disk is a voter again within this time, and another host
# may lose its disk then.
CATCH_UP_MS = 4000
# A control host has 64 MB of disk. A quarter of it leaves room for snapshots
# of a configuration that has grown.
MAXIMUM_FOLDER_BYTES = 16_000_000
# Applying a change of 82 kB with 1,150 routes takes a small host 22 ms. In
# half of CATCH_UP_MS it applies 90 of them.
MAXIMUM_CATCH_UP_BYTES = 7_400_000


def make_group(tmp_path, size, changes, document_bytes):
    """Return a group that has applied changes, and the latest document."""
    group = groups.Group(str(tmp_path), size)
    assert group.run(FORMATION_MS, lambda: len(group.voters()) == size)
    generator = random.Random(1)
    for revision in range(1, changes + 1):
        document = generator.randbytes(document_bytes)
        assert group.replace_configuration(revision, document)
    return group, document


@pytest.mark.parametrize('size, changes, document_bytes', [
    (3, 600, 82_000),
    (3, 300, 200_000),
    (4, 300, 82_000),
    (3, 2500, 300),
])
def test_disks_lost_in_turn_after_a_long_history_keep_the_quorum(
        tmp_path, size, changes, document_bytes):
    """Guards against a lost quorum after a second disk loss.

    The log was compacted by its number of entries only. A host that lost its
    disk received every change since the first one, and was not a voter yet
    when the next host lost its disk.
    """
    group, document = make_group(tmp_path, size, changes, document_bytes)
    for host in group.hosts:
        host.received_bytes = 0
        group.lose_disk(host)
        group.run(1000)
        group.start(host)
        assert group.run(CATCH_UP_MS, lambda: group.is_voter(host))
        assert host.received_bytes <= MAXIMUM_CATCH_UP_BYTES
    assert group.read_document() == document
    group.close()


@pytest.mark.parametrize('size, changes, document_bytes', [
    (3, 400, 82_000),
    (3, 200, 200_000),
])
def test_the_data_folder_is_bounded_in_bytes(
        tmp_path, size, changes, document_bytes):
    """Guards against a log that fills the disk of every control host.

    All hosts then refused each change, and stepped down in turn for good.
    """
    group, _ = make_group(tmp_path, size, changes, document_bytes)
    assert max(group.largest_by_name.values()) <= MAXIMUM_FOLDER_BYTES
    group.close()


@pytest.mark.parametrize('delay_ms, interval_ms', [
    (1, 5), (20, 50), (60, 50), (100, 150), (100, 50)])
def test_a_distant_learner_becomes_a_voter_beside_changes(
        tmp_path, delay_ms, interval_ms):
    """Guards against a learner that is never promoted while changes go on.

    It is promoted when the leader knows that it holds all committed entries.
    If its answers take longer than the time between two changes, the leader
    knows of a further commit by then.
    """
    group = groups.Group(str(tmp_path), 3)
    assert group.run(FORMATION_MS, lambda: len(group.voters()) == 3)
    host = next(item for item in group.hosts if item is not group.leader())
    group.slow_links(host, delay_ms)
    group.lose_disk(host)
    group.run(1000)
    group.start(host)
    end = group.driver.now + CATCH_UP_MS
    revision = 0
    while group.driver.now < end and not group.is_voter(host):
        revision += 1
        group.post_configuration(revision, bytes(20_000))
        group.run(interval_ms)
    assert group.is_voter(host)
    group.close()
