r"""Stage of a control host that answers operators' queries."""

from poplarstep.configuration import model
from poplarstep.control import intake
from poplarstep.control import message
from poplarstep.core import registry
from poplarstep.core import stage
from poplarstep.dissemination import reporting
from poplarstep.language import statement

QUERY = stage.Stage('query')
# Handlers by statement type: (state, statement, now) -> (columns, rows).
ANSWERS = stage.Stage('answers to queries')
# Functions by type of changed object that describe a change:
# (state, change body, version) -> (kind, name, content).
DESCRIPTIONS = registry.Registry('object of a change')
# The status of a node that is silent for longer has missed its refresh.
SILENT_AFTER_MS = intake.TARGET_EXPIRY_MS - intake.FAILOVER_MS


class QueryState:
    r"""State that queries read.

    Parameters
    ==========

    machine : Machine
        State machine with the committed commands applied.
    reports : Reports
        Announcements and statuses of nodes.
    current : callable
        Takes ``now`` and returns whether this host is the leader and holds
        its lease, so that its state is current.
    leader_name : callable
        Returns the name of the leader, or an empty string.
    control_rows : callable
        Returns the rows of ``show control``.
    """

    __slots__ = (
        'machine', 'reports', 'current', 'leader_name', 'control_rows')

    def __init__(
            self, machine, reports, current, leader_name, control_rows):
        self.machine = machine
        self.reports = reports
        self.current = current
        self.leader_name = leader_name
        self.control_rows = control_rows


def make_query_state(machine, reports, current, leader_name, control_rows):
    r"""Return the state of the query stage."""
    return QueryState(machine, reports, current, leader_name, control_rows)


@QUERY.handles(message.OperatorQuery)
def operator_query(state: 'QueryState', event, now):
    r"""Answer a query from the state machine's state."""
    columns, rows = ANSWERS.process(state, event.statement, now)
    return [message.QueryReply(
        event.key, columns, tuple(rows), state.current(now),
        state.leader_name(), state.machine.catalogue.version)]


@QUERY.handles(message.ReadConfiguration)
def read_configuration(state: 'QueryState', event, now):
    r"""Answer with the document of the configuration in force."""
    return [message.ConfigurationReply(
        event.key, state.machine.document, state.current(now))]


@ANSWERS.handles(statement.ShowVersion)
def show_version(state, parsed, now):
    r"""Answer ``show version``."""
    return ('version',), [(state.machine.catalogue.version,)]


@ANSWERS.handles(statement.ShowServices)
def show_services(state, parsed, now):
    r"""Answer ``show services``."""
    catalogue = state.machine.catalogue
    rows = [
        (item.name, item.number, str(item.address), item.priority,
         len(catalogue.targets_by_service.get(item.number, {})),
         len(catalogue.selectable_by_service.get(item.number, ())),
         item.changed)
        for item in catalogue.service_by_name.values()]
    return (
        'service', 'number', 'address', 'priority', 'targets',
        'selectable', 'changed'), rows


@ANSWERS.handles(statement.ShowDataCentres)
def show_data_centres(state, parsed, now):
    r"""Answer ``show data-centres``."""
    catalogue = state.machine.catalogue
    count_by_number = {}
    for target in catalogue.target_by_number.values():
        count_by_number[target.data_centre] = (
            count_by_number.get(target.data_centre, 0) + 1)
    rows = [
        (item.name, item.number, 'out' if item.out else 'in',
         count_by_number.get(item.number, 0), item.changed)
        for item in catalogue.data_centre_by_name.values()]
    return ('data-centre', 'number', 'state', 'targets', 'changed'), rows


@ANSWERS.handles(statement.ShowTargets)
def show_targets(state, parsed, now):
    r"""Answer ``show targets``."""
    catalogue = state.machine.catalogue
    rows = []
    for target in catalogue.target_by_name.values():
        service = catalogue.service_by_number[target.service].name
        centre = catalogue.data_centre_by_number[target.data_centre].name
        if parsed.service not in (None, service) or (
                parsed.data_centre not in (None, centre)):
            continue
        rows.append((
            target.name, target.number, service, centre,
            ', '.join(obstacles(state, target, now)) or 'selectable',
            target.slots, str(target.agent), target.changed))
    return (
        'target', 'number', 'service', 'data-centre', 'state', 'slots',
        'agent', 'changed'), rows


@ANSWERS.handles(statement.ShowWhy)
def show_why(state: 'QueryState', parsed, now):
    r"""Answer ``show why target``: why a target gets no new flows."""
    target = state.machine.catalogue.target_by_name.get(parsed.name)
    if target is None:
        found = [_absence_reason(state, parsed.name)]
    else:
        found = obstacles(state, target, now) + _agent_obstacles(
            state, target, now)
    return ('target', 'obstacle'), [
        (parsed.name, item)
        for item in found or ['none; balancers select it']]


def _absence_reason(state: 'QueryState', name):
    r"""Return why a target is not in the configuration."""
    announced = state.reports.announcement_by_name.get(name)
    if announced is None:
        if name in state.reports.status_by_node:
            return 'has not announced itself; its agent runs'
        return 'has not announced itself'
    if announced.service not in state.machine.catalogue.service_by_name:
        return 'service %s does not exist' % announced.service
    return 'has announced itself; not in the configuration yet'


def _agent_obstacles(state: 'QueryState', target, now):
    r"""Return the obstacle, if any, of a silent or restarted agent.

    Only the leader reports them, because a follower receives the statuses
    of only some agents.
    """
    if not state.current(now):
        return []
    status = state.reports.status_by_node.get(target.name)
    if status is None:
        return ['agent not heard since this host leads']
    if status.short_incarnation != reporting.shorten_incarnation(
            target.incarnation):
        return ['agent has restarted; its target has not announced itself']
    silent = now - status.heard_at
    if silent > SILENT_AFTER_MS:
        return ['agent silent for %d ms' % silent]
    return []


@ANSWERS.handles(statement.ShowNodes)
def show_nodes(state: 'QueryState', parsed, now):
    r"""Answer ``show nodes``: the configuration version of each node."""
    version = state.machine.catalogue.version
    rows = [
        (node, status.role, status.version, version - status.version,
         now - status.heard_at, _node_state(version - status.version,
                                            now - status.heard_at))
        for node, status in sorted(state.reports.status_by_node.items())]
    return (
        'node', 'role', 'version', 'behind', 'silent_ms', 'state'), rows


def _node_state(behind, silent):
    if silent > SILENT_AFTER_MS:
        return 'silent'
    return 'BEHIND' if behind > 0 else 'current'


@ANSWERS.handles(statement.ShowControl)
def show_control(state, parsed, now):
    r"""Answer ``show control``."""
    return (
        'host', 'address', 'state', 'voter', 'match'), state.control_rows()


@ANSWERS.handles(statement.ShowChanges)
def show_changes(state: 'QueryState', parsed, now):
    r"""Answer ``show changes``: the retained changes after a version."""
    since = parsed.since or 0
    rows = [
        (change.version,) + DESCRIPTIONS.entry_by_name[type(change.body)](
            state, change.body, change.version)
        for change in state.machine.catalogue.changes
        if change.version > since]
    return ('version', 'kind', 'name', 'content'), rows


def obstacles(state: 'QueryState', target, now):
    r"""Return the reasons for which a target receives no new flows."""
    catalogue = state.machine.catalogue
    found = []
    if target.leaving:
        found.append('leaving')
    if target.drained:
        found.append('drained by operators')
    if catalogue.service_by_number[target.service].retired:
        found.append('service retired')
    if catalogue.data_centre_out(target.data_centre):
        found.append('data centre out')
    return found


@DESCRIPTIONS.register(model.Service)
def _describe_service(state: 'QueryState', service, version):
    text = 'address %s, priority %d, drain deadline %d ms' % (
        service.address, service.priority, service.drain_deadline_ms)
    if service.former_addresses:
        text += ', formerly %s' % ', '.join(
            str(item) for item in service.former_addresses)
    if service.retired:
        text += ', retired'
    return 'service', service.name, text


@DESCRIPTIONS.register(model.DataCentre)
def _describe_data_centre(state: 'QueryState', centre, version):
    return 'data centre', centre.name, 'out' if centre.out else 'in'


@DESCRIPTIONS.register(model.Target)
def _describe_target(state: 'QueryState', target, version):
    service = state.machine.catalogue.service_by_number.get(target.service)
    flags = [name for name in ('leaving', 'drained')
             if getattr(target, name)]
    return 'target', target.name, ', '.join([
        'service %s' % (service.name if service else target.service),
        'agent %s' % target.agent, '%d slots' % target.slots] + flags)


@DESCRIPTIONS.register(model.Route)
def _describe_route(state, route, version):
    names = state.machine.catalogue.service_by_number
    return 'route', route.name, 'address %s, priority %d, %s' % (
        route.address, route.priority, ', '.join(
            '%s weight %d' % (
                names[share.service].name if share.service in names
                else share.service, share.weight)
            for share in route.shares))


@DESCRIPTIONS.register(model.Policy)
def _describe_policy(state, policy, version):
    return 'policy', 'revision %d' % policy.revision, (
        'flow idle time %d ms' % policy.flow_idle_ms)


@DESCRIPTIONS.register(model.Removal)
def _describe_removal(state: 'QueryState', removal, version):
    names = [
        item.name for item in state.machine.tombstone_by_name.values()
        if item.kind == removal.kind and item.version == version]
    # A removal has no name. If several targets were removed at one version,
    # only the numbers distinguish them.
    name = names[0] if len(names) == 1 else 'number %d' % removal.number
    return removal.kind, name, 'removed'
