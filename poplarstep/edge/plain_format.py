r"""The project's own packet format of opaque flows.

Explanation
===========

A datagram consists of a flow key (12 bytes), a byte of flags, the numbers
``sequence`` and ``acknowledged`` (4 bytes each, all big-endian) and data. A
target chooses a number for each flow and sends it as ``sequence`` in all
packets of the flow. A caller returns this number as ``acknowledged``, with
the flag ``ACKNOWLEDGING``. So a flow opens at one target only, even if two
targets have answered its opening packet. For another packet format, supply
its functions in a ``PacketFormat``; the stages see ``Segment`` only.
"""

import struct

from returns import result

from poplarstep.opaque_flows import segment as segments

OPENING = 1
CLOSING = 2
RESET = 4
# The target returned the packet unread, because it does not hold the flow or
# cannot accept a new one.
RETURNED = 8
# A retransmitted opening packet; the flow may be open already.
REPEATED = 16
ACKNOWLEDGING = 32
HEADER = struct.Struct('>%dsBII' % segments.KEY_BYTES)
HEADER_BYTES = HEADER.size


class PacketFormat:
    r"""Functions that decode and encode the packets of opaque flows.

    Parameters
    ==========

    decode_caller : callable
        Takes a caller's datagram; returns a ``Segment`` or ``Failure``.
    decode_target : callable
        Takes a target's datagram; returns a ``Segment`` or ``Failure``.
    make_reset : callable
        Takes a flow key and a sequence number; returns the datagram that
        resets the flow.
    caller_address : callable
        Takes a flow key; returns the address of the caller.
    """

    __slots__ = (
        'decode_caller', 'decode_target', 'make_reset', 'caller_address')

    def __init__(
            self, decode_caller, decode_target, make_reset, caller_address):
        self.decode_caller = decode_caller
        self.decode_target = decode_target
        self.make_reset = make_reset
        self.caller_address = caller_address


def decode(datagram):
    r"""Return the ``Segment`` of a datagram, or ``Failure(reason)``.

    Examples
    ========

    >>> decode(encode(bytes(12), OPENING)).opening
    True
    >>> decode(encode(bytes(12), OPENING | REPEATED)).repeated
    True
    >>> decode(b'short').failure()
    'datagram of 5 bytes has no complete header'

    """
    if len(datagram) < HEADER_BYTES:
        return result.Failure(
            'datagram of %d bytes has no complete header' % len(datagram))
    flow, flags, sequence, acknowledged = HEADER.unpack_from(datagram)
    returned = bool(flags & RETURNED)
    data = datagram[HEADER_BYTES:]
    if returned:
        datagram = encode(
            flow, flags & ~RETURNED, data, sequence, acknowledged)
    return segments.Segment(
        flow, bool(flags & OPENING), bool(flags & CLOSING),
        bool(flags & RESET), returned, len(data), datagram,
        bool(flags & REPEATED), sequence,
        acknowledged if flags & ACKNOWLEDGING else segments.NO_SEQUENCE_NUMBER)


def encode(flow, flags, data=b'', sequence=0, acknowledged=0):
    r"""Return the datagram of a packet."""
    return HEADER.pack(flow, flags, sequence, acknowledged) + data


def make_reset(flow, sequence=0):
    r"""Return the datagram that resets a flow."""
    return encode(flow, RESET, sequence=sequence)


def make_format() -> PacketFormat:
    r"""Return the project's own ``PacketFormat``."""
    return PacketFormat(
        decode, decode, make_reset, segments.caller_of)
