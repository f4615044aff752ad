r"""Burn rates of an error budget over several time windows.

Explanation
===========

A burn rate of 1 uses up the error budget exactly in the window of the
objective. An alerting rule has a threshold, a long and a short window, and
fires when the burn rates of both windows reach the threshold. The long window
shows that a significant share of the budget is used up, the short window that
the burn continues. A window with too few samples has no burn rate.

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

# Time between samples. The shortest window, 5 min, then has 10 samples, and
# the loss of a single sample leaves ``MINIMUM_SHARE_PRESENT``.
DEFAULT_PERIOD_MS = 30 * 1000
# Share of the expected samples that a burn rate requires.
MINIMUM_SHARE_PRESENT = 0.9

OK = 'ok'
TICKET = 'ticket'
PAGE = 'page'
DATA_MISSING = 'data missing'


class Rule(record.Record):
    r"""Alerting rule of two windows.

    ``state`` is the state of the rule when the burn rates of both windows
    reach ``threshold``. ``long_ms`` and ``short_ms`` are the window lengths.
    """

    __slots__ = ('long_ms', 'short_ms', 'threshold', 'state')

    def __init__(
            self, long_ms: int, short_ms: int, threshold: float, state: str):
        self.long_ms = long_ms
        self.short_ms = short_ms
        self.threshold = threshold
        self.state = state


# For an objective over 30 days the thresholds are reached when 2% of the error
# budget is used up in 1 h, 5% in 6 h, or 10% in 3 d.
RULES = (
    Rule(HOUR_MS, 5 * MINUTE_MS, 14.4, PAGE),
    Rule(6 * HOUR_MS, 30 * MINUTE_MS, 6.0, PAGE),
    Rule(3 * DAY_MS, 6 * HOUR_MS, 1.0, TICKET),
)


class Window(record.Record):
    r"""Requests and burn rate in one window.

    ``bad`` of ``total`` requests missed the objective. ``share_present`` is
    the share of the expected samples that are present; below
    ``MINIMUM_SHARE_PRESENT``, ``burn_rate`` is None.
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
    r"""A rule, its two windows and the resulting state."""

    __slots__ = ('rule', 'long', 'short', 'state')

    def __init__(self, rule: Rule, long: Window, short: Window, state: str):
        self.rule = rule
        self.long = long
        self.short = short
        self.state = state


class Report(record.Record):
    r"""Burn rates and error budget of one objective at ``time_ms``.

    ``budget`` is the window of the objective's error budget. ``budget_left``
    is the share of the budget that remains: negative if it is overspent, and
    None if the window has too few samples. ``state`` is the most urgent state
    of ``outcomes``.
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


def measure(counters, objective, length_ms, now_ms):
    r"""Return the ``Window`` of ``length_ms`` that ends at ``now_ms``.

    Parameters
    ==========

    counters : Series
        Samples of the objective's service and kind.
    objective : Objective
        Gives the error budget.
    length_ms : int
        Length of the window in ms.
    now_ms : int
        Unix time in ms.
    """
    increase = counters.increase(now_ms - length_ms, now_ms)
    share = (
        increase.present_ms / increase.expected_ms
        if increase.expected_ms else 0.0)
    burn_rate = None
    if share >= MINIMUM_SHARE_PRESENT:
        # Rounding removes binary errors, so that a burn rate equal to a
        # threshold reaches it.
        burn_rate = increase.total and round(
            increase.bad / increase.total / objective.error_budget(), 9)
        burn_rate = float(burn_rate)
    return Window(length_ms, increase.total, increase.bad, share, burn_rate)


def rule_state(rule, long, short):
    r"""Return the state of a rule from the burn rates of its windows.

    Explanation
    ===========

    If one window is below the threshold, the state is ``ok`` even if the
    other window has too few samples.

    Examples
    ========

    >>> no_data = Window(0, 0, 0, 0.5, None)
    >>> rule_state(RULES[0], Window(0, 1, 1, 1.0, 20.0), no_data)
    'data missing'
    >>> rule_state(RULES[0], Window(0, 1, 0, 1.0, 2.0), no_data)
    'ok'

    """
    rates = (long.burn_rate, short.burn_rate)
    if any(rate is not None and rate < rule.threshold for rate in rates):
        return OK
    return DATA_MISSING if None in rates else rule.state


def most_urgent(states):
    r"""Return the most urgent state.

    ``data missing`` ranks above ``ok``, because the burn rate may be high
    without being known.

    Examples
    ========

    >>> most_urgent(['ok', 'data missing', 'ticket'])
    'ticket'
    >>> most_urgent(['ok', 'data missing'])
    'data missing'

    """
    urgency = (OK, DATA_MISSING, TICKET, PAGE)
    return max(states, key=urgency.index)


def make_report(counters, objective, now_ms) -> Report:
    r"""Return the ``Report`` of an objective from its ``Series``."""
    outcomes = []
    for rule in RULES:
        long = measure(counters, objective, rule.long_ms, now_ms)
        short = measure(counters, objective, rule.short_ms, now_ms)
        outcomes.append(
            RuleOutcome(rule, long, short, rule_state(rule, long, short)))
    budget = measure(
        counters, objective, objective.window_days * DAY_MS, now_ms)
    budget_left = (
        None if budget.burn_rate is None else round(1 - budget.burn_rate, 9))
    return Report(
        objective, now_ms, tuple(outcomes), budget, budget_left,
        most_urgent(outcome.state for outcome in outcomes))


def burn_rates(
        samples, objective, now_ms, period_ms=DEFAULT_PERIOD_MS, nodes=None):
    r"""Return the ``Report`` of an objective from samples.

    Examples
    ========

    >>> from poplarstep.reports import objective, sample
    >>> samples = [
    ...     sample.Sample('a', 'certs', step * 30000, step * 100, step * 98)
    ...     for step in range(7 * 120 + 1)]
    >>> slo = objective.parse('certs availability 99.9% 30d').unwrap()
    >>> report = burn_rates(samples, slo, now_ms=7 * HOUR_MS)
    >>> report.state, report.outcomes[0].long.burn_rate
    ('page', 20.0)
    >>> report.outcomes[2].state, report.budget_left
    ('data missing', None)

    Parameters
    ==========

    samples : iterable of Sample
        The whole history, in any order; samples of other services and kinds
        are ignored.
    objective : Objective
        Service, kind and share of good requests.
    now_ms : int
        Unix time in ms at which all windows end.
    period_ms, nodes : int, iterable of str or None
        Time between the samples of a node, and the nodes in operation; see
        ``series.Series``.
    """
    return make_report(
        series.Series(samples, objective, period_ms, nodes), objective, now_ms)


def burn_over_time(
        samples, objective, start_ms, end_ms, step_ms,
        period_ms=DEFAULT_PERIOD_MS, nodes=None):
    r"""Return a ``Report`` every ``step_ms`` from ``start_ms`` to ``end_ms``.

    The times are Unix times; the other arguments are those of ``burn_rates``.
    """
    counters = series.Series(samples, objective, period_ms, nodes)
    return [
        make_report(counters, objective, now_ms)
        for now_ms in range(start_ms, end_ms + 1, step_ms)]
