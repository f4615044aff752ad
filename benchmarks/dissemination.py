r"""Measures the traffic of dissemination in memory, with the real codec.

Explanation
===========

``python -m benchmarks.dissemination`` builds trees of control hosts,
relays and agents on a virtual clock, lets time pass, and counts the bytes
of the encoded messages. TCP and IP headers are not counted.
"""

import json
import math

import click
import tabulate

from poplarstep.configuration import command
from poplarstep.configuration import model as objects
from poplarstep.core import address
from poplarstep.dissemination import model
from poplarstep.edge import codec
from poplarstep.edge import link
from poplarstep.edge import wire

AGENTS_PER_RELAY = 50
CONTROLS = 3
WARM_UP_MS = 10_000
MEASURED_MS = 20_000
MILLISECONDS = 1000
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
    r"""Return a deployment whose targets are known everywhere."""
    messages = wire.make_control_codec()
    envelopes = codec.Codec([link.Envelope])
    network = model.Network(
        seed,
        lambda source, item: envelopes.encode(link.Envelope(
            'poplarstep', source, messages.encode(item))),
        lambda data: messages.decode(
            envelopes.decode(data).unwrap().body).unwrap())
    cluster = model.Cluster(network)
    deployment = Deployment(network, cluster)
    for index in range(CONTROLS):
        model.add_control(cluster, index)
    seeds = tuple(host.address for host in cluster.hosts)
    if relays is None:
        relays = max(1, agents // AGENTS_PER_RELAY)
    for index in range(relays):
        deployment.relays.append(model.add_node(
            network, 'balancer-%d' % index, 'balancer',
            model.place(2, index), seeds))
    create_service(cluster)
    announce(cluster, agents)
    for index in range(agents):
        add_agent(deployment, index)
    return deployment


def create_service(cluster):
    r"""Commit the service of all targets."""
    cluster.commit(command.Command('benchmark', 1, 0, command.CreateService(
        SERVICE, address.Address('10.0.0.1', 5000), 0, 0)))


def announcement(index, incarnation=1):
    r"""Return what the agent with this index announces."""
    return objects.Announcement(
        agent_name(index), SERVICE, 'gs-a', model.place(4, index),
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
    r"""Start an agent below the relays."""
    relays = [item.address for item in deployment.relays]
    first = index % len(relays)
    deployment.agents.append(model.add_node(
        deployment.network, agent_name(index), 'agent',
        model.place(3, index), relays[first:] + relays[:first],
        incarnation))


def measure(agents, changes):
    r"""Return one row: bytes per second by kind of node.

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
    kinds = {
        'agent': deployment.agents,
        'relay': deployment.relays,
        'control': deployment.cluster.hosts,
    }
    before = {item.name: item.traffic.bytes
              for nodes in kinds.values() for item in nodes}
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
    for kind, nodes in kinds.items():
        rates = [
            (item.traffic.bytes - before[item.name])
            * MILLISECONDS / MEASURED_MS for item in nodes]
        row[kind + '_mean'] = sum(rates) / len(rates)
        row[kind + '_highest'] = max(rates)
    return row


def measure_leases(levels):
    r"""Return rows with the smallest lease left at each level of relays."""
    network = model.Network(seed=1)
    cluster = model.Cluster(network)
    for index in range(CONTROLS):
        model.add_control(cluster, index)
    upstreams = tuple(host.address for host in cluster.hosts)
    chain = []
    for index in range(levels):
        chain.append(model.add_node(
            network, 'balancer-%d' % index, 'balancer',
            model.place(2, index), upstreams))
        upstreams = (chain[-1].address,)
    create_service(cluster)
    network.run(WARM_UP_MS)
    left = [[] for _ in chain]
    for _ in range(MEASURED_MS):
        network.run(1)
        for known, node in zip(left, chain):
            known.append(max(0, node.subscribed.lease_until
                             - network.now - node.offset))
    return [
        {'level': level + 1, 'smallest_lease_ms': min(known),
         'mean_lease_ms': sum(known) / len(known)}
        for level, known in enumerate(left)]


def fit(points):
    r"""Return slope, its standard error, and intercept of a line.

    Least squares; the error is that of the slope with n - 2 degrees of
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
              help='levels of relays for the lease that is left')
@click.option('--output', type=click.Choice(['table', 'json']),
              default='table')
def main(agents, changes, levels, output):
    r"""Print bytes per second, slopes per agent, and leases by level."""
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
    if output == 'json':
        click.echo(json.dumps(
            {'rows': rows, 'slopes': slopes, 'leases': leases}))
        return
    click.echo(tabulate.tabulate(rows, headers='keys', floatfmt='.1f'))
    click.echo()
    click.echo(tabulate.tabulate(slopes, headers='keys', floatfmt='.2f'))
    click.echo()
    click.echo(tabulate.tabulate(leases, headers='keys', floatfmt='.0f'))


if __name__ == '__main__':
    main()
