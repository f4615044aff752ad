r"""Mutation test: switches mechanisms off and counts the tests that fail.

Explanation
===========

Tests that pass without a mechanism do not test it. ``python -m
scenarios.switches`` runs ``TESTS`` once unchanged and once with each
mechanism switched off, and fails if no test fails without a mechanism.
"""

import contextlib
import io
import sys

import click
import pytest
import tabulate

from poplarstep.caller import exchange
from poplarstep.caller import state as caller_states
from poplarstep.core import effect
from poplarstep.core import registry
from poplarstep.core import verdict
from poplarstep.flow import packet
from poplarstep.limits import budget
from poplarstep.limits import ramp
from poplarstep.requests import admission
from poplarstep.requests import announcing
from poplarstep.requests import answers
from poplarstep.requests import message
from poplarstep.requests import ownership
from poplarstep.requests import state as states
from poplarstep.requests import verification
from poplarstep.routing import gate

SWITCHES = registry.Registry('mechanism')
TESTS = ('scenarios/tests', 'poplarstep/requests/tests')


class Patch:
    r"""Replaces attributes and handlers until ``restore``."""

    __slots__ = ('undo',)

    def __init__(self):
        self.undo = []

    def replace(self, owner, name, value):
        r"""Replace an attribute of a module or class."""
        self.undo.append((setattr, (owner, name, getattr(owner, name))))
        setattr(owner, name, value)

    def handle(self, stage, message_type, handler):
        r"""Replace a stage's handler of a message type."""
        handlers = stage.handler_by_type
        self.undo.append(
            (handlers.__setitem__, (message_type, handlers[message_type])))
        handlers[message_type] = handler

    def restore(self):
        r"""Undo all replacements."""
        while self.undo:
            function, arguments = self.undo.pop()
            function(*arguments)


@contextlib.contextmanager
def switched_off(name):
    r"""Switch a mechanism off inside a ``with`` block."""
    patch = Patch()
    try:
        SWITCHES.find(name).unwrap()(patch)
        yield
    finally:
        patch.restore()


@SWITCHES.register('route in the token')
def no_token_route(patch):
    r"""Let the balancer hash the flow over the current targets."""
    original = gate.GATE.handler_by_type[packet.Ingress]

    def by_hash(state, event, now):
        produced = original(state, event, now)
        for item in produced:
            if isinstance(item, effect.SendPacket):
                assert isinstance(item.packet, packet.Forwarded)
                service = item.packet.service
                selectable = state.catalogue.selectable_by_service.get(service)
                if selectable:
                    chosen = event.packet.flow_key % len(selectable)
                    item.destination = selectable[chosen].agent
        return produced
    patch.handle(gate.GATE, packet.Ingress, by_hash)


@SWITCHES.register('end of flows when the service of a target changes')
def no_flow_termination(patch):
    r"""Keep flows when their target changes to another service."""
    patch.replace(ownership, 'terminate_all_flows', lambda state: [])


@SWITCHES.register('agreement of catalogue and target on the service')
def no_service_agreement(patch):
    r"""Open flows for the service in a catalogue that is out of date."""
    def own_target(state):
        target = state.catalogue.target_by_name.get(state.node)
        if target is None or target.incarnation != state.incarnation or (
                state.target is None):
            return None
        return target
    patch.replace(states, 'own_target', own_target)


@SWITCHES.register('incarnation of the agent')
def no_incarnation(patch):
    r"""Accept tokens of an earlier incarnation or of another agent."""
    patch.replace(
        verification, '_packet_refusal_reason', lambda state, event: '')


@SWITCHES.register('ramp of the concurrency limit')
def no_ramp(patch):
    r"""Let a target that has just started use all its slots."""
    patch.replace(
        ramp.Ramp, 'may_start',
        lambda self, now: self.in_flight < self.ceiling)


@SWITCHES.register('cold limit of 1')
def no_cold_limit(patch):
    r"""Start the ramp at the announced limit, even if that is too high."""
    patch.replace(admission, 'COLD_LIMIT', 8)


@SWITCHES.register('cold start after a broken connection')
def no_cold_reset(patch):
    r"""Treat a broken connection like a failed request."""
    patch.replace(message, 'connection_broke', lambda failed: False)


@SWITCHES.register('pause after the start of the agent')
def no_restart_grace(patch):
    r"""Start requests while those of the agent's former run may run."""
    patch.replace(announcing, 'RESTART_GRACE_MS', 0)


@SWITCHES.register('record of requests')
def no_record(patch):
    r"""Treat each retransmission as a new request."""
    original = ownership.PACKETS.handler_by_type[packet.Request]

    def without_record(context, request, now):
        context[1].record_by_number.pop(request.number, None)
        return original(context, request, now)
    patch.handle(ownership.PACKETS, packet.Request, without_record)


@SWITCHES.register('watermark of request numbers')
def no_watermark(patch):
    r"""Accept request numbers whose records were dropped."""
    patch.replace(ownership, '_window_refusal_reason', lambda flow, number: '')


@SWITCHES.register('record of refusals')
def no_refusal_record(patch):
    r"""Forget a request that was refused as not run."""
    original = admission._refuse

    def without_refusal(state, key, decision, reason):
        produced = original(state, key, decision, reason)
        flow = state.agent.flow_by_serial.get(key.serial)
        if flow is not None and decision is verdict.Verdict.NOT_RUN:
            flow.record_by_number.pop(key.number, None)
        return produced
    patch.replace(admission, '_refuse', without_refusal)


@SWITCHES.register('mark of cancelled requests')
def no_cancel_mark(patch):
    r"""Retry a request that did not run, although it is cancelled."""
    original = admission._requeue

    def without_mark(state, event, now):
        record = states.request_record(state.agent, event.key)
        if record is not None:
            record.cancelled = False
        return original(state, event, now)
    patch.replace(admission, '_requeue', without_mark)


@SWITCHES.register('request numbers that continue on a new flow')
def numbers_start_again(patch):
    r"""Number the requests of each token from 1."""
    original = exchange._drop_token

    def drop_token(flow, left, reason):
        original(flow, left, reason)
        if flow.token is None:
            flow.next_number = 1
    patch.replace(exchange, '_drop_token', drop_token)


@SWITCHES.register('match of answer and request number')
def oldest_request(patch):
    r"""Match each answer with the oldest request of its flow."""
    original = exchange._find

    def find(state, event):
        flow, found = original(state, event)
        if flow is not None and found is not None:
            found = min(
                flow.exchange_by_number.values(),
                key=lambda item: item.request_number)
        return flow, found
    patch.replace(exchange, '_find', find)


@SWITCHES.register('refusal of opens at a draining agent')
def no_drain_refusal(patch):
    r"""Open flows at a draining target."""
    original = verification._open_refusal_reason

    def open_refusal_reason(state, forwarded, now):
        reason = original(state, forwarded, now)
        return '' if reason == 'draining' else reason
    patch.replace(verification, '_open_refusal_reason', open_refusal_reason)


@SWITCHES.register('drain deadline')
def no_drain_deadline(patch):
    r"""Keep the flows of a draining target after its deadline."""
    patch.replace(states, 'drain_deadline_passed', lambda state, now: False)


@SWITCHES.register('deadline reduced by the wait')
def no_wait_deduction(patch):
    r"""Forward a request with the deadline that it had on arrival."""
    patch.replace(
        packet, 'after_wait', lambda request, arrived_at, now: request)


@SWITCHES.register('cancellation at the agent')
def no_cancel(patch):
    r"""Ignore cancellations."""
    patch.handle(
        ownership.PACKETS, packet.Cancel, lambda context, request, now: [])


@SWITCHES.register('deadline of the caller')
def no_caller_deadline(patch):
    r"""Let callers wait for targets that do not answer."""
    original = exchange._tick_exchange

    def without_deadline(state, flow, item, now):
        item.deadline = max(item.deadline, now + 1)
        return original(state, flow, item, now)
    patch.replace(exchange, '_tick_exchange', without_deadline)


@SWITCHES.register('retry on a new flow')
def no_new_flow(patch):
    r"""Fail the requests of a flow that ends, without a retry."""
    patch.replace(exchange, 'ENDED_REASONS', frozenset())


@SWITCHES.register('retry budget')
def no_budget(patch):
    r"""Allow every retry."""
    patch.replace(budget.RetryBudget, 'try_retry', lambda self, now: True)
    patch.replace(caller_states, 'MAXIMUM_BACKOFF_MS', 50)


@SWITCHES.register('limit on answer bytes')
def no_answer_limit(patch):
    r"""Keep every answer."""
    patch.replace(answers, 'drop_oldest', lambda agent: None)


class Tally:
    r"""Pytest plugin that counts passed tests and lists failed ones."""

    __slots__ = ('passed', 'failed')

    def __init__(self):
        self.passed = 0
        self.failed = []

    def pytest_runtest_logreport(self, report):
        r"""Count the outcome of one test."""
        if report.failed:
            self.failed.append(report.nodeid.split('::', 1)[1])
        elif report.when == 'call':
            self.passed += report.passed


def run_tests(tests):
    r"""Run tests in this process; return their ``Tally``."""
    tally = Tally()
    with contextlib.redirect_stdout(io.StringIO()):
        pytest.main([*tests, '--tb=no'], [tally])
    return tally


@click.command()
@click.argument('names', nargs=-1)
def main(names):
    r"""Print how many tests fail with each mechanism switched off."""
    rows = [('none', run_tests(TESTS))]
    for name in names or SWITCHES.names():
        with switched_off(name):
            rows.append((name, run_tests(TESTS)))
    click.echo(tabulate.tabulate(
        [(name, len(tally.failed), tally.passed, ', '.join(
            sorted(tally.failed)[:1])) for name, tally in rows],
        headers=['switched off', 'failed', 'passed', 'first failure']))
    undetected = [name for name, tally in rows[1:] if not tally.failed]
    if rows[0][1].failed or not rows[0][1].passed or undetected:
        sys.exit(
            'tests fail with every mechanism on, or no test fails without: '
            '%s' % ', '.join(undetected))


if __name__ == '__main__':
    main()
