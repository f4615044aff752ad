r"""State machine that the replicated log drives.

Explanation
===========

``apply_command`` is deterministic: every control host that applies the same
log reaches the same catalogue, numbers and outcomes. It reads no clock.

Recent outcomes of each client are stored, so that a command that is resent
after a lost answer is not applied twice.

``poplarstep.configuration.planners`` decides what each type of command
changes.
"""

from returns import result

from poplarstep.configuration import catalogue
from poplarstep.configuration import command
from poplarstep.configuration import model
from poplarstep.configuration import planners
from poplarstep.core import record

# A client sends one command at a time, so only a delayed duplicate needs an
# older outcome than the latest.
OUTCOMES_PER_SESSION = 16
# The least recently used session is dropped beyond this number.
MAXIMUM_SESSIONS = 4096
# Number of latest removals that are remembered. The refusal of a command for a
# removed object names the version of the removal.
MAXIMUM_TOMBSTONES = 256


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
    planner = planners.PLANNERS.entry_by_name[type(entry.body)]
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
