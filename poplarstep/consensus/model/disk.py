r"""Simulated disk: a crash loses the writes that are not synced."""

from poplarstep.consensus import message
from poplarstep.core import registry

# Functions ``(disk, effect)`` by class name of the storage effect.
APPLY = registry.Registry('storage effect')
# Number of latest entries that ``term_at`` searches.
SEARCHED_ENTRIES = 299


class Disk:
    r"""Synced content of a data folder, and writes not yet synced.

    While ``full`` is set, storage effects fail.
    """

    __slots__ = (
        'identity', 'term', 'voted_for', 'snapshot', 'entries', 'unsynced',
        'full', 'commit_index')

    def __init__(self, identity):
        self.identity = identity
        self.term = 0
        self.voted_for = None
        self.snapshot = None
        self.entries = []
        self.unsynced = []
        self.full = False
        self.commit_index = 0

    @property
    def last_index(self):
        r"""Return the index of the last synced entry."""
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.index if self.snapshot else 0

    def write(self, storage_effect):
        r"""Write without syncing; a crash loses the write."""
        self.unsynced.append(storage_effect)

    def sync(self):
        r"""Make all writes so far durable."""
        for item in self.unsynced:
            APPLY.entry_by_name[type(item).__name__](self, item)
        self.unsynced = []

    def crash(self):
        r"""Drop the writes that are not synced."""
        self.unsynced = []

    def holds(self, index, term):
        r"""Return whether the entry is durable on this disk."""
        if self.snapshot and index <= self.snapshot.index:
            return True
        if not self.entries:
            return False
        position = index - self.entries[0].index
        return 0 <= position < len(self.entries) and (
            self.entries[position].term == term)


@APPLY.register('SaveVote')
def save_vote(disk, vote):
    disk.term = vote.term
    disk.voted_for = vote.voted_for


@APPLY.register('AppendLog')
def append_log(disk, appended):
    first = appended.entries[0].index
    if first != disk.last_index + 1:
        raise AssertionError('entry %d is written after entry %d' % (
            first, disk.last_index))
    disk.entries.extend(appended.entries)
    disk.commit_index = max(disk.commit_index, appended.commit_index)


@APPLY.register('TruncateLog')
def truncate_log(disk, truncated):
    disk.entries = [
        entry for entry in disk.entries if entry.index < truncated.index]


@APPLY.register('SaveSnapshot')
def save_snapshot(disk, saved):
    disk.snapshot = saved.snapshot
    disk.entries = [
        entry for entry in disk.entries
        if entry.index > saved.snapshot.index]


def term_at(disk, index):
    r"""Return the term of a durable entry, or None if it is not found.

    Only the latest entries are searched.
    """
    if disk.snapshot and index == disk.snapshot.index:
        return disk.snapshot.term
    for entry in disk.entries[-1:-1 - SEARCHED_ENTRIES:-1]:
        if entry.index == index:
            return entry.term
    return None


STORAGE = message.STORAGE_EFFECTS
