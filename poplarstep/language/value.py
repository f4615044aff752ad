r"""Values of the operators' language: names, addresses, numbers, durations.

Explanation
===========

Each value terminal of the grammar has an entry in ``KINDS``. ``ALLOWED``
describes the valid words and follows "allowed: " in an error message.
``read`` returns ``Success(value)`` or ``Failure(ALLOWED)`` and never raises.
"""

import re

from returns import result

from poplarstep.core import address
from poplarstep.core import registry

KINDS = registry.Registry('kind of value')

MAXIMUM_NAME_LENGTH = 128
MAXIMUM_PRIORITY = 9
# Versions are stored as signed 64-bit integers.
MAXIMUM_VERSION = 2**63 - 1
MAXIMUM_DURATION_MS = 24 * 60 * 60 * 1000

MS_BY_UNIT = {'h': 3600000, 'm': 60000, 's': 1000, 'ms': 1}

# The patterns of numbers limit the digits, because int() raises ValueError for
# very long texts.
NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9./-]*')
ADDRESS_PATTERN = re.compile(r'[0-9.]{7,15}:[0-9]{1,5}')
NUMBER_PATTERN = re.compile(r'[0-9]{1,19}')
DURATION_PATTERN = re.compile(r'([0-9]{1,19})(ms|s|m|h)')


def read_number(text, maximum, allowed):
    r"""Read a decimal number from 0 to ``maximum``.

    Returns ``Success(int)`` or ``Failure(allowed)``.

    Examples
    ========

    >>> read_number('7', 9, 'a digit').unwrap()
    7
    >>> read_number('12', 9, 'a digit').failure()
    'a digit'

    """
    if NUMBER_PATTERN.fullmatch(text) and int(text) <= maximum:
        return result.Success(int(text))
    return result.Failure(allowed)


@KINDS.register('NAME')
class Name:
    r"""Name of a service, data centre, target or control host."""

    __slots__ = ()

    ALLOWED = (
        'a name of letters, digits, dots, dashes and slashes that starts '
        'with a letter or digit and has at most %d characters'
        % MAXIMUM_NAME_LENGTH)

    @classmethod
    def read(cls, text):
        if len(text) <= MAXIMUM_NAME_LENGTH and NAME_PATTERN.fullmatch(text):
            return result.Success(text)
        return result.Failure(cls.ALLOWED)


@KINDS.register('ADDRESS')
class Address:
    r"""``IP:PORT``, read as ``core.address.Address``."""

    __slots__ = ()

    ALLOWED = 'IP:PORT with an IPv4 address and a port 1-%d' % (
        address.MAXIMUM_PORT)

    @classmethod
    def read(cls, text):
        if not ADDRESS_PATTERN.fullmatch(text):
            return result.Failure(cls.ALLOWED)
        return address.parse(text).alt(lambda reason: cls.ALLOWED)


@KINDS.register('PRIORITY')
class Priority:
    r"""Priority of a service; under overload 0 is shed last."""

    __slots__ = ()

    ALLOWED = 'a priority 0-%d' % MAXIMUM_PRIORITY

    @classmethod
    def read(cls, text):
        return read_number(text, MAXIMUM_PRIORITY, cls.ALLOWED)


@KINDS.register('VERSION')
class Version:
    r"""Version of the configuration."""

    __slots__ = ()

    ALLOWED = 'a version number 0-%d' % MAXIMUM_VERSION

    @classmethod
    def read(cls, text):
        return read_number(text, MAXIMUM_VERSION, cls.ALLOWED)


@KINDS.register('DURATION')
class Duration:
    r"""Duration with a unit, read as integer milliseconds."""

    __slots__ = ()

    ALLOWED = 'a duration such as 500ms, 30s, 5m or 1h, up to 24h'

    @classmethod
    def read(cls, text):
        match = DURATION_PATTERN.fullmatch(text)
        if match:
            duration_ms = int(match[1]) * MS_BY_UNIT[match[2]]
            if duration_ms <= MAXIMUM_DURATION_MS:
                return result.Success(duration_ms)
        return result.Failure(cls.ALLOWED)


@KINDS.register('IN')
@KINDS.register('OUT')
class DataCentreState:
    r"""State of a data centre; the grammar accepts only these two words."""

    __slots__ = ()

    ALLOWED = 'in or out'

    @staticmethod
    def read(text):
        return result.Success(text)


def format_duration(duration_ms):
    r"""Return a duration in the largest unit that gives a whole number.

    Examples
    ========

    >>> [format_duration(ms) for ms in (0, 1500, 90000, 3600000)]
    ['0ms', '1500ms', '90s', '1h']

    """
    for unit, unit_ms in MS_BY_UNIT.items():
        if duration_ms and duration_ms % unit_ms == 0:
            return '%d%s' % (duration_ms // unit_ms, unit)
    return '0ms'
