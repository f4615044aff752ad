r"""Measures how memory, messages and processor time grow with the size.

Explanation
===========

Each measurement is a function of one size, mostly the number of targets, and
is registered by a decorator. It runs at three or more sizes; a straight line
is fitted and its largest relative residual is shown as the error. The line
is then evaluated at the size that is expected in two years.
"""

import json
import random
import statistics
import time
import tracemalloc

import click
import tabulate

from poplarstep.configuration import catalogue as catalogues
from poplarstep.configuration import command
from poplarstep.configuration import machine as machines
from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import record
from poplarstep.core import registry
from poplarstep.dissemination import message as dissemination
from poplarstep.dissemination import publisher
from poplarstep.dissemination import reporting
from poplarstep.edge import wire
from poplarstep.routing import selectors

SIZES = (1000, 4000, 12_000)
EXPECTED_TARGETS = 36_000
REPEATS = 3

MEASUREMENTS = registry.Registry('measurement')


class Measurement:
    r"""A function of a size, and the sizes to run and extrapolate it at."""

    __slots__ = ('function', 'unit', 'sizes', 'expected_size', 'role')

    def __init__(self, function, unit, sizes, expected_size, role):
        self.function = function
        self.unit = unit
        self.sizes = sizes
        self.expected_size = expected_size
        self.role = role


def measurement(name, unit, role, sizes=SIZES,
                expected_size=EXPECTED_TARGETS):
    r"""Return a decorator that registers a measurement."""
    def decorate(function):
        MEASUREMENTS.register(name)(
            Measurement(function, unit, sizes, expected_size, role))
        return function
    return decorate


def make_changes(targets):
    r"""Return the changes that create targets of 16 services."""
    bodies: list[record.Record] = [
        model.Service('service-%d' % number, number, address.Address(
            '10.0.0.%d' % number, 5000), 0, 600_000, (), 1)
        for number in range(1, 17)]
    bodies.extend(
        model.DataCentre('data-centre-%d' % number, number, False, 1)
        for number in range(1, 20))
    bodies.extend(make_target(number) for number in range(1, targets + 1))
    return [model.Change(1, body) for body in bodies]


def make_target(number):
    r"""Return one target."""
    agent = address.Address('10.%d.%d.%d' % (
        1 + number // 65_536, number // 256 % 256, number % 256), 7300)
    return model.Target(
        'host-%d/slot-1' % number, number, number % 16 + 1,
        number % 19 + 1, agent, 1_700_000_000_000_000_000 + number, 1, 2,
        2000, False, False, 1)


def make_catalogue(targets):
    r"""Return a catalogue of a number of targets."""
    catalogue = catalogues.Catalogue()
    catalogue.apply(make_changes(targets))
    return catalogue


def min_cpu_s(function):
    r"""Return the least processor time of ``REPEATS`` runs, in seconds."""
    best = None
    for _ in range(REPEATS):
        started = time.process_time()
        function()
        elapsed = time.process_time() - started
        best = elapsed if best is None else min(best, elapsed)
    return best


@measurement('catalogue memory', 'MB', 'every node')
def catalogue_memory(targets):
    r"""Memory of a catalogue that was restored from a snapshot."""
    codec = wire.make_control_codec()
    data = codec.encode(dissemination.Update(
        1, 1, (), make_catalogue(targets).snapshot(), 0, None))
    tracemalloc.start()
    catalogue = catalogues.Catalogue()
    catalogue.restore(codec.decode(data).unwrap().snapshot)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / 1e6


@measurement('snapshot on the wire', 'MB', 'every node')
def snapshot_bytes(targets):
    r"""Bytes of an update that carries a snapshot."""
    update = dissemination.Update(
        1, 1, (), make_catalogue(targets).snapshot(), 0, None)
    return len(wire.make_control_codec().encode(update)) / 1e6


@measurement('first update of an agent', 'bytes', 'agent')
def agent_update_bytes(targets):
    r"""Bytes of the update that a new agent receives."""
    state = publisher.make_publisher(
        make_catalogue(targets), reporting.Reports(), lambda now: 0,
        lambda: None)
    poll = dissemination.Poll(
        'host-1/slot-1', 'agent', 1, 1, 0, False, (), ())
    sent, = publisher.PUBLISHER.process(state, publisher.effect.Received(
        address.Address('10.0.0.1', 7000), poll), 1)
    return len(wire.make_control_codec().encode(sent.message))


@measurement('snapshot encode', 'ms', 'publisher')
def snapshot_encode(targets):
    r"""Processor time to encode a snapshot."""
    codec = wire.make_control_codec()
    catalogue = make_catalogue(targets)
    return 1000 * min_cpu_s(lambda: codec.encode(dissemination.Update(
        1, 1, (), catalogue.snapshot(), 0, None)))


@measurement('snapshot decode and restore', 'ms', 'every node')
def snapshot_decode(targets):
    r"""Processor time to decode and restore a snapshot."""
    codec = wire.make_control_codec()
    data = codec.encode(dissemination.Update(
        1, 1, (), make_catalogue(targets).snapshot(), 0, None))
    return 1000 * min_cpu_s(lambda: catalogues.Catalogue().restore(
        codec.decode(data).unwrap().snapshot))


@measurement('apply one target change', 'us', 'every node')
def apply_change(targets):
    r"""Processor time to apply the change of one target."""
    catalogue = make_catalogue(targets)
    generator = random.Random(1)
    count = 50

    def run():
        for _ in range(count):
            version = catalogue.version + 1
            catalogue.apply([model.Change(version, make_target(
                generator.randrange(1, targets)).replace(
                    changed=version))])

    return 1e6 * min_cpu_s(run) / count


@measurement('take one data centre out', 'ms', 'every node')
def apply_data_centre(targets):
    r"""Processor time to apply a change of a data centre."""
    catalogue = make_catalogue(targets)

    def run():
        version = catalogue.version + 1
        catalogue.apply([model.Change(version, model.DataCentre(
            'data-centre-3', 3, version % 2 == 0, version))])

    return 1000 * min_cpu_s(run)


@measurement('select a target', 'us', 'balancer')
def select_target(targets):
    r"""Processor time of one selection among the targets of a service."""
    candidates = make_catalogue(targets).selectable_by_service[1]
    selector = selectors.make_selector(
        selectors.DEFAULT_SELECTOR, random.Random(1))
    count = 2000

    def run():
        for number in range(count):
            selector.select(candidates, number)

    return 1e6 * min_cpu_s(run) / count


@measurement('announce a batch of targets', 'ms', 'control')
def announce_batch(targets):
    r"""Processor time to apply announcements in batches of 1,000."""
    def run():
        machine = machines.Machine()
        machines.apply_command(machine, command.Command(
            'a', 1, 0, command.CreateService(
                'dispatch', address.Address('10.0.0.1', 5000), 0, 1)))
        for start in range(0, targets, 1000):
            machines.apply_command(machine, command.Command(
                '', 0, 0, command.Announce(tuple(
                    _announcement(number)
                    for number in range(start, start + 1000)))))

    return 1000 * min_cpu_s(run)


def _announcement(number):
    return model.Announcement(
        'host-%d/slot-1' % number, 'dispatch', 'maadi',
        make_target(number + 1).agent, 1, 1, 2, 2000, False)


@measurement('one command on the wire', 'bytes', 'control', expected_size=2500)
def command_bytes(commands):
    r"""Bytes of a number of log entries that change one target each."""
    codec = wire.make_command_codec()
    return sum(len(codec.encode(command.Command(
        'operator-1', number, number, command.DrainTarget(
            'host-%d/slot-1' % number, True))))
        for number in range(commands))


@measurement('answer one round of polls', 'ms', 'publisher',
             sizes=(10, 100, 1000), expected_size=448)
def answer_polls(subscribers):
    r"""Processor time to decode and answer one poll of each subscriber."""
    codec = wire.make_control_codec()
    state = publisher.make_publisher(
        make_catalogue(100), reporting.Reports(), lambda now: 0,
        lambda: None)
    polls = [codec.encode(dissemination.Poll(
        'balancer-%d' % number, 'balancer', 1, 1, 1, False, (), ()))
        for number in range(subscribers)]
    source = address.Address('10.0.0.1', 7000)

    def run():
        for data in polls:
            received = publisher.effect.Received(
                source, codec.decode(data).unwrap())
            for item in publisher.PUBLISHER.process(state, received, 1):
                codec.encode(item.message)

    return 1000 * min_cpu_s(run)


class Fit:
    r"""A line fitted to measured points, and its largest relative error."""

    __slots__ = ('slope', 'intercept', 'error')

    def __init__(self, slope, intercept, error):
        self.slope = slope
        self.intercept = intercept
        self.error = error

    def at(self, size):
        r"""Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit(points):
    r"""Return the least-squares line and its largest relative residual.

    Examples
    ========

    >>> line = fit([(1, 3.0), (2, 5.0), (3, 7.0)])
    >>> line.slope, line.intercept, line.error, line.at(10)
    (2.0, 1.0, 0.0, 21.0)

    """
    line = statistics.linear_regression(*zip(*points))
    error = max(
        abs(line.intercept + line.slope * size - value) / abs(value)
        for size, value in points)
    return Fit(line.slope, line.intercept, error)


def run(name):
    r"""Return the row of one measurement."""
    item = MEASUREMENTS.find(name).unwrap()
    points = [(size, item.function(size)) for size in item.sizes]
    line = fit(points)
    return {
        'role': item.role,
        'measurement': name,
        'unit': item.unit,
        'measured': {str(size): round(value, 3) for size, value in points},
        'slope': line.slope,
        'intercept': line.intercept,
        'error_percent': round(100 * line.error, 1),
        'size': item.expected_size,
        'at_size': round(line.at(item.expected_size), 2),
    }


@click.command()
@click.option('--only', help='name of one measurement')
@click.option('--output', type=click.Choice(['table', 'json', 'markdown']),
              default='table')
def main(only, output):
    r"""Measure slopes and extrapolate to the size expected in two years."""
    names = [only] if only else list(MEASUREMENTS.entry_by_name)
    rows = [run(name) for name in names]
    if output == 'json':
        click.echo(json.dumps(rows))
        return
    click.echo(tabulate.tabulate(
        [(row['role'], row['measurement'], row['unit'],
          ', '.join('%s: %g' % pair for pair in row['measured'].items()),
          '%.3g' % row['slope'], row['error_percent'], row['size'],
          '%.4g' % row['at_size']) for row in rows],
        headers=('role', 'measurement', 'unit', 'measured', 'slope',
                 'error %', 'size', 'value at size'),
        tablefmt='github' if output == 'markdown' else 'simple'))


if __name__ == '__main__':
    main()
