"""Tests of the statuses and announcements that relays forward."""

import unittest.mock

import pytest

from poplarstep.configuration import model as objects
from poplarstep.control import intake
from poplarstep.dissemination import message
from poplarstep.dissemination import publisher
from poplarstep.dissemination import reporting
from poplarstep.dissemination.tests import schedule


def poll(node='a', version=1, incarnation=1, status_groups=(),
         announcements=()):
    r"""Return a poll of an agent."""
    return message.Poll(
        node, 'agent', incarnation, 1, version, False, announcements,
        status_groups)


REPORTS = (
    # second poll, ms after the first poll, whether the status is forwarded
    (poll(), 400, False),
    (poll(), reporting.STATUS_REFRESH_MS, True),
    (poll(version=2), 10, True),
    (poll(incarnation=2), 10, True),
    (poll(version=0), 400, False),
)


@pytest.mark.parametrize('second, after, forwarded', REPORTS)
def test_statuses_are_forwarded(second, after, forwarded):
    r"""Guards against reporting a change late or a status needlessly."""
    reports = reporting.Reports()
    reporting.record_poll(reports, poll(), 0)
    first = reporting.due_statuses(reports)
    assert [node for node, _ in first] == ['a']
    reporting.mark_reported(reports, first)
    reporting.record_poll(reports, second, after)
    assert bool(reporting.due_statuses(reports)) == forwarded


def test_unanswered_report_is_repeated():
    r"""Guards against statuses that are lost with an unanswered poll."""
    reports = reporting.Reports()
    reporting.record_poll(reports, poll(), 0)
    assert reporting.due_statuses(reports) == reporting.due_statuses(reports)
    reporting.mark_reported(reports, reporting.due_statuses(reports))
    assert not reporting.due_statuses(reports)
    reporting.upstream_changed(reports)
    assert reporting.due_statuses(reports)


def test_compact_form_keeps_statuses():
    r"""Guards against statuses that are changed by relays."""
    lower = reporting.Reports()
    for number in range(5):
        reporting.record_poll(lower, poll(
            'n%d' % number, number % 2, number + 2**40), number * 100)
    sent = reporting.group_statuses(reporting.due_statuses(lower), 1000)
    assert len(sent) == 2, 'nodes of one version are one group'
    upper = reporting.Reports()
    reporting.record_poll(upper, poll('relay', status_groups=sent), 5000)
    for node, status in lower.status_by_node.items():
        assert upper.status_by_node[node] == status.replace(
            heard_at=status.heard_at + 4000, direct=False)


def test_reports_are_bounded():
    r"""Guards against a faulty sender that exhausts the memory."""
    reports = reporting.Reports()
    with unittest.mock.patch.object(reporting, 'MAXIMUM_NODES', 3):
        for number in range(5):
            reporting.record_poll(reports, poll('n%d' % number), 0)
    assert len(reports.status_by_node) == 3 and reports.refused == 2
    reporting.drop_silent(reports, reporting.STATUS_RETENTION_MS + 1)
    assert not reports.status_by_node


def test_expiry_time_exceeds_every_delay_of_a_status():
    r"""Guards against expiring the targets of live agents.

    A relay and a control host upstream of the agents' relays stop. The
    highest age of an agent's status at the leader must stay below the expiry
    time.
    """
    world = schedule.World(seed=3)
    network = world.network
    ages = []

    def sample():
        heard = world.cluster.leader.published.reports.status_by_node
        now = network.now + world.cluster.leader.offset
        ages.extend(
            now - heard[item.name].heard_at for item in world.agents)
        network.at(network.now + 50, sample)

    network.run(6000)
    sample()
    network.run(10_000)
    usual = max(ages)
    network.stop(world.relays[0])
    network.stop(world.cluster.hosts[1])
    network.run(15_000)
    assert usual < intake.TARGET_EXPIRY_MS - intake.FAILOVER_MS
    assert max(ages) < intake.TARGET_EXPIRY_MS
    network.stop(world.agents[0])
    network.run(intake.TARGET_EXPIRY_MS + publisher.HOLD_MS)
    assert max(ages) > intake.TARGET_EXPIRY_MS, 'a stopped agent is heard'


ANNOUNCEMENT = objects.Announcement(
    'a', 's', 'd', schedule.simulation.address_of(4, 0), 1, 1, 1, 1, False)
REPETITIONS = (
    # ms since the first poll, revision, whether the announcement is forwarded
    (400, 1, False),
    (reporting.ANNOUNCEMENT_REPEAT_MS, 1, True),
    (10, 2, True),
)


@pytest.mark.parametrize('after, revision, forwarded', REPETITIONS)
def test_announcements_are_repeated_slowly(after, revision, forwarded):
    r"""Guards against repeating an announcement in every poll or never."""
    reports = reporting.Reports()
    catalogue = schedule.World(seed=1).agents[0].catalogue
    reporting.record_poll(reports, poll(announcements=(ANNOUNCEMENT,)), 0)
    assert reporting.due_announcements(reports, catalogue, 0)
    reporting.record_poll(reports, poll(announcements=(
        ANNOUNCEMENT.replace(revision=revision),)), after)
    assert bool(reporting.due_announcements(
        reports, catalogue, after)) == forwarded
