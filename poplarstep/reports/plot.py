r"""Plot of burn rates over time, with the thresholds of the rules.

Explanation
===========

The figure is drawn without ``pyplot``, so that it neither needs a display
nor keeps state between plots. Where data is missing the line has a gap.
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

# A logarithmic axis from below the lowest threshold; 0 lies on its edge.
MINIMUM_RATE = 0.01


@FORMATS.register('.svg')
def save_svg(drawn, file):
    r"""Write SVG that is the same for the same samples."""
    with matplotlib.rc_context({'svg.hashsalt': 'poplarstep'}):
        drawn.savefig(file, format='svg', metadata={'Date': None})


@FORMATS.register('.png')
def save_png(drawn, file):
    r"""Write PNG at 100 dots per inch."""
    drawn.savefig(file, format='png', dpi=100)


def lines(reports):
    r"""Return the points to draw.

    Parameters
    ==========

    reports : iterable of Report
        Reports of one objective in the order of time.

    Returns
    =======

    dict
        ``(label, threshold)`` of each rule to a list of ``(time_ms, rate)``.
        The rate is the lower one of the two windows, because both have to
        reach the threshold; it is NaN where data is missing.
    """
    points_by_rule = {}
    for report in reports:
        for outcome in report.outcomes:
            rates = (outcome.long.burn_rate, outcome.short.burn_rate)
            rate = math.nan if None in rates else max(
                MINIMUM_RATE, min(rates))
            label = '%s / %s, %s at %g' % (
                table.format_length(outcome.rule.long_ms),
                table.format_length(outcome.rule.short_ms),
                outcome.rule.state, outcome.rule.threshold)
            points_by_rule.setdefault(
                (label, outcome.rule.threshold), []).append(
                    (report.time_ms, rate))
    return points_by_rule


def draw(reports):
    r"""Return the matplotlib ``Figure`` of reports of one objective."""
    drawn = figure.Figure(figsize=(9, 4.5), layout='constrained')
    backend_agg.FigureCanvasAgg(drawn)
    axes = drawn.add_subplot()
    for position, ((label, threshold), points) in enumerate(
            lines(reports).items()):
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
    axes.set_ylim(bottom=MINIMUM_RATE)
    axes.set_title(objective.format_objective(reports[0].objective))
    axes.set_ylabel('burn rate (lower of both windows)')
    axes.set_xlabel('time (UTC)')
    axes.xaxis.set_major_formatter(
        dates.ConciseDateFormatter(axes.xaxis.get_major_locator()))
    axes.legend(loc='upper left', fontsize='small')
    return drawn


def save(reports, path):
    r"""Write the plot of reports of one objective.

    Parameters
    ==========

    reports : list of Report
        As ``burn.burn_over_time`` returns them.
    path : str
        File to write; ``.svg`` or ``.png`` at its end selects the format.

    Returns
    =======

    returns.result.Result
        ``Success(path)`` or a message, also if the file cannot be written.
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
