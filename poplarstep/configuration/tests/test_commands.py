"""Tests of the outcomes of commands: lost races, old changes and drains."""

import pytest

from poplarstep.configuration import catalogue
from poplarstep.configuration import command
from poplarstep.configuration import machine as machines
from poplarstep.configuration import model
from poplarstep.configuration.tests import test_machine
from poplarstep.core import address

CREATE = command.CreateService('s', address.Address('10.0.0.1', 1), 0, 0)
LOST_RACES = (
    # first command, second command, text that names the winner
    (CREATE, CREATE, 'exists since version 1'),
    (command.ChangeService('s', None, 1, None),
     command.ChangeService('s', None, 2, None), 'priority=1'),
    (command.RemoveService('s'), command.ChangeService('s', None, 2, None),
     'removed at version 2'),
    (command.RemoveService('s'), command.RemoveService('s'),
     'removed at version 2'),
    (CREATE.replace(name='a', address=address.Address('10.0.0.2', 1)),
     CREATE.replace(name='b', address=address.Address('10.0.0.2', 1)),
     "belongs to service a: Service(name='a'"),
)


@pytest.mark.parametrize('winner, loser, shown', LOST_RACES)
def test_lost_race_names_the_winner(winner, loser, shown):
    r"""Guards against a refusal that doesn't show the winning change."""
    machine = machines.Machine()
    if winner is not CREATE:
        machines.apply_command(machine, command.Command('o', 1, 0, CREATE))
    base = machine.catalogue.version
    won = machines.apply_command(
        machine, command.Command('a', 1, base, winner))
    lost = machines.apply_command(
        machine, command.Command('b', 1, base, loser))
    assert won.status == command.APPLIED
    assert lost.status == command.REFUSED and shown in lost.reason
    assert machines.apply_command(
        test_machine.reload(machines.take_snapshot(machine)),
        command.Command('c', 1, base, loser)) == lost


OLDER = (
    # version of the node's catalogue, version that it receives
    (5, 4), (5, 5),
)


@pytest.mark.parametrize('current, received', OLDER)
def test_older_configuration_is_ignored(current, received):
    r"""Guards against a node that goes back to an older version."""
    node = catalogue.Catalogue()
    centre = model.DataCentre('d', 1, True, current)
    assert node.apply([model.Change(current, centre)])
    old = centre.replace(out=False)
    assert not node.apply([model.Change(received, old)])
    assert not node.restore(model.Snapshot(received, (), (old,), ()))
    assert node.version == current and node.data_centre_out(1)


TARGET = model.Announcement(
    't', 's', 'd', address.Address('10.0.0.3', 1), 1, 1, 1, 1, False)
EXPIRE = command.ExpireTargets((command.ExpiredTarget('t', 1),))
RETURNS = (
    # commands while the target is expired, whether it returns drained
    ((), True),
    ((command.DrainTarget('t', False),), False),
)


@pytest.mark.parametrize('meanwhile, drained', RETURNS)
def test_drain_survives_expiry(meanwhile, drained):
    r"""Guards against a drain that ends because the target expired."""
    machine = machines.Machine()
    bodies = (CREATE, command.Announce((TARGET,)), command.DrainTarget(
        't', True), EXPIRE) + meanwhile
    for number, body in enumerate(bodies):
        outcome = machines.apply_command(machine, command.Command(
            'o', number, machine.catalogue.version, body))
        assert outcome.status == command.APPLIED
    machine = test_machine.reload(machines.take_snapshot(machine))
    machines.apply_command(machine, command.Command('', 0, 0, command.Announce(
        (TARGET.replace(incarnation=2),))))
    returned = machine.catalogue.target_by_name['t']
    assert returned.drained == drained
    assert not machine.drained_names
