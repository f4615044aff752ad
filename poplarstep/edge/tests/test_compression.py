"""Tests of long control messages, which are compressed."""

import zlib

import pytest
from returns import result

from poplarstep.configuration import catalogue as catalogues
from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import record
from poplarstep.dissemination import message
from poplarstep.edge import codec
from poplarstep.edge import wire

# A link of 1.5 Mbit/s carries as many bytes in 50 ms.
BYTES_IN_50_MS = 1_500_000 // 8 // 20


def make_update(routes, targets=136):
    """Return the first update of a node: a whole configuration."""
    catalogue = catalogues.Catalogue()
    bodies: list[record.Record] = [
        model.Service('service', 1, None, 0, 2000, (), 1, 0.0)]
    bodies.extend(model.Route(
        'r-%06x' % (number * 7919), number,
        address.Address('198.18.%d.%d' % divmod(number, 250), 443), True, 2,
        2000, 150, (model.Share(1, 1),), 1) for number in range(routes))
    bodies.extend(model.Target(
        'side-%d/flow-agent' % number, number, 1, 1,
        address.Address('10.1.0.%d' % number, 7725), 10 ** 12 + number * 997,
        1, 1, 1, False, False, 1) for number in range(targets))
    catalogue.apply([model.Change(1, body) for body in bodies])
    return message.Update(1, 1, (), catalogue.snapshot(), 2500, None)


@pytest.mark.parametrize('routes', [0, 240, 1600])
def test_configuration_survives_compression(routes):
    """Guards against a node that starts with another configuration."""
    control_codec = wire.make_control_codec()
    update = make_update(routes)
    assert control_codec.decode(
        control_codec.encode(update)).unwrap() == update


def test_first_update_does_not_fill_a_thin_link():
    """Guards against offers that time out while a node gets its start.

    The configuration of the large deployment has 240 routes and 136 targets.
    """
    data = wire.make_control_codec().encode(make_update(240))
    assert len(data) <= BYTES_IN_50_MS


def test_short_messages_are_not_compressed():
    """Guards against processor time that saves no packet."""
    data = wire.make_control_codec().encode(
        message.Update(1, 1, (), None, 2500, None))
    assert data[:1] == codec.VERSION_BYTE


@pytest.mark.parametrize('body', [
    pytest.param(b'', id='empty'),
    pytest.param(b'no zlib data', id='not compressed'),
    pytest.param(zlib.compress(b'x' * 2000)[:20], id='cut short'),
    pytest.param(zlib.compress(b'\xc1' * 2000), id='not a message'),
    pytest.param(
        zlib.compress(bytes(codec.MAXIMUM_MESSAGE_BYTES + 1)),
        id='too long when decompressed'),
])
def test_malformed_compressed_data_is_rejected(body):
    """Guards against a process that ends or fills its memory."""
    read = wire.make_control_codec().read(codec.COMPRESSED_BYTE + body)
    assert isinstance(read, result.Failure)


def test_packet_codecs_accept_no_compressed_data():
    """Guards against datagrams of callers that cost time to decompress."""
    data = wire.make_control_codec().encode(make_update(240))
    read = wire.make_flow_codec().read(data)
    assert read.failure() == 'malformed message: unknown version 129'
