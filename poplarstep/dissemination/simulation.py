r"""In-memory simulation: nodes, a faulty network and a virtual clock.

Explanation
===========

Tests and benchmarks use the simulation. Nodes run the stages of the daemons.
Consensus is reduced to a leader that commits and followers that apply the
commands later. The clock of each node has a random offset, which reveals
code that compares the clocks of two hosts.
"""

import heapq
import itertools
import random

from poplarstep.configuration import catalogue as catalogues
from poplarstep.configuration import machine as machines
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message
from poplarstep.dissemination import publisher
from poplarstep.dissemination import reporting
from poplarstep.dissemination import subscriber

# An isolated leader stops confirming after this time.
LEADER_LEASE_MS = 600
CATCH_UP_RETRY_MS = 100
TICK_NAMES = (subscriber.TICK, publisher.TICK)
TICK_PERIOD_MS = 50


class Faults:
    r"""Faults of the network; probabilities from 0 to 1, delays in ms.

    ``delay`` is the range of usual delays. ``late`` is the probability of an
    additional delay of up to ``late_ms``. ``cuts`` holds pairs
    ``(source, destination)`` of names; a cut has one direction.
    """

    __slots__ = ('loss', 'duplication', 'delay', 'late', 'late_ms', 'cuts')

    def __init__(
            self, loss=0.0, duplication=0.0, delay=(1, 3), late=0.0,
            late_ms=1500):
        self.loss = loss
        self.duplication = duplication
        self.delay = delay
        self.late = late
        self.late_ms = late_ms
        self.cuts = set()


class Traffic:
    r"""Messages and bytes that one node has sent and received."""

    __slots__ = ('messages', 'bytes')

    def __init__(self):
        self.messages = 0
        self.bytes = 0


class Node:
    r"""One process: its pipeline, the states of its stages and its clock.

    ``offset`` is added to the virtual time. ``unhandled`` collects the effects
    that the simulation does not perform.
    """

    __slots__ = (
        'name', 'address', 'pipeline', 'catalogue', 'subscribed',
        'published', 'offset', 'paused_until', 'alive', 'traffic', 'unhandled')

    def __init__(self, name, node_address, offset):
        self.name = name
        self.address = node_address
        self.offset = offset
        self.pipeline = None
        self.catalogue = None
        self.subscribed = None
        self.published = None
        self.paused_until = 0
        self.alive = True
        self.traffic = Traffic()
        self.unhandled = []


class Network:
    r"""Virtual time, the nodes and the messages in transit.

    ``watch`` is called with a node after each message that it processed.
    """

    __slots__ = (
        'now', 'random', 'faults', 'node_by_address', 'events', 'order',
        'encode', 'decode', 'watch')

    def __init__(self, seed, encode=None, decode=None):
        self.now = 0
        self.random = random.Random(seed)
        self.faults = Faults()
        self.node_by_address = {}
        self.events = []
        self.order = itertools.count()
        self.encode = encode
        self.decode = decode
        self.watch = lambda node: None

    def at(self, due, action):
        r"""Call a function at a virtual time."""
        heapq.heappush(self.events, (due, next(self.order), action))

    def run(self, duration):
        r"""Advance the virtual time by this many ms."""
        end = self.now + duration
        while self.events and self.events[0][0] <= end:
            due, _, action = heapq.heappop(self.events)
            self.now = max(self.now, due)
            action()
        self.now = end

    def add(self, node):
        r"""Start a node at its address; its ticks have a random phase."""
        self.node_by_address[node.address] = node
        phase = self.random.randrange(TICK_PERIOD_MS)
        self.at(self.now + phase, lambda: self._tick(node))

    def stop(self, node):
        r"""Stop a node; messages in transit to it are lost."""
        node.alive = False
        if self.node_by_address.get(node.address) is node:
            del self.node_by_address[node.address]

    def process_at(self, node, item):
        r"""Let a node process a message, or defer that until it resumes."""
        if not node.alive:
            return
        if self.now < node.paused_until:
            self.at(node.paused_until, lambda: self.process_at(node, item))
            return
        queue = [item]
        while queue:
            for produced in node.pipeline.process(
                    queue.pop(0), self.now + node.offset):
                if type(produced) is effect.Requeue:
                    queue.append(produced.message)
                elif type(produced) is effect.SendControl:
                    self._send(node, produced)
                else:
                    node.unhandled.append(produced)
        self.watch(node)

    def _tick(self, node):
        if not node.alive:
            return
        if self.now < node.paused_until:
            self.at(node.paused_until, lambda: self._tick(node))
            return
        for name in TICK_NAMES:
            self.process_at(node, timer.Tick(name))
        self.at(self.now + TICK_PERIOD_MS, lambda: self._tick(node))

    def _send(self, node, item):
        data = item.message
        if self.encode is not None:
            data = self.encode(node.address, item.message)
            node.traffic.messages += 1
            node.traffic.bytes += len(data)
        receiver = self.node_by_address.get(item.destination)
        faults = self.faults
        if receiver is None or (node.name, receiver.name) in faults.cuts:
            return
        copies = 1 + (self.random.random() < faults.duplication)
        for _ in range(copies):
            if self.random.random() < faults.loss:
                continue
            delay = self.random.randint(*faults.delay)
            if self.random.random() < faults.late:
                delay += self.random.randrange(faults.late_ms)
            self.at(self.now + delay, lambda: self._deliver(
                node.address, item.destination, data))

    def _deliver(self, source, destination, data):
        node = self.node_by_address.get(destination)
        if node is None:
            return
        if self.decode is not None:
            node.traffic.messages += 1
            node.traffic.bytes += len(data)
            data = self.decode(data)
        self.process_at(node, effect.Received(source, data))


class Cluster:
    r"""Control hosts: the leader commits, the followers apply later.

    ``cut_at`` is the time at which the leader was isolated, or None.
    """

    __slots__ = (
        'network', 'hosts', 'machine_by_name', 'leader', 'cut_at', 'log',
        'committed_at', 'replication_ms')

    def __init__(self, network, replication_ms=5):
        self.network = network
        self.hosts = []
        self.machine_by_name = {}
        self.leader = None
        self.cut_at = None
        self.log = []
        # Time at which each version was committed.
        self.committed_at = {}
        self.replication_ms = replication_ms

    def holds_lease(self, host):
        r"""Return whether a host is the leader and holds its lease."""
        if host is not self.leader:
            return False
        return self.cut_at is None or (
            self.network.now < self.cut_at + LEADER_LEASE_MS)

    def leader_address(self):
        r"""Return the inbox of the leader, or None."""
        return None if self.leader is None else self.leader.address

    def commit(self, command):
        r"""Commit a command at the leader and return its outcome."""
        machine = self.machine_by_name[self.leader.name]
        before = machine.catalogue.version
        outcome = machines.apply_command(machine, command)
        self.log.append(command)
        if machine.catalogue.version > before:
            self.committed_at[machine.catalogue.version] = self.network.now
            self.network.process_at(self.leader, message.CatalogueChanged(
                machine.catalogue.version))
        for host in self.hosts:
            if host is not self.leader:
                self.network.at(
                    self.network.now + self.replication_ms,
                    lambda host=host: self.catch_up(host))
        return outcome

    def catch_up(self, host):
        r"""Let a follower apply the log; retry while it is cut or paused."""
        machine = self.machine_by_name[host.name]
        cut = (self.leader.name, host.name) in self.network.faults.cuts
        if cut or self.network.now < host.paused_until:
            self.network.at(
                self.network.now + CATCH_UP_RETRY_MS,
                lambda: self.catch_up(host))
            return
        before = machine.catalogue.version
        for command in self.log[machine.commands:]:
            machines.apply_command(machine, command)
        if machine.catalogue.version > before:
            self.network.process_at(host, message.CatalogueChanged(
                machine.catalogue.version))

    def lose_leader(self):
        r"""Isolate the leader; it confirms until its lease expires."""
        self.cut_at = self.network.now
        for host in self.hosts:
            if host is not self.leader:
                self.network.faults.cuts.update({
                    (host.name, self.leader.name),
                    (self.leader.name, host.name)})

    def elect(self, host):
        r"""Make another host leader; the former lease must have expired."""
        assert self.cut_at is None or (
            self.network.now >= self.cut_at + LEADER_LEASE_MS)
        machine = self.machine_by_name[host.name]
        for command in self.log[machine.commands:]:
            machines.apply_command(machine, command)
        self.leader = host
        self.cut_at = None


def address_of(kind, index):
    r"""Return the address of a node of the simulation."""
    return address.Address(
        '127.%d.%d.%d' % (kind, index // 250, index % 250 + 1), 7000)


def add_control(cluster, index):
    r"""Add a control host; the first one is the leader."""
    network = cluster.network
    host = Node(
        'control-%d' % index, address_of(1, index),
        network.random.randrange(10**9))
    machine = machines.Machine()
    host.catalogue = machine.catalogue
    cluster.machine_by_name[host.name] = machine
    reports = reporting.Reports()
    host.subscribed = subscriber.make_follower(
        host.name, 1, machine.catalogue,
        lambda: None if cluster.leader is host else cluster.leader_address(),
        reports)
    host.published = publisher.make_publisher(
        machine.catalogue, reports,
        lambda now: publisher.LEASE_MS if cluster.holds_lease(host)
        else subscriber.lease_left(host.subscribed, now),
        cluster.leader_address)
    host.pipeline = stage.Pipeline([
        (subscriber.SUBSCRIBER, host.subscribed),
        (publisher.PUBLISHER, host.published)])
    cluster.hosts.append(host)
    if cluster.leader is None:
        cluster.leader = host
    network.add(host)
    return host


def add_node(network, name, role, node_address, upstreams, incarnation=None):
    r"""Add an agent, or a balancer, which is also a publisher."""
    node = Node(name, node_address, network.random.randrange(10**9))
    node.catalogue = catalogues.Catalogue()
    node.subscribed = subscriber.make_subscriber(
        name, role, incarnation or network.now * 10**6 + 1,
        node.catalogue, upstreams)
    steps = [(subscriber.SUBSCRIBER, node.subscribed)]
    if role == 'balancer':
        node.published = publisher.make_publisher(
            node.catalogue, node.subscribed.reports,
            lambda now: relay_lease(node, now), lambda: None,
            publisher.RELAY_HOLD_MS)
        steps.append((publisher.PUBLISHER, node.published))
    node.pipeline = stage.Pipeline(steps)
    network.add(node)
    return node


def add_observer(cluster, name, node_address, seeds):
    r"""Add a control host without a disk; it knows the hosts with one."""
    network = cluster.network
    node = Node(name, node_address, network.random.randrange(10**9))
    node.catalogue = catalogues.Catalogue()
    reports = reporting.Reports()
    node.subscribed = subscriber.make_observer(
        name, network.now * 10**6 + 1, node.catalogue, seeds,
        lambda now: tuple(host.address for host in cluster.hosts), reports)
    node.published = publisher.make_publisher(
        node.catalogue, reports, lambda now: relay_lease(node, now),
        lambda: node.subscribed.leader, publisher.RELAY_HOLD_MS,
        lambda: node.subscribed.control_hosts)
    node.pipeline = stage.Pipeline([
        (subscriber.SUBSCRIBER, node.subscribed),
        (publisher.PUBLISHER, node.published)])
    network.add(node)
    return node


def relay_lease(node, now):
    r"""Return the remaining time of a relay's lease, in ms."""
    return subscriber.lease_left(node.subscribed, now)
