r"""Data folder of a control host: log, vote, snapshot and disk identity.

Explanation
===========

Every file consists of frames (``poplarstep.edge.frame``). The log is a
journal of segment files, which ``poplarstep.edge.journal`` reads at the start.
Each write is one frame, synced before the next write.

The other files are replaced as a whole. The functions block until the disk
has synced; only one task may call them.
"""

import errno
import fcntl
import os
import uuid

from returns import result

from poplarstep.consensus import message
from poplarstep.core import record
from poplarstep.core import registry
from poplarstep.edge import codec
from poplarstep.edge import frame
from poplarstep.edge import journal

# A segment is removed once a snapshot covers all of its entries, so the folder
# holds up to one segment more than the log after the snapshot.
SEGMENT_BYTES = 1024 * 1024
# Errors of a write that stored nothing and may be repeated.
DISK_FULL = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)

# Functions ``(storage, effect)`` by the wire name of the storage effect.
WRITERS = registry.Registry('storage effect')


class DiskIdentity(record.Record):
    r"""Random identity of a data folder, generated when it is created."""

    __slots__ = ('disk',)

    def __init__(self, disk: str):
        self.disk = disk


class PersistentState(record.Record):
    r"""Contents of a data folder when it was opened."""

    __slots__ = (
        'disk', 'term', 'voted_for', 'snapshot', 'entries', 'commit_index')

    def __init__(
            self, disk: str, term: int,
            voted_for: message.HostIdentity | None,
            snapshot: message.Snapshot | None,
            entries: tuple[message.LogEntry, ...], commit_index: int = 0):
        self.commit_index = commit_index
        self.disk = disk
        self.term = term
        self.voted_for = voted_for
        self.snapshot = snapshot
        self.entries = entries


class Storage:
    r"""Open data folder, locked against other processes.

    Build it with ``open_folder``. ``loaded`` holds the contents of the
    folder at that time. ``broken`` is empty, or the reason why all further
    writes are refused.
    """

    __slots__ = (
        'folder', 'lock', 'loaded', 'segments', 'descriptor', 'size',
        'segment_bytes', 'broken', 'codec')

    def __init__(self, folder, lock, segment_bytes):
        self.folder = folder
        self.lock = lock
        self.loaded = None
        self.segments = []
        self.descriptor = None
        self.size = 0
        self.segment_bytes = segment_bytes
        self.broken = ''
        self.codec = codec.Codec([
            DiskIdentity, message.SaveVote, message.SaveSnapshot,
            message.AppendLog, message.TruncateLog])

    def path(self, name):
        r"""Return the path of a file of the folder."""
        return os.path.join(self.folder, name)

    def perform(self, storage_effect):
        r"""Carry out and sync a storage effect.

        Returns
        =======

        Result
            ``Success(None)`` when the effect is durable. ``Failure(str)``
            when the disk is full, and then nothing of the effect remains;
            or after another error, and then every later call fails too
            until the folder is opened again, because the kernel may have
            dropped unsynced pages.
        """
        if self.broken:
            return result.Failure(self.broken)
        name = record.wire_name(type(storage_effect))
        writer = WRITERS.find(name).unwrap()
        try:
            writer(self, storage_effect)
        except OSError as error:
            reason = 'data folder %s: %s failed: %s' % (
                self.folder, name, error)
            if error.errno not in DISK_FULL and not self.broken:
                self.broken = reason
            return result.Failure(reason)
        return result.Success(None)

    def folder_bytes(self):
        r"""Return the size in bytes of the files of the folder."""
        with os.scandir(self.folder) as files:
            return sum(item.stat().st_size for item in files)

    def close(self):
        r"""Close the files and release the lock."""
        if self.descriptor is not None:
            os.close(self.descriptor)
            self.descriptor = None
        os.close(self.lock)


def open_folder(folder, segment_bytes=SEGMENT_BYTES):
    r"""Open or create a data folder.

    Parameters
    ==========

    folder : str
        Path; it is created if it is absent.
    segment_bytes : int
        Size at which a new log segment is started.

    Returns
    =======

    Result[Storage, str]
        ``Failure`` names the file, and the offset of any damage.
    """
    try:
        os.makedirs(folder, exist_ok=True)
        frame.sync_folder(os.path.dirname(os.path.abspath(folder)))
        lock = os.open(
            os.path.join(folder, 'lock'), os.O_RDWR | os.O_CREAT, 0o600)
    except OSError as error:
        return result.Failure('data folder %s: %s' % (folder, error))
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(lock)
        return result.Failure(
            'data folder %s is used by another process' % folder)
    storage = Storage(folder, lock, segment_bytes)
    try:
        _load(storage)
    except (OSError, frame.CorruptionError) as error:
        storage.close()
        return result.Failure('data folder %s: %s' % (folder, error))
    return result.Success(storage)


def _load(storage):
    names = sorted(os.listdir(storage.folder))
    for name in names:
        if name.endswith(frame.TEMPORARY_SUFFIX):
            os.unlink(storage.path(name))
    numbers = [
        int(name[len(journal.SEGMENT_PREFIX):]) for name in names
        if name.startswith(journal.SEGMENT_PREFIX)]
    used = numbers or 'vote' in names or 'snapshot' in names
    disk = _load_identity(storage, names, used)
    vote = message.SaveVote(0, None)
    if 'vote' in names:
        vote = _read_record(storage, 'vote', message.SaveVote)[0]
    snapshot = _load_snapshot(storage) if 'snapshot' in names else None
    entries = journal.load(storage, numbers, snapshot)
    storage.loaded = PersistentState(
        disk, vote.term, vote.voted_for, snapshot, tuple(entries),
        max((item.commit_index for item in storage.segments), default=0))


def _load_identity(storage, names, used):
    if 'identity' in names:
        return _read_record(storage, 'identity', DiskIdentity)[0].disk
    if used:
        raise frame.CorruptionError(
            'file identity is missing beside other files')
    disk = uuid.uuid4().hex
    _replace_file(
        storage, 'identity', [storage.codec.encode(DiskIdentity(disk))])
    return disk


def _read_record(storage, name, expected):
    r"""Return the first record of a file, its data and the record's end."""
    with open(storage.path(name), 'rb') as file:
        data = file.read()
    body, end = frame.read(data, 0)
    if body is None:
        raise frame.CorruptionError('file %s is damaged at offset 0' % name)
    found = journal.decode(storage, name, 0, body)
    if type(found) is not expected:
        raise frame.CorruptionError(
            'file %s holds %s at offset 0, not %s' % (
                name, record.wire_name(type(found)),
                record.wire_name(expected)))
    return found, data, end


def _load_snapshot(storage):
    found, data, end = _read_record(
        storage, 'snapshot', message.SaveSnapshot)
    state, end_of_state = frame.read(data, end)
    if state is None or end_of_state != len(data):
        raise frame.CorruptionError(
            'file snapshot is damaged at offset %d' % end)
    return found.snapshot.replace(state=state)


def _replace_file(storage, name, bodies):
    frame.replace_file(storage.folder, name, bodies)
    try:
        frame.sync_folder(storage.folder)
    except OSError as error:
        # Whether the new name survives a crash is unknown.
        storage.broken = 'data folder %s: sync failed: %s' % (
            storage.folder, error)
        raise


def _start_segment(storage):
    number = storage.segments[-1].number + 1 if storage.segments else 1
    segment = journal.Segment(number)
    path = storage.path(segment.name)
    descriptor = os.open(
        path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_EXCL, 0o600)
    try:
        frame.sync_folder(storage.folder)
    except OSError:
        os.close(descriptor)
        os.unlink(path)
        raise
    if storage.descriptor is not None:
        os.close(storage.descriptor)
    storage.segments.append(segment)
    storage.descriptor = descriptor
    storage.size = 0


def _write_frame(storage, body):
    r"""Append a frame to the log and sync it; after an error, remove it."""
    if storage.descriptor is None or storage.size >= storage.segment_bytes:
        _start_segment(storage)
    framed = frame.make(body, storage.size)
    try:
        frame.write_all(storage.descriptor, framed)
        os.fsync(storage.descriptor)
    except OSError:
        _remove_partial_frame(storage)
        raise
    storage.size += len(framed)


def _remove_partial_frame(storage):
    try:
        os.ftruncate(storage.descriptor, storage.size)
        os.fsync(storage.descriptor)
    except OSError as error:
        storage.broken = (
            'data folder %s: partial record could not be removed: %s'
            % (storage.folder, error))


@WRITERS.register('AppendLog')
def append_log(storage, appended):
    r"""Append entries as one frame of the journal."""
    _write_frame(storage, storage.codec.encode(appended))
    segment = storage.segments[-1]
    segment.last_index = max(segment.last_index, appended.entries[-1].index)


@WRITERS.register('TruncateLog')
def truncate_log(storage, truncated):
    r"""Append a record that removes the entries from an index on."""
    _write_frame(storage, storage.codec.encode(truncated))


@WRITERS.register('SaveVote')
def save_vote(storage, vote):
    r"""Replace the vote file."""
    _replace_file(storage, 'vote', [storage.codec.encode(vote)])


@WRITERS.register('SaveSnapshot')
def save_snapshot(storage, saved):
    r"""Replace the snapshot and remove the segments that it covers."""
    snapshot = saved.snapshot
    head = saved.replace(snapshot=snapshot.replace(state=b''))
    _replace_file(
        storage, 'snapshot', [storage.codec.encode(head), snapshot.state])
    while len(storage.segments) > 1 and (
            storage.segments[0].last_index <= snapshot.index):
        try:
            os.unlink(storage.path(storage.segments[0].name))
        except OSError:
            # The snapshot is durable; the next one removes the segment.
            return
        del storage.segments[0]
