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

# What the target does with the request: (bytes or RESET, ran or None).
CASES = (
    (ANSWER, None),
    (NOT_RUN, False),
    (b'HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n', True),
    # An end in the middle of an answer raised an exception that nobody
    # caught: the call never reported and its slot was lost for good.
    (b'', True),
    (RESET, True),
    (b'HTTP/1.1 200 OK\r\nConte', True),
    (b'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok', True),
    (b'\x00not http\r\n\r\n', True),
)


def call(place, deadline_ms=500):
    reported = []
    client = target_client.TargetClient(reported.extend)
    client.connect(place)
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


def test_refused_connection_is_not_run_and_silence_may_have_run():
    # The first is retried, the second must not be (R7).
    closed = socket.socket()
    closed.bind(('127.0.0.1', 0))
    place = address.Address(*closed.getsockname())
    assert call(place)[0].may_have_run is False
    closed.listen()
    assert call(place, 50)[0].may_have_run is True
    closed.close()


def test_a_deadline_beyond_any_timer_is_cut():
    # Callers choose the number; too long a timer would raise.
    server = gevent_server.StreamServer(
        ('127.0.0.1', 0),
        lambda connection, source: connection.sendall(ANSWER))
    server.start()
    place = address.Address('127.0.0.1', server.server_port)
    assert call(place, 2**64 - 1)[0].payload == b'ok'
    server.stop()
