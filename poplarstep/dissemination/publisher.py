r"""Publisher: answers the polls of subscribers with changes and a lease.

Explanation
===========

Control hosts and relays publish. Polls are long polls: a poll is held until
the catalogue has a newer version than the subscriber, the hold time has
passed, or the publisher can no longer confirm its configuration. The leader
confirms as long as its leader lease lasts; every other publisher passes on
the rest of the lease that its own upstream granted.
"""

from poplarstep.configuration import model
from poplarstep.core import effect
from poplarstep.core import record
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message
from poplarstep.dissemination import reporting
from poplarstep.dissemination import upstream

TICK = 'publisher'
TICK_PERIOD_MS = 50
AGENT = 'agent'
# Longest time for which a control host holds a poll.
HOLD_MS = 400
# A relay answers whenever its own lease is extended, about every 450 ms; the
# hold time must be longer than that. An answer at another time passes on a
# lease that is up to 450 ms older; each level of relays would then cost a node
# up to 900 ms of its lease instead of 450 ms.
RELAY_HOLD_MS = 600
# Longest lease that an update grants. A change is committed and sent in less
# than 500 ms, so a data centre taken out receives no packet after 3 s.
LEASE_MS = 2500
# Jitter by which hold times are reduced. A change answers all polls of a
# publisher at once; without jitter the nodes would keep polling together.
HOLD_JITTER_MS = 100
# Hold time of the polls by which control hosts renew their lease. It is short
# because at most six hosts send them.
LEASE_ONLY_HOLD_MS = 100
MAXIMUM_HELD_POLLS = 16_384

PUBLISHER = stage.Stage('publisher')


class HeldPoll(record.Record):
    r"""A poll that is held until it is answered."""

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
        Returns the inbox of the leader of the control hosts, or None.
    hold_ms : int
        Longest time for which a poll is held.
    upstreams : callable
        Returns the inboxes of the present control hosts.
    next_flush_at : int
        No held poll is due before this time, but for a new version or the
        end of the lease.
    refused, snapshots, updates : int
        Numbers of polls dropped because too many were held, of snapshots
        sent and of updates sent.
    """

    __slots__ = (
        'catalogue', 'reports', 'lease_left', 'leader', 'hold_ms',
        'held_by_node', 'refused', 'snapshots', 'updates', 'upstreams',
        'next_flush_at')

    def __init__(
            self, catalogue, reports, lease_left, leader, hold_ms,
            upstreams):
        self.upstreams = upstreams
        self.hold_ms = hold_ms
        self.catalogue = catalogue
        self.reports = reports
        self.lease_left = lease_left
        self.leader = leader
        self.held_by_node = {}
        self.next_flush_at = 0
        self.refused = 0
        self.snapshots = 0
        self.updates = 0


def make_publisher(
        catalogue, reports, lease_left, leader, hold_ms=HOLD_MS,
        upstreams=tuple) -> PublisherState:
    r"""Return the state of a publisher that holds no polls."""
    return PublisherState(
        catalogue, reports, lease_left, leader, hold_ms, upstreams)


@PUBLISHER.handles(effect.Received)
def received(state: 'PublisherState', event, now):
    r"""Record a poll; answer it at once or hold it."""
    if not isinstance(event.message, message.Poll):
        return [event]
    poll = event.message
    reporting.record_poll(state.reports, poll, now)
    held = HeldPoll(event.source, poll, now)
    previous = state.held_by_node.get(poll.node)
    if previous is not None and _precedes(poll, previous.poll):
        # A reordered older poll must not replace the poll whose answer the
        # subscriber is waiting for.
        return []
    state.held_by_node.pop(poll.node, None)
    if _is_due(state, held, now):
        return [_answer(state, held, now)]
    if len(state.held_by_node) >= MAXIMUM_HELD_POLLS:
        state.refused += 1
        return []
    state.held_by_node[poll.node] = held
    state.next_flush_at = min(state.next_flush_at, _due_at(state, held))
    return []


@PUBLISHER.due_at(TICK)
def due_at(state, now):
    r"""Return when held polls or the removal of silent nodes are due."""
    due = state.reports.sweep_due
    if state.held_by_node:
        due = min(due, state.next_flush_at, now + state.lease_left(now))
    return due


@PUBLISHER.handles(timer.Tick)
def tick(state: 'PublisherState', event, now):
    r"""Answer the polls whose hold time has passed."""
    if event.name != TICK:
        return [event]
    reporting.drop_silent(state.reports, now)
    return _flush(state, now)


@PUBLISHER.handles(message.CatalogueChanged)
def changed(state: 'PublisherState', event, now):
    r"""Answer the polls of subscribers with an older version."""
    return [event] + _flush(state, now)


@PUBLISHER.handles(message.LeaseExtended)
def lease_extended(state: 'PublisherState', event, now):
    r"""Answer all polls, right after this relay's lease was extended."""
    return _answer_all(state, list(state.held_by_node.values()), now)


def _precedes(poll, other):
    return (
        poll.incarnation == other.incarnation
        and poll.sequence < other.sequence)


def _flush(state: 'PublisherState', now):
    due = [
        item for item in state.held_by_node.values()
        if _is_due(state, item, now)]
    messages = _answer_all(state, due, now)
    state.next_flush_at = min(
        (_due_at(state, item) for item in state.held_by_node.values()),
        default=now + state.hold_ms)
    return messages


def _answer_all(state: 'PublisherState', due, now):
    for item in due:
        del state.held_by_node[item.poll.node]
    return [_answer(state, item, now) for item in due]


def _is_due(state: 'PublisherState', held, now):
    if now >= _due_at(state, held):
        return True
    return not held.poll.lease_only and (
        held.poll.version < state.catalogue.version
        or state.lease_left(now) <= 0)


def _due_at(state: 'PublisherState', held):
    r"""Return when the hold time of a poll has passed."""
    if held.poll.lease_only:
        return held.arrived_at + LEASE_ONLY_HOLD_MS
    return held.arrived_at + state.hold_ms - upstream.jitter(
        held.poll.node, held.poll.sequence, HOLD_JITTER_MS)


def _filter_for_agent(node, changes, snapshot):
    r"""Omit the targets of other agents.

    An agent needs its own target, the services and the data centres. The
    size of its catalogue must not depend on the number of targets.
    """
    def is_relevant(body):
        return not isinstance(body, model.Target) or body.name == node

    if snapshot is not None:
        snapshot = snapshot.replace(targets=tuple(
            item for item in snapshot.targets if is_relevant(item)))
    return tuple(
        item for item in changes if is_relevant(item.body)), snapshot


def _answer(state: 'PublisherState', held, now):
    poll = held.poll
    changes = () if poll.lease_only else state.catalogue.changes_since(
        poll.version)
    snapshot = None
    if changes is None:
        snapshot = state.catalogue.snapshot()
        changes = ()
        state.snapshots += 1
    if poll.role == AGENT:
        changes, snapshot = _filter_for_agent(poll.node, changes, snapshot)
    state.updates += 1
    lease = max(0, min(LEASE_MS, state.lease_left(now)))
    return effect.SendControl(held.source, message.Update(
        poll.sequence, state.catalogue.version, changes, snapshot, lease,
        state.leader(), state.upstreams()))
