"""Deployments of the cases: the size of a small site."""

import asyncio
import random

import ends
import platform_standin as platform

ZONES = ('nasr-city', 'maadi', 'giza')


class Small:
    """Three core machines, further balancers in one zone, and servers.

    All clients are in the first zone, whose routers spread their packets.
    """

    def __init__(self, day, balancers, services, heartbeat_s=1.2,
                 concurrency=1, work_s=None, close_after=True, queue=8):
        self.day = day
        self.loop = day.loop
        self.services = services
        self.version = 0
        self.core = [
            day.add_machine('frontend-%s-1' % zone, 'frontend', zone,
                            ('control', 'balancer'), disk=True)
            for zone in ZONES]
        self.fronts = [self.core[0]] + [
            day.add_machine('frontend-%s-%d' % (ZONES[0], number + 2),
                            'frontend', ZONES[0], ('balancer',))
            for number in range(balancers - 1)]
        self.sides = []
        self.servers = []
        for service, zones in services.items():
            for zone in zones:
                side = day.add_machine(
                    'side-%s-%d' % (zone, len(self.sides) + 1), 'side', zone,
                    ('agent',))
                side.extra['service'] = service
                self.sides.append(side)
                self.servers.append(self.make_server(
                    side, service, heartbeat_s, concurrency, work_s,
                    close_after, queue))
        day.seeds = ['%s:%d' % item.address('control') for item in self.core]
        self.router = platform.Router(day, self.fronts)
        self.clients = ends.Clients(
            self.loop, day.journal,
            (day.ip(9, 1), day.ports['datagram-addr']), self.router)

    def make_server(self, side, service, heartbeat_s, concurrency, work_s,
                    close_after=True, queue=8):
        """Return a server beside the agent of a machine."""
        return ends.Server(
            self.loop, self.day.journal,
            'i-%08x' % random.getrandbits(32), service, side.zone,
            side.address('app'), side.address('outbound'),
            side.address('control'), heartbeat_s, concurrency,
            work_s or (lambda server: 0.02), queue, close_after)

    async def start(self, configuration):
        """Start everything; return when packets are served."""
        for machine in self.day.machines:
            for role in machine.roles:
                machine.start(role, bootstrap=True)
        await self.clients.start()
        for server in self.servers:
            await server.start()
        for machine in self.fronts:
            self.loop.create_task(self.router.watch(machine))
        code, content = await self.configure(configuration)
        if code != 200:
            raise RuntimeError('no first desired state: %r %r' % (
                code, content))
        deadline = self.loop.time() + 25
        while any(self.router.misses[item.name] >= 2
                  for item in self.fronts):
            if self.loop.time() > deadline:
                raise RuntimeError('balancers are not ready')
            await asyncio.sleep(0.2)
        await asyncio.sleep(3)

    async def configure(self, configuration):
        """Send a desired state with the next version."""
        self.version += random.randint(1, 3)
        body = dict(configuration, version=self.version)
        self.day.journal({'event': 'order', 'body': body})
        return await self.day.order(
            'POST', '/poplarstep/Config.Replace', body)


def configuration(routes, services, warmup_per_s=0.0):
    """Return a desired state without its version.

    ``routes`` holds (name, host, port, service, kind, timeout, objective).
    """
    return {
        'routes': [{
            'name': name, 'host': host, 'path-prefix': '/%d/' % port,
            'kind': kind, 'timeout-ms': timeout_ms,
            'target-latency-ms': objective_ms, 'priority': 1,
            'service': service, 'max-attempts': 2}
            for name, host, port, service, kind, timeout_ms, objective_ms
            in routes],
        'services': [{
            'name': name, 'health-path': '/health', 'max-connections': 2000,
            'protocol': 'h1', 'tls': False, 'warmup-s': 2.0,
            'warmup-per-s': warmup_per_s} for name in services],
        'limits': {'max-header-bytes': 16384, 'max-body-bytes': 262144,
                   'header-timeout-ms': 3000, 'idle-timeout-ms': 15000}}
