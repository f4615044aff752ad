r"""Log of one replica in memory: a snapshot and the entries after it.

Explanation
===========

Some entries that the snapshot covers are kept, so that a follower that is
slightly behind needs no snapshot. Their number and their bytes are bounded: a
follower that lacks more gets the snapshot. When storing a batch of effects
fails, ``roll_back`` returns to the savepoint that was set before the batch.
"""

from poplarstep.consensus import message

# Entries kept although the snapshot covers them. They suffice for a follower
# that was down for about a minute at 16 commands per second.
KEPT_ENTRIES = 1024
# Payload bytes of these entries. A larger snapshot raises this bound to its
# own size, so that the log still holds what follows a snapshot when its
# transfer ends.
KEPT_BYTES = 1024 * 1024
# Bounds on the entries of one ``AppendEntries``.
MAXIMUM_BATCH_ENTRIES = 256
MAXIMUM_BATCH_BYTES = 1024 * 1024


class Log:
    r"""Snapshot, entries and memberships.

    Parameters
    ==========

    snapshot : Snapshot or None
        None for a host that belongs to no group yet.
    entries : iterable of LogEntry
        Consecutive entries; those that the snapshot covers are dropped.
    kept_entries : int
        Number of entries to keep that a snapshot of this host's state
        machine covers.

    Attributes
    ==========

    base_index, base_term : int
        Index and term of the entry before the first one that is held.
    memberships : tuple of (index, members)
        Membership of the snapshot and of each later membership entry.
    unchanged_index : int
        Last index up to which the entries are unchanged since the
        savepoint.
    savepoint : tuple
        Fields at the time of the savepoint. Its list of entries may have
        been changed in place since; it is valid up to ``unchanged_index``.
    """

    __slots__ = (
        'snapshot', 'base_index', 'base_term', 'entries', 'memberships',
        'kept_entries', 'unchanged_index', 'savepoint')

    def __init__(self, snapshot, entries=(), kept_entries=KEPT_ENTRIES):
        self.snapshot = snapshot
        self.base_index = snapshot.index if snapshot else 0
        self.base_term = snapshot.term if snapshot else 0
        self.entries = []
        self.memberships = (
            ((snapshot.index, snapshot.members),) if snapshot else ())
        self.kept_entries = kept_entries
        self.append(
            entry for entry in entries if entry.index > self.base_index)
        self.set_savepoint()

    @property
    def last_index(self):
        r"""Return the index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self):
        r"""Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def members(self):
        r"""Latest membership in the log, committed or not."""
        return self.memberships[-1][1] if self.memberships else ()

    @property
    def members_index(self):
        r"""Return the index of the entry that set the membership."""
        return self.memberships[-1][0] if self.memberships else 0

    def members_at(self, index):
        r"""Return the membership in force after the entry ``index``."""
        for entry_index, members in reversed(self.memberships):
            if entry_index <= index:
                return members
        return ()

    def term_at(self, index):
        r"""Return the term of an entry, or None if it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        if self.snapshot and index == self.snapshot.index:
            return self.snapshot.term
        return None

    def first_index_of_term_at(self, index):
        r"""Return the first held index with the same term as ``index``."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def last_index_of_term(self, term, limit):
        r"""Return the last index of a term up to ``limit``, or None."""
        index = min(limit, self.last_index)
        while index > self.base_index and self.term_at(index) > term:
            index -= 1
        if index > self.base_index and self.term_at(index) == term:
            return index
        return None

    def between(self, first, last):
        r"""Return the entries from ``first`` to ``last``, inclusive."""
        return self.entries[
            max(first - self.base_index - 1, 0):last - self.base_index]

    def batch(self, first):
        r"""Return entries from ``first``, bounded in number and bytes."""
        start = first - self.base_index - 1
        chosen = []
        size = 0
        for entry in self.entries[start:start + MAXIMUM_BATCH_ENTRIES]:
            size += len(entry.payload)
            if chosen and size > MAXIMUM_BATCH_BYTES:
                break
            chosen.append(entry)
        return tuple(chosen)

    def payload_bytes(self, first):
        r"""Return the payload bytes of the held entries from ``first``."""
        start = max(first - self.base_index - 1, 0)
        return sum(len(entry.payload) for entry in self.entries[start:])

    def append(self, entries):
        r"""Append entries; the first follows the last one held."""
        for entry in entries:
            self.entries.append(entry)
            if entry.kind == message.MEMBERSHIP:
                self.memberships += ((entry.index, entry.members),)

    def truncate(self, index):
        r"""Remove the entries from ``index`` on."""
        del self.entries[max(index - self.base_index - 1, 0):]
        self.unchanged_index = min(self.unchanged_index, index - 1)
        self._drop_memberships_after(index - 1)

    def compact(self, snapshot):
        r"""Take over a snapshot of this host's state machine."""
        base = self._base_to_keep(snapshot)
        self.base_term = self.term_at(base)
        self.entries = self.entries[base - self.base_index:]
        self.base_index = base
        self._replace_snapshot(snapshot)

    def install(self, snapshot):
        r"""Take over a leader's snapshot; keep entries that continue it."""
        matches = self.term_at(snapshot.index) == snapshot.term
        self.entries = (
            self.entries[snapshot.index - self.base_index:] if matches else [])
        if not matches:
            self.memberships = ()
            self.unchanged_index = min(self.unchanged_index, snapshot.index)
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self._replace_snapshot(snapshot)

    def set_savepoint(self):
        r"""Set the savepoint to which ``roll_back`` returns."""
        self.unchanged_index = self.last_index
        self.savepoint = (
            self.snapshot, self.base_index, self.base_term, self.entries,
            self.memberships)

    def roll_back(self):
        r"""Return to the savepoint, except for removed entries.

        Entries that were removed since the savepoint stay removed, because
        the disk may no longer hold them.
        """
        (self.snapshot, self.base_index, self.base_term, self.entries,
         self.memberships) = self.savepoint
        del self.entries[max(self.unchanged_index - self.base_index, 0):]
        self._drop_memberships_after(self.unchanged_index)

    def _base_to_keep(self, snapshot):
        r"""Return the index before the first entry to keep."""
        lowest = max(self.base_index, snapshot.index - self.kept_entries)
        space = max(KEPT_BYTES, len(snapshot.state))
        index = snapshot.index
        while index > lowest:
            space -= len(self.entries[index - self.base_index - 1].payload)
            if space < 0:
                break
            index -= 1
        return index

    def _replace_snapshot(self, snapshot):
        self.snapshot = snapshot
        self.memberships = ((snapshot.index, snapshot.members),) + tuple(
            item for item in self.memberships if item[0] > snapshot.index)

    def _drop_memberships_after(self, index):
        self.memberships = tuple(
            item for item in self.memberships if item[0] <= index)
