r"""State machine that the replicated log drives.

Explanation
===========

``apply_command`` is deterministic: every control host that applies the same
log reaches the same catalogue, numbers and outcomes. It reads no clock.

Recent outcomes of each client are stored, so that a command that is resent
after a lost answer is not applied twice.

Each type of command has a planner, which returns the bodies of the changes
(new or changed objects, and removals), or a failure that says why the command
is refused.
"""

from returns import result

from poplarstep.configuration import catalogue
from poplarstep.configuration import command
from poplarstep.configuration import model
from poplarstep.core import record
from poplarstep.core import registry

# A client sends one command at a time, so only a delayed duplicate needs an
# older outcome than the latest.
OUTCOMES_PER_SESSION = 16
# The least recently used session is dropped beyond this number.
MAXIMUM_SESSIONS = 4096
# Number of latest removals that are remembered. The refusal of a command for a
# removed object names the version of the removal.
MAXIMUM_TOMBSTONES = 256
# Number of remembered names of targets that expired while drained by
# operators. A target of such a name is drained again when it returns.
MAXIMUM_DRAINED = 4096

PLANNERS = registry.Registry('command')


class MachineSnapshot(record.Record):
    r"""Complete state of a ``Machine``, for the log and for storage."""

    __slots__ = (
        'catalogue', 'next_service', 'next_data_centre', 'next_target',
        'sessions', 'commands', 'tombstones', 'drained', 'next_route',
        'document')

    def __init__(
            self, catalogue: model.Snapshot, next_service: int,
            next_data_centre: int, next_target: int,
            sessions: tuple[command.Session, ...], commands: int,
            tombstones: tuple[command.Tombstone, ...] = (),
            drained: tuple[str, ...] = (), next_route: int = 1,
            document: bytes = b''):
        self.catalogue = catalogue
        self.next_service = next_service
        self.next_data_centre = next_data_centre
        self.next_target = next_target
        self.sessions = sessions
        self.commands = commands
        self.tombstones = tombstones
        self.drained = drained
        self.next_route = next_route
        self.document = document


class Machine:
    r"""State of the configuration's state machine.

    Parameters
    ==========

    next_service, next_data_centre, next_target, next_route : int
        Numbers that the next objects of these kinds get.
    session_by_client : dict
        Sessions in the order of their last use.
    commands : int
        Commands applied so far.
    tombstone_by_name : dict
        Tombstones of the latest removals, by kind and name.
    drained_names : dict
        Names, as keys, of targets that expired while drained.
    document : bytes
        The latest ``ReplaceConfiguration.document``.
    """

    __slots__ = (
        'catalogue', 'next_service', 'next_data_centre', 'next_target',
        'session_by_client', 'commands', 'tombstone_by_name',
        'drained_names', 'next_route', 'document')

    def __init__(self):
        self.catalogue = catalogue.Catalogue()
        self.next_service = 1
        self.next_data_centre = 1
        self.next_target = 1
        self.session_by_client = {}
        self.commands = 0
        self.tombstone_by_name = {}
        # A dictionary, not a set, because the oldest names are dropped first.
        self.drained_names = {}
        self.next_route = 1
        self.document = b''


def apply_command(machine, entry):
    r"""Apply one command of the log and return its ``Outcome``.

    Examples
    ========

    >>> machine = Machine()
    >>> out = command.SetDataCentre('maadi', True)
    >>> apply_command(machine, command.Command('ops', 1, 0, out))
    Outcome(status='applied', version=1, reason='')
    >>> apply_command(machine, command.Command('ops', 1, 0, out))
    Outcome(status='applied', version=1, reason='')
    >>> machine.catalogue.version
    1

    """
    machine.commands += 1
    if not entry.client:
        # Commands without a client are idempotent and need no session.
        return _execute(machine, entry)
    session = _use_session(machine, entry.client)
    stored = session.outcome_by_sequence.get(entry.sequence)
    if stored is not None:
        return stored
    if _is_outcome_dropped(session, entry.sequence):
        return command.Outcome(
            command.UNKNOWN, machine.catalogue.version,
            'the outcome of command %d of client %s is no longer stored'
            % (entry.sequence, entry.client))
    outcome = _execute(machine, entry)
    _store_outcome(session, entry.sequence, outcome)
    return outcome


def take_snapshot(machine):
    r"""Return a ``MachineSnapshot``."""
    return MachineSnapshot(
        machine.catalogue.snapshot(),
        machine.next_service,
        machine.next_data_centre,
        machine.next_target,
        tuple(
            item.replace(outcome_by_sequence=dict(item.outcome_by_sequence))
            for item in machine.session_by_client.values()),
        machine.commands,
        tuple(machine.tombstone_by_name.values()),
        tuple(machine.drained_names),
        machine.next_route,
        machine.document,
    )


def restore_snapshot(machine, snapshot):
    r"""Replace the state with a later ``MachineSnapshot``."""
    machine.catalogue.restore(snapshot.catalogue)
    machine.next_service = snapshot.next_service
    machine.next_data_centre = snapshot.next_data_centre
    machine.next_target = snapshot.next_target
    machine.session_by_client = {
        item.client: item.replace(
            outcome_by_sequence=dict(item.outcome_by_sequence))
        for item in snapshot.sessions}
    machine.commands = snapshot.commands
    machine.tombstone_by_name = {
        (item.kind, item.name): item for item in snapshot.tombstones}
    machine.drained_names = dict.fromkeys(snapshot.drained)
    machine.next_route = snapshot.next_route
    machine.document = snapshot.document


def _use_session(machine, client):
    session = machine.session_by_client.pop(client, None)
    if session is None:
        session = command.Session(client, 0, {})
    session.last_used = machine.commands
    # Re-insertion keeps the dictionary ordered by last use.
    machine.session_by_client[client] = session
    if len(machine.session_by_client) > MAXIMUM_SESSIONS:
        oldest = next(iter(machine.session_by_client))
        del machine.session_by_client[oldest]
    return session


def _is_outcome_dropped(session, sequence):
    outcomes = session.outcome_by_sequence
    return len(outcomes) >= OUTCOMES_PER_SESSION and sequence < min(outcomes)


def _store_outcome(session, sequence, outcome):
    session.outcome_by_sequence[sequence] = outcome
    if len(session.outcome_by_sequence) > OUTCOMES_PER_SESSION:
        del session.outcome_by_sequence[min(session.outcome_by_sequence)]


def _execute(machine, entry):
    planner = PLANNERS.entry_by_name[type(entry.body)]
    plan = planner(machine, entry)
    version = machine.catalogue.version
    if isinstance(plan, result.Failure):
        return command.Outcome(command.REFUSED, version, plan.failure())
    bodies = plan.unwrap()
    if bodies:
        version += 1
        _record_removals(machine, bodies, version)
        machine.catalogue.apply([
            model.Change(version, _with_version(body, version))
            for body in bodies])
    return command.Outcome(command.APPLIED, version, '')


def _with_version(body, version):
    if isinstance(body, model.Removal):
        return body
    return body.replace(changed=version)


def _record_removals(machine, bodies, version):
    object_index_by_kind = {
        'service': machine.catalogue.service_by_number,
        'target': machine.catalogue.target_by_number,
        'route': machine.catalogue.route_by_number,
    }
    tombstones = machine.tombstone_by_name
    for body in bodies:
        if isinstance(body, model.Removal):
            name = object_index_by_kind[body.kind][body.number].name
            tombstones.pop((body.kind, name), None)
            tombstones[body.kind, name] = command.Tombstone(
                body.kind, name, version)
    while len(tombstones) > MAXIMUM_TOMBSTONES:
        del tombstones[next(iter(tombstones))]


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
