"""Stand-ins of clients and servers, after PROTOCOL.md.

A request is one HTTP/1.1 message that fits into one packet. Both ends
retransmit after 200 ms, doubled up to 1.6 s. All of it runs in one asyncio
loop; ``now`` is the loop's clock in seconds.
"""

import asyncio
import json
import random
import time

import packets

FIRST_RETRANSMISSION_S = 0.2
LAST_RETRANSMISSION_S = 1.6
SERVER_RETRANSMISSIONS = 8
SYN_COPIES_S = (0.2, 0.6)
OPEN_TIMEOUT_S = 1.4


def open_udp(loop, address, receive):
    """Return a task that opens a UDP socket and delivers its datagrams."""
    class Receiver(asyncio.DatagramProtocol):
        def datagram_received(self, data, source):
            receive(data, source)

        def error_received(self, error):
            pass
    return loop.create_datagram_endpoint(Receiver, local_addr=address)


class Sender:
    """Reliable sender of the bytes of one end of a flow."""

    def __init__(self, loop, first, transmit, limit=None, on_limit=None):
        self.loop = loop
        self.next = first
        self.transmit = transmit
        self.unacked = []
        self.timer = None
        self.delay = FIRST_RETRANSMISSION_S
        self.limit = limit
        self.tries = 0
        self.on_limit = on_limit

    def send(self, flags, data=b''):
        """Send a packet that consumes sequence numbers."""
        size = len(data) + bool(flags & (packets.SYN | packets.FIN))
        self.unacked.append((self.next, size, flags, data))
        self.next = (self.next + size) % packets.MODULUS
        self.transmit(flags, self.unacked[-1][0], data)
        if self.timer is None:
            self._arm()

    def acked(self, number):
        """Drop what the other end has acknowledged."""
        before = len(self.unacked)
        self.unacked = [
            item for item in self.unacked
            if not 0 <= (number - item[0] - item[1]) % packets.MODULUS < 2**31]
        if len(self.unacked) < before:
            self.stop()
            self.delay = FIRST_RETRANSMISSION_S
            self.tries = 0
            if self.unacked:
                self._arm()

    def stop(self):
        """Stop to retransmit."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _arm(self):
        self.timer = self.loop.call_later(self.delay, self._again)

    def _again(self):
        self.timer = None
        self.tries += 1
        if self.limit is not None and self.tries > self.limit:
            self.unacked = []
            if self.on_limit:
                self.on_limit()
            return
        for seq, _, flags, data in self.unacked[:16]:
            self.transmit(flags, seq, data)
        self.delay = min(LAST_RETRANSMISSION_S, 2 * self.delay)
        self._arm()


class ServerFlow:
    """A flow at a server."""

    def __init__(self):
        self.opened = False
        self.first = 0
        self.expected = 0
        self.sender = None
        self.request = b''
        self.ended = False
        self.peer_finished = False
        self.requests_taken = 0


class Server:
    """An endpoint beside an agent.

    ``journal`` is called with a dictionary for each event that a server
    sees. ``work_s`` returns the working time of a request.
    """

    def __init__(self, loop, journal, name, service, zone, app, outbound,
                 agent_control, heartbeat_s, concurrency, work_s, queue=8,
                 close_after=True):
        self.loop = loop
        self.journal = journal
        self.name = name
        self.service = service
        self.zone = zone
        self.app = app
        self.outbound = outbound
        self.agent_control = agent_control
        self.heartbeat_s = heartbeat_s
        self.concurrency = concurrency
        self.work_s = work_s
        self.queue_limit = queue
        self.close_after = close_after
        self.log_packets = False
        self.state = 'ready'
        self.warmup_until = 0.0
        self.flows = {}
        self.running = 0
        self.waiting = []
        self.seq = 0
        self.born = 0
        self.transport = None
        self.tasks = []
        self.acked_state = None
        self.last_ack = None

    async def start(self):
        """Open the sockets and begin to send pings at once."""
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.flows = {}
        self.running = 0
        self.waiting = []
        self.transport, _ = await open_udp(self.loop, self.app, self.receive)
        self.tasks = [self.loop.create_task(self._ping_loop())]
        self.journal({'event': 'server-started', 'server': self.name,
                      'service': self.service, 'born': self.born})

    def crash(self):
        """End without a word."""
        for task in self.tasks:
            task.cancel()
        self.transport.close()
        self.transport = None
        for flow in self.flows.values():
            if flow.sender:
                flow.sender.stop()
        self.flows = {}
        self.waiting = []
        self.journal({'event': 'server-crashed', 'server': self.name})

    async def _ping_loop(self):
        while True:
            started = self.loop.time()
            await self.ping()
            await asyncio.sleep(max(0.01, self.heartbeat_s - (
                self.loop.time() - started)))

    async def ping(self):
        """Send one ping; return whether it was acknowledged in time."""
        self.seq += 1
        state = self.state
        body = {
            'service': self.service, 'address': '%s:%d' % self.app,
            'zone': self.zone, 'version': 'v1',
            'concurrency': self.concurrency, 'state': state,
            'warmup-ms': max(0, int(1000 * (
                self.warmup_until - self.loop.time()))),
            'seq': self.seq, 'born': self.born}
        code, _ = await http(
            self.agent_control, 'POST',
            '/poplarstep/Instances.Heartbeat/' + self.name, body, 1.0)
        if code is not None and 200 <= code < 300:
            if self.acked_state != state:
                self.journal({'event': 'ping-acked', 'server': self.name,
                              'state': state})
            self.acked_state = state
            self.last_ack = self.loop.time()
            return True
        return False

    async def deregister(self):
        """Say goodbye; return whether it was acknowledged."""
        code, _ = await http(
            self.agent_control, 'POST',
            '/poplarstep/Instances.Deregister/' + self.name,
            {'born': self.born}, 1.0)
        return code is not None and 200 <= code < 300

    def receive(self, raw, source):
        """Take a packet from this machine."""
        packet = packets.decode(raw)
        if packet is None:
            return
        if not packet.genuine:
            self.journal({'event': 'forged-at-server', 'server': self.name})
            return
        key = (packet.source, packet.destination)
        flow = self.flows.get(key)
        if packet.flags & packets.SYN:
            self._syn(key, flow, packet)
            return
        if flow is not None and flow.opened and self.log_packets:
            self.journal({'event': 'own-packet', 'server': self.name,
                          'flow': '%s:%d' % packet.source})
        if flow is None:
            self.journal({'event': 'stray', 'server': self.name,
                          'flow': '%s:%d' % packet.source,
                          'data': len(packet.data)})
            self._send_raw(packets.bounced(packet.raw))
            return
        self._packet(key, flow, packet)

    def _syn(self, key, flow, packet):
        if flow is None:
            if len(self.waiting) >= self.queue_limit:
                self._send_raw(packets.bounced(packet.raw))
                return
            flow = self.flows[key] = ServerFlow()
            flow.first = random.getrandbits(32)
            flow.expected = (packet.seq + 1) % packets.MODULUS
            self.journal({'event': 'syn-taken', 'server': self.name,
                          'flow': '%s:%d' % key[0], 'copy': packet.ack})
        if not flow.opened:
            self._send(key, packets.SYN | packets.ACK, flow.first,
                       flow.expected)

    def _packet(self, key, flow, packet):
        if packet.flags & packets.RST:
            self.flows.pop(key, None)
            if flow.sender:
                flow.sender.stop()
            return
        if not flow.opened:
            if not packet.flags & packets.ACK or packet.ack != (
                    flow.first + 1) % packets.MODULUS:
                return
            flow.opened = True
            flow.sender = Sender(
                self.loop, (flow.first + 1) % packets.MODULUS,
                lambda flags, seq, data: self._send(
                    key, flags | packets.ACK, seq, flow.expected, data),
                SERVER_RETRANSMISSIONS,
                lambda: self.flows.pop(key, None))
            self.journal({'event': 'flow-open', 'server': self.name,
                          'flow': '%s:%d' % key[0]})
        flow.sender.acked(packet.ack)
        if flow.ended:
            if packet.flags & packets.FIN:
                self._send(key, packets.ACK, flow.sender.next,
                           (packet.seq + len(packet.data) + 1)
                           % packets.MODULUS)
            elif packet.data and packet.seq == flow.expected:
                self._send(key, packets.RST, flow.sender.next, flow.expected)
            return
        if not packet.data and not packet.flags & packets.FIN:
            return
        if packet.seq == flow.expected:
            flow.expected = (packet.seq + len(packet.data) + bool(
                packet.flags & packets.FIN)) % packets.MODULUS
            if packet.data:
                self._request(key, flow, packet.data)
            if packet.flags & packets.FIN:
                flow.peer_finished = True
        self._send(key, packets.ACK, flow.sender.next, flow.expected)

    def _request(self, key, flow, data):
        flow.request += data
        while b'\r\n\r\n' in flow.request:
            head, _, rest = flow.request.partition(b'\r\n\r\n')
            length = 0
            identity = ''
            for line in head.split(b'\r\n')[1:]:
                name, _, value = line.partition(b':')
                if name.lower() == b'content-length':
                    length = int(value)
                elif name.lower() == b'x-request-id':
                    identity = value.strip().decode()
            if len(rest) < length:
                return
            flow.request = rest[length:]
            flow.requests_taken += 1
            self.waiting.append((key, flow, identity))
        self._work()

    def _work(self):
        while self.waiting and self.running < self.concurrency:
            key, flow, identity = self.waiting.pop(0)
            self.running += 1
            self.journal({'event': 'run', 'server': self.name,
                          'service': self.service, 'request': identity,
                          'flow': '%s:%d' % key[0]})
            self.loop.call_later(
                self.work_s(self), self._done, self.transport, key, flow,
                identity)

    def _done(self, transport, key, flow, identity):
        if transport is not self.transport or transport is None:
            return
        self.running -= 1
        if self.flows.get(key) is flow:
            body = ('answer to %s' % identity).encode()
            head = ('HTTP/1.1 200 OK\r\nX-Server-Signature: %s\r\n'
                    'Content-Length: %d\r\n\r\n' % (
                        self.name, len(body))).encode()
            flow.sender.send(0, head + body)
            if self.close_after or self.state == 'draining':
                flow.sender.send(packets.FIN)
                flow.ended = True
                self.loop.call_later(10, self.flows.pop, key, None)
        self._work()

    def _send(self, key, flags, seq, ack, data=b''):
        self._send_raw(packets.encode(packets.Packet(
            key[1], key[0], flags, seq, ack, data)))

    def _send_raw(self, raw):
        if self.transport is not None:
            self.transport.sendto(raw, self.outbound)


class ClientFlow:
    """One flow of a client: a request, or several one after the other."""

    def __init__(self, clients, port, service, requests, gap_s, timeout_s):
        self.clients = clients
        self.loop = clients.loop
        self.local = (clients.address[0], port)
        self.service = service
        self.name = '%s:%d' % self.local
        self.left = list(requests)
        self.gap_s = gap_s
        self.timeout_s = timeout_s
        self.first = random.getrandbits(32)
        self.state = 'opening'
        self.expected = None
        self.sender = None
        self.body = b''
        self.current = None
        self.timers = []
        self.sent_at = self.loop.time()
        self.outcome = self.loop.create_future()

    def start(self):
        """Send the opening packet and arm its copies."""
        self._syn(0)
        for number, after in enumerate(SYN_COPIES_S, 1):
            self.timers.append(self.loop.call_later(after, self._syn, number))
        self.timers.append(self.loop.call_later(
            OPEN_TIMEOUT_S, self._open_timeout))
        self.timers.append(self.loop.call_later(
            self.timeout_s, self.end, 'deadline'))

    def _syn(self, number):
        if self.state == 'opening':
            self.transmit(packets.SYN, self.first, number)

    def _open_timeout(self):
        if self.state == 'opening':
            self.end('not-opened')

    def transmit(self, flags, seq, ack, data=b''):
        """Send a packet through the router."""
        self.clients.send(packets.encode(packets.Packet(
            self.local, self.service, flags, seq, ack, data)), self)

    def receive(self, packet):
        """Take a packet that is addressed to this flow."""
        if packet.flags & packets.RST:
            own = not packet.genuine
            self.end('reset-by-system' if own else 'reset-by-server')
            return
        if not packet.genuine:
            self.clients.journal({'event': 'forged-at-client',
                                  'flow': self.name})
            return
        if packet.flags & packets.SYN:
            if self.state == 'opening' and packet.ack == (
                    self.first + 1) % packets.MODULUS:
                self.state = 'open'
                self.expected = (packet.seq + 1) % packets.MODULUS
                self.sender = Sender(
                    self.loop, packet.ack,
                    lambda flags, seq, data: self.transmit(
                        flags | packets.ACK, seq, self.expected, data))
                self.clients.journal({'event': 'client-open',
                                      'flow': self.name})
                self._next_request()
            return
        if self.state not in ('open', 'closing'):
            return
        if packet.flags & packets.ACK:
            self.sender.acked(packet.ack)
        if not packet.data and not packet.flags & packets.FIN:
            return
        if packet.seq == self.expected:
            self.expected = (packet.seq + len(packet.data) + bool(
                packet.flags & packets.FIN)) % packets.MODULUS
            if packet.data:
                self._answer(packet.data)
            if packet.flags & packets.FIN and self.state == 'open':
                self.state = 'closing'
                self.sender.send(packets.FIN)
                if not self.outcome.done():
                    self.end('answered' if self.current is None
                             else 'closed-early', keep=True)
        self.transmit(packets.ACK, self.sender.next, self.expected)

    def _next_request(self):
        if self.state != 'open' or not self.left:
            return
        self.current = self.left.pop(0)
        identity = self.current
        self.sent_at = self.loop.time()
        self.body = b''
        self.clients.journal({'event': 'request-sent', 'request': identity,
                              'flow': self.name})
        self.sender.send(0, (
            'POST / HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n'
            'Content-Length: 4\r\n\r\nbody' % (
                self.service[0], identity)).encode())

    def _answer(self, data):
        self.body += data
        head, mark, body = self.body.partition(b'\r\n\r\n')
        if not mark or self.current is None:
            return
        length = int(head.split(b'Content-Length: ')[1].split(b'\r\n')[0])
        if len(body) < length:
            return
        right = body == ('answer to %s' % self.current).encode()
        self.clients.journal({
            'event': 'answer', 'request': self.current, 'right': right,
            'ms': round(1000 * (self.loop.time() - self.sent_at))})
        self.current = None
        self.body = b''
        if self.left:
            self.timers.append(self.loop.call_later(
                self.gap_s, self._next_request))

    def end(self, outcome, keep=False):
        """End this client attempt."""
        if not self.outcome.done():
            self.outcome.set_result((outcome, self.state))
            self.clients.journal({
                'event': 'flow-ended', 'flow': self.name, 'outcome': outcome,
                'state': self.state, 'request': self.current})
        for timer in self.timers:
            timer.cancel()
        if keep:
            self.loop.call_later(3, self.end, outcome)
            return
        if self.sender:
            self.sender.stop()
        self.state = 'ended'
        self.clients.flows.pop(self.local[1], None)


class Clients:
    """Clients at one address; each flow has a port of its own."""

    def __init__(self, loop, journal, address, router):
        self.loop = loop
        self.journal = journal
        self.address = address
        self.router = router
        self.flows = {}
        self.next_port = 20000
        self.transport = None

    async def start(self):
        """Open the socket at which packets for clients arrive."""
        self.transport, _ = await open_udp(
            self.loop, self.address, self._receive)

    def open(self, service, requests, gap_s=0.0, timeout_s=5.0):
        """Open a flow from a new port and return it."""
        self.next_port += 1
        flow = ClientFlow(self, self.next_port, service, requests, gap_s,
                          timeout_s)
        self.flows[self.next_port] = flow
        flow.start()
        return flow

    def send(self, raw, flow):
        """Send a packet to the node that the router selects now."""
        node = self.router.select(flow.local, flow.service)
        if raw[10] == packets.SYN:
            self.journal({'event': 'syn-sent', 'flow': flow.name,
                          'node': '%s:%d' % node})
        if node is not None:
            self.transport.sendto(raw, node)

    def _receive(self, raw, source):
        packet = packets.decode(raw)
        if packet is None:
            return
        flow = self.flows.get(packet.destination[1])
        if flow is not None and packet.source == flow.service:
            flow.receive(packet)


async def http(address, method, path, body=None, timeout_s=1.0):
    """Return status code and body of an HTTP call, or (None, reason)."""
    try:
        return await asyncio.wait_for(
            _http(address, method, path, body), timeout_s)
    except asyncio.TimeoutError:
        return None, 'no answer in time'
    except (OSError, ValueError, IndexError) as error:
        return None, repr(error)


async def _http(address, method, path, body):
    reader, writer = await asyncio.open_connection(*address)
    try:
        data = b'' if body is None else json.dumps(body).encode()
        writer.write((
            '%s %s HTTP/1.1\r\nHost: %s:%d\r\nConnection: close\r\n'
            'Content-Type: application/json\r\nContent-Length: %d\r\n\r\n' % (
                method, path, address[0], address[1], len(data))).encode()
            + data)
        await writer.drain()
        answer = await reader.read()
        head, _, content = answer.partition(b'\r\n\r\n')
        code = int(head.split()[1])
        for line in head.split(b'\r\n')[1:]:
            if code == 307 and line.lower().startswith(b'location:'):
                content = line.split(b':', 1)[1].strip()
        return code, content
    finally:
        writer.close()
