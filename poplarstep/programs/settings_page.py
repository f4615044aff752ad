r"""Generates the page docs/settings.md from the table of settings."""

from poplarstep.programs import settings

PAGE_HEADER = """# Settings

This page is generated: `poplarstepd settings-page > docs/settings.md`. A test
compares it with the table in poplarstep/programs/settings.py.

Every setting has a flag and an environment variable; the flag takes
precedence.
`poplarstepd check-settings` prints the settings that a process would use, or
all errors together, and then exits with 2. An unknown variable that starts
with `POPLARSTEP_` is an error. deployments/ holds a file of variables for each
role of both deployments.

Exit codes of `poplarstepd run`: 0 stopped without cutting a request, 2 invalid
settings, 3 cannot start, 4 stopped and cut requests, 5 a task of the process
failed.
"""
TEXT_BY_KIND = {
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
    return PAGE_HEADER + ''.join(
        _section(setting) for setting in settings.TABLE)


def _section(setting):
    return '\n'.join((
        '', '## `%s`' % setting.flag, '',
        '%s.' % (setting.help[0].upper() + setting.help[1:]), '',
        '| variable | value | default | roles |',
        '| --- | --- | --- | --- |',
        '| `%s` | %s | %s | %s |' % (
            setting.variable, _value(setting),
            _default(setting),
            ', '.join(setting.roles)),
        ''))


def _default(setting):
    if setting.default is None:
        return 'required'
    return '`%s`' % setting.default if setting.default else 'none'


def _value(setting):
    text = TEXT_BY_KIND[setting.kind]
    if setting.kind == 'word':
        return ', '.join('`%s`' % word for word in setting.allowed)
    if setting.kind == 'number':
        text += ', %d to %d %s' % (*setting.allowed, setting.unit)
    return text
