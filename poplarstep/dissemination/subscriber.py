r"""Subscriber: keeps a node's catalogue current and its lease confirmed.

Explanation
===========

The subscriber has one poll outstanding. It sends the next one as soon as
the answer is there, and the publisher holds the answer until something has
changed or the hold time has passed, so a poll doubles as a heartbeat. When
no answer arrives in time it turns to the next upstream.

The lease counts from the moment at which the poll was *sent*, on this
node's clock: whatever time the answer spent on its way, the publisher's
confirmation is not older than that.
"""

from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import gathering
from poplarstep.dissemination import message
from poplarstep.dissemination import route

TICK = 'subscriber'
TICK_PERIOD_MS = 50
# The publisher holds a poll for 400 ms; the rest allows for delays.
POLL_TIMEOUT_MS = 1000
# A node without a configuration serves nothing, and its upstreams may still
# be starting. Its first poll is given up after this time, each further one
# after twice as long, up to the usual time.
STARTING_TIMEOUT_MS = 150
# After an answer without a confirmation the next poll waits for a pause that
# doubles up to the maximum. It keeps the nodes from polling in a loop while
# there is no leader; two pauses and a poll fit into 4 s.
UNCONFIRMED_PAUSE_MS = 100
MAXIMUM_PAUSE_MS = 800
# Nodes that start or fail over together spread their polls over this time.
FIRST_POLL_SPREAD_MS = 100
FAILOVER_SPREAD_MS = 200
STARTING_SPREAD_MS = 50

SUBSCRIBER = stage.Stage('subscriber')


class SubscriberState:
    r"""State of one subscriber.

    Parameters
    ==========

    catalogue : Catalogue
        Shared with the other stages of the same task.
    route : object
        From ``route.ROUTES``; names the upstream to poll.
    lease_only : bool
        The catalogue is fed by the replicated log; only the lease is
        taken from updates.
    leader : Address or None
        Inbox of the control leader, as the latest update named it.
    control_hosts : tuple of Address
        Inboxes of the control hosts, as the latest update named them.
    """

    __slots__ = (
        'node', 'role', 'incarnation', 'catalogue', 'route', 'lease_only',
        'sequence', 'sent_at', 'waiting', 'not_before', 'pause_ms',
        'lease_until', 'pending_version', 'pending_until', 'gathered',
        'own_announcement', 'own_shown', 'reporting', 'confirmed',
        'leader', 'control_hosts', 'starting_timeout_ms',
        'first_sequence')

    def __init__(
            self, node, role, incarnation, catalogue, upstream_route,
            gathered, lease_only):
        self.node = node
        self.role = role
        self.incarnation = incarnation
        self.catalogue = catalogue
        self.route = upstream_route
        self.lease_only = lease_only
        self.pending_version = 0
        self.pending_until = 0
        self.sequence = incarnation
        self.sent_at = 0
        self.waiting = False
        self.not_before = None
        self.pause_ms = UNCONFIRMED_PAUSE_MS
        self.lease_until = 0
        self.gathered = gathered
        self.own_announcement = None
        self.own_shown = False
        self.reporting = ()
        self.confirmed = False
        self.leader = None
        self.control_hosts = ()
        self.starting_timeout_ms = STARTING_TIMEOUT_MS
        self.first_sequence = incarnation


def make_subscriber(
        node, role, incarnation, catalogue, upstreams, gathered=None):
    r"""Return the state of a subscriber with no poll outstanding."""
    return SubscriberState(
        node, role, incarnation, catalogue,
        route.ROUTES.entry_by_name['seeds'](node, upstreams),
        gathering.Gathering() if gathered is None else gathered, False)


def make_observer(
        node, incarnation, catalogue, upstreams, known, gathered):
    r"""Return the state of a control host without a disk.

    ``known`` takes ``now`` and returns the inboxes of control hosts that
    have a disk, as this host knows them.
    """
    return SubscriberState(
        node, 'control', incarnation, catalogue,
        route.ROUTES.entry_by_name['observer'](node, upstreams, known),
        gathered, False)


def make_follower(node, incarnation, catalogue, leader, gathered):
    r"""Return the state by which a control host asks for its lease.

    ``leader`` returns the inbox of the leader, or None when there is none
    or when it is this host.
    """
    return SubscriberState(
        node, 'control', incarnation, catalogue,
        route.ROUTES.entry_by_name['leader'](leader), gathered, True)


def lease_left(state, now):
    r"""Return for how many ms this node may pass its lease on."""
    return max(0, state.lease_until - now)


def lease_holds(state, now):
    r"""Return whether the configuration counts as confirmed."""
    return now < state.lease_until


@SUBSCRIBER.handles(timer.Tick)
def tick(state, event, now):
    r"""Send the first poll, or turn to the next upstream after a timeout."""
    if event.name != TICK:
        return [event]
    _settle(state)
    messages = _lease_change(state, now)
    if state.waiting and now - state.sent_at >= _poll_timeout_ms(state):
        _give_up(state, now)
    if state.not_before is None:
        state.not_before = now + route.spread(
            state.node, state.sequence, FIRST_POLL_SPREAD_MS)
    if not state.waiting and now >= state.not_before:
        messages.extend(_poll(state, now))
    return messages


def _is_starting(state):
    r"""Return whether this node still has no configuration."""
    return not state.lease_only and state.catalogue.version == 0


def _poll_timeout_ms(state):
    if _is_starting(state):
        return min(state.starting_timeout_ms, POLL_TIMEOUT_MS)
    return POLL_TIMEOUT_MS


def _give_up(state, now):
    r"""Turn to the next upstream, because no answer came."""
    state.route.failed()
    gathering.upstream_changed(state.gathered)
    state.waiting = False
    spread_ms = FAILOVER_SPREAD_MS
    if _is_starting(state):
        state.starting_timeout_ms *= 2
        spread_ms = STARTING_SPREAD_MS
    state.not_before = now + route.spread(
        state.node, state.sequence, spread_ms)


@SUBSCRIBER.handles(message.Announced)
def announced(state, event, now):
    r"""Report this node's own target at once, or in the first poll."""
    state.own_announcement = event.announcement
    state.incarnation = event.announcement.incarnation
    if state.not_before is None or now < state.not_before:
        return []
    return _poll(state, now)


@SUBSCRIBER.handles(message.UpstreamsConfigured)
def upstreams_configured(state, event, now):
    r"""Try the upstreams that the settings name now."""
    if not state.route.configure(event.upstreams):
        return []
    return [effect.LogChange('upstreams-configured', (
        ('upstreams', ','.join(map(str, event.upstreams))),))]


@SUBSCRIBER.handles(effect.Received)
def received(state, event, now):
    r"""Take in an update; pass other messages on."""
    if not isinstance(event.message, message.Update):
        return [event]
    update = event.message
    if not state.waiting or update.sequence != state.sequence:
        return _take_in_late(state, update)
    state.waiting = False
    gathering.reported(state.gathered, state.reporting)
    state.route.learn(update.upstreams)
    state.leader = update.leader
    state.control_hosts = update.upstreams or state.control_hosts
    changed = _take_in(state, update)
    _judge_upstream(state, event.source, update, now)
    messages = _lease_change(state, now)
    if state.confirmed and not state.lease_only:
        messages.append(message.Confirmed())
    if changed:
        messages.append(message.CatalogueChanged(state.catalogue.version))
        messages.extend(_check_own_target(state))
    if now >= state.not_before:
        messages.extend(_poll(state, now))
    return messages


@SUBSCRIBER.handles(message.CatalogueChanged)
def changed(state, event, now):
    r"""Use a lease that waited for the replicated log."""
    _settle(state)
    return [event]


def _settle(state):
    if state.catalogue.version >= state.pending_version:
        state.lease_until = max(state.lease_until, state.pending_until)


def _take_in(state, update):
    if state.lease_only:
        return False
    if update.snapshot is not None:
        return state.catalogue.restore(update.snapshot)
    applied = state.catalogue.apply(update.changes)
    # An update to an agent leaves out what doesn't concern it.
    return state.catalogue.advance(update.version) or applied


def _take_in_late(state, update):
    r"""Use a configuration that came after its poll was given up.

    It confirms nothing, but any configuration is better than none. An
    answer to a former run of this node leaves out what that run knew.
    """
    of_this_run = state.first_sequence < update.sequence <= state.sequence
    if not _is_starting(state) or not of_this_run or (
            not _take_in(state, update)):
        return []
    return [message.CatalogueChanged(state.catalogue.version)]


def _check_own_target(state):
    r"""Notice a configuration that holds a later incarnation.

    A wall clock that went back gives a restarted agent a lower incarnation
    than that of its former run, and its announcements would be ignored for
    ever. A run that was shown once has been replaced by a later one and
    stays silent, so that two processes of one name do not outbid each
    other.
    """
    own = state.own_announcement
    if own is None:
        return []
    shown = state.catalogue.target_by_name.get(own.name)
    if shown is None or state.own_shown:
        return []
    if shown.incarnation == own.incarnation:
        state.own_shown = True
    if shown.incarnation <= own.incarnation:
        return []
    return [effect.Loop(message.Outranked(shown.incarnation))]


def _judge_upstream(state, source, update, now):
    r"""Extend the lease, or look for an upstream that can confirm."""
    if update.lease_ms > 0 and state.lease_only:
        # What this host lacks was committed after the leader confirmed, or
        # is in the version that the lease waits for.
        state.pending_version = update.version
        state.pending_until = state.sent_at + update.lease_ms
        _settle(state)
        state.not_before = now
        state.pause_ms = UNCONFIRMED_PAUSE_MS
        return
    if update.lease_ms > 0 and update.version >= state.catalogue.version:
        state.lease_until = max(
            state.lease_until, state.sent_at + update.lease_ms)
        state.not_before = now
        state.pause_ms = UNCONFIRMED_PAUSE_MS
        return
    state.not_before = now + state.pause_ms + route.spread(
        state.node, state.sequence, state.pause_ms)
    state.pause_ms = min(MAXIMUM_PAUSE_MS, 2 * state.pause_ms)
    state.route.unconfirmed(source, update.leader, now)
    if state.route.destination(now) != source:
        gathering.upstream_changed(state.gathered)


def _poll(state, now):
    destination = state.route.destination(now)
    if destination is None:
        return []
    _keep_announcing(state)
    state.sequence += 1
    state.sent_at = now
    state.waiting = True
    state.reporting = gathering.due_positions(state.gathered)
    return [effect.SendControl(destination, message.Poll(
        state.node, state.role, state.incarnation, state.sequence,
        state.catalogue.version, state.lease_only,
        gathering.due_announcements(state.gathered, state.catalogue, now),
        gathering.standings(state.reporting, now)))]


def _keep_announcing(state):
    r"""Announce the own target again if the configuration lost it.

    A target that was silent for a while has been removed; the agent that
    resumes must be listed again without waiting for its target's news.
    """
    own = state.own_announcement
    if own is not None:
        gathering.note_announcement(state.gathered, own)


def _lease_change(state, now):
    holds = lease_holds(state, now)
    if holds == state.confirmed:
        return []
    state.confirmed = holds
    return [effect.LogChange(
        'lease-confirmed' if holds else 'lease-lapsed',
        (('version', state.catalogue.version),))]
