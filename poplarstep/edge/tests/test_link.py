"""Links whose connection or peer goes silent, on loopback sockets."""

import os

import gevent
from gevent import server
from gevent import socket
import pynng
import pytest

from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.dissemination import message
from poplarstep.edge import codec
from poplarstep.edge import link
from poplarstep.edge import wire

# Runs of the tests at the same time on one host need other addresses.
SENDER, FRONT, RECEIVER = [
    address.Address('127.46.%d.%d' % (os.getpid() % 250, last), 7000)
    for last in (1, 2, 3)]
POLL = message.Poll('node', 'agent', 1, 1, 2, False, (), ())
HANDSHAKE_BYTES = 8
SILENT_MS = 200


class Proxy:
    r"""Accepts connections; the first ``silent`` ones stop being read.

    They complete the handshake of the protocol if ``handshake`` is true.
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
        r"""Pass bytes in both directions, or stop."""
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
    r"""Two links; the receiver answers everything from the proxy's place."""
    monkeypatch.setattr(link, 'SILENT_MS', SILENT_MS)
    monkeypatch.setattr(link, 'MAXIMUM_SILENT_MS', 4 * SILENT_MS)
    opened = [
        link.open_links(place, wire.make_control_codec(), 'c').unwrap()
        for place in (SENDER, RECEIVER)]
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
    r"""Guards against a dead connection that is kept, and a dial storm."""
    sender, _, arrived = pair
    proxy = Proxy(silent, handshake)
    try:
        send_for(sender, 1200)
    finally:
        proxy.server.stop()
    assert arrived, 'nothing arrived over a new connection'
    assert sender.counters.dialled == dials
    assert sender.counters.redialled == dials - 1


def test_connection_that_is_mute_in_one_direction_is_dialled_again(pair):
    r"""Guards against a link that looks alive because the peer still talks.

    Two control hosts stayed without a leader: votes went one way only.
    """
    sender, receiver, arrived = pair
    proxy = Proxy(1, True)

    def talk():
        while True:
            receiver.send(effect.SendControl(SENDER, POLL))
            gevent.sleep(0.02)

    talking = gevent.spawn(talk)
    try:
        send_for(sender, 1200)
    finally:
        talking.kill()
        proxy.server.stop()
    assert sender.counters.received > 20
    assert arrived, 'nothing arrived over a new connection'
    assert sender.counters.dialled == 2


def test_dials_of_a_dead_peer_back_off(pair):
    r"""Guards against a dial for every message to a dead peer."""
    sender, _, _ = pair
    proxy = Proxy(100, True)
    try:
        send_for(sender, 3000)
    finally:
        proxy.server.stop()
    # At 0, 200, 600, 1400, 2200 and 3000 ms; without backing off 15 times.
    assert 3 <= sender.counters.dialled <= 6


def test_idle_link_is_closed(pair, monkeypatch):
    r"""Guards against sockets and greenlets for subscribers that died."""
    sender, _, _ = pair
    monkeypatch.setattr(link, 'IDLE_MS', 100)
    sender.send(effect.SendControl(FRONT, POLL))
    gevent.sleep(0.5)
    assert not sender.peer_by_address
    assert sender.counters.closed_idle == 1


def test_huge_message_stops_nothing(pair, monkeypatch):
    r"""Guards against one message that ends the inbox or blocks a link."""
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
