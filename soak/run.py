r"""Plays seeded faults against the real programs and checks the promises.

``python -m soak.run --seeds 50`` plays fifty seeds one after the other, each
in a network and a folder of its own, and prints a line a seed. Processes that
fail a check leave their logs and journals in the folder that is named.
"""

import itertools
import json
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

import click
import gevent
from gevent import pool
import tabulate

from poplarstep.core import record
from poplarstep.programs import operator_interface
from soak import checks
from soak import faults
from soak import system as systems
from standins import flow_callers
from standins import network as networks

REQUESTS_PER_SECOND = 30
# Requests that a run has open at most; more are not asked.
CALLERS = 200
OPERATOR_PAUSE_S = 0.4
SETTLE_S = 8.0
FINAL_REQUESTS = 40
FINAL_SHARE = 0.95
START_S = 30.0
# Ports of the callers' flows, in turn.
FIRST_PORT, LAST_PORT = 10_000, 60_000


class Outcome(record.Record):
    r"""What a seed showed.

    Parameters
    ==========

    found : dict
        Texts of violations by check.
    """

    __slots__ = ('seed', 'faults', 'found', 'asked', 'answered')

    def __init__(self, seed, faults, found, asked, answered):
        self.seed = seed
        self.faults = faults
        self.found = found
        self.asked = asked
        self.answered = answered


class Regression(record.Record):
    r"""A seed that once failed, and why."""

    __slots__ = ('seed', 'cause')

    def __init__(self, seed, cause):
        self.seed = seed
        self.cause = cause


# Played with the default length and number of faults. The faults of these
# seeds were drawn in another order before; the causes have tests of their own.
REGRESSIONS = (
    Regression(12, 'a control host whose write failed once refused all '
               'later ones: programs/tests/test_control.py'),
    Regression(13, 'two targets that had both answered an opening packet '
               'ran the request: the packet format had no number'),
    Regression(14, 'a link that was mute in one direction was never dialled '
               'again: edge/tests/test_link.py'),
)


class Operator:
    r"""Replaces the configuration, takes data centres out, and reads back.

    Parameters
    ==========

    acknowledged : int
        Highest revision that was acknowledged.
    """

    __slots__ = (
        'system', 'random', 'seen', 'acknowledged', 'sent', 'done')

    def __init__(self, system, generator, seen):
        self.system = system
        self.random = generator
        self.seen = seen
        self.acknowledged = 0
        self.sent = 0
        self.done = False

    def control(self):
        r"""Return the HTTP address of some control host."""
        return self.system.place(
            systems.CONTROL, self.random.randrange(3), systems.HTTP)

    def configure(self, patience_s):
        r"""Send the next revision until it is acknowledged."""
        self.sent += 1
        body = configuration(self.system, self.sent, self.random)
        deadline = time.monotonic() + patience_s
        while time.monotonic() < deadline:
            if self._accepted('/configuration', body):
                self.acknowledged = max(self.acknowledged, self.sent)
                return True
            gevent.sleep(0.1)
        return False

    def command(self, text, sequence, patience_s):
        r"""Send a statement until it is applied; return whether it was."""
        body = {'client': 'soak', 'sequence': sequence, 'text': text}
        deadline = time.monotonic() + patience_s
        while time.monotonic() < deadline:
            if self._accepted('/command', body):
                return True
            gevent.sleep(0.1)
        return False

    def read(self):
        r"""Read the configuration at some host; note a stale answer."""
        acknowledged = self.acknowledged
        place = self.control()
        answer = systems.call(place, 'GET', '/configuration')
        if answer is None or answer[0] != 200:
            return None
        revision = json.loads(answer[1])['revision']
        if revision < acknowledged:
            self.seen.stale_reads.append(
                '%s read revision %d after %d was acknowledged' % (
                    place, revision, acknowledged))
        return revision

    def work(self):
        r"""Change and read until the run ends."""
        for sequence in itertools.count(1):
            if self.done:
                return
            if sequence % 8 == 4:
                self._take_out_and_in(2 * sequence)
            elif sequence % 2:
                self.configure(patience_s=3)
            self.read()
            gevent.sleep(OPERATOR_PAUSE_S)

    def _take_out_and_in(self, sequence):
        name = self.random.choice(systems.DATA_CENTRES)
        if not self.command('take data-centre %s out' % name, sequence, 8):
            return
        outage = checks.Outage(name, time.monotonic())
        self.seen.outages.append(outage)
        gevent.sleep(checks.DATA_CENTRE_OUT_S + 1)
        # From here on flows may come back at any moment.
        outage.in_at = time.monotonic()
        self.command('take data-centre %s in' % name, sequence + 1, 15)

    def _accepted(self, path, body):
        answer = systems.call(self.control(), 'POST', path, body)
        return answer is not None and answer[0] == 200 and (
            json.loads(answer[1]).get('status') == 'applied')


def configuration(system, revision, generator):
    r"""Return a whole configuration of a revision; objectives vary."""
    return {
        'revision': revision,
        'services': [{'name': item.name} for item in systems.SERVICES],
        'routes': [{
            'name': 'route-%s' % item.name,
            'address': str(system.route_place(item)),
            'idempotent': item.idempotent,
            'timeout_ms': int(item.limit_s * 1000),
            'objective_ms': generator.randint(300, 600),
            'shares': [{'service': item.name}],
        } for item in systems.SERVICES],
        'flow_idle_ms': operator_interface.DEFAULT_IDLE_MS,
    }


class Traffic:
    r"""Callers of all services at a steady rate."""

    __slots__ = (
        'system', 'random', 'seen', 'workers', 'number', 'done', 'ports')

    def __init__(self, system, generator, seen):
        self.system = system
        self.random = generator
        self.seen = seen
        self.workers = pool.Pool(CALLERS)
        self.number = 0
        self.ports = itertools.cycle(range(FIRST_PORT, LAST_PORT + 1))
        self.done = False

    def work(self):
        r"""Ask until the run ends, then wait for the last answers."""
        while not self.done:
            if self.workers.free_count():
                self.ask()
            gevent.sleep(self.random.expovariate(REQUESTS_PER_SECOND))
        self.workers.join()

    def ask(self):
        r"""Start a request of a random service."""
        service = self.random.choices(systems.SERVICES, [
            item.targets for item in systems.SERVICES])[0]
        self.number += 1
        return self.workers.spawn(
            self._request, 'r-%d' % self.number, service)

    def _request(self, identity, service):
        caller = flow_callers.Caller(
            self.system.place(systems.CALLER, 0, 0).ip, self.ports,
            service.name, self.system.route_place(service),
            self.system.pick)
        attempts = caller.request(
            identity, service.idempotent, service.limit_s)
        self.seen.attempts.extend(attempts)
        return attempts[-1].outcome == flow_callers.ANSWERED


def play(seed, folder, length_s, fault_count, size=1, timed=True):
    r"""Play one seed; return its ``Outcome``.

    Parameters
    ==========

    folder : pathlib.Path
        Empty folder for the data, journals and logs of the processes.
    length_s : float
        Time in which faults begin, in seconds.
    size : int
        Factor of the number of balancers and targets.
    timed : bool
        Whether checks with bounds of time count.
    """
    generator = random.Random(seed)
    seen = checks.Record()
    with networks.reserve() as network:
        system = systems.System(network, folder, seed, size)
        drawn = ()
        try:
            system.start()
            # The faults depend on the seed alone, not on how the start went.
            drawn = faults.draw(
                random.Random(seed), system, fault_count, length_s)
            operator = Operator(system, generator, seen)
            traffic = Traffic(system, generator, seen)
            wait_until_served(operator, traffic)
            final = _disturb(system, operator, traffic, drawn, length_s)
        finally:
            system.stop()
        _read_journals(system, seen)
    found = checks.violations(seen, timed)
    found.update(final)
    return Outcome(
        seed, drawn, found,
        len({item.identity for item in seen.attempts}),
        sum(item.outcome == flow_callers.ANSWERED
            for item in seen.attempts))


def wait_until_served(operator, traffic):
    r"""Configure the system and wait for the first answers.

    Raises
    ======

    TimeoutError
        If nothing is served in time.
    """
    if not operator.configure(START_S):
        raise TimeoutError('no configuration was accepted')
    deadline = time.monotonic() + START_S
    good = 0
    while good < 5:
        if time.monotonic() > deadline:
            raise TimeoutError('no request was served')
        good = good + 1 if traffic.ask().get() else 0
    gevent.sleep(systems.COLD_MS / 1000)
    # What failed while the system started broke no promise.
    traffic.seen.attempts.clear()


def _disturb(system, operator, traffic, drawn, length_s):
    r"""Play the faults under load; return what the calm end shows."""
    workers = [gevent.spawn(operator.work), gevent.spawn(traffic.work)]
    playing = pool.Group()
    for item in drawn:
        playing.add(gevent.spawn_later(
            item.at_s, faults.carry_out, system, item, gevent.sleep,
            operator.seen.disturbances))
    gevent.sleep(length_s)
    playing.join()
    gevent.sleep(SETTLE_S)
    operator.done = traffic.done = True
    gevent.joinall(workers, raise_error=True)
    return _final_checks(operator, traffic)


def _final_checks(operator, traffic):
    found = {}
    asked = [traffic.ask() for _ in range(FINAL_REQUESTS)]
    served = sum(item.get() for item in asked)
    if served < FINAL_SHARE * FINAL_REQUESTS:
        found['service is back at the end'] = [
            '%d of %d requests were served' % (served, FINAL_REQUESTS)]
    deadline = time.monotonic() + START_S
    revision = operator.read()
    while revision is None and time.monotonic() < deadline:
        gevent.sleep(0.2)
        revision = operator.read()
    if revision is None or not (
            operator.acknowledged <= revision <= operator.sent):
        found['the last configuration is read back'] = [
            'read %s, acknowledged %d, sent %d' % (
                revision, operator.acknowledged, operator.sent)]
    return found


def _read_journals(system, seen):
    for process in system.process_by_name.values():
        if process.kind != systems.TARGET:
            continue
        path = system.folder / process.name
        text = path.read_text() if path.exists() else ''
        seen.lines_by_target[process.name] = checks.parse_journal(text)
        seen.service_by_target[process.name] = process.command[
            process.command.index('--service') + 1]
        seen.data_centre_by_target[process.name] = systems.DATA_CENTRES[
            process.index % 3]
    seen.idempotent_by_service.update(
        (item.name, item.idempotent) for item in systems.SERVICES)


@click.command()
@click.option('--seed', default=None, type=int, help='first seed; by default '
              'the time of day, and the line of each seed names it')
@click.option('--seeds', default=1, help='how many seeds to play')
@click.option('--seconds', default=20.0, help='length of the faults')
@click.option('--faults', 'fault_count', default=12, help='faults a seed')
@click.option('--regressions', is_flag=True,
              help='play the seeds that once failed')
@click.option('--size', default=1, help='factor of balancers and targets')
@click.option('--keep', default='out/soak', help='folder for the logs of '
              'seeds that failed')
def main(seed, seeds, seconds, fault_count, regressions, size, keep):
    r"""Play seeded faults against the real programs on loopback."""
    # Without a handler the processes would outlive the run.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    first = int(time.time()) if seed is None else seed
    numbers = range(first, first + seeds)
    if regressions:
        numbers = [item.seed for item in REGRESSIONS]
    failed = 0
    for number in numbers:
        folder = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
        try:
            outcome = play(number, folder, seconds, fault_count, size)
        except TimeoutError as error:
            outcome = Outcome(number, (), {'start': [str(error)]}, 0, 0)
        click.echo('seed %d: %d faults, %d requests, %d answers, %s' % (
            number, len(outcome.faults), outcome.asked, outcome.answered,
            'failed' if outcome.found else 'all promises kept'))
        if outcome.found:
            failed += 1
            _report(outcome, folder, pathlib.Path(keep))
        shutil.rmtree(folder, ignore_errors=True)
    click.echo('%d of %d seeds failed' % (failed, len(numbers)))
    sys.exit(1 if failed else 0)


def _report(outcome, folder, keep):
    r"""Print what failed and keep the logs and journals."""
    for check, texts in outcome.found.items():
        click.echo('  %s: %d' % (check, len(texts)))
        for text in texts[:5]:
            click.echo('    ' + text)
    click.echo(tabulate.tabulate(
        [(item.at_s, item.for_s, item.kind, item.name)
         for item in outcome.faults],
        headers=('at s', 'for s', 'fault', 'process')))
    kept = keep / str(outcome.seed)
    shutil.rmtree(kept, ignore_errors=True)
    shutil.copytree(folder, kept, ignore=shutil.ignore_patterns('lock'))
    click.echo('  logs and journals: %s' % kept)


if __name__ == '__main__':
    main()
