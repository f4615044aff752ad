r"""Deployment of real programs, stand-in targets and fault proxies.

Explanation
===========

Control hosts, balancers and agents are processes of ``poplarstepd``, with
the roles for opaque flows; each target is a stand-in process. A proxy stands
in front of the control address of every node. Addresses are ``127.N.K.I``
with the network number ``N`` that the run has reserved, a number ``K`` for
the kind of process (plus 10 for each 250 processes of the kind), and a number
``I`` for the process.
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
from poplarstep.programs import settings
from soak import proxy as proxies

# Kinds of process and of service addresses, as the number ``K`` in their
# addresses. Targets share the addresses of their agents.
CONTROL, BALANCER, AGENT, SERVICE, TARGET, CALLER = 1, 2, 3, 4, 5, 9
CONTROL_PORT, PROXY_PORT, HTTP_PORT = 7000, 7900, 8000
FRONT_PORT, BACK_PORT, ROUTE_PORT = 7100, 7200, 5000
TARGET_PORT, OUTBOUND_PORT = 9000, 9100
DATA_CENTRES = ('a', 'b', 'c')
# Duration of the cold start of a target, and its limit on new flows per second
# during that time. An agent adds its slack to the rate of the configuration.
COLD_MS = 2000
COLD_LIMIT = 5
COLD_PER_S = 2
COLD_SLACK = COLD_LIMIT - COLD_PER_S
HTTP_TIMEOUT_S = 1.5
READINESS_PERIOD_S = 0.5
DRAIN_MS = 2500


class Service(record.Record):
    r"""A service of the soak and its route.

    Parameters
    ==========

    targets : int
        Number of targets at scale 1.
    timeout_s : float
        Timeout of a request with its retries.
    """

    __slots__ = ('name', 'targets', 'idempotent', 'timeout_s')

    def __init__(self, name, targets, idempotent, timeout_s):
        self.name = name
        self.targets = targets
        self.idempotent = idempotent
        self.timeout_s = timeout_s


SERVICES = (
    Service('dispatch', 4, False, 3.0),
    Service('certs', 2, True, 3.0),
)


class Process:
    r"""One process and the commands that start it.

    ``restart_command`` replaces ``command`` after the first start; ``child``
    is None while the process is down.
    """

    __slots__ = (
        'name', 'kind', 'index', 'command', 'restart_command', 'child')

    def __init__(self, name, kind, index, command, restart_command=None):
        self.name = name
        self.kind = kind
        self.index = index
        self.command = command
        self.restart_command = restart_command or command
        self.child = None


class System:
    r"""All processes of a run.

    Parameters
    ==========

    network : int
        Second part of all addresses.
    folder : pathlib.Path
        Folder of the data folders, journals and logs.
    scale : int
        Multiplies the numbers of balancers and targets.
    rotation : list of int
        Indices of the balancers to which callers send packets.
    failed_by_index : dict
        Number of the latest readiness checks that failed in a row, by index
        of the balancer.
    flags : dict
        Values of further settings by name; each node gets those of its role.
    """

    __slots__ = (
        'network', 'folder', 'scale', 'log', 'process_by_name',
        'proxy_by_name', 'rotation', 'random', 'failed_by_index',
        'balancer_count', 'flags')

    def __init__(self, network, folder, seed, scale=1, flags=()):
        self.network = network
        self.flags = dict(flags)
        self.folder = folder
        self.scale = scale
        self.log = open(folder / 'log', 'ab')
        self.process_by_name = {}
        self.proxy_by_name = {}
        self.random = random.Random(seed)
        self.balancer_count = 3 * scale
        self.rotation = list(range(self.balancer_count))
        self.failed_by_index = dict.fromkeys(self.rotation, 0)

    def address_of(self, kind, index, port):
        r"""Return the address of a port of a process."""
        return address.Address('127.%d.%d.%d' % (
            self.network, kind + index // 250 * 10, index % 250 + 1), port)

    def advertised_addresses(self, kind, count):
        r"""Return the proxied control addresses of a kind of node, as text."""
        return ','.join(str(self.address_of(kind, index, PROXY_PORT))
                        for index in range(count))

    def start(self):
        r"""Start all processes and their proxies."""
        for index in range(3):
            self._add(self._control(index))
        for index in range(self.balancer_count):
            self._add(self._balancer(index))
        index = 0
        for service in SERVICES:
            for _ in range(service.targets * self.scale):
                self._add(self._agent(index))
                self._add(self._target(index, service))
                index += 1
        gevent.spawn(self._watch_rotation)

    def stop(self):
        r"""Kill all processes and stop their proxies."""
        for process in self.process_by_name.values():
            self.kill(process.name)
        for item in self.proxy_by_name.values():
            item.stop()
        self.log.close()

    def run(self, name):
        r"""Start a process unless it is up."""
        process = self.process_by_name[name]
        if process.child is None:
            process.child = subprocess.Popen(
                process.command, stdout=self.log, stderr=self.log)
            process.command = process.restart_command

    def kill(self, name):
        r"""Kill a process and wait until it has ended."""
        process = self.process_by_name[name]
        if process.child is not None:
            process.child.kill()
            process.child.wait()
            process.child = None

    def signal(self, name, number):
        r"""Send a signal to a process unless it is down."""
        process = self.process_by_name[name]
        if process.child is not None:
            process.child.send_signal(number)

    def terminate(self, name, timeout_s=15):
        r"""Stop a process with SIGTERM; return its exit code.

        A process that still runs after ``timeout_s`` is killed.
        """
        process = self.process_by_name[name]
        child, process.child = process.child, None
        if child is None:
            return None
        child.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + timeout_s
        while child.poll() is None and time.monotonic() < deadline:
            gevent.sleep(0.05)
        if child.poll() is None:
            child.kill()
        return child.wait()

    def names(self, kind):
        r"""Return the names of the processes of a kind."""
        return [item.name for item in self.process_by_name.values()
                if item.kind == kind]

    def random_front(self):
        r"""Return the front address of a random balancer in rotation."""
        index = self.random.choice(self.rotation)
        return self.address_of(BALANCER, index, FRONT_PORT)

    def route_address(self, service):
        r"""Return the address of a service's route."""
        return self.address_of(SERVICE, SERVICES.index(service), ROUTE_PORT)

    def _add(self, process):
        self.process_by_name[process.name] = process
        if process.kind != TARGET:
            item = proxies.Proxy(
                self.address_of(process.kind, process.index, PROXY_PORT),
                self.address_of(process.kind, process.index, CONTROL_PORT))
            item.start()
            self.proxy_by_name[process.name] = item
        self.run(process.name)

    def _node(self, name, kind, role, index, flags):
        command = [
            sys.executable, '-m', 'poplarstep.programs.daemon', 'run',
            '--role', role, '--node', name,
            '--data-centre', DATA_CENTRES[index % 3],
            '--control-address',
            str(self.address_of(kind, index, CONTROL_PORT)),
            '--advertised-address',
            str(self.address_of(kind, index, PROXY_PORT)),
            '--http-address', str(self.address_of(kind, index, HTTP_PORT))]
        for flag, value in self.flags.items():
            setting = settings.SETTING_BY_NAME.get(flag)
            if setting is not None and role in setting.roles:
                command += [setting.flag, value]
        for flag, value in flags.items():
            command += ['--' + flag, str(value)]
        return Process(name, kind, index, command)

    def _control(self, index):
        process = self._node(
            'control-%d' % index, CONTROL, 'control', index, {
                'data-folder': self.folder / ('control-%d' % index),
                'control-hosts': ','.join(
                    'seed-%d=%s' % (
                        item, self.address_of(CONTROL, item, PROXY_PORT))
                    for item in range(3)),
                'membership': 'automatic', 'drain-time': 0})
        process.restart_command = process.command + ['--start', 'join']
        process.command = process.command + ['--start', 'bootstrap']
        return process

    def _balancer(self, index):
        return self._node(
            'balancer-%d' % index, BALANCER, 'flow-balancer', index, {
                'upstreams': self.advertised_addresses(CONTROL, 3),
                'front-address': self.address_of(BALANCER, index, FRONT_PORT),
                'back-address': self.address_of(BALANCER, index, BACK_PORT),
                'without-control': 'serve', 'drain-time': DRAIN_MS})

    def _agent(self, index):
        return self._node(
            'agent-%d' % index, AGENT, 'flow-agent', index, {
                'upstreams': self.advertised_addresses(CONTROL, 3),
                'agent-address': self.address_of(AGENT, index, FRONT_PORT),
                'target-address': self.address_of(AGENT, index, TARGET_PORT),
                'outbound-address': self.address_of(
                    AGENT, index, OUTBOUND_PORT),
                'cold-slack': COLD_SLACK, 'drain-time': DRAIN_MS})

    def _target(self, index, service):
        name = 'target-%d' % index
        return Process(name, TARGET, index, [
            sys.executable, '-m', 'standins.flow_target',
            '--name', name, '--service', service.name,
            '--address', str(self.address_of(AGENT, index, TARGET_PORT)),
            '--outbound', str(self.address_of(AGENT, index, OUTBOUND_PORT)),
            '--agent', str(self.address_of(AGENT, index, HTTP_PORT)),
            '--slots', '2', '--cold-ms', str(COLD_MS),
            '--cold-limit', str(COLD_LIMIT),
            '--journal', str(self.folder / name)])

    def _watch_rotation(self):
        r"""Remove balancers that fail two readiness checks in a row."""
        while True:
            for index in range(self.balancer_count):
                answer = call_http(
                    self.address_of(BALANCER, index, HTTP_PORT),
                    'GET', '/readyz')
                is_ready = answer is not None and answer[0] == 200
                failed = 0 if is_ready else self.failed_by_index[index] + 1
                self.failed_by_index[index] = failed
            ready = [index for index, failed in self.failed_by_index.items()
                     if failed < 2]
            self.rotation = ready or list(range(self.balancer_count))
            gevent.sleep(READINESS_PERIOD_S)


def call_http(http_address, method, path, body=None):
    r"""Return ``(status, body)`` of an HTTP call, or None without answer."""
    client = http_client.HTTPClient(
        http_address.ip, http_address.port, connection_timeout=HTTP_TIMEOUT_S,
        network_timeout=HTTP_TIMEOUT_S)
    try:
        response = client.request(
            method, path, body=json.dumps(body) if body else b'')
        return response.status_code, response.read()
    except (OSError, ValueError):
        # The process is down, suspended or cut off: there is no answer.
        return None
    finally:
        client.close()
