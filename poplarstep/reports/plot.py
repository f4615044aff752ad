r"""Plot of burn rates over time, with the thresholds of the rules.

Explanation
===========

The figure is drawn without ``pyplot``, which may need a display and keeps
state between plots. A line has a gap where data is missing.
"""

import datetime
import math
import os

import matplotlib
from matplotlib.backends import backend_agg
from matplotlib import dates
from matplotlib import figure
from returns import result

from poplarstep.core import registry
from poplarstep.reports import objective
from poplarstep.reports import table

FORMATS = registry.Registry('plot format')

# Lower end of the logarithmic axis, below all thresholds; lower rates, such as
# 0, are drawn at it.
MINIMUM_PLOTTED_RATE = 0.01


@FORMATS.register('.svg')
def save_svg(chart, file):
    r"""Write SVG; the same samples give the same bytes."""
    with matplotlib.rc_context({'svg.hashsalt': 'poplarstep'}):
        chart.savefig(file, format='svg', metadata={'Date': None})


@FORMATS.register('.png')
def save_png(chart, file):
    r"""Write PNG at 100 dots per inch."""
    chart.savefig(file, format='png', dpi=100)


def points_of_rules(reports):
    r"""Return the points of the line of each rule.

    Parameters
    ==========

    reports : iterable of Report
        Reports of one objective, in chronological order.

    Returns
    =======

    dict
        List of ``(time_ms, rate)`` by ``(label, threshold)`` of the rule.
        The rate is the lower one of the two windows, because a rule fires
        when both reach the threshold. It is NaN where data is missing.
    """
    points_by_rule = {}
    for report in reports:
        for outcome in report.outcomes:
            rates = (outcome.long.burn_rate, outcome.short.burn_rate)
            rate = math.nan if None in rates else max(
                MINIMUM_PLOTTED_RATE, min(rates))
            label = '%s / %s, %s at %g' % (
                table.format_length(outcome.rule.long_ms),
                table.format_length(outcome.rule.short_ms),
                outcome.rule.state, outcome.rule.threshold)
            points_by_rule.setdefault(
                (label, outcome.rule.threshold), []).append(
                    (report.time_ms, rate))
    return points_by_rule


def draw(reports):
    r"""Return the matplotlib ``Figure`` of the reports of one objective."""
    chart = figure.Figure(figsize=(9, 4.5), layout='constrained')
    backend_agg.FigureCanvasAgg(chart)
    axes = chart.add_subplot()
    for position, ((label, threshold), points) in enumerate(
            points_of_rules(reports).items()):
        colour = 'C%d' % position
        times = [
            datetime.datetime.fromtimestamp(
                time_ms / 1000, datetime.timezone.utc)
            for time_ms, rate in points]
        axes.plot(
            times, [rate for time_ms, rate in points], color=colour,
            label=label, marker='.', markersize=3)
        axes.axhline(threshold, color=colour, linestyle='--', linewidth=0.8)
    axes.set_yscale('log')
    axes.set_ylim(bottom=MINIMUM_PLOTTED_RATE)
    axes.set_title(objective.format_objective(reports[0].objective))
    axes.set_ylabel('burn rate (lower of both windows)')
    axes.set_xlabel('time (UTC)')
    axes.xaxis.set_major_formatter(
        dates.ConciseDateFormatter(axes.xaxis.get_major_locator()))
    axes.legend(loc='upper left', fontsize='small')
    return chart


def save(reports, path):
    r"""Write the plot of the reports of one objective to a file.

    Parameters
    ==========

    reports : list of Report
        As ``burn.burn_over_time`` returns them.
    path : str
        File to write; its extension, ``.svg`` or ``.png``, selects the
        format.

    Returns
    =======

    returns.result.Result
        ``Success(path)``, or ``Failure(message)`` if there is nothing to
        plot or the file cannot be written.
    """
    if not reports:
        return result.Failure('no reports to plot')
    if len({report.objective for report in reports}) > 1:
        return result.Failure('a plot shows one objective, not several')
    outcome = FORMATS.find(os.path.splitext(path)[1].lower())
    if not isinstance(outcome, result.Success):
        return outcome
    try:
        with open(path, 'wb') as file:
            outcome.unwrap()(draw(reports), file)
    except OSError as error:
        return result.Failure('plot %s cannot be written: %s' % (path, error))
    return result.Success(path)
