r"""Compares ways of finding the target of an established flow.

Explanation
===========

In a seeded model targets are added and drained one after another, flows have
an exponentially distributed lifetime, and each packet reaches a random
balancer whose configuration may lag by some versions. No target fails, so
only routing breaks a flow. Three strategies are compared: a Maglev lookup
table [1]_; the table with the former owners of each bucket, to which agents
forward packets of flows that aren't theirs [2]_; and a flow token that every
packet carries.

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
    r"""A flow: its bucket, the target that owns it, and its start in s."""

    __slots__ = ('bucket', 'owner', 'opened_at')

    def __init__(self, bucket, owner, opened_at):
        self.bucket = bucket
        self.owner = owner
        self.opened_at = opened_at


class Scale:
    r"""Size of the model."""

    __slots__ = (
        'targets', 'changes', 'change_period_s', 'flows',
        'packets_per_flow', 'mean_lifetime_s', 'max_lag_versions')

    def __init__(self, targets, changes, change_period_s, flows,
                 packets_per_flow, mean_lifetime_s, max_lag_versions):
        self.targets = targets
        self.changes = changes
        self.change_period_s = change_period_s
        self.flows = flows
        self.packets_per_flow = packets_per_flow
        self.mean_lifetime_s = mean_lifetime_s
        self.max_lag_versions = max_lag_versions


class TableHistory:
    r"""Lookup table, former owners and number of changes by version."""

    __slots__ = ('owners', 'former_owners', 'changed_buckets')

    def __init__(self):
        self.owners = []
        self.former_owners = []
        self.changed_buckets = []

    def add(self, table, max_former):
        r"""Append a version; keep ``max_former`` former owners a bucket."""
        if not self.owners:
            self.former_owners.append([()] * BUCKETS)
            self.changed_buckets.append(BUCKETS)
        else:
            old, former_lists = self.owners[-1], self.former_owners[-1]
            self.former_owners.append([
                former if before == after else tuple(
                    [before] + [item for item in former
                                if item not in (before, after)])[:max_former]
                for before, after, former in zip(old, table, former_lists)])
            self.changed_buckets.append(sum(
                before != after for before, after in zip(old, table)))
        self.owners.append(table)


def maglev(targets):
    r"""Return the lookup table of a set of targets.

    Examples
    ========

    >>> table = maglev([1, 2, 3])
    >>> len(table), sorted(set(table))
    (5003, [1, 2, 3])

    """
    permutations = [_permutation(target) for target in targets]
    next_positions = [0] * len(targets)
    table = [None] * BUCKETS
    filled = 0
    while True:
        for index, (offset, skip) in enumerate(permutations):
            bucket = (offset + next_positions[index] * skip) % BUCKETS
            while table[bucket] is not None:
                next_positions[index] += 1
                bucket = (offset + next_positions[index] * skip) % BUCKETS
            table[bucket] = targets[index]
            next_positions[index] += 1
            filled += 1
            if filled == BUCKETS:
                return table


def _permutation(target):
    r"""Return ``(offset, skip)`` of a target's order of buckets."""
    name = b'%d' % target
    return (
        xxhash.xxh64_intdigest(name, seed=1) % BUCKETS,
        xxhash.xxh64_intdigest(name, seed=2) % (BUCKETS - 1) + 1)


class Outcome:
    r"""Broken flows and cost of a strategy; sizes in bytes."""

    __slots__ = ('broken', 'packets', 'hops', 'flow_bytes', 'change_bytes')

    def __init__(self, broken, packets, hops, flow_bytes, change_bytes):
        self.broken = broken
        self.packets = packets
        self.hops = hops
        self.flow_bytes = flow_bytes
        self.change_bytes = change_bytes


@STRATEGIES.register('table')
def table_only(tables, flows, packets, max_former):
    r"""Route every packet by the balancer's lookup table."""
    return _route_by_table(tables, flows, packets, 0)


@STRATEGIES.register('table-former-owners')
def table_former_owners(tables, flows, packets, max_former):
    r"""Let agents forward to the former owners of the bucket."""
    return _route_by_table(tables, flows, packets, max_former)


@STRATEGIES.register('token')
def flow_token(tables, flows, packets, max_former):
    r"""Route every packet by the token that it carries."""
    return Outcome(0, len(packets), 0, token.SEALED_BYTES, 0.0)


def _route_by_table(tables, flows, packets, max_former):
    broken = set()
    hops = 0
    for index, version in packets:
        flow = flows[index]
        candidates = (tables.owners[version][flow.bucket],)
        if max_former:
            candidates += tables.former_owners[
                version][flow.bucket][:max_former]
        if flow.owner in candidates:
            hops += candidates.index(flow.owner)
        else:
            broken.add(index)
    changed = tables.changed_buckets[1:]
    per_bucket = BUCKET_BYTES + OWNER_BYTES * (1 + max_former)
    return Outcome(
        len(broken), len(packets), hops, 0,
        per_bucket * sum(changed) / max(1, len(changed)))


def make_model(scale, max_former, seed):
    r"""Return ``(TableHistory, flows, packets)`` of one run.

    A packet is ``(index of the flow, version that its balancer has)``.
    """
    generator = random.Random(seed)
    tables = TableHistory()
    active = list(range(scale.targets))
    tables.add(maglev(active), max_former)
    next_target = scale.targets
    for _ in range(scale.changes):
        if generator.random() < 0.5:
            active.append(next_target)
            next_target += 1
        else:
            active.remove(generator.choice(active))
        tables.add(maglev(active), max_former)
    change_times = [
        scale.change_period_s * (number + 1)
        for number in range(scale.changes)]
    end = scale.change_period_s * (scale.changes + 1)
    flows = []
    packets = []
    for index in range(scale.flows):
        _add_flow(
            scale, generator, tables, change_times, end, flows, packets)
    return tables, flows, packets


def _add_flow(scale, generator, tables, change_times, end, flows, packets):
    opened_at = generator.uniform(0, end)
    lifetime = generator.expovariate(1 / scale.mean_lifetime_s)
    bucket = generator.randrange(BUCKETS)
    version = _version_at(scale, generator, change_times, opened_at)
    flows.append(Flow(bucket, tables.owners[version][bucket], opened_at))
    for _ in range(scale.packets_per_flow):
        when = min(end, opened_at + generator.uniform(0, lifetime))
        packets.append((len(flows) - 1, _version_at(
            scale, generator, change_times, when)))


def _version_at(scale, generator, change_times, when):
    r"""Return the version that a random balancer has at a time."""
    newest = bisect.bisect_right(change_times, when)
    return max(0, newest - generator.randrange(scale.max_lag_versions + 1))


def run(scale, seed):
    r"""Return the rows of all strategies for the same flows and changes."""
    rows = []
    for name, max_former in (
            ('table', 0), ('table-former-owners', 1),
            ('table-former-owners', 2), ('table-former-owners', 4),
            ('token', 0)):
        tables, flows, packets = make_model(scale, max_former, seed)
        strategy = STRATEGIES.find(name).unwrap()
        outcome = strategy(tables, flows, packets, max_former)
        rows.append((
            name, max_former, len(flows), outcome.broken,
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
@click.option('--lag', default=2,
              help='largest lag of a balancer, in versions')
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
