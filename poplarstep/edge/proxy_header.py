r"""PROXY protocol version 2 header for IPv4 datagrams.

Explanation
===========

The fabric puts this header before each datagram so that the balancer knows
the caller and the service address. Answers carry it with source and
destination swapped.

References
==========

.. [1] "The PROXY protocol, versions 1 and 2", section 2.2.

"""

import socket
import struct

from returns import result

from poplarstep.core import address

SIGNATURE = b'\r\n\r\n\x00\r\nQUIT\n'
VERSION_AND_COMMAND = 0x21
IPV4_DATAGRAM = 0x12
IPV4_ADDRESSES_BYTES = 12
LAYOUT = struct.Struct('!12sBBH4s4sHH')
PREFIX = SIGNATURE + bytes([VERSION_AND_COMMAND, IPV4_DATAGRAM])


def encode(source, destination, body):
    r"""Return the header for two addresses followed by the body.

    Examples
    ========

    >>> source = address.Address('127.0.0.1', 1000)
    >>> destination = address.Address('127.0.0.2', 2000)
    >>> decode(encode(source, destination, b'body')).unwrap() == (
    ...     source, destination, b'body')
    True
    >>> decode(b'body').failure()
    'datagram has no PROXY version 2 header for IPv4 datagrams'

    """
    return LAYOUT.pack(
        SIGNATURE, VERSION_AND_COMMAND, IPV4_DATAGRAM, IPV4_ADDRESSES_BYTES,
        socket.inet_aton(source.ip), socket.inet_aton(destination.ip),
        source.port, destination.port,
    ) + body


def decode(data):
    r"""Return ``Success((source, destination, body))`` or ``Failure``.

    Additional type-length-value fields after the addresses are skipped.
    """
    if len(data) < LAYOUT.size or not data.startswith(PREFIX):
        return result.Failure(
            'datagram has no PROXY version 2 header for IPv4 datagrams')
    (_, _, _, length, source_ip, destination_ip, source_port,
     destination_port) = LAYOUT.unpack_from(data)
    body_start = LAYOUT.size - IPV4_ADDRESSES_BYTES + length
    if length < IPV4_ADDRESSES_BYTES or body_start > len(data):
        return result.Failure(
            'PROXY header declares %d address bytes' % length)
    return result.Success((
        address.Address(socket.inet_ntoa(source_ip), source_port),
        address.Address(socket.inet_ntoa(destination_ip), destination_port),
        data[body_start:],
    ))
