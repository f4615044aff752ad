r"""``poplarstep``: the operators' query and command tool."""

import json
import os
import time
import uuid

import click
import requests
from returns import result
import tabulate

from poplarstep.core import address
from poplarstep.language import parser
from poplarstep.language import statement as statements

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
EXIT_UNREACHABLE = 4
ATTEMPT_TIMEOUT_S = 6
PAUSE_S = 0.1


class Answer:
    r"""Exit code, and what is printed as a table or as JSON."""

    __slots__ = ('code', 'columns', 'rows', 'value')

    def __init__(self, code, columns, rows, value):
        self.code = code
        self.columns = columns
        self.rows = rows
        self.value = value


class Session:
    r"""Identity of one run of the tool and the control hosts it asks."""

    __slots__ = ('controls', 'client', 'sequence', 'timeout_s')

    def __init__(self, controls, client, timeout_s):
        self.controls = controls
        self.client = client
        self.sequence = 0
        self.timeout_s = timeout_s


def make_session(controls, timeout_s, client=None):
    r"""Return a session; a given client name allows a resend later."""
    return Session(
        tuple(controls), client or uuid.uuid4().hex, timeout_s)


def run_statement(session, statement):
    r"""Run one statement and return its ``Answer``."""
    if statements.is_command(statement):
        return _run_command(session, statement)
    if isinstance(statement, statements.WaitVersion):
        return _wait_version(session, statement)
    return _run_query(session, statement)


def _run_command(session, statement):
    r"""Send a command until a leader has decided it.

    Every attempt carries the same identity, so the command is applied at
    most once however many attempts reach a leader.
    """
    session.sequence += 1
    body = {
        'client': session.client,
        'sequence': session.sequence,
        'text': statements.format_statement(statement),
    }
    sent = False
    for reply in _attempts(session, '/command', body):
        if reply is None:
            continue
        sent = True
        if reply.get('error'):
            return Answer(EXIT_USAGE, ('error',), [(reply['error'],)], reply)
        if reply['status'] == 'applied':
            return _outcome(0, reply)
        if reply['status'] == 'refused' and reply['reason'] != 'not-leader':
            return _outcome(EXIT_REFUSED, reply)
    if not sent:
        return _unreachable()
    return _outcome(EXIT_UNKNOWN, {
        'status': 'unknown', 'version': None, 'client': session.client,
        'reason': 'no control host decided the command in time'})


def _run_query(session, statement):
    body = {'text': statements.format_statement(statement)}
    best = None
    for reply in _attempts(session, '/query', body):
        if reply is None:
            continue
        if reply.get('error'):
            return Answer(EXIT_USAGE, ('error',), [(reply['error'],)], reply)
        best = reply
        if reply['current']:
            break
    if best is None:
        return _unreachable()
    code = 0 if best['current'] else EXIT_UNKNOWN
    return Answer(code, best['columns'], best['rows'], best)


def _wait_version(session, statement):
    deadline = time.monotonic() + (
        (statement.timeout_ms or 10_000) / 1000)
    while True:
        answer = _run_query(session, statements.ShowNodes())
        behind = [
            row for row in answer.rows if row[2] < statement.version]
        if answer.code == 0 and not behind:
            return Answer(0, ('version', 'nodes'), [
                (statement.version, len(answer.rows))], answer.value)
        if time.monotonic() > deadline:
            return Answer(
                EXIT_UNKNOWN, answer.columns, behind, answer.value)
        time.sleep(PAUSE_S)


def _attempts(session, path, body):
    r"""Yield the control hosts' replies, or None, until the timeout."""
    deadline = time.monotonic() + session.timeout_s
    while True:
        for control in session.controls:
            yield _post(control, path, body)
            if time.monotonic() > deadline:
                return
        time.sleep(PAUSE_S)


def _post(control, path, body):
    try:
        reply = requests.post(
            'http://%s%s' % (control, path), json=body,
            timeout=ATTEMPT_TIMEOUT_S)
        return reply.json()
    except (requests.RequestException, ValueError):
        return None


def _outcome(code, reply):
    return Answer(
        code, ('status', 'version', 'reason'),
        [(reply['status'], reply['version'], reply['reason'])], reply)


def _unreachable():
    text = 'no control host answered'
    return Answer(EXIT_UNREACHABLE, ('error',), [(text,)], {'error': text})


def show(answer, output):
    r"""Print an answer as a table or as JSON."""
    if output == 'json':
        click.echo(json.dumps(answer.value))
    else:
        click.echo(tabulate.tabulate(answer.rows, headers=answer.columns))


def _controls(context, parameter, text):
    parsed = [address.parse(item) for item in text.split(',')]
    for item in parsed:
        if isinstance(item, result.Failure):
            raise click.BadParameter(item.failure())
    return [item.unwrap() for item in parsed]


@click.command()
@click.option(
    '--control', envvar='POPLARSTEP_CONTROL', required=True,
    callback=_controls, help='HTTP addresses of the control hosts')
@click.option('--output', type=click.Choice(['table', 'json']),
              default='table')
@click.option('--timeout', default=10.0, help='seconds for one statement')
@click.option('--client', help='identity of an earlier run, for a resend')
@click.option('--file', 'script', type=click.File('r'),
              help='run the statements of a file')
@click.argument('words', nargs=-1)
def main(control, output, timeout, client, script, words):
    r"""Run statements of the operators' language.

    \b
    poplarstep show targets
    poplarstep take data-centre maadi out
    poplarstep --file changes.txt
    """
    session = make_session(control, timeout, client)
    if script is not None:
        raise SystemExit(_run_text(session, script.read(), output))
    if words:
        raise SystemExit(_run_text(session, ' '.join(words), output))
    _interactive(session, output)


def _run_text(session, text, output):
    parsed = parser.parse_script(text)
    if isinstance(parsed, result.Failure):
        click.echo(parsed.failure(), err=True)
        return EXIT_USAGE
    for statement in parsed.unwrap():
        answer = run_statement(session, statement)
        show(answer, output)
        if answer.code:
            return answer.code
    return 0


def _interactive(session, output):
    r"""Read statements from the terminal until its end."""
    while True:
        try:
            text = input('poplarstep> ')
        except EOFError:
            return
        _run_text(session, text, output)


if __name__ == '__main__':
    os.environ.setdefault('PYTHONUNBUFFERED', '1')
    main()
