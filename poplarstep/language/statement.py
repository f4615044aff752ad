r"""Statements of the operators' language.

Explanation
===========

Each statement is a record that is registered under the name of its grammar
rule. Its text consists of ``CLAUSES``, which are format strings with the names
of fields. The field of a clause that the operator left out is None;
``format_statement`` leaves out such a clause as well.
A field whose name ends in ``_ms`` holds integer milliseconds and is written
as a duration.
"""

from poplarstep.core import address
from poplarstep.core import record
from poplarstep.core import registry
from poplarstep.language import value

STATEMENTS = registry.Registry('statement')


class Statement(record.Record):
    r"""Base class of all statements."""

    __slots__ = ()

    CLAUSES = ()


class Command(Statement):
    r"""Statement that changes the configuration or the control hosts."""

    __slots__ = ()


class Query(Statement):
    r"""Statement that changes nothing: it reads or waits."""

    __slots__ = ()


@STATEMENTS.register('create_service')
class CreateService(Command):
    r"""Create a service; settings that are None take the defaults."""

    __slots__ = (
        'name', 'address', 'priority', 'drain_deadline_ms', 'based_on')

    CLAUSES = (
        'create service {name}', 'address {address}', 'priority {priority}',
        'drain-deadline {drain_deadline_ms}', 'based-on {based_on}')

    def __init__(
            self, name: str, address: address.Address,
            priority: int | None = None,
            drain_deadline_ms: int | None = None,
            based_on: int | None = None):
        self.name = name
        self.address = address
        self.priority = priority
        self.drain_deadline_ms = drain_deadline_ms
        self.based_on = based_on


@STATEMENTS.register('change_service')
class ChangeService(Command):
    r"""Change a service; settings that are None stay as they are."""

    __slots__ = (
        'name', 'address', 'priority', 'drain_deadline_ms', 'based_on')

    CLAUSES = (
        'change service {name}', 'address {address}', 'priority {priority}',
        'drain-deadline {drain_deadline_ms}', 'based-on {based_on}')

    def __init__(
            self, name: str, address: address.Address | None = None,
            priority: int | None = None,
            drain_deadline_ms: int | None = None,
            based_on: int | None = None):
        self.name = name
        self.address = address
        self.priority = priority
        self.drain_deadline_ms = drain_deadline_ms
        self.based_on = based_on


@STATEMENTS.register('remove_service')
class RemoveService(Command):
    r"""Remove a service."""

    __slots__ = ('name', 'based_on')

    CLAUSES = ('remove service {name}', 'based-on {based_on}')

    def __init__(self, name: str, based_on: int | None = None):
        self.name = name
        self.based_on = based_on


@STATEMENTS.register('take_data_centre')
class TakeDataCentre(Command):
    r"""Take a data centre out of service or back in.

    ``state`` is ``'out'`` or ``'in'``.
    """

    __slots__ = ('name', 'state', 'based_on')

    CLAUSES = ('take data-centre {name}', '{state}', 'based-on {based_on}')

    def __init__(self, name: str, state: str, based_on: int | None = None):
        self.name = name
        self.state = state
        self.based_on = based_on


@STATEMENTS.register('drain_target')
class DrainTarget(Command):
    r"""Drain a target: it receives no new flows."""

    __slots__ = ('name', 'based_on')

    CLAUSES = ('drain target {name}', 'based-on {based_on}')

    def __init__(self, name: str, based_on: int | None = None):
        self.name = name
        self.based_on = based_on


@STATEMENTS.register('undrain_target')
class UndrainTarget(Command):
    r"""End the drain of a target."""

    __slots__ = ('name', 'based_on')

    CLAUSES = ('undrain target {name}', 'based-on {based_on}')

    def __init__(self, name: str, based_on: int | None = None):
        self.name = name
        self.based_on = based_on


@STATEMENTS.register('add_control')
class AddControl(Command):
    r"""Add a control host as a learner."""

    __slots__ = ('name', 'address')

    CLAUSES = ('add control {name}', '{address}')

    def __init__(self, name: str, address: address.Address):
        self.name = name
        self.address = address


@STATEMENTS.register('promote_control')
class PromoteControl(Command):
    r"""Make a learner a voter."""

    __slots__ = ('name',)

    CLAUSES = ('promote control {name}',)

    def __init__(self, name: str):
        self.name = name


@STATEMENTS.register('remove_control')
class RemoveControl(Command):
    r"""Remove a control host."""

    __slots__ = ('name',)

    CLAUSES = ('remove control {name}',)

    def __init__(self, name: str):
        self.name = name


@STATEMENTS.register('replace_control')
class ReplaceControl(Command):
    r"""Replace the control host ``name`` by ``new_name`` at ``address``."""

    __slots__ = ('name', 'new_name', 'address')

    CLAUSES = ('replace control {name}', 'by {new_name}', '{address}')

    def __init__(self, name: str, new_name: str, address: address.Address):
        self.name = name
        self.new_name = new_name
        self.address = address


@STATEMENTS.register('show_version')
class ShowVersion(Query):
    r"""Show the version of the configuration."""

    __slots__ = ()

    CLAUSES = ('show version',)


@STATEMENTS.register('show_services')
class ShowServices(Query):
    r"""Show the services."""

    __slots__ = ()

    CLAUSES = ('show services',)


@STATEMENTS.register('show_data_centres')
class ShowDataCentres(Query):
    r"""Show the data centres and their states."""

    __slots__ = ()

    CLAUSES = ('show data-centres',)


@STATEMENTS.register('show_targets')
class ShowTargets(Query):
    r"""Show targets, all or those of a service or a data centre."""

    __slots__ = ('service', 'data_centre')

    CLAUSES = (
        'show targets', 'service {service}', 'data-centre {data_centre}')

    def __init__(
            self, service: str | None = None,
            data_centre: str | None = None):
        self.service = service
        self.data_centre = data_centre


@STATEMENTS.register('show_nodes')
class ShowNodes(Query):
    r"""Show the nodes and the versions in force on them."""

    __slots__ = ()

    CLAUSES = ('show nodes',)


@STATEMENTS.register('show_flows')
class ShowFlows(Query):
    r"""Show how many flows are open."""

    __slots__ = ()

    CLAUSES = ('show flows',)


@STATEMENTS.register('show_refusals')
class ShowRefusals(Query):
    r"""Show the counters of refusals on each node."""

    __slots__ = ()

    CLAUSES = ('show refusals',)


@STATEMENTS.register('show_control')
class ShowControl(Query):
    r"""Show the control hosts."""

    __slots__ = ()

    CLAUSES = ('show control',)


@STATEMENTS.register('show_changes')
class ShowChanges(Query):
    r"""Show the changes, all or those after version ``since``."""

    __slots__ = ('since',)

    CLAUSES = ('show changes', 'since {since}')

    def __init__(self, since: int | None = None):
        self.since = since


@STATEMENTS.register('show_why')
class ShowWhy(Query):
    r"""Show the reasons why a target can or cannot be selected."""

    __slots__ = ('name',)

    CLAUSES = ('show why target {name}',)

    def __init__(self, name: str):
        self.name = name


@STATEMENTS.register('show_burn')
class ShowBurn(Query):
    r"""Show the error budget burn rates of all services or of one."""

    __slots__ = ('service',)

    CLAUSES = ('show burn', 'service {service}')

    def __init__(self, service: str | None = None):
        self.service = service


@STATEMENTS.register('wait_version')
class WaitVersion(Query):
    r"""Wait, at most ``timeout_ms``, until all nodes use a version."""

    __slots__ = ('version', 'timeout_ms')

    CLAUSES = ('wait version {version}', 'for {timeout_ms}')

    def __init__(self, version: int, timeout_ms: int | None = None):
        self.version = version
        self.timeout_ms = timeout_ms


def is_command(statement):
    r"""Return whether a statement changes configuration or control hosts.

    Examples
    ========

    >>> is_command(RemoveService('certs')), is_command(ShowVersion())
    (True, False)

    """
    return isinstance(statement, Command)


def format_statement(statement):
    r"""Return the text from which ``parser.parse`` makes the statement.

    Examples
    ========

    >>> format_statement(WaitVersion(12, 30000))
    'wait version 12 for 30s'

    """
    text_by_field = {}
    for field in record.field_names(type(statement)):
        field_value = getattr(statement, field)
        if field_value is not None and field.endswith('_ms'):
            field_value = value.format_duration(field_value)
        text_by_field[field] = field_value
    return ' '.join(
        clause.format(**text_by_field) for clause in statement.CLAUSES
        if not any(
            '{%s}' % field in clause and field_value is None
            for field, field_value in text_by_field.items()))
