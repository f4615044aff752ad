r"""A whole system in memory: control, balancers, agents, targets, callers.

Explanation
===========

``System`` starts and changes the nodes, and records what callers are told.
The targets are the judges of what ran, and ``faults`` compares both.
"""

from poplarstep.caller import message
from poplarstep.configuration import command
from poplarstep.configuration import machine as machines
from poplarstep.core import address
from poplarstep.core import simulation
from poplarstep.core import verdict
from poplarstep.dissemination import message as dissemination
from scenarios import fabric
from scenarios import nodes
from scenarios import settings
from scenarios import target as targets

MOST_OFFSET_MS = 100_000


class Asked:
    r"""One request of a caller and what the caller was told."""

    __slots__ = (
        'flow_key', 'payload', 'idempotent', 'asked_at', 'number', 'outcome',
        'told_at')

    def __init__(self, flow_key, payload, idempotent, asked_at):
        self.asked_at = asked_at
        self.flow_key = flow_key
        self.payload = payload
        self.idempotent = idempotent
        self.number = 0
        self.outcome = None
        self.told_at = None

    def verdict(self):
        r"""Return the verdict that the caller was told, or None."""
        if self.outcome is None:
            return None
        return verdict.Verdict(self.outcome.verdict)


class System:
    r"""Nodes, targets and callers of one run."""

    __slots__ = (
        'driver', 'published', 'fabric', 'caller', 'balancer_by_name',
        'agent_by_name', 'admission_by_name', 'host_by_name',
        'target_by_name', 'data_centre_by_name', 'deadline_by_payload',
        'asked', 'asked_by_identity', 'started', 'failed', 'sequence',
        'service_by_flow', 'asks_by_flow', 'home_by_flow', 'incarnation',
        'agent_settings', 'balancer_settings')

    def __init__(self, driver):
        self.driver = driver
        self.sequence = 0
        self.incarnation = 0
        self.balancer_by_name = {}
        self.agent_by_name = {}
        self.admission_by_name = {}
        self.host_by_name = {}
        self.target_by_name = {}
        self.data_centre_by_name = {}
        self.deadline_by_payload = {}
        self.asked = []
        self.asked_by_identity = {}
        self.started = set()
        self.failed = {}
        self.service_by_flow = {}
        self.asks_by_flow = {}
        self.home_by_flow = {}
        self.agent_settings = {}
        self.balancer_settings = {}
        self.published = nodes.add_publisher(driver)
        self.fabric = fabric.make_fabric(driver, settings.SERVICE_ADDRESSES)
        self.caller = nodes.add_callers(driver, self._tell)

    def run(self, duration_ms):
        r"""Let simulated time pass."""
        self.driver.run(self.driver.now + duration_ms)

    def command(self, body):
        r"""Apply an operator's command and return its outcome."""
        self.sequence += 1
        catalogue = self.published.machine.catalogue
        outcome = machines.apply_command(
            self.published.machine, command.Command(
                'operator', self.sequence, catalogue.version, body))
        self.driver.post('control', dissemination.CatalogueChanged(
            catalogue.version))
        return outcome

    def create_service(self, name, index, priority=0):
        r"""Create a service at one of the fabric's addresses."""
        return self.command(command.CreateService(
            name, settings.SERVICE_ADDRESSES[index], priority,
            settings.DRAIN_DEADLINE_MS))

    def service_address(self, name):
        r"""Return the present address of a service."""
        catalogue = self.published.machine.catalogue
        return catalogue.service_by_name[name].address

    def start_balancer(self, name):
        r"""Start a balancer, or start it again."""
        numbers = self.host_by_name
        number = numbers.setdefault(name, len(numbers) + 1)
        self.incarnation += 1
        self.balancer_by_name[name] = nodes.add_balancer(
            self.driver, name, number, self.incarnation,
            self.driver.random.randint(0, MOST_OFFSET_MS),
            self.balancer_settings)
        if self._front(name) not in self.fabric.fronts:
            self.fabric.fronts.append(self._front(name))

    def stop_balancer(self, name):
        r"""End a balancer; the fabric sends to it until it notices."""
        self.driver.kill(name)
        del self.balancer_by_name[name]
        self.driver.at(
            self.driver.now + fabric.NOTICE_MS, lambda: self._notice(name))

    def start_target(self, name, service, plan, host=None):
        r"""Start a target and its agent on a host of their own."""
        numbers = self.host_by_name
        number = host or numbers.setdefault(name, len(numbers) + 1)
        numbers[name] = number
        self.data_centre_by_name[name] = settings.DATA_CENTRES[
            len(self.target_by_name) % len(settings.DATA_CENTRES)]
        target = targets.Target(
            self.driver, name, settings.agent_ip(number), service, plan,
            self.deadline_by_payload)
        self.target_by_name[name] = target
        self.start_agent(name)
        target.start()

    def start_agent(self, name):
        r"""Start the agent of a target, or start it again."""
        self.incarnation += 1
        agent, admitted = nodes.add_agent(
            self.driver, name, self.host_by_name[name],
            self.data_centre_by_name[name], self.incarnation,
            self.target_by_name[name], self.agent_settings)
        self.agent_by_name[name] = agent
        self.admission_by_name[name] = admitted

    def first_agent(self):
        r"""Return the state of the agent of the first target."""
        return next(iter(self.agent_by_name.values()))

    def open_flows(self, service, count, deadline_ms=3000):
        r"""Open flows to a service; return their keys."""
        keys = []
        for _ in range(count):
            key = self.driver.random.getrandbits(64)
            self.service_by_flow[key] = service
            keys.append(key)
            self.driver.post('callers', message.StartFlow(
                key, self.service_address(service), deadline_ms))
        return keys

    def ask(self, flow_key, idempotent=False, deadline_ms=2000):
        r"""Send a request on an open flow; return its ``Asked``."""
        service = self.service_by_flow[flow_key]
        payload = b'%s|%d' % (service.encode(), len(self.asked))
        asked = Asked(flow_key, payload, idempotent, self.driver.now)
        self.asked.append(asked)
        self.deadline_by_payload[payload] = self.driver.now + deadline_ms
        number = 1 + self.asks_by_flow.get(flow_key, 0)
        self.asks_by_flow[flow_key] = number
        asked.number = number
        self.asked_by_identity[flow_key, number] = asked
        self.driver.post('callers', message.SendRequest(
            flow_key, payload, idempotent, deadline_ms))
        return asked

    def ask_all(self, keys, **properties):
        r"""Send one request on each of the flows."""
        return [self.ask(key, **properties) for key in keys]

    def remember_homes(self, keys):
        r"""Record at which target each of the flows has been opened."""
        name_by_place = {
            agent.agent_address: name
            for name, agent in self.agent_by_name.items()}
        for key in keys:
            token = self.caller.flow_by_key[key].token
            self.home_by_flow[key] = name_by_place[token.agent]

    def with_verdict(self, decided):
        r"""Return the requests whose callers were told a verdict."""
        return [item for item in self.asked if item.verdict() is decided]

    def runs(self, asked):
        r"""Return how often a request ran at any target."""
        return sum(
            target.runs_by_payload[asked.payload]
            for target in self.target_by_name.values())

    def ran_at(self, asked):
        r"""Return the names of the targets at which a request ran."""
        return [
            name for name, target in self.target_by_name.items()
            if target.runs_by_payload[asked.payload]]

    def faults(self):
        r"""Return what was broken that must always hold."""
        found = []
        for asked in self.asked:
            found.extend(self._faults_of(asked))
        for name, target in self.target_by_name.items():
            if target.foreign:
                found.append('%s got %d requests of another service' % (
                    name, target.foreign))
        return found

    def _faults_of(self, asked):
        runs = self.runs(asked)
        decided = asked.verdict()
        if runs > 1 and not asked.idempotent:
            yield '%r ran %d times' % (asked.payload, runs)
        if decided is None:
            yield '%r has no outcome' % asked.payload
        elif decided is verdict.Verdict.NOT_RUN and runs and (
                not asked.idempotent):
            yield '%r ran and was refused as not run' % asked.payload
        elif decided is verdict.Verdict.RAN:
            expected = b'answer to ' + asked.payload
            whole = asked.outcome.payload.rstrip(b'.') == expected
            if not runs or not (whole or asked.outcome.reason):
                yield '%r got %r' % (asked.payload, asked.outcome)

    def _notice(self, name):
        if name not in self.balancer_by_name:
            self.fabric.fronts.remove(self._front(name))

    def _front(self, name):
        return address.Address(
            settings.balancer_ip(self.host_by_name[name]),
            settings.FRONT_PORT)

    def _tell(self, item):
        if isinstance(item, message.FlowStarted):
            self.started.add(item.flow_key)
        elif isinstance(item, message.FlowFailed):
            self.failed[item.flow_key] = item.reason
        else:
            asked = self.asked_by_identity[item.flow_key, item.number]
            if asked.outcome is not None:
                raise AssertionError(
                    'two outcomes: %r and %r' % (asked.outcome, item))
            asked.outcome = item
            asked.told_at = self.driver.now


def make_system(seed, balancers=3, faults=None, **balancer_settings):
    r"""Return a running system without services."""
    system = System(simulation.make_driver(seed, faults))
    system.balancer_settings = balancer_settings
    for number in range(1, balancers + 1):
        system.start_balancer('balancer-%d' % number)
    return system
