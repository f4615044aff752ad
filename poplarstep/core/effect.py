r"""Effects: records that stages return for their task to carry out.

Explanation
===========

Decision stages perform no input or output. They return these records, and
the tasks of ``poplarstep.edge`` or the simulated nodes of the tests carry
them out. ``Received`` goes the other way, from the task to the stages.
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
    r"""A control message has arrived from the inbox ``source``."""

    __slots__ = ('source', 'message')

    def __init__(self, source: address.Address, message: record.Record):
        self.source = source
        self.message = message


class LogEvent(record.Record):
    r"""Write one log line about a decision or a change of state.

    ``fields`` is a tuple of ``(key, value)`` pairs.
    """

    __slots__ = ('event', 'fields')

    def __init__(self, event: str, fields: tuple = ()):
        self.event = event
        self.fields = fields


class Requeue(record.Record):
    r"""Process a message from the first stage of the task's pipeline on."""

    __slots__ = ('message',)

    def __init__(self, message: record.Record):
        self.message = message


class Abort(record.Record):
    r"""Returned instead of messages when an effect has failed.

    The effects that the stages returned after the failed one are dropped,
    and the message enters the pipeline before any other.
    """

    __slots__ = ('message',)

    def __init__(self, message: record.Record):
        self.message = message
