r"""Injects seeded faults into the real programs and checks the guarantees.

Explanation
===========

``python -m soak.run --seeds 50`` runs fifty seeds one after the other, each
in a network and a folder of its own, and prints one line for each seed. The
logs and journals of a failed seed are kept in the folder that is printed.
"""

import itertools
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
from soak import checks
from soak import faults
from soak import operators
from soak import system as systems
from standins import flow_callers
from standins import network as networks

REQUESTS_PER_SECOND = 30
# While this many requests are open, no new one is started.
MAX_OPEN_REQUESTS = 200
# Time between the end of the last fault and the final checks.
SETTLE_S = 8.0
FINAL_REQUESTS = 40
MIN_FINAL_ANSWERED_SHARE = 0.95
START_TIMEOUT_S = 30.0
# Callers that keep flows open, in profiles with settings.
SESSIONS = 12
REQUESTS_PER_SESSION = 20
SESSION_INTERVAL_S = 0.2
# A pause is short or, with the given probability, long.
SHORT_PAUSE_S, LONG_PAUSE_S, LONG_PAUSE_SHARE = (0.05, 0.5), (2.0, 8.0), 0.2
# Settings of nodes by name of the profile; seeds use the profiles in turn. A
# setting that this build does not have is left out.
PROFILES = {
    'single-requests': {},
    'open-flows': {
        'known-flows': 'send', 'request-queue': 'fair', 'load-reports': 'on',
        'locality': 'prefer', 'avoid-failing': 'on', 'dead-flows': 'reset'},
}
# Source ports of the callers' flows, used in turn.
FIRST_PORT, LAST_PORT = 10_000, 60_000


class Outcome(record.Record):
    r"""Result of the run of one seed.

    Parameters
    ==========

    faults : sequence of Fault
        Faults that were scheduled.
    violations : dict
        Texts of the violations by name of the check.
    request_count, answered_count : int
        Numbers of requests, and of those with an answer.
    """

    __slots__ = (
        'seed', 'faults', 'violations', 'request_count', 'answered_count')

    def __init__(self, seed, faults, violations, request_count,
                 answered_count):
        self.seed = seed
        self.faults = faults
        self.violations = violations
        self.request_count = request_count
        self.answered_count = answered_count


class Regression(record.Record):
    r"""A seed whose run failed before a fault was fixed, and the cause."""

    __slots__ = ('seed', 'cause')

    def __init__(self, seed, cause):
        self.seed = seed
        self.cause = cause


# Run with the default length and number of faults. The order of the random
# draws has changed, so these seeds now give other faults; each cause also has
# a test of its own.
REGRESSIONS = (
    Regression(12, 'a control host refused all writes after one failed '
               'write: programs/tests/test_control.py'),
    Regression(13, 'two targets that had both answered an opening packet '
               'ran the request: packets did not tell for which target they '
               'were'),
    Regression(14, 'a link that was silent in one direction was never '
               'redialled: edge/tests/test_link.py'),
    Regression(2, 'the configuration of the soak named no rate for cold '
               'targets, so agents enforced no limit: '
               'soak/tests/test_run.py'),
)


class Traffic:
    r"""Callers of all services at a constant mean rate."""

    __slots__ = (
        'system', 'random', 'observed', 'workers', 'request_count',
        'stopped', 'ports')

    def __init__(self, system, generator, observed):
        self.system = system
        self.random = generator
        self.observed = observed
        self.workers = pool.Pool(MAX_OPEN_REQUESTS)
        self.request_count = 0
        self.ports = itertools.cycle(range(FIRST_PORT, LAST_PORT + 1))
        self.stopped = False

    def run(self):
        r"""Start requests until ``stopped``, then wait for their ends."""
        while not self.stopped:
            if self.workers.free_count():
                self.start_request()
            gevent.sleep(self.random.expovariate(REQUESTS_PER_SECOND))
        self.workers.join()

    def run_session(self):
        r"""Send requests on flows that stay open until ``stopped``."""
        while not self.stopped:
            service = self.random.choice(systems.SERVICES)
            attempts = self._caller(service).session(
                self._identities(), service.timeout_s, self._pause_s)
            self.observed.attempts.extend(attempts)
            gevent.sleep(SESSION_INTERVAL_S)

    def _identities(self):
        for _ in range(REQUESTS_PER_SESSION):
            if self.stopped:
                return
            self.request_count += 1
            yield 'r-%d' % self.request_count

    def _pause_s(self):
        is_long = self.random.random() < LONG_PAUSE_SHARE
        return self.random.uniform(
            *(LONG_PAUSE_S if is_long else SHORT_PAUSE_S))

    def start_request(self):
        r"""Start a request of a random service; return its greenlet."""
        service = self.random.choices(systems.SERVICES, [
            item.targets for item in systems.SERVICES])[0]
        self.request_count += 1
        return self.workers.spawn(
            self._request, 'r-%d' % self.request_count, service)

    def _caller(self, service):
        return flow_callers.Caller(
            self.system.address_of(systems.CALLER, 0, 0).ip, self.ports,
            service.name, self.system.route_address(service),
            self.system.random_front)

    def _request(self, identity, service):
        attempts = self._caller(service).request(
            identity, service.idempotent, service.timeout_s)
        self.observed.attempts.extend(attempts)
        return attempts[-1].outcome == flow_callers.ANSWERED


def profile_of(seed):
    r"""Return the name of the profile that a seed uses by default."""
    return list(PROFILES)[seed % len(PROFILES)]


def run_seed(seed, folder, duration_s, fault_count, scale=1,
             include_timed=True, profile=None):
    r"""Run one seed; return its ``Outcome``.

    Parameters
    ==========

    folder : pathlib.Path
        Empty folder for the data, journals and logs of the processes.
    duration_s : float
        Seconds of traffic in which faults begin.
    scale : int
        Multiplies the numbers of balancers and targets.
    include_timed : bool
        Whether the checks in ``checks.TIMED_CHECKS`` run too.
    profile : str or None
        Name in ``PROFILES``; None takes that of ``profile_of``.
    """
    flags = PROFILES[profile or profile_of(seed)]
    generator = random.Random(seed)
    observed = checks.Observations()
    observed.resets_dead_flows = flags.get('dead-flows') == 'reset'
    with networks.reserve() as network:
        system = systems.System(network, folder, seed, scale, flags)
        schedule = ()
        try:
            system.start()
            # A separate generator makes the faults depend on the seed alone,
            # not on what happened during the start.
            schedule = faults.draw(
                random.Random(seed), system, fault_count, duration_s)
            operator = operators.Operator(system, generator, observed)
            traffic = Traffic(system, generator, observed)
            wait_until_served(operator, traffic)
            final_violations = _inject_faults(
                system, operator, traffic, schedule, duration_s,
                sessions=SESSIONS * scale if flags else 0)
        finally:
            system.stop()
        _read_journals(system, observed)
    violations = checks.violations(observed, include_timed)
    violations.update(final_violations)
    return Outcome(
        seed, schedule, violations,
        len({item.identity for item in observed.attempts}),
        sum(item.outcome == flow_callers.ANSWERED
            for item in observed.attempts))


def wait_until_served(operator, traffic):
    r"""Configure the system and wait until requests are answered.

    Raises
    ======

    TimeoutError
        If the configuration or the requests fail for too long.
    """
    if not operator.configure(START_TIMEOUT_S):
        raise TimeoutError('no configuration was accepted')
    deadline = time.monotonic() + START_TIMEOUT_S
    answered_in_a_row = 0
    while answered_in_a_row < 5:
        if time.monotonic() > deadline:
            raise TimeoutError('no request was served')
        answered_in_a_row = (
            answered_in_a_row + 1 if traffic.start_request().get() else 0)
    gevent.sleep(systems.COLD_MS / 1000)
    # The checks exclude requests that failed during the start.
    traffic.observed.attempts.clear()


def _inject_faults(
        system, operator, traffic, schedule, duration_s, sessions):
    r"""Inject the faults under load; return violations after the last one.

    With sessions all agents are restarted as well, one pair after the other.
    """
    workers = [gevent.spawn(operator.run), gevent.spawn(traffic.run)]
    workers += [gevent.spawn(traffic.run_session) for _ in range(sessions)]
    injections = pool.Group()
    if sessions:
        injections.add(gevent.spawn(
            faults.roll_agents, system, gevent.sleep,
            operator.observed.injected_faults))
    for item in schedule:
        injections.add(gevent.spawn_later(
            item.start_s, faults.inject, system, item, gevent.sleep,
            operator.observed.injected_faults))
    gevent.sleep(duration_s)
    injections.join()
    gevent.sleep(SETTLE_S)
    operator.stopped = traffic.stopped = True
    gevent.joinall(workers, raise_error=True)
    return _final_checks(operator, traffic)


def _final_checks(operator, traffic):
    violations = {}
    requests = [traffic.start_request() for _ in range(FINAL_REQUESTS)]
    answered = sum(item.get() for item in requests)
    if answered < MIN_FINAL_ANSWERED_SHARE * FINAL_REQUESTS:
        violations['requests are answered after the last fault'] = [
            '%d of %d requests were answered' % (answered, FINAL_REQUESTS)]
    deadline = time.monotonic() + START_TIMEOUT_S
    revision = operator.read()
    while revision is None and time.monotonic() < deadline:
        gevent.sleep(0.2)
        revision = operator.read()
    if revision is None or not (
            operator.acknowledged <= revision <= operator.sent):
        violations['the last configuration is read after the last fault'] = [
            'read %s, acknowledged %d, sent %d' % (
                revision, operator.acknowledged, operator.sent)]
    return violations


def _read_journals(system, observed):
    for process in system.process_by_name.values():
        if process.kind != systems.TARGET:
            continue
        path = system.folder / process.name
        text = path.read_text() if path.exists() else ''
        observed.entries_by_target[process.name] = checks.parse_journal(text)
        observed.service_by_target[process.name] = process.command[
            process.command.index('--service') + 1]
        observed.data_centre_by_target[process.name] = systems.DATA_CENTRES[
            process.index % 3]
    observed.idempotent_by_service.update(
        (item.name, item.idempotent) for item in systems.SERVICES)


@click.command()
@click.option('--seed', default=None, type=int, help='first seed; by default '
              'the Unix time in seconds, as printed')
@click.option('--seeds', default=1, help='number of seeds to run')
@click.option('--seconds', default=20.0, help='time in which '
              'faults begin')
@click.option('--faults', 'fault_count', default=12,
              help='number of faults for each seed')
@click.option('--profile', default=None, type=click.Choice(list(PROFILES)),
              help='settings of the nodes and kind of the callers; by default '
              'the profiles in turn')
@click.option('--regressions', is_flag=True,
              help='run the seeds that failed before a fix')
@click.option('--size', default=1, help='multiplies the numbers of '
              'balancers and targets')
@click.option('--keep', default='out/soak', help='folder for the logs of '
              'seeds that failed')
def main(seed, seeds, seconds, fault_count, profile, regressions, size, keep):
    r"""Inject seeded faults into the real programs on loopback."""
    # Without a handler a SIGTERM would leave the processes running.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    first = int(time.time()) if seed is None else seed
    numbers = range(first, first + seeds)
    if regressions:
        numbers = [item.seed for item in REGRESSIONS]
    failed = 0
    for number in numbers:
        folder = pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
        try:
            outcome = run_seed(
                number, folder, seconds, fault_count, size, profile=profile)
        except TimeoutError as error:
            outcome = Outcome(number, (), {'start': [str(error)]}, 0, 0)
        click.echo('seed %d: %d faults, %d requests, %d answers, %s' % (
            number, len(outcome.faults), outcome.request_count,
            outcome.answered_count,
            'failed' if outcome.violations else 'all checks passed'))
        if outcome.violations:
            failed += 1
            _report(outcome, folder, pathlib.Path(keep))
        shutil.rmtree(folder, ignore_errors=True)
    click.echo('%d of %d seeds failed' % (failed, len(numbers)))
    sys.exit(1 if failed else 0)


def _report(outcome, folder, keep):
    r"""Print the violations and keep the logs and journals."""
    for check, texts in outcome.violations.items():
        click.echo('  %s: %d' % (check, len(texts)))
        for text in texts[:5]:
            click.echo('    ' + text)
    click.echo(tabulate.tabulate(
        [(item.start_s, item.duration_s, item.kind, item.process_name)
         for item in outcome.faults],
        headers=('at s', 'for s', 'fault', 'process')))
    kept_folder = keep / str(outcome.seed)
    shutil.rmtree(kept_folder, ignore_errors=True)
    shutil.copytree(folder, kept_folder, ignore=shutil.ignore_patterns('lock'))
    click.echo('  logs and journals: %s' % kept_folder)


if __name__ == '__main__':
    main()
