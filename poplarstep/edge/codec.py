r"""Encoding of records as msgpack arrays, with strict checks on decode.

Explanation
===========

For each record class the codec derives a msgspec struct from the
annotations of ``__init__``, so that a message of the wrong type, length or
shape is rejected before a decision stage sees it. A message is one byte
with the version of the format and the array ``[kind, field, ...]`` where
``kind`` is the class name.
"""

import inspect
import socket
import types
import typing

import msgspec
from returns import result

from poplarstep.core import address
from poplarstep.core import record
from poplarstep.flow import packet
from poplarstep.flow import token

# One message in one datagram or one pynng message. A configuration
# snapshot of 36,000 targets has about 3 MB.
MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024
FORMAT_VERSION = 1
VERSION_BYTE = bytes([FORMAT_VERSION])


class Codec:
    r"""Encoder and decoder of a closed set of record classes.

    Parameters
    ==========

    record_classes : iterable of type
        Classes that may stand at the top level of a message. Classes that
        their fields name are added.
    sealer : Sealer or None
        Seals and checks the flow tokens inside messages.

    Examples
    ========

    >>> codec = Codec([packet.Open], token.Sealer([b'key']))
    >>> data = codec.encode(packet.Open(flow_key=7))
    >>> codec.decode(data).unwrap()
    Open(flow_key=7)
    >>> codec.decode(b'\x01\xc1').failure().startswith('malformed message')
    True
    >>> codec.decode(b'\x02' + data[1:]).failure()
    'malformed message: unknown version 2'

    """

    __slots__ = (
        'sealer', 'struct_by_record', 'record_by_struct', 'plan_by_record',
        'encoder', 'decoder')

    def __init__(self, record_classes, sealer=None):
        self.sealer = sealer
        self.struct_by_record = {}
        self.record_by_struct = {}
        self.plan_by_record = {}
        top_level = [self._struct_for(item) for item in record_classes]
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(
            typing.Union[tuple(top_level)])

    def encode(self, message):
        r"""Return the message as bytes."""
        return VERSION_BYTE + self.encoder.encode(self._to_struct(message))

    def decode(self, data):
        r"""Return ``Success(record)`` or ``Failure(message)``."""
        if len(data) > MAXIMUM_MESSAGE_BYTES:
            return result.Failure(
                'malformed message: %d bytes exceed %d'
                % (len(data), MAXIMUM_MESSAGE_BYTES))
        if data[:1] != VERSION_BYTE:
            return result.Failure('malformed message: %s' % (
                'unknown version %d' % data[0] if data else 'no bytes'))
        try:
            return result.Success(self._to_record(
                self.decoder.decode(memoryview(data)[1:])))
        except (msgspec.DecodeError, RecursionError, ValueError) as error:
            return result.Failure('malformed message: %s' % error)

    def _struct_for(self, record_class):
        known = self.struct_by_record.get(record_class)
        if known is not None:
            return known
        fields = []
        plan = []
        hints = typing.get_type_hints(record_class.__init__)
        for name in inspect.signature(record_class).parameters:
            wire_type, to_wire, from_wire = self._wire(hints[name])
            fields.append((name, wire_type))
            plan.append((name, to_wire, from_wire))
        struct = msgspec.defstruct(
            record_class.__name__, fields, array_like=True,
            tag=record_class.__name__, gc=False)
        self.struct_by_record[record_class] = struct
        self.record_by_struct[struct] = record_class
        self.plan_by_record[record_class] = tuple(plan)
        return struct

    def _wire(self, hint):
        r"""Return the wire type and the two conversions of an annotation."""
        if hint is token.Token:
            return bytes, self.sealer.seal, self._unseal
        if hint is address.Address:
            return self._struct_for(hint), self._to_struct, self._to_address
        origin = typing.get_origin(hint)
        arguments = typing.get_args(hint)
        if origin in (typing.Union, types.UnionType):
            return self._wire_union(arguments)
        if origin in (tuple, list):
            return self._wire_sequence(origin, arguments[0])
        if origin is dict:
            return self._wire_dictionary(arguments)
        if inspect.isclass(hint) and issubclass(hint, record.Record):
            return self._struct_for(hint), self._to_struct, self._to_record
        return hint, None, None

    def _wire_union(self, arguments):
        wire_types = tuple(
            self._wire(argument)[0] for argument in arguments)
        return typing.Union[wire_types], self._to_struct, self._to_record

    def _wire_sequence(self, origin, item):
        wire_type, to_wire, from_wire = self._wire(item)
        if to_wire is None:
            shape = tuple[wire_type, ...] if origin is tuple \
                else list[wire_type]
            return shape, None, None
        return (
            list[wire_type],
            lambda values: [to_wire(value) for value in values],
            lambda values: origin(from_wire(value) for value in values),
        )

    def _wire_dictionary(self, arguments):
        key_type, value_type = arguments
        wire_type, to_wire, from_wire = self._wire(value_type)
        if to_wire is None:
            return dict[key_type, value_type], None, None
        return (
            dict[key_type, wire_type],
            lambda values: {
                key: to_wire(value) for key, value in values.items()},
            lambda values: {
                key: from_wire(value) for key, value in values.items()},
        )

    def _to_struct(self, message):
        plan = self.plan_by_record.get(type(message))
        if plan is None:
            return message
        return self.struct_by_record[type(message)](*[
            getattr(message, name) if to_wire is None
            else to_wire(getattr(message, name))
            for name, to_wire, _ in plan
        ])

    def _to_record(self, struct):
        record_class = self.record_by_struct.get(type(struct))
        if record_class is None:
            return struct
        return record_class(*[
            getattr(struct, name) if from_wire is None
            else from_wire(getattr(struct, name))
            for name, _, from_wire in self.plan_by_record[record_class]
        ])

    def _to_address(self, struct):
        r"""Return an ``Address`` that a socket can send to.

        A host name would make ``sendto`` wait for its resolution, and a
        port out of range raises an OverflowError there.
        """
        try:
            socket.inet_pton(socket.AF_INET, struct.ip)
        except (OSError, ValueError):
            raise ValueError('%r is not an IPv4 address' % struct.ip)
        if not 0 <= struct.port <= address.MAXIMUM_PORT:
            raise ValueError('port %d is outside 0-65535' % struct.port)
        return address.Address(struct.ip, struct.port)

    def _unseal(self, sealed):
        outcome = self.sealer.unseal(sealed)
        if isinstance(outcome, result.Failure):
            raise ValueError(outcome.failure())
        return outcome.unwrap()


def make_data_path_codec(sealer):
    r"""Return the codec of the messages between balancers and agents."""
    return Codec(
        [
            packet.Open, packet.Request, packet.Cancel, packet.Close,
            packet.Opened, packet.Answer, packet.Refused,
            packet.Forwarded, packet.OpenOutcome,
        ],
        sealer,
    )
