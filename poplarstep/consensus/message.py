r"""Entries of the replicated log, and messages inside a control host.

Explanation
===========

An input is a message that the replica receives from its own host, and an
output is a message that it returns to it. Messages between hosts are in
``poplarstep.consensus.peer``.

The replica returns a batch of effects for each message, and the edge
performs them in order. A storage effect (``SaveVote``, ``AppendLog``,
``TruncateLog``, ``SaveSnapshot``) is synced before the next effect is
performed. When a storage effect fails, the edge drops the rest of the batch
and passes ``StorageFailed`` to the replica before any other message. When
the edge reaches ``Stored``, it passes that message back to the replica.
"""

from poplarstep.core import address
from poplarstep.core import record

COMMAND = 'command'
NO_OP = 'no-op'
MEMBERSHIP = 'membership'


class HostIdentity(record.Record):
    r"""Name of a control host, and random identity of its data folder.

    A host whose disk was replaced has the same name and another ``disk``.
    """

    __slots__ = ('name', 'disk')

    def __init__(self, name: str, disk: str):
        self.name = name
        self.disk = disk


class Member(record.Record):
    r"""Control host that receives the log; learners are not in a quorum."""

    __slots__ = ('identity', 'address', 'voter')

    def __init__(
            self, identity: HostIdentity, address: address.Address,
            voter: bool):
        self.identity = identity
        self.address = address
        self.voter = voter


class LogEntry(record.Record):
    r"""One entry of the replicated log.

    Parameters
    ==========

    index : int
        Position in the log, from 1.
    term : int
        Term of the leader that created the entry.
    kind : str
        ``COMMAND``, ``NO_OP`` or ``MEMBERSHIP``.
    payload : bytes
        Command of the state machine; empty for other kinds.
    members : tuple of Member
        Whole membership, for the kind ``MEMBERSHIP``.
    """

    __slots__ = ('index', 'term', 'kind', 'payload', 'members')

    def __init__(
            self, index: int, term: int, kind: str, payload: bytes,
            members: tuple[Member, ...] = ()):
        self.index = index
        self.term = term
        self.kind = kind
        self.payload = payload
        self.members = members


class Snapshot(record.Record):
    r"""State after the entry ``index``; replaces the log up to that entry.

    The snapshot with index 0 is written at bootstrap and holds the identity
    of the group and the first membership.
    """

    __slots__ = ('group', 'index', 'term', 'members', 'state')

    def __init__(
            self, group: str, index: int, term: int,
            members: tuple[Member, ...], state: bytes):
        self.group = group
        self.index = index
        self.term = term
        self.members = members
        self.state = state


class Propose(record.Record):
    r"""Input: append a command.

    A positive ``key`` identifies the proposal in the outputs. A proposal
    with key 0 gets no ``Proposed`` and no ``ProposalUnknown``.
    """

    __slots__ = ('key', 'payload')

    def __init__(self, key: int, payload: bytes):
        self.key = key
        self.payload = payload


class ProposeBatch(record.Record):
    r"""Input: append several commands with one write and one sync."""

    __slots__ = ('proposals',)

    def __init__(self, proposals: tuple[Propose, ...]):
        self.proposals = proposals


class Proposed(record.Record):
    r"""Output: the command is in the leader's log, not yet committed."""

    __slots__ = ('key', 'index', 'term')

    def __init__(self, key: int, index: int, term: int):
        self.key = key
        self.index = index
        self.term = term


class ProposalRefused(record.Record):
    r"""Output: the proposal is in no log and will never be committed.

    ``leader`` is the name of the leader, empty when it is unknown.
    """

    __slots__ = ('key', 'reason', 'leader')

    def __init__(self, key: int, reason: str, leader: str):
        self.key = key
        self.reason = reason
        self.leader = leader


class ProposalUnknown(record.Record):
    r"""Output: this host stopped leading; the proposal may be committed."""

    __slots__ = ('key', 'leader')

    def __init__(self, key: int, leader: str):
        self.key = key
        self.leader = leader


class Committed(record.Record):
    r"""Output: a command is committed.

    Commands are returned in index order. After a storage failure some may
    be returned again, so the state machine ignores an index that it has
    applied. ``key`` is 0 for a command that another host proposed.
    """

    __slots__ = ('index', 'term', 'payload', 'key')

    def __init__(self, index: int, term: int, payload: bytes, key: int):
        self.index = index
        self.term = term
        self.payload = payload
        self.key = key


class ChangeMembership(record.Record):
    r"""Input: an operator adds or removes a control host by name.

    ``action`` is a name in ``membership.ACTIONS``.
    """

    __slots__ = ('key', 'action', 'name')

    def __init__(self, key: int, action: str, name: str):
        self.key = key
        self.action = action
        self.name = name


class MembershipChanged(record.Record):
    r"""Output: a membership is committed."""

    __slots__ = ('index', 'members', 'key')

    def __init__(self, index: int, members: tuple[Member, ...], key: int):
        self.index = index
        self.members = members
        self.key = key


class LeadershipChanged(record.Record):
    r"""Output: another leader is known, or none (an empty ``leader``).

    ``is_self`` is true when this host has been elected; it may answer reads
    only after the first ``LeaseExtended``. A message whose ``is_self`` is
    false ends the lease.
    """

    __slots__ = ('leader', 'term', 'is_self')

    def __init__(self, leader: str, term: int, is_self: bool):
        self.leader = leader
        self.term = term
        self.is_self = is_self


class LeaseExtended(record.Record):
    r"""Output: the leader lease lasts until ``until`` ms of the node's clock.

    Until then this host may answer reads from its applied state.
    """

    __slots__ = ('until',)

    def __init__(self, until: int):
        self.until = until


class SnapshotTaken(record.Record):
    r"""Input: encoded state of the state machine after entry ``index``."""

    __slots__ = ('index', 'state')

    def __init__(self, index: int, state: bytes):
        self.index = index
        self.state = state


class SnapshotRestored(record.Record):
    r"""Output: the state machine continues from this state."""

    __slots__ = ('index', 'state')

    def __init__(self, index: int, state: bytes):
        self.index = index
        self.state = state


class SaveVote(record.Record):
    r"""Storage effect: replace the stored term and vote."""

    __slots__ = ('term', 'voted_for')

    def __init__(self, term: int, voted_for: HostIdentity | None):
        self.term = term
        self.voted_for = voted_for


class AppendLog(record.Record):
    r"""Storage effect: append entries to the log.

    ``commit_index`` is the highest index that was known to be committed; a
    host that restarts may apply the log up to it before it knows a leader.
    """

    __slots__ = ('entries', 'commit_index')

    def __init__(
            self, entries: tuple[LogEntry, ...], commit_index: int = 0):
        self.entries = entries
        self.commit_index = commit_index


class TruncateLog(record.Record):
    r"""Storage effect: remove the entries from ``index`` on."""

    __slots__ = ('index',)

    def __init__(self, index: int):
        self.index = index


class SaveSnapshot(record.Record):
    r"""Storage effect: replace the snapshot, drop the entries it covers."""

    __slots__ = ('snapshot',)

    def __init__(self, snapshot: Snapshot):
        self.snapshot = snapshot


class Stored(record.Record):
    r"""Effect and input: the storage effects before it have been synced.

    ``last_index`` is the end of the log on disk. ``failures`` is the count
    of storage failures when the effect was returned; the replica ignores a
    ``Stored`` from before the latest failure.
    """

    __slots__ = ('term', 'last_index', 'failures')

    def __init__(self, term: int, last_index: int, failures: int):
        self.term = term
        self.last_index = last_index
        self.failures = failures


class StorageFailed(record.Record):
    r"""Input: a storage effect failed; the rest of its batch was dropped."""

    __slots__ = ('reason',)

    def __init__(self, reason: str):
        self.reason = reason


STORAGE_EFFECTS = (SaveVote, AppendLog, TruncateLog, SaveSnapshot)
