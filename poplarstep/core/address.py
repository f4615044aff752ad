r"""Internet addresses of processes and services."""

import ipaddress
import re

from returns import result

from poplarstep.core import record

MAXIMUM_PORT = 65535
# int() accepts digits of other scripts and rejects very long numbers.
PORT_PATTERN = re.compile('[0-9]{1,5}')


class Address(record.Record):
    r"""IPv4 address and port.

    Examples
    ========

    >>> str(Address('127.0.0.1', 80))
    '127.0.0.1:80'

    """

    __slots__ = ('ip', 'port')

    def __init__(self, ip: str, port: int):
        self.ip = ip
        self.port = port

    def __eq__(self, other):
        return (
            type(other) is Address
            and self.port == other.port
            and self.ip == other.ip
        )

    def __hash__(self):
        return hash((self.ip, self.port))

    def __str__(self):
        return '%s:%d' % (self.ip, self.port)


def parse(text):
    r"""Parse ``IP:PORT``; return ``Success(Address)`` or ``Failure(str)``.

    Examples
    ========

    >>> parse('10.0.0.1:4000').unwrap()
    Address(ip='10.0.0.1', port=4000)
    >>> parse('10.0.0.1').failure()
    "address '10.0.0.1' is not of the form IP:PORT"

    """
    ip, separator, port = text.rpartition(':')
    if not separator or not PORT_PATTERN.fullmatch(port):
        return result.Failure(
            'address %r is not of the form IP:PORT' % text)
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        return result.Failure(
            'address %r does not hold an IPv4 address' % text)
    if not 0 < int(port) <= MAXIMUM_PORT:
        return result.Failure(
            'address %r has a port outside 1-65535' % text)
    return result.Success(Address(ip, int(port)))
