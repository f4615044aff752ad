r"""Measures the traffic of dissemination in memory, with the real codec.

Explanation
===========

``python -m benchmarks.dissemination`` simulates trees of control hosts,
relays (balancers) and agents and counts the bytes of the encoded messages,
without TCP and IP headers.
"""

import collections
import json
import math

import click
import tabulate

from poplarstep.configuration import command
from poplarstep.configuration import model as objects
from poplarstep.control import intake
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import timer
from poplarstep.dissemination import message
from poplarstep.dissemination import simulation
from poplarstep.edge import codec
from poplarstep.edge import link
from poplarstep.edge import wire

AGENTS_PER_RELAY = 50
CONTROL_HOSTS = 3
WARM_UP_MS = 10_000
MEASURED_MS = 20_000
MS_PER_S = 1000
SERVICE = 'registry-api'


class Deployment:
    r"""Control hosts, relays and agents in one network."""

    __slots__ = ('network', 'cluster', 'relays', 'agents')

    def __init__(self, network, cluster):
        self.network = network
        self.cluster = cluster
        self.relays = []
        self.agents = []


def make_deployment(agents, seed=1, relays=None):
    r"""Return a deployment whose targets are all committed."""
    messages = wire.make_control_codec()
    envelopes = codec.Codec([link.Envelope])
    network = simulation.Network(
        seed,
        lambda source, item: envelopes.encode(link.Envelope(
            'poplarstep', source, messages.encode(item), 1, 0)),
        lambda data: messages.decode(
            envelopes.decode(data).unwrap().body).unwrap())
    cluster = simulation.Cluster(network)
    deployment = Deployment(network, cluster)
    for index in range(CONTROL_HOSTS):
        simulation.add_control(cluster, index)
    seeds = tuple(host.address for host in cluster.hosts)
    if relays is None:
        relays = max(1, agents // AGENTS_PER_RELAY)
    for index in range(relays):
        deployment.relays.append(simulation.add_node(
            network, 'balancer-%d' % index, 'balancer',
            simulation.address_of(2, index), seeds))
    create_service(cluster)
    announce(cluster, agents)
    for index in range(agents):
        add_agent(deployment, index)
    return deployment


def create_service(cluster):
    r"""Commit the service that all targets belong to."""
    cluster.commit(command.Command('benchmark', 1, 0, command.CreateService(
        SERVICE, address.Address('10.0.0.1', 5000), 0, 0)))


def announcement(index, incarnation=1):
    r"""Return the announcement of the agent with this index."""
    return objects.Announcement(
        agent_name(index), SERVICE, 'gs-a', simulation.address_of(4, index),
        incarnation, 1, 2, 2000, False)


def announce(cluster, agents):
    r"""Commit the announcements of all targets."""
    for start in range(0, agents, 1000):
        cluster.commit(command.Command('', 0, 0, command.Announce(tuple(
            announcement(index)
            for index in range(start, min(agents, start + 1000))))))


def agent_name(index):
    r"""Return the name of an agent."""
    return '%s/%05d' % (SERVICE, index)


def add_agent(deployment, index, incarnation=1):
    r"""Start an agent that subscribes to the relays."""
    relays = [item.address for item in deployment.relays]
    first = index % len(relays)
    deployment.agents.append(simulation.add_node(
        deployment.network, agent_name(index), 'agent',
        simulation.address_of(3, index), relays[first:] + relays[:first],
        incarnation))


def measure(agents, changes):
    r"""Return one row: bytes per second for each kind of node.

    Parameters
    ==========

    agents : int
        Number of agents.
    changes : int
        Configuration changes during the measured time.
    """
    deployment = make_deployment(agents)
    network = deployment.network
    network.run(WARM_UP_MS)
    nodes_by_kind = {
        'agent': deployment.agents,
        'relay': deployment.relays,
        'control': deployment.cluster.hosts,
    }
    before = {item.name: item.traffic.bytes
              for nodes in nodes_by_kind.values() for item in nodes}
    for number in range(changes):
        deployment.cluster.commit(command.Command(
            'benchmark', 10 + number, deployment.cluster.hosts[
                0].catalogue.version,
            command.SetDataCentre('gs-d', number % 2 == 0)))
        network.run(MEASURED_MS // changes)
    if not changes:
        network.run(MEASURED_MS)
    row = {'agents': agents, 'relays': len(deployment.relays),
           'changes': changes}
    for kind, nodes in nodes_by_kind.items():
        rates = [
            (item.traffic.bytes - before[item.name])
            * MS_PER_S / MEASURED_MS for item in nodes]
        row[kind + '_mean'] = sum(rates) / len(rates)
        row[kind + '_highest'] = max(rates)
    return row


def measure_leases(levels):
    r"""Return the remaining lease at each level of a chain of relays."""
    network = simulation.Network(seed=1)
    cluster = simulation.Cluster(network)
    for index in range(CONTROL_HOSTS):
        simulation.add_control(cluster, index)
    upstreams = tuple(host.address for host in cluster.hosts)
    chain = []
    for index in range(levels):
        chain.append(simulation.add_node(
            network, 'balancer-%d' % index, 'balancer',
            simulation.address_of(2, index), upstreams))
        upstreams = (chain[-1].address,)
    create_service(cluster)
    network.run(WARM_UP_MS)
    remaining_by_level = [[] for _ in chain]
    for _ in range(MEASURED_MS):
        network.run(1)
        for remaining, node in zip(remaining_by_level, chain):
            remaining.append(max(0, node.subscribed.lease_until
                             - network.now - node.offset))
    return [
        {'level': level + 1, 'smallest_lease_ms': min(remaining),
         'mean_lease_ms': sum(remaining) / len(remaining)}
        for level, remaining in enumerate(remaining_by_level)]


class ArrivalCounter:
    r"""Counts the messages that arrive at each node in windows of 50 ms."""

    __slots__ = ('network', 'count_by_window')

    def __init__(self, network):
        self.network = network
        self.count_by_window = collections.Counter()
        deliver = network.process_at

        def give(node, item):
            if type(item) is effect.Received:
                self.count_by_window[
                    node.name, network.now // simulation.TICK_PERIOD_MS] += 1
            deliver(node, item)

        network.process_at = give

    def highest(self, kind):
        r"""Return the highest count of a window at a node of a kind."""
        return max(
            count for (name, _), count in self.count_by_window.items()
            if name.startswith(kind))


class ReplaceableNetwork(simulation.Network):
    r"""Network whose ``process_at`` method ``ArrivalCounter`` can replace."""

    __slots__ = ('process_at',)

    def __init__(self, seed):
        super().__init__(seed)
        self.process_at = super().process_at


def measure_restart(targets, returning, relays):
    r"""Return one row for targets that restart at the same time.

    The returning agents share the catalogue of their relay, because 3,600
    catalogues of 36,000 targets do not fit into memory.
    """
    network = ReplaceableNetwork(seed=1)
    cluster = simulation.Cluster(network)
    deployment = Deployment(network, cluster)
    for index in range(CONTROL_HOSTS):
        simulation.add_control(cluster, index)
    create_service(cluster)
    announce(cluster, targets)
    seeds = tuple(host.address for host in cluster.hosts)
    for index in range(relays):
        deployment.relays.append(simulation.add_node(
            network, 'balancer-%d' % index, 'balancer',
            simulation.address_of(2, index), seeds))
    proposals = run_intake(cluster)
    network.run(3000)
    arrivals = ArrivalCounter(network)
    started = network.now
    for index in range(returning):
        add_agent(deployment, index, incarnation=started + 2)
        agent = deployment.agents[-1]
        agent.subscribed.catalogue = deployment.relays[
            index % relays].catalogue
        network.process_at(agent, message.Announced(
            announcement(index, incarnation=started + 2)))
    target_by_name = cluster.leader.catalogue.target_by_name
    waiting = {agent_name(index) for index in range(returning)}
    entries = len(proposals)
    while waiting and network.now - started < 30_000:
        network.run(50)
        waiting = {
            name for name in waiting
            if target_by_name[name].incarnation != started + 2}
    listed_ms = network.now - started
    network.run(3000)
    return {
        'returning': returning, 'listed_ms': listed_ms,
        'missing': len(waiting), 'log_entries': len(proposals) - entries,
        'versions': len(cluster.committed_at),
        'relay_peak_per_50_ms': arrivals.highest('balancer'),
        'control_peak_per_50_ms': arrivals.highest('control'),
        'refused_polls': sum(
            item.published.refused
            for item in cluster.hosts + deployment.relays)}


def run_intake(cluster):
    r"""Start the leader's intake; return the list of its proposals.

    The list grows while the network runs.
    """
    leader = cluster.leader
    state = intake.make_intake(
        cluster.machine_by_name[leader.name], leader.published.reports,
        lambda now: True, lambda item: item)
    proposals = []

    def tick():
        produced = intake.INTAKE.process(
            state, timer.Tick(intake.TICK),
            cluster.network.now + leader.offset)
        for item in produced:
            for part in getattr(item, 'proposals', (item,)):
                # Proposals of another kind, such as expiry, are not committed:
                # the simulated targets must not expire.
                if type(part.payload.body) is command.Announce:
                    proposals.append(part)
                    cluster.network.at(
                        cluster.network.now + cluster.replication_ms,
                        lambda part=part: cluster.commit(part.payload))
        cluster.network.at(
            cluster.network.now + intake.TICK_PERIOD_MS, tick)

    tick()
    return proposals


def fit(points):
    r"""Return the slope of a line, its standard error, and the intercept.

    The line is fitted by least squares; the error has n - 2 degrees of
    freedom.

    Examples
    ========

    >>> fit([(0, 1.0), (1, 3.0), (2, 5.0)])
    (2.0, 0.0, 1.0)

    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum(
        (x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = sum(
        (y - intercept - slope * x) ** 2 for x, y in points)
    error = math.sqrt(residual / (count - 2) / spread) if count > 2 \
        else math.nan
    return slope, error, intercept


@click.command()
@click.option('--agents', default='10,100,1000',
              help='numbers of agents, comma separated')
@click.option('--changes', default=1,
              help='configuration changes in the measured 20 s')
@click.option('--levels', default=5,
              help='levels of relays for the remaining lease')
@click.option('--returning', default='360,1900,3600',
              help='numbers of targets, of 36,000, that restart '
              'at the same time')
@click.option('--output', type=click.Choice(['table', 'json']),
              default='table')
def main(agents, changes, levels, returning, output):
    r"""Print bytes per second, slopes per agent, leases and restarts."""
    rows = [measure(int(count), changes) for count in agents.split(',')]
    slopes = []
    for name in rows[0]:
        if name.endswith(('_mean', '_highest')):
            slope, error, intercept = fit(
                [(row['agents'], row[name]) for row in rows])
            slopes.append({
                'quantity': name, 'bytes/s per agent': slope,
                'standard error': error, 'bytes/s at 0 agents': intercept})
    leases = measure_leases(levels)
    restarts = [
        measure_restart(36_000, int(count), 36)
        for count in returning.split(',') if count]
    if output == 'json':
        click.echo(json.dumps(
            {'rows': rows, 'slopes': slopes, 'leases': leases,
             'restarts': restarts}))
        return
    click.echo(tabulate.tabulate(rows, headers='keys', floatfmt='.1f'))
    click.echo()
    click.echo(tabulate.tabulate(slopes, headers='keys', floatfmt='.2f'))
    click.echo()
    click.echo(tabulate.tabulate(leases, headers='keys', floatfmt='.0f'))
    click.echo()
    click.echo(tabulate.tabulate(restarts, headers='keys'))


if __name__ == '__main__':
    main()
