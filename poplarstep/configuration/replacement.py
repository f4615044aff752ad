r"""Planner of the command that replaces the whole configuration.

Explanation
===========

Operators number each whole configuration with a revision; the highest
revision is in force. A revision that is not higher changes nothing and
counts as applied, so a resend gets the same answer as the first copy. Only
objects that differ are sent to the nodes: if one timeout differs among
hundreds of routes, one route is sent.

A flow stays where it was opened while its route's address has a route. A
service that the wanted configuration does not list is retired, and removed
with its targets once no route names it as a former service.
"""

from returns import result

from poplarstep.configuration import command
from poplarstep.configuration import model
from poplarstep.configuration import planners

# A whole configuration does not set these. Its services have no address,
# so their flows have no tokens and the drain deadline is never used.
DRAIN_DEADLINE_MS = 600_000
PRIORITY = 0
# Former services of an address that are remembered. The state machine has no
# clock, so they are not dropped when the last flow has ended. A route that
# moves more often within the lifetime of a flow loses the oldest flows.
MAXIMUM_FORMER_SERVICES = 16


@planners.PLANNERS.register(command.ReplaceConfiguration)
def replace(machine, entry):
    r"""Return the changes from the current to the wanted configuration."""
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
        services + _removed_routes(machine, wanted)
        + _changed_routes(machine, routes)
        + _unlisted_services(machine, wanted, routes)
        + [model.Policy(wanted.revision, wanted.flow_idle_ms, 0)])


def find_fault(wanted):
    r"""Return why a configuration is invalid, or an empty string.

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
            return 'route %s refers to unknown service %s' % (
                route.name, share.service)
        if share.weight < 0:
            return 'route %s has a negative weight' % route.name
    if not any(share.weight > 0 for share in route.shares):
        return 'no service takes flows of route %s' % route.name
    return ''


def _services(machine, wanted):
    r"""Return the services to add or to change."""
    changes = []
    for item in wanted.services:
        existing = machine.catalogue.service_by_name.get(item.name)
        if existing is None:
            changes.append(model.Service(
                item.name, machine.next_service, None, PRIORITY,
                DRAIN_DEADLINE_MS, (), 0, item.cold_per_second))
            machine.next_service += 1
            continue
        service = existing.replace(
            cold_per_second=item.cold_per_second, retired=False)
        if service != existing:
            changes.append(service)
    return changes


def _routes(machine, wanted, number_by_name):
    r"""Return the wanted routes with their numbers and former services."""
    routes = []
    for item in wanted.routes:
        existing = machine.catalogue.route_by_name.get(item.name)
        shares = tuple(
            model.Share(number_by_name[share.service], share.weight)
            for share in item.shares)
        number = machine.next_route if existing is None else existing.number
        changed = 0 if existing is None else existing.changed
        routes.append(model.Route(
            item.name, number, item.address, item.idempotent, item.priority,
            item.timeout_ms, item.objective_ms, shares, changed,
            _former_services(machine, item.address, shares)))
        if existing is None:
            machine.next_route += 1
    return routes


def _former_services(machine, route_address, shares):
    r"""Return the services that held the flows of an address before."""
    previous = machine.catalogue.route_by_address.get(route_address)
    if previous is None:
        return ()
    known = machine.catalogue.service_by_number
    present = {share.service for share in shares}
    former = [
        number for number in dict.fromkeys(model.services_of_flows(previous))
        if number in known and number not in present]
    return tuple(former[:MAXIMUM_FORMER_SERVICES])


def _changed_routes(machine, routes):
    r"""Return the routes that differ from those in force."""
    route_by_name = machine.catalogue.route_by_name
    return [item for item in routes if item != route_by_name.get(item.name)]


def _removed_routes(machine, wanted):
    names = {item.name for item in wanted.routes}
    return [
        model.Removal('route', route.number)
        for name, route in machine.catalogue.route_by_name.items()
        if name not in names]


def _unlisted_services(machine, wanted, routes):
    r"""Return the changes that retire or remove services.

    The removal of a service follows those of its targets.
    """
    names = {item.name for item in wanted.services}
    former = {
        number for route in routes for number in route.former_services}
    changes = []
    for name, service in machine.catalogue.service_by_name.items():
        if name in names:
            continue
        if service.number not in former:
            changes.extend(_removals(machine, service))
        elif not service.retired:
            changes.append(service.replace(retired=True))
    return changes


def _removals(machine, service):
    r"""Return the removals of the targets of a service and of itself."""
    targets = machine.catalogue.targets_by_service.get(service.number, {})
    return [model.Removal('target', number) for number in targets] + [
        model.Removal('service', service.number)]
