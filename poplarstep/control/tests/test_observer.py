"""Tests of an observer: a control host without a disk.

An observer doesn't vote or store the log. It subscribes to the configuration
like other nodes and publishes it.
"""

import pytest

from poplarstep.configuration import command
from poplarstep.configuration import model
from poplarstep.consensus import message as consensus
from poplarstep.control import message
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.dissemination import subscriber
from poplarstep.edge import storage
from poplarstep.programs import control
from poplarstep.programs import settings

OWN, MEMBER, LEADER = (
    address.Address('10.0.0.%d' % number, 7000) for number in (1, 2, 3))
LEASE_MS = 2000
FLAGS = {
    'role': 'control', 'node': 'control-1', 'data-centre': 'maadi',
    'control-address': str(OWN), 'http-address': '10.0.0.1:8000',
    'control-hosts': 'seed-1=%s,seed-2=%s' % (OWN, MEMBER),
    'data-folder': settings.NO_FOLDER, 'membership': 'automatic',
}
REQUESTS = (
    # request, type of the reply
    (message.IdempotentCommand(7, command.SetDataCentre('maadi', True)),
     message.CommandReply),
    (message.ReadConfiguration(7), message.ConfigurationReply),
)


class Observer:
    r"""Pipeline of an observer whose input and clock the test provides."""

    def __init__(self):
        self.settings = settings.read_settings(FLAGS, {}).unwrap()
        self.replica = control.make_replica(
            self.settings, control.open_storage(self.settings).unwrap().loaded)
        self.pipeline, self.machine, _, self.subscribed = (
            control.make_pipeline(self.settings, self.replica))

    def feed(self, item, now):
        return self.pipeline.process(item, now)

    def update(self, **changes):
        r"""Poll a control host, process its answer, return its address."""
        now = 1000
        while True:
            polls = [
                (item.destination, item.message) for item in self.feed(
                    timer.Tick(subscriber.TICK), now)
                if isinstance(item, effect.SendControl) and isinstance(
                    item.message, dissemination.Poll)]
            if polls:
                break
            now += subscriber.TICK_PERIOD_MS
        destination, poll = polls[0]
        answer = dissemination.Update(
            poll.sequence, 3,
            (model.Change(3, model.DataCentre('maadi', 1, True, 3)),), None,
            LEASE_MS, LEADER, (MEMBER, LEADER))
        self.feed(effect.Received(
            destination, answer.replace(**changes)), now)
        return destination


@pytest.mark.parametrize('event, reply_type', REQUESTS)
def test_observer_refers_operators_to_the_leader(event, reply_type):
    """Guards against an observer that answers operators by itself."""
    observer = Observer()
    observer.update()
    replies = [item for item in observer.feed(event, 2000)
               if isinstance(item, reply_type)]
    assert len(replies) == 1
    if reply_type is message.CommandReply:
        assert replies[0].outcome.status == command.NOT_TAKEN
    else:
        assert not replies[0].current


def test_observer_forwards_updates_and_the_leader():
    """Guards against nodes that can't find the leader through an observer."""
    observer = Observer()
    assert control.leader_inbox(observer.replica, observer.subscribed) is None
    assert observer.update() == MEMBER
    assert observer.machine.catalogue.version == 3
    assert control.leader_inbox(
        observer.replica, observer.subscribed) == LEADER
    poll = dissemination.Poll('b-1', 'balancer', 1, 1, 0, False, (), ())
    answers = observer.feed(
        effect.Received(address.Address('10.0.0.9', 7000), poll), 1500)
    update = answers[-1].message
    assert (update.version, update.leader, update.upstreams) == (
        3, LEADER, (MEMBER, LEADER))
    assert 0 < update.lease_ms <= LEASE_MS


def test_observer_refuses_to_store():
    """Guards against a vote that is only kept in memory."""
    stored = control.open_storage(Observer().settings).unwrap().perform(
        consensus.SaveVote(3, None))
    assert 'no disk' in stored.failure()


def test_a_host_with_a_disk_opens_its_folder(tmp_path):
    """Guards against a control host that doesn't use its data folder."""
    by_name = dict(FLAGS, **{'data-folder': str(tmp_path / 'data')})
    opened = control.open_storage(
        settings.read_settings(by_name, {}).unwrap()).unwrap()
    assert isinstance(opened, storage.Storage)
    opened.close()
