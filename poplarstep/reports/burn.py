r"""Burn rates of an error budget over several windows.

Explanation
===========

A burn rate of 1 uses up the budget exactly in the objective's window. A
rule fires when both its long and its short window reach the threshold: the
long one shows that the burn matters, the short one that it still goes on.
A window with too few samples has no burn rate.

References
==========

.. [1] The Site Reliability Workbook, chapter 5, Alerting on SLOs,
   section 6: Multiwindow, Multi-Burn-Rate Alerts.
"""

from poplarstep.core import record
from poplarstep.reports import series

MINUTE_MS = 60 * 1000
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS

# A 5 min window holds 10 samples, so one lost sample still leaves 90%.
DEFAULT_PERIOD_MS = 30 * 1000
MINIMUM_SHARE_PRESENT = 0.9

OK = 'ok'
TICKET = 'ticket'
PAGE = 'page'
DATA_MISSING = 'data missing'


class Rule(record.Record):
    r"""Two windows in ms, a burn rate, and the state when both reach it."""

    __slots__ = ('long_ms', 'short_ms', 'threshold', 'state')

    def __init__(
            self, long_ms: int, short_ms: int, threshold: float, state: str):
        self.long_ms = long_ms
        self.short_ms = short_ms
        self.threshold = threshold
        self.state = state


# In a window of 30 days: 2% of the budget in 1 h, 5% in 6 h, 10% in 3 d.
RULES = (
    Rule(HOUR_MS, 5 * MINUTE_MS, 14.4, PAGE),
    Rule(6 * HOUR_MS, 30 * MINUTE_MS, 6.0, PAGE),
    Rule(3 * DAY_MS, 6 * HOUR_MS, 1.0, TICKET),
)


class Window(record.Record):
    r"""Burn in one window.

    ``burn_rate`` is None when ``share_present``, the share of the expected
    samples that are present, is too small.
    """

    __slots__ = ('length_ms', 'total', 'bad', 'share_present', 'burn_rate')

    def __init__(
            self, length_ms: int, total: int, bad: int,
            share_present: float, burn_rate: float | None):
        self.length_ms = length_ms
        self.total = total
        self.bad = bad
        self.share_present = share_present
        self.burn_rate = burn_rate


class RuleOutcome(record.Record):
    r"""A rule, its two windows and the state that follows."""

    __slots__ = ('rule', 'long', 'short', 'state')

    def __init__(self, rule: Rule, long: Window, short: Window, state: str):
        self.rule = rule
        self.long = long
        self.short = short
        self.state = state


class Report(record.Record):
    r"""Burn of one objective at ``time_ms``.

    ``budget_left`` is 1 when nothing is used up, negative when too much is,
    and None when the objective's window, ``budget``, misses data.
    """

    __slots__ = (
        'objective', 'time_ms', 'outcomes', 'budget', 'budget_left', 'state')

    def __init__(
            self, objective: record.Record, time_ms: int, outcomes: tuple,
            budget: Window, budget_left: float | None, state: str):
        self.objective = objective
        self.time_ms = time_ms
        self.outcomes = outcomes
        self.budget = budget
        self.budget_left = budget_left
        self.state = state


def measure(counts, objective, length_ms, now):
    r"""Return the ``Window`` of ``length_ms`` that ends at ``now``.

    Parameters
    ==========

    counts : Series
        Samples of the objective's service and kind.
    objective : Objective
        Gives the share of requests that may fail.
    length_ms : int
        Length of the window in ms.
    now : int
        Unix time in ms.
    """
    found = counts.increase(now - length_ms, now)
    share = found.present_ms / found.expected_ms if found.expected_ms else 0.0
    burn_rate = None
    if share >= MINIMUM_SHARE_PRESENT:
        # Rounded so that a burn exactly at a threshold reaches it.
        burn_rate = found.total and round(
            found.bad / found.total / objective.budget_share(), 9)
        burn_rate = float(burn_rate)
    return Window(length_ms, found.total, found.bad, share, burn_rate)


def judge(rule, long, short):
    r"""Return the state that a rule gives.

    Explanation
    ===========

    One window below the threshold is enough for ``ok``, even if data is
    missing in the other.

    Examples
    ========

    >>> judge(RULES[0], Window(0, 1, 1, 1.0, 20.0), Window(0, 0, 0, 0.5, None))
    'data missing'
    >>> judge(RULES[0], Window(0, 1, 0, 1.0, 2.0), Window(0, 0, 0, 0.5, None))
    'ok'

    """
    rates = (long.burn_rate, short.burn_rate)
    if any(rate is not None and rate < rule.threshold for rate in rates):
        return OK
    return DATA_MISSING if None in rates else rule.state


def worst(states):
    r"""Return the most urgent state.

    ``data missing`` ranks above ``ok``, because a rule that could not be
    judged may hide a burn.

    Examples
    ========

    >>> worst(['ok', 'data missing', 'ticket'])
    'ticket'
    >>> worst(['ok', 'data missing'])
    'data missing'

    """
    urgency = (OK, DATA_MISSING, TICKET, PAGE)
    return max(states, key=urgency.index)


def report(counts, objective, now):
    r"""Return the ``Report`` of an objective from its ``Series``."""
    outcomes = []
    for rule in RULES:
        long = measure(counts, objective, rule.long_ms, now)
        short = measure(counts, objective, rule.short_ms, now)
        outcomes.append(
            RuleOutcome(rule, long, short, judge(rule, long, short)))
    budget = measure(
        counts, objective, objective.window_days * DAY_MS, now)
    budget_left = (
        None if budget.burn_rate is None else round(1 - budget.burn_rate, 9))
    return Report(
        objective, now, tuple(outcomes), budget, budget_left,
        worst(outcome.state for outcome in outcomes))


def burn_rates(
        samples, objective, now, period_ms=DEFAULT_PERIOD_MS, nodes=None):
    r"""Return the ``Report`` of an objective.

    Examples
    ========

    >>> from poplarstep.reports import objective, sample
    >>> samples = [
    ...     sample.Sample('a', 'certs', step * 30000, step * 100, step * 98)
    ...     for step in range(7 * 120 + 1)]
    >>> goal = objective.parse('certs availability 99.9% 30d').unwrap()
    >>> found = burn_rates(samples, goal, now=7 * HOUR_MS)
    >>> found.state, found.outcomes[0].long.burn_rate
    ('page', 20.0)
    >>> found.outcomes[2].state, found.budget_left
    ('data missing', None)

    Parameters
    ==========

    samples : iterable of Sample
        The whole history, in any order, of any services.
    objective : Objective
        Service, kind and target share.
    now : int
        Unix time in ms at which all windows end.
    period_ms, nodes : int, iterable of str or None
        Time between the samples of a node and the nodes in operation; see
        ``series.Series``.
    """
    return report(
        series.Series(samples, objective, period_ms, nodes), objective, now)


def burn_over_time(
        samples, objective, start, end, step_ms,
        period_ms=DEFAULT_PERIOD_MS, nodes=None):
    r"""Return ``Report`` records from start to end, in steps of ms."""
    counts = series.Series(samples, objective, period_ms, nodes)
    return [
        report(counts, objective, now)
        for now in range(start, end + 1, step_ms)]
