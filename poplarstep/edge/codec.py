r"""Encoding of records as msgpack arrays, with strict checks on decode.

Explanation
===========

For each record class the codec derives a msgspec struct from the
annotations of ``__init__``, so that a message with a wrong type, length or
structure is rejected before it enters the pipeline. A message is one byte
with the version of the format and the array ``[kind, field, ...]`` where
``kind`` is the class name, or the ``WIRE_NAME`` of a renamed class.

A codec may compress long arrays; the version byte says so. The configuration
is repetitive, and all nodes fetch it at once when they start together, over
links of which the slowest carry 1.5 Mbit/s.

A caller's packet inside another message is embedded in its encoded form,
so that a balancer forwards it without encoding it again.
"""

import inspect
import operator
import types
import typing
import zlib

import msgspec
from returns import result

from poplarstep.core import address
from poplarstep.core import record
from poplarstep.flow import packet
from poplarstep.flow import token

# Limit of one message in a datagram or a pynng message. A configuration
# snapshot with 36,000 targets takes about 3 MB.
MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024
FORMAT_VERSION = 1
VERSION_BYTE = bytes([FORMAT_VERSION])
COMPRESSED_BYTE = bytes([FORMAT_VERSION | 0x80])
# Higher levels save 2% of a configuration and take several times as long.
COMPRESSION_LEVEL = 1


class Conversion:
    r"""Wire type of a Python type, with the functions to it and from it.

    A function that is None stands for values that stay unchanged.
    """

    __slots__ = ('wire_type', 'to_wire', 'from_wire')

    def __init__(self, wire_type, to_wire=None, from_wire=None):
        self.wire_type = wire_type
        self.to_wire = to_wire
        self.from_wire = from_wire


class Plan:
    r"""How the fields of one record class are read and converted.

    ``to_wire`` and ``from_wire`` hold ``(position, function)`` pairs for
    the fields whose values change.
    """

    __slots__ = (
        'record_class', 'struct', 'read_fields', 'to_wire', 'from_wire')

    def __init__(self, record_class, struct, conversion_by_name):
        self.record_class = record_class
        self.struct = struct
        names = tuple(conversion_by_name)
        self.read_fields = _make_reader(names)
        pairs = list(enumerate(conversion_by_name.values()))
        self.to_wire = tuple(
            (position, item.to_wire) for position, item in pairs
            if item.to_wire is not None)
        self.from_wire = tuple(
            (position, item.from_wire) for position, item in pairs
            if item.from_wire is not None)

    def make_struct(self, message):
        r"""Return the struct of a record."""
        values = self.read_fields(message)
        for position, convert in self.to_wire:
            values[position] = convert(values[position])
        return self.struct(*values)

    def make_record(self, struct):
        r"""Return the record of a struct."""
        values = self.read_fields(struct)
        for position, convert in self.from_wire:
            values[position] = convert(values[position])
        return self.record_class(*values)


class Codec:
    r"""Encoder and decoder of a fixed set of record classes.

    Parameters
    ==========

    record_classes : iterable of type
        Classes that may be the top level of a message. The classes of
        their fields are added.
    sealer : Sealer or None
        Seals and checks the flow tokens inside messages.
    compress_from_bytes : int or None
        Arrays of this length and longer are compressed.

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
        'sealer', 'plan_by_record', 'plan_by_struct', 'encoder', 'decoder',
        'compress_from_bytes')

    def __init__(
            self, record_classes, sealer=None, compress_from_bytes=None):
        self.sealer = sealer
        self.compress_from_bytes = compress_from_bytes
        self.plan_by_record = {}
        self.plan_by_struct = {}
        self.encoder = msgspec.msgpack.Encoder()
        top_level = tuple(
            self._plan_for(item).struct for item in record_classes)
        self.decoder = msgspec.msgpack.Decoder(typing.Union[top_level])

    def encode(self, message):
        r"""Return the message as bytes."""
        array = self._encode_array(message)
        if self.compress_from_bytes is not None and (
                len(array) >= self.compress_from_bytes):
            return COMPRESSED_BYTE + zlib.compress(array, COMPRESSION_LEVEL)
        return VERSION_BYTE + array

    def decode(self, data):
        r"""Return ``Success(record)`` or ``Failure(message)``."""
        read = self.read(data)
        return read if type(read) is result.Failure else result.Success(read)

    def read(self, data):
        r"""Return the bare record or ``Failure(message)``.

        Like ``decode``, but without the ``Success``. The packet path uses
        it because wrapping and unwrapping takes 0.8 us for each packet.
        """
        if len(data) > MAXIMUM_MESSAGE_BYTES:
            return result.Failure(
                'malformed message: %d bytes exceed %d'
                % (len(data), MAXIMUM_MESSAGE_BYTES))
        version = data[:1]
        if version != VERSION_BYTE and not self._is_compressed(version):
            return result.Failure('malformed message: %s' % (
                'unknown version %d' % data[0] if data else 'no bytes'))
        array = data[1:]
        try:
            if version == COMPRESSED_BYTE:
                array = _decompress(array)
            struct = self.decoder.decode(array)
            message = self.plan_by_struct[type(struct)].make_record(struct)
        except (msgspec.DecodeError, RecursionError, ValueError,
                zlib.error) as error:
            return result.Failure('malformed message: %s' % error)
        if isinstance(message, packet.CallerPacket):
            message._wire = array
        return message

    def _is_compressed(self, version):
        return (
            self.compress_from_bytes is not None
            and version == COMPRESSED_BYTE)

    def _encode_array(self, message):
        return self.encoder.encode(
            self.plan_by_record[type(message)].make_struct(message))

    def _plan_for(self, record_class):
        known = self.plan_by_record.get(record_class)
        if known is not None:
            return known
        hints = typing.get_type_hints(record_class.__init__)
        parameters = inspect.signature(record_class).parameters
        conversion_by_name = {
            name: self._conversion(hints[name]) for name in parameters}
        struct = msgspec.defstruct(
            record.wire_name(record_class),
            [_wire_field(parameters[name], item)
             for name, item in conversion_by_name.items()],
            array_like=True, tag=record.wire_name(record_class), gc=False)
        plan = Plan(record_class, struct, conversion_by_name)
        self.plan_by_record[record_class] = plan
        self.plan_by_struct[struct] = plan
        return plan

    def _conversion(self, hint):
        r"""Return the ``Conversion`` of an annotation."""
        if hint is token.Token:
            return Conversion(bytes, self.sealer.seal, self._unseal)
        if hint is address.Address:
            return Conversion(bytes, address.to_bytes, address.from_bytes)
        origin = typing.get_origin(hint)
        arguments = typing.get_args(hint)
        if origin in (typing.Union, types.UnionType):
            return self._union(arguments)
        if origin in (tuple, list):
            return self._sequence(origin, arguments[0])
        if origin is dict:
            return self._dictionary(arguments)
        if inspect.isclass(hint) and issubclass(hint, record.Record):
            plan = self._plan_for(hint)
            return Conversion(
                plan.struct, plan.make_struct, plan.make_record)
        return Conversion(hint)

    def _union(self, arguments):
        r"""Convert ``X | None`` and unions of record classes."""
        present = [item for item in arguments if item is not type(None)]
        if all(inspect.isclass(item) and issubclass(
                item, packet.CallerPacket) for item in present):
            return self._nested_packet(present)
        if len(present) == 1:
            return _optional(self._conversion(present[0]))
        structs = tuple(self._plan_for(item).struct for item in present)
        return Conversion(
            typing.Union[structs],
            lambda value: self.plan_by_record[type(value)].make_struct(
                value),
            lambda value: self.plan_by_struct[type(value)].make_record(
                value))

    def _nested_packet(self, packet_classes):
        decoder = msgspec.msgpack.Decoder(typing.Union[tuple(
            self._plan_for(item).struct for item in packet_classes)])

        def to_wire(value):
            wire = getattr(value, '_wire', None)
            return msgspec.Raw(
                self._encode_array(value) if wire is None else wire)

        def from_wire(raw):
            struct = decoder.decode(raw)
            value = self.plan_by_struct[type(struct)].make_record(struct)
            value._wire = bytes(raw)
            return value

        return Conversion(msgspec.Raw, to_wire, from_wire)

    def _sequence(self, origin, item):
        inner = self._conversion(item)
        if inner.to_wire is None:
            arguments = (
                (inner.wire_type, ...) if origin is tuple
                else (inner.wire_type,))
            return Conversion(types.GenericAlias(
                tuple if origin is tuple else list, arguments))
        return Conversion(
            types.GenericAlias(list, (inner.wire_type,)),
            lambda values: [inner.to_wire(value) for value in values],
            lambda values: origin(
                inner.from_wire(value) for value in values))

    def _dictionary(self, arguments):
        key_type, value_type = arguments
        inner = self._conversion(value_type)
        wire_type = types.GenericAlias(dict, (key_type, inner.wire_type))
        if inner.to_wire is None:
            return Conversion(wire_type)
        return Conversion(
            wire_type,
            lambda values: {
                key: inner.to_wire(value)
                for key, value in values.items()},
            lambda values: {
                key: inner.from_wire(value)
                for key, value in values.items()})

    def _unseal(self, sealed):
        outcome = self.sealer.unseal(sealed)
        if type(outcome) is result.Failure:
            raise ValueError(outcome.failure())
        return outcome


def _wire_field(parameter, conversion):
    r"""Return the field of a struct.

    A field at the end of a record may have a default, which stands for it in
    messages and files of a build that did not have the field.
    """
    default = parameter.default
    if default is inspect.Parameter.empty:
        return parameter.name, conversion.wire_type
    if conversion.to_wire is not None:
        default = conversion.to_wire(default)
    return parameter.name, conversion.wire_type, default


def _decompress(data):
    r"""Return the array of a compressed message.

    Raises
    ======

    ValueError
        If the message is longer than a message may be, or incomplete.
    zlib.error
        If the data is not compressed.
    """
    decompressor = zlib.decompressobj()
    array = decompressor.decompress(data, MAXIMUM_MESSAGE_BYTES)
    if not decompressor.eof:
        raise ValueError('compressed data is too long or incomplete')
    return array


def _make_reader(names):
    r"""Return a function that returns the named attributes as a list."""
    if not names:
        return lambda item: []
    if len(names) == 1:
        return lambda item: [getattr(item, names[0])]
    read = operator.attrgetter(*names)
    return lambda item: list(read(item))


def _optional(inner):
    r"""Return the conversion of ``X | None``."""
    wire_type = typing.Union[tuple([inner.wire_type, None])]
    if inner.to_wire is None:
        return Conversion(wire_type)
    return Conversion(
        wire_type,
        lambda value: None if value is None else inner.to_wire(value),
        lambda value: None if value is None else inner.from_wire(value))


def make_data_path_codec(sealer) -> Codec:
    r"""Return the codec of the messages between balancers and agents."""
    return Codec(
        [
            packet.Open, packet.Request, packet.Cancel, packet.Close,
            packet.Opened, packet.Answer, packet.Refused,
            packet.Forwarded, packet.OpenOutcome,
        ],
        sealer,
    )
