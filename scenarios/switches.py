r"""Switches a mechanism off and counts the tests that then fail.

Explanation
===========

A test that passes without the mechanism it is meant to check proves
nothing. ``python -m scenarios.switches`` runs the named tests once as they
are and once with each mechanism off, and fails if no test notices.
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
    r"""Replaces attributes and handlers until it is undone."""

    __slots__ = ('undo',)

    def __init__(self):
        self.undo = []

    def replace(self, owner, name, value):
        r"""Replace an attribute."""
        self.undo.append((setattr, (owner, name, getattr(owner, name))))
        setattr(owner, name, value)

    def handle(self, stage, message_type, handler):
        r"""Replace the handler of a message type."""
        table = stage.handler_by_type
        self.undo.append(
            (table.__setitem__, (message_type, table[message_type])))
        table[message_type] = handler

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


@SWITCHES.register('R1 route in the token')
def no_token_route(patch):
    r"""Let the balancer hash the flow over the present targets."""
    original = gate.GATE.handler_by_type[packet.Ingress]

    def by_hash(state, event, now):
        produced = original(state, event, now)
        for item in produced:
            if isinstance(item, effect.SendPacket):
                service = item.packet.service
                listed = state.catalogue.selectable_by_service.get(service)
                if listed:
                    chosen = event.packet.flow_key % len(listed)
                    item.destination = listed[chosen].agent
        return produced
    patch.handle(gate.GATE, packet.Ingress, by_hash)


@SWITCHES.register('R2 flows end with the service')
def no_cut(patch):
    r"""Keep flows when the target serves another service."""
    patch.replace(ownership, 'terminate_all_flows', lambda state: [])


@SWITCHES.register('R2 catalogue and target agree')
def no_agreement(patch):
    r"""Open flows for the service of a catalogue that lags."""
    def own_target(state):
        target = state.catalogue.target_by_name.get(state.node)
        if target is None or target.incarnation != state.incarnation or (
                state.target is None):
            return None
        return target
    patch.replace(states, 'own_target', own_target)


@SWITCHES.register('R2 incarnation of the agent')
def no_incarnation(patch):
    r"""Accept tokens of an earlier run or another agent."""
    patch.replace(
        verification, '_packet_refusal_reason', lambda state, event: '')


@SWITCHES.register('R3 ramp')
def no_ramp(patch):
    r"""Give a target whatever its slots can take."""
    patch.replace(
        ramp.Ramp, 'may_start',
        lambda self, now: self.in_flight < self.ceiling)


@SWITCHES.register('R3 start at 1')
def no_cold_limit(patch):
    r"""Start as high as a false announcement says."""
    patch.replace(admission, 'COLD_LIMIT', 8)


@SWITCHES.register('R3 cold after a broken connection')
def no_reset(patch):
    r"""Take a broken connection for a failed request."""
    patch.replace(message, 'connection_broke', lambda failed: False)


@SWITCHES.register('R3 pause after a start of the agent')
def no_grace(patch):
    r"""Start work beside requests of the agent's former run."""
    patch.replace(announcing, 'RESTART_GRACE_MS', 0)


@SWITCHES.register('R7 record of requests')
def no_record(patch):
    r"""Take each copy for a new request."""
    original = ownership.PACKETS.handler_by_type[packet.Request]

    def without_record(context, asked, now):
        context[1].record_by_number.pop(asked.number, None)
        return original(context, asked, now)
    patch.handle(ownership.PACKETS, packet.Request, without_record)


@SWITCHES.register('R7 watermark')
def no_watermark(patch):
    r"""Accept numbers whose records were dropped."""
    patch.replace(ownership, '_window_refusal_reason', lambda flow, number: '')


@SWITCHES.register('R6 record of refusals')
def no_refusal_record(patch):
    r"""Forget a request that was refused as not run."""
    original = admission._refuse

    def without_refusal(state, key, decided, reason):
        produced = original(state, key, decided, reason)
        flow = state.agent.flow_by_serial.get(key.serial)
        if flow is not None and decided is verdict.Verdict.NOT_RUN:
            flow.record_by_number.pop(key.number, None)
        return produced
    patch.replace(admission, '_refuse', without_refusal)


@SWITCHES.register('R6 mark of cancelled requests')
def no_cancel_mark(patch):
    r"""Send a cancelled request again that did not run."""
    original = admission._requeue

    def without_mark(state, event, now):
        known = states.request_record(state.agent, event.key)
        if known is not None:
            known.cancelled = False
        return original(state, event, now)
    patch.replace(admission, '_requeue', without_mark)


@SWITCHES.register('R5 numbers go on')
def numbers_start_again(patch):
    r"""Number the requests of each token from 1."""
    original = exchange._drop_token

    def leave(flow, left, reason):
        original(flow, left, reason)
        if flow.token is None:
            flow.next_number = 1
    patch.replace(exchange, '_drop_token', leave)


@SWITCHES.register('R5 own answer')
def any_answer(patch):
    r"""Give an answer to the oldest request of its flow."""
    original = exchange._find

    def find(state, event):
        flow, found = original(state, event)
        if flow is not None and found is not None:
            found = min(
                flow.exchange_by_number.values(),
                key=lambda item: item.request_number)
        return flow, found
    patch.replace(exchange, '_find', find)


@SWITCHES.register('R8 refusal of opens at the agent')
def no_drain_refusal(patch):
    r"""Open flows at a draining target."""
    original = verification._open_refusal_reason

    def open_fault(state, forwarded, now):
        reason = original(state, forwarded, now)
        return '' if reason == 'draining' else reason
    patch.replace(verification, '_open_refusal_reason', open_fault)


@SWITCHES.register('R8 drain deadline')
def no_drain_deadline(patch):
    r"""Let flows of a draining target go on."""
    patch.replace(states, 'drain_deadline_passed', lambda state, now: False)


@SWITCHES.register('deadline after a wait')
def no_wait(patch):
    r"""Hand on the deadline that a request had on arrival."""
    patch.replace(
        packet, 'after_wait', lambda request, arrived_at, now: request)


@SWITCHES.register('cancellation passed on')
def no_cancel(patch):
    r"""Ignore cancellations."""
    patch.handle(
        ownership.PACKETS, packet.Cancel, lambda context, asked, now: [])


@SWITCHES.register('deadline of the caller')
def no_caller_deadline(patch):
    r"""Let callers wait for silent targets."""
    original = exchange._tick_exchange

    def without_deadline(state, flow, item, now):
        item.deadline = max(item.deadline, now + 1)
        return original(state, flow, item, now)
    patch.replace(exchange, '_tick_exchange', without_deadline)


@SWITCHES.register('retry on a new flow')
def no_new_flow(patch):
    r"""Take the end of a flow for the end of its requests."""
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
    r"""Pytest plugin that counts outcomes and keeps failed names."""

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
    r"""Print how many tests fail with each mechanism off."""
    rows = [('none', run_tests(TESTS))]
    for name in names or SWITCHES.names():
        with switched_off(name):
            rows.append((name, run_tests(TESTS)))
    click.echo(tabulate.tabulate(
        [(name, len(tally.failed), tally.passed, ', '.join(
            sorted(tally.failed)[:1])) for name, tally in rows],
        headers=['switched off', 'failed', 'passed', 'first failure']))
    unnoticed = [name for name, tally in rows[1:] if not tally.failed]
    if rows[0][1].failed or not rows[0][1].passed or unnoticed:
        sys.exit('the tests fail as they are, or do not notice: %s' % (
            ', '.join(unnoticed)))


if __name__ == '__main__':
    main()
