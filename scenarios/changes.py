r"""Changes, failures and networks that feature files name.

Explanation
===========

The *first* target or balancer of a system is the one that was started first.
"""

from poplarstep.caller import message
from poplarstep.configuration import command
from poplarstep.core import registry
from poplarstep.core import simulation
from scenarios import settings
from scenarios import target as targets

CHANGES = registry.Registry('change')
NETWORKS = registry.Registry('network')

NETWORKS.register('reliable')(simulation.Faults(1, 1))
NETWORKS.register('slow and reordering')(simulation.Faults(1, 120))
NETWORKS.register('lossy')(simulation.Faults(1, 20, loss=0.05))
NETWORKS.register('duplicating')(simulation.Faults(1, 60, duplication=0.5))
NETWORKS.register('slow, lossy and duplicating')(
    simulation.Faults(1, 120, loss=0.05, duplication=0.3))


@CHANGES.register('nothing')
def nothing(system):
    r"""Leave the system as it is."""


@CHANGES.register('the addition of a target')
def target_added(system):
    r"""Start another target of the first service."""
    first = next(iter(system.target_by_name.values()))
    system.start_target(
        'late-%d' % len(system.target_by_name), first.service,
        targets.Plan())
    system.run(1000)


@CHANGES.register('the departure of a target')
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


@CHANGES.register('the creation of a service')
def service_created(system):
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


@CHANGES.register('an address change of the service')
def address_changed(system):
    r"""Change the address of the first service."""
    first = next(iter(system.target_by_name.values()))
    system.command(command.ChangeService(
        first.service, settings.SERVICE_ADDRESSES[7], None, None))
    system.run(1000)


@CHANGES.register('an address change that a balancer misses')
def address_changed_missed(system):
    r"""Change the first service's address while a balancer is cut off."""
    name = next(iter(system.balancer_by_name))
    system.driver.cut('control', name)
    first = next(iter(system.target_by_name.values()))
    system.command(command.ChangeService(
        first.service, settings.SERVICE_ADDRESSES[7], None, None))
    system.open_flows(first.service, 10)
    system.run(500)


@CHANGES.register('the addition of a balancer')
def balancer_added(system):
    r"""Start another balancer."""
    system.start_balancer('extra-%d' % len(system.host_by_name))
    system.run(1000)


@CHANGES.register('the crash of a balancer')
def balancer_crashes(system):
    r"""Kill the first balancer."""
    system.stop_balancer(next(iter(system.balancer_by_name)))


@CHANGES.register('the restart of all balancers')
def balancers_restart(system):
    r"""Kill and restart the balancers one after another."""
    for name in list(system.balancer_by_name):
        system.stop_balancer(name)
        system.run(200)
        system.start_balancer(name)
        system.run(300)


@CHANGES.register('the restart of a balancer that missed 300 changes')
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
    r"""Make planned changes of many kinds without waiting for any."""
    for number in range(20):
        system.create_service('brief-%d' % number, 6)
        system.command(command.RemoveService('brief-%d' % number))
    first = next(iter(system.target_by_name.values()))
    system.start_target('joining', first.service, targets.Plan())
    system.command(command.DrainTarget(first.agent_name, True))
    system.command(command.ChangeService(
        first.service, settings.SERVICE_ADDRESSES[7], None, None))
    system.start_balancer('joining-balancer')
    balancer_crashes(system)
    balancers_restart(system)
    system.run(1000)


@CHANGES.register('the restart of a target for another service')
def target_changes_service(system):
    r"""Restart the first target as a target of another service."""
    first, second = _first_of_two_services(system)
    first.crash()
    system.run(300)
    first.service = second.service
    first.start()
    system.run(1000)


@CHANGES.register('a target that changes service without a control link')
def target_changes_service_unseen(system):
    r"""Change a target's service while its agent has no control link."""
    first, second = _first_of_two_services(system)
    system.driver.cut(first.agent_name, 'control')
    first.crash()
    first.service = second.service
    first.start()
    system.run(300)


@CHANGES.register('the reuse of a service address')
def address_reused(system):
    r"""Change the first service's address; give the old one to another."""
    first, second = _first_of_two_services(system)
    old = system.service_address(first.service)
    system.command(command.ChangeService(
        first.service, settings.SERVICE_ADDRESSES[7], None, None))
    system.command(command.ChangeService(second.service, old, None, None))
    system.run(1000)


@CHANGES.register('the reuse of an address that a balancer misses')
def address_reused_missed(system):
    r"""Reuse the first service's address while a balancer is cut off."""
    name = next(iter(system.balancer_by_name))
    system.driver.cut('control', name)
    first, second = _first_of_two_services(system)
    old = system.service_address(first.service)
    system.command(command.ChangeService(
        first.service, settings.SERVICE_ADDRESSES[7], None, None))
    system.command(command.ChangeService(second.service, old, None, None))
    system.run(500)


@CHANGES.register('the reuse of an agent address')
def agent_address_reused(system):
    r"""Start a target of another service on the host of a crashed target."""
    first, second = _first_of_two_services(system)
    system.driver.kill(first.agent_name)
    first.crash()
    system.start_target(
        'successor', second.service, targets.Plan(),
        host=system.host_by_name[first.agent_name])
    system.run(1000)


@CHANGES.register('the restart of a target')
def target_restarts(system):
    r"""Crash the first target and start it again."""
    _restart(system, new_incarnation=True)


@CHANGES.register('a restart that is announced late')
def target_restarts_late(system):
    r"""Restart the first target; it announces itself after 2 s."""
    first = next(iter(system.target_by_name.values()))
    first.plan.announcement_delay_ms = 2000
    _restart(system, new_incarnation=True)


@CHANGES.register('a restart with the same incarnation')
def target_restarts_with_same_incarnation(system):
    r"""Restart the first target with the incarnation of its former run."""
    _restart(system, new_incarnation=False)


@CHANGES.register('a restart that refuses no connection')
def target_restarts_quickly(system):
    r"""Restart the first target so fast that no connection is refused."""
    first = next(iter(system.target_by_name.values()))
    first.crash()
    first.start(new_incarnation=False)


@CHANGES.register('the restart of the agent alone')
def agent_restarts(system):
    r"""Restart the first agent; its target continues to run."""
    system.start_agent(next(iter(system.target_by_name)))


@CHANGES.register('the restart of target and agent')
def both_restart(system):
    r"""Restart the first target, and its agent 500 ms later."""
    _restart(system, new_incarnation=True)
    system.run(400)
    agent_restarts(system)


@CHANGES.register('the crash of the target')
def target_crashes(system):
    r"""Crash the first target for good."""
    next(iter(system.target_by_name.values())).crash()


@CHANGES.register('the evacuation of a data centre')
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


@CHANGES.register('a loss of answers for 800 ms')
def answers_lost(system):
    r"""Drop all packets from the agents to the fabric for 800 ms.

    Answers to callers pass through the fabric.
    """
    for name in system.target_by_name:
        system.driver.cut(name, 'fabric')
    system.run(800)
    system.driver.heal()


@CHANGES.register('the cancellation of all requests')
def all_cancelled(system):
    r"""Let callers cancel all requests that have no outcome yet."""
    for request in system.requests:
        if request.outcome is None:
            system.driver.post('callers', message.CancelRequest(
                request.flow_key, request.number))


@CHANGES.register('a balancer without a control link')
def balancer_without_control(system):
    r"""Cut the first balancer off from the control host for good."""
    _cut_from_control(system, next(iter(system.balancer_by_name)))


@CHANGES.register('an agent without a control link')
def agent_without_control(system):
    r"""Cut the first agent off from the control host for good."""
    _cut_from_control(system, next(iter(system.target_by_name)))


def _cut_from_control(system, name):
    system.driver.cut('control', name)
    system.driver.cut(name, 'control')


@CHANGES.register('an agent that is unreachable')
def agent_unreachable(system):
    r"""Cut the first agent off from balancers and fabric for good."""
    name = next(iter(system.target_by_name))
    system.driver.cut(name, 'fabric')
    for balancer in system.balancer_by_name:
        system.driver.cut(balancer, name)


@CHANGES.register('a stall of the balancers for 700 ms')
def balancers_stall(system):
    r"""Stall the balancers; messages wait in their inboxes."""
    _stall(system, list(system.balancer_by_name))


@CHANGES.register('a stall of the agents for 700 ms')
def agents_stall(system):
    r"""Stall the agents; messages wait in their inboxes."""
    _stall(system, list(system.target_by_name))


@CHANGES.register('a pause of the balancers for 700 ms')
def balancers_pause(system):
    r"""Pause the balancers; packets wait in their socket buffers."""
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


def _restart(system, new_incarnation):
    first = next(iter(system.target_by_name.values()))
    first.crash()
    system.run(100)
    first.start(new_incarnation)
    system.run(100)


def _first_of_two_services(system):
    first = next(iter(system.target_by_name.values()))
    for second in system.target_by_name.values():
        if second.service != first.service:
            return first, second
    raise ValueError('the system has only one service with targets')
