r"""Messages between control hosts.

Explanation
===========

Each message contains the sender's name and disk identity, the group and the
sender's term. Messages may be lost, duplicated, reordered or delayed.
"""

from poplarstep.consensus import message
from poplarstep.core import address
from poplarstep.core import record

MAXIMUM_CHUNK_BYTES = 256 * 1024


class RequestVote(record.Record):
    r"""Request for a vote, or with ``pre_vote`` for a pre-vote.

    A pre-vote asks whether the receiver would vote for the sender; ``term``
    is then the term that the sender would start. ``last_index`` and
    ``last_term`` describe the end of the sender's log.
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
    r"""Reply to ``RequestVote``.

    ``term`` is the requested term if the vote is granted, otherwise the
    term of the host that replies.
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
    r"""Heartbeat of the leader, with the entries after ``previous_index``.

    ``sent_at`` is the send time in ms of the leader's clock. The reply
    returns it, and the leader lease is counted from it.
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
    r"""Reply to ``AppendEntries``.

    Parameters
    ==========

    match_index : int
        With ``success``, the index up to which the synced log of the host
        that replies equals the leader's.
    conflict_term : int
        Without ``success``, the term of the conflicting entry, or 0 if the
        log ends before it.
    conflict_index : int
        Without ``success``, the first index that the leader should send;
        0 asks for a snapshot.
    sent_at : int
        Copied from the request.
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
    r"""One chunk of a snapshot, at most ``MAXIMUM_CHUNK_BYTES`` long.

    ``offset`` is the position of the chunk and ``total`` the size of the
    snapshot's state, both in bytes.
    """

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
    r"""Reply to ``InstallSnapshot``.

    ``offset`` is the number of bytes received, which is where the next
    chunk starts; ``done`` means that the snapshot is installed.
    """

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
    r"""Announcement of a host to the other control hosts.

    A host without a leader sends it to all hosts that it knows, and a host
    with a leader sends it to observers only.

    Parameters
    ==========

    address : Address
        Address at which the sender receives control messages.
    group : str
        Group in the sender's data folder, empty if there is none.
    bootstrap : bool
        Whether the sender was started to form a new group.
    observer : bool
        The sender has no disk and never becomes a member.
    """

    __slots__ = (
        'sender', 'address', 'group', 'term', 'bootstrap', 'observer')

    def __init__(
            self, sender: message.HostIdentity, address: address.Address,
            group: str, term: int, bootstrap: bool, observer: bool = False):
        self.sender = sender
        self.address = address
        self.group = group
        self.term = term
        self.bootstrap = bootstrap
        self.observer = observer


class HelloReply(record.Record):
    r"""Reply to ``Hello``.

    Parameters
    ==========

    initial_members : tuple of Member
        Initial membership of the group while the sender's snapshot has
        index 0, otherwise empty.
    members : tuple of Address
        Addresses of the current members; from an observer, of the hosts
        with a disk that it knows.
    bootstrap_host : HostIdentity or None
        Host that an observer has chosen to form the group.
    """

    __slots__ = (
        'sender', 'address', 'group', 'term', 'bootstrap', 'initial_members',
        'members', 'observer', 'bootstrap_host')

    def __init__(
            self, sender: message.HostIdentity, address: address.Address,
            group: str, term: int, bootstrap: bool,
            initial_members: tuple[message.Member, ...],
            members: tuple[address.Address, ...] = (),
            observer: bool = False,
            bootstrap_host: message.HostIdentity | None = None):
        self.sender = sender
        self.address = address
        self.group = group
        self.term = term
        self.bootstrap = bootstrap
        self.initial_members = initial_members
        self.members = members
        self.observer = observer
        self.bootstrap_host = bootstrap_host


# Classes for the codec of the links between control hosts.
PEER_MESSAGES = (
    RequestVote, VoteReply, AppendEntries, AppendReply, InstallSnapshot,
    SnapshotReply, Hello, HelloReply,
)
