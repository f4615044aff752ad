"""Tests of address parsing."""

import pytest
from returns import result

from poplarstep.core import address


@pytest.mark.parametrize('text', [
    '', ':', '1.2.3.4', '1.2.3.4:', '1.2.3.4:0', '1.2.3.4:65536',
    '1.2.3:80', '1.2.3.4:\u0663', '1.2.3.4:' + '1' * 5000, 'host:80',
])
def test_bad_address_is_a_failure(text):
    """Guards against exceptions and ports in digits other than ASCII."""
    assert isinstance(address.parse(text), result.Failure)
