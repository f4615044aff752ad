r"""Burn rate reports as text tables and as dictionaries for JSON."""

import tabulate

from poplarstep.reports import burn
from poplarstep.reports import objective

HEADERS = (
    'service', 'objective', 'state', 'budget left', 'long', 'burn', 'short',
    'burn', 'limit', 'rule')

LENGTH_UNITS = (
    ('d', burn.DAY_MS), ('h', burn.HOUR_MS), ('m', burn.MINUTE_MS))


def format_length(length_ms):
    r"""Return a window length in the largest unit that divides it.

    Examples
    ========

    >>> [format_length(burn.HOUR_MS * hours) for hours in (0.5, 6, 72)]
    ['30m', '6h', '3d']

    """
    for unit, unit_ms in LENGTH_UNITS:
        if length_ms >= unit_ms and length_ms % unit_ms == 0:
            return '%d%s' % (length_ms // unit_ms, unit)
    return '%gs' % (length_ms / 1000)


def format_missing(window):
    r"""Return the text for a window with too few samples.

    Examples
    ========

    >>> format_missing(burn.Window(300000, 5, 0, 0.899, None))
    'data missing (89% present)'

    """
    return '%s (%d%% present)' % (
        burn.DATA_MISSING, int(window.share_present * 100))


def format_rate(window):
    r"""Return the text of the burn rate of a window."""
    if window.burn_rate is None:
        return format_missing(window)
    return '%.2f' % window.burn_rate


def format_budget(report):
    r"""Return the text of the share of the error budget that remains."""
    if report.budget_left is None:
        return format_missing(report.budget)
    return '%.1f%%' % (report.budget_left * 100)


def render(reports):
    r"""Return the reports as a table with a row for each rule.

    Examples
    ========

    >>> slo = objective.parse('certs availability 99.9% 30d').unwrap()
    >>> render([burn.burn_rates([], slo, now_ms=0)]).splitlines()[2][:48]
    'certs      availability 99.9% 30d  data missing '

    """
    rows = []
    for report in reports:
        objective_text = objective.format_objective(report.objective)
        report_cells = (
            report.objective.service, objective_text.partition(' ')[2],
            report.state, format_budget(report))
        for outcome in report.outcomes:
            rows.append(report_cells + (
                format_length(outcome.rule.long_ms),
                format_rate(outcome.long),
                format_length(outcome.rule.short_ms),
                format_rate(outcome.short),
                '%g' % outcome.rule.threshold, outcome.state))
            report_cells = ('',) * len(report_cells)
    return tabulate.tabulate(
        rows, headers=HEADERS, disable_numparse=True)


def window_dictionary(window):
    r"""Return a window as a dictionary of JSON types."""
    return {
        'length_ms': window.length_ms,
        'total': window.total,
        'bad': window.bad,
        'share_present': window.share_present,
        'burn_rate': window.burn_rate,
    }


def dictionary(report):
    r"""Return a report as a dictionary of JSON types.

    An unknown ``burn_rate`` or ``budget_left`` is None; ``share_present`` is
    then too small.
    """
    return {
        'service': report.objective.service,
        'kind': report.objective.kind,
        'target': report.objective.required_share,
        'threshold_ms': report.objective.threshold_ms,
        'window_days': report.objective.window_days,
        'time_ms': report.time_ms,
        'state': report.state,
        'budget_left': report.budget_left,
        'budget': window_dictionary(report.budget),
        'rules': [{
            'state': outcome.state,
            'state_at_threshold': outcome.rule.state,
            'threshold': outcome.rule.threshold,
            'long': window_dictionary(outcome.long),
            'short': window_dictionary(outcome.short),
        } for outcome in report.outcomes],
    }
