r"""Packets of opaque flows, which only the two ends can read.

Explanation
===========

A packet front end decodes the header fields that the decisions need and
keeps the datagram unchanged. The key of a flow is 12 bytes long: the
caller's address and port, then the service's address and port. Packets of
both directions have the same key.
"""

from poplarstep.core import address

KEY_BYTES = 12
ENDPOINT_BYTES = 6
NO_SEQUENCE_NUMBER = -1
SEQUENCE_MODULUS = 2**32
# Each end draws its initial sequence number at random. A sequence number
# that is further than this from an end's initial one is not from that end.
MAXIMUM_FLOW_BYTES = 2**26


class Segment:
    r"""One packet of a flow.

    Parameters
    ==========

    flow : bytes
        Key of the flow, see ``flow_key``.
    opening : bool
        The packet asks to open the flow, or answers such a packet.
    repeated : bool
        A retransmitted opening packet; the flow may be open already.
    closing : bool
        The sender will send no more data.
    reset : bool
        The sender has aborted the flow.
    returned : bool
        The target returned the packet unread: it does not hold the flow,
        or can't accept a new one.
    data_bytes : int
        Length of the payload.
    datagram : bytes
        The packet as it is to be forwarded.
    sequence : int
        Sequence number: position of the payload in the bytes of the sender,
        modulo ``SEQUENCE_MODULUS``; ``NO_SEQUENCE_NUMBER`` if the format has
        none.
    acknowledged : int
        Acknowledgement number: position up to which the sender has received
        the bytes of the other end, or ``NO_SEQUENCE_NUMBER``.
    """

    __slots__ = (
        'flow', 'opening', 'repeated', 'closing', 'reset', 'returned',
        'data_bytes', 'datagram', 'sequence', 'acknowledged')

    def __init__(
            self, flow, opening, closing, reset, returned, data_bytes,
            datagram, repeated=False, sequence=NO_SEQUENCE_NUMBER,
            acknowledged=NO_SEQUENCE_NUMBER):
        self.sequence = sequence
        self.acknowledged = acknowledged
        self.flow = flow
        self.opening = opening
        self.repeated = repeated
        self.closing = closing
        self.reset = reset
        self.returned = returned
        self.data_bytes = data_bytes
        self.datagram = datagram


def flow_key(caller, service):
    r"""Return the key of a flow between two addresses.

    Examples
    ========

    >>> key = flow_key(
    ...     address.Address('10.0.0.7', 40001),
    ...     address.Address('10.9.0.1', 80))
    >>> str(caller_of(key)), str(service_of(key)), describe(key)
    ('10.0.0.7:40001', '10.9.0.1:80', '10.0.0.7:40001>10.9.0.1:80')

    """
    return address.to_bytes(caller) + address.to_bytes(service)


def caller_of(flow):
    r"""Return the caller's address and port."""
    return address.from_bytes(flow[:ENDPOINT_BYTES])


def service_of(flow):
    r"""Return the service's address and port."""
    return address.from_bytes(flow[ENDPOINT_BYTES:KEY_BYTES])


def is_in_window(number, first):
    r"""Return whether a sequence number can follow an initial one.

    True if either number is unknown.

    Examples
    ========

    >>> is_in_window(1005, 1000), is_in_window(4, SEQUENCE_MODULUS - 6)
    (True, True)
    >>> is_in_window(2**31, 1000), is_in_window(1000, NO_SEQUENCE_NUMBER)
    (False, True)

    """
    if NO_SEQUENCE_NUMBER in (number, first):
        return True
    return (number - first) % SEQUENCE_MODULUS <= MAXIMUM_FLOW_BYTES


def describe(flow):
    r"""Return a flow as text for log lines."""
    return '%s>%s' % (caller_of(flow), service_of(flow))
