r"""``poplarstep-burn``: collects samples and reports burn rates.

A burn rate is the speed at which a service uses up its error budget.
"""

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


def make_samples(status, now):
    r"""Return the samples in a node's ``/status``, read at Unix ms ``now``.

    Examples
    ========

    >>> labels = {'service': 'certs'}
    >>> samples = make_samples({'node': 'certs/1', 'values': [
    ...     ['requests_total', labels, 9], ['requests_good', labels, 8],
    ...     ['requests_late', labels, 3]]}, 5)
    >>> [(item.kind, item.total, item.good) for item in samples]
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


def collect_once(addresses, history_path):
    r"""Append the samples of each node to the history file.

    Returns
    =======

    Result
        ``Success(number of nodes that did not answer)`` or
        ``Failure(message)``.
    """
    samples = []
    unanswered = 0
    for _, status in survey.read_all(addresses):
        if status is None:
            unanswered += 1
        else:
            samples.extend(make_samples(status, round(time.time() * 1000)))
    return histories.append(history_path, samples).map(
        lambda size: unanswered)


def _parse_addresses(context, parameter, text):
    outcomes = [address.parse(item) for item in text.split(',')]
    for outcome in outcomes:
        if isinstance(outcome, result.Failure):
            raise click.BadParameter(outcome.failure())
    return [outcome.unwrap() for outcome in outcomes]


@click.group()
def main():
    r"""Collect service-level samples and report burn rates."""


@main.command()
@click.option('--nodes', envvar='POPLARSTEP_NODES', required=True,
              callback=_parse_addresses, help='HTTP addresses of the agents')
@click.option('--history', envvar='POPLARSTEP_HISTORY', required=True)
@click.option('--period', default=burn.DEFAULT_PERIOD_MS / 1000,
              help='seconds between samples')
@click.option('--count', default=0, help='samples to take; 0: without end')
def collect(nodes, history, period, count):
    r"""Periodically append the samples of each node to the history."""
    rounds = 0
    due = time.monotonic()
    while True:
        outcome = collect_once(nodes, history)
        if isinstance(outcome, result.Failure):
            click.echo(outcome.failure(), err=True)
            raise SystemExit(answers.EXIT_USAGE)
        if outcome.unwrap():
            click.echo('%d of %d nodes did not answer' % (
                outcome.unwrap(), len(nodes)), err=True)
        rounds += 1
        if rounds == count:
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
    r"""Print the burn rate of each objective, or that data is missing."""
    now = round(time.time() * 1000)
    outcome = survey.read_reports(history, objectives, service, now)
    if isinstance(outcome, result.Success):
        reports = outcome.unwrap()
        click.echo(json.dumps([table.dictionary(item) for item in reports])
                   if output == 'json' else table.render(reports))
        if plot_path:
            outcome = save_plot(history, reports[0].objective, now, plot_path)
    if isinstance(outcome, result.Failure):
        click.echo(outcome.failure(), err=True)
        raise SystemExit(answers.EXIT_USAGE)


def save_plot(history_path, objective, now, plot_path):
    r"""Write a plot of an objective's burn rate over the last day."""
    step = burn.DAY_MS // PLOT_STEPS
    return histories.read(history_path).bind(lambda history: plot.save(
        burn.burn_over_time(
            history.samples, objective, now - burn.DAY_MS, now, step),
        plot_path))


if __name__ == '__main__':
    main()
