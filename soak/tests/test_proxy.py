"""Tests of the soak's proxy."""

import os

import gevent
from gevent import server
from gevent import socket
import pytest

from poplarstep.core import address
from soak import proxy as proxies

NET = '127.47.%d.%d'
FRONT, BEHIND = [
    address.Address(NET % (os.getpid() % 250, last), 7000) for last in (1, 2)]


@pytest.fixture(name='proxy')
def make_proxy():
    """Return a proxy in front of a server that echoes."""
    def echo(connection, source):
        while True:
            data = connection.recv(100)
            if not data:
                return
            connection.sendall(data)

    behind = server.StreamServer((BEHIND.ip, BEHIND.port), echo)
    behind.start()
    proxy = proxies.Proxy(FRONT, BEHIND)
    proxy.start()
    yield proxy
    proxy.stop()
    behind.stop()


def dial():
    """Return a new connection through the proxy."""
    opened = socket.create_connection((FRONT.ip, FRONT.port))
    opened.settimeout(1)
    return opened


def exchange(opened):
    """Return what comes back, or the name of what went wrong."""
    try:
        opened.sendall(b'ping')
        return opened.recv(100)
    except TimeoutError:
        return 'silence'
    except ConnectionError:
        return b''


CASES = (
    # fault, what an open connection gives, what a new one gives
    ('', b'ping', b'ping'),
    ('delay', b'ping', b'ping'),
    ('cut', 'silence', 'silence'),
    ('reset', b'', b'ping'),
    ('silence', 'silence', b'ping'),
)


@pytest.mark.parametrize('fault, opened, fresh', CASES)
def test_fault(proxy, fault, opened, fresh):
    """Guards against a soak whose faults do nothing."""
    before = dial()
    assert exchange(before) == b'ping'
    proxy.set_fault(fault)
    assert exchange(before) == opened
    assert exchange(dial()) == fresh


@pytest.mark.parametrize('fault, healed', [
    ('delay', b'ping'), ('cut', b'ping'), ('silence', 'silence')])
def test_end_of_a_fault(proxy, fault, healed):
    """Guards against faults that outlast their time, or end too soon."""
    before = dial()
    exchange(before)
    proxy.set_fault(fault)
    exchange(before)
    proxy.set_fault('')
    gevent.sleep(0.2)
    # What was held back comes with the rest, or before it.
    assert exchange(before)[:len(healed)] == healed
    assert exchange(dial()) == b'ping'
