r"""Announcements and statuses that a publisher collects from polls.

Explanation
===========

The nodes downstream of a publisher report in their polls; the publisher's
own subscriber forwards the reports upstream. An announcement is kept until
the catalogue contains it. The status of a node is forwarded at once when its
version or incarnation changes, otherwise once per refresh period. The number
of both is limited.
"""

from poplarstep.core import record
from poplarstep.dissemination import message
from poplarstep.dissemination import upstream

# A node that has been silent for this long is no longer listed.
STATUS_RETENTION_MS = 60_000
SWEEP_PERIOD_MS = 1000
# A status is forwarded again after this time, less a jitter that depends on
# the node's name.
STATUS_REFRESH_MS = 2000
STATUS_REFRESH_JITTER_MS = 400
# An announcement that the catalogue still lacks is forwarded again after this
# time, less a jitter.
ANNOUNCEMENT_REPEAT_MS = 2000
ANNOUNCEMENT_REPEAT_JITTER_MS = 500
# About 2.5 times the 39,100 nodes of the largest deployment.
MAXIMUM_NODES = 100_000
SHORT_INCARNATION_MODULUS = 1 << 32


class NodeStatus(record.Record):
    r"""Configuration version and incarnation that a node reported.

    ``short_incarnation`` holds the low 32 bits of the incarnation.
    ``heard_at`` is when the node was last heard, by this host's clock.
    ``direct`` is true for a node that polls this host, false for a node that
    a relay reported.
    """

    __slots__ = ('role', 'version', 'short_incarnation', 'heard_at', 'direct')

    def __init__(
            self, role: str, version: int, short_incarnation: int,
            heard_at: int, direct: bool):
        self.role = role
        self.version = version
        self.short_incarnation = short_incarnation
        self.heard_at = heard_at
        self.direct = direct


class Reports:
    r"""Announcements and statuses of the nodes downstream of a publisher.

    ``reported_by_node`` holds the statuses that the upstream acknowledged,
    ``announced_at`` the time at which an announcement was last forwarded.
    ``refused`` counts what was dropped because of ``MAXIMUM_NODES``.
    """

    __slots__ = (
        'announcement_by_name', 'announced_at', 'status_by_node',
        'reported_by_node', 'sweep_due', 'refused')

    def __init__(self):
        self.announcement_by_name = {}
        self.announced_at = {}
        self.status_by_node = {}
        self.reported_by_node = {}
        self.sweep_due = 0
        self.refused = 0


def shorten_incarnation(incarnation):
    r"""Return the low 32 bits of an incarnation, which statuses carry.

    Examples
    ========

    >>> shorten_incarnation(2**32 + 5)
    5

    """
    return incarnation % SHORT_INCARNATION_MODULUS


def record_poll(reports, poll, now):
    r"""Record the announcements and statuses of a poll."""
    for announcement in poll.announcements:
        record_announcement(reports, announcement)
    _record_status(reports, poll.node, NodeStatus(
        poll.role, poll.version, shorten_incarnation(poll.incarnation), now,
        True))
    for group in poll.status_groups:
        for node, short_incarnation, age in zip(
                group.nodes, group.short_incarnations, group.ages):
            _record_status(reports, node, NodeStatus(
                group.role, group.version, short_incarnation,
                now - age * message.AGE_UNIT_MS, False))


def record_announcement(reports, announcement):
    r"""Keep an announcement unless a later one is already kept."""
    previous = reports.announcement_by_name.get(announcement.name)
    if previous is None:
        if len(reports.announcement_by_name) >= MAXIMUM_NODES:
            reports.refused += 1
            return
    elif recency(previous) >= recency(announcement):
        return
    reports.announcement_by_name[announcement.name] = announcement
    reports.announced_at.pop(announcement.name, None)


def _record_status(reports, node, status):
    previous = reports.status_by_node.get(node)
    if previous is None:
        if len(reports.status_by_node) >= MAXIMUM_NODES:
            reports.refused += 1
            return
    elif status.heard_at < previous.heard_at:
        return
    elif (previous.short_incarnation == status.short_incarnation
            and status.version < previous.version):
        # A node's version never decreases; this poll was reordered.
        status.version = previous.version
    reports.status_by_node[node] = status


def recency(announced):
    r"""Return the key that orders announcements, and targets made of them."""
    return announced.incarnation, announced.revision


def missing_announcements(reports, catalogue):
    r"""Drop announcements that the catalogue reflects; return the rest."""
    for name, announcement in list(reports.announcement_by_name.items()):
        if _is_reflected(announcement, catalogue.target_by_name.get(name)):
            del reports.announcement_by_name[name]
            reports.announced_at.pop(name, None)
    return tuple(reports.announcement_by_name.values())


def _is_reflected(announcement, target):
    if target is None:
        return announcement.ended
    return recency(target) >= recency(announcement)


def due_announcements(reports, catalogue, now):
    r"""Return the announcements to forward now; note the time."""
    due = []
    for announcement in missing_announcements(reports, catalogue):
        name = announcement.name
        last = reports.announced_at.get(name)
        if last is None or now - last >= (
                ANNOUNCEMENT_REPEAT_MS - upstream.jitter(
                    name, 1, ANNOUNCEMENT_REPEAT_JITTER_MS)):
            reports.announced_at[name] = now
            due.append(announcement)
    return tuple(due)


def due_statuses(reports):
    r"""Return ``(node, NodeStatus)`` pairs to report to the upstream now."""
    due = []
    for node, status in reports.status_by_node.items():
        previous = reports.reported_by_node.get(node)
        if previous is status:
            continue
        if previous is None or (
                previous.version, previous.short_incarnation) != (
                status.version, status.short_incarnation) or (
                status.heard_at - previous.heard_at
                >= _refresh_after_ms(node, status)):
            due.append((node, status))
    return due


def _refresh_after_ms(node, status):
    if not status.direct:
        # The first relay already limits the rate. Ages are rounded, so the
        # same period here would skip every second report.
        return STATUS_REFRESH_MS // 2
    return STATUS_REFRESH_MS - upstream.jitter(
        node, 0, STATUS_REFRESH_JITTER_MS)


def group_statuses(statuses, now):
    r"""Return statuses in the compact form of a poll, grouped."""
    group_by_key = {}
    for node, status in statuses:
        group_by_key.setdefault(
            (status.role, status.version), []).append((node, status))
    return tuple(
        message.StatusGroup(
            role, version, tuple(node for node, _ in group),
            tuple(status.short_incarnation for _, status in group),
            tuple(max(0, now - status.heard_at) // message.AGE_UNIT_MS
                  for _, status in group))
        for (role, version), group in group_by_key.items())


def mark_reported(reports, statuses):
    r"""Record that the upstream has answered a poll with these statuses."""
    reports.reported_by_node.update(statuses)


def upstream_changed(reports):
    r"""Report everything again to a new upstream."""
    reports.reported_by_node.clear()
    reports.announced_at.clear()


def drop_silent(reports, now):
    r"""Drop reports of nodes that have been silent for too long."""
    if now < reports.sweep_due:
        return
    reports.sweep_due = now + SWEEP_PERIOD_MS
    for node, status in list(reports.status_by_node.items()):
        if now - status.heard_at > STATUS_RETENTION_MS:
            del reports.status_by_node[node]
            reports.reported_by_node.pop(node, None)
            reports.announcement_by_name.pop(node, None)
            reports.announced_at.pop(node, None)
