r"""A deployment of opaque flows: real programs, stand-ins and proxies.

Explanation
===========

Control hosts, balancers and agents are processes of ``poplarstepd``; each
target is a stand-in process. Every inbox has a proxy. Addresses are
``127.N.K.I`` with a network ``N`` that the run has reserved.
"""

import json
import random
import signal
import subprocess
import sys
import time

import gevent
from geventhttpclient import client as http_client

from poplarstep.core import address
from poplarstep.core import record
from soak import proxy as proxies

CONTROL, BALANCER, AGENT, SERVICE, CALLER = 1, 2, 3, 4, 9
INBOX, PROXY, FRONT, BACK, HTTP = 7000, 7900, 7100, 7200, 8000
TARGET, OUTBOUND, ROUTE = 9000, 9100, 5000
DATA_CENTRES = ('a', 'b', 'c')
COLD_MS = 2000
COLD_LIMIT = 5
HTTP_TIMEOUT_S = 1.5
ROTATION_S = 0.5
DRAIN_MS = 2500


class Service(record.Record):
    r"""A service of the soak and its route."""

    __slots__ = ('name', 'targets', 'idempotent', 'limit_s')

    def __init__(self, name, targets, idempotent, limit_s):
        self.name = name
        self.targets = targets
        self.idempotent = idempotent
        self.limit_s = limit_s


SERVICES = (
    Service('dispatch', 4, False, 3.0),
    Service('certs', 2, True, 3.0),
)


class Process:
    r"""One process and how it is started; ``child`` is None while down."""

    __slots__ = ('name', 'kind', 'index', 'command', 'again', 'child')

    def __init__(self, name, kind, index, command, again=None):
        self.name = name
        self.kind = kind
        self.index = index
        self.command = command
        self.again = again or command
        self.child = None


class System:
    r"""All processes of a run.

    Parameters
    ==========

    network : int
        Second part of all addresses.
    folder : pathlib.Path
        Data folders, journals and logs.
    size : int
        Factor of the number of balancers and targets.
    """

    __slots__ = (
        'network', 'folder', 'size', 'log', 'process_by_name',
        'proxy_by_name', 'rotation', 'random', 'missed_by_index',
        'balancers')

    def __init__(self, network, folder, seed, size=1):
        self.network = network
        self.folder = folder
        self.size = size
        self.log = open(folder / 'log', 'ab')
        self.process_by_name = {}
        self.proxy_by_name = {}
        self.random = random.Random(seed)
        self.balancers = 3 * size
        self.rotation = list(range(self.balancers))
        self.missed_by_index = dict.fromkeys(self.rotation, 0)

    def place(self, kind, index, port):
        r"""Return the address of a process."""
        return address.Address('127.%d.%d.%d' % (
            self.network, kind + index // 250 * 10, index % 250 + 1), port)

    def inboxes(self, kind, count):
        r"""Return the advertised inboxes of a kind, as text."""
        return ','.join(str(self.place(kind, index, PROXY))
                        for index in range(count))

    def start(self):
        r"""Start all processes and their proxies."""
        for index in range(3):
            self._add(self._control(index))
        for index in range(self.balancers):
            self._add(self._balancer(index))
        index = 0
        for service in SERVICES:
            for _ in range(service.targets * self.size):
                self._add(self._agent(index))
                self._add(self._target(index, service))
                index += 1
        gevent.spawn(self._watch_rotation)

    def stop(self):
        r"""Kill every process that this object started."""
        for process in self.process_by_name.values():
            self.kill(process.name)
        for item in self.proxy_by_name.values():
            item.stop()
        self.log.close()

    def run(self, name):
        r"""Start a process that is down."""
        process = self.process_by_name[name]
        if process.child is None:
            process.child = subprocess.Popen(
                process.command, stdout=self.log, stderr=self.log)
            process.command = process.again

    def kill(self, name):
        r"""Kill a process and wait for its end."""
        process = self.process_by_name[name]
        if process.child is not None:
            process.child.kill()
            process.child.wait()
            process.child = None

    def signal(self, name, number):
        r"""Send a signal to a process that runs."""
        process = self.process_by_name[name]
        if process.child is not None:
            process.child.send_signal(number)

    def terminate(self, name, patience_s=15):
        r"""Stop a process gracefully; return its exit code."""
        process = self.process_by_name[name]
        child, process.child = process.child, None
        if child is None:
            return None
        child.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + patience_s
        while child.poll() is None and time.monotonic() < deadline:
            gevent.sleep(0.05)
        if child.poll() is None:
            child.kill()
        return child.wait()

    def names(self, kind):
        r"""Return the names of the processes of a kind."""
        return [item.name for item in self.process_by_name.values()
                if item.kind == kind]

    def pick(self):
        r"""Return the front of a balancer in rotation."""
        index = self.random.choice(self.rotation)
        return self.place(BALANCER, index, FRONT)

    def route_place(self, service):
        r"""Return the address of a service's route."""
        return self.place(SERVICE, SERVICES.index(service), ROUTE)

    def _add(self, process):
        self.process_by_name[process.name] = process
        if process.kind != TARGET:
            item = proxies.Proxy(
                self.place(process.kind, process.index, PROXY),
                self.place(process.kind, process.index, INBOX))
            item.start()
            self.proxy_by_name[process.name] = item
        self.run(process.name)

    def _node(self, name, kind, role, index, flags):
        command = [
            sys.executable, '-m', 'poplarstep.programs.daemon', 'run',
            '--role', role, '--node', name,
            '--data-centre', DATA_CENTRES[index % 3],
            '--control-address', str(self.place(kind, index, INBOX)),
            '--advertised-address', str(self.place(kind, index, PROXY)),
            '--http-address', str(self.place(kind, index, HTTP))]
        for flag, value in flags.items():
            command += ['--' + flag, str(value)]
        return Process(name, kind, index, command)

    def _control(self, index):
        process = self._node(
            'control-%d' % index, CONTROL, 'control', index, {
                'data-folder': self.folder / ('control-%d' % index),
                'control-hosts': ','.join(
                    'seed-%d=%s' % (item, self.place(CONTROL, item, PROXY))
                    for item in range(3)),
                'membership': 'automatic', 'drain-time': 0})
        process.again = process.command + ['--start', 'join']
        process.command = process.command + ['--start', 'bootstrap']
        return process

    def _balancer(self, index):
        return self._node(
            'balancer-%d' % index, BALANCER, 'flow-balancer', index, {
                'upstreams': self.inboxes(CONTROL, 3),
                'front-address': self.place(BALANCER, index, FRONT),
                'back-address': self.place(BALANCER, index, BACK),
                'without-control': 'serve', 'drain-time': DRAIN_MS})

    def _agent(self, index):
        return self._node(
            'agent-%d' % index, AGENT, 'flow-agent', index, {
                'upstreams': self.inboxes(CONTROL, 3),
                'agent-address': self.place(AGENT, index, FRONT),
                'target-address': self.place(AGENT, index, TARGET),
                'outbound-address': self.place(AGENT, index, OUTBOUND),
                'cold-slack': COLD_LIMIT, 'drain-time': DRAIN_MS})

    def _target(self, index, service):
        name = 'target-%d' % index
        return Process(name, TARGET, index, [
            sys.executable, '-m', 'standins.flow_target',
            '--name', name, '--service', service.name,
            '--address', str(self.place(AGENT, index, TARGET)),
            '--outbound', str(self.place(AGENT, index, OUTBOUND)),
            '--agent', str(self.place(AGENT, index, HTTP)),
            '--slots', '2', '--cold-ms', str(COLD_MS),
            '--cold-limit', str(COLD_LIMIT),
            '--journal', str(self.folder / name)])

    def _watch_rotation(self):
        r"""Take balancers out that are not ready twice in a row."""
        while True:
            for index in range(self.balancers):
                answer = call(
                    self.place(BALANCER, index, HTTP), 'GET', '/readyz')
                ready = answer is not None and answer[0] == 200
                missed = 0 if ready else self.missed_by_index[index] + 1
                self.missed_by_index[index] = missed
            ready = [index for index, missed in self.missed_by_index.items()
                     if missed < 2]
            self.rotation = ready or list(range(self.balancers))
            gevent.sleep(ROTATION_S)


def call(place, method, path, body=None):
    r"""Return ``(status, bytes)`` of an HTTP call, or None."""
    client = http_client.HTTPClient(
        place.ip, place.port, connection_timeout=HTTP_TIMEOUT_S,
        network_timeout=HTTP_TIMEOUT_S)
    try:
        response = client.request(
            method, path, body=json.dumps(body) if body else b'')
        return response.status_code, response.read()
    except (OSError, ValueError):
        # Down, paused or cut off: no answer is what the caller sees.
        return None
    finally:
        client.close()
