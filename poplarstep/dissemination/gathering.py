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
from poplarstep.dissemination import route

# A node that has been silent for this long is no longer listed.
POSITION_RETENTION_MS = 60_000
SWEEP_MS = 1000
# A status is forwarded again after this time, less a jitter that depends on
# the node's name.
REFRESH_MS = 2000
REFRESH_SPREAD_MS = 400
# An announcement that the catalogue still lacks is forwarded again after this
# time, less a jitter.
REPEAT_MS = 2000
REPEAT_SPREAD_MS = 500
# About 2.5 times the 39,100 nodes of the largest deployment.
MAXIMUM_NODES = 100_000
RUN_MODULUS = 1 << 32


class Heard(record.Record):
    r"""Status of a node; ``run`` is the low 32 bits of its incarnation.

    ``at`` is when the node was last heard, by this host's clock. ``direct``
    is true for a node that polls here, false for one that a relay reported.
    """

    __slots__ = ('role', 'version', 'run', 'at', 'direct')

    def __init__(
            self, role: str, version: int, run: int, at: int, direct: bool):
        self.role = role
        self.version = version
        self.run = run
        self.at = at
        self.direct = direct


class Gathering:
    r"""Announcements and statuses of the nodes downstream of a publisher.

    ``reported_by_node`` holds the statuses that the upstream acknowledged,
    ``announced_at`` the time at which an announcement was last forwarded.
    ``refused`` counts what was dropped because of ``MAXIMUM_NODES``.
    """

    __slots__ = (
        'announcement_by_name', 'announced_at', 'heard_by_node',
        'reported_by_node', 'sweep_due', 'refused')

    def __init__(self):
        self.announcement_by_name = {}
        self.announced_at = {}
        self.heard_by_node = {}
        self.reported_by_node = {}
        self.sweep_due = 0
        self.refused = 0


def run_of(incarnation):
    r"""Return the low 32 bits of an incarnation, which statuses carry.

    Examples
    ========

    >>> run_of(2**32 + 5)
    5

    """
    return incarnation % RUN_MODULUS


def take_in(gathering, poll, now):
    r"""Record the announcements and statuses of a poll."""
    for announcement in poll.announcements:
        note_announcement(gathering, announcement)
    _note(gathering, poll.node, Heard(
        poll.role, poll.version, run_of(poll.incarnation), now, True))
    for standing in poll.standings:
        for node, run, age in zip(
                standing.nodes, standing.runs, standing.ages):
            _note(gathering, node, Heard(
                standing.role, standing.version, run,
                now - age * message.AGE_UNIT_MS, False))


def note_announcement(gathering, announcement):
    r"""Keep an announcement unless a later one is already kept."""
    known = gathering.announcement_by_name.get(announcement.name)
    if known is None:
        if len(gathering.announcement_by_name) >= MAXIMUM_NODES:
            gathering.refused += 1
            return
    elif order(known) >= order(announcement):
        return
    gathering.announcement_by_name[announcement.name] = announcement
    gathering.announced_at.pop(announcement.name, None)


def _note(gathering, node, heard):
    known = gathering.heard_by_node.get(node)
    if known is None:
        if len(gathering.heard_by_node) >= MAXIMUM_NODES:
            gathering.refused += 1
            return
    elif heard.at < known.at:
        return
    elif known.run == heard.run and heard.version < known.version:
        # A node's version never decreases; this poll was reordered.
        heard.version = known.version
    gathering.heard_by_node[node] = heard


def order(facts):
    r"""Return the key that orders the announcements of a target."""
    return facts.incarnation, facts.revision


def unconfirmed(gathering, catalogue):
    r"""Drop announcements that the catalogue contains; return the rest."""
    for name, announcement in list(gathering.announcement_by_name.items()):
        shown = catalogue.target_by_name.get(name)
        if shown is not None and order(shown) >= order(announcement):
            del gathering.announcement_by_name[name]
            gathering.announced_at.pop(name, None)
    return tuple(gathering.announcement_by_name.values())


def due_announcements(gathering, catalogue, now):
    r"""Return the announcements to forward now; note the time."""
    due = []
    for announcement in unconfirmed(gathering, catalogue):
        name = announcement.name
        last = gathering.announced_at.get(name)
        if last is None or now - last >= REPEAT_MS - route.spread(
                name, 1, REPEAT_SPREAD_MS):
            gathering.announced_at[name] = now
            due.append(announcement)
    return tuple(due)


def due_positions(gathering):
    r"""Return ``(node, Heard)`` pairs to report to the upstream now."""
    due = []
    for node, heard in gathering.heard_by_node.items():
        known = gathering.reported_by_node.get(node)
        if known is heard:
            continue
        if known is None or (known.version, known.run) != (
                heard.version, heard.run) or (
                heard.at - known.at >= _refresh_ms(node, heard)):
            due.append((node, heard))
    return due


def _refresh_ms(node, heard):
    if not heard.direct:
        # The first relay already limits the rate. Ages are rounded, so the
        # same period here would skip every second report.
        return REFRESH_MS // 2
    return REFRESH_MS - route.spread(node, 0, REFRESH_SPREAD_MS)


def standings(positions, now):
    r"""Return statuses in the compact form of a poll, grouped."""
    group_by_key = {}
    for node, heard in positions:
        group_by_key.setdefault(
            (heard.role, heard.version), []).append((node, heard))
    return tuple(
        message.Standing(
            role, version, tuple(node for node, _ in group),
            tuple(heard.run for _, heard in group),
            tuple(max(0, now - heard.at) // message.AGE_UNIT_MS
                  for _, heard in group))
        for (role, version), group in group_by_key.items())


def reported(gathering, positions):
    r"""Note that the upstream has answered a poll with these statuses."""
    gathering.reported_by_node.update(positions)


def upstream_changed(gathering):
    r"""Report everything again, because the upstream is another one."""
    gathering.reported_by_node.clear()
    gathering.announced_at.clear()


def forget_silent(gathering, now):
    r"""Drop reports of nodes that have been silent for too long."""
    if now < gathering.sweep_due:
        return
    gathering.sweep_due = now + SWEEP_MS
    for node, heard in list(gathering.heard_by_node.items()):
        if now - heard.at > POSITION_RETENTION_MS:
            del gathering.heard_by_node[node]
            gathering.reported_by_node.pop(node, None)
            gathering.announcement_by_name.pop(node, None)
            gathering.announced_at.pop(node, None)
