r"""Reading of the log of a control host from its segment files.

Explanation
===========

The log is a journal of ``AppendLog`` and ``TruncateLog`` records in segment
files ``log-<number>``. Each record is one frame, synced before the next one,
so a crash can tear at most the last frame, which is removed at the next
start. A damaged frame with an intact one after it is corruption, and the
folder is refused.
"""

import os

from returns import result

from poplarstep.consensus import message
from poplarstep.core import record
from poplarstep.edge import frame

SEGMENT_PREFIX = 'log-'


class Segment:
    r"""One file of the log.

    ``last_index`` is the greatest entry index in the file, ``commit_index``
    the greatest commit index that its records hold.
    """

    __slots__ = ('number', 'last_index', 'commit_index')

    def __init__(self, number, last_index=0):
        self.number = number
        self.last_index = last_index
        self.commit_index = 0

    @property
    def name(self):
        r"""Return the file name of the segment."""
        return '%s%020d' % (SEGMENT_PREFIX, self.number)


def load(storage, numbers, snapshot):
    r"""Read the segments and return the entries after the snapshot.

    Raises
    ======

    CorruptionError
        If a segment is damaged or the entries are not consecutive.
    """
    entries = []
    for number in numbers:
        segment = Segment(number)
        storage.segments.append(segment)
        last = number == numbers[-1]
        data = _read_segment(storage, segment.name, last)
        offset = 0
        while offset < len(data):
            body, end = frame.read(data, offset)
            found = decode(storage, segment.name, offset, body)
            _replay(segment, offset, found, entries, snapshot)
            offset = end
        storage.size = len(data)
    covered_index = snapshot.index if snapshot else -1
    kept = [entry for entry in entries if entry.index > covered_index]
    if kept and (not snapshot or kept[0].index != covered_index + 1):
        raise frame.CorruptionError(
            'the log starts at entry %d, but the snapshot %s' % (
                kept[0].index,
                'ends at %d' % covered_index if snapshot else 'is missing'))
    if storage.segments:
        storage.descriptor = os.open(
            storage.path(storage.segments[-1].name),
            os.O_WRONLY | os.O_APPEND)
    return kept


def _read_segment(storage, name, last):
    r"""Return a segment's intact data; remove a torn frame at its end."""
    with open(storage.path(name), 'rb') as file:
        data = file.read()
    offset = 0
    while offset < len(data):
        body, end = frame.read(data, offset)
        if body is None:
            break
        offset = end
    if offset == len(data):
        return data
    if not last or frame.has_intact_frame_after(data, offset):
        raise frame.CorruptionError(
            'file %s is damaged at offset %d and intact after it'
            % (name, offset))
    descriptor = os.open(storage.path(name), os.O_WRONLY)
    try:
        os.ftruncate(descriptor, offset)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    return data[:offset]


def _replay(segment, offset, found, entries, snapshot):
    if type(found) is message.TruncateLog:
        while entries and entries[-1].index >= found.index:
            entries.pop()
        return
    if type(found) is not message.AppendLog or not found.entries:
        raise frame.CorruptionError('file %s holds %s at offset %d' % (
            segment.name, record.wire_name(type(found)), offset))
    first = found.entries[0].index
    if entries and first != entries[-1].index + 1:
        # A snapshot installed by the leader may cover entries that this
        # host has never stored.
        covered_index = snapshot.index if snapshot else 0
        if first <= entries[-1].index or first > covered_index + 1:
            raise frame.CorruptionError(
                'file %s: entry %d follows entry %d at offset %d' % (
                    segment.name, first, entries[-1].index, offset))
        entries.clear()
    entries.extend(found.entries)
    segment.last_index = max(segment.last_index, found.entries[-1].index)
    segment.commit_index = max(segment.commit_index, found.commit_index)


def decode(storage, name, offset, body):
    r"""Return the record of a frame at an offset of a file."""
    outcome = storage.codec.decode(body)
    if isinstance(outcome, result.Failure):
        raise frame.CorruptionError('file %s at offset %d: %s' % (
            name, offset, outcome.failure()))
    return outcome.unwrap()
