"""Tests of the daemon process: failed starts, signals, bad requests."""

import json
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

import pytest

from standins import network

# Addresses that start with NET are reserved until this process ends.
RESERVATION = network.reserve()
NET = '127.%d' % RESERVATION.__enter__()
DAEMON = [sys.executable, '-m', 'poplarstep.programs.daemon', 'run']
BALANCER = {
    'role': 'balancer', 'node': 'b', 'data-centre': 'gs-a',
    'cluster-key': 'key of these tests', 'control-address': NET + '.0.1:7000',
    'http-address': NET + '.0.1:8000', 'upstreams': NET + '.0.9:7000',
    'front-address': NET + '.0.1:7100', 'back-address': NET + '.0.1:7200',
}
AGENT = {
    'role': 'agent', 'node': 'lookups/0', 'data-centre': 'gs-a',
    'cluster-key': 'key of these tests', 'control-address': NET + '.0.2:7000',
    'http-address': NET + '.0.2:8000', 'upstreams': NET + '.0.9:7000',
    'agent-address': NET + '.0.2:7300',
}
CONTROL = {
    'role': 'control', 'node': 'c', 'data-centre': 'gs-a',
    'control-address': NET + '.0.3:7000', 'http-address': NET + '.0.3:8000',
    'control-hosts': 'c=' + NET + '.0.3:7000', 'start': 'bootstrap',
}
# Runs the daemon with a stage handler that raises an error.
FAULTY_DAEMON = '''
from poplarstep.flow import packet
from poplarstep.routing import gate
from poplarstep.programs import daemon
def fail(state, event, now):
    raise RuntimeError('a fault')
gate.GATE.handler_by_type[packet.Ingress] = fail
daemon.main(['run'] + %r)
'''


def flags(values):
    return [text for name, value in values.items()
            for text in ('--' + name, value)]


def start(values, **options):
    return subprocess.Popen(
        DAEMON + flags(values), stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT, text=True, **options)


def finish(child):
    try:
        output, _ = child.communicate(timeout=20)
    finally:
        child.kill()
    return child.returncode, output


def request(address, path, body=None):
    r"""Return ``(status, decoded JSON)``; wait for the server to start."""
    deadline = time.monotonic() + 10
    while True:
        try:
            with urllib.request.urlopen(
                    'http://%s%s' % (address, path), body, 10) as reply:
                return reply.status, json.load(reply)
        except urllib.error.HTTPError as error:
            return error.code, json.load(error)
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.05)


def occupy(socket_type, address):
    r"""Return a socket that is bound to an address, so that it is in use."""
    ip, port = address.split(':')
    bound = socket.socket(socket.AF_INET, socket_type)
    # Connections of an earlier run may still be in TIME_WAIT.
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((ip, int(port)))
    if socket_type == socket.SOCK_STREAM:
        bound.listen()
    return bound


# Settings, changes to them, the address in use (socket type, setting), exit
# code, texts in the output.
FAILED_STARTS = (
    (BALANCER, {}, (socket.SOCK_DGRAM, 'front-address'), 3,
     ['cannot bind UDP %s.0.1:7100: Address already in use' % NET]),
    (BALANCER, {}, (socket.SOCK_STREAM, 'http-address'), 3,
     ['cannot listen on HTTP address %s.0.1:8000' % NET]),
    (AGENT, {}, (socket.SOCK_STREAM, 'control-address'), 3,
     ['cannot listen on control address %s.0.2:7000' % NET]),
    (CONTROL, {'data-folder': '/proc/none/log'}, None, 3,
     ['cannot start', '/proc/none/log']),
    (BALANCER, {'upstreams': 'host:1', 'selector': 'best',
                'opens-per-second': '9' * 5000, 'cluster-key': 'short'},
     None, 2, ['--upstreams: ', '--selector: ', '--opens-per-second: ',
               '--cluster-key: ', 'POPLARSTEP_TYPO: is not a setting']),
    (AGENT, {'role': 'router'}, None, 2, ['--role: ']),
)


@pytest.mark.parametrize('base, change, in_use, code, texts', FAILED_STARTS)
def test_failed_start_prints_the_reasons(
        base, change, in_use, code, texts, monkeypatch):
    bound = in_use and occupy(in_use[0], base[in_use[1]])
    if code == 2:
        monkeypatch.setenv('POPLARSTEP_TYPO', '1')
    exit_code, output = finish(start({**base, **change}))
    if bound:
        bound.close()
    assert exit_code == code, output
    for text in texts:
        assert text in output
    # A secret must not be logged, and a traceback doesn't help operators.
    assert 'short' not in output and 'Traceback' not in output


def test_a_fault_in_a_stage_ends_the_process():
    # Otherwise /healthz would succeed while the process forwards nothing.
    child = subprocess.Popen(
        [sys.executable, '-c', FAULTY_DAEMON % flags(BALANCER)],
        stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
    request(BALANCER['http-address'], '/healthz')
    header = bytes.fromhex('0d0a0d0a000d0a515549540a2112000c') + (
        bytes([127, 0, 0, 1] * 2) + b'\0\1\0\1')
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(header + b'\x01\x92\xa4Open\x01', (NET + '.0.1', 7100))
    code, output = finish(child)
    assert code == 5
    assert 'event=task-failed message=Ingress' in output
    assert 'event=node-failed exit_code=5' in output


def test_a_second_signal_ends_at_once_and_log_lines_have_keys():
    """Guards against a drain without end, and log lines without keys."""
    child = start({**BALANCER, 'drain-time': '3600000'})
    request(BALANCER['http-address'], '/healthz')
    child.send_signal(signal.SIGTERM)
    while request(BALANCER['http-address'], '/readyz')[0] != 503:
        pass
    time.sleep(0.2)
    child.send_signal(signal.SIGTERM)
    code, output = finish(child)
    assert code == 0
    lines = output.splitlines()
    assert ('event=node-stopped requests_cut=0 flows_ended=0 at_once=yes'
            in lines[-1])
    for line in lines:
        assert line.startswith('time=')
        assert ' node=b role=balancer configuration=0 event=' in line


COMMAND = {'client': 'c', 'sequence': 1, 'text': 'remove service x'}
POSTS = (
    # Path, body, expected status.
    ('/command', b'', 400), ('/command', b'\xff{', 400),
    ('/command', b'[' * 100000, 400), ('/command', b'x' * 2**20 + b'x', 413),
    ('/command', {**COMMAND, 'sequence': 2**70}, 400),
    ('/command', {**COMMAND, 'sequence': -1}, 400),
    ('/command', {**COMMAND, 'client': 'c' * 101}, 400),
    ('/command', {**COMMAND, 'text': 'show version'}, 400),
    ('/command', {**COMMAND, 'text': 'remove service ' + 'x' * 9999}, 400),
    ('/command', {**COMMAND, 'more': 1}, 400),
    # Statements that control hosts do not answer.
    ('/query', {'text': 'remove service x'}, 400),
    ('/query', {'text': 'show flows'}, 400),
    ('/query', {'text': 'wait version 3'}, 400),
    ('/query', {'text': 'show\x00version'}, 400),
    ('/nowhere', {}, 404),
    ('/query', {'text': 'show version'}, 200),
)


def test_bad_requests_leave_a_control_host_running(tmp_path):
    """Guards against a request that ends the task of a control host."""
    child = start({**CONTROL, 'data-folder': str(tmp_path / 'log')})
    address = CONTROL['http-address']
    try:
        while request(address, '/readyz')[0] != 200:
            time.sleep(0.05)
        for path, body, status in POSTS:
            if not isinstance(body, bytes):
                body = json.dumps(body).encode()
            assert request(address, path, body)[0] == status, body[:80]
    finally:
        child.send_signal(signal.SIGTERM)
        code, output = finish(child)
    assert code == 0, output
