r"""Messages between control hosts.

Explanation
===========

Each carries the sender as (name, disk identity), the group and the sender's
term. Any of them may be lost, duplicated, reordered or late.
"""

from poplarstep.consensus import message
from poplarstep.core import address
from poplarstep.core import record

MAXIMUM_CHUNK_BYTES = 256 * 1024


class RequestVote(record.Record):
    r"""Ask for a vote, or with ``pre_vote`` whether one would be given.

    For a pre-vote ``term`` is the term that the sender would start.
    """

    __slots__ = (
        'sender', 'group', 'term', 'pre_vote', 'last_index', 'last_term')

    def __init__(
            self, sender: message.HostIdentity, group: str, term: int,
            pre_vote: bool, last_index: int, last_term: int):
        self.sender = sender
        self.group = group
        self.term = term
        self.pre_vote = pre_vote
        self.last_index = last_index
        self.last_term = last_term


class VoteReply(record.Record):
    r"""Answer to ``RequestVote``.

    ``term`` is the requested term if granted, otherwise the sender's own.
    """

    __slots__ = ('sender', 'group', 'term', 'pre_vote', 'granted')

    def __init__(
            self, sender: message.HostIdentity, group: str, term: int,
            pre_vote: bool, granted: bool):
        self.sender = sender
        self.group = group
        self.term = term
        self.pre_vote = pre_vote
        self.granted = granted


class AppendEntries(record.Record):
    r"""Heartbeat with entries after ``previous_index``.

    ``sent_at`` is the leader's clock in ms; the reply returns it, and the
    leader lease is counted from it.
    """

    __slots__ = (
        'sender', 'receiver', 'group', 'term', 'previous_index',
        'previous_term', 'entries', 'commit_index', 'sent_at')

    def __init__(
            self, sender: message.HostIdentity,
            receiver: message.HostIdentity, group: str, term: int,
            previous_index: int, previous_term: int,
            entries: tuple[message.LogEntry, ...], commit_index: int,
            sent_at: int):
        self.sender = sender
        self.receiver = receiver
        self.group = group
        self.term = term
        self.previous_index = previous_index
        self.previous_term = previous_term
        self.entries = entries
        self.commit_index = commit_index
        self.sent_at = sent_at


class AppendReply(record.Record):
    r"""Answer to ``AppendEntries``.

    Parameters
    ==========

    match_index : int
        If ``success``: the sender's synced log equals the leader's up to
        here.
    conflict_term, conflict_index : int
        Otherwise: term of the entry that differs, 0 if it is missing, and
        the first index that the leader should send. Index 0 asks for a
        snapshot.
    """

    __slots__ = (
        'sender', 'group', 'term', 'success', 'match_index',
        'conflict_term', 'conflict_index', 'sent_at')

    def __init__(
            self, sender: message.HostIdentity, group: str, term: int,
            success: bool, match_index: int, conflict_term: int,
            conflict_index: int, sent_at: int):
        self.sender = sender
        self.group = group
        self.term = term
        self.success = success
        self.match_index = match_index
        self.conflict_term = conflict_term
        self.conflict_index = conflict_index
        self.sent_at = sent_at


class InstallSnapshot(record.Record):
    r"""One chunk of a snapshot, at most ``MAXIMUM_CHUNK_BYTES``."""

    __slots__ = (
        'sender', 'receiver', 'group', 'term', 'index', 'snapshot_term',
        'members', 'offset', 'total', 'chunk', 'sent_at')

    def __init__(
            self, sender: message.HostIdentity,
            receiver: message.HostIdentity, group: str, term: int,
            index: int, snapshot_term: int,
            members: tuple[message.Member, ...], offset: int, total: int,
            chunk: bytes, sent_at: int):
        self.sender = sender
        self.receiver = receiver
        self.group = group
        self.term = term
        self.index = index
        self.snapshot_term = snapshot_term
        self.members = members
        self.offset = offset
        self.total = total
        self.chunk = chunk
        self.sent_at = sent_at


class SnapshotReply(record.Record):
    r"""Answer to ``InstallSnapshot``: the next offset, or done."""

    __slots__ = (
        'sender', 'group', 'term', 'index', 'offset', 'done', 'sent_at')

    def __init__(
            self, sender: message.HostIdentity, group: str, term: int,
            index: int, offset: int, done: bool, sent_at: int):
        self.sender = sender
        self.group = group
        self.term = term
        self.index = index
        self.offset = offset
        self.done = done
        self.sent_at = sent_at


class Hello(record.Record):
    r"""A host without a leader makes itself known.

    Parameters
    ==========

    inbox : Address
        Where the sender receives control messages.
    group : str
        Group of the sender's data folder, empty if it has none.
    bootstrap : bool
        Whether the sender was started to form a new group.
    observer : bool
        The sender has no disk and is never a member.
    """

    __slots__ = (
        'sender', 'inbox', 'group', 'term', 'bootstrap', 'observer')

    def __init__(
            self, sender: message.HostIdentity, inbox: address.Address,
            group: str, term: int, bootstrap: bool, observer: bool = False):
        self.sender = sender
        self.inbox = inbox
        self.group = group
        self.term = term
        self.bootstrap = bootstrap
        self.observer = observer


class HelloReply(record.Record):
    r"""Answer to ``Hello``.

    ``founders`` is the first membership of the group while the sender's
    snapshot still holds it, otherwise empty. ``members`` are the inboxes of
    the present members; one of them leads. An observer names the hosts with
    a disk that it knows, and as ``appointed`` the one that shall found the
    group.
    """

    __slots__ = (
        'sender', 'inbox', 'group', 'term', 'bootstrap', 'founders',
        'members', 'observer', 'appointed')

    def __init__(
            self, sender: message.HostIdentity, inbox: address.Address,
            group: str, term: int, bootstrap: bool,
            founders: tuple[message.Member, ...],
            members: tuple[address.Address, ...] = (),
            observer: bool = False,
            appointed: message.HostIdentity | None = None):
        self.sender = sender
        self.inbox = inbox
        self.group = group
        self.term = term
        self.bootstrap = bootstrap
        self.founders = founders
        self.members = members
        self.observer = observer
        self.appointed = appointed


# Classes for the codec of the links between control hosts.
PEER_MESSAGES = (
    RequestVote, VoteReply, AppendEntries, AppendReply, InstallSnapshot,
    SnapshotReply, Hello, HelloReply,
)
