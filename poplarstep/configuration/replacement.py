r"""Planner of a whole configuration that replaces the former one.

Explanation
===========

The operator numbers whole configurations itself; the highest number is in
force. A number that is not higher changes nothing and counts as applied, so
a resend is answered like the first copy. Only the objects that differ get a
change, so a configuration of hundreds of routes in which one time limit
differs costs the nodes one route.
"""

from returns import result

from poplarstep.configuration import command
from poplarstep.configuration import machine as machines
from poplarstep.configuration import model

# Services without an address of their own have no flow tokens to protect.
DRAIN_DEADLINE_MS = 600_000
PRIORITY = 0


@machines.PLANNERS.register(command.ReplaceConfiguration)
def replace(machine, entry):
    r"""Return the changes from the present configuration to the wanted."""
    wanted = entry.body
    fault = find_fault(wanted)
    if fault:
        return result.Failure(fault)
    policy = machine.catalogue.policy
    if policy is not None and wanted.revision <= policy.revision:
        return result.Success([])
    services = _services(machine, wanted)
    number_by_name = {
        name: service.number
        for name, service in machine.catalogue.service_by_name.items()}
    number_by_name.update(
        (item.name, item.number) for item in services)
    routes = _routes(machine, wanted, number_by_name)
    machine.document = wanted.document
    return result.Success(
        services + _removed_routes(machine, wanted) + routes
        + _removed_services(machine, wanted)
        + [model.Policy(wanted.revision, wanted.flow_idle_ms, 0)])


def find_fault(wanted):
    r"""Return why a configuration is invalid, or an empty text.

    Examples
    ========

    >>> find_fault(command.ReplaceConfiguration(3, (), (), 1000, b''))
    ''

    """
    names = {item.name for item in wanted.services}
    if len(names) < len(wanted.services):
        return 'two services have the same name'
    addresses = set()
    route_names = set()
    for route in wanted.routes:
        if route.name in route_names:
            return 'two routes have the name %s' % route.name
        if route.address in addresses:
            return 'two routes have the address %s' % route.address
        fault = _route_fault(route, names)
        if fault:
            return fault
        route_names.add(route.name)
        addresses.add(route.address)
    return ''


def _route_fault(route, service_names):
    if route.timeout_ms <= 0:
        return 'route %s has no time limit' % route.name
    for share in route.shares:
        if share.service not in service_names:
            return 'route %s names the unknown service %s' % (
                route.name, share.service)
        if share.weight < 0:
            return 'route %s has a negative weight' % route.name
    if not any(share.weight > 0 for share in route.shares):
        return 'no service takes flows of route %s' % route.name
    return ''


def _services(machine, wanted):
    r"""Return the services that are new or differ."""
    changes = []
    for item in wanted.services:
        known = machine.catalogue.service_by_name.get(item.name)
        if known is None:
            changes.append(model.Service(
                item.name, machine.next_service, None, PRIORITY,
                DRAIN_DEADLINE_MS, (), 0, item.cold_per_second))
            machine.next_service += 1
        elif known.cold_per_second != item.cold_per_second:
            changes.append(known.replace(
                cold_per_second=item.cold_per_second))
    return changes


def _routes(machine, wanted, number_by_name):
    r"""Return the routes that are new or differ."""
    changes = []
    for item in wanted.routes:
        known = machine.catalogue.route_by_name.get(item.name)
        shares = tuple(
            model.Share(number_by_name[share.service], share.weight)
            for share in item.shares)
        number = machine.next_route if known is None else known.number
        changed = 0 if known is None else known.changed
        route = model.Route(
            item.name, number, item.address, item.idempotent, item.priority,
            item.timeout_ms, item.objective_ms, shares, changed)
        if known is None:
            machine.next_route += 1
        if route != known:
            changes.append(route)
    return changes


def _removed_routes(machine, wanted):
    names = {item.name for item in wanted.routes}
    return [
        model.Removal('route', route.number)
        for name, route in machine.catalogue.route_by_name.items()
        if name not in names]


def _removed_services(machine, wanted):
    r"""Return the removals of services, with their targets first."""
    names = {item.name for item in wanted.services}
    removals = []
    for name, service in machine.catalogue.service_by_name.items():
        if name in names:
            continue
        targets = machine.catalogue.targets_by_service.get(
            service.number, {})
        removals.extend(model.Removal('target', number) for number in targets)
        removals.append(model.Removal('service', service.number))
    return removals
