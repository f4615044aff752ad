"""Control links with connections that pass nothing, over loopback."""

import os

import gevent
from gevent import server
from gevent import socket
import pynng
import pytest

from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.dissemination import message
from poplarstep.edge import clock
from poplarstep.edge import codec
from poplarstep.edge import link
from poplarstep.edge import wire

# Addresses differ between runs of the tests at the same time on one host.
SENDER, FRONT, RECEIVER = [
    address.Address('127.46.%d.%d' % (os.getpid() % 250, last), 7000)
    for last in (1, 2, 3)]
POLL = message.Poll('node', 'agent', 1, 1, 2, False, (), ())
HANDSHAKE_BYTES = 8
ACK_TIMEOUT_MS = 200


class Proxy:
    r"""Forwards connections, but stops reading the first ``silent`` ones.

    These complete the protocol's handshake if ``handshake`` is true.
    """

    __slots__ = ('server', 'accepted', 'silent', 'handshake')

    def __init__(self, silent, handshake):
        self.accepted = 0
        self.silent = silent
        self.handshake = handshake
        self.server = server.StreamServer(
            (FRONT.ip, FRONT.port), self.serve)
        self.server.start()

    def serve(self, front, source):
        r"""Forward bytes in both directions, or stop after the handshake."""
        self.accepted += 1
        limit = None
        if self.accepted <= self.silent:
            limit = HANDSHAKE_BYTES if self.handshake else 0
        back = socket.create_connection((RECEIVER.ip, RECEIVER.port))
        gevent.spawn(copy, back, front, limit)
        copy(front, back, limit)
        gevent.sleep(60)


def copy(source, destination, limit):
    r"""Copy bytes, at most ``limit`` of them if it is not None."""
    copied = 0
    while limit is None or copied < limit:
        data = source.recv(65536 if limit is None else limit - copied)
        if not data:
            return
        copied += len(data)
        destination.sendall(data)


@pytest.fixture
def pair(monkeypatch):
    r"""Two links; the receiver advertises the proxy and answers all."""
    monkeypatch.setattr(link, 'ACK_TIMEOUT_MS', ACK_TIMEOUT_MS)
    monkeypatch.setattr(link, 'MAXIMUM_ACK_TIMEOUT_MS', 4 * ACK_TIMEOUT_MS)
    opened = [
        link.open_links(bound, wire.make_control_codec(), 'c').unwrap()
        for bound in (SENDER, RECEIVER)]
    sender, receiver = opened
    receiver.advertised = FRONT
    arrived = []

    def answer(batch):
        arrived.extend(batch)
        receiver.send(effect.SendControl(SENDER, POLL))

    readers = [gevent.spawn(sender.read_loop, lambda batch: None),
               gevent.spawn(receiver.read_loop, answer)]
    yield sender, receiver, arrived
    gevent.killall(readers)
    for item in opened:
        item.close()


def send_for(sender, milliseconds):
    r"""Send a message every 10 ms."""
    for _ in range(milliseconds // 10):
        sender.send(effect.SendControl(FRONT, POLL))
        gevent.sleep(0.01)


SILENT = (
    # silent connections, whether they complete the handshake, dials
    (0, True, 1),
    (1, True, 2),
    (1, False, 2),
    (2, True, 3),
)


@pytest.mark.parametrize('silent, handshake, dials', SILENT)
def test_silent_connection_is_dialled_again(pair, silent, handshake, dials):
    r"""Guards against a dead connection that is kept, and excess dials."""
    sender, _, arrived = pair
    proxy = Proxy(silent, handshake)
    try:
        send_for(sender, 1200)
    finally:
        proxy.server.stop()
    assert arrived, 'nothing arrived over a new connection'
    assert sender.counters.dialled == dials
    assert sender.counters.redialled == dials - 1


def test_connection_silent_in_one_direction_is_dialled_again(pair):
    r"""Guards against a one-way failure that received messages hide.

    Control hosts whose votes arrive in one direction only elect no leader.
    """
    sender, receiver, arrived = pair
    proxy = Proxy(1, True)

    def keep_sending():
        while True:
            receiver.send(effect.SendControl(SENDER, POLL))
            gevent.sleep(0.02)

    sending = gevent.spawn(keep_sending)
    try:
        send_for(sender, 1200)
    finally:
        sending.kill()
        proxy.server.stop()
    assert sender.counters.received > 20
    assert arrived, 'nothing arrived over a new connection'
    assert sender.counters.dialled == 2


def test_dials_of_a_silent_peer_back_off(pair):
    r"""Guards against a dial at every timeout of a silent peer."""
    sender, _, _ = pair
    proxy = Proxy(100, True)
    end_ms = clock.now_ms() + 3000
    try:
        while clock.now_ms() < end_ms:
            send_for(sender, 10)
    finally:
        proxy.server.stop()
    # At 0, 200, 600, 1400, 2200 and 3000 ms; without backoff 15 dials.
    assert 3 <= sender.counters.dialled <= 6


def test_idle_link_is_closed(pair, monkeypatch):
    r"""Guards against sockets and greenlets that outlive a peer."""
    sender, _, _ = pair
    monkeypatch.setattr(link, 'IDLE_MS', 100)
    sender.send(effect.SendControl(FRONT, POLL))
    gevent.sleep(0.5)
    assert not sender.peer_by_address
    assert sender.counters.closed_idle == 1


def test_oversized_message_does_not_block_the_link(pair, monkeypatch):
    r"""Guards against a message that ends the inbox or blocks a link."""
    sender, receiver, arrived = pair
    raw = pynng.Push0(dial='tcp://%s' % RECEIVER, block_on_dial=True)
    raw.send(bytes(codec.MAXIMUM_MESSAGE_BYTES + 1))
    raw.send(b'\xdd' + bytes(codec.MAXIMUM_MESSAGE_BYTES // 2))
    sender.send(effect.SendControl(RECEIVER, POLL))
    gevent.sleep(1.5)
    raw.close()
    assert [item.message for item in arrived] == [POLL]
    monkeypatch.setattr(link, 'MAXIMUM_BODY_BYTES', 10)
    sender.send(effect.SendControl(RECEIVER, POLL))
    assert sender.counters.refused_large == 1
