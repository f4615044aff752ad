"""Tests of the HTTP server of a process."""

import os

import gevent
from gevent import socket
import pytest

from poplarstep.core import address
from poplarstep.edge import web

BOUND = address.Address('127.47.%d.1' % (os.getpid() % 250), 8000)
REQUEST = b'GET /odd HTTP/1.1\r\nHost: a\r\n\r\n'


@pytest.mark.parametrize('requests', [0, 1])
def test_a_stopped_server_does_not_wait_for_open_connections(
        monkeypatch, requests):
    """Guards against a node that waits and forwards nothing at each stop.

    Routers and targets keep their connections open between two requests.
    """
    server = web.serve(BOUND, web.Routes()).unwrap()
    waits = []
    join = server.pool.join
    monkeypatch.setattr(server.pool, 'join', lambda timeout=None, **options: (
        waits.append(timeout), join(timeout=timeout, **options)))
    with socket.create_connection((BOUND.ip, BOUND.port)) as client:
        for _ in range(requests):
            client.sendall(REQUEST)
            assert client.recv(4096).startswith(b'HTTP/1.1 404')
        gevent.sleep(0)
        server.stop()
        assert waits and not any(waits)
        assert client.recv(4096) == b''


def test_a_server_starts_without_a_look_up_of_its_name(monkeypatch):
    """Guards against a start that waits for a name server."""
    looked_up = []
    monkeypatch.setattr(
        socket, 'getfqdn', lambda ip: looked_up.append(ip) or 'host')
    server = web.serve(BOUND, web.Routes()).unwrap()
    server.stop()
    assert looked_up == []
    assert server.environ['SERVER_NAME'] == BOUND.ip
