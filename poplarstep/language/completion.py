r"""Completion of a statement that is being typed."""

import re

import lark

from poplarstep.language import parser

LAST_WORD_PATTERN = re.compile(r'[^\s;#]*$')


def complete(prefix):
    r"""Return the keywords that may stand at the end of a text, sorted.

    Explanation
    ===========

    The words come from the parser's table at the place of the last, maybe
    empty, word. Where a name, an address or a number is due, in a comment
    and after an error the list is empty.

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
    partial = LAST_WORD_PATTERN.search(prefix)[0]
    before = prefix[:len(prefix) - len(partial)]
    if '#' in before.rpartition('\n')[2]:
        return []
    progress = parser.Progress(before)
    try:
        progress.feed()
    except lark.UnexpectedInput:
        return []
    return [
        word for word in progress.allowed_words() if word.startswith(partial)]
