"""State machine over the agent's stages, with a model of what ran."""

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
from poplarstep.requests import assembly
from poplarstep.requests import expiry
from poplarstep.requests import message

PLACE = address.Address('10.2.0.1', 1)
BALANCER = address.Address('10.1.0.1', 2)
FABRIC = address.Address('10.3.0.1', 1)
ADDRESSES = tuple(address.Address('10.4.0.%d' % n, 53) for n in (1, 2))
SERVICES = ('dispatch', 'certs')
ANSWER_LIMIT = 2500
QUEUE_LENGTH = 5
CONNECTIONS = 6
DRAIN_MS = 4000
RARELY = (False, False, False, True)
INCARNATION = 7


class AgentMachine(stateful.RuleBasedStateMachine):
    """Any order of packets, target reports, changes and time."""

    def __init__(self):
        super().__init__()
        self.now = 1000
        self.version = 0
        self.target_run = 1
        self.pipeline, self.agent, self.admitted = assembly.make_pipeline({
            'node': 'a', 'data-centre': 'maadi', 'agent-address': PLACE,
            'upstreams': (PLACE,), 'flow-idle': 30_000,
            'answer-bytes': ANSWER_LIMIT, 'queue-length': QUEUE_LENGTH,
        }, INCARNATION)
        self.service = 0
        self.keys = 0
        self.tokens = []
        self.calls = {}
        self.may_have_run = set()
        self.told_not_run = set()
        self.cancelled = set()
        self.reasons = []
        self.answers = {}
        self.put([
            model.Service(name, number, ADDRESSES[number - 1], 0, DRAIN_MS,
                          (), 1)
            for number, name in enumerate(SERVICES, 1)])
        self.announce()
        self.put_target()
        self.advance(2000)

    def put(self, bodies):
        self.version += 1
        self.agent.catalogue.apply([
            model.Change(self.version, body) for body in bodies])

    def put_target(self, drained=False):
        self.put([model.Target(
            'a', self.service + 1, self.service + 1, 1, PLACE, INCARNATION,
            self.version + 1, 3, CONNECTIONS, False, drained, 1)])

    def announce(self):
        self.feed(message.TargetState(
            SERVICES[self.service], PLACE, self.target_run, 3, CONNECTIONS,
            1, False))

    def feed(self, item):
        for produced in self.pipeline.process(item, self.now):
            self.judge(produced)

    def arrive(self, body, service=None):
        place = ADDRESSES[self.service if service is None else service]
        number = ADDRESSES.index(place) + 1
        path = packet.ReturnPath(FABRIC, PLACE, place)
        self.feed(message.Arrival(BALANCER, packet.Forwarded(
            path, 1, number, number, self.version, body), self.now))

    def judge(self, item):
        """Compare an effect with the model."""
        if isinstance(item, message.CallTarget):
            service, identity = item.payload.split(b'|', 1)
            assert service.decode() == SERVICES[self.service]
            assert identity not in self.may_have_run, 'dispatched twice'
            assert identity not in self.told_not_run, 'refused, then run'
            assert identity not in self.cancelled, 'cancelled, then run'
            assert len(self.calls) < 3, 'more than the slots'
            self.calls[item.key] = identity
            self.may_have_run.add(identity)
        elif isinstance(item, packet.Egress):
            self.judge_reply(item.packet)

    def judge_reply(self, body):
        identity = b'%d|%d' % (body.flow_key, body.number)
        self.reasons.append(getattr(body, 'reason', ''))
        if isinstance(body, packet.Answer):
            whole = self.answers[identity]
            start = body.part * packet.MAXIMUM_PAYLOAD_BYTES
            end = start + packet.MAXIMUM_PAYLOAD_BYTES
            assert body.payload == whole[start:end]
        elif body.verdict == verdict.Verdict.NOT_RUN:
            assert identity not in self.may_have_run, 'ran, then refused'
            self.told_not_run.add(identity)
        elif body.verdict == verdict.Verdict.RAN:
            assert identity in self.answers

    @stateful.rule(again=strategies.booleans())
    def open(self, again):
        # Callers draw a new key for each flow; a copy repeats it.
        self.keys += not (again and self.keys)
        key = self.keys
        for produced in self.pipeline.process(message.Arrival(
                BALANCER, packet.Forwarded(
                    packet.ReturnPath(
                        FABRIC, PLACE, ADDRESSES[self.service]),
                    1, self.service + 1, self.service + 1, self.version,
                    packet.Open(key)), self.now), self.now):
            opened = produced.packet.packet
            if isinstance(opened, packet.Opened):
                pair = (SERVICES[self.service], key, opened.token)
                # A flow that ended keeps its key: a caller never sends the
                # same number on the flow that follows it.
                if key not in [known for _, known, _ in self.tokens]:
                    self.tokens.append(pair)

    @stateful.precondition(lambda self: self.tokens)
    @stateful.rule(
        data=strategies.data(),
        number=strategies.sampled_from([1, 2, 3, 4, 66]),
        wait=strategies.sampled_from([1, 300, 9000]),
        strays=strategies.sampled_from(RARELY),
        acknowledged=strategies.sampled_from([1, 1, 1, 1, 1, 3]))
    def request(self, data, number, wait, strays, acknowledged):
        service, key, opened = data.draw(strategies.sampled_from(self.tokens))
        identity = b'%s|%d|%d' % (service.encode(), key, number)
        self.arrive(packet.Request(
            key, opened, number, False, wait, acknowledged, identity),
            1 - self.service if strays else None)

    @stateful.precondition(lambda self: self.tokens)
    @stateful.rule(
        data=strategies.data(), number=strategies.integers(1, 4),
        closes=strategies.booleans())
    def cancel_or_close(self, data, number, closes):
        _, key, opened = data.draw(strategies.sampled_from(self.tokens))
        if closes and number == 1:
            self.arrive(packet.Close(key, opened))
        else:
            self.cancelled.add(b'%d|%d' % (key, number))
            self.arrive(packet.Cancel(key, opened, number))

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
        known=strategies.booleans(), changes=strategies.sampled_from(RARELY))
    def target_changes_service(self, known, changes):
        if not changes:
            return
        self.service = 1 - self.service
        self.target_run += 1
        self.announce()
        if known:
            self.put_target()

    @stateful.rule(drained=strategies.sampled_from(RARELY))
    def operators_drain(self, drained):
        self.put_target(drained)

    @stateful.invariant()
    def memory_is_bounded(self):
        agent = self.agent
        records = [
            known for flow in agent.flow_by_serial.values()
            for known in flow.record_by_number.values()]
        assert len(agent.flow_by_serial) <= CONNECTIONS
        assert len(agent.serial_by_opener) == len(agent.flow_by_serial)
        assert len(self.admitted.queue) <= QUEUE_LENGTH
        assert len(records) <= CONNECTIONS * packet.REQUEST_WINDOW
        held = sum(len(part) for known in records for part in known.parts)
        assert held == agent.answer_bytes <= ANSWER_LIMIT

    @stateful.invariant()
    def calls_are_known(self):
        assert set(self.calls) == self.admitted.in_flight


# Shrinking a failure takes longer than the timeout of a test.
AgentMachine.TestCase.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=50,
    phases=[hypothesis.Phase.generate])


class TestAgent(AgentMachine.TestCase):
    """Guards against double runs, false refusals and growing memory."""


@pytest.mark.parametrize('fault, reason', [
    ('cancelled', 'cancelled'), ('earlier run', 'flow-ended'),
    ('other flow', 'flow-ended'), ('refused', 'deadline')])
def test_request_is_not_dispatched(fault, reason):
    """Guards against a dispatch after a verdict or for another run."""
    machine = AgentMachine()
    machine.open(again=False)
    service, key, opened = machine.tokens[0]
    first, second = [
        packet.Request(key, opened, number, False, 300, 1,
                       b'%s|%d|%d' % (service.encode(), key, number))
        for number in (1, 2)]
    machine.arrive(first)
    (running,) = machine.calls
    if fault == 'cancelled':
        machine.cancelled.add(b'%d|1' % key)
        machine.arrive(packet.Cancel(key, opened, 1))
        machine.calls.clear()
        machine.may_have_run.clear()
        machine.feed(message.TargetFailed(
            running, False, 'target-status-503', 1.0))
    elif fault == 'refused':
        machine.arrive(second)
        machine.advance(301)
        machine.arrive(second)
        machine.answers[b'%d|1' % key] = b''
        machine.feed(message.TargetAnswered(running, b'', 301.0))
    else:
        changed = {'earlier run': opened.replace(incarnation=1),
                   'other flow': opened.replace(serial=99)}
        machine.feed(message.TargetFailed(
            running, True, 'target-status-500', 1.0))
        machine.arrive(second.replace(token=changed[fault]))
    machine.calls.clear()
    machine.advance(300)
    assert machine.calls == {}
    assert reason in machine.reasons
