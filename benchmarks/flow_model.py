r"""Simulation of callers, balancers, agents and targets of opaque flows.

Explanation
===========

The stages of ``poplarstep.opaque_flows`` run unchanged; network, targets and
callers are simulated by events on one clock. ``benchmarks.flow_callers`` and
``benchmarks.flow_targets`` hold the two ends of the flows.
"""

import heapq
import itertools
import random

from benchmarks import flow_callers
from benchmarks import flow_counting
from benchmarks import flow_scenario
from benchmarks import flow_targets
from poplarstep.configuration import catalogue as catalogues
from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import timer
from poplarstep.opaque_flows import agent
from poplarstep.opaque_flows import agent_state
from poplarstep.opaque_flows import balancer
from poplarstep.opaque_flows import balancer_state
from poplarstep.opaque_flows import ejection
from poplarstep.opaque_flows import locality
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import placement

SERVICE = 1
TICK_MS = 20
NODE_DELAY_MS = 0.9
TARGET_DELAY_MS = 0.2
PROCESSING_MS = 0.2
FIRST_PORT = 1024


class Simulation:
    r"""Nodes, pending events and results of one run; times in ms.

    ``connection_by_flow`` holds the flows of ``benchmarks.flow_requests``.
    """

    __slots__ = (
        'scenario', 'random', 'events', 'order', 'now', 'outcome', 'balancers',
        'targets', 'request_by_flow', 'ports', 'end_ms', 'load_random',
        'connection_by_flow', 'catalogue', 'lost_agents', 'centre_by_address')

    def __init__(
            self, scenario, generator, placement_name, tied_percent=0,
            avoid_failing='off', locality_name='none', load_reports='off'):
        self.lost_agents = set()
        self.scenario = scenario
        self.random = generator
        self.load_random = generator
        if scenario.load_seed is not None:
            self.load_random = random.Random(scenario.load_seed)
        elif scenario.requests_per_flow > 1:
            # The same flows arrive under each placement.
            self.load_random = random.Random(generator.random())
        self.events = []
        self.order = itertools.count()
        self.now = 0.0
        self.end_ms = 0.0
        self.outcome = flow_scenario.Outcome()
        self.request_by_flow = {}
        self.connection_by_flow = {}
        self.ports = itertools.count(FIRST_PORT)
        catalogue = self.catalogue = make_catalogue(scenario)
        self.balancers = {
            address.Address('10.1.0.%d' % number, 1):
            balancer_state.make_flow_balancer(
                catalogue, lambda now: now >= scenario.confirmed_at_ms,
                placement.make_placement(placement_name, generator),
                generator, tied_percent=tied_percent,
                locality=locality.make_locality(
                    locality_name, centre_name(number % scenario.centres)))
            for number in range(scenario.balancers)}
        self.targets = {
            agent_address(number): flow_targets.Target(
                number, factor,
                make_agent(number, catalogue, scenario, load_reports))
            for number, factor in enumerate(scenario.service_factors)}
        for state in self.balancers.values():
            state.placement.ejection = ejection.make_ejection(
                avoid_failing, catalogue)
        self.centre_by_address = {
            item: position % scenario.centres
            for addresses in (self.balancers, self.targets)
            for position, item in enumerate(addresses)}

    def after(self, delay_ms, function, *arguments):
        r"""Call a function after a delay."""
        heapq.heappush(self.events, (
            self.now + delay_ms, next(self.order), function, arguments))

    def run(self, duration_ms):
        r"""Start requests for ``duration_ms`` and run until all have ended."""
        self.end_ms = duration_ms
        for node_address in self.targets:
            self.after(0, flow_targets.send_heartbeat, self, node_address)
        for node_address in [*self.targets, *self.balancers]:
            self.after(
                self.random.random() * TICK_MS, run_tick, self, node_address)
        if self.scenario.requests_per_s:
            self.after(0, flow_callers.start_request, self)
        if self.scenario.lost_centre_at_ms is not None:
            self.after(
                self.scenario.lost_centre_at_ms, lose_first_centre, self)
        for changed_at, out in (
                (self.scenario.centre_out_at_ms, True),
                (self.scenario.centre_back_at_ms, False)):
            if changed_at is not None:
                self.after(changed_at, self.catalogue.apply, [model.Change(
                    2, model.DataCentre(centre_name(0), 1, out, 2))])
        while self.events:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        return self.outcome

    @property
    def clock(self):
        r"""Return the time that nodes read, in whole ms."""
        return int(self.now)

    def receive_from_caller(self, node_address, segment):
        r"""Process a caller's packet at a balancer."""
        segment.datagram = segment
        perform(self, node_address, balancer.BALANCER.process(
            self.balancers[node_address], message.FromCaller(segment),
            self.clock))

    def receive_from_target(self, node_address, segment):
        r"""Process a target's packet at its agent."""
        perform(self, node_address, agent.AGENT.process(
            self.targets[node_address].agent_state,
            message.FromTarget(segment), self.clock))


def make_agent(number, catalogue, scenario, load_reports):
    r"""Return the state of an agent."""
    return agent_state.make_flow_agent({
        'node': 'side-%d' % number,
        'data-centre': centre_name(number % scenario.centres),
        'agent-address': agent_address(number), 'target-fresh': 1900,
        'flow-limit': 0, 'cold-factor': 1.0, 'cold-slack': 1.0,
        'request-queue': scenario.request_queue,
        'load-reports': load_reports,
    }, catalogue, 1, 0)


def agent_address(number):
    r"""Return the address of an agent."""
    return address.Address('10.2.%d.%d' % divmod(number, 256), 1)


def centre_name(position):
    r"""Return the name of a data centre."""
    return 'centre-%d' % position


def lose_first_centre(simulation):
    r"""Stop the targets of the first data centre, with their agents."""
    for number in range(
            0, len(simulation.targets), simulation.scenario.centres):
        simulation.lost_agents.add(agent_address(number))


def make_catalogue(scenario):
    r"""Return the configuration of a run."""
    catalogue = catalogues.Catalogue()
    bodies = [
        model.Service('service', SERVICE, None, 0, 1000, (), 1, 0.0),
        model.Policy(1, 15_000, 1),
        model.Route('route', 1, flow_scenario.ROUTE_ADDRESS, True, 1,
                    scenario.limit_ms, scenario.objective_ms,
                    (model.Share(SERVICE, 1),), 1),
    ] + [
        model.Route(kind.name, kind.port, kind.route_address(), True,
                    kind.priority, kind.timeout_ms, kind.objective_ms,
                    (model.Share(SERVICE, 1),), 1)
        for kind in scenario.kinds
    ] + [
        model.DataCentre(
            centre_name(position), 1 + position,
            position == 0 and scenario.centre_back_at_ms is not None, 1)
        for position in range(scenario.centres)
    ] + [
        model.Target('side-%d' % number, number, SERVICE,
                     1 + number % scenario.centres, agent_address(number), 1,
                     1, scenario.slots, 1, False, False, 1)
        for number in range(len(scenario.service_factors))]
    catalogue.apply([model.Change(1, body) for body in bodies])
    return catalogue


def run_tick(simulation, node_address):
    r"""Process a tick of a node and schedule the next one."""
    if node_address in simulation.targets:
        effects = agent.AGENT.process(
            simulation.targets[node_address].agent_state,
            timer.Tick(agent.TICK), simulation.clock)
    else:
        effects = balancer.BALANCER.process(
            simulation.balancers[node_address], timer.Tick(balancer.TICK),
            simulation.clock)
    perform(simulation, node_address, effects)
    if simulation.now < simulation.end_ms + simulation.scenario.limit_ms:
        simulation.after(TICK_MS, run_tick, simulation, node_address)


def receive_from_node(simulation, source, node_address, item):
    r"""Process the message of a node at another node."""
    if node_address in simulation.lost_agents:
        return
    simulation.outcome.hops += 1
    event = message.FromNode(source, item)
    if node_address in simulation.targets:
        effects = agent.AGENT.process(
            simulation.targets[node_address].agent_state, event,
            simulation.clock)
    else:
        effects = balancer.BALANCER.process(
            simulation.balancers[node_address], event, simulation.clock)
    perform(simulation, node_address, effects)


def perform(simulation, node_address, effects):
    r"""Perform the effects of a node: schedule the packets that it sends."""
    for item in effects:
        kind = type(item)
        if kind is message.ToNode:
            flow_counting.count_message(simulation, node_address, item)
            simulation.after(
                NODE_DELAY_MS + PROCESSING_MS, receive_from_node, simulation,
                node_address, item.destination, item.message)
        elif kind is message.ToTarget:
            simulation.after(
                TARGET_DELAY_MS, flow_targets.receive_at_target, simulation,
                node_address, item.datagram)
        elif kind is message.ToCaller:
            simulation.after(
                simulation.scenario.caller_delay_ms,
                flow_callers.receive_at_caller, simulation, item.datagram)
        elif kind is message.ResetFlow:
            simulation.after(
                simulation.scenario.caller_delay_ms, flow_callers.reset_flow,
                simulation, item.flow)
        elif kind is effect.LogEvent:
            flow_counting.count_decision(simulation, item)
