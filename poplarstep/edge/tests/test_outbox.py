"""Tests of the outbox of a control link."""

from gevent import queue
import pytest

from poplarstep.core import address
from poplarstep.edge import link

PEER = address.Address('10.0.0.1', 7000)
MEBIBYTE = 1024 * 1024


@pytest.mark.parametrize('size, accepted', [
    (100, link.OUTBOX_MESSAGES),
    (MEBIBYTE, 32),
    (link.MAXIMUM_BODY_BYTES, 2),
])
def test_the_outbox_is_bounded_in_messages_and_bytes(size, accepted):
    """Guards against large messages to a slow peer that fill the memory.

    The messages were counted, but not their bytes.
    """
    peer = link.Peer(PEER, 0)
    body = bytes(size)
    assert sum(peer.put(body) for _ in range(300)) == accepted
    assert peer.get() == body
    assert peer.put(body)
    while not peer.outbox.empty():
        peer.get()
    assert peer.queued_bytes == 0
    with pytest.raises(queue.Empty):
        peer.get()
