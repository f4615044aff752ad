"""Tests of docs/language.md against the parser."""

import pathlib
import re

import pytest

from poplarstep.language import parser
from poplarstep.language import statement

PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'language.md'
EXAMPLES = [
    line
    for block in re.findall(
        r'^```poplarstep\n(.*?)^```', PAGE.read_text(), re.M | re.S)
    for line in block.splitlines()]


@pytest.mark.parametrize('example', EXAMPLES)
def test_examples_parse(example):
    """Guards against an example that the parser rejects."""
    assert parser.parse_script(example).unwrap()


def test_every_statement_has_an_example():
    """Guards against a statement that the page does not show."""
    documented = {
        type(parsed) for example in EXAMPLES
        for parsed in parser.parse_script(example).unwrap()}
    assert documented == set(statement.STATEMENTS.entry_by_name.values())


def test_error_message_is_current():
    """Guards against an error text on the page that is out of date."""
    outcome = parser.parse('show targets sevice a')
    assert '\n%s\n' % outcome.failure() in PAGE.read_text()
