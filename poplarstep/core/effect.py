r"""Messages that a pipeline hands to the tasks at the edge.

Explanation
===========

Decision stages perform no input or output. They return these records and
the edge tasks, or the in-memory driver of the tests, carry them out.
"""

from poplarstep.core import address
from poplarstep.core import record


class SendPacket(record.Record):
    r"""Send a data-path message as one UDP datagram."""

    __slots__ = ('destination', 'packet')

    def __init__(
            self, destination: address.Address, packet: record.Record):
        self.destination = destination
        self.packet = packet


class SendControl(record.Record):
    r"""Send a control message to the inbox of another process."""

    __slots__ = ('destination', 'message')

    def __init__(
            self, destination: address.Address, message: record.Record):
        self.destination = destination
        self.message = message


class Received(record.Record):
    r"""A control message arrived; ``source`` is the sender's inbox."""

    __slots__ = ('source', 'message')

    def __init__(self, source: address.Address, message: record.Record):
        self.source = source
        self.message = message


class LogChange(record.Record):
    r"""A change of state that is worth one log line.

    ``fields`` is a tuple of ``(key, value)`` pairs.
    """

    __slots__ = ('event', 'fields')

    def __init__(self, event: str, fields: tuple = ()):
        self.event = event
        self.fields = fields


class Loop(record.Record):
    r"""A message that enters the task's pipeline again from the start."""

    __slots__ = ('message',)

    def __init__(self, message: record.Record):
        self.message = message


class Abort(record.Record):
    r"""Result of carrying out an effect that failed.

    The effects that follow it in the same batch are dropped, and the
    message enters the pipeline before any other.
    """

    __slots__ = ('message',)

    def __init__(self, message: record.Record):
        self.message = message
