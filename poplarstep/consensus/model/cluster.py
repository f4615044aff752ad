r"""Discrete-event simulation of control hosts.

Explanation
===========

``Cluster.now`` is the simulated time. Each host has a clock with its own
offset and rate, a simulated disk, and a simple state machine: the index of
the last command and a running hash of the commands. A host can crash after
any effect, and in a storage effect also between the write and the sync.
"""

import heapq
import json
import random

import xxhash

from poplarstep.consensus import message
from poplarstep.consensus.model import checks
from poplarstep.consensus.model import disk
from poplarstep.consensus.model import network
from poplarstep.consensus import replica
from poplarstep.consensus import state as states
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import registry

# Entries between two snapshots of the state machine.
SNAPSHOT_INTERVAL_ENTRIES = 25
# Entries that a replica keeps although its snapshot covers them; few, so that
# followers often need a snapshot.
KEPT_ENTRIES = 8
# Greatest error of a clock's rate. Two clocks differ by 6% at most, which is
# less than the lease allows for.
CLOCK_DRIFT = 0.03

# Functions ``(cluster, host, effect)`` by class name of the effect.
EFFECTS = registry.Registry('effect')


class Host:
    r"""One simulated control host.

    Attributes
    ==========

    state : ReplicaState or None
        None while the host is down.
    epoch : int
        Changes with each start and crash; events of a former epoch are
        ignored.
    delayed_events : list of (function, arguments)
        Events that arrived while the host is paused.
    snapshot_index : int
        Index of the latest snapshot of the state machine.
    crash_points_left : int or None
        Number of crash points until the host crashes.
    """

    __slots__ = (
        'name', 'address', 'disk', 'state', 'offset', 'rate', 'epoch',
        'paused', 'delayed_events', 'applied_index', 'digest',
        'snapshot_index', 'crash_points_left', 'bootstrap', 'observer')

    def __init__(self, name, address, generator):
        self.name = name
        self.address = address
        self.disk = None
        self.state = None
        self.offset = generator.randint(0, 1000000)
        self.rate = 1 + generator.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
        self.epoch = 0
        self.paused = False
        self.delayed_events = []
        self.applied_index = 0
        self.digest = 0
        self.snapshot_index = 0
        self.crash_points_left = None
        self.bootstrap = True
        self.observer = False

    def clock(self, simulated_ms):
        r"""Return the time of the host's own clock in ms."""
        return self.offset + int(simulated_ms * self.rate)


class Cluster:
    r"""Simulated hosts and network, and the record of the checks.

    Parameters
    ==========

    size : int
        Number of hosts at the start.
    seed : int
        Seed of all random choices.
    mechanisms : Mechanisms or None
        Safety mechanisms; all are on by default.
    skipped : iterable of str
        Names of checks to skip.
    automatic : bool
        The leader adds and removes hosts by itself.
    seed_count : int or None
        Number of hosts, from the first, that are configured as seeds; all
        by default.
    observers : collection of int
        Numbers of the hosts that have no disk.

    Attributes
    ==========

    second_wipe_due : bool
        Another host loses its disk as soon as all hosts are voters again
        after the first wipe. The faults in ``faults`` set it.
    """

    __slots__ = (
        'random', 'network', 'mechanisms', 'host_by_name', 'now', 'events',
        'sequence', 'disk_count', 'history', 'next_key', 'second_wipe_due',
        'log_events', 'automatic', 'seed_count')

    def __init__(
            self, size, seed, mechanisms=None, skipped=(), automatic=False,
            seed_count=None, observers=()):
        self.automatic = automatic
        self.seed_count = seed_count
        self.random = random.Random(seed)
        self.network = network.Network(self.random)
        self.mechanisms = mechanisms or states.Mechanisms()
        self.now = 0
        self.events = []
        self.sequence = 0
        self.disk_count = 0
        self.history = checks.History(skipped)
        self.next_key = 1
        self.second_wipe_due = False
        self.log_events = []
        self.host_by_name = {}
        for number in range(size):
            host = self.add_host('control-%d' % number)
            host.observer = number in observers
        for host in self.hosts:
            self.start(host)

    @property
    def hosts(self):
        return list(self.host_by_name.values())

    @property
    def live(self):
        return [host for host in self.hosts if host.state is not None]

    def add_host(self, name, bootstrap=True):
        r"""Add a host with an empty disk, without starting it."""
        host = Host(
            name, address.Address(
                '127.0.0.1', 4000 + len(self.host_by_name)), self.random)
        host.bootstrap = bootstrap
        host.disk = self.make_disk()
        self.host_by_name[name] = host
        return host

    def make_disk(self):
        self.disk_count += 1
        return disk.Disk('disk-%d' % self.disk_count)

    def start(self, host):
        r"""Start a host from the content of its disk."""
        content = host.disk
        host.epoch += 1
        host.applied_index = host.digest = host.snapshot_index = 0
        host.crash_points_left = None
        host.state = replica.make_replica(
            message.HostIdentity(
                host.name, '' if host.observer else content.identity),
            host.address,
            tuple(states.Seed(item.name, item.address)
                  for item in self.hosts[:self.seed_count]),
            host.bootstrap, random.Random(self.random.getrandbits(64)),
            host.clock(self.now), content.term, content.voted_for,
            content.snapshot, tuple(content.entries), self.mechanisms,
            KEPT_ENTRIES, self.automatic, content.commit_index,
            host.observer)
        self.perform(host, replica.start(host.state))
        self.schedule(self.random.randint(1, 50), self.tick, host, host.epoch)

    def crash(self, host):
        r"""Stop a host at once; writes that are not synced are lost."""
        host.disk.crash()
        host.state = None
        host.epoch += 1
        host.paused = False
        host.delayed_events = []

    def wipe(self, host):
        r"""Stop a host and replace its disk by an empty one."""
        self.crash(host)
        host.disk = self.make_disk()

    def resume(self, host):
        r"""Resume a paused host with the events that have arrived."""
        host.paused = False
        delayed, host.delayed_events = host.delayed_events, []
        for function, arguments in delayed:
            function(*arguments)

    def schedule(self, delay, function, *arguments):
        r"""Schedule a call after ``delay`` ms of simulated time."""
        self.sequence += 1
        heapq.heappush(self.events, (
            self.now + delay, self.sequence, function, arguments))

    def run(self, duration, until=None):
        r"""Run the events of the next ``duration`` ms of simulated time.

        Stop early when ``until()`` is true; return whether it became true.
        """
        end = self.now + duration
        while self.events and self.events[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
            checks.after_event(self)
            if until is not None and until():
                return True
        self.now = end
        return until() if until is not None else False

    def tick(self, host, epoch):
        if host.epoch != epoch:
            return
        if host.paused:
            host.delayed_events.append((self.tick, (host, epoch)))
            return
        self.schedule(
            max(1, int(replica.TICK_MS / host.rate)), self.tick, host, epoch)
        self.feed(host, replica.TICK)

    def deliver(self, delivery):
        host = self.host_by_name[delivery.receiver]
        if host.state is None:
            return
        if host.paused:
            host.delayed_events.append((self.deliver, (delivery,)))
            return
        source = self.host_by_name[delivery.sender].address
        before = checks.recorded_progress(host, delivery.message)
        self.feed(host, effect.Received(source, delivery.message))
        checks.after_delivery(self, host, delivery, before)

    def feed(self, host, received):
        r"""Let a host process a message, and perform the effects."""
        pending = [received]
        while pending and host.state is not None:
            effects = replica.REPLICA.process(
                host.state, pending.pop(0), host.clock(self.now))
            pending = self.perform(host, effects) + pending

    def perform(self, host, effects):
        r"""Perform effects in order; return the inputs that follow."""
        returned = []
        for item in effects:
            if type(item) in disk.STORAGE:
                if host.disk.full:
                    return [message.StorageFailed('disk full')]
                host.disk.write(item)
                if self.pass_crash_point(host):
                    return []
                host.disk.sync()
            elif type(item) is message.Stored:
                returned.append(item)
            else:
                EFFECTS.entry_by_name[type(item).__name__](self, host, item)
            checks.after_effect(self, host, item)
            if self.pass_crash_point(host):
                return []
        return returned

    def pass_crash_point(self, host):
        r"""Pass a possible crash point; return whether the host crashes."""
        if host.crash_points_left is None:
            return False
        host.crash_points_left -= 1
        if host.crash_points_left > 0:
            return False
        self.crash(host)
        return True

    def lease_holder(self):
        r"""Return the host with the leader lease, or None."""
        for host in self.live:
            if not host.paused and states.read_allowed(
                    host.state, host.clock(self.now)):
                return host
        return None

    def propose(self, host):
        r"""Propose a command with a new key at a host."""
        key = self.next_key
        self.next_key += 1
        self.history.outcome_by_key[key] = 'pending'
        self.feed(host, message.Propose(key, b'command-%d' % key))
        return key


@EFFECTS.register('SendControl')
def send(cluster, host, item):
    for receiver in cluster.hosts:
        if receiver.address == item.destination:
            delivery = network.Delivery(
                host.name, receiver.name, host.disk.identity, item.message)
            for delay in cluster.network.delays(host.name, receiver.name):
                cluster.schedule(delay, cluster.deliver, delivery)


@EFFECTS.register('Committed')
def apply(cluster, host, item):
    if item.index <= host.applied_index:
        return
    host.applied_index = item.index
    host.digest = xxhash.xxh64_intdigest(item.payload, seed=host.digest)
    if item.index - host.snapshot_index >= SNAPSHOT_INTERVAL_ENTRIES:
        host.snapshot_index = item.index
        # The state machine returns its state in a later message.
        state = json.dumps([item.index, host.digest]).encode()
        cluster.schedule(
            1, take_snapshot, cluster, host, host.epoch,
            message.SnapshotTaken(item.index, state))


def take_snapshot(cluster, host, epoch, taken):
    if host.epoch == epoch and not host.paused:
        cluster.feed(host, taken)


@EFFECTS.register('SnapshotRestored')
def restore(cluster, host, item):
    host.applied_index, host.digest = json.loads(item.state)
    host.snapshot_index = item.index


@EFFECTS.register('LogEvent')
def log_event(cluster, host, item):
    cluster.log_events.append((cluster.now, host.name, item))


@EFFECTS.register('Proposed')
@EFFECTS.register('LeadershipChanged')
@EFFECTS.register('LeaseExtended')
@EFFECTS.register('MembershipChanged')
def ignore(cluster, host, item):
    r"""Do nothing; only the checks use these outputs."""


@EFFECTS.register('ProposalRefused')
def record_refused(cluster, host, item):
    cluster.history.outcome_by_key[item.key] = 'refused'


@EFFECTS.register('ProposalUnknown')
def record_unknown(cluster, host, item):
    cluster.history.outcome_by_key[item.key] = 'unknown'
