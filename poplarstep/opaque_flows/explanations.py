r"""Explains what a balancer would do with a new flow.

Explanation
===========

The code that serves decides, on a copy of the parts of the state that it
changes. The answers of the agents are predicted from the balancer's estimates,
as the agents themselves would decide with that load. The effects are not
performed, so nothing is sent, and the balancer's state and its random numbers
stay as they are. A new flow that came now would get the same target.

One round of offers is explained. The copy holds the estimates of the flow's
candidates only, so its cost does not grow with the number of targets.
"""

import copy
import math

from poplarstep.core import effect
from poplarstep.core import histogram
from poplarstep.core import record
from poplarstep.opaque_flows import admission
from poplarstep.opaque_flows import balancer
from poplarstep.opaque_flows import balancer_state as states
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import offers
from poplarstep.opaque_flows import segment as segments

# Errors.
NO_ROUTE = 'no-route'
NO_CONFIGURATION = 'no-configuration'
# Outcomes.
START = 'start'
QUEUE = 'queue'
WAIT = 'wait'
REFUSE = 'refuse'
# More offers than a round can have, so that a fault can't loop for ever.
MAXIMUM_PREDICTIONS = 4 * offers.MAXIMUM_OFFERS_PER_ROUND


class ExplainFlow(record.Record):
    r"""Question what would happen to a new flow; ``key`` is the asker's."""

    __slots__ = ('key', 'flow')

    def __init__(self, key: int, flow: bytes):
        self.key = key
        self.flow = flow


class FlowExplained(record.Record):
    r"""Effect: answer a question; ``error`` is empty on success."""

    __slots__ = ('key', 'error', 'content')

    def __init__(self, key: int, error: str, content: dict):
        self.key = key
        self.error = error
        self.content = content


@balancer.BALANCER.handles(ExplainFlow)
def explain_flow(state: states.FlowBalancerState, question, now):
    r"""Explain what would happen to a new flow."""
    flow = question.flow
    route = state.catalogue.route_by_address.get(segments.service_of(flow))
    if state.catalogue.policy is None:
        return [FlowExplained(question.key, NO_CONFIGURATION, {})]
    if route is None:
        return [FlowExplained(question.key, NO_ROUTE, {})]
    scratch = _copy_state(state, route, flow)
    rows = _candidate_rows(scratch, route, flow, now)
    outcome = {'outcome': WAIT, 'reason': 'configuration-not-confirmed'}
    if state.confirmed(now):
        outcome = _predict(scratch, flow, now)
    tracked = state.tracked_by_flow.get(flow)
    return [FlowExplained(question.key, '', {
        'flow': segments.describe(flow),
        'version': state.catalogue.version,
        'route': {
            'name': route.name, 'idempotent': route.idempotent,
            'priority': route.priority, 'objective_ms': route.objective_ms,
            'timeout_ms': route.timeout_ms},
        'shares': [
            {'service': _service_name(state, share.service),
             'weight': share.weight} for share in route.shares],
        'held_by': str(tracked.agent) if tracked and tracked.agent else '',
        'candidates': rows, **outcome})]


def _service_name(state: states.FlowBalancerState, number):
    service = state.catalogue.service_by_number.get(number)
    return service.name if service is not None else ''


def _candidates(state: states.FlowBalancerState, route, flow):
    return [
        target for share in route.shares
        for target in state.candidates.offered(share.service, flow, 0)]


def _copy_state(state: states.FlowBalancerState, route, flow):
    r"""Return a state that can be changed for one flow."""
    scratch = copy.copy(state)
    scratch.random = copy.copy(state.random)
    scratch.counters = states.FlowBalancerCounters()
    scratch.opening_ms = histogram.Histogram()
    scratch.tie_limits = copy.deepcopy(state.tie_limits)
    scratch.tracked_by_flow = {}
    scratch.offered_by_flow = {}
    scratch.retry_at_by_flow = {}
    scratch.placement = copy.copy(state.placement)
    scratch.placement.random = scratch.random
    services = {share.service for share in route.shares}
    scratch.placement.ejection = state.placement.ejection.copied(services)
    scratch.placement.groups = state.placement.groups.copied(services)
    scratch.locality = copy.copy(state.locality)
    scratch.locality.detach()
    known = state.placement.estimate_by_number
    scratch.placement.estimate_by_number = {
        target.number: copy.copy(known[target.number])
        for target in _candidates(state, route, flow)
        if target.number in known}
    return scratch


def _candidate_rows(state: states.FlowBalancerState, route, flow, now):
    r"""Return what the placement knows of the candidates of each service."""
    rows = []
    for share in route.shares:
        candidates = state.candidates.offered(share.service, flow, 0)
        usable = state.placement.usable_targets(candidates, (), now)
        rows += [
            _candidate_row(state, target, target in usable, now)
            for target in candidates]
    return rows


def _candidate_row(state: states.FlowBalancerState, target, is_usable, now):
    estimate = state.placement.estimate(target.number)
    centre = state.catalogue.data_centre_by_number.get(target.data_centre)
    has_report = estimate.service_us > 0 or estimate.reported_at > 0
    return {
        'target': target.name,
        'service': _service_name(state, target.service),
        'data_centre': centre.name if centre is not None else '',
        'service_us': int(state.placement.service_us(target)),
        'slots': target.slots,
        'backlog': round(_backlog(state, target, now), 2),
        'load_age_ms': now - estimate.reported_at if has_report else None,
        'avoided': '' if is_usable else _avoided_reason(estimate, now)}


def _avoided_reason(estimate, now):
    if estimate.avoid_until > now:
        return '%d unanswered offers, for %d ms more' % (
            estimate.timeouts, estimate.avoid_until - now)
    return 'by the placement'


def _backlog(state: states.FlowBalancerState, target, now):
    r"""Return the backlog that the placement expects at a target."""
    return state.placement.wait_us(target, now) * target.slots / (
        state.placement.service_us(target)) - 1


def _predict(state: states.FlowBalancerState, flow, now):
    r"""Return the outcome of a round whose offers agents answer as expected.

    ``offers`` names the targets and their answers in order.
    """
    opening = segments.Segment(flow, True, False, False, False, 0, b'')
    waiting = list(offers.handle_opening(state, opening, None, now))
    answers = []
    refusal = {}
    while waiting and len(answers) < MAXIMUM_PREDICTIONS:
        item = waiting.pop(0)
        if type(item) is effect.LogEvent and item.event == 'flow-refused':
            refusal = dict(item.fields)
        if type(item) is not message.ToNode or (
                type(item.message) is not message.Offer):
            continue
        target = _target_at(state, item, flow)
        backlog = _backlog_without_offer(state, target, now)
        reason, wait_ms = _predict_answer(
            state, item.message, target, backlog)
        answers.append({'target': target.name, 'answer': reason or 'accepted'})
        if not reason:
            return {
                'outcome': QUEUE if wait_ms else START, 'reason': '',
                'target': target.name, 'expected_wait_ms': round(wait_ms),
                'tied': item.message.tied_agent is not None,
                'offers': answers}
        waiting += balancer.BALANCER.process(state, message.FromNode(
            item.destination, message.FlowRejected(flow, reason, message.Load(
                round(backlog), target.slots,
                state.placement.estimate(target.number).service_us))), now)
    is_postponed = flow in state.retry_at_by_flow
    return {
        'outcome': WAIT if is_postponed else REFUSE,
        'reason': 'another-round' if is_postponed else refusal.get(
            'reason', ''),
        'reset': refusal.get('reset', False), 'offers': answers}


def _target_at(state: states.FlowBalancerState, offer, flow):
    r"""Return the candidate that gets an offer of the first round."""
    return next(
        target for target in state.candidates.offered(
            offer.message.service, flow, 0)
        if target.agent == offer.destination)


def _backlog_without_offer(state: states.FlowBalancerState, target, now):
    r"""Return the backlog before the pending offer of this flow."""
    return max(0.0, _backlog(state, target, now) - 1)


def _predict_answer(state: states.FlowBalancerState, offered, target, backlog):
    r"""Return the expected reason for a rejection, or '', and the wait in ms.

    Parts of a request in the backlog come from the decay of an old report.
    """
    ahead = math.floor(backlog + 0.5)
    if ahead < target.slots:
        return '', 0
    if not offered.may_queue:
        return message.BUSY, 0
    wait_ms = admission.wait_ms(
        ahead, target.slots, state.placement.service_us(target))
    if wait_ms > offered.wait_limit_ms:
        return message.OVERLOADED, 0
    return '', wait_ms
