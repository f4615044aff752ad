"""Tests of keyword completion."""

import hypothesis
from hypothesis import strategies
import pytest
from returns import result

from poplarstep.language import completion
from poplarstep.language import parser
from poplarstep.language import statement


@pytest.mark.parametrize('prefix, words', [
    ('', ['add', 'change', 'create', 'drain', 'promote', 'remove',
          'replace', 'show', 'take', 'undrain', 'wait']),
    ('show version\nre', ['remove', 'replace']),
    ('create service ser', []),
    ('create service a ', ['address']),
    ('change service a priority 1 ',
     ['address', 'based-on', 'drain-deadline']),
    ('change service priority p', ['priority']),
    ('show targets service a ', ['data-centre']),
    ('show targets service a; show targets ', ['data-centre', 'service']),
    ('replace control a ', ['by']),
    ('show nodes ', []),
    ('show # comment ', []),
    ('shw ', []),
])
def test_words(prefix, words):
    """Guards against keywords that are missing or not allowed."""
    assert completion.complete(prefix) == words


@pytest.mark.parametrize('name', statement.STATEMENTS.names())
def test_every_keyword_of_a_statement_is_offered(name):
    """Guards against a keyword that completion never offers."""
    statement_class = statement.STATEMENTS.find(name).unwrap()
    text = ' '.join(statement_class.CLAUSES)
    value_by_field = {
        'address': '10.0.0.1:4000', 'state': 'in', 'priority': 1,
        'drain_deadline_ms': '1s', 'timeout_ms': '1s', 'based_on': 1,
        'since': 1, 'version': 1}
    words = text.split()
    for position, word in enumerate(words):
        if word.startswith('{'):
            continue
        prefix = ''.join(
            str(value_by_field.get(earlier[1:-1], 'a')) + ' '
            if earlier.startswith('{') else earlier + ' '
            for earlier in words[:position])
        assert word in completion.complete(prefix)


@hypothesis.given(strategies.lists(strategies.sampled_from(
    sorted(parser.KEYWORD_BY_TERMINAL.values()) + ['a', '1', ';'])))
def test_completion_never_leads_into_an_error(words):
    """Guards against an offered keyword that the parser rejects."""
    prefix = ''.join(word + ' ' for word in words)
    for word in completion.complete(prefix):
        outcome = parser.parse_script(prefix + word)
        if isinstance(outcome, result.Failure):
            assert 'found %r' % word not in outcome.failure()
