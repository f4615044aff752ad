"""What relays pass on: positions, announcements, and for how long."""

import unittest.mock

import pytest

from poplarstep.configuration import model as objects
from poplarstep.control import intake
from poplarstep.dissemination import gathering
from poplarstep.dissemination import message
from poplarstep.dissemination import publisher
from poplarstep.dissemination.tests import schedule


def poll(node='a', version=1, incarnation=1, standings=(), announcements=()):
    r"""Return a poll of an agent."""
    return message.Poll(
        node, 'agent', incarnation, 1, version, False, announcements,
        standings)


REPORTS = (
    # second poll, ms after the first one, whether it is passed on
    (poll(), 400, False),
    (poll(), gathering.REFRESH_MS, True),
    (poll(version=2), 10, True),
    (poll(incarnation=2), 10, True),
    (poll(version=0), 400, False),
)


@pytest.mark.parametrize('second, after, passed_on', REPORTS)
def test_positions_are_passed_on(second, after, passed_on):
    r"""Guards against late versions and against needless repetition."""
    held = gathering.Gathering()
    gathering.take_in(held, poll(), 0)
    first = gathering.due_positions(held)
    assert [node for node, _ in first] == ['a']
    gathering.reported(held, first)
    gathering.take_in(held, second, after)
    assert bool(gathering.due_positions(held)) == passed_on


def test_unanswered_report_is_repeated():
    r"""Guards against positions that are lost with a poll."""
    held = gathering.Gathering()
    gathering.take_in(held, poll(), 0)
    assert gathering.due_positions(held) == gathering.due_positions(held)
    gathering.reported(held, gathering.due_positions(held))
    assert not gathering.due_positions(held)
    gathering.upstream_changed(held)
    assert gathering.due_positions(held)


def test_compact_form_keeps_positions():
    r"""Guards against positions that change on the way through relays."""
    lower = gathering.Gathering()
    for number in range(5):
        gathering.take_in(lower, poll(
            'n%d' % number, number % 2, number + 2**40), number * 100)
    sent = gathering.standings(gathering.due_positions(lower), 1000)
    assert len(sent) == 2, 'nodes of one version are one group'
    upper = gathering.Gathering()
    gathering.take_in(upper, poll('relay', standings=sent), 5000)
    for node, heard in lower.heard_by_node.items():
        assert upper.heard_by_node[node] == heard.replace(
            at=heard.at + 4000, direct=False)


def test_gathering_is_bounded():
    r"""Guards against a faulty sender that fills the memory."""
    held = gathering.Gathering()
    with unittest.mock.patch.object(gathering, 'MAXIMUM_NODES', 3):
        for number in range(5):
            gathering.take_in(held, poll('n%d' % number), 0)
    assert len(held.heard_by_node) == 3 and held.refused == 2
    gathering.forget_silent(held, gathering.POSITION_RETENTION_MS + 1)
    assert not held.heard_by_node


def test_expiry_outlasts_every_delay_of_a_position():
    r"""Guards against live targets that leave the configuration.

    The upstream of the agents' relays dies; the greatest age at which the
    leader sees an agent must stay below the expiry.
    """
    world = schedule.World(seed=3)
    network = world.network
    oldest = []

    def sample():
        heard = world.cluster.leader.published.gathered.heard_by_node
        now = network.now + world.cluster.leader.offset
        oldest.extend(
            now - heard[item.name].at for item in world.agents)
        network.at(network.now + 50, sample)

    network.run(6000)
    sample()
    network.run(10_000)
    usual = max(oldest)
    network.stop(world.relays[0])
    network.stop(world.cluster.hosts[1])
    network.run(15_000)
    assert usual < intake.TARGET_EXPIRY_MS - intake.FAILOVER_MS
    assert max(oldest) < intake.TARGET_EXPIRY_MS
    network.stop(world.agents[0])
    network.run(intake.TARGET_EXPIRY_MS + publisher.HOLD_MS)
    assert max(oldest) > intake.TARGET_EXPIRY_MS, 'a dead agent is heard'


ANNOUNCEMENT = objects.Announcement(
    'a', 's', 'd', schedule.model.place(4, 0), 1, 1, 1, 1, False)
REPETITIONS = (
    # ms since the first time, revision, whether it is passed on
    (400, 1, False),
    (gathering.REPEAT_MS, 1, True),
    (10, 2, True),
)


@pytest.mark.parametrize('after, revision, passed_on', REPETITIONS)
def test_announcements_are_repeated_slowly(after, revision, passed_on):
    r"""Guards against announcements in every poll, and lost ones."""
    held = gathering.Gathering()
    catalogue = schedule.World(seed=1).agents[0].catalogue
    gathering.take_in(held, poll(announcements=(ANNOUNCEMENT,)), 0)
    assert gathering.due_announcements(held, catalogue, 0)
    gathering.take_in(held, poll(announcements=(
        ANNOUNCEMENT.replace(revision=revision),)), after)
    assert bool(gathering.due_announcements(
        held, catalogue, after)) == passed_on
