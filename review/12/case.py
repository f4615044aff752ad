"""Agents and balancers are stopped and started in turn beside open flows."""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-3'))

import world as w  # noqa: E402

ZONES = ('nasr-city', 'maadi', 'giza')
ROUTE = ('198.18.0.1', 8443)
IDLE_MS = 55000
FLOWS = 3000
OPENING_S = 6.0
# From one stop to the next; the pauses differ as those of an operator do.
GAP_S, MORE_S = 1.2, 0.3
# Requests are sent while the agents are restarted, twice each.
ASKING_S = 33.0


def build(world):
    for zone in ZONES:
        world.add('frontend-%s-1' % zone, zone, 'frontend',
                  ('balancer', 'control'), disk=True)
        world.add('frontend-%s-2' % zone, zone, 'frontend', ('balancer',))
        for number in (1, 2, 3, 4):
            side = world.add('side-%s-%d' % (zone, number), zone, 'side',
                             ('agent',))
            side.service = 'dispatch'
    world.seeds = [
        world.machines['frontend-%s-1' % zone].ip for zone in ZONES]


async def roll(world, machines, role):
    """Planned work: SIGTERM and a new start, one after the other."""
    async def restart(machine):
        machine.signal(signal.SIGTERM, role)
        process = machine.processes.pop(role)
        await asyncio.to_thread(process.wait, 6)
        machine.start(role)

    running = []
    for machine in machines:
        running.append(asyncio.create_task(restart(machine)))
        await asyncio.sleep(GAP_S + random.uniform(0, MORE_S))
    await asyncio.gather(*running)


async def case(world, trouble):
    build(world)
    for machine in world.machines.values():
        machine.start()
    world.spawn(world.watch_rotation())
    sides = world.of_kind('side')
    for machine in sides:
        await w.Endpoint(world, machine, 'dispatch', 'i-' + machine.name,
                         slots=16, queue=400).start()
    clients = [w.Client(world, zone) for zone in ZONES]
    for client in clients:
        await client.start()
    status, _ = await world.order(
        'POST', '/poplarstep/Config.Replace',
        w.state_body(7, [w.route_body('r-1', *ROUTE, 'dispatch')],
                     [w.service_body('dispatch')], IDLE_MS), limit_s=20)
    fronts = world.of_kind('frontend')
    if status != 200 or not await world.until(
            lambda: all(world.rotation.get(item.name) for item in fronts),
            20, 'all fronts ready'):
        return 2
    await asyncio.sleep(8)
    rolling_s = (GAP_S + MORE_S) * len(fronts) + 3
    began = world.record.now()
    asking = began + OPENING_S + rolling_s
    tasks = []
    for number in range(FLOWS):
        at = random.uniform(asking, asking + ASKING_S)
        tasks.append(asyncio.create_task(clients[number % 3].request(
            ROUTE, 'n-%d' % number, 6.0, None,
            pause_s=at - world.record.now())))
        await asyncio.sleep(max(0, (
            began + OPENING_S * (number + 1) / FLOWS) - world.record.now()))
    if trouble:
        await roll(world, fronts, 'balancer')
    await asyncio.sleep(max(0, asking - world.record.now()))
    if trouble:
        await roll(world, sides, 'agent')
        await roll(world, sides, 'agent')
    seen = await asyncio.gather(*tasks)
    count = {}
    for item in seen:
        count[item['outcome']] = count.get(item['outcome'], 0) + 1
    broken = [item for item in seen if item['outcome'] == 'reset'
              and not item['genuine'] and item['held_by']]
    print('outcomes of %d flows: %s' % (len(seen), count))
    for item in broken:
        print('flow %s, open for %.1f s at the live endpoint %s, got a reset '
              'that no endpoint sent' % (
                  item['client'], item['reset_at'] - item['opened_at'],
                  item['held_by']))
    return 1 if broken else 0


if __name__ == '__main__':
    w.main(case, FOLDER)
