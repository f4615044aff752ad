r"""Random fault schedules against the replicated log.

Explanation
===========

Each seed determines one schedule on a simulated cluster: the hosts form a
group, commands are proposed while faults occur at random times, and a
simulated operator adds hosts that lost their disk. Then all faults end and
the group must recover.

``python -m poplarstep.consensus.schedules --seeds 2000`` runs many seeds
and prints a table.
"""

import collections
import concurrent.futures
import sys

import click
import tabulate

from poplarstep.consensus.model import checks
from poplarstep.consensus.model import cluster as clusters
from poplarstep.consensus.model import faults
from poplarstep.consensus import state as states
from poplarstep.core import record

FORMATION_TIMEOUT_MS = 10000
FAULT_PHASE_MS = 15000
# Longer than two elections, the repair of a lost disk and a retransmission.
RECOVERY_TIMEOUT_MS = 20000
PROPOSAL_INTERVAL_MS = 40
REPAIR_INTERVAL_MS = 100


class Outcome(record.Record):
    r"""Result of one schedule.

    ``violation`` is the name of the check that failed, or empty; ``text``
    is its message.
    """

    __slots__ = (
        'seed', 'violation', 'text', 'commands', 'terms', 'promotions',
        'lease_changes', 'count_by_fault')

    def __init__(
            self, seed: int, violation: str, text: str, commands: int,
            terms: int, promotions: int, lease_changes: int,
            count_by_fault: dict):
        self.seed = seed
        self.violation = violation
        self.text = text
        self.commands = commands
        self.terms = terms
        self.promotions = promotions
        self.lease_changes = lease_changes
        self.count_by_fault = count_by_fault


def run_seed(seed, mechanisms=None, skipped=()):
    r"""Run one schedule.

    Parameters
    ==========

    seed : int
        Odd seeds use five hosts, even ones three.
    mechanisms : Mechanisms or None
        Safety mechanisms that are on; all by default.
    skipped : iterable of str
        Names of checks to skip.
    """
    cluster = clusters.Cluster(
        5 if seed % 2 else 3, seed, mechanisms, skipped)
    count_by_fault = collections.Counter()
    violation = text = ''
    try:
        run_schedule(cluster, count_by_fault)
    except checks.ViolationError as error:
        violation, text = error.check, str(error)
    history = cluster.history
    return Outcome(
        seed, violation, text, len(history.command_by_index),
        len(history.leader_by_term), history.promotions,
        history.lease_changes, dict(count_by_fault))


def run_schedule(cluster, count_by_fault):
    r"""Form a group, inject faults, and let the group recover."""
    cluster.schedule(1, repeat, cluster, PROPOSAL_INTERVAL_MS, faults.propose)
    cluster.schedule(1, repeat, cluster, REPAIR_INTERVAL_MS, faults.repair)
    if not cluster.run(
            FORMATION_TIMEOUT_MS,
            lambda: cluster.lease_holder() is not None):
        raise checks.ViolationError(
            'progress', 'no group was formed', cluster.now)
    end = cluster.now + FAULT_PHASE_MS
    while cluster.now < end:
        cluster.run(cluster.random.randint(20, 1200))
        name = cluster.random.choice(faults.FAULTS.names())
        count_by_fault[name] += 1
        faults.FAULTS.find(name).unwrap()(cluster)
    faults.end_faults(cluster)
    acknowledged = cluster.history.acknowledged
    if not cluster.run(
            RECOVERY_TIMEOUT_MS, lambda: has_recovered(cluster, acknowledged)):
        raise checks.ViolationError(
            'progress', 'the group has not recovered', cluster.now)


def repeat(cluster, period, function):
    r"""Call a function of the cluster now and every ``period`` ms."""
    function(cluster)
    cluster.schedule(period, repeat, cluster, period, function)


def has_recovered(cluster, acknowledged):
    r"""Return whether all hosts are live voters and applied a new command.

    A new command is one after the index ``acknowledged``.
    """
    return (
        faults.all_hosts_are_voters(cluster)
        and len(cluster.live) == len(cluster.hosts)
        and all(host.applied_index > acknowledged
                for host in cluster.hosts))


@click.command()
@click.option('--seeds', default=200, help='Number of schedules.')
@click.option('--first', default=0, help='First seed.')
@click.option(
    '--processes', default=4, type=click.IntRange(1, 4),
    help='Processes to use.')
@click.option(
    '--without', 'switched_off', default=None,
    type=click.Choice(states.Mechanisms.__slots__),
    help='Mechanism to switch off.')
@click.option(
    '--skip', 'skipped', multiple=True,
    help='Name of a check to skip; may be repeated.')
def main(seeds, first, processes, switched_off, skipped):
    """Run random schedules and print a table; fail on a violation."""
    mechanisms = states.Mechanisms()
    if switched_off:
        mechanisms = mechanisms.replace(**{switched_off: False})
    numbers = range(first, first + seeds)
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        outcomes = list(pool.map(
            run_seed, numbers, [mechanisms] * seeds, [skipped] * seeds,
            chunksize=8))
    report(outcomes)
    sys.exit(any(outcome.violation for outcome in outcomes))


def report(outcomes):
    r"""Print totals and the first seed of each violation."""
    seeds_by_violation = collections.defaultdict(list)
    count_by_fault = collections.Counter()
    for outcome in outcomes:
        count_by_fault.update(outcome.count_by_fault)
        if outcome.violation:
            seeds_by_violation[outcome.violation].append(outcome)
    rows = [('schedules', len(outcomes))]
    for name in ('commands', 'terms', 'promotions', 'lease_changes'):
        rows.append((name.replace('_', ' '), sum(
            getattr(outcome, name) for outcome in outcomes)))
    rows.extend(
        ('fault ' + name, count)
        for name, count in sorted(count_by_fault.items()))
    rows.append(('violations', sum(
        len(found) for found in seeds_by_violation.values())))
    click.echo(tabulate.tabulate(rows, ('what', 'number')))
    for violation, found in sorted(seeds_by_violation.items()):
        click.echo('%s: %d, first seed %d: %s' % (
            violation, len(found), found[0].seed, found[0].text))


if __name__ == '__main__':
    main()
