"""Tests of the calls from an agent to its target."""

import socket
import struct

import gevent
from gevent import server as gevent_server
import pytest

from poplarstep.core import address
from poplarstep.edge import target_client
from poplarstep.requests import message

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
NOT_RUN = (b'HTTP/1.1 503 Service Unavailable\r\nRequest-Not-Run: true\r\n'
           b'Content-Length: 0\r\n\r\n')
RESET = object()

# The target's answer, or RESET for a connection reset; whether the call
# reports that the request may have run, or None if it reports an answer.
CASES = (
    (ANSWER, None),
    (NOT_RUN, False),
    (b'HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n', True),
    # A connection that ends in the middle of an answer must be reported too,
    # or the call occupies its in-flight slot for ever.
    (b'', True),
    (RESET, True),
    (b'HTTP/1.1 200 OK\r\nConte', True),
    (b'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok', True),
    (b'\x00not http\r\n\r\n', True),
)


def call(target_address, deadline_ms=500):
    reported = []
    client = target_client.TargetClient(reported.extend)
    client.set_address(target_address)
    client.call(message.CallTarget(
        message.RequestKey(1, 2), 'key', False, deadline_ms, b'payload'))
    with gevent.Timeout(5):
        while not reported:
            gevent.sleep(0.005)
    return reported


@pytest.mark.parametrize('reply, ran', CASES)
def test_every_call_reports_once(reply, ran):
    seen = []

    def handle(connection, source):
        seen.append(connection.recv(65536))
        if reply is RESET:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER,
                struct.pack('ii', 1, 0))
        else:
            connection.sendall(reply)
        connection.close()

    server = gevent_server.StreamServer(('127.0.0.1', 0), handle)
    server.start()
    reported = call(address.Address('127.0.0.1', server.server_port))
    server.stop()
    assert len(reported) == 1
    # A second copy would run a non-idempotent request twice.
    assert len(seen) == 1
    if ran is None:
        assert reported[0].payload == b'ok'
    else:
        assert reported[0].may_have_run is ran


def test_refused_connection_is_not_run_and_timeout_may_have_run():
    # A request that may have run must not be sent again: a non-idempotent
    # request runs at most once.
    closed = socket.socket()
    closed.bind(('127.0.0.1', 0))
    target_address = address.Address(*closed.getsockname())
    assert call(target_address)[0].may_have_run is False
    closed.listen()
    assert call(target_address, 50)[0].may_have_run is True
    closed.close()


def test_deadline_beyond_the_limit_of_timers_is_reduced():
    # Callers choose the deadline; a timer that is too long would raise.
    server = gevent_server.StreamServer(
        ('127.0.0.1', 0),
        lambda connection, source: connection.sendall(ANSWER))
    server.start()
    target_address = address.Address('127.0.0.1', server.server_port)
    assert call(target_address, 2**64 - 1)[0].payload == b'ok'
    server.stop()
