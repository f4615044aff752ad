"""A service is taken out of the desired state while its flows are open."""

import json
import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib2'))

import kit  # noqa: E402

# '1': both disruptions; 'config' and 'roll': one alone; '0': none.
TROUBLE = os.environ.get('TROUBLE', '1')
FLOWS = 12


def play(world):
    """Play the case; return whether the rule was broken."""
    old = [world.add_side(number, 'old') for number in (1, 2)]
    new = [world.add_side(number, 'new') for number in (3, 4)]
    host = '127.%d.200.1' % world.net
    world.start()

    def replace(version, services, service):
        status, _ = world.order(
            'POST', '/poplarstep/Config.Replace', json.dumps(
                kit.desired_state(version, services, [
                    ('r-1', host, 8443, service),
                    ('r-2', host, 8080, 'new')])))
        if status != 200:
            raise kit.CannotRun('desired state not acknowledged')

    replace(7, ['old', 'new'], 'old')
    world.wait_ready()
    client = kit.Client(world)
    flows = [client.open((host, 8443)) for _ in range(FLOWS)]
    if None in flows:
        raise kit.CannotRun('a flow did not open')
    for number, flow in enumerate(flows):
        if client.request(flow, 'first-%d' % number) != 'answered':
            raise kit.CannotRun('a first request was not answered')
    if TROUBLE in ('1', 'config'):
        replace(12, ['new'], 'new')
    # The desired state is in force, and the flows are idle for 4 s.
    time.sleep(4)
    if TROUBLE in ('1', 'roll'):
        # The platform stops a machine's process; it goes on with the other.
        world.balancers[0].stop()
        time.sleep(1)
    outcomes = {}

    def ask(number, flow):
        outcomes[number] = client.request(flow, 'second-%d' % number)

    threads = [threading.Thread(target=ask, args=item)
               for item in enumerate(flows)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    held = sum(
        flow.is_open and not flow.ended
        for endpoint in old for flow in endpoint.flows.values())
    resets = [flow for flow in flows if flow.reset == 'system']
    by_endpoint = sum(
        flow.reset_sent for endpoint in old + new
        for flow in endpoint.flows.values())
    for problem in client.problems:
        world.record.write('problem', problem)
    world.record.write(
        'result', 'flows', FLOWS, 'held by their endpoints', held,
        'reset by the system', len(resets), 'reset by endpoints', by_endpoint,
        'outcomes', sorted(outcomes.values()))
    return bool(resets)


def main():
    """Run the case; exit with 1 if the rule was broken."""
    world = kit.World(FOLDER / 'record.txt')
    try:
        broken = play(world)
    except kit.CannotRun as error:
        world.record.write('cannot run', error)
        broken = None
    finally:
        world.close()
    sys.exit(2 if broken is None else int(broken))


if __name__ == '__main__':
    main()
