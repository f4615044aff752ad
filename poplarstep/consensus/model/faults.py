r"""Faults of a schedule, registered by name, and a simulated operator."""

from poplarstep.consensus import message
from poplarstep.consensus import state as states
from poplarstep.core import registry

# Functions ``(cluster)``; each chooses hosts with the cluster's random
# generator.
FAULTS = registry.Registry('fault')


def choose(cluster, hosts):
    return cluster.random.choice(hosts) if hosts else None


@FAULTS.register('crash')
def crash(cluster):
    r"""Crash a host at one of its next 12 crash points."""
    host = choose(cluster, cluster.live)
    if host is not None:
        host.crash_points_left = cluster.random.randint(1, 12)


@FAULTS.register('crash-leader')
def crash_leader(cluster):
    host = cluster.lease_holder()
    if host is not None:
        host.crash_points_left = cluster.random.randint(1, 8)


@FAULTS.register('restart')
def restart(cluster):
    r"""Start all hosts that are down."""
    for host in cluster.hosts:
        if host.state is None:
            cluster.start(host)


@FAULTS.register('wipe')
def wipe(cluster):
    r"""Lose the disk of one host, if all hosts are voters with a disk."""
    if not all_hosts_are_voters(cluster):
        return
    cluster.second_wipe_due = cluster.random.random() < 0.5
    host = choose(cluster, cluster.hosts)
    cluster.wipe(host)
    cluster.schedule(
        cluster.random.randint(1, 1500), start_if_down, cluster, host)


def start_if_down(cluster, host):
    if host.state is None:
        cluster.start(host)


def all_hosts_are_voters(cluster):
    r"""Return whether every host is a voter with its current disk."""
    leader = cluster.lease_holder()
    if leader is None:
        return False
    state = leader.state
    identities = {
        message.HostIdentity(
            host.name,
            host.disk.identity if cluster.mechanisms.disk_identity else '')
        for host in cluster.hosts}
    return set(state.voters) == identities and (
        state.log.members_index <= state.commit_index)


@FAULTS.register('cut-one-way')
def cut_one_way(cluster):
    sender, receiver = cluster.random.sample(cluster.hosts, 2)
    cluster.network.cut.add((sender.name, receiver.name))


@FAULTS.register('cut-host')
def cut_host(cluster):
    r"""Cut all links of one host, in one direction or both."""
    host = choose(cluster, cluster.hosts)
    directions = cluster.random.choice(['in', 'out', 'both'])
    for other in cluster.hosts:
        if other is host:
            continue
        if directions != 'in':
            cluster.network.cut.add((host.name, other.name))
        if directions != 'out':
            cluster.network.cut.add((other.name, host.name))


@FAULTS.register('cut-leader')
def cut_leader(cluster):
    leader = cluster.lease_holder()
    if leader is None:
        return
    for other in cluster.hosts:
        if other is not leader:
            cluster.network.cut.add((leader.name, other.name))
            cluster.network.cut.add((other.name, leader.name))


@FAULTS.register('heal')
def heal(cluster):
    cluster.network.heal()


@FAULTS.register('noise')
def degrade_network(cluster):
    r"""Lose, duplicate and delay messages; delay also reorders them."""
    network = cluster.network
    network.loss = cluster.random.choice([0.0, 0.05, 0.3])
    network.duplication = cluster.random.choice([0.0, 0.1, 0.5])
    network.long_delay = cluster.random.choice([0.0, 0.1, 0.5])
    network.long_delay_ms = cluster.random.choice([20, 200, 2000])


@FAULTS.register('pause')
def pause(cluster):
    r"""Suspend a host's process for a while; its clock continues."""
    host = choose(cluster, cluster.live)
    if host is None or host.paused:
        return
    host.paused = True
    cluster.schedule(
        cluster.random.randint(100, 3000), resume, cluster, host, host.epoch)


def resume(cluster, host, epoch):
    if host.epoch == epoch and host.paused:
        cluster.resume(host)


@FAULTS.register('full-disk')
def full_disk(cluster):
    host = choose(cluster, cluster.live)
    if host is not None:
        host.disk.full = True
        cluster.schedule(
            cluster.random.randint(200, 3000), free_disk, host.disk)


def free_disk(disk):
    disk.full = False


def repair(cluster):
    r"""Act as the operator: add a live host whose disk is not a member.

    When all hosts are voters again, wipe a second host if
    ``second_wipe_due`` is set.
    """
    leader = cluster.lease_holder()
    if leader is None:
        return
    members = {member.identity for member in leader.state.log.members}
    for host in cluster.live:
        if host.state.identity not in members:
            cluster.feed(leader, message.ChangeMembership(
                0, 'add', host.name))
            return
    if cluster.second_wipe_due and all_hosts_are_voters(cluster):
        cluster.second_wipe_due = False
        wiped = choose(cluster, [
            host for host in cluster.hosts if host is not leader]
            if cluster.random.random() < 0.5 else [leader])
        cluster.wipe(wiped)
        cluster.schedule(
            cluster.random.randint(1, 1500), start_if_down, cluster, wiped)


def end_faults(cluster):
    r"""End all faults: heal links, free disks, resume and start hosts."""
    cluster.network.heal()
    cluster.second_wipe_due = False
    for host in cluster.hosts:
        host.crash_points_left = None
        host.disk.full = False
        if host.paused:
            cluster.resume(host)
        start_if_down(cluster, host)


def propose(cluster):
    r"""Propose a command at a host whose role is leader."""
    leaders = [
        host for host in cluster.live
        if host.state.role == states.LEADER and not host.paused]
    host = choose(cluster, leaders)
    if host is not None:
        cluster.propose(host)
