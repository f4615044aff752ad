r"""HTTP interface of a balancer that explains a new flow.

``GET /explain?address=IP:PORT&caller=IP:PORT`` answers with the JSON form of
``explanations.FlowExplained.content``, or with an ``error`` and its
``reason``. The caller decides about the candidates of a flow only in a service
with more targets than ``candidates.LOOKUP_CANDIDATES``.
"""

from returns import result

from poplarstep.core import address
from poplarstep.edge import web
from poplarstep.opaque_flows import explanations
from poplarstep.opaque_flows import segment as segments

PATH = '/explain'
ANSWER_TIMEOUT_MS = 1000
# Stands for any caller.
DEFAULT_CALLER = '0.0.0.0:1'
# Status code and text by the reason of an error.
ERROR_BY_REASON = {
    explanations.NO_ROUTE: (404, 'no route has this address'),
    explanations.NO_CONFIGURATION: (
        503, 'the balancer has received no configuration yet'),
    'no-answer': (503, 'the balancer did not answer within %d ms'
                  % ANSWER_TIMEOUT_MS),
}


def register(node, pending):
    r"""Register the handler of the query on a balancer.

    Parameters
    ==========

    node : Node
        Node that is being built; its task is set before it serves requests.
    pending : PendingRequests
        Delivers the answers of the task.
    """
    @node.routes.query('GET', PATH)
    def explain(parameters, body):
        flow = parse_flow(parameters)
        if isinstance(flow, result.Failure):
            return web.json_reply(
                {'error': flow.failure(), 'reason': 'usage'}, 400)
        answer = pending.ask(
            node.task,
            lambda key: explanations.ExplainFlow(key, flow.unwrap()),
            ANSWER_TIMEOUT_MS)
        reason = 'no-answer' if answer is None else answer.error
        if reason:
            code, text = ERROR_BY_REASON[reason]
            return web.json_reply({'error': text, 'reason': reason}, code)
        return web.json_reply(answer.content)


def parse_flow(parameters):
    r"""Return ``Success(key of the flow)`` or ``Failure(message)``.

    Examples
    ========

    >>> segments.describe(parse_flow({'address': '198.18.0.1:80'}).unwrap())
    '0.0.0.0:1>198.18.0.1:80'
    >>> isinstance(parse_flow({'address': '198.18.0.1'}), result.Failure)
    True

    """
    service = address.parse(parameters.get('address', ''))
    caller = address.parse(parameters.get('caller', DEFAULT_CALLER))
    return service.bind(lambda found: caller.map(
        lambda source: segments.flow_key(source, found)))
