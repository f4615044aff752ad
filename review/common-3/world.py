"""A small deployment on loopback addresses, with stand-ins around it.

The processes of the project are started with the commands of
deploy/system.toml. Clients, routers, endpoints and the operator are stand-ins
that follow ../given/kit/more/system/PROTOCOL.md. Only the standard library is
used.
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
import struct
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
SYN, ACK, FIN, RST, BOUNCED = 8, 4, 128, 16, 2
HEADER = struct.Struct('>HI4sB3s4sH4sHII')
KEY = b'review'
SYN_COPIES_S = (0.0, 0.2, 0.6)
SYN_LIMIT_S = 1.4
# Offsets of a machine's ports; they are the same on every machine.
NODE_FILE = '''node-name={name}
role={role}
machine-class={kind}
serves={serves}
ip={ip}
zone={zone}
region=cairo
listen.datagram-addr={ip}:{p[datagram]}
listen.ready={ip}:{p[ready]}
listen.control={ip}:{p[control]}
listen.outbound={ip}:{p[outbound]}
app={ip}:{p[app]}
service={service}
internal-ports={p[internal]},{last}
seeds={seeds}
bootstrap={bootstrap}
in-tolerance={tolerance}
limits.cpu-share=0.968
limits.cpu-cores=2
limits.memory-mb=300
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=64
data-dir={data}
discovery=local
entry=announce
heartbeat-ms={heartbeat}
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


def run_commands():
    """Return the command of each role in the deploy file."""
    with open(ROOT / 'deploy/system.toml', 'rb') as text:
        roles = tomllib.load(text)['roles']
    return {name: role['run'].split() for name, role in roles.items()}


def checksum(length, flags, dst, dport, src, sport, seq, ack, data):
    body = struct.pack('>HB4sH4sHII', length, flags & ~BOUNCED, dst, dport,
                       src, sport, seq, ack) + data
    return hashlib.blake2b(body, digest_size=4, key=KEY).digest()


def encode(flags, dst, dport, src, sport, seq, ack, data=b''):
    """Return a packet as its sender writes it."""
    return HEADER.pack(
        len(data), 0, checksum(len(data), flags, dst, dport, src, sport, seq,
                               ack, data),
        flags, bytes(3), dst, dport, src, sport, seq, ack) + data


class Packet:
    """A decoded packet; ``genuine`` if its sender wrote it so."""

    def __init__(self, datagram):
        (self.length, self.echo, self.sum, self.flags, self.pad, self.dst,
         self.dport, self.src, self.sport, self.seq, self.ack) = (
            HEADER.unpack_from(datagram))
        self.data = datagram[HEADER.size:]
        self.datagram = datagram
        self.genuine = self.sum == checksum(
            self.length, self.flags, self.dst, self.dport, self.src,
            self.sport, self.seq, self.ack, self.data)

    @property
    def flow(self):
        return self.src, self.sport, self.dst, self.dport


class Record:
    """record.txt: what was sent, answered and run, with the time in s."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, kind, **fields):
        self.file.write('%9.3f %s %s\n' % (self.now(), kind, ' '.join(
            '%s=%s' % item for item in fields.items())))
        self.file.flush()


class Machine:
    """A machine: its settings file and the processes of its roles."""

    def __init__(self, world, name, zone, kind, roles, disk):
        self.world = world
        self.name = name
        self.zone = zone
        self.kind = kind
        self.roles = roles
        self.disk = disk
        self.ip = world.next_ip()
        self.service = ''
        self.processes = {}
        self.bootstrap = True

    def address(self, port):
        return self.ip, self.world.ports[port]

    def write_settings(self, role):
        world = self.world
        serves = {'balancer': 'frontend', 'control': 'control_plane',
                  'agent': 'side'}[role]
        path = world.folder / ('%s-%s.conf' % (self.name, role))
        data = ''
        if role == 'control' and self.disk:
            data = world.folder / ('data-' + self.name)
            data.mkdir(exist_ok=True)
        text = NODE_FILE.format(
            name=self.name, role=role, kind=self.kind, serves=serves,
            ip=self.ip, zone=self.zone, p=world.ports, service=self.service,
            last=world.ports['internal'] + 15,
            seeds=','.join('%s:%d' % (ip, world.ports['control'])
                           for ip in world.seeds),
            bootstrap=str(self.bootstrap).lower(), data=data,
            tolerance=str(bool(self.disk)).lower(),
            heartbeat=world.heartbeat_ms)
        path.write_text(text)
        return path

    def start(self, role=None):
        """Start the processes that are not running."""
        for name in [role] if role else self.roles:
            if name in self.processes:
                continue
            settings = self.write_settings(name)
            environment = {key: os.environ[key] for key in (
                'PATH', 'HOME', 'LANG') if key in os.environ}
            environment['POPLARSTEP_NODE_FILE'] = str(settings)
            environment['PYTHONPATH'] = str(ROOT / 'target/deps')
            with open(self.world.folder / ('%s-%s.log' % (
                    self.name, name)), 'ab') as log:
                self.processes[name] = subprocess.Popen(
                    self.world.commands[name], cwd=ROOT, env=environment,
                    stdin=subprocess.DEVNULL, stdout=log, stderr=log)
            self.world.record.write('start', machine=self.name, role=name)
        self.bootstrap = False

    def signal(self, number, role=None):
        for name, process in list(self.processes.items()):
            if role in (None, name):
                process.send_signal(number)
                self.world.record.write(
                    'signal', machine=self.name, role=name,
                    signal=signal.Signals(number).name)

    def kill(self, role=None):
        """End processes at once."""
        self.signal(signal.SIGKILL, role)
        for name in list(self.processes):
            if role in (None, name):
                self.processes.pop(name).wait()

    def log(self, role):
        return (self.world.folder / ('%s-%s.log' % (
            self.name, role))).read_text(errors='replace')


class World:
    """Machines, routers, clients, endpoints and operator of a run."""

    def __init__(self, record, heartbeat_ms=1200):
        self.record = record
        self.commands = run_commands()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.network = None
        self.count = 0
        self.heartbeat_ms = heartbeat_ms
        self.machines = {}
        self.endpoints = []
        self.seeds = []
        self.rotation = {}
        self.misses = {}
        self.clients = []
        self.tasks = []
        self.reserve()

    def reserve(self):
        """Choose a free network 127.N and free ports."""
        for network in random.sample(range(20, 250), 200):
            ports = random.sample(range(20000, 32000, 20), 6)
            names = ('datagram', 'ready', 'control', 'outbound', 'app',
                     'internal')
            self.ports = dict(zip(names, ports))
            try:
                for port in ports:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as tried:
                            tried.bind(('127.%d.0.1' % network, port))
            except OSError:
                continue
            self.network = network
            return
        raise OSError('no free network')

    def next_ip(self):
        self.count += 1
        return '127.%d.%d.%d' % (
            self.network, self.count // 200, self.count % 200 + 1)

    def add(self, name, zone, kind, roles, disk=False):
        machine = Machine(self, name, zone, kind, roles, disk)
        self.machines[name] = machine
        return machine

    def of_kind(self, kind):
        return [item for item in self.machines.values() if item.kind == kind]

    async def call(self, address, method, path, body=None, timeout=1.0,
                   name=''):
        """Return (status, headers, body) of an HTTP call, or None."""
        async def exchange():
            reader, writer = await asyncio.open_connection(*address)
            try:
                data = b'' if body is None else (
                    body if isinstance(body, bytes)
                    else json.dumps(body).encode())
                writer.write((
                    '%s %s HTTP/1.1\r\nHost: %s:%d\r\nConnection: close\r\n'
                    'Content-Type: application/json\r\n'
                    'Content-Length: %d\r\n\r\n' % (
                        method, path, *address, len(data))).encode() + data)
                await writer.drain()
                raw = await reader.read(-1)
            finally:
                writer.close()
            head, _, rest = raw.partition(b'\r\n\r\n')
            lines = head.decode('latin-1').split('\r\n')
            headers = {}
            for line in lines[1:]:
                key, _, value = line.partition(':')
                headers[key.lower()] = value.strip()
            return int(lines[0].split()[1]), headers, rest
        try:
            return await asyncio.wait_for(exchange(), timeout)
        except (OSError, asyncio.TimeoutError, ValueError, IndexError,
                EOFError):
            return None

    async def order(self, method, path, body=None, machines=None,
                    limit_s=15.0):
        """Send an operator's call until it gets a clear response.

        It follows 307 twice and moves on to another node after a failure, a
        5xx or a second without a response.
        """
        nodes = list(machines or [
            item for item in self.machines.values()
            if 'control' in item.roles])
        random.shuffle(nodes)
        deadline = time.monotonic() + limit_s
        attempt, pause = 0, 0.1
        while time.monotonic() < deadline:
            node = nodes[attempt % len(nodes)]
            attempt += 1
            address, target = node.address('control'), path
            for _ in range(3):
                answer = await self.call(address, method, target, body)
                if answer is None or answer[0] != 307:
                    break
                host, _, rest = answer[1]['location'].removeprefix(
                    'http://').partition('/')
                ip, _, port = host.partition(':')
                address, target = (ip, int(port)), '/' + rest
            status = answer[0] if answer else None
            if status is not None and status < 500 and (
                    status not in (307, 408, 429)):
                self.record.write('order', path=path, status=status,
                                  node='%s:%d' % address)
                return status, answer[2]
            await asyncio.sleep(pause)
            pause = min(0.5, pause * 1.5)
        self.record.write('order', path=path, status=None)
        return None, b''

    async def watch_rotation(self):
        """Check /poplarstep/ready of each entry machine twice a second."""
        async def check(machine):
            answer = await self.call(
                machine.address('ready'), 'GET', '/poplarstep/ready',
                timeout=0.45)
            if answer is not None and answer[0] == 200:
                self.misses[machine.name] = 0
                if not self.rotation.get(machine.name):
                    self.record.write('rotation-in', machine=machine.name)
                self.rotation[machine.name] = True
                return
            self.misses[machine.name] = self.misses.get(machine.name, 2) + 1
            if self.misses[machine.name] >= 2:
                if self.rotation.get(machine.name):
                    self.record.write('rotation-out', machine=machine.name)
                self.rotation[machine.name] = False

        while True:
            began = time.monotonic()
            await asyncio.gather(*[
                check(item) for item in self.of_kind('frontend')])
            await asyncio.sleep(max(0, 0.5 - (time.monotonic() - began)))

    def route(self, zone, flow):
        """Return the entry machine to which the router sends a packet."""
        fronts = self.of_kind('frontend')
        zones = [zone] + sorted({item.zone for item in fronts} - {zone})
        for name in zones:
            here = [item for item in fronts if item.zone == name]
            ready = [item for item in here if self.rotation.get(item.name)]
            if 0 < 2 * len(ready) < len(here):
                ready = here
            if ready:
                # Only the flows of a machine that leaves move.
                return max(ready, key=lambda item: hashlib.blake2b(
                    item.name.encode() + repr(flow).encode(),
                    digest_size=8).digest())
        return None

    async def until(self, condition, limit_s, what):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if condition():
                return True
            await asyncio.sleep(0.05)
        self.record.write('timeout', waiting_for=what)
        return False

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines.values():
            for process in machine.processes.values():
                process.send_signal(signal.SIGKILL)
        for machine in self.machines.values():
            for process in machine.processes.values():
                process.wait()
        if os.environ.get('KEEP'):
            print('kept', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Endpoint(asyncio.DatagramProtocol):
    """An endpoint beside an agent; one start of it."""

    def __init__(self, world, machine, service, name, slots=2, work_s=0.02,
                 queue=12, warm_s=0.0):
        self.world = world
        self.machine = machine
        self.service = service
        self.name = name
        self.slots = slots
        self.work_s = work_s
        self.queue = queue
        self.warm_s = warm_s
        self.running = 0
        self.waiting = []
        self.flows = {}
        self.ended = {}
        self.state = 'ready'
        self.seq = 0
        self.transport = None
        self.server = None
        self.tasks = []
        self.beat_task = None

    async def start(self, beats=True):
        loop = asyncio.get_running_loop()
        self.born = int(time.time() * 1000)
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.machine.address('app'))
        self.server = await asyncio.start_server(
            self.health, *self.machine.address('app'))
        self.world.endpoints.append(self)
        self.world.record.write(
            'endpoint-start', endpoint=self.name, service=self.service,
            machine=self.machine.name, born=self.born)
        if beats:
            self.beat_task = self.world.spawn(self.beats())

    def crash(self):
        """End at once; nothing is sent."""
        self.world.record.write('endpoint-crash', endpoint=self.name)
        for task in self.tasks:
            task.cancel()
        if self.beat_task:
            self.beat_task.cancel()
        self.transport.close()
        self.server.close()
        if self in self.world.endpoints:
            self.world.endpoints.remove(self)

    async def health(self, reader, writer):
        try:
            await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 1)
            code = b'200 OK' if self.state == 'ready' else b'503 Leaving'
            writer.write(b'HTTP/1.1 ' + code + b'\r\nContent-Length: 0\r\n'
                         b'Connection: close\r\n\r\n')
            await writer.drain()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        writer.close()

    def body(self):
        self.seq += 1
        warm = max(0, self.born + self.warm_s * 1000 - time.time() * 1000)
        return {'service': self.service,
                'address': '%s:%d' % self.machine.address('app'),
                'zone': self.machine.zone, 'version': 'v1',
                'concurrency': self.slots, 'state': self.state,
                'warmup-ms': int(warm), 'seq': self.seq, 'born': self.born}

    async def beat(self):
        """Send one ping; return whether it was acknowledged."""
        answer = await self.world.call(
            self.machine.address('control'), 'POST',
            '/poplarstep/Instances.Heartbeat/' + self.name, self.body())
        return answer is not None and 200 <= answer[0] < 300

    async def beats(self):
        while True:
            began = time.monotonic()
            await self.beat()
            period = self.world.heartbeat_ms / 1000
            await asyncio.sleep(max(0, period - (time.monotonic() - began)))

    # Packets.

    def send(self, datagram):
        if self.transport and not self.transport.is_closing():
            self.transport.sendto(datagram, self.machine.address('outbound'))

    def error_received(self, error):
        pass

    def datagram_received(self, datagram, source):
        packet = Packet(datagram)
        if not packet.genuine:
            self.world.record.write('forged', endpoint=self.name)
            return
        if packet.flags & SYN and not packet.flags & ACK:
            self.on_syn(packet)
            return
        flow = self.flows.get(packet.flow)
        if flow is None:
            if packet.flow in self.ended:
                self.on_ended(packet)
            else:
                self.bounce(packet)
            return
        # The acknowledgement names the sequence number of another endpoint.
        if packet.flags & ACK and (
                (packet.ack - flow['isn']) % 2**32 > 2**26):
            self.bounce(packet)
            return
        self.on_packet(flow, packet)

    def bounce(self, packet):
        header = bytearray(packet.datagram[:HEADER.size])
        header[10] |= BOUNCED
        header[11:14] = bytes(3)
        self.send(bytes(header) + packet.data)

    def reply(self, key, flags, seq, ack, data=b''):
        src, sport, dst, dport = key
        self.send(encode(flags, src, sport, dst, dport, seq, ack, data))

    def on_ended(self, packet):
        seq, ack = self.ended[packet.flow]
        if packet.data:
            self.reply(packet.flow, RST | ACK, seq, ack)
        elif packet.flags & FIN:
            self.reply(packet.flow, ACK, seq, ack)

    def on_syn(self, packet):
        key = packet.flow
        flow = self.flows.get(key)
        if flow is None:
            if self.running + len(self.waiting) >= self.slots + self.queue:
                self.bounce(packet)
                return
            flow = self.flows[key] = {
                'key': key, 'isn': random.getrandbits(32),
                'peer': (packet.seq + 1) % 2**32, 'open': False,
                'asked': False, 'answer': None, 'acked': 0, 'fin': False}
            self.world.record.write(
                'syn-taken', endpoint=self.name, service=self.service,
                client='%s:%d' % (socket.inet_ntoa(key[0]), key[1]),
                port=key[3], copy=packet.ack)
        self.reply(key, SYN | ACK, flow['isn'], flow['peer'])

    def on_packet(self, flow, packet):
        flow['open'] = True
        if packet.flags & RST:
            self.end(flow)
            return
        if packet.data and not flow['asked']:
            flow['asked'] = True
            flow['peer'] = (packet.seq + len(packet.data)) % 2**32
            self.reply(flow['key'], ACK, (flow['isn'] + 1) % 2**32,
                       flow['peer'])
            self.waiting.append((flow, packet.data))
            self.run_next()
        elif packet.data and flow['answer'] is None:
            self.reply(flow['key'], ACK, (flow['isn'] + 1) % 2**32,
                       flow['peer'])
        if flow['answer'] is not None and packet.flags & ACK:
            flow['acked'] = max(
                flow['acked'], (packet.ack - flow['isn'] - 1) % 2**32)
        if packet.flags & FIN:
            self.reply(flow['key'], ACK,
                       (flow['isn'] + 2 + len(flow['answer'] or b'')) % 2**32,
                       (packet.seq + 1) % 2**32)
            self.end(flow)

    def end(self, flow):
        key = flow['key']
        if self.flows.pop(key, None) is not None:
            self.ended[key] = (
                (flow['isn'] + 2 + len(flow['answer'] or b'')) % 2**32,
                (flow['peer'] + 1) % 2**32)

    def run_next(self):
        while self.waiting and self.running < self.slots:
            flow, request = self.waiting.pop(0)
            self.running += 1
            self.tasks.append(asyncio.get_running_loop().create_task(
                self.run(flow, request)))

    async def run(self, flow, request):
        identity = b''
        for line in request.split(b'\r\n'):
            if line.lower().startswith(b'x-request-id:'):
                identity = line.split(b':', 1)[1].strip()
        self.world.record.write(
            'run', endpoint=self.name, service=self.service,
            request=identity.decode(), port=flow['key'][3])
        await asyncio.sleep(self.work_s)
        self.running -= 1
        body = b'%s by %s' % (identity, self.service.encode())
        flow['answer'] = (
            b'HTTP/1.1 200 OK\r\nX-Server-Signature: %s\r\n'
            b'X-Endpoint: %s\r\nContent-Length: %d\r\n\r\n%s' % (
                hashlib.sha1(body).hexdigest().encode(), self.name.encode(),
                len(body), body))
        self.run_next()
        await self.transmit(flow)

    async def transmit(self, flow):
        """Send the answer and FIN, up to 8 retransmissions."""
        pause, length = 0.2, len(flow['answer'])
        for _ in range(9):
            if flow['key'] not in self.flows or flow['acked'] > length:
                break
            first = (flow['isn'] + 1) % 2**32
            if flow['acked'] < length:
                self.reply(flow['key'], ACK, first, flow['peer'],
                           flow['answer'])
            self.reply(flow['key'], FIN | ACK, (first + length) % 2**32,
                       flow['peer'])
            await asyncio.sleep(pause)
            pause = min(1.6, pause * 2)
        self.end(flow)


class Client(asyncio.DatagramProtocol):
    """All flows of one client address."""

    def __init__(self, world, zone, delay_s=0):
        self.world = world
        self.zone = zone
        # One way, from and to the client.
        self.delay_s = delay_s
        self.ip = world.next_ip()
        self.waiting = {}
        self.next_port = 30000
        world.clients.append(self)

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(self.ip, self.world.ports['datagram']))

    def error_received(self, error):
        pass

    def datagram_received(self, datagram, source):
        packet = Packet(datagram)
        queue = self.waiting.get((packet.dport, packet.src, packet.sport))
        if queue is not None:
            self.later(queue.put_nowait, packet)

    def later(self, function, *arguments):
        """Call a function after the delay of the client's link."""
        if self.delay_s:
            asyncio.get_running_loop().call_later(
                self.delay_s, function, *arguments)
        else:
            function(*arguments)

    async def request(self, route, identity, limit_s=3.0, via=None,
                      kind='GET', pause_s=0.0, opened=None):
        """One attempt on a flow of its own; return a dict of what was seen.

        ``route`` is (ip, port); ``via`` names an entry machine, else the
        router chooses for each packet. ``pause_s`` is the time between the
        opening and the request. ``opened`` is called when the flow opens.
        """
        host, dport = socket.inet_aton(route[0]), route[1]
        src, sport = socket.inet_aton(self.ip), self.next_port
        self.next_port = self.next_port + 1 if self.next_port < 64000 else 30000
        queue = self.waiting[sport, host, dport] = asyncio.Queue()
        flow = (self.ip, sport, *route)
        isn = random.getrandbits(32)
        seen = {'identity': identity, 'sent_at': self.world.record.now(),
                'outcome': 'unopened', 'endpoint': '', 'port': dport,
                'client': '%s:%d' % (self.ip, sport), 'route': route}

        def send(flags, seq, ack, data=b''):
            node = via or self.world.route(self.zone, flow)
            seen['via'] = node.name if node else ''
            if node is not None:
                self.later(self.transport.sendto, encode(
                    flags, host, dport, src, sport, seq % 2**32,
                    ack % 2**32, data), node.address('datagram'))

        def holder(number):
            """Return the live endpoint at which the flow is open, or ''."""
            for endpoint in self.world.endpoints:
                held = endpoint.flows.get((src, sport, host, dport))
                if held and held['open'] and held['isn'] == number:
                    return endpoint.name
            return ''

        async def receive(until):
            left = until - time.monotonic()
            if left <= 0:
                return None
            try:
                return await asyncio.wait_for(queue.get(), left)
            except asyncio.TimeoutError:
                return None

        began = time.monotonic()
        deadline = began + limit_s
        try:
            number = None
            steps = list(SYN_COPIES_S[1:]) + [SYN_LIMIT_S]
            for copy, until in enumerate(steps):
                send(SYN, isn, copy)
                end = min(began + until, deadline)
                while number is None:
                    packet = await receive(end)
                    if packet is None:
                        break
                    if packet.flags & RST:
                        seen['outcome'] = 'refused'
                        seen['reset_at'] = self.world.record.now()
                        return seen
                    if packet.flags & SYN:
                        number = packet.seq
                if number is not None or time.monotonic() >= deadline:
                    break
            if number is None:
                return seen
            seen['opened_at'] = self.world.record.now()
            if opened:
                opened(seen)
            send(ACK, isn + 1, number + 1)
            if pause_s:
                until = time.monotonic() + pause_s
                while True:
                    packet = await receive(until)
                    if packet is None:
                        break
                    if packet.flags & RST and self.accepts(packet, number):
                        seen['outcome'] = 'reset'
                        seen['genuine'] = packet.genuine
                        seen['held_by'] = holder(number)
                        seen['reset_at'] = self.world.record.now()
                        return seen
                deadline = time.monotonic() + limit_s
            data = ('%s / HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\n\r\n' % (
                kind, identity)).encode()
            pause, answer, acked = 0.2, None, False
            while time.monotonic() < deadline:
                if answer is None:
                    send(ACK, isn + 1, number + 1, data)
                end = min(deadline, time.monotonic() + pause)
                while True:
                    packet = await receive(end)
                    if packet is None:
                        break
                    if packet.flags & RST and self.accepts(packet, number):
                        seen['outcome'] = 'reset'
                        seen['genuine'] = packet.genuine
                        seen['held_by'] = holder(number)
                        seen['reset_at'] = self.world.record.now()
                        return seen
                    if packet.flags & SYN:
                        continue
                    if packet.data and answer is None:
                        answer = packet.data
                        seen['outcome'] = 'answered'
                        seen['answered_at'] = self.world.record.now()
                        head, _, body = answer.partition(b'\r\n\r\n')
                        for line in head.split(b'\r\n'):
                            if line.startswith(b'X-Endpoint:'):
                                seen['endpoint'] = line[11:].strip().decode()
                        seen['own'] = body.startswith(identity.encode())
                    if packet.data:
                        send(ACK, isn + 1 + len(data),
                             packet.seq + len(packet.data))
                    if packet.flags & FIN:
                        last = packet.seq + len(packet.data) + 1
                        send(FIN | ACK, isn + 1 + len(data), last)
                        if answer is not None:
                            return seen
                pause = min(1.6, pause * 2)
            if answer is None:
                seen['outcome'] = 'unanswered'
            return seen
        finally:
            seen['ended_at'] = self.world.record.now()
            self.world.record.write('request', **{
                key: ('%.3f' % value if isinstance(value, float) else value)
                for key, value in seen.items() if key != 'route'})
            asyncio.get_running_loop().call_later(
                2, self.waiting.pop, (sport, host, dport), None)

    @staticmethod
    def accepts(packet, number):
        """A reset on an open flow must be near the last ack."""
        return (packet.seq - number + 76800) % 2**32 <= 2 * 76800


def route_body(name, host, port, service, kind='safe', timeout_ms=2000,
               objective_ms=150, priority=1):
    return {'name': name, 'host': host, 'path-prefix': '/%d/' % port,
            'kind': kind, 'timeout-ms': timeout_ms,
            'target-latency-ms': objective_ms, 'priority': priority,
            'service': service, 'max-attempts': 2}


def service_body(name, warm_s=0.0, warm_per_s=0.0):
    return {'name': name, 'health-path': '/health', 'max-connections': 2000,
            'protocol': 'h1', 'tls': False, 'warmup-s': warm_s,
            'warmup-per-s': warm_per_s}


def state_body(version, routes, services, idle_ms=15000):
    return {'version': version, 'routes': routes, 'services': services,
            'limits': {'max-header-bytes': 16384, 'max-body-bytes': 262144,
                       'header-timeout-ms': 3000, 'idle-timeout-ms': idle_ms}}


def main(case, folder):
    """Run a case; exit with 1 (broken), 0 (held) or 2 (could not run)."""
    record = Record(pathlib.Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    world = None
    code = 2

    def on_terminate(number, frame):
        raise KeyboardInterrupt

    # All processes are ended when the case itself is stopped.
    signal.signal(signal.SIGTERM, on_terminate)
    try:
        world = World(record)

        async def limited():
            return await asyncio.wait_for(case(world, trouble), 112)
        code = asyncio.run(limited())
    except (Exception, KeyboardInterrupt) as error:  # It could not run.
        record.write('error', error=repr(error))
        print('could not run: %r' % error)
        code = 2
    finally:
        if world is not None:
            world.stop()
    record.write('exit', code=code)
    print('exit %d (%s)' % (code, {
        0: 'the rule held', 1: 'the rule was broken',
        2: 'the case could not run'}[code]))
    raise SystemExit(code)
