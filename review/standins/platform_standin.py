"""Stand-in of the platform: machines, settings files, router, operator.

Processes are started with the commands of deploy/system.toml, at the root of
the repository, with target/deps on Python's path.
"""

import asyncio
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import ends

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_INTERVAL_S = 0.5
BOUNDS = {
    'seed-lag-s': 3, 'addr-reuse-s': 2, 'contact-ms': 4000, 'ack-ms': 5000,
    'catchup-s': 4, 'drain-ms': 3000, 'grace-s': 6, 'loss-slack-ms': 200,
    'config-apply-ms': 3000, 'rollback-slack-ms': 250,
    'max-skew-ms': 12000, 'warmup-factor': 1.5, 'warmup-slack': 5,
    'evacuate-ms': 5000, 'recovery-s': 12, 'reorder-ms': 2000,
    'max-flow-s': 60}
HEARTBEAT_MS = 1200
# Exit code of a case whose rule was broken; run.sh turns it into 1, and every
# other failure into 2.
BROKEN = 11
MAXIMUM_S = 116


class Machine:
    """One machine with the processes of its roles."""

    def __init__(self, day, name, kind, zone, ip, roles, disk):
        self.day = day
        self.name = name
        self.kind = kind
        self.zone = zone
        self.ip = ip
        self.roles = roles
        self.disk = disk
        self.process_by_role = {}
        self.extra = {}

    def address(self, port_name):
        """Return the address at one of the day's ports."""
        return self.ip, self.day.ports[port_name]

    def start(self, role, bootstrap=False, wait=None):
        """Start the process of a role with a new settings file."""
        day = self.day
        folder = day.folder / self.name
        folder.mkdir(exist_ok=True)
        serves = {'balancer': 'frontend', 'control': 'control_plane',
                  'agent': 'side'}[role]
        fields = {
            'node-name': self.name, 'role': role, 'machine-class': self.kind,
            'serves': serves, 'ip': self.ip, 'zone': self.zone,
            'region': 'cairo',
            'internal-ports': '%d,%d' % (
                day.ports['internal'], day.ports['internal'] + 15),
            'seeds': ','.join(day.seeds),
            'bootstrap': 'true' if bootstrap else 'false',
            'in-tolerance': 'true' if self.disk else 'false',
            'limits.cpu-share': 0.968, 'limits.cpu-cores': 2,
            'limits.memory-mb': 300, 'limits.max-fds': 4100,
            'limits.link-mbps': 1000.0, 'discovery': 'local',
            'entry': 'announce', 'heartbeat-ms': HEARTBEAT_MS,
            'contracts': 'base,drain,config,cost,recover,flows,places',
            'fault-tolerance.machines': 1, 'fault-tolerance.zones': 1,
            'fault-tolerance.regions': 0, 'config_mode': 'highest',
            'hash': 'steady', 'deploy-mode': 'agent'}
        for zone in day.zones:
            fields['zones.' + zone] = 'cairo'
        for name, value in BOUNDS.items():
            fields['bounds.' + name] = value
        listen = {'balancer': ('datagram-addr', 'ready'),
                  'control': ('control',),
                  'agent': ('datagram-addr', 'outbound', 'ready', 'control')}
        for name in listen[role]:
            fields['listen.' + name] = '%s:%d' % self.address(name)
        if role == 'agent':
            fields['app'] = '%s:%d' % self.address('app')
            fields['service'] = self.extra.get('service', '')
        if self.disk and role == 'control':
            data = folder / 'data'
            data.mkdir(exist_ok=True)
            fields['data-dir'] = data
        path = folder / (role + '.conf')
        path.write_text(''.join(
            '%s=%s\n' % item for item in fields.items()))
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ}
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['POPLARSTEP_NODE_FILE'] = str(path)
        log = open(folder / (role + '.log'), 'ab')
        self.process_by_role[role] = subprocess.Popen(
            day.command_by_role[role], cwd=ROOT, env=environment, stdout=log,
            stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, role, number):
        """Send a signal to the process of a role."""
        process = self.process_by_role.get(role)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def log(self, role):
        """Return what the processes of a role have written."""
        path = self.day.folder / self.name / (role + '.log')
        return path.read_text(errors='replace') if path.exists() else ''


class Router:
    """Routers of one zone: steady hash over the nodes in rotation."""

    def __init__(self, day, machines):
        self.day = day
        self.machines = machines
        self.misses = {machine.name: 2 for machine in machines}

    async def watch(self, machine):
        """Ask a node twice a second whether it is ready."""
        while True:
            started = time.monotonic()
            code, _ = await ends.http(
                machine.address('ready'), 'GET', '/poplarstep/ready',
                timeout_s=READY_INTERVAL_S)
            before = self.misses[machine.name] < 2
            if code == 200:
                self.misses[machine.name] = 0
            else:
                self.misses[machine.name] += 1
            after = self.misses[machine.name] < 2
            if before != after:
                self.day.journal({
                    'event': 'in-rotation' if after else 'out-of-rotation',
                    'node': machine.name})
            await asyncio.sleep(max(0, READY_INTERVAL_S - (
                time.monotonic() - started)))

    def in_rotation(self):
        """Return the machines in rotation, all if less than half are."""
        ready = [item for item in self.machines
                 if self.misses[item.name] < 2]
        if 2 * len(ready) < len(self.machines):
            return self.machines
        return ready

    def select(self, source, destination):
        """Return the address of the node for a packet."""
        def weight(machine):
            return hashlib.blake2b(repr(
                (source, destination, machine.name)).encode(),
                digest_size=8).digest()
        chosen = max(self.in_rotation(), key=weight)
        return chosen.address('datagram-addr')


class Day:
    """One run: folder, ports, machines, journal."""

    def __init__(self, record, zones):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.record = open(record, 'w')
        self.zones = zones
        self.loop = asyncio.get_running_loop()
        self.started = self.loop.time()
        self.network = free_network()
        self.ports = free_ports(self.network)
        self.seeds = []
        self.machines = []
        self.events = []
        self.orders = []
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.command_by_role = {
            role: table['run'].split()
            for role, table in deploy['roles'].items()}

    def ip(self, kind, number):
        """Return a loopback address of this run."""
        return '127.%d.%d.%d' % (self.network, kind, number)

    def journal(self, event):
        """Write an event into record.txt with the time of the run."""
        event = {'at': round(self.loop.time() - self.started, 4), **event}
        self.events.append(event)
        self.record.write(json.dumps(event) + '\n')

    def add_machine(self, name, kind, zone, roles, disk=False):
        """Add a machine; nothing is started yet."""
        number = len(self.machines) + 1
        machine = Machine(self, name, kind, zone, self.ip(
            1 if kind == 'frontend' else 2, number), roles, disk)
        self.machines.append(machine)
        return machine

    def control_machines(self):
        """Return the machines that serve the operator."""
        return [item for item in self.machines if 'control' in item.roles]

    async def order(self, method, path, body=None, for_s=20.0, first=None):
        """Carry out an order as the operator does; return the answer.

        The operator follows 307 twice, and goes to another node after a
        failure, a 5xx, 408, 429 or a second without a response.
        """
        deadline = self.loop.time() + for_s
        pause = 0.05
        nodes = self.control_machines()
        turn = random.randrange(len(nodes)) if first is None else first
        while self.loop.time() < deadline:
            address = nodes[turn % len(nodes)].address('control')
            turn += 1
            target = path
            for _ in range(3):
                code, content = await ends.http(
                    address, method, target, body, 1.0)
                if code != 307:
                    break
                where = content.decode().removeprefix('http://')
                host, _, target = where.partition('/')
                target = '/' + target
                address = host.split(':')[0], int(host.split(':')[1])
            self.journal({'event': 'order-answer', 'path': path,
                          'node': '%s:%d' % address, 'code': code,
                          'version': (body or {}).get('version')})
            if code is not None and code < 500 and code not in (
                    307, 408, 429):
                return code, content
            await asyncio.sleep(pause)
            pause = min(1.0, 2 * pause)
        return None, b''

    def stop(self):
        """End all processes that this run started; remove the folder."""
        for machine in self.machines:
            for process in machine.process_by_role.values():
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.send_signal(signal.SIGKILL)
                process.wait()
        keep = os.environ.get('KEEP')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def free_network():
    """Return the second part of the addresses of this run."""
    for _ in range(100):
        network = random.randrange(20, 250)
        probe = socket.socket()
        try:
            probe.bind(('127.%d.1.1' % network, 29999))
            return network
        except OSError:
            continue
        finally:
            probe.close()
    raise RuntimeError('no free loopback network')


def free_ports(network):
    """Return port numbers that are free at an address of the run."""
    first = random.randrange(10000, 28000)
    names = ('datagram-addr', 'ready', 'control', 'outbound', 'app')
    ports = {name: first + number for number, name in enumerate(names)}
    ports['internal'] = first + 20
    return ports


def run(case, record):
    """Run a case; return BROKEN if the rule broke, 0 if not, 2 if it failed.

    ``case`` is a coroutine function that takes a ``Day`` factory and returns
    whether the rule was kept.
    """
    holder = []
    outcome = 2

    def make_day(zones):
        holder.append(Day(record, zones))
        return holder[0]

    async def main():
        try:
            return await asyncio.wait_for(case(make_day), MAXIMUM_S)
        finally:
            for day in holder:
                day.stop()

    async def guarded():
        nonlocal outcome
        try:
            outcome = 0 if await main() else BROKEN
        except Exception as error:
            print('the case could not run: %r' % error)
        sys.stdout.flush()
        # Tasks that a cancelled wait has revived must not delay the end.
        os._exit(outcome)
    asyncio.run(guarded())
