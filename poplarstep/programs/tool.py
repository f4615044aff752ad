r"""``poplarstep``: the operators' query and command tool."""

import json
import readline
import time
import uuid

import click
import requests
from returns import result
import tabulate

from poplarstep.configuration import command
from poplarstep.core import address
from poplarstep.language import completion
from poplarstep.language import parser
from poplarstep.language import statement as statements
from poplarstep.programs import answer as answers
from poplarstep.programs import survey

ATTEMPT_TIMEOUT_S = 6
PROBE_TIMEOUT_S = 0.5
PAUSE_S = 0.1
EXIT_CODES = """
\b
Exit codes:
  0  the commands were applied, the queries answered
  1  a command was refused; it changed nothing
  2  usage: a wrong flag or statement
  3  unknown outcome; resend it with the printed --client and --sequence
  4  no control host, or none of the nodes, could be reached
"""


class Session:
    r"""Identity of one run of the tool and the control hosts it asks."""

    __slots__ = (
        'controls', 'client', 'sequence', 'timeout_s', 'nodes', 'history',
        'objectives')

    def __init__(self, controls, client, sequence, timeout_s):
        self.controls = controls
        self.client = client
        self.sequence = sequence
        self.timeout_s = timeout_s
        self.nodes = ()
        self.history = None
        self.objectives = None


def make_session(controls, timeout_s, client=None, sequence=1):
    r"""Return a session; its first command has the given sequence.

    The client and sequence of a command with unknown outcome make a resend
    of it: it is applied once at most.
    """
    return Session(
        tuple(controls), client or uuid.uuid4().hex, sequence, timeout_s)


def run_statement(session, statement):
    r"""Run one statement and return its ``Answer``."""
    if statements.is_command(statement):
        return _run_command(session, statement)
    local = survey.SURVEYS.entry_by_name.get(type(statement))
    if local is not None:
        return local(session, statement)
    if isinstance(statement, statements.WaitVersion):
        return _wait_version(session, statement)
    return _run_query(session, statement)


def _run_command(session, statement):
    r"""Send a command until a leader has decided it.

    Every attempt carries the same identity, so the command is applied at
    most once however many attempts reach a leader.
    """
    sequence = session.sequence
    session.sequence += 1
    body = json.dumps({
        'client': session.client,
        'sequence': sequence,
        'text': statements.format_statement(statement),
    })
    return _decide(session, '/command', body, sequence)


def run_configuration(session, document):
    r"""Replace the whole configuration and return its ``Answer``.

    Parameters
    ==========

    document : bytes
        JSON, see ``operator_interface.ConfigurationBody``. Its revision
        makes a resend harmless.
    """
    return _decide(session, '/configuration', document, session.sequence)


def _decide(session, path, body, sequence):
    r"""Send a command to the control hosts until one has decided it."""
    seen = set()
    for reply in _attempts(session, path, body):
        if reply is None:
            continue
        if reply.get('error'):
            return answers.failure(answers.EXIT_USAGE, reply['error'])
        if reply['status'] == command.APPLIED:
            return _outcome(0, reply)
        if reply['status'] == command.REFUSED:
            return _outcome(answers.EXIT_REFUSED, reply)
        seen.add(reply['status'])
        if reply.get('reason') not in command.TRANSIENT_REASONS and (
                command.UNKNOWN not in seen):
            # The leader refuses, and no other copy can be in a log.
            return _outcome(answers.EXIT_REFUSED, {
                **reply, 'status': command.REFUSED})
    if not seen:
        return _unreachable()
    return _undecided(session, sequence, seen)


def _undecided(session, sequence, seen):
    r"""Return the outcome of a command that no state machine decided.

    It certainly did not run only if no copy can be in a log.
    """
    if seen == {command.NOT_TAKEN}:
        return _outcome(answers.EXIT_REFUSED, {
            'status': command.REFUSED, 'version': None,
            'reason': 'no control host could take the command'})
    return _outcome(answers.EXIT_UNKNOWN, {
        'status': command.UNKNOWN, 'version': None,
        'client': session.client, 'sequence': sequence,
        'reason': 'no control host decided the command in time; resend it '
        'with --client %s --sequence %d' % (session.client, sequence)})


def _run_query(session, statement):
    body = json.dumps({'text': statements.format_statement(statement)})
    best = None
    for reply in _attempts(session, '/query', body):
        if reply is None:
            continue
        if reply.get('error'):
            return answers.failure(answers.EXIT_USAGE, reply['error'])
        best = reply
        if reply['current']:
            break
    if best is None:
        return _unreachable()
    code = 0 if best['current'] else answers.EXIT_UNKNOWN
    return answers.Answer(code, best['columns'], best['rows'], best)


def _wait_version(session, statement):
    deadline = time.monotonic() + (
        (statement.timeout_ms or 10_000) / 1000)
    while True:
        answer = _run_query(session, statements.ShowNodes())
        behind = [
            row for row in answer.rows if row[2] < statement.version]
        if answer.code == 0 and not behind:
            return answers.Answer(0, ('version', 'nodes'), [
                (statement.version, len(answer.rows))], answer.value)
        if time.monotonic() > deadline:
            return answers.Answer(
                answers.EXIT_UNKNOWN, answer.columns, behind, answer.value)
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
    r"""Return a control host's reply, or None if it can't be reached.

    A command that was sent and got no reply counts as unknown.
    """
    try:
        # A paused or cut-off host accepts connections and never answers;
        # the probe keeps it from taking the time of the others.
        requests.get('http://%s/healthz' % control, timeout=PROBE_TIMEOUT_S)
    except requests.RequestException:
        return None
    try:
        return requests.post(
            'http://%s%s' % (control, path), data=body,
            timeout=ATTEMPT_TIMEOUT_S).json()
    except (requests.RequestException, ValueError):
        if path != '/query':
            return {'status': command.UNKNOWN}
        return None


def _outcome(code, reply):
    return answers.Answer(
        code, ('status', 'version', 'reason'),
        [(reply['status'], reply['version'], reply['reason'])], reply)


def _unreachable():
    return answers.failure(
        answers.EXIT_UNREACHABLE, 'no control host answered')


def show(answer, output):
    r"""Print an answer as a table or as JSON."""
    if output == 'json':
        click.echo(json.dumps(answer.value))
    else:
        click.echo(tabulate.tabulate(answer.rows, headers=answer.columns))


def _controls(context, parameter, text):
    parsed = [address.parse(item) for item in text.split(',') if item]
    for item in parsed:
        if isinstance(item, result.Failure):
            raise click.BadParameter(item.failure())
    return [item.unwrap() for item in parsed]


def _complete(context, parameter, incomplete):
    r"""Return what may follow the words of a command line."""
    words = list(context.params.get('words') or ()) + [incomplete]
    return completion.complete(' '.join(words))


@click.command(epilog=EXIT_CODES)
@click.option(
    '--control', envvar='POPLARSTEP_CONTROL', required=True,
    callback=_controls, help='HTTP addresses of the control hosts')
@click.option(
    '--nodes', envvar='POPLARSTEP_NODES', default='', callback=_controls,
    help='HTTP addresses of balancers and agents, for show flows and show '
    'refusals')
@click.option('--history', envvar='POPLARSTEP_HISTORY',
              help='file that poplarstep-burn collect writes, for show burn')
@click.option('--objectives', envvar='POPLARSTEP_OBJECTIVES',
              help='file with one objective a line, for show burn')
@click.option('--output', type=click.Choice(['table', 'json']),
              default='table')
@click.option('--timeout', default=10.0, help='seconds for one statement')
@click.option('--client', help='identity of an earlier run, for a resend')
@click.option('--sequence', type=click.IntRange(0, 2**63 - 1), default=1,
              help='sequence of the first command')
@click.option('--file', 'script', type=click.File('r'),
              help='run the statements of a file')
@click.option('--configure', type=click.File('rb'),
              help='replace all routes and services by those of a JSON file')
@click.argument('words', nargs=-1, shell_complete=_complete)
def main(control, nodes, history, objectives, output, timeout, client,
         sequence, script, configure, words):
    r"""Run statements of the operators' language.

    Without statements it reads them from the terminal, with completion by
    the tab key. For completion in the shell: eval
    "$(_POPLARSTEP_COMPLETE=bash_source poplarstep)".

    \b
    poplarstep show targets
    poplarstep take data-centre maadi out
    poplarstep --file changes.txt
    """
    session = make_session(control, timeout, client, sequence)
    session.nodes = nodes
    session.history = history
    session.objectives = objectives
    if configure is not None:
        answer = run_configuration(session, configure.read())
        show(answer, output)
        raise SystemExit(answer.code)
    if script is not None:
        raise SystemExit(_run_text(session, script.read(), output))
    if words:
        raise SystemExit(_run_text(session, ' '.join(words), output))
    _interactive(session, output)


def _run_text(session, text, output):
    parsed = parser.parse_script(text)
    if isinstance(parsed, result.Failure):
        click.echo(parsed.failure(), err=True)
        return answers.EXIT_USAGE
    for statement in parsed.unwrap():
        answer = run_statement(session, statement)
        show(answer, output)
        if answer.code:
            return answer.code
    return 0


def _interactive(session, output):
    r"""Read statements from the terminal until its end."""
    readline.set_completer_delims(' \t\n;')
    readline.set_completer(complete_line)
    readline.parse_and_bind('tab: complete')
    while True:
        try:
            text = input('poplarstep> ')
        except EOFError:
            return
        except KeyboardInterrupt:
            click.echo()
            continue
        _run_text(session, text, output)


def complete_line(text, index):
    r"""Return completion number ``index`` of the line being typed."""
    found = completion.complete(
        readline.get_line_buffer()[:readline.get_endidx()])
    return found[index] + ' ' if index < len(found) else None


if __name__ == '__main__':
    main()
