r"""Subscriber: keeps a node's catalogue current and extends its lease.

Explanation
===========

The subscriber has one poll outstanding and sends the next one when the
answer arrives. The publisher holds a poll until something has changed or the
hold time has passed, so polls also serve as heartbeats. If no answer arrives
in time, the subscriber switches to the next upstream. It then sends a poll to
several upstreams at once until one answers, and uses the first answer.

The lease starts when the poll is *sent*, by this node's clock. However long
the answer was in transit, the publisher confirmed the configuration after
that time.
"""

from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message
from poplarstep.dissemination import reporting
from poplarstep.dissemination import upstream

TICK = 'subscriber'
TICK_PERIOD_MS = 50
# Publishers hold a poll for up to 600 ms; the rest is for network delays.
POLL_TIMEOUT_MS = 1000
# Timeout of the first poll of a node without a configuration. It is short,
# because such a node can't serve and its upstream may still be starting. It
# doubles with each poll, up to ``POLL_TIMEOUT_MS``.
STARTING_TIMEOUT_MS = 150
# Exponential backoff after an answer without a lease, so that nodes don't
# poll in a loop while there is no leader. Two delays with their jitter and a
# poll fit into 4 s, the time in which a change must be in force everywhere.
INITIAL_BACKOFF_MS = 100
MAXIMUM_BACKOFF_MS = 800
# Jitter of the next poll, for nodes that start or fail over simultaneously.
FIRST_POLL_JITTER_MS = 100
FAILOVER_JITTER_MS = 200
STARTING_JITTER_MS = 50

SUBSCRIBER = stage.Stage('subscriber')


class SubscriberState:
    r"""State of one subscriber.

    Parameters
    ==========

    catalogue : Catalogue
        Shared with the other stages of the node.
    upstream : object
        From ``upstream.UPSTREAMS``; selects the upstreams to poll.
    lease_only : bool
        The node is a control host. Its catalogue follows the replicated log
        and only the lease is taken from updates.
    pending_version, pending_until : int
        A lease of a control host, which holds once the catalogue has
        reached this version.
    leader : Address or None
        Inbox of the leader of the control hosts, from the latest update.
    control_hosts : tuple of Address
        Inboxes of the control hosts, from the latest update that named any.
    own_announcement : Announcement or None
        Latest announcement of the target of this node, an agent.
    own_target_seen : bool
        The configuration has contained this incarnation of the target.
    lease_was_held : bool
        Whether the lease was held when it was last checked.
    """

    __slots__ = (
        'node', 'role', 'incarnation', 'catalogue', 'upstream', 'lease_only',
        'sequence', 'sent_at', 'poll_outstanding', 'next_poll_at',
        'backoff_ms',
        'lease_until', 'pending_version', 'pending_until', 'reports',
        'own_announcement', 'own_target_seen', 'polled_statuses',
        'lease_was_held', 'leader', 'control_hosts', 'starting_timeout_ms',
        'first_sequence')

    def __init__(
            self, node, role, incarnation, catalogue, upstream_state,
            reports, lease_only):
        self.node = node
        self.role = role
        self.incarnation = incarnation
        self.catalogue = catalogue
        self.upstream = upstream_state
        self.lease_only = lease_only
        self.pending_version = 0
        self.pending_until = 0
        # Sequences of a later incarnation are higher.
        self.sequence = incarnation
        self.sent_at = 0
        self.poll_outstanding = False
        self.next_poll_at = None
        self.backoff_ms = INITIAL_BACKOFF_MS
        self.lease_until = 0
        self.reports = reports
        self.own_announcement = None
        self.own_target_seen = False
        self.polled_statuses = ()
        self.lease_was_held = False
        self.leader = None
        self.control_hosts = ()
        self.starting_timeout_ms = STARTING_TIMEOUT_MS
        self.first_sequence = incarnation


def make_subscriber(
        node, role, incarnation, catalogue, upstreams, reports=None):
    r"""Return the state of an agent's or a relay's subscriber."""
    return SubscriberState(
        node, role, incarnation, catalogue,
        upstream.UPSTREAMS.entry_by_name['seeds'](node, upstreams),
        reporting.Reports() if reports is None else reports, False)


def make_observer(
        node, incarnation, catalogue, upstreams, disk_hosts, reports):
    r"""Return the subscriber's state of a control host without a disk.

    ``disk_hosts`` takes ``now`` and returns the inboxes of the control hosts
    with a disk that this host knows.
    """
    return SubscriberState(
        node, 'control', incarnation, catalogue,
        upstream.UPSTREAMS.entry_by_name['observer'](
            node, upstreams, disk_hosts),
        reports, False)


def make_follower(node, incarnation, catalogue, leader, reports):
    r"""Return the state of a control host that only polls for a lease.

    ``leader`` returns the inbox of the leader, or None when there is no
    leader or when this host leads.
    """
    return SubscriberState(
        node, 'control', incarnation, catalogue,
        upstream.UPSTREAMS.entry_by_name['leader'](leader), reports, True)


def lease_left(state: 'SubscriberState', now):
    r"""Return the remaining time of this node's lease, in ms."""
    return max(0, state.lease_until - now)


def lease_holds(state: 'SubscriberState', now):
    r"""Return whether the catalogue is confirmed to be current."""
    return now < state.lease_until


@SUBSCRIBER.due_at(TICK)
def due_at(state, now):
    r"""Return when the next poll, timeout or end of the lease is due."""
    if lease_holds(state, now) != state.lease_was_held or (
            state.next_poll_at is None):
        return now
    if state.pending_until > state.lease_until and (
            state.catalogue.version >= state.pending_version):
        return now
    due = state.next_poll_at
    if state.poll_outstanding:
        due = state.sent_at + _poll_timeout_ms(state)
    return min(due, state.lease_until) if state.lease_was_held else due


@SUBSCRIBER.handles(timer.Tick)
def tick(state: 'SubscriberState', event, now):
    r"""Send a poll that is due; after a timeout, try the next upstream."""
    if event.name != TICK:
        return [event]
    _apply_pending_lease(state)
    messages = _lease_change_messages(state, now)
    if state.poll_outstanding and (
            now - state.sent_at >= _poll_timeout_ms(state)):
        _give_up(state, now)
    if state.next_poll_at is None:
        state.next_poll_at = now + upstream.jitter(
            state.node, state.sequence, FIRST_POLL_JITTER_MS)
    if not state.poll_outstanding and now >= state.next_poll_at:
        messages.extend(_poll(state, now))
    return messages


def _is_starting(state: 'SubscriberState'):
    r"""Return whether this node has no configuration yet."""
    return not state.lease_only and state.catalogue.version == 0


def _poll_timeout_ms(state: 'SubscriberState'):
    if _is_starting(state):
        return min(state.starting_timeout_ms, POLL_TIMEOUT_MS)
    return POLL_TIMEOUT_MS


def _give_up(state: 'SubscriberState', now):
    r"""Give up the outstanding poll and switch to the next upstream."""
    state.upstream.on_timeout(widens=not _is_starting(state))
    reporting.upstream_changed(state.reports)
    state.poll_outstanding = False
    jitter_ms = FAILOVER_JITTER_MS
    if _is_starting(state):
        state.starting_timeout_ms *= 2
        jitter_ms = STARTING_JITTER_MS
    state.next_poll_at = now + upstream.jitter(
        state.node, state.sequence, jitter_ms)


@SUBSCRIBER.handles(message.Announced)
def announced(state, event, now):
    r"""Send an announcement of this node's target at once if possible.

    Before the first poll, or during a backoff, it waits for the next poll.
    """
    state.own_announcement = event.announcement
    state.incarnation = event.announcement.incarnation
    if state.next_poll_at is None or now < state.next_poll_at:
        return []
    return _poll(state, now)


@SUBSCRIBER.handles(message.UpstreamsConfigured)
def upstreams_configured(state, event, now):
    r"""Use the upstreams of the changed settings."""
    if not state.upstream.configure(event.upstreams):
        return []
    return [effect.LogEvent('upstreams-configured', (
        ('upstreams', ','.join(map(str, event.upstreams))),))]


@SUBSCRIBER.handles(effect.Received)
def received(state: 'SubscriberState', event, now):
    r"""Process an update; leave other messages to later stages."""
    if not isinstance(event.message, message.Update):
        return [event]
    update = event.message
    if not state.poll_outstanding or update.sequence != state.sequence:
        return _apply_late_update(state, update)
    state.poll_outstanding = False
    reporting.mark_reported(state.reports, state.polled_statuses)
    state.upstream.on_answer(event.source)
    state.upstream.learn(update.upstreams)
    state.leader = update.leader
    state.control_hosts = update.upstreams or state.control_hosts
    changed = _apply_update(state, update)
    _process_lease(state, event.source, update, now)
    messages = _lease_change_messages(state, now)
    if state.lease_was_held and not state.lease_only:
        messages.append(message.LeaseExtended())
    if changed:
        messages.append(message.CatalogueChanged(state.catalogue.version))
        messages.extend(_check_own_target(state))
    if now >= state.next_poll_at:
        messages.extend(_poll(state, now))
    return messages


@SUBSCRIBER.handles(message.CatalogueChanged)
def changed(state: 'SubscriberState', event, now):
    r"""Use a pending lease if the replicated log has caught up."""
    _apply_pending_lease(state)
    return [event]


def _apply_pending_lease(state: 'SubscriberState'):
    if state.catalogue.version >= state.pending_version:
        state.lease_until = max(state.lease_until, state.pending_until)


def _apply_update(state: 'SubscriberState', update):
    if state.lease_only:
        return False
    if update.snapshot is not None:
        return state.catalogue.restore(update.snapshot)
    applied = state.catalogue.apply(update.changes)
    # An update to an agent omits changes that don't concern the agent.
    return state.catalogue.advance(update.version) or applied


def _apply_late_update(state: 'SubscriberState', update):
    r"""Apply an update that arrived after its poll timed out.

    Only a node without a configuration does this, and without the lease: an
    unconfirmed configuration is better than none. Answers to polls of an
    earlier incarnation are ignored, because they omit what that incarnation
    already had.
    """
    of_this_run = state.first_sequence < update.sequence <= state.sequence
    if not _is_starting(state) or not of_this_run or (
            not _apply_update(state, update)):
        return []
    return [message.CatalogueChanged(state.catalogue.version)]


def _check_own_target(state: 'SubscriberState'):
    r"""Detect that the configuration has a later incarnation of the target.

    If the wall clock was set back, a restarted agent has a lower incarnation
    than its predecessor, and its announcements would be ignored. The
    agent then raises its incarnation. An agent whose incarnation has already
    been in the configuration was replaced by a later process and does nothing;
    otherwise two processes of one name would raise their incarnations in turn
    without end.
    """
    own = state.own_announcement
    if own is None:
        return []
    current = state.catalogue.target_by_name.get(own.name)
    if current is None or state.own_target_seen:
        return []
    if current.incarnation == own.incarnation:
        state.own_target_seen = True
    if current.incarnation <= own.incarnation:
        return []
    return [effect.Requeue(message.LaterIncarnation(current.incarnation))]


def _process_lease(state: 'SubscriberState', source, update, now):
    r"""Extend the lease, or back off and try another upstream."""
    if update.lease_ms > 0 and state.lease_only:
        # The lease covers commits up to the version of the update. This host
        # may have applied less so far; the lease is pending until it catches
        # up. Later commits are newer than the leader's confirmation.
        state.pending_version = update.version
        state.pending_until = state.sent_at + update.lease_ms
        _apply_pending_lease(state)
        state.next_poll_at = now
        state.backoff_ms = INITIAL_BACKOFF_MS
        return
    if update.lease_ms > 0 and update.version >= state.catalogue.version:
        state.lease_until = max(
            state.lease_until, state.sent_at + update.lease_ms)
        state.next_poll_at = now
        state.backoff_ms = INITIAL_BACKOFF_MS
        return
    state.next_poll_at = now + state.backoff_ms + upstream.jitter(
        state.node, state.sequence, state.backoff_ms)
    state.backoff_ms = min(MAXIMUM_BACKOFF_MS, 2 * state.backoff_ms)
    state.upstream.on_unconfirmed_answer(source, update.leader, now)
    if source not in state.upstream.destinations(now):
        reporting.upstream_changed(state.reports)


def _poll(state: 'SubscriberState', now):
    destinations = state.upstream.destinations(now)
    if not destinations:
        return []
    _renew_announcement(state)
    state.sequence += 1
    state.sent_at = now
    state.poll_outstanding = True
    state.polled_statuses = reporting.due_statuses(state.reports)
    poll = message.Poll(
        state.node, state.role, state.incarnation, state.sequence,
        state.catalogue.version, state.lease_only,
        reporting.due_announcements(state.reports, state.catalogue, now),
        reporting.group_statuses(state.polled_statuses, now))
    return [effect.SendControl(item, poll) for item in destinations]


def _renew_announcement(state: 'SubscriberState'):
    r"""Announce this node's target again if the configuration lacks it.

    The target of an agent that was silent for too long has been removed.
    When the agent resumes, the target must be added again, although it sends
    no new announcement to the agent.
    """
    own = state.own_announcement
    if own is not None:
        reporting.record_announcement(state.reports, own)


def _lease_change_messages(state: 'SubscriberState', now):
    is_held = lease_holds(state, now)
    if is_held == state.lease_was_held:
        return []
    state.lease_was_held = is_held
    return [effect.LogEvent(
        'lease-confirmed' if is_held else 'lease-lapsed',
        (('version', state.catalogue.version),))]
