r"""UDP sockets of the data path.

Explanation
===========

A reader waits until the socket is readable and then drains a batch of
datagrams, because one wake-up per datagram costs more than the datagram.
Sending never waits: a datagram that cannot be sent is dropped and counted.
Senders retransmit it as they do after loss in the network.
"""

import socket

from gevent import socket as gevent_socket
from returns import result

from poplarstep.core import address

# A payload of 1,200 bytes makes a datagram of about 1,400 bytes with its
# token, return path and PROXY header; longer ones are not of this protocol.
MAXIMUM_DATAGRAM_BYTES = 2048
BATCH_DATAGRAMS = 64
BUFFER_BYTES = 4 * 1024 * 1024


class DatagramCounters:
    r"""Counts of one socket."""

    __slots__ = ('received', 'sent', 'malformed', 'send_dropped')

    def __init__(self):
        self.received = 0
        self.sent = 0
        self.malformed = 0
        self.send_dropped = 0


class DatagramSocket:
    r"""Bound UDP socket that decodes what it receives.

    Parameters
    ==========

    bound : Address
        Local address.
    decode : callable
        Takes the source as ``(ip, port)`` and the bytes, and returns the
        message itself or ``Failure(reason)``.
    """

    __slots__ = ('bound', 'decode', 'socket', 'counters')

    def __init__(self, bound, decode, opened):
        self.bound = bound
        self.decode = decode
        self.socket = opened
        self.counters = DatagramCounters()

    def read_loop(self, deliver):
        r"""Deliver lists of decoded messages until the socket is closed."""
        while True:
            gevent_socket.wait_read(self.socket.fileno())
            batch = self._drain()
            if batch:
                deliver(batch)

    def send(self, destination, data):
        r"""Send one datagram; drop and count it if the send fails."""
        try:
            self.socket.sendto(data, (destination.ip, destination.port))
            self.counters.sent += 1
        except OSError:
            self.counters.send_dropped += 1

    def close(self):
        r"""Close the socket."""
        self.socket.close()

    def _drain(self):
        batch = []
        for _ in range(BATCH_DATAGRAMS):
            try:
                data, source = self.socket.recvfrom(
                    MAXIMUM_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                break
            except ConnectionRefusedError:
                # ICMP error for a datagram that was sent earlier to a closed
                # port; datagrams may still be waiting.
                continue
            self.counters.received += 1
            if len(data) > MAXIMUM_DATAGRAM_BYTES:
                self.counters.malformed += 1
                continue
            decoded = self.decode(source, data)
            if type(decoded) is result.Failure:
                self.counters.malformed += 1
            else:
                batch.append(decoded)
        return batch


def open_datagram_socket(bound, decode, opened=None):
    r"""Return ``Success(DatagramSocket)`` or ``Failure(message)``.

    Parameters
    ==========

    opened : socket.socket or None
        UDP socket that is bound to the address already.
    """
    is_bound = opened is not None
    if not is_bound:
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    try:
        if not is_bound:
            opened.bind((bound.ip, bound.port))
    except OSError as error:
        opened.close()
        return result.Failure(
            'cannot bind UDP %s: %s' % (bound, error.strerror))
    port = opened.getsockname()[1]
    return result.Success(
        DatagramSocket(address.Address(bound.ip, port), decode, opened))
