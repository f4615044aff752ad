r"""Internet addresses of processes and services."""

import functools
import ipaddress
import re
import struct

from returns import result

from poplarstep.core import record

MAXIMUM_PORT = 65535
# IPv4 address and port, big-endian.
LAYOUT = struct.Struct('!4sH')
# The same addresses recur on the packet path, and a cached conversion takes
# a tenth of the time.
CACHED_ADDRESSES = 16_384
# int() accepts digits of other scripts and rejects very long numbers.
PORT_PATTERN = re.compile('[0-9]{1,5}')


class Address(record.Record):
    r"""IPv4 address and port.

    Examples
    ========

    >>> str(Address('127.0.0.1', 80))
    '127.0.0.1:80'

    """

    __slots__ = ('ip', 'port', '_wire')

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


def to_bytes(value):
    r"""Return an address as four bytes of IPv4 and two of port.

    The bytes are cached in the address, whose fields must not be changed
    after that.

    Examples
    ========

    >>> to_bytes(Address('127.0.0.1', 80))
    b'\x7f\x00\x00\x01\x00P'

    """
    wire = getattr(value, '_wire', None)
    if wire is None:
        wire = LAYOUT.pack(
            ipaddress.IPv4Address(value.ip).packed, value.port)
        value._wire = wire
    return wire


@functools.lru_cache(CACHED_ADDRESSES)
def from_bytes(data):
    r"""Return the address of six bytes.

    Raises
    ======

    ValueError
        If ``data`` is not six bytes long.

    Examples
    ========

    >>> from_bytes(b'\x7f\x00\x00\x01\x00P')
    Address(ip='127.0.0.1', port=80)

    """
    if len(data) != LAYOUT.size:
        raise ValueError('address has %d bytes, not %d' % (
            len(data), LAYOUT.size))
    ip, port = LAYOUT.unpack(data)
    value = Address(str(ipaddress.IPv4Address(ip)), port)
    value._wire = data
    return value
