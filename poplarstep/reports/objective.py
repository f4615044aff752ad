r"""Service-level objectives and their text format.

Explanation
===========

An objective is one line, ``SERVICE availability SHARE DAYS`` or
``SERVICE latency SHARE under DURATION DAYS``. ``KINDS`` has the kinds of
objective. The ``FORM`` of a kind has an item for each word, in order: the
name of the field that the word gives, or a fixed word. ``READERS`` has the
function that reads the word of a field.
"""

import decimal
import itertools
import re

from returns import result

from poplarstep.core import record
from poplarstep.core import registry
from poplarstep.language import value

KINDS = registry.Registry('kind of objective')
READERS = registry.Registry('field of an objective')

MAXIMUM_WINDOW_DAYS = 90

SHARE_PATTERN = re.compile(r'([0-9]{1,2}(?:\.[0-9]{1,6})?)%')
DAYS_PATTERN = re.compile(r'([0-9]{1,3})d')


class Objective(record.Record):
    r"""Share of the requests of a service that must be good.

    Parameters
    ==========

    service : str
        Name of the service.
    kind : str
        ``'availability'``: a request is good if it is answered.
        ``'latency'``: a request is good if it is answered within the
        threshold.
    required_share : float
        Least share of good requests, between 0 and 1, for example 0.999.
    threshold_ms : int or None
        Latency threshold in ms; None for availability.
    window_days : int
        Length in days of the window of the error budget.
    """

    __slots__ = (
        'service', 'kind', 'required_share', 'threshold_ms', 'window_days')

    def __init__(
            self, service: str, kind: str, required_share: float,
            threshold_ms: int | None, window_days: int):
        self.service = service
        self.kind = kind
        self.required_share = required_share
        self.threshold_ms = threshold_ms
        self.window_days = window_days

    def error_budget(self):
        r"""Return the share of requests that may miss the objective.

        Examples
        ========

        >>> parse('dispatch availability 99.9% 30d').unwrap().error_budget()
        0.001

        """
        # A parsed share has at most 8 decimals; rounding to 12 removes the
        # binary error of the subtraction.
        return round(1 - self.required_share, 12)


@KINDS.register('availability')
class Availability:
    r"""Share of the requests that are answered."""

    __slots__ = ()

    FORM = ('service', 'kind', 'required_share', 'window_days')


@KINDS.register('latency')
class Latency:
    r"""Share of the requests that are answered within a threshold."""

    __slots__ = ()

    FORM = ('service', 'kind', 'required_share', 'under', 'threshold_ms',
            'window_days')


@READERS.register('service')
def read_service(text):
    r"""Return ``Success(name)`` or ``Failure(allowed)``."""
    return value.Name.read(text)


@READERS.register('kind')
def read_kind(text):
    r"""Return ``Success(kind)`` or ``Failure(allowed)``."""
    if text in KINDS.entry_by_name:
        return result.Success(text)
    return result.Failure(', '.join(KINDS.names()))


@READERS.register('required_share')
def read_required_share(text):
    r"""Return ``Success(share)`` or ``Failure(allowed)``.

    Examples
    ========

    >>> read_required_share('99.9%').unwrap()
    0.999

    """
    match = SHARE_PATTERN.fullmatch(text)
    share = decimal.Decimal(match[1]) / 100 if match else 0
    if share > 0:
        return result.Success(float(share))
    return result.Failure(
        'a share such as 99.9%, above 0% and below 100%, with at most 6 '
        'decimals')


@READERS.register('threshold_ms')
def read_threshold(text):
    r"""Return ``Success(ms)`` or ``Failure(allowed)``."""
    outcome = value.Duration.read(text)
    if outcome.value_or(0) > 0:
        return outcome
    return result.Failure(value.Duration.ALLOWED + ', above 0')


@READERS.register('window_days')
def read_window(text):
    r"""Return ``Success(days)`` or ``Failure(allowed)``."""
    match = DAYS_PATTERN.fullmatch(text)
    if match and 1 <= int(match[1]) <= MAXIMUM_WINDOW_DAYS:
        return result.Success(int(match[1]))
    return result.Failure('1d-%dd' % MAXIMUM_WINDOW_DAYS)


def parse(text):
    r"""Parse one objective.

    Examples
    ========

    >>> parse('certs latency 99% under 50ms 30d').unwrap().required_share
    0.99
    >>> parse('dispatch availability 100% 30d').failure()[:42]
    "found '100%', allowed: a share such as 99."

    Parameters
    ==========

    text : str
        Words separated by white space.

    Returns
    =======

    returns.result.Result
        An ``Objective`` or a message.
    """
    words = text.split()
    kind = words[1] if len(words) > 1 else ''
    form = KINDS.find(kind).value_or(Availability).FORM
    if len(words) > len(form):
        form += ('the end',)
    value_by_field = {'threshold_ms': None}
    for form_item, word in itertools.zip_longest(form, words):
        outcome = read_word(form_item, word)
        if not isinstance(outcome, result.Success):
            return outcome
        if form_item in READERS.entry_by_name:
            value_by_field[form_item] = outcome.unwrap()
    return result.Success(Objective(**value_by_field))


def read_word(form_item, word):
    r"""Read a word; ``form_item`` is the item of ``FORM`` at its position.

    ``word`` is None at the end of the text.

    Examples
    ========

    >>> read_word('under', 'over').failure()
    "found 'over', allowed: under"

    """
    read = READERS.entry_by_name.get(form_item, fixed_word_reader(form_item))
    found = 'the end' if word is None else repr(word[:60])
    return read(word or '').alt(
        lambda allowed: 'found %s, allowed: %s' % (found, allowed))


def fixed_word_reader(word):
    r"""Return a reader that accepts a fixed word only."""
    def read(text):
        return result.Success(text) if text == word else (
            result.Failure(word))
    return read


def parse_list(text):
    r"""Parse objectives, one per line; ``#`` starts a comment.

    Explanation
    ===========

    A service has at most one objective of each kind, because samples are
    stored by service and kind.

    Returns
    =======

    returns.result.Result
        Tuple of ``Objective`` or a message that names the line.
    """
    objective_by_key = {}
    for number, line in enumerate(text.split('\n'), 1):
        content = line.partition('#')[0]
        if not content.strip():
            continue
        outcome = parse(content)
        if not isinstance(outcome, result.Success):
            return result.Failure('line %d: %s' % (
                number, outcome.failure()))
        objective = outcome.unwrap()
        key = (objective.service, objective.kind)
        if key in objective_by_key:
            return result.Failure(
                'line %d: service %r already has an objective of kind %r'
                % ((number,) + key))
        objective_by_key[key] = objective
    return result.Success(tuple(objective_by_key.values()))


def format_objective(objective):
    r"""Return the text from which ``parse`` makes the objective.

    Examples
    ========

    >>> format_objective(Objective('certs', 'latency', 0.95, 200, 7))
    'certs latency 95% under 200ms 7d'

    """
    percent = (
        decimal.Decimal(repr(objective.required_share)) * 100).normalize()
    text_by_field = {
        'required_share': '%s%%' % format(percent, 'f'),
        'threshold_ms': value.format_duration(objective.threshold_ms or 0),
        'window_days': '%dd' % objective.window_days,
        'service': objective.service,
        'kind': objective.kind,
    }
    form = KINDS.find(objective.kind).unwrap().FORM
    return ' '.join(
        text_by_field.get(form_item, form_item) for form_item in form)
