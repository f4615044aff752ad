"""Tests of records."""

import pytest

from poplarstep.core import record
from poplarstep.flow import packet


@pytest.mark.parametrize('left, right, equal', [
    (packet.Open(1), packet.Open(1), True),
    (packet.Open(1), packet.Open(2), False),
    (packet.Open(1), packet.Load(1, 1, 1, 1, 1.0), False),
])
def test_records_compare_by_value(left, right, equal):
    """Guards against equal messages that compare as different."""
    assert (left == right) is equal


def test_replace_rejects_unknown_field():
    """Guards against a misspelt field that is silently ignored."""
    with pytest.raises(TypeError, match='no field flow_id'):
        packet.Open(1).replace(flow_id=2)
    assert record.field_names(packet.Open) == ('flow_key',)
