"""Tests that the operators' page covers the design page."""

import pathlib
import re

import pytest

from poplarstep.language import parser

DOCS = pathlib.Path(__file__).parents[3] / 'docs'
PAGE = (DOCS / 'OPERATIONS.md').read_text()
DESIGN = (DOCS / 'design.md').read_text()


def failure_names(text, title):
    r"""Return the first column of the table in a section of a page.

    The heading and the rule below it are left out.
    """
    section = text.split(title)[1].split('\n## ')[0]
    return [line.split(' | ')[0].strip('| ')
            for line in section.splitlines() if line.startswith('| ')][2:]


@pytest.mark.parametrize('failure', failure_names(
    DESIGN, '## 6. Failure modes and recovery'))
def test_each_failure_of_the_design_page_is_explained(failure):
    # The pages may word a failure differently after its first two words.
    start = ' '.join(failure.replace(',', '').split()[:2])
    assert any(item.startswith(start)
               for item in failure_names(PAGE, '## Failures')), failure


@pytest.mark.parametrize('text', sorted(set(re.findall(
    r'`(show [a-z -]+?)`', PAGE))))
def test_queries_on_the_page_are_statements(text):
    # A query that operators need in a failure must not be rejected.
    assert parser.parse(text.replace('NAME', 'x')).value_or(None), text
