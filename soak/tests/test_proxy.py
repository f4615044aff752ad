"""Tests of the soak's proxy."""

import os

import gevent
from gevent import server
from gevent import socket
import pytest

from poplarstep.core import address
from soak import proxy as proxies

NET = '127.47.%d.%d'
PROXY_ADDRESS, NODE_ADDRESS = [
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

    node_server = server.StreamServer(
        (NODE_ADDRESS.ip, NODE_ADDRESS.port), echo)
    node_server.start()
    proxy = proxies.Proxy(PROXY_ADDRESS, NODE_ADDRESS)
    proxy.start()
    yield proxy
    proxy.stop()
    node_server.stop()


def connect():
    """Return a new connection through the proxy."""
    connection = socket.create_connection(
        (PROXY_ADDRESS.ip, PROXY_ADDRESS.port))
    connection.settimeout(1)
    return connection


def exchange(connection):
    """Return the echo, ``silence`` on a timeout, or b'' when closed."""
    try:
        connection.sendall(b'ping')
        return connection.recv(100)
    except TimeoutError:
        return 'silence'
    except ConnectionError:
        return b''


CASES = (
    # fault, result on an open connection, result on a new connection
    ('', b'ping', b'ping'),
    ('delay', b'ping', b'ping'),
    ('cut', 'silence', 'silence'),
    ('reset', b'', b'ping'),
    ('silence', 'silence', b'ping'),
)


@pytest.mark.parametrize('fault, on_open, on_new', CASES)
def test_fault(proxy, fault, on_open, on_new):
    """Guards against faults without effect."""
    before = connect()
    assert exchange(before) == b'ping'
    proxy.set_fault(fault)
    assert exchange(before) == on_open
    assert exchange(connect()) == on_new


@pytest.mark.parametrize('fault, after_fault', [
    ('delay', b'ping'), ('cut', b'ping'), ('silence', 'silence')])
def test_end_of_a_fault(proxy, fault, after_fault):
    """Guards against faults that end too late or too soon."""
    before = connect()
    exchange(before)
    proxy.set_fault(fault)
    exchange(before)
    proxy.set_fault('')
    gevent.sleep(0.2)
    # Data held during the fault arrives before or with the new echo.
    assert exchange(before)[:len(after_fault)] == after_fault
    assert exchange(connect()) == b'ping'
