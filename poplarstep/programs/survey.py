r"""Queries that the tool answers without a control host.

Explanation
===========

Numbers of flows and refusals are not replicated: the tool reads them from the
``/status`` of each node. A node that does not answer has a row that says so,
since totals without this node are incomplete. Burn rates come from the history
file of ``poplarstep-burn``.
"""

from concurrent import futures
import time

import requests
from returns import result

from poplarstep.core import registry
from poplarstep.edge import history as histories
from poplarstep.language import statement as statements
from poplarstep.programs import answer as answers
from poplarstep.reports import burn
from poplarstep.reports import objective as objectives
from poplarstep.reports import table

QUERIES = registry.Registry('query without a control host')
CONCURRENT_NODES = 16
NODE_TIMEOUT_S = 2
NO_ANSWER = 'no answer'


def read_status(address):
    r"""Return the ``/status`` of a node as a dictionary, or None."""
    try:
        return requests.get(
            'http://%s/status' % address, timeout=NODE_TIMEOUT_S).json()
    except (requests.RequestException, ValueError):
        return None


def read_all(addresses):
    r"""Return ``(address, status or None)`` of each node."""
    with futures.ThreadPoolExecutor(CONCURRENT_NODES) as pool:
        return list(zip(addresses, pool.map(read_status, addresses)))


def _query_nodes(session, columns, read_rows):
    r"""Return the ``Answer`` with the rows of all nodes.

    ``read_rows`` takes a status and returns pairs of a name and a count.
    """
    if not session.nodes:
        return answers.failure(answers.EXIT_USAGE, (
            'this query needs --nodes or POPLARSTEP_NODES: HTTP addresses '
            'of balancers and agents'))
    rows = []
    unanswered = []
    for address, status in read_all(session.nodes):
        if status is None:
            unanswered.append(str(address))
            rows.append((str(address), '', NO_ANSWER, None))
        else:
            rows.extend(
                (status['node'], status['role'], name, count)
                for name, count in read_rows(status))
    code = answers.EXIT_UNREACHABLE if (
        len(unanswered) == len(session.nodes)) else 0
    return answers.Answer(code, columns, rows, {
        'columns': columns, 'rows': rows, 'silent': unanswered})


@QUERIES.register(statements.ShowFlows)
def show_flows(session, statement):
    r"""Answer ``show flows``: open flows and pending opens."""
    return _query_nodes(
        session, ('node', 'role', 'what', 'count'), lambda status: [
            (name, status[name]) for name in ('flows', 'pending_opens')
            if name in status])


@QUERIES.register(statements.ShowRefusals)
def show_refusals(session, statement):
    r"""Answer ``show refusals``: counts since the node started."""
    return _query_nodes(session, ('node', 'role', 'reason', 'count'), refusals)


def refusals(status):
    r"""Return ``(counter, count)`` of each counter of refusals above 0.

    Examples
    ========

    >>> refusals({'values': [['agent_refused_not_run', {}, 2],
    ...                      ['agent_opened', {}, 5]]})
    [('agent_refused_not_run', 2)]

    """
    return [
        (' '.join([name, *labels.values()]), count)
        for name, labels, count in status['values']
        if 'refused' in name and count]


@QUERIES.register(statements.ShowBurn)
def show_burn(session, statement):
    r"""Answer ``show burn`` from the history file."""
    if not session.history or not session.objectives:
        return answers.failure(answers.EXIT_USAGE, (
            'show burn needs --history and --objectives'))
    outcome = read_reports(
        session.history, session.objectives, statement.service,
        round(time.time() * 1000))
    if isinstance(outcome, result.Failure):
        return answers.failure(answers.EXIT_USAGE, outcome.failure())
    reports = outcome.unwrap()
    return answers.Answer(
        0, ('burn',), [(table.render(reports),)],
        [table.dictionary(report) for report in reports])


def read_objectives(path):
    r"""Return ``Success(tuple of Objective)`` or ``Failure(message)``."""
    try:
        with open(path) as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return result.Failure(
            'objectives %s cannot be read: %s' % (path, error))
    return objectives.parse_list(text)


def read_reports(history_path, objectives_path, service, now):
    r"""Return ``Success(list of Report)`` or ``Failure``.

    ``service`` selects the objectives of one service, None selects all.
    ``now`` is the Unix time in ms at which the windows end. A window with
    too few samples is reported as missing data.
    """
    parsed = read_objectives(objectives_path)
    history = histories.read(history_path)
    for outcome in (parsed, history):
        if isinstance(outcome, result.Failure):
            return outcome
    selected = [objective for objective in parsed.unwrap()
                if service in (None, objective.service)]
    if not selected:
        return result.Failure('no objective of service %r' % service)
    return result.Success([
        burn.burn_rates(history.unwrap().samples, objective, now)
        for objective in selected])
