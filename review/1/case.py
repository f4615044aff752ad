"""Two core machines lose their disks, one long after the other is back."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

import deployments  # noqa: E402
import ends  # noqa: E402
import platform_standin as platform  # noqa: E402

TROUBLE = os.environ.get('TROUBLE') != '0'
ROUTES = int(os.environ.get('ROUTES', 1150))
CHANGES = int(os.environ.get('CHANGES', 600))
# Fewer changes are sent on a machine that needs longer for them.
CHANGES_S = 55
# Orders that the operator has in progress at once.
ORDERS_AT_ONCE = 8
DOWN_S = 1.0
# A machine remains lost for so long after it is back.
CATCHUP_S = platform.BOUNDS['catchup-s']
MARGIN_S = 0.5
RECOVERY_S = platform.BOUNDS['recovery-s']


async def case(make_day):
    """Return whether the newest acknowledged version is read back."""
    day = make_day(deployments.ZONES)
    small = deployments.Small(day, 2, {'dispatch': deployments.ZONES})

    def body(version):
        routes = [(
            'r-%07x' % (number * 7919), '127.%d.4.%d' % (
                day.network, 1 + number // 200), 1000 + number % 200,
            'dispatch', 'unsafe', 2500 + (version if not number else 0), 180)
            for number in range(ROUTES)]
        return dict(deployments.configuration(routes, ['dispatch']),
                    version=version)
    first = body(1)
    first.pop('version')
    print('a desired state has %d bytes' % len(json.dumps(body(1))))
    await small.start(first)
    newest = await change(day, small, body)
    sizes(day, small)
    for number in range(2):
        newest, node = await acknowledged(day, body, newest + 1)
        print('version %d is acknowledged by %s' % (newest, node.name))
        if TROUBLE:
            await lose_disk(day, node)
            await back(day, node)
            if number == 0:
                await asyncio.sleep(CATCHUP_S + MARGIN_S)
                sizes(day, small)
    return await read_back(day, newest)


async def change(day, small, body):
    """Send the changes; return the newest version."""
    begin = day.loop.time()
    newest = small.version
    answers = []

    async def operator():
        nonlocal newest
        while newest < small.version + CHANGES and (
                day.loop.time() < begin + CHANGES_S):
            newest += 1
            code, _ = await day.order(
                'POST', '/poplarstep/Config.Replace', body(newest))
            answers.append(code)
    await asyncio.gather(*[operator() for _ in range(ORDERS_AT_ONCE)])
    print('%d of %d changes acknowledged in %.1f s' % (
        answers.count(200), len(answers), day.loop.time() - begin))
    return newest


async def acknowledged(day, body, version):
    """Send a change; return its version and the machine that took it."""
    code, content = await day.order(
        'POST', '/poplarstep/Config.Replace', body(version))
    if code != 200:
        raise RuntimeError('version %d: %r %r' % (version, code, content))
    ip = day.events[-1]['node'].split(':')[0]
    return version, next(
        item for item in day.machines if item.ip == ip)


async def lose_disk(day, machine):
    """Take away the power and the disk of a machine, and start it again."""
    for role in machine.roles:
        machine.signal(role, signal.SIGKILL)
        machine.process_by_role[role].wait()
    shutil.rmtree(day.folder / machine.name / 'data')
    day.journal({'event': 'disk-lost', 'node': machine.name})
    await asyncio.sleep(DOWN_S)
    for role in machine.roles:
        machine.start(role)


async def back(day, machine):
    """Return when the control process of a machine answers again."""
    deadline = day.loop.time() + 15
    while day.loop.time() < deadline:
        code, _ = await ends.http(
            machine.address('control'), 'GET', '/poplarstep/Config.Read')
        if code is not None:
            break
        await asyncio.sleep(0.1)
    day.journal({'event': 'back', 'node': machine.name})


def sizes(day, small):
    """Print the sizes of the data folders."""
    print('data folders, MB: ' + ', '.join('%s %.1f' % (
        machine.name, sum(item.stat().st_size for item in (
            day.folder / machine.name / 'data').iterdir()) / 1e6)
        for machine in small.core))


async def read_back(day, newest):
    """Ask for the desired state for longer than recovery-s."""
    begin = day.loop.time()
    while day.loop.time() < begin + RECOVERY_S + 8:
        code, content = await day.order(
            'GET', '/poplarstep/Config.Read', for_s=4)
        if code == 200:
            version = json.loads(content)['version']
            print('read back: version %d, newest acknowledged %d' % (
                version, newest))
            return version == newest
    print('CONFIG: version %d was acknowledged, and for %.1f s after all '
          'machines are back no node answers a read of the desired state'
          % (newest, day.loop.time() - begin))
    return False


platform.run(case, HERE / 'record.txt')
