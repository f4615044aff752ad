r"""Random schedules of open flows during restarts, kills and moved routes.

Explanation
===========

A schedule is a row of ``SCHEDULES``; with a seed it determines one run of a
``schedule_world.World``.

``python -m poplarstep.opaque_flows.tests.schedules --seeds 500`` runs many
seeds of each schedule and prints a table; with ``--trace`` it prints what
happened to the first flow of each violation.
"""

import collections
import concurrent.futures
import functools
import sys

import click
import tabulate

from poplarstep.configuration import model
from poplarstep.core import record
from poplarstep.core import registry
from poplarstep.opaque_flows.tests import schedule_world
from poplarstep.programs import settings

# Functions of a ``World`` that begin what happens at a time of a schedule.
STEPS = registry.Registry('step of a schedule')
AGENT_INTERVAL_MS, BALANCER_INTERVAL_MS = 500, 700
TARGET_DOWN_MS = (200, 1500)


class Schedule(record.Record):
    r"""What happens to open flows; times in ms.

    Parameters
    ==========

    steps : tuple
        Pairs of a time and the name of a step.
    targets : tuple of int
        Targets of each service.
    callers : int
        Callers, each with one open flow.
    loss : float
        Probability that a datagram between hosts is lost.
    """

    __slots__ = (
        'name', 'steps', 'targets', 'balancers', 'callers', 'loss', 'end_ms')

    def __init__(self, name, steps, targets=(16, 6), balancers=2, callers=50,
                 loss=0.002, end_ms=34_000):
        self.name = name
        self.steps = steps
        self.targets = targets
        self.balancers = balancers
        self.callers = callers
        self.loss = loss
        self.end_ms = end_ms


@STEPS.register('restart agents')
def restart_agents(world):
    r"""Restart all agents, two at a time."""
    numbers = world.random.sample(
        range(len(world.targets)), len(world.targets))
    for position, number in enumerate(numbers):
        world.after(position // 2 * 2 * AGENT_INTERVAL_MS, functools.partial(
            world.stop_agent, number))


@STEPS.register('kill agents')
def kill_agents(world):
    r"""Kill a tenth of the agents."""
    count = max(1, len(world.targets) // 10)
    for number in world.random.sample(range(len(world.targets)), count):
        world.kill_agent(number)


@STEPS.register('restart balancers')
def restart_balancers(world):
    r"""Restart all balancers, one after the other."""
    for position, name in enumerate(sorted(world.front_by_name)):
        world.after(2 * position * BALANCER_INTERVAL_MS, functools.partial(
            world.restart_balancer, name))


@STEPS.register('restart targets')
def restart_targets(world):
    r"""Restart two targets without notice."""
    for target in world.random.sample(world.targets, 2):
        if target.started_at is not None:
            target.stop()
            world.after(world.random.randint(*TARGET_DOWN_MS), target.start)


@STEPS.register('move route')
def move_route(world):
    r"""Move the route to its second service."""
    route, = world.catalogue.route_by_number.values()
    world.change(route.replace(
        shares=(model.Share(2, 1),), former_services=(1,),
        changed=world.version + 1))


SCHEDULES = (
    # The load of section 1.A of docs/open_flow_recovery.md at a smaller size.
    # Fewer targets or callers do not use up the budget of the surveys.
    Schedule('rolling-restarts', (
        (2000, 'restart agents'), (10_000, 'kill agents'),
        (13_000, 'kill agents'), (16_000, 'kill agents'),
        (20_000, 'restart balancers')), targets=(36, 12), callers=160),
    Schedule('moved-route', (
        (4000, 'restart agents'), (9000, 'move route'),
        (20_000, 'restart balancers')), targets=(12, 8)),
    Schedule('restarted-targets', (
        (6000, 'restart targets'), (9000, 'restart balancers'),
        (12_000, 'restart targets'), (15_000, 'restart agents'),
        (18_000, 'restart targets'), (23_000, 'restart balancers'))),
    Schedule('lost-datagrams', (
        (3000, 'restart agents'), (8000, 'restart balancers'),
        (12_000, 'kill agents'), (14_000, 'restart balancers'),
        (18_000, 'kill agents'), (20_000, 'restart balancers')),
        loss=0.03),
)
SCHEDULE_BY_NAME = {item.name: item for item in SCHEDULES}


def flags_of(seed):
    r"""Return the settings of a seed by name.

    ``read_settings`` ignores those that this build does not have.
    """
    return {'known-flows': 'send' if seed % 2 else 'off'}


def run(name, seed, flags=()):
    r"""Run a schedule with a seed; return its ``World``.

    ``flags`` holds pairs of a setting of balancers or agents and its value,
    which take precedence over those of the seed.
    """
    schedule = SCHEDULE_BY_NAME[name]
    world = schedule_world.World(
        seed, schedule.targets, schedule.balancers, schedule.callers,
        schedule.loss, {**flags_of(seed), **dict(flags)})
    for at, step in schedule.steps:
        world.driver.at(at, functools.partial(
            STEPS.entry_by_name[step], world))
    world.driver.run(schedule.end_ms)
    return world


def summarize(name, seed, flags):
    r"""Run a schedule; return its totals, violations and a trace."""
    world = run(name, seed, flags)
    trace = ()
    if world.violations:
        text, flow = world.violations[0]
        agent = 'agent-%d ' % flow.target.number if flow.target else '-'
        trace = sorted(flow.trace + [
            line for line in world.log
            if agent in line or 'balancer' in line])
    return (name, seed, world.counts, [
        text for text, _ in world.violations], trace)


@click.command()
@click.option('--seeds', default=100, help='seeds of each schedule')
@click.option('--first', default=0, help='first seed')
@click.option('--schedule', 'names', multiple=True, help='name of a schedule; '
              'may be repeated, default all')
@click.option('--processes', default=2, help='processes that run schedules')
@click.option('--setting', 'flags', multiple=True, help='NAME=VALUE of a '
              'setting of balancers or agents; may be repeated; by default '
              'odd seeds enable known-flows')
@click.option('--trace', is_flag=True, help='print traces of violations')
def main(seeds, first, names, processes, flags, trace):
    r"""Run random schedules and print a table; fail on a violation."""
    flags = [tuple(item.split('=', 1)) for item in flags]
    unknown = [name for name, _ in flags
               if name not in settings.SETTING_BY_NAME]
    if unknown:
        raise click.BadParameter('unknown settings: %s' % unknown)
    cases = [(name, seed, flags) for name in names or SCHEDULE_BY_NAME
             for seed in range(first, first + seeds)]
    totals = collections.Counter(schedules=len(cases))
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        for name, seed, counts, texts, lines in pool.map(
                summarize, *zip(*cases), chunksize=4):
            totals.update(counts)
            totals['schedules with a violation'] += bool(texts)
            if texts:
                click.echo('%s seed %d: %d violations, first: %s' % (
                    name, seed, len(texts), texts[0]))
                if trace:
                    click.echo('\n'.join(lines))
    click.echo(tabulate.tabulate(sorted(totals.items()), ('what', 'number')))
    sys.exit(totals['schedules with a violation'] > 0)


if __name__ == '__main__':
    main()
