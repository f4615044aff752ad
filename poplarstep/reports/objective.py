r"""Service-level objectives and their text.

Explanation
===========

An objective is one line, ``SERVICE availability SHARE DAYS`` or
``SERVICE latency SHARE under DURATION DAYS``. The kinds are in ``KINDS``;
their ``FORM`` names a field for each word, or the word itself.
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
    r"""Share of a service's requests that must be good.

    Parameters
    ==========

    service : str
        Name of the service.
    kind : str
        ``'availability'``: a request is good when it is answered.
        ``'latency'``: when it is answered within the threshold.
    target : float
        Share of good requests, between 0 and 1, for example 0.999.
    threshold_ms : int or None
        Latency limit in ms; None for availability.
    window_days : int
        Days over which the error budget is counted.
    """

    __slots__ = ('service', 'kind', 'target', 'threshold_ms', 'window_days')

    def __init__(
            self, service: str, kind: str, target: float,
            threshold_ms: int | None, window_days: int):
        self.service = service
        self.kind = kind
        self.target = target
        self.threshold_ms = threshold_ms
        self.window_days = window_days

    def budget_share(self):
        r"""Return the share of requests that may fail.

        Examples
        ========

        >>> parse('dispatch availability 99.9% 30d').unwrap().budget_share()
        0.001

        """
        # A parsed target has at most 8 decimals; 12 hide the binary error.
        return round(1 - self.target, 12)


@KINDS.register('availability')
class Availability:
    r"""Requests that are answered."""

    __slots__ = ()

    FORM = ('service', 'kind', 'target', 'window_days')


@KINDS.register('latency')
class Latency:
    r"""Requests that are answered within a threshold."""

    __slots__ = ()

    FORM = ('service', 'kind', 'target', 'under', 'threshold_ms',
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


@READERS.register('target')
def read_target(text):
    r"""Return ``Success(share)`` or ``Failure(allowed)``.

    Examples
    ========

    >>> read_target('99.9%').unwrap()
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

    >>> parse('registry-api latency 99% under 50ms 30d').unwrap().target
    0.99
    >>> parse('dispatch availability 100% 30d').failure()[:42]
    "found '100%', allowed: a share such as 99."

    Parameters
    ==========

    text : str
        Words separated by blanks.

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
    field_by_name = {'threshold_ms': None}
    for part, word in itertools.zip_longest(form, words):
        outcome = read_word(part, word)
        if not isinstance(outcome, result.Success):
            return outcome
        if part in READERS.entry_by_name:
            field_by_name[part] = outcome.unwrap()
    return result.Success(Objective(**field_by_name))


def read_word(part, word):
    r"""Read the word, or None at the end, that stands for a part of a form.

    Examples
    ========

    >>> read_word('under', 'over').failure()
    "found 'over', allowed: under"

    """
    read = READERS.entry_by_name.get(part, literal_reader(part))
    found = 'the end' if word is None else repr(word[:60])
    return read(word or '').alt(
        lambda allowed: 'found %s, allowed: %s' % (found, allowed))


def literal_reader(word):
    r"""Return a reader that admits one word only."""
    def read(text):
        return result.Success(text) if text == word else (
            result.Failure(word))
    return read


def parse_list(text):
    r"""Parse objectives, one a line; ``#`` starts a comment.

    Explanation
    ===========

    A service has at most one objective of a kind, because its samples are
    kept by service and kind.

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
    r"""Return the text that ``parse`` reads back.

    Examples
    ========

    >>> format_objective(Objective('certs', 'latency', 0.95, 200, 7))
    'certs latency 95% under 200ms 7d'

    """
    percent = (decimal.Decimal(repr(objective.target)) * 100).normalize()
    text_by_field = {
        'target': '%s%%' % format(percent, 'f'),
        'threshold_ms': value.format_duration(objective.threshold_ms or 0),
        'window_days': '%dd' % objective.window_days,
        'service': objective.service,
        'kind': objective.kind,
    }
    form = KINDS.find(objective.kind).unwrap().FORM
    return ' '.join(text_by_field.get(part, part) for part in form)
