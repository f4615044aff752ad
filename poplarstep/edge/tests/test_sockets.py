"""Tests of sockets with malformed, oversized and excess messages."""

import socket

import gevent
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pynng
import pytest

from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.edge import codec
from poplarstep.edge import datagrams
from poplarstep.edge import link
from poplarstep.edge import task as tasks
from poplarstep.edge import wire
from standins import network

# Network of loopback addresses, reserved until this process ends.
RESERVATION = network.reserve()
NET = '127.%d' % RESERVATION.__enter__()
HERE = address.Address(NET + '.0.1', 7000)
POLL = dissemination.Poll('node', 'agent', 1, 1, 2, False, (), ())
ENVELOPES = codec.Codec([link.Envelope])
BODY = wire.make_control_codec().encode(POLL)


def envelope(cluster, body):
    """Return the bytes of an envelope from ``HERE``."""
    return ENVELOPES.encode(link.Envelope(cluster, HERE, body, 1, 0))


VALID = envelope('cluster', BODY)


def wait_for(condition):
    with gevent.Timeout(10):
        while not condition():
            gevent.sleep(0.002)


@pytest.fixture(scope='module')
def inbox():
    links = link.open_links(
        HERE, wire.make_control_codec(), 'cluster').unwrap()
    delivered = []
    reader = gevent.spawn(links.read_loop, delivered.extend)
    sender = pynng.Push0(dial='tcp://%s' % HERE, block_on_dial=True)
    yield links, delivered, reader, sender
    sender.close()
    reader.kill()
    links.close()


# Message sent before a valid one, and the counter that it increments.
INVALID_MESSAGES = (
    (b'', 'malformed'), (b'\x01', 'malformed'), (VALID[:-1], 'malformed'),
    (b'\x02' + VALID[1:], 'malformed'), (VALID + b'\x00', 'malformed'),
    (envelope('cluster', BODY[:-1]), 'malformed'),
    (envelope('cluster', VALID), 'malformed'),
    (envelope('other', BODY), 'wrong_cluster'),
)


@pytest.mark.parametrize('invalid, counter', INVALID_MESSAGES)
def test_inbox_counts_invalid_messages(inbox, invalid, counter):
    """Guards against invalid messages that stop the inbox or go uncounted."""
    links, delivered, reader, sender = inbox
    delivered.clear()
    before = getattr(links.counters, counter)
    sender.send(invalid)
    sender.send(VALID)
    wait_for(lambda: delivered)
    assert delivered == [effect.Received(HERE, POLL)]
    assert getattr(links.counters, counter) == before + 1


@settings(max_examples=30)
@given(batch=strategies.lists(
    strategies.binary(max_size=100) | strategies.tuples(
        strategies.integers(0, len(VALID) - 1),
        strategies.integers(0, 255)).map(
            lambda pair: VALID[:pair[0]] + bytes([pair[1]])
            + VALID[pair[0] + 1:]),
    min_size=1, max_size=20))
def test_no_message_ends_the_reader_of_the_inbox(inbox, batch):
    """Guards against bytes that raise in the reader of the inbox."""
    links, delivered, reader, sender = inbox
    before = links.counters.received
    for data in batch:
        sender.send(data)
    wait_for(lambda: links.counters.received == before + len(batch))
    assert not reader.ready()


def test_number_of_links_is_bounded(monkeypatch):
    """Guards against a sender that makes the process open links at will."""
    monkeypatch.setattr(link, 'MAXIMUM_PEERS', 3)
    links = link.Links(HERE, wire.make_control_codec(), 'cluster', None)
    for port in range(1, 6):
        links.send(effect.SendControl(
            address.Address(NET + '.0.2', port), POLL))
    assert len(links.peer_by_address) == 3
    assert links.counters.refused_peers == 2
    for peer in list(links.peer_by_address.values()):
        peer.greenlet.kill()


def test_long_datagrams_are_counted_and_dropped():
    """Guards against oversized datagrams that are decoded."""
    delivered = []
    opened = datagrams.open_datagram_socket(
        address.Address(NET + '.0.3', 0),
        lambda source, data: data).unwrap()
    reader = gevent.spawn(opened.read_loop, delivered.extend)
    limit = datagrams.MAXIMUM_DATAGRAM_BYTES
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for size in (limit, limit + 1, 65000, 1):
            sender.sendto(b'x' * size, (opened.bound.ip, opened.bound.port))
    wait_for(lambda: opened.counters.received == 4)
    reader.kill()
    opened.close()
    assert [len(data) for data in delivered] == [limit, 1]
    assert opened.counters.malformed == 2


def test_full_inbox_drops_only_bounded_posts(monkeypatch):
    # If the report of a call to the target is lost, the call occupies its
    # in-flight slot for ever.
    monkeypatch.setattr(tasks, 'INBOX_MESSAGES', 3)
    seen = []
    keep = stage.Stage('keep')
    keep.handles(int)(lambda state, item, now: seen.append(item) or ())
    task = tasks.Task(
        'task', stage.Pipeline([(keep, None)]), timer.TimerQueue(), {})
    task.post([1, 2])
    task.post([3, 4])
    task.post_unbounded([5, 6])
    task.post([7])
    task.stop()
    task.stopping = False
    gevent.spawn(task.run).join(timeout=0.1)
    assert seen == [1, 2, 5, 6]
    assert task.counters.dropped_inbox == 3
    task.post([8])
    gevent.spawn(task.run).join(timeout=0.1)
    assert seen[-1] == 8
