r"""Fixtures of the schedule tests: checked nodes and their topology."""

from poplarstep.configuration import command
from poplarstep.configuration import model as objects
from poplarstep.core import address
from poplarstep.dissemination import message
from poplarstep.dissemination import simulation
from poplarstep.dissemination import subscriber

CHECK_MS = 50
# A lease lasts at most this long after its poll was sent.
LEASE_AFTER_POLL_MS = 2500
# No lease without a committed change holds for longer, because a data centre
# taken out must not receive packets after 3 s.
LEASE_AFTER_CHANGE_MS = 3000
# An accepted configuration must be in force everywhere within 4 s.
CONVERGENCE_MS = 4000


class CheckedNetwork(simulation.Network):
    r"""Network that checks every node's version and lease."""

    __slots__ = (
        'cluster', 'sent_by_poll', 'permitted_lease_end', 'version_by_node')

    def __init__(self, seed):
        super().__init__(seed)
        self.sent_by_poll = {}
        self.permitted_lease_end = {}
        self.version_by_node = {}
        self.watch = self.check
        self.cluster = simulation.Cluster(self)
        self.at(0, self._sweep)

    def _send(self, node, item):
        if isinstance(item.message, message.Poll):
            self.sent_by_poll[node, item.message.sequence] = self.now
        super()._send(node, item)

    def _deliver(self, source, destination, data):
        node = self.node_by_address.get(destination)
        if isinstance(data, message.Update) and node is not None:
            # An answer to a poll of an earlier incarnation permits no lease.
            sent = self.sent_by_poll.get((node, data.sequence))
            if sent is not None:
                self.permitted_lease_end[node] = max(
                    self.permitted_lease_end.get(node, 0),
                    sent + min(data.lease_ms, LEASE_AFTER_POLL_MS))
        super()._deliver(source, destination, data)

    def check(self, node):
        r"""Check that the version never decreases and the lease is valid."""
        version = node.catalogue.version
        assert version >= self.version_by_node.get(node, 0), (
            'version went back')
        self.version_by_node[node] = version
        if not subscriber.lease_holds(
                node.subscribed, self.now + node.offset):
            return
        assert self.now < self.permitted_lease_end.get(node, 0), (
            'lease outlasts its poll')
        missed_at = self.cluster.committed_at.get(version + 1)
        assert missed_at is None or (
            self.now - missed_at <= LEASE_AFTER_CHANGE_MS), (
                'lease holds without a change')

    def _sweep(self):
        for node in list(self.node_by_address.values()):
            self.check(node)
        self.at(self.now + CHECK_MS, self._sweep)


class World:
    r"""Three control hosts, two levels of relays, and agents below them."""

    __slots__ = ('network', 'cluster', 'relays', 'agents', 'sequence')

    def __init__(self, seed, agents=3):
        self.network = CheckedNetwork(seed)
        self.cluster = self.network.cluster
        self.sequence = 0
        for index in range(3):
            simulation.add_control(self.cluster, index)
        seeds = tuple(host.address for host in self.cluster.hosts)
        self.relays = [self.add_relay(index, seeds) for index in range(2)]
        upper = tuple(item.address for item in self.relays)
        self.relays += [
            self.add_relay(index, upper[index % 2:] + upper[:index % 2])
            for index in (2, 3)]
        self.agents = [self.add_agent(index) for index in range(agents)]
        self.create_service()

    def add_relay(self, index, upstreams):
        r"""Start a balancer that relays the configuration."""
        return simulation.add_node(
            self.network, 'balancer-%d' % index, 'balancer',
            simulation.address_of(2, index), upstreams)

    def add_agent(self, index, incarnation=1):
        r"""Start an agent whose upstreams are the lower relays."""
        return simulation.add_node(
            self.network, 'agent-%d' % index, 'agent',
            simulation.address_of(3, index),
            tuple(item.address for item in self.relays[2:]), incarnation)

    def nodes(self):
        r"""Return all nodes except the control hosts."""
        return [item for item in self.network.node_by_address.values()
                if item not in self.cluster.hosts]

    def run_command(self, body):
        r"""Commit a command that is based on the current version."""
        self.sequence += 1
        machine = self.cluster.machine_by_name[self.cluster.leader.name]
        return self.cluster.commit(command.Command(
            'test', self.sequence, machine.catalogue.version, body))

    def create_service(self):
        r"""Commit the service to which the agents' targets belong."""
        self.run_command(command.CreateService(
            'certs', address.Address('10.0.0.1', 5000), 0, 0))

    def set_data_centre(self, out=True):
        r"""Take a data centre out or put it back, in a new version."""
        return self.run_command(command.SetDataCentre('maadi', out))

    def announce(self, index, incarnation=1, revision=1):
        r"""Let the target of an agent announce itself."""
        node = self.agents[index]
        self.network.process_at(node, message.Announced(
            self.announcement(index, incarnation, revision)))

    def announcement(self, index, incarnation=1, revision=1):
        r"""Return the announcement of an agent's target."""
        return objects.Announcement(
            'agent-%d' % index, 'certs', 'giza',
            simulation.address_of(4, index), incarnation, revision, 1, 9,
            False)

    def settled(self):
        r"""Return whether all nodes have the latest version and a lease."""
        version = max(self.cluster.committed_at)
        return all(
            item.catalogue.version == version and subscriber.lease_holds(
                item.subscribed, self.network.now + item.offset)
            for item in self.nodes())

    def heal(self):
        r"""End all faults."""
        self.network.faults = simulation.Faults()
        for node in self.network.node_by_address.values():
            node.paused_until = min(node.paused_until, self.network.now)
        self.cluster.replication_ms = 5
        for host in self.cluster.hosts:
            self.cluster.catch_up(host)
