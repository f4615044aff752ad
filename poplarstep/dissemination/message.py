r"""Messages between subscribers and publishers, and between their stages."""

from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import record


# Ages are sent in this unit, so that most are encoded in one byte.
AGE_UNIT_MS = 100


class StatusGroup(record.Record):
    r"""Statuses of nodes with the same role and configuration version.

    Parameters
    ==========

    nodes : tuple of str
        Names.
    short_incarnations : tuple of int
        Low 32 bits of each node's incarnation.
    ages : tuple of int
        Time since each node was last heard, in units of 100 ms. Each relay
        adds the time for which it held the status.
    """

    WIRE_NAME = 'Standing'
    __slots__ = ('role', 'version', 'nodes', 'short_incarnations', 'ages')

    def __init__(
            self, role: str, version: int, nodes: tuple[str, ...],
            short_incarnations: tuple[int, ...], ages: tuple[int, ...]):
        self.role = role
        self.version = version
        self.nodes = nodes
        self.short_incarnations = short_incarnations
        self.ages = ages


class Poll(record.Record):
    r"""Request of a subscriber for changes, with its reports.

    Parameters
    ==========

    node, role, incarnation
        Name, role and incarnation of the subscriber.
    sequence : int
        Matches the ``Update`` to the poll. It starts at the incarnation, so
        that an answer to an earlier incarnation can't match.
    version : int
        Configuration version of the subscriber.
    lease_only : bool
        The subscriber is a control host that gets the configuration from
        the replicated log and needs only the lease.
    announcements : tuple of Announcement
        Announcements that the subscriber's catalogue doesn't contain yet.
    status_groups : tuple of StatusGroup
        Statuses of nodes downstream of the subscriber that have changed or
        are due for a refresh.
    """

    __slots__ = (
        'node', 'role', 'incarnation', 'sequence', 'version', 'lease_only',
        'announcements', 'status_groups')

    def __init__(
            self, node: str, role: str, incarnation: int, sequence: int,
            version: int, lease_only: bool,
            announcements: tuple[model.Announcement, ...],
            status_groups: tuple[StatusGroup, ...]):
        self.node = node
        self.role = role
        self.incarnation = incarnation
        self.sequence = sequence
        self.version = version
        self.lease_only = lease_only
        self.announcements = announcements
        self.status_groups = status_groups


class Update(record.Record):
    r"""A publisher's answer to a ``Poll``.

    Parameters
    ==========

    version : int
        Configuration version of the publisher.
    changes : tuple of Change
        Changes after the subscriber's version.
    snapshot : Snapshot or None
        Sent instead of the changes when it is smaller or when some of them
        are no longer retained.
    lease_ms : int
        The version is confirmed to be current for this long after the poll
        was sent; 0 when the publisher can't confirm it.
    leader : Address or None
        Inbox of the leader of the control hosts, when known.
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
    r"""This node's catalogue has reached a new version."""

    __slots__ = ('version',)

    def __init__(self, version: int):
        self.version = version


class LeaseExtended(record.Record):
    r"""The lease of this node has been extended."""

    __slots__ = ()


class UpstreamsConfigured(record.Record):
    r"""The configured upstreams have changed."""

    __slots__ = ('upstreams',)

    def __init__(self, upstreams: tuple[address.Address, ...]):
        self.upstreams = upstreams


class Announced(record.Record):
    r"""The target of this node has announced itself to its agent."""

    __slots__ = ('announcement',)

    def __init__(self, announcement: model.Announcement):
        self.announcement = announcement


class LaterIncarnation(record.Record):
    r"""The configuration has a later incarnation of this node's target.

    ``incarnation`` is that later incarnation.
    """

    __slots__ = ('incarnation',)

    def __init__(self, incarnation: int):
        self.incarnation = incarnation
