r"""Packets of flows whose content belongs to the two ends alone.

Explanation
===========

A packet front end decodes what the decisions need and keeps the datagram as
it came. A flow is known by its two ends, written as 12 bytes: the caller's
address and port and the service's address and port. Both directions of a
flow have the same key.
"""

from poplarstep.core import address

KEY_BYTES = 12
END_BYTES = 6
NO_NUMBER = -1
SEQUENCES = 2**32
# Ends draw the first number of a flow at random. A number that is further
# from it than a flow has bytes belongs to another end.
MAXIMUM_FLOW_BYTES = 2**26


class Segment:
    r"""One packet of a flow.

    Parameters
    ==========

    flow : bytes
        Key of the flow, see ``flow_key``.
    opening : bool
        Asks to open the flow.
    repeated : bool
        A later copy of an opening packet; the flow may be open by now.
    closing : bool
        The sender will send no more data.
    reset : bool
        The sender has given the flow up.
    returned : bool
        A target returned it unread: it does not hold the flow, or can't
        take a new one.
    data_bytes : int
        Length of the data that it carries.
    datagram : bytes
        The packet as it is to be sent on.
    sequence : int
        Position of the packet in the bytes of its sender, modulo
        ``SEQUENCES``; ``NO_NUMBER`` when the format has none.
    acknowledged : int
        Position in the bytes of the other end up to which the sender has
        them, or ``NO_NUMBER``.
    """

    __slots__ = (
        'flow', 'opening', 'repeated', 'closing', 'reset', 'returned',
        'data_bytes', 'datagram', 'sequence', 'acknowledged')

    def __init__(
            self, flow, opening, closing, reset, returned, data_bytes,
            datagram, repeated=False, sequence=NO_NUMBER,
            acknowledged=NO_NUMBER):
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
    r"""Return the key of a flow from the addresses of its ends.

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
    r"""Return the caller's end of a flow."""
    return address.from_bytes(flow[:END_BYTES])


def service_of(flow):
    r"""Return the service's end of a flow."""
    return address.from_bytes(flow[END_BYTES:KEY_BYTES])


def follows(number, first):
    r"""Return whether a number can belong to the end that began at another.

    Examples
    ========

    >>> follows(1005, 1000), follows(4, SEQUENCES - 6)
    (True, True)
    >>> follows(2**31, 1000), follows(1000, NO_NUMBER)
    (False, True)

    """
    if NO_NUMBER in (number, first):
        return True
    return (number - first) % SEQUENCES <= MAXIMUM_FLOW_BYTES


def describe(flow):
    r"""Return a flow as text for log lines."""
    return '%s>%s' % (caller_of(flow), service_of(flow))
