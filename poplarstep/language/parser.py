r"""Parser of the operators' language.

Explanation
===========

The grammar is in ``grammar.lark``. ``PartialParse`` feeds a text to the LALR
parser. The parser's table gives the terminals that are allowed next, which
error messages and ``completion`` use. ``parse`` and ``parse_script`` never
raise; an invalid text gives a ``Failure``.

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
MAXIMUM_QUOTED_CHARACTERS = 60

WORD_PATTERN = re.compile(r'[^\s;#]+')

# Terminals that end a statement: the end of the text, or a separator.
END_TERMINALS = ('$END', '_SEPARATOR')

KEYWORD_BY_TERMINAL = {}


def match_whole_words(terminal):
    r"""Make a keyword match whole words only, and record the keyword.

    A keyword takes precedence over value terminals: some LALR states after a
    name accept both keywords and an address.
    """
    if isinstance(terminal.pattern, lexer.PatternStr):
        KEYWORD_BY_TERMINAL[terminal.name] = terminal.pattern.value
        terminal.pattern = lexer.PatternRE(
            re.escape(terminal.pattern.value) + r'(?![^\s;#])')
        terminal.priority = 1


GRAMMAR = lark.Lark.open(
    'grammar.lark', rel_to=__file__, start='script', parser='lalr',
    lexer='contextual', edit_terminals=match_whole_words)


class PartialParse:
    r"""State of the parser after the last accepted token.

    ``seen_terminals`` are the terminals of the current statement so far.
    """

    __slots__ = ('lark_parser', 'seen_terminals')

    def __init__(self, text):
        self.lark_parser = GRAMMAR.parse_interactive(text)
        self.seen_terminals = set()

    def feed(self):
        r"""Feed all tokens; raise ``lark.UnexpectedInput`` at an error."""
        for token in self.lark_parser.iter_parse():
            if token.type in END_TERMINALS:
                self.seen_terminals.clear()
            else:
                self.seen_terminals.add(token.type)

    def allowed_terminals(self):
        r"""Return the terminals that are allowed next.

        The grammar accepts a repeated clause, which ``build_statement``
        rejects; keywords that the statement already has are left out.
        """
        return self.lark_parser.accepts() - (
            self.seen_terminals & KEYWORD_BY_TERMINAL.keys())

    def allowed_keywords(self):
        r"""Return the keywords that are allowed next, sorted."""
        return sorted(
            KEYWORD_BY_TERMINAL[terminal]
            for terminal in self.allowed_terminals()
            if terminal in KEYWORD_BY_TERMINAL)


def describe_position(text, position):
    r"""Return ``line L, column C`` of an index; both count from 1.

    Examples
    ========

    >>> describe_position('show version;\nshow', 18)
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
    if len(word) > MAXIMUM_QUOTED_CHARACTERS:
        word = word[:MAXIMUM_QUOTED_CHARACTERS - 3] + '...'
    return repr(word)


def describe_allowed(partial_parse):
    r"""Return what is allowed next, as the end of an error message."""
    terminals = partial_parse.allowed_terminals()
    entries = partial_parse.allowed_keywords()
    entries.extend(sorted(
        value.KINDS.find(terminal).unwrap().ALLOWED for terminal in terminals
        if terminal in value.KINDS.entry_by_name
        and terminal not in KEYWORD_BY_TERMINAL))
    if terminals.intersection(END_TERMINALS) and partial_parse.seen_terminals:
        entries.append('the end of the statement')
    return ', '.join(entries)


def describe_error(text, partial_parse, error):
    r"""Return the message for a token that the grammar does not accept."""
    token = getattr(error, 'token', None)
    if token is not None and token.type == '$END':
        position, word, found = len(text), '', 'the end of the text'
    else:
        position = error.pos_in_stream
        match = WORD_PATTERN.match(text, position)
        word = match[0] if match else text[position]
        found = 'the end of the line' if word == '\n' else quote(word)
    message = '%s: found %s, allowed: %s' % (
        describe_position(text, position), found,
        describe_allowed(partial_parse))
    similar = difflib.get_close_matches(
        word[:MAXIMUM_QUOTED_CHARACTERS].lower(),
        partial_parse.allowed_keywords(), n=1)
    if similar:
        message += '; did you mean %r?' % similar[0]
    return message


def build_statement(text, tree):
    r"""Convert a tree; return ``Success(statement)`` or ``Failure``."""
    value_by_field = {}
    for clause in tree.children:
        first_token, value_token = clause.children[0], clause.children[-1]
        if clause.data in value_by_field:
            return result.Failure('%s: found %r again, allowed: once' % (
                describe_position(text, first_token.start_pos),
                str(first_token)))
        outcome = value.KINDS.find(value_token.type).unwrap().read(
            str(value_token))
        if not isinstance(outcome, result.Success):
            return result.Failure('%s: found %s, allowed: %s' % (
                describe_position(text, value_token.start_pos),
                quote(str(value_token)), outcome.failure()))
        value_by_field[str(clause.data)] = outcome.unwrap()
    statement_class = statement.STATEMENTS.find(str(tree.data)).unwrap()
    return result.Success(statement_class(**value_by_field))


def build_statements(text, trees):
    r"""Convert all trees, up to the first error.

    Returns ``Success(tuple of statements)`` or ``Failure(message)``.
    """
    statements = []
    for tree in trees:
        outcome = build_statement(text, tree)
        if not isinstance(outcome, result.Success):
            return outcome
        statements.append(outcome.unwrap())
    return result.Success(tuple(statements))


def parse_script(text):
    r"""Parse statements that are separated by newlines or semicolons.

    Examples
    ========

    >>> parse_script('show version; show nodes  # both').unwrap()
    (ShowVersion(), ShowNodes())
    >>> parse_script('show version\nshw nodes').failure()[:33]
    "line 2, column 1: found 'shw', al"

    Parameters
    ==========

    text : str
        Any text; ``#`` starts a comment that extends to the end of the line.

    Returns
    =======

    returns.result.Result
        Tuple of statements, or the message of the first error.
    """
    if not isinstance(text, str):
        return result.Failure(
            'statements are text, not %s' % type(text).__name__)
    partial_parse = PartialParse(text)
    try:
        partial_parse.feed()
        tree = partial_parse.lark_parser.feed_eof()
    except lark.UnexpectedInput as error:
        return result.Failure(describe_error(text, partial_parse, error))
    return build_statements(text, tree.children)


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
        lambda statements: require_one_statement(text, statements))


def require_one_statement(text, statements):
    r"""Return ``Success(statement)`` if there is exactly one."""
    if len(statements) == 1:
        return result.Success(statements[0])
    if statements:
        return result.Failure(
            'found %d statements, allowed: one statement' % len(statements))
    return result.Failure('%s: found the end of the text, allowed: %s' % (
        describe_position(text, len(text)),
        describe_allowed(PartialParse(''))))
