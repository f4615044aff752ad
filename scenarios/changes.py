r"""Changes and failures that scenarios name in their tables."""

from poplarstep.caller import message
from poplarstep.configuration import command
from poplarstep.core import registry
from poplarstep.core import simulation
from scenarios import settings
from scenarios import target as targets

CHANGES = registry.Registry('change')
NETWORKS = registry.Registry('network')

NETWORKS.register('calm')(simulation.Faults(1, 1))
NETWORKS.register('slow and reordering')(simulation.Faults(1, 120))
NETWORKS.register('losing')(simulation.Faults(1, 20, loss=0.05))
NETWORKS.register('duplicating')(simulation.Faults(1, 60, duplication=0.5))
NETWORKS.register('bad in every way')(
    simulation.Faults(1, 120, loss=0.05, duplication=0.3))


@CHANGES.register('nothing')
def nothing(system):
    r"""Leave the system as it is."""


@CHANGES.register('the arrival of a target')
def target_arrives(system):
    r"""Start one more target of the first service."""
    first = next(iter(system.target_by_name.values()))
    system.start_target(
        'late-%d' % len(system.target_by_name), first.service,
        targets.Plan())
    system.run(1000)


@CHANGES.register('the leave of a target')
def target_leaves(system):
    r"""Let the first target announce that it is leaving."""
    first = next(iter(system.target_by_name.values()))
    first.leaving = True
    first.announce()
    system.run(1000)


@CHANGES.register('the drain of a target')
def target_drained(system):
    r"""Let operators drain the first target."""
    system.command(command.DrainTarget(next(iter(system.target_by_name)),
                                       True))
    system.run(1000)


@CHANGES.register('the arrival of a service')
def service_arrives(system):
    r"""Create a service with a target."""
    number = len(system.target_by_name)
    system.create_service('extra-%d' % number, 5)
    system.start_target(
        'extra-%d' % number, 'extra-%d' % number, targets.Plan())
    system.run(1000)


@CHANGES.register('the removal of a service')
def service_removed(system):
    r"""Create a service without targets and remove it again."""
    system.create_service('brief', 6)
    system.run(500)
    system.command(command.RemoveService('brief'))
    system.run(500)


@CHANGES.register('a new address of the service')
def address_changed(system):
    r"""Move the first service to another address."""
    first = next(iter(system.target_by_name.values()))
    system.command(command.ChangeService(
        first.service, settings.SERVICE_ADDRESSES[7], None, None))
    system.run(1000)


@CHANGES.register('a new address behind a stale balancer')
def address_changed_unseen(system):
    r"""Move the first service while one balancer hears nothing."""
    name = next(iter(system.balancer_by_name))
    system.driver.cut('control', name)
    first = next(iter(system.target_by_name.values()))
    system.command(command.ChangeService(
        first.service, settings.SERVICE_ADDRESSES[7], None, None))
    system.open_flows(first.service, 10)
    system.run(500)


@CHANGES.register('the arrival of a balancer')
def balancer_arrives(system):
    r"""Start one more balancer."""
    system.start_balancer('extra-%d' % len(system.host_by_name))
    system.run(1000)


@CHANGES.register('the death of a balancer')
def balancer_dies(system):
    r"""End the first balancer without warning."""
    system.stop_balancer(next(iter(system.balancer_by_name)))


@CHANGES.register('the restart of all balancers')
def balancers_restart(system):
    r"""Replace the balancers one after another."""
    for name in list(system.balancer_by_name):
        system.stop_balancer(name)
        system.run(200)
        system.start_balancer(name)
        system.run(300)


@CHANGES.register('a restart after 300 changes')
def balancer_misses_changes(system):
    r"""Restart a balancer that missed 300 changes."""
    name = next(iter(system.balancer_by_name))
    system.stop_balancer(name)
    for number in range(150):
        system.create_service('brief-%d' % number, 6)
        system.command(command.RemoveService('brief-%d' % number))
    system.start_balancer(name)
    system.run(1000)


@CHANGES.register('all planned changes at once')
def planned_changes_at_once(system):
    r"""Make the changes above without waiting for any."""
    for number in range(20):
        system.create_service('brief-%d' % number, 6)
        system.command(command.RemoveService('brief-%d' % number))
    first = next(iter(system.target_by_name.values()))
    system.start_target('joining', first.service, targets.Plan())
    system.command(command.DrainTarget(first.agent_name, True))
    system.command(command.ChangeService(
        first.service, settings.SERVICE_ADDRESSES[7], None, None))
    system.start_balancer('joining-balancer')
    balancer_dies(system)
    balancers_restart(system)
    system.run(1000)


@CHANGES.register('a target that comes back as another service')
def target_changes_service(system):
    r"""Restart the first target as a target of another service."""
    first, other = _first_of_two_services(system)
    first.die()
    system.run(300)
    first.service = other.service
    first.start()
    system.run(1000)


@CHANGES.register('a target of another service before control knows')
def target_changes_service_unseen(system):
    r"""Change a target's service while its agent has no control link."""
    first, other = _first_of_two_services(system)
    system.driver.cut(first.agent_name, 'control')
    first.die()
    first.service = other.service
    first.start()
    system.run(300)


@CHANGES.register('a service address that is used again')
def address_reused(system):
    r"""Exchange the addresses of two services."""
    first, other = _first_of_two_services(system)
    old = system.service_address(first.service)
    system.command(command.ChangeService(
        first.service, settings.SERVICE_ADDRESSES[7], None, None))
    system.command(command.ChangeService(other.service, old, None, None))
    system.run(1000)


@CHANGES.register('an address used again behind a stale balancer')
def address_reused_stale(system):
    r"""Exchange addresses while one balancer hears nothing."""
    name = next(iter(system.balancer_by_name))
    system.driver.cut('control', name)
    first, other = _first_of_two_services(system)
    old = system.service_address(first.service)
    system.command(command.ChangeService(
        first.service, settings.SERVICE_ADDRESSES[7], None, None))
    system.command(command.ChangeService(other.service, old, None, None))
    system.run(500)


@CHANGES.register('an agent address that is used again')
def agent_address_reused(system):
    r"""Start a target of another service on the host of a dead one."""
    first, other = _first_of_two_services(system)
    system.driver.kill(first.agent_name)
    first.die()
    system.start_target(
        'successor', other.service, targets.Plan(),
        host=system.host_by_name[first.agent_name])
    system.run(1000)


@CHANGES.register('the restart of a target')
def target_restarts(system):
    r"""Restart a target without warning."""
    _restart(system, truthful=True)


@CHANGES.register('a restart that is announced late')
def target_restarts_late(system):
    r"""Restart a target that announces itself after 2 s."""
    first = next(iter(system.target_by_name.values()))
    first.plan.late_ms = 2000
    _restart(system, truthful=True)


@CHANGES.register('a restart that is never told')
def target_restarts_falsely(system):
    r"""Restart a target that claims to be the run of before."""
    _restart(system, truthful=False)


@CHANGES.register('a restart too quick to refuse')
def target_restarts_quickly(system):
    r"""Restart a target so fast that no connection is refused."""
    first = next(iter(system.target_by_name.values()))
    first.die()
    first.start(truthful=False)


@CHANGES.register('the restart of the agent alone')
def agent_restarts(system):
    r"""Restart the agent; the target goes on."""
    system.start_agent(next(iter(system.target_by_name)))


@CHANGES.register('the restart of target and agent')
def both_restart(system):
    r"""Restart a target, and its agent just after it has started cold."""
    _restart(system, truthful=True)
    system.run(400)
    agent_restarts(system)


@CHANGES.register('the death of the target')
def target_dies(system):
    r"""End a target for good."""
    next(iter(system.target_by_name.values())).die()


@CHANGES.register('the loss of a data centre')
def data_centre_out(system):
    r"""Let operators take out the data centre of the first target."""
    first = next(iter(system.data_centre_by_name.values()))
    system.command(command.SetDataCentre(first, True))
    system.run(1000)


@CHANGES.register('the return of a data centre')
def data_centre_in(system):
    r"""Let operators bring the data centre of the first target back."""
    first = next(iter(system.data_centre_by_name.values()))
    system.command(command.SetDataCentre(first, False))
    system.run(1000)


@CHANGES.register('answers that are lost for 800 ms')
def answers_lost(system):
    r"""Cut the way from the agents to the fabric."""
    for name in system.target_by_name:
        system.driver.cut(name, 'fabric')
    system.run(800)
    system.driver.heal()


@CHANGES.register('the cancellation of all requests')
def all_cancelled(system):
    r"""Let callers cancel what has no outcome yet."""
    for asked in system.asked:
        if asked.outcome is None:
            system.driver.post('callers', message.CancelRequest(
                asked.flow_key, asked.number))


@CHANGES.register('a balancer without control')
def balancer_alone(system):
    r"""Cut the first balancer off from control for good."""
    _cut_from_control(system, next(iter(system.balancer_by_name)))


@CHANGES.register('an agent without control')
def agent_alone(system):
    r"""Cut the first agent off from control for good."""
    _cut_from_control(system, next(iter(system.target_by_name)))


def _cut_from_control(system, name):
    system.driver.cut('control', name)
    system.driver.cut(name, 'control')


@CHANGES.register('a target that is silent')
def target_silent(system):
    r"""Cut the first agent off in both directions for good."""
    name = next(iter(system.target_by_name))
    system.driver.cut(name, 'fabric')
    for balancer in system.balancer_by_name:
        system.driver.cut(balancer, name)


@CHANGES.register('a stall of the balancers for 700 ms')
def balancers_stall(system):
    r"""Let what balancers read wait in their inboxes."""
    _stall(system, list(system.balancer_by_name))


@CHANGES.register('a stall of the agents for 700 ms')
def agents_stall(system):
    r"""Let what agents read wait in their inboxes."""
    _stall(system, list(system.target_by_name))


@CHANGES.register('a pause of the balancers for 700 ms')
def balancers_pause(system):
    r"""Stop the balancers' processes; their sockets go on receiving."""
    for name in system.balancer_by_name:
        system.driver.pause(name)
    system.run(700)
    for name in system.balancer_by_name:
        system.driver.resume(name)


def _stall(system, names):
    for name in names:
        system.driver.stall(name)
    system.run(700)
    for name in names:
        system.driver.resume(name)


def _restart(system, truthful):
    first = next(iter(system.target_by_name.values()))
    first.die()
    system.run(100)
    first.start(truthful)
    system.run(100)


def _first_of_two_services(system):
    first = next(iter(system.target_by_name.values()))
    for other in system.target_by_name.values():
        if other.service != first.service:
            return first, other
    raise ValueError('the system has only one service with targets')
