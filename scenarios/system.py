r"""A system in memory: control host, balancers, agents, targets and callers.

Explanation
===========

``System`` starts and changes the nodes and records the outcomes that callers
get. The targets record which requests ran. ``System.violations`` compares the
outcomes with the runs.
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

MAXIMUM_CLOCK_OFFSET_MS = 100_000


class CallerRequest:
    r"""One request of a caller and its outcome; simulated times in ms."""

    __slots__ = (
        'flow_key', 'payload', 'idempotent', 'sent_at', 'number', 'outcome',
        'outcome_at')

    def __init__(self, flow_key, payload, idempotent, sent_at):
        self.sent_at = sent_at
        self.flow_key = flow_key
        self.payload = payload
        self.idempotent = idempotent
        self.number = 0
        self.outcome = None
        self.outcome_at = None

    def verdict(self):
        r"""Return the verdict that the caller got, or None."""
        if self.outcome is None:
            return None
        return verdict.Verdict(self.outcome.verdict)


class System:
    r"""Nodes, targets and callers of one simulation.

    A request is identified by its flow key and its number in the flow.
    ``host_by_name`` has the number of the host of each balancer and agent.
    """

    __slots__ = (
        'driver', 'control', 'fabric', 'caller', 'balancer_by_name',
        'agent_by_name', 'admission_by_name', 'host_by_name',
        'target_by_name', 'data_centre_by_name', 'deadline_by_payload',
        'requests', 'request_by_key', 'opened_flows', 'failure_by_flow',
        'sequence', 'service_by_flow', 'request_count_by_flow',
        'target_name_by_flow', 'incarnation', 'agent_settings',
        'balancer_settings')

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
        self.requests = []
        self.request_by_key = {}
        self.opened_flows = set()
        self.failure_by_flow = {}
        self.service_by_flow = {}
        self.request_count_by_flow = {}
        self.target_name_by_flow = {}
        self.agent_settings = {}
        self.balancer_settings = {}
        self.control = nodes.add_publisher(driver)
        self.fabric = fabric.make_fabric(driver, settings.SERVICE_ADDRESSES)
        self.caller = nodes.add_callers(driver, self._record_outcome)

    def run(self, duration_ms):
        r"""Run the simulation for some time."""
        self.driver.run(self.driver.now + duration_ms)

    def command(self, body):
        r"""Apply an operator's command and return its outcome."""
        self.sequence += 1
        catalogue = self.control.machine.catalogue
        outcome = machines.apply_command(
            self.control.machine, command.Command(
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
        r"""Return the current address of a service."""
        catalogue = self.control.machine.catalogue
        return catalogue.service_by_name[name].address

    def start_balancer(self, name):
        r"""Start or restart a balancer."""
        numbers = self.host_by_name
        number = numbers.setdefault(name, len(numbers) + 1)
        self.incarnation += 1
        self.balancer_by_name[name] = nodes.add_balancer(
            self.driver, name, number, self.incarnation,
            self.driver.random.randint(0, MAXIMUM_CLOCK_OFFSET_MS),
            self.balancer_settings)
        if self._front(name) not in self.fabric.fronts:
            self.fabric.fronts.append(self._front(name))

    def stop_balancer(self, name):
        r"""Kill a balancer; the fabric detects this after a delay."""
        self.driver.kill(name)
        del self.balancer_by_name[name]
        self.driver.at(
            self.driver.now + fabric.DETECTION_DELAY_MS,
            lambda: self._detect_failure(name))

    def start_target(self, name, service, plan, host=None):
        r"""Start a target and its agent on a new host, or on host ``host``."""
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
        r"""Start or restart the agent of a target."""
        self.incarnation += 1
        agent, admission = nodes.add_agent(
            self.driver, name, self.host_by_name[name],
            self.data_centre_by_name[name], self.incarnation,
            self.target_by_name[name], self.agent_settings)
        self.agent_by_name[name] = agent
        self.admission_by_name[name] = admission

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

    def send_request(self, flow_key, idempotent=False, deadline_ms=2000):
        r"""Send a request on an open flow; return its ``CallerRequest``."""
        service = self.service_by_flow[flow_key]
        payload = b'%s|%d' % (service.encode(), len(self.requests))
        request = CallerRequest(flow_key, payload, idempotent, self.driver.now)
        self.requests.append(request)
        self.deadline_by_payload[payload] = self.driver.now + deadline_ms
        number = 1 + self.request_count_by_flow.get(flow_key, 0)
        self.request_count_by_flow[flow_key] = number
        request.number = number
        self.request_by_key[flow_key, number] = request
        self.driver.post('callers', message.SendRequest(
            flow_key, payload, idempotent, deadline_ms))
        return request

    def send_requests(self, keys, **properties):
        r"""Send one request on each of the flows."""
        return [self.send_request(key, **properties) for key in keys]

    def record_targets(self, keys):
        r"""Record the target at which each of the flows is open."""
        name_by_address = {
            agent.agent_address: name
            for name, agent in self.agent_by_name.items()}
        for key in keys:
            token = self.caller.flow_by_key[key].token
            self.target_name_by_flow[key] = name_by_address[token.agent]

    def requests_with_verdict(self, wanted):
        r"""Return the requests whose callers got a given verdict."""
        return [item for item in self.requests if item.verdict() is wanted]

    def runs(self, request):
        r"""Return the number of runs of a request at all targets."""
        return sum(
            target.runs_by_payload[request.payload]
            for target in self.target_by_name.values())

    def ran_at(self, request):
        r"""Return the names of the targets at which a request ran."""
        return [
            name for name, target in self.target_by_name.items()
            if target.runs_by_payload[request.payload]]

    def violations(self):
        r"""Return a description of each guarantee that was violated."""
        violations = []
        for request in self.requests:
            violations.extend(self._violations_of(request))
        for name, target in self.target_by_name.items():
            if target.misrouted:
                violations.append('%s got %d requests to another service' % (
                    name, target.misrouted))
        return violations

    def _violations_of(self, request):
        runs = self.runs(request)
        caller_verdict = request.verdict()
        if runs > 1 and not request.idempotent:
            yield '%r ran %d times' % (request.payload, runs)
        if caller_verdict is None:
            yield '%r has no outcome' % request.payload
        elif caller_verdict is verdict.Verdict.NOT_RUN and runs and (
                not request.idempotent):
            yield '%r ran, but was refused as not run' % request.payload
        elif caller_verdict is verdict.Verdict.RAN:
            expected = b'answer to ' + request.payload
            whole = request.outcome.payload.rstrip(b'.') == expected
            if not runs or not (whole or request.outcome.reason):
                yield '%r has the wrong outcome %r' % (
                    request.payload, request.outcome)

    def _detect_failure(self, name):
        if name not in self.balancer_by_name:
            self.fabric.fronts.remove(self._front(name))

    def _front(self, name):
        return address.Address(
            settings.balancer_ip(self.host_by_name[name]),
            settings.FRONT_PORT)

    def _record_outcome(self, item):
        if isinstance(item, message.FlowStarted):
            self.opened_flows.add(item.flow_key)
        elif isinstance(item, message.FlowFailed):
            self.failure_by_flow[item.flow_key] = item.reason
        else:
            request = self.request_by_key[item.flow_key, item.number]
            if request.outcome is not None:
                raise AssertionError(
                    'a request has two outcomes: %r and %r' % (
                        request.outcome, item))
            request.outcome = item
            request.outcome_at = self.driver.now


def make_system(seed, balancers=3, faults=None, **balancer_settings):
    r"""Return a running system without services."""
    system = System(simulation.make_driver(seed, faults))
    system.balancer_settings = balancer_settings
    for number in range(1, balancers + 1):
        system.start_balancer('balancer-%d' % number)
    return system
