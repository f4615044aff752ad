r"""``poplarstep explain``: asks a balancer what a new flow would get."""

import requests

from poplarstep.opaque_flows import explanations
from poplarstep.programs import answer as answers
from poplarstep.programs import explain_interface

TIMEOUT_S = 2
COLUMNS = (
    'target', 'service', 'data_centre', 'service_us', 'slots', 'backlog',
    'load_age_ms', 'avoided')
EXIT_CODE_BY_REASON = {
    'usage': answers.EXIT_USAGE,
    explanations.NO_ROUTE: answers.EXIT_REFUSED,
    explanations.NO_CONFIGURATION: answers.EXIT_UNKNOWN,
    'no-answer': answers.EXIT_UNREACHABLE,
}


def run(balancer, service, caller):
    r"""Return the ``Answer`` of a balancer.

    Parameters
    ==========

    balancer : Address
        HTTP address of the balancer.
    service : str
        Address that the flow is opened to.
    caller : str or None
        Address of the caller; None stands for any.
    """
    reply = _get(balancer, {
        'address': service,
        'caller': caller or explain_interface.DEFAULT_CALLER})
    if reply is None:
        return answers.failure(
            answers.EXIT_UNREACHABLE, 'balancer %s does not answer' % balancer)
    if 'error' in reply:
        return answers.failure(
            EXIT_CODE_BY_REASON.get(reply.get('reason'), answers.EXIT_USAGE),
            'balancer %s: %s' % (balancer, reply['error']))
    return answers.Answer(0, COLUMNS, [
        [row[name] for name in COLUMNS] for row in reply['candidates']],
        reply)


def summary(content):
    r"""Return the lines above the table of candidates."""
    route = content['route']
    shares = ', '.join(
        '%s (weight %d)' % (item['service'], item['weight'])
        for item in content['shares'])
    lines = [
        'flow %s, configuration %d' % (content['flow'], content['version']),
        'route %s: priority %d, objective %d ms, timeout %d ms, %s' % (
            route['name'], route['priority'], route['objective_ms'],
            route['timeout_ms'], 'idempotent' if route['idempotent']
            else 'not idempotent'),
        'services: %s' % shares]
    if content['held_by']:
        lines.append('an open flow with this key is held by %s'
                     % content['held_by'])
    lines += [
        'offer to %s: %s' % (item['target'], item['answer'])
        for item in content.get('offers', ())]
    lines.append(_outcome_line(content))
    return lines


def _outcome_line(content):
    outcome = content['outcome']
    if outcome == explanations.START:
        return 'would start at %s' % content['target']
    if outcome == explanations.QUEUE:
        return 'would queue at %s%s, expected wait %d ms' % (
            content['target'], ' and another target' if content['tied']
            else '', content['expected_wait_ms'])
    if outcome == explanations.WAIT:
        return 'would wait: %s' % content['reason']
    return 'would be refused: %s' % content['reason']


def _get(balancer, parameters):
    try:
        return requests.get(
            'http://%s%s' % (balancer, explain_interface.PATH),
            params=parameters, timeout=TIMEOUT_S).json()
    except (requests.RequestException, ValueError):
        return None
