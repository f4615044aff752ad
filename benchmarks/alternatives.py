r"""Compares ways of finding the target of an established flow.

Explanation
===========

A seeded model: targets are added and drained one after another, flows live
for an exponentially distributed time, and each packet reaches a random
balancer whose configuration may be some changes old. No target dies, so a
flow is broken only by routing. Compared are a Maglev lookup table, the
table with former owners of each bucket to which agents forward, and the
flow token.

References
==========

.. [1] D. Eisenbud et al., "Maglev: A Fast and Reliable Software Network
   Load Balancer", NSDI 2016.
.. [2] V. Olteanu et al., "Stateless Datacenter Load-balancing with Beamer",
   NSDI 2018.

"""

import bisect
import json
import random

import click
import tabulate
import xxhash

from poplarstep.core import registry
from poplarstep.flow import token

BUCKETS = 5003
BALANCERS = 3
OWNER_BYTES = 4
BUCKET_BYTES = 4

STRATEGIES = registry.Registry('strategy')


class Flow:
    r"""A flow: its bucket, owner, and the times of its packets."""

    __slots__ = ('bucket', 'owner', 'opened_at')

    def __init__(self, bucket, owner, opened_at):
        self.bucket = bucket
        self.owner = owner
        self.opened_at = opened_at


class Scale:
    r"""Size of the model; times in seconds."""

    __slots__ = (
        'targets', 'changes', 'change_every', 'flows', 'packets_per_flow',
        'mean_life', 'lag_versions')

    def __init__(self, targets, changes, change_every, flows,
                 packets_per_flow, mean_life, lag_versions):
        self.targets = targets
        self.changes = changes
        self.change_every = change_every
        self.flows = flows
        self.packets_per_flow = packets_per_flow
        self.mean_life = mean_life
        self.lag_versions = lag_versions


class Tables:
    r"""Lookup table and former owners of each version."""

    __slots__ = ('tables', 'former', 'changed')

    def __init__(self):
        self.tables = []
        self.former = []
        self.changed = []

    def add(self, table, depth):
        r"""Append the table of a new version."""
        if not self.tables:
            self.former.append([()] * BUCKETS)
            self.changed.append(BUCKETS)
        else:
            old, chains = self.tables[-1], self.former[-1]
            self.former.append([
                chain if before == after else tuple(
                    [before] + [item for item in chain
                                if item not in (before, after)])[:depth]
                for before, after, chain in zip(old, table, chains)])
            self.changed.append(sum(
                before != after for before, after in zip(old, table)))
        self.tables.append(table)


def maglev(targets):
    r"""Return the lookup table of a set of targets.

    Examples
    ========

    >>> table = maglev([1, 2, 3])
    >>> len(table), sorted(set(table))
    (5003, [1, 2, 3])

    """
    places = [_permutation(target) for target in targets]
    positions = [0] * len(targets)
    table = [None] * BUCKETS
    filled = 0
    while True:
        for index, (offset, skip) in enumerate(places):
            bucket = (offset + positions[index] * skip) % BUCKETS
            while table[bucket] is not None:
                positions[index] += 1
                bucket = (offset + positions[index] * skip) % BUCKETS
            table[bucket] = targets[index]
            positions[index] += 1
            filled += 1
            if filled == BUCKETS:
                return table


def _permutation(target):
    name = b'%d' % target
    return (
        xxhash.xxh64_intdigest(name, seed=1) % BUCKETS,
        xxhash.xxh64_intdigest(name, seed=2) % (BUCKETS - 1) + 1)


class Outcome:
    r"""What a strategy did to the flows of one run."""

    __slots__ = ('broken', 'packets', 'hops', 'flow_bytes', 'change_bytes')

    def __init__(self, broken, packets, hops, flow_bytes, change_bytes):
        self.broken = broken
        self.packets = packets
        self.hops = hops
        self.flow_bytes = flow_bytes
        self.change_bytes = change_bytes


@STRATEGIES.register('table')
def table_alone(tables, flows, packets, depth):
    r"""Route every packet by the balancer's own table."""
    return _follow(tables, flows, packets, 0)


@STRATEGIES.register('table-former-owners')
def table_former_owners(tables, flows, packets, depth):
    r"""Let agents forward to the former owners of the bucket."""
    return _follow(tables, flows, packets, depth)


@STRATEGIES.register('token')
def flow_token(tables, flows, packets, depth):
    r"""Route every packet by the token that it carries."""
    return Outcome(0, len(packets), 0, token.SEALED_BYTES, 0.0)


def _follow(tables, flows, packets, depth):
    broken = set()
    hops = 0
    for index, version in packets:
        flow = flows[index]
        chain = (tables.tables[version][flow.bucket],)
        if depth:
            chain += tables.former[version][flow.bucket][:depth]
        if flow.owner in chain:
            hops += chain.index(flow.owner)
        else:
            broken.add(index)
    changed = tables.changed[1:]
    per_bucket = BUCKET_BYTES + OWNER_BYTES * (1 + depth)
    return Outcome(
        len(broken), len(packets), hops, 0,
        per_bucket * sum(changed) / max(1, len(changed)))


def make_model(scale, depth, seed):
    r"""Return ``(Tables, flows, packets)`` of one run.

    A packet is ``(index of the flow, version of the balancer)``.
    """
    generator = random.Random(seed)
    tables = Tables()
    active = list(range(scale.targets))
    tables.add(maglev(active), depth)
    next_target = scale.targets
    for _ in range(scale.changes):
        if generator.random() < 0.5:
            active.append(next_target)
            next_target += 1
        else:
            active.remove(generator.choice(active))
        tables.add(maglev(active), depth)
    change_times = [
        scale.change_every * (number + 1)
        for number in range(scale.changes)]
    end = scale.change_every * (scale.changes + 1)
    flows = []
    packets = []
    for index in range(scale.flows):
        _add_flow(
            scale, generator, tables, change_times, end, flows, packets)
    return tables, flows, packets


def _add_flow(scale, generator, tables, change_times, end, flows, packets):
    opened_at = generator.uniform(0, end)
    life = generator.expovariate(1 / scale.mean_life)
    bucket = generator.randrange(BUCKETS)
    version = _version_at(scale, generator, change_times, opened_at)
    flows.append(Flow(bucket, tables.tables[version][bucket], opened_at))
    for _ in range(scale.packets_per_flow):
        when = min(end, opened_at + generator.uniform(0, life))
        packets.append((len(flows) - 1, _version_at(
            scale, generator, change_times, when)))


def _version_at(scale, generator, change_times, when):
    r"""Return the version of a random balancer at a time."""
    newest = bisect.bisect_right(change_times, when)
    return max(0, newest - generator.randrange(scale.lag_versions + 1))


def run(scale, seed):
    r"""Return rows of all strategies over the same flows and changes."""
    rows = []
    for name, depth in (
            ('table', 0), ('table-former-owners', 1),
            ('table-former-owners', 2), ('table-former-owners', 4),
            ('token', 0)):
        tables, flows, packets = make_model(scale, depth, seed)
        strategy = STRATEGIES.find(name).unwrap()
        outcome = strategy(tables, flows, packets, depth)
        rows.append((
            name, depth, len(flows), outcome.broken,
            round(100 * outcome.broken / len(flows), 2),
            round(outcome.hops / outcome.packets, 4),
            outcome.flow_bytes, round(outcome.change_bytes)))
    return rows


@click.command()
@click.option('--targets', default=100)
@click.option('--changes', default=100)
@click.option('--change-every', default=35.0, help='seconds')
@click.option('--flows', default=20_000)
@click.option('--packets', default=10, help='packets of each flow')
@click.option('--mean-life', default=600.0, help='seconds')
@click.option('--lag', default=2, help='versions that a balancer lags')
@click.option('--seed', default=1)
@click.option('--output', type=click.Choice(['table', 'json']),
              default='table')
def main(targets, changes, change_every, flows, packets, mean_life, lag,
         seed, output):
    r"""Compare ways of finding the target of an established flow."""
    rows = run(Scale(
        targets, changes, change_every, flows, packets, mean_life, lag),
        seed)
    columns = (
        'strategy', 'former owners', 'flows', 'broken', 'broken %',
        'extra hops per packet', 'bytes in each packet',
        'bytes per change')
    if output == 'json':
        click.echo(json.dumps([dict(zip(columns, row)) for row in rows]))
    else:
        click.echo(tabulate.tabulate(rows, headers=columns))


if __name__ == '__main__':
    main()
