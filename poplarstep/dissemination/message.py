r"""Messages between subscribers and publishers."""

from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import record


class Position(record.Record):
    r"""The configuration version that a node has in force.

    ``age_ms`` is the time since the node was last heard, as counted by the
    relays on the way.
    """

    __slots__ = ('node', 'role', 'version', 'incarnation', 'age_ms')

    def __init__(
            self, node: str, role: str, version: int, incarnation: int,
            age_ms: int):
        self.node = node
        self.role = role
        self.version = version
        self.incarnation = incarnation
        self.age_ms = age_ms


class Poll(record.Record):
    r"""A subscriber asks for what it lacks and reports what it knows.

    Parameters
    ==========

    node : str
        Name of the subscriber.
    sequence : int
        Matches the ``Update`` to the poll; it starts at the incarnation, so
        that no run takes an answer to an earlier run for its own.
    version : int
        Highest configuration version that the subscriber holds.
    announcements : tuple of Announcement
        Facts of targets that the configuration does not show yet.
    positions : tuple of Position
        Nodes that were heard of since the previous poll.
    """

    __slots__ = (
        'node', 'sequence', 'version', 'announcements', 'positions')

    def __init__(
            self, node: str, sequence: int, version: int,
            announcements: tuple[model.Announcement, ...],
            positions: tuple[Position, ...]):
        self.node = node
        self.sequence = sequence
        self.version = version
        self.announcements = announcements
        self.positions = positions


class Update(record.Record):
    r"""A publisher's answer to a ``Poll``.

    Parameters
    ==========

    version : int
        Highest version of the publisher.
    changes : tuple of Change
        Changes after the subscriber's version.
    snapshot : Snapshot or None
        Sent in place of changes when it is smaller or they are gone.
    lease_ms : int
        The configuration is confirmed for this long, counted from the
        sending of the poll; 0 when the publisher can't confirm it.
    leader : Address or None
        Inbox of the control leader, when known.
    """

    __slots__ = (
        'sequence', 'version', 'changes', 'snapshot', 'lease_ms', 'leader')

    def __init__(
            self, sequence: int, version: int,
            changes: tuple[model.Change, ...],
            snapshot: model.Snapshot | None, lease_ms: int,
            leader: address.Address | None):
        self.sequence = sequence
        self.version = version
        self.changes = changes
        self.snapshot = snapshot
        self.lease_ms = lease_ms
        self.leader = leader


class CatalogueChanged(record.Record):
    r"""The node's catalogue has reached a new version."""

    __slots__ = ('version',)

    def __init__(self, version: int):
        self.version = version


class Confirmed(record.Record):
    r"""The lease of this node has been extended."""

    __slots__ = ()


class Announced(record.Record):
    r"""A target announced itself to the agent of this node."""

    __slots__ = ('announcement',)

    def __init__(self, announcement: model.Announcement):
        self.announcement = announcement


class Outranked(record.Record):
    r"""The configuration holds a later incarnation of this node's target.

    ``incarnation`` is the one that it holds.
    """

    __slots__ = ('incarnation',)

    def __init__(self, incarnation: int):
        self.incarnation = incarnation
