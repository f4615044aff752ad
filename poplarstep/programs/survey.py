r"""Queries that the tool answers from the nodes themselves.

Explanation
===========

Numbers of flows and refusals are not replicated: each node has its own, and
the tool reads them from ``/status``. A node that does not answer is named
in the table, so that a sum without it is not taken for the whole.
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

SURVEYS = registry.Registry('query that nodes answer')
CONCURRENT_NODES = 16
NODE_TIMEOUT_S = 2
NO_ANSWER = 'no answer'


def read_status(place):
    r"""Return the ``/status`` of a node as a dictionary, or None."""
    try:
        return requests.get(
            'http://%s/status' % place, timeout=NODE_TIMEOUT_S).json()
    except (requests.RequestException, ValueError):
        return None


def read_all(places):
    r"""Return ``(place, status or None)`` of each node."""
    with futures.ThreadPoolExecutor(CONCURRENT_NODES) as pool:
        return list(zip(places, pool.map(read_status, places)))


def _survey(session, columns, read_rows):
    r"""Return the rows of all nodes, and which did not answer."""
    if not session.nodes:
        return answers.failure(answers.EXIT_USAGE, (
            'this query needs --nodes or POPLARSTEP_NODES: HTTP addresses '
            'of balancers and agents'))
    rows = []
    silent = []
    for place, status in read_all(session.nodes):
        if status is None:
            silent.append(str(place))
            rows.append((str(place), '', NO_ANSWER, None))
        else:
            rows.extend(
                (status['node'], status['role'], name, count)
                for name, count in read_rows(status))
    code = answers.EXIT_UNREACHABLE if (
        len(silent) == len(session.nodes)) else 0
    return answers.Answer(code, columns, rows, {
        'columns': columns, 'rows': rows, 'silent': silent})


@SURVEYS.register(statements.ShowFlows)
def show_flows(session, asked):
    r"""Answer ``show flows``: open flows at agents, opens at balancers."""
    return _survey(session, ('node', 'role', 'what', 'count'), lambda status: [
        (name, status[name]) for name in ('flows', 'pending_opens')
        if name in status])


@SURVEYS.register(statements.ShowRefusals)
def show_refusals(session, asked):
    r"""Answer ``show refusals``: counts since the node started."""
    return _survey(session, ('node', 'role', 'reason', 'count'), refusals)


def refusals(status):
    r"""Return ``(counter, count)`` of what a node has refused.

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


@SURVEYS.register(statements.ShowBurn)
def show_burn(session, asked):
    r"""Answer ``show burn`` from the history file."""
    if not session.history or not session.objectives:
        return answers.failure(answers.EXIT_USAGE, (
            'show burn needs --history and --objectives'))
    read = read_reports(
        session.history, session.objectives, asked.service,
        round(time.time() * 1000))
    if isinstance(read, result.Failure):
        return answers.failure(answers.EXIT_USAGE, read.failure())
    reports = read.unwrap()
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


def read_reports(history, objectives_path, service, now):
    r"""Return ``Success(list of Report)`` at ``now`` or ``Failure``.

    Windows without enough samples say so in their report.
    """
    read = read_objectives(objectives_path)
    found = histories.read(history)
    for outcome in (read, found):
        if isinstance(outcome, result.Failure):
            return outcome
    wanted = [item for item in read.unwrap()
              if service in (None, item.service)]
    if not wanted:
        return result.Failure('no objective of service %r' % service)
    return result.Success([
        burn.burn_rates(found.unwrap().samples, item, now)
        for item in wanted])
