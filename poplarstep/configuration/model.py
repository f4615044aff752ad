r"""Objects of the configuration: services, routes, targets and the like.

Explanation
===========

``changed`` is the configuration version at which an object last changed.
``number`` is an identifier that the state machine assigns and never reuses,
so a token in a flow's packets can't refer to a later object.
"""

from poplarstep.core import address
from poplarstep.core import record


class Service(record.Record):
    r"""A set of targets behind one address.

    Parameters
    ==========

    priority : int
        0 is the highest; lower priorities are shed first.
    drain_deadline_ms : int
        Established flows of a draining target may continue for this long.
    former_addresses : tuple of Address
        Earlier addresses; established flows may still use them.
    cold_per_second : float
        Requests per second that a target can handle while it warms up.
    retired : bool
        The configuration no longer lists the service. Its targets keep their
        open flows and get no new ones.

    A service whose address is None is reached through routes only.
    """

    __slots__ = (
        'name', 'number', 'address', 'priority', 'drain_deadline_ms',
        'former_addresses', 'changed', 'cold_per_second', 'retired')

    def __init__(
            self, name: str, number: int, address: address.Address | None,
            priority: int, drain_deadline_ms: int,
            former_addresses: tuple[address.Address, ...], changed: int,
            cold_per_second: float = 0.0, retired: bool = False):
        self.retired = retired
        self.name = name
        self.number = number
        self.address = address
        self.priority = priority
        self.drain_deadline_ms = drain_deadline_ms
        self.former_addresses = former_addresses
        self.changed = changed
        self.cold_per_second = cold_per_second


class Share(record.Record):
    r"""A service that takes new flows of a route, and its weight.

    ``service`` is the number of the service.
    """

    __slots__ = ('service', 'weight')

    def __init__(self, service: int, weight: int):
        self.service = service
        self.weight = weight


class Route(record.Record):
    r"""An address whose flows are spread over one or several services.

    Parameters
    ==========

    idempotent : bool
        Whether a request of these flows may run more than once.
    priority : int
        0 is the highest; it is served first when targets are busy.
    timeout_ms : int
        Time after which a caller gives up on a request.
    objective_ms : int
        Latency objective; a slower answer counts as late.
    shares : tuple of Share
        Services that take new flows, with their weights.
    former_services : tuple of int
        Numbers of services that took new flows of the address before, the
        latest first. Their targets may still hold flows.
    """

    __slots__ = (
        'name', 'number', 'address', 'idempotent', 'priority', 'timeout_ms',
        'objective_ms', 'shares', 'changed', 'former_services')

    def __init__(
            self, name: str, number: int, address: address.Address,
            idempotent: bool, priority: int, timeout_ms: int,
            objective_ms: int, shares: tuple[Share, ...], changed: int,
            former_services: tuple[int, ...] = ()):
        self.former_services = former_services
        self.name = name
        self.number = number
        self.address = address
        self.idempotent = idempotent
        self.priority = priority
        self.timeout_ms = timeout_ms
        self.objective_ms = objective_ms
        self.shares = shares
        self.changed = changed


def services_of_flows(route):
    r"""Return the numbers of all services that may hold flows of a route.

    Examples
    ========

    >>> services_of_flows(Route(
    ...     'r', 1, None, True, 0, 500, 100, (Share(4, 1),), 7, (2,)))
    (4, 2)

    """
    return tuple(
        share.service for share in route.shares) + route.former_services


class Policy(record.Record):
    r"""Settings that apply to all routes.

    Parameters
    ==========

    revision : int
        Number that operators gave to the whole configuration.
    flow_idle_ms : int
        Idle timeout of flows; the state of an idle flow may be dropped.
    """

    __slots__ = ('revision', 'flow_idle_ms', 'changed')

    def __init__(self, revision: int, flow_idle_ms: int, changed: int):
        self.revision = revision
        self.flow_idle_ms = flow_idle_ms
        self.changed = changed


class DataCentre(record.Record):
    r"""A data centre; ``out`` means that operators took it out of service."""

    __slots__ = ('name', 'number', 'out', 'changed')

    def __init__(self, name: str, number: int, out: bool, changed: int):
        self.name = name
        self.number = number
        self.out = out
        self.changed = changed


class Announcement(record.Record):
    r"""Registration of a target, sent by the target's agent.

    Parameters
    ==========

    name : str
        Name of the agent's node, unique in the system.
    incarnation : int
        Identifies one run of the agent process; a later run has a larger
        number.
    revision : int
        Counts the announcements of one incarnation.
    slots : int
        Requests that the target can run concurrently.
    connections : int
        Flows that the target can have open.
    leaving : bool
        The target is shutting down and takes no new work.
    ended : bool
        The target has exited; it is removed from the configuration.
    """

    __slots__ = (
        'name', 'service', 'data_centre', 'agent', 'incarnation',
        'revision', 'slots', 'connections', 'leaving', 'ended')

    def __init__(
            self, name: str, service: str, data_centre: str,
            agent: address.Address, incarnation: int, revision: int,
            slots: int, connections: int, leaving: bool,
            ended: bool = False):
        self.ended = ended
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.agent = agent
        self.incarnation = incarnation
        self.revision = revision
        self.slots = slots
        self.connections = connections
        self.leaving = leaving


class Target(record.Record):
    r"""A registered target.

    ``service`` and ``data_centre`` are numbers of these objects. Operators
    set ``drained``; the target's own announcement sets ``leaving``. The
    other fields are those of the ``Announcement``.
    """

    __slots__ = (
        'name', 'number', 'service', 'data_centre', 'agent', 'incarnation',
        'revision', 'slots', 'connections', 'leaving', 'drained', 'changed')

    def __init__(
            self, name: str, number: int, service: int, data_centre: int,
            agent: address.Address, incarnation: int, revision: int,
            slots: int, connections: int, leaving: bool, drained: bool,
            changed: int):
        self.name = name
        self.number = number
        self.service = service
        self.data_centre = data_centre
        self.agent = agent
        self.incarnation = incarnation
        self.revision = revision
        self.slots = slots
        self.connections = connections
        self.leaving = leaving
        self.drained = drained
        self.changed = changed


class Removal(record.Record):
    r"""Removal of an object; ``kind`` is service, target or route."""

    __slots__ = ('kind', 'number')

    def __init__(self, kind: str, number: int):
        self.kind = kind
        self.number = number


class Change(record.Record):
    r"""New state of one object, or its removal, at a version."""

    __slots__ = ('version', 'body')

    def __init__(
            self, version: int,
            body: Service | DataCentre | Target | Removal | Route | Policy):
        self.version = version
        self.body = body


class Snapshot(record.Record):
    r"""All objects of the configuration at one version."""

    __slots__ = (
        'version', 'services', 'data_centres', 'targets', 'routes',
        'policies')

    def __init__(
            self, version: int, services: tuple[Service, ...],
            data_centres: tuple[DataCentre, ...],
            targets: tuple[Target, ...], routes: tuple[Route, ...] = (),
            policies: tuple[Policy, ...] = ()):
        self.version = version
        self.services = services
        self.data_centres = data_centres
        self.targets = targets
        self.routes = routes
        self.policies = policies
