r"""An operator who changes the configuration while faults are injected."""

import itertools
import json
import time

import gevent

from poplarstep.programs import operator_interface
from soak import checks
from soak import system as systems

PAUSE_S = 0.4


class Operator:
    r"""Changes the configuration, evacuates data centres, and reads back.

    Parameters
    ==========

    acknowledged : int
        Highest revision that was acknowledged.
    sent : int
        Highest revision that was sent.
    """

    __slots__ = (
        'system', 'random', 'observed', 'acknowledged', 'sent', 'stopped')

    def __init__(self, system, generator, observed):
        self.system = system
        self.random = generator
        self.observed = observed
        self.acknowledged = 0
        self.sent = 0
        self.stopped = False

    def control(self):
        r"""Return the HTTP address of a random control host."""
        return self.system.address_of(
            systems.CONTROL, self.random.randrange(3), systems.HTTP_PORT)

    def configure(self, timeout_s):
        r"""Send the next revision; return whether it was acknowledged."""
        self.sent += 1
        body = configuration(self.system, self.sent, self.random)
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if self._accepted('/configuration', body):
                self.acknowledged = max(self.acknowledged, self.sent)
                return True
            gevent.sleep(0.1)
        return False

    def command(self, text, sequence, timeout_s):
        r"""Send a statement until it is applied; return whether it was."""
        body = {'client': 'soak', 'sequence': sequence, 'text': text}
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if self._accepted('/command', body):
                return True
            gevent.sleep(0.1)
        return False

    def read(self):
        r"""Read the revision at a random control host; record a stale one."""
        acknowledged = self.acknowledged
        address = self.control()
        answer = systems.call_http(address, 'GET', '/configuration')
        if answer is None or answer[0] != 200:
            return None
        revision = json.loads(answer[1])['revision']
        if revision < acknowledged:
            self.observed.stale_reads.append(
                '%s read revision %d after %d was acknowledged' % (
                    address, revision, acknowledged))
        return revision

    def run(self):
        r"""Change and read the configuration until ``stopped``."""
        for sequence in itertools.count(1):
            if self.stopped:
                return
            # Of eight steps, four change the configuration and one evacuates
            # a data centre.
            if sequence % 8 == 4:
                self._evacuate_and_restore(2 * sequence)
            elif sequence % 2:
                self.configure(timeout_s=3)
            self.read()
            gevent.sleep(PAUSE_S)

    def _evacuate_and_restore(self, sequence):
        name = self.random.choice(systems.DATA_CENTRES)
        if not self.command('take data-centre %s out' % name, sequence, 8):
            return
        evacuation = checks.Evacuation(name, time.monotonic())
        self.observed.evacuations.append(evacuation)
        gevent.sleep(checks.DATA_CENTRE_OUT_S + 1)
        # From here on new flows are allowed, also before the command's reply.
        evacuation.in_at = time.monotonic()
        self.command('take data-centre %s in' % name, sequence + 1, 15)

    def _accepted(self, path, body):
        answer = systems.call_http(self.control(), 'POST', path, body)
        return answer is not None and answer[0] == 200 and (
            json.loads(answer[1]).get('status') == 'applied')


def configuration(system, revision, generator):
    r"""Return a full configuration; only objectives vary by revision."""
    return {
        'revision': revision,
        'services': [
            {'name': item.name, 'cold_per_second': systems.COLD_PER_S}
            for item in systems.SERVICES],
        'routes': [{
            'name': 'route-%s' % item.name,
            'address': str(system.route_address(item)),
            'idempotent': item.idempotent,
            'timeout_ms': int(item.timeout_s * 1000),
            'objective_ms': generator.randint(300, 600),
            'shares': [{'service': item.name}],
        } for item in systems.SERVICES],
        'flow_idle_ms': operator_interface.DEFAULT_IDLE_MS,
    }
