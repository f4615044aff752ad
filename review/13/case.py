"""Three control hosts without a disk freeze right before a change is acked."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-3'))

import world as w  # noqa: E402

ZONES = ('nasr-city', 'maadi', 'giza')
ROUTE = ('127.254.0.1', 8443)
CONFIG_APPLY_S = 3.0
INTERVAL_S = 0.05
ROUNDS = 3
# Longer than contact-ms, 4 s, after the planned work.
STEADY_S = 6.0
# Numbers of the machines that run a balancer only; the name of a node decides
# which seed it polls first, and these begin with the first one.
NUMBERS = {'nasr-city': (3, 4, 6), 'maadi': (8, 9), 'giza': (3, 4, 7)}


def build(world):
    for zone in ZONES:
        world.add('frontend-%s-1' % zone, zone, 'frontend',
                  ('balancer', 'control'), disk=True)
        world.add('frontend-%s-2' % zone, zone, 'frontend',
                  ('balancer', 'control'))
        for number in NUMBERS[zone]:
            world.add('frontend-%s-%d' % (zone, number), zone, 'frontend',
                      ('balancer',))
        for service in ('old', 'new'):
            side = world.add('side-%s-%s' % (zone, service), zone, 'side',
                             ('agent',))
            side.service = service
    world.seeds = [
        world.machines['frontend-%s-2' % zone].ip for zone in ZONES]


async def restart_balancers(world, machines):
    """Planned work: stop and start the balancers, a third at a time."""
    for number in range(3):
        group = machines[number::3]
        for machine in group:
            machine.signal(signal.SIGTERM, 'balancer')
        for machine in group:
            process = machine.processes.pop('balancer')
            await asyncio.to_thread(process.wait, 6)
            machine.start('balancer')
        await world.until(
            lambda: all(world.rotation.get(item.name) for item in group),
            10, 'balancers ready again')


async def case(world, trouble):
    build(world)
    for machine in world.machines.values():
        machine.start()
    world.spawn(world.watch_rotation())
    for machine in world.of_kind('side'):
        await w.Endpoint(world, machine, machine.service,
                         'i-' + machine.name, slots=4).start()
    client = w.Client(world, ZONES[0])
    await client.start()
    services = [w.service_body('old'), w.service_body('new')]
    status, _ = await world.order(
        'POST', '/poplarstep/Config.Replace',
        w.state_body(7, [w.route_body('r-1', *ROUTE, 'old')], services),
        limit_s=20)
    fronts = world.of_kind('frontend')
    if status != 200 or not await world.until(
            lambda: all(world.rotation.get(item.name) for item in fronts),
            20, 'all fronts ready'):
        return 2
    late = 0
    for number in range(ROUNDS):
        found = await play(world, client, trouble, 9 + 2 * number, services)
        if found is None:
            return 2
        late += found
    print('%d requests sent later than %.1f s after the ack were run by the '
          'old service' % (late, CONFIG_APPLY_S))
    return 1 if late else 0


async def play(world, client, trouble, version, services):
    """Return how many late requests the older version decided, or None."""
    fronts = world.of_kind('frontend')
    seeds = [item for item in fronts if item.ip in world.seeds]
    others = [item for item in fronts if item not in seeds]
    core = [item for item in fronts if item.disk]
    older, newer = ('old', 'new') if version % 4 == 1 else ('new', 'old')
    await restart_balancers(world, others)
    await asyncio.sleep(STEADY_S)
    if trouble:
        for machine in seeds:
            machine.signal(signal.SIGSTOP)
    began = world.record.now()
    status, _ = await world.order(
        'POST', '/poplarstep/Config.Replace',
        w.state_body(version, [w.route_body('r-1', *ROUTE, newer)], services),
        core)
    acked = world.record.now()
    if status != 200:
        return None
    print('version %d acked after %.3f s' % (version, acked - began))
    tasks, number = [], 0
    while world.record.now() < acked + CONFIG_APPLY_S + 0.8:
        for machine in others:
            number += 1
            tasks.append(asyncio.create_task(client.request(
                ROUTE, 'v%d-%d' % (version, number), 2.0, machine)))
        await asyncio.sleep(INTERVAL_S)
    if trouble:
        for machine in seeds:
            machine.signal(signal.SIGCONT)
    seen = await asyncio.gather(*tasks)
    last = {}
    for item in seen:
        if item['endpoint'].endswith('-' + older):
            last[item['via']] = item['sent_at'] - acked
    for name in sorted(last):
        print('%s: last request by the service `%s` was sent %.3f s after '
              'the ack' % (name, older, last[name]))
    return sum(item['endpoint'].endswith('-' + older)
               and item['sent_at'] > acked + CONFIG_APPLY_S for item in seen)


if __name__ == '__main__':
    w.main(case, FOLDER)
