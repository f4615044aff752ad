r"""Balancers, agents and the configuration of the schedules of open flows.

Explanation
===========

The stages of balancers and agents run in a ``core.simulation.Driver``, with
the settings that the programs read. Only the ends of the flows
(``schedule_ends``) and the control hosts are fakes: a node gets the changes
of the configuration, and its lease, with its next poll.

For each packet of a flow that a target receives, ``World`` checks that the
caller has sent it so, and that the packets of an open flow do not miss its
own target; for each reset, that the flow is not open.
"""

import collections
import itertools
import random

from poplarstep.configuration import catalogue as catalogues
from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import simulation
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.dissemination import publisher
from poplarstep.edge import plain_format
from poplarstep.opaque_flows import agent
from poplarstep.opaque_flows import agent_assembly
from poplarstep.opaque_flows import agent_state
from poplarstep.opaque_flows import balancer
from poplarstep.opaque_flows import balancer_assembly
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import presence
from poplarstep.opaque_flows import target_probe
from poplarstep.opaque_flows.tests import schedule_ends as ends
from poplarstep.programs import settings

# Unix time of the start of a schedule.
EPOCH_MS = 1_800_000_000_000
NANOSECONDS_PER_MILLISECOND = 1_000_000
POLL_MS = 150
ANNOUNCEMENT_MS = (10, 120)
IDLE_MS = 15_000
# Targets announce themselves, and callers open their first flows, within this
# time. A flow that is opened while the configuration has few targets may be at
# one that is no candidate of it later.
START_MS = 1500
DRAIN_MS, DRAIN_CHECK_MS = 4000, 50
DOWN_MS = (660, 900)
# From a restarted balancer's start until callers' packets reach it again.
READY_MS = 300
SERVICES = ('tablero', 'extracto')

# Invariant 1 of docs/hard_load.md: within this time as many packets of an open
# flow reach other targets, and none reaches its own.
WINDOW_MS, WRONG_PACKETS = 2000, 3
# Copies of one packet that are sent to several agents arrive in any order.
COPY_MS = 50
# A flow whose agent was killed within this time is exempt.
AFTER_KILL_MS = 5000


class World:
    r"""One simulated system.

    Parameters
    ==========

    rotation : set of str
        Balancers to which the network sends packets of callers.
    version : int
        Version of the configuration.
    killed_at : dict
        When an agent was last killed, by name.
    violations : list
        Pairs of a text and the flow that it is about.
    log : list of str
        Starts and ends of processes, for reports.
    counts : Counter
        Requests, answers, timeouts and other totals.
    """

    __slots__ = (
        'driver', 'random', 'flags', 'catalogue', 'version', 'targets',
        'flow_by_key', 'ports', 'rotation', 'front_by_name', 'killed_at',
        'violations', 'log', 'counts', 'state_by_name')

    def __init__(self, seed, targets, balancers, callers, loss, flags):
        self.driver = simulation.make_driver(
            seed, simulation.Faults(1, 3, loss=loss))
        self.random = random.Random(seed)
        self.flags = flags
        self.catalogue = catalogues.Catalogue()
        self.version = 0
        self.flow_by_key = {}
        self.ports = itertools.count(1024)
        self.killed_at = {}
        self.violations = []
        self.log = []
        self.counts = collections.Counter()
        self.state_by_name = {}
        self._configure()
        self.targets = []
        for service, count in zip(SERVICES, targets):
            for _ in range(count):
                self._add_target(service)
        names = ['balancer-%d' % number for number in range(balancers)]
        self.front_by_name = {
            name: address.Address('10.1.0.%d' % number, 7100)
            for number, name in enumerate(names)}
        self.rotation = set(names)
        for name in names:
            self.start_balancer(name)
        self.driver.add(simulation.Node(
            'callers', {ends.CALLERS: self._decode_for_caller},
            stage.Pipeline([]), timer.TimerQueue(), {}))
        for _ in range(callers):
            caller = ends.Caller(self, self.random.sample(names, len(names)))
            self.after(self.random.randrange(START_MS), caller.open_flow)

    def after(self, delay_ms, action):
        r"""Call a function after a time."""
        self.driver.at(self.driver.now + delay_ms, action)

    def unix_ms(self):
        r"""Return the Unix time, by the clock that all hosts share."""
        return EPOCH_MS + self.driver.now

    def note(self, flow, text):
        r"""Add a line to the trace of a flow."""
        flow.trace.append('%6d %s' % (self.driver.now, text))

    def _configure(self):
        for number, name in enumerate(SERVICES):
            self.change(model.Service(
                name, 1 + number, None, 0, 1000, (), 1, 1000.0))
        self.change(model.DataCentre('c', 1, False, 1))
        self.change(model.Policy(1, IDLE_MS, 1))
        self.change(model.Route(
            'roster', 1, ends.ROUTE_ADDRESS, True, 2,
            ends.REQUEST_TIMEOUT_MS, 603,
            (model.Share(1, 4), model.Share(2, 1)), 1))

    def change(self, body):
        r"""Put a new version of an object into force."""
        self.version += 1
        self.catalogue.apply([model.Change(self.version, body)])

    def _announced(self, node, item):
        announcement = item.announcement
        self.after(
            self.random.randint(*ANNOUNCEMENT_MS),
            lambda: self._register(announcement))

    def _register(self, item):
        known = self.catalogue.target_by_name.get(item.name)
        if known is not None and (known.incarnation, known.revision) >= (
                item.incarnation, item.revision):
            return
        number = int(item.name.rpartition('-')[2])
        if not item.ended:
            self.change(model.Target(
                item.name, number,
                self.catalogue.service_by_name[item.service].number, 1,
                item.agent, item.incarnation, item.revision, item.slots,
                item.connections, item.leaving, False, self.version + 1))
        elif known is not None:
            self.change(model.Removal('target', number))

    def _poll(self, node, subscriber_state):
        r"""Give a node the present configuration and a lease."""
        if not node.alive:
            return
        catalogue = subscriber_state.catalogue
        subscriber_state.lease_until = self.driver.now + publisher.LEASE_MS
        if catalogue.version < self.version:
            changes = self.catalogue.changes_since(catalogue.version)
            if changes is None:
                catalogue.restore(self.catalogue.snapshot())
            else:
                catalogue.apply(changes)
            self.driver.post(node.name, dissemination.CatalogueChanged(
                catalogue.version))
        self.after(POLL_MS, lambda: self._poll(node, subscriber_state))

    def _settings(self, role, **flags):
        return settings.read_settings({
            'role': role, 'data-centre': 'c', 'control-address': '10.0.0.1:1',
            'http-address': '10.0.0.1:2', 'upstreams': '10.0.0.1:3',
            'dead-flows': 'reset', **self.flags, **flags}, {}).unwrap()

    def _start(self, node, subscriber_state, state):
        self.log.append('%6d %s started' % (self.driver.now, node.name))
        self.state_by_name[node.name] = state
        self.driver.add(node)
        self.after(self.random.randint(1, POLL_MS), lambda: self._poll(
            node, subscriber_state))

    def kill(self, name):
        r"""End a node at once."""
        self.log.append('%6d %s ended' % (self.driver.now, name))
        self.driver.kill(name)

    def start_balancer(self, name):
        r"""Start a balancer with an empty flow table."""
        front = self.front_by_name[name]
        back = front.replace(port=7200)
        _, subscriber_state, state = balancer_assembly.make_balancer(
            self._settings(
                'flow-balancer', node=name, **{
                    'front-address': str(front), 'back-address': str(back)}),
            self.unix_ms() * NANOSECONDS_PER_MILLISECOND,
            random.Random(self.random.random()), self.driver.now)
        self._start(simulation.Node(
            name, {
                front: lambda source, datagram, now: message.FromCaller(
                    plain_format.decode(datagram)),
                back: lambda source, item, now: message.FromNode(
                    source, item)},
            stage.Pipeline([(balancer.BALANCER, state)]),
            make_timers(balancer, self.driver.now),
            self._performers(back)), subscriber_state, state)

    def _performers(self, source):
        return {
            message.ToNode: lambda node, item: self.driver.send(
                source, item.destination, item.message),
            message.ToCaller: lambda node, item: self.driver.send(
                source, ends.CALLERS, item.datagram),
            message.ResetFlow: lambda node, item: self._reset(
                node, source, item),
        }

    def _add_target(self, service):
        number = len(self.targets)
        name, _, inner, own = _agent_addresses(number)
        target = ends.Target(self, number, service, own, name, inner)
        self.targets.append(target)
        start_ms = self.random.randrange(START_MS)
        self.after(start_ms, lambda: self.start_agent(number))
        self.after(start_ms, target.start)
        self.driver.add(simulation.Node(
            'target-%d' % number,
            {own: lambda source, datagram, now: target.receive(
                plain_format.decode(datagram))},
            stage.Pipeline([]), timer.TimerQueue(), {}))
        # An agent and its target are on the same host.
        for pair in ((name, 'target-%d' % number),
                     ('target-%d' % number, name)):
            self.driver.faults_by_pair[pair] = simulation.Faults(0, 1)

    def start_agent(self, number):
        r"""Start an agent that knows no flows."""
        name, front, inner, own = _agent_addresses(number)
        _, subscriber_state, state = agent_assembly.make_agent(
            self._settings('flow-agent', node=name, **{
                'agent-address': str(front), 'target-address': str(own),
                'outbound-address': str(inner)}),
            self.unix_ms() * NANOSECONDS_PER_MILLISECOND, self.driver.now)
        self._start(simulation.Node(
            name, {
                front: lambda source, item, now: message.FromNode(
                    source, item),
                inner: lambda source, datagram, now: message.FromTarget(
                    plain_format.decode(datagram))},
            stage.Pipeline([
                (presence.PRESENCE, state), (agent.AGENT, state)]),
            make_timers(agent, self.driver.now), {
                **self._performers(front),
                message.ToTarget: lambda node, item: self.driver.send(
                    inner, own, item.datagram),
                dissemination.Announced: self._announced,
                target_probe.ProbeTarget: lambda node, item: [
                    target_probe.TargetProbed(
                        self.targets[number].started_at is None)]}),
            subscriber_state, state)

    def stop_agent(self, number):
        r"""Drain an agent, stop it and start it again."""
        name = _agent_addresses(number)[0]
        if name in self.driver.node_by_name:
            self.driver.post(name, presence.Leave())
            self._stop_drained(
                number, self.driver.node_by_name[name],
                self.driver.now + DRAIN_MS)

    def _stop_drained(self, number, node, deadline):
        if not node.alive:
            return
        if self.driver.now < deadline and not agent_state.may_stop(
                self.state_by_name[node.name], self.driver.now):
            self.after(DRAIN_CHECK_MS, lambda: self._stop_drained(
                number, node, deadline))
            return
        self._restart_agent(number)

    def kill_agent(self, number):
        r"""Kill an agent and start it again."""
        name = _agent_addresses(number)[0]
        if name in self.driver.node_by_name:
            self.killed_at[name] = self.driver.now
            self._restart_agent(number)

    def _restart_agent(self, number):
        self.kill(_agent_addresses(number)[0])
        self.after(
            self.random.randint(*DOWN_MS), lambda: self.start_agent(number))

    def restart_balancer(self, name):
        r"""Take a balancer out of rotation, restart it and put it back."""
        self.rotation.discard(name)
        down_ms = self.random.randint(*DOWN_MS)
        self.after(READY_MS, lambda: self.kill(name))
        self.after(READY_MS + down_ms, lambda: self.start_balancer(name))
        self.after(
            2 * READY_MS + down_ms, lambda: self.rotation.add(name))

    def _decode_for_caller(self, source, datagram, now):
        segment = plain_format.decode(datagram)
        flow = self.flow_by_key[segment.flow]
        flow.caller.receive(flow, segment)

    def check_packet(self, flow, segment):
        r"""Check that a target receives a packet as the caller sent it."""
        if segment.datagram not in flow.sent:
            self.violations.append(('a packet was changed', flow))

    def check_arrival(self, flow, target):
        r"""Record at which target a packet arrived, and check invariant 1."""
        if flow.target is None or not flow.target.holds(flow):
            return
        now = self.driver.now
        self.note(flow, 'reached target-%d%s' % (
            target.number, ', its own' if target is flow.target else ''))
        if target is flow.target:
            flow.own_at.append(now)
        elif now - flow.own_at[-1] <= IDLE_MS:
            flow.wrong_at.append(now)
            self.after(WINDOW_MS, lambda: self._check_window(flow, now))

    def _check_window(self, flow, begun_at):
        r"""Check the time since a packet reached another target."""
        name = _agent_addresses(flow.target.number)[0]
        wrong = sum(at >= begun_at for at in flow.wrong_at)
        if wrong < WRONG_PACKETS or flow.own_at[-1] >= begun_at - COPY_MS or (
                not flow.target.holds(flow)) or (
                self.killed_at.get(name, -AFTER_KILL_MS)
                > begun_at - AFTER_KILL_MS):
            return
        self.violations.append((
            'from %d ms on, %d packets of a flow of %s reached other targets '
            'and none its own' % (begun_at, wrong, name), flow))
        # A packet counts towards one violation only.
        flow.wrong_at.clear()

    def _reset(self, node, source, item):
        flow = self.flow_by_key[item.flow]
        self.note(flow, '%s reset the flow' % node.name)
        self.counts['resets'] += 1
        if not flow.ended and flow.target is not None and (
                flow.target.holds(flow)) and (
                self.driver.now - flow.own_at[-1] <= IDLE_MS):
            self.violations.append((
                '%s reset an open flow of target-%d at %d ms' % (
                    node.name, flow.target.number, self.driver.now), flow))
        self.driver.send(source, ends.CALLERS, plain_format.make_reset(
            item.flow, max(0, item.acknowledged)))


def _agent_addresses(number):
    r"""Return an agent's name, its two addresses and its target's address."""
    host = '10.2.%d.%d' % divmod(number, 250)
    return ('agent-%d' % number, address.Address(host, 7000),
            address.Address(host, 7001), address.Address(host, 9000))


def make_timers(module, now):
    r"""Return the timers of a node whose ``TICK`` a module handles."""
    timers = timer.TimerQueue()
    timers.subscribe(module.TICK, module.TICK_PERIOD_MS, now)
    return timers
