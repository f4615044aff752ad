r"""Group of control hosts in memory, with real data folders.

Explanation
===========

Each host runs the pipeline of a control host. Only the links between the
hosts and the clock are simulated. The group counts the bytes of the log and
of snapshots that each host receives.
"""

import collections
import os
import random
import shutil

from poplarstep.configuration import command
from poplarstep.consensus import peer
from poplarstep.consensus import replica as replicas
from poplarstep.consensus import state as states
from poplarstep.control import intake
from poplarstep.control import message
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import simulation
from poplarstep.core import timer
from poplarstep.dissemination import publisher
from poplarstep.dissemination import subscriber
from poplarstep.edge import clock
from poplarstep.programs import control
from poplarstep.programs import settings

STEP_MS = 10


class Host:
    r"""One control host; ``received_bytes`` counts entries and snapshots."""

    __slots__ = (
        'name', 'address', 'folder', 'storage', 'replica', 'machine',
        'received_bytes')

    def __init__(self, name, inbox, folder):
        self.name = name
        self.address = inbox
        self.folder = folder
        self.storage = None
        self.replica = None
        self.machine = None
        self.received_bytes = 0

    def folder_bytes(self):
        r"""Return the size in bytes of the files of the data folder."""
        return sum(
            os.path.getsize(os.path.join(self.folder, name))
            for name in os.listdir(self.folder))


class Links:
    r"""Sends the control messages of one host through the driver."""

    __slots__ = ('driver', 'source')

    def __init__(self, driver, source):
        self.driver = driver
        self.source = source

    def send(self, item):
        r"""Send the message of a ``SendControl``."""
        self.driver.send(self.source, item.destination, item.message)


class Group:
    r"""Control hosts, the driver of their time, and replies to operators.

    Parameters
    ==========

    folder : str
        Folder in which each host gets a data folder.
    size : int
        Number of hosts.

    Attributes
    ==========

    reply_by_key : dict
        Replies to operators by the key of the request.
    largest_by_name : Counter
        Greatest size in bytes of each host's data folder after a change.
    """

    __slots__ = (
        'driver', 'hosts', 'reply_by_key', 'key', 'largest_by_name')

    def __init__(self, folder, size):
        self.driver = simulation.make_driver(seed=1)
        self.reply_by_key = {}
        self.key = 0
        self.largest_by_name = collections.Counter()
        self.hosts = [
            Host('control-%d' % number,
                 address.Address('10.0.0.%d' % (number + 1), 7000),
                 os.path.join(folder, 'control-%d' % number))
            for number in range(size)]
        for host in self.hosts:
            self.start(host, 'bootstrap')

    def reply(self, item):
        r"""Keep a reply to an operator."""
        self.reply_by_key[item.key] = item

    def start(self, host, start='join'):
        r"""Start a host with what its data folder holds."""
        found = settings.read_settings({
            'role': 'control', 'node': host.name, 'data-centre': 'maadi',
            'control-address': str(host.address),
            'http-address': '%s:8000' % host.address.ip,
            'control-hosts': ','.join(
                '%s=%s' % (item.name, item.address) for item in self.hosts),
            'data-folder': host.folder, 'membership': 'automatic',
            'start': start}, {}).unwrap()
        offset_ms = clock.now_ms() - self.driver.now
        host.storage = control.open_storage(found).unwrap()
        host.replica = control.make_replica(found, host.storage.loaded)
        # The program seeds the election timeouts by the system.
        host.replica.random = random.Random(host.name)
        states.restart_election_timer(
            host.replica, self.driver.now + offset_ms)
        pipeline, host.machine, _, _ = control.make_pipeline(
            found, host.replica)
        timers = timer.TimerQueue()
        now = self.driver.now + offset_ms
        timers.subscribe(replicas.TICK.name, replicas.TICK_MS, now)
        for module in (intake, subscriber, publisher):
            timers.subscribe(module.TICK, module.TICK_PERIOD_MS, now)
        performers = control.make_performers(
            host.storage, Links(self.driver, host.address), self, None)
        performers[effect.LogEvent] = lambda item: ()
        self.driver.add(simulation.Node(
            host.name, {host.address: self.decoder(host)}, pipeline, timers, {
                kind: ignore_node(performer)
                for kind, performer in performers.items()}, offset_ms))
        for item in replicas.start(host.replica):
            self.driver.post(host.name, item)

    def decoder(self, host):
        r"""Return the decoder of a host's inbox, which counts bytes."""
        def decode(source, payload, now):
            host.received_bytes += payload_bytes(payload)
            return effect.Received(source, payload)
        return decode

    def lose_disk(self, host):
        r"""Stop a host and remove its data folder."""
        self.stop(host)
        shutil.rmtree(host.folder)

    def stop(self, host):
        r"""Stop a host; its data folder stays."""
        self.driver.kill(host.name)
        host.storage.close()

    def close(self):
        r"""Stop all hosts."""
        for host in self.hosts:
            if host.name in self.driver.node_by_name:
                self.stop(host)

    def run(self, duration_ms, until=lambda: False):
        r"""Run until a condition holds; return whether it does."""
        end = self.driver.now + duration_ms
        while not until() and self.driver.now < end:
            self.driver.run(self.driver.now + STEP_MS)
        return until()

    def leader(self):
        r"""Return the host that holds the leader lease, or None."""
        for host in self.hosts:
            node = self.driver.node_by_name.get(host.name)
            if node is not None and states.read_allowed(
                    host.replica, self.driver.now + node.offset_ms):
                return host
        return None

    def ask(self, make_request, timeout_ms=4000):
        r"""Ask the leader as an operator does, until it answers."""
        end = self.driver.now + timeout_ms
        while self.driver.now < end:
            leader = self.leader()
            if leader is None:
                self.run(STEP_MS)
                continue
            self.key += 1
            self.driver.post(leader.name, make_request(self.key))
            key = self.key
            if self.run(1000, lambda: key in self.reply_by_key):
                return self.reply_by_key[key]
        return None

    def replace_configuration(self, revision, document):
        r"""Send a whole configuration; return whether it is applied."""
        reply = self.ask(lambda key: message.IdempotentCommand(
            key, command.ReplaceConfiguration(revision, (), (), 0, document)))
        for host in self.hosts:
            self.largest_by_name[host.name] = max(
                self.largest_by_name[host.name], host.folder_bytes())
        return reply is not None and reply.outcome.status == command.APPLIED

    def post_configuration(self, revision, document):
        r"""Send a whole configuration to the leader without waiting."""
        leader = self.leader()
        if leader is not None:
            self.key += 1
            self.driver.post(leader.name, message.IdempotentCommand(
                self.key, command.ReplaceConfiguration(
                    revision, (), (), 0, document)))

    def slow_links(self, host, delay_ms):
        r"""Set the one-way delay between a host and the others."""
        faults = simulation.Faults(delay_ms, delay_ms)
        for other in self.hosts:
            if other is not host:
                pairs = self.driver.faults_by_pair
                pairs[other.name, host.name] = faults
                pairs[host.name, other.name] = faults

    def read_document(self):
        r"""Return the document of the newest configuration, or None."""
        reply = self.ask(message.ReadConfiguration, timeout_ms=12_000)
        return reply.document if reply is not None and reply.current else None

    def voters(self):
        r"""Return the identities of the voters, empty without a leader."""
        leader = self.leader()
        return set(leader.replica.voters) if leader is not None else set()

    def is_voter(self, host):
        r"""Return whether a host with its present disk is a voter."""
        return host.replica.identity in self.voters()


def ignore_node(performer):
    r"""Return a performer for the driver, which passes the node as well."""
    return lambda node, item: performer(item)


def payload_bytes(payload):
    r"""Return the bytes of the log or of a snapshot in a message."""
    if type(payload) is peer.AppendEntries:
        return sum(len(entry.payload) for entry in payload.entries)
    if type(payload) is peer.InstallSnapshot:
        return len(payload.chunk)
    return 0
