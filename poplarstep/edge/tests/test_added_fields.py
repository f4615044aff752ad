"""Tests of records that have more fields than in an earlier build."""

import msgspec
import pytest

from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.dissemination import message as dissemination
from poplarstep.edge import wire

ROUTE = model.Route(
    'r-1', 1, address.Address('198.18.0.1', 443), False, 1, 500, 100,
    (model.Share(1, 1),), 3, (2,))
UPDATE = dissemination.Update(
    1, 3, (model.Change(3, ROUTE),), None, 2500, None, ())


def encode_as(route_fields):
    """Return an update whose route has the first fields only."""
    codec = wire.make_control_codec()
    data = codec.encode(UPDATE)
    fields = msgspec.msgpack.decode(data[1:])
    change = fields[3][0]
    change[-1] = change[-1][:1 + route_fields]
    return data[:1] + msgspec.msgpack.encode(fields)


@pytest.mark.parametrize('route_fields, former_services', [
    (len(model.Route.__slots__), (2,)),
    (len(model.Route.__slots__) - 1, ()),
])
def test_a_record_of_an_earlier_build_gets_the_default(
        route_fields, former_services):
    """Guards against messages and files that a new build can't read."""
    update = wire.make_control_codec().decode(
        encode_as(route_fields)).unwrap()
    route = update.changes[0].body
    assert route == ROUTE.replace(former_services=former_services)


def test_a_record_without_a_required_field_is_malformed():
    """Guards against defaults for fields that always existed."""
    assert 'malformed' in wire.make_control_codec().decode(
        encode_as(len(model.Route.__slots__) - 2)).failure()
