r"""Parser of the operators' language.

Explanation
===========

The grammar is in ``grammar.lark``. ``script_state`` feeds a text to the
LALR parser; the errors and ``completion`` take what is allowed at a place
from the parser's table. No function raises for any text.

References
==========

docs/language.md describes the statements.
"""

import difflib
import re

import lark
from lark import lexer
from returns import result

from poplarstep.language import statement
from poplarstep.language import value

# Longer words are shortened in error messages.
MAXIMUM_QUOTED_LENGTH = 60

WORD_PATTERN = re.compile(r'[^\s;#]+')

SEPARATORS = ('$END', '_SEPARATOR')

WORD_BY_TERMINAL = {}


def end_keyword_at_word_end(terminal):
    r"""Let a keyword match only a whole word, and note the keyword.

    After a name the merged LALR state accepts keywords and an address, and
    the keyword takes precedence.
    """
    if isinstance(terminal.pattern, lexer.PatternStr):
        WORD_BY_TERMINAL[terminal.name] = terminal.pattern.value
        terminal.pattern = lexer.PatternRE(
            re.escape(terminal.pattern.value) + r'(?![^\s;#])')
        terminal.priority = 1


GRAMMAR = lark.Lark.open(
    'grammar.lark', rel_to=__file__, start='script', parser='lalr',
    lexer='contextual', edit_terminals=end_keyword_at_word_end)


class Progress:
    r"""State of the parser after the last token that it accepted.

    ``seen`` holds the terminals of the current statement.
    """

    __slots__ = ('interactive', 'seen')

    def __init__(self, text):
        self.interactive = GRAMMAR.parse_interactive(text)
        self.seen = set()

    def feed(self):
        r"""Read all tokens; raise ``lark.UnexpectedInput`` at a bad one."""
        for token in self.interactive.iter_parse():
            if token.type in SEPARATORS:
                self.seen.clear()
            else:
                self.seen.add(token.type)

    def allowed(self):
        r"""Return the terminals that may follow.

        No statement holds a keyword twice, so those seen are left out.
        """
        return self.interactive.accepts() - (
            self.seen & WORD_BY_TERMINAL.keys())

    def allowed_words(self):
        r"""Return the keywords that may follow, sorted."""
        return sorted(
            WORD_BY_TERMINAL[terminal] for terminal in self.allowed()
            if terminal in WORD_BY_TERMINAL)


def place(text, position):
    r"""Return ``line L, column C`` of a position; both count from 1.

    Examples
    ========

    >>> place('show version;\nshow', 18)
    'line 2, column 5'

    """
    line_start = text.rfind('\n', 0, position) + 1
    return 'line %d, column %d' % (
        text.count('\n', 0, position) + 1, position - line_start + 1)


def quote(word):
    r"""Return a word in quotes, shortened when it is long.

    Examples
    ========

    >>> quote('x' * 80) == repr('x' * 57 + '...')
    True

    """
    if len(word) > MAXIMUM_QUOTED_LENGTH:
        word = word[:MAXIMUM_QUOTED_LENGTH - 3] + '...'
    return repr(word)


def describe_allowed(progress):
    r"""Return what may follow, as the end of an error message."""
    allowed = progress.allowed()
    entries = progress.allowed_words()
    entries.extend(sorted(
        value.KINDS.find(terminal).unwrap().ALLOWED for terminal in allowed
        if terminal in value.KINDS.entry_by_name
        and terminal not in WORD_BY_TERMINAL))
    if allowed.intersection(SEPARATORS) and progress.seen:
        entries.append('the end of the statement')
    return ', '.join(entries)


def describe_error(text, progress, error):
    r"""Return the message for a token that the grammar does not allow."""
    token = getattr(error, 'token', None)
    if token is not None and token.type == '$END':
        position, word, found = len(text), '', 'the end of the text'
    else:
        position = error.pos_in_stream
        match = WORD_PATTERN.match(text, position)
        word = match[0] if match else text[position]
        found = 'the end of the line' if word == '\n' else quote(word)
    message = '%s: found %s, allowed: %s' % (
        place(text, position), found, describe_allowed(progress))
    near = difflib.get_close_matches(
        word[:MAXIMUM_QUOTED_LENGTH].lower(), progress.allowed_words(), n=1)
    if near:
        message += '; did you mean %r?' % near[0]
    return message


def build(text, tree):
    r"""Return ``Success(statement)`` of a statement's tree."""
    value_by_field = {}
    for part in tree.children:
        first, last = part.children[0], part.children[-1]
        if part.data in value_by_field:
            return result.Failure('%s: found %r again, allowed: once' % (
                place(text, first.start_pos), str(first)))
        outcome = value.KINDS.find(last.type).unwrap().read(str(last))
        if not isinstance(outcome, result.Success):
            return result.Failure('%s: found %s, allowed: %s' % (
                place(text, last.start_pos), quote(str(last)),
                outcome.failure()))
        value_by_field[str(part.data)] = outcome.unwrap()
    statement_class = statement.STATEMENTS.find(str(tree.data)).unwrap()
    return result.Success(statement_class(**value_by_field))


def build_all(text, trees):
    r"""Return ``Success`` of a tuple of statements, or the first error."""
    statements = []
    for tree in trees:
        outcome = build(text, tree)
        if not isinstance(outcome, result.Success):
            return outcome
        statements.append(outcome.unwrap())
    return result.Success(tuple(statements))


def parse_script(text):
    r"""Parse statements that are separated by line ends or semicolons.

    Examples
    ========

    >>> parse_script('show version; show nodes  # both').unwrap()
    (ShowVersion(), ShowNodes())
    >>> parse_script('show version\nshw nodes').failure()[:33]
    "line 2, column 1: found 'shw', al"

    Parameters
    ==========

    text : str
        Any text; ``#`` starts a comment that ends with the line.

    Returns
    =======

    returns.result.Result
        Tuple of statements, or the message of the first error.
    """
    if not isinstance(text, str):
        return result.Failure(
            'statements are text, not %s' % type(text).__name__)
    progress = Progress(text)
    try:
        progress.feed()
        tree = progress.interactive.feed_eof()
    except lark.UnexpectedInput as error:
        return result.Failure(describe_error(text, progress, error))
    return build_all(text, tree.children)


def parse(text):
    r"""Parse exactly one statement.

    Examples
    ========

    >>> parse('drain target gs-a-3/0 based-on 12').unwrap()
    DrainTarget(name='gs-a-3/0', based_on=12)
    >>> parse('show version; show nodes').failure()
    'found 2 statements, allowed: one statement'

    Parameters
    ==========

    text : str
        Any text; blank lines and comments around the statement are allowed.

    Returns
    =======

    returns.result.Result
        A statement, or a message with line, column, what was found and
        what is allowed.

    See Also
    ========

    parse_script
    poplarstep.language.statement.format_statement

    """
    return parse_script(text).bind(
        lambda statements: only_one(text, statements))


def only_one(text, statements):
    r"""Return ``Success`` of the one statement in a script, or a message."""
    if len(statements) == 1:
        return result.Success(statements[0])
    if statements:
        return result.Failure(
            'found %d statements, allowed: one statement' % len(statements))
    return result.Failure('%s: found the end of the text, allowed: %s' % (
        place(text, len(text)), describe_allowed(Progress(''))))
