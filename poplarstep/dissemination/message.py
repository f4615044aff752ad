r"""Messages between subscribers and publishers."""

from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import record


# Ages are sent in this unit, so that most of them take one byte.
AGE_UNIT_MS = 100


class Standing(record.Record):
    r"""Nodes of one role that have the same configuration version.

    Parameters
    ==========

    nodes : tuple of str
        Names.
    runs : tuple of int
        Low 32 bits of each node's incarnation.
    ages : tuple of int
        Time since each node was last heard, in units of 100 ms, as counted
        by the relays on the way.
    """

    __slots__ = ('role', 'version', 'nodes', 'runs', 'ages')

    def __init__(
            self, role: str, version: int, nodes: tuple[str, ...],
            runs: tuple[int, ...], ages: tuple[int, ...]):
        self.role = role
        self.version = version
        self.nodes = nodes
        self.runs = runs
        self.ages = ages


class Poll(record.Record):
    r"""A subscriber asks for what it lacks and reports what it knows.

    Parameters
    ==========

    node, role, incarnation
        Name, role and run of the subscriber.
    sequence : int
        Matches the ``Update`` to the poll; it starts at the incarnation, so
        that no run takes an answer to an earlier run for its own.
    version : int
        Highest configuration version that the subscriber holds.
    lease_only : bool
        The subscriber is a control host that gets the configuration from
        the replicated log.
    announcements : tuple of Announcement
        Facts of targets that the configuration does not show yet.
    standings : tuple of Standing
        Nodes below the subscriber whose version has changed or that have
        not been reported for a while.
    """

    __slots__ = (
        'node', 'role', 'incarnation', 'sequence', 'version', 'lease_only',
        'announcements', 'standings')

    def __init__(
            self, node: str, role: str, incarnation: int, sequence: int,
            version: int, lease_only: bool,
            announcements: tuple[model.Announcement, ...],
            standings: tuple[Standing, ...]):
        self.node = node
        self.role = role
        self.incarnation = incarnation
        self.sequence = sequence
        self.version = version
        self.lease_only = lease_only
        self.announcements = announcements
        self.standings = standings


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
    upstreams : tuple of Address
        Inboxes of the present control hosts; empty when unknown.
    """

    __slots__ = (
        'sequence', 'version', 'changes', 'snapshot', 'lease_ms', 'leader',
        'upstreams')

    def __init__(
            self, sequence: int, version: int,
            changes: tuple[model.Change, ...],
            snapshot: model.Snapshot | None, lease_ms: int,
            leader: address.Address | None,
            upstreams: tuple[address.Address, ...] = ()):
        self.sequence = sequence
        self.version = version
        self.changes = changes
        self.snapshot = snapshot
        self.lease_ms = lease_ms
        self.leader = leader
        self.upstreams = upstreams


class CatalogueChanged(record.Record):
    r"""The node's catalogue has reached a new version."""

    __slots__ = ('version',)

    def __init__(self, version: int):
        self.version = version


class Confirmed(record.Record):
    r"""The lease of this node has been extended."""

    __slots__ = ()


class UpstreamsConfigured(record.Record):
    r"""The settings name other upstreams than before."""

    __slots__ = ('upstreams',)

    def __init__(self, upstreams: tuple[address.Address, ...]):
        self.upstreams = upstreams


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
