r"""Publisher: answers polls with what changed.

Explanation
===========

Control hosts and relays publish. A poll waits until the catalogue has a
newer version than the subscriber, the hold time has passed, or the
publisher can no longer confirm the configuration. The confirmation comes
from a function of the publisher's own state: the leader lease on a control
host, what is left of its own lease on a relay.
"""

from poplarstep.configuration import model
from poplarstep.core import effect
from poplarstep.core import record
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import gathering
from poplarstep.dissemination import message
from poplarstep.dissemination import route

TICK = 'publisher'
TICK_PERIOD_MS = 50
AGENT = 'agent'
HOLD_MS = 400
# A relay answers when its own lease is extended, about every 450 ms, and
# holds polls a little longer than that. If it answered at other times, each
# level of relays would cost a node up to 900 ms of its lease, not 450 ms.
RELAY_HOLD_MS = 600
# Longest lease that an update grants. With a commit and a push of under
# 500 ms, a data centre taken out receives no packet after 3 s.
LEASE_MS = 2500
# A change answers all polls of a publisher at once; the nodes then drift
# apart because each poll is held for a time shorter by a part of this.
HOLD_SPREAD_MS = 100
# Control hosts ask the leader for their lease; there are at most six.
LEASE_ONLY_HOLD_MS = 100
MAXIMUM_WAITING = 16_384

PUBLISHER = stage.Stage('publisher')


class WaitingPoll(record.Record):
    r"""A poll that is held, and when it has to be answered."""

    __slots__ = ('source', 'poll', 'arrived_at')

    def __init__(self, source, poll, arrived_at):
        self.source = source
        self.poll = poll
        self.arrived_at = arrived_at


class PublisherState:
    r"""State of a publisher.

    Parameters
    ==========

    lease_left : callable
        Takes ``now`` and returns for how many ms the publisher can confirm
        its catalogue.
    leader : callable
        Returns the inbox of the control leader, or None.
    hold_ms : int
        A poll is answered after this time if nothing happens.
    upstreams : callable
        Returns the inboxes of the present control hosts.
    """

    __slots__ = (
        'catalogue', 'gathered', 'lease_left', 'leader', 'hold_ms',
        'waiting_by_node', 'refused', 'snapshots', 'updates', 'upstreams')

    def __init__(
            self, catalogue, gathered, lease_left, leader, hold_ms,
            upstreams):
        self.upstreams = upstreams
        self.hold_ms = hold_ms
        self.catalogue = catalogue
        self.gathered = gathered
        self.lease_left = lease_left
        self.leader = leader
        self.waiting_by_node = {}
        self.refused = 0
        self.snapshots = 0
        self.updates = 0


def make_publisher(
        catalogue, gathered, lease_left, leader, hold_ms=HOLD_MS,
        upstreams=tuple):
    r"""Return the state of a publisher that holds no polls."""
    return PublisherState(
        catalogue, gathered, lease_left, leader, hold_ms, upstreams)


@PUBLISHER.handles(effect.Received)
def received(state, event, now):
    r"""Take in a poll; answer it at once if there is news."""
    if not isinstance(event.message, message.Poll):
        return [event]
    poll = event.message
    gathering.take_in(state.gathered, poll, now)
    waiting = WaitingPoll(event.source, poll, now)
    held = state.waiting_by_node.get(poll.node)
    if held is not None and _precedes(poll, held.poll):
        # An overtaken poll must not replace the one that is awaited.
        return []
    state.waiting_by_node.pop(poll.node, None)
    if _must_answer(state, waiting, now):
        return [_answer(state, waiting, now)]
    if len(state.waiting_by_node) >= MAXIMUM_WAITING:
        state.refused += 1
        return []
    state.waiting_by_node[poll.node] = waiting
    return []


@PUBLISHER.handles(timer.Tick)
def tick(state, event, now):
    r"""Answer the polls that were held long enough."""
    if event.name != TICK:
        return [event]
    gathering.forget_silent(state.gathered, now)
    return _flush(state, now)


@PUBLISHER.handles(message.CatalogueChanged)
def changed(state, event, now):
    r"""Answer the polls that wait for a newer version."""
    return [event] + _flush(state, now)


@PUBLISHER.handles(message.Confirmed)
def confirmed(state, event, now):
    r"""Pass on a lease of this relay while most of it is left."""
    return _answer_all(state, list(state.waiting_by_node.values()), now)


def _precedes(poll, other):
    return (
        poll.incarnation == other.incarnation
        and poll.sequence < other.sequence)


def _flush(state, now):
    ready = [
        item for item in state.waiting_by_node.values()
        if _must_answer(state, item, now)]
    return _answer_all(state, ready, now)


def _answer_all(state, ready, now):
    for item in ready:
        del state.waiting_by_node[item.poll.node]
    return [_answer(state, item, now) for item in ready]


def _must_answer(state, waiting, now):
    waited = now - waiting.arrived_at
    if waiting.poll.lease_only:
        return waited >= LEASE_ONLY_HOLD_MS
    return (
        waiting.poll.version < state.catalogue.version
        or waited >= state.hold_ms - route.spread(
            waiting.poll.node, waiting.poll.sequence, HOLD_SPREAD_MS)
        or state.lease_left(now) <= 0)


def _concerning(node, changes, snapshot):
    r"""Leave out the targets of other agents.

    An agent checks its own target, services and data centres. Without the
    other targets its catalogue does not grow with the system.
    """
    def concerns(body):
        return not isinstance(body, model.Target) or body.name == node

    if snapshot is not None:
        snapshot = snapshot.replace(targets=tuple(
            item for item in snapshot.targets if concerns(item)))
    return tuple(
        item for item in changes if concerns(item.body)), snapshot


def _answer(state, waiting, now):
    poll = waiting.poll
    changes = () if poll.lease_only else state.catalogue.changes_since(
        poll.version)
    snapshot = None
    if changes is None:
        snapshot = state.catalogue.snapshot()
        changes = ()
        state.snapshots += 1
    if poll.role == AGENT:
        changes, snapshot = _concerning(poll.node, changes, snapshot)
    state.updates += 1
    lease = max(0, min(LEASE_MS, state.lease_left(now)))
    return effect.SendControl(waiting.source, message.Update(
        poll.sequence, state.catalogue.version, changes, snapshot, lease,
        state.leader(), state.upstreams()))
