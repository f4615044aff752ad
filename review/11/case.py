"""All seeds are control hosts without a disk, and return after the others."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-3'))

import world as w  # noqa: E402

ZONES = ('nasr-city', 'maadi', 'giza')
ROUTE = ('127.254.0.1', 8443)
RECOVERY_S = 12
RATE = 20
MEASURED_S = 10
# How long the machines without a disk are down; those with a disk are back
# at once.
DARK_S = 3.0


def build(world):
    for zone in ZONES:
        world.add('front-%s-1' % zone, zone, 'frontend',
                  ('balancer', 'control'), disk=True)
        world.add('front-%s-2' % zone, zone, 'frontend',
                  ('balancer', 'control'))
        side = world.add('side-%s-1' % zone, zone, 'side', ('agent',))
        side.service = 'dispatch'
    world.seeds = [
        world.machines['front-%s-2' % zone].ip for zone in ZONES]


async def measure(world, clients, seconds, label):
    """Send requests; return the share that was answered."""
    tasks = []
    for number in range(int(seconds * RATE)):
        client = clients[number % len(clients)]
        tasks.append(asyncio.create_task(client.request(
            ROUTE, '%s-%d' % (label, number), 2.0)))
        await asyncio.sleep(1 / RATE)
    seen = await asyncio.gather(*tasks)
    share = sum(item['outcome'] == 'answered' for item in seen) / len(seen)
    world.record.write('share', label=label, served='%.3f' % share)
    print('%s: %.3f of %d requests served' % (label, share, len(seen)))
    return share


async def case(world, trouble):
    build(world)
    for machine in world.machines.values():
        machine.start()
    world.spawn(world.watch_rotation())
    for machine in world.of_kind('side'):
        await w.Endpoint(world, machine, 'dispatch', 'i-' + machine.name).start()
    clients = [w.Client(world, zone) for zone in ZONES]
    for client in clients:
        await client.start()
    routes = [w.route_body('r-1', *ROUTE, 'dispatch')]
    services = [w.service_body('dispatch')]
    status, _ = await world.order(
        'POST', '/poplarstep/Config.Replace',
        w.state_body(7, routes, services), limit_s=20)
    if status != 200:
        return 2
    fronts = world.of_kind('frontend')
    if not await world.until(
            lambda: all(world.rotation.get(item.name) for item in fronts),
            20, 'all fronts ready'):
        return 2
    await asyncio.sleep(3)
    before = await measure(world, clients, 5, 'before')
    if before < 0.25:
        return 2
    status, _ = await world.order(
        'POST', '/poplarstep/Config.Replace',
        w.state_body(9, routes, services))
    if status != 200:
        return 2
    if trouble:
        for machine in fronts:
            machine.kill()
        for machine in fronts:
            if machine.disk:
                machine.start()
        await asyncio.sleep(DARK_S)
        for machine in fronts:
            machine.start()
    await asyncio.sleep(RECOVERY_S)
    after = await measure(world, clients, MEASURED_S, 'after')
    print('in rotation: %s' % sorted(
        name for name, ready in world.rotation.items() if ready))
    status, body = await world.order('GET', '/poplarstep/Config.Read', limit_s=8)
    print('read of the desired state: %s' % status)
    return 1 if after < 0.25 else 0


if __name__ == '__main__':
    w.main(case, FOLDER)
