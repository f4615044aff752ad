r"""Indexed copy of the configuration that every node holds.

Explanation
===========

A catalogue only accepts changes of a higher version, so a node never goes
back to an older configuration. The indexes are updated incrementally: the
cost of a change doesn't grow with the number of targets of other services.
"""

import collections

from poplarstep.configuration import model
from poplarstep.core import registry

# Number of changes kept. A subscriber that lacks more receives a snapshot.
RETAINED_CHANGES = 2000

APPLIERS = registry.Registry('kind of change')


class Catalogue:
    r"""All objects of the configuration at one version, with indexes.

    ``former_by_address`` maps a former address to its service,
    ``selectable_by_service`` a service number to the targets that may take
    new flows. ``changes_since`` can answer for versions from
    ``oldest_base`` on.

    Examples
    ========

    >>> catalogue = Catalogue()
    >>> centre = model.DataCentre('maadi', 1, False, 1)
    >>> catalogue.apply([model.Change(1, centre)])
    True
    >>> catalogue.version
    1
    >>> catalogue.apply([model.Change(1, centre.replace(out=True))])
    False

    """

    __slots__ = (
        'version', 'service_by_number', 'service_by_name',
        'service_by_address', 'former_by_address', 'data_centre_by_number',
        'data_centre_by_name', 'target_by_number', 'target_by_name',
        'targets_by_service', 'selectable_by_service', 'changes',
        'oldest_base', 'route_by_number', 'route_by_name',
        'route_by_address', 'policy')

    def __init__(self):
        self.changes = collections.deque()
        self._clear(version=0)

    def _clear(self, version):
        self.version = version
        self.service_by_number = {}
        self.service_by_name = {}
        self.service_by_address = {}
        self.former_by_address = {}
        self.data_centre_by_number = {}
        self.data_centre_by_name = {}
        self.target_by_number = {}
        self.target_by_name = {}
        self.targets_by_service = {}
        self.selectable_by_service = {}
        self.route_by_number = {}
        self.route_by_name = {}
        self.route_by_address = {}
        self.policy = None
        self.changes.clear()
        self.oldest_base = version

    def apply(self, changes):
        r"""Apply the changes of one or more versions, in order.

        Returns whether anything was applied. Changes at or below the
        current version are ignored.
        """
        newer = [item for item in changes if item.version > self.version]
        affected = set()
        for change in newer:
            applier = APPLIERS.entry_by_name[type(change.body)]
            affected.update(applier(self, change.body))
            self.changes.append(change)
        if newer:
            self.version = max(item.version for item in newer)
            self._trim()
            for number in affected:
                self._rebuild_selectable(number)
        return bool(newer)

    def advance(self, version):
        r"""Raise the version past changes that this node was not sent.

        Returns whether the version is higher than before. The publisher
        omits changes that don't concern the node. They
        can't be forwarded later, so a subscriber with an older version needs
        a snapshot.
        """
        if version <= self.version:
            return False
        self.version = version
        self.oldest_base = version
        self.changes.clear()
        return True

    def restore(self, snapshot):
        r"""Replace the content with a snapshot of a higher version.

        Returns whether that was done; an older snapshot is ignored.
        """
        if snapshot.version <= self.version:
            return False
        self._clear(snapshot.version)
        bodies = (
            snapshot.services + snapshot.data_centres + snapshot.targets
            + snapshot.routes + snapshot.policies)
        for body in bodies:
            APPLIERS.entry_by_name[type(body)](self, body)
        for number in self.service_by_number:
            self._rebuild_selectable(number)
        return True

    def snapshot(self):
        r"""Return all objects as a ``Snapshot``."""
        return model.Snapshot(
            self.version,
            tuple(self.service_by_number.values()),
            tuple(self.data_centre_by_number.values()),
            tuple(self.target_by_number.values()),
            tuple(self.route_by_number.values()),
            (self.policy,) if self.policy else (),
        )

    def changes_since(self, version):
        r"""Return the changes after a version, or None to send all.

        None means that some of these changes are no longer retained or that
        they outnumber the objects of a snapshot.
        """
        if version < self.oldest_base:
            return None
        changes = []
        for change in reversed(self.changes):
            if change.version <= version:
                break
            changes.append(change)
        if len(changes) > self.object_count():
            return None
        changes.reverse()
        return tuple(changes)

    def object_count(self):
        r"""Return the number of objects in a snapshot."""
        return (
            len(self.service_by_number)
            + len(self.data_centre_by_number)
            + len(self.target_by_number)
            + len(self.route_by_number)
            + (self.policy is not None))

    def data_centre_out(self, number):
        r"""Return whether a data centre is out; unknown ones are in."""
        centre = self.data_centre_by_number.get(number)
        return centre is not None and centre.out

    def _trim(self):
        while len(self.changes) > RETAINED_CHANGES:
            self.oldest_base = self.changes.popleft().version
            # The changes of one version are kept or dropped together.
            while self.changes and (
                    self.changes[0].version == self.oldest_base):
                self.changes.popleft()

    def is_selectable(self, target):
        r"""Return whether a target may take new flows."""
        return not target.leaving and not target.drained and (
            not self.data_centre_out(target.data_centre))

    def _rebuild_selectable(self, service):
        targets = self.targets_by_service.get(service, {}).values()
        known = self.service_by_number.get(service)
        if known is None:
            # Numbers are never reused, so the entry can be dropped.
            self.selectable_by_service.pop(service, None)
            return
        if known.retired:
            self.selectable_by_service[service] = ()
            return
        self.selectable_by_service[service] = tuple(
            item for item in targets if self.is_selectable(item))


@APPLIERS.register(model.Service)
def _put_service(catalogue, service):
    _drop_service(catalogue, service.number)
    catalogue.service_by_number[service.number] = service
    catalogue.service_by_name[service.name] = service
    if service.address is not None:
        catalogue.service_by_address[service.address] = service
    for former in service.former_addresses:
        catalogue.former_by_address[former] = service
    return {service.number}


@APPLIERS.register(model.DataCentre)
def _put_data_centre(catalogue, centre):
    catalogue.data_centre_by_number[centre.number] = centre
    catalogue.data_centre_by_name[centre.name] = centre
    return set(catalogue.service_by_number)


@APPLIERS.register(model.Target)
def _put_target(catalogue, target):
    affected = _drop_target(catalogue, target.number)
    catalogue.target_by_number[target.number] = target
    catalogue.target_by_name[target.name] = target
    catalogue.targets_by_service.setdefault(
        target.service, {})[target.number] = target
    return affected | {target.service}


@APPLIERS.register(model.Route)
def _put_route(catalogue, route):
    _drop_route(catalogue, route.number)
    catalogue.route_by_number[route.number] = route
    catalogue.route_by_name[route.name] = route
    catalogue.route_by_address[route.address] = route
    return set()


@APPLIERS.register(model.Policy)
def _put_policy(catalogue, policy):
    catalogue.policy = policy
    return set()


@APPLIERS.register(model.Removal)
def _remove(catalogue, removal):
    drop = {
        'service': _drop_service, 'target': _drop_target,
        'route': _drop_route}
    return drop[removal.kind](catalogue, removal.number)


def _drop_service(catalogue, number):
    old = catalogue.service_by_number.pop(number, None)
    if old is None:
        return set()
    del catalogue.service_by_name[old.name]
    if catalogue.service_by_address.get(old.address) is old:
        del catalogue.service_by_address[old.address]
    for former in old.former_addresses:
        if catalogue.former_by_address.get(former) is old:
            del catalogue.former_by_address[former]
    return {number}


def _drop_route(catalogue, number):
    old = catalogue.route_by_number.pop(number, None)
    if old is None:
        return set()
    # Another route may have taken over the name or the address.
    if catalogue.route_by_name.get(old.name) is old:
        del catalogue.route_by_name[old.name]
    if catalogue.route_by_address.get(old.address) is old:
        del catalogue.route_by_address[old.address]
    return set()


def _drop_target(catalogue, number):
    old = catalogue.target_by_number.pop(number, None)
    if old is None:
        return set()
    if catalogue.target_by_name.get(old.name) is old:
        del catalogue.target_by_name[old.name]
    service_targets = catalogue.targets_by_service[old.service]
    del service_targets[number]
    if not service_targets:
        del catalogue.targets_by_service[old.service]
    return {old.service}
