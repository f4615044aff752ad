r"""Planners of the commands that change single objects.

Explanation
===========

Each type of command has a planner, which returns the bodies of the changes
(new or changed objects, and removals), or a failure that says why the command
is refused. A planner is deterministic: it depends on the state machine and
the command only.
"""

from returns import result

from poplarstep.configuration import command
from poplarstep.configuration import model
from poplarstep.core import registry

# Number of remembered names of targets that expired while drained by
# operators. A target of such a name is drained again when it returns.
MAXIMUM_DRAINED = 4096

# Functions ``(machine, entry)`` by the type of the command's body.
PLANNERS = registry.Registry('command')


def _refuse_absent(machine, kind, name):
    r"""Refuse a command for an object that does not exist."""
    tombstone = machine.tombstone_by_name.get((kind, name))
    reason = '%s %s does not exist' % (kind, name)
    if tombstone is not None:
        reason += '; it was removed at version %d' % tombstone.version
    return result.Failure(reason)


def _refuse_taken_address(address, owner):
    return result.Failure('address %s belongs to service %s: %r' % (
        address, owner.name, owner))


def _check_unchanged_since_base(entry, existing, kind):
    r"""Refuse a command if its object changed after ``based_on``."""
    if existing.changed > entry.based_on:
        return result.Failure(
            '%s %s changed at version %d, after version %d that the command '
            'was based on; it is now %r'
            % (kind, existing.name, existing.changed, entry.based_on,
               existing))
    return result.Success(existing)


@PLANNERS.register(command.CreateService)
def _create_service(machine, entry):
    body = entry.body
    existing = machine.catalogue.service_by_name.get(body.name)
    if existing is not None:
        return result.Failure(
            'service %s exists since version %d: %r'
            % (body.name, existing.changed, existing))
    owner = machine.catalogue.service_by_address.get(body.address)
    if owner is not None:
        return _refuse_taken_address(body.address, owner)
    number = machine.next_service
    machine.next_service += 1
    created = model.Service(
        body.name, number, body.address, body.priority,
        body.drain_deadline_ms, (), 0)
    return result.Success(
        _release_former_address(machine, body.address, number) + [created])


@PLANNERS.register(command.ChangeService)
def _change_service(machine, entry):
    body = entry.body
    existing = machine.catalogue.service_by_name.get(body.name)
    if existing is None:
        return _refuse_absent(machine, 'service', body.name)
    checked = _check_unchanged_since_base(entry, existing, 'service')
    if isinstance(checked, result.Failure):
        return checked
    bodies = []
    changed = existing
    if body.address is not None and body.address != existing.address:
        owner = machine.catalogue.service_by_address.get(body.address)
        if owner is not None:
            return _refuse_taken_address(body.address, owner)
        bodies = _release_former_address(
            machine, body.address, existing.number)
        former = [
            item for item in existing.former_addresses + (existing.address,)
            if item != body.address]
        changed = changed.replace(
            address=body.address, former_addresses=tuple(former))
    if body.priority is not None:
        changed = changed.replace(priority=body.priority)
    if body.drain_deadline_ms is not None:
        changed = changed.replace(drain_deadline_ms=body.drain_deadline_ms)
    return result.Success(bodies + [changed])


def _release_former_address(machine, address, except_number):
    r"""Return the service that loses a former address to a new owner.

    The result is a list of at most one changed service. A service that
    takes its own former address again is handled by ``_change_service``.
    """
    former_owner = machine.catalogue.former_by_address.get(address)
    if former_owner is None or former_owner.number == except_number:
        return []
    return [former_owner.replace(former_addresses=tuple(
        item for item in former_owner.former_addresses if item != address))]


@PLANNERS.register(command.RemoveService)
def _remove_service(machine, entry):
    existing = machine.catalogue.service_by_name.get(entry.body.name)
    if existing is None:
        return _refuse_absent(machine, 'service', entry.body.name)
    checked = _check_unchanged_since_base(entry, existing, 'service')
    if isinstance(checked, result.Failure):
        return checked
    targets = machine.catalogue.targets_by_service.get(existing.number)
    if targets:
        return result.Failure(
            'service %s still has %d targets' % (existing.name, len(targets)))
    return result.Success([model.Removal('service', existing.number)])


@PLANNERS.register(command.SetDataCentre)
def _set_data_centre(machine, entry):
    body = entry.body
    existing = machine.catalogue.data_centre_by_name.get(body.name)
    if existing is None:
        existing = _new_data_centre(machine, body.name)
    else:
        checked = _check_unchanged_since_base(entry, existing, 'data centre')
        if isinstance(checked, result.Failure):
            return checked
    return result.Success([existing.replace(out=body.out)])


def _new_data_centre(machine, name):
    number = machine.next_data_centre
    machine.next_data_centre += 1
    return model.DataCentre(name, number, False, 0)


@PLANNERS.register(command.DrainTarget)
def _drain_target(machine, entry):
    body = entry.body
    existing = machine.catalogue.target_by_name.get(body.name)
    if existing is None and not body.drained and (
            body.name in machine.drained_names):
        del machine.drained_names[body.name]
        return result.Success([])
    if existing is None:
        return _refuse_absent(machine, 'target', body.name)
    checked = _check_unchanged_since_base(entry, existing, 'target')
    if isinstance(checked, result.Failure):
        return checked
    return result.Success([existing.replace(drained=body.drained)])


@PLANNERS.register(command.Announce)
def _announce(machine, entry):
    bodies = []
    new_centre_by_name = {}
    latest_by_name = {}
    for announcement in entry.body.announcements:
        latest = latest_by_name.get(announcement.name)
        if latest is None or _recency(announcement) > _recency(latest):
            latest_by_name[announcement.name] = announcement
    for announcement in latest_by_name.values():
        service = machine.catalogue.service_by_name.get(
            announcement.service)
        if service is None:
            continue
        centre = machine.catalogue.data_centre_by_name.get(
            announcement.data_centre)
        if centre is None:
            centre = new_centre_by_name.get(announcement.data_centre)
        if centre is None:
            centre = _new_data_centre(machine, announcement.data_centre)
            new_centre_by_name[centre.name] = centre
        bodies.extend(
            _plan_announcement(machine, announcement, service, centre))
    return result.Success(list(new_centre_by_name.values()) + bodies)


def _recency(announcement):
    return announcement.incarnation, announcement.revision


def _plan_announcement(machine, announcement, service, centre):
    r"""Return the changes that one announcement causes.

    A target that moved to another service or data centre gets a new number,
    so that no token refers to the target at its former service.
    """
    existing = machine.catalogue.target_by_name.get(announcement.name)
    if existing is not None and _recency(announcement) <= _recency(existing):
        return []
    bodies = []
    drained = announcement.name in machine.drained_names
    if existing is not None and (
            existing.service == service.number
            and existing.data_centre == centre.number):
        number = existing.number
        drained = existing.drained
    else:
        if existing is not None:
            bodies.append(model.Removal('target', existing.number))
        number = machine.next_target
        machine.next_target += 1
        machine.drained_names.pop(announcement.name, None)
    bodies.append(model.Target(
        announcement.name, number, service.number, centre.number,
        announcement.agent, announcement.incarnation, announcement.revision,
        announcement.slots, announcement.connections, announcement.leaving,
        drained, 0))
    return bodies


@PLANNERS.register(command.ExpireTargets)
def _expire_targets(machine, entry):
    bodies = []
    for expiry in entry.body.targets:
        existing = machine.catalogue.target_by_name.get(expiry.name)
        if existing is not None and existing.incarnation == expiry.incarnation:
            bodies.append(model.Removal('target', existing.number))
            if existing.drained:
                machine.drained_names[existing.name] = None
    while len(machine.drained_names) > MAXIMUM_DRAINED:
        del machine.drained_names[next(iter(machine.drained_names))]
    return result.Success(bodies)
