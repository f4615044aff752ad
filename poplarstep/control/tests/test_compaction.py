"""Tests of when a snapshot replaces the log, and of what the log keeps."""

import pytest

from poplarstep.configuration import command
from poplarstep.configuration import machine as machines
from poplarstep.consensus import log as logs
from poplarstep.consensus import message as consensus
from poplarstep.control import application
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.edge import wire

MEGABYTE = 1024 * 1024
MEMBERS = (consensus.Member(
    consensus.HostIdentity('control-0', 'disk-0'),
    address.Address('10.0.0.1', 7000), True),)


def entry_payload(codec, revision, document_bytes):
    """Return a log entry whose document has the given size."""
    return codec.encode(command.Command(
        '', 0, command.ANY_VERSION, command.ReplaceConfiguration(
            revision, (), (), 0, bytes(document_bytes))))


def snapshots(state, codec, entries, document_bytes):
    """Apply entries; return the indexes at which a snapshot was taken."""
    taken = []
    for index in range(1, entries + 1):
        produced = application.committed(state, consensus.Committed(
            index, 1, entry_payload(codec, index, document_bytes), 0), 0)
        for item in produced:
            if isinstance(item, effect.Requeue):
                assert isinstance(item.message, consensus.SnapshotTaken)
                taken.append(item.message.index)
    return taken


@pytest.mark.parametrize('entries, document_bytes, expected', [
    (4100, 10, [2000, 4000]),
    (40, 100 * 1024, [11, 22, 33]),
    # Two snapshots are larger than a megabyte, and each is a little larger
    # than an entry.
    (9, 600 * 1024, [2, 5, 8]),
    (11, 2 * MEGABYTE, [1, 4, 7, 10]),
])
def test_the_log_is_compacted_by_its_bytes(entries, document_bytes, expected):
    """Guards against a log of a few hundred entries that fills the disk."""
    codec = wire.make_command_codec()
    state = application.make_application(
        machines.Machine(), codec.decode, codec.encode, codec.decode)
    assert snapshots(state, codec, entries, document_bytes) == expected


@pytest.mark.parametrize('payload_bytes, state_bytes, kept', [
    (10, 100, logs.KEPT_ENTRIES),
    (100 * 1024, 100, 10),
    (MEGABYTE, 100, 1),
    (2 * MEGABYTE, 100, 0),
    (100 * 1024, 4 * MEGABYTE, 40),
])
def test_the_entries_kept_in_memory_are_bounded_in_bytes(
        payload_bytes, state_bytes, kept):
    """Guards against large entries that exhaust the memory of a host."""
    last = 1100
    log = logs.Log(
        consensus.Snapshot('group', 0, 0, MEMBERS, b''),
        [consensus.LogEntry(index, 1, consensus.COMMAND, bytes(payload_bytes))
         if index > last - 50 or payload_bytes < 100 else
         consensus.LogEntry(index, 1, consensus.NO_OP, b'')
         for index in range(1, last + 1)])
    log.compact(consensus.Snapshot(
        'group', last, 1, MEMBERS, bytes(state_bytes)))
    assert log.last_index - log.base_index == kept
    assert log.last_index == last
    assert log.term_at(log.base_index) == log.base_term == 1
