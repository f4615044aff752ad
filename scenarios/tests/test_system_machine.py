"""State machine over a caller, two balancers and two agents in memory."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from poplarstep.configuration import command
from scenarios import changes
from scenarios import system as systems
from scenarios import target as targets

DEADLINE_MS = 1500
WAYS = ('balancer-1', 'balancer-2', 'dispatch-1', 'dispatch-2', 'fabric')
EVENTS = (
    'the restart of a target', 'a restart that is never told',
    'the restart of the agent alone', 'the restart of target and agent',
    'answers that are lost for 800 ms', 'the cancellation of all requests',
    'a stall of the agents for 700 ms', 'the restart of all balancers',
    'a new address of the service', 'the leave of a target',
)


class SystemMachine(stateful.RuleBasedStateMachine):
    """Any order of requests, failures and changes."""

    def __init__(self):
        super().__init__()
        self.system = systems.make_system(seed=7, balancers=2)
        self.system.agent_settings.update({'queue-length': 4})
        self.system.create_service('dispatch', 0)
        for name in ('dispatch-1', 'dispatch-2'):
            self.system.start_target(
                name, 'dispatch', targets.Plan(slots=2, answer_bytes=2000))
        self.system.run(2500)
        self.keys = self.system.open_flows('dispatch', 3)
        self.system.run(500)

    @stateful.rule(
        flow=strategies.integers(0, 2), count=strategies.integers(1, 6),
        idempotent=strategies.booleans())
    def ask(self, flow, count, idempotent):
        for _ in range(count):
            self.system.ask(self.keys[flow], idempotent, DEADLINE_MS)

    @stateful.rule(duration=strategies.sampled_from([2, 30, 400]))
    def time_passes(self, duration):
        self.system.run(duration)

    @stateful.rule(name=strategies.sampled_from(changes.NETWORKS.names()))
    def network_becomes(self, name):
        self.system.driver.faults = changes.NETWORKS.find(name).unwrap()

    @stateful.rule(
        source=strategies.sampled_from(WAYS),
        destination=strategies.sampled_from(WAYS))
    def cut(self, source, destination):
        self.system.driver.cut(source, destination)

    @stateful.rule()
    def heal(self):
        self.system.driver.heal()

    @stateful.rule(name=strategies.sampled_from(EVENTS))
    def event(self, name):
        changes.CHANGES.find(name).unwrap()(self.system)

    @stateful.rule(drained=strategies.booleans())
    def drain(self, drained):
        self.system.command(command.DrainTarget('dispatch-2', drained))

    @stateful.invariant()
    def no_outcome_is_false(self):
        assert [
            fault for fault in self.system.faults()
            if not fault.endswith('has no outcome')] == []

    def teardown(self):
        """Check that every request has an outcome after its deadline."""
        self.system.run(DEADLINE_MS + 100)
        assert self.system.faults() == []


# Shrinking a failure takes longer than the timeout of a test.
SystemMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=30,
    phases=[hypothesis.Phase.generate])


class TestSystem(SystemMachine.TestCase):
    """Guards against what no scenario names."""
