"""An agent is frozen for a moment, and its endpoint's address is used again."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-3'))

import world as w  # noqa: E402

ZONES = ('nasr-city', 'maadi', 'giza')
ROUTE_BY_SERVICE = {
    'dispatch': ('127.254.0.1', 8443), 'certs': ('127.254.0.2', 443)}
FROZEN_S = 0.3
REUSE_S = 2.0
# An endpoint reports for the first time so long after it listens.
FIRST_PING_S = 0.02
RATE = 150


def build(world):
    for zone in ZONES:
        world.add('frontend-%s-1' % zone, zone, 'frontend',
                  ('balancer', 'control'), disk=True)
        for number in (1, 2, 3):
            side = world.add('side-%s-%d' % (zone, number), zone, 'side',
                             ('agent',))
            side.service = 'certs' if number == 3 else 'dispatch'
    world.seeds = [
        world.machines['frontend-%s-1' % zone].ip for zone in ZONES]


async def load(world, clients, tasks, until):
    """Send requests to `dispatch` only."""
    number = 0
    while world.record.now() < until:
        client = clients[number % len(clients)]
        tasks.append(asyncio.create_task(client.request(
            ROUTE_BY_SERVICE['dispatch'], 'n-%d' % number, 2.0)))
        number += 1
        await asyncio.sleep(1 / RATE)


async def reuse(world, endpoint, trouble):
    """Crash an endpoint; its address goes to the other service 2 s later."""
    machine = endpoint.machine
    endpoint.beat_task.cancel()
    if trouble:
        machine.signal(signal.SIGSTOP, 'agent')
    ping = asyncio.create_task(endpoint.beat())
    await asyncio.sleep(0.01 if trouble else 0.3)
    endpoint.crash()
    crashed = world.record.now()
    if trouble:
        await asyncio.sleep(FROZEN_S)
        machine.signal(signal.SIGCONT, 'agent')
    await asyncio.sleep(crashed + REUSE_S + 0.01 - world.record.now())
    later = w.Endpoint(world, machine, 'certs', endpoint.name + '-b')
    await later.start(beats=False)
    await asyncio.sleep(FIRST_PING_S)
    later.beat_task = world.spawn(later.beats())
    ping.cancel()


async def case(world, trouble):
    build(world)
    for machine in world.machines.values():
        machine.start()
    world.spawn(world.watch_rotation())
    endpoints = []
    for machine in world.of_kind('side'):
        endpoint = w.Endpoint(world, machine, machine.service,
                              'i-' + machine.name)
        await endpoint.start()
        endpoints.append(endpoint)
    clients = [w.Client(world, zone) for zone in ZONES]
    for client in clients:
        await client.start()
    status, _ = await world.order(
        'POST', '/poplarstep/Config.Replace',
        w.state_body(7, [
            w.route_body('r-' + service, *route, service, kind='unsafe')
            for service, route in ROUTE_BY_SERVICE.items()],
            [w.service_body(service) for service in ROUTE_BY_SERVICE]),
        limit_s=20)
    fronts = world.of_kind('frontend')
    if status != 200 or not await world.until(
            lambda: all(world.rotation.get(item.name) for item in fronts),
            20, 'all fronts ready'):
        return 2
    await asyncio.sleep(3)
    tasks = []
    victims = [item for item in endpoints if item.service == 'dispatch'][:5]
    loading = asyncio.create_task(load(
        world, clients, tasks, world.record.now() + 2 + 6 * len(victims)))
    await asyncio.sleep(2)
    for endpoint in victims:
        began = world.record.now()
        await reuse(world, endpoint, trouble)
        await asyncio.sleep(began + 6 - world.record.now())
    await loading
    seen = await asyncio.gather(*tasks)
    world.record.file.flush()
    taken, run = 0, 0
    for line in (FOLDER / 'record.txt').read_text().splitlines():
        if 'service=certs' in line and (
                'port=%d ' % ROUTE_BY_SERVICE['dispatch'][1]
                in line + ' '):
            taken += ' syn-taken ' in line
            run += ' run ' in line
    print('%d requests to `dispatch`, %d answered' % (len(seen), sum(
        item['outcome'] == 'answered' for item in seen)))
    print('endpoints of `certs` took %d of their flows and ran %d of their '
          'requests' % (taken, run))
    return 1 if run else 0


if __name__ == '__main__':
    w.main(case, FOLDER)
