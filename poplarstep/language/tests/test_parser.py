"""Tests of the parser: accepted statements and error messages."""

import hypothesis
from hypothesis import strategies
import pytest
from returns import result

from poplarstep.core import address
from poplarstep.core import record
from poplarstep.language import parser
from poplarstep.language import statement
from poplarstep.language import value

ADDRESS = address.Address('10.0.0.1', 4000)

names = strategies.from_regex(
    r'[A-Za-z0-9][A-Za-z0-9./-]{0,20}', fullmatch=True) | (
        strategies.sampled_from(sorted(parser.KEYWORD_BY_TERMINAL.values())))
versions = strategies.integers(0, value.MAXIMUM_VERSION)
durations_ms = strategies.integers(0, value.MAXIMUM_DURATION_MS) | (
    strategies.integers(0, 24).map(lambda hours: hours * 3600000))

STRATEGY_BY_FIELD = {
    'name': names,
    'new_name': names,
    'service': names,
    'data_centre': names,
    'address': strategies.builds(
        address.Address,
        strategies.ip_addresses(v=4).map(str),
        strategies.integers(1, address.MAXIMUM_PORT)),
    'priority': strategies.integers(0, value.MAXIMUM_PRIORITY),
    'drain_deadline_ms': durations_ms,
    'timeout_ms': durations_ms,
    'version': versions,
    'since': versions,
    'based_on': versions,
    'state': strategies.sampled_from(['in', 'out']),
}


@strategies.composite
def statements(draw):
    """Draw any statement; an optional field may be None."""
    statement_class = draw(strategies.sampled_from(
        list(statement.STATEMENTS.entry_by_name.values())))
    defaults = getattr(statement_class.__init__, '__defaults__', None) or ()
    fields = record.field_names(statement_class)
    required = fields[:len(fields) - len(defaults)]
    value_by_field = {
        field: draw(
            STRATEGY_BY_FIELD[field] if field in required
            else strategies.none() | STRATEGY_BY_FIELD[field])
        for field in fields}
    # The grammar requires a setting in ``change service``.
    hypothesis.assume(statement_class is not statement.ChangeService or any(
        value_by_field[field] is not None
        for field in ('address', 'priority', 'drain_deadline_ms')))
    return statement_class(**value_by_field)


@hypothesis.given(statements())
def test_format_and_parse_are_inverse(generated):
    """Guards against a statement whose text parses to another statement."""
    text = statement.format_statement(generated)
    assert parser.parse(text) == result.Success(generated)


@hypothesis.given(strategies.lists(statements(), max_size=6))
def test_scripts_keep_every_statement(generated):
    """Guards against a script that loses or reorders statements."""
    text = '; # first; second\n'.join(
        map(statement.format_statement, generated))
    assert parser.parse_script(text) == result.Success(tuple(generated))


@hypothesis.given(strategies.text() | strategies.lists(
    strategies.sampled_from(
        sorted(parser.KEYWORD_BY_TERMINAL.values())
        + ['1', '30s', 'a', '1.1.1.1:1', '9' * 5000, ';', '\n', '#', '\x00']),
).map(' '.join))
def test_any_text_gives_a_result(text):
    """Guards against an exception in the HTTP handler of the language."""
    outcome = parser.parse(text)
    if isinstance(outcome, result.Failure):
        assert 'found' in outcome.failure()
        assert 'allowed: ' in outcome.failure()


@pytest.mark.parametrize('text, expected', [
    ('create service a priority 1',
     "line 1, column 18: found 'priority', allowed: address"),
    ('create service a\naddress 10.0.0.1:4000',
     'line 1, column 17: found the end of the line, allowed: address'),
    ('show version\n  shw nodes', "line 2, column 3: found 'shw'"),
    ('drian target a', "did you mean 'drain'?"),
    ('Show version', "did you mean 'show'?"),
    ('show version;\nshow',
     'line 2, column 5: found the end of the text, allowed: burn, changes'),
    ('createservice a', "line 1, column 1: found 'createservice'"),
    ('change service a', 'allowed: address, drain-deadline, priority'),
    ('change service a based-on 3', "column 18: found 'based-on'"),
    ('change service a priority 1 priority 2',
     "line 1, column 29: found 'priority' again, allowed: once"),
    ('show targets service a service b', "found 'service' again"),
    ('show version version',
     "line 1, column 14: found 'version', allowed: the end of the statement"),
    ('change service a priority 10', 'allowed: a priority 0-9'),
    ('change service a priority -1', 'allowed: a priority 0-9'),
    ('change service a priority \u0663', 'allowed: a priority 0-9'),
    ('change service a address 10.0.0.1:0', 'a port 1-65535'),
    ('change service a address 10.0.0.1:65536', 'a port 1-65535'),
    ('change service a address 10.0.0.256:1', 'an IPv4 address'),
    ('add control a ::1', 'an IPv4 address'),
    ('add control a 10.0.0.1:' + '9' * 5000, 'a port 1-65535'),
    ('wait version 1 for 25h', 'up to 24h'),
    ('wait version 1 for 30', 'allowed: a duration such as'),
    ('wait version 1 for 1.5h', 'allowed: a duration such as'),
    ('wait version 9223372036854775808',
     'line 1, column 14: found \'9223372036854775808\', allowed: a version'),
    ('drain target a_b', 'allowed: a name of letters'),
    ('drain target -a', 'allowed: a name of letters'),
    ('drain target ' + 'a' * 129, 'at most 128 characters'),
    ('take data-centre gs-a down', 'allowed: in, out'),
    ('show\u00a0version', "line 1, column 5: found '\\xa0'"),
    ('show version; show nodes', 'found 2 statements'),
    ('# only a comment', 'found the end of the text, allowed: add, change'),
    (b'show version', 'statements are text, not bytes'),
])
def test_errors_name_position_found_and_allowed(text, expected):
    """Guards against a message that does not say how to fix the error."""
    assert expected in parser.parse(text).failure()


@pytest.mark.parametrize('text, expected', [
    ('  show\tversion  # why\r\n\n', statement.ShowVersion()),
    ('take data-centre in out', statement.TakeDataCentre('in', 'out')),
    ('replace control by by by 10.0.0.1:4000',
     statement.ReplaceControl('by', 'by', ADDRESS)),
    ('change service address drain-deadline 0s address 10.0.0.1:4000',
     statement.ChangeService('address', ADDRESS, None, 0)),
    ('show targets data-centre gs-a service certs',
     statement.ShowTargets('certs', 'gs-a')),
    ('wait version 7 for 24h', statement.WaitVersion(7, 86400000)),
    ('drain target gs-a-3/0#now', statement.DrainTarget('gs-a-3/0')),
])
def test_accepted_forms(text, expected):
    """Guards against keywords that are no names, and a fixed clause order."""
    assert parser.parse(text) == result.Success(expected)


def test_grammar_and_registry_agree():
    """Guards against a grammar rule without a statement class."""
    rules = {
        str(rule.origin.name) for rule in parser.GRAMMAR.rules
        if any(symbol.name in parser.KEYWORD_BY_TERMINAL
               for symbol in rule.expansion)
        and rule.origin.name not in STRATEGY_BY_FIELD}
    assert rules == set(statement.STATEMENTS.names())


@pytest.mark.parametrize('parsed, command', [
    (statement.TakeDataCentre('gs-a', 'out'), True),
    (statement.AddControl('gs-a-1', ADDRESS), True),
    (statement.WaitVersion(3), False),
    (statement.ShowWhy('gs-a-1/0'), False),
])
def test_is_command(parsed, command):
    """Guards against a query that enters the replicated log."""
    assert statement.is_command(parsed) is command
