"""Stateful test of the pipeline of an agent against a model."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import timer
from poplarstep.core import verdict
from poplarstep.flow import packet
from poplarstep.requests import admission
from poplarstep.requests import announcing
from poplarstep.requests import assembly
from poplarstep.requests import expiry
from poplarstep.requests import message

AGENT = address.Address('10.2.0.1', 1)
BALANCER = address.Address('10.1.0.1', 2)
FABRIC = address.Address('10.3.0.1', 1)
SERVICE_ADDRESSES = tuple(address.Address('10.4.0.%d' % n, 53) for n in (1, 2))
SERVICES = ('dispatch', 'certs')
ANSWER_LIMIT = 2500
QUEUE_LENGTH = 5
CONNECTIONS = 6
DRAIN_MS = 4000
ONE_IN_FOUR = (False, False, False, True)
INCARNATION = 7


class AgentMachine(stateful.RuleBasedStateMachine):
    """Sends packets, target reports and changes in any order.

    Requests carry ``service|flow key|number`` as their payload. The model
    knows from it which requests ran, were refused or were cancelled.
    """

    def __init__(self):
        super().__init__()
        self.now = 1000
        self.version = 0
        self.target_run = 1
        self.pipeline, self.agent, self.admitted = assembly.make_pipeline({
            'node': 'a', 'data-centre': 'maadi', 'agent-address': AGENT,
            'upstreams': (AGENT,), 'flow-idle': 30_000,
            'answer-bytes': ANSWER_LIMIT, 'queue-length': QUEUE_LENGTH,
        }, INCARNATION)
        self.service = 0
        self.last_flow_key = 0
        self.tokens = []
        self.calls = {}
        self.may_have_run = set()
        self.refused_not_run = set()
        self.cancelled = set()
        self.reasons = []
        self.answers = {}
        self.apply_changes([
            model.Service(
                name, number, SERVICE_ADDRESSES[number - 1], 0, DRAIN_MS,
                (), 1)
            for number, name in enumerate(SERVICES, 1)])
        self.announce()
        self.configure_target()
        self.advance(2000)

    def apply_changes(self, bodies):
        self.version += 1
        self.agent.catalogue.apply([
            model.Change(self.version, body) for body in bodies])

    def configure_target(self, drained=False):
        self.apply_changes([model.Target(
            'a', self.service + 1, self.service + 1, 1, AGENT, INCARNATION,
            self.version + 1, 3, CONNECTIONS, False, drained, 1)])

    def announce(self):
        self.feed(message.TargetState(
            SERVICES[self.service], AGENT, self.target_run, 3, CONNECTIONS,
            1, False))

    def feed(self, item):
        for produced in self.pipeline.process(item, self.now):
            self.check_effect(produced)

    def deliver(self, body, service=None):
        service_address = SERVICE_ADDRESSES[
            self.service if service is None else service]
        number = SERVICE_ADDRESSES.index(service_address) + 1
        path = packet.ReturnPath(FABRIC, AGENT, service_address)
        self.feed(message.Arrival(BALANCER, packet.Forwarded(
            path, 1, number, number, self.version, body), self.now))

    def check_effect(self, item):
        """Check an effect against the model."""
        if isinstance(item, message.CallTarget):
            service, identity = item.payload.split(b'|', 1)
            assert service.decode() == SERVICES[self.service]
            assert not self.agent.silent, 'another target may have the address'
            assert identity not in self.may_have_run, 'dispatched twice'
            assert identity not in self.refused_not_run, 'refused, then run'
            assert identity not in self.cancelled, 'cancelled, then run'
            assert len(self.calls) < 3, 'more than the slots'
            self.calls[item.key] = identity
            self.may_have_run.add(identity)
        elif isinstance(item, packet.Egress):
            self.check_reply(item.packet)

    def check_reply(self, body):
        identity = b'%d|%d' % (body.flow_key, body.number)
        self.reasons.append(getattr(body, 'reason', ''))
        if isinstance(body, packet.Answer):
            whole = self.answers[identity]
            start = body.part * packet.MAXIMUM_PAYLOAD_BYTES
            end = start + packet.MAXIMUM_PAYLOAD_BYTES
            assert body.payload == whole[start:end]
        elif body.verdict == verdict.Verdict.NOT_RUN:
            assert identity not in self.may_have_run, 'ran, then refused'
            self.refused_not_run.add(identity)
        elif body.verdict == verdict.Verdict.RAN:
            assert identity in self.answers

    @stateful.rule(duplicate=strategies.booleans())
    def open(self, duplicate):
        # Callers draw a new key for each flow; a resent Open repeats it.
        self.last_flow_key += not (duplicate and self.last_flow_key)
        key = self.last_flow_key
        for produced in self.pipeline.process(message.Arrival(
                BALANCER, packet.Forwarded(
                    packet.ReturnPath(
                        FABRIC, AGENT, SERVICE_ADDRESSES[self.service]),
                    1, self.service + 1, self.service + 1, self.version,
                    packet.Open(key)), self.now), self.now):
            opened = produced.packet.packet
            if isinstance(opened, packet.Opened):
                opened_flow = (SERVICES[self.service], key, opened.token)
                # A resent Open may open a second flow after the first one
                # ended. A caller never sends the same request number on it.
                if key not in [flow_key for _, flow_key, _ in self.tokens]:
                    self.tokens.append(opened_flow)

    @stateful.precondition(lambda self: self.tokens)
    @stateful.rule(
        data=strategies.data(),
        number=strategies.sampled_from([1, 2, 3, 4, 66]),
        wait=strategies.sampled_from([1, 300, 9000]),
        misrouted=strategies.sampled_from(ONE_IN_FOUR),
        acknowledged=strategies.sampled_from([1, 1, 1, 1, 1, 3]))
    def request(self, data, number, wait, misrouted, acknowledged):
        service, key, opened = data.draw(strategies.sampled_from(self.tokens))
        identity = b'%s|%d|%d' % (service.encode(), key, number)
        self.deliver(packet.Request(
            key, opened, number, False, wait, acknowledged, identity),
            1 - self.service if misrouted else None)

    @stateful.precondition(lambda self: self.tokens)
    @stateful.rule(
        data=strategies.data(), number=strategies.integers(1, 4),
        closes=strategies.booleans())
    def cancel_or_close(self, data, number, closes):
        _, key, opened = data.draw(strategies.sampled_from(self.tokens))
        if closes and number == 1:
            self.deliver(packet.Close(key, opened))
        else:
            self.cancelled.add(b'%d|%d' % (key, number))
            self.deliver(packet.Cancel(key, opened, number))

    @stateful.precondition(lambda self: self.calls)
    @stateful.rule(
        data=strategies.data(), ran=strategies.sampled_from(
            ['answered', 'answered', 'lost', 'failed', 'not run']),
        size=strategies.sampled_from([0, 1199, 1200, 3000, 90_000]))
    def report(self, data, ran, size):
        key = data.draw(strategies.sampled_from(list(self.calls)))
        identity = self.calls.pop(key)
        if ran == 'answered':
            self.answers[identity] = identity.ljust(size, b'.')
            self.feed(message.TargetAnswered(
                key, self.answers[identity], 10.0))
            return
        if ran == 'not run':
            self.may_have_run.discard(identity)
        reason = 'target-ConnectionResetError' if ran == 'lost' else (
            'target-status-503')
        self.feed(message.TargetFailed(key, ran != 'not run', reason, 1.0))

    @stateful.rule(
        duration=strategies.sampled_from([20, 20, 300, 5000, 31_000]))
    def advance(self, duration):
        self.now += duration
        for name in (admission.TICK, expiry.TICK):
            self.feed(timer.Tick(name))

    @stateful.rule(restarts=strategies.booleans())
    def target_announces(self, restarts):
        self.target_run += restarts
        self.announce()

    @stateful.rule(
        configured=strategies.booleans(),
        changes=strategies.sampled_from(ONE_IN_FOUR))
    def target_changes_service(self, configured, changes):
        if not changes:
            return
        self.service = 1 - self.service
        self.target_run += 1
        self.announce()
        if configured:
            self.configure_target()

    @stateful.rule(drained=strategies.sampled_from(ONE_IN_FOUR))
    def operators_drain(self, drained):
        self.configure_target(drained)

    @stateful.invariant()
    def memory_is_bounded(self):
        agent = self.agent
        records = [
            record for flow in agent.flow_by_serial.values()
            for record in flow.record_by_number.values()]
        assert len(agent.flow_by_serial) <= CONNECTIONS
        assert len(agent.serial_by_opener) == len(agent.flow_by_serial)
        assert len(self.admitted.queue) <= QUEUE_LENGTH
        assert len(records) <= CONNECTIONS * packet.REQUEST_WINDOW
        stored = sum(
            len(part) for record in records for part in record.parts)
        assert stored == agent.answer_bytes <= ANSWER_LIMIT

    @stateful.invariant()
    def calls_are_known(self):
        assert set(self.calls) == self.admitted.in_flight


# Without the shrink phase, which takes longer than the timeout of a test.
AgentMachine.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=50,
    phases=[hypothesis.Phase.generate])


class TestAgent(AgentMachine.TestCase):
    """Guards against requests that run twice and false refusals.

    It also guards against wrong answers and unbounded memory.
    """


@pytest.mark.parametrize('fault, reason', [
    ('cancelled', 'cancelled'), ('earlier run', 'flow-ended'),
    ('other flow', 'flow-ended'), ('refused', 'deadline'),
    ('silent target', 'deadline')])
def test_request_is_not_dispatched(fault, reason):
    """Guards against dispatching a cancelled, refused or foreign request.

    A target of another service may have the address of a silent one.
    """
    machine = AgentMachine()
    machine.open(duplicate=False)
    service, key, opened = machine.tokens[0]
    first, second = [
        packet.Request(key, opened, number, False, 300, 1,
                       b'%s|%d|%d' % (service.encode(), key, number))
        for number in (1, 2)]
    machine.deliver(first)
    (running,) = machine.calls
    if fault == 'cancelled':
        machine.cancelled.add(b'%d|1' % key)
        machine.deliver(packet.Cancel(key, opened, 1))
        machine.calls.clear()
        machine.may_have_run.clear()
        machine.feed(message.TargetFailed(
            running, False, 'target-status-503', 1.0))
    elif fault == 'refused':
        machine.deliver(second)
        machine.advance(301)
        machine.deliver(second)
        machine.answers[b'%d|1' % key] = b''
        machine.feed(message.TargetAnswered(running, b'', 301.0))
    elif fault == 'silent target':
        machine.feed(message.TargetFailed(
            running, True, 'target-status-500', 1.0))
        machine.now += announcing.ANNOUNCEMENT_TIMEOUT_MS
        machine.feed(timer.Tick(announcing.TICK))
        machine.deliver(second)
    else:
        changed = {'earlier run': opened.replace(incarnation=1),
                   'other flow': opened.replace(serial=99)}
        machine.feed(message.TargetFailed(
            running, True, 'target-status-500', 1.0))
        machine.deliver(second.replace(token=changed[fault]))
    machine.calls.clear()
    machine.advance(300)
    assert machine.calls == {}
    assert reason in machine.reasons
