r"""``poplarstep-burn``: collects samples from nodes and plots the burn."""

import json
import time

import click
from returns import result

from poplarstep.core import address
from poplarstep.edge import history as histories
from poplarstep.programs import answer as answers
from poplarstep.programs import survey
from poplarstep.reports import burn
from poplarstep.reports import plot
from poplarstep.reports import sample
from poplarstep.reports import table

PLOT_STEPS = 200


def samples_of(status, now):
    r"""Return the samples in the ``/status`` of a node at Unix ms ``now``.

    Examples
    ========

    >>> labels = {'service': 'certs'}
    >>> found = samples_of({'node': 'certs/1', 'values': [
    ...     ['requests_total', labels, 9], ['requests_good', labels, 8],
    ...     ['requests_late', labels, 3]]}, 5)
    >>> [(item.kind, item.total, item.good) for item in found]
    [('availability', 9, 8), ('latency', 9, 5)]

    """
    counts_by_service = {}
    for name, labels, count in status['values']:
        if name.startswith('requests_'):
            counts_by_service.setdefault(labels['service'], {})[name] = count
    samples = []
    for service, counts in counts_by_service.items():
        total, good = counts['requests_total'], counts['requests_good']
        samples.append(sample.Sample(
            status['node'], service, now, total, good, 'availability'))
        samples.append(sample.Sample(
            status['node'], service, now, total,
            good - counts['requests_late'], 'latency'))
    return samples


def collect_once(places, history):
    r"""Append one sample of each node; return how many did not answer."""
    samples = []
    silent = 0
    for _, status in survey.read_all(places):
        if status is None:
            silent += 1
        else:
            samples.extend(samples_of(status, round(time.time() * 1000)))
    return histories.append(history, samples).map(lambda size: silent)


def _places(context, parameter, text):
    parsed = [address.parse(item) for item in text.split(',')]
    for item in parsed:
        if isinstance(item, result.Failure):
            raise click.BadParameter(item.failure())
    return [item.unwrap() for item in parsed]


@click.group()
def main():
    r"""Collect service-level samples and report the burn."""


@main.command()
@click.option('--nodes', envvar='POPLARSTEP_NODES', required=True,
              callback=_places, help='HTTP addresses of the agents')
@click.option('--history', envvar='POPLARSTEP_HISTORY', required=True)
@click.option('--period', default=burn.DEFAULT_PERIOD_MS / 1000,
              help='seconds between samples')
@click.option('--count', default=0, help='samples to take; 0: without end')
def collect(nodes, history, period, count):
    r"""Append a sample of each node to the history, periodically."""
    taken = 0
    due = time.monotonic()
    while True:
        outcome = collect_once(nodes, history)
        if isinstance(outcome, result.Failure):
            click.echo(outcome.failure(), err=True)
            raise SystemExit(answers.EXIT_USAGE)
        if outcome.unwrap():
            click.echo('%d of %d nodes did not answer' % (
                outcome.unwrap(), len(nodes)), err=True)
        taken += 1
        if taken == count:
            return
        due = max(due + period, time.monotonic())
        time.sleep(max(0, due - time.monotonic()))


@main.command()
@click.option('--history', envvar='POPLARSTEP_HISTORY', required=True)
@click.option('--objectives', envvar='POPLARSTEP_OBJECTIVES', required=True)
@click.option('--service', help='only this service')
@click.option('--output', type=click.Choice(['table', 'json']),
              default='table')
@click.option('--plot', 'plot_path', help='file .svg or .png for the first '
              'objective, over the last day')
def report(history, objectives, service, output, plot_path):
    r"""Print the burn of each objective; missing data are said so."""
    now = round(time.time() * 1000)
    read = survey.read_reports(history, objectives, service, now)
    if isinstance(read, result.Success):
        reports = read.unwrap()
        click.echo(json.dumps([table.dictionary(item) for item in reports])
                   if output == 'json' else table.render(reports))
        if plot_path:
            read = save_plot(history, reports[0].objective, now, plot_path)
    if isinstance(read, result.Failure):
        click.echo(read.failure(), err=True)
        raise SystemExit(answers.EXIT_USAGE)


def save_plot(history, objective, now, path):
    r"""Write the plot of an objective over the last day."""
    step = burn.DAY_MS // PLOT_STEPS
    return histories.read(history).bind(lambda found: plot.save(
        burn.burn_over_time(
            found.samples, objective, now - burn.DAY_MS, now, step), path))


if __name__ == '__main__':
    main()
