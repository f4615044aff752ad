r"""Measures how evenly the selectors load targets of unequal speed.

Explanation
===========

Utilisation of a target is the work that its open flows offer, divided by
its capacity. It is sampled every second after the warm-up and divided by the
mean over all targets in the same sample. The columns are:

- ``max/mean``: the highest value of a sample, averaged over the samples;
- ``p99/mean``: the 99th percentile over all targets and samples;
- ``slow/mean``: the mean of the slowest targets;
- ``first``: the highest value of target 0, to which the scenarios with
  frozen or false reports and with a joining target apply;
- ``busy``: the highest busy time of a target after the warm-up, divided by
  the mean over all targets;
- ``refused``: the number of flows that no target could take.
"""

from concurrent import futures
import json
import statistics

import click
import tabulate

from benchmarks import spread_model
from poplarstep.routing import selectors

SPEEDS = (1.0,) * 5 + (0.25,) * 2
ONE_FAST_SPEEDS = (1.0,) + (0.25,) * 6
FLOWS = 4800
COLUMNS = (
    'scenario', 'selector', 'max/mean', 'p99/mean', 'slow/mean', 'first',
    'busy', 'refused')
SCENARIOS = (
    spread_model.Scenario('delay 0 s', 3, SPEEDS, 0, 'none', FLOWS),
    spread_model.Scenario('delay 1 s', 3, SPEEDS, 1000, 'none', FLOWS),
    spread_model.Scenario('delay 5 s', 3, SPEEDS, 5000, 'none', FLOWS),
    spread_model.Scenario('frozen', 3, SPEEDS, 5000, 'frozen', FLOWS),
    spread_model.Scenario(
        'frozen late', 3, SPEEDS, 5000, 'frozen late', FLOWS),
    spread_model.Scenario('lying', 3, SPEEDS, 5000, 'lying', FLOWS),
    spread_model.Scenario(
        '300 balancers', 300, SPEEDS, 5000, 'none', FLOWS),
    spread_model.Scenario(
        '1 of 7 fast', 3, ONE_FAST_SPEEDS, 5000, 'none', 2200),
    spread_model.Scenario('joins', 3, SPEEDS, 5000, 'joins', FLOWS),
    spread_model.Scenario(
        'joins, 10 s flows', 3, SPEEDS, 5000, 'joins', FLOWS, 10_000),
)


def measure(scenario, selector_name, seed, warm_up_s, seconds):
    r"""Return the row of one scenario and selector."""
    model = spread_model.Model(
        scenario, selector_name, seed, warm_up_s * 1000)
    model.run((warm_up_s + seconds) * 1000)
    relative = []
    for sample in model.samples:
        mean = statistics.fmean(sample)
        relative.append([utilisation / mean for utilisation in sample])
    slowest = min(scenario.speeds)
    slow = [
        value for sample in relative
        for value, speed in zip(sample, scenario.speeds) if speed == slowest]
    busy = [target.busy_ms / target.slots for target in model.targets]
    values = [value for sample in relative for value in sample]
    return (
        scenario.name,
        selector_name,
        statistics.fmean(max(sample) for sample in relative),
        statistics.quantiles(values, n=100)[98],
        statistics.fmean(slow),
        max(sample[0] for sample in relative),
        max(busy) / statistics.fmean(busy),
        model.refused,
    )


def measure_all(selector_names, scenarios, seed, warm_up_s, seconds, jobs):
    r"""Return the rows of all scenarios and selectors, in order."""
    with futures.ProcessPoolExecutor(max_workers=jobs) as pool:
        pending = [
            pool.submit(measure, scenario, name, seed, warm_up_s, seconds)
            for scenario in scenarios for name in selector_names]
        return [entry.result() for entry in pending]


@click.command()
@click.option('--selector', 'selector_names', multiple=True,
              type=click.Choice(selectors.SELECTORS.names()),
              help='Measure only this selector; may be repeated.')
@click.option('--scenario', 'scenario_names', multiple=True,
              type=click.Choice([entry.name for entry in SCENARIOS]),
              help='Measure only this scenario; may be repeated.')
@click.option('--seed', default=1, show_default=True)
@click.option('--warm-up', 'warm_up_s', default=400, show_default=True,
              help='Simulated seconds before the first sample.')
@click.option('--seconds', default=400, show_default=True,
              help='Simulated seconds that are sampled.')
@click.option('--jobs', default=4, show_default=True,
              help='Number of parallel processes.')
@click.option('--output', type=click.Choice(['table', 'json']),
              default='table', show_default=True)
def main(selector_names, scenario_names, seed, warm_up_s, seconds, jobs,
         output):
    r"""Measure utilisation relative to capacity for each selector."""
    scenarios = [
        entry for entry in SCENARIOS if not scenario_names
        or entry.name in scenario_names]
    rows = measure_all(
        selector_names or selectors.SELECTORS.names(), scenarios, seed,
        warm_up_s, seconds, jobs)
    if output == 'json':
        click.echo(json.dumps(
            [dict(zip(COLUMNS, row)) for row in rows], indent=2))
    else:
        click.echo(tabulate.tabulate(rows, COLUMNS, floatfmt='.3f'))


if __name__ == '__main__':
    main()
