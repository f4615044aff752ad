"""Tests of the data folder: durability, torn frames, damage, errors."""

import errno
import os

import pytest
from returns import result

from poplarstep.consensus import message
from poplarstep.consensus.model import disk
from poplarstep.consensus import schedules
from poplarstep.core import address
from poplarstep.edge import storage

HOST = message.HostIdentity('control-0', 'disk-0')
MEMBERS = (message.Member(HOST, address.Address('127.0.0.1', 4000), True),)
FOUNDING = message.Snapshot('group', 0, 0, MEMBERS, b'')


def entries(first, last, term=1):
    return tuple(
        message.LogEntry(index, term, message.COMMAND, b'payload-%d' % index)
        for index in range(first, last + 1))


SCRIPT = (
    message.SaveSnapshot(FOUNDING),
    message.SaveVote(1, HOST),
    message.AppendLog(entries(1, 3)),
    message.TruncateLog(3),
    message.AppendLog(entries(3, 6, term=2)),
    message.SaveVote(2, None),
    message.SaveSnapshot(message.Snapshot('group', 4, 2, MEMBERS, b'four')),
    message.AppendLog(entries(7, 8, term=2), 6),
)


def perform(folder, effects, segment_bytes=storage.SEGMENT_BYTES):
    opened = storage.open_folder(folder, segment_bytes).unwrap()
    for item in effects:
        assert opened.perform(item) == result.Success(None)
    opened.close()


def load(folder):
    opened = storage.open_folder(folder).unwrap()
    opened.close()
    return opened.loaded


def content(loaded):
    return (loaded.term, loaded.voted_for, loaded.snapshot, loaded.entries)


def expected_after(folder, count):
    r"""Return the content after the first effects of the script."""
    perform(folder, SCRIPT[:count])
    return content(load(folder))


@pytest.mark.parametrize('segment_bytes', [1, 100, 1 << 20])
def test_reopened_folder_holds_what_was_stored(tmp_path, segment_bytes):
    """Guards against loss at the start or the removal of segments."""
    perform(str(tmp_path), SCRIPT, segment_bytes)
    loaded = load(str(tmp_path))
    assert (loaded.term, loaded.voted_for) == (2, None)
    assert loaded.snapshot.index == 4
    assert loaded.snapshot.state == b'four'
    assert loaded.entries == entries(5, 6, 2) + entries(7, 8, 2)
    assert loaded.commit_index == 6
    assert load(str(tmp_path)).disk == loaded.disk


@pytest.mark.parametrize('cut', range(1, 40, 3))
def test_torn_tail_is_removed(tmp_path, cut):
    """Guards against a failed start after a crash during a write."""
    perform(str(tmp_path), SCRIPT)
    path = tmp_path / 'log-00000000000000000001'
    os.truncate(path, path.stat().st_size - cut)
    assert load(str(tmp_path)).entries == entries(5, 6, 2)
    perform(str(tmp_path), [message.AppendLog(entries(7, 7, 3))])
    assert load(str(tmp_path)).entries[-1].term == 3


@pytest.mark.parametrize('tail', [b'\0' * 50, b'\xff' * 50, b'\x01'])
def test_unwritten_tail_is_removed(tmp_path, tail):
    """Guards against refusing a log that a crash left with unwritten bytes."""
    perform(str(tmp_path), SCRIPT)
    with open(tmp_path / 'log-00000000000000000001', 'ab') as file:
        file.write(tail)
    assert load(str(tmp_path)).entries[-1].index == 8


@pytest.mark.parametrize('name, offset', [
    ('log-00000000000000000001', 0),
    ('log-00000000000000000001', 3),
    ('log-00000000000000000001', 20),
    ('vote', 0),
    ('vote', 14),
    ('snapshot', 2),
    ('snapshot', 30),
    ('identity', 15),
])
def test_corruption_is_refused(tmp_path, name, offset):
    """Guards against a start with a damaged file."""
    perform(str(tmp_path), SCRIPT)
    path = tmp_path / name
    data = bytearray(path.read_bytes())
    data[offset] ^= 0x40
    path.write_bytes(data)
    failure = storage.open_folder(str(tmp_path)).failure()
    assert 'file %s is damaged at offset 0' % name in failure


@pytest.mark.parametrize('name, text', [
    ('identity', 'file identity is missing beside other files'),
    ('snapshot', 'the log starts at entry 1, but the snapshot is missing'),
])
def test_missing_file_is_refused(tmp_path, name, text):
    """Guards against a folder with a lost file that is taken for empty."""
    perform(str(tmp_path), SCRIPT)
    os.unlink(tmp_path / name)
    assert text in storage.open_folder(str(tmp_path)).failure()


@pytest.mark.parametrize('number, text', [
    (1, 'the log starts at entry 3, but the snapshot ends at 0'),
    (2, 'entry 3 follows entry 3 at offset 0'),
])
def test_missing_segment_is_refused(tmp_path, number, text):
    """Guards against a gap in the log after a segment was lost."""
    perform(str(tmp_path), SCRIPT[:6], segment_bytes=1)
    os.unlink(tmp_path / ('log-%020d' % number))
    assert text in storage.open_folder(str(tmp_path)).failure()


def test_folder_is_locked(tmp_path):
    """Guards against two processes that write the same log."""
    opened = storage.open_folder(str(tmp_path)).unwrap()
    assert 'is used by another process' in storage.open_folder(
        str(tmp_path)).failure()
    opened.close()
    assert isinstance(storage.open_folder(str(tmp_path)), result.Success)


class FailingCalls:
    r"""Replacement of ``os`` functions, of which one call fails.

    A failing ``write`` writes half of the data first, as on a full disk.
    """

    __slots__ = ('number', 'error', 'count', 'only', 'original_by_name')

    NAMES = ('write', 'fsync', 'replace')

    def __init__(self, number, error, only=None):
        self.number = number
        self.error = error
        self.only = only
        self.count = 0
        self.original_by_name = {
            name: getattr(os, name) for name in self.NAMES}

    def install(self, monkeypatch):
        for name in self.NAMES:
            monkeypatch.setattr(os, name, self.wrap(name))

    def wrap(self, name):
        def call(*arguments):
            self.count += 1
            if self.count == self.number and self.only in (None, name):
                if name == 'write':
                    half = bytes(arguments[1])[:len(arguments[1]) // 2]
                    self.original_by_name[name](arguments[0], half)
                raise OSError(self.error, os.strerror(self.error))
            return self.original_by_name[name](*arguments)
        return call


@pytest.mark.parametrize('position', range(len(SCRIPT)))
@pytest.mark.parametrize('number', [1, 2, 3, 4, 5])
def test_full_disk_leaves_no_partial_effect(
        tmp_path, monkeypatch, position, number):
    """Guards against a partial record when the disk is full."""
    before = expected_after(str(tmp_path / 'before'), position)
    after = expected_after(str(tmp_path / 'after'), position + 1)
    folder = str(tmp_path / 'tried')
    perform(folder, SCRIPT[:position])
    opened = storage.open_folder(folder).unwrap()
    calls = FailingCalls(number, errno.ENOSPC)
    with monkeypatch.context() as patch:
        calls.install(patch)
        outcome = opened.perform(SCRIPT[position])
    broken = opened.broken
    if calls.count < number:
        assert outcome == result.Success(None)
    else:
        assert 'No space left on device' in outcome.failure()
        if not broken:
            # With free space again the same effect succeeds.
            assert opened.perform(SCRIPT[position]) == result.Success(None)
    opened.close()
    found = content(load(folder))
    assert found == after or (bool(broken) and found == before)


def test_failed_sync_breaks_the_storage(tmp_path, monkeypatch):
    """Guards against writes that rely on pages dropped by a failed sync."""
    perform(str(tmp_path), SCRIPT)
    opened = storage.open_folder(str(tmp_path)).unwrap()
    calls = FailingCalls(2, errno.EIO)
    with monkeypatch.context() as patch:
        calls.install(patch)
        outcome = opened.perform(message.AppendLog(entries(9, 9, 2)))
    assert 'Input/output error' in outcome.failure()
    again = opened.perform(message.AppendLog(entries(9, 9, 2)))
    assert again == outcome
    opened.close()
    assert load(str(tmp_path)).entries[-1].index == 8


class CrashError(Exception):
    r"""Simulated end of the process."""


class CrashingCalls:
    r"""Replacement of ``os`` functions that raises ``CrashError`` once.

    It records the size of each file at its latest sync.
    """

    __slots__ = ('number', 'count', 'synced_size_by_inode')

    def __init__(self, number):
        self.number = number
        self.count = 0
        self.synced_size_by_inode = {}

    def install(self, monkeypatch):
        original_write, original_sync = os.write, os.fsync
        original_replace = os.replace

        def write(descriptor, data):
            self.crash_point()
            return original_write(descriptor, data)

        def fsync(descriptor):
            self.crash_point()
            original_sync(descriptor)
            status = os.fstat(descriptor)
            self.synced_size_by_inode[status.st_ino] = status.st_size

        def replace(source, destination):
            self.crash_point()
            original_replace(source, destination)
        monkeypatch.setattr(os, 'write', write)
        monkeypatch.setattr(os, 'fsync', fsync)
        monkeypatch.setattr(os, 'replace', replace)

    def crash_point(self):
        self.count += 1
        if self.count == self.number:
            raise CrashError()

    def lose_unsynced(self, folder, known):
        for name in os.listdir(folder):
            path = os.path.join(folder, name)
            if name == 'lock':
                continue
            inode = os.stat(path).st_ino
            size = self.synced_size_by_inode.get(inode, known.get(inode, 0))
            os.truncate(path, min(size, os.stat(path).st_size))


@pytest.mark.parametrize('number', range(1, 9))
@pytest.mark.parametrize('position', range(len(SCRIPT)))
def test_crash_leaves_old_or_new_state(
        tmp_path, monkeypatch, position, number):
    """Guards against a crash at a write or sync that damages the folder."""
    before = expected_after(str(tmp_path / 'before'), position)
    after = expected_after(str(tmp_path / 'after'), position + 1)
    folder = str(tmp_path / 'tried')
    perform(folder, SCRIPT[:position])
    opened = storage.open_folder(folder).unwrap()
    known = {
        os.stat(path).st_ino: os.stat(path).st_size
        for path in (
            os.path.join(folder, name) for name in os.listdir(folder))}
    calls = CrashingCalls(number)
    with monkeypatch.context() as patch:
        calls.install(patch)
        try:
            acknowledged = opened.perform(
                SCRIPT[position]) == result.Success(None)
        except CrashError:
            acknowledged = False
    opened.close()
    calls.lose_unsynced(folder, known)
    found = content(load(folder))
    assert found == after or (not acknowledged and found == before)


@pytest.mark.parametrize('seed', [0, 1, 7])
def test_schedule_leaves_the_same_content(tmp_path, monkeypatch, seed):
    """Guards against a simulated disk that differs from the data folder.

    Performs on a data folder what each disk of a consensus schedule synced,
    opens the folder again after every 20 effects, and compares the contents.
    """
    synced_by_disk = {}
    original = disk.Disk.sync

    def sync(self):
        synced_by_disk.setdefault(self.identity, (self, []))[1].extend(
            self.unsynced)
        original(self)
    monkeypatch.setattr(disk.Disk, 'sync', sync)
    # No fsync, because only the contents are compared.
    monkeypatch.setattr(os, 'fsync', lambda descriptor: None)
    assert schedules.run_seed(seed).text == ''
    assert any(
        type(item) is message.TruncateLog
        for _, effects in synced_by_disk.values() for item in effects)
    for identity, (simulated, effects) in synced_by_disk.items():
        folder = str(tmp_path / identity)
        for start in range(0, len(effects), 20):
            perform(folder, effects[start:start + 20], segment_bytes=2000)
        assert content(load(folder)) == (
            simulated.term, simulated.voted_for, simulated.snapshot,
            tuple(simulated.entries))
