r"""The table of settings: flags, environment variables and checks.

Explanation
===========

Every setting has a flag ``--name`` and an environment variable
``POPLARSTEP_NAME``; the flag takes precedence. All faults are reported
together, each with the name, the value and the allowed values.
"""

import re

from returns import result

from poplarstep.consensus import state as consensus
from poplarstep.core import address
from poplarstep.core import record
from poplarstep.core import registry
from poplarstep.opaque_flows import ejection
from poplarstep.opaque_flows import locality
from poplarstep.opaque_flows import lookup_budget
from poplarstep.opaque_flows import placement
from poplarstep.routing import selectors

PREFIX = 'POPLARSTEP_'
ROLES = ('control', 'balancer', 'agent', 'flow-balancer', 'flow-agent')
ALL_ROLES = ROLES
SUBSCRIBER_ROLES = ('balancer', 'agent', 'flow-balancer', 'flow-agent')
BALANCER_ROLES = ('balancer', 'flow-balancer')
AGENT_ROLES = ('agent', 'flow-agent')
NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9./-]{0,99}')
# int() alone would accept digits of other scripts and raise an error for very
# long numbers.
NUMBER_PATTERN = re.compile('[0-9]{1,15}')
DECIMAL_PATTERN = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')
MINIMUM_KEY_BYTES = 16
# Value of ``data-folder`` for a control host without a disk.
NO_FOLDER = 'none'

PARSERS = registry.Registry('kind of setting')


class Setting(record.Record):
    r"""One row of the table.

    Parameters
    ==========

    kind : str
        Name of the function in ``PARSERS`` that checks and converts the text.
    default : str or None
        Text of the default; None means that the setting is required.
    unit : str
        Unit of a number, or an empty string.
    allowed : tuple
        Lowest and highest number, or the allowed words; else empty.
    roles : tuple of str
        Roles that read the setting; the others ignore it.
    """

    __slots__ = (
        'name', 'kind', 'default', 'unit', 'allowed', 'roles', 'help')

    def __init__(self, name, kind, default, unit, allowed, roles, help):
        self.name = name
        self.kind = kind
        self.default = default
        self.unit = unit
        self.allowed = allowed
        self.roles = roles
        self.help = help

    @property
    def flag(self):
        r"""Return the flag, for example ``--data-centre``."""
        return '--' + self.name

    @property
    def variable(self):
        r"""Return the environment variable."""
        return PREFIX + self.name.replace('-', '_').upper()


TABLE = (
    Setting('role', 'word', None, '', ROLES, ALL_ROLES,
            'role of this process'),
    Setting('node', 'name', None, '', (), ALL_ROLES,
            'unique name of this node'),
    Setting('data-centre', 'name', None, '', (), ALL_ROLES,
            'data centre of this host'),
    Setting('cluster', 'name', 'poplarstep', '', (), ALL_ROLES,
            'control messages of other clusters are dropped'),
    Setting('cluster-key', 'keys', None, '', (), ('balancer', 'agent'),
            'keys that seal flow tokens, newest first, comma separated'),
    Setting('control-address', 'address', None, '', (), ALL_ROLES,
            'address on which this process listens for control messages'),
    Setting('advertised-address', 'optional address', '', '', (), ALL_ROLES,
            'address at which other processes reach the control address, if '
            'it differs'),
    Setting('http-address', 'address', None, '', (), ALL_ROLES,
            'HTTP address for health checks, metrics and the requests of '
            'operators or of the target'),
    Setting('upstreams', 'addresses', None, '', (), SUBSCRIBER_ROLES,
            'control addresses of control hosts or relays, tried in turn'),
    Setting('front-address', 'address', None, '', (), BALANCER_ROLES,
            'UDP address to which the routers in front send the packets of '
            'callers'),
    Setting('back-address', 'address', None, '', (), BALANCER_ROLES,
            'UDP address to which agents send their replies'),
    Setting('selector', 'word', selectors.DEFAULT_SELECTOR, '',
            tuple(selectors.SELECTORS.names()), ('balancer',),
            'method that chooses the target of a new flow'),
    Setting('opens-per-second', 'number', '20000', '1/s',
            (1, 1_000_000), ('balancer',),
            'new flows above this rate are shed, lowest priority first'),
    Setting('without-control', 'word', 'refuse', '', ('refuse', 'serve'),
            BALANCER_ROLES,
            'whether to refuse or to serve packets while this balancer has no '
            'valid lease on the configuration'),
    Setting('placement', 'word', placement.DEFAULT_PLACEMENT, '',
            tuple(placement.PLACEMENTS.names()), ('flow-balancer',),
            'method that chooses the target of a new opaque flow; "capacity" '
            'is for flows that stay open for many requests'),
    Setting('locality', 'word', locality.DEFAULT_LOCALITY, '',
            tuple(locality.LOCALITIES.names()), ('flow-balancer',),
            'whether new opaque flows prefer targets in the data centre of '
            'this balancer while these have spare capacity'),
    Setting('dead-flows', 'word', 'ignore', '', ('ignore', 'reset'),
            ('flow-balancer', 'flow-agent'),
            'whether callers are reset when the target of their flow has '
            'ended; "reset" needs it on all balancers and agents, and targets '
            'that accept TCP connections at their address while they run'),
    Setting('lookup-rate', 'number', str(lookup_budget.DEFAULT_RATE),
            'bytes/s', (
                lookup_budget.MINIMUM_RATE, lookup_budget.MAXIMUM_RATE),
            ('flow-balancer',),
            'limit of the questions for unknown flows, and of the packets '
            'to agents that may hold them, each; a third of the link of the '
            'host; only with "dead-flows" = "reset"'),
    Setting('tied-offers', 'number', '0', 'per 100 new flows', (0, 10),
            ('flow-balancer',),
            'limit of the flows that may wait at two agents at once; only '
            'flows of idempotent routes do'),
    Setting('known-flows', 'word', 'off', '', ('off', 'send'),
            ('flow-balancer',),
            'whether to tell a restarted agent which opaque flows its target '
            'holds; for flows that stay open for many requests'),
    Setting('avoid-failing', 'word', ejection.DEFAULT_AVOIDANCE, '',
            tuple(ejection.AVOIDANCES.names()), ('flow-balancer',),
            'whether to send few new opaque flows to targets that fail their '
            'requests more often, or serve them more slowly, than the others '
            'of their service'),
    Setting('agent-address', 'address', None, '', (), AGENT_ROLES,
            'UDP address at which balancers reach this agent'),
    Setting('flow-idle', 'number', '3600000', 'ms',
            (1000, 86_400_000), ('agent',),
            'a flow without a packet for this long is dropped'),
    Setting('answer-bytes', 'number', '8388608', 'bytes',
            (65_536, 1_073_741_824), ('agent',),
            'size of the recorded answers that are kept for resent requests'),
    Setting('queue-length', 'number', '2048', 'requests', (1, 65_536),
            ('agent',), 'maximum number of requests that wait at this agent'),
    Setting('late-after', 'number', '50', 'ms', (1, 3_600_000),
            ('agent',),
            'an answer that takes longer than this counts as late'),
    Setting('target-address', 'address', None, '', (), ('flow-agent',),
            'UDP address of the target on the same host'),
    Setting('outbound-address', 'address', None, '', (), ('flow-agent',),
            'UDP address to which the target sends its packets'),
    Setting('target-fresh', 'number', '1900', 'ms', (100, 3_600_000),
            ('flow-agent',),
            'a target without a heartbeat for longer than this gets no new '
            'flows'),
    Setting('flow-limit', 'number', '3600000', 'ms', (1000, 86_400_000),
            ('flow-agent',),
            'longest duration of a flow; for this time after its start, an '
            'agent may forward packets of flows that it does not know'),
    Setting('cold-factor', 'decimal', '1', '', (0, 1000), ('flow-agent',),
            'factor on the flows per second that a cold target of the service '
            'can handle'),
    Setting('cold-slack', 'decimal', '1', '1/s', (0, 1_000_000),
            ('flow-agent',),
            'flows per second that are added to that limit'),
    Setting('request-queue', 'word', 'off', '', ('off', 'fair'),
            ('flow-agent',),
            'whether further requests of an open flow wait at this agent '
            'while the target has no free slot, and start in a fair order'),
    Setting('load-reports', 'word', 'off', '', ('off', 'on'),
            ('flow-agent',),
            'whether this agent reports the load of its target to balancers '
            'that send it packets of open flows, at most 6 times per second'),
    Setting('membership', 'word', 'operator', '',
            ('operator', 'automatic'), ('control',),
            'who adds and removes control hosts'),
    Setting('data-folder', 'text', None, '', (), ('control',),
            'folder of the replicated log; "none" for a host without a '
            'disk, which is never a member and forwards the configuration '
            'that it receives'),
    Setting('control-hosts', 'seeds', None, '', (), ('control',),
            'NAME=IP:PORT of all control hosts, comma separated'),
    Setting('start', 'word', 'join', '', ('bootstrap', 'join'),
            ('control',),
            'whether this host may help to form a new group of control hosts, '
            'or only joins an existing one'),
    Setting('drain-time', 'number', '5000', 'ms', (0, 3_600_000), ALL_ROLES,
            'maximum duration of a graceful shutdown'),
    Setting('log-level', 'word', 'info', '',
            ('debug', 'info', 'warning', 'error'), ALL_ROLES,
            'lowest level of the log lines that are written'),
)
# Variables of the operators' tools. They may be set in a node's environment
# and are no fault there.
TOOL_VARIABLES = frozenset(PREFIX + name for name in (
    'CONTROL', 'NODES', 'HISTORY', 'OBJECTIVES'))
SETTING_BY_NAME = {item.name: item for item in TABLE}


def read_settings(flags, environment):
    r"""Return ``Success(dict by name)`` or ``Failure(tuple of faults)``.

    Parameters
    ==========

    flags : dict
        Text by setting name; absent flags are missing or None.
    environment : dict
        The process environment.

    Examples
    ========

    >>> faults = read_settings({'role': 'agent', 'flow-idle': '5'}, {})
    >>> [text for text in faults.failure() if 'flow-idle' in text]
    ["--flow-idle: '5' is not a whole number from 1000 to 86400000 ms"]

    """
    faults = _unknown_variables(environment)
    role = flags.get('role') or environment.get(PREFIX + 'ROLE')
    value_by_name = {}
    for setting in TABLE:
        if role in ROLES and role not in setting.roles:
            continue
        text = flags.get(setting.name)
        if text is None:
            text = environment.get(setting.variable, setting.default)
        if text is None:
            if setting.name == 'role' or role in ROLES:
                faults.append('%s: is required (or %s)' % (
                    setting.flag, setting.variable))
            continue
        checked = PARSERS.entry_by_name[setting.kind](setting, text)
        if isinstance(checked, result.Failure):
            faults.append('%s: %s' % (setting.flag, checked.failure()))
        else:
            value_by_name[setting.name] = checked.unwrap()
    if faults:
        return result.Failure(tuple(faults))
    return result.Success(value_by_name)


def _unknown_variables(environment):
    r"""Return a fault for each variable with the prefix and no setting."""
    known = {item.variable for item in TABLE} | TOOL_VARIABLES
    return [
        '%s: is not a setting; known: %s' % (
            name, ', '.join(sorted(known)))
        for name in sorted(environment)
        if name.startswith(PREFIX) and name not in known]


@PARSERS.register('text')
def _text(setting, text):
    if not text:
        return result.Failure('must not be empty')
    return result.Success(text)


@PARSERS.register('word')
def _word(setting, text):
    if text not in setting.allowed:
        return result.Failure('%r is not one of %s' % (
            text, ', '.join(setting.allowed)))
    return result.Success(text)


@PARSERS.register('name')
def _name(setting, text):
    if not NAME_PATTERN.fullmatch(text):
        return result.Failure(
            '%r is not a name of 1 to 100 letters, digits, dots, dashes '
            'and slashes' % text)
    return result.Success(text)


@PARSERS.register('number')
def _number(setting, text):
    lowest, highest = setting.allowed
    if not NUMBER_PATTERN.fullmatch(text) or not (
            lowest <= int(text) <= highest):
        return result.Failure('%r is not a whole number from %d to %d %s' % (
            text, lowest, highest, setting.unit))
    return result.Success(int(text))


@PARSERS.register('decimal')
def _decimal(setting, text):
    lowest, highest = setting.allowed
    if not DECIMAL_PATTERN.fullmatch(text) or not (
            lowest <= float(text) <= highest):
        return result.Failure('%r is not a number from %d to %d %s' % (
            text, lowest, highest, setting.unit))
    return result.Success(float(text))


@PARSERS.register('address')
def _address(setting, text):
    return address.parse(text)


@PARSERS.register('optional address')
def _optional_address(setting, text):
    return address.parse(text) if text else result.Success(None)


@PARSERS.register('addresses')
def _addresses(setting, text):
    parsed = [address.parse(item) for item in text.split(',')]
    return _combine(parsed)


@PARSERS.register('keys')
def _keys(setting, text):
    keys = [item.encode() for item in text.split(',')]
    if min(len(key) for key in keys) < MINIMUM_KEY_BYTES or (
            max(len(key) for key in keys) > 64):
        # The key itself is a secret and stays out of the message.
        return result.Failure('each key must have %d to 64 bytes'
                              % MINIMUM_KEY_BYTES)
    return result.Success(tuple(keys))


@PARSERS.register('seeds')
def _seeds(setting, text):
    parsed = []
    for item in text.split(','):
        name, separator, address_text = item.partition('=')
        if not separator or not NAME_PATTERN.fullmatch(name):
            return result.Failure('%r is not of the form NAME=IP:PORT' % item)
        parsed.append(address.parse(address_text).map(
            lambda inbox, name=name: consensus.Seed(name, inbox)))
    return _combine(parsed)


def _combine(results):
    r"""Return ``Success(tuple of values)`` or one ``Failure(message)``."""
    failures = [
        item.failure() for item in results
        if isinstance(item, result.Failure)]
    if failures:
        return result.Failure('; '.join(failures))
    return result.Success(tuple(item.unwrap() for item in results))
