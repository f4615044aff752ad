r"""Commands that change the configuration, and their outcomes.

Explanation
===========

The replicated log holds ``Command`` entries. ``client`` and ``sequence``
identify a command; a resent command gets the outcome of the first copy.
``based_on`` is the configuration version that the operator saw; a command
is refused if its object has changed since that version.
"""

from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import record

APPLIED = 'applied'
REFUSED = 'refused'
UNKNOWN = 'unknown'
# This copy of the command was not appended to this control host's log. This
# doesn't refuse the command itself: another copy may be in the log.
NOT_TAKEN = 'not-taken'
# Reasons that are transient: a retry at this control host or at another may
# succeed.
NOT_LEADER = 'not-leader'
# The control host to add is a member but has not answered this leader yet.
HOST_NOT_ANSWERED = 'host-not-answered-yet'
TRANSIENT_REASONS = frozenset((NOT_LEADER, HOST_NOT_ANSWERED))
# ``based_on`` of a command that applies whatever version is in force.
ANY_VERSION = 2**62


class CreateService(record.Record):
    r"""Create a service."""

    __slots__ = ('name', 'address', 'priority', 'drain_deadline_ms')

    def __init__(
            self, name: str, address: address.Address, priority: int,
            drain_deadline_ms: int):
        self.name = name
        self.address = address
        self.priority = priority
        self.drain_deadline_ms = drain_deadline_ms


class ChangeService(record.Record):
    r"""Change properties of a service; those that are None stay as is."""

    __slots__ = ('name', 'address', 'priority', 'drain_deadline_ms')

    def __init__(
            self, name: str, address: address.Address | None,
            priority: int | None, drain_deadline_ms: int | None):
        self.name = name
        self.address = address
        self.priority = priority
        self.drain_deadline_ms = drain_deadline_ms


class RemoveService(record.Record):
    r"""Remove a service that has no targets."""

    __slots__ = ('name',)

    def __init__(self, name: str):
        self.name = name


class SetDataCentre(record.Record):
    r"""Take a data centre out of service or put it back."""

    __slots__ = ('name', 'out')

    def __init__(self, name: str, out: bool):
        self.name = name
        self.out = out


class DrainTarget(record.Record):
    r"""Start or end the drain of a target."""

    __slots__ = ('name', 'drained')

    def __init__(self, name: str, drained: bool):
        self.name = name
        self.drained = drained


class Announce(record.Record):
    r"""Add or update the targets of a batch of announcements."""

    __slots__ = ('announcements',)

    def __init__(self, announcements: tuple[model.Announcement, ...]):
        self.announcements = announcements


class ExpiredTarget(record.Record):
    r"""Identifies a target to expire, whose agent has been silent."""

    WIRE_NAME = 'Expiry'
    __slots__ = ('name', 'incarnation')

    def __init__(self, name: str, incarnation: int):
        self.name = name
        self.incarnation = incarnation


class ExpireTargets(record.Record):
    r"""Remove targets unless a later incarnation has announced itself."""

    __slots__ = ('targets',)

    def __init__(self, targets: tuple[ExpiredTarget, ...]):
        self.targets = targets


class ServiceShare(record.Record):
    r"""A service's name and its weight in the new flows of a route."""

    __slots__ = ('service', 'weight')

    def __init__(self, service: str, weight: int):
        self.service = service
        self.weight = weight


class WantedService(record.Record):
    r"""A service in a ``ReplaceConfiguration``; see ``model.Service``."""

    __slots__ = ('name', 'cold_per_second')

    def __init__(self, name: str, cold_per_second: float):
        self.name = name
        self.cold_per_second = cold_per_second


class WantedRoute(record.Record):
    r"""A route in a ``ReplaceConfiguration``; see ``model.Route``."""

    __slots__ = (
        'name', 'address', 'idempotent', 'priority', 'timeout_ms',
        'objective_ms', 'shares')

    def __init__(
            self, name: str, address: address.Address, idempotent: bool,
            priority: int, timeout_ms: int, objective_ms: int,
            shares: tuple[ServiceShare, ...]):
        self.name = name
        self.address = address
        self.idempotent = idempotent
        self.priority = priority
        self.timeout_ms = timeout_ms
        self.objective_ms = objective_ms
        self.shares = shares


class ReplaceConfiguration(record.Record):
    r"""Replace all routes and services if the revision is the highest yet.

    Parameters
    ==========

    revision : int
        Number that the operator gives to the configuration.
    flow_idle_ms : int
        Idle timeout of flows; the state of an idle flow may be dropped.
    document : bytes
        The configuration in the format that the operator sent. The state
        machine stores it without reading it, so that it can be read back
        unchanged.
    """

    __slots__ = ('revision', 'services', 'routes', 'flow_idle_ms', 'document')

    def __init__(
            self, revision: int, services: tuple[WantedService, ...],
            routes: tuple[WantedRoute, ...], flow_idle_ms: int,
            document: bytes):
        self.revision = revision
        self.services = services
        self.routes = routes
        self.flow_idle_ms = flow_idle_ms
        self.document = document


class Command(record.Record):
    r"""One entry of the replicated log."""

    __slots__ = ('client', 'sequence', 'based_on', 'body')

    def __init__(
            self, client: str, sequence: int, based_on: int,
            body: CreateService | ChangeService | RemoveService
            | SetDataCentre | DrainTarget | Announce | ExpireTargets
            | ReplaceConfiguration):
        self.client = client
        self.sequence = sequence
        self.based_on = based_on
        self.body = body


class Outcome(record.Record):
    r"""Result of a command.

    Parameters
    ==========

    status : str
        ``applied``, ``refused`` (the command did not run), ``unknown`` or
        ``not-taken`` (this copy is not in the log).
    version : int
        Configuration version after the command; for other statuses than
        ``applied``, the version at the time of the answer.
    reason : str
        Why the command was not applied; empty when applied.
    """

    __slots__ = ('status', 'version', 'reason')

    def __init__(self, status: str, version: int, reason: str):
        self.status = status
        self.version = version
        self.reason = reason


class Session(record.Record):
    r"""Outcomes of one client's recent commands, by sequence.

    ``last_used`` counts the commands of the log up to the latest one that
    used this session.
    """

    __slots__ = ('client', 'last_used', 'outcome_by_sequence')

    def __init__(
            self, client: str, last_used: int,
            outcome_by_sequence: dict[int, Outcome]):
        self.client = client
        self.last_used = last_used
        self.outcome_by_sequence = outcome_by_sequence


class Tombstone(record.Record):
    r"""Kind and name of a removed object, and the version without it."""

    WIRE_NAME = 'Removed'
    __slots__ = ('kind', 'name', 'version')

    def __init__(self, kind: str, name: str, version: int):
        self.kind = kind
        self.name = name
        self.version = version
