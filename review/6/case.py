"""Addresses of endpoints that crash go to endpoints of another service."""

import json
import os
import pathlib
import random
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib2'))

import kit  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1')
SERVICES = ('registry', 'maps')
FLOWS_PER_S = {'registry': 110, 'maps': 30}
ADDRESS_REUSE_S = 2.0
# From the opening of a new endpoint's sockets to its first ping: "An endpoint
# that has just started is slow for some seconds."
FIRST_PING_S = float(os.environ.get('FIRST_PING_S', '0.05'))
# Each round replaces two of the eight endpoints, a share of 0.25.
ROUND_S = 5.0
LAST_ROUND_S = 92
PATIENCE = 3


class Load:
    """Clients that open a flow for each request."""

    def __init__(self, world, routes):
        self.world = world
        self.routes = routes
        self.clients = [kit.Client(world, number) for number in (1, 2, 3, 4)]
        self.counts = {}
        self.lock = threading.Lock()
        self.ended = threading.Event()

    def start(self):
        """Send requests until ``ended``."""
        for service in SERVICES:
            threading.Thread(
                target=self._send, args=(service,), daemon=True).start()

    def _send(self, service):
        number = 0
        due = time.monotonic()
        while not self.ended.is_set():
            due += random.expovariate(FLOWS_PER_S[service])
            time.sleep(max(0, due - time.monotonic()))
            number += 1
            threading.Thread(
                target=self._request, args=(service, number),
                daemon=True).start()

    def _request(self, service, number):
        client = self.clients[number % len(self.clients)]
        outcome = 'not opened'
        for attempt in range(PATIENCE):
            flow = client.open(self.routes[service])
            if flow is None:
                continue
            outcome = client.request(
                flow, '%s-%d-%d' % (service, number, attempt), 'GET', 2.0)
            client.close(flow)
            if outcome == 'answered':
                break
        with self.lock:
            self.counts[outcome] = self.counts.get(outcome, 0) + 1


def replace(endpoint):
    """Crash an endpoint; its address goes to one of the other service."""
    # Just after a ping, as at any other moment.
    pings = endpoint.pings
    while endpoint.pings == pings:
        time.sleep(0.005)
    crashed = time.monotonic()
    endpoint.crash()
    world = endpoint.world
    other = SERVICES[1 - SERVICES.index(endpoint.service)]
    successor = kit.Endpoint(
        world, endpoint.number, endpoint.ip, endpoint.zone, other,
        endpoint.concurrency, endpoint.work_s, FIRST_PING_S)
    successor.name = 'i-%08x' % random.getrandbits(32)
    successor.agent = endpoint.agent
    time.sleep(crashed + ADDRESS_REUSE_S + 0.02 - time.monotonic())
    world.endpoints.append(successor)
    successor.start()
    return successor


def foreign_runs(world):
    """Return the runs of requests at endpoints of another service."""
    return [
        (endpoint.name, endpoint.service, moment, identity)
        for endpoint in world.endpoints for moment, identity in endpoint.runs
        if not identity.startswith(endpoint.service + '-')]


def play(world):
    """Play the case; return whether the rule was broken."""
    for number in range(1, 9):
        world.add_side(number, SERVICES[number > 5], concurrency=2,
                       work_s=0.015)
    host = '127.%d.200.1' % world.net
    routes = {'registry': (host, 8443), 'maps': (host, 8080)}
    world.start()
    status, _ = world.order('POST', '/poplarstep/Config.Replace', json.dumps(
        kit.desired_state(7, SERVICES, [
            ('r-' + service, *routes[service], service)
            for service in SERVICES])))
    if status != 200:
        raise kit.CannotRun('desired state not acknowledged')
    world.wait_ready()
    load = Load(world, routes)
    load.start()
    time.sleep(2)
    present = {1: world.endpoints[0], 2: world.endpoints[1]}
    while world.record.now() < LAST_ROUND_S:
        began = time.monotonic()
        if TROUBLE == '1':
            changed = {}
            threads = [threading.Thread(
                target=lambda number=number: changed.update(
                    {number: replace(present[number])}))
                for number in present]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            present = changed
        time.sleep(max(0, began + ROUND_S - time.monotonic()))
    load.ended.set()
    time.sleep(4)
    found = foreign_runs(world)
    for name, service, moment, identity in found:
        world.record.write('foreign run: endpoint', name, 'of', service,
                           'ran', identity, 'at %.3f' % moment)
    world.record.write('result', 'requests', load.counts, 'runs', sum(
        len(item.runs) for item in world.endpoints), 'run by another service',
        len(found))
    return bool(found)


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
