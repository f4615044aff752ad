r"""What callers of opaque flows get by each placement of new flows.

``python -m benchmarks.flows`` plays the loads of both deployments, with a
data centre out and with a burst, and prints a row for each placement.
"""

import random

import click
import tabulate

from benchmarks import flow_model
from poplarstep.opaque_flows import placement

# Speeds repeat as the hosts of both deployments do.
NILE_HOOD = (0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7)
GULFLINE = (0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2)
SITES = {
    'nile-hood': flow_model.Site(
        NILE_HOOD, 2, 375.0, 16.0, 100, 500, 3.0),
    'nile-hood, a data centre out': flow_model.Site(
        NILE_HOOD[:4], 2, 375.0, 16.0, 100, 500, 3.0),
    'nile-hood, overload': flow_model.Site(
        NILE_HOOD[:3], 2, 500.0, 16.0, 100, 500, 3.0),
    'gulfline': flow_model.Site(
        GULFLINE, 3, 375.0, 23.5, 143, 2000, 1.0),
    'gulfline, burst': flow_model.Site(
        GULFLINE, 3, 640.0, 23.5, 143, 2000, 1.0),
}


def measure(site, name, seed, seconds):
    r"""Return the outcome of one run."""
    world = flow_model.World(site, random.Random(seed), name)
    return world.run(seconds * 1000)


@click.command()
@click.option('--seconds', default=20, help='Simulated time of a run.')
@click.option('--seed', default=1, help='Seed of the runs.')
def main(seconds, seed):
    r"""Print a row for each load and placement."""
    rows = []
    for title, site in SITES.items():
        for name in placement.PLACEMENTS.names():
            got = measure(site, name, seed, seconds)
            rows.append((
                title, name, got.asked, got.share_in(site.aim_ms),
                got.quantile(0.5), got.quantile(0.99),
                got.refused / got.asked, got.lost / got.asked,
                got.hops / got.asked))
    click.echo(tabulate.tabulate(rows, headers=(
        'load', 'placement', 'requests', 'in aim', 'p50 ms', 'p99 ms',
        'refused', 'lost', 'hops'), floatfmt='.3f'))


if __name__ == '__main__':
    main()
