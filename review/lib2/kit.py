"""Stand-ins for the platform, its clients and its endpoints, on loopback.

The programs of the project run as separate processes, with the commands of
the deploy file. Clients, endpoints, the router and the operator follow
PROTOCOL.md and are threads of the script that uses this module. Only the
standard library is used.
"""

import hashlib
import http.client
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
SYN, ACK, FIN, RST, BOUNCED = 8, 4, 128, 16, 2
HEAD = struct.Struct('>HIIB3s4sH4sHII')
SUM_KEY = os.urandom(16)
SEQ = 2 ** 32
GRACE_S = 6
IDLE_TIMEOUT_MS = 15000
SETTINGS = '''node-name={name}
role={role}
machine-class={machine_class}
serves={serves}
ip={ip}
zone={zone}
region=loop
zones.za=loop
zones.zb=loop
{listen}
internal-ports={first},{last}
seeds={seeds}
bootstrap={bootstrap}
in-tolerance=true
limits.cpu-share=0.968
limits.cpu-cores=2
limits.memory-mb=300
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=64
discovery=local
entry=announce
heartbeat-ms={heartbeat_ms}
contracts=base,drain,config,cost,recover,flows,places
fault-tolerance.machines=1
fault-tolerance.zones=1
fault-tolerance.regions=0
bounds.seed-lag-s=3
bounds.addr-reuse-s=2
bounds.contact-ms=4000
bounds.ack-ms=5000
bounds.catchup-s=4
bounds.drain-ms=3000
bounds.grace-s=6
bounds.loss-slack-ms=200
bounds.config-apply-ms=3000
bounds.rollback-slack-ms=250
bounds.max-skew-ms=12000
bounds.warmup-factor=1.5
bounds.warmup-slack=5
bounds.evacuate-ms=5000
bounds.recovery-s=12
bounds.reorder-ms=2000
bounds.max-flow-s=60
config_mode=highest
hash=steady
deploy-mode=agent
'''


class CannotRun(Exception):
    """The case could not be played."""


def keyed_sum(length, flags, dst, dport, src, sport, seq, ack, data):
    """Return the sum over all fields but echo, pad and BOUNCED."""
    covered = struct.pack(
        '>HB4sH4sHII', length, flags & ~BOUNCED, dst, dport, src, sport,
        seq, ack) + data
    digest = hashlib.blake2b(covered, digest_size=4, key=SUM_KEY).digest()
    return int.from_bytes(digest, 'big') or 1


def make(flags, dst, dport, src, sport, seq, ack, data=b''):
    """Return a packet; addresses are 4 bytes."""
    number = keyed_sum(
        len(data), flags, dst, dport, src, sport, seq, ack, data)
    return HEAD.pack(len(data), 0, number, flags, bytes(3), dst, dport, src,
                     sport, seq % SEQ, ack % SEQ) + data


class Packet:
    """A decoded packet."""

    def __init__(self, raw):
        self.raw = raw
        (self.length, self.echo, self.sum, self.flags, self.pad, self.dst,
         self.dport, self.src, self.sport, self.seq, self.ack) = (
            HEAD.unpack_from(raw))
        self.data = raw[HEAD.size:]

    def is_whole(self):
        """Return whether the packet is as its sender wrote it."""
        return self.sum == keyed_sum(
            self.length, self.flags, self.dst, self.dport, self.src,
            self.sport, self.seq, self.ack, self.data)


class Record:
    """The file that holds what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, 'w')
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.start

    def write(self, *words):
        """Append a line with the time."""
        with self.lock:
            self.file.write('%8.3f %s\n' % (
                self.now(), ' '.join(str(word) for word in words)))
            self.file.flush()


def _stop(number, frame):
    raise SystemExit(2)


class Process:
    """A program of the project, as the platform runs it."""

    def __init__(self, world, name, role, settings):
        self.world = world
        self.name = name
        self.role = role
        self.settings = settings
        self.child = None
        self.path = world.folder / (name + '.conf')
        self.starts = 0
        self.down = threading.Event()

    def write_settings(self, **changes):
        """Write the settings file."""
        self.settings.update(changes)
        temporary = str(self.path) + '.new'
        with open(temporary, 'w') as file:
            file.write(SETTINGS.format(**self.settings))
        os.replace(temporary, self.path)

    def start(self):
        """Start the program with the command of the deploy file."""
        self.write_settings()
        environment = {
            key: os.environ[key] for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ}
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['POPLARSTEP_NODE_FILE'] = str(self.path)
        with open(self.world.folder / (self.name + '.log'), 'ab') as log:
            self.child = subprocess.Popen(
                shlex.split(self.world.command_by_role[self.role]), cwd=ROOT,
                env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL)
        self.starts += 1
        # Later starts are no bootstrap.
        self.settings['bootstrap'] = 'false'
        self.world.record.write('start', self.name)

    def signal(self, number):
        """Send a signal to the program."""
        self.world.record.write('signal', self.name, number)
        self.child.send_signal(number)

    def stop(self):
        """Send SIGTERM, and SIGKILL after the grace time."""
        self.signal(signal.SIGTERM)
        try:
            code = self.child.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            self.child.kill()
            code = self.child.wait()
        self.world.record.write('ended', self.name, code)

    def restart(self):
        """Stop the program and start it again."""
        self.stop()
        self.start()

    def log(self):
        """Return what the program has written."""
        return (self.world.folder / (self.name + '.log')).read_text()


class World:
    """Machines, router, operator; addresses are 127.N.K.I."""

    def __init__(self, record_path, controls=3, balancers=2,
                 heartbeat_ms=770):
        # Ended by a signal, a script ends what it has started, too.
        signal.signal(signal.SIGTERM, _stop)
        self.record = Record(record_path)
        self.heartbeat_ms = heartbeat_ms
        self.holder = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = pathlib.Path(self.holder.name)
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            roles = tomllib.load(file)['roles']
        self.command_by_role = {
            name: role['run'] for name, role in roles.items()}
        self.net, self.ports = self._reserve()
        self.processes = {}
        self.endpoints = []
        self.closed = threading.Event()
        self.rotation = []
        self.controls = ['127.%d.1.%d' % (self.net, number + 1)
                         for number in range(controls)]
        for number, ip in enumerate(self.controls):
            folder = self.folder / ('data-%d' % number)
            folder.mkdir()
            self._add(
                'control-%d' % (number + 1), 'control', 'frontend',
                'control_plane', ip, 'za' if number % 2 else 'zb', {
                    'control': 'control'}, 'data-dir=%s\n' % folder)
        self.balancers = []
        for number in range(balancers):
            self.balancers.append(self._add(
                'balancer-%d' % (number + 1), 'balancer', 'frontend',
                'frontend', '127.%d.2.%d' % (self.net, number + 1),
                'za', {'datagram-addr': 'datagram', 'ready': 'ready'}))

    def _reserve(self):
        """Return a network number and ports that are free there."""
        for _ in range(50):
            net = random.randint(30, 250)
            base = random.randint(11, 27) * 1000
            ports = dict(datagram=base, ready=base + 1, control=base + 2,
                         outbound=base + 3, app=base + 4, first=base + 10)
            try:
                for last in ('1.1', '2.1', '3.1', '9.1'):
                    for port in ports.values():
                        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                            with socket.socket(socket.AF_INET, kind) as item:
                                item.bind(('127.%d.%s' % (net, last), port))
            except OSError:
                continue
            return net, ports
        raise CannotRun('no free ports')

    def _add(self, name, role, machine_class, serves, ip, zone, listen,
             extra=''):
        lines = ''.join('listen.%s=%s:%d\n' % (
            key, ip, self.ports[port]) for key, port in listen.items())
        process = Process(self, name, role, dict(
            name=name, role=role, machine_class=machine_class,
            serves=serves, ip=ip, zone=zone,
            listen=(lines + extra).rstrip('\n'), first=self.ports['first'],
            last=self.ports['first'] + 15, bootstrap='true',
            heartbeat_ms=self.heartbeat_ms,
            seeds=','.join('%s:%d' % (seed, self.ports['control'])
                           for seed in self.controls[:3])))
        process.ip = ip
        self.processes[name] = process
        return process

    def add_side(self, number, service, **options):
        """Add an endpoint and the process beside it; start neither."""
        ip = '127.%d.3.%d' % (self.net, number)
        zone = options.pop('zone', 'za')
        agent = self._add(
            'agent-%d' % number, 'agent', 'side', 'side', ip, zone, {
                'datagram-addr': 'datagram', 'outbound': 'outbound',
                'ready': 'ready', 'control': 'control'},
            'service=%s\napp=%s:%d\n' % (service, ip, self.ports['app']))
        endpoint = Endpoint(self, number, ip, zone, service, **options)
        endpoint.agent = agent
        self.endpoints.append(endpoint)
        return endpoint

    def start(self, first=(), spread_s=0):
        """Start all programs and endpoints, and the router.

        The programs named in ``first`` start ``spread_s`` before the others.
        """
        for name in first:
            self.processes[name].start()
        time.sleep(spread_s)
        for name, process in self.processes.items():
            if name not in first:
                process.start()
        for endpoint in self.endpoints:
            endpoint.start()
        threading.Thread(target=self._route, daemon=True).start()

    def wait_ready(self, timeout_s=40):
        """Wait until all balancers are in rotation and endpoints known."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if len(self.rotation) == len(self.balancers) and all(
                    item.pings for item in self.endpoints):
                time.sleep(2)
                return
            time.sleep(0.1)
        raise CannotRun('the deployment is not ready')

    def _route(self):
        """Probe the readiness of the balancers twice a second."""
        misses = dict.fromkeys(self.balancers, 2)
        while not self.closed.is_set():
            began = time.monotonic()
            for balancer in self.balancers:
                status = http_call(
                    balancer.ip, self.ports['ready'], 'GET',
                    '/poplarstep/ready', None, 0.4)[0]
                misses[balancer] = 0 if status == 200 else (
                    misses[balancer] + 1)
            rotation = [
                item for item in self.balancers if misses[item] < 2]
            if rotation != self.rotation:
                self.record.write('rotation', *(
                    item.name for item in rotation))
            self.rotation = rotation
            time.sleep(max(0, began + 0.5 - time.monotonic()))

    def pick(self, key):
        """Return the address of the balancer for a flow (`steady`)."""
        candidates = self.rotation
        if 2 * len(candidates) < len(self.balancers):
            candidates = self.balancers
        chosen = max(candidates, key=lambda item: hashlib.blake2b(
            key + item.name.encode(), digest_size=8).digest())
        return chosen.ip, self.ports['datagram']

    def order(self, method, path, body=None, timeout_s=30, first=None):
        """Send an order as the operator does; return status and body."""
        deadline = time.monotonic() + timeout_s
        pause = 0.1
        number = random.randrange(len(self.controls)) if first is None else (
            first)
        while time.monotonic() < deadline:
            ip = self.controls[number % len(self.controls)]
            number += 1
            target = path
            status, answer, location = http_call(
                ip, self.ports['control'], method, target, body, 1.0)
            for _ in range(2):
                if status != 307:
                    break
                rest = location.split('//', 1)[1]
                place, _, target = rest.partition('/')
                status, answer, location = http_call(
                    place.split(':')[0], int(place.split(':')[1]), method,
                    '/' + target, body, 1.0)
            if status is not None and (
                    status < 300 or status in (400, 409, 412, 413, 422)):
                self.record.write('order', method, path, status)
                return status, answer
            time.sleep(pause)
            pause = min(1, 2 * pause)
        self.record.write('order', method, path, 'no clear response')
        return None, b''

    def close(self):
        """End everything that was started."""
        self.closed.set()
        for endpoint in self.endpoints:
            endpoint.crash()
        for process in self.processes.values():
            if process.child is not None and process.child.poll() is None:
                process.child.send_signal(signal.SIGCONT)
                process.child.kill()
                process.child.wait()
        self.holder.cleanup()


def http_call(ip, port, method, path, body, timeout_s):
    """Return status, body and Location; the status is None on failure."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout_s)
    try:
        connection.request(method, path, body, {
            'Content-Type': 'application/json'})
        answer = connection.getresponse()
        return answer.status, answer.read(), answer.getheader('Location', '')
    except (OSError, http.client.HTTPException):
        return None, b'', ''
    finally:
        connection.close()


class ServerFlow:
    """A flow that an endpoint holds."""

    def __init__(self, packet):
        self.isn = random.getrandbits(32)
        self.next_in = (packet.seq + 1) % SEQ
        self.next_out = (self.isn + 1) % SEQ
        self.is_open = False
        self.ended = False
        self.pending = None
        self.acked = self.next_out
        self.reset_sent = False


class Endpoint:
    """A sound endpoint beside a process of the role `side`."""

    def __init__(self, world, number, ip, zone, service, concurrency=2,
                 work_s=0.02, first_ping_s=0):
        self.world = world
        self.number = number
        self.name = 'i-%d' % number
        self.ip = ip
        self.zone = zone
        self.service = service
        self.concurrency = concurrency
        self.work_s = work_s
        self.first_ping_s = first_ping_s
        self.flows = {}
        self.pings = 0
        self.seq = 0
        self.state = 'ready'
        self.alive = False
        self.runs = []
        self.strays = []
        self.lock = threading.RLock()
        self.slots = threading.Semaphore(concurrency)

    def start(self):
        """Start, with a new boot."""
        ports = self.world.ports
        self.alive = True
        self.born = time.time_ns() // 1_000_000
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        self.udp.bind((self.ip, ports['app']))
        self.tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.tcp.bind((self.ip, ports['app']))
        self.tcp.listen(64)
        for work in (self._serve, self._health, self._ping):
            threading.Thread(target=work, daemon=True).start()
        self.world.record.write('endpoint', self.name, self.service, 'starts')

    def crash(self):
        """End at once."""
        if not self.alive:
            return
        self.alive = False
        self.world.record.write('endpoint', self.name, 'ends')
        for item in (self.udp, self.tcp):
            try:
                item.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            item.close()

    def _health(self):
        while self.alive:
            try:
                opened, _ = self.tcp.accept()
            except OSError:
                return
            threading.Thread(
                target=self._answer_health, args=(opened,),
                daemon=True).start()

    @staticmethod
    def _answer_health(opened):
        with opened:
            opened.settimeout(2)
            try:
                if opened.recv(4096):
                    opened.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
                                   b'Connection: close\r\n\r\n')
            except OSError:
                pass

    def _ping(self):
        time.sleep(self.first_ping_s)
        while self.alive:
            self.ping()
            time.sleep(self.world.heartbeat_ms / 1000)

    def ping(self):
        """Send one ping; return whether it was acknowledged."""
        self.seq += 1
        status = http_call(
            self.ip, self.world.ports['control'], 'POST',
            '/poplarstep/Instances.Heartbeat/' + self.name, json.dumps({
                'service': self.service, 'address': '%s:%d' % (
                    self.ip, self.world.ports['app']),
                'zone': self.zone, 'version': 'v1',
                'concurrency': self.concurrency, 'state': self.state,
                'warmup-ms': 0, 'seq': self.seq, 'born': self.born}), 1)[0]
        if status == 200:
            self.pings += 1
        return status == 200

    def _send(self, raw):
        try:
            self.udp.sendto(raw, (self.ip, self.world.ports['outbound']))
        except OSError:
            pass

    def _serve(self):
        while self.alive:
            try:
                raw = self.udp.recv(4096)
            except ConnectionError:
                continue
            except OSError:
                return
            if len(raw) >= HEAD.size:
                with self.lock:
                    self._take(Packet(raw))

    def _bounce(self, packet):
        self._send(HEAD.pack(
            packet.length, packet.echo, packet.sum, packet.flags | BOUNCED,
            bytes(3), packet.dst, packet.dport, packet.src, packet.sport,
            packet.seq, packet.ack) + packet.data)

    def _take(self, packet):
        key = packet.src, packet.sport, packet.dst, packet.dport
        if not packet.is_whole():
            self.world.record.write('endpoint', self.name, 'forged packet')
            return
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = ServerFlow(packet)
            self._reply(key, flow, SYN | ACK, flow.isn)
            return
        offset = None if flow is None else (packet.ack - flow.isn) % SEQ
        if flow is None or not 0 < offset <= (
                (flow.next_out - flow.isn) % SEQ):
            self.strays.append((self.world.record.now(), key))
            self._bounce(packet)
            return
        if packet.flags & RST:
            flow.ended = True
            return
        if not flow.is_open:
            flow.is_open = True
            self.world.record.write('opened', self.name, self.service,
                                    'port', packet.sport)
        flow.acked = packet.ack
        if flow.ended:
            if packet.data:
                flow.reset_sent = True
                self._reply(key, flow, RST | ACK, flow.next_out)
            elif packet.flags & FIN:
                self._reply(key, flow, ACK, flow.next_out)
            return
        if packet.data and packet.seq == flow.next_in:
            flow.next_in = (flow.next_in + len(packet.data)) % SEQ
            self._reply(key, flow, ACK, flow.next_out)
            threading.Thread(target=self._run, args=(key, flow, packet.data),
                             daemon=True).start()
        elif packet.data:
            self._reply(key, flow, ACK, flow.next_out)
        if packet.flags & FIN:
            flow.next_in = (flow.next_in + 1) % SEQ
            flow.ended = True
            self._reply(key, flow, FIN | ACK, flow.next_out)

    def _reply(self, key, flow, flags, seq, data=b''):
        src, sport, dst, dport = key
        self._send(make(flags, src, sport, dst, dport, seq, flow.next_in,
                        data))

    def _run(self, key, flow, request):
        """Run a request and send its answer until it is acknowledged."""
        identity = request.split(b'X-Request-Id: ', 1)[1].split(b'\r', 1)[0]
        with self.slots:
            self.runs.append((self.world.record.now(), identity.decode()))
            self.world.record.write('run', self.name, self.service,
                                    identity.decode())
            time.sleep(self.work_s)
        body = b'done %s at %s' % (identity, self.service.encode())
        answer = (b'HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n'
                  b'Content-Length: %d\r\n\r\n' % len(body)) + body
        with self.lock:
            seq = flow.next_out
            flow.next_out = (seq + len(answer)) % SEQ
            wanted = flow.next_out
        wait = 0.2
        for _ in range(9):
            with self.lock:
                if not self.alive or flow.acked == wanted:
                    return
                self._reply(key, flow, ACK, seq, answer)
            time.sleep(wait)
            wait = min(1.6, 2 * wait)


class Flow:
    """A client's flow."""

    def __init__(self, client, route, sport):
        self.client = client
        self.route = route
        self.sport = sport
        self.isn = random.getrandbits(32)
        self.seq = (self.isn + 1) % SEQ
        self.next_in = None
        self.is_open = False
        self.received = b''
        self.reset = None
        self.ended = False
        self.sent_data = []
        self.last_used = 0

    def send(self, flags, seq, ack, data=b''):
        """Send a packet through the router."""
        route_ip, dport = self.route
        raw = make(flags, socket.inet_aton(route_ip), dport,
                   self.client.ip_bytes, self.sport, seq, ack, data)
        key = raw[14:26]
        try:
            self.client.udp.sendto(raw, self.client.world.pick(key))
        except OSError:
            pass


class Client:
    """A client address with its flows."""

    def __init__(self, world, number=1):
        self.world = world
        self.ip = '127.%d.9.%d' % (world.net, number)
        self.ip_bytes = socket.inet_aton(self.ip)
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        self.udp.bind((self.ip, world.ports['datagram']))
        self.flows = {}
        self.ports = iter(range(40001, 65000))
        self.changed = threading.Condition()
        self.problems = []
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while not self.world.closed.is_set():
            raw = self.udp.recv(4096)
            if len(raw) < HEAD.size:
                continue
            packet = Packet(raw)
            with self.changed:
                self._take(packet)
                self.changed.notify_all()

    def _take(self, packet):
        flow = self.flows.get(packet.dport)
        if flow is None or packet.dst != self.ip_bytes or (
                socket.inet_ntoa(packet.src), packet.sport) != flow.route:
            self.problems.append('packet of no flow')
            return
        of_system = packet.flags & RST and packet.sum == 0
        if not of_system and not packet.is_whole():
            self.problems.append('packet that its sender did not write')
            return
        if flow.ended:
            return
        if packet.flags & RST:
            if of_system and flow.is_open and not (
                    (packet.seq - flow.next_in + 76800) % SEQ <= 153600):
                return
            flow.reset = 'system' if of_system else 'endpoint'
            flow.ended = True
            self.world.record.write(
                'reset', 'port', flow.sport, 'by', flow.reset,
                'open' if flow.is_open else 'not open')
            return
        if packet.flags & SYN:
            if not flow.is_open:
                flow.is_open = True
                flow.next_in = (packet.seq + 1) % SEQ
            flow.send(ACK, flow.seq, flow.next_in)
            return
        if not flow.is_open:
            return
        if packet.data and packet.seq == flow.next_in:
            flow.received += packet.data
            flow.next_in = (flow.next_in + len(packet.data)) % SEQ
        if packet.data or packet.flags & FIN:
            flow.send(ACK, flow.seq, flow.next_in)

    def open(self, route):
        """Open a flow; return it, or None if that failed."""
        flow = Flow(self, route, next(self.ports))
        self.flows[flow.sport] = flow
        began = time.monotonic()
        for copy, due in enumerate((0, 0.2, 0.6)):
            with self.changed:
                while not (flow.is_open or flow.reset):
                    left = began + due - time.monotonic()
                    if left <= 0:
                        break
                    self.changed.wait(left)
                if flow.is_open or flow.reset:
                    break
            flow.send(SYN, flow.isn, copy)
        with self.changed:
            while not (flow.is_open or flow.reset):
                left = began + 1.4 - time.monotonic()
                if left <= 0:
                    break
                self.changed.wait(left)
        self.world.record.write(
            'open', 'port', flow.sport, 'to', '%s:%d' % route,
            'open' if flow.is_open else 'refused' if flow.reset else 'silent')
        if not flow.is_open:
            flow.ended = True
        return flow if flow.is_open else None

    def request(self, flow, identity, method='POST', limit_s=2.5):
        """Send a request on an open flow; return its answer or a word."""
        data = (b'%s /book HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n'
                b'Content-Length: 0\r\n\r\n' % (
                    method.encode(), identity.encode()))
        self.world.record.write('request', identity, 'port', flow.sport)
        seq = flow.seq
        flow.seq = (seq + len(data)) % SEQ
        flow.received = b''
        began = time.monotonic()
        wait, due = 0.2, 0
        outcome = None
        with self.changed:
            while outcome is None:
                passed = time.monotonic() - began
                if b'done ' + identity.encode() in flow.received:
                    outcome = 'answered'
                elif flow.reset:
                    outcome = 'reset by ' + flow.reset
                elif passed >= limit_s:
                    outcome = 'no answer'
                elif passed >= due:
                    flow.send(ACK, seq, flow.next_in, data)
                    due = passed + wait
                    wait = min(1.6, 2 * wait)
                else:
                    self.changed.wait(max(0.001, min(
                        due, limit_s) - passed))
        self.world.record.write('outcome', identity, outcome)
        return outcome

    def close(self, flow):
        """Send a FIN; its answer is not awaited."""
        flow.send(FIN | ACK, flow.seq, flow.next_in)
        flow.ended = True


def desired_state(version, services, routes, **limits):
    """Return a desired state; routes are (name, host, port, service)."""
    return {
        'version': version,
        'routes': [{
            'name': name, 'host': host, 'path-prefix': '/%d/' % port,
            'kind': 'unsafe', 'timeout-ms': 2500, 'target-latency-ms': 180,
            'priority': 1, 'service': service, 'max-attempts': 2}
            for name, host, port, service in routes],
        'services': [{
            'name': name, 'health-path': '/health', 'max-connections': 2000,
            'protocol': 'h1', 'tls': False, 'warmup-s': 2.0,
            'warmup-per-s': 0.0} for name in services],
        'limits': {'max-header-bytes': 16384, 'max-body-bytes': 262144,
                   'header-timeout-ms': 3000,
                   'idle-timeout-ms': IDLE_TIMEOUT_MS, **limits}}
