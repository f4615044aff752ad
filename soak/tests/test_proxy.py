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
    """Return the echo, 'timeout' without an echo, or b'' when closed."""
    try:
        connection.sendall(b'ping')
        return connection.recv(100)
    except TimeoutError:
        return 'timeout'
    except ConnectionError:
        return b''


CASES = (
    # fault, result on an open connection, result on a new connection
    ('', b'ping', b'ping'),
    ('delay', b'ping', b'ping'),
    ('cut', 'timeout', 'timeout'),
    ('reset', b'', b'ping'),
    ('silence', 'timeout', b'ping'),
)


@pytest.mark.parametrize('fault, on_open, on_new', CASES)
def test_fault(proxy, fault, on_open, on_new):
    """Guards against faults without effect."""
    open_connection = connect()
    assert exchange(open_connection) == b'ping'
    proxy.set_fault(fault)
    assert exchange(open_connection) == on_open
    assert exchange(connect()) == on_new


@pytest.mark.parametrize('fault, after_fault', [
    ('delay', b'ping'), ('cut', b'ping'), ('silence', 'timeout')])
def test_end_of_a_fault(proxy, fault, after_fault):
    """Guards against faults that end too late or too soon."""
    open_connection = connect()
    exchange(open_connection)
    proxy.set_fault(fault)
    exchange(open_connection)
    proxy.set_fault('')
    gevent.sleep(0.2)
    # Data held during the fault arrives before or with the new echo.
    assert exchange(open_connection)[:len(after_fault)] == after_fault
    assert exchange(connect()) == b'ping'
