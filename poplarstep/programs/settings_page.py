r"""The page of all settings, generated from their table."""

from poplarstep.programs import settings

HEAD = """# Settings

This page is generated: `poplarstepd settings-page > docs/settings.md`. A test
compares it with the table in poplarstep/programs/settings.py.

Every setting has a flag and an environment variable; the flag goes first.
`poplarstepd check-settings` prints what a process would run with, or all
faults together, and exits with 2. An unknown variable that starts with
`POPLARSTEP_` is a fault. deployments/ holds a file of variables for each role
of both deployments.

Exit codes of `poplarstepd run`: 0 stopped and no request cut, 2 wrong
settings, 3 cannot start, 4 stopped and requests cut, 5 a part of the process
failed.
"""
KIND_TEXTS = {
    'word': 'one of the words', 'name': 'name of 1 to 100 letters, digits, '
    '`.`, `-`, `/`', 'number': 'whole number', 'decimal': 'number',
    'address': '`IP:PORT`', 'optional address': '`IP:PORT` or nothing',
    'addresses': '`IP:PORT`, comma separated',
    'keys': 'keys of 16 to 64 bytes, comma separated',
    'seeds': '`NAME=IP:PORT`, comma separated',
    'text': 'text'}


def render():
    r"""Return the page as Markdown.

    Examples
    ========

    >>> render().splitlines()[0]
    '# Settings'

    """
    return HEAD + ''.join(_section(item) for item in settings.TABLE)


def _section(item):
    return '\n'.join((
        '', '## `%s`' % item.flag, '',
        '%s.' % (item.help[0].upper() + item.help[1:]), '',
        '| variable | value | default | roles |',
        '| --- | --- | --- | --- |',
        '| `%s` | %s | %s | %s |' % (
            item.variable, _value(item),
            _default(item),
            ', '.join(item.roles)),
        ''))


def _default(item):
    if item.default is None:
        return 'required'
    return '`%s`' % item.default if item.default else 'none'


def _value(item):
    text = KIND_TEXTS[item.kind]
    if item.kind == 'word':
        return ', '.join('`%s`' % word for word in item.allowed)
    if item.kind == 'number':
        text += ', %d to %d %s' % (*item.allowed, item.unit)
    return text
