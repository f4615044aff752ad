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
from poplarstep.programs import explain
from poplarstep.programs import survey

ATTEMPT_TIMEOUT_S = 6
PROBE_TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.1
# Index of the column of ``show nodes`` with the configuration version.
VERSION_COLUMN = 2
EXIT_CODES = """
\b
Exit codes:
  0  the commands were applied, the queries answered
  1  a command was refused; it changed nothing
  2  usage: a wrong flag or statement
  3  unknown outcome: resend the command with the printed --client and
     --sequence; or the answer to a query may be out of date, or the
     wait timed out
  4  no control host, or none of the nodes, could be reached
"""


class Session:
    r"""One run of the tool.

    ``client`` identifies the run, ``sequence`` its next command.
    ``controls`` and ``nodes`` hold HTTP addresses, ``history`` and
    ``objectives`` paths of files.
    """

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


def make_session(controls, timeout_s, client=None, sequence=1) -> Session:
    r"""Return a session; its first command has the given sequence.

    With the client and sequence of an earlier command whose outcome is
    unknown, the command is a resend and is applied at most once.
    """
    return Session(
        tuple(controls), client or uuid.uuid4().hex, sequence, timeout_s)


def run_statement(session, statement):
    r"""Run one statement and return its ``Answer``."""
    if statements.is_command(statement):
        return _run_command(session, statement)
    survey_query = survey.QUERIES.entry_by_name.get(type(statement))
    if survey_query is not None:
        return survey_query(session, statement)
    if isinstance(statement, statements.WaitVersion):
        return _wait_version(session, statement)
    return _run_query(session, statement)


def _run_command(session, statement):
    r"""Send a command until its outcome is known.

    Every attempt carries the same client and sequence, so the command is
    applied at most once however many attempts reach a leader.
    """
    sequence = session.sequence
    session.sequence += 1
    body = json.dumps({
        'client': session.client,
        'sequence': sequence,
        'text': statements.format_statement(statement),
    })
    return _submit(session, '/command', body, sequence)


def run_configuration(session, document):
    r"""Replace the whole configuration and return its ``Answer``.

    Parameters
    ==========

    document : bytes
        JSON, see ``operator_interface.ConfigurationBody``. A resend is
        harmless: only a revision above the one in force is applied.
    """
    return _submit(session, '/configuration', document, session.sequence)


def _submit(session, path, body, sequence):
    r"""Send a command to the control hosts until its outcome is known."""
    statuses = set()
    for reply in _replies(session, path, body):
        if reply is None:
            continue
        if reply.get('error'):
            return answers.failure(answers.EXIT_USAGE, reply['error'])
        if reply['status'] == command.APPLIED:
            return _outcome_answer(0, reply)
        if reply['status'] == command.REFUSED:
            return _outcome_answer(answers.EXIT_REFUSED, reply)
        statuses.add(reply['status'])
        if reply.get('reason') not in command.TRANSIENT_REASONS and (
                command.UNKNOWN not in statuses):
            # The leader refuses, and no earlier attempt can be in a log.
            return _outcome_answer(answers.EXIT_REFUSED, {
                **reply, 'status': command.REFUSED})
    if not statuses:
        return _unreachable_answer()
    return _unreported_answer(session, sequence, statuses)


def _unreported_answer(session, sequence, statuses):
    r"""Return the answer to a command whose outcome no host reported.

    The command is reported as refused only if no attempt can be in a log,
    that is, if every reply has the status ``NOT_TAKEN``.
    """
    if statuses == {command.NOT_TAKEN}:
        return _outcome_answer(answers.EXIT_REFUSED, {
            'status': command.REFUSED, 'version': None,
            'reason': 'no control host accepted the command'})
    return _outcome_answer(answers.EXIT_UNKNOWN, {
        'status': command.UNKNOWN, 'version': None,
        'client': session.client, 'sequence': sequence,
        'reason': 'no control host reported the outcome in time; resend it '
        'with --client %s --sequence %d' % (session.client, sequence)})


def _run_query(session, statement):
    body = json.dumps({'text': statements.format_statement(statement)})
    last_reply = None
    for reply in _replies(session, '/query', body):
        if reply is None:
            continue
        if reply.get('error'):
            return answers.failure(answers.EXIT_USAGE, reply['error'])
        last_reply = reply
        if reply['current']:
            break
    if last_reply is None:
        return _unreachable_answer()
    code = 0 if last_reply['current'] else answers.EXIT_UNKNOWN
    return answers.Answer(
        code, last_reply['columns'], last_reply['rows'], last_reply)


def _wait_version(session, statement):
    r"""Wait until all nodes have a version, or return those that lack it."""
    deadline = time.monotonic() + (
        (statement.timeout_ms or 10_000) / 1000)
    while True:
        answer = _run_query(session, statements.ShowNodes())
        is_late = time.monotonic() > deadline
        if answer.code == answers.EXIT_UNREACHABLE:
            if is_late:
                return answer
            time.sleep(RETRY_INTERVAL_S)
            continue
        outdated_rows = [
            row for row in answer.rows
            if row[VERSION_COLUMN] < statement.version]
        if answer.code == 0 and not outdated_rows:
            return answers.Answer(0, ('version', 'nodes'), [
                (statement.version, len(answer.rows))], answer.value)
        if is_late:
            return answers.Answer(
                answers.EXIT_UNKNOWN, answer.columns, outdated_rows,
                answer.value)
        time.sleep(RETRY_INTERVAL_S)


def _replies(session, path, body):
    r"""Yield the replies of the control hosts in turn, until the timeout.

    None stands for a host that did not reply.
    """
    deadline = time.monotonic() + session.timeout_s
    while True:
        for control in session.controls:
            yield _post(control, path, body)
            if time.monotonic() > deadline:
                return
        time.sleep(RETRY_INTERVAL_S)


def _post(control, path, body):
    r"""Return a control host's reply, or None without one.

    If a command was sent and got no reply, its status is "unknown".
    """
    try:
        # A paused or partitioned host may accept connections and never
        # reply. The probe finds it within its short timeout, so that time is
        # left for the other hosts.
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


def _outcome_answer(code, reply):
    return answers.Answer(
        code, ('status', 'version', 'reason'),
        [(reply['status'], reply['version'], reply['reason'])], reply)


def _unreachable_answer():
    return answers.failure(
        answers.EXIT_UNREACHABLE, 'no control host answered')


def show(answer, output):
    r"""Print an answer as a table, or as JSON if ``output`` is that."""
    if output == 'json':
        click.echo(json.dumps(answer.value))
    else:
        click.echo(tabulate.tabulate(answer.rows, headers=answer.columns))


def _parse_addresses(context, parameter, text):
    outcomes = [address.parse(item) for item in text.split(',') if item]
    for outcome in outcomes:
        if isinstance(outcome, result.Failure):
            raise click.BadParameter(outcome.failure())
    return [outcome.unwrap() for outcome in outcomes]


def _complete(context, parameter, incomplete):
    r"""Return the completions of the last word of a command line."""
    words = list(context.params.get('words') or ()) + [incomplete]
    return completion.complete(' '.join(words))


@click.command(epilog=EXIT_CODES)
@click.option(
    '--control', envvar='POPLARSTEP_CONTROL', default='',
    callback=_parse_addresses,
    help='HTTP addresses of the control hosts; required, but for explain')
@click.option(
    '--nodes', envvar='POPLARSTEP_NODES', default='',
    callback=_parse_addresses,
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
@click.option('--balancer', default='', callback=_parse_addresses,
              help='HTTP address of a balancer, for explain')
@click.option('--caller', help='IP:PORT of a caller, for explain')
@click.option('--configure', type=click.File('rb'),
              help='replace all routes and services by those of a JSON file')
@click.argument('words', nargs=-1, shell_complete=_complete)
def main(control, nodes, history, objectives, output, timeout, client,
         sequence, script, balancer, caller, configure, words):
    r"""Run statements of the operators' language.

    Without statements it reads them from the terminal, with completion by
    the tab key. For completion in the shell: eval
    "$(_POPLARSTEP_COMPLETE=bash_source poplarstep)".

    \b
    poplarstep show targets
    poplarstep take data-centre maadi out
    poplarstep --file changes.txt
    poplarstep explain --balancer 10.0.0.1:7301 198.18.0.1:443
    """
    if words and words[0] == 'explain':
        raise SystemExit(_explain(balancer, words[1:], caller, output))
    if not control:
        raise click.UsageError("Missing option '--control'.")
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


def _explain(balancer, words, caller, output):
    r"""Ask a balancer about a new flow, show the answer, return the code."""
    if len(balancer) != 1 or len(words) != 1:
        raise click.UsageError(
            'explain needs --balancer IP:PORT and one ADDRESS:PORT')
    answer = explain.run(balancer[0], words[0], caller)
    if answer.code == 0 and output == 'table':
        click.echo('\n'.join(explain.summary(answer.value)))
    show(answer, output)
    return answer.code


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
    r"""Run statements from the terminal until end of file."""
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
    completions = completion.complete(
        readline.get_line_buffer()[:readline.get_endidx()])
    return completions[index] + ' ' if index < len(completions) else None


if __name__ == '__main__':
    main()
