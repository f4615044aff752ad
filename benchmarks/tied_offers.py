r"""Time to an answer with and without tied offers.

``python -m benchmarks.tied_offers`` simulates the load of one deployment, with
some targets slow, under budgets of 0, 2 and 10 percent of the new flows, and
prints a row for each load and budget, over all seeds.
"""

import random

import click
import tabulate

from benchmarks import flow_model
from benchmarks import flow_scenario
from poplarstep.opaque_flows import tied_offers

PERCENTAGES = (0, 2, 10)
TARGETS = 35
SLOW_TARGETS = 4
# Factors of the service time; a slow target takes 4 times as long.
SERVICE_FACTORS = (1.0,) * (TARGETS - SLOW_TARGETS) + (4.0,) * SLOW_TARGETS
# Requests a second. On average, the requests occupy 31 of the 70 slots at the
# usual load; 3% of them take 7 times as long.
REQUESTS_PER_S_BY_LOAD = {
    'usual': 743.0, 'peak': 1150.0, 'burst': 1400.0, 'overload': 2000.0}
BALANCERS = 21


def make_scenario(load, seed=1):
    r"""Return the scenario of a load; a seed gives the same requests."""
    return flow_scenario.Scenario(
        SERVICE_FACTORS, 2, REQUESTS_PER_S_BY_LOAD[load], 34.7, 324, 1717,
        3.0, balancers=BALANCERS, long_share=0.03, long_factor=7.0,
        load_seed=seed)


class Result:
    r"""Outcome of a run and the sums of the balancers' counters."""

    __slots__ = ('outcome', 'count_by_name')

    def __init__(self, outcome, count_by_name):
        self.outcome = outcome
        self.count_by_name = count_by_name

    def add(self, other):
        r"""Add the result of a run with another seed."""
        for name in ('requests', 'refused', 'lost', 'extra_opens'):
            setattr(self.outcome, name, getattr(self.outcome, name)
                    + getattr(other.outcome, name))
        self.outcome.latencies_ms += other.outcome.latencies_ms
        for name, count in other.count_by_name.items():
            self.count_by_name[name] += count


def measure(load, percent, seed, seconds):
    r"""Return the result of one run.

    Parameters
    ==========

    load : str
        Key of ``REQUESTS_PER_S_BY_LOAD``.
    percent : int
        Tied offers per 100 new flows.
    seed : int
        Seed of the random numbers.
    seconds : int
        Simulated time.
    """
    simulation = flow_model.Simulation(
        make_scenario(load, seed), random.Random(seed), 'two-choices',
        percent)
    outcome = simulation.run(seconds * 1000)
    counters = [item.counters for item in simulation.balancers.values()]
    return Result(outcome, {
        name: sum(getattr(item, name) for item in counters)
        for name in counters[0].__slots__})


def measure_all(load, percent, seeds, seconds):
    r"""Return the sum of the results of the seeds 1 to ``seeds``."""
    total = measure(load, percent, 1, seconds)
    for seed in range(2, seeds + 1):
        total.add(measure(load, percent, seed, seconds))
    return total


def most_allowed(result, percent):
    r"""Return how many tied offers the budget of all balancers allows."""
    if not percent:
        return 0
    return BALANCERS * tied_offers.BUDGET_BURST + (
        percent * result.count_by_name['openings'] / 100)


def make_row(load, percent, result):
    r"""Return a row of the table."""
    outcome, count_by_name = result.outcome, result.count_by_name
    objective_ms = make_scenario(load).objective_ms
    late = sum(item > objective_ms for item in outcome.latencies_ms)
    return (
        load, percent, outcome.requests,
        *(outcome.quantile(share) for share in (0.5, 0.99, 0.999)),
        late, outcome.refused + outcome.lost,
        count_by_name['tied_offers'],
        count_by_name['tied_withdrawn_too_late'],
        count_by_name['tied_denied_by_budget'],
        count_by_name['tied_denied_by_load'],
        outcome.extra_opens)


@click.command()
@click.option('--seconds', default=12, help='Simulated time of a run.')
@click.option('--seeds', default=3, help='Runs of a row, seeds from 1.')
def main(seconds, seeds):
    r"""Print a row for each load and budget."""
    rows = [
        make_row(load, percent, measure_all(load, percent, seeds, seconds))
        for load in REQUESTS_PER_S_BY_LOAD for percent in PERCENTAGES]
    click.echo(tabulate.tabulate(rows, headers=(
        'load', 'percent', 'requests', 'p50 ms', 'p99 ms', 'p99.9 ms', 'late',
        'failed', 'tied', 'too late', 'no budget', 'short', 'extra opens'),
        floatfmt='.1f', tablefmt='github'))


if __name__ == '__main__':
    main()
