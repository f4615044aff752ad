"""Encoding and decoding of every record in the log and on control links."""

import inspect
import types
import typing

import hypothesis
from hypothesis import strategies
import pytest
from returns import result

from poplarstep.configuration import command
from poplarstep.configuration import machine
from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.dissemination import message
from poplarstep.edge import codec
from poplarstep.edge import wire

SIMPLE = {
    bool: strategies.booleans(),
    int: strategies.integers(0, 2**63 - 1),
    str: strategies.text(max_size=8),
    bytes: strategies.binary(max_size=8),
    float: strategies.floats(allow_nan=False),
    type(None): strategies.none(),
    address.Address: strategies.binary(min_size=6, max_size=6).map(
        address.from_bytes),
}


def values(hint):
    r"""Return a strategy for the values that an annotation allows."""
    if hint in SIMPLE:
        return SIMPLE[hint]
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (typing.Union, types.UnionType):
        return strategies.one_of([values(item) for item in arguments])
    if origin is tuple:
        return strategies.lists(values(arguments[0]), max_size=2).map(tuple)
    if origin is dict:
        return strategies.dictionaries(*map(values, arguments), max_size=2)
    hints = typing.get_type_hints(hint.__init__)
    return strategies.builds(hint, **{
        name: values(hints[name])
        for name in inspect.signature(hint).parameters})


COMMANDS = wire.make_command_codec()
LINKS = wire.make_control_codec()
BODIES = typing.get_args(
    typing.get_type_hints(command.Command.__init__)['body'])
CHANGES = typing.get_args(
    typing.get_type_hints(model.Change.__init__)['body'])
ROUND_TRIPS = tuple(
    (COMMANDS, strategies.builds(
        command.Command, SIMPLE[str], SIMPLE[int], SIMPLE[int],
        values(body))) for body in BODIES
) + tuple(
    (LINKS, strategies.builds(
        message.Update, SIMPLE[int], SIMPLE[int], strategies.tuples(
            strategies.builds(model.Change, SIMPLE[int], values(body))),
        strategies.none(), SIMPLE[int], strategies.none()))
    for body in CHANGES
) + (
    (COMMANDS, values(machine.MachineSnapshot)),
    (LINKS, values(message.Poll)),
    (LINKS, values(message.Update)),
)


@pytest.mark.parametrize('codec_used, strategy', ROUND_TRIPS)
def test_round_trip(codec_used, strategy):
    r"""Guards against fields that the codec loses or swaps."""
    @hypothesis.settings(max_examples=15)
    @hypothesis.given(strategy)
    def check(item):
        assert codec_used.decode(codec_used.encode(item)).unwrap() == item
    check()


UPDATE = LINKS.encode(message.Update(
    1, 1, (model.Change(1, model.DataCentre('d', 1, True, 1)),), None, 0,
    address.Address('10.0.0.1', 1)))
MALFORMED = (
    # bytes, text of the failure
    (b'', 'malformed'),
    (UPDATE[:-3], 'malformed'),
    (UPDATE + b'\x00', 'malformed'),
    (UPDATE.replace(b'\xa1d', b'\xc3\xc3'), 'malformed'),
    (b'\x91' * 5000 + b'\x90', 'malformed'),
    (b'\xdd\xff\xff\xff\xff', 'malformed'),
    (bytes(codec.MAXIMUM_MESSAGE_BYTES + 1), 'exceed'),
)


@pytest.mark.parametrize('data, reason', MALFORMED)
def test_malformed_message_is_a_failure(data, reason):
    r"""Guards against a malformed message that ends the receiving task."""
    decoded = LINKS.decode(data)
    assert isinstance(decoded, result.Failure)
    assert reason in decoded.failure()
