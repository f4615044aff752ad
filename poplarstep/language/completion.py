r"""Keyword completion for the operators' language."""

import re

import lark

from poplarstep.language import parser

LAST_WORD_PATTERN = re.compile(r'[^\s;#]*$')


def complete(prefix):
    r"""Return the keywords that can complete the last word, sorted.

    Explanation
    ===========

    The last word is empty after a blank or a separator. The list is empty in
    a comment, after a syntax error, and where the grammar expects a name, an
    address or a number.

    Examples
    ========

    >>> complete('take data-centre gs-a ')
    ['in', 'out']
    >>> complete('show version; d')
    ['drain']
    >>> complete('show dat')
    ['data-centres']
    >>> complete('drain target ')
    []

    Parameters
    ==========

    prefix : str
        The text before the cursor.
    """
    last_word = LAST_WORD_PATTERN.search(prefix)[0]
    preceding = prefix[:len(prefix) - len(last_word)]
    if '#' in preceding.rpartition('\n')[2]:
        return []
    partial_parse = parser.PartialParse(preceding)
    try:
        partial_parse.feed()
    except lark.UnexpectedInput:
        return []
    return [
        keyword for keyword in partial_parse.allowed_keywords()
        if keyword.startswith(last_word)]
