r"""PROXY protocol version 2 header for IPv4 datagrams.

Explanation
===========

The network in front of a balancer prepends this header to each datagram, so
that the balancer knows the addresses of the caller and the service. Answers
carry it with source and destination swapped.

References
==========

.. [1] "The PROXY protocol, versions 1 and 2", section 2.2.

"""

import struct

from returns import result

from poplarstep.core import address

SIGNATURE = b'\r\n\r\n\x00\r\nQUIT\n'
VERSION_AND_COMMAND = 0x21
IPV4_DATAGRAM = 0x12
IPV4_ADDRESSES_BYTES = 12
# Signature, version and command, family, length, source and destination
# IPv4, source and destination port.
LAYOUT = struct.Struct('!12sBBH4s4s2s2s')
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
    source_bytes = address.to_bytes(source)
    destination_bytes = address.to_bytes(destination)
    return LAYOUT.pack(
        SIGNATURE, VERSION_AND_COMMAND, IPV4_DATAGRAM, IPV4_ADDRESSES_BYTES,
        source_bytes[:4], destination_bytes[:4], source_bytes[4:],
        destination_bytes[4:],
    ) + body


def decode(data):
    r"""Return ``Success((source, destination, body))`` or ``Failure``.

    Type-length-value fields after the addresses are skipped.
    """
    decoded = read(data)
    if type(decoded) is result.Failure:
        return decoded
    return result.Success(decoded)


def read(data):
    r"""Return the bare ``(source, destination, body)`` or ``Failure``.

    Like ``decode``, but without the ``Success``. The packet path uses it
    because wrapping and unwrapping takes 0.8 us for each datagram.
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
    return (
        address.from_bytes(source_ip + source_port),
        address.from_bytes(destination_ip + destination_port),
        data[body_start:],
    )
