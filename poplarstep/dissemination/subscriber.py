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

TICK = 'subscriber'
TICK_PERIOD_MS = 50
# The publisher holds a poll for 400 ms; the rest allows for delays.
POLL_TIMEOUT_MS = 1000
# An upstream that cannot confirm the configuration is asked again after
# this pause when no other is known.
UNCONFIRMED_PAUSE_MS = 100

SUBSCRIBER = stage.Stage('subscriber')


class SubscriberState:
    r"""State of one subscriber.

    Parameters
    ==========

    catalogue : Catalogue
        Shared with the other stages of the same task.
    upstreams : sequence of Address
        Inboxes of control hosts or relays, tried in turn.
    """

    __slots__ = (
        'node', 'role', 'incarnation', 'catalogue', 'upstreams', 'current',
        'leader', 'sequence', 'sent_at', 'waiting', 'not_before',
        'lease_until', 'gathered', 'own_announcement', 'own_shown',
        'reported_until', 'confirmed', 'switches')

    def __init__(
            self, node, role, incarnation, catalogue, upstreams, gathered):
        self.node = node
        self.role = role
        self.incarnation = incarnation
        self.catalogue = catalogue
        self.upstreams = tuple(upstreams)
        self.current = 0
        self.leader = None
        self.sequence = incarnation
        self.sent_at = 0
        self.waiting = False
        self.not_before = 0
        self.lease_until = 0
        self.gathered = gathered
        self.own_announcement = None
        self.own_shown = False
        self.reported_until = -1
        self.confirmed = False
        self.switches = 0


def make_subscriber(
        node, role, incarnation, catalogue, upstreams, gathered=None):
    r"""Return the state of a subscriber with no poll outstanding."""
    return SubscriberState(
        node, role, incarnation, catalogue, upstreams,
        gathering.Gathering() if gathered is None else gathered)


def lease_holds(state, now):
    r"""Return whether the configuration counts as confirmed."""
    return now < state.lease_until


@SUBSCRIBER.handles(timer.Tick)
def tick(state, event, now):
    r"""Send the first poll, or turn to the next upstream after a timeout."""
    if event.name != TICK:
        return [event]
    messages = _lease_change(state, now)
    if state.waiting and now - state.sent_at >= POLL_TIMEOUT_MS:
        _next_upstream(state)
        state.waiting = False
    if not state.waiting and now >= state.not_before:
        messages.append(_poll(state, now))
    return messages


@SUBSCRIBER.handles(message.Announced)
def announced(state, event, now):
    r"""Report this node's own target at once."""
    state.own_announcement = event.announcement
    state.incarnation = event.announcement.incarnation
    return [_poll(state, now)]


@SUBSCRIBER.handles(effect.Received)
def received(state, event, now):
    r"""Take in an update; pass other messages on."""
    if not isinstance(event.message, message.Update):
        return [event]
    update = event.message
    if not state.waiting or update.sequence != state.sequence:
        return []
    state.waiting = False
    changed = _take_in(state, update)
    _judge_upstream(state, event.source, update, now)
    messages = _lease_change(state, now)
    if state.confirmed:
        messages.append(message.Confirmed())
    if changed:
        messages.append(message.CatalogueChanged(state.catalogue.version))
        messages.extend(_check_own_target(state))
    if now >= state.not_before:
        messages.append(_poll(state, now))
    return messages


def _take_in(state, update):
    if update.snapshot is not None:
        return state.catalogue.restore(update.snapshot)
    return state.catalogue.apply(update.changes)


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
    if update.lease_ms > 0 and update.version >= state.catalogue.version:
        state.lease_until = max(
            state.lease_until, state.sent_at + update.lease_ms)
        state.not_before = now
        return
    state.not_before = now + UNCONFIRMED_PAUSE_MS
    if update.leader is not None and update.leader != source:
        state.leader = update.leader
    else:
        _next_upstream(state)


def _next_upstream(state):
    state.leader = None
    state.current = (state.current + 1) % len(state.upstreams)
    state.switches += 1


def _poll(state, now):
    _keep_announcing(state)
    state.sequence += 1
    state.sent_at = now
    state.waiting = True
    positions = gathering.positions_heard_since(
        state.gathered, state.reported_until, now)
    state.reported_until = now
    own = gathering.own_position(
        state.node, state.role, state.catalogue.version, state.incarnation)
    destination = state.leader or state.upstreams[state.current]
    return effect.SendControl(destination, message.Poll(
        state.node, state.sequence, state.catalogue.version,
        gathering.unconfirmed(state.gathered, state.catalogue),
        (own,) + positions))


def _keep_announcing(state):
    r"""Announce the own target again if the configuration lost it.

    A target that was silent for a while has been removed; the agent that
    resumes must be listed again without waiting for its target's news.
    """
    own = state.own_announcement
    if own is not None:
        state.gathered.announcement_by_name[own.name] = own


def _lease_change(state, now):
    holds = lease_holds(state, now)
    if holds == state.confirmed:
        return []
    state.confirmed = holds
    return [effect.LogChange(
        'lease-confirmed' if holds else 'lease-lapsed',
        (('version', state.catalogue.version),))]
