"""State machine over a caller, two balancers and two agents in memory."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from poplarstep.configuration import command
from scenarios import changes
from scenarios import system as systems
from scenarios import target as targets

DEADLINE_MS = 1500
NODES = ('balancer-1', 'balancer-2', 'dispatch-1', 'dispatch-2', 'fabric')
CHANGES = (
    'the restart of a target', 'a restart with the same incarnation',
    'the restart of the agent alone', 'the restart of target and agent',
    'a loss of answers for 800 ms', 'the cancellation of all requests',
    'a stall of the agents for 700 ms', 'the restart of all balancers',
    'an address change of the service', 'the departure of a target',
)


class SystemMachine(stateful.RuleBasedStateMachine):
    """Requests, failures and changes in any order."""

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
    def send_requests(self, flow, count, idempotent):
        for _ in range(count):
            self.system.send_request(self.keys[flow], idempotent, DEADLINE_MS)

    @stateful.rule(duration=strategies.sampled_from([2, 30, 400]))
    def time_passes(self, duration):
        self.system.run(duration)

    @stateful.rule(name=strategies.sampled_from(changes.NETWORKS.names()))
    def change_network(self, name):
        self.system.driver.faults = changes.NETWORKS.find(name).unwrap()

    @stateful.rule(
        source=strategies.sampled_from(NODES),
        destination=strategies.sampled_from(NODES))
    def cut(self, source, destination):
        self.system.driver.cut(source, destination)

    @stateful.rule()
    def heal(self):
        self.system.driver.heal()

    @stateful.rule(name=strategies.sampled_from(CHANGES))
    def apply_change(self, name):
        changes.CHANGES.find(name).unwrap()(self.system)

    @stateful.rule(drained=strategies.booleans())
    def drain(self, drained):
        self.system.command(command.DrainTarget('dispatch-2', drained))

    @stateful.invariant()
    def no_guarantee_is_violated(self):
        assert [
            violation for violation in self.system.violations()
            if not violation.endswith('has no outcome')] == []

    def teardown(self):
        """Check that every request has an outcome after its deadline."""
        self.system.run(DEADLINE_MS + 100)
        assert self.system.violations() == []


# No shrinking: for a failure it takes longer than the timeout of a test.
SystemMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=30,
    phases=[hypothesis.Phase.generate])


class TestSystem(SystemMachine.TestCase):
    """Guards against faults in sequences that no feature file has."""
