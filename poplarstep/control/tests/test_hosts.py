"""Replacement of control hosts, with real processes on loopback."""

import os
import shutil
import time

import pytest

from standins import deployment
from standins import network as networks
from standins import processes as children

WAIT_S = 10


@pytest.fixture
def hosts(tmp_path):
    r"""Run three control hosts that form a group."""
    with open(os.devnull, 'wb') as log, networks.reserve() as network:
        layout = deployment.make_layout(
            deployment.PLAN_BY_NAME['nile-hood'], str(tmp_path), network)
        started = children.make_processes(layout, log)
        try:
            for index in range(layout.controls):
                started.start_control(index)
            yield started
        finally:
            started.kill_all()


def wait_for(condition, failure):
    r"""Wait until a condition holds."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, failure
        time.sleep(0.1)


def voters(hosts):
    r"""Return ``(name, voter)`` of the control hosts."""
    return [(row[0], row[3]) for row in hosts.run('show control').rows]


def caught_up(hosts):
    r"""Return the names of the members whose log is complete."""
    rows = hosts.run('show control').rows
    highest = max((row[4] or 0) for row in rows)
    return [row[0] for row in rows
            if row[2] == 'leader' or row[4] == highest]


def lose_and_replace(hosts, index):
    r"""Kill a host, wipe its disk, start it again and replace it."""
    name = 'control-%d' % index
    address = hosts.layout.process_address(
        deployment.CONTROL, index, deployment.CONTROL_PORT)
    statement = 'replace control %s by %s %s' % (name, name, address)
    hosts.kill(name)
    shutil.rmtree('%s/%s' % (hosts.layout.folder, name))
    wait_for(lambda: hosts.run(statement).rows[0][0] == 'refused',
             'replaced by a host that has not sent a Hello')
    hosts.start_control(index, start='join')
    wait_for(lambda: hosts.run(statement).code == 0, 'not replaced')
    again = hosts.run(statement)
    assert again.rows[0][0] == 'applied', 'a resend is not idempotent'
    wait_for(
        lambda: (name, True) in voters(hosts) and (
            name in caught_up(hosts)), 'not promoted')
    assert hosts.run('promote control %s' % name).code == 0


def test_two_hosts_are_lost_one_after_the_other(hosts):
    r"""Guards against losing commands when a second host loses its disk."""
    create = 'create service s%d address 10.0.0.%d:5000'
    assert hosts.run(create % (1, 1)).code == 0
    lose_and_replace(hosts, 2)
    assert hosts.run(create % (2, 2)).code == 0
    lose_and_replace(hosts, 0)
    assert hosts.run(create % (3, 3)).code == 0
    rows = hosts.run('show services').rows
    assert [row[0] for row in rows] == ['s1', 's2', 's3']
    assert sorted(voters(hosts)) == [
        ('control-%d' % index, True) for index in range(3)]


OUTCOMES = (
    # statement, status, text in the reason
    ('add control control-1 127.45.1.2:7000', 'applied', 'in force'),
    ('add control control-9 127.45.1.9:7000', 'refused', 'not-heard'),
    ('promote control control-1', 'applied', 'in force'),
    ('promote control control-9', 'refused', 'not-member'),
    ('replace control control-8 by control-9 127.45.1.9:7000', 'refused',
     'not-member'),
    ('remove control control-2', 'applied', ''),
    ('remove control control-2', 'applied', 'in force'),
)


def test_outcomes_of_membership_commands(hosts):
    r"""Guards against vague reasons and against resends that fail."""
    wait_for(lambda: hosts.run('show control').code == 0, 'no leader')
    for text, status, reason in OUTCOMES:
        row = hosts.run(text).rows[0]
        assert row[0] == status and reason in row[2], (text, row)
