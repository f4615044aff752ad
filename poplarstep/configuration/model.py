r"""Objects of the configuration.

Explanation
===========

``changed`` is the configuration version at which an object last changed.
Numbers are assigned by the state machine and never used again, so a flow
token can't refer to an object that replaced another.
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
        Flows of a draining target may go on for this long.
    former_addresses : tuple of Address
        Earlier addresses; established flows may still use them.
    """

    __slots__ = (
        'name', 'number', 'address', 'priority', 'drain_deadline_ms',
        'former_addresses', 'changed')

    def __init__(
            self, name: str, number: int, address: address.Address,
            priority: int, drain_deadline_ms: int,
            former_addresses: tuple[address.Address, ...], changed: int):
        self.name = name
        self.number = number
        self.address = address
        self.priority = priority
        self.drain_deadline_ms = drain_deadline_ms
        self.former_addresses = former_addresses
        self.changed = changed


class DataCentre(record.Record):
    r"""A data centre and whether operators have taken it out."""

    __slots__ = ('name', 'number', 'out', 'changed')

    def __init__(self, name: str, number: int, out: bool, changed: int):
        self.name = name
        self.number = number
        self.out = out
        self.changed = changed


class Announcement(record.Record):
    r"""What the agent of a target says about it.

    Parameters
    ==========

    name : str
        Name of the agent's node, unique in the system.
    incarnation : int
        Start of the agent process; a later start has a larger number.
    revision : int
        Counts the announcements of one incarnation.
    slots : int
        Requests that the target can run at a time.
    connections : int
        Flows that the target can hold.
    leaving : bool
        The target takes no new work.
    """

    __slots__ = (
        'name', 'service', 'data_centre', 'agent', 'incarnation',
        'revision', 'slots', 'connections', 'leaving')

    def __init__(
            self, name: str, service: str, data_centre: str,
            agent: address.Address, incarnation: int, revision: int,
            slots: int, connections: int, leaving: bool):
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
    r"""A target as the configuration knows it.

    ``service`` and ``data_centre`` are numbers; ``drained`` is set by
    operators, ``leaving`` by the target itself.
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
    r"""An object was removed; ``kind`` is ``service`` or ``target``."""

    __slots__ = ('kind', 'number')

    def __init__(self, kind: str, number: int):
        self.kind = kind
        self.number = number


class Change(record.Record):
    r"""One object changed or went at a version."""

    __slots__ = ('version', 'body')

    def __init__(
            self, version: int,
            body: Service | DataCentre | Target | Removal):
        self.version = version
        self.body = body


class Snapshot(record.Record):
    r"""All objects of one version."""

    __slots__ = ('version', 'services', 'data_centres', 'targets')

    def __init__(
            self, version: int, services: tuple[Service, ...],
            data_centres: tuple[DataCentre, ...],
            targets: tuple[Target, ...]):
        self.version = version
        self.services = services
        self.data_centres = data_centres
        self.targets = targets
