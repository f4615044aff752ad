r"""Stage of a control host that answers operators' queries."""

from poplarstep.control import message
from poplarstep.core import stage
from poplarstep.language import statement

QUERY = stage.Stage('query')
# Queries by statement type: (state, statement, now) -> (columns, rows).
ANSWERS = stage.Stage('answers to queries')


class QueryState:
    r"""What queries may read.

    Parameters
    ==========

    machine : Machine
        The applied state.
    gathered : Gathering
        Positions of nodes.
    current : callable
        Takes ``now`` and returns whether this host may claim that its state
        is current.
    leader_name : callable
        Returns the name of the leader, or an empty string.
    control_rows : callable
        Returns the rows about control hosts.
    """

    __slots__ = (
        'machine', 'gathered', 'current', 'leader_name', 'control_rows')

    def __init__(
            self, machine, gathered, current, leader_name, control_rows):
        self.machine = machine
        self.gathered = gathered
        self.current = current
        self.leader_name = leader_name
        self.control_rows = control_rows


def make_query_state(machine, gathered, current, leader_name, control_rows):
    r"""Return the state of the query stage."""
    return QueryState(machine, gathered, current, leader_name, control_rows)


@QUERY.handles(message.OperatorQuery)
def operator_query(state, event, now):
    r"""Answer a query from the applied state."""
    columns, rows = ANSWERS.process(state, event.statement, now)
    return [message.QueryReply(
        event.key, columns, tuple(rows), state.current(now),
        state.leader_name(), state.machine.catalogue.version)]


@ANSWERS.handles(statement.ShowVersion)
def show_version(state, asked, now):
    r"""Answer ``show version``."""
    return ('version',), [(state.machine.catalogue.version,)]


@ANSWERS.handles(statement.ShowServices)
def show_services(state, asked, now):
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
def show_data_centres(state, asked, now):
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
def show_targets(state, asked, now):
    r"""Answer ``show targets``."""
    catalogue = state.machine.catalogue
    rows = []
    for target in catalogue.target_by_name.values():
        service = catalogue.service_by_number[target.service].name
        centre = catalogue.data_centre_by_number[target.data_centre].name
        if asked.service not in (None, service) or (
                asked.data_centre not in (None, centre)):
            continue
        rows.append((
            target.name, target.number, service, centre,
            ', '.join(obstacles(state, target, now)) or 'selectable',
            target.slots, str(target.agent), target.changed))
    return (
        'target', 'number', 'service', 'data-centre', 'state', 'slots',
        'agent', 'changed'), rows


@ANSWERS.handles(statement.ShowWhy)
def show_why(state, asked, now):
    r"""Answer ``show why target``: what keeps new flows from it."""
    target = state.machine.catalogue.target_by_name.get(asked.name)
    if target is None:
        return ('target', 'obstacle'), [
            (asked.name, 'has not announced itself')]
    found = obstacles(state, target, now) or [
        'none; balancers select it']
    return ('target', 'obstacle'), [(asked.name, item) for item in found]


@ANSWERS.handles(statement.ShowNodes)
def show_nodes(state, asked, now):
    r"""Answer ``show nodes``: the version in force on each node."""
    version = state.machine.catalogue.version
    rows = [
        (node, heard.role, heard.version, version - heard.version,
         now - heard.at)
        for node, heard in sorted(state.gathered.heard_by_node.items())]
    return ('node', 'role', 'version', 'behind', 'silent_ms'), rows


@ANSWERS.handles(statement.ShowControl)
def show_control(state, asked, now):
    r"""Answer ``show control``."""
    return (
        'host', 'address', 'state', 'voter', 'match'), state.control_rows()


@ANSWERS.handles(statement.ShowChanges)
def show_changes(state, asked, now):
    r"""Answer ``show changes``: the retained changes after a version."""
    since = asked.since or 0
    rows = [
        (change.version, type(change.body).__name__, repr(change.body))
        for change in state.machine.catalogue.changes
        if change.version > since]
    return ('version', 'kind', 'object'), rows


def obstacles(state, target, now):
    r"""Return the reasons for which a target receives no new flows."""
    catalogue = state.machine.catalogue
    found = []
    if target.leaving:
        found.append('leaving')
    if target.drained:
        found.append('drained by operators')
    if catalogue.data_centre_out(target.data_centre):
        found.append('data centre out')
    return found
